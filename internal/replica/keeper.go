package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/fleet"
	"dunetide/internal/journal"
	"dunetide/internal/lease"
	"dunetide/policy"
)

// Kinds of questions between nodes.
const (
	kindBatch = "copy/batch"
	kindFetch = "copy/fetch"
	kindHave  = "copy/have"
	kindWho   = "copy/who"
)

const (
	// stepEvery is how often timed things are looked after.
	stepEvery = 100 * time.Millisecond
	// unfitFor is how long a node that can't hold a copy is passed over.
	unfitFor = 30 * time.Second
	// batchTime is how long a copy's answer is waited for.
	batchTime = 1500 * time.Millisecond
	// rankPause is between the tries of the holders of copies to take a log over: one tries first.
	rankPause = time.Second
	// gatherTime is how long whoever takes a log over waits for other copies of it, and settleTime how long
	// it waits until its own new copies are whole.
	gatherTime = 2 * time.Second
	settleTime = 2 * time.Second
	// writerTime is how long an owner whose log was taken over asks for whoever did, where that node has the
	// log no longer.
	writerTime = 10 * time.Second
	// pageBytes bounds an answer of kindFetch.
	pageBytes = 512 << 10
	// haveMost bounds the ids in one question.
	haveMost = 2048
	// whoEvery is how often it is asked who has the messages of a silent member.
	whoEvery = 5 * time.Second
	// missingFor is for how long after a member fell silent others' copies are asked for an id that comes in.
	missingFor = 5 * time.Minute
	// haveTime bounds that asking: well within a client's patience.
	haveTime = 150 * time.Millisecond

	copyFolder = "copy-"
	workFolder = "log-"
	ownName    = "copies"
)

var (
	// ErrShort says that fewer copies are in reach than staff asked for.
	ErrShort = errors.New("too few copies are in reach")
	// ErrNotOurs says that this node does not hold the lease of the log.
	ErrNotOurs = errors.New("the log is not this node's to work on just now")
)

// Folders are the state folder's: what has a folder of its own there.
type Folders interface {
	// Open gives a folder, made where there is none.
	Open(name string) (journal.Folder, error)
	// List tells the names of those that there are.
	List() ([]string, error)
	// Remove removes one with all that is in it.
	Remove(name string) error
	// Top is the state folder itself.
	Top() journal.Folder
	// Place tells the machine's present run and the folder in it: another process in the same place has
	// surely ended when this one has the folder's lock.
	Place(name string) string
}

// Host is the node that the logs are worked on by. Its methods may be called by many at once; none
// may wait for the Work's lock.
type Host interface {
	// Adopt goes on with what another node owed.
	Adopt(w *Work, owed []*journal.Message)
	// Found goes on with a message of this node's own log that only a copy still had.
	Found(w *Work, m *journal.Message)
	// Forget ends the work on messages without a word to anybody: they are another node's, or over. Those in
	// doubt get their end: they may have run, and may not be repeated.
	Forget(w *Work, gone, doubted []*journal.Message)
	// Acts tells that work on a log may go on, or may not.
	Acts(w *Work, may bool)
	// Orders are the staff's that held at the node whose log was taken over.
	Orders(out []string)
	// Once tells whether a message of a class may not be sent again.
	Once(class int) bool
	// Knows tells whether a message is held at this node, or is over.
	Knows(id string) bool
}

// Options are what a Keeper stands on.
type Options struct {
	Net      fleet.Net
	Leases   *lease.Leases
	Name     string
	Copies   int
	Settings fleet.Copies
	Locality func(string) string
	Folders  Folders
	Limit    int64 // bytes of one copy, or of one log that was taken over
	Slots    int   // so many of both at most
	Sync     bool
	Clock    func() time.Duration
	Now      func() time.Time
	Seed     uint64
	Host     Host
	Log      *slog.Logger
}

