package operatorconfig

import "strings"

// Match returns the route of a request by its Host header and its path: of the routes of that host, the one with the
// longest prefix of the path. It returns nil if there is none.
func (c *Config) Match(host, path string) *Route {
	host = normalizeHost(host)
	if c.byPath == nil || strings.ContainsRune(host, 0) {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	var buffer [256]byte // keeps short keys off the heap
	_, route, _ := c.byPath.Root().LongestPrefix(routeKey(buffer[:0], host, path))
	return route
}

// normalizeHost returns a host in lower case, without its port.
func normalizeHost(host string) string {
	colon := strings.LastIndexByte(host, ':')
	bareIPv6 := strings.IndexByte(host, ':') < colon && !strings.HasPrefix(host, "[") // without a port
	if colon > strings.LastIndexByte(host, ']') && !bareIPv6 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
