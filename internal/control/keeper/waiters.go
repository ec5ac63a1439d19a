package keeper

import "time"

// waiter is an answer that waits until pushes are acknowledged.
type waiter struct {
	until  time.Time
	change uint64
	config uint64
	// certificates is their version.
	certificates uint64
	peers        int // keepers that have yet to say that they have it
	// quorum is the majority that has to know it before it may be acknowledged; nil: none has to.
	quorum  *confirmations
	quorate bool // whether the majority knew it in time; to be read once done is closed
	done    chan struct{}
}

// end lets whoever waits go on.
func (w *waiter) end() {
	w.quorate = w.quorum.reached()
	close(w.done)
}

// over reports whether nothing more is to be waited for: all have it, or the time is over. Where a majority is needed and has not
// answered, it goes on for quorumWait while there are keepers that may still answer.
func (w *waiter) over(now time.Time, inForce bool) bool {
	if w.peers == 0 && inForce {
		return true
	}
	if now.Before(w.until) {
		return false
	}
	return w.quorum.reached() || w.peers == 0 || !now.Before(w.until.Add(quorumWait))
}

// wait ends a waiter once all attached processes have acknowledged a state of the list or of the configuration, or
// it is over. What they lack is pushed before the owner waits for its next command.
func (k *Keeper) wait(w *waiter) {
	w.until = time.Now().Add(k.o.PushWait)
	if w.over(time.Now(), k.inForceAt(w)) {
		w.end()
		return
	}
	k.waiting = append(k.waiting, w)
}

func (k *Keeper) wakeWaiters(now time.Time) {
	left := k.waiting[:0]
	for _, w := range k.waiting {
		if !w.over(now, k.inForceAt(w)) {
			left = append(left, w)
			continue
		}
		w.end()
	}
	clear(k.waiting[len(left):])
	k.waiting = left
}

func (k *Keeper) inForceAt(w *waiter) bool {
	for _, p := range k.attached {
		m := p.inForce()
		if m.version < w.config || m.certificates < w.certificates || p.endpoints && m.change < w.change {
			return false
		}
	}
	return true
}
