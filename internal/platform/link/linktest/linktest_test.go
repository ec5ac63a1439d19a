package linktest

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo starts a server that echoes what it reads, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
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
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// exchange sends a text and reads it back.
func exchange(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	back := make([]byte, len(text))
	if _, err := io.ReadFull(conn, back); err != nil || string(back) != text {
		t.Fatalf("%q, %v", back, err)
	}
}

func TestCutHoldsBytesBackUntilItIsHealed(t *testing.T) {
	var cuts Cuts
	var relays *Relays
	relays = New(t, func(direction Direction, n int) (int, bool) { return n, cuts.Await(direction, relays.Done()) })
	direction := Direction{From: 1, To: 2}
	target := echo(t)
	address := relays.Address(direction, target)
	if again := relays.Address(direction, target); again != address {
		t.Errorf("%s and %s for one direction", address, again)
	}
	conn := dial(t, address)
	exchange(t, conn, "before")
	cuts.Cut(direction.Reverse())
	cuts.Cut(direction.Reverse()) // cutting again has no effect
	if _, err := io.WriteString(conn, "meanwhile"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatal("a byte passed in a direction that is cut")
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	cuts.Heal()
	late := make([]byte, len("meanwhile"))
	if _, err := io.ReadFull(conn, late); err != nil || string(late) != "meanwhile" {
		t.Fatalf("%q, %v", late, err)
	}
	exchange(t, conn, "after")
}

func TestGateBreaksAConnectionAfterAByte(t *testing.T) {
	relays := New(t, func(direction Direction, n int) (int, bool) { return min(n, 3), n <= 3 || direction.From != 1 })
	conn := dial(t, relays.Address(Direction{From: 1, To: 2}, echo(t)))
	if _, err := io.WriteString(conn, "abcdef"); err != nil {
		t.Fatal(err)
	}
	if text, _ := io.ReadAll(conn); len(text) > 3 {
		t.Errorf("%q passed", text)
	}
}

// A cut that is never healed must not block the end of a test.
func TestRelaysEndWhileADirectionIsCut(t *testing.T) {
	var cuts Cuts
	t.Run("cut", func(t *testing.T) {
		var relays *Relays
		relays = New(t, func(direction Direction, n int) (int, bool) { return n, cuts.Await(direction, relays.Done()) })
		direction := Direction{From: 1, To: 2}
		conn := dial(t, relays.Address(direction, echo(t)))
		exchange(t, conn, "before")
		cuts.Cut(direction)
		if _, err := io.WriteString(conn, "held back"); err != nil {
			t.Fatal(err)
		}
	})
	if cuts.Await(Direction{From: 2, To: 1}, nil) != true {
		t.Error("the other direction is cut")
	}
}
