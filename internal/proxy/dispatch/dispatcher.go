package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
)

// Options configures a Dispatcher.
type Options struct {
	Name      string           // of this sender, which determines its subset of endpoints
	Zone      string           // of this machine
	Snapshots *snapshot.Latest // the source of the initial snapshot; may be nil
	Now       func() time.Time // default time.Now
	Rand      func() float64   // random numbers in [0, 1); default rand.Float64
	Settings  Settings
}

// Dispatcher is the Admission of a proxy. It is safe for concurrent use. One goroutine at a time
// owns the core and runs the queue of commands: the goroutine that posts to an idle queue owns the
// core until the queue is empty, so a request that need not wait is granted without a goroutine
// switch.
type Dispatcher struct {
	now    func() time.Time
	origin time.Time // time 0 of the core's clock

	mu      sync.Mutex
	queue   []func(*core) // commands
	spare   []func(*core) // an empty batch for reuse
	working bool          // a goroutine owns the core

	// Only the owner uses these.
	core         *core
	timer        *time.Timer
	timerAt      Time   // when the timer fires; 0 if it is stopped
	lastSequence uint64 // of the last request
	closed       bool
}

var _ Admission = (*Dispatcher)(nil)

// New returns a dispatcher with the newest snapshot.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	d := &Dispatcher{now: o.Now, origin: o.Now(), core: newCore(o.Settings, o.Zone, o.Rand)}
	d.core.senderHash = snapshot.Hash(o.Name)
	d.timer = time.AfterFunc(time.Hour, d.onTimer)
	d.timer.Stop()
	if o.Snapshots != nil {
		d.Update(o.Snapshots.Get())
	}
	return d
}

// Update applies a new snapshot.
func (d *Dispatcher) Update(s *snapshot.Snapshot) {
	d.post(func(c *core) { c.applySnapshot(s) })
}

// closing is the reason for refusals after Close.
const closing = "this node is shutting down"

// Close refuses all pending requests and all later ones.
func (d *Dispatcher) Close() {
	d.post(func(c *core) {
		d.closed = true
		for _, p := range c.poolOrder {
			for _, w := range p.queue {
				c.refuse(p, w, closing)
			}
			p.queue = nil
		}
		c.queued = 0
	})
}

// Acquire implements Admission.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	answer := make(chan struct{})
	w := &waiter{request: r, decided: func(*waiter) { close(answer) }}
	d.post(func(c *core) { d.admit(c, w) })
	select {
	case <-answer:
	case <-ctx.Done():
		d.abandon(w, answer)
		return nil, ctx.Err()
	}
	if w.refused != nil {
		return nil, w.refused
	}
	return &grant{d, w.granted}, nil
}

// admit is the command that decides on a new request.
func (d *Dispatcher) admit(c *core, w *waiter) {
	d.lastSequence++
	w.sequence = d.lastSequence
	c.setTimes(w, d.coreTime(w.request.Arrived), d.coreTime(w.request.Due), d.coreTime(w.request.Deadline))
	if d.closed {
		c.refuse(c.pool(w.request.Service), w, closing)
		return
	}
	c.admit(w)
}

// abandon withdraws a request whose context has ended, and cancels its run if it was granted one.
func (d *Dispatcher) abandon(w *waiter, answer chan struct{}) {
	d.post(func(c *core) {
		if c.dequeue(w) {
			close(answer)
		}
	})
	<-answer
	if w.granted != nil {
		d.post(func(c *core) { c.cancelRun(w.granted) })
	}
}

// coreTime converts a time to the core's clock. The zero time is 0.
func (d *Dispatcher) coreTime(t time.Time) Time {
	if t.IsZero() {
		return 0
	}
	return t.Sub(d.origin)
}

// maxSpareCommands is the capacity up to which a batch of commands is kept for reuse.
const maxSpareCommands = 256

// post queues a command, and runs the queue if no other goroutine does.
func (d *Dispatcher) post(command func(*core)) {
	d.mu.Lock()
	d.queue = append(d.queue, command)
	if d.working {
		d.mu.Unlock()
		return
	}
	d.working = true
	for len(d.queue) > 0 {
		batch := d.queue
		d.queue = d.spare[:0]
		d.mu.Unlock()
		d.core.now = d.now().Sub(d.origin)
		for _, command := range batch {
			command(d.core)
		}
		d.setTimer()
		d.mu.Lock()
		clear(batch)
		if d.spare = batch; cap(batch) > maxSpareCommands {
			d.spare = nil
		}
	}
	d.working = false
	d.mu.Unlock()
}

// setTimer sets the timer to the time at which the core has to serve its queues next, or stops it.
func (d *Dispatcher) setTimer() {
	at, needed := d.core.nextWake()
	switch {
	case !needed:
		if d.timerAt != 0 {
			d.timer.Stop()
			d.timerAt = 0
		}
	case at != d.timerAt:
		d.timer.Reset(at - d.core.now)
		d.timerAt = at
	}
}

// onTimer serves the queues when the timer fires.
func (d *Dispatcher) onTimer() {
	d.post(func(c *core) {
		d.timerAt = 0
		c.serveAllQueues()
	})
}

// grant implements Grant.
type grant struct {
	dispatcher *Dispatcher
	run        *run
}

// Endpoint implements Grant.
func (g *grant) Endpoint() Target { return g.run.target }

// FirstToken implements Grant.
func (g *grant) FirstToken(l Load) {
	g.dispatcher.post(func(c *core) { c.recordFirstToken(g.run, l) })
}

// End implements Grant.
func (g *grant) End(o Outcome, l Load) {
	g.dispatcher.post(func(c *core) { c.endRun(g.run, o, l) })
}
