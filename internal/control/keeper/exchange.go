package keeper

import (
	"errors"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

const (
	// differsTwice is how many digests in a row differ before a keeper is asked for its list, askAgain how long it is not asked again.
	differsTwice = 2
	askAgain     = 3 * time.Second
	// closedWait is how long it may take until the end of a link that has ended is known.
	closedWait = 5 * time.Millisecond
)

// sendEntries tells a keeper of entries; then is called by the owner once it has them, or never will.
func (k *Keeper) sendEntries(c *link.Conn, list []registry.Entry, then func(error)) {
	w := link.Writer{}
	w.U32(uint32(len(list)))
	for i := range list {
		registry.AppendEntry(&w, &list[i])
	}
	ch := c.Go(controlclient.Entries, w.B)
	if then != nil {
		go func() { r := <-ch; k.do(func() { then(r.Err) }) }()
	}
}

// tellEntries tells all other keepers of changes. The waiter counts those that have yet to answer.
func (k *Keeper) tellEntries(list []registry.Entry, wait *waiter) {
	for _, p := range k.peers {
		if p.conn != nil {
			wait.peers++
			k.tellPeer(p, list, wait)
		}
	}
}

// tellPeer tells one of them, again where its link broke and another one is there.
func (k *Keeper) tellPeer(p *peer, list []registry.Entry, wait *waiter) {
	conn, id := p.conn, p.node.ID
	var answered func(err error)
	answered = func(err error) {
		if errors.Is(err, link.ErrClosed) && p.conn != nil && time.Now().Before(wait.until) {
			if p.conn != conn {
				k.tellPeer(p, list, wait)
			} else { // the end of the link is not known here yet
				time.AfterFunc(closedWait, func() { k.do(func() { answered(err) }) })
			}
			return
		}
		if err == nil {
			wait.quorum.confirm(id)
		}
		wait.peers--
		if now := time.Now(); wait.peers == 0 || !now.Before(wait.until) {
			k.wakeWaiters(now)
		}
	}
	k.sendEntries(conn, list, answered)
}

func (k *Keeper) attachedBody() []byte {
	w := link.Writer{}
	nodes := make([]controlclient.Node, 0, len(k.attached))
	for _, p := range k.attached {
		nodes = append(nodes, p.node)
	}
	controlclient.AppendNodes(&w, nodes)
	return w.B
}

func (k *Keeper) tellAttached() {
	body := k.attachedBody()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.Attached, body)
		}
	}
}

func (k *Keeper) sendHeard(now time.Time) {
	heard := k.table.Heard(k.since(now), true)
	w := link.Writer{}
	w.U32(uint32(len(heard)))
	for i := range heard {
		registry.AppendHeard(&w, &heard[i])
	}
	for _, sum := range k.digests() {
		w.U64(sum)
	}
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.Heard, w.B)
		}
	}
	k.sendReports()
}

func (k *Keeper) receiveHeard(now time.Time, m *link.Message) {
	r := link.Reader{B: m.Body}
	var list []registry.Heard
	for range r.Count(9) {
		h, err := registry.ReadHeard(&r)
		if err != nil {
			return
		}
		list = append(list, h)
	}
	var sums [registry.Parts]uint64
	for i := range sums {
		sums[i] = r.U64()
	}
	if r.Err != nil {
		return
	}
	changed, missing := k.table.MergeHeard(k.since(now), list)
	if len(changed) > 0 {
		k.dirty = true
	}
	if len(missing) > 0 || k.differs(now, m.Conn, sums) {
		_ = m.Conn.Send(controlclient.Missing, nil)
	}
}

// differs tells whether a keeper's list has differed for longer than a change is under way, so that it should be
// asked for its entries: changes may have been lost, and the keeper that sent them may be dead.
func (k *Keeper) differs(now time.Time, c *link.Conn, sums [registry.Parts]uint64) bool {
	l := k.conns[c]
	if l == nil {
		return false
	}
	if sums == k.digests() {
		l.peer.differs = 0
		return false
	}
	if l.peer.differs++; l.peer.differs < differsTwice || now.Sub(l.peer.asked) < askAgain {
		return false
	}
	l.peer.differs, l.peer.asked = 0, now
	return true
}

// digests are the list's, as of its change with that number.
type digests struct {
	number uint64
	sums   [registry.Parts]uint64
}

func (k *Keeper) digests() [registry.Parts]uint64 {
	if n := k.table.Newest(); n != k.sums.number {
		k.sums = digests{n, k.table.Digests()}
	}
	return k.sums.sums
}
