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

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// Kinds of requests between nodes.
const (
	kindBatch = "copy/batch"
	kindFetch = "copy/fetch"
	kindHave  = "copy/have"
	kindWho   = "copy/who"
)

const (
	// stepEvery is the interval of periodic work.
	stepEvery = 100 * time.Millisecond
	// unfitFor is how long a node that cannot hold a copy is not chosen again while there are enough others, and
	// retryUnfitAfter how long while there are not.
	unfitFor        = 30 * time.Second
	retryUnfitAfter = 3 * time.Second
	// batchTime is the time limit for the answer of a copy to a batch.
	batchTime = 1500 * time.Millisecond
	// rankPause is the delay between the takeover attempts of successive holders of copies, so that they do not compete.
	rankPause = time.Second
	// gatherTime is how long a takeover waits for other copies of the log, convergenceTime how long it waits until its own
	// new copies are complete.
	gatherTime      = 2 * time.Second
	convergenceTime = 2 * time.Second
	// writerTime is how long an owner waits for an answer of the node that took its log over, if that node no longer holds
	// the log's lease.
	writerTime = 10 * time.Second
	// pageBytes is the most bytes of an answer to kindFetch.
	pageBytes = 512 << 10
	// maxQueried is the most ids in one kindHave request.
	maxQueried = 2048
	// whoEvery is how often all nodes are asked which of them have the messages of an unreachable member.
	whoEvery = 5 * time.Second
	// missingFor is how long after a member became unreachable other nodes are asked about each id that comes in.
	missingFor = 5 * time.Minute
	// haveTime is the time limit of such a request: well below that of a client.
	haveTime = 150 * time.Millisecond

	copyFolder = "copy-"
	workFolder = "log-"
	ownName    = "copies"
)

var (
	// ErrTooFewCopies is returned when there are fewer copies than configured.
	ErrTooFewCopies = errors.New("too few copies are in reach")
	// ErrLeaseNotHeld is returned when this node does not hold the lease of the log.
	ErrLeaseNotHeld = errors.New("the log is not this node's to work on just now")
)

// Folders are the folders within the state folder.
type Folders interface {
	// Open returns a folder, and creates it if it does not exist.
	Open(name string) (vfs.Folder, error)
	// List returns the names of the folders.
	List() ([]string, error)
	// Remove removes a folder and its content.
	Remove(name string) error
	// Top returns the state folder itself.
	Top() vfs.Folder
	// Place identifies the folder and the boot of the machine: any other process in the same place has ended if this process
	// holds the folder's lock.
	Place(name string) string
}

// Host is the node that works on the logs. Its methods must be safe for concurrent use and must not wait for a Work's lock.
type Host interface {
	// Adopt starts the work on the messages of a log that was taken over that have not ended.
	Adopt(w *Work, owed []*journal.Message)
	// Found starts the work on a message of this node's own log that only a copy had.
	Found(w *Work, m *journal.Message)
	// Forget ends the work on the messages in gone, which belong to another node now or have ended, without notices. The
	// messages in doubted may have run and must not be repeated: they end as such.
	Forget(w *Work, gone, doubted []*journal.Message)
	// Acts reports whether this node may work on a log.
	Acts(w *Work, may bool)
	// Orders passes on the operators' orders of the node whose log was taken over.
	Orders(out []string)
	// RunsOnce reports whether messages of a class must not be sent again.
	RunsOnce(class int) bool
	// Knows reports whether this node has a message, or had it and it has ended.
	Knows(id string) bool
}

// Options configures a Keeper.
type Options struct {
	Net      fleet.Net
	Leases   *lease.Leases
	Name     string
	Copies   int
	Settings fleet.Copies
	Locality func(string) string
	Folders  Folders
	Limit    int64 // most bytes of one copy, or of one log that was taken over
	Slots    int   // most copies and logs that were taken over
	Sync     bool
	Clock    func() time.Duration
	Now      func() time.Time
	Seed     uint64
	Host     Host
	Log      *slog.Logger
}

// Keeper manages the logs that one node works on and the copies that it holds for others. It is safe for concurrent use.
type Keeper struct {
	options Options

	mu      sync.Mutex // guards the following; locked before the lock of a Work or a held copy
	copies  map[string]*storedCopy
	works   map[string]*Work
	own     *Work
	unfit   map[string]time.Duration // since when, by the name of a node
	missing map[string]*missing
	adopted int // number of logs that were taken over so far
	rand    *rand.Rand
	joined  bool
}

// note is the note that the holder of a log leaves in the log's lease.
type note struct {
	Writer  string   `cbor:"1,keyasint"`           // the node that works on the log, or did last
	Token   uint64   `cbor:"2,keyasint"`           // the token under which Holders have all attempts of Writer
	Holders []string `cbor:"3,keyasint,omitempty"` // the nodes with the copies that count
	Done    bool     `cbor:"4,keyasint,omitempty"` // all messages of the log have ended
}

