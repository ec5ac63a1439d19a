package replica

import (
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// batchBytes is the most bytes in one batch, unless a single message is longer. It is a fraction of the frame limit of a
	// link, which is 1 MiB.
	batchBytes = 256 << 10
	// maxEnded is the most ended messages that are kept for copies that were unreachable: as many ids as a journal keeps. A
	// copy that was unreachable for longer is compared completely.
	maxEnded = 4096
	// holderPatience is how long a copy that does not answer still counts as a holder. It is longer than a client waits,
	// because a holder can be removed only by a committed change of the note.
	holderPatience = time.Second
	// HeartbeatEvery is the longest time between two batches to a copy.
	HeartbeatEvery = time.Second
	// entryOverhead is the approximate size of an entry without its texts, in bytes.
	entryOverhead = 96
	// maxExtra is the most entries in one Ack that the writer lacks.
	maxExtra = 64
	// maxOrders is the most operator orders that are replicated.
	maxOrders = 4096
)

// Batch is a message from the holder of a log to one copy, with all changes between two versions.
type Batch struct {
	Owner  string  `cbor:"1,keyasint"`
	Log    uint64  `cbor:"2,keyasint"`
	Token  uint64  `cbor:"3,keyasint"`
	Begin  bool    `cbor:"4,keyasint,omitempty"` // only queries what the copy has
	From   uint64  `cbor:"5,keyasint,omitempty"`
	To     uint64  `cbor:"6,keyasint,omitempty"`
	Items  []Entry `cbor:"7,keyasint,omitempty"`
	Over   []Over  `cbor:"8,keyasint,omitempty"`
	Orders *Orders `cbor:"9,keyasint,omitempty"`
	// Whole are ranges for which Items has all entries of the writer: the copy must remove any other entries that it has in
	// them under this token.
	Whole []uint64 `cbor:"10,keyasint,omitempty"`
	// Check are the digests of all entries of the writer, at version To.
	Check   []Range `cbor:"11,keyasint,omitempty"`
	Checked bool    `cbor:"12,keyasint,omitempty"` // Check is set, possibly to an empty list
	// Drop tells the receiver to remove its copy of the log.
	Drop bool `cbor:"13,keyasint,omitempty"`
}

// Over is a message that has ended: nothing remains to be delivered or reported.
type Over struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// Orders are endpoints that operators have taken out of service; the later version counts.
type Orders struct {
	Version uint64   `cbor:"1,keyasint"`
	Out     []string `cbor:"2,keyasint"`
}

// Range is a digest of the messages numbered from rangeSize*Number up to the next range.
type Range struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// Ack answers a batch.
type Ack struct {
	At    uint64 `cbor:"1,keyasint"`           // the copy has all changes up to this version of the batch's token
	Token uint64 `cbor:"2,keyasint,omitempty"` // a later token that the copy has seen: the writer no longer holds the log
	No    string `cbor:"3,keyasint,omitempty"` // why the batch was rejected
	// Has are digests of the contents that the copy has, without tenures, in the answer to Begin.
	Has []Range `cbor:"4,keyasint,omitempty"`
	// Differing are the ranges whose digests differ from the writer's.
	Differing []uint64 `cbor:"5,keyasint,omitempty"`
	// Extra are entries without a tenure under the batch's token: as far as the copy can tell, the writer lacks them.
	Extra []Entry `cbor:"6,keyasint,omitempty"`
}

// ErrFenced is reported when a copy has seen a later token.
var ErrFenced = errors.New("another node has taken this log over")

// item is a message of a source, or, if gone is set, the end of one.
type item struct {
	entry   Entry
	version uint64
	known   uint64        // the version at which it was added under this token
	at      time.Duration // of its last change
	gone    bool
}

