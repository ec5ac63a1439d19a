package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// maxInterimAnswers is how many 1xx answers may come before the one that counts.
	maxInterimAnswers = 5
	// maxInlineWrite is how many bytes a request may have that is written before its answer is read: any kernel
	// buffers that much of a connection on which nothing is in flight. A longer one is written beside the reading, as
	// its answer may come early.
	maxInlineWrite = 8 << 10
	// readAfterWriteError is how long an answer may still come once the request can't be written.
	readAfterWriteError = 200 * time.Millisecond
	// minProbe and maxProbe bound how long the end of a request is delayed. A reset takes a round trip, which a
	// handshake takes too.
	minProbe = time.Millisecond
	maxProbe = 5 * time.Millisecond
)

// Send writes a call and reads the head of its answer, once: nothing is ever sent again. It ends with the context.
// Its error is a *CallError.
func (c *Conn) Send(ctx context.Context, req *http.Request) (*http.Response, error) {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, &CallError{Err: fmt.Errorf("writing the request: %w", err)}
	}
	return c.send(ctx, req, out.Bytes(), nil)
}

// Open is Send for a call that is already encoded, in two pieces of which the second may be empty, and whose answer
// the caller reads as it comes, without a bound on its body. It ends at a deadline, if that is not zero, and with the
// context. Both pieces are in use until Release. Once the body was read to its end, MarkComplete has to be called.
func (c *Conn) Open(ctx context.Context, method string, head, body []byte, deadline time.Time) (*http.Response, error) {
	c.hasDeadline, c.deadline = !deadline.IsZero(), deadline
	if c.hasDeadline {
		_ = c.netConn.SetDeadline(deadline) // on a closed connection the write below fails, too
	}
	c.request = http.Request{Method: method}
	resp, err := c.send(ctx, &c.request, head, body)
	if err == nil {
		c.answer.remaining = math.MaxInt
	}
	return resp, err
}

// NextAnswer reads one more answer to an opened call, after the body of the one before was read to its end. No other
// call follows on the connection.
func (c *Conn) NextAnswer() (*http.Response, error) {
	c.readSurplus = true
	c.answer.begin()
	resp, err := c.readHead(&c.request)
	if err != nil {
		c.awaitWrite()
		return nil, &CallError{Sent: c.sent, Err: err}
	}
	c.answer.remaining = math.MaxInt
	return resp, nil
}

// MarkComplete says that an opened call's answer was read to its end: another call may follow if the far side keeps
// the connection.
func (c *Conn) MarkComplete(resp *http.Response) {
	c.complete = !resp.Close && !c.readSurplus
	c.keepAlive = parseKeepAlive(resp.Header)
}

// Body reads the rest of an answer, up to a number of bytes, while the context lasts.
func (c *Conn) Body(ctx context.Context, resp *http.Response, maxBytes int) ([]byte, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		err = errTooLong
	}
	if !stop() {
		if err == nil {
			err = context.Cause(ctx)
		}
		return body, err
	}
	c.complete = err == nil && !resp.Close
	return body, err
}

// interrupt ends all reading and writing. On a closed connection that is so already.
func (c *Conn) interrupt() { _ = c.netConn.SetDeadline(longAgo) }

// send writes a call of two pieces and reads the head of its answer.
func (c *Conn) send(ctx context.Context, req *http.Request, first, second []byte) (*http.Response, error) {
	c.inCall, c.sent, c.complete, c.readSurplus, c.written = true, false, false, false, nil
	c.answer.begin()
	c.stopCancel = context.AfterFunc(ctx, c.interrupt)
	if c.delayEnd {
		c.delayEnd = false
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
		c.awaitWrite()
		return nil, &CallError{Sent: c.sent, Delivered: c.answer.delivered(), Err: err}
	}
	return resp, nil
}

// writeRest writes what is left of a request, beside the reading of its answer if it is long.
func (c *Conn) writeRest(first, second []byte) error {
	size := len(first) + len(second)
	if size <= maxInlineWrite {
		n, err := c.write(first, second)
		c.sent = n == size
		if c.sent {
			return nil
		}
		return err
	}
	written := make(chan bool, 1)
	c.written = written
	go func() { // awaitWrite waits for its end
		n, err := c.write(first, second)
		if err != nil { // what the endpoint said before may still be read
			_ = c.netConn.SetReadDeadline(time.Now().Add(readAfterWriteError)) // on a closed connection reads fail, too
		}
		written <- n == size
	}()
	return nil
}

// writeStart writes a request without its end, which it returns, and looks whether the connection is alive. The end
// is the request's body, or its last byte if it has none.
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

// probe waits for a reset or a close by the far side, for the time of a round trip or two. It returns nil if none
// comes, or if the far side says something.
func (c *Conn) probe(ctx context.Context) error {
	// Errors of setting deadlines are those of a closed connection, which Peek and the write that follows return.
	_ = c.netConn.SetReadDeadline(time.Now().Add(min(max(2*c.dialTime, minProbe), maxProbe)))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	_ = c.netConn.SetReadDeadline(c.deadline)
	if ctx.Err() != nil { // its end may have come before that line, which has then undone the interrupt
		c.interrupt()
		return context.Cause(ctx)
	}
	return err
}

func (c *Conn) write(first, second []byte) (int, error) {
	if len(second) == 0 {
		return c.netConn.Write(first)
	}
	pieces := net.Buffers{first, second}
	n, err := pieces.WriteTo(c.netConn)
	return int(n), err
}

// awaitWrite ends the writing of a request, and leaves in c.sent whether all of it went out.
func (c *Conn) awaitWrite() {
	if c.written == nil {
		return
	}
	_ = c.netConn.SetWriteDeadline(longAgo) // there is no answer, or one that did not wait for the rest
	c.sent, c.written = <-c.written, nil
	if c.sent {
		_ = c.netConn.SetWriteDeadline(time.Time{}) // if that fails the next call's write does
	}
}

// readHead reads up to the body of the answer that counts.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the endpoint wants another protocol")
		case resp.StatusCode >= 200:
			return resp, nil
		}
		c.answer.head = c.answer.head[:0]
		if n := c.reader.Buffered(); n > 0 { // the next answer came with it
			ahead, _ := c.reader.Peek(min(n, firstLineBytes)) // no error: so much is buffered
			c.answer.head = append(c.answer.head, ahead...)
		}
	}
	return nil, errors.New("too many interim answers")
}
