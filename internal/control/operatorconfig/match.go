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