// Keeper is one node's part in the copies of its fleet.
type Keeper struct {
	o Options

	mu      sync.Mutex // over what follows; taken before a Work's or a held copy's
	copies  map[string]*heldCopy
	works   map[string]*Work
	own     *Work
	unfit   map[string]time.Duration
	missing map[string]*missing
	adopted int // logs that were taken over so far
	rand    *rand.Rand
	joined  bool
}

// missing is a member that fell silent: its clients come to others.
type missing struct {
	since   time.Duration
	askedAt time.Duration // when it was last asked who has its messages
	holders []string      // who has
}

// heldCopy is a copy at this node, and what is done about it.
type heldCopy struct {
	name  string // its folder
	owner string

	mu       sync.Mutex // over what follows
	copy     *Copy
	writer   string
	taking   bool
	scrubbed time.Duration // when it was last read from its disk
}

// note is what the holder of a log leaves in the log of the leases.
type note struct {
	Writer  string   `cbor:"1,keyasint"`           // who works on it, or did last
	Token   uint64   `cbor:"2,keyasint"`           // under which Holders have all that Writer acts on
	Holders []string `cbor:"3,keyasint,omitempty"` // of its copies
	Done    bool     `cbor:"4,keyasint,omitempty"` // it was worked off
}

func readNote(text []byte) (n note, there bool) {
	if len(text) == 0 || decoding.Unmarshal(text, &n) != nil {
		return note{}, false
	}
	return n, true
}

// key is a log's name among folders, and its lease's.
func key(owner string, log uint64) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%s\n%016x", owner, log)))
}

// ownMeta is what a node keeps of its own log.
type ownMeta struct {
	Log   uint64 `cbor:"1,keyasint"`
	Place string `cbor:"2,keyasint"`
	Since uint64 `cbor:"3,keyasint"` // the first incarnation in this place
	Noted bool   `cbor:"4,keyasint"` // a note was left under it
}

// New reads what earlier lives have left. The node's own journal is open, and its owed messages are
// not yet worked on.
func New(o Options, own *journal.Journal) (*Keeper, error) {
	k := &Keeper{o: o, copies: map[string]*heldCopy{}, works: map[string]*Work{},
		unfit: map[string]time.Duration{}, missing: map[string]*missing{}, rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	var m ownMeta
	spoilt := false
	if err := loadMeta(o.Folders.Top(), ownName, &m); err != nil {
		if spoilt = !errors.Is(err, fs.ErrNotExist); spoilt {
			o.Log.Error("copies: whose log this is can't be read: what it owes is in doubt", "err", err)
		}
		m = ownMeta{Log: k.rand.Uint64() | 1}
	}
	if here := o.Folders.Place(""); m.Place != here {
		m.Place, m.Since = here, 0
	}
	k.own = k.newWork(o.Name, m.Log, own, m)
	k.own.behind = spoilt || slices.ContainsFunc(own.Problems(), func(p journal.Problem) bool { return !p.Torn })
	k.works[k.own.key] = k.own
	names, err := o.Folders.List()
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	now := o.Clock()
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, copyFolder):
			k.reopenCopy(name, now)
		case strings.HasPrefix(name, workFolder):
			k.reopenWork(name)
		}
	}
	own.Skip(policy.MessageID(max(0, o.Now().Unix()-1700000000)) << 10)
	k.own.begin()
	o.Net.OnAsk(kindBatch, k.askedBatch)
	o.Net.OnAsk(kindFetch, k.askedFetch)
	o.Net.OnAsk(kindHave, k.askedHave)
	o.Net.OnAsk(kindWho, k.askedWho)
	o.Net.OnChange(k.changed)
	return k, nil
}

func (k *Keeper) reopenCopy(name string, now time.Duration) {
	folder, err := k.o.Folders.Open(name)
	if err == nil {
		var c *Copy
		if c, err = OpenCopy(k.copyOptions(folder, name), now); err == nil {
			k.copies[strings.TrimPrefix(name, copyFolder)] = &heldCopy{name: name, owner: c.meta.Owner, copy: c, scrubbed: now}
			return
		}
	}
	k.o.Log.Warn("copies: one that can't be used is removed", "folder", name, "err", err)
	if err := k.o.Folders.Remove(name); err != nil {
		k.o.Log.Error("copies: removing", "folder", name, "err", err)
	}
}

