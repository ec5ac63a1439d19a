package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/sendlog"
)

// Time is a reading of a monotonic clock.
type Time = sendlog.Time

// core makes the decisions of a Dispatcher. It has no clock, no goroutine and no source of
// randomness of its own: its owner sets now before each call. It is not safe for concurrent use.
type core struct {
	settings   Settings
	zone       string
	senderHash uint64         // of this sender's name
	random     func() float64 // in [0, 1)
	now        Time
	senders    int // processes that send to the same endpoints, this one included

	endpoints map[string]*endpoint   // by id, of all pools
	pools     map[string]*pool       // by service
	poolOrder []*pool                // in the order of creation
	queued    int                    // pending requests of all pools
	snapshots uint64                 // snapshots that were applied so far
	config    *operatorconfig.Config // of the newest snapshot that has one
}

// pool is the endpoints of a service and the requests that wait for one of them.
type pool struct {
	service     string
	endpoints   []*endpoint // by id
	maxConns    int         // connections to an endpoint, of all senders; 0: not bounded
	capacity    int         // configured slots of an endpoint; 0: unknown
	cacheTokens int64       // configured size of an endpoint's prefix cache; 0: unknown
	// routePriorities is the number of priorities that the interactive routes of the service may
	// have: one more than the highest number.
	routePriorities int

	firstTokenFit  linearFit     // ms to the first token, by tokens to prefill
	runTime        movingAverage // ms from the grant to the end
	otherLoad      movingAverage // requests of other senders at an endpoint
	bulkRunning    int           // bulk requests of this sender that are running
	promptTokens   movingAverage // tokens of a prompt
	lateness       movingAverage // ms by which recent first tokens arrived later than expected
	lastFirstToken Time          // when the newest first token arrived
	queue          []*waiter     // pending requests, in the order of compareUrgency
}

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	pool         *pool
	target       Target
	hash         uint64
	capacity     int // slots, as listed or reported; 0: unknown
	state        snapshot.State
	models       []snapshot.Model // empty: any
	warmingUntil Time
	inSubset     bool // it is in this sender's subset
	answered     bool // a run of this sender has had its first token or has ended there
	unlisted     bool // not in the newest snapshot: it gets no requests, and is dropped when its runs have ended

	// Adaptive rate limit (ratelimit.go).
	shortLog, longLog sendlog.Log // starts
	servedLog         sendlog.Log // runs that were served, in the short window
	rateLimit         float64     // maximal starts in the short window at refusedAt; infinite until a refusal
	rateCutAt         Time        // the last refusal that reduced the rate limit
	refusedAt         Time        // the last refusal, from which on the rate limit grows
	recoveryJitter    float64     // random factor of the growth, so that senders do not all return at once

	// Load (load.go).
	running        []*run        // granted and not ended, the oldest first
	otherLoad      float64       // requests of other senders, by the last load report
	loadReportedAt Time          // time of the last load report
	loadReported   bool          // there was a load report
	fullUntil      Time          // it counts as full until then
	fullAtLoad     float64       // running and waiting requests with which it refused one; 0 if unknown
	slowness       movingAverage // time to the first token as a multiple of the expected time

	// Ejection (ejection.go).
	failureScore float64       // weighted failures since the last success
	ejectedUntil Time          // 0 if it is not ejected
	ejectedFor   time.Duration // length of the last ejection
	probing      bool          // a probe is in flight

	cache prefixCache // this sender's model of what is cached there
}

// newCore returns a core without endpoints. The function random returns random numbers in [0, 1).
func newCore(settings Settings, zone string, random func() float64) *core {
	return &core{
		settings:  settings.withDefaults(),
		zone:      zone,
		random:    random,
		senders:   1,
		endpoints: map[string]*endpoint{},
		pools:     map[string]*pool{},
	}
}

// pool returns the pool of a service, a new one if there is none.
func (c *core) pool(service string) *pool {
	p := c.pools[service]
	if p == nil {
		p = &pool{
			service:         service,
			routePriorities: 1,
			firstTokenFit:   initialFit(),
			runTime:         movingAverage{float64(initialRunTime.Milliseconds())},
		}
		c.pools[service] = p
		c.poolOrder = append(c.poolOrder, p)
	}
	return p
}

// applySnapshot applies a new snapshot. Endpoints that are not in it get no further requests.
func (c *core) applySnapshot(s *snapshot.Snapshot) {
	if s == nil {
		return
	}
	c.snapshots++
	c.setSenders(max(s.Proxies, 1))
	c.configurePools(s)
	for _, e := range c.endpoints {
		e.unlisted = true
	}
	for name, list := range s.Endpoints {
		for _, listed := range list {
			c.applyEndpoint(c.pool(name), listed)
		}
	}
	for _, e := range c.endpoints {
		c.removeIfUnlisted(e)
	}
	for _, p := range c.poolOrder {
		c.chooseSubset(p)
	}
	c.refuseMovedBulk()
	c.removeEmptyPools(s)
	c.serveAllQueues()
}

