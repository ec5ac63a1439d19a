package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxAnswer bounds what one call may read: header lines, interim answers and body.
	maxAnswer = 128 << 10
	// maxInterim is how many 1xx answers may come before the one that counts.
	maxInterim = 5
	// firstLine is how much of an answer is kept to see what its first line says.
	firstLine  = 128
	readBuffer = 2 << 10
	// inlineWrite is how long a request may be that is written before its answer is
	// read: it fits what any kernel buffers of a connection on which nothing is under
	// way. A longer one is written beside the reading, as its answer may come early.
	inlineWrite = 8 << 10
	// afterWrite is how long an answer may still come once the request can't be written.
	afterWrite = 200 * time.Millisecond
	// shortestProbe and longestProbe bound how long the end of a request is held back. A reset takes a round trip,
	// which a handshake takes too.
	shortestProbe = time.Millisecond
	longestProbe  = 5 * time.Millisecond
	// keepSlack is how long before the far side closes an idle connection it is not used any more.
	keepSlack = 400 * time.Millisecond
)

var (
	longAgo    = time.Unix(1, 0)
	errTooLong = errors.New("the answer is too long")
)

// Conn is one connection to an endpoint, in the hands of one call.
type Conn struct {
	pool   *Pool
	nc     net.Conn
	in     *answerReader
	br     *bufio.Reader
	epoch  int           // of the endpoint's process that it leads to
	opened time.Time     // when its dial began
	since  time.Time     // when it became idle
	age    time.Duration // how long it was idle before this call; negative if it is new

	// Of this call.
	used     bool
	sent     bool // its last byte was written
	whole    bool // the answer was read to its end, and another may follow
	stop     func() bool
	written  chan bool // whether all of it was written, once; nil where that is known
	asked    http.Request
	surplus  bool          // an answer came that was not this call's
	timed    bool          // it has a deadline
	deadline time.Time     // zero: none
	keep     time.Duration // the far side said that it keeps an idle connection for so long; 0: nothing

	handshake time.Duration // how long the dial took
	holdBack  bool          // this call's end waits until the connection has shown that it is alive

	carried []string // the ids of earlier calls that may be sent again under the same id
	retired bool     // it is closed after this call, whatever comes
}

func newConn(p *Pool, nc net.Conn, opened time.Time) *Conn {
	in := &answerReader{nc: nc}
	return &Conn{pool: p, nc: nc, in: in, br: bufio.NewReaderSize(in, readBuffer), epoch: p.epoch, opened: opened, age: -1}
}

// answerReader bounds an answer and keeps how it began.
type answerReader struct {
	nc   net.Conn
	left int
	head []byte
}

func (r *answerReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLong
	}
	n, err := r.nc.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.head = append(r.head, b[:min(n, firstLine-len(r.head))]...)
	return n, err
}

// delivered tells whether the first line of the answer says 200: that is true also
// when the rest can't be read.
func (r *answerReader) delivered() bool {
	line, _, whole := strings.Cut(string(r.head), "\n") // a line that was cut off proves nothing
	version, status, _ := strings.Cut(line, " ")
	status, _, _ = strings.Cut(strings.TrimSuffix(status, "\r"), " ")
	return whole && (version == "HTTP/1.1" || version == "HTTP/1.0") && status == "200"
}

// maxCarried is how many ids a connection remembers; it is closed rather than forget one.
const maxCarried = 8

// Remember notes the id of a call that has ended on this connection and may be sent again under the
// same id: a late duplicate of its answer could not be told from the answer to the next send.
func (c *Conn) Remember(id string) {
	if len(c.carried) == maxCarried {
		c.retired = true
		return
	}
	c.carried = append(c.carried, id)
}

// Carried tells whether an id was remembered: a call with it has to go over another connection.
func (c *Conn) Carried(id string) bool { return slices.Contains(c.carried, id) }

// Retire closes the connection once it is given back.
func (c *Conn) Retire() { c.retired = true }

