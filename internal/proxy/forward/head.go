package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"dunetide/internal/proxy/identity"
)

// Names of headers in canonical form, as they are written on the wire.
const (
	headerID        = "X-Dunetide-Request-Id"
	headerTimeLeft  = "X-Dunetide-Time-Left-Ms"
	headerTarget    = "X-Dunetide-Target-Instance"
	headerSeal      = "X-Dunetide-Server-Seal"
	headerNotRun    = "X-Dunetide-Not-Run"
	headerLoad      = "X-Dunetide-Server-Load"
	headerModel     = "X-Dunetide-Model"
	headerTokens    = "X-Dunetide-Token-Count"
	headerPrefix    = "X-Dunetide-Prompt-Prefix"
	headerLastEvent = "Last-Event-Id"
	headerReason    = "X-Dunetide-Reason"
)

// buildHead builds the part of the request's head that all sends share. Hop-by-hop fields are dropped, and those that
// identify the client are replaced by the tenant's name.
func (x *exchange) buildHead(target, host string, h http.Header, length int) {
	b := append(x.head[:0], x.method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", host)
	drop := connectionHeaders(h)
	for name, values := range h {
		if x.withholds(name) {
			x.withheldLength += fieldsLength(name, values)
			continue
		}
		if hopByHop[name] || drop(name) && name != headerID {
			continue
		}
		for _, v := range values {
			b = appendField(b, name, v)
		}
	}
	if x.tenant != "" { // after the loop: a Connection header of the client can't take it out
		b = appendField(b, identity.HeaderTenant, x.tenant)
	}
	if length > 0 || x.method != http.MethodGet && x.method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	x.head, x.sharedHeadLength = b, len(b)
}

// completeHead adds the fields of the current send to the head.
func (x *exchange) completeHead(target string) {
	h := x.head[:x.sharedHeadLength]
	h = appendField(h, headerTarget, target)
	if !x.deadline.IsZero() {
		left := max(1, (x.timeLeft() - endpointMargin).Milliseconds())
		h = append(h, headerTimeLeft...)
		h = append(h, ": "...)
		h = strconv.AppendInt(h, left, 10)
		h = append(h, "\r\n"...)
	}
	if x.lastEventID != "" {
		h = appendField(h, headerLastEvent, x.lastEventID)
	}
	x.head = append(h, "\r\n"...)
}

// withholds reports whether a client's header must not reach endpoints, as it identifies the client. A client's key has
// a meaning only where the configuration has tenants. The name of a tenant is the proxy's alone to set: other proxies
// may have a configuration with tenants already.
func (x *exchange) withholds(name string) bool {
	return name == identity.HeaderTenant || name == identity.HeaderAuthorization && x.withholdsKey
}

// fieldsLength returns how many bytes the fields of one name take up in a head.
func fieldsLength(name string, values []string) int {
	const separators = len(": \r\n")
	length := 0
	for _, v := range values {
		length += len(name) + len(v) + separators
	}
	return length
}

// appendField appends a header field.
func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// hopByHop has the headers that apply to one connection only (RFC 9110, 7.6.1), and those that the
// proxy writes itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
	headerTarget: true, headerTimeLeft: true, headerLastEvent: true,
}

// connectionHeaders returns a function that reports whether the Connection header lists a header,
// which makes it hop-by-hop.
func connectionHeaders(h http.Header) func(name string) bool {
	lines := h["Connection"]
	if len(lines) == 0 {
		return func(string) bool { return false }
	}
	var names []string
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return func(name string) bool { return slices.Contains(names, name) }
}