// follower is the state of a copy at its source.
type follower struct {
	name     string
	began    bool            // it has answered Begin under this token
	at       uint64          // it has all changes up to this version
	bodies   map[uint64]bool // ranges whose contents it has from an earlier tenure, by their digests
	whole    []uint64        // ranges to be sent completely
	checkAt  time.Duration   // when it is compared next
	complete bool            // the last comparison found no difference
	out      *Batch          // the outstanding batch, nil if there is none
	outAt    time.Duration   // when out was sent
	heardAt  time.Duration   // when it last answered
	why      string          // the last error
	pauseTo  time.Duration   // no batch is sent before
}

// Source is a log at the node that works on it, and tracks the state of its copies. It is not safe for concurrent use.
type Source struct {
	owner     string
	log       uint64
	want      int
	scrub     time.Duration
	token     uint64
	version   uint64
	items     map[uint64]*list.Element // the messages that have not ended, by number
	ids       map[string]uint64
	order     *list.List // of *item, by version, including ended messages
	gone      int        // number of ended messages in order
	floor     uint64     // ends up to this version have been dropped from order
	orders    Orders
	followers map[string]*follower
	wanted    []string // the nodes that should hold copies
	noted     []string // the nodes noted as holders in the log's lease
	fenced    uint64   // a later token that a copy has seen, 0 if none has
	// Found are messages that copies have and this node lacks.
	Found []Entry
	stats SourceStats
}

// SourceStats counts events since the start.
type SourceStats struct {
	Batches, Bytes, Resent, Wrong, Checks int
}

// NewSource returns a source without messages or token. It should have want copies, each compared every scrub.
func NewSource(owner string, log uint64, want int, scrub time.Duration) *Source {
	return &Source{owner: owner, log: log, want: want, scrub: scrub, items: map[uint64]*list.Element{}, ids: map[string]uint64{}, order: list.New(),
		followers: map[string]*follower{}}
}

// Change records the present state of a message. The single tenure of e has all attempts so far; Change sets its token and
// version, and separates the attempts of this tenure from the earlier ones.
func (s *Source) Change(e Entry, now time.Duration) {
	s.version++
	it := &item{known: s.version}
	if el := s.items[e.Seq]; el != nil {
		it = el.Value.(*item)
		s.order.Remove(el)
	}
	t := e.Tenures[0]
	t.Token, t.Version, t.Base = s.token, s.version, t.Attempts
	if it.version > 0 {
		t.Base = it.entry.Tenures[0].Base
	}
	t.Attempts -= t.Base
	e.Tenures = []Tenure{t}
	it.entry, it.version, it.at = e, s.version, now
	s.items[e.Seq], s.ids[e.ID] = s.order.PushBack(it), e.Seq
}

// has reports whether a message is in the log and has not ended.
func (s *Source) has(id string) bool {
	_, there := s.ids[id]
	return there
}

// Over records that a message has ended.
func (s *Source) Over(seq uint64, id string, now time.Duration) {
	s.version++
	if el := s.items[seq]; el != nil && el.Value.(*item).entry.ID == id {
		s.order.Remove(el)
		delete(s.items, seq)
		delete(s.ids, id)
	}
	s.order.PushBack(&item{entry: Entry{Seq: seq, ID: id}, version: s.version, at: now, gone: true})
	s.gone++
	for el := s.order.Front(); s.gone > maxEnded; {
		next := el.Next()
		if it := el.Value.(*item); it.gone {
			s.floor = it.version
			s.order.Remove(el)
			s.gone--
		}
		el = next
	}
}

// Order records the present orders of the operators.
func (s *Source) Order(out []string) {
	s.version++
	s.orders = Orders{s.version, out[:min(len(out), maxOrders)]}
}

