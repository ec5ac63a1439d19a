package quorum

import "time"

// ReadBarrier batches linearizable reads: each key waits for a read that begins after the key was added, and one read
// serves all keys that were there when it began. One read is under way at a time.
type ReadBarrier[K comparable] struct {
	interval   time.Duration // from the beginning of a read to that of the next
	nextBegin  time.Duration
	pending    []K // they wait for the next read
	reading    []K // the read under way serves them
	inProgress bool
}

// NewReadBarrier returns a barrier whose reads begin at least an interval apart.
func NewReadBarrier[K comparable](interval time.Duration) *ReadBarrier[K] {
	return &ReadBarrier[K]{interval: interval}
}

// Add has keys wait for the next read.
func (b *ReadBarrier[K]) Add(keys ...K) { b.pending = append(b.pending, keys...) }

// Delay is how long it takes until a read may begin. Not ok: no key waits for one, or one is under way.
func (b *ReadBarrier[K]) Delay(now time.Duration) (delay time.Duration, ok bool) {
	if b.inProgress || len(b.pending) == 0 {
		return 0, false
	}
	return max(0, b.nextBegin-now), true
}

// Begin is called right before a read begins, for all keys that have been added. False: none may begin now.
func (b *ReadBarrier[K]) Begin(now time.Duration) bool {
	if delay, ok := b.Delay(now); !ok || delay > 0 {
		return false
	}
	b.inProgress, b.nextBegin = true, now+b.interval
	b.reading, b.pending = b.pending, nil
	return true
}

// End ends the read, and returns the keys it was for.
func (b *ReadBarrier[K]) End() []K {
	keys := b.reading
	b.reading, b.inProgress = nil, false
	return keys
}
