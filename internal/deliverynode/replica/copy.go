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
	// metaName is the file beside a copy's journal that identifies its log.
	metaName = "copy"
	maxMeta  = 64 << 10
	// displaced marks the number of a message that was renumbered because another message has its number: a writer that
	// lost its last messages in a power failure assigned their numbers again.
	displaced = 1 << 39
)

// meta identifies the log of a copy and records how far the copy can be trusted.
type meta struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	// Token is the highest token that was seen: batches under a lower one are refused.
	Token uint64 `cbor:"3,keyasint"`
	// Orders are the operators' orders under Token.
	Orders Orders `cbor:"4,keyasint"`
	// Complete is set if the copy has had all entries of its writer under Token, and has lost nothing since.
	Complete bool `cbor:"5,keyasint"`
	// Place is the folder and boot in which Complete was recorded: writes there survive everything except a restart or loss
	// of the machine.
	Place string `cbor:"6,keyasint"`
}

// Copy is a copy of the log of another node on this node's disk. It is not safe for concurrent use.
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
	at      uint64 // the copy has all changes of the writer up to this version of meta.Token
	place   string
	dropped bool
	// heard is when the last batch of the writer arrived, by this node's clock.
	heard time.Duration
	// comparedAt is when the copy was last found equal to its writer's log.
	comparedAt time.Duration
}

// CopyOptions configures a Copy.
type CopyOptions struct {
	Folder vfs.Folder
	Place  string
	Limit  int64
	Sync   bool
	Now    func() time.Time
	Log    *slog.Logger
}

// errNoCopy is returned when a folder has no copy, or the copy was dropped.
var errNoCopy = errors.New("there is no copy in the folder")

// saveMeta replaces a metadata file.
func saveMeta(folder vfs.Folder, name string, v any) error {
	body, err := encoding.Marshal(v)
	if err != nil {
		return err
	}
	text := hex.EncodeToString(body)
	return vfs.Replace(folder, name, fmt.Appendf(nil, "%s\n%016x\n", text, xxhash.Sum64String(text)))
}

// loadMeta reads a metadata file. It fails with fs.ErrNotExist if there is none.
func loadMeta(folder vfs.Folder, name string, v any) error {
	text, err := folder.Read(name, maxMeta)
	if err != nil {
		return err
	}
	body, sum, _ := strings.Cut(string(text), "\n")
	if fmt.Sprintf("%016x", xxhash.Sum64String(body)) != strings.TrimSpace(sum) {
		return fmt.Errorf("%s has a wrong checksum", name)
	}
	bytes, err := hex.DecodeString(body)
	if err == nil {
		err = decoding.Unmarshal(bytes, v)
	}
	return err
}

// NewCopy creates a copy in an empty folder.
func NewCopy(o CopyOptions, owner string, log uint64, now time.Duration) (*Copy, error) {
	m := meta{Owner: owner, Log: log}
	if err := saveMeta(o.Folder, metaName, m); err != nil {
		return nil, fmt.Errorf("beginning a copy: %w", err)
	}
	return openCopy(o, m, now)
}

