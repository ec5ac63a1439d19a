package faults

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"dunetide/internal/lab/faults/hubdial"
)

const (
	hubTimeout  = 20 * time.Second
	silenceTime = 300 * time.Millisecond
)

// echo serves a node that echoes all bytes, and returns its address.
func echo(t *testing.T, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

func openHub(t *testing.T, nodes ...string) *Hub {
	t.Helper()
	var addrs []netip.Addr
	for _, node := range nodes {
		addrs = append(addrs, netip.MustParseAddr(node))
	}
	hub, err := NewHub(addrs, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hub.Close() })
	return hub
}

// ask opens a connection through the hub, without waiting for the hub's answer.
func ask(t *testing.T, hub *Hub, from, target string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", hub.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, hubdial.Request(from, target)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func exchange(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
	expectLine(t, conn, line)
}

func expectLine(t *testing.T, conn net.Conn, line string) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(hubTimeout))
	if got, err := bufio.NewReader(conn).ReadString('\n'); err != nil || got != line {
		t.Fatalf("received %q, %v, want %q", got, err, line)
	}
}

func expectSilence(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(silenceTime))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("%d bytes, %v arrived through a cut", n, err)
	}
}

// A cut stalls open connections and new dials of the node, closes no connection, and does not affect the other pairs.
func TestHubStallsACutNode(t *testing.T) {
	const a, b, c = "127.0.77.1", "127.0.77.2", "127.0.77.3"
	hub := openHub(t, a, b, c)
	atB, atC := echo(t, b), echo(t, c)
	connected := func(conn net.Conn) net.Conn {
		_ = conn.SetReadDeadline(time.Now().Add(hubTimeout))
		if err := hubdial.ReadAnswer(conn); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	toB, toC := connected(ask(t, hub, a, atB)), connected(ask(t, hub, a, atC))
	entry, err := hub.Entry(atB)
	if err != nil {
		t.Fatal(err)
	}
	fromOutside, err := net.Dial("tcp4", entry)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = fromOutside.Close() })
	exchange(t, toB, "one\n")
	exchange(t, fromOutside, "one\n")
	if err := hub.CutOff(netip.MustParseAddr(b)); err != nil {
		t.Fatal(err)
	}
	for _, conn := range []net.Conn{toB, fromOutside} {
		if _, err := io.WriteString(conn, "two\n"); err != nil {
			t.Fatal(err)
		}
		expectSilence(t, conn)
	}
	late := ask(t, hub, c, atB)
	expectSilence(t, late)
	exchange(t, toC, "two\n")
	hub.Heal()
	expectLine(t, toB, "two\n")
	expectLine(t, fromOutside, "two\n")
	exchange(t, connected(late), "three\n")
}

// The hub refuses a target that nobody serves, a target that is not a node, and a caller that is not a node.
func TestHubRefuses(t *testing.T) {
	const a, b, stranger = "127.0.78.1", "127.0.78.2", "127.0.78.3"
	hub := openHub(t, a, b)
	atA, atStranger := echo(t, a), echo(t, stranger)
	for what, request := range map[string][2]string{
		"nobody serves": {a, net.JoinHostPort(b, "1")}, "no node": {a, atStranger}, "a strange caller": {stranger, atA}, "no address": {"x", atA},
	} {
		conn := ask(t, hub, request[0], request[1])
		_ = conn.SetReadDeadline(time.Now().Add(hubTimeout))
		if err := hubdial.ReadAnswer(conn); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if _, err := hub.Entry(atStranger); err == nil {
		t.Error("an entry for an address that is not a node")
	}
	if err := hub.CutOff(netip.MustParseAddr(stranger)); err == nil {
		t.Error("cut off an address that is not a node")
	}
}

// A process of a node dials through the hub that its environment names, and directly if it names none.
func TestHubIsDialled(t *testing.T) {
	const a, b = "127.0.79.1", "127.0.79.2"
	hub := openHub(t, a, b)
	target := echo(t, b)
	dial := func(wait time.Duration) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		conn, err := hubdial.Dial(ctx, net.Dialer{}, target)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return conn, err
	}
	direct, err := dial(hubTimeout)
	if err != nil || direct.RemoteAddr().String() != target {
		t.Fatalf("%v, %v", direct, err)
	}
	t.Setenv(hubdial.HubVariable, hub.Address())
	t.Setenv(hubdial.NodeVariable, a)
	relayed, err := dial(hubTimeout)
	if err != nil || relayed.RemoteAddr().String() != hub.Address() {
		t.Fatalf("%v, %v", relayed, err)
	}
	exchange(t, relayed, "one\n")
	if err := hub.CutOff(netip.MustParseAddr(a)); err != nil {
		t.Fatal(err)
	}
	if _, err := dial(silenceTime); err == nil {
		t.Error("connected through a cut")
	}
	hub.Heal()
	if _, err := dial(hubTimeout); err != nil {
		t.Error(err)
	}
}
