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
	// batchBytes bounds what one batch holds, but for a message that is longer by itself: some such fit
	// a frame of a link, which 1 MiB bounds.
	batchBytes = 256 << 10
	// maxEnded is how many messages that are over are told still to a copy that was away: as many ids as
	// a journal knows. One that was away for longer is compared whole.
	maxEnded = 4096
	// holderPatience is how long a copy that owes an answer stays one of those that count: longer than a
	// client waits, as only a noted change lets it out.
	holderPatience = time.Second
	// HeartbeatEvery is how often a copy hears from its writer at least.
	HeartbeatEvery = time.Second
	// entryOverhead is about what an entry takes beside its texts.
	entryOverhead = 96
	// maxExtra bounds what a copy tells at a time that its writer lacks.
	maxExtra = 64
	// maxOrders bounds the staff's orders that are copied.
	maxOrders = 4096
)

// Batch is what the holder of a log tells one copy: all that changed between two versions.
type Batch struct {
	Owner  string  `cbor:"1,keyasint"`
	Log    uint64  `cbor:"2,keyasint"`
	Token  uint64  `cbor:"3,keyasint"`
	Begin  bool    `cbor:"4,keyasint,omitempty"` // only asks what the copy has
	From   uint64  `cbor:"5,keyasint,omitempty"`
	To     uint64  `cbor:"6,keyasint,omitempty"`
	Items  []Entry `cbor:"7,keyasint,omitempty"`
	Over   []Over  `cbor:"8,keyasint,omitempty"`
	Orders *Orders `cbor:"9,keyasint,omitempty"`
	// Whole are ranges of which Items has all that the writer has: what else a copy has under this
	// token is not the writer's any more.
	Whole []uint64 `cbor:"10,keyasint,omitempty"`
	// Check are the digests of all that the writer has, at version To.
	Check   []Range `cbor:"11,keyasint,omitempty"`
	Checked bool    `cbor:"12,keyasint,omitempty"` // Check is told, and may be of nothing
	// Drop: this node holds no copy of the log any more.
	Drop bool `cbor:"13,keyasint,omitempty"`
}

// Over is a message for which nothing is owed any more.
type Over struct {
	Seq uint64 `cbor:"1,keyasint"`
	ID  string `cbor:"2,keyasint"`
}

// Orders are endpoints that the staff have taken out; the later version counts.
type Orders struct {
	Version uint64   `cbor:"1,keyasint"`
	Out     []string `cbor:"2,keyasint"`
}

// Range is a digest of messages whose numbers are rangeSize times N and the next ones.
type Range struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// Ack answers a batch.
type Ack struct {
	At    uint64 `cbor:"1,keyasint"`           // the copy has all up to this version of the batch's token
	Token uint64 `cbor:"2,keyasint,omitempty"` // a later one that it has seen: the writer is not the holder any more
	No    string `cbor:"3,keyasint,omitempty"` // why nothing of it was kept
	// Has are digests of what was taken, as the copy has it; it answers Begin.
	Has []Range `cbor:"4,keyasint,omitempty"`
	// Differing are ranges that are not as the writer's.
	Differing []uint64 `cbor:"5,keyasint,omitempty"`
	// Extra are messages that the writer does not have, as far as this copy knows.
	Extra []Entry `cbor:"6,keyasint,omitempty"`
}

// ErrFenced says that a copy has seen a later token.
var ErrFenced = errors.New("another node has taken this log over")

// item is a message of a source, or, with gone, the end of one.
type item struct {
	entry   Entry
	version uint64
	known   uint64        // the version in which it came under this token
	at      time.Duration // of its last change
	gone    bool
}

// follower is a copy as its source sees it.
type follower struct {
	name     string
	began    bool            // it has said what it has, under this token
	at       uint64          // it has all up to here
	bodies   map[uint64]bool // ranges whose bodies it surely has, from a tenure before
	whole    []uint64        // ranges to be sent whole
	checkAt  time.Duration   // when it is compared next
	complete bool            // it was compared, and nothing was wrong
	out      *Batch
	outAt    time.Duration // since when it owes an answer
	heardAt  time.Duration
	why      string
	pauseTo  time.Duration
}

// Source is a log at the node that works on it. It is not safe for concurrent use.
type Source struct {
	owner     string
	log       uint64
	want      int
	scrub     time.Duration
	token     uint64
	version   uint64
	items     map[uint64]*list.Element // of those that live, by number
	ids       map[string]uint64
	order     *list.List // of *item, by version; those that are over among them
	gone      int
	floor     uint64 // ends up to this version are forgotten
	orders    Orders
	followers map[string]*follower
	wanted    []string // who should hold copies
	noted     []string // who does, as the log of the leases has it
	fenced    uint64
	// Found are messages that copies have and this node has not.
	Found []Entry
	stats SourceStats
}

// SourceStats count since the start.
type SourceStats struct {
	Batches, Bytes, Resent, Wrong, Checks int
}

// NewSource begins with nothing under no token. So many copies are wanted, and compared after each scrub.
func NewSource(owner string, log uint64, want int, scrub time.Duration) *Source {
	return &Source{owner: owner, log: log, want: want, scrub: scrub, items: map[uint64]*list.Element{}, ids: map[string]uint64{}, order: list.New(),
		followers: map[string]*follower{}}
}

// Change takes in a message as it is now: its one tenure has all attempts so far. What of these is this
// tenure's own, its token and its version are found here.
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

// has tells whether a message is in the log.
func (s *Source) has(id string) bool {
	_, there := s.ids[id]
	return there
}

// Over takes in that nothing is owed for a message any more.
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

// Order takes in the staff's orders as they are now.
func (s *Source) Order(out []string) {
	s.version++
	s.orders = Orders{s.version, out[:min(len(out), maxOrders)]}
}

