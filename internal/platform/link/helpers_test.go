package link

import (
	"net"
	"testing"
	"time"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

// noProbes is options with which no probe is sent during a test.
var noProbes = Options{ProbeInterval: time.Hour, PeerTimeout: 2 * time.Hour}

// channelHandler is a handler that puts what it receives into channels.
type channelHandler struct {
	messages chan *Message
	closed   chan *Conn
	act      func(m *Message) // called instead of sending to messages
}

func newChannelHandler() *channelHandler {
	return &channelHandler{messages: make(chan *Message, 1<<16), closed: make(chan *Conn, 16)}
}

func (s *channelHandler) Message(m *Message) {
	if s.act != nil {
		s.act(m)
		return
	}
	s.messages <- m
}

func (s *channelHandler) Closed(c *Conn) { s.closed <- c }

// transport creates the two ends of a connection.
type transport struct {
	name string
	pair func(t *testing.T) (a, b net.Conn)
}

var transports = []transport{
	{"tcp", func(t *testing.T) (net.Conn, net.Conn) {
		t.Helper()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		a, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		b, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return a, b
	}},
	{"pipe", func(*testing.T) (net.Conn, net.Conn) { return net.Pipe() }},
}

// startPair starts a link over a transport. Its two ends are closed at the end of the test.
func startPair(t *testing.T, tr transport, o Options) (a, b *Conn, aSide, bSide *channelHandler) {
	t.Helper()
	aConn, bConn := tr.pair(t)
	aSide, bSide = newChannelHandler(), newChannelHandler()
	a, b = start(aConn, aSide, o), start(bConn, bSide, o)
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b, aSide, bSide
}

// get receives an expected value.
func get[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("%s did not arrive", what)
	}
	return v
}
