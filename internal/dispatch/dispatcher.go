package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dunetide/internal/view"
)

// Options of a dispatcher.
type Options struct {
	Zone     string       // of this machine
	Holder   *view.Holder // whose newest snapshot it begins with; may be nil
	Now      func() time.Time
	Rand     func() float64 // in [0, 1)
	Settings Settings
}

// Dispatcher is the Admission of a proxy. Its core is owned by one goroutine at a time, which works through the
// queue of commands: whoever posts to an idle queue is the owner until it is empty, so that a request that need
// not wait passes without a switch of goroutines.
type Dispatcher struct {
	now    func() time.Time
	origin time.Time

	mu      sync.Mutex
	queue   []func(*core)
	spare   []func(*core)
	working bool

	core  *core // of the owner
	timer *time.Timer
	armed Time // of the owner; 0: not
	seq   uint64

	closing bool // of the owner
}

var _ Admission = (*Dispatcher)(nil)

// New returns a dispatcher that knows what the holder has.
func New(o Options) *Dispatcher {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	d := &Dispatcher{now: o.Now, origin: o.Now(), core: newCore(o.Settings, o.Zone, o.Rand)}
	d.timer = time.AfterFunc(time.Hour, d.woken)
	d.timer.Stop()
	if o.Holder != nil {
		d.Update(o.Holder.Get())
	}
	return d
}

// Update takes in a new snapshot.
func (d *Dispatcher) Update(s *view.Snapshot) {
	d.post(func(c *core) { c.update(s) })
}

const closing = "this node is closing"

// Close refuses what waits and all that comes.
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

// Acquire is of Admission.
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

// at is a moment on the core's clock; 0 when none is told.
func (d *Dispatcher) at(t time.Time) Time {
	if t.IsZero() {
		return 0
	}
	return t.Sub(d.origin)
}

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
		if d.spare = batch; cap(batch) > 256 {
			d.spare = nil
		}
	}
	d.working = false
	d.mu.Unlock()
}

// arm sets the one timer to the first moment that matters.
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

func (d *Dispatcher) woken() {
	d.post(func(c *core) {
		d.armed = 0
		c.step()
	})
}

type grant struct {
	d   *Dispatcher
	run *run
}

func (g *grant) Endpoint() Target { return g.run.target }
func (g *grant) First(l Load)     { g.d.post(func(c *core) { c.first(g.run, l) }) }
func (g *grant) End(o Outcome, l Load) {
	g.d.post(func(c *core) { c.end(g.run, o, l) })
}
