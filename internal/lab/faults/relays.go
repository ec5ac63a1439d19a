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
	connectTime = 5 * time.Second
	// MaxRelays is how many nodes may be between relays.
	MaxRelays = 120
)

// Relays stand between the processes of a fleet. Each node has an address at which the
// others reach it, which is a relay's, and one where it listens and from which it sends: by
// that, a relay knows who calls, and so the pair. Nobody but the relays is told the latter.
type Relays struct {
	*carrier
	nodes []relayed

	// Stray counts what came from an address of no node.
	Stray atomic.Int64
}

type relayed struct {
	address, listen netip.AddrPort
	tcp             *net.TCPListener
	udp             *net.UDPConn
}

// networks keeps apart the relays that one process holds.
var networks atomic.Uint32

// NewRelays opens the relays of n nodes, on loopback addresses of this process alone.
func NewRelays(n int, seed uint64) (*Relays, error) {
	if n < 1 || n > MaxRelays {
		return nil, fmt.Errorf("%d nodes: it has to be between 1 and %d", n, MaxRelays)
	}
	r := &Relays{carrier: newCarrier(n, seed)}
	pid, own := os.Getpid(), int(networks.Add(1))
	for i := range n {
		// The second part of an address is this rig's, the third the process's, the last the node's.
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
		tcp, udp, err := listenBoth(host(1)) // nobody else binds there until the node does
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

// listenBoth finds a port that is free for both.
func listenBoth(host netip.Addr) (*net.TCPListener, *net.UDPConn, error) {
	var last error
	for range 20 {
		tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(host, 0)))
		if err != nil {
			return nil, nil, fmt.Errorf("a relay: %w", err)
		}
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(tcp.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return tcp, udp, nil
		}
		last = errors.Join(err, tcp.Close())
	}
	return nil, nil, fmt.Errorf("a relay: %w", last)
}

// Address is where others reach a node, Listen where it listens.
func (r *Relays) Address(i int) netip.AddrPort { return r.nodes[i].address }

// Listen is where a node has to listen, and to send from.
func (r *Relays) Listen(i int) netip.AddrPort { return r.nodes[i].listen }

// Close ends all connections and listeners.
func (r *Relays) Close() error {
	r.end()
	var all []error
	for _, n := range r.nodes {
		all = append(all, n.tcp.Close(), n.udp.Close())
	}
	r.wg.Wait()
	return errors.Join(all...)
}

// who is the node that sends from an address.
func (r *Relays) who(from netip.AddrPort) (int, bool) {
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
			continue // a node that is gone was sent to
		}
		from, ok := r.who(addr)
		if !ok {
			continue
		}
		r.fly(from, to, buf[:n], func(b []byte) error {
			// It is sent as the one whom it comes from, so that an answer goes through a relay too.
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
		from, ok := r.who(conn.RemoteAddr().(*net.TCPAddr).AddrPort())
		if !ok {
			_ = conn.Close()
			continue
		}
		r.wg.Go(func() {
			r.carry(conn, from, to, func(ctx context.Context) (net.Conn, error) {
				d := net.Dialer{Timeout: connectTime, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.nodes[from].address.Addr(), 0))}
				return d.DialContext(ctx, "tcp4", r.nodes[to].listen.String())
			})
		})
	}
}