// setSenders divides the rate limits among a new number of senders.
func (c *core) setSenders(senders int) {
	if senders == c.senders {
		return
	}
	for _, e := range c.endpoints {
		e.rateLimit = max(1, e.rateLimit*float64(c.senders)/float64(senders))
	}
	c.senders = senders
}

// configurePools applies the services of a snapshot's configuration.
func (c *core) configurePools(s *snapshot.Snapshot) {
	if s.Config == nil {
		return
	}
	c.config = s.Config
	for name, service := range s.Config.Services {
		p := c.pool(name)
		p.maxConns, p.capacity, p.cacheTokens = service.MaxConnections, 0, 0
		if service.Engine != nil {
			p.capacity, p.cacheTokens = service.Engine.Capacity, service.Engine.CacheTokens
		}
		p.routePriorities = 1
	}
	for i := range s.Config.Routes {
		c.countRoutePriorities(&s.Config.Routes[i])
	}
}

// countRoutePriorities raises the number of priorities in the pools of a route to include its own.
func (c *core) countRoutePriorities(route *operatorconfig.Route) {
	if route.Kind == operatorconfig.Bulk {
		return
	}
	for _, share := range route.Shares {
		p := c.pool(share.Service)
		p.routePriorities = max(p.routePriorities, route.Priority+1)
	}
}

// removeEmptyPools drops the pools of services that are neither configured nor in use.
func (c *core) removeEmptyPools(s *snapshot.Snapshot) {
	c.poolOrder = slices.DeleteFunc(c.poolOrder, func(p *pool) bool {
		configured := s.Config == nil || s.Config.Services[p.service] != nil
		if len(p.endpoints) > 0 || len(p.queue) > 0 || configured {
			return false
		}
		delete(c.pools, p.service)
		return true
	})
}

// applyEndpoint adds an endpoint of a snapshot, or updates it.
func (c *core) applyEndpoint(p *pool, listed *snapshot.Endpoint) {
	e := c.endpoints[listed.ID]
	if e == nil {
		if listed.State == snapshot.Removed {
			return
		}
		e = c.addEndpoint(p, listed.ID)
	}
	if e.pool != p { // an incarnation never changes its service
		return
	}
	e.unlisted = false
	e.target = Target{ID: listed.ID, Address: listed.Address, Service: listed.Service, Zone: listed.Zone}
	if e.target.Service == "" {
		e.target.Service = p.service
	}
	e.capacity, e.models = e.plausibleSlots(listed.Capacity), listed.Models
	e.state = max(e.state, listed.State)
	if listed.RemainingWarmupMs > 0 {
		e.warmingUntil = c.now + time.Duration(listed.RemainingWarmupMs)*time.Millisecond
	} else {
		e.warmingUntil = 0
	}
}

// addEndpoint adds an endpoint without a history to a pool.
func (c *core) addEndpoint(p *pool, id string) *endpoint {
	shortLog := sendlog.Log{Window: c.settings.ShortWindow, MaxEntries: c.settings.MaxLogEntries}
	e := &endpoint{
		pool:           p,
		hash:           snapshot.Hash(id),
		rateLimit:      math.Inf(1),
		slowness:       movingAverage{1},
		recoveryJitter: 0.75 + 0.5*c.random(),
		shortLog:       shortLog,
		servedLog:      shortLog,
		longLog:        sendlog.Log{Window: c.settings.LongWindow, MaxEntries: c.settings.MaxLogEntries},
	}
	c.endpoints[id] = e
	i, _ := slices.BinarySearchFunc(p.endpoints, id, func(e *endpoint, id string) int {
		return cmp.Compare(e.target.ID, id)
	})
	p.endpoints = slices.Insert(p.endpoints, i, e)
	return e
}

// removeIfUnlisted drops an endpoint that is no longer listed and has no runs.
func (c *core) removeIfUnlisted(e *endpoint) {
	if !e.unlisted || len(e.running) > 0 {
		return
	}
	delete(c.endpoints, e.target.ID)
	e.pool.endpoints = slices.DeleteFunc(e.pool.endpoints, func(x *endpoint) bool { return x == e })
}

// ready reports whether an endpoint is in the newest snapshot as ready.
func (e *endpoint) ready() bool { return !e.unlisted && e.state == snapshot.Ready }

// hasReadyEndpoint reports whether any endpoint of a pool is ready.
func (p *pool) hasReadyEndpoint() bool { return slices.ContainsFunc(p.endpoints, (*endpoint).ready) }
