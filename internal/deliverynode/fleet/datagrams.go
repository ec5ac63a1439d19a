package fleet

import (
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// receiveAll passes datagrams to gossip until the transport is closed.
func (f *Fleet) receiveAll(transport Transport) {
	for {
		b, from, err := transport.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example an ICMP error for an earlier datagram to a closed port
			if f.ctx.Err() != nil {
				return
			}
			continue
		}
		f.stats.packetsIn.Add(1)
		f.stats.bytesIn.Add(int64(len(b)))
		payload, err := openPacket(f.key, b)
		var version VersionError
		switch {
		case errors.As(err, &version):
			f.refuse(from.String(), err)
			continue
		case errors.Is(err, errCorrupt):
			f.stats.corrupt.Add(1)
			continue
		case err != nil:
			f.stats.foreign.Add(1)
			continue
		}
		f.mu.Lock()
		g := f.gossip
		f.mu.Unlock()
		if g == nil {
			continue
		}
		select {
		case g.packets <- &memberlist.Packet{Buf: append([]byte(nil), payload...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}:
		default:
			f.stats.dropped.Add(1)
		}
	}
}
