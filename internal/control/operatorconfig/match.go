package operatorconfig

import "strings"

// Match returns the route for the Host header and path of a request: among the routes of that host, the one whose
// prefix is the longest that matches the path. It returns nil if no route matches.
func (c *Config) Match(host, path string) *Route {
	host = normalizeHost(host)
	if c.byPath == nil || strings.ContainsRune(host, 0) {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	var buffer [256]byte // avoids a heap allocation for short keys
	_, route, _ := c.byPath.Root().LongestPrefix(routeKey(buffer[:0], host, path))
	return route
}

// MatchBulk returns the bulk route for a host and a path: the route that Match returns, if that is a bulk route, else nil.
// This is the route of a batch job, for the host and the path prefix of the route by which it was submitted. Names are
// the operator's: a route that gets another name stays the route of its jobs, and another route that gets its name does
// not become it.
func (c *Config) MatchBulk(host, path string) *Route {
	host = normalizeHost(host)
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host != host || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	if best == nil || best.Kind != Bulk {
		return nil
	}
	return best
}

// ServesHost reports whether a Host header names the host of the route.
func (r *Route) ServesHost(host string) bool { return r.Host == normalizeHost(host) }

// normalizeHost returns a host in lower case, without its port.
func normalizeHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	bareIPv6 := strings.IndexByte(host, ':') < colon && !strings.HasPrefix(host, "[") // without a port
	if colon > strings.LastIndexByte(host, ']') && !bareIPv6 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