// HoldBackEnd is for a call that may not run twice. On a connection that was idle for long the end of the request follows its
// start only after the time of a round trip or two. If the far side had forgotten the connection, its reset comes first, and the
// call was surely not received whole: it may be sent again.
func (c *Conn) HoldBackEnd() { c.holdBack = c.age >= youngest }

// Reused tells whether the connection was there before this call.
func (c *Conn) Reused() bool { return c.age >= 0 }

// CallError says how a call broke.
type CallError struct {
	Sent      bool // its last byte was written: it may have run. If not, it never will
	Delivered bool // the first line of its answer said 200
	Stale     bool // the connection had ended while it was idle, which says nothing of the endpoint
	Err       error
}

func (e *CallError) Error() string {
	if !e.Sent {
		return fmt.Sprintf("the call was not written: %v", e.Err)
	}
	return fmt.Sprintf("no answer that can be read: %v", e.Err)
}

func (e *CallError) Unwrap() error { return e.Err }

// Send writes a call and reads the head of its answer, once: nothing is ever sent
// again. It ends with the context. Its error is a *CallError.
func (c *Conn) Send(ctx context.Context, req *http.Request) (*http.Response, error) {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, &CallError{Err: fmt.Errorf("writing the request: %w", err)}
	}
	return c.send(ctx, req, out.Bytes(), nil)
}

// Open is Send for a call that is laid out already, in two pieces (the second may be
// empty), and whose answer is read by the caller as it comes, without a bound on its
// body. It ends at a deadline, if that is not zero, and with the context. Both pieces
// are in use until Done. Once the body was read to its end, Whole says so.
func (c *Conn) Open(ctx context.Context, method string, head, body []byte, deadline time.Time) (*http.Response, error) {
	c.timed, c.deadline = !deadline.IsZero(), deadline
	if c.timed {
		_ = c.nc.SetDeadline(deadline)
	}
	c.asked = http.Request{Method: method}
	resp, err := c.send(ctx, &c.asked, head, body)
	if err == nil {
		c.in.left = math.MaxInt
	}
	return resp, err
}

// Next reads one more answer to a call that was opened, after the body of the one
// before was read to its end. No other call follows on the connection.
func (c *Conn) Next() (*http.Response, error) {
	c.surplus = true
	c.in.left, c.in.head = maxAnswer, c.in.head[:0]
	resp, err := c.readHead(&c.asked)
	if err != nil {
		c.settle()
		return nil, &CallError{Sent: c.sent, Err: err}
	}
	c.in.left = math.MaxInt
	return resp, nil
}

// Whole says that an opened call's answer was read to its end: another call may follow
// if the far side keeps the connection.
func (c *Conn) Whole(resp *http.Response) {
	c.whole = !resp.Close && !c.surplus
	c.keep = keepAlive(resp.Header)
}

// keepAlive is for how long the far side keeps an idle connection; 0 if it doesn't say.
func keepAlive(h http.Header) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if n, err := strconv.Atoi(value); err == nil && n >= 0 && n < 1e6 && strings.EqualFold(name, "timeout") {
				return max(time.Duration(n)*time.Second-keepSlack, time.Millisecond)
			}
		}
	}
	return 0
}

// send writes a call of two pieces and reads the head of its answer.
func (c *Conn) send(ctx context.Context, req *http.Request, first, second []byte) (*http.Response, error) {
	c.used, c.sent, c.whole, c.surplus, c.written = true, false, false, false, nil
	c.in.left, c.in.head = maxAnswer, c.in.head[:0]
	c.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(longAgo) })
	if c.holdBack {
		c.holdBack = false
		end, err := c.writeStart(ctx, first, second)
		if err != nil {
			return nil, &CallError{Stale: true, Err: err}
		}
		first, second = end, nil
	}
	if err := c.writeRest(first, second); err != nil {
		return nil, &CallError{Err: err}
	}
	resp, err := c.readHead(req)
	if err != nil {
		c.settle()
		return nil, &CallError{Sent: c.sent, Delivered: c.in.delivered(), Err: err}
	}
	return resp, nil
}

