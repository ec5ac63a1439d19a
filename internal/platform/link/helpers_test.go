package link

import (
	"net"
	"testing"
	"time"
)

// patience is how long a test waits for what must come.
const patience = 20 * time.Second

// steady options probe so seldom that no test meets a probe.
var steady = Options{ProbeInterval: time.Hour, PeerTimeout: 2 * time.Hour}

// side is a handler that passes on what it gets.
type side struct {
	messages chan *Message
	closed   chan *Conn
	act      func(m *Message) // in place of messages
}

func newSide() *side {
	return &side{messages: make(chan *Message, 1<<16), closed: make(chan *Conn, 16)}
}

func (s *side) Message(m *Message) {
	if s.act != nil {
		s.act(m)
		return
	}
	s.messages <- m
}

func (s *side) Closed(c *Conn) { s.closed <- c }

// transport makes the two ends of one connection.
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

// startPair starts the two ends of a link over a transport. They are closed at the end of the test.
func startPair(t *testing.T, tr transport, o Options) (a, b *Conn, aSide, bSide *side) {
	t.Helper()
	aConn, bConn := tr.pair(t)
	aSide, bSide = newSide(), newSide()
	a, b = start(aConn, aSide, o), start(bConn, bSide, o)
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b, aSide, bSide
}

// get receives a value that must come.
func get[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(patience):
		t.Fatalf("%s did not come", what)
	}
	return v
}
