package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// testPace is a limit of 100 requests per second and a burst of 50 without any slack.
var testPace = pace{rate: 100 * token, capacity: 50 * token}

// TestBucketGrantsItsRateAndBurst guards against a bucket that grants more or less than its limit.
func TestBucketGrantsItsRateAndBurst(t *testing.T) {
	b := newBucket(testPace, 1000, testPace.capacity)
	if got := b.take(1000, 60); got != 50 {
		t.Errorf("a full bucket granted %d", got)
	}
	if got := b.retryAfter(); got != 10*time.Millisecond {
		t.Errorf("retry after %v", got)
	}
	if got := b.take(1009, 1); got != 0 {
		t.Errorf("granted %d before the time", got)
	}
	if got := b.take(1010, 1); got != 1 {
		t.Errorf("granted %d in time", got)
	}
	granted := uint32(0)
	for ms := int64(1011); ms <= 11_010; ms++ {
		granted += b.take(ms, 3)
	}
	if granted != 1000 {
		t.Errorf("granted %d in 10 s", granted)
	}
}

// TestFractionsOfTokensAreNotLost guards against a rate whose tokens per ms are no whole microtokens.
func TestFractionsOfTokensAreNotLost(t *testing.T) {
	b := newBucket(pace{rate: 333_333, capacity: 10 * token}, 0, 0)
	granted := uint32(0)
	for ms := int64(0); ms <= 300_001; ms++ {
		granted += b.take(ms, 1)
	}
	if granted != 100 {
		t.Errorf("granted %d of 100", granted)
	}
}

// TestLargestLimitDoesNotOverflow guards against products beyond 64 bits.
func TestLargestLimitDoesNotOverflow(t *testing.T) {
	slack := Slack{Window: time.Hour, Excess: 7, Tokens: 1e15}
	p := slack.paceOf(&Limit{RatePerSecond: maxRate, Burst: maxBurst})
	if p.capacity < maxBurst*token || p.rate != maxRate*token {
		t.Fatalf("%+v", p)
	}
	b := newBucket(p, 0, 0)
	for _, ms := range []int64{1, 2, 1000, 100_000, 1 << 50} {
		before := b.level
		b.advance(ms)
		if b.level < before || b.level > p.capacity {
			t.Fatalf("level %d after %d at %d ms", b.level, before, ms)
		}
	}
	if b.level != p.capacity {
		t.Errorf("level %d of %d", b.level, p.capacity)
	}
}

// TestChangeOfLimit guards against a lower limit that leaves the old burst, and a higher one that has no effect.
func TestChangeOfLimit(t *testing.T) {
	b := newBucket(testPace, 0, testPace.capacity)
	b.setPace(0, pace{rate: 10 * token, capacity: 5 * token})
	if got := b.take(0, 50); got != 5 {
		t.Errorf("granted %d after the limit was lowered", got)
	}
	b.setPace(0, testPace)
	if got := b.take(100, 50); got != 10 {
		t.Errorf("granted %d 0.1 s after the limit was raised", got)
	}
}

// TestRefundReturnsTokens guards against refunds that have no effect.
func TestRefundReturnsTokens(t *testing.T) {
	b := newBucket(testPace, 1000, testPace.capacity)
	b.take(1000, 50)
	b.refund(1005, 1000, 20)
	if got := b.take(1005, 50); got != 20 {
		t.Errorf("granted %d after a refund of 20", got)
	}
	b.refund(1005, 1000, 100)
	if got := b.take(1005, 100); got != 50 {
		t.Errorf("granted %d after more was refunded than was granted", got)
	}
	b.take(5000, 50)
	b.refund(5000+slotMs*historySlots, 5000, 50)
	if b.level > b.capacity {
		t.Errorf("level %d", b.level)
	}
}

// TestRefundAtTheTimeOfTheGrant guards against a grant that is not subtracted when its bucket began in the same ms.
func TestRefundAtTheTimeOfTheGrant(t *testing.T) {
	for start := int64(1000); start <= 1000+slotMs; start++ {
		b := newBucket(testPace, start, 30*token)
		b.take(start, 30)
		b.refund(start, start, 7)
		if got := b.take(start, 50); got != 7 {
			t.Errorf("granted %d after a refund of 7 at %d ms", got, start)
		}
	}
}

// TestRefundOfAForgottenGrant guards against a burst beyond the limit: a bucket that was full since the grant, or would
// have been without it, has nothing to return.
func TestRefundOfAForgottenGrant(t *testing.T) {
	b := newBucket(testPace, 1000, testPace.capacity)
	b.take(1000, 50)
	b.take(1600, 0) // full again
	b.take(1600, 50)
	b.refund(1600, 1000, 50)
	if got := b.take(1600, 50); got != 0 {
		t.Errorf("granted %d twice", got)
	}
	b = newBucket(testPace, 1000, testPace.capacity)
	b.take(1000, 25)
	b.take(1200, 45) // without the first grant the bucket would have had 50, and 5 now
	b.refund(1200, 1000, 25)
	if got := b.take(1200, 50); got > 5 {
		t.Errorf("granted %d of 5", got)
	}
}

// refundableGrant is a grant of a drawn history whose tokens may still be refunded.
type refundableGrant struct {
	ms     int64
	tokens uint32
}

// TestNoWindowExceedsTheLimit draws histories of demands, refunds and pauses. It guards against refunds that let more
// requests run in some window than rate x window + capacity. The account knows the grants and refunds alone.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := pace{rate: microTokens(1+rng.IntN(300)) * token, capacity: microTokens(1+rng.IntN(200)) * token}
		start := int64(rng.IntN(3 * slotMs))
		ledger := playBucket(rng, newBucket(p, start, p.capacity), start)
		for i := range ledger {
			sum := microTokens(0)
			for _, g := range ledger[i:] {
				sum += microTokens(g.tokens) * token
				if bound := p.rate/msPerS*microTokens(g.ms-ledger[i].ms) + p.capacity; sum > bound {
					t.Fatalf("seed %d: %d microtokens from %d to %d ms, at most %d", seed, sum, ledger[i].ms, g.ms, bound)
				}
			}
		}
	}
}

// playBucket draws a history of 8 s, and returns the grants less their refunds.
func playBucket(rng *rand.Rand, b *bucket, start int64) (ledger []refundableGrant) {
	refundShare, mostPause := rng.Float64(), 1+rng.IntN(120)
	for ms := start; ms < 8000; ms += 1 + int64(rng.IntN(mostPause)) {
		if granted := b.take(ms, uint32(rng.IntN(60))); granted > 0 {
			ledger = append(ledger, refundableGrant{ms, granted})
		}
		if len(ledger) > 0 && rng.Float64() < refundShare {
			g := &ledger[len(ledger)-1-rng.IntN(min(len(ledger), 20))]
			if tokens := uint32(rng.IntN(int(g.tokens) + 1)); tokens > 0 {
				g.tokens -= tokens
				b.refund(ms, g.ms, tokens)
			}
		}
	}
	return ledger
}
