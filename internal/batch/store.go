package batch

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// StoreOptions configure a Store.
type StoreOptions struct {
	// Open opens the log and replays what it holds; end is the offset behind a record. See OpenIn.
	Open func(replay func(record []byte, end int64) error) (Log, error)
	// Zone is the failure domain. Workers in it are preferred.
	Zone string
	// MaxLostMachines is how many machines may be lost at once (survive.machines in the settings).
	MaxLostMachines int
	// RetentionMs is how long a job is retained after it was submitted (bounds.status_every_s in the settings).
	RetentionMs int64
	// LogCapacityBytes is what the log may take of the disk; 0: no limit.
	LogCapacityBytes int64
	// ReportReady is called, again and again, when the next group of a partition's replicas is up
	// to date, so that SwitchReplicas should be applied to the table. It must not block.
	ReportReady func(partition int, epoch uint64)
	// AnnounceStopping is called, again and again, while the table does not say whether this store
	// is about to stop, so that SetStopping should be applied to it. It must not block.
	AnnounceStopping func(store uint64, stopping bool)
	// Logf logs; nil: nothing is logged.
	Logf func(format string, args ...any)
}

// drainPollInterval is how often Drain looks whether other stores lead the partitions.
const drainPollInterval = 25 * time.Millisecond

// ErrDiskFull is the class of errors of a store whose disk takes no more. What the log held before
// is intact: the store can be opened again once there is space.
var ErrDiskFull = errs.Class("the disk of batch jobs takes no more, make room")

// Store stores batch jobs: the core with its goroutines, clock, network and disk. It is the
// link.Handler of the connections that other processes open to it. It is safe for concurrent use.
type Store struct {
	core        *core // touched by run alone
	log         Log
	connections *storeConnections // to other stores
	start       time.Time         // zero of the steady clock

	wake       chan struct{}  // for run: something is in the queue
	done       chan struct{}  // closed when the store ends
	stopped    chan struct{}  // closed once nothing uses the log any more
	goroutines sync.WaitGroup // run and syncLoop

	mu     sync.Mutex
	queue  []func() // events for run
	closed bool
	err    error

	diskUse  diskOperation // of run
	diskSync diskOperation // of syncLoop
	logFull  atomic.Bool   // core.logFull, for other goroutines

	syncWake        chan struct{} // for syncLoop: records have been appended
	syncMu          sync.Mutex
	appendedRecords uint64
	appendedEnd     int64 // offset behind the newest record
}

// NewStore opens a store's log and begins to serve. An empty disk gets a new identity. The error is
// of class ErrDiskFull if there is no space, and of class recordlog.ErrDamaged if the log is not what was
// written.
func NewStore(options StoreOptions) (*Store, error) {
	s := &Store{
		core:     newCore(0, nil),
		start:    time.Now(),
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		stopped:  make(chan struct{}),
		syncWake: make(chan struct{}, 1),
	}
	s.configureCore(options)
	if err := s.openLog(options); err != nil {
		return nil, err
	}
	s.connections = newStoreConnections(storeEvents{
		connected:    func(id uint64, conn *link.Conn) { s.enqueue(func() { s.core.peerConnected(id, conn) }) },
		disconnected: func(id uint64, conn *link.Conn) { s.enqueue(func() { s.core.peerDisconnected(id, conn) }) },
		message:      s.Message,
	})
	s.goroutines.Go(s.run)
	s.goroutines.Go(s.syncLoop)
	return s, nil
}

func (s *Store) configureCore(options StoreOptions) {
	c := s.core
	c.zone = options.Zone
	c.maxLostReplicas = options.MaxLostMachines
	c.retentionMs = options.RetentionMs
	c.logCapacity = options.LogCapacityBytes
	c.logf = options.Logf
	if options.ReportReady != nil {
		c.reportReady = options.ReportReady
	}
	if options.AnnounceStopping != nil {
		c.announceStopping = func(stopping bool) { options.AnnounceStopping(c.self, stopping) }
	}
	c.onDiskFailure = func(err error) { s.end(fmt.Errorf("the log of batch jobs: %w", err)) }
}

