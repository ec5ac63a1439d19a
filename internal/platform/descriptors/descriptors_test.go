package descriptors

import (
	"net"
	"testing"
	"time"
)

func TestBudget(t *testing.T) {
	for _, c := range []struct{ most, clients, wanted, endpoints int }{
		{0, 0, 1024, 1024}, {4100, 2050, 1024, 1024}, {400, 200, 1024, 100}, {2, 1, 1024, 1}, {8200, 4100, 1024, 1024},
	} {
		b := NewBudget(c.most)
		if b.Clients() != c.clients || b.Endpoints(c.wanted) != c.endpoints {
			t.Errorf("of %d: %d for clients, %d for endpoints", c.most, b.Clients(), b.Endpoints(c.wanted))
		}
	}
}

func TestConnectionsBeyondTheBudgetWait(t *testing.T) {
	listener, err := NewBudget(4).Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	var held []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		held = append(held, <-accepted)
	}
	third, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	select {
	case <-accepted:
		t.Fatal("a third connection is accepted")
	case <-time.After(50 * time.Millisecond):
	}
	_ = held[0].Close()
	_ = (<-accepted).Close()
	_ = held[1].Close()
}
