package batch

import (
	"cmp"
	"slices"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Pipe is a connection to another process. Messages arrive in the order in which they were sent,
// until it ends. The core drops the errors of Send: they say that the connection has ended, which is
// an event of its own, and after which all that is still needed is sent again.
type Pipe interface {
	Send(kind link.Kind, body []byte) error
}

// Caller awaits the reply to a call.
type Caller interface {
	Reply(body []byte)
}

// Times of the core, in ms.
const (
	confirmationMs     = 600  // how old a confirmation that a primary has not been replaced may be
	confirmationWaitMs = 700  // how long a read waits for a confirmation
	workerGraceMs      = 1500 // how old a confirmation may be before workers may start nothing more
	reservationWaitMs  = 1200 // how long a job waits for its tokens
	cancelWaitMs       = 300  // how long the end of a job waits for workers
	reconnectWaitMs    = 1000 // how long the items of a worker whose connection ended wait for it to come back
	dispatchDelayMs    = 400  // how long a new primary waits for workers to report what they run
	dispatchConfirmMs  = 100  // how often dispatch asks for a confirmation
	maintenanceMs      = 500  // how often metrics are set, ages looked at and space is reclaimed
	usageReportMs      = 50   // how often a change of a route's usage is reported at most
	reservationRetryMs = 100  // how long after an owner was not available it is asked again
	usageRequestMs     = 100  // how often usage that is missing is asked for
	staleUsageMs       = 1000 // how often usage that an earlier primary reported is asked for
	dropMarginMs       = 3000 // how much longer than promised a job is retained
	abandonMarginMs    = 1500 // how much later than promised items are abandoned
)

const (
	// maxJobTransfers is how many jobs may be on their way to a replica that catches up.
	maxJobTransfers = 4
	// maxReadBytes bounds the texts in one reply, unless the first one is longer.
	maxReadBytes = 800_000
	// maxPartitions bounds the indices of partitions in messages and records.
	maxPartitions = 1 << 12
	// never lies before all times of the steady clock.
	never int64 = -1 << 60
)

// core is a store without goroutines, clock, network and disk. Each of its events is one call, and
// all calls are made by one goroutine (Store.run). All it does to the outside is to append to the
// disk, to send messages, and to reply to calls. So tests can play whole systems of cores step by
// step (sim_test.go).
//
// Times are in ms on the steady clock of the process, unless a name says otherwise.
type core struct {
	self              uint64 // identity of this store
	zone              string
	maxLostReplicas   int // f: how many replicas of a partition may be lost at once
	retentionMs       int64
	fixedSegmentBytes int64 // size of a segment of the log; 0: by logCapacity
	logCapacity       int64 // bytes that the log may have; 0: no limit
	nowMs             int64 // set before each event

	disk             disk
	onDiskFailure    func(error)                       // the disk can't be used any more
	reportReady      func(partition int, epoch uint64) // the next group of replicas is up to date
	announceStopping func(stopping bool)               // the table should say whether this store is about to stop
	logf             func(format string, args ...any)  // may be nil

	table         *snapshot.PartitionTable
	config        *operatorconfig.Config
	partitions    []*partition
	peers         map[uint64]Pipe // connections to other stores, by identity
	dispatchQueue []*job          // jobs led here with items left to run, the earliest due first
	pendingEnds   []*pendingEnd   // ends of jobs that wait for workers

	workers             map[Pipe]*worker
	attachedWorkers     []*worker         // in the order in which they attached
	disconnectedWorkers map[*worker]int64 // workers whose connection ended, and until when they may come back

	appendedRecords uint64
	syncedRecords   uint64
	syncWaiters     []syncWaiter // the oldest first
	lastSession     uint64       // see replicaProgress.session

	liveBytes          int64           // bytes of jobs that the log must keep
	liveBytesBySegment map[int64]int64 // the same by the number of the segment
	logFull            bool            // no job is accepted for want of space
	diskFailed         bool            // nothing goes on

	stopping          bool         // it accepts no jobs, and others are to lead its partitions
	transferring      []*partition // the partitions that it led when it began to stop
	nextMaintenanceMs int64
}

// syncWaiter is called when so many records are durable.
type syncWaiter struct {
	records  uint64
	callback func()
}

func newCore(self uint64, d disk) *core {
	return &core{
		self:                self,
		disk:                d,
		maxLostReplicas:     1,
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

// handleMessage is the event of a message. The caller is nil if no reply is awaited.
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
		c.log("a record of our own can't be read: %v", err)
	}
}

// writeRecord appends a record to the log and returns the offset of its first byte. False: the
// store can't go on.
func (c *core) writeRecord(record []byte) (offset int64, ok bool) {
	offset, err := c.disk.Append(record)
	if err != nil {
		c.failDisk(err)
		return 0, false
	}
	c.appendedRecords++
	return offset, true
}

// failDisk ends the store, as its disk can't be used any more.
func (c *core) failDisk(err error) {
	c.diskFailed = true
	c.onDiskFailure(err)
}

// afterSync calls back once all that has been appended until now is durable.
func (c *core) afterSync(callback func()) {
	if c.syncedRecords >= c.appendedRecords {
		callback()
		return
	}
	c.syncWaiters = append(c.syncWaiters, syncWaiter{c.appendedRecords, callback})
}

// recordsSynced is the event that so many records are durable.
func (c *core) recordsSynced(records uint64) {
	c.syncedRecords = max(c.syncedRecords, records)
	for len(c.syncWaiters) > 0 && c.syncWaiters[0].records <= c.syncedRecords {
		callback := c.syncWaiters[0].callback
		c.syncWaiters = c.syncWaiters[1:]
		callback()
	}
}

// sortedKeys are the keys of a map in ascending order, so that events have the same effects in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
