package batch

import (
	"context"
	"strings"
	"sync"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Item is an item of a job for a worker to run.
type Item struct {
	Job  string // ID
	ID   string
	Host string // of the job's route
	Path string
	// PathPrefix is that of the route by which the job was submitted; empty: its store is of a version that doesn't state it.
	PathPrefix string
	Headers    [][2]string // name and value
	Body       []byte
	Tokens     int64
	Due        time.Time // when the result is due
	// MayStart must be called immediately before the item is sent to an endpoint. If it returns
	// false, the job may have ended, or this proxy has lost contact with the store; Run returns
	// RunNotStarted then.
	MayStart func() bool
	// Rejected must be called when the item was sent and certainly not run, and Run is to wait for another endpoint.
	Rejected func()
}

// RouteIn returns the route by which the item may be run: that of its job in a configuration, or nil. If the job's path
// is not known, the item's own one decides, as for other requests.
func (i *Item) RouteIn(config *operatorconfig.Config) *operatorconfig.Route {
	if i.PathPrefix != "" {
		return config.MatchBulk(i.Host, i.PathPrefix)
	}
	path, _, _ := strings.Cut(i.Path, "?")
	return config.MatchBulk(i.Host, path)
}

// Runner runs items. Run sends the item to an endpoint, with Last-Event-Id if that is not empty,
// calls event for each event as it arrives, and returns how the run ended. Run stops when the
// context is cancelled.
type Runner interface {
	Run(ctx context.Context, item *Item, lastEventID string, event func(id string, data []byte)) RunResult
}

// RunResult is the result of a run.
type RunResult struct {
	End        RunEnd
	RetryAfter time.Duration // for RunNotStarted: the minimum delay before the next run
}

// RunEnd is how a run ended.
type RunEnd uint8

// The values of RunEnd.
const (
	RunCompleted   RunEnd = iota // the response is complete
	RunInterrupted               // the response was interrupted; the item resumes after the last event
	RunFailed                    // the endpoint responded with 500
	RunImpossible                // the endpoint responded with 422: the item can never succeed
	RunNotStarted                // the item was not sent, or was rejected
)

// itemRunner is the worker of a proxy: it runs the items that stores assign to it. See worker for
// the store's side.
//
// It may start items of a partition only while the primary of the partition is connected and has
// acknowledged the report of what runs here. So it is notified of the end of a job, or else starts
// nothing. Results are kept until the primary has stored them; if the primary changes, they are
// sent to the new one.
//
// Send errors are ignored: they mean that the connection has closed, for which disconnected is
// called, and everything still needed is sent again over the next one.
type itemRunner struct {
	runner Runner // nil: this proxy runs no items
	name   string // of the proxy
	zone   string

	mu              sync.Mutex
	maxRunning      int                   // across all stores
	announcedLimits map[uint64]int        // the limit last sent to each store
	conns           map[uint64]*link.Conn // to stores, by identity
	running         map[itemKey]*runningItem
	contacts        map[int]*primaryContact // by partition; absent if no item of it is here
	table           *snapshot.PartitionTable
	closed          bool
}

// primaryContact records the connection and the epoch for which the primary of a partition was sent
// the report of what runs here.
type primaryContact struct {
	conn         *link.Conn
	epoch        uint64
	runningNoted bool // the primary has acknowledged the report
	startsPaused bool // the primary may have been replaced
}

// runningItem is an item that is assigned to this worker. Its goroutine (run) returns once its
// context is cancelled.
type runningItem struct {
	key         itemKey
	item        *Item
	maxAttempts int
	ctx         context.Context // cancelled with the item, or once its result is stored
	cancel      context.CancelFunc

	done      bool // the fields below hold its result, which the primary has not stored yet
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

// close cancels all items. It does not wait for their runs, which return once their Runner notices
// the cancellation.
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

// updateTable is called with the newest table.
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

// connected is called when a connection to a store has opened.
func (r *itemRunner) connected(id uint64, conn *link.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[id] = conn
	delete(r.announcedLimits, id)
	r.announceLimits()
	r.reportRunning()
}

// disconnected is called when a connection to a store has closed.
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

// limitPerStore returns how many items one store may assign here: an equal share for each store
// that leads a partition.
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

// announceLimits sends each store its limit, if that has changed.
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

// reportRunning reports to each primary the items of its partition that run here, if the primary
// does not know them yet.
func (r *itemRunner) reportRunning() {
	if r.table == nil {
		return
	}
	for partition := range r.table.Partitions {
		row := &r.table.Partitions[partition]
		contact := r.contacts[partition]
		if contact != nil && contact.epoch > row.Epoch {
			continue // that primary is newer than the table
		}
		conn := r.conns[row.Primary]
		if conn != nil && (contact == nil || contact.conn != conn || contact.epoch < row.Epoch) {
			r.reportRunningOf(partition, conn, row.Epoch)
		}
	}
}

// reportRunningOf reports the running items of a partition to its primary under an epoch. No item
// of the partition is started until the primary has acknowledged the report.
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

// handleMessage handles a message from a store.
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
		if body.Err == nil {
			r.handleResultStored(m.Conn, key)
		}
	case kindCancelJob:
		if jobID := body.String(); body.Err == nil {
			r.handleCancel(m, partition, jobID)
		}
	}
}

// handleRunningNoted is called when a primary has acknowledged the report. From now on results are
// sent to it.
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

// fromReplacedPrimary reports whether a connection is not that of the primary that the report of a partition was sent to.
// What a replaced primary says of items is ignored: the new one may have assigned them to this worker.
func (r *itemRunner) fromReplacedPrimary(conn *link.Conn, partition int) bool {
	contact := r.contacts[partition]
	return contact != nil && contact.conn != conn
}

// handleResultStored is called when the result of an item is stored, or no longer needed. If a replaced primary says so,
// the result is sent to the new one, which answers.
func (r *itemRunner) handleResultStored(conn *link.Conn, key itemKey) {
	item := r.running[key]
	if item == nil || r.fromReplacedPrimary(conn, key.partition) {
		return
	}
	item.cancel()
	delete(r.running, key)
}

// handleCancel handles the end of a job.
func (r *itemRunner) handleCancel(m *link.Message, partition int, jobID string) {
	if r.fromReplacedPrimary(m.Conn, partition) {
		return
	}
	for key, item := range r.running {
		if key.partition == partition && key.jobID == jobID {
			item.cancel()
			delete(r.running, key)
		}
	}
	_ = m.Conn.Send(kindJobCancelled, m.Body)
}

// handleAssign handles the assignment of an item by a store.
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

// acceptItem starts an item that the primary of its partition has assigned, once.
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
		contact.startsPaused = false // an unconfirmed primary assigns nothing
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
// that it runs here, and the connection is open, so this worker would be notified of the end of the
// job.
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
	running.item.Body = nil // no longer needed
	if contact := r.contacts[running.key.partition]; contact != nil && contact.runningNoted {
		sendResult(contact.conn, running)
	}
}

// sendResult sends the result of an item to a store.
func sendResult(conn *link.Conn, item *runningItem) {
	_ = conn.Send(kindItemResult, encodeItemResult(item.key, item.abandoned, item.text))
}
