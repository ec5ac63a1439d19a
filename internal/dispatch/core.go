package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/sendlog"
	"dunetide/internal/view"
)

// Time is a reading of a steady clock.
type Time = sendlog.Time

// core decides. It is stepped: it has no clock, no goroutine, and no randomness but what it is given.
type core struct {
	set     Settings
	zone    string
	rng     func() float64 // in [0, 1)
	now     Time
	senders int

	endpoints map[string]*endpoint
	pools     map[string]*pool
	order     []*pool // in order of first mention
	held      int
	listing   uint64 // counts the snapshots
}

// pool is the endpoints of a service with those who wait for one of them.
type pool struct {
	service  string
	eps      []*endpoint // by id
	maxConns int
	capacity int
	cache    int64 // tokens
	known    bool  // an endpoint was ever listed

	first line // ms to the first word, by tokens to read
	work  mean // ms from the grant to the end
	rest  mean // requests of others at an endpoint
	bulk  int  // running
	size  mean // tokens of a prompt
	late  mean // ms that first words come later than expected, of late
	word  Time // the last first word
	hold  []*waiter
}

// endpoint is one incarnation.
type endpoint struct {
	pool     *pool
	target   Target
	hash     uint64
	capacity int
	state    view.State
	models   []view.Model
	coldTill Time

	narrow, wide sendlog.Log
	passed       sendlog.Log // runs that were served, in the narrow window
	slice        float64     // starts in a narrow window; infinite until a refusal
	cutAt        Time        // the last refusal that cut it
	refusedAt    Time        // the last refusal, since which it has grown
	spread       float64     // so that senders that saw the same do not come back together

	running  []*run // granted and not ended, oldest first
	others   float64
	toldAt   Time
	told     bool
	fullTill Time
	fullAt   float64 // requests running and waiting that it turned others away at; 0: not known
	slowness mean    // its time to the first word against what was expected

	score    float64
	outTill  Time // 0: sound
	outFor   time.Duration
	probing  bool
	cache    prefixCache
	unlisted bool // not in the newest snapshot: gets nothing, and is forgotten when its runs have ended
}

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

// waiter is a request in the hold, or on its way through.
type waiter struct {
	r        *Request
	chains   []chain
	deadline Time
	due      Time
	giveUp   Time // refused then
	seq      uint64
	ranks    map[*endpoint]int // of listing
	listing  uint64
	grant    *run
	refused  *Refused
	done     func(*waiter) // called once, with grant or refused set
}

func newCore(set Settings, zone string, rng func() float64) *core {
	return &core{set: set.withDefaults(), zone: zone, rng: rng, senders: 1,
		endpoints: map[string]*endpoint{}, pools: map[string]*pool{}}
}

func (c *core) pool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service, first: firstLine(), work: mean{float64(firstWork.Milliseconds())}}
		c.pools[service] = p
		c.order = append(c.order, p)
	}
	return p
}

// update takes in a new snapshot. What is not in it gets nothing more.
func (c *core) update(s *view.Snapshot) {
	if s == nil {
		return
	}
	c.listing++
	if n := max(s.Senders, 1); n != c.senders {
		for _, e := range c.endpoints {
			e.slice = max(1, e.slice*float64(c.senders)/float64(n))
		}
		c.senders = n
	}
	for _, e := range c.endpoints {
		e.unlisted = true
	}
	for name, list := range s.Endpoints {
		for _, v := range list {
			c.listed(c.pool(name), v)
		}
	}
	if s.Config != nil {
		for name, service := range s.Config.Services {
			p := c.pool(name)
			p.maxConns, p.capacity, p.cache = service.MaxConns, 0, 0
			if service.Engine != nil {
				p.capacity, p.cache = service.Engine.Capacity, service.Engine.CacheTokens
			}
		}
	}
	for _, e := range c.endpoints {
		c.forget(e)
	}
	c.order = slices.DeleteFunc(c.order, func(p *pool) bool {
		configured := s.Config == nil || s.Config.Services[p.service] != nil
		if len(p.eps) > 0 || len(p.hold) > 0 || configured {
			return false
		}
		delete(c.pools, p.service)
		return true
	})
	c.serveAll()
}