// Begin continues the log under a token. Attempts of earlier tenures become the base of the new one.
func (s *Source) Begin(token uint64, now time.Duration) {
	if again := token == s.token; again { // the lease had expired only by this node's clock: versions continue
		s.fenced, s.noted = 0, nil
		for _, f := range s.followers {
			f.began, f.out = false, nil
		}
		return
	}
	s.token, s.fenced, s.noted = token, 0, nil
	for el := s.order.Front(); el != nil; el = el.Next() {
		it := el.Value.(*item)
		if it.gone {
			continue
		}
		t := it.entry.Tenures[0]
		t.Base, t.Attempts = t.Base+t.Attempts, 0
		t.Token = token
		it.entry.Tenures = []Tenure{t}
	}
	s.restamp(now)
}

// restamp renumbers all versions in their order, because versions are relative to one token.
func (s *Source) restamp(now time.Duration) {
	s.version, s.floor = 0, 0
	for el := s.order.Front(); el != nil; el = el.Next() {
		it := el.Value.(*item)
		s.version++
		it.version, it.known, it.at = s.version, s.version, now
		if !it.gone {
			t := it.entry.Tenures[0]
			t.Version = s.version
			it.entry.Tenures = []Tenure{t}
		}
	}
	s.version++
	s.orders.Version = s.version
	for _, f := range s.followers {
		*f = follower{name: f.name, heardAt: now}
	}
}

// Choose sets the candidates for holding copies, the best first. The first ones are wanted as holders.
func (s *Source) Choose(candidates []string, now time.Duration) {
	s.wanted = slices.Clone(candidates[:min(len(candidates), s.want)])
	for _, name := range s.wanted {
		if s.followers[name] == nil {
			s.followers[name] = &follower{name: name, heardAt: now}
		}
	}
}

// Note sets the holders of the copies that count, as noted in the log's lease. A node that is neither noted nor wanted is
// told to drop its copy.
func (s *Source) Note(holders []string, now time.Duration) {
	s.noted = slices.Clone(holders)
	for _, name := range holders {
		if s.followers[name] == nil {
			s.followers[name] = &follower{name: name, heardAt: now}
		}
	}
}

// uses reports whether a node holds a copy that counts, or should hold one.
func (s *Source) uses(name string) bool {
	return slices.Contains(s.noted, name) || slices.Contains(s.wanted, name)
}

// Plan returns the nodes that should be noted as holders of the copies that count, and whether they differ from those noted.
// A complete copy is added, a copy that has not answered for too long is removed, and a copy that is no longer wanted is
// removed only if there are enough without it.
func (s *Source) Plan(now time.Duration) (holders []string, ok bool) {
	if s.token == 0 || s.fenced != 0 {
		return nil, false
	}
	healthy := func(name string) bool {
		f := s.followers[name]
		return f != nil && f.complete && !(f.out != nil && now-f.outAt > holderPatience) && !(f.why != "" && now-f.heardAt > holderPatience)
	}
	var next []string
	for _, name := range s.wanted {
		if healthy(name) {
			next = append(next, name)
		}
	}
	for _, name := range s.noted {
		if len(next) < s.want && !slices.Contains(next, name) && (healthy(name) || now-s.followers[name].heardAt <= holderPatience) {
			next = append(next, name)
		}
	}
	slices.Sort(next)
	was := slices.Clone(s.noted)
	slices.Sort(was)
	return next, !slices.Equal(next, was)
}

// Next returns the next batch for a copy, or nil if there is none or a batch is outstanding. The loss of a batch does no harm.
func (s *Source) Next(to string, now time.Duration) *Batch {
	f := s.followers[to]
	if f == nil || f.out != nil || now < f.pauseTo || s.token == 0 || s.fenced != 0 {
		return nil
	}
	b := &Batch{Owner: s.owner, Log: s.log, Token: s.token}
	switch {
	case !s.uses(to):
		b.Drop = true
		f.began, f.complete, f.at = false, false, 0 // from now on the copy counts as removed
	case !f.began:
		b.Begin = true
	case !s.fill(f, b, now):
		return nil
	}
	f.out, f.outAt = b, now
	s.stats.Batches++
	return b
}

