package replica

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

const (
	// metaName is the file beside a copy's journal that says whose it is.
	metaName = "copy"
	maxMeta  = 64 << 10
	// displaced marks the number of a message that had to leave its own to another: a writer that lost
	// its last messages with its power gave their numbers out again.
	displaced = 1 << 39
)

// meta says whose copy lies in a folder, and how far it may be trusted.
type meta struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	// Token is the highest that was seen: an act under a lower one is refused.
	Token uint64 `cbor:"3,keyasint"`
	// Orders under it.
	Orders Orders `cbor:"4,keyasint"`
	// Complete: the copy once had all that its writer had under Token, and has lost nothing since.
	Complete bool `cbor:"5,keyasint"`
	// Place is where that was: what was written there outlasts all but the machine's own end.
	Place string `cbor:"6,keyasint"`
}

// Copy is a log of another node: its messages on this node's disk. It is not safe for concurrent use.
type Copy struct {
	meta    meta
	folder  vfs.Folder
	journal *journal.Journal
	log     *slog.Logger
	sync    bool
	entries map[uint64]Entry
	held    map[uint64]*journal.Message
	ids     map[string]uint64
	over    *journal.IDRing
	at      uint64 // all that the writer has said up to here, under meta.Token, is here
	place   string
	dropped bool // it was dropped
	// heard is when its writer was last heard, by this node's clock.
	heard time.Duration
	// whole is when it was last found to be the same as its writer's.
	whole time.Duration
}

// CopyOptions say where and how a copy is kept.
type CopyOptions struct {
	Folder vfs.Folder
	Place  string
	Limit  int64
	Sync   bool
	Now    func() time.Time
	Log    *slog.Logger
}

var errNoCopy = errors.New("there is no copy in the folder")

// saveMeta replaces the file that says whose copy it is.
func saveMeta(folder vfs.Folder, name string, v any) error {
	body, err := encoding.Marshal(v)
	if err != nil {
		return err
	}
	text := hex.EncodeToString(body)
	return vfs.Replace(folder, name, fmt.Appendf(nil, "%s\n%016x\n", text, xxhash.Sum64String(text)))
}

// loadMeta reads one; fs.ErrNotExist: there is none.
func loadMeta(folder vfs.Folder, name string, v any) error {
	text, err := folder.Read(name, maxMeta)
	if err != nil {
		return err
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if fmt.Sprintf("%016x", xxhash.Sum64String(body)) != strings.TrimSpace(sum) {
		return fmt.Errorf("%s does not check", name)
	}
	bytes, err := hex.DecodeString(body)
	if err == nil {
		err = decoding.Unmarshal(bytes, v)
	}
	return err
}

// NewCopy begins a copy in an empty folder.
func NewCopy(o CopyOptions, owner string, log uint64, now time.Duration) (*Copy, error) {
	m := meta{Owner: owner, Log: log}
	if err := saveMeta(o.Folder, metaName, m); err != nil {
		return nil, fmt.Errorf("beginning a copy: %w", err)
	}
	return openCopy(o, m, now)
}

// OpenCopy reads one that an earlier life of this node has left. Without an error it has all that it
// had; how far that is behind its writer, only the writer can tell.
func OpenCopy(o CopyOptions, now time.Duration) (*Copy, error) {
	var m meta
	err := loadMeta(o.Folder, metaName, &m)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, errNoCopy
	}
	if err != nil {
		return nil, fmt.Errorf("opening a copy: %w", err)
	}
	return openCopy(o, m, now)
}

func openCopy(o CopyOptions, m meta, now time.Duration) (*Copy, error) {
	j, all, err := journal.Open(journal.Options{Folder: o.Folder, Limit: o.Limit, Sync: o.Sync, Now: o.Now, Log: o.Log})
	if err != nil {
		return nil, fmt.Errorf("opening a copy: %w", err)
	}
	c := &Copy{meta: m, place: o.Place, folder: o.Folder, journal: j, log: o.Log, sync: o.Sync, entries: map[uint64]Entry{},
		held: map[uint64]*journal.Message{}, ids: map[string]uint64{}, over: journal.NewIDRing(maxEnded), heard: now}
	for _, id := range j.OverIDs() {
		c.over.Add(id)
	}
	sound := len(j.Status().Recovery.Problems) == 0
	for _, kept := range all {
		var e Entry
		if err := decoding.Unmarshal(kept.Body, &e); err != nil {
			c.log.Error("copies: an entry that can't be read", "owner", m.Owner, "number", kept.Seq, "err", err)
			sound = false
			continue
		}
		c.entries[e.Seq], c.held[e.Seq], c.ids[e.ID] = e, kept, e.Seq
		if t, ok := e.tenure(m.Token); ok && sound {
			c.at = max(c.at, t.Version) // they were written in this order
		}
	}
	if !sound {
		c.at = 0
	}
	if !sound || m.Place != o.Place {
		return c, c.Distrust()
	}
	return c, nil
}