func (k *Keeper) copyOptions(folder journal.Folder, name string) CopyOptions {
	return CopyOptions{Folder: folder, Place: k.o.Folders.Place(name), Limit: k.o.Limit, Sync: k.o.Sync, Now: k.o.Now, Log: k.o.Log}
}

// Old tells that the state folder is from before a later start of this node: its copies may lack what
// they have acknowledged, and its own log what was sent.
func (k *Keeper) Old() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	var errs []error
	for _, h := range k.copies {
		h.mu.Lock()
		errs = append(errs, h.copy.Distrust())
		h.mu.Unlock()
	}
	for _, w := range k.works {
		w.mu.Lock()
		w.behind = true
		w.mu.Unlock()
	}
	return errors.Join(errs...)
}

// Own is the work on this node's own log.
func (k *Keeper) Own() *Work { return k.own }

// changed hears of members' steps.
func (k *Keeper) changed(c fleet.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.To == fleet.Alive {
		delete(k.missing, c.Name)
		delete(k.unfit, c.Name)
	} else if _, there := k.missing[c.Name]; !there {
		k.missing[c.Name] = &missing{since: k.o.Clock(), askedAt: -whoEvery}
	}
}

// Run takes part until the context ends: for as long as this node is joined.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.joined = true
	works := slices.Collect(maps.Values(k.works))
	k.mu.Unlock()
	var running sync.WaitGroup
	for _, w := range works {
		running.Go(func() { w.run(ctx) })
	}
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		k.mu.Lock()
		held := slices.Collect(maps.Values(k.copies))
		k.mu.Unlock()
		for _, h := range held {
			if h.begin(k) {
				running.Go(func() { k.takeOver(ctx, h, &running) })
			}
			k.scrub(h)
		}
		if names := k.dueMissing(); len(names) > 0 {
			running.Go(func() { k.askWho(ctx, names) })
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	running.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joined = false
}

// Close ends what New has opened, but for the node's own journal.
func (k *Keeper) Close() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	var errs []error
	for _, h := range k.copies {
		h.mu.Lock()
		errs = append(errs, h.copy.Close())
		h.mu.Unlock()
	}
	for _, w := range k.works {
		if w != k.own {
			errs = append(errs, w.journal.Close())
		}
	}
	return errors.Join(errs...)
}

// candidates are who could hold copies of a log, the best first.
func (k *Keeper) candidates(owner string, log uint64) []string {
	now := k.o.Clock()
	var all []string
	for _, m := range k.o.Net.Members() {
		k.mu.Lock()
		until, unfit := k.unfit[m.Name]
		k.mu.Unlock()
		if m.Name != k.o.Name && m.State == fleet.Alive && !(unfit && now < until) {
			all = append(all, m.Name)
		}
	}
	return Rank(owner, log, k.o.Locality, all)
}

// tellBatch brings one batch to a copy.
func (k *Keeper) tellBatch(ctx context.Context, to string, b *Batch) (a Ack, err error) {
	body, err := encoding.Marshal(b)
	if err != nil {
		return a, err
	}
	text, err := k.o.Net.Ask(ctx, to, kindBatch, body)
	if err != nil {
		var no fleet.AnswerError
		if errors.As(err, &no) { // it has no copies at all
			return Ack{No: err.Error()}, nil
		}
		return a, err
	}
	return a, decoding.Unmarshal(text, &a)
}

func (k *Keeper) pass(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unfit[name] = k.o.Clock() + unfitFor
}

