package quorum

import "time"

// ReadBarrier batches linearizable reads: each key waits for a read that begins after the key was added, and one read
// serves all keys added before it began. One read is in progress at a time.
type ReadBarrier[K comparable] struct {
	interval   time.Duration // minimum time between the starts of two reads
	nextBegin  time.Duration
	pending    []K // keys that wait for the next read
	reading    []K // keys served by the read in progress
	inProgress bool
}

// NewReadBarrier returns a barrier whose reads begin at least interval apart.
func NewReadBarrier[K comparable](interval time.Duration) *ReadBarrier[K] {
	return &ReadBarrier[K]{interval: interval}
}

// Add queues keys for the next read.
func (b *ReadBarrier[K]) Add(keys ...K) { b.pending = append(b.pending, keys...) }

// Delay returns the time until a read may begin; false if no key waits for a read, or if one is in progress.
func (b *ReadBarrier[K]) Delay(now time.Duration) (delay time.Duration, ok bool) {
	if b.inProgress || len(b.pending) == 0 {
		return 0, false
	}
	return max(0, b.nextBegin-now), true
}

// Begin must be called immediately before a read, which serves all pending keys. It returns false if no read may begin
// now.
func (b *ReadBarrier[K]) Begin(now time.Duration) bool {
	if delay, ok := b.Delay(now); !ok || delay > 0 {
		return false
	}
	b.inProgress, b.nextBegin = true, now+b.interval
	b.reading, b.pending = b.pending, nil
	return true
}

// End ends the read in progress and returns the keys that it served.
func (b *ReadBarrier[K]) End() []K {
	keys := b.reading
	b.reading, b.inProgress = nil, false
	return keys
}
