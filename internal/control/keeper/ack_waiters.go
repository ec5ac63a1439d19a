package keeper

import "time"

// majorityWait is how long, after Options.PushWait, an acknowledgement that needs a majority of the voters waits for
// it. Both together are below the second after which an endpoint goes on to another keeper.
const majorityWait = 450 * time.Millisecond

// ackWaiter is an acknowledgement that waits until the attached processes, and the other keepers where that is asked
// for, have a change. The owner goroutine owns it until done is closed.
type ackWaiter struct {
	deadline time.Time // set by addWaiter

	// What an attached process must have in force; 0: it doesn't matter.

	listRevision        uint64
	configVersion       uint64
	certificatesVersion uint64

	pendingPeers int           // keepers that have yet to answer that they have the change
	voters       *voterAcks    // the voters of which a majority must know the change, or noVoterAcks
	enoughAcked  bool          // whether enough voters knew it in time; to be read once done is closed
	done         chan struct{} // closed once there is nothing more to wait for
}

func newAckWaiter() *ackWaiter {
	return &ackWaiter{voters: noVoterAcks(), done: make(chan struct{})}
}

// complete ends the wait.
func (w *ackWaiter) complete() {
	w.enoughAcked = w.voters.enough()
	close(w.done)
}

// finished reports whether there is nothing more to wait for: all have the change, or the time is over. Where a
// majority is needed and hasn't answered, the wait goes on for majorityWait while there are keepers that may still
// answer.
func (w *ackWaiter) finished(now time.Time, inForce bool) bool {
	if w.pendingPeers == 0 && inForce {
		return true
	}
	if now.Before(w.deadline) {
		return false
	}
	return w.voters.enough() || w.pendingPeers == 0 || !now.Before(w.deadline.Add(majorityWait))
}

// addWaiter begins a wait of Options.PushWait, and completes it at once if nothing is missing. What the attached
// processes lack is pushed before the owner goroutine runs its next command.
func (k *Keeper) addWaiter(w *ackWaiter) {
	now := time.Now()
	w.deadline = now.Add(k.options.PushWait)
	if w.finished(now, k.inForceEverywhere(w)) {
		w.complete()
		return
	}
	k.waiters = append(k.waiters, w)
}

// completeWaiters completes the waits that are finished.
func (k *Keeper) completeWaiters(now time.Time) {
	pending := k.waiters[:0]
	for _, w := range k.waiters {
		if !w.finished(now, k.inForceEverywhere(w)) {
			pending = append(pending, w)
			continue
		}
		w.complete()
	}
	clear(k.waiters[len(pending):])
	k.waiters = pending
}

// inForceEverywhere reports whether all attached processes have acknowledged what a waiter asks for.
func (k *Keeper) inForceEverywhere(w *ackWaiter) bool {
	for _, process := range k.attached {
		mark := process.acknowledged()
		if mark.configVersion < w.configVersion || mark.certificatesVersion < w.certificatesVersion ||
			process.wantsEndpoints && mark.listRevision < w.listRevision {
			return false
		}
	}
	return true
}
