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
	// Open opens the log and replays its records; end is the offset of the end of a record. See
	// OpenIn.
	Open func(replay func(record []byte, end int64) error) (Log, error)
	// Zone is the failure domain. Workers in it are preferred.
	Zone string
	// MaxLostMachines is how many machines may be lost at once (survive.machines in the settings).
	MaxLostMachines int
	// RetentionMs is how long a job is retained after submission (bounds.status_every_s in the
	// settings).
	RetentionMs int64
	// LogCapacityBytes is the maximum size of the log on disk; 0: no limit.
	LogCapacityBytes int64
	// ReportReady is called, repeatedly, when the next group of a partition's replicas is up to
	// date, so that SwitchReplicas should be applied to the table. It must not block.
	ReportReady func(partition int, epoch uint64)
	// AnnounceStopping is called, repeatedly, while the table does not have the right mark whether
	// this store is stopping, so that SetStopping should be applied to it. It must not block.
	AnnounceStopping func(store uint64, stopping bool)
	// Logf logs a line; nil: no log.
	Logf func(format string, args ...any)
}

// drainPollInterval is how often Drain checks whether other stores lead the partitions.
const drainPollInterval = 25 * time.Millisecond

// ErrDiskFull is the class of errors of a store whose disk is full. The existing log is intact: the
// store can be opened again once there is space.
var ErrDiskFull = errs.Class("the disk for batch jobs is full: free up space")

// Store stores batch jobs: it is the core with its goroutines, clock, network and disk. It is the
// link.Handler of the connections that other processes open to it. It is safe for concurrent use.
type Store struct {
	core        *core // used only by run
	log         Log
	connections *storeConnections // to other stores
	start       time.Time         // zero of the monotonic clock

	wake       chan struct{}  // for run: the queue is not empty
	done       chan struct{}  // closed when the store stops
	stopped    chan struct{}  // closed once nothing uses the log any more
	goroutines sync.WaitGroup // run and syncLoop

	mu     sync.Mutex
	queue  []func() // events for run
	closed bool
	err    error

	diskUse  diskOperation // of run
	diskSync diskOperation // of syncLoop
	logFull  atomic.Bool   // core.logFull, for other goroutines

	leads leadBoard // the lead of each partition, for other goroutines

	syncWake        chan struct{} // for syncLoop: records have been appended
	syncMu          sync.Mutex
	appendedRecords uint64
	appendedEnd     int64 // offset of the end of the newest record
}

// NewStore opens a store's log and starts to serve. An empty disk gets a new identity. The error is
// of class ErrDiskFull if there is no space, and of class recordlog.ErrDamaged if the log is
// corrupt.
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
	s.setClock()
	s.core.startedMs = s.core.nowMs
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

// openLog opens the log and replays it, and ensures that the store has a durable identity.
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
	if c.process, err = newIdentity(); err != nil {
		return err
	}
	// Appended even if the log has the identity already, so that everything replayed is durable
	// with it.
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

// newIdentity generates the identity of a store or of a process: 63 random bits, not zero.
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

// ID returns the identity stored on this disk.
func (s *Store) ID() uint64 { return s.core.self }

// Update passes a newer snapshot to the store, with the newest agreed table. A nil snapshot, and
// anything older than what is known, is ignored.
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

// Drain makes the store reject new jobs and lets other replicas take over the lead of its
// partitions. It returns nil once the store leads nothing and can end without loss, Err when the
// store has stopped, and the context's error when that is cancelled first: then others take over
// once they detect that this store is gone.
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

// Done is closed when the store has stopped; Err returns the reason.
func (s *Store) Done() <-chan struct{} { return s.done }

// Stopped is closed, some time after Done, once nothing uses the store's log any more.
func (s *Store) Stopped() <-chan struct{} { return s.stopped }

// Err returns why the store has stopped; nil if it was closed or has not stopped.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Close stops the store. It does not wait: see Stopped.
func (s *Store) Close() { s.end(nil) }

// end stops the store, once. Any goroutine may call it, including run.
func (s *Store) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed, s.err = true, err
		close(s.done)
		go s.shutDown()
	}
}

// shutDown waits for all goroutines of the store, then closes the log. Records that were not synced
// were not acknowledged.
func (s *Store) shutDown() {
	if s.connections != nil {
		s.connections.close()
	}
	s.goroutines.Wait()
	if closer, ok := s.log.(interface{ Close() error }); ok {
		_ = closer.Close() // everything acknowledged is durable
	}
	close(s.stopped)
}

// Message handles a message over a link.
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

// Closed is called when a link that another process opened has closed.
func (s *Store) Closed(c *link.Conn) { s.enqueue(func() { s.core.connectionClosed(c) }) }
