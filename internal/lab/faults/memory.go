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

// maxQueuedPackets bounds the datagrams that wait at a node, like a socket's receive buffer.
const maxQueuedPackets = 512

// Memory is a network without sockets that injects the same faults. In a testing/synctest bubble it runs in simulated time.
type Memory struct {
	*carrier
	mu    sync.Mutex
	nodes map[int]*memoryNode
}

// NewMemory returns a network of n nodes.
func NewMemory(n int, seed uint64) *Memory {
	return &Memory{carrier: newCarrier(n, seed), nodes: map[int]*memoryNode{}}
}

// Close stops all deliveries and connections in flight.
func (m *Memory) Close() {
	m.end()
	m.wg.Wait()
}

// Address returns the address of node i.
func (m *Memory) Address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 200), byte(1 + i%200)}), 7000)
}

// Listen opens the transport at a node's address; only one may be open at a time.
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
		n := &memoryNode{net: m, me: i, packets: make(chan packet, maxQueuedPackets), conns: make(chan net.Conn), closed: make(chan struct{})}
		m.nodes[i] = n
		return n, nil
	}
	return nil, fmt.Errorf("listening at %v: %w", at, syscall.EADDRNOTAVAIL)
}

// at returns the transport that listens at an address, and the index of its node.
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

// SendTo sends a datagram, which the network may lose, delay or duplicate.
func (n *memoryNode) SendTo(b []byte, to netip.AddrPort) error {
	_, i := n.net.at(to)
	if i < 0 || i >= n.net.size {
		return errors.New("no node has this address")
	}
	n.net.sendDatagram(n.me, i, b, func(b []byte) error {
		there, _ := n.net.at(to)
		if there == nil {
			return net.ErrClosed
		}
		select {
		case there.packets <- packet{b, n.net.Address(n.me)}:
			return nil
		default:
			return errors.New("receive buffer is full")
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

// Dial succeeds at once, as the kernel does when a relay listens; a failure shows on the connection afterwards.
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

// Accept returns the next incoming connection.
func (n *memoryNode) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the transport: pending calls of Receive and Accept return net.ErrClosed.
func (n *memoryNode) Close() error {
	n.once.Do(func() {
		close(n.closed)
		n.net.mu.Lock()
		defer n.net.mu.Unlock()
		delete(n.net.nodes, n.me)
	})
	return nil
}
