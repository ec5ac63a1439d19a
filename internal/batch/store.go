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
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// Log is where a store keeps what it has: OpenLog's. Here at is the position after a record.
type Log interface {
	Append(payload []byte) (at int64, err error)
	// ReadRaw reads bytes inside a payload, unchecked: at is the place of the first of them.
	ReadRaw(at int64, n int) ([]byte, error)
	Size() int64
	segmented
	// SyncTo returns when all up to a position is durable.
	SyncTo(at int64) error
}

// StoreOptions say what a store is.
type StoreOptions struct {
	// Open opens the log and replays what it holds.
	Open func(replay func(payload []byte, at int64) error) (Log, error)
	Zone string
	// MachinesLost is how many may be lost at once (survive.machines).
	MachinesLost int
	// KeepMs is how long a job stays after it was sent (bounds.status_every_s).
	KeepMs int64
	// RoomBytes is what the log may take of the disk; 0: no limit.
	RoomBytes int64
	// Ready is called, again and again, when the next group of a part has all of it: Switch belongs into the register.
	// It must not block.
	Ready func(part int, epoch uint64)
	// AnnounceStopping is called, again and again, while the table does not say whether this store is about to stop:
	// SetStopping belongs into the register. It must not block.
	AnnounceStopping func(store uint64, stopping bool)
	Logf             func(format string, args ...any)
}

// handOverPoll is how often a store that stops looks whether others lead its parts.
const handOverPoll = 25 * time.Millisecond

// ErrNoRoom is for a store whose disk takes no more and holds what it held before: the store can be opened again once there
// is room.
var ErrNoRoom = errs.Class("the disk of batch jobs takes no more, make room")

// Store keeps batch jobs. It is the link.Handler of the connections that others open to it.
type Store struct {
	core  *core
	log   Log
	pool  *pool
	start time.Time
	wake  chan struct{}
	done  chan struct{}
	err   error
	// stopped is closed once nothing uses the log any more, which workers do.
	stopped chan struct{}
	workers sync.WaitGroup

	mu     sync.Mutex
	queue  []func()
	closed bool

	using   operation   // of the disk, by the goroutine of run
	syncing operation   // of the disk, by that of syncLoop
	full    atomic.Bool // core.full, for other goroutines

	syncMu   sync.Mutex
	syncWake chan struct{}
	syncN    uint64
	syncAt   int64
}

// noting notes where the last record ends, for the sync, and how long the disk takes.
type noting struct {
	Log
	s *Store
}

func (n noting) Append(b []byte) (int64, error) {
	defer n.timed()()
	at, err := n.Log.Append(b)
	if err != nil && !recordlog.ErrUnusable.Has(err) {
		err = ErrNoRoom.Wrap(err)
	}
	if err == nil {
		n.s.syncMu.Lock()
		n.s.syncAt = at
		at -= int64(len(b))
		n.s.syncN++
		n.s.syncMu.Unlock()
		select {
		case n.s.syncWake <- struct{}{}:
		default:
		}
	}
	return at, err
}

func (n noting) ReadRaw(at int64, size int) ([]byte, error) {
	defer n.timed()()
	return n.Log.ReadRaw(at, size)
}

func (n noting) Rotate() error {
	defer n.timed()()
	return n.Log.Rotate()
}

func (n noting) DropOldest() error {
	defer n.timed()()
	return n.Log.DropOldest()
}

// timed begins an operation of the disk, and returns what ends it.
func (n noting) timed() (end func()) {
	n.s.using.begin(time.Since(n.s.start))
	return n.s.using.end
}

// OpenIn opens the log of a store in a folder.
func OpenIn(folder journal.Folder) func(replay func(payload []byte, at int64) error) (Log, error) {
	return func(replay func(payload []byte, at int64) error) (Log, error) {
		return OpenLog(folder, "lots.log", replay)
	}
}

// NewStore opens a store's log and begins to serve. An empty disk gets a new identity.
func NewStore(o StoreOptions) (*Store, error) {
	s := &Store{start: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}), syncWake: make(chan struct{}, 1),
		stopped: make(chan struct{})}
	c := newCore(0, nil)
	s.core = c
	c.zone, c.maxLost, c.keep, c.room, c.logf = o.Zone, o.MachinesLost, o.KeepMs, o.RoomBytes, o.Logf
	if o.Ready != nil {
		c.ready = o.Ready
	}
	if o.AnnounceStopping != nil {
		c.announceStopping = func(stopping bool) { o.AnnounceStopping(c.self, stopping) }
	}
	c.fail = func(err error) { s.end(fmt.Errorf("the log of batch jobs: %w", err)) }
	log, err := o.Open(func(payload []byte, at int64) error { return c.replay(payload, at-int64(len(payload))) })
	if recordlog.IsDiskFull(err) {
		return nil, ErrNoRoom.Wrap(err)
	}
	if err != nil {
		return nil, err
	}
	s.log = log
	c.disk = noting{log, s}
	if c.self == 0 {
		var b [8]byte
		for c.self == 0 {
			if _, err := rand.Read(b[:]); err != nil {
				return nil, err
			}
			c.self = binary.BigEndian.Uint64(b[:]) >> 1
		}
		c.append(encodeRec(recID, 0, c.self))
	} else {
		c.append(encodeRec(recID, 0, c.self)) // so that all that was replayed is durable with it
	}
	if c.dead {
		<-s.stopped
		return nil, s.err
	}
	if err := log.SyncTo(s.syncAt); err != nil {
		return nil, err
	}
	c.synced(c.appended)
	s.pool = &pool{to: map[uint64]*dialled{},
		up:      func(id uint64, conn *link.Conn) { s.do(func() { c.peerUp(id, conn) }) },
		down:    func(id uint64, conn *link.Conn) { s.do(func() { c.peerDown(id, conn) }) },
		message: func(_ uint64, m *link.Message) { s.Message(m) },
	}
	s.workers.Go(s.run)
	s.workers.Go(s.syncLoop)
	return s, nil
}

