// Package certify has the agreed certificates: which incarnations of endpoints are certified for which regime,
// and which routes demand one. docs/certified.md says what is guaranteed.
package certification

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Invalid is about a document that can't be used. It names the field's path and what would be right.
var Invalid = errs.Class("invalid certificates")

const (
	// ClockMargin is how far the clocks of proxies may differ from those by which certificates are dated:
	// a certificate counts from that much later until that much sooner.
	ClockMargin = 2 * time.Second
	// DocumentMost bounds a document's bytes.
	DocumentMost = 4 << 20
	nameMost     = 256
	problemsMost = 8
)

// Document is what operators put in force, whole.
type Document struct {
	Version      uint64        `json:"version"`
	Routes       []Route       `json:"routes"`
	Certificates []Certificate `json:"certificates"`
}

// Route says which regime a route of the configuration demands.
type Route struct {
	Name   string `json:"name"`
	Regime string `json:"regime"`
}

// Certificate says that one incarnation of an endpoint is certified for a regime for a time.
type Certificate struct {
	Endpoint  string    `json:"endpoint"` // the incarnation's id
	Regime    string    `json:"regime"`
	NotBefore time.Time `json:"not_before"`
	NotAfter  time.Time `json:"not_after"`
	By        string    `json:"by"` // by whose word
}

// Valid tells whether it counts at a moment, with the margin.
func (c *Certificate) Valid(now time.Time) bool {
	return !now.Before(c.NotBefore.Add(ClockMargin)) && now.Before(c.NotAfter.Add(-ClockMargin))
}

// Same tells whether two say the same.
func (c Certificate) Same(o Certificate) bool {
	return c.Endpoint == o.Endpoint && c.Regime == o.Regime && c.By == o.By && c.NotBefore.Equal(o.NotBefore) && c.NotAfter.Equal(o.NotAfter)
}

type holding struct{ endpoint, regime string }

// Set is a checked document. It is never changed; nil is none.
type Set struct {
	Document
	Raw    []byte // as it was sent
	routes map[string]string
	held   map[holding][]*Certificate
}

// Parse reads a document and checks it, but for whether its version is above the current one.
func Parse(raw []byte) (*Set, error) {
	s := &Set{Raw: bytes.Clone(raw), routes: map[string]string{}, held: map[holding][]*Certificate{}}
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(&s.Document); err != nil {
		return nil, Invalid.New("it can't be read whole: %w", err)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return nil, Invalid.New("there is more behind the object; it must be one JSON object")
	}
	var wrong []error
	say := func(path, format string, args ...any) {
		wrong = append(wrong, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
	}
	name := func(path, v string) {
		if v == "" || len(v) > nameMost || slices.ContainsFunc([]byte(v), func(b byte) bool { return b <= ' ' || b >= 0x7f }) {
			say(path, "%q; it must be 1 to %d printable ASCII characters without a space", v, nameMost)
		}
	}
	if s.Version == 0 {
		say("version", "it must be a whole number over 0")
	}
	for i, r := range s.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		name(path+".name", r.Name)
		name(path+".regime", r.Regime)
		if before, twice := s.routes[r.Name]; twice {
			say(path+".name", "%q is there twice, for %q too; a route demands one regime", r.Name, before)
		}
		s.routes[r.Name] = r.Regime
	}
	for i := range s.Certificates {
		c := &s.Certificates[i]
		path := fmt.Sprintf("certificates[%d]", i)
		name(path+".endpoint", c.Endpoint)
		name(path+".regime", c.Regime)
		if c.By == "" || len(c.By) > nameMost {
			say(path+".by", "%q; it must tell by whose word, in 1 to %d characters", c.By, nameMost)
		}
		if c.NotBefore.IsZero() || c.NotAfter.IsZero() {
			say(path, "not_before and not_after must be there, as 2026-01-31T00:00:00Z")
		} else if c.NotAfter.Sub(c.NotBefore) <= 2*ClockMargin {
			say(path+".not_after", "it must be more than %v after not_before, as %v at both ends don't count", 2*ClockMargin, ClockMargin)
		}
		h := holding{c.Endpoint, c.Regime}
		s.held[h] = append(s.held[h], c)
	}
	if len(wrong) > problemsMost {
		wrong = append(wrong[:problemsMost], fmt.Errorf("and %d more", len(wrong)-problemsMost))
	}
	if err := errors.Join(wrong...); err != nil {
		return nil, Invalid.Wrap(err)
	}
	return s, nil
}

// Regime is what a route demands; empty: nothing.
func (s *Set) Regime(route string) string {
	if s == nil {
		return ""
	}
	return s.routes[route]
}

// Certified tells whether an incarnation has a certificate for a regime that counts at a moment.
func (s *Set) Certified(endpoint, regime string, now time.Time) bool {
	if s == nil {
		return false
	}
	for _, c := range s.held[holding{endpoint, regime}] {
		if c.Valid(now) {
			return true
		}
	}
	return false
}

// Demanding tells whether any route demands a regime.
func (s *Set) Demanding() bool { return s != nil && len(s.Routes) > 0 }

// Without is the document with the certificates of an endpoint taken out, for a regime or, if that is empty, for all,
// under the next version. It tells how many there were.
func (d Document) Without(endpoint, regime string) (Document, int) {
	had := len(d.Certificates)
	d.Certificates = slices.DeleteFunc(slices.Clone(d.Certificates), func(c Certificate) bool {
		return c.Endpoint == endpoint && (regime == "" || c.Regime == regime)
	})
	d.Version++
	return d, had - len(d.Certificates)
}
