package batch

import (
	"context"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Item is an item of a job that a worker is to run.
type Item struct {
	Job     string // ID
	ID      string
	Route   string // name
	Host    string // of the route
	Path    string
	Headers [][2]string // name and value
	Body    []byte
	Tokens  int64
	Due     time.Time // when the result is due
	// MayStart has to be asked right before the item is sent to an endpoint. False: its job may
	// have ended, or this proxy is out of touch with the store; Run returns RunNotStarted then.
	MayStart func() bool
}

// Runner runs items. Run sends the item to an endpoint, with Last-Event-Id if that is not empty,
// calls event for each event as it comes, and returns how the run ended. When the context ends, Run
// stops.
type Runner interface {
	Run(ctx context.Context, item *Item, lastEventID string, event func(id string, data []byte)) RunResult
}

// RunResult is what a run came to.
type RunResult struct {
	End        RunEnd
	RetryAfter time.Duration // of RunNotStarted: when to run it again
}

// RunEnd is how a run ended.
type RunEnd uint8

// The ends of runs.
const (
	RunCompleted   RunEnd = iota // the whole answer came
	RunInterrupted               // the answer broke off; the item goes on after the newest event
	RunFailed                    // the endpoint answered 500
	RunImpossible                // the endpoint answered 422: the item can never be done
	RunNotStarted                // the item was not sent, or was rejected
)

// itemRunner is the worker of a proxy: it runs the items that stores assign to it. See worker for
// how a store sees it.
//
// It may start items of a partition only while the primary of the partition is connected and has
// noted what runs here. So the end of a job reaches it, or it stops by itself. Results are kept
// until the primary has stored them, and go to the next primary if it changes.
//
// Errors of sending are dropped: they say that the connection has ended, which disconnected is told,
// and all that is still needed is sent again over the next one.
type itemRunner struct {
	runner Runner // nil: no items are run
	name   string // of the proxy
	zone   string

	mu              sync.Mutex
	maxRunning      int                   // over all stores
	announcedLimits map[uint64]int        // the limit that each store knows
	conns           map[uint64]*link.Conn // to stores, by identity
	running         map[itemKey]*runningItem
	contacts        map[int]*primaryContact // by partition; nil: no item of it is here
	table           *snapshot.PartitionTable
	closed          bool
}

// primaryContact says over which connection and under which epoch the primary of a partition was
// told what runs here.
type primaryContact struct {
	conn         *link.Conn
	epoch        uint64
	runningNoted bool // the primary has noted it
	startsPaused bool // the primary may have been replaced
}

// runningItem is an item that is assigned to this worker. Its goroutine (run) ends when its context does.
type runningItem struct {
	key         itemKey
	item        *Item
	maxAttempts int
	ctx         context.Context // ends when the item is cancelled or its result is stored
	cancel      context.CancelFunc

	done      bool // the rest is its result, which the primary has not stored yet
	abandoned bool
	text      []byte
}

func newItemRunner(options ProxyOptions) *itemRunner {
	return &itemRunner{
		runner:          options.Runner,
		name:            options.Name,
		zone:            options.Zone,
		announcedLimits: map[uint64]int{},
		conns:           map[uint64]*link.Conn{},
		running:         map[itemKey]*runningItem{},
		contacts:        map[int]*primaryContact{},
	}
}

// close cancels all items. It does not wait for their runs, which end as soon as their Runner sees that.
func (r *itemRunner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, item := range r.running {
		item.cancel()
	}
}

func (r *itemRunner) setMaxRunning(items int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if items == r.maxRunning {
		return
	}
	r.maxRunning = items
	r.announceLimits()
}

// updateTable is the event of a newer table.
func (r *itemRunner) updateTable(t *snapshot.PartitionTable) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table == t {
		return
	}
	r.table = t
	r.announceLimits()
	r.reportRunning()
}

// connected is the event of a new connection to a store.
func (r *itemRunner) connected(id uint64, conn *link.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[id] = conn
	delete(r.announcedLimits, id)
	r.announceLimits()
	r.reportRunning()
}

// disconnected is the event that a connection to a store has ended.
func (r *itemRunner) disconnected(id uint64, conn *link.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[id] == conn {
		delete(r.conns, id)
	}
	for partition, contact := range r.contacts {
		if contact.conn == conn {
			delete(r.contacts, partition)
		}
	}
}

// limitPerStore is how many items one store may have assigned here: an equal share for each that
// leads a partition.
func (r *itemRunner) limitPerStore() int {
	if r.table == nil || r.maxRunning <= 0 || r.runner == nil {
		return 0
	}
	primaries := map[uint64]bool{}
	for i := range r.table.Partitions {
		primaries[r.table.Partitions[i].Primary] = true
	}
	stores := max(len(primaries), 1)
	return (r.maxRunning + stores - 1) / stores
}

// announceLimits tells each store its limit, if it has changed.
func (r *itemRunner) announceLimits() {
	limit := r.limitPerStore()
	for id, conn := range r.conns {
		if known, ok := r.announcedLimits[id]; ok && known == limit {
			continue
		}
		r.announcedLimits[id] = limit
		_ = conn.Send(kindAttachWorker, encodeAttachWorker(r.name, r.zone, limit))
	}
}

// reportRunning reports to each primary that does not know it what runs here of its partition.
func (r *itemRunner) reportRunning() {
	if r.table == nil {
		return
	}
	for partition := range r.table.Partitions {
		row := &r.table.Partitions[partition]
		contact := r.contacts[partition]
		if contact != nil && contact.epoch > row.Epoch {
			continue // its primary is newer than the table
		}
		conn := r.conns[row.Primary]
		if conn != nil && (contact == nil || contact.conn != conn || contact.epoch < row.Epoch) {
			r.reportRunningOf(partition, conn, row.Epoch)
		}
	}
}

