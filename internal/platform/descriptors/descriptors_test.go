package descriptors

import (
	"net"
	"testing"
	"time"
)

func TestBudgetIsDivided(t *testing.T) {
	for _, test := range []struct{ maxOpen, clients, wanted, endpoints int }{
		{maxOpen: 0, clients: 0, wanted: 1024, endpoints: 1024}, // unknown: nothing is limited
		{maxOpen: 4100, clients: 2050, wanted: 1024, endpoints: 1024},
		{maxOpen: 400, clients: 200, wanted: 1024, endpoints: 100},
		{maxOpen: 2, clients: 1, wanted: 1024, endpoints: 1},
		{maxOpen: 8200, clients: 4100, wanted: 1024, endpoints: 1024},
	} {
		b := NewBudget(test.maxOpen)
		if b.Clients() != test.clients || b.Endpoints(test.wanted) != test.endpoints {
			t.Errorf("of %d: %d for clients, %d for endpoints", test.maxOpen, b.Clients(), b.Endpoints(test.wanted))
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
	var open []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		open = append(open, <-accepted)
	}
	third, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	_ = open[0].Close()
	_ = (<-accepted).Close()
	_ = open[1].Close()
}
