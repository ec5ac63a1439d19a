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
	Name     string           // of this sender, by which it chooses its subset of endpoints
	Zone     string           // of this machine
	Holder   *snapshot.Latest // whose newest snapshot it starts with; may be nil
	Now      func() time.Time // default time.Now
	Rand     func() float64   // random numbers in [0, 1); default rand.Float64
	Settings Settings
}

// Dispatcher is the Admission of a proxy. It is safe for concurrent use. One goroutine at a time owns the core and runs the
// queue of commands: the goroutine that posts to an idle queue owns the core until the queue is empty, so a request that
// need not wait is granted without a switch of goroutines.
type Dispatcher struct {
	now    func() time.Time
	origin time.Time

	mu      sync.Mutex
	queue   []func(*core)
	spare   []func(*core)
	working bool

	// Only the owner uses these.
	core    *core
	timer   *time.Timer
	armed   Time   // when the timer fires, 0 if it is stopped
	seq     uint64 // of the last request
	closing bool
}

var _ Admission = (*Dispatcher)(nil)

// New returns a dispatcher with the newest snapshot of the holder.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	d := &Dispatcher{now: o.Now, origin: o.Now(), core: newCore(o.Settings, o.Zone, o.Rand)}
	d.core.self = snapshot.Hash(o.Name)
	d.timer = time.AfterFunc(time.Hour, d.woken)
	d.timer.Stop()
	if o.Holder != nil {
		d.Update(o.Holder.Get())
	}
	return d
}

// Update applies a new snapshot.
func (d *Dispatcher) Update(s *snapshot.Snapshot) {
	d.post(func(c *core) { c.update(s) })
}

// closing is the reason for refusals after Close.
const closing = "this node is closing"

// Close refuses all requests that wait and all later ones.
func (d *Dispatcher) Close() {
	d.post(func(c *core) {
		d.closing = true
		for _, p := range c.order {
			for _, w := range p.hold {
				c.refuse(p, w, closing)
			}
			p.hold = nil
		}
		c.held = 0
	})
}

// Acquire implements Admission.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	answer := make(chan struct{})
	w := &waiter{r: r, done: func(*waiter) { close(answer) }}
	d.post(func(c *core) {
		d.seq++
		w.seq = d.seq
		w.deadline, w.due = d.at(r.Deadline), d.at(r.Due)
		w.giveUp = c.giveUp(w, d.at(r.Arrived))
		if d.closing {
			c.refuse(c.pool(r.Service), w, closing)
			return
		}
		c.acquire(w)
	})
	select {
	case <-answer:
	case <-ctx.Done():
		d.post(func(c *core) {
			if c.withdraw(w) {
				close(answer)
			}
		})
		<-answer
		if w.grant != nil {
			d.post(func(c *core) { c.unsent(w.grant) })
		}
		return nil, ctx.Err()
	}
	if w.refused != nil {
		return nil, w.refused
	}
	return &grant{d, w.grant}, nil
}

// at converts a time to the core's clock. The zero time is 0.
func (d *Dispatcher) at(t time.Time) Time {
	if t.IsZero() {
		return 0
	}
	return t.Sub(d.origin)
}

// maxSpare is the most commands for which a batch is kept for reuse.
const maxSpare = 256

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
		d.arm()
		d.mu.Lock()
		clear(batch)
		if d.spare = batch; cap(batch) > maxSpare {
			d.spare = nil
		}
	}
	d.working = false
	d.mu.Unlock()
}

// arm sets the timer to the time at which the core has to step next, or stops it.
func (d *Dispatcher) arm() {
	at, any := d.core.wake()
	switch {
	case !any:
		if d.armed != 0 {
			d.timer.Stop()
			d.armed = 0
		}
	case d.armed == 0 || at != d.armed:
		d.timer.Reset(at - d.core.now)
		d.armed = at
	}
}

// woken steps the core when the timer fires.
func (d *Dispatcher) woken() {
	d.post(func(c *core) {
		d.armed = 0
		c.step()
	})
}

// grant implements Grant.
type grant struct {
	d   *Dispatcher
	run *run
}

func (g *grant) Endpoint() Target { return g.run.target }
func (g *grant) First(l Load)     { g.d.post(func(c *core) { c.first(g.run, l) }) }
func (g *grant) End(o Outcome, l Load) {
	g.d.post(func(c *core) { c.end(g.run, o, l) })
}
