package certification

import (
	"sync"
	"sync/atomic"
	"time"
)

// Gate decides in a proxy where requests of regulated routes may go. It fails closed: where no keeper has confirmed
// lately that the known certificates are the newest, nobody is certified. It is safe for concurrent use.
type Gate struct {
	options GateOptions
	current atomic.Pointer[Set]

	mu     sync.Mutex
	counts map[string]*Counts // guarded by mu; by regime
}

// GateOptions are the options of a Gate.
type GateOptions struct {
	// Now is the clock; nil: time.Now.
	Now func() time.Time
	// LastConfirmed returns when the newest question was sent to which a keeper answered that the known certificates
	// are the newest; zero if there was none.
	LastConfirmed func() time.Time
	// ConfirmationTTL is how long such an answer counts, from when its question was sent.
	ConfirmationTTL time.Duration
}

// NewGate returns a gate that knows of no certificates.
func NewGate(options GateOptions) *Gate {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Gate{options: options, counts: map[string]*Counts{}}
}

// Update tells the gate of certificates. Older ones than those that it knows, and nil, are ignored.
func (g *Gate) Update(s *Set) {
	if s == nil {
		return
	}
	for {
		old := g.current.Load()
		if old != nil && old.Version >= s.Version || g.current.CompareAndSwap(old, s) {
			return
		}
	}
}

// Current returns the newest certificates that are known; nil if none were ever put.
func (g *Gate) Current() *Set {
	if g == nil {
		return nil
	}
	return g.current.Load()
}

// Regime returns the regime that a route demands now; empty if it is not regulated.
func (g *Gate) Regime(route string) string { return g.Current().Regime(route) }

// Confirmed reports whether a keeper has confirmed the certificates lately enough for them to count.
func (g *Gate) Confirmed() bool {
	at := g.options.LastConfirmed()
	return !at.IsZero() && g.options.Now().Sub(at) <= g.options.ConfirmationTTL
}

// Allows reports whether a request of a route may be sent to an incarnation of an endpoint now, with the regime that
// the route demands and the certificates by which this was decided.
func (g *Gate) Allows(route, endpoint string) (regime string, certificates *Set, ok bool) {
	s := g.Current()
	if regime = s.Regime(route); regime == "" {
		return "", s, true
	}
	return regime, s, g.Confirmed() && s.Certified(endpoint, regime, g.options.Now())
}
