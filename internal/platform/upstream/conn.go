package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 2 << 10
	// maxCarriedIDs is how many request IDs a connection records; when that is exceeded, the connection is closed
	// instead.
	maxCarriedIDs = 8
)

// longAgo is a deadline that fails all I/O at once.
var longAgo = time.Unix(1, 0)

// Conn is a connection to an endpoint, in use by one call at a time. It is not safe for concurrent use.
type Conn struct {
	pool       *Pool
	netConn    net.Conn
	response   *responseReader
	reader     *bufio.Reader // reads from response
	epoch      int           // the pool's epoch when it was dialed
	dialedAt   time.Time     // when its dial began
	dialTime   time.Duration // how long the dial took: about one round trip
	idleSince  time.Time     // when it was last released
	idleBefore time.Duration // how long it was idle before this call; negative if new
	keepAlive  time.Duration // how long the endpoint keeps an idle connection open, by its Keep-Alive header; 0: unknown
	carriedIDs []string      // IDs of earlier calls that may be retried with the same ID
	closeAfter bool          // close after this call, whatever its outcome

	// State of the current call.
	inCall      bool         // sending a request was attempted
	sent        bool         // the last byte of the request was written
	complete    bool         // the response was read to its end, and the endpoint keeps the connection open
	stopCancel  func() bool  // stops watching the call's context
	written     chan bool    // receives once whether the request was written completely; nil if that is known
	request     http.Request // of an opened call, for reading its responses
	readSurplus bool         // NextResponse has read a second response
	hasDeadline bool         // deadlines are set on the connection
	deadline    time.Time    // of an opened call; zero: none
	delayEnd    bool         // hold back the end of the request until the connection was probed
}

func newConn(p *Pool, netConn net.Conn, dialedAt time.Time) *Conn {
	response := &responseReader{netConn: netConn}
	return &Conn{
		pool:       p,
		netConn:    netConn,
		response:   response,
		reader:     bufio.NewReaderSize(response, readBuffer),
		epoch:      p.epoch,
		dialedAt:   dialedAt,
		idleBefore: -1,
	}
}

// Remember records the ID of a call that has ended on this connection and may be retried with the same ID: a late
// duplicate of its response could not be distinguished from the response to the retry.
func (c *Conn) Remember(id string) {
	if len(c.carriedIDs) == maxCarriedIDs {
		c.closeAfter = true
		return
	}
	c.carriedIDs = append(c.carriedIDs, id)
}

// HasCarried reports whether an ID was recorded: a call with that ID must use another connection.
func (c *Conn) HasCarried(id string) bool { return slices.Contains(c.carriedIDs, id) }

// Retire makes Release close the connection.
func (c *Conn) Retire() { c.closeAfter = true }

// DelayEnd is for a call that must not run twice. On a connection that was idle for freshIdle or longer, the end of
// the request is sent only one or two round-trip times after its start. If the other side no longer has the
// connection, its reset arrives first, which proves that the request was not received completely: it can be retried
// safely.
func (c *Conn) DelayEnd() { c.delayEnd = c.idleBefore >= freshIdle }

// Reused reports whether the connection was open before this call.
func (c *Conn) Reused() bool { return c.idleBefore >= 0 }

// maxIdle returns how long the connection may stay idle: limit, or less if the endpoint's Keep-Alive header says so.
func (c *Conn) maxIdle(limit time.Duration) time.Duration {
	if c.keepAlive > 0 {
		return min(limit, c.keepAlive)
	}
	return limit
}

// endCall ends the call and reports whether the connection can be reused: the request was written and the response
// read, both completely, and no data followed.
func (c *Conn) endCall() bool {
	if !c.inCall {
		return !c.closeAfter
	}
	c.inCall = false
	c.awaitWrite()
	if !c.stopCancel() || c.closeAfter || !c.sent || !c.complete || c.reader.Buffered() != 0 {
		return false
	}
	if c.hasDeadline {
		c.hasDeadline = false
		return c.netConn.SetDeadline(time.Time{}) == nil
	}
	return true
}

// close closes the connection. Errors are ignored: no data of a call is pending on it.
func (c *Conn) close() { _ = c.netConn.Close() }

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.close()
	}
}

// quiet reports, without blocking, whether the endpoint has sent nothing since the last response: it has neither
// closed the connection nor sent unsolicited data.
func (c *Conn) quiet() bool {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true // the socket can't be inspected
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err == nil && quiet
}
