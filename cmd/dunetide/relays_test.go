package main

import (
	"io"
	"net"
	"sync"
	"testing"
)

// direction is from one keeper to another, by their numbers.
type direction struct{ from, to int }

// relays stand between keeper processes. A direction that is cut carries nothing, not even the end of a connection; what was
// held back comes late.
type relays struct {
	mu      sync.Mutex
	open    map[direction]chan struct{} // closed while bytes pass
	closers []io.Closer
	ended   chan struct{}
}

func newRelays(t *testing.T, keepers int) *relays {
	r := &relays{open: map[direction]chan struct{}{}, ended: make(chan struct{})}
	passes := make(chan struct{})
	close(passes)
	for from := range keepers {
		for to := range keepers {
			r.open[direction{from, to}] = passes
		}
	}
	t.Cleanup(r.close)
	return r
}

// listen returns the address at which one keeper dials another.
func (r *relays) listen(t *testing.T, way direction, target string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.closers = append(r.closers, listener)
	r.mu.Unlock()
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go r.connect(near, way, target)
		}
	}()
	return listener.Addr().String()
}

// connect joins a connection to the keeper that was dialled, once a byte could pass to it.
func (r *relays) connect(near net.Conn, way direction, target string) {
	if !r.await(way) {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp4", target)
	if err != nil {
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.closers = append(r.closers, near, far)
	r.mu.Unlock()
	go r.carry(near, far, way)
	go r.carry(far, near, direction{way.to, way.from})
}

// carry passes bytes on, and in the end the end, while the direction is open.
func (r *relays) carry(in, out net.Conn, way direction) {
	defer in.Close()
	defer out.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if !r.await(way) || err != nil {
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// await returns once a direction is open; false: the relays have ended.
func (r *relays) await(way direction) bool {
	r.mu.Lock()
	open := r.open[way]
	r.mu.Unlock()
	select {
	case <-open:
		return true
	case <-r.ended:
		return false
	}
}

// cut stops all bytes in some directions.
func (r *relays) cut(ways ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, way := range ways {
		if r.passes(way) {
			r.open[way] = make(chan struct{})
		}
	}
}

// heal lets bytes pass in some directions; without any, in all.
func (r *relays) heal(ways ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(ways) == 0 {
		for way := range r.open {
			ways = append(ways, way)
		}
	}
	for _, way := range ways {
		if !r.passes(way) {
			close(r.open[way])
		}
	}
}

func (r *relays) passes(way direction) bool {
	select {
	case <-r.open[way]:
		return true
	default:
		return false
	}
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.ended)
	for _, c := range r.closers {
		_ = c.Close()
	}
}
