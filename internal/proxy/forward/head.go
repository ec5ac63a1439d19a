package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// The names of headers, as the parser writes them.
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

// completeHead puts what this sending adds behind the head that all have.
func (x *exchange) completeHead(target string) {
	h := x.head[:x.base]
	h = field(h, headerTarget, target)
	if !x.deadline.IsZero() {
		left := max(1, (x.left() - endpointMargin).Milliseconds())
		h = append(h, headerTimeLeft...)
		h = append(h, ": "...)
		h = strconv.AppendInt(h, left, 10)
		h = append(h, "\r\n"...)
	}
	if x.last != "" {
		h = field(h, headerLastEvent, x.last)
	}
	x.head = append(h, "\r\n"...)
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// ofConnection are the headers that concern one connection only, and those that are laid out by
// themselves.
var ofConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
	headerTarget: true, headerTimeLeft: true, headerLastEvent: true,
}

// named tells which headers a Connection header names.
func named(h http.Header) func(name string) bool {
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

// buildHead begins the head of a call: what all sendings have.
func (x *exchange) buildHead(target, host string, h http.Header, length int) {
	b := append(x.head[:0], x.method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = field(b, "Host", host)
	drop := named(h)
	for name, values := range h {
		if ofConnection[name] || drop(name) && name != headerID {
			continue
		}
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	if length > 0 || x.method != http.MethodGet && x.method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	x.head, x.base = b, len(b)
}
