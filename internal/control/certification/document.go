package certification

import (
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// ErrInvalid is the class of errors of Parse. Each error names the path of the invalid field and its valid values.
var ErrInvalid = errs.Class("invalid certificates")

const (
	// ClockMargin is the tolerated clock skew between proxies and the issuers of certificates: a certificate is valid
	// from ClockMargin after its NotBefore until ClockMargin before its NotAfter.
	ClockMargin = 2 * time.Second
	// MaxDocumentBytes is the maximum size of a document's JSON text.
	MaxDocumentBytes = 4 << 20
)

// Document is the certificates document that operators put in force. It is always replaced as a whole.
type Document struct {
	Version      uint64        `json:"version"` // above 0; higher than that of the document before
	Routes       []Route       `json:"routes"`  // the regulated routes
	Certificates []Certificate `json:"certificates"`
}

// Route is a regulated route of the configuration and the regime that it requires.
type Route struct {
	Name   string `json:"name"`
	Regime string `json:"regime"`
}

// Certificate certifies one incarnation of an endpoint for a regime and a period.
type Certificate struct {
	Endpoint  string    `json:"endpoint"` // ID of the incarnation; an endpoint gets a new one with each start
	Regime    string    `json:"regime"`
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
	Issuer    string    `json:"by"` // who certifies the endpoint
}

// Valid reports whether the certificate is valid at a time, with ClockMargin subtracted at both ends.
func (c *Certificate) Valid(now time.Time) bool {
	return !now.Before(c.NotBefore.Add(ClockMargin)) && now.Before(c.NotAfter.Add(-ClockMargin))
}

// Equal reports whether two certificates have the same content.
func (c Certificate) Equal(other Certificate) bool {
	return c.Endpoint == other.Endpoint && c.Regime == other.Regime && c.Issuer == other.Issuer &&
		c.NotBefore.Equal(other.NotBefore) && c.NotAfter.Equal(other.NotAfter)
}

// Without returns the next version of the document without an endpoint's certificates for a regime, or for all regimes
// if regime is empty, and the number of certificates removed.
func (d Document) Without(endpoint, regime string) (next Document, removed int) {
	before := len(d.Certificates)
	d.Certificates = slices.DeleteFunc(slices.Clone(d.Certificates), func(c Certificate) bool {
		return c.Endpoint == endpoint && (regime == "" || c.Regime == regime)
	})
	d.Version++
	return d, before - len(d.Certificates)
}
