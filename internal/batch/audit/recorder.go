package audit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// defaultMaxPending is the default maximum number of entries in a recorder.
	defaultMaxPending = 16384
	// batchDelay is how long entries are collected before they are delivered together.
	batchDelay = 30 * time.Millisecond
	// retryDelay is the pause after a delivery that too few stores accepted.
	retryDelay = 200 * time.Millisecond
)

// RecorderOptions are the options of a Recorder.
type RecorderOptions struct {
	NodeName       string
	Incarnation    uint64 // of the proxy's process; with the node name and a number it identifies a run
	Zone           string // stores in the same zone are preferred
	RequiredStores int    // stores that must have an entry on disk: one more than the number of machines that may be lost
	Stores         func() []snapshot.Store
	Dial           func(ctx context.Context, addr string) (Conn, error) // nil: over package link
	Now            func() time.Time                                     // nil: time.Now
	MaxPending     int                                                  // entries; 0: 16,384
	Log            hclog.Logger                                         // nil: no log
}

// Recorder keeps the entries of a proxy's runs until enough stores have them on disk. It is safe for concurrent use.
type Recorder struct {
	options RecorderOptions
	wake    chan struct{} // has a token when there are entries to deliver

	mu           sync.Mutex
	pending      []pendingEntry
	certificates map[uint64][]byte // texts by version: those that pending entries refer to
	openRuns     int               // runs that have begun and not ended
	lastNumber   uint64            // of a run
	drained      chan struct{}     // closed when nothing is pending any more; nil unless Drain waits for it

	// Only the goroutine of Run uses these.
	conns    map[string]*storeConn // by address
	retrying bool                  // the last delivery failed
}

// pendingEntry is an entry that not enough stores have yet.
type pendingEntry struct {
	entry               []byte
	certificatesVersion uint64 // the version that the entry refers to; 0 if none
}

// NewRecorder returns a recorder. Its Run must be called for entries to be delivered.
func NewRecorder(options RecorderOptions) *Recorder {
	if options.MaxPending == 0 {
		options.MaxPending = defaultMaxPending
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = hclog.NewNullLogger()
	}
	if options.Dial == nil {
		options.Dial = func(ctx context.Context, addr string) (Conn, error) {
			return link.Dial(ctx, addr, rejectCalls{}, link.DefaultOptions)
		}
	}
	return &Recorder{
		options:      options,
		wake:         make(chan struct{}, 1),
		certificates: map[uint64][]byte{},
		conns:        map[string]*storeConn{},
	}
}

// Begin records that a run is about to be sent by the given certificates, whose text is passed as submitted, and
// returns the number of the run. It returns false if there is no space for the run's start and end: then the run must
// not be sent.
func (r *Recorder) Begin(run Run, certificates []byte) (number uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending)+r.openRuns+2 > r.options.MaxPending {
		return 0, false
	}
	r.certificates[run.CertificatesVersion] = certificates
	r.lastNumber++
	r.openRuns++
	r.add(pendingEntry{runStartedEntry(r.key(r.lastNumber), run), run.CertificatesVersion})
	return r.lastNumber, true
}

// End records how the run with the given number ended. It must be called once for each run that Begin accepted.
func (r *Recorder) End(number uint64, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openRuns--
	r.add(pendingEntry{entry: runEndedEntry(r.key(number), r.options.Now(), outcome)})
}

func (r *Recorder) key(number uint64) runKey {
	return runKey{r.options.NodeName, r.options.Incarnation, number}
}

// add appends an entry. The caller holds mu.
func (r *Recorder) add(entry pendingEntry) {
	r.pending = append(r.pending, entry)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Pending returns how many entries not enough stores have yet.
func (r *Recorder) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Run delivers entries to stores until the context is cancelled, and then closes its connections. It may be called only
// once.
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
		if !sleep(ctx, batchDelay) {
			return
		}
		for r.Pending() > 0 && ctx.Err() == nil {
			err := r.deliver(ctx)
			r.logDelivery(err)
			if err != nil && !sleep(ctx, retryDelay) {
				return
			}
		}
	}
}

// logDelivery logs the first failed delivery after a successful one, and the first successful one after a failed one.
func (r *Recorder) logDelivery(err error) {
	switch {
	case err != nil && !r.retrying:
		r.options.Log.Warn("delivery of audit entries failed; retrying", "waiting", r.Pending(), "err", err)
	case err == nil && r.retrying:
		r.options.Log.Info("delivery of audit entries resumed")
	}
	r.retrying = err != nil
}

// Drain waits until enough stores have all entries, up to a timeout, and reports whether they have. Run must be running
// in the meantime.
func (r *Recorder) Drain(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		r.mu.Lock()
		if len(r.pending) == 0 {
			r.mu.Unlock()
			return true
		}
		if r.drained == nil {
			r.drained = make(chan struct{})
		}
		drained := r.drained
		r.mu.Unlock()
		select {
		case <-drained:
		case <-timer.C:
			return false
		}
	}
}

// acknowledge drops the n oldest entries, which enough stores have, and the certificates that no other entry refers to.
func (r *Recorder) acknowledge(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = slices.Delete(r.pending, 0, n)
	for version := range r.certificates {
		named := func(e pendingEntry) bool { return e.certificatesVersion == version }
		if !slices.ContainsFunc(r.pending, named) {
			delete(r.certificates, version)
		}
	}
	if len(r.pending) == 0 && r.drained != nil {
		close(r.drained)
		r.drained = nil
	}
}

// sleep waits for a duration. It returns false if the context is cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