// OpenCopy opens a copy that an earlier process of this node has written. Entries that can't be read are skipped, and the copy
// is then no longer complete. Only the writer can determine how far the copy is behind.
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
	for _, id := range j.EndedIDs() {
		c.over.Add(id)
	}
	sound := len(j.Status().Recovery.Problems) == 0
	for _, kept := range all {
		var e Entry
		if err := decoding.Unmarshal(kept.Body, &e); err != nil {
			c.log.Error("copies: decoding an entry failed", "owner", m.Owner, "number", kept.Seq, "err", err)
			sound = false
			continue
		}
		c.entries[e.Seq], c.held[e.Seq], c.ids[e.ID] = e, kept, e.Seq
		if t, ok := e.tenure(m.Token); ok && sound {
			c.at = max(c.at, t.Version) // entries were written in the order of their versions
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

// Distrust marks the copy as one that may have lost entries that it has acknowledged: it is not complete until its writer has
// compared it.
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

// put writes an entry to the journal.
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

// drop removes an entry, and records its id as ended.
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

// Apply applies a batch of the writer. Acknowledged changes are written to the journal, and survive a power failure if
// CopyOptions.Sync is set.
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
		if err := saveMeta(c.folder, metaName, next); err != nil { // the token must be durable before any change under it
			return Ack{}, err
		}
		c.meta, c.at = next, 0
	}
	c.heard = now
	if b.Begin {
		return Ack{At: c.at, Has: bodiesOf(maps.Keys(c.entries), func(seq uint64) Entry { return c.entries[seq] })}, nil
	}
	if b.From > c.at && len(b.Whole) == 0 {
		return Ack{At: c.at}, nil // changes before the batch are missing
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
			c.comparedAt = now
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

// write writes the changes of a batch to the journal.
func (c *Copy) write(b Batch) error {
	var unknown []string
	for _, o := range b.Over {
		if seq, here := c.ids[o.ID]; here { // the entry may have another number here
			if err := c.drop(seq); err != nil {
				return err
			}
		} else if !c.over.Has(o.ID) {
			unknown = append(unknown, o.ID)
		}
		c.over.Add(o.ID)
	}
	if err := c.journal.AddEndedIDs(unknown); err != nil {
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
			if slices.Contains(b.Whole, e.Seq/rangeSize) { // the writer's version replaces the one here
				e = rewrite(old, e, b.Token)
			} else {
				e = Merge(old, e)
			}
			e = e.mergeOldest()
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

// rewrite returns an entry with the content and the tenure of a token as the writer has sent them, and the other tenures of
// the old entry.
func rewrite(old, sent Entry, token uint64) Entry {
	earlier := slices.DeleteFunc(slices.Clone(old.Tenures), func(t Tenure) bool { return t.Token == token })
	own, _ := sent.tenure(token)
	sent.Tenures = mergeTenures(earlier, []Tenure{own})
	return sent
}

// displacedNumber returns the number of a displaced message.
func displacedNumber(id string) uint64 { return displaced | xxhash.Sum64String(id)>>26 }

// displace renumbers a message whose number the writer has assigned to another one.
func (c *Copy) displace(e Entry) error {
	e.Seq = displacedNumber(e.ID)
	if _, there := c.entries[e.Seq]; there {
		return nil
	}
	return c.put(e)
}

// compare returns the ranges whose digests differ from the writer's, and up to maxExtra entries without a tenure of the
// writer.
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

// Entries returns all entries in the order of their numbers.
func (c *Copy) Entries() (all []Entry) {
	for _, seq := range slices.Sorted(maps.Keys(c.entries)) {
		all = append(all, c.entries[seq])
	}
	return all
}

// Knows reports whether the copy has a message, or had it and it has ended.
func (c *Copy) Knows(id string) bool {
	_, here := c.ids[id]
	return here || c.over.Has(id)
}

// Close closes the copy's journal.
func (c *Copy) Close() error { return c.journal.Close() }

// Scrub reads the copy's files and returns an error if they differ from the entries in memory.
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
			return fmt.Errorf("decoding message %d: %w", m.Seq, err)
		}
		seen[e.Seq] = e.digest()
	}
	for seq, e := range c.entries {
		if seen[seq] != e.digest() {
			return fmt.Errorf("message %d is missing on disk or differs", seq)
		}
		delete(seen, seq)
	}
	for seq := range seen {
		return fmt.Errorf("message %d is on disk but not in the copy", seq)
	}
	return nil
}

// Union merges several copies of a log, message by message (Merge), for a node that takes the log over. It omits the messages
// that over reports as ended.
func Union(over func(id string) bool, copies ...[]Entry) (all []Entry) {
	byID := map[string]Entry{}
	for _, entries := range copies {
		for _, e := range entries {
			if over(e.ID) {
				continue
			}
			if old, there := byID[e.ID]; there {
				e.Seq = min(e.Seq, old.Seq) // the message may be displaced in one of the copies
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
