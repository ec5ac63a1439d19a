package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxQueued limits the bytes queued for a peer that doesn't read.
	maxQueued = 64 << 20
	// maxSpare limits the size of a buffer that is retained for the next write.
	maxSpare = 64 << 10
)

// ErrClosed is returned when the connection has ended. A call that ends with it may have been executed.
var ErrClosed = errors.New("the link is closed; retry on a new one")

var errPeerNotReading = errors.New("the peer does not read: write queue full")

// Conn is a persistent connection to another process. Its methods may be called from any goroutine.
type Conn struct {
	// Tag is for the handler, which may store the identity of the peer in it.
	Tag atomic.Value

	netConn   net.Conn
	handler   Handler
	options   Options
	closed    chan struct{} // closed when the connection has ended
	closeOnce sync.Once
	lastRead  atomic.Int64  // Unix time in nanoseconds
	lastWrite atomic.Int64  // Unix time in nanoseconds
	wake      chan struct{} // wakes the writing goroutine

	mu         sync.Mutex            // guards the fields below; never held over I/O
	err        error                 // why the connection ended; nil: it is open
	queued     []byte                // frames to be written
	spare      []byte                // empty buffer; replaces queued while queued is written
	calls      map[uint32]chan Reply // pending calls by number; nil: the connection has ended
	lastCall   uint32                // the number of the most recent call
	probeTimer *time.Timer
}

// start runs a connection until it ends.
func start(nc net.Conn, h Handler, o Options) *Conn {
	c := &Conn{
		netConn: nc,
		handler: h,
		options: o,
		closed:  make(chan struct{}),
		wake:    make(chan struct{}, 1),
		calls:   map[uint32]chan Reply{},
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		setTCPOptions(tcp, o.PeerTimeout)
	}
	now := time.Now().UnixNano()
	c.lastRead.Store(now)
	c.lastWrite.Store(now)
	c.mu.Lock() // a first probe that fires at once waits until probeTimer is set
	c.probeTimer = time.AfterFunc(o.ProbeInterval, c.probe)
	c.mu.Unlock()
	go c.readLoop()
	go c.writeLoop()
	return c
}

// setTCPOptions disables Nagle's algorithm, so that small frames are sent at once, and sets TCP_USER_TIMEOUT, so that
// the kernel ends a connection whose data the peer's host does not acknowledge in time. Errors are ignored: without
// these options the connection is slower, and probes still detect a dead peer.
func setTCPOptions(tcp *net.TCPConn, userTimeout time.Duration) {
	_ = tcp.SetNoDelay(true)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Addr returns the peer's address.
func (c *Conn) Addr() string { return c.netConn.RemoteAddr().String() }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Close ends the connection. Pending calls end with ErrClosed. It doesn't wait for Handler.Closed.
func (c *Conn) Close() { c.end(ErrClosed) }

// end ends the connection. If it is called more than once, the first reason counts.
func (c *Conn) end(reason error) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.err = reason
		calls := c.calls
		c.calls = nil
		c.probeTimer.Stop()
		c.mu.Unlock()
		close(c.closed)
		_ = c.netConn.Close() // the connection has ended whatever this returns
		for _, pending := range calls {
			pending <- Reply{Err: ErrClosed}
		}
	})
}

// Send sends a one-way message without blocking on the network. The error is ErrTooLong if the body is too long; any other one
// means that the connection has ended; without an error, the message may still be lost with the connection.
func (c *Conn) Send(kind Kind, body []byte) error { return c.write(kind, 0, body) }

// Go sends a call and returns a channel on which its outcome arrives, once, like the Go method of net/rpc.
func (c *Conn) Go(kind Kind, body []byte) <-chan Reply {
	pending, _ := c.startCall(kind, body)
	return pending
}

// Call sends a call and waits for its reply or the end of the context. After an error other than RemoteError, the
// call may have been executed.
func (c *Conn) Call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	pending, number := c.startCall(kind, body)
	select {
	case r := <-pending:
		return r.Body, r.Err
	case <-ctx.Done():
		c.abandonCall(number)
		return nil, ctx.Err()
	}
}

