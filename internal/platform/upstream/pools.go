package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// useDecay is the half-life of a use of an endpoint when comparing pools for eviction.
const useDecay = 10 * time.Second

// Config configures pools. Dial and Endpoint.MayPreconnect are called without a lock held, Now and Rand with one.
type Config struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	Now  func() time.Time
	Rand func() float64 // in [0, 1)

	Senders     int           // how many processes share an endpoint's capacity for connections
	MaxOpen     int           // limit on the connections of all pools together
	MaxIdle     time.Duration // how long any connection may stay idle
	DialTimeout time.Duration // for opening a connection, including the wait for a free one
	MaxWait     time.Duration // for waiting for a free connection; 0: DialTimeout
	// Preconnect opens connections ahead of demand, except to an endpoint that failed within WarmUp.
	Preconnect bool
	WarmUp     time.Duration
}

// Pools holds the connections of one process to all its endpoints. It is safe for concurrent use.
type Pools struct {
	config     Config
	ctx        context.Context // for dials in the background
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	byName    map[string]*Pool
	open      int // connections, including those being opened
	idleLimit idleLimit
	waiting   []chan struct{}   // calls that wait for MaxOpen to allow a connection, longest first
	inherited map[string]Learnt // state from another process, until its endpoint is listed
	retired   bool
}

// New returns pools without endpoints.
func New(config Config) *Pools {
	config.Senders = max(1, config.Senders)
	config.MaxOpen = max(1, config.MaxOpen)
	ps := &Pools{
		config:    config,
		byName:    map[string]*Pool{},
		idleLimit: idleLimit{configured: config.MaxIdle},
	}
	ps.ctx, ps.cancel = context.WithCancel(context.Background())
	return ps
}

// Endpoint is the entry of an endpoint in a list of endpoints.
type Endpoint struct {
	Name          string
	Addr          string
	Since         int64       // when its process last started (Unix milliseconds), if the list has that
	MayPreconnect func() bool // whether a connection may be opened ahead of demand; nil: never
	MaxConns      int         // how many connections this process may have to it; 0: not specified
}

// Endpoint returns the pool of an endpoint and applies its list entry. If the endpoint was removed before, has a new
// address or was restarted, connections are opened afresh and the learned state is dropped.
func (ps *Pools) Endpoint(e Endpoint) *Pool {
	ps.mu.Lock()
	p := ps.byName[e.Name]
	if p == nil {
		p = ps.add(e)
		ps.mu.Unlock()
		return p
	}
	outdated := p.update(e)
	ps.mu.Unlock()
	closeAll(outdated)
	return p
}

// add adds a pool for a new endpoint, with mu locked.
func (ps *Pools) add(e Endpoint) *Pool {
	p := &Pool{pools: ps, endpoint: e}
	p.resetLearnt()
	p.failedAt = time.Time{}
	if learnt, ok := ps.inherited[e.Name]; ok {
		p.inherit(learnt)
		delete(ps.inherited, e.Name)
	}
	ps.byName[e.Name] = p
	return p
}

// removeEnded removes a pool whose endpoint was removed and whose last call has ended, with mu locked.
func (ps *Pools) removeEnded(p *Pool) {
	if p.removed && p.inUse+p.dialing == 0 && ps.byName[p.endpoint.Name] == p {
		delete(ps.byName, p.endpoint.Name)
	}
}

// SetMaxOpen changes the limit on the connections of all pools together. Idle connections beyond it are closed;
// connections in use are not.
func (ps *Pools) SetMaxOpen(maxOpen int) {
	ps.mu.Lock()
	ps.config.MaxOpen = max(1, maxOpen)
	var surplus []*Conn
	for ps.open > ps.config.MaxOpen {
		c := ps.evictLeastUsed(ps.config.Now())
		if c == nil {
			break
		}
		surplus = append(surplus, c)
	}
	for len(ps.waiting) > 0 && ps.open < ps.config.MaxOpen { // each checks again
		ps.wakeForSpace()
	}
	ps.mu.Unlock()
	closeAll(surplus)
}

// Retire closes the idle connections and retains none from now on. Calls in flight are not affected.
func (ps *Pools) Retire() {
	ps.mu.Lock()
	ps.retired = true
	var idle []*Conn
	for _, p := range ps.byName {
		idle = append(idle, p.removeIdle()...)
	}
	ps.mu.Unlock()
	closeAll(idle)
}

// Close retires the pools and waits for dials in the background. All calls must have ended.
func (ps *Pools) Close() {
	ps.Retire()
	ps.cancel()
	ps.background.Wait()
}

// Sweep closes the connections that have been idle for too long or that the endpoint has closed. It must be called
// about once a second.
func (ps *Pools) Sweep() {
	ps.mu.Lock()
	now := ps.config.Now()
	var expired []*Conn
	for _, p := range ps.byName {
		limit := p.maxIdle(now)
		p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
			if now.Sub(c.idleSince) < c.maxIdle(limit) && c.quiet() {
				return false
			}
			expired = append(expired, c)
			return true
		})
		p.preconnect(now)
	}
	ps.freed(len(expired))
	ps.mu.Unlock()
	closeAll(expired)
}

// freed counts n connections as closed and wakes as many calls that wait for MaxOpen, with mu locked.
func (ps *Pools) freed(n int) {
	ps.open -= n
	for range n {
		ps.wakeForSpace()
	}
}

// wakeForSpace wakes the call that has waited longest for MaxOpen to allow a connection; it then checks again. It is
// called with mu locked.
func (ps *Pools) wakeForSpace() {
	if len(ps.waiting) > 0 {
		close(ps.waiting[0])
		ps.waiting = ps.waiting[1:]
	}
}

// evictLeastUsed removes the longest idle connection of the least used pool and returns it for the caller to close;
// nil if none is idle. It is called with mu locked.
func (ps *Pools) evictLeastUsed(now time.Time) *Conn {
	var least *Pool
	for _, p := range ps.byName {
		if len(p.idle) == 0 {
			continue
		}
		p.uses.add(0, now, useDecay)
		if least == nil || p.usedLessThan(least) {
			least = p
		}
	}
	if least == nil {
		return nil
	}
	c := least.idle[0]
	least.idle = slices.Delete(least.idle, 0, 1)
	ps.open--
	return c
}
