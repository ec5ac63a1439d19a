// Package link carries messages between the system's own processes over held TCP connections:
// calls with replies, one-way messages, and probes by which each side finds a dead connection.
//
// A frame is 4 bytes of length (of what follows), 1 byte of kind, 4 bytes of call number, the body.
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Kind of a message. Those from 240 on are the link's own.
type Kind uint8

const (
	kindReply Kind = 250
	kindError Kind = 251
	kindProbe Kind = 252

	maxFrame = 16 << 20
	// maxQueued bounds the bytes that wait to be written to a peer that does not read.
	maxQueued = 64 << 20
	head      = 9
	dialWait  = 800 * time.Millisecond
)

var (
	// ErrClosed says that the connection ended: what was asked may have been done.
	ErrClosed = errors.New("the link is closed; ask again on a new one")
	errLong   = errors.New("a frame longer than any that is sent")
	errSlow   = errors.New("the peer does not read")
)

// RemoteError is a refusal by the other side, in its words.
type RemoteError string

func (e RemoteError) Error() string { return string(e) }

// Handler gets what a peer sends, in order, from one goroutine a connection. It must not block for
// long: what takes time is replied to later, from elsewhere.
type Handler interface {
	Message(m *Message)
	// Closed is called once, after the last message.
	Closed(c *Conn)
}

// Message is a call or, where Wants is false, a one-way message. Its body is the handler's to keep.
type Message struct {
	Conn *Conn
	Kind Kind
	Body []byte
	call uint32
}

// Wants tells whether a reply is awaited.
func (m *Message) ExpectsReply() bool { return m.call != 0 }

// Reply answers a call, once.
func (m *Message) Reply(body []byte) {
	if m.call == 0 {
		return
	}
	if err := m.Conn.write(kindReply, m.call, body); errors.Is(err, errLong) {
		m.Fail("the reply is %d bytes long: ask for less", len(body))
	}
}

// Fail refuses a call.
func (m *Message) Fail(format string, args ...any) {
	if m.call != 0 {
		_ = m.Conn.write(kindError, m.call, fmt.Appendf(nil, format, args...))
	}
}

// Conn is one held connection.
type Conn struct {
	nc      net.Conn
	h       Handler
	Tag     atomic.Value // the handler's own: who the peer is
	closed  chan struct{}
	once    sync.Once
	lastIn  atomic.Int64
	lastOut atomic.Int64

	mu    sync.Mutex
	out   []byte
	spare []byte
	wake  chan struct{}
	calls map[uint32]chan Reply // nil: ended
	next  uint32
	err   error
	pulse *time.Timer
}

// Reply to a call.
type Reply struct {
	Body []byte
	Err  error
}

// Options of links.
type Options struct {
	ProbeInterval time.Duration // a side that has written nothing for that long writes a probe
	PeerTimeout   time.Duration // a side that has read nothing for that long ends the connection
}

// DefaultOptions find a dead peer in little over a second.
var DefaultOptions = Options{ProbeInterval: 400 * time.Millisecond, PeerTimeout: 1300 * time.Millisecond}

// Dial opens a connection.
func Dial(ctx context.Context, addr string, h Handler, o Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	d := net.Dialer{KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return start(nc, h, o), nil
}

// Serve accepts connections until the listener is closed.
func Serve(l net.Listener, h Handler, o Options) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors
			continue
		}
		start(nc, h, o)
	}
}

func start(nc net.Conn, h Handler, o Options) *Conn {
	c := &Conn{nc: nc, h: h, closed: make(chan struct{}), wake: make(chan struct{}, 1), calls: map[uint32]chan Reply{}}
	if t, ok := nc.(*net.TCPConn); ok {
		_ = t.SetNoDelay(true)
		if raw, err := t.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.PeerTimeout.Milliseconds()))
			})
		}
	}
	now := time.Now().UnixNano()
	c.lastIn.Store(now)
	c.lastOut.Store(now)
	c.mu.Lock()
	c.pulse = time.AfterFunc(o.ProbeInterval, func() { c.probe(o) })
	c.mu.Unlock()
	go c.read()
	go c.writeLoop()
	return c
}

// Addr is the peer's.
func (c *Conn) Addr() string { return c.nc.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.closed }

// Close ends the connection. Calls that wait fail with ErrClosed.
func (c *Conn) Close() { c.end(ErrClosed) }

func (c *Conn) end(err error) {
	c.once.Do(func() {
		c.mu.Lock()
		c.err = err
		calls := c.calls
		c.calls = nil
		c.pulse.Stop()
		c.mu.Unlock()
		close(c.closed)
		_ = c.nc.Close()
		for _, ch := range calls {
			ch <- Reply{Err: ErrClosed}
		}
	})
}

// Send sends a one-way message. It does not wait; order is kept.
func (c *Conn) Send(kind Kind, body []byte) error { return c.write(kind, 0, body) }