// Distrust tells that the copy may have lost something that it has acknowledged: until its writer has
// compared it, it stands for nothing.
func (c *Copy) Distrust() error {
	if !c.meta.Complete {
		return nil
	}
	next := c.meta
	next.Complete = false
	if err := saveMeta(c.folder, metaName, next); err != nil {
		return err
	}
	c.meta = next
	return nil
}

// put writes an entry.
func (c *Copy) put(e Entry) error {
	body, err := encoding.Marshal(e)
	if err != nil {
		return err
	}
	m := &journal.Message{Seq: policy.MessageID(e.Seq), ID: e.ID, Dest: e.Dest, Deadline: time.UnixMicro(e.Deadline), Body: body}
	if err := c.journal.Put(m); err != nil {
		return err
	}
	c.entries[e.Seq], c.held[e.Seq], c.ids[e.ID] = e, m, e.Seq
	return nil
}

// drop forgets an entry, and keeps its id as one that is over.
func (c *Copy) drop(seq uint64) error {
	m := c.held[seq]
	if m == nil {
		return nil
	}
	if err := c.journal.Closed(m, "", time.Unix(0, 0)); err != nil {
		return err
	}
	if id := c.entries[seq].ID; c.ids[id] == seq {
		delete(c.ids, id)
	}
	delete(c.entries, seq)
	delete(c.held, seq)
	return nil
}

// Apply takes in what the writer tells. What it acknowledges is on disk, and outlasts a loss of power
// where that is asked for.
func (c *Copy) Apply(b Batch, now time.Duration) (Ack, error) {
	if c.dropped {
		return Ack{}, errNoCopy
	}
	if b.Token < c.meta.Token {
		return Ack{Token: c.meta.Token}, nil
	}
	if b.Token > c.meta.Token {
		next := c.meta
		next.Token, next.Complete = b.Token, false
		if err := saveMeta(c.folder, metaName, next); err != nil { // before anything is done under it
			return Ack{}, err
		}
		c.meta, c.at = next, 0
	}
	c.heard = now
	if b.Begin {
		return Ack{At: c.at, Has: bodiesOf(maps.Keys(c.entries), func(seq uint64) Entry { return c.entries[seq] })}, nil
	}
	if b.From > c.at && len(b.Whole) == 0 {
		return Ack{At: c.at}, nil // something in between is not here
	}
	if err := c.write(b); err != nil {
		return Ack{}, err
	}
	if c.sync {
		if err := c.journal.Sync(); err != nil {
			return Ack{}, err
		}
	}
	c.at = max(c.at, b.To)
	a := Ack{At: c.at}
	if b.Checked {
		a.Differing, a.Extra = c.compare(b.Check)
		complete := len(a.Differing) == 0 && len(a.Extra) == 0
		if complete {
			c.whole = now
		}
		if complete != c.meta.Complete {
			next := c.meta
			next.Complete, next.Place = complete, c.place
			if err := saveMeta(c.folder, metaName, next); err != nil {
				return Ack{}, err
			}
			c.meta = next
		}
	}
	return a, nil
}

func (c *Copy) write(b Batch) error {
	var unknown []string
	for _, o := range b.Over {
		if seq, here := c.ids[o.ID]; here { // whatever number it has here
			if err := c.drop(seq); err != nil {
				return err
			}
		} else if !c.over.Has(o.ID) {
			unknown = append(unknown, o.ID)
		}
		c.over.Add(o.ID)
	}
	if err := c.journal.NoteOver(unknown); err != nil {
		return err
	}
	sent := map[uint64]bool{}
	for _, e := range b.Items {
		sent[e.Seq] = true
		old, there := c.entries[e.Seq]
		if there && old.ID != e.ID {
			if err := c.displace(old); err != nil {
				return err
			}
			there = false
		}
		switch {
		case there:
			if slices.Contains(b.Whole, e.Seq/rangeSize) { // as the writer has it, whatever stands here
				e = rewrite(old, e, b.Token)
			} else {
				e = Merge(old, e)
			}
			e = e.fold()
		case e.Bare:
			return fmt.Errorf("number %d is not here, and came without its text", e.Seq)
		}
		if err := c.put(e); err != nil {
			return err
		}
	}
	for _, n := range b.Whole {
		for seq := n * rangeSize; seq < (n+1)*rangeSize; seq++ {
			if _, ours := c.entries[seq].tenure(b.Token); !ours || sent[seq] {
				continue
			}
			if err := c.drop(seq); err != nil {
				return err
			}
		}
	}
	if b.Orders != nil {
		next := c.meta
		next.Orders = *b.Orders
		if err := saveMeta(c.folder, metaName, next); err != nil {
			return err
		}
		c.meta = next
	}
	return nil
}

