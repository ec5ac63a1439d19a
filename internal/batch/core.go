package batch

import (
	"cmp"
	"errors"
	"hash/crc32"
	"slices"

	"dunetide/internal/link"
	"dunetide/internal/operator"
	"dunetide/internal/view"
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

// ballotOf is the first ballot of an epoch. Each leading life in an epoch takes a higher one.
func ballotOf(epoch uint64) uint64 { return epoch << 16 }

func epochOf(ballot uint64) uint64 { return ballot >> 16 }

const (
	confirmMs     = 600  // how old a confirmation that a primary has not been replaced may be
	confirmWaitMs = 700  // how long a read waits for one
	reserveWaitMs = 1200 // how long a job waits for its tokens
	cancelWaitMs  = 300  // how long an end waits for workers
	limboMs       = 1000 // how long the items of a worker whose connection ended wait for it to come back
	handAfterMs   = 400  // how long a new primary waits for workers to say what they have in hand
	usageEveryMs  = 50
	putWindow     = 4
	readBytes     = 800_000 // of texts in an answer
	dropMarginMs  = 3000
	giveUpMargin  = 1500
)

// core is a store without goroutines, clock, network and disk: each of its methods is one event. All
// it does to the outside is to append to the disk, send, and reply.
type core struct {
	self             uint64
	zone             string
	most             int // copies that may be lost (f)
	keep             int64
	segmentSize      int64 // bytes of a segment of the log; 0: by the room
	room             int64 // bytes that the log may have; 0: no limit
	now              int64 // steady, in ms; set before each event
	wall             int64
	disk             disk
	fail             func(error)                      // the disk can't be used any more
	ready            func(part int, epoch uint64)     // the group of the next epoch has all
	announceStopping func(stopping bool)              // the table is to be told whether this store is about to stop
	stopping         bool                             // takes no jobs and hands the lead of its parts over
	handingOver      []*part                          // what it led when it was told to stop
	logf             func(format string, args ...any) // may be nil

	table    *view.Table
	config   *operator.Config
	parts    []*part
	peers    map[uint64]Pipe
	workers  map[Pipe]*worker
	limbo    map[*worker]int64 // workers whose connection ended, and until when they may come back
	attached []*worker         // in the order of their coming
	open     []*job            // of parts led here, with items to hand out, by due time
	appended uint64            // records
	syncedN  uint64
	waits    []wait // for a sync
	sessions uint64
	ends     []*ending
	live     int64           // bytes of jobs that the log must keep
	liveIn   map[int64]int64 // of them, by segment
	full     bool            // for want of room no job is taken
	dead     bool
	nextWork int64 // when tick looks at ages next
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

// lead is what the primary of a part has besides.
type lead struct {
	ballot    uint64
	life      uint64 // its first ballot; it goes on through epochs that leave the primary in place
	stage     stage
	active    bool
	seq       uint64
	start     int64 // the seq of the mark
	selfS     int64 // on its own disk under this ballot; -1: not the mark yet
	commit    int64
	nextReady bool
	told      bool
	copies    []uint64
	next      []uint64
	peers     map[uint64]*peer
	pend      []pending
	best      uint64
	fetch     map[string]bool // still to come from the best one
	barred    bool
	unsure    bool     // workers are held back
	confirmed int64    // when nobody had replaced this one, for sure
	asked     int64    // the stamp of the newest confirmation asked for
	readers   []reader // wait for a confirmation
	handAt    int64    // items go out from then on
	usage     map[string]*usage
	reserves  map[uint64]*reserve
	reserveN  uint64
	usageV    uint64
	accts     map[string]*account
	incoming  map[string]*incoming // jobs that wait for their tokens
}

type stage uint8

const (
	promising stage = iota
	collecting
	fetching
	ordering
)

type peer struct {
	pipe    Pipe
	session uint64
	have    map[string]uint64 // digests; nil: not told
	claimB  uint64
	claimS  uint64
	dirty   map[string]bool // to be sent whole
	flight  int
	live    bool
	acked   int64
	stamp   int64 // the newest confirmation
	full    bool  // it has no room for more jobs
}

type pending struct {
	seq  int64
	done func(ok bool)
}

type reader struct {
	from     Caller
	job      string
	body     string // the item whose body is wanted
	after    int
	deadline int64 // of a held read
	sureBy   int64 // of the confirmation
	isBody   bool
	isEnd    bool
}

type ending struct {
	part     *part
	job      string
	from     []Caller
	waiting  map[*worker]bool
	deadline int64
}

func newCore(self uint64, d disk) *core {
	return &core{self: self, disk: d, peers: map[uint64]Pipe{}, workers: map[Pipe]*worker{}, limbo: map[*worker]int64{}, liveIn: map[int64]int64{}, keep: 120_000, most: 1,
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

// replay does to the state what a record at a place in the log says.
func (c *core) replay(rec []byte, at int64) error {
	r := link.Reader{B: rec}
	kind := r.U8()
	pos := func() int64 { return at + int64(len(rec)-len(r.B)) }
	p := c.part(int(r.U32()))
	if r.Err != nil || p == nil {
		return link.ErrShort
	}
	switch kind {
	case recID:
		c.self = r.U64()
	case recPromise:
		p.promised = max(p.promised, r.U64())
	case recMark:
		p.claimB, p.claimS = r.U64(), r.U64()
		p.promised = max(p.promised, p.claimB)
	case recOp:
		b, s := r.U64(), r.U64()
		if r.Err != nil {
			return r.Err
		}
		if s > 0 {
			p.claimB, p.claimS = b, s
		}
		return c.apply(p, r.B, pos())
	case recPut:
		id := r.String()
		enc := r.Bytes()
		j, err := decodeJob(enc, pos()-int64(len(enc)))
		if err != nil {
			return err
		}
		for n := r.Count(9); n > 0; n-- {
			no, gu := int(r.U32()), r.Bool()
			text := r.Bytes()
			j.list(no, gu, text, pos()-int64(len(text)))
		}
		j.ended = r.Bool()
		c.forget(p, id)
		p.jobs[id] = j
		c.chargeJob(j, 1)
	}
	return r.Err
}

func (c *core) forget(p *part, id string) {
	if j := p.jobs[id]; j != nil {
		c.chargeJob(j, -1)
		j.dropping = true
		for _, r := range j.readers {
			r.from.Reply([]byte{codeUnavailable})
		}
		delete(p.jobs, id)
	}
}

// apply does an operation whose bytes lie at a place in the log.
func (c *core) apply(p *part, op []byte, at int64) error {
	r := link.Reader{B: op}
	switch r.U8() {
	case opAccept:
		j, err := decodeJob(r.B, at+1)
		if err != nil {
			return err
		}
		c.forget(p, j.id)
		p.jobs[j.id] = j
		c.chargeJob(j, 1)
	case opList:
		id, no, gu := r.String(), int(r.U32()), r.Bool()
		if r.Err != nil {
			return r.Err
		}
		if j := p.jobs[id]; j != nil {
			before := len(j.results)
			if j.list(no, gu, r.B, at+int64(len(op)-len(r.B))); len(j.results) > before {
				res := j.results[before]
				c.chargeLog(res.at, int64(res.n))
			}
		}
	case opEnd:
		if j := p.jobs[r.String()]; j != nil {
			j.ended = true
		}
	case opDrop:
		c.forget(p, r.String())
	}
	return r.Err
}

// whole is a job with all that happened to it, as kPut and recPut have it.
func (c *core) whole(j *job) ([]byte, error) {
	w := link.Writer{B: make([]byte, 0, j.bytes+int64(64+16*len(j.results)))}
	w.String(j.id)
	enc, err := c.disk.ReadRaw(j.at, j.n)
	if err != nil {
		return nil, err
	}
	for i := range j.items {
		if it := &j.items[i]; crc32.Checksum(enc[it.off:it.off+it.n], castagnoli) != it.sum {
			return nil, errChanged
		}
	}
	w.Bytes(enc)
	w.U32(uint32(len(j.results)))
	for _, res := range j.results {
		w.U32(uint32(res.item))
		w.Bool(res.givenUp)
		text, err := c.text(res)
		if err != nil {
			return nil, err
		}
		w.Bytes(text)
	}
	w.Bool(j.ended)
	return w.B, nil
}

var errChanged = errors.New("the disk gave back other bytes than were written")

// text is that of a result.
func (c *core) text(res result) ([]byte, error) { return c.checked(res.at, res.n, res.sum) }

// segment is an item's path, headers and body.
func (c *core) segment(j *job, no int) ([]byte, error) {
	it := &j.items[no]
	return c.checked(j.at+int64(it.off), int(it.n), it.sum)
}

func (c *core) checked(at int64, n int, sum uint32) ([]byte, error) {
	b, err := c.disk.ReadRaw(at, n)
	if err == nil && crc32.Checksum(b, castagnoli) != sum {
		err = errChanged
	}
	return b, err
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

// setTable is the event of a newer table.
func (c *core) setTable(t *view.Table) {
	if t == nil || c.table != nil && t.Number <= c.table.Number {
		return
	}
	c.table = t
	c.checkStopping()
	for no := range t.Parts {
		row, p := &t.Parts[no], c.part(no)
		if row.Epoch <= p.epoch {
			continue
		}
		was := p.epoch
		p.epoch = row.Epoch
		if row.Primary != c.self {
			c.stopLead(p)
			continue
		}
		goesOn := p.lead != nil && p.lead.active && was+1 == row.Epoch
		c.startLead(p, row, goesOn)
		if goesOn {
			for _, w := range c.attached {
				c.claim(p, w)
			}
		}
	}
}

// startLead begins to lead a part. One that led it in the epoch before, in the same life, goes on.
func (c *core) startLead(p *part, row *view.Part, goesOn bool) {
	if !goesOn {
		c.stopLead(p)
	}
	ballot := max(p.promised, ballotOf(row.Epoch)) + 1
	if epochOf(ballot) != row.Epoch {
		return // something newer is known already
	}
	l := p.lead
	if l == nil {
		l = &lead{life: ballot, commit: -1, usage: map[string]*usage{}, reserves: map[uint64]*reserve{}, accts: map[string]*account{}, incoming: map[string]*incoming{}}
		p.lead = l
	}
	p.from, p.session = nil, 0
	l.ballot, l.stage, l.selfS, l.nextReady, l.told, l.start = ballot, promising, -1, false, false, 0
	l.copies = row.Copies
	l.next = nil
	if len(row.Joining)+len(row.Leaving) > 0 {
		l.next = nextCopies(row)
	}
	l.peers = map[uint64]*peer{}
	l.confirmed, l.asked, l.barred = -1<<60, 0, false
	if goesOn {
		l.confirmed = c.now - confirmMs - 1 // the grace that a worker has
	}
	c.append(encodeRec(recPromise, p.no, ballot))
	if goesOn {
		c.mark(p)
	}
	c.afterSync(func() {
		if p.lead != l || l.ballot != ballot {
			return
		}
		if l.stage == promising {
			l.stage = collecting
		}
		for _, id := range l.all() {
			c.ask(p, id)
		}
		c.collected(p)
	})
}

// all are those who hold the part or are to hold it, itself apart.
func (l *lead) all() []uint64 {
	ids := slices.Clone(l.copies)
	for _, id := range l.next {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// stopLead ends a lead: what was not committed is open.
func (c *core) stopLead(p *part) {
	l := p.lead
	if l == nil {
		return
	}
	p.lead = nil
	for _, w := range l.pend {
		w.done(false)
	}
	for _, r := range l.readers {
		r.from.Reply([]byte{codeUnavailable})
	}
	for _, id := range sortedKeys(l.incoming) {
		l.incoming[id].answer(codeUnavailable)
	}
	for _, a := range l.accts {
		a.refuseHeld(c)
	}
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		for _, r := range j.readers {
			r.from.Reply([]byte{codeUnavailable})
		}
		j.readers, j.committed, j.visible, j.endSeen, j.queued, j.dropping = nil, false, 0, false, false, false
		j.next = 0
		for i := range j.items {
			j.items[i].by = nil
			if j.items[i].state == itemHanded {
				j.items[i].state = itemWaiting
			}
		}
	}
	for _, w := range c.attached {
		for k := range w.held {
			if k.part == p.no {
				delete(w.held, k)
			}
		}
	}
	c.open = slices.DeleteFunc(c.open, func(j *job) bool { return !j.queued })
	c.ends = slices.DeleteFunc(c.ends, func(e *ending) bool {
		if e.part != p {
			return false
		}
		for _, f := range e.from {
			f.Reply([]byte{codeUnavailable})
		}
		return true
	})
}

// peerUp is the event of a new connection to another store.
func (c *core) peerUp(id uint64, pipe Pipe) {
	c.peers[id] = pipe
	for _, p := range c.parts {
		if l := p.lead; l != nil && l.stage != promising && slices.Contains(l.all(), id) {
			c.ask(p, id)
		}
		if l := p.lead; l != nil && l.active {
			for _, q := range l.reserves {
				if q.sentTo == id {
					q.sent = false
				}
			}
			c.sendAllUsage(p, id)
		}
	}
}

// peerDown is the event of its end.
func (c *core) peerDown(id uint64, pipe Pipe) {
	if c.peers[id] != pipe {
		return
	}
	delete(c.peers, id)
	for _, p := range c.parts {
		if l := p.lead; l != nil && l.peers[id] != nil {
			delete(l.peers, id)
			if l.stage == fetching && l.best == id {
				l.stage = collecting
				c.collected(p)
			}
		}
	}
}

func (c *core) ask(p *part, id uint64) {
	pipe := c.peers[id]
	if pipe == nil || id == c.self {
		return
	}
	c.sessions++
	p.lead.peers[id] = &peer{pipe: pipe, session: c.sessions, acked: -1, stamp: -1 << 60}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(p.lead.ballot)
	w.U64(c.sessions)
	_ = pipe.Send(kAsk, w.B)
}

// stale tells a primary that it has been replaced, if it has.
func (c *core) stale(p *part, ballot uint64, pipe Pipe) bool {
	known := max(p.promised, ballotOf(p.epoch))
	if ballot >= known {
		return false
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(known)
	_ = pipe.Send(kStale, w.B)
	return true
}

// storeMessage is the event of a message of another store.
func (c *core) storeMessage(pipe Pipe, kind link.Kind, body []byte) {
	r := link.Reader{B: body}
	switch kind {
	case kReserve, kGrant, kUsage, kUsageAsk:
		c.quotaMessage(pipe, kind, &r)
		return
	}
	p := c.part(int(r.U32()))
	ballot := r.U64()
	if r.Err != nil || p == nil {
		return
	}
	l := p.lead
	mine := l != nil && l.ballot == ballot
	switch kind {
	case kAsk:
		c.asked(p, ballot, r.U64(), pipe)
	case kFetch:
		if ballot == p.promised {
			id := r.String()
			var w link.Writer
			w.U32(uint32(p.no))
			w.U64(ballot)
			w.String(id)
			if j := p.jobs[id]; j != nil {
				b, err := c.whole(j)
				if err != nil {
					c.log("reading job %s: %v", id, err)
					return
				}
				w.Bool(true)
				w.B = append(w.B, b...)
			} else {
				w.Bool(false)
			}
			_ = pipe.Send(kWhole, w.B)
		} else {
			c.stale(p, ballot, pipe)
		}
	case kPut, kMark, kOp:
		session := r.U64()
		if c.stale(p, ballot, pipe) || ballot != p.promised || session != p.session || pipe != p.from {
			return
		}
		c.follow(p, ballot, kind, &r, pipe)
	case kConfirm:
		if !c.stale(p, ballot, pipe) {
			var w link.Writer
			w.U32(uint32(p.no))
			w.U64(ballot)
			w.U64(r.U64())
			w.Bool(c.full)
			_ = pipe.Send(kConfirmed, w.B)
		}
	case kStale:
		if l != nil && l.ballot < ballot {
			// The table that says so is on its way. Until then nothing is committed and nobody is sure.
			l.confirmed, l.barred = -1<<60, true
		}
	case kHave:
		if !mine {
			return
		}
		session, cb, cs := r.U64(), r.U64(), r.U64()
		from := l.bySession(session)
		if from == nil {
			return
		}
		have := map[string]uint64{}
		for n := r.Count(12); n > 0; n-- {
			id := r.String()
			have[id] = r.U64()
		}
		if r.Err != nil {
			return
		}
		from.have, from.claimB, from.claimS = have, cb, cs
		if l.stage == collecting {
			c.collected(p)
		} else if l.stage == ordering {
			c.bring(p, from)
		}
	case kWhole:
		if !mine || l.stage != fetching {
			return
		}
		id, found := r.String(), r.Bool()
		if !l.fetch[id] || r.Err != nil {
			return
		}
		if !found { // it told of it; it can't lose it while it follows this ballot
			return
		}
		delete(l.fetch, id)
		c.append(append(encodeRec(recPut, p.no), r.B...))
		c.fetched(p)
	case kPutAck:
		if mine {
			if from := l.bySession(r.U64()); from != nil {
				from.flight--
				c.pump(p, from)
			}
		}
	case kAck:
		if mine {
			seq, full := int64(r.U64()), r.Bool()
			for _, q := range l.peers {
				if q.pipe == pipe && q.live {
					q.acked, q.full = max(q.acked, seq), full
				}
			}
			c.advance(p)
		}
	case kConfirmed:
		if mine {
			stamp, full := int64(r.U64()), r.Bool()
			for _, q := range l.peers {
				if q.pipe == pipe {
					q.stamp, q.full = max(q.stamp, stamp), full
				}
			}
			c.countConfirmed(p)
		}
	}
}

func (l *lead) bySession(session uint64) *peer {
	for _, q := range l.peers {
		if q.session == session {
			return q
		}
	}
	return nil
}

// asked promises a ballot and tells what there is.
func (c *core) asked(p *part, ballot, session uint64, pipe Pipe) {
	if c.stale(p, ballot, pipe) {
		return
	}
	if p.lead != nil {
		c.stopLead(p)
	}
	if ballot > p.promised {
		c.append(encodeRec(recPromise, p.no, ballot))
	}
	p.session, p.from = session, pipe
	c.afterSync(func() {
		if p.session != session || p.from != pipe || p.promised != ballot {
			return
		}
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(session)
		w.U64(p.claimB)
		w.U64(p.claimS)
		w.U32(uint32(len(p.jobs)))
		for _, id := range sortedKeys(p.jobs) {
			w.String(id)
			w.U64(p.jobs[id].digest())
		}
		_ = pipe.Send(kHave, w.B)
	})
}

// follow does what the primary says.
func (c *core) follow(p *part, ballot uint64, kind link.Kind, r *link.Reader, pipe Pipe) {
	switch kind {
	case kPut:
		c.append(append(encodeRec(recPut, p.no), r.B...))
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(p.session)
		_ = pipe.Send(kPutAck, w.B)
	case kMark:
		seq := r.U64()
		c.append(encodeRec(recMark, p.no, ballot, seq))
		c.ackAfterSync(p, ballot, seq, pipe)
	case kOp:
		seq := r.U64()
		if r.Err != nil {
			return
		}
		if seq > 0 && (p.claimB != ballot || p.claimS+1 != seq) {
			c.log("part %d: operation %d does not follow %d", p.no, seq, p.claimS)
			return
		}
		c.append(append(encodeRec(recOp, p.no, ballot, seq), r.B...))
		if seq > 0 {
			c.ackAfterSync(p, ballot, seq, pipe)
		}
	}
}

func (c *core) ackAfterSync(p *part, ballot, seq uint64, pipe Pipe) {
	ack := func() {
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(ballot)
		w.U64(seq)
		w.Bool(c.full)
		_ = pipe.Send(kAck, w.B)
	}
	c.afterSync(ack)
}

// collected looks whether enough have told what they have, and takes the most complete.
func (c *core) collected(p *part) {
	l := p.lead
	if l == nil || l.stage != collecting {
		return
	}
	n, best, cb, cs := 0, c.self, p.claimB, p.claimS
	for _, id := range l.copies {
		q := l.peers[id]
		switch {
		case id == c.self:
			n++
		case q != nil && q.have != nil:
			n++
			if q.claimB > cb || q.claimB == cb && q.claimS > cs {
				best, cb, cs = id, q.claimB, q.claimS
			}
		}
	}
	need := len(l.copies) - c.most
	if n < max(need, 1) {
		return
	}
	l.best, l.fetch = best, map[string]bool{}
	if best == c.self {
		c.fetched2(p, cs)
		return
	}
	l.stage = fetching
	q := l.peers[best]
	for _, id := range sortedKeys(p.jobs) {
		if _, ok := q.have[id]; !ok {
			c.append(append(encodeRec(recOp, p.no, l.ballot, 0), encodeNamed(opDrop, id)...))
		}
	}
	for _, id := range sortedKeys(q.have) {
		if j := p.jobs[id]; j == nil || j.digest() != q.have[id] {
			l.fetch[id] = true
			var w link.Writer
			w.U32(uint32(p.no))
			w.U64(l.ballot)
			w.String(id)
			_ = q.pipe.Send(kFetch, w.B)
		}
	}
	c.fetched(p)
}

func (c *core) fetched(p *part) {
	if l := p.lead; len(l.fetch) == 0 {
		c.fetched2(p, l.peers[l.best].claimS)
	}
}

// fetched2: the state is the part's under this ballot.
func (c *core) fetched2(p *part, seq uint64) {
	p.lead.seq = seq
	c.mark(p)
	for _, id := range p.lead.all() {
		if q := p.lead.peers[id]; q != nil && q.have != nil {
			c.bring(p, q)
		}
	}
	c.advance(p)
}

func (c *core) mark(p *part) {
	l := p.lead
	l.stage, l.start = ordering, int64(l.seq)
	c.append(encodeRec(recMark, p.no, l.ballot, l.seq))
	c.selfSynced(p, l.seq)
}

func (c *core) selfSynced(p *part, seq uint64) {
	l := p.lead
	ballot := l.ballot
	c.afterSync(func() {
		if p.lead == l && l.ballot == ballot && int64(seq) > l.selfS {
			l.selfS = int64(seq)
			c.advance(p)
		}
	})
}

// bring brings one that told what it has to the primary's state.
func (c *core) bring(p *part, q *peer) {
	if q.dirty != nil {
		return
	}
	q.dirty = map[string]bool{}
	for id, j := range p.jobs {
		if d, ok := q.have[id]; !ok || d != j.digest() {
			q.dirty[id] = true
		}
	}
	for _, id := range sortedKeys(q.have) {
		if p.jobs[id] == nil {
			c.sendOp(p, q, 0, encodeNamed(opDrop, id))
		}
	}
	q.have = map[string]uint64{}
	c.pump(p, q)
}

// pump sends jobs whole, a few at once, and then the mark.
func (c *core) pump(p *part, q *peer) {
	l := p.lead
	if q.live || q.dirty == nil {
		return
	}
	for len(q.dirty) > 0 && q.flight < putWindow {
		id := sortedKeys(q.dirty)[0]
		delete(q.dirty, id)
		j := p.jobs[id]
		if j == nil {
			c.sendOp(p, q, 0, encodeNamed(opDrop, id))
			continue
		}
		b, err := c.whole(j)
		if err != nil {
			c.failed(err)
			return
		}
		var w link.Writer
		w.U32(uint32(p.no))
		w.U64(l.ballot)
		w.U64(q.session)
		w.B = append(w.B, b...)
		q.flight++
		_ = q.pipe.Send(kPut, w.B)
	}
	if len(q.dirty) > 0 || q.flight > 0 {
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(l.ballot)
	w.U64(q.session)
	w.U64(l.seq)
	q.live = true
	_ = q.pipe.Send(kMark, w.B)
}

func (c *core) sendOp(p *part, q *peer, seq uint64, op []byte) {
	w := link.Writer{B: make([]byte, 0, len(op)+32)}
	w.U32(uint32(p.no))
	w.U64(p.lead.ballot)
	w.U64(q.session)
	w.U64(seq)
	w.B = append(w.B, op...)
	_ = q.pipe.Send(kOp, w.B)
}

// order gives an operation its number, writes it and sends it to the copies. Done is called once it is
// committed, or when this store leads no longer and can't know.
func (c *core) order(p *part, op []byte, done func(ok bool)) {
	l := p.lead
	l.seq++
	c.append(append(encodeRec(recOp, p.no, l.ballot, l.seq), op...))
	id := jobOf(op)
	for _, to := range l.all() {
		q := l.peers[to]
		if q == nil || q.dirty == nil {
			continue
		}
		if q.live {
			c.sendOp(p, q, l.seq, op)
		} else if !q.dirty[id] {
			c.sendOp(p, q, 0, op)
		}
	}
	l.pend = append(l.pend, pending{int64(l.seq), done})
	c.selfSynced(p, l.seq)
}

// reached is how far so many of a group have it on disk.
func (c *core) reached(l *lead, group []uint64) int64 {
	var s []int64
	for _, id := range group {
		if id == c.self {
			s = append(s, l.selfS)
		} else if q := l.peers[id]; q != nil && q.live {
			s = append(s, q.acked)
		}
	}
	need := c.most + 1
	if len(s) < need {
		return -1
	}
	slices.SortFunc(s, func(a, b int64) int { return cmp.Compare(b, a) })
	return s[need-1]
}

// advance commits what is on enough disks.
func (c *core) advance(p *part) {
	l := p.lead
	if l == nil || l.stage != ordering {
		return
	}
	n := c.reached(l, l.copies)
	if l.next != nil {
		m := c.reached(l, l.next)
		// Where so many copies are lost that nothing can be committed any more, the next group takes over what was: nothing
		// has been committed under this ballot then, and what was before is in the primary's state.
		if !l.nextReady && l.joined(c) && m >= max(l.commit, l.start) {
			l.nextReady = true
		}
		if l.nextReady {
			n = min(n, m)
		}
		if l.nextReady && !l.told {
			l.told = true
			c.ready(p.no, p.epoch)
		}
	}
	if n < l.start || l.selfS < 0 {
		return
	}
	l.commit = max(l.commit, n)
	for len(l.pend) > 0 && l.pend[0].seq <= l.commit {
		done := l.pend[0].done
		l.pend = l.pend[1:]
		done(true)
		if p.lead != l {
			return
		}
	}
	if !l.active {
		l.active = true
		c.activate(p)
	}
}

// joined tells whether all of the next group that are to join it have all.
func (l *lead) joined(c *core) bool {
	for _, id := range l.next {
		if id == c.self || slices.Contains(l.copies, id) {
			continue
		}
		if q := l.peers[id]; q == nil || !q.live || q.acked < max(l.commit, l.start) {
			return false
		}
	}
	return true
}

// activate begins to answer: all that there is has been committed under this ballot.
func (c *core) activate(p *part) {
	l := p.lead
	c.log("part %d: leads under %x with %d jobs", p.no, l.ballot, len(p.jobs))
	l.handAt = c.now + handAfterMs
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		j.committed, j.visible, j.endSeen = true, len(j.results), j.ended
		if !j.ended {
			l.use(j.route).tokens += j.tokens()
		}
		c.enqueue(j)
	}
	for _, u := range l.usage {
		u.changed = true
	}
	for _, w := range c.attached {
		c.claim(p, w)
	}
}

// confirm asks the copies whether this one has been replaced.
func (c *core) confirm(p *part) {
	l := p.lead
	if l.asked == c.now && l.asked != 0 {
		return
	}
	l.asked = c.now
	if l.barred {
		return
	}
	var w link.Writer
	w.U32(uint32(p.no))
	w.U64(l.ballot)
	w.U64(uint64(c.now))
	for _, id := range l.copies {
		if q := l.peers[id]; q != nil {
			_ = q.pipe.Send(kConfirm, w.B)
		}
	}
	c.countConfirmed(p)
}

func (c *core) countConfirmed(p *part) {
	l := p.lead
	s := []int64{c.now}
	for _, id := range l.copies {
		if q := l.peers[id]; q != nil {
			s = append(s, q.stamp)
		}
	}
	if len(s) < c.most+1 {
		return
	}
	slices.SortFunc(s, func(a, b int64) int { return cmp.Compare(b, a) })
	l.confirmed = max(l.confirmed, s[c.most])
	if c.sure(l) {
		readers := l.readers
		l.readers = nil
		for _, r := range readers {
			c.read(p, r)
		}
		if p.lead == l && l.active {
			for _, w := range c.attached {
				c.claim(p, w)
			}
		}
	}
}

// sure tells whether this one was not replaced a moment ago.
func (c *core) sure(l *lead) bool {
	return c.now-l.confirmed <= confirmMs
}
