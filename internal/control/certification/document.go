package certification

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrInvalid is the class of errors about a document that can't be used. They name each field's path and what would
// be right.
var ErrInvalid = errs.Class("invalid certificates")

const (
	// ClockMargin is how far the clocks of proxies may differ from those by which certificates are dated: a
	// certificate is valid from that much after its NotBefore until that much before its NotAfter.
	ClockMargin = 2 * time.Second
	// MaxDocumentBytes bounds the text of a document.
	MaxDocumentBytes = 4 << 20
)

// Document is what operators put in force, always as a whole.
type Document struct {
	Version      uint64        `json:"version"` // over 0; that of each document is higher than that of the one before
	Routes       []Route       `json:"routes"`  // those that are regulated
	Certificates []Certificate `json:"certificates"`
}

// Route says which regime a route of the configuration demands.
type Route struct {
	Name   string `json:"name"`
	Regime string `json:"regime"`
}

// Certificate says that one incarnation of an endpoint is certified for a regime for a time.
type Certificate struct {
	Endpoint  string    `json:"endpoint"` // the incarnation's id: an endpoint that starts again has another one
	Regime    string    `json:"regime"`
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
	Issuer    string    `json:"by"` // who vouches for it
}

// Valid reports whether the certificate is valid at a moment, with ClockMargin taken off at both ends.
func (c *Certificate) Valid(now time.Time) bool {
	return !now.Before(c.NotBefore.Add(ClockMargin)) && now.Before(c.NotAfter.Add(-ClockMargin))
}

// Equal reports whether two certificates say the same.
func (c Certificate) Equal(other Certificate) bool {
	return c.Endpoint == other.Endpoint && c.Regime == other.Regime && c.Issuer == other.Issuer &&
		c.NotBefore.Equal(other.NotBefore) && c.NotAfter.Equal(other.NotAfter)
}

// Without returns the document without the certificates of an endpoint, under the next version, and how many these
// were. They are those for one regime or, if that is empty, all.
func (d Document) Without(endpoint, regime string) (next Document, removed int) {
	before := len(d.Certificates)
	d.Certificates = slices.DeleteFunc(slices.Clone(d.Certificates), func(c Certificate) bool {
		return c.Endpoint == endpoint && (regime == "" || c.Regime == regime)
	})
	d.Version++
	return d, before - len(d.Certificates)
}