// rewrite takes what was taken, and the tenure of a token, from its writer, whatever stood there.
func rewrite(old, sent Entry, token uint64) Entry {
	earlier := slices.DeleteFunc(slices.Clone(old.Tenures), func(t Tenure) bool { return t.Token == token })
	own, _ := sent.tenure(token)
	sent.Tenures = mergeTenures(earlier, []Tenure{own})
	return sent
}

// elsewhere is the number of a message that was displaced.
func elsewhere(id string) uint64 { return displaced | xxhash.Sum64String(id)>>26 }

// displace gives a message another number: its own is another one's, which is put there next.
func (c *Copy) displace(e Entry) error {
	e.Seq = elsewhere(e.ID)
	if _, there := c.entries[e.Seq]; there {
		return nil
	}
	return c.put(e)
}

// compare finds the ranges that are not as the writer has them, and what it has not at all.
func (c *Copy) compare(theirs []Range) (wrong []uint64, extra []Entry) {
	var ours []uint64
	for _, seq := range slices.Sorted(maps.Keys(c.entries)) {
		if _, ok := c.entries[seq].tenure(c.meta.Token); ok {
			ours = append(ours, seq)
		} else if len(extra) < maxExtra {
			extra = append(extra, c.entries[seq])
		}
	}
	here := map[uint64]uint64{}
	for _, r := range digests(slices.Values(ours), func(seq uint64) Entry {
		e, _ := c.entries[seq].under(c.meta.Token)
		return e
	}) {
		here[r.Number] = r.Digest
	}
	for _, r := range theirs {
		if here[r.Number] != r.Digest {
			wrong = append(wrong, r.Number)
		}
		delete(here, r.Number)
	}
	wrong = append(wrong, slices.Collect(maps.Keys(here))...)
	slices.Sort(wrong)
	return wrong, extra
}

// Entries are all messages, in the order of their numbers.
func (c *Copy) Entries() (all []Entry) {
	for _, seq := range slices.Sorted(maps.Keys(c.entries)) {
		all = append(all, c.entries[seq])
	}
	return all
}

// Knows tells whether a message is here, or was and is over.
func (c *Copy) Knows(id string) bool {
	_, here := c.ids[id]
	return here || c.over.Has(id)
}

// Close ends the writing.
func (c *Copy) Close() error { return c.journal.Close() }

// Scrub reads the copy from its disk again and tells whether that is still what it should be.
func (c *Copy) Scrub() error {
	seen := map[uint64]uint64{}
	j, err := journal.Replay(journal.Options{Folder: c.folder, Limit: 1 << 40})
	if err != nil {
		return err
	}
	if p := j.Problems(); len(p) > 0 {
		return fmt.Errorf("%s at byte %d: %s", p[0].File, p[0].At, p[0].What)
	}
	for _, m := range j.Owed() {
		var e Entry
		if err := decoding.Unmarshal(m.Body, &e); err != nil {
			return fmt.Errorf("number %d: %w", m.Seq, err)
		}
		seen[e.Seq] = e.digest()
	}
	for seq, e := range c.entries {
		if seen[seq] != e.digest() {
			return fmt.Errorf("number %d is not on disk as it should be", seq)
		}
		delete(seen, seq)
	}
	for seq := range seen {
		return fmt.Errorf("number %d is on disk and should not be", seq)
	}
	return nil
}

// Union makes one of what several copies of a log have, as a node does that takes it over: Merge by
// message. What is over at any of them is over.
func Union(over func(id string) bool, copies ...[]Entry) (all []Entry) {
	byID := map[string]Entry{}
	for _, entries := range copies {
		for _, e := range entries {
			if over(e.ID) {
				continue
			}
			if old, there := byID[e.ID]; there {
				e.Seq = min(e.Seq, old.Seq) // it may be displaced in one of them
				old.Seq = e.Seq
				e = Merge(old, e)
			}
			byID[e.ID] = e
		}
	}
	for _, e := range byID {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.ID, b.ID)) })
	return all
}
