package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"dunetide/internal/deliverynode/fleet"
)

// inbox bounds the datagrams that wait at a node, as a socket's buffer does.
const inbox = 512

// Memory is a network without sockets, with the same faults: in a bubble of testing/synctest
// its time is simulated.
type Memory struct {
	*carrier
	mu    sync.Mutex
	nodes map[int]*memoryNode
}

// NewMemory makes a network of n places.
func NewMemory(n int, seed uint64) *Memory {
	return &Memory{carrier: newCarrier(n, seed), nodes: map[int]*memoryNode{}}
}

// Close ends all that is on its way.
func (m *Memory) Close() {
	m.end()
	m.wg.Wait()
}

// Address is that of a place.
func (m *Memory) Address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 200), byte(1 + i%200)}), 7000)
}

// Listen opens a place's transport; only one may be open there.
func (m *Memory) Listen(at netip.AddrPort) (fleet.Transport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.size {
		if m.Address(i) != at {
			continue
		}
		if m.nodes[i] != nil {
			return nil, fmt.Errorf("listening at %v: %w", at, syscall.EADDRINUSE)
		}
		n := &memoryNode{net: m, me: i, packets: make(chan packet, inbox), conns: make(chan net.Conn), closed: make(chan struct{})}
		m.nodes[i] = n
		return n, nil
	}
	return nil, fmt.Errorf("listening at %v: %w", at, syscall.EADDRNOTAVAIL)
}

// at is who listens at an address, and which place that is.
func (m *Memory) at(to netip.AddrPort) (*memoryNode, int) {
	a := to.Addr().As4()
	i := int(a[2])*200 + int(a[3]) - 1
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[i], i
}

type packet struct {
	data []byte
	from netip.AddrPort
}

type memoryNode struct {
	net     *Memory
	me      int
	packets chan packet
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// SendTo sends a datagram, which the network may lose, delay or repeat.
func (n *memoryNode) SendTo(b []byte, to netip.AddrPort) error {
	_, i := n.net.at(to)
	if i < 0 || i >= n.net.size {
		return errors.New("no such place")
	}
	n.net.fly(n.me, i, b, func(b []byte) error {
		there, _ := n.net.at(to)
		if there == nil {
			return net.ErrClosed
		}
		select {
		case there.packets <- packet{b, n.net.Address(n.me)}:
			return nil
		default:
			return errors.New("its buffer is full")
		}
	})
	return nil
}

// Receive returns the next datagram and its sender.
func (n *memoryNode) Receive() ([]byte, netip.AddrPort, error) {
	select {
	case p := <-n.packets:
		return p.data, p.from, nil
	case <-n.closed:
		return nil, netip.AddrPort{}, net.ErrClosed
	}
}

// Dial is like the kernel's at a relay: it comes up at once, and what becomes of it shows then.
func (n *memoryNode) Dial(_ context.Context, to netip.AddrPort) (net.Conn, error) {
	there, i := n.net.at(to)
	if there == nil || i < 0 || i >= n.net.size {
		return nil, syscall.ECONNREFUSED
	}
	mine, theirs := net.Pipe()
	n.net.wg.Go(func() {
		n.net.carry(theirs, n.me, i, func(ctx context.Context) (net.Conn, error) {
			near, far := net.Pipe()
			select {
			case there.conns <- far:
				return near, nil
			case <-there.closed:
			case <-ctx.Done():
			}
			return nil, syscall.ECONNREFUSED
		})
	})
	return mine, nil
}

// Accept returns the next connection that came.
func (n *memoryNode) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the node: what waits in Receive and Accept returns net.ErrClosed.
func (n *memoryNode) Close() error {
	n.once.Do(func() {
		close(n.closed)
		n.net.mu.Lock()
		defer n.net.mu.Unlock()
		delete(n.net.nodes, n.me)
	})
	return nil
}
