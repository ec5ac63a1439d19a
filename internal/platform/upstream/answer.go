package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxResponseBytes bounds what is read for one call: header lines, interim responses and body. The caller bounds
	// the body of an opened call itself.
	maxResponseBytes = 128 << 10
	// firstLineBytes is how many bytes of a response are retained for parsing its status line.
	firstLineBytes = 128
	// keepAliveMargin is how long before the endpoint closes an idle connection it is no longer used.
	keepAliveMargin = 400 * time.Millisecond
	// maxKeepAlive bounds the timeout, in seconds, that is accepted from a Keep-Alive header.
	maxKeepAlive = 1e6
)

// responseReader limits the size of a response and retains its first bytes.
type responseReader struct {
	netConn   net.Conn
	remaining int    // bytes that may still be read
	head      []byte // the first bytes, up to firstLineBytes
}

// begin prepares for the next response.
func (r *responseReader) begin() { r.remaining, r.head = maxResponseBytes, r.head[:0] }

// Read reads from the connection, up to the limit.
func (r *responseReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.netConn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	r.head = append(r.head, b[:min(n, firstLineBytes-len(r.head))]...)
	return n, err
}

// delivered reports whether the response has a complete status line with status 200, even if the rest can't be read.
func (r *responseReader) delivered() bool {
	line, _, complete := strings.Cut(string(r.head), "\n") // a truncated line proves nothing
	version, status, _ := strings.Cut(line, " ")
	status, _, _ = strings.Cut(strings.TrimSuffix(status, "\r"), " ")
	return complete && (version == "HTTP/1.1" || version == "HTTP/1.0") && status == "200"
}

// parseKeepAlive returns how long the endpoint keeps an idle connection open, less a margin; 0 if the header has no
// timeout.
func parseKeepAlive(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			n, err := strconv.Atoi(value)
			if err == nil && n >= 0 && n < maxKeepAlive && strings.EqualFold(name, "timeout") {
				return max(time.Duration(n)*time.Second-keepAliveMargin, time.Millisecond)
			}
		}
	}
	return 0
}