// ID is the identity on this disk.
func (s *Store) ID() uint64 { return s.core.self }

// Update hands over a newer view. The table in it is the newest that is agreed.
func (s *Store) Update(v *snapshot.Snapshot) {
	if v == nil {
		return
	}
	s.do(func() {
		if v.Config != nil && (s.core.config == nil || v.Config.Version >= s.core.config.Version) {
			s.core.config = v.Config
		}
		s.core.setTable(v.Table)
	})
	if v.Table != nil {
		s.pool.set(v.Table.Stores, s.core.self)
	}
}

// HandOver makes the store take no more jobs and give the lead of its parts to other copies. It returns nil when the
// store leads nothing, and the context's error when that ends first: then others take over after they have missed it.
func (s *Store) HandOver(ctx context.Context) error {
	s.do(s.core.stop)
	tick := time.NewTicker(handOverPoll)
	defer tick.Stop()
	for {
		over := make(chan bool, 1)
		s.do(func() { over <- s.core.handedOver() })
		select {
		case done := <-over:
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

// Done is closed when the store can't go on; Err tells why.
func (s *Store) Done() <-chan struct{} { return s.done }

// Stopped is closed when nothing uses the store's log any more, some time after Done.
func (s *Store) Stopped() <-chan struct{} { return s.stopped }

// Err is why the store ended.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Close ends it.
func (s *Store) Close() { s.end(nil) }

func (s *Store) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed, s.err = true, err
		close(s.done)
		if s.pool != nil {
			go s.pool.close()
		}
		go s.closeLog()
	}
}

// closeLog closes the log once nobody writes to it any more. What was not synced was not promised.
func (s *Store) closeLog() {
	s.workers.Wait()
	if l, ok := s.log.(interface{ Close() error }); ok {
		_ = l.Close()
	}
	close(s.stopped)
}

// Message takes what a peer sends.
func (s *Store) Message(m *link.Message) {
	if m.Kind == kHello {
		m.Reply(binary.BigEndian.AppendUint64(nil, s.core.self))
		return
	}
	s.do(func() {
		var call Caller
		if m.Wants() {
			call = m
		}
		s.core.message(m.Conn, call, m.Kind, m.Body)
	})
}

// Closed ends what hung on a connection.
func (s *Store) Closed(c *link.Conn) { s.do(func() { s.core.pipeClosed(c) }) }

// Handles tells whether a kind of message is one of batch jobs.
func Handles(k link.Kind) bool { return k >= kHello && k <= kUsageAsk }

func (s *Store) do(fn func()) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.queue = append(s.queue, fn)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the only goroutine that touches the core.
func (s *Store) run() {
	timer := time.NewTimer(200 * time.Millisecond)
	defer timer.Stop()
	next := time.Now()
	for {
		select {
		case <-s.wake:
		case <-timer.C:
		case <-s.done:
			return
		}
		s.mu.Lock()
		todo := s.queue
		s.queue = nil
		s.mu.Unlock()
		for _, fn := range todo {
			s.clock()
			fn()
		}
		s.clock()
		pause := 250 * time.Millisecond
		if s.core.busy() {
			pause = 25 * time.Millisecond
		}
		if now := time.Now(); !now.Before(next) || now.Add(pause).Before(next) {
			s.core.tick()
			next = now.Add(pause)
			timer.Reset(pause)
		}
		s.full.Store(s.core.full)
	}
}

func (s *Store) clock() {
	s.core.now = time.Since(s.start).Milliseconds() + 1
}

// syncLoop syncs what was appended, all that waits at once.
func (s *Store) syncLoop() {
	var last uint64
	for {
		select {
		case <-s.syncWake:
		case <-s.done:
			return
		}
		s.syncMu.Lock()
		n, at := s.syncN, s.syncAt
		s.syncMu.Unlock()
		if n == last {
			continue
		}
		last = n
		s.syncing.begin(time.Since(s.start))
		err := s.log.SyncTo(at)
		s.syncing.end()
		if err != nil {
			s.end(fmt.Errorf("syncing the log of batch jobs: %w", err))
			return
		}
		s.do(func() { s.core.synced(n); s.core.dispatch() })
	}
}
