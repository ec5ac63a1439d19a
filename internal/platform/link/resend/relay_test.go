package resend

import (
	"net"
	"sync"
	"testing"
)

// direction is from one keeper to another.
type direction struct{ from, to int }

// relays stand between keepers. They pass all bytes on, until they are told to break.
type relays struct {
	t         *testing.T
	mu        sync.Mutex
	addresses map[direction]string // who dials, who is dialled
	listeners []net.Listener
	conns     map[net.Conn]bool
	from      int            // whose bytes, and those to whom, are counted
	left      map[string]int // bytes that may still pass, of "from" and of "to"; missing: any number
	broken    int            // links that broke at a byte
}

func newRelays(t *testing.T) *relays {
	r := &relays{t: t, addresses: map[direction]string{}, conns: map[net.Conn]bool{}, left: map[string]int{}}
	t.Cleanup(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, l := range r.listeners {
			_ = l.Close()
		}
		for c := range r.conns {
			_ = c.Close()
		}
	})
	return r
}

// The sides of a keeper, for breakAfter.
const (
	bytesFrom = "from"
	bytesTo   = "to"
)

// breakAfter breaks the next link that carries a keeper's bytes, from it or to it, behind so many of them.
func (r *relays) breakAfter(keeper int, side string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.left = keeper, map[string]int{side: bytes}
}

// brokenLinks is how many links broke at a byte, until now.
func (r *relays) brokenLinks() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// address is where a keeper dials another one.
func (r *relays) address(from, to int, target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	way := direction{from, to}
	if addr, there := r.addresses[way]; there {
		return addr
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Error(err)
		return target
	}
	r.addresses[way] = listener.Addr().String()
	r.listeners = append(r.listeners, listener)
	go r.accept(listener, way, target)
	return r.addresses[way]
}

func (r *relays) accept(listener net.Listener, way direction, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns[near], r.conns[far] = true, true
		r.mu.Unlock()
		go r.carry(near, far, way)
		go r.carry(far, near, direction{way.to, way.from})
	}
}

// carry passes bytes on until either side ends or the link is to break.
func (r *relays) carry(in, out net.Conn, way direction) {
	defer func() {
		_ = in.Close()
		_ = out.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, in)
		delete(r.conns, out)
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil {
			return
		}
		passes, breaks := r.pass(way, n)
		if _, err := out.Write(buffer[:passes]); err != nil || breaks {
			return
		}
	}
}

// pass tells how many of some bytes pass, and whether the link breaks behind them.
func (r *relays) pass(way direction, n int) (passes int, breaks bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	side := ""
	switch r.from {
	case way.from:
		side = bytesFrom
	case way.to:
		side = bytesTo
	}
	left, counted := r.left[side]
	if !counted {
		return n, false
	}
	if left >= n {
		r.left[side] = left - n
		return n, false
	}
	delete(r.left, side)
	r.broken++
	return left, true
}
