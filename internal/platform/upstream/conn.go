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
	// maxCarriedIDs is how many ids a connection remembers; it is closed rather than forget one.
	maxCarriedIDs = 8
)

// longAgo is a deadline that ends all I/O at once.
var longAgo = time.Unix(1, 0)

// Conn is one connection to an endpoint, lent to one call. It is not safe for concurrent use.
type Conn struct {
	pool       *Pool
	netConn    net.Conn
	answer     *answerReader
	reader     *bufio.Reader // of answer
	epoch      int           // of the endpoint's process that it leads to
	dialedAt   time.Time     // when its dial began
	dialTime   time.Duration // how long the dial took: about one round trip
	idleSince  time.Time     // when it was released last
	idleBefore time.Duration // how long it was idle before this call; negative if it is new
	keepAlive  time.Duration // for how long the far side said that it keeps an idle connection; 0: it said nothing
	carriedIDs []string      // of earlier calls that may be sent again under the same id
	closeAfter bool          // it is closed after this call, whatever happens

	// Of this call.
	inCall      bool         // a call was sent, or its sending was tried
	sent        bool         // its last byte was written
	complete    bool         // the answer was read to its end, and the far side keeps the connection
	stopCancel  func() bool  // ends the watch over the call's context
	written     chan bool    // gets whether all of the call was written, once; nil where that is known
	request     http.Request // of an opened call, for reading its answers
	readSurplus bool         // an answer came that was not this call's
	hasDeadline bool         // deadlines are set on the connection
	deadline    time.Time    // of an opened call; zero: none
	delayEnd    bool         // the end of this call waits until the connection has shown that it is alive
}

func newConn(p *Pool, netConn net.Conn, dialedAt time.Time) *Conn {
	answer := &answerReader{netConn: netConn}
	return &Conn{
		pool:       p,
		netConn:    netConn,
		answer:     answer,
		reader:     bufio.NewReaderSize(answer, readBuffer),
		epoch:      p.epoch,
		dialedAt:   dialedAt,
		idleBefore: -1,
	}
}

// Remember notes the id of a call that has ended on this connection and may be sent again under the same id: a late
// duplicate of its answer could not be told from the answer to the next sending.
func (c *Conn) Remember(id string) {
	if len(c.carriedIDs) == maxCarriedIDs {
		c.closeAfter = true
		return
	}
	c.carriedIDs = append(c.carriedIDs, id)
}

// HasCarried reports whether an id was remembered: a call with that id has to go over another connection.
func (c *Conn) HasCarried(id string) bool { return slices.Contains(c.carriedIDs, id) }

// Retire has the connection closed when it is released.
func (c *Conn) Retire() { c.closeAfter = true }

// DelayEnd is for a call that may not run twice. On a connection that was idle for long the end of the request
// follows its start only after the time of a round trip or two. If the far side has forgotten the connection, its
// reset comes first, and the call was surely not received completely: it may be sent again.
func (c *Conn) DelayEnd() { c.delayEnd = c.idleBefore >= freshIdle }

// Reused reports whether the connection was there before this call.
func (c *Conn) Reused() bool { return c.idleBefore >= 0 }

// maxIdle returns how long the connection may stand idle: a limit, or less where the far side has said less.
func (c *Conn) maxIdle(limit time.Duration) time.Duration {
	if c.keepAlive > 0 {
		return min(limit, c.keepAlive)
	}
	return limit
}

// endCall ends the call and reports whether another may follow on the connection: the request was written and the
// answer read, each to its end, and nothing came behind it.
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

// close closes the connection. An error would tell nothing: no byte of a call is pending on it.
func (c *Conn) close() { _ = c.netConn.Close() }

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.close()
	}
}

// quiet reports, without waiting, whether the far side has said nothing since the last answer: it has neither closed
// the connection nor sent bytes that nobody asked for.
func (c *Conn) quiet() bool {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true // it can't be looked at
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
