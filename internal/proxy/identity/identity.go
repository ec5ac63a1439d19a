// Package identity decides for which tenant a client sends a request, from the API key in its Authorization header.
//
// A key is sent as "Authorization: Token KEY". Where the configuration has tenants, a request needs a key of one of
// them, unless its route is public. The proxy then forwards neither the key nor an X-Dunetide-Tenant header of the
// client, and names the tenant in a header of its own. The functions here are pure; package forward calls them once
// for each request and each call about batch jobs, with the configuration that is in force when its header has been
// read. docs/tenants.md has the table of all cases.
//
// Keys are looked up in a map, whose hash is seeded at random in each process: the time of a lookup tells nothing
// about how many bytes of a key were right. A key is never part of an outcome, an error or a log line.
package identity

import (
	"net/http"
	"strings"

	"dunetide/internal/control/operatorconfig"
)

// Names of headers in canonical form.
const (
	// HeaderAuthorization carries the client's key.
	HeaderAuthorization = "Authorization"
	// HeaderTenant names the tenant to endpoints.
	HeaderTenant = "X-Dunetide-Tenant"
)

// scheme is the authentication scheme of keys. Schemes are case-insensitive (RFC 9110, 11.1).
const scheme = "Token"

// Challenge is the WWW-Authenticate header of a 401 (RFC 9110, 15.5.2).
const Challenge = scheme

// Outcome is the result of an identification.
type Outcome uint8

// Outcomes of an identification.
const (
	// NotRequired: the configuration has no tenants, so a client's headers have no meaning to the proxy.
	NotRequired Outcome = iota
	// Identified: the key belongs to a tenant.
	Identified
	// Anonymous: the route is public, and the request states no key.
	Anonymous
	// MissingKey: there is no Authorization header.
	MissingKey
	// MalformedKey: there are several Authorization headers, or the only one has another scheme or no key.
	MalformedKey
	// UnknownKey: the configuration in force has no such key.
	UnknownKey
)

// String returns the outcome's name in snake case, as in metrics.
func (o Outcome) String() string {
	return [...]string{"not_required", "identified", "anonymous", "no_key", "malformed_key", "unknown_key"}[o]
}

// Identity tells for whom a client sends a request.
type Identity struct {
	Outcome Outcome
	Tenant  *operatorconfig.Tenant // nil unless Identified
}

// Refused reports whether the request must be answered 401.
func (i Identity) Refused() bool { return i.Outcome >= MissingKey }

// WithholdsKey reports whether endpoints must not see the client's Authorization header.
func (i Identity) WithholdsKey() bool { return i.Outcome != NotRequired }

// TenantName returns the name of the tenant; empty if there is none.
func (i Identity) TenantName() string {
	if i.Tenant == nil {
		return ""
	}
	return i.Tenant.Name
}

// OfRequest identifies the client of a request to a route. The header is the request's, without trailers; its names
// are in canonical form.
func OfRequest(config *operatorconfig.Config, route *operatorconfig.Route, header http.Header) Identity {
	return identify(config, route.Public, header)
}

// OfJobCall identifies the client of a call that names a batch job but no route, so that only its host is known. It
// needs a key unless all bulk routes of the host are public.
func OfJobCall(config *operatorconfig.Config, host string, header http.Header) Identity {
	return identify(config, bulkRoutesArePublic(config, host), header)
}

func identify(config *operatorconfig.Config, public bool, header http.Header) Identity {
	if !config.HasTenants() {
		return Identity{Outcome: NotRequired}
	}
	identity := ofKey(config, header[HeaderAuthorization])
	if public && (identity.Outcome == MissingKey || identity.Outcome == MalformedKey) {
		return Identity{Outcome: Anonymous}
	}
	return identity // an unknown key is refused on public routes too: it may have been taken away
}

// ofKey identifies a client by the values of its Authorization headers.
func ofKey(config *operatorconfig.Config, values []string) Identity {
	if len(values) == 0 {
		return Identity{Outcome: MissingKey}
	}
	key, ok := parseKey(values)
	if !ok {
		return Identity{Outcome: MalformedKey}
	}
	tenant := config.TenantOfKey(key)
	if tenant == nil {
		return Identity{Outcome: UnknownKey}
	}
	return Identity{Outcome: Identified, Tenant: tenant}
}

// parseKey returns the key of the only Authorization header. Several headers are invalid even if they are equal: other
// readers of the request might have chosen another one.
func parseKey(values []string) (key string, ok bool) {
	if len(values) != 1 {
		return "", false
	}
	name, rest, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(name, scheme) {
		return "", false
	}
	key = strings.Trim(rest, " ")
	return key, key != ""
}

// bulkRoutesArePublic reports whether a host has bulk routes and all of them are public.
func bulkRoutesArePublic(config *operatorconfig.Config, host string) bool {
	found := false
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind != operatorconfig.Bulk || !route.ServesHost(host) {
			continue
		}
		if !route.Public {
			return false
		}
		found = true
	}
	return found
}
