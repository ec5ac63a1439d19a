package keeper

import (
	"sync/atomic"

	"dunetide/internal/platform/link/linktest"
)

// relays forward the connections between the keepers of a rig. A cut direction passes no bytes, but its connections
// stay open. The relays count the bytes that keepers receive from each other.
type relays struct {
	*linktest.Relays
	cuts     linktest.Cuts
	keepers  int
	received []atomic.Int64 // bytes, by keeper
}

// startRelays makes the keepers of a rig dial each other through relays.
func (r *rig) startRelays() *relays {
	l := &relays{
		keepers:  len(r.running),
		received: make([]atomic.Int64, len(r.running)),
	}
	l.Relays = linktest.New(r.t, l.pass)
	r.relays = l
	return l
}

func (r *rig) dialAddress(i int) func(addr string) string {
	if r.relays == nil {
		return nil
	}
	return func(addr string) string {
		for j := range r.running {
			if addr == r.linkAddress(j) {
				return r.relays.Address(linktest.Direction{From: i, To: j}, addr)
			}
		}
		return addr
	}
}

// pass is a linktest.Gate: bytes are held back while their direction is cut. Connections still open and close.
func (l *relays) pass(way linktest.Direction, n int) (passed int, keep bool) {
	if n == 0 {
		return 0, true
	}
	if !l.cuts.Await(way, l.Done()) {
		return 0, false
	}
	l.received[way.To].Add(int64(n))
	return n, true
}

// cutOff stops all bytes from a keeper to the others, from the others to the keeper, or both.
func (l *relays) cutOff(i int, from, to bool) {
	for j := range l.keepers {
		if j == i {
			continue
		}
		if from {
			l.cut(i, j)
		}
		if to {
			l.cut(j, i)
		}
	}
}

// cut stops all bytes from one keeper to another.
func (l *relays) cut(from, to int) { l.cuts.Cut(linktest.Direction{From: from, To: to}) }

// heal ends all cuts. The bytes that were held back are delivered.
func (l *relays) heal() { l.cuts.Heal() }