// openLog opens the log and replays it, and makes sure that the store has an identity that is durable.
func (s *Store) openLog(options StoreOptions) error {
	c := s.core
	log, err := options.Open(func(record []byte, end int64) error { return c.replay(record, end-int64(len(record))) })
	if recordlog.IsDiskFull(err) {
		return ErrDiskFull.Wrap(err)
	}
	if err != nil {
		return err
	}
	s.log = log
	c.disk = trackedLog{log, s}
	if c.self == 0 {
		if c.self, err = newIdentity(); err != nil {
			return err
		}
	}
	// Also if the log has the identity already, so that all that was replayed is durable with it.
	c.appendRecord(encodeRecord(recordIdentity, 0, c.self))
	if c.diskFailed {
		<-s.stopped
		return s.err
	}
	if err := log.SyncTo(s.appendedEnd); err != nil {
		return err
	}
	c.recordsSynced(c.appendedRecords)
	return nil
}

// newIdentity draws the identity of a store: 63 random bits, not zero.
func newIdentity() (uint64, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, err
		}
		if id := binary.BigEndian.Uint64(b[:]) >> 1; id != 0 {
			return id, nil
		}
	}
}

// ID is the identity on this disk.
func (s *Store) ID() uint64 { return s.core.self }

// Update gives the store a newer snapshot, with the newest table that is agreed. Nil, and what is
// older than known, changes nothing.
func (s *Store) Update(v *snapshot.Snapshot) {
	if v == nil {
		return
	}
	s.enqueue(func() {
		if v.Config != nil && (s.core.config == nil || v.Config.Version >= s.core.config.Version) {
			s.core.config = v.Config
		}
		s.core.setTable(v.Table)
	})
	if v.Table != nil {
		s.connections.setStores(v.Table.Stores, s.core.self)
	}
}

// Drain makes the store accept no more jobs and lets other replicas take the lead of its
// partitions. It returns nil when the store leads nothing and nothing depends on it, Err when the
// store has ended, and the context's error when that ends first: then others take over after they
// have missed it.
func (s *Store) Drain(ctx context.Context) error {
	s.enqueue(s.core.beginDraining)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		drained := make(chan bool, 1)
		s.enqueue(func() { drained <- s.core.drained() })
		select {
		case done := <-drained:
			if done {
				return nil
			}
		case <-s.done:
			return s.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-tick.C:
		case <-s.done:
			return s.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Done is closed when the store has ended; Err says why.
func (s *Store) Done() <-chan struct{} { return s.done }

// Stopped is closed when nothing uses the store's log any more, some time after Done.
func (s *Store) Stopped() <-chan struct{} { return s.stopped }

// Err is why the store has ended, nil if it was closed or has not ended.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Close ends the store. It does not wait for that: see Stopped.
func (s *Store) Close() { s.end(nil) }

// end ends the store once. It may be called by any goroutine, run among them.
func (s *Store) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed, s.err = true, err
		close(s.done)
		go s.shutDown()
	}
}

// shutDown waits for all goroutines of the store, and closes the log then. What was not synced was
// not acknowledged.
func (s *Store) shutDown() {
	if s.connections != nil {
		s.connections.close()
	}
	s.goroutines.Wait()
	if closer, ok := s.log.(interface{ Close() error }); ok {
		_ = closer.Close() // what was acknowledged is durable
	}
	close(s.stopped)
}

// Message is the event of a message over a link.
func (s *Store) Message(m *link.Message) {
	if m.Kind == kindHello {
		m.Reply(binary.BigEndian.AppendUint64(nil, s.core.self))
		return
	}
	s.enqueue(func() {
		var caller Caller
		if m.ExpectsReply() {
			caller = m
		}
		s.core.handleMessage(m.Conn, caller, m.Kind, m.Body)
	})
}

// Closed is the event that a link has ended that another process opened.
func (s *Store) Closed(c *link.Conn) { s.enqueue(func() { s.core.connectionClosed(c) }) }
