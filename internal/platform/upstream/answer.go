package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxAnswerBytes bounds what one call may read: header lines, interim answers and body. That of an opened call's
	// body is its caller's to bound.
	maxAnswerBytes = 128 << 10
	// firstLineBytes is how much of an answer is retained to see what its first line says.
	firstLineBytes = 128
	// keepAliveMargin is how long before the far side closes an idle connection it is no longer used.
	keepAliveMargin = 400 * time.Millisecond
	// maxKeepAlive is the longest time, in seconds, that is taken from a Keep-Alive header.
	maxKeepAlive = 1e6
)

// answerReader bounds an answer and retains how it begins.
type answerReader struct {
	netConn   net.Conn
	remaining int    // bytes that may still be read
	head      []byte // the first bytes, up to firstLineBytes
}

// begin prepares for the next answer.
func (r *answerReader) begin() { r.remaining, r.head = maxAnswerBytes, r.head[:0] }

// Read reads from the connection, up to the bound.
func (r *answerReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := r.netConn.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	r.head = append(r.head, b[:min(n, firstLineBytes-len(r.head))]...)
	return n, err
}

// delivered reports whether the first line of the answer says 200. That is so also if the rest can't be read.
func (r *answerReader) delivered() bool {
	line, _, complete := strings.Cut(string(r.head), "\n") // a line that was cut off proves nothing
	version, status, _ := strings.Cut(line, " ")
	status, _, _ = strings.Cut(strings.TrimSuffix(status, "\r"), " ")
	return complete && (version == "HTTP/1.1" || version == "HTTP/1.0") && status == "200"
}

// parseKeepAlive returns for how long the far side keeps an idle connection, less a margin; 0 if it doesn't say.
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
