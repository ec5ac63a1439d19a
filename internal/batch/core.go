package batch

import (
	"cmp"
	"errors"
	"slices"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Pipe is a connection to another process. Messages arrive in the order in which they were sent,
// until it closes. An error of Send means that the connection has closed, which is an event of its
// own, after which everything still needed is sent again; or that the message is too long
// (link.ErrTooLong), which never changes: see core.send.
type Pipe interface {
	Send(kind link.Kind, body []byte) error
}

// Caller waits for the reply to a call.
type Caller interface {
	Reply(body []byte)
}

// Times of the core, in ms.
const (
	confirmationMs     = 600  // maximum age of a confirmation that a primary has not been replaced
	confirmationWaitMs = 700  // how long a read waits for a confirmation
	workerGraceMs      = 1500 // maximum age of a confirmation after which workers may not start items
	reservationWaitMs  = 1200 // how long a job waits for its tokens
	cancelWaitMs       = 300  // how long the end of a job waits for workers
	reconnectWaitMs    = 1000 // how long the items of a disconnected worker wait for it to reconnect
	dispatchDelayMs    = 400  // how long a new primary waits for workers to report what they run
	dispatchConfirmMs  = 100  // how often dispatch requests a confirmation
	maintenanceMs      = 500  // how often metrics are set, jobs are checked for expiry and space is reclaimed
	usageReportMs      = 50   // minimum interval between reports of an account's usage
	reservationRetryMs = 100  // delay before a reservation is retried after the owner was unavailable
	usageRequestMs     = 100  // how often missing usage is requested
	refusalLogMs       = 5000 // minimum interval between logs of refusals by one quota
	staleUsageMs       = 1000 // how often usage reported by an earlier primary is requested again
	dropMarginMs       = 3000 // how much longer than promised a job is retained
	abandonMarginMs    = 1500 // how much later than promised items are abandoned
)

const (
	// maxReadBytes bounds the result texts in one reply, except that one result is always included.
	maxReadBytes = 800_000
	// maxPartitions bounds the partition indices in messages and records.
	maxPartitions = 1 << 12
	// never is earlier than any time on the monotonic clock.
	never int64 = -1 << 60
)

// core is a store without goroutines, clock, network or disk access. Each event is one method call,
// and one goroutine makes all of them (Store.run). Its only effects are to append to the disk, to
// send messages, and to reply to calls. So tests can run whole systems of cores step by step
// (simulation_test.go).
//
// Times are in ms on the monotonic clock of the process, unless a name says otherwise.
type core struct {
	self              uint64 // identity of this store
	process           uint64 // identity of this process, unlike that of any other one of the store; 0: unknown
	startedMs         int64  // when this process began to use the store's disk
	zone              string
	maxLostReplicas   int // f: how many replicas of a partition may be lost at once
	retentionMs       int64
	fixedSegmentBytes int64 // size of a log segment; 0: derived from logCapacity
	logCapacity       int64 // maximum size of the log in bytes; 0: no limit
	transfers         transferLimits
	nowMs             int64 // set before each event

	disk             disk
	onDiskFailure    func(error)                       // called when the disk can no longer be used
	reportReady      func(partition int, epoch uint64) // the next group of replicas is up to date
	announceStopping func(stopping bool)               // asks for the table to record whether this store is stopping
	logf             func(format string, args ...any)  // may be nil

	table         *snapshot.PartitionTable
	config        *operatorconfig.Config
	partitions    []*partition
	peers         map[uint64]Pipe // connections to other stores, by identity
	dispatchQueue []*job          // jobs led here with unfinished items, earliest due time first
	pendingEnds   []*pendingEnd   // committed ends of jobs that wait for workers to cancel

	workers             map[Pipe]*worker
	attachedWorkers     []*worker         // in the order in which they attached
	disconnectedWorkers map[*worker]int64 // disconnected workers with items, and until when they may reconnect

	appendedRecords uint64
	syncedRecords   uint64
	syncWaiters     []syncWaiter // oldest first
	lastSession     uint64       // see replicaProgress.session

	liveBytes          int64           // bytes of jobs that the log must keep
	liveBytesBySegment map[int64]int64 // the same, by segment number
	logFull            bool            // no job is accepted for lack of space
	diskFailed         bool            // no more messages are handled and nothing is appended

	stopping          bool         // it accepts no jobs, and its partitions are to move to other primaries
	transferring      []*partition // the partitions that it led when it began to stop
	nextMaintenanceMs int64
}

// syncWaiter is a callback for when the given number of records is durable.
type syncWaiter struct {
	records  uint64
	callback func()
}

func newCore(self uint64, d disk) *core {
	return &core{
		self:                self,
		disk:                d,
		maxLostReplicas:     1,
		transfers:           defaultTransferLimits,
		retentionMs:         120_000,
		peers:               map[uint64]Pipe{},
		workers:             map[Pipe]*worker{},
		disconnectedWorkers: map[*worker]int64{},
		liveBytesBySegment:  map[int64]int64{},
		onDiskFailure:       func(error) {},
		reportReady:         func(int, uint64) {},
		announceStopping:    func(bool) {},
	}
}

func (c *core) log(format string, args ...any) {
	if c.logf != nil {
		c.logf(format, args...)
	}
}

// handleMessage handles a message. The caller is nil if the sender does not wait for a reply.
func (c *core) handleMessage(pipe Pipe, caller Caller, kind link.Kind, body []byte) {
	if c.diskFailed {
		return
	}
	switch {
	case kind >= kindPrepare:
		c.handleStoreMessage(pipe, kind, body)
	case kind >= kindAttachWorker:
		c.handleWorkerMessage(pipe, kind, body)
	case caller != nil:
		c.handleCall(caller, kind, body)
	}
	c.dispatchItems()
}

// send sends a message. It reports whether the message is on its way, or lost with a connection that
// has closed. A message that is too long is neither: waiting for an answer to it would never end.
func (c *core) send(pipe Pipe, kind link.Kind, body []byte) bool {
	err := pipe.Send(kind, body)
	if !errors.Is(err, link.ErrTooLong) {
		return true
	}
	c.log("a message of kind %d with %d bytes can't be sent: %v", kind, len(body), err)
	return false
}

// appendRecord appends a record to the log and applies it.
func (c *core) appendRecord(record []byte) {
	if c.diskFailed {
		return
	}
	offset, ok := c.writeRecord(record)
	if !ok {
		return
	}
	if err := c.replay(record, offset); err != nil {
		c.log("replaying an appended record: %v", err)
	}
}

// writeRecord appends a record to the log and returns the offset of its first byte. It returns
// false if the disk has failed.
func (c *core) writeRecord(record []byte) (offset int64, ok bool) {
	offset, err := c.disk.Append(record)
	if err != nil {
		c.failDisk(err)
		return 0, false
	}
	c.appendedRecords++
	return offset, true
}

// failDisk stops the store because its disk can no longer be used.
func (c *core) failDisk(err error) {
	c.diskFailed = true
	c.onDiskFailure(err)
}

// afterSync calls back once everything appended so far is durable. It never does once the disk has failed: the newest
// record may be one that was not appended.
func (c *core) afterSync(callback func()) {
	if c.diskFailed {
		return
	}
	if c.syncedRecords >= c.appendedRecords {
		callback()
		return
	}
	c.syncWaiters = append(c.syncWaiters, syncWaiter{c.appendedRecords, callback})
}

// recordsSynced handles the event that the given number of records is durable.
func (c *core) recordsSynced(records uint64) {
	c.syncedRecords = max(c.syncedRecords, records)
	for len(c.syncWaiters) > 0 && c.syncWaiters[0].records <= c.syncedRecords {
		callback := c.syncWaiters[0].callback
		c.syncWaiters = c.syncWaiters[1:]
		callback()
	}
}

// sortedKeys returns the keys of a map in ascending order, so that each run handles events in the
// same order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
