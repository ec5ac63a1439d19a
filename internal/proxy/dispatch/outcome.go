package dispatch

import (
	"math"
	"slices"
	"time"
)

// run is a request that was granted an endpoint, or may be.
type run struct {
	endpoint *endpoint
	target   Target
	sent     Time
	read     float64 // tokens that the endpoint has to read
	expected float64 // ms to the first word
	alone    bool    // no other prompt was being read: its time to the first word shows how fast prompts are read
	told     bool    // the first word came
	heard    bool    // the first word came with a load
	bulk     bool
	probe    bool
	deadline Time
	ended    bool
}

// start grants a run to a request and records it at the endpoint.
func (c *core) start(w *waiter, r *run) {
	e := r.endpoint
	checkGrant(w, e)
	r.target, r.sent, r.deadline, r.bulk = e.target, c.now, w.deadline, w.r.Bulk
	e.pool.size.add(float64(w.r.TokensIn), 0.02)
	e.narrow.Record(c.now)
	e.wide.Record(c.now)
	r.alone = e.unread() == 0 && e.load(c) < float64(e.slots())/2
	e.running = append(e.running, r)
	if r.bulk {
		e.pool.bulk++
	}
	if e.ejectedUntil != 0 {
		e.probing, r.probe = true, true
	}
	if len(w.chains) > 0 {
		e.cache.now = c.now
		e.cache.flow.add(c.now, r.read+float64(w.r.TokensOut))
		e.cache.sent(w.chains, w.r.Prefix, c.senders, e.pool.cache, c.settings.CacheParts)
	}
	w.grant = r
	w.done(w)
}

// mostFailures is the number of requests without room after which the further ones of the same kind are not tried.
const mostFailures = 4

// failures counts the waiting requests of one kind and regime that found no room. Those of other regimes may go to other
// endpoints.
type failures struct {
	regime string
	bulk   bool
	n      int
}

// failuresOf returns the count for the kind and regime of a request.
func failuresOf(all *[]failures, r *Request) *int {
	for i := range *all {
		if f := &(*all)[i]; f.regime == r.Regime && f.bulk == r.Bulk {
			return &f.n
		}
	}
	*all = append(*all, failures{regime: r.Regime, bulk: r.Bulk})
	return &(*all)[len(*all)-1].n
}

// end applies the outcome of a run and the load that came with it. Further calls for the same run have no effect.
func (c *core) end(r *run, o Outcome, l Load) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.endpoint
	e.answered = true
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
		if e.ejectedUntil != 0 {
			e.ejectedUntil, e.ejectedFor = 0, 0
		}
		if c.now < r.deadline {
			c.turnedAway(r, l)
		}
	case WrongOne:
		c.eject(e, c.settings.OutMost)
	case Failed:
		c.failed(r, 0.7)
	case Broken, Silent, Unsent:
		if o == Unsent {
			e.narrow.Remove(r.sent)
			e.wide.Remove(r.sent)
		}
		c.failed(r, 1)
	case Left:
	}
	c.forget(e)
	c.serve(e.pool)
}

// unsent ends a run whose request was not sent and removes it from the send logs.
func (c *core) unsent(r *run) {
	if !r.ended {
		r.endpoint.narrow.Remove(r.sent)
		r.endpoint.wide.Remove(r.sent)
		c.end(r, Left, Load{})
	}
}

// served records a success: the endpoint counts as sound.
func (c *core) served(r *run) {
	e := r.endpoint
	e.score = 0
	e.ejectedUntil, e.ejectedFor = 0, 0
	e.pool.work.add(float64(c.now-r.sent)/float64(time.Millisecond), 0.05)
	e.passed.Record(c.now)
}

// turnedAway cuts the slice of an endpoint that refused a run: to the present count at the first refusal, by a factor at
// further ones. Refusals of runs that were sent before the last cut are ignored.
func (c *core) turnedAway(r *run, l Load) {
	e := r.endpoint
	if !l.Known {
		e.fullTill = c.now + time.Duration(float64(c.settings.FullFor)*(0.5+c.rng()))
	} else if n := l.Running + l.Waiting; n >= e.slots() {
		e.fullAt = float64(n)
	}
	count := float64(e.narrow.Count(c.now))
	switch {
	case math.IsInf(e.slice, 1):
		e.slice = max(1, count)
	case r.sent < e.cutAt:
		return
	case c.now-e.cutAt < c.settings.Recover/2: // too soon to cut again, but what it grew is lost
		e.refusedAt = c.now
		return
	default:
		served := float64(e.passed.Count(c.now))
		e.slice = max(1, c.settings.LeastCut*served, c.settings.Cut*min(e.limit(c), count))
	}
	e.cutAt, e.refusedAt = c.now, c.now
}

// failed adds to the failure score of an endpoint, and ejects it from a score on or if a probe has failed.
func (c *core) failed(r *run, weight float64) {
	e := r.endpoint
	e.score += weight
	if e.ejectedUntil != 0 && r.probe || e.score >= c.settings.SickFrom {
		c.eject(e, 0)
	}
}

// eject lets no request but a probe go to an endpoint for a time, which doubles each time it is ejected again. Least is a
// lower bound of that time.
func (c *core) eject(e *endpoint, least time.Duration) {
	if e.ejectedUntil > c.now {
		return
	}
	e.ejectedFor = min(max(2*e.ejectedFor, c.settings.OutLeast, least), c.settings.OutMost)
	e.ejectedUntil = c.now + time.Duration(float64(e.ejectedFor)*(0.75+0.5*c.rng()))
	e.score = 0
}