// askedBatch keeps what another node tells of a log that it works on.
func (k *Keeper) askedBatch(_ context.Context, from fleet.Peer, body []byte) ([]byte, error) {
	var b Batch
	if err := decoding.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	a, err := k.keep(from.Name, b)
	if err != nil {
		k.o.Log.Warn("copies: not kept", "owner", b.Owner, "from", from.Name, "err", err)
		a = Ack{No: err.Error()}
	}
	return encoding.Marshal(a)
}

func (k *Keeper) keep(writer string, b Batch) (Ack, error) {
	id := key(b.Owner, b.Log)
	k.mu.Lock()
	w, h := k.works[id], k.copies[id]
	var err error
	switch {
	case w != nil: // this node works on it itself, or did until a moment ago
		k.mu.Unlock()
		w.mu.Lock()
		defer w.mu.Unlock()
		if b.Token > w.source.token {
			return Ack{No: "this node has worked on the log until a moment ago"}, nil
		}
		return Ack{Token: w.source.token}, nil
	case b.Drop && h == nil:
		k.mu.Unlock()
		return Ack{}, nil
	case h == nil:
		h, err = k.newCopy(id, b)
	}
	k.mu.Unlock()
	if err != nil {
		return Ack{}, err
	}
	h.mu.Lock()
	if b.Drop && b.Token >= h.copy.meta.Token {
		err := h.drop()
		h.mu.Unlock()
		return Ack{}, errors.Join(err, k.forget(h, id))
	}
	defer h.mu.Unlock()
	h.writer = writer
	return h.copy.Apply(b, k.o.Clock())
}

// newCopy begins one; k.mu is held.
func (k *Keeper) newCopy(id string, b Batch) (*heldCopy, error) {
	if len(k.copies)+len(k.works)-1 >= k.o.Slots {
		return nil, fmt.Errorf("no room: %d copies and logs are here", k.o.Slots)
	}
	name := copyFolder + id
	folder, err := k.o.Folders.Open(name)
	if err != nil {
		return nil, err
	}
	c, err := NewCopy(k.copyOptions(folder, name), b.Owner, b.Log, k.o.Clock())
	if err != nil {
		return nil, errors.Join(err, k.o.Folders.Remove(name))
	}
	h := &heldCopy{name: name, owner: b.Owner, copy: c, scrubbed: k.o.Clock()}
	k.copies[id] = h
	return h, nil
}

// drop ends a copy; its lock is held. Who has a hold of it still finds that it is gone.
func (h *heldCopy) drop() error {
	h.copy.gone = true
	return h.copy.Close()
}

// forget removes a copy that was dropped.
func (k *Keeper) forget(h *heldCopy, id string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.copies[id] != h {
		return nil
	}
	delete(k.copies, id)
	if err := k.o.Folders.Remove(h.name); err != nil {
		return fmt.Errorf("removing a copy: %w", err)
	}
	return nil
}

// fetch asks for a page of a copy; answered with fetched.
type fetch struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	From  int    `cbor:"3,keyasint,omitempty"` // so many entries were told already
}

type fetched struct {
	Token    uint64   `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint,omitempty"`
	Entries  []Entry  `cbor:"3,keyasint,omitempty"`
	More     bool     `cbor:"4,keyasint,omitempty"`
	Over     []string `cbor:"5,keyasint,omitempty"` // with the first page
	Orders   []string `cbor:"6,keyasint,omitempty"`
	Writer   string   `cbor:"7,keyasint,omitempty"`
}

