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
	// maxInterimResponses is how many 1xx responses may precede the final one.
	maxInterimResponses = 5
	// maxInlineWrite is the largest request, in bytes, that is written before its response is read: the kernel's send
	// buffer holds that much on a connection with nothing in flight. A longer request is written concurrently with
	// reading, as the endpoint may respond early.
	maxInlineWrite = 8 << 10
	// readAfterWriteError is how long to wait for a response after writing the request has failed.
	readAfterWriteError = 200 * time.Millisecond
	// minProbe and maxProbe bound how long the end of a request is delayed. A reset takes one round trip, as a
	// handshake does.
	minProbe = time.Millisecond
	maxProbe = 5 * time.Millisecond
)

// Send writes a request and reads the head of its response. It never retries. It is interrupted when the context
// ends. Its error is a *CallError.
func (c *Conn) Send(ctx context.Context, req *http.Request) (*http.Response, error) {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, &CallError{Err: fmt.Errorf("writing the request: %w", err)}
	}
	return c.send(ctx, req, out.Bytes(), nil)
}

// Open is Send for a request that is already encoded, in two pieces of which the second may be empty. The caller
// reads the response as a stream, without a bound on its body. It ends at the deadline, if that is not zero, and with
// the context. Both pieces must not be modified until Release. After reading the body to its end, the caller must
// call MarkComplete.
func (c *Conn) Open(ctx context.Context, method string, head, body []byte, deadline time.Time) (*http.Response, error) {
	c.hasDeadline, c.deadline = !deadline.IsZero(), deadline
	if c.hasDeadline {
		_ = c.netConn.SetDeadline(deadline) // on a closed connection the write below fails too
	}
	c.request = http.Request{Method: method}
	resp, err := c.send(ctx, &c.request, head, body)
	if err == nil {
		c.response.remaining = math.MaxInt
	}
	return resp, err
}

// NextResponse reads one more response to an opened call, after the body of the previous one was read to its end. The
// connection is not reused afterwards.
func (c *Conn) NextResponse() (*http.Response, error) {
	c.readSurplus = true
	c.response.begin()
	resp, err := c.readHead(&c.request)
	if err != nil {
		c.awaitWrite()
		return nil, &CallError{Sent: c.sent, Err: err}
	}
	c.response.remaining = math.MaxInt
	return resp, nil
}

// MarkComplete reports that the response to an opened call was read to its end: the connection may be reused if the
// endpoint keeps it open.
func (c *Conn) MarkComplete(resp *http.Response) {
	c.complete = !resp.Close && !c.readSurplus
	c.keepAlive = parseKeepAlive(resp.Header)
}

// Body reads the rest of a response, up to maxBytes bytes, until the context ends.
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

// interrupt fails all pending and later I/O. SetDeadline fails only on a closed connection, where I/O fails anyway.
func (c *Conn) interrupt() { _ = c.netConn.SetDeadline(longAgo) }

// send writes a request given in two pieces and reads the head of its response.
func (c *Conn) send(ctx context.Context, req *http.Request, first, second []byte) (*http.Response, error) {
	c.inCall, c.sent, c.complete, c.readSurplus, c.written = true, false, false, false, nil
	c.response.begin()
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
		return nil, &CallError{Sent: c.sent, Delivered: c.response.delivered(), Err: err}
	}
	return resp, nil
}

// writeRest writes the rest of a request; a long one is written concurrently with reading its response.
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
	go func() { // awaitWrite waits for this goroutine
		n, err := c.write(first, second)
		if err != nil { // a response that the endpoint sent before may still be read
			_ = c.netConn.SetReadDeadline(time.Now().Add(readAfterWriteError)) // on a closed connection reads fail too
		}
		written <- n == size
	}()
	return nil
}

// writeStart writes a request without its end, which it returns, and checks that the connection is alive. The end is
// the request's body, or its last byte if it has no body.
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

// probe waits one or two round-trip times for the endpoint to reset or close the connection. It returns nil if
// neither happens, or if the endpoint sends data.
func (c *Conn) probe(ctx context.Context) error {
	// SetReadDeadline fails only on a closed connection, which Peek and the following write report.
	_ = c.netConn.SetReadDeadline(time.Now().Add(min(max(2*c.dialTime, minProbe), maxProbe)))
	_, err := c.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	_ = c.netConn.SetReadDeadline(c.deadline)
	if ctx.Err() != nil { // the context may have ended before the line above, which then undid the interrupt
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

// awaitWrite stops writing a request and sets c.sent to whether it was written completely.
func (c *Conn) awaitWrite() {
	if c.written == nil {
		return
	}
	_ = c.netConn.SetWriteDeadline(longAgo) // there is no response, or one that did not wait for the rest of the request
	c.sent, c.written = <-c.written, nil
	if c.sent {
		_ = c.netConn.SetWriteDeadline(time.Time{}) // if this fails, the next call's write fails too
	}
}

// readHead reads the head of the final response, skipping interim ones.
func (c *Conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the endpoint switched to another protocol (status 101)")
		case resp.StatusCode >= 200:
			return resp, nil
		}
		c.response.head = c.response.head[:0]
		if n := c.reader.Buffered(); n > 0 { // the next response arrived with this one
			ahead, _ := c.reader.Peek(min(n, firstLineBytes)) // can't fail: these bytes are buffered
			c.response.head = append(c.response.head, ahead...)
		}
	}
	return nil, errors.New("too many interim (1xx) responses")
}
