package keeper

import (
	"errors"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

const (
	// mismatchesBeforeRequest is how many consecutive liveness messages must have differing digests before their
	// sender is asked for its list. A single one may differ because a change is in flight.
	mismatchesBeforeRequest = 2
	// entriesRequestInterval is the minimum time between two such requests to the same keeper.
	entriesRequestInterval = 3 * time.Second
	// linkEndDelay is an upper bound on the time until the owner goroutine learns that a link has ended.
	linkEndDelay = 5 * time.Millisecond
	// minLivenessBytes is a lower bound on the encoded size of a registry.Liveness.
	minLivenessBytes = 9
)

// sendEntries sends entries of the endpoint list to a keeper. done, which may be nil, runs on the owner goroutine once
// the keeper has answered or the link has ended.
func (k *Keeper) sendEntries(conn *link.Conn, entries []registry.Entry, done func(error)) {
	reply := conn.Go(controlclient.KindEndpoints, encodeEntries(entries))
	if done != nil {
		go func() { // it ends with the link at the latest
			answer := <-reply
			k.submit(func() { done(answer.Err) })
		}()
	}
}

// broadcastEntries sends changed entries to all other keepers. The waiter counts the pending replies.
func (k *Keeper) broadcastEntries(entries []registry.Entry, waiter *ackWaiter) {
	for _, p := range k.peers {
		if p.conn != nil {
			waiter.pendingKeepers++
			k.sendTrackedEntries(p, entries, waiter)
		}
	}
}

// sendTrackedEntries sends changed entries to one keeper. If the link breaks and is replaced before the waiter's
// deadline, it sends them again.
func (k *Keeper) sendTrackedEntries(p *peer, entries []registry.Entry, waiter *ackWaiter) {
	conn, id := p.conn, p.node.ID
	var answered func(err error)
	answered = func(err error) {
		if errors.Is(err, link.ErrClosed) && p.conn != nil && time.Now().Before(waiter.deadline) {
			if p.conn != conn {
				k.sendTrackedEntries(p, entries, waiter)
			} else { // the owner goroutine hasn't processed the end of the link yet
				time.AfterFunc(linkEndDelay, func() { k.submit(func() { answered(err) }) })
			}
			return
		}
		k.keeperAnswered(waiter, id, err)
	}
	k.sendEntries(conn, entries, answered)
}

// storeTrackedEnds stores the ends among the entries on this keeper's disk. The waiter counts it as the other keepers.
func (k *Keeper) storeTrackedEnds(now time.Time, entries []registry.Entry, waiter *ackWaiter) {
	waiter.pendingKeepers++
	k.ends.store(now, entries, func(err error) { k.keeperAnswered(waiter, k.registers.id, err) })
}

// keeperAnswered records whether a keeper has confirmed a change.
func (k *Keeper) keeperAnswered(waiter *ackWaiter, id uint64, err error) {
	if err == nil {
		waiter.voters.confirm(id)
	}
	waiter.pendingKeepers--
	if now := time.Now(); waiter.pendingKeepers == 0 || !now.Before(waiter.deadline) {
		k.completeWaiters(now)
	}
}

// broadcastLiveness sends the other keepers the time of each endpoint's last heartbeat, the digests of the endpoint
// list, and this keeper's report. It is called twice per heartbeat interval.
func (k *Keeper) broadcastLiveness(now time.Time) {
	body := k.encodeLiveness(now)
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindLiveness, body) // if it is lost, the next one follows soon
		}
	}
	k.broadcastReport()
}

func (k *Keeper) encodeLiveness(now time.Time) []byte {
	liveness := k.endpoints.Liveness(k.sinceStart(now), true)
	w := link.Writer{}
	w.U32(uint32(len(liveness)))
	for i := range liveness {
		registry.AppendLiveness(&w, &liveness[i])
	}
	for _, digest := range k.endpointDigests() {
		w.U64(digest)
	}
	return w.Buf
}

func decodeLiveness(body []byte) (liveness []registry.Liveness, digests [registry.DigestBuckets]uint64, err error) {
	r := link.Reader{Buf: body}
	for range r.Count(minLivenessBytes) {
		h, err := registry.ReadLiveness(&r)
		if err != nil {
			return nil, digests, err
		}
		liveness = append(liveness, h)
	}
	for i := range digests {
		digests[i] = r.U64()
	}
	return liveness, digests, r.Err
}

// handleLiveness merges the heartbeat times of another keeper, and requests that keeper's list if it has endpoints that
// are missing here, or if the digests have differed for too long.
func (k *Keeper) handleLiveness(now time.Time, m *link.Message) {
	liveness, digests, err := decodeLiveness(m.Body)
	if err != nil {
		return // the next message follows soon
	}
	changed, missing := k.endpoints.MergeLiveness(k.sinceStart(now), liveness)
	if len(changed) > 0 {
		k.pushNeeded = true
	}
	if len(missing) > 0 || k.needsEntries(now, m.Conn, digests) {
		_ = m.Conn.Send(controlclient.KindEndpointsRequest, nil) // if it is lost, the next liveness message triggers another one
	}
}

// needsEntries reports whether a keeper's list has differed for longer than a change takes to propagate, so that its
// entries should be requested: changes may have been lost, and the keeper that sent them may have crashed.
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

// listDigests holds the digests of the endpoint list at a revision.
type listDigests struct {
	revision uint64
	digests  [registry.DigestBuckets]uint64
}

// endpointDigests returns the digests of the endpoint list, which are computed once per revision.
func (k *Keeper) endpointDigests() [registry.DigestBuckets]uint64 {
	if revision := k.endpoints.LastChange(); revision != k.digestCache.revision {
		k.digestCache = listDigests{revision, k.endpoints.Digests()}
	}
	return k.digestCache.digests
}
