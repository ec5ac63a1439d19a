package replica

import (
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
