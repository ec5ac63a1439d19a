package fleet

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// probeInterval and probeTimeout are memberlist's values for a local network: a failure is detected after
	// some seconds, and a node that is busy for one second is not yet suspected.
	probeInterval  = time.Second
	probeTimeout   = 500 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	streamTimeout  = 2 * time.Second
	// rejoinInterval is the pause between attempts to reach a suspect member or a seed. It doubles
	// up to maxRejoinPause while they fail.
	rejoinInterval = time.Second
	maxRejoinPause = 5 * time.Second
	packetQueue    = 256
)

// meta is the metadata that gossip carries for each member; memberlist limits it to 512 bytes.
type meta struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Start       uint64 `cbor:"2,keyasint"`
	Lowest      uint8  `cbor:"3,keyasint"`
	Highest     uint8  `cbor:"4,keyasint"`
}

// gossipRecords is the payload that nodes exchange through memberlist: their full state when they
// connect, and single records when they are new.
type gossipRecords struct {
	Records []Record   `cbor:"1,keyasint"`
	Counts  []Sighting `cbor:"2,keyasint,omitempty"`
}

// gossip runs memberlist over the fleet's transport. memberlist holds its own lock during callbacks, so
// these must not call memberlist.
type gossip struct {
	fleet *Fleet
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue

	packets chan *memberlist.Packet
	streams chan net.Conn

	mu      sync.RWMutex
	stopped bool // callbacks are ignored from here on: memberlist may make some briefly after its shutdown
}

// ifRunning runs the work of a callback, unless gossip has been stopped.
func (g *gossip) ifRunning(callback func()) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if !g.stopped {
		callback()
	}
}

// end shuts memberlist down. After it returns, callbacks have no effect.
func (g *gossip) end() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	if err := g.list.Shutdown(); err != nil {
		g.fleet.options.Log.Debug("fleet: shutting gossip down failed", "err", err)
	}
}

func (f *Fleet) startGossip() (*gossip, error) {
	g := &gossip{fleet: f, packets: make(chan *memberlist.Packet, packetQueue), streams: make(chan net.Conn)}
	g.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 4, NumNodes: func() int { return f.currentCount() }}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = f.options.Name, g
	c.AdvertiseAddr, c.AdvertisePort = f.address.Addr().String(), int(f.address.Port())
	c.BindAddr, c.BindPort = c.AdvertiseAddr, c.AdvertisePort
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.TCPTimeout = probeInterval, probeTimeout, gossipInterval, streamTimeout
	c.UDPBufferSize = maxPacket - packetHeaderSize
	c.DeadNodeReclaimTime = time.Second // the operators may have moved a node; the fleet's own records decide whether its name is free
	c.EnableCompression, c.RequireNodeNames, c.DNSConfigPath = false, true, ""
	c.Delegate, c.Events, c.Alive = g, g, g
	c.Logger = log.New(memberlistLog{f.options.Log}, "", 0)
	var err error
	if g.list, err = memberlist.Create(c); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return g, nil
}

// memberlistLog receives memberlist's log. It is logged at the debug level, as its warnings concern single packets.
type memberlistLog struct{ log *slog.Logger }

// Write logs a line of memberlist's log at the debug level.
func (q memberlistLog) Write(b []byte) (int, error) {
	q.log.Debug("fleet: gossip", "says", strings.TrimSpace(string(b)))
	return len(b), nil
}

// FinalAdvertiseAddr returns this node's address; memberlist.Transport asks for it.
func (g *gossip) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return g.fleet.address.Addr().AsSlice(), int(g.fleet.address.Port()), nil
}

// WriteTo sends a datagram; memberlist.Transport asks for it.
func (g *gossip) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	return time.Now(), g.fleet.sendPacket(b, to)
}

// WriteToAddress sends a datagram; memberlist.NodeAwareTransport asks for it.
func (g *gossip) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return g.WriteTo(b, addr.Addr)
}

// PacketCh returns the channel of received datagrams.
func (g *gossip) PacketCh() <-chan *memberlist.Packet { return g.packets }

// StreamCh returns the channel of incoming gossip connections.
func (g *gossip) StreamCh() <-chan net.Conn { return g.streams }

// Shutdown does nothing, because the fleet closes the transport.
func (g *gossip) Shutdown() error { return nil } // the transport is the fleet's

// DialTimeout opens a connection for gossip.
func (g *gossip) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(g.fleet.ctx, timeout)
	defer cancel()
	return g.fleet.dial(ctx, to, purposeGossip)
}

// DialAddressTimeout opens a connection for gossip; memberlist.NodeAwareTransport asks for it.
func (g *gossip) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return g.DialTimeout(addr.Addr, timeout)
}

