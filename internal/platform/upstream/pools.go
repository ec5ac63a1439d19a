package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// useDecay is after how long a use of an endpoint counts for half, where connections are short.
const useDecay = 10 * time.Second

// Config is what pools are made of. Dial and Endpoint.MayPreconnect are called with no lock held, Now and Rand with
// one.
type Config struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	Now  func() time.Time
	Rand func() float64 // from 0 to 1

	Senders     int           // how many processes share what an endpoint holds
	MaxOpen     int           // connections of all pools together
	MaxIdle     time.Duration // the longest that any connection may stand idle
	DialTimeout time.Duration // for a connection to be opened, with the wait for a free one
	MaxWait     time.Duration // for a free connection; 0: as DialTimeout
	// Preconnect opens connections before they are needed, but none to an endpoint that failed within WarmUp.
	Preconnect bool
	WarmUp     time.Duration
}

// Pools are the connections of one process to all its endpoints. It is safe for concurrent use.
type Pools struct {
	config     Config
	ctx        context.Context // of what is opened in the background
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu        sync.Mutex
	byName    map[string]*Pool
	open      int // connections, those that are being opened among them
	idleLimit idleLimit
	waiting   []chan struct{}   // for one connection more among all, the longest first
	inherited map[string]Learnt // what another process had learnt, until its endpoint is listed
	retired   bool
}

// New returns pools with no endpoints.
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

// Endpoint is what a list of endpoints says of one.
type Endpoint struct {
	Name          string
	Addr          string
	Since         int64       // when its process last started (Unix milliseconds), as far as the list says
	MayPreconnect func() bool // false while nothing may be opened there; nil for never
	MaxConns      int         // connections that this process may have to it; 0: not said
}

// Endpoint returns the pool of an endpoint, after what a list says of it. One that was removed, is at a new address
// or was started anew gets fresh connections, and nothing that was learnt about the one before.
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

// add adds the pool of an endpoint that was not listed, with mu locked.
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

// removeEnded removes a pool that has ended, with mu locked.
func (ps *Pools) removeEnded(p *Pool) {
	if p.removed && p.inUse+p.dialing == 0 && ps.byName[p.endpoint.Name] == p {
		delete(ps.byName, p.endpoint.Name)
	}
}

// SetMaxOpen changes how many connections all pools together may have. Idle ones over that are closed, as far as
// there are any.
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
	for len(ps.waiting) > 0 && ps.open < ps.config.MaxOpen { // all look again
		ps.wakeForSpace()
	}
	ps.mu.Unlock()
	closeAll(surplus)
}

// Retire closes the idle connections and retains none from now on. Calls that are in flight end as they would have.
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

// Close retires the pools and waits for what they open in the background. Calls must have ended.
func (ps *Pools) Close() {
	ps.Retire()
	ps.cancel()
	ps.background.Wait()
}

// Sweep closes the connections that have been idle for too long or whose far side has closed them. It has to be
// called every second or so.
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

// freed counts connections as closed, and wakes as many calls that wait for one among all. With mu locked.
func (ps *Pools) freed(n int) {
	ps.open -= n
	for range n {
		ps.wakeForSpace()
	}
}

// wakeForSpace wakes the call that has waited longest for a connection among all, to look again. With mu locked.
func (ps *Pools) wakeForSpace() {
	if len(ps.waiting) > 0 {
		close(ps.waiting[0])
		ps.waiting = ps.waiting[1:]
	}
}

// evictLeastUsed takes the longest idle connection out of the pool that is used least, and returns it to be closed;
// nil if none is idle. With mu locked.
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
