package batch

import (
	"context"
	"strconv"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Item is one to be run.
type Item struct {
	Job     string
	ID      string
	Route   string
	Host    string
	Path    string
	Headers [][2]string
	Body    []byte
	Tokens  int64
	Due     time.Time
	// MayStart is to be asked right before the item is sent to an endpoint. False: its job may have ended, or this
	// edge is out of touch; answer NotRun.
	MayStart func() bool
}

// Runner runs items. Run sends the item to an endpoint, with Last-Event-Id if it is not empty, calls event for each event
// as it comes, and tells how it ended. When ctx ends, it stops.
type Runner interface {
	Run(ctx context.Context, it *Item, lastEventID string, event func(id string, data []byte)) Result
}

// Result of a run.
type Result struct {
	End        End
	RetryAfter time.Duration // of NotRun: when to come again
}

// End of a run.
type End uint8

// The ends.
const (
	Done   End = iota // the whole answer
	Broken            // broken off: goes on at the last event
	Failed            // a 500
	Never             // a 422: it can never be done
	NotRun            // not sent, or turned away
)

// workerSide runs items that stores hand out.
type workerSide struct {
	e *Edge

	mu     sync.Mutex
	limit  int
	limits map[uint64]int // the limit that each store knows
	conns  map[uint64]*link.Conn
	jobs   map[itemKey]*running
	parts  map[int]*holding // by part: whether its primary knows what is in hand here
	table  *snapshot.PartitionTable
	closed bool
}

// holding tells on which connection and under which epoch a primary was told what is in hand, and whether it noted it.
type holding struct {
	conn   *link.Conn
	epoch  uint64
	noted  bool
	unsure bool // it may have been replaced
}

// running is an item in hand.
type running struct {
	key     itemKey
	item    *Item
	tries   int
	cancel  context.CancelFunc
	ctx     context.Context
	done    bool
	givenUp bool
	text    []byte
}

func newWorkerSide(e *Edge) *workerSide {
	return &workerSide{e: e, limits: map[uint64]int{}, conns: map[uint64]*link.Conn{}, jobs: map[itemKey]*running{}, parts: map[int]*holding{}}
}

func (w *workerSide) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, r := range w.jobs {
		r.cancel()
	}
}

func (w *workerSide) inHand() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.jobs)
}

func (w *workerSide) setLimit(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n == w.limit {
		return
	}
	w.limit = n
	w.attachAll()
}

// share is what one store may have handed out here.
func (w *workerSide) share() int {
	if w.table == nil || w.limit <= 0 || w.e.o.Runner == nil {
		return 0
	}
	lead := map[uint64]bool{}
	for i := range w.table.Partitions {
		lead[w.table.Partitions[i].Primary] = true
	}
	n := max(len(lead), 1)
	return (w.limit + n - 1) / n
}

func (w *workerSide) attachAll() {
	n := w.share()
	for id, c := range w.conns {
		if known, ok := w.limits[id]; ok && known == n {
			continue
		}
		w.limits[id] = n
		var b link.Writer
		b.String(w.e.o.Name)
		b.String(w.e.o.Zone)
		b.Int(n)
		_ = c.Send(kAttach, b.B)
	}
}

func (w *workerSide) up(id uint64, c *link.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[id] = c
	delete(w.limits, id)
	w.attachAll()
	w.hold()
}

func (w *workerSide) down(id uint64, c *link.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns[id] == c {
		delete(w.conns, id)
	}
	for no, h := range w.parts {
		if h.conn == c {
			delete(w.parts, no)
		}
	}
}

// look is told of the newest table.
func (w *workerSide) look(t *snapshot.PartitionTable) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table == t {
		return
	}
	w.table = t
	w.attachAll()
	w.hold()
}

// hold tells each primary that does not know it what is in hand of its parts.
func (w *workerSide) hold() {
	if w.table == nil {
		return
	}
	for no := range w.table.Partitions {
		row := &w.table.Partitions[no]
		h := w.parts[no]
		if h != nil && h.epoch > row.Epoch {
			continue // its primary is newer than the table
		}
		if c := w.conns[row.Primary]; c != nil && (h == nil || h.conn != c || h.epoch < row.Epoch) {
			w.holdPart(no, c, row.Epoch)
		}
	}
}

// holdPart tells the primary of a part under an epoch what is in hand of it. Until it has noted that, nothing of the part starts.
func (w *workerSide) holdPart(no int, c *link.Conn, epoch uint64) {
	var all []itemKey
	for k := range w.jobs {
		if k.part == no {
			all = append(all, k)
		}
	}
	if len(all) == 0 {
		delete(w.parts, no)
		return
	}
	w.parts[no] = &holding{conn: c, epoch: epoch}
	var b link.Writer
	b.U32(uint32(no))
	b.U64(epoch)
	b.U32(uint32(len(all)))
	for _, k := range all {
		b.String(k.job)
		b.U32(uint32(k.item))
	}
	_ = c.Send(kHold, b.B)
}

