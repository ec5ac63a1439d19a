package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/telemetry"
)

// EdgeOptions say what the edge's side of batch jobs is.
type EdgeOptions struct {
	Views  *snapshot.Latest
	Name   string
	Zone   string
	Runner Runner // nil: this edge runs no items
	Logf   func(format string, args ...any)
	Log    hclog.Logger // of calls that failed; nil: none
}

// Edge is the side of batch jobs on a proxy: the calls of clients, and the worker that runs items.
type Edge struct {
	o      EdgeOptions
	pool   *pool
	worker *workerSide
	// callEvents are calls that failed.
	callEvents *telemetry.Log
	stop       chan struct{}
	once       sync.Once

	mu   sync.Mutex
	seen *snapshot.PartitionTable
}

// NewEdge begins to hold connections to the stores.
func NewEdge(o EdgeOptions) *Edge {
	e := &Edge{o: o, stop: make(chan struct{}), callEvents: newCallEvents(o.Log)}
	e.worker = newWorkerSide(e)
	e.pool = &pool{to: map[uint64]*dialled{}, up: e.worker.up, down: e.worker.down, message: e.worker.message}
	go e.watch()
	return e
}

// Close ends the connections and what runs.
func (e *Edge) Close() {
	e.once.Do(func() {
		close(e.stop)
		e.worker.close()
		e.pool.close()
	})
}

// SetLimit says how many items this edge wants to have in hand, over all stores.
func (e *Edge) SetLimit(n int) { e.worker.setLimit(n) }

// InHand is the number of items in hand.
func (e *Edge) InHand() int { return e.worker.inHand() }

// Update looks at the newest view; it is also looked at a few times a second.
func (e *Edge) Update() {
	s := e.o.Views.Get()
	if s == nil || s.Table == nil {
		return
	}
	e.mu.Lock()
	same := e.seen == s.Table
	e.seen = s.Table
	e.mu.Unlock()
	if !same {
		e.pool.set(s.Table.Stores, 0)
	}
	e.worker.look(s.Table)
}

func (e *Edge) watch() {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		e.Update()
		select {
		case <-tick.C:
		case <-e.stop:
			return
		}
	}
}

func (e *Edge) table() *snapshot.PartitionTable {
	if s := e.o.Views.Get(); s != nil {
		return s.Table
	}
	return nil
}

// primary is the connection to the primary of a job's part, nil if there is none now.
func (e *Edge) primary(job string) *link.Conn {
	t := e.table()
	no := t.PartitionOf(job)
	if no < 0 {
		return nil
	}
	return e.pool.get(t.Partitions[no].Primary)
}

// Outcome of handing a job in.
type Outcome uint8

// The outcomes.
const (
	Taken       Outcome = iota // kept from now on
	Full                       // the quota has no room; it was not taken
	Unavailable                // it was not taken
	Unknown                    // it may have been taken: the answer must promise nothing
	NoRoom                     // it was not taken, and none will be for some time: disks are full
)

// call asks the primary of a job's part until one answers or the context ends. Maybe tells that one may have
// done it without our knowing.
func (e *Edge) call(ctx context.Context, job string, kind link.Kind, body []byte) (reply []byte, maybe bool) {
	for {
		if c := e.primary(job); c != nil {
			b, err := c.Call(ctx, kind, body)
			switch {
			case err != nil:
				maybe = true
			case len(b) > 0 && b[0] == codeUnknown:
				maybe = true
			case len(b) > 0 && b[0] != codeUnavailable:
				return b, maybe
			}
		}
		select {
		case <-ctx.Done():
			return nil, maybe
		case <-time.After(40 * time.Millisecond):
		}
	}
}

// Accept hands a job in. The context bounds how long.
func (e *Edge) Accept(ctx context.Context, j *Job) Outcome {
	b, maybe := e.call(ctx, j.ID, kAccept, j.encode())
	switch {
	case len(b) > 0 && b[0] == codeOK:
		return Taken
	case maybe:
		return Unknown
	case len(b) > 0 && b[0] == codeFull:
		return Full
	case len(b) > 0 && b[0] == codeNoRoom:
		return NoRoom
	}
	return Unavailable
}

// Reading is what a read found.
type Reading struct {
	Total   int
	Results []ItemResult
}

// ItemResult is a result at a position.
type ItemResult struct {
	ID      string
	GivenUp bool
	Message []byte
}

// Found tells what a call about a job came to.
type Found uint8

// What calls come to.
const (
	OK     Found = iota
	None         // there is no such thing, for sure
	Unsure       // it can't be said now
)

// Read reads the results from a position on, and waits so long for one.
func (e *Edge) Read(ctx context.Context, job string, after int, wait time.Duration) (Reading, Found) {
	var w link.Writer
	w.String(job)
	w.Int(after)
	w.Int(int(wait.Milliseconds()))
	b, _ := e.call(ctx, job, kRead, w.B)
	r := link.Reader{B: b}
	switch r.U8() {
	case codeNone:
		return Reading{}, None
	case codeOK:
		out := Reading{Total: int(r.U32())}
		for n := r.Count(9); n > 0; n-- {
			out.Results = append(out.Results, ItemResult{r.String(), r.Bool(), r.Bytes()})
		}
		if r.Err == nil {
			return out, OK
		}
	}
	return Reading{}, Unsure
}

// Body reads the body of an item.
func (e *Edge) Body(ctx context.Context, job, item string) ([]byte, Found) {
	var w link.Writer
	w.String(job)
	w.String(item)
	b, _ := e.call(ctx, job, kBody, w.B)
	if len(b) > 0 && b[0] == codeOK {
		return b[1:], OK
	}
	if len(b) > 0 && b[0] == codeNone {
		return nil, None
	}
	return nil, Unsure
}

// End ends a job.
func (e *Edge) End(ctx context.Context, job string) Found {
	var w link.Writer
	w.String(job)
	b, _ := e.call(ctx, job, kEnd, w.B)
	if len(b) > 0 && b[0] == codeOK {
		return OK
	}
	if len(b) > 0 && b[0] == codeNone {
		return None
	}
	return Unsure
}

// bulkRoute is the route of batch jobs that a path under a host belongs to.
func bulkRoute(c *operatorconfig.Config, host, path string) *operatorconfig.Route {
	var best *operatorconfig.Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	if best != nil && best.Kind == operatorconfig.Bulk {
		return best
	}
	return nil
}