// Begin goes on under a token. What was done before is told as far as it counts still, as what this
// tenure began with.
func (s *Source) Begin(token uint64, now time.Duration) {
	if again := token == s.token; again { // it had run out by this node's clock alone: versions go on
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

// restamp numbers all anew, in its order: versions are of one token.
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

// Choose takes in who could hold copies, the best first; the first ones should.
func (s *Source) Choose(candidates []string, now time.Duration) {
	s.wanted = slices.Clone(candidates[:min(len(candidates), s.want)])
	for _, name := range s.wanted {
		if s.followers[name] == nil {
			s.followers[name] = &follower{name: name, heardAt: now}
		}
	}
}

// Note takes in who holds the copies that count, as the log of the leases has it. Who neither does nor
// should is told to drop its copy.
func (s *Source) Note(holders []string, now time.Duration) {
	s.noted = slices.Clone(holders)
	for _, name := range holders {
		if s.followers[name] == nil {
			s.followers[name] = &follower{name: name, heardAt: now}
		}
	}
}

// uses tells whether a node holds a copy that counts, or should hold one.
func (s *Source) uses(name string) bool {
	return slices.Contains(s.noted, name) || slices.Contains(s.wanted, name)
}

// Plan is who should be noted as holding the copies that count; ok: that is another set than is.
// A complete copy is taken in, one that owes an answer for too long is let out, and one that is no
// longer wanted goes only when there are enough without it.
func (s *Source) Plan(now time.Duration) (holders []string, ok bool) {
	if s.token == 0 || s.fenced != 0 {
		return nil, false
	}
	well := func(name string) bool {
		f := s.followers[name]
		return f != nil && f.complete && !(f.out != nil && now-f.outAt > holderPatience) && !(f.why != "" && now-f.heardAt > holderPatience)
	}
	var next []string
	for _, name := range s.wanted {
		if well(name) {
			next = append(next, name)
		}
	}
	for _, name := range s.noted {
		if len(next) < s.want && !slices.Contains(next, name) && (well(name) || now-s.followers[name].heardAt <= holderPatience) {
			next = append(next, name)
		}
	}
	slices.Sort(next)
	was := slices.Clone(s.noted)
	slices.Sort(was)
	return next, !slices.Equal(next, was)
}

// Next is what one copy is told next; nil: nothing, or it owes an answer. To have it lost is no harm.
func (s *Source) Next(to string, now time.Duration) *Batch {
	f := s.followers[to]
	if f == nil || f.out != nil || now < f.pauseTo || s.token == 0 || s.fenced != 0 {
		return nil
	}
	b := &Batch{Owner: s.owner, Log: s.log, Token: s.token}
	switch {
	case !s.uses(to):
		b.Drop = true
		f.began, f.complete, f.at = false, false, 0 // it has none from here on, as far as is known
	case !f.began:
		b.Begin = true
	case !s.fill(f, b, now):
		return nil
	}
	f.out, f.outAt = b, now
	s.stats.Batches++
	return b
}

func size(e *Entry) int { return entryOverhead + len(e.ID) + len(e.Key) + len(e.Body) }

// fill puts in what a copy lacks; false: it lacks nothing.
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
	if len(f.whole) > 0 { // what was wrong first: nothing else counts until it is right
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
	// From the end back to the first that it has not: of a long log it mostly lacks the last few.
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

func (s *Source) inRange(n uint64) (all []*list.Element) {
	for seq := n * rangeSize; seq < (n+1)*rangeSize; seq++ {
		if el := s.items[seq]; el != nil {
			all = append(all, el)
		}
	}
	return all
}

func (s *Source) digests() []Range {
	return digests(maps.Keys(s.items), func(seq uint64) Entry { return s.items[seq].Value.(*item).entry })
}

// digests are of all entries by their ranges, in order.
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

// bodiesOf are digests of what was taken.
func bodiesOf(seqs func(func(uint64) bool), entry func(uint64) Entry) []Range {
	return digests(seqs, func(seq uint64) Entry {
		e := entry(seq)
		e.Tenures = nil
		return e
	})
}

// Answer takes in a copy's answer.
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
		if a.At < s.floor { // ends that are forgotten here it may still take to live
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
	if a.At < b.To { // it has not what it is thought to have: it begins anew
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
	case b.Checked && len(a.Extra) > 0: // until it is settled whose these are
		f.checkAt = now + holderPatience
	case b.Checked:
		f.complete, f.bodies, f.checkAt = true, nil, now+s.scrub
	}
}

// NoAnswer tells that a batch came to nothing, as far as is known here.
func (s *Source) NoAnswer(to string, b *Batch, why error, now time.Duration) {
	f := s.followers[to]
	if f == nil || f.out != b {
		return
	}
	f.out, f.why, f.pauseTo = nil, why.Error(), now+holderPatience/10
	f.began = false // it may have been another process since
	if b.Drop && now-f.heardAt > time.Minute && !s.uses(to) {
		delete(s.followers, to) // it hears of it when it asks who holds what
	}
}

// Copied is the version up to which all copies that count have the log, and how many these are.
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

// Lag is how many changes the copies that count lack, and how old the oldest of these is.
func (s *Source) Lag(now time.Duration) (changes uint64, age time.Duration) {
	at, _ := s.Copied()
	el := s.order.Back()
	for el != nil && el.Value.(*item).version > at {
		age = max(age, now-el.Value.(*item).at)
		el = el.Prev()
	}
	return s.version - at, age
}

// Fenced is a later token that a copy has seen; 0: none has.
func (s *Source) Fenced() uint64 { return s.fenced }

// Rank orders nodes for the copies of a log: each pair has a draw of its own, so a change of members
// moves few copies. Nodes of localities that are not there yet come first.
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
