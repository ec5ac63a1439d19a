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
	done         chan struct{}
}

// wait ends a waiter once all attached processes have acknowledged a state of the list or of the configuration, or
// the time is over. What they lack is pushed before the owner waits for its next command.
func (k *Keeper) wait(w *waiter) {
	w.until = time.Now().Add(k.o.PushWait)
	if w.peers == 0 && k.inForceAt(w) {
		close(w.done)
		return
	}
	k.waiting = append(k.waiting, w)
}

func (k *Keeper) wakeWaiters(now time.Time) {
	left := k.waiting[:0]
	for _, w := range k.waiting {
		if now.Before(w.until) && (w.peers > 0 || !k.inForceAt(w)) {
			left = append(left, w)
			continue
		}
		close(w.done)
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
