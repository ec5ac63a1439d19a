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

func (c *core) anyListed(p *pool) bool {
	for _, e := range p.eps {
		if !e.unlisted && e.state == view.Ready {
			return true
		}
	}
	return false
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
