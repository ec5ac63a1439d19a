package certification

import "time"

// Set is a validated document with indexes for lookups. It is immutable. A nil Set stands for a deployment in which no
// document was ever put: no route is regulated and no endpoint is certified.
type Set struct {
	Document
	Raw []byte // the JSON text as the operator put it

	regimes      map[string]string // by route name
	certificates map[certifiedFor][]*Certificate
}

// certifiedFor is the subject of a certificate: an incarnation of an endpoint and a regime.
type certifiedFor struct{ endpoint, regime string }

// Regime returns the regime that a route requires, empty if the route is not regulated.
func (s *Set) Regime(route string) string {
	if s == nil {
		return ""
	}
	return s.regimes[route]
}

// Certified reports whether an incarnation of an endpoint has a certificate for a regime that is valid now.
func (s *Set) Certified(endpoint, regime string, now time.Time) bool {
	if s == nil {
		return false
	}
	for _, c := range s.certificates[certifiedFor{endpoint, regime}] {
		if c.Valid(now) {
			return true
		}
	}
	return false
}