// writeRest writes what is left of a request: beside the reading if it is long.
func (c *Conn) writeRest(first, second []byte) error {
	size := len(first) + len(second)
	if size <= inlineWrite {
		n, err := c.write(first, second)
		c.sent = n == size
		if c.sent {
			return nil
		}
		return err
	}
	written := make(chan bool, 1)
	c.written = written
	go func() {
		n, err := c.write(first, second)
		if err != nil { // what the endpoint said before may still be read
			_ = c.nc.SetReadDeadline(time.Now().Add(afterWrite))
		}
		written <- n == size
	}()
	return nil
}

// writeStart writes a request without its end, which is returned, and looks whether the connection is alive. The end is its body,
// or its last byte if it has none.
func (c *Conn) writeStart(ctx context.Context, first, second []byte) (end []byte, err error) {
	start, end := first, second
	if len(end) == 0 {
		start, end = first[:len(first)-1], first[len(first)-1:]
	}
	if _, err := c.write(start, nil); err != nil {
		return nil, err
	}
	return end, c.probe(ctx)
}

// probe waits for a reset or a close by the far side, for the time of a round trip or two. Without one, or if
// the far side says something, it returns nil.
func (c *Conn) probe(ctx context.Context) error {
	_ = c.nc.SetReadDeadline(time.Now().Add(min(max(2*c.handshake, shortestProbe), longestProbe)))
	_, err := c.br.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	_ = c.nc.SetReadDeadline(c.deadline)
	if ctx.Err() != nil { // its end may have come before that line
		_ = c.nc.SetDeadline(longAgo)
		return context.Cause(ctx)
	}
	return err
}

func (c *Conn) write(first, second []byte) (int, error) {
	if len(second) == 0 {
		return c.nc.Write(first)
	}
	pieces := net.Buffers{first, second}
	n, err := pieces.WriteTo(c.nc)
	return int(n), err
}

// readHead reads up to the body of the answer that counts.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the endpoint wants another protocol")
		case resp.StatusCode >= 200:
			return resp, nil
		}
		c.in.head = c.in.head[:0]
		if n := c.br.Buffered(); n > 0 { // the next answer came with it
			ahead, _ := c.br.Peek(min(n, firstLine))
			c.in.head = append(c.in.head, ahead...)
		}
	}
	return nil, errors.New("too many interim answers")
}

// Body reads the rest of an answer, up to a number of bytes, while the context lasts.
func (c *Conn) Body(ctx context.Context, resp *http.Response, most int) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(longAgo) })
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	if err == nil && len(body) > most {
		err = errTooLong
	}
	if !stop() {
		if err == nil {
			err = context.Cause(ctx)
		}
		return body, err
	}
	c.whole = err == nil && !resp.Close
	return body, err
}

// settle ends the writing of a request and tells, in sent, whether all of it went out.
func (c *Conn) settle() {
	if c.written == nil {
		return
	}
	_ = c.nc.SetWriteDeadline(longAgo) // no answer, or one that did not wait for the rest
	c.sent, c.written = <-c.written, nil
	if c.sent {
		_ = c.nc.SetWriteDeadline(time.Time{})
	}
}

// clean ends a call's hold on the connection and tells whether another call may
// follow: the request was written and the answer read, each to its end, and nothing
// came behind it.
func (c *Conn) clean() bool {
	if !c.used {
		return !c.retired
	}
	c.used = false
	c.settle()
	if !c.stop() || c.retired || !c.sent || !c.whole || c.br.Buffered() != 0 {
		return false
	}
	if c.timed {
		c.timed = false
		return c.nc.SetDeadline(time.Time{}) == nil
	}
	return true
}

// close ends the connection; nothing is owed on it.
func (c *Conn) close() { _ = c.nc.Close() }

// quiet looks, without waiting, whether the far side has said nothing since the last
// answer: it has neither closed nor sent bytes that nobody asked for.
func (c *Conn) quiet() bool {
	sc, ok := c.nc.(syscall.Conn)
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