func (c *core) listed(p *pool, v *view.Endpoint) {
	e := c.endpoints[v.ID]
	if e == nil {
		if v.State == view.Gone {
			return
		}
		e = &endpoint{pool: p, hash: view.Hash(v.ID), slice: math.Inf(1), slowness: mean{1},
			spread: 0.75 + 0.5*c.rng(),
			narrow: sendlog.Log{Window: c.set.Narrow, Most: c.set.MostSends},
			passed: sendlog.Log{Window: c.set.Narrow, Most: c.set.MostSends},
			wide:   sendlog.Log{Window: c.set.Wide, Most: c.set.MostSends}}
		c.endpoints[v.ID] = e
		p.known = true
		i, _ := slices.BinarySearchFunc(p.eps, v.ID, func(e *endpoint, id string) int {
			if e.target.ID < id {
				return -1
			} else if e.target.ID > id {
				return 1
			}
			return 0
		})
		p.eps = slices.Insert(p.eps, i, e)
	}
	if e.pool != p { // an incarnation never changes its service
		return
	}
	e.unlisted = false
	e.target = Target{ID: v.ID, Address: v.Address, Service: v.Service, Zone: v.Zone}
	if e.target.Service == "" {
		e.target.Service = p.service
	}
	e.capacity, e.models = v.Capacity, v.Models
	e.state = max(e.state, v.State)
	if v.ColdLeftMs > 0 {
		e.coldTill = c.now + time.Duration(v.ColdLeftMs)*time.Millisecond
	} else {
		e.coldTill = 0
	}
}

// forget drops an incarnation that is listed no more and at which nothing runs.
func (c *core) forget(e *endpoint) {
	if !e.unlisted || len(e.running) > 0 {
		return
	}
	delete(c.endpoints, e.target.ID)
	e.pool.eps = slices.DeleteFunc(e.pool.eps, func(x *endpoint) bool { return x == e })
}

// acquire lets a request through, holds it or refuses it.
func (c *core) acquire(w *waiter) {
	p := c.pool(w.r.Service)
	if len(w.r.Prefix) > 0 {
		w.chains = chainOf(w.r.Model, w.r.Prefix)
	}
	if !c.mustWait(p, w) {
		if e, run := c.choose(p, w); e != nil {
			c.start(w, run)
			return
		}
	}
	if !w.r.Bulk {
		// A certificate may come or count again within the hold; another endpoint that was asked already doesn't.
		if w.r.Regime == "" && c.anyListed(p) && !slices.ContainsFunc(p.eps, func(e *endpoint) bool { return e.may(w) }) {
			c.refuse(p, w, "no endpoint is left to ask")
			return
		}
		wait := c.expectedWait(p, w)
		if c.now+wait >= w.giveUp && c.anyListed(p) || c.now >= w.giveUp {
			c.refuse(p, w, "no endpoint has room in time")
			return
		}
	}
	if c.held >= c.set.MostHeld {
		c.refuse(p, w, "the hold is full")
		return
	}
	i, _ := slices.BinarySearchFunc(p.hold, w, func(a, b *waiter) int { return before(a, b) })
	p.hold = slices.Insert(p.hold, i, w)
	c.held++
}