// reportRunningOf reports to the primary of a partition under an epoch what runs here of it. Until
// it has noted that, nothing of the partition is started.
func (r *itemRunner) reportRunningOf(partition int, conn *link.Conn, epoch uint64) {
	var keys []itemKey
	for key := range r.running {
		if key.partition == partition {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		delete(r.contacts, partition)
		return
	}
	r.contacts[partition] = &primaryContact{conn: conn, epoch: epoch}
	_ = conn.Send(kindReportRunning, encodeReportRunning(partition, epoch, keys))
}

// handleMessage is the event of a message of a store.
func (r *itemRunner) handleMessage(m *link.Message) {
	if m.Kind == kindAssignItem {
		r.handleAssign(m)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	body := link.Reader{Buf: m.Body}
	partition := int(body.U32())
	switch m.Kind {
	case kindRunningNoted:
		if epoch := body.U64(); body.Err == nil {
			r.handleRunningNoted(m.Conn, partition, epoch)
		}
	case kindPauseStarts:
		if contact := r.contacts[partition]; contact != nil && body.Err == nil && contact.conn == m.Conn {
			contact.startsPaused = true
		}
	case kindResultStored:
		key := itemKey{partition: partition, jobID: body.String(), index: int(body.U32())}
		if item := r.running[key]; item != nil && body.Err == nil {
			item.cancel()
			delete(r.running, key)
		}
	case kindCancelJob:
		if jobID := body.String(); body.Err == nil {
			r.handleCancel(m, partition, jobID)
		}
	}
}

// handleRunningNoted is the event that a primary has noted what runs here. Results go to it from now on.
func (r *itemRunner) handleRunningNoted(conn *link.Conn, partition int, epoch uint64) {
	contact := r.contacts[partition]
	if contact == nil || contact.conn != conn || contact.epoch != epoch && epoch != anyEpoch {
		return
	}
	contact.runningNoted, contact.startsPaused = true, false
	for _, item := range r.running {
		if item.key.partition == partition && item.done {
			sendResult(conn, item)
		}
	}
}

// handleCancel is the event that a job has ended. It counts only from the primary that knows what runs here.
func (r *itemRunner) handleCancel(m *link.Message, partition int, jobID string) {
	if contact := r.contacts[partition]; contact != nil && contact.conn != m.Conn {
		return // from a primary that has been replaced
	}
	for key, item := range r.running {
		if key.partition == partition && key.jobID == jobID {
			item.cancel()
			delete(r.running, key)
		}
	}
	_ = m.Conn.Send(kindJobCancelled, m.Body)
}

// handleAssign is the event that a store assigns an item.
func (r *itemRunner) handleAssign(m *link.Message) {
	message, err := decodeAssignMessage(m.Body)
	if err != nil {
		return
	}
	item, err := message.toItem(time.Now())
	if err != nil {
		return
	}
	r.acceptItem(m.Conn, message.epoch, message.item, item, message.maxAttempts)
}

// acceptItem starts the run of an item that the primary of its partition has assigned, once.
func (r *itemRunner) acceptItem(conn *link.Conn, epoch uint64, key itemKey, item *Item, maxAttempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	contact := r.contacts[key.partition]
	if contact != nil && contact.epoch > epoch && contact.conn != conn { // from a primary that has been replaced
		_ = conn.Send(kindReturnItem, encodeItemRef(key))
		return
	}
	if r.closed {
		return
	}
	if contact != nil && contact.conn == conn {
		contact.startsPaused = false // a primary that is not confirmed assigns nothing
	}
	if known := r.running[key]; known == nil {
		r.startItem(key, item, maxAttempts)
	} else if known.done {
		sendResult(conn, known)
	}
	if contact == nil {
		r.contacts[key.partition] = &primaryContact{conn: conn, epoch: epoch, runningNoted: true}
	} else if contact.conn != conn || contact.epoch < epoch {
		r.reportRunningOf(key.partition, conn, epoch)
	}
}

func (r *itemRunner) startItem(key itemKey, item *Item, maxAttempts int) {
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningItem{key: key, item: item, maxAttempts: maxAttempts, ctx: ctx, cancel: cancel}
	item.MayStart = func() bool { return r.mayStart(running) }
	r.running[key] = running
	go r.run(running)
}

// mayStart reports whether an item may be sent to an endpoint: the primary of its partition knows
// that it runs here, over a connection that is open, so the end of its job would be heard of.
func (r *itemRunner) mayStart(running *runningItem) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running.ctx.Err() != nil || r.running[running.key] != running {
		return false
	}
	contact := r.contacts[running.key.partition]
	if contact == nil || !contact.runningNoted || contact.startsPaused {
		return false
	}
	select {
	case <-contact.conn.Done():
		return false
	default:
		return true
	}
}

// finish keeps the result of an item until the primary of the partition has stored it.
func (r *itemRunner) finish(running *runningItem, abandoned bool, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[running.key] != running || running.ctx.Err() != nil {
		return
	}
	running.done, running.abandoned, running.text = true, abandoned, text
	running.item.Body = nil // not needed any more
	if contact := r.contacts[running.key.partition]; contact != nil && contact.runningNoted {
		sendResult(contact.conn, running)
	}
}

// sendResult sends the result of an item to a store.
func sendResult(conn *link.Conn, item *runningItem) {
	_ = conn.Send(kindItemResult, encodeItemResult(item.key, item.abandoned, item.text))
}
