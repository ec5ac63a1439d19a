package certification

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

const (
	// maxNameBytes is the maximum length of the name of a route, regime, endpoint or issuer.
	maxNameBytes = 256
	// maxProblems is the number of problems of a document that are listed; the others are only counted.
	maxProblems = 8
)

// Parse decodes and validates a document. It does not check that the version is higher than the one in force. It fails
// with ErrInvalid, which lists up to eight problems.
func Parse(raw []byte) (*Set, error) {
	s := &Set{
		Raw:          bytes.Clone(raw),
		regimes:      map[string]string{},
		certificates: map[certifiedFor][]*Certificate{},
	}
	if err := decode(raw, &s.Document); err != nil {
		return nil, err
	}
	var c checker
	if s.Version == 0 {
		c.problem("version", "it must be a whole number over 0")
	}
	for i, route := range s.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.checkRoute(path, route)
		if before, twice := s.regimes[route.Name]; twice {
			c.problem(path+".name", "%q is there twice, for %q too; a route demands one regime", route.Name, before)
		}
		s.regimes[route.Name] = route.Regime
	}
	for i := range s.Certificates {
		certificate := &s.Certificates[i]
		c.checkCertificate(fmt.Sprintf("certificates[%d]", i), certificate)
		key := certifiedFor{certificate.Endpoint, certificate.Regime}
		s.certificates[key] = append(s.certificates[key], certificate)
	}
	if err := c.err(); err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	return s, nil
}

// decode decodes a single JSON object. It rejects unknown fields and trailing data.
func decode(raw []byte, document *Document) error {
	in := json.NewDecoder(bytes.NewReader(raw))
	in.DisallowUnknownFields()
	if err := in.Decode(document); err != nil {
		return ErrInvalid.New("it can't be read whole: %w", err)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return ErrInvalid.New("there is more behind the object; it must be one JSON object")
	}
	return nil
}

// checker collects the problems of a document.
type checker struct{ problems []error }

// problem records a problem with the field at a path.
func (c *checker) problem(path, format string, args ...any) {
	c.problems = append(c.problems, fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...)))
}

// err joins the problems, one per line; those beyond maxProblems are only counted.
func (c *checker) err() error {
	listed := c.problems
	if rest := len(listed) - maxProblems; rest > 0 {
		listed = append(listed[:maxProblems], fmt.Errorf("and %d more", rest))
	}
	return errors.Join(listed...)
}

func (c *checker) checkRoute(path string, route Route) {
	c.checkName(path+".name", route.Name)
	c.checkName(path+".regime", route.Regime)
}

func (c *checker) checkCertificate(path string, certificate *Certificate) {
	c.checkName(path+".endpoint", certificate.Endpoint)
	c.checkName(path+".regime", certificate.Regime)
	if certificate.Issuer == "" || len(certificate.Issuer) > maxNameBytes {
		c.problem(path+".by", "%q; it must tell by whose word, in 1 to %d characters", certificate.Issuer, maxNameBytes)
	}
	switch {
	case certificate.NotBefore.IsZero() || certificate.NotAfter.IsZero():
		c.problem(path, "not_before and not_after must be there, as 2026-01-31T00:00:00Z")
	case certificate.NotAfter.Sub(certificate.NotBefore) <= 2*ClockMargin:
		c.problem(path+".not_after", "it must be more than %v after not_before, as %v at both ends don't count",
			2*ClockMargin, ClockMargin)
	}
}

// checkName checks a name, which must be printable as it appears in headers and log lines.
func (c *checker) checkName(path, name string) {
	unprintable := func(b byte) bool { return b <= ' ' || b >= 0x7f }
	if name == "" || len(name) > maxNameBytes || slices.ContainsFunc([]byte(name), unprintable) {
		c.problem(path, "%q; it must be 1 to %d printable ASCII characters without a space", name, maxNameBytes)
	}
}
