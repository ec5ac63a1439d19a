package keeper

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// direction is from one keeper of a rig to another.
type direction struct{ from, to int }

// relays stand between the keepers of a rig. A direction that is cut passes no bytes, and no connection ends. They
// count the bytes that keepers receive from each other.
type relays struct {
	r         *rig
	mu        sync.Mutex
	flow      map[direction]chan struct{} // closed while bytes pass
	addresses map[direction]string        // of the relay that a keeper dials in place of another
	closers   []io.Closer
	ended     chan struct{}
	received  []atomic.Int64 // bytes, by keeper
}

// startRelays has the keepers of a rig dial each other through relays.
func (r *rig) startRelays() *relays {
	l := &relays{
		r:         r,
		flow:      map[direction]chan struct{}{},
		addresses: map[direction]string{},
		ended:     make(chan struct{}),
		received:  make([]atomic.Int64, len(r.running)),
	}
	for i := range r.running {
		for j := range r.running {
			open := make(chan struct{})
			close(open)
			l.flow[direction{i, j}] = open
		}
	}
	r.relays = l
	r.t.Cleanup(l.close)
	return l
}

func (r *rig) dialAddress(i int) func(addr string) string {
	if r.relays == nil {
		return nil
	}
	return func(addr string) string {
		for j := range r.running {
			if addr == r.linkAddress(j) {
				return r.relays.address(i, j, addr)
			}
		}
		return addr
	}
}

// address is the relay's address that a keeper dials in place of another keeper's.
func (l *relays) address(from, to int, target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := direction{from, to}
	if addr, there := l.addresses[pair]; there {
		return addr
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.r.t.Error(err)
		return target
	}
	l.addresses[pair] = listener.Addr().String()
	l.closers = append(l.closers, listener)
	go l.accept(listener, from, to, target)
	return l.addresses[pair]
}

func (l *relays) accept(listener net.Listener, from, to int, target string) {
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
		l.mu.Lock()
		l.closers = append(l.closers, near, far)
		l.mu.Unlock()
		go l.carry(near, far, from, to)
		go l.carry(far, near, to, from)
	}
}

// carry passes bytes on while the direction is not cut.
func (l *relays) carry(in, out net.Conn, from, to int) {
	defer in.Close()
	defer out.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		open := l.flow[direction{from, to}]
		l.mu.Unlock()
		select {
		case <-open:
		case <-l.ended:
			return
		}
		l.received[to].Add(int64(n))
		if _, err := out.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cutOff stops all bytes from a keeper to the others and back, or in one direction alone.
func (l *relays) cutOff(i int, from, to bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for j := range l.r.running {
		if j == i {
			continue
		}
		if from {
			l.flow[direction{i, j}] = make(chan struct{})
		}
		if to {
			l.flow[direction{j, i}] = make(chan struct{})
		}
	}
}

// cut stops all bytes from one keeper to another.
func (l *relays) cut(from, to int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow[direction{from, to}] = make(chan struct{})
}

// heal ends all cuts. The bytes that were sent meanwhile come late.
func (l *relays) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair, open := range l.flow {
		select {
		case <-open:
		default:
			close(l.flow[pair])
		}
	}
}

func (l *relays) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.ended)
	for _, c := range l.closers {
		_ = c.Close()
	}
}