// size returns the approximate encoded size of an entry.
func size(e *Entry) int { return entryOverhead + len(e.ID) + len(e.Key) + len(e.Body) }

// fill adds to a batch what a copy lacks, and returns false if there is nothing to send.
func (s *Source) fill(f *follower, b *Batch, now time.Duration) bool {
	b.From, b.To = f.at, s.version
	bytes := 0
	put := func(it *item, whole bool) {
		e := it.entry
		if !whole && (it.known <= f.at || f.bodies[e.Seq/rangeSize]) {
			e = Entry{Seq: e.Seq, ID: e.ID, Bare: true, Tenures: e.Tenures}
		}
		b.Items = append(b.Items, e)
		bytes += size(&e)
	}
	if len(f.whole) > 0 { // differing ranges are repaired before anything else is sent
		b.To = f.at
		for len(f.whole) > 0 && bytes < batchBytes {
			n := f.whole[0]
			f.whole = f.whole[1:]
			b.Whole = append(b.Whole, n)
			for _, el := range s.inRange(n) {
				put(el.Value.(*item), true)
				s.stats.Resent++
			}
		}
		f.checkAt = 0
		s.stats.Bytes += bytes
		return true
	}
	// The search for the first item that the copy lacks starts at the end: a copy mostly lacks only the last few of many.
	el := s.order.Back()
	for el != nil && el.Value.(*item).version > f.at {
		el = el.Prev()
	}
	if el == nil {
		el = s.order.Front()
	} else {
		el = el.Next()
	}
	for ; el != nil; el = el.Next() {
		it := el.Value.(*item)
		if bytes > 0 && bytes+size(&it.entry) > batchBytes {
			b.To = it.version - 1
			break
		}
		if it.gone {
			b.Over = append(b.Over, Over{it.entry.Seq, it.entry.ID})
			bytes += entryOverhead
			continue
		}
		put(it, false)
	}
	if b.To == s.version && s.orders.Version > f.at {
		b.Orders = &s.orders
	}
	if b.To == s.version && now >= f.checkAt {
		b.Check, b.Checked = s.digests(), true
		s.stats.Checks++
	}
	s.stats.Bytes += bytes
	return b.To > b.From || b.Checked || now-f.heardAt >= HeartbeatEvery
}

// inRange returns the messages of one range.
func (s *Source) inRange(n uint64) (all []*list.Element) {
	for seq := n * rangeSize; seq < (n+1)*rangeSize; seq++ {
		if el := s.items[seq]; el != nil {
			all = append(all, el)
		}
	}
	return all
}

// digests returns the digests of all messages, by ranges.
func (s *Source) digests() []Range {
	return digests(maps.Keys(s.items), func(seq uint64) Entry { return s.items[seq].Value.(*item).entry })
}

// digests returns the digests of entries by their ranges, in order.
func digests(seqs func(func(uint64) bool), entry func(uint64) Entry) (all []Range) {
	for _, seq := range slices.Sorted(seqs) {
		n, d := seq/rangeSize, entry(seq).digest()
		if len(all) == 0 || all[len(all)-1].Number != n {
			all = append(all, Range{Number: n})
		}
		last := &all[len(all)-1]
		last.Digest = last.Digest*0x9e3779b97f4a7c15 + d
	}
	return all
}

// bodiesOf returns the digests of the contents of entries, without their tenures.
func bodiesOf(seqs func(func(uint64) bool), entry func(uint64) Entry) []Range {
	return digests(seqs, func(seq uint64) Entry {
		e := entry(seq)
		e.Tenures = nil
		return e
	})
}

