package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pieceSize = 16 << 10
	// pieces bounds what waits on a connection, flying what is delayed of datagrams.
	pieces      = 64
	flying      = 4096
	connectTime = 5 * time.Second
)

// Relays stand between the processes of a fleet. Each node has an address at which the
// others reach it, which is a relay's, and one where it listens and from which it sends: by
// that, a relay knows who calls, and so the pair. Nobody but the relays is told the latter.
type Relays struct {
	*Matrix
	nodes []relayed

	// Stray counts what came from an address of no node.
	Stray atomic.Int64
	// passed counts, for each pair, bytes that were handed on.
	passed []atomic.Int64

	life context.Context
	end  context.CancelFunc
	wg   sync.WaitGroup
	air  chan struct{}
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
	if n < 1 || n > 120 {
		return nil, fmt.Errorf("%d nodes: it has to be between 1 and 120", n)
	}
	r := &Relays{Matrix: NewMatrix(n, seed), passed: make([]atomic.Int64, n*n), air: make(chan struct{}, flying)}
	r.life, r.end = context.WithCancel(context.Background())
	pid, own := os.Getpid(), int(networks.Add(1))
	for i := range n {
		// The second and third part of an address are the process's, the last one the node's.
		host := func(half int) netip.Addr {
			return netip.AddrFrom4([4]byte{127, byte(128 + pid>>8&63 + 64*(own&1)), byte(pid), byte(1 + 120*half + i)})
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

// Passed is how many bytes were handed on from one node to another.
func (r *Relays) Passed(from, to int) int64 { return r.passed[from*r.n+to].Load() }

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
		after, spoilt := r.Packet(from, to, n)
		for _, d := range after {
			b := append([]byte(nil), buf[:n]...)
			if spoilt >= 0 {
				b[spoilt/8] ^= 1 << (spoilt % 8)
			}
			if d <= 0 {
				r.deliver(from, to, b)
				continue
			}
			select {
			case r.air <- struct{}{}:
			default:
				continue // more is on its way than a network holds
			}
			r.wg.Go(func() {
				defer func() { <-r.air }()
				t := time.NewTimer(d)
				defer t.Stop()
				select {
				case <-t.C:
					r.deliver(from, to, b)
				case <-r.life.Done():
				}
			})
		}
	}
}

// deliver sends as the one whom it comes from, so that an answer goes through a relay too.
func (r *Relays) deliver(from, to int, b []byte) {
	if _, err := r.nodes[from].udp.WriteToUDPAddrPort(b, r.nodes[to].listen); err == nil {
		r.passed[from*r.n+to].Add(int64(len(b)))
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
		r.wg.Go(func() { r.relay(conn, from, to) })
	}
}

// relay carries a connection. A connection through a cut comes up, as the kernel accepts it,
// and stands still before its first byte.
func (r *Relays) relay(conn *net.TCPConn, from, to int) {
	life, end := context.WithCancel(r.life)
	defer end()
	defer conn.Close()
	stop := context.AfterFunc(life, func() { _ = conn.Close() })
	defer stop()
	out := make(chan piece, pieces)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.read(life, conn, out, from, to) })
	for r.cutAtAll(from, to) {
		_, change := r.At(from, to)
		if !r.cutAtAll(from, to) {
			break
		}
		select {
		case <-change:
		case <-life.Done():
			return
		}
	}
	d := net.Dialer{Timeout: connectTime, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.nodes[from].address.Addr(), 0))}
	c, err := d.DialContext(life, "tcp4", r.nodes[to].listen.String())
	if err != nil {
		_ = conn.SetLinger(0) // nobody is there
		end()
		return
	}
	other := c.(*net.TCPConn)
	defer other.Close()
	defer context.AfterFunc(life, func() { _ = other.Close() })()
	back := make(chan piece, pieces)
	running.Go(func() { r.read(life, other, back, to, from) })
	running.Go(func() { r.write(life, end, conn, other, back, to, from) })
	r.write(life, end, other, conn, out, from, to)
	<-life.Done()
}

func (r *Relays) cutAtAll(from, to int) bool {
	there, _ := r.At(from, to)
	back, _ := r.At(to, from)
	return there.Cut || back.Cut
}

// piece is a part of a connection's bytes; none at its end.
type piece struct {
	b  []byte
	at time.Time
}

func (r *Relays) read(life context.Context, conn *net.TCPConn, out chan<- piece, from, to int) {
	defer close(out)
	buf := make([]byte, pieceSize)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			d, spoilt := r.Piece(from, to, n)
			b := append([]byte(nil), buf[:n]...)
			if spoilt >= 0 {
				b[spoilt/8] ^= 1 << (spoilt % 8)
			}
			select {
			case out <- piece{b, time.Now().Add(d)}:
			case <-life.Done():
				return
			}
		}
		if err != nil {
			select {
			case out <- piece{nil, time.Now()}:
			case <-life.Done():
			}
			return
		}
	}
}

// write hands pieces on as the fault of the moment has it.
func (r *Relays) write(life context.Context, end func(), conn, source *net.TCPConn, in <-chan piece, from, to int) {
	defer end()
	sent := 0
	pause := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-life.Done():
			return false
		}
	}
	for p := range in {
		if !pause(time.Until(p.at)) {
			return
		}
		for {
			f, change := r.At(from, to)
			if !f.Cut {
				break
			}
			select {
			case <-change:
			case <-life.Done():
				return
			}
		}
		f, _ := r.At(from, to)
		if f.Swallow { // nor is its end heard
			continue
		}
		if len(p.b) == 0 {
			return
		}
		b := p.b
		if f.Reset > 0 && sent+len(b) >= f.Reset {
			_, _ = conn.Write(b[:max(0, f.Reset-sent)])
			_, _ = conn.SetLinger(0), source.SetLinger(0)
			return
		}
		for len(b) > 0 {
			n := len(b)
			if f.Trickle > 0 {
				n = 1
				if !pause(time.Second / time.Duration(f.Trickle)) {
					return
				}
				f, _ = r.At(from, to)
			}
			w, err := conn.Write(b[:n])
			r.passed[from*r.n+to].Add(int64(w))
			sent += w
			if err != nil {
				return
			}
			b = b[n:]
		}
	}
}
