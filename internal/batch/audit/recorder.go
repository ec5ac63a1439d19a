package audit

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// entriesHeld bounds the entries that wait for stores; there is room for the end of each run that was begun.
	entriesHeld = 16384
	batchMost   = 512
	gather      = 30 * time.Millisecond
	callWait    = time.Second
	pauseAfter  = 200 * time.Millisecond // a batch that too few stores took
)

// Conn is a connection to a store.
type Conn interface {
	Call(ctx context.Context, kind link.Kind, body []byte) ([]byte, error)
	Done() <-chan struct{}
	Close()
}

// RecorderOptions of a proxy's side.
type RecorderOptions struct {
	Node   string
	Life   uint64
	Zone   string
	Need   int // stores that must have a record on disk: f+1
	Stores func() []snapshot.Store
	Dial   func(ctx context.Context, addr string) (Conn, error) // nil: over link
	Now    func() time.Time
	Held   int // entries; 0: 16,384
	Log    hclog.Logger
}

// Recorder keeps runs until enough stores have them.
type Recorder struct {
	o    RecorderOptions
	wake chan struct{}

	mu        sync.Mutex
	pending   [][]byte
	versions  []uint64 // of pending, 0 where there is none
	documents map[uint64][]byte
	open      int // runs that were begun and have no end yet
	number    uint64
	warned    bool

	// Of the one goroutine that sends.
	conns map[string]*storeConn // by address
}

type storeConn struct {
	Conn
	has map[uint64]bool // documents
}

// NewRecorder returns a recorder; Run hands over.
func NewRecorder(o RecorderOptions) *Recorder {
	if o.Held == 0 {
		o.Held = entriesHeld
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (Conn, error) {
			return link.Dial(ctx, addr, nobody{}, link.DefaultOptions)
		}
	}
	return &Recorder{o: o, wake: make(chan struct{}, 1), documents: map[uint64][]byte{}, conns: map[string]*storeConn{}}
}

type nobody struct{}

func (nobody) Message(m *link.Message) { m.Fail("no such call here") }
func (nobody) Closed(*link.Conn)       {}

// Begin takes in that a run is about to be sent by certificates, given as they were put. Without room for its end it says
// false, and the run may not be sent.
func (r *Recorder) Begin(run Run, certificates []byte) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending)+r.open+2 > r.o.Held {
		return 0, false
	}
	r.documents[run.Version] = certificates
	r.number++
	r.open++
	r.add(begunEntry(r.key(r.number), run), run.Version)
	return r.number, true
}

// End takes in how a run ended.
func (r *Recorder) End(number uint64, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.add(endedEntry(r.key(number), r.o.Now(), o), 0)
}

func (r *Recorder) key(number uint64) key { return key{r.o.Node, r.o.Life, number} }

func (r *Recorder) add(entry []byte, version uint64) {
	r.pending, r.versions = append(r.pending, entry), append(r.versions, version)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Waiting is how many entries too few stores have.
func (r *Recorder) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Run hands entries over until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	defer func() {
		for _, c := range r.conns {
			c.Close()
		}
	}()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, gather) {
			return
		}
		for r.Waiting() > 0 && ctx.Err() == nil {
			if err := r.handOver(ctx); err != nil {
				if !r.warned {
					r.o.Log.Warn("regulated runs not recorded yet", "waiting", r.Waiting(), "err", err)
				}
				r.warned = true
				if !sleep(ctx, pauseAfter) {
					return
				}
				continue
			}
			if r.warned {
				r.o.Log.Info("regulated runs recorded again")
			}
			r.warned = false
		}
	}
}

// Drain waits until all is handed over, or the time is over.
func (r *Recorder) Drain(most time.Duration) bool {
	for until := time.Now().Add(most); r.Waiting() > 0; {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// batch is what is handed over at once.
type batch struct {
	entries   [][]byte
	documents map[uint64][]byte
}

func (r *Recorder) next() batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.pending), batchMost)
	b := batch{entries: slices.Clone(r.pending[:n]), documents: map[uint64][]byte{}}
	for _, v := range r.versions[:n] {
		if v != 0 {
			b.documents[v] = r.documents[v]
		}
	}
	return b
}

// kept drops entries that enough stores have, and documents that nothing names any more.
func (r *Recorder) kept(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending, r.versions = slices.Delete(r.pending, 0, n), slices.Delete(r.versions, 0, n)
	for v := range r.documents {
		if !slices.Contains(r.versions, v) {
			delete(r.documents, v)
		}
	}
}

var errFewStores = errors.New("fewer stores than must have a record took it")

// handOver hands the oldest entries to as many stores as needed, one in the place of each that doesn't take them. Those
// that had them from an earlier attempt may have them twice, which those who read the files know.
func (r *Recorder) handOver(ctx context.Context) error {
	stores := r.o.Stores()
	slices.SortStableFunc(stores, func(a, b snapshot.Store) int {
		return cmp.Or(cmp.Compare(far(a.Zone, r.o.Zone), far(b.Zone, r.o.Zone)), cmp.Compare(snapshot.Hash(r.o.Node+a.Name), snapshot.Hash(r.o.Node+b.Name)))
	})
	stores = slices.CompactFunc(stores, func(a, b snapshot.Store) bool { return a.Addr == b.Addr })
	if len(stores) < r.o.Need {
		return errFewStores
	}
	b := r.next()
	results := make(chan error, len(stores))
	going, taken, next, refused := 0, 0, 0, error(nil)
	for taken < r.o.Need {
		for going+taken < r.o.Need && next < len(stores) {
			c, err := r.conn(ctx, stores[next].Addr)
			next++
			if err != nil {
				refused = err
				continue
			}
			going++
			go func() { results <- c.hand(ctx, b) }()
		}
		if going == 0 {
			return errors.Join(errFewStores, refused)
		}
		err := <-results
		going--
		if err == nil {
			taken++
		} else {
			refused = err
		}
	}
	r.kept(len(b.entries))
	return nil
}

func far(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}

func (r *Recorder) conn(ctx context.Context, addr string) (*storeConn, error) {
	if c := r.conns[addr]; c != nil {
		select {
		case <-c.Done():
		default:
			return c, nil
		}
	}
	c, err := r.o.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	r.conns[addr] = &storeConn{Conn: c, has: map[uint64]bool{}}
	return r.conns[addr], nil
}

func (c *storeConn) hand(ctx context.Context, b batch) error {
	w := link.Writer{}
	var versions []uint64
	for v := range b.documents {
		if !c.has[v] {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	w.U32(uint32(len(versions)))
	for _, v := range versions {
		w.U64(v)
		w.Bytes(b.documents[v])
	}
	w.U32(uint32(len(b.entries)))
	for _, e := range b.entries {
		w.Bytes(e)
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	_, err := c.Call(ctx, kAppend, w.B)
	if err != nil {
		clear(c.has) // it may not know their text any more
		return err
	}
	for _, v := range versions {
		c.has[v] = true
	}
	return nil
}