// startCall sends a call. It returns the channel for its reply and its number, which is 0 if it was not sent.
func (c *Conn) startCall(kind Kind, body []byte) (<-chan Reply, uint32) {
	pending := make(chan Reply, 1) // buffered, so that an abandoned reply doesn't block the reader
	if len(body) > MaxBody {
		pending <- Reply{Err: ErrTooLong}
		return pending, 0
	}
	number, open := c.addCall(pending)
	if !open {
		pending <- Reply{Err: ErrClosed}
		return pending, 0
	}
	if err := c.write(kind, number, body); err != nil {
		c.end(err)
	}
	return pending, number
}

// addCall registers a call under a number that no pending call has. It returns false if the connection has ended.
func (c *Conn) addCall(pending chan Reply) (number uint32, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		return 0, false
	}
	for inUse := true; inUse; _, inUse = c.calls[c.lastCall] {
		c.lastCall++
		if c.lastCall == 0 { // 0 is the number of one-way messages
			c.lastCall = 1
		}
	}
	c.calls[c.lastCall] = pending
	return c.lastCall, true
}

// abandonCall makes a late reply to a call be ignored.
func (c *Conn) abandonCall(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, number)
}

// completeCall delivers the reply to a call. It ignores a call that was abandoned or already has a reply.
func (c *Conn) completeCall(number uint32, reply Reply) {
	c.mu.Lock()
	pending := c.calls[number]
	delete(c.calls, number)
	c.mu.Unlock()
	if pending != nil {
		pending <- reply
	}
}

// write queues a frame for the writing goroutine. It ends the connection if more than maxQueued bytes are queued.
func (c *Conn) write(kind Kind, call uint32, body []byte) error {
	if len(body) > MaxBody {
		return ErrTooLong
	}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return c.err
	}
	if len(c.queued) > maxQueued {
		c.mu.Unlock()
		c.end(errPeerNotReading)
		return errPeerNotReading
	}
	c.queued = appendFrame(c.queued, kind, call, body)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
	return nil
}

// writeLoop writes queued frames until the connection ends.
func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		frames := c.dequeue()
		if len(frames) == 0 {
			continue
		}
		c.lastWrite.Store(time.Now().UnixNano())
		if _, err := c.netConn.Write(frames); err != nil {
			c.end(err)
			return
		}
		c.reuse(frames)
	}
}

// dequeue returns the queued frames, and makes the spare buffer the queue for later ones.
func (c *Conn) dequeue() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	frames := c.queued
	// The spare buffer is cleared too: a wake-up with nothing queued must not write the buffer that is being filled.
	c.queued, c.spare = c.spare[:0], nil
	return frames
}

// reuse retains the buffer of written frames for later ones, unless it is large.
func (c *Conn) reuse(frames []byte) {
	if cap(frames) > maxSpare {
		frames = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = frames
}

// probe ends a connection on which nothing has been read for PeerTimeout, and queues a probe if nothing has been
// written for a while. It runs on a timer rather than in the writing goroutine, which a peer that doesn't read may
// block.
func (c *Conn) probe() {
	now := time.Now().UnixNano()
	if now-c.lastRead.Load() > int64(c.options.PeerTimeout) {
		c.end(fmt.Errorf("peer timeout: nothing received for %v", c.options.PeerTimeout))
		return
	}
	writeDue := now-c.lastWrite.Load() >= int64(c.options.ProbeInterval)/2
	if writeDue && c.write(kindProbe, 0, nil) != nil {
		return // the connection has ended
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.probeTimer.Reset(c.options.ProbeInterval)
	}
}

// timedReader records the time of each read, including reads in the middle of a long frame.
type timedReader struct{ conn *Conn }

// Read implements io.Reader.
func (r timedReader) Read(b []byte) (int, error) {
	n, err := r.conn.netConn.Read(b)
	if n > 0 {
		r.conn.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// readLoop reads frames until the connection ends, and dispatches them.
func (c *Conn) readLoop() {
	defer c.handler.Closed(c)
	frames := newFrameReader(timedReader{c})
	for {
		f, err := frames.next()
		if err != nil {
			c.end(err)
			return
		}
		switch f.kind {
		case kindProbe:
		case kindReply:
			c.completeCall(f.call, Reply{Body: f.body})
		case kindError:
			c.completeCall(f.call, Reply{Err: RemoteError(f.body)})
		default:
			c.handler.Message(&Message{Conn: c, Kind: f.kind, Body: f.body, call: f.call})
		}
	}
}
