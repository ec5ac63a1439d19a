package dispatch

import (
	"math"
	"slices"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/sendlog"
)

// Time is a reading of a monotonic clock.
type Time = sendlog.Time

// core makes the decisions of a Dispatcher. It has no clock, no goroutine and no source of randomness of its own. It is not
// safe for concurrent use.
type core struct {
	settings Settings
	zone     string
	self     uint64         // hash of this sender's name
	rng      func() float64 // in [0, 1)
	now      Time
	senders  int // processes that send to the same endpoints

	endpoints map[string]*endpoint
	pools     map[string]*pool
	order     []*pool // in the order in which they were first named
	held      int     // requests that wait, in all pools
	listing   uint64  // the number of snapshots so far
}

// pool is the endpoints of a service and the requests that wait for one of them.
type pool struct {
	service   string
	endpoints []*endpoint // by id
	maxConns  int
	capacity  int
	cache     int64 // tokens
	known     bool  // an endpoint has been listed

	first line      // ms to the first word, by tokens to read
	work  mean      // ms from the grant to the end
	rest  mean      // requests of other senders at an endpoint
	bulk  int       // bulk requests that are running
	size  mean      // tokens of a prompt
	late  mean      // ms by which recent first words came later than expected
	word  Time      // when the last first word came
	hold  []*waiter // in the order of before
}

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	pool     *pool
	target   Target
	hash     uint64
	capacity int
	state    snapshot.State
	models   []snapshot.Model
	coldTill Time

	narrow, wide sendlog.Log
	passed       sendlog.Log // runs that were served in the narrow window
	slice        float64     // most starts in a narrow window; infinite until a refusal
	cutAt        Time        // the last refusal that cut the slice
	refusedAt    Time        // the last refusal, from which on the slice grows
	spread       float64     // random factor of the growth, so that senders do not return all at once

	running  []*run  // granted and not ended, the oldest first
	others   float64 // requests of other senders, by the last load that it reported
	toldAt   Time    // when it last reported a load
	told     bool    // it has reported a load
	fullTill Time    // it counts as full until then
	fullAt   float64 // running and waiting requests with which it refused one; 0 if unknown
	slowness mean    // time to the first word as a multiple of the expected time

	score        float64       // failures since the last success
	ejectedUntil Time          // 0 if it is not ejected
	ejectedFor   time.Duration // how long it was ejected last
	probing      bool          // a probe is running
	cache        prefixCache
	preferred    bool // it is in the subset of endpoints that this sender prefers
	answered     bool // this sender has had a first word or an end of a run from it
	unlisted     bool // not in the newest snapshot: it gets no requests, and is dropped when its runs have ended
}

// newCore returns a core without endpoints. The function rng returns random numbers in [0, 1).
func newCore(settings Settings, zone string, rng func() float64) *core {
	return &core{settings: settings.withDefaults(), zone: zone, rng: rng, senders: 1,
		endpoints: map[string]*endpoint{}, pools: map[string]*pool{}}
}

// pool returns the pool of a service, a new one if there is none.
func (c *core) pool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{service: service, first: firstLine(), work: mean{float64(firstWork.Milliseconds())}}
		c.pools[service] = p
		c.order = append(c.order, p)
	}
	return p
}

// update applies a new snapshot. Endpoints that are not in it get no further requests.
func (c *core) update(s *snapshot.Snapshot) {
	if s == nil {
		return
	}
	c.listing++
	if n := max(s.Proxies, 1); n != c.senders {
		for _, e := range c.endpoints {
			e.slice = max(1, e.slice*float64(c.senders)/float64(n))
		}
		c.senders = n
	}
	for _, e := range c.endpoints {
		e.unlisted = true
	}
	if s.Config != nil {
		for name, service := range s.Config.Services {
			p := c.pool(name)
			p.maxConns, p.capacity, p.cache = service.MaxConnections, 0, 0
			if service.Engine != nil {
				p.capacity, p.cache = service.Engine.Capacity, service.Engine.CacheTokens
			}
		}
	}
	for name, list := range s.Endpoints {
		for _, v := range list {
			c.listed(c.pool(name), v)
		}
	}
	for _, e := range c.endpoints {
		c.forget(e)
	}
	for _, p := range c.order {
		c.chooseSubset(p)
	}
	c.order = slices.DeleteFunc(c.order, func(p *pool) bool {
		configured := s.Config == nil || s.Config.Services[p.service] != nil
		if len(p.endpoints) > 0 || len(p.hold) > 0 || configured {
			return false
		}
		delete(c.pools, p.service)
		return true
	})
	c.serveAll()
}

