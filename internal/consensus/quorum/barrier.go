package quorum

import "time"

// Barrier batches linearizable reads: each key waits for a read that begins after the key was added, and one read
// serves all keys that were there when it began. One read is under way at a time.
type Barrier[K comparable] struct {
	spacing time.Duration // from the beginning of a read to that of the next
	next    time.Duration
	waiting []K
	reading []K
	busy    bool
}

// NewBarrier returns a barrier whose reads begin at least so far apart.
func NewBarrier[K comparable](spacing time.Duration) *Barrier[K] {
	return &Barrier[K]{spacing: spacing}
}

// Add has a key wait for the next read.
func (b *Barrier[K]) Add(keys ...K) { b.waiting = append(b.waiting, keys...) }

// Delay is how long it takes until a read may begin. Not ok: nobody waits for one, or one is under way.
func (b *Barrier[K]) Delay(now time.Duration) (delay time.Duration, ok bool) {
	if b.busy || len(b.waiting) == 0 {
		return 0, false
	}
	return max(0, b.next-now), true
}

// Begin is called right before a read begins, for all that have been added. False: none is to begin now.
func (b *Barrier[K]) Begin(now time.Duration) bool {
	if delay, ok := b.Delay(now); !ok || delay > 0 {
		return false
	}
	b.busy, b.next = true, now+b.spacing
	b.reading, b.waiting = b.waiting, nil
	return true
}

// Done ends the read, and gives the keys it was for.
func (b *Barrier[K]) Done() []K {
	keys := b.reading
	b.reading, b.busy = nil, false
	return keys
}
