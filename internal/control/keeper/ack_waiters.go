package keeper

import "time"

// majorityWait is how much longer than Options.PushWait an acknowledgement waits if it needs a majority of the voters.
// The sum is below the 1 s after which an endpoint retries at another keeper.
const majorityWait = 450 * time.Millisecond

// ackWaiter is a pending acknowledgement of a change. It waits until the attached processes and, where required, the
// other keepers have the change. The owner goroutine owns it until done is closed.
type ackWaiter struct {
	deadline time.Time // set by addWaiter

	// Minimum versions that every attached process must have in force; 0: no requirement.

	listRevision        uint64
	configVersion       uint64
	certificatesVersion uint64

	pendingKeepers int           // keepers, this one included, that haven't confirmed the change yet
	voters         *voterAcks    // confirmations by a majority of the voters, or noVoterAcks
	enoughAcked    bool          // whether enough voters confirmed in time; valid once done is closed
	done           chan struct{} // closed when the wait ends
}

func newAckWaiter() *ackWaiter {
	return &ackWaiter{voters: noVoterAcks(), done: make(chan struct{})}
}

// complete ends the wait.
func (w *ackWaiter) complete() {
	w.enoughAcked = w.voters.enough()
	close(w.done)
}

// finished reports whether the wait is over: all have the change, or the deadline has passed. If a required majority
// hasn't confirmed yet, the wait is extended by majorityWait as long as replies of keepers are pending.
func (w *ackWaiter) finished(now time.Time, inForce bool) bool {
	if w.pendingKeepers == 0 && inForce {
		return true
	}
	if now.Before(w.deadline) {
		return false
	}
	return w.voters.enough() || w.pendingKeepers == 0 || !now.Before(w.deadline.Add(majorityWait))
}

// addWaiter starts a wait of Options.PushWait, and completes it immediately if nothing is missing. The owner goroutine
// pushes what the attached processes lack when it has run its queued commands.
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

// inForceEverywhere reports whether all attached processes have acknowledged the versions that a waiter requires.
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