// recordOf returns memberlist's record and metadata of a node.
func recordOf(n *memberlist.Node) (Record, meta, error) {
	var m meta
	if err := decoding.Unmarshal(n.Meta, &m); err != nil {
		return Record{}, meta{}, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	ip, _ := netip.AddrFromSlice(n.Addr)
	return Record{Name: n.Name, Incarnation: m.Incarnation, Start: m.Start, Address: netip.AddrPortFrom(ip.Unmap(), n.Port).String()}, m, nil
}

// NotifyAlive rejects nodes with an incompatible version, and passes on records of this node's own name.
func (g *gossip) NotifyAlive(n *memberlist.Node) error {
	rec, m, err := recordOf(n)
	if err != nil {
		return err
	}
	if _, err := commonVersion(m.Lowest, m.Highest); err != nil {
		g.fleet.refuse(n.Name, err)
		return err
	}
	if rec.Name == g.fleet.options.Name {
		g.ifRunning(func() { g.fleet.handleOwnRecord(rec) })
	}
	return nil
}

// NotifyJoin is called when a member becomes reachable; memberlist.EventDelegate asks for it.
func (g *gossip) NotifyJoin(n *memberlist.Node) {
	if rec, _, err := recordOf(n); err == nil && rec.Name != g.fleet.options.Name {
		g.ifRunning(func() {
			g.fleet.updateTable(func(t *Table, now time.Duration) []Change { return t.MarkReachable(rec, now) })
		})
	}
}

// NotifyUpdate is called when the meta data of a member has changed; memberlist.EventDelegate asks for it.
func (g *gossip) NotifyUpdate(n *memberlist.Node) { g.NotifyJoin(n) }

// NotifyLeave is called when a member no longer answers or has left; memberlist.EventDelegate asks for it.
func (g *gossip) NotifyLeave(n *memberlist.Node) {
	g.ifRunning(func() {
		g.fleet.updateTable(func(t *Table, now time.Duration) []Change { return t.Suspect(n.Name, now) })
	})
}

// NodeMeta returns this node's metadata; memberlist.Delegate asks for it.
func (g *gossip) NodeMeta(limit int) []byte {
	self := g.fleet.Self()
	b, err := encoding.Marshal(meta{self.Incarnation, self.Start, lowestVersion, highestVersion})
	if err != nil || len(b) > limit {
		return nil // cannot happen with four numbers
	}
	return b
}

// NotifyMsg merges records and broadcasts those that are new; memberlist.Delegate asks for it.
func (g *gossip) NotifyMsg(b []byte) {
	var w gossipRecords
	if err := decoding.Unmarshal(b, &w); err != nil {
		g.fleet.stats.corrupt.Add(1)
		return
	}
	g.ifRunning(func() {
		for _, rec := range g.fleet.mergeRecords(w) {
			g.broadcastRecord(rec)
		}
	})
}

// GetBroadcasts returns records to send along with other messages; memberlist.Delegate asks for it.
func (g *gossip) GetBroadcasts(overhead, limit int) [][]byte {
	return g.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns this node's full state, for an exchange with another node; memberlist.Delegate asks for it.
func (g *gossip) LocalState(bool) []byte {
	b, err := encoding.Marshal(g.fleet.fullState())
	if err != nil {
		return nil // cannot happen with records of plain values
	}
	return b
}

// MergeRemoteState merges another node's full state; memberlist.Delegate asks for it.
func (g *gossip) MergeRemoteState(b []byte, _ bool) { g.NotifyMsg(b) }

// broadcastRecord queues a record for gossip to all members.
func (g *gossip) broadcastRecord(rec Record) {
	if b, err := encoding.Marshal(gossipRecords{Records: []Record{rec}}); err == nil {
		g.queue.QueueBroadcast(broadcast{rec.Name, b})
	}
}

// broadcast is a record queued for gossip; a newer record of the same member replaces it.
type broadcast struct {
	name    string
	encoded []byte
}

// Name returns the name of the member; memberlist.NamedBroadcast asks for it.
func (w broadcast) Name() string { return w.name }

// Invalidates reports whether this record replaces another queued one.
func (w broadcast) Invalidates(o memberlist.Broadcast) bool {
	n, ok := o.(broadcast)
	return ok && n.name == w.name
}

// Message returns the encoded record.
func (w broadcast) Message() []byte { return w.encoded }

// Finished does nothing: no caller waits for the broadcast.
func (w broadcast) Finished() {}

// rejoin periodically exchanges state with a suspect member or an unreachable seed: memberlist forgets dead
// nodes, so the halves of a network partition would not find each other again. For convergencePeriod after
// a change it also exchanges state with other members.
func (g *gossip) rejoin(ctx context.Context) {
	pause, failed := time.Duration(0), time.Duration(0)
	for ctx.Err() == nil {
		to, unreachable := g.fleet.unreachable()
		met := unreachable
		if !unreachable || failed > 0 && g.fleet.random() < 0.5 { // unreachable members must not prevent the exchange with others
			if other, ok := g.fleet.convergenceTarget(); ok {
				to, met, unreachable = other, true, false
			}
		}
		pause = rejoinInterval
		if met {
			_, err := g.list.Join([]string{to})
			switch {
			case err != nil:
				g.fleet.options.Log.Debug("fleet: member not reached", "address", to, "err", err)
				failed = min(max(2*failed, rejoinInterval), maxRejoinPause)
				pause = failed
			case unreachable:
				pause, failed = rejoinInterval/4, 0 // there may be more unreachable members
			default:
				pause = 2 * rejoinInterval
			}
		}
		wait(ctx, time.Duration(float64(pause)*(0.75+0.5*g.fleet.random())))
	}
}

// leave announces that this node has left: to all by gossip, and to up to three over a reliable stream.
func (g *gossip) leave(rec Record, within time.Duration) {
	b, err := encoding.Marshal(gossipRecords{Records: []Record{rec}})
	if err != nil {
		return
	}
	g.broadcastRecord(rec)
	var sent sync.WaitGroup
	few := 0
	for _, n := range g.list.Members() {
		if n.Name == g.fleet.options.Name || few >= 3 {
			continue
		}
		few++
		sent.Go(func() { _ = g.list.SendReliable(n, b) }) // the recipients pass it on
	}
	allSent := make(chan struct{})
	go func() {
		sent.Wait()
		close(allSent)
	}()
	limit := time.NewTimer(within)
	defer limit.Stop()
	if err := g.list.Leave(within); err != nil {
		g.fleet.options.Log.Debug("fleet: leaving gossip failed", "err", err)
	}
	select {
	case <-allSent:
	case <-limit.C:
	}
}
