package dispatch

import (
	"math"
	"slices"
	"time"
)

// run is a request that was granted an endpoint.
type run struct {
	e        *endpoint
	target   Target
	sent     Time
	read     float64 // tokens that it has to read there
	expected float64 // ms to the first word
	alone    bool    // nothing was to be read before it: its time to the first word tells how fast prompts are read
	told     bool    // the first word came
	heard    bool    // with a load
	bulk     bool
	probe    bool
	deadline Time
	ended    bool
}

func (c *core) start(w *waiter, r *run) {
	e := r.e
	r.target, r.sent, r.deadline, r.bulk = e.target, c.now, w.deadline, w.r.Bulk
	e.pool.size.add(float64(w.r.TokensIn), 0.02)
	e.narrow.Record(c.now)
	e.wide.Record(c.now)
	r.alone = e.unread() == 0 && e.load(c) < float64(e.slots())/2
	e.running = append(e.running, r)
	if r.bulk {
		e.pool.bulk++
	}
	if e.outTill != 0 {
		e.probing, r.probe = true, true
	}
	if len(w.chains) > 0 {
		e.cache.now = c.now
		e.cache.flow.add(c.now, r.read+float64(w.r.TokensOut))
		e.cache.sent(w.chains, w.r.Prefix, c.senders, e.pool.cache, c.set.CacheParts)
	}
	w.grant = r
	w.done(w)
}

const mostFailures = 4 // in a hold: those behind them have no room either

// failures counts those of one regime that found no room: they tell nothing of what others may go to.
type failures struct {
	regime string
	bulk   bool
	n      int
}

func failuresOf(all *[]failures, r *Request) *int {
	for i := range *all {
		if f := &(*all)[i]; f.regime == r.Regime && f.bulk == r.Bulk {
			return &f.n
		}
	}
	*all = append(*all, failures{regime: r.Regime, bulk: r.Bulk})
	return &(*all)[len(*all)-1].n
}

// end takes in how a run ended.
func (c *core) end(r *run, o Outcome, l Load) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.e
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	if r.bulk {
		e.pool.bulk--
	}
	if r.probe {
		e.probing = false
	}
	if !r.heard {
		c.tell(e, l)
	}
	switch o {
	case Served:
		c.served(r)
	case NotRun:
		e.score = 0
		if e.outTill != 0 {
			e.outTill, e.outFor = 0, 0
		}
		if c.now < r.deadline {
			c.turnedAway(r, l)
		}
	case WrongOne:
		c.takeOut(e, c.set.OutMost)
	case Failed:
		c.failed(r, 0.7)
	case Broken, Silent, Unsent:
		if o == Unsent {
			e.narrow.Forget(r.sent)
			e.wide.Forget(r.sent)
		}
		c.failed(r, 1)
	case Left:
	}
	c.forget(e)
	c.serve(e.pool)
}

// unsent gives back a slot of which no use was made.
func (c *core) unsent(r *run) {
	if !r.ended {
		r.e.narrow.Forget(r.sent)
		r.e.wide.Forget(r.sent)
		c.end(r, Left, Load{})
	}
}

func (c *core) served(r *run) {
	e := r.e
	e.score = 0
	e.outTill, e.outFor = 0, 0
	e.pool.work.add(float64(c.now-r.sent)/float64(time.Millisecond), 0.05)
	e.passed.Record(c.now)
}

// turnedAway cuts the slice: the first refusal tells the count that is full. Calls that were out when it was
// cut tell nothing new.
func (c *core) turnedAway(r *run, l Load) {
	e := r.e
	if !l.Known {
		e.fullTill = c.now + time.Duration(float64(c.set.FullFor)*(0.5+c.rng()))
	} else if n := l.Running + l.Waiting; n >= e.slots() {
		e.fullAt = float64(n)
	}
	count := float64(e.narrow.Count(c.now))
	switch {
	case math.IsInf(e.slice, 1):
		e.slice = max(1, count)
	case r.sent < e.cutAt:
		return
	case c.now-e.cutAt < c.set.Recover/2: // too soon to cut again, but what it grew is lost
		e.refusedAt = c.now
		return
	default:
		served := float64(e.passed.Count(c.now))
		e.slice = max(1, c.set.LeastCut*served, c.set.Cut*min(e.limit(c), count))
	}
	e.cutAt, e.refusedAt = c.now, c.now
}

func (c *core) failed(r *run, weight float64) {
	e := r.e
	e.score += weight
	if e.outTill != 0 && r.probe || e.score >= c.set.SickFrom {
		c.takeOut(e, 0)
	}
}

// takeOut sets an endpoint aside, for longer each time.
func (c *core) takeOut(e *endpoint, least time.Duration) {
	if e.outTill > c.now {
		return
	}
	e.outFor = min(max(2*e.outFor, c.set.OutLeast, least), c.set.OutMost)
	e.outTill = c.now + time.Duration(float64(e.outFor)*(0.75+0.5*c.rng()))
	e.score = 0
}
