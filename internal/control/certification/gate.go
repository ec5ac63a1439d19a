package certification

import (
	"sync"
	"sync/atomic"
	"time"
)

// Gate decides in a proxy which endpoints may receive requests of regulated routes. It fails closed: unless a keeper
// has recently confirmed that the Gate's certificates are the newest, no endpoint counts as certified. It is safe for
// concurrent use.
type Gate struct {
	options GateOptions
	current atomic.Pointer[Set]

	mu     sync.Mutex
	counts map[string]*Counts // guarded by mu; by regime
}

// GateOptions are the options of a Gate.
type GateOptions struct {
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// LastConfirmed returns when the latest request was sent to which a keeper replied that the Gate's certificates are
	// the newest; zero if no keeper has.
	LastConfirmed func() time.Time
	// ConfirmationTTL is how long a confirmation is valid, counted from when its request was sent.
	ConfirmationTTL time.Duration
}

// NewGate returns a Gate without certificates.
func NewGate(options GateOptions) *Gate {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Gate{options: options, counts: map[string]*Counts{}}
}

// Update replaces the gate's certificates unless s is nil or not newer.
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

// Current returns the newest known certificates, nil if none were ever put. The receiver may be nil.
func (g *Gate) Current() *Set {
	if g == nil {
		return nil
	}
	return g.current.Load()
}

// Regime returns the regime that a route currently requires, empty if it is not regulated.
func (g *Gate) Regime(route string) string { return g.Current().Regime(route) }

// Confirmed reports whether a keeper has confirmed the certificates within ConfirmationTTL.
func (g *Gate) Confirmed() bool {
	at := g.options.LastConfirmed()
	return !at.IsZero() && g.options.Now().Sub(at) <= g.options.ConfirmationTTL
}

// Allows reports whether a request of a route may be sent to an incarnation of an endpoint now. It also returns the
// regime that the route requires and the certificates on which the decision is based.
func (g *Gate) Allows(route, endpoint string) (regime string, certificates *Set, ok bool) {
	s := g.Current()
	if regime = s.Regime(route); regime == "" {
		return "", s, true
	}
	return regime, s, g.Confirmed() && s.Certified(endpoint, regime, g.options.Now())
}