// readNote decodes a note, and returns false if there is no valid one.
func readNote(text []byte) (n note, there bool) {
	if len(text) == 0 || decoding.Unmarshal(text, &n) != nil {
		return note{}, false
	}
	return n, true
}

// key returns the name of a log in the names of folders and leases.
func key(owner string, log uint64) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%s\n%016x", owner, log)))
}

// ownMeta is what is stored of a node's own log.
type ownMeta struct {
	Log   uint64 `cbor:"1,keyasint"`
	Place string `cbor:"2,keyasint"`
	Since uint64 `cbor:"3,keyasint"` // the first incarnation in this place
	Noted bool   `cbor:"4,keyasint"` // a note was stored in the log's lease
}

// New opens the copies and logs that earlier processes have stored. The node's own journal must be open, and the work on its
// messages must not have begun.
func New(o Options, own *journal.Journal) (*Keeper, error) {
	k := &Keeper{options: o, copies: map[string]*storedCopy{}, works: map[string]*Work{},
		unfit: map[string]time.Duration{}, missing: map[string]*missing{}, rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	var m ownMeta
	damaged := false
	if err := loadMeta(o.Folders.Top(), ownName, &m); err != nil {
		if damaged = !errors.Is(err, fs.ErrNotExist); damaged {
			o.Log.Error("copies: reading the identity of the own log failed, its messages may have run elsewhere", "err", err)
		}
		m = ownMeta{Log: k.rand.Uint64() | 1}
	}
	if here := o.Folders.Place(""); m.Place != here {
		m.Place, m.Since = here, 0
	}
	k.own = k.newWork(o.Name, m.Log, own, m)
	k.own.behind = damaged || slices.ContainsFunc(own.Problems(), func(p journal.Problem) bool { return !p.Torn })
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
	own.AdvanceNumber(policy.MessageID(max(0, o.Now().Unix()-1700000000)) << 10)
	k.own.begin()
	o.Net.OnAsk(kindBatch, k.answerBatch)
	o.Net.OnAsk(kindFetch, k.answerFetch)
	o.Net.OnAsk(kindHave, k.answerHave)
	o.Net.OnAsk(kindWho, k.answerWho)
	o.Net.OnChange(k.changed)
	return k, nil
}

// MarkStale reports that the state folder is older than the last start of this node: its copies may lack what they have
// acknowledged, and its own log may lack attempts.
func (k *Keeper) MarkStale() error {
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

// Own returns this node's own log.
func (k *Keeper) Own() *Work { return k.own }

// changed handles a change of the members.
func (k *Keeper) changed(c fleet.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.To == fleet.Alive {
		delete(k.missing, c.Name)
		delete(k.unfit, c.Name)
	} else if _, there := k.missing[c.Name]; !there {
		k.missing[c.Name] = &missing{since: k.options.Clock(), askedAt: -whoEvery}
	}
}

// Run works until the context ends. The context must end before this node leaves its fleet.
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
			if h.startTakeover(k) {
				running.Go(func() { k.acquire(ctx, h, &running) })
			}
			k.scrub(h)
		}
		if names := k.dueMissing(); len(names) > 0 {
			running.Go(func() { k.queryOwners(ctx, names) })
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

// Close closes the journals that New has opened, but not the node's own.
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

// candidates returns the nodes that could hold copies of a log, the best first. Where too few nodes are fit for all copies,
// those that have been unfit for a while come after them: they are better than no copy, and may only have been slow.
func (k *Keeper) candidates(owner string, log uint64) []string {
	now := k.options.Clock()
	var fit, unfit []string
	for _, m := range k.options.Net.Members() {
		if m.Name == k.options.Name || m.State != fleet.Alive {
			continue
		}
		switch since, marked := k.unfitSince(m.Name); {
		case !marked || now-since >= unfitFor:
			fit = append(fit, m.Name)
		case now-since >= retryUnfitAfter:
			unfit = append(unfit, m.Name)
		}
	}
	ranked := Rank(owner, log, k.options.Locality, fit)
	if len(ranked) < k.options.Copies {
		ranked = append(ranked, Rank(owner, log, k.options.Locality, unfit)...)
	}
	return ranked
}

// unfitSince returns when a node was last found unfit to hold copies, and false if it was not.
func (k *Keeper) unfitSince(name string) (since time.Duration, marked bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	since, marked = k.unfit[name]
	return since, marked
}

// sendBatch sends a batch to a copy and returns the answer.
func (k *Keeper) sendBatch(ctx context.Context, to string, b *Batch) (a Ack, err error) {
	body, err := encoding.Marshal(b)
	if err != nil {
		return a, err
	}
	text, err := k.options.Net.Ask(ctx, to, kindBatch, body)
	if err != nil {
		var no fleet.AnswerError
		if errors.As(err, &no) { // the node does not replicate logs
			return Ack{No: err.Error()}, nil
		}
		return a, err
	}
	return a, decoding.Unmarshal(text, &a)
}

// markUnfit records that a node cannot hold copies now.
func (k *Keeper) markUnfit(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unfit[name] = k.options.Clock()
}