func (w *workerSide) message(_ uint64, m *link.Message) {
	r := link.Reader{B: m.Body}
	k := itemKey{part: int(r.U32())}
	switch m.Kind {
	case kGive:
		given, err := decodeGive(m.Body)
		if err != nil {
			return
		}
		item, err := given.item(time.Now())
		if err != nil {
			return
		}
		w.take(m.Conn, given.epoch, given.key, item, given.tries)
	case kHeld:
		w.mu.Lock()
		defer w.mu.Unlock()
		epoch := r.U64()
		h := w.parts[k.part]
		if h == nil || h.conn != m.Conn || h.epoch != epoch && epoch != 0 {
			return
		}
		h.noted, h.unsure = true, false
		for _, r := range w.jobs {
			if r.key.part == k.part && r.done {
				w.report(m.Conn, r)
			}
		}
	case kUnsure:
		w.mu.Lock()
		defer w.mu.Unlock()
		if h := w.parts[k.part]; h != nil && h.conn == m.Conn {
			h.unsure = true
		}
	case kListed:
		k.job, k.item = r.String(), int(r.U32())
		w.mu.Lock()
		defer w.mu.Unlock()
		if run := w.jobs[k]; run != nil && r.Err == nil {
			run.cancel()
			delete(w.jobs, k)
		}
	case kCancel:
		k.job = r.String()
		w.mu.Lock()
		defer w.mu.Unlock()
		if h := w.parts[k.part]; h != nil && h.conn != m.Conn {
			return // from a primary that has been replaced
		}
		for h, run := range w.jobs {
			if h.part == k.part && h.job == k.job {
				run.cancel()
				delete(w.jobs, h)
			}
		}
		_ = m.Conn.Send(kCancelled, m.Body)
	}
}

func (w *workerSide) take(c *link.Conn, epoch uint64, k itemKey, it *Item, tries int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.parts[k.part]
	if h != nil && h.epoch > epoch && h.conn != c { // from a primary that has been replaced
		var b link.Writer
		b.U32(uint32(k.part))
		b.String(k.job)
		b.U32(uint32(k.item))
		_ = c.Send(kPutBack, b.B)
		return
	}
	if w.closed {
		return
	}
	if h != nil && h.conn == c {
		h.unsure = false // who is not sure hands nothing out
	}
	defer func() {
		if h == nil {
			w.parts[k.part] = &holding{conn: c, epoch: epoch, noted: true}
		} else if h.conn != c || h.epoch < epoch {
			w.holdPart(k.part, c, epoch)
		}
	}()
	if run := w.jobs[k]; run != nil {
		if run.done {
			w.report(c, run)
		}
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &running{key: k, item: it, tries: tries, ctx: ctx, cancel: cancel}
	it.MayStart = func() bool { return w.mayStart(run) }
	w.jobs[k] = run
	go w.run(run)
}

// mayStart tells whether an item may be sent to an endpoint: the primary of its part knows that it is in hand here, on
// a connection that lives, so the end of its job would be known.
func (w *workerSide) mayStart(r *running) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.parts[r.key.part]
	if r.ctx.Err() != nil || w.jobs[r.key] != r || h == nil || !h.noted || h.unsure {
		return false
	}
	select {
	case <-h.conn.Done():
		return false
	default:
		return true
	}
}

func (w *workerSide) report(c *link.Conn, r *running) {
	b := link.Writer{B: make([]byte, 0, len(r.text)+64)}
	b.U32(uint32(r.key.part))
	b.String(r.key.job)
	b.U32(uint32(r.key.item))
	b.Bool(r.givenUp)
	b.Bytes(r.text)
	_ = c.Send(kResult, b.B)
}

// joined is the text of an item as it grows: runs go on where the one before was broken off.
type joined struct {
	text  []byte
	last  int64 // the id of the newest event; -1: none yet
	wrong bool
}

// event adds an event if it is the next one.
func (t *joined) event(id string, data []byte) {
	if t.wrong {
		return
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil || n < 0 || t.last >= 0 && n != t.last+1 {
		t.wrong = true
		return
	}
	if t.last >= 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, data...)
	t.last = n
}

func (t *joined) lastID() string {
	if t.last < 0 {
		return ""
	}
	return strconv.FormatInt(t.last, 10)
}

// run runs an item to its end.
func (w *workerSide) run(r *running) {
	defer r.cancel()
	t := &joined{last: -1}
	failed := 0
	pause := 50 * time.Millisecond
	for r.ctx.Err() == nil {
		res := Result{End: NotRun}
		if r.item.MayStart() {
			res = w.e.o.Runner.Run(r.ctx, r.item, t.lastID(), t.event)
		}
		if t.wrong { // an event is missing or came again: begin anew
			t = &joined{last: -1}
			if res.End == Done {
				res.End = Broken
			}
		}
		switch res.End {
		case Done:
			w.finish(r, false, t.text)
			return
		case Never:
			w.finish(r, true, nil)
			return
		case Failed:
			if failed++; failed >= r.tries {
				w.finish(r, true, nil)
				return
			}
		case Broken:
			if t.last >= 0 {
				pause = 50 * time.Millisecond
			}
		}
		wait := max(pause, res.RetryAfter)
		pause = min(pause*2, time.Second)
		select {
		case <-time.After(wait):
		case <-r.ctx.Done():
		}
	}
}

// finish keeps the text until the primary of the part has listed it.
func (w *workerSide) finish(r *running, givenUp bool, text []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[r.key] != r || r.ctx.Err() != nil {
		return
	}
	r.done, r.givenUp, r.text = true, givenUp, text
	r.item.Body = nil
	if h := w.parts[r.key.part]; h != nil && h.noted {
		w.report(h.conn, r)
	}
}