func (k *Keeper) askedFetch(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q fetch
	if err := decoding.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	k.mu.Lock()
	h := k.copies[key(q.Owner, q.Log)]
	k.mu.Unlock()
	if h == nil {
		return encoding.Marshal(fetched{})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return encoding.Marshal(h.copy.page(q.From))
}

// page is what a copy has from an entry on.
func (c *Copy) page(from int) fetched {
	f := fetched{Token: c.meta.Token, Complete: c.meta.Complete, Orders: c.meta.Orders.Out}
	if from == 0 {
		f.Over = c.over.IDs()
	}
	all := c.Entries()
	bytes := 0
	for i := min(from, len(all)); i < len(all); i++ {
		if bytes += size(&all[i]); bytes > pageBytes && len(f.Entries) > 0 {
			f.More = true
			break
		}
		f.Entries = append(f.Entries, all[i])
	}
	return f
}

// have asks which of some messages a node has, or had; answered with the ids. With an owner, only of that log:
// as a copy, or as work that was taken over.
type have struct {
	IDs   []string `cbor:"1,keyasint"`
	Owner string   `cbor:"2,keyasint,omitempty"`
	Log   uint64   `cbor:"3,keyasint,omitempty"`
}

func (k *Keeper) askedHave(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q have
	if err := decoding.Unmarshal(body, &q); err != nil || len(q.IDs) > haveMost {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	only := ""
	if q.Owner != "" {
		only = key(q.Owner, q.Log)
	}
	var a have
	for _, id := range q.IDs {
		if k.o.Host.Knows(id) || k.knows(id, only) {
			a.IDs = append(a.IDs, id)
		}
	}
	return encoding.Marshal(a)
}

// knows tells whether a copy here, or only that of one log, has a message, or had it.
func (k *Keeper) knows(id, only string) bool {
	k.mu.Lock()
	var held []*heldCopy
	for key, h := range k.copies {
		if only == "" || only == key {
			held = append(held, h)
		}
	}
	var works []*Work
	for key, w := range k.works {
		if only == "" || only == key {
			works = append(works, w)
		}
	}
	k.mu.Unlock()
	for _, w := range works {
		if w.knows(id) {
			return true
		}
	}
	for _, h := range held {
		h.mu.Lock()
		known := h.copy.Knows(id)
		h.mu.Unlock()
		if known {
			return true
		}
	}
	return false
}

// askHave asks one node which of some messages it knows.
func (k *Keeper) askHave(ctx context.Context, of string, q have) ([]string, error) {
	body, err := encoding.Marshal(q)
	if err != nil {
		return nil, err
	}
	text, err := k.o.Net.Ask(ctx, of, kindHave, body)
	if err != nil {
		return nil, err
	}
	var a have
	return a.IDs, decoding.Unmarshal(text, &a)
}

// who asks which of some nodes' messages a node has, as copies or as work; answered with their names.
type who struct {
	Owners []string `cbor:"1,keyasint"`
}

func (k *Keeper) askedWho(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
	var q who
	if err := decoding.Unmarshal(body, &q); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	var a who
	for _, owner := range q.Owners {
		if k.hasOf(owner) {
			a.Owners = append(a.Owners, owner)
		}
	}
	return encoding.Marshal(a)
}

func (k *Keeper) hasOf(owner string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.works {
		if w.owner == owner {
			return true
		}
	}
	for _, h := range k.copies {
		if h.owner == owner {
			return true
		}
	}
	return false
}

// dueMissing are the silent members of whom it should be asked who has their messages.
func (k *Keeper) dueMissing() (names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.o.Clock()
	for name, m := range k.missing {
		if now-m.since > missingFor {
			delete(k.missing, name)
		} else if now-m.askedAt > whoEvery {
			m.askedAt = now
			names = append(names, name)
		}
	}
	return names
}

// askWho finds out who has the messages of silent members: it is asked now and then, and not for each
// message that comes in.
func (k *Keeper) askWho(ctx context.Context, names []string) {
	body, err := encoding.Marshal(who{names})
	if err != nil {
		k.o.Log.Error("copies: asking who has them", "err", err)
		return
	}
	var mu sync.Mutex
	found := map[string][]string{}
	k.everywhere(ctx, func(ctx context.Context, of string) {
		text, err := k.o.Net.Ask(ctx, of, kindWho, body)
		var a who
		if err != nil || decoding.Unmarshal(text, &a) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, owner := range a.Owners {
			found[owner] = append(found[owner], of)
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range names {
		if m := k.missing[name]; m != nil {
			m.holders = found[name]
		}
	}
}

// Elsewhere tells whether another node has a message that a client hands in here, or a copy of it. It
// asks only while some member has been silent for a while: its clients come to others then.
func (k *Keeper) Elsewhere(id string) bool {
	k.mu.Lock()
	var holders []string
	for _, m := range k.missing {
		holders = append(holders, m.holders...)
	}
	asks := k.joined && len(k.missing) > 0
	k.mu.Unlock()
	if !asks {
		return false
	}
	if k.knows(id, "") {
		return true
	}
	slices.Sort(holders)
	ctx, cancel := context.WithTimeout(context.Background(), haveTime)
	defer cancel()
	var yes atomic.Bool
	var asked sync.WaitGroup
	for _, name := range slices.Compact(holders) {
		asked.Go(func() {
			if known, err := k.askHave(ctx, name, have{IDs: []string{id}}); err == nil && len(known) > 0 {
				yes.Store(true)
				cancel()
			}
		})
	}
	asked.Wait()
	return yes.Load()
}

// scrub reads a copy from its disk again, where it is time to. One that is not as it should be is written
// anew: what is in memory was checked against its writer.
func (k *Keeper) scrub(h *heldCopy) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := k.o.Clock()
	every := time.Duration(k.o.Settings.ScrubS * float64(time.Second))
	if h.copy.gone || now-h.scrubbed < every {
		return
	}
	h.scrubbed = now
	err := h.copy.Scrub()
	if err == nil {
		return
	}
	k.o.Log.Error("copies: one is spoilt on this node's disk, and is written anew", "owner", h.owner, "err", err)
	entries, meta := h.copy.Entries(), h.copy.meta
	over, writer, heard := h.copy.over, h.writer, h.copy.heard
	meta.Complete = false
	err = errors.Join(h.copy.Close(), k.o.Folders.Remove(h.name))
	folder, opened := k.o.Folders.Open(h.name)
	err = errors.Join(err, opened)
	if err == nil {
		err = saveMeta(folder, metaName, meta)
	}
	var c *Copy
	if err == nil {
		c, err = OpenCopy(k.copyOptions(folder, h.name), now)
	}
	for i := 0; err == nil && i < len(entries); i++ {
		err = c.put(entries[i])
	}
	if err != nil {
		k.o.Log.Error("copies: one that was spoilt is gone, until its writer tells it again", "owner", h.owner, "err", err)
		h.copy.gone = true
		return
	}
	c.over, c.heard = over, heard
	h.copy, h.writer = c, writer
}

// begin tells, once, that this copy's log should be taken over by this node: its writer has said nothing
// for the stated time, or staff said that it is gone.
func (h *heldCopy) begin(k *Keeper) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taking || h.copy.gone {
		return false
	}
	silence := time.Duration(k.o.Settings.SilenceS * float64(time.Second))
	removed := false
	writer := cmp.Or(h.writer, h.copy.meta.Owner)
	for _, m := range k.o.Net.Members() {
		removed = removed || m.Name == writer && m.State == fleet.Removed
	}
	quiet := k.o.Clock() - h.copy.heard
	if quiet < min(silence, BeatEvery) {
		return false
	}
	rank := time.Duration(slices.Index(k.candidatesAnd(h.copy.meta.Owner, h.copy.meta.Log), k.o.Name)) * rankPause
	switch {
	case removed && quiet > BeatEvery+rank:
	case quiet < silence+rank:
		return false
	case !h.copy.meta.Complete && quiet < 2*silence+rank: // another has all of it, or nobody
		return false
	}
	h.taking = true
	return true
}

// candidatesAnd are the candidates with this node among them.
func (k *Keeper) candidatesAnd(owner string, log uint64) []string {
	all := []string{k.o.Name}
	for _, m := range k.o.Net.Members() {
		if m.Name != k.o.Name && m.Name != owner && m.State == fleet.Alive {
			all = append(all, m.Name)
		}
	}
	return Rank(owner, log, k.o.Locality, all)
}
