package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"

	"dunetide/internal/deliverynode/wire"
	"dunetide/policy"
)

// maxNote is the maximum length in bytes of a datagram between delivery nodes.
const maxNote = 256

// peers sends and receives notes between delivery nodes, over UDP.
type peers struct {
	conn   *net.UDPConn
	all    netip.AddrPort
	known  map[netip.AddrPort]bool // the other nodes
	log    *slog.Logger
	notify func(policy.Event)
}

func openPeers(c Config, log *slog.Logger, notify func(policy.Event)) (*peers, error) {
	bind, err := netip.ParseAddrPort(c.PeerBind)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	all, err := netip.ParseAddrPort(c.PeersAll)
	if err != nil {
		return nil, fmt.Errorf("peers_all: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, fmt.Errorf("listening for notes: %w", err)
	}
	p := &peers{conn: conn, all: all, known: map[netip.AddrPort]bool{}, log: log, notify: notify}
	for i, a := range c.Peers {
		if i != c.Me {
			p.known[a] = true
		}
	}
	return p, nil
}

// run receives notes until the context ends.
func (p *peers) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buf := make([]byte, maxNote+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil { // such as an ICMP error for a note that could not be delivered
			p.log.Debug("peers: reading failed", "err", err)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		note, ok := wire.DecodeNote(buf[:n])
		if !ok || !p.known[from] {
			p.log.Warn("peers: invalid note ignored", "from", from, "bytes", n)
			continue
		}
		p.notify(note)
	}
}

// send sends a note to all other nodes; it may be lost.
func (p *peers) send(t policy.SendNote) {
	if _, err := p.conn.WriteToUDPAddrPort(wire.EncodeNote(t), p.all); err != nil {
		p.log.Debug("peers: sending failed", "err", err)
	}
}
