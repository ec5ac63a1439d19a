package keeper

import (
	"errors"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

const (
	// mismatchesBeforeRequest is how many liveness messages in a row have to differ in their digests before their
	// sender is asked for its list. One may differ as a change is under way.
	mismatchesBeforeRequest = 2
	// entriesRequestInterval is how often one keeper is asked for its list because of that.
	entriesRequestInterval = 3 * time.Second
	// linkEndDelay is how long it takes at the most until the end of a link is known to the owner goroutine.
	linkEndDelay = 5 * time.Millisecond
	// minLivenessBytes bounds the encoded size of a registry.Liveness from below.
	minLivenessBytes = 9
)

// sendEntries sends entries of the endpoint list to a keeper. done, which may be nil, runs on the owner goroutine once
// the keeper has answered, or never will.
func (k *Keeper) sendEntries(conn *link.Conn, entries []registry.Entry, done func(error)) {
	reply := conn.Go(controlclient.KindEndpoints, encodeEntries(entries))
	if done != nil {
		go func() { // it ends with the link at the latest
			answer := <-reply
			k.submit(func() { done(answer.Err) })
		}()
	}
}

// broadcastEntries sends changes to all other keepers. The waiter counts those that have yet to answer.
func (k *Keeper) broadcastEntries(entries []registry.Entry, waiter *ackWaiter) {
	for _, p := range k.peers {
		if p.conn != nil {
			waiter.pendingPeers++
			k.sendTrackedEntries(p, entries, waiter)
		}
	}
}

// sendTrackedEntries sends changes to one keeper, and again if the link breaks and another one takes its place in time.
func (k *Keeper) sendTrackedEntries(p *peer, entries []registry.Entry, waiter *ackWaiter) {
	conn, id := p.conn, p.node.ID
	var answered func(err error)
	answered = func(err error) {
		if errors.Is(err, link.ErrClosed) && p.conn != nil && time.Now().Before(waiter.deadline) {
			if p.conn != conn {
				k.sendTrackedEntries(p, entries, waiter)
			} else { // the end of the link isn't known here yet
				time.AfterFunc(linkEndDelay, func() { k.submit(func() { answered(err) }) })
			}
			return
		}
		if err == nil {
			waiter.voters.confirm(id)
		}
		waiter.pendingPeers--
		if now := time.Now(); waiter.pendingPeers == 0 || !now.Before(waiter.deadline) {
			k.completeWaiters(now)
		}
	}
	k.sendEntries(conn, entries, answered)
}

// broadcastLiveness sends the other keepers, twice per heartbeat interval, when which endpoint was heard from, the
// digests of the endpoint list, and the report.
func (k *Keeper) broadcastLiveness(now time.Time) {
	body := k.encodeLiveness(now)
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindLiveness, body) // the next one comes soon
		}
	}
	k.broadcastReport()
}

func (k *Keeper) encodeLiveness(now time.Time) []byte {
	heard := k.endpoints.Liveness(k.sinceStart(now), true)
	w := link.Writer{}
	w.U32(uint32(len(heard)))
	for i := range heard {
		registry.AppendLiveness(&w, &heard[i])
	}
	for _, digest := range k.endpointDigests() {
		w.U64(digest)
	}
	return w.Buf
}

func decodeLiveness(body []byte) (heard []registry.Liveness, digests [registry.DigestBuckets]uint64, err error) {
	r := link.Reader{Buf: body}
	for range r.Count(minLivenessBytes) {
		h, err := registry.ReadLiveness(&r)
		if err != nil {
			return nil, digests, err
		}
		heard = append(heard, h)
	}
	for i := range digests {
		digests[i] = r.U64()
	}
	return heard, digests, r.Err
}

// handleLiveness merges when another keeper has heard from which endpoint, and asks it for its list if it knows of
// more, or has differed for too long.
func (k *Keeper) handleLiveness(now time.Time, m *link.Message) {
	heard, digests, err := decodeLiveness(m.Body)
	if err != nil {
		return // the next one comes soon
	}
	changed, missing := k.endpoints.MergeLiveness(k.sinceStart(now), heard)
	if len(changed) > 0 {
		k.pushNeeded = true
	}
	if len(missing) > 0 || k.needsEntries(now, m.Conn, digests) {
		_ = m.Conn.Send(controlclient.KindEndpointsRequest, nil) // it is asked again after the next one
	}
}

// needsEntries reports whether a keeper's list has differed for longer than a change takes to arrive, so that it
// should be asked for its entries: changes may have been lost, and the keeper that sent them may be dead.
func (k *Keeper) needsEntries(now time.Time, conn *link.Conn, digests [registry.DigestBuckets]uint64) bool {
	l := k.peerLinks[conn]
	if l == nil {
		return false
	}
	p := l.peer
	if digests == k.endpointDigests() {
		p.digestMismatches = 0
		return false
	}
	p.digestMismatches++
	if p.digestMismatches < mismatchesBeforeRequest || now.Sub(p.entriesRequestedAt) < entriesRequestInterval {
		return false
	}
	p.digestMismatches, p.entriesRequestedAt = 0, now
	return true
}

// listDigests are the digests of the endpoint list at a revision.
type listDigests struct {
	revision uint64
	digests  [registry.DigestBuckets]uint64
}

// endpointDigests returns the digests of the endpoint list, which are worked out once per revision.
func (k *Keeper) endpointDigests() [registry.DigestBuckets]uint64 {
	if revision := k.endpoints.LastChange(); revision != k.digestCache.revision {
		k.digestCache = listDigests{revision, k.endpoints.Digests()}
	}
	return k.digestCache.digests
}