// listed adds an endpoint of a snapshot, or updates it.
func (c *core) listed(p *pool, v *snapshot.Endpoint) {
	e := c.endpoints[v.ID]
	if e == nil {
		if v.State == snapshot.Removed {
			return
		}
		e = &endpoint{pool: p, hash: snapshot.Hash(v.ID), slice: math.Inf(1), slowness: mean{1},
			spread: 0.75 + 0.5*c.rng(),
			narrow: sendlog.Log{Window: c.settings.Narrow, MaxEntries: c.settings.MostSends},
			passed: sendlog.Log{Window: c.settings.Narrow, MaxEntries: c.settings.MostSends},
			wide:   sendlog.Log{Window: c.settings.Wide, MaxEntries: c.settings.MostSends}}
		c.endpoints[v.ID] = e
		p.known = true
		i, _ := slices.BinarySearchFunc(p.endpoints, v.ID, func(e *endpoint, id string) int {
			if e.target.ID < id {
				return -1
			} else if e.target.ID > id {
				return 1
			}
			return 0
		})
		p.endpoints = slices.Insert(p.endpoints, i, e)
	}
	if e.pool != p { // an incarnation never changes its service
		return
	}
	e.unlisted = false
	e.target = Target{ID: v.ID, Address: v.Address, Service: v.Service, Zone: v.Zone}
	if e.target.Service == "" {
		e.target.Service = p.service
	}
	e.capacity, e.models = e.plausible(v.Capacity), v.Models
	e.state = max(e.state, v.State)
	if v.RemainingWarmupMs > 0 {
		e.coldTill = c.now + time.Duration(v.RemainingWarmupMs)*time.Millisecond
	} else {
		e.coldTill = 0
	}
}

// forget drops an endpoint that is no longer listed and has no runs.
func (c *core) forget(e *endpoint) {
	if !e.unlisted || len(e.running) > 0 {
		return
	}
	delete(c.endpoints, e.target.ID)
	e.pool.endpoints = slices.DeleteFunc(e.pool.endpoints, func(x *endpoint) bool { return x == e })
}

// anyListed reports whether a pool has a listed endpoint that is ready.
func (c *core) anyListed(p *pool) bool {
	for _, e := range p.endpoints {
		if !e.unlisted && e.state == snapshot.Ready {
			return true
		}
	}
	return false
}

// mostLag is the most ms by which one first word counts as late or early.
const mostLag = 300

// lag adds the ms by which a first word came later than expected to the recent mean. Older values fade.
func (p *pool) lag(now Time, ms float64, fades time.Duration) {
	old := math.Exp(-float64(now-p.word) / float64(fades))
	p.late.v *= old
	p.late.add(ms, max(0.05, (1-old)/2))
	p.word = now
}

// Bounds of what an endpoint is believed about itself: one that tells nonsense must neither draw all requests nor, by way of the mean of
// its pool, make all others look full.
const (
	mostCapacityFactor = 2    // slots, as a multiple of those that are configured for its service
	mostCapacity       = 4096 // slots, where none are configured
	mostToldFactor     = 8    // running and waiting requests, as a multiple of its slots
)

// plausible returns a number of slots that an endpoint tells, or 0 if it can't be believed.
func (e *endpoint) plausible(slots int) int {
	most := mostCapacity
	if e.pool.capacity > 0 {
		most = mostCapacityFactor * e.pool.capacity
	}
	if slots < 1 || slots > most {
		return 0
	}
	return slots
}

// tell applies a load that an endpoint reported. The part of it that is not this sender's belongs to others.
func (c *core) tell(e *endpoint, l Load) {
	if !l.Known {
		return
	}
	if plausible := e.plausible(l.Slots); plausible > 0 {
		e.capacity = plausible
	}
	there := min(max(l.Running, 0)+max(l.Waiting, 0), mostToldFactor*e.slots())
	e.others = float64(max(0, there-len(e.running)))
	e.toldAt, e.told = c.now, true
	if e.fullAt > 0 {
		e.fullAt = max(e.fullAt, float64(l.Running+l.Waiting))
	}
	e.pool.rest.add(min(e.others, e.pool.rest.v+float64(e.slots())), 0.1)
	if l.Waiting == 0 && 2*l.Running < l.Slots && c.now-e.cutAt > c.settings.FullFor {
		e.slice = math.Inf(1) // half of its slots are free, so the limit no longer holds
	}
}
