package certification

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Gate says where requests of regulated routes may go. It fails closed: where no keeper has confirmed lately that
// what is known is the newest, nobody is certified.
type Gate struct {
	o   GateOptions
	set atomic.Pointer[Set]

	mu     sync.Mutex
	counts map[string]*Counts
}

// GateOptions of a gate.
type GateOptions struct {
	Now func() time.Time // nil: time.Now
	// Confirmed tells when the newest question was asked to which a keeper answered that nothing newer was agreed.
	Confirmed func() time.Time
	// Stale is how long such an answer counts.
	Stale time.Duration
}

// Counts of regulated work, by regime.
type Counts struct {
	Runs    uint64 // sent to an endpoint
	Refused uint64 // interactive requests that no certified endpoint took in time
	Waited  uint64 // turns of batch items that waited for a certified endpoint
	GivenUp uint64 // such turns that ended without one: the item was given up, or taken back
	Stopped uint64 // grants that weren't used, as the certificate was gone before the request was sent
}

// NewGate returns a gate that knows of no certificates.
func NewGate(o GateOptions) *Gate {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Gate{o: o, counts: map[string]*Counts{}}
}

// Update takes in the newest certificates. Versions never go back.
func (g *Gate) Update(s *Set) {
	if s == nil {
		return
	}
	for {
		old := g.set.Load()
		if old != nil && old.Version >= s.Version || g.set.CompareAndSwap(old, s) {
			return
		}
	}
}

// Set is the newest that is known; nil: none was ever put.
func (g *Gate) Set() *Set {
	if g == nil {
		return nil
	}
	return g.set.Load()
}

// Regime is what a route demands now; empty: nothing.
func (g *Gate) Regime(route string) string { return g.Set().Regime(route) }

// Fresh tells whether what is known counts.
func (g *Gate) Fresh() bool {
	at := g.o.Confirmed()
	return !at.IsZero() && g.o.Now().Sub(at) <= g.o.Stale
}

// Allows tells whether a request of a route may be sent to an incarnation now, for which regime and by which certificates.
func (g *Gate) Allows(route, endpoint string) (regime string, by *Set, ok bool) {
	s := g.Set()
	if regime = s.Regime(route); regime == "" {
		return "", s, true
	}
	return regime, s, g.Fresh() && s.Certified(endpoint, regime, g.o.Now())
}

// Count changes the counts of a regime.
func (g *Gate) Count(regime string, change func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts[regime]
	if c == nil {
		c = &Counts{}
		g.counts[regime] = c
	}
	change(c)
}

// Counted is a regime with its counts.
type Counted struct {
	Regime string
	Counts
}

// Counted lists the counts by regime.
func (g *Gate) Counted() []Counted {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Counted
	for regime, c := range g.counts {
		out = append(out, Counted{regime, *c})
	}
	slices.SortFunc(out, func(a, b Counted) int { return strings.Compare(a.Regime, b.Regime) })
	return out
}
