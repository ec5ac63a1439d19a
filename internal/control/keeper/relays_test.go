package keeper

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// relays stand between the keepers of a rig: a pair that is cut hears nothing of each other, and no connection ends.
type relays struct {
	r  *rig
	mu sync.Mutex
	// flow is closed while bytes from one keeper to another pass.
	flow      map[[2]int]chan struct{}
	addresses map[[2]int]string // who dials, who is dialled
	closers   []io.Closer
	ended     chan struct{}
}

// relayed has the keepers of a rig dial each other through relays.
func (r *rig) relayed() *relays {
	l := &relays{r: r, flow: map[[2]int]chan struct{}{}, addresses: map[[2]int]string{}, ended: make(chan struct{})}
	for i := range r.running {
		for j := range r.running {
			open := make(chan struct{})
			close(open)
			l.flow[[2]int{i, j}] = open
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
			if addr == fmt.Sprintf("%s:%d", r.ip(j), r.links) {
				return r.relays.address(i, j, addr)
			}
		}
		return addr
	}
}

// address is where a keeper dials another one.
func (l *relays) address(from, to int, target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	pair := [2]int{from, to}
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

// carry passes bytes on while the pair is not cut.
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
		open := l.flow[[2]int{from, to}]
		l.mu.Unlock()
		select {
		case <-open:
		case <-l.ended:
			return
		}
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
			l.flow[[2]int{i, j}] = make(chan struct{})
		}
		if to {
			l.flow[[2]int{j, i}] = make(chan struct{})
		}
	}
}

// heal ends all cuts. What was held back comes late.
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
