package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"dunetide/internal/lab/tier"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/engine"
)

// place is where an endpoint is.
type place struct {
	service string
	address string
	zone    int
}

// startEndpoint starts a new incarnation at a place.
func (p *play) startEndpoint(at place) error {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	p.started++
	o := tier.EndpointOptions(at.service)
	o.ID = fmt.Sprintf("i-%08x", p.plan.Seed<<16+uint64(p.started))
	o.Address, o.Zone = at.address, p.cluster.Zones()[at.zone]
	o.Runs = p.runs
	o.Heartbeats = engine.Heartbeats{Controls: p.decoy.controls(p.cluster), Every: heartbeatEvery, DrainFor: drainedFor}
	e, err := engine.Start(o)
	if err != nil {
		return err
	}
	p.endpoints = append(p.endpoints, e)
	p.addresses[e] = at
	return nil
}

// removeEndpoint takes a running endpoint out of the list, for a fault that ends it; false: none runs.
func (p *play) removeEndpoint(n int) (*engine.Endpoint, place, bool) {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	if len(p.endpoints) == 0 {
		return nil, place{}, false
	}
	n %= len(p.endpoints)
	e := p.endpoints[n]
	p.endpoints = append(p.endpoints[:n:n], p.endpoints[n+1:]...)
	at := p.addresses[e]
	delete(p.addresses, e)
	return e, at, true
}

// running returns the endpoints that run at this moment, in the order of their starts.
func (p *play) running() []*engine.Endpoint {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	return slices.Clone(p.endpoints)
}

// closeEndpoints ends all endpoints and waits for their goroutines.
func (p *play) closeEndpoints() {
	for _, e := range p.running() {
		e.Crash()
	}
}

// drains are endpoints whose end was acknowledged.
type drains struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// watch notes when an endpoint's end was acknowledged; zero: never.
func (d *drains) watch(id string, acked time.Time) {
	if acked.IsZero() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acked == nil {
		d.acked = map[string]time.Time{}
	}
	d.acked[id] = acked
}

// of returns when the end of an endpoint was acknowledged.
func (d *drains) of(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	acked, there := d.acked[id]
	return acked, there
}

// misdirected has endpoints that leave report to machines that are cut off, which must not acknowledge a drain then.
type misdirected struct {
	mu       sync.Mutex
	machines []string // that are cut off
	leaving  int      // endpoints whose reports are misdirected
}

// to sets the machines that are cut off.
func (m *misdirected) to(machines []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machines = machines
}

// endpoint counts an endpoint whose reports are misdirected from now on, or no longer.
func (m *misdirected) endpoint(begins bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if begins {
		m.leaving++
	} else {
		m.leaving--
	}
}

// controls orders the addresses that accept heartbeats: those of machines that are cut off first while an endpoint is
// misdirected.
func (m *misdirected) controls(c *cluster.Cluster) func() []string {
	return func() []string {
		m.mu.Lock()
		cut, leaving := m.machines, m.leaving
		m.mu.Unlock()
		var first, rest []string
		for _, p := range c.Processes() {
			switch {
			case p.Role != cluster.Keeper:
			case leaving > 0 && slices.Contains(cut, p.Address()):
				first = append(first, p.ReachedControl())
			default:
				rest = append(rest, p.ReachedControl())
			}
		}
		return append(first, rest...)
	}
}
