package quota

import (
	"math"
	"time"
)

// bucket is a token bucket without a clock. Times are in ms on a monotonic clock, and never go back.
//
// Invariant: in any span of time, the tokens that were granted and not refunded number at most rate x span + capacity.
// A bucket without refunds has it, as it never gains more than the rate nor holds more than the capacity. A refund must
// not simply raise the level: a grant that never was leaves a fuller bucket, which overflows earlier, so part of the
// refill since then would not have been gained. Therefore the level after a refund is computed from the history, as
// that of a bucket which has granted only what was not refunded, and the invariant holds for this bucket.
type bucket struct {
	pace
	level     microTokens
	atMs      int64 // when the level was last computed
	remainder int64 // thousandths of a microtoken that were gained beyond the level
	history   history
}

// newBucket returns a bucket with a level, at most its capacity.
func newBucket(p pace, nowMs int64, level microTokens) *bucket {
	b := &bucket{pace: p, level: min(level, p.capacity), atMs: nowMs}
	b.history.restart(nowMs, b.level)
	return b
}

// advance computes the level at a time.
func (b *bucket) advance(nowMs int64) {
	if nowMs <= b.atMs {
		return
	}
	gained, remainder := b.refill(b.level, nowMs-b.atMs, b.remainder)
	b.level += gained
	b.remainder = remainder
	b.atMs = nowMs
	b.history.advance(&b.pace, nowMs, b.level)
}

// available returns how many of the wanted tokens there are.
func (b *bucket) available(nowMs int64, wanted uint32) uint32 {
	b.advance(nowMs)
	if b.level < token {
		return 0
	}
	return uint32(min(int64(wanted), int64(b.level/token)))
}

// take grants as many of the wanted tokens as there are.
func (b *bucket) take(nowMs int64, wanted uint32) (granted uint32) {
	granted = b.available(nowMs, wanted)
	if granted > 0 {
		b.level -= microTokens(granted) * token
		b.history.add(b.atMs, granted)
	}
	return granted
}

// refund takes back tokens of a grant. Those of a grant that is no longer in the history are lost.
func (b *bucket) refund(nowMs, grantedMs int64, tokens uint32) {
	b.advance(nowMs)
	if b.history.remove(grantedMs, b.atMs, tokens) {
		b.level = max(b.level, b.history.level(&b.pace, b.atMs))
	}
}

// setPace changes the limit. A lower capacity cuts off what the bucket holds beyond it. A higher one is filled at the
// new rate: if it were filled at once, limits that go down and up again would grant a burst each time. Earlier grants
// can no longer be refunded.
func (b *bucket) setPace(nowMs int64, p pace) {
	b.advance(nowMs)
	b.pace = p
	b.level = min(b.level, p.capacity)
	b.remainder = 0
	b.history.forget(b.atMs, b.level)
}

// lower cuts the level off at another one. Earlier grants can no longer be refunded.
func (b *bucket) lower(level microTokens) {
	if level < b.level {
		b.level = level
		b.history.forget(b.atMs, b.level)
	}
}

// retryAfter returns the time until the bucket has a token.
func (b *bucket) retryAfter() time.Duration {
	waitMs := b.fillMs(token - b.level)
	return time.Duration(min(waitMs, math.MaxUint32)) * time.Millisecond
}

// full reports whether the bucket is at its capacity. A full bucket remembers nothing of earlier grants.
func (b *bucket) full(nowMs int64) bool {
	b.advance(nowMs)
	return b.level >= b.capacity
}
