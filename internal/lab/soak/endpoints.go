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

// location is where an endpoint runs.
type location struct {
	service string
	address string
	zone    int
}

// startEndpoint starts a new incarnation of an endpoint.
func (p *soakRun) startEndpoint(at location) error {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	p.started++
	o := tier.EndpointOptions(at.service)
	o.ID = fmt.Sprintf("i-%08x", p.plan.Seed<<16+uint64(p.started))
	o.Address, o.Zone = at.address, p.cluster.Zones()[at.zone]
	o.Runs = p.runs
	o.Heartbeats = engine.Heartbeats{Controls: p.misdirect.controls(p.cluster), Every: heartbeatEvery, DrainFor: drainedFor}
	e, err := engine.Start(o)
	if err != nil {
		return err
	}
	p.endpoints = append(p.endpoints, e)
	p.locations[e] = at
	return nil
}

// removeEndpoint removes a running endpoint from the list, for a fault that stops it. It returns false if none is running.
func (p *soakRun) removeEndpoint(n int) (*engine.Endpoint, location, bool) {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	if len(p.endpoints) == 0 {
		return nil, location{}, false
	}
	n %= len(p.endpoints)
	e := p.endpoints[n]
	p.endpoints = append(p.endpoints[:n:n], p.endpoints[n+1:]...)
	at := p.locations[e]
	delete(p.locations, e)
	return e, at, true
}

// running returns the running endpoints in the order in which they started.
func (p *soakRun) running() []*engine.Endpoint {
	p.endpointsMu.Lock()
	defer p.endpointsMu.Unlock()
	return slices.Clone(p.endpoints)
}

// closeEndpoints stops all endpoints and waits for their goroutines.
func (p *soakRun) closeEndpoints() {
	for _, e := range p.running() {
		e.Crash()
	}
}

// drains holds when the drain of each endpoint was acknowledged.
type drains struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// record records when an endpoint's drain was acknowledged; a zero time means that it was not.
func (d *drains) record(id string, acked time.Time) {
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

// of returns when the drain of an endpoint was acknowledged.
func (d *drains) of(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	acked, there := d.acked[id]
	return acked, there
}

// misdirection makes draining endpoints report to machines that are cut off, which must not acknowledge a drain.
type misdirection struct {
	mu        sync.Mutex
	machines  []string // machines that are cut off
	endpoints int      // endpoints whose reports are misdirected
}

// to sets the machines that are cut off, to which reports are misdirected.
func (m *misdirection) to(machines []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machines = machines
}

// countEndpoint counts an endpoint whose reports begin or cease to be misdirected.
func (m *misdirection) countEndpoint(begins bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if begins {
		m.endpoints++
	} else {
		m.endpoints--
	}
}

// controls returns a function that lists the addresses that accept heartbeats. While the reports of an endpoint are
// misdirected, machines that are cut off come first.
func (m *misdirection) controls(c *cluster.Cluster) func() []string {
	return func() []string {
		m.mu.Lock()
		cut, endpoints := m.machines, m.endpoints
		m.mu.Unlock()
		var first, rest []string
		for _, p := range c.Processes() {
			switch {
			case p.Role != cluster.Keeper:
			case endpoints > 0 && slices.Contains(cut, p.Address()):
				first = append(first, p.ReachedControl())
			default:
				rest = append(rest, p.ReachedControl())
			}
		}
		return append(first, rest...)
	}
}