// Go sends a call; the reply comes on the channel, once. ErrClosed may come there too.
func (c *Conn) Go(kind Kind, body []byte) <-chan Reply {
	ch, _ := c.call(kind, body)
	return ch
}

func (c *Conn) call(kind Kind, body []byte) (<-chan Reply, uint32) {
	ch := make(chan Reply, 1)
	if len(body) > maxFrame-head {
		ch <- Reply{Err: errLong}
		return ch, 0
	}
	c.mu.Lock()
	if c.calls == nil {
		c.mu.Unlock()
		ch <- Reply{Err: ErrClosed}
		return ch, 0
	}
	for taken := true; taken; _, taken = c.calls[c.next] {
		if c.next++; c.next == 0 {
			c.next = 1
		}
	}
	id := c.next
	c.calls[id] = ch
	c.mu.Unlock()
	if err := c.write(kind, id, body); err != nil {
		c.end(err)
	}
	return ch, id
}

// Call sends a call and waits for its reply. With an error other than RemoteError it may have been done.
func (c *Conn) Call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	ch, id := c.call(kind, body)
	select {
	case r := <-ch:
		return r.Body, r.Err
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.calls, id) // a late reply finds nobody
		c.mu.Unlock()
		return nil, ctx.Err()
	}
}

func (c *Conn) write(kind Kind, call uint32, body []byte) error {
	if len(body) > maxFrame-head {
		return errLong
	}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return c.err
	}
	if len(c.out) > maxQueued {
		c.mu.Unlock()
		c.end(errSlow)
		return errSlow
	}
	c.out = binary.BigEndian.AppendUint32(c.out, uint32(len(body)+5))
	c.out = append(c.out, byte(kind))
	c.out = binary.BigEndian.AppendUint32(c.out, call)
	c.out = append(c.out, body...)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// probe ends a connection on which nothing is heard, and writes where nothing was written for long. It has a
// timer of its own, as a writer may be stuck with a peer that does not read.
func (c *Conn) probe(o Options) {
	now := time.Now().UnixNano()
	if now-c.lastIn.Load() > int64(o.PeerTimeout) {
		c.end(fmt.Errorf("nothing heard for %v", o.PeerTimeout))
		return
	}
	if now-c.lastOut.Load() >= int64(o.ProbeInterval)/2 && c.write(kindProbe, 0, nil) != nil {
		return
	}
	c.mu.Lock()
	if c.err == nil {
		c.pulse.Reset(o.ProbeInterval)
	}
	c.mu.Unlock()
}

func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return
		}
		c.mu.Lock()
		b := c.out
		c.out, c.spare = c.spare[:0], nil // never both: a wake-up with nothing to write would write what is being filled
		c.mu.Unlock()
		if len(b) == 0 {
			continue
		}
		c.lastOut.Store(time.Now().UnixNano())
		if _, err := c.nc.Write(b); err != nil {
			c.end(err)
			return
		}
		if cap(b) > 64<<10 {
			b = nil
		}
		c.mu.Lock()
		c.spare = b
		c.mu.Unlock()
	}
}

// heard notes the time of all that is read, also in the middle of a long frame.
type heard struct{ c *Conn }

func (h heard) Read(b []byte) (int, error) {
	n, err := h.c.nc.Read(b)
	if n > 0 {
		h.c.lastIn.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *Conn) read() {
	defer c.h.Closed(c)
	br := bufio.NewReaderSize(heard{c}, 4<<10)
	var h [head]byte
	for {
		if _, err := io.ReadFull(br, h[:]); err != nil {
			c.end(err)
			return
		}
		n := int(binary.BigEndian.Uint32(h[:])) - 5
		if n < 0 || n > maxFrame-head {
			c.end(errLong)
			return
		}
		kind, call := Kind(h[4]), binary.BigEndian.Uint32(h[5:])
		var body []byte
		if n > 0 {
			var err error
			if body, err = readBody(br, n); err != nil {
				c.end(err)
				return
			}
		}
		switch kind {
		case kindProbe:
		case kindReply, kindError:
			c.mu.Lock()
			ch := c.calls[call]
			delete(c.calls, call)
			c.mu.Unlock()
			if ch == nil {
				continue
			}
			if kind == kindError {
				ch <- Reply{Err: RemoteError(body)}
			} else {
				ch <- Reply{Body: body}
			}
		default:
			c.h.Message(&Message{Conn: c, Kind: kind, Body: body, call: call})
		}
	}
}

// firstRead bounds the memory that a frame takes before its bytes are there.
const firstRead = 256 << 10

func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, min(n, firstRead))
	for at := 0; ; {
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, err
		}
		if at = len(body); at == n {
			return body, nil
		}
		longer := make([]byte, min(n, 4*at))
		copy(longer, body)
		body = longer
	}
}
