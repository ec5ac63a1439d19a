package faults

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestPatterns(t *testing.T) {
	for _, c := range []struct {
		p    Pattern
		n    int
		want string // a row for each node: x for the nodes that it reaches, a dot for itself
	}{
		{Pattern{What: Split}, 4, ".x-- x.-- --.x --x."},
		{Pattern{What: Split, Parts: 3}, 6, ".x---- x.---- --.x-- --x.-- ----.x ----x."},
		{Pattern{What: Bridge}, 5, ".x--x x.--x --.xx --x.x xxxx."},
		{Pattern{What: Deaf, Nodes: []int{1}}, 3, ".-x x.x x-."},
		{Pattern{What: Dumb, Nodes: []int{1}}, 3, ".xx -.- xx."},
		{Pattern{What: Cut, Nodes: []int{1}}, 3, ".-x -.- x-."},
		{Pattern{What: OneWay, Nodes: []int{0, 2}}, 3, ".x- x.x xx."},
		{Pattern{What: Ring}, 5, ".x--x x.x-- -x.x- --x.x x--x."},
		{Pattern{What: All, Fault: Fault{Cut: true}}, 2, ".- -."},
	} {
		if err := c.p.Check(c.n); err != nil {
			t.Error(err)
		}
		m := NewMatrix(c.n, 1)
		m.Apply(c.p)
		var rows []string
		for from := range c.n {
			row := ""
			for to := range c.n {
				switch f, _ := m.At(from, to); {
				case from == to:
					row += "."
				case f.Cut:
					row += "-"
				default:
					row += "x"
				}
			}
			rows = append(rows, row)
		}
		if got := strings.Join(rows, " "); got != c.want {
			t.Errorf("%+v of %d:\n%s, want\n%s", c.p, c.n, got, c.want)
		}
		m.Heal()
		if f, _ := m.At(0, 1); f != (Fault{}) {
			t.Error("not healed", f)
		}
	}
	for _, p := range []Pattern{{What: "half"}, {What: Deaf}, {What: Deaf, Nodes: []int{3}}, {What: OneWay, Nodes: []int{1}}, {What: Split, Parts: 4}} {
		if p.Check(3) == nil {
			t.Errorf("%+v is accepted", p)
		}
	}
}