// before orders the hold: interactive by priority, then by deadline; then bulk by what falls due first.
func before(a, b *waiter) int {
	switch {
	case a.r.Bulk != b.r.Bulk:
		if b.r.Bulk {
			return -1
		}
		return 1
	case !a.r.Bulk && priority(a.r) != priority(b.r):
		return priority(a.r) - priority(b.r)
	}
	x, y := a.deadline, b.deadline
	if a.r.Bulk {
		x, y = a.due, b.due
	}
	switch {
	case x != y:
		if x < y {
			return -1
		}
		return 1
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

func priority(r *Request) int {
	if r.Route == nil {
		return 0
	}
	return r.Route.Priority
}

// mustWait tells whether others wait that go first and may go wherever this one may.
func (c *core) mustWait(p *pool, w *waiter) bool {
	for _, h := range p.hold {
		if before(h, w) > 0 {
			return false
		}
		if !overlaps(h, w) {
			continue
		}
		if w.r.Bulk && !h.r.Bulk {
			if c.pressing(w) {
				continue
			}
			return true
		}
		if len(h.r.Avoid) == 0 && h.r.Model == w.r.Model {
			return true
		}
	}
	return false
}

// overlaps tells whether one that waits may go wherever another may, by its regime: else it has not to be waited for,
// as what it waits for may be of no use to the other.
func overlaps(h, w *waiter) bool { return h.r.Regime == "" || h.r.Regime == w.r.Regime }

// giveUp is how long a request is held: a share of its target, and twice that where an endpoint had a try.
func (c *core) giveUp(w *waiter, arrived Time) Time {
	hold := time.Duration(math.MaxInt64 / 4)
	if t := w.r.Route; t != nil && t.TargetMs > 0 {
		hold = time.Duration(c.set.HoldShare * float64(t.TargetMs) * float64(time.Millisecond))
	}
	if len(w.r.Avoid) > 0 {
		hold *= 2
	}
	if arrived == 0 {
		arrived = c.now
	}
	if w.r.Bulk && w.due == 0 {
		w.due = math.MaxInt64 / 4
	}
	if w.deadline == 0 {
		w.deadline = arrived + math.MaxInt64/4
	}
	return min(w.deadline, arrived+hold)
}

func (c *core) anyListed(p *pool) bool {
	for _, e := range p.eps {
		if !e.unlisted && e.state == view.Ready {
			return true
		}
	}
	return false
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

func (c *core) refuse(p *pool, w *waiter, reason string) {
	wait := max(c.expectedWait(p, w), c.set.LeastRetry)
	wait = min(wait, max(0, w.deadline-c.now)/3)
	w.refused = &Refused{Reason: p.service + ": " + reason, RetryAfter: max(wait, 0)}
	if w.r.Regime != "" && reason != closing {
		w.refused.Reason, w.refused.Regime = noneCertified(w.r.Regime), w.r.Regime
	}
	w.done(w)
}

// expectedWait guesses how long until an endpoint has room for a request.
func (c *core) expectedWait(p *pool, w *waiter) time.Duration {
	soonest := time.Duration(math.MaxInt64)
	slots := 0.0
	for _, e := range p.eps {
		if e.unlisted || e.state != view.Ready || !w.r.may(e.target.ID) {
			continue
		}
		wait := max(0, e.outTill-c.now, e.fullTill-c.now, e.roomAt(c)-c.now)
		soonest = min(soonest, wait)
		slots += float64(e.slots())
	}
	if slots == 0 {
		return c.set.LeastRetry
	}
	ahead := 0
	for _, h := range p.hold {
		if before(h, w) < 0 && overlaps(h, w) {
			ahead++
		}
	}
	// Of the slots that come free, this sender has its part.
	each := time.Duration(p.work.v * float64(time.Millisecond) * float64(c.senders) / slots)
	return soonest + time.Duration(ahead+1)*each
}

// serveAll goes through the holds after something has changed.
func (c *core) serveAll() {
	for _, p := range c.order {
		c.serve(p)
	}
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

// interactive tells whether interactive requests wait that may go wherever one may.
func interactive(all []failures, r *Request) bool {
	for _, f := range all {
		if !f.bulk && f.n > 0 && (f.regime == "" || f.regime == r.Regime) {
			return true
		}
	}
	return false
}

func (c *core) serve(p *pool) {
	if len(p.hold) == 0 {
		return
	}
	list := slices.Clone(p.hold)
	// Bulk that is overdue goes last: else all of it would be late once some is.
	slices.SortStableFunc(list, func(a, b *waiter) int { return c.overdue(a) - c.overdue(b) })
	gone := false
	var few [4]failures
	all := few[:0]
	for _, w := range list {
		if !w.r.Bulk && c.now >= w.giveUp {
			c.refuse(p, w, "no endpoint had room in time")
			gone = true
			continue
		}
		n := failuresOf(&all, w.r)
		if *n < mostFailures && (!w.r.Bulk || !interactive(all, w.r) || c.pressing(w)) {
			if e, run := c.choose(p, w); e != nil {
				c.start(w, run)
				gone = true
				continue
			}
			*n++
		}
	}
	if gone {
		was := len(p.hold)
		p.hold = slices.DeleteFunc(p.hold, func(w *waiter) bool { return w.grant != nil || w.refused != nil })
		c.held -= was - len(p.hold)
	}
}

func (c *core) overdue(w *waiter) int {
	if w.r.Bulk && c.now >= w.due {
		return 1
	}
	return 0
}

// withdraw takes a request out of the hold again. It tells whether it was there.
func (c *core) withdraw(w *waiter) bool {
	p := c.pools[w.r.Service]
	if p == nil || w.grant != nil || w.refused != nil {
		return false
	}
	i := slices.Index(p.hold, w)
	if i < 0 {
		return false
	}
	p.hold = slices.Delete(p.hold, i, i+1)
	c.held--
	return true
}

// wake is when to step again though nothing happens, if at all.
func (c *core) wake() (Time, bool) {
	at := Time(math.MaxInt64)
	for _, p := range c.order {
		if len(p.hold) == 0 {
			continue
		}
		for _, w := range p.hold {
			if !w.r.Bulk {
				at = min(at, w.giveUp)
			}
		}
		soonest := Time(math.MaxInt64)
		for _, e := range p.eps {
			if e.unlisted || e.state != view.Ready {
				continue
			}
			next := max(e.outTill, e.fullTill, e.roomAt(c))
			if next <= c.now { // no clock opens it; what is told of others fades
				next = c.now + c.set.TrustLoad/10
			}
			soonest = min(soonest, next)
		}
		at = min(at, soonest)
	}
	return max(at, c.now+time.Millisecond), at != math.MaxInt64
}

// step lets time pass.
func (c *core) step() { c.serveAll() }

// first takes in that a run's first word came.
func (c *core) first(r *run, l Load) {
	if r.ended || r.told {
		return
	}
	r.told = true
	r.heard = l.Known
	e := r.e
	c.tell(e, l)
	took := float64(c.now-r.sent) / float64(time.Millisecond)
	e.slowness.add(min(max(took/max(r.expected, 0.5), 0.25), 4), 0.1)
	e.pool.lag(c.now, min(max(took-r.expected, -mostLag), mostLag), c.set.LagFades)
	if r.alone {
		e.pool.first.add(r.read, took)
	}
	c.serve(e.pool)
}

const mostLag = 300 // ms that one first word counts

// lag takes in how many ms later than expected a first word came.
func (p *pool) lag(now Time, ms float64, fades time.Duration) {
	old := math.Exp(-float64(now-p.word) / float64(fades))
	p.late.v *= old
	p.late.add(ms, max(0.05, (1-old)/2))
	p.word = now
}

// tell takes in what an endpoint says of its load: the part that isn't this sender's is the others'.
func (c *core) tell(e *endpoint, l Load) {
	if !l.Known {
		return
	}
	if l.Slots > 0 {
		e.capacity = l.Slots
	}
	e.others = float64(max(0, l.Running+l.Waiting-len(e.running)))
	e.toldAt, e.told = c.now, true
	if e.fullAt > 0 {
		e.fullAt = max(e.fullAt, float64(l.Running+l.Waiting))
	}
	e.pool.rest.add(e.others, 0.1)
	if l.Waiting == 0 && 2*l.Running < l.Slots && c.now-e.cutAt > c.set.FullFor {
		e.slice = math.Inf(1) // half of it is free: nothing is full any more
	}
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
