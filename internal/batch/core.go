package batch

import (
	"slices"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// segmented is what a log does to give space back: see segments.go.
type segmented interface {
	// NewestSize is how many bytes the segment has that is appended to.
	NewestSize() int64
	// Oldest is the number of the oldest segment, and whether there is a newer one.
	Oldest() (number int64, more bool)
	// Rotate makes all that was appended durable and begins a new segment.
	Rotate() error
	// DropOldest makes all that was appended durable and removes the oldest segment.
	DropOldest() error
}

// disk is the log of a store: appended records. Here at is the place of a payload's first byte.
type disk interface {
	Append(payload []byte) (at int64, err error)
	// ReadRaw reads bytes inside a payload, unchecked.
	ReadRaw(at int64, n int) ([]byte, error)
	Size() int64
	segmented
}

// Pipe is a connection to another process; messages keep their order.
type Pipe interface {
	Send(kind link.Kind, body []byte) error
}

// Caller awaits a reply.
type Caller interface {
	Reply(body []byte)
}

const (
	confirmMs       = 600  // how old a confirmation that a primary has not been replaced may be
	confirmWaitMs   = 700  // how long a read waits for one
	reserveWaitMs   = 1200 // how long a job waits for its tokens
	cancelWaitMs    = 300  // how long an end waits for workers
	reconnectWaitMs = 1000 // how long the items of a worker whose connection ended wait for it to come back
	handAfterMs     = 400  // how long a new primary waits for workers to say what they have in hand
	usageEveryMs    = 50
	putWindow       = 4
	readBytes       = 800_000 // of texts in an answer
	dropMarginMs    = 3000
	giveUpMargin    = 1500
)

// core is a store without goroutines, clock, network and disk: each of its methods is one event. All
// it does to the outside is to append to the disk, send, and reply.
type core struct {
	self             uint64
	zone             string
	maxLost          int // copies that may be lost (f)
	keep             int64
	segmentSize      int64 // bytes of a segment of the log; 0: by the room
	room             int64 // bytes that the log may have; 0: no limit
	now              int64 // steady, in ms; set before each event
	disk             disk
	fail             func(error)                      // the disk can't be used any more
	ready            func(part int, epoch uint64)     // the group of the next epoch has all
	announceStopping func(stopping bool)              // the table is to be told whether this store is about to stop
	stopping         bool                             // takes no jobs and hands the lead of its parts over
	handingOver      []*part                          // what it led when it was told to stop
	logf             func(format string, args ...any) // may be nil

	table        *snapshot.PartitionTable
	config       *operatorconfig.Config
	parts        []*part
	peers        map[uint64]Pipe
	workers      map[Pipe]*worker
	disconnected map[*worker]int64 // workers whose connection ended, and until when they may come back
	attached     []*worker         // in the order of their coming
	open         []*job            // of parts led here, with items to hand out, by due time
	appended     uint64            // records
	syncedN      uint64
	waits        []wait // for a sync
	sessions     uint64
	ends         []*ending
	live         int64           // bytes of jobs that the log must keep
	liveIn       map[int64]int64 // of them, by segment
	full         bool            // for want of room no job is taken
	dead         bool
	nextWork     int64 // when tick looks at ages next
}

type wait struct {
	n  uint64
	fn func()
}

// part is what a store has of a part.
type part struct {
	no       int
	epoch    uint64 // by the table
	promised uint64 // the highest ballot that was promised
	claimB   uint64 // has all that was ordered under ballot claimB up to claimS, and all that was committed before
	claimS   uint64
	jobs     map[string]*job
	session  uint64 // of the primary that this store follows
	from     Pipe
	lead     *lead
	ownerB   map[string]uint64 // by route: the newest owner of its quota that counted here
}

func newCore(self uint64, d disk) *core {
	return &core{self: self, disk: d, peers: map[uint64]Pipe{}, workers: map[Pipe]*worker{}, disconnected: map[*worker]int64{}, liveIn: map[int64]int64{}, keep: 120_000, maxLost: 1,
		ready: func(int, uint64) {}, announceStopping: func(bool) {}, fail: func(error) {}}
}

func (c *core) log(format string, args ...any) {
	if c.logf != nil {
		c.logf(format, args...)
	}
}

func (c *core) part(no int) *part {
	if no < 0 || no >= 1<<12 {
		return nil
	}
	for no >= len(c.parts) {
		c.parts = append(c.parts, &part{no: len(c.parts), jobs: map[string]*job{}, ownerB: map[string]uint64{}})
	}
	return c.parts[no]
}

// append writes a record and does to the state what it says.
func (c *core) append(rec []byte) {
	if c.dead {
		return
	}
	at, ok := c.write(rec)
	if !ok {
		return
	}
	if err := c.replay(rec, at); err != nil {
		c.log("a record of our own can't be read: %v", err)
	}
}

// write writes a record and tells its place. False: the store can't go on.
func (c *core) write(rec []byte) (at int64, ok bool) {
	at, err := c.disk.Append(rec)
	if err != nil {
		c.failed(err)
		return 0, false
	}
	c.appended++
	return at, true
}

// failed ends the store: its disk can't be used any more.
func (c *core) failed(err error) {
	c.dead = true
	c.fail(err)
}

// afterSync calls when all that was appended until now is durable.
func (c *core) afterSync(fn func()) {
	if c.syncedN >= c.appended {
		fn()
		return
	}
	c.waits = append(c.waits, wait{c.appended, fn})
}

// synced is the event that so many records are durable.
func (c *core) synced(n uint64) {
	c.syncedN = max(c.syncedN, n)
	for len(c.waits) > 0 && c.waits[0].n <= c.syncedN {
		fn := c.waits[0].fn
		c.waits = c.waits[1:]
		fn()
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// tick is the event that time has passed.
func (c *core) tick() {
	if c.dead || c.table == nil {
		return
	}
	c.takeBackFromLost()
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if c.now < e.deadline {
			return false
		}
		e.reply()
		return true
	})
	for _, p := range c.parts {
		l := p.lead
		if l == nil {
			continue
		}
		readers := l.readers
		l.readers = nil
		for _, r := range readers {
			if c.now >= r.sureBy {
				r.from.Reply([]byte{codeUnavailable})
			} else {
				l.readers = append(l.readers, r)
			}
		}
		if len(l.readers) > 0 {
			c.confirm(p)
		}
	}
	c.quotaTick()
	if c.now >= c.nextWork {
		c.nextWork = c.now + 500
		c.setFigures()
		c.checkStopping()
		c.ages()
		c.keepSpace()
	}
	for _, p := range c.parts {
		if p.lead == nil {
			continue
		}
		var due []string
		for id, j := range p.jobs {
			if slices.ContainsFunc(j.readers, func(r reader) bool { return c.now >= r.deadline }) {
				due = append(due, id)
			}
		}
		slices.Sort(due)
		for _, id := range due {
			if j := p.jobs[id]; j != nil && p.lead != nil {
				c.wakeReaders(p, j)
			}
		}
	}
	c.dispatch()
}

// busy tells whether somebody waits for a time to come.
func (c *core) busy() bool {
	if len(c.ends)+len(c.disconnected) > 0 {
		return true
	}
	for _, p := range c.parts {
		l := p.lead
		if l == nil {
			continue
		}
		if len(l.readers)+len(l.reserves) > 0 || l.active && c.now < l.handAt {
			return true
		}
		for _, a := range l.accts {
			if len(a.held) > 0 {
				return true
			}
		}
		for _, u := range l.usage {
			if u.changed {
				return true
			}
		}
	}
	for _, j := range c.open {
		if len(j.readers) > 0 {
			return true
		}
	}
	return false
}