// pair connects two real peers through relays.
func pair(t *testing.T) (r *Relays, dial func() (near, far net.Conn), send func() net.PacketConn) {
	t.Helper()
	r, err := NewRelays(2, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	l, err := net.Listen("tcp4", r.Listen(1).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	dial = func() (near, far net.Conn) {
		d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.Listen(0).Addr(), 0))}
		near, err := d.Dial("tcp4", r.Address(1).String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := near.Write([]byte("!")); err != nil {
			t.Fatal(err)
		}
		far, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		for _, c := range []net.Conn{near, far} {
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			t.Cleanup(func() { _ = c.Close() })
		}
		return near, far
	}
	send = func() net.PacketConn {
		c, err := net.ListenPacket("udp4", r.Listen(0).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	return r, dial, send
}

// Checks the effect of each fault on a connection, as seen by its two ends.
func TestConnectionsThroughRelays(t *testing.T) {
	r, dial, _ := pair(t)
	text := strings.Repeat("0123456789", 100)
	near, far := dial()
	if got := far.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(); got != r.Address(0).Addr() {
		t.Errorf("connection from %v, which is not the caller's address", got)
	}
	read := make([]byte, len(text))
	pass := func(what string) {
		t.Helper()
		_, _ = near.Write([]byte(text))
		if _, err := io.ReadFull(far, read); err != nil || string(read) != text {
			t.Fatalf("%s: %q, %v", what, read, err)
		}
	}
	pass("whole")
	quiet := func(what string, c net.Conn) {
		t.Helper()
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := c.Read(read); err == nil || !errors.Is(err, errTimeout(err)) {
			t.Errorf("%s: %d bytes, %v", what, n, err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	}
	r.Set(0, 1, Fault{Cut: true})
	if _, err := near.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	quiet("cut", far)
	if _, err := far.Write([]byte("x")); err != nil { // the other direction is open
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, read[:1]); err != nil {
		t.Error("the other direction:", err)
	}
	r.Heal()
	if _, err := io.ReadFull(far, read); err != nil || string(read) != text {
		t.Errorf("after a cut: %q, %v", read, err)
	}
	r.Set(0, 1, Fault{Corrupt: 1})
	_, _ = near.Write([]byte(text))
	if _, err := io.ReadFull(far, read); err != nil || string(read) == text {
		t.Errorf("corrupted: %q, %v", read, err)
	}
	r.Set(0, 1, Fault{Trickle: 100})
	_, _ = near.Write([]byte("ab"))
	began := time.Now()
	if _, err := io.ReadFull(far, read[:2]); err != nil || time.Since(began) < 10*time.Millisecond {
		t.Errorf("a byte at a time: %v after %v", err, time.Since(began))
	}
	r.Set(0, 1, Fault{Swallow: true})
	_, _ = near.Write([]byte(text))
	quiet("swallowed", far)
	r.Heal()
	pass("after the swallowed bytes")
	r.Set(0, 1, Fault{Swallow: true})
	_ = near.Close()
	quiet("its end is swallowed too", far)
	r.Heal()

	near, far = dial()
	r.Set(0, 1, Fault{Reset: 100})
	_, _ = near.Write([]byte(text))
	if n, err := io.ReadFull(far, read); err == nil || n > 100 {
		t.Errorf("reset: %d bytes, %v", n, err)
	}
	if _, err := near.Read(read); err == nil {
		t.Error("the caller did not see a reset")
	}
}

// errTimeout returns err if it is a timeout, and another error if not.
func errTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return errors.New("not a timeout")
}

func TestDatagramsThroughRelays(t *testing.T) {
	r, _, send := pair(t)
	from := send()
	to, err := net.ListenPacket("udp4", r.Listen(1).String())
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	buf := make([]byte, 100)
	// Sends n datagrams and reads until none arrives for 100 ms.
	got := func(f Fault, n int) (all []string) {
		r.Set(0, 1, f)
		for range n {
			_, _ = from.WriteTo([]byte("a"), net.UDPAddrFromAddrPort(r.Address(1)))
		}
		for deadline := time.Now().Add(10 * time.Second); ; {
			_ = to.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			k, addr, err := to.ReadFrom(buf)
			if err != nil {
				return all
			}
			if addr.(*net.UDPAddr).AddrPort() != r.Address(0) {
				t.Errorf("datagram from %v", addr)
			}
			all = append(all, string(buf[:k]))
			if time.Now().After(deadline) {
				t.Fatal("datagrams keep arriving")
			}
		}
	}
	if n := len(got(Fault{}, 10)); n != 10 {
		t.Errorf("%d of 10 datagrams arrived", n)
	}
	if n := len(got(Fault{Cut: true}, 10)) + len(got(Fault{Swallow: true}, 10)) + len(got(Fault{Lose: 1}, 10)); n != 0 {
		t.Errorf("%d datagrams arrived, want none", n)
	}
	if n := len(got(Fault{Double: 1}, 10)); n != 20 {
		t.Errorf("%d datagrams, want 10 duplicated", n)
	}
	for _, s := range got(Fault{Corrupt: 1}, 10) {
		if s == "a" {
			t.Error("datagram was not corrupted")
		}
	}
	if n := len(got(Fault{Lose: 0.5}, 200)); n < 60 || n > 140 {
		t.Errorf("%d of 200 datagrams arrived with half lost", n)
	}
	began := time.Now()
	if n := len(got(Fault{Delay: 60 * time.Millisecond}, 1)); n != 1 || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%d datagrams after %v", n, time.Since(began))
	}
	stranger, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	r.Heal()
	_, _ = stranger.WriteTo([]byte("s"), net.UDPAddrFromAddrPort(r.Address(1)))
	if all := got(Fault{}, 1); len(all) != 1 || all[0] != "a" {
		t.Errorf("after a datagram from an unknown address: %q", all)
	}
	if r.Stray.Load() != 1 {
		t.Errorf("%d stray datagrams, want 1", r.Stray.Load())
	}
}
