package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"
)

const (
	connectTimeout = 5 * time.Second
	// MaxRelays is the maximum number of nodes that Relays support.
	MaxRelays = 120
)

// Relays relay the traffic between the processes of a fleet. Each node has two addresses: a public one, at which its relay listens
// and the other nodes reach it, and a private one, at which it listens and from which it sends. A relay recognizes the sender, and
// so the pair, by its private address; only the relays know the private addresses.
type Relays struct {
	*carrier
	nodes []relayed

	// Stray counts datagrams and connections from addresses that belong to no node.
	Stray atomic.Int64
}

type relayed struct {
	address, listen netip.AddrPort
	tcp             *net.TCPListener
	udp             *net.UDPConn
}

// instances numbers the instances of Relays in this process, so that their addresses differ.
var instances atomic.Uint32

// NewRelays opens the relays of n nodes, on loopback addresses that only this process uses.
func NewRelays(n int, seed uint64) (*Relays, error) {
	if n < 1 || n > MaxRelays {
		return nil, fmt.Errorf("%d nodes: must be between 1 and %d", n, MaxRelays)
	}
	r := &Relays{carrier: newCarrier(n, seed)}
	pid, own := os.Getpid(), int(instances.Add(1))
	for i := range n {
		// The second byte of an address identifies the instance of Relays, the third the process, the last the node.
		host := func(half int) netip.Addr {
			return netip.AddrFrom4([4]byte{127, byte(128 + own&127), byte(pid), byte(1 + MaxRelays*half + i)})
		}
		var node relayed
		var err error
		if node.tcp, node.udp, err = listenBoth(host(0)); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		node.address = node.tcp.Addr().(*net.TCPAddr).AddrPort()
		r.nodes = append(r.nodes, node)
		tcp, udp, err := listenBoth(host(1)) // the address stays unused until the node binds it
		if err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.nodes[i].listen = tcp.Addr().(*net.TCPAddr).AddrPort()
		if err := errors.Join(tcp.Close(), udp.Close()); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	for i := range r.nodes {
		r.wg.Go(func() { r.accept(i) })
		r.wg.Go(func() { r.receive(i) })
	}
	return r, nil
}

// listenBoth finds a port that is free for both TCP and UDP.
func listenBoth(host netip.Addr) (*net.TCPListener, *net.UDPConn, error) {
	var last error
	for range 20 {
		tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
		if err != nil {
			return nil, nil, fmt.Errorf("opening a relay: %w", err)
		}
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(tcp.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return tcp, udp, nil
		}
		last = errors.Join(err, tcp.Close())
	}
	return nil, nil, fmt.Errorf("opening a relay: %w", last)
}

// Address returns the public address of a node, at which the others reach it.
func (r *Relays) Address(i int) netip.AddrPort { return r.nodes[i].address }

// Listen returns the private address of a node, at which it must listen and from which it must send.
func (r *Relays) Listen(i int) netip.AddrPort { return r.nodes[i].listen }

// Close closes all connections and listeners.
func (r *Relays) Close() error {
	r.end()
	var all []error
	for _, n := range r.nodes {
		all = append(all, n.tcp.Close(), n.udp.Close())
	}
	r.wg.Wait()
	return errors.Join(all...)
}

// sender returns the node that sends from an address.
func (r *Relays) sender(from netip.AddrPort) (int, bool) {
	for i, n := range r.nodes {
		if n.listen.Addr() == from.Addr().Unmap() {
			return i, true
		}
	}
	r.Stray.Add(1)
	return 0, false
}

func (r *Relays) receive(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := r.nodes[to].udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a datagram was sent to a node that no longer listens
		}
		from, ok := r.sender(addr)
		if !ok {
			continue
		}
		r.sendDatagram(from, to, buf[:n], func(b []byte) error {
			// It is sent from the relay of the sending node, so that the answer passes through a relay too.
			_, err := r.nodes[from].udp.WriteToUDPAddrPort(b, r.nodes[to].listen)
			return err
		})
	}
}

func (r *Relays) accept(to int) {
	for {
		conn, err := r.nodes[to].tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from, ok := r.sender(conn.RemoteAddr().(*net.TCPAddr).AddrPort())
		if !ok {
			_ = conn.Close()
			continue
		}
		r.wg.Go(func() {
			r.carry(conn, from, to, func(ctx context.Context) (net.Conn, error) {
				d := net.Dialer{Timeout: connectTimeout, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.nodes[from].address.Addr(), 0))}
				return d.DialContext(ctx, "tcp4", r.nodes[to].listen.String())
			})
		})
	}
}