// Answer handles a copy's answer to a batch.
func (s *Source) Answer(to string, b *Batch, a Ack, now time.Duration) {
	f := s.followers[to]
	if f == nil || f.out != b {
		return
	}
	f.out, f.heardAt, f.why = nil, now, a.No
	switch {
	case a.Token > s.token:
		s.fenced = max(s.fenced, a.Token)
		return
	case a.No != "":
		f.complete, f.began = false, false
		f.pauseTo = now + holderPatience
		return
	case b.Drop:
		if !s.uses(to) {
			delete(s.followers, to)
		}
		return
	case b.Begin:
		had := f.at
		f.began, f.at, f.checkAt = true, min(a.At, s.version), 0
		if a.At < s.floor { // the copy may still have entries whose ends were dropped here: send everything
			f.at = 0
		}
		f.complete = f.complete && f.at >= had
		own := map[uint64]uint64{}
		for _, r := range bodiesOf(maps.Keys(s.items), func(seq uint64) Entry { return s.items[seq].Value.(*item).entry }) {
			own[r.Number] = r.Digest
		}
		f.bodies = map[uint64]bool{}
		for _, r := range a.Has {
			f.bodies[r.Number] = own[r.Number] == r.Digest && own[r.Number] != 0
		}
		return
	}
	if a.At < b.To { // the copy has less than recorded here: start over with Begin
		f.began, f.complete = false, false
		return
	}
	f.at = max(f.at, b.To)
	for _, e := range a.Extra {
		if !slices.ContainsFunc(s.Found, func(o Entry) bool { return o.Seq == e.Seq }) {
			s.Found = append(s.Found, e)
		}
	}
	switch {
	case len(a.Differing) > 0:
		f.whole, f.complete = a.Differing, false
		s.stats.Wrong += len(a.Differing)
	case b.Checked && len(a.Extra) > 0: // compare again soon, until the extra entries are resolved
		f.checkAt = now + holderPatience
	case b.Checked:
		f.complete, f.bodies, f.checkAt = true, nil, now+s.scrub
	}
}

// NoAnswer reports that a batch was not answered. The copy may have applied it.
func (s *Source) NoAnswer(to string, b *Batch, why error, now time.Duration) {
	f := s.followers[to]
	if f == nil || f.out != b {
		return
	}
	f.out, f.why, f.pauseTo = nil, why.Error(), now+holderPatience/10
	f.began = false // the copy's process may have restarted since
	if b.Drop && now-f.heardAt > time.Minute && !s.uses(to) {
		delete(s.followers, to) // the node learns from the note in the log's lease that its copy does not count
	}
}

// Copied returns the version up to which all copies that count have the log, and the number of these copies.
func (s *Source) Copied() (version uint64, copies int) {
	version = s.version
	for _, name := range s.noted {
		version = min(version, s.followers[name].at)
		if !s.followers[name].complete {
			version = 0
		}
	}
	return version, len(s.noted)
}

// Lag returns the number of changes that some copy that counts lacks, and the age of the oldest of them.
func (s *Source) Lag(now time.Duration) (changes uint64, age time.Duration) {
	at, _ := s.Copied()
	el := s.order.Back()
	for el != nil && el.Value.(*item).version > at {
		age = max(age, now-el.Value.(*item).at)
		el = el.Prev()
	}
	return s.version - at, age
}

// Fenced returns a later token that a copy has seen, or 0 if none has.
func (s *Source) Fenced() uint64 { return s.fenced }

// Rank orders nodes as holders of the copies of a log, by rendezvous hashing, so that a change of the members moves few
// copies. The first node of each locality, other than the owner's, comes before the other nodes.
func Rank(owner string, log uint64, locality func(string) string, nodes []string) []string {
	weight := func(name string) uint64 { return xxhash.Sum64String(fmt.Sprintf("%s\n%016x\n%s", owner, log, name)) }
	rest := slices.Clone(nodes)
	slices.SortFunc(rest, func(a, b string) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
	used := map[string]bool{locality(owner): true}
	var first, then []string
	for _, name := range rest {
		if l := locality(name); l != "" && !used[l] {
			used[l] = true
			first = append(first, name)
		} else {
			then = append(then, name)
		}
	}
	return append(first, then...)
}
