package certification

import "time"

// Set is a document that was checked, in a form that is quick to ask. It is never changed. A nil Set is that of a
// deployment to which no document was ever put: it regulates nothing and certifies nobody.
type Set struct {
	Document
	Raw []byte // the text as it was put

	regimes      map[string]string // by the name of the route
	certificates map[certifiedFor][]*Certificate
}

// certifiedFor is what a certificate certifies: an incarnation of an endpoint, for a regime.
type certifiedFor struct{ endpoint, regime string }

// Regime returns the regime that a route demands; empty if it is not regulated.
func (s *Set) Regime(route string) string {
	if s == nil {
		return ""
	}
	return s.regimes[route]
}

// Certified reports whether an incarnation of an endpoint has a certificate for a regime that is valid at a moment.
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
