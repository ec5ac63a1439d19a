package quota

import (
	"math"
	"time"
)

// microTokens is an amount of tokens in millionths. Integers make the arithmetic the same on every processor.
type microTokens int64

const (
	token microTokens = 1_000_000 // one request

	// maxRate and maxBurst bound what a demand may state, so that no product overflows.
	maxRate        = 1e9 // tokens per second
	maxBurst       = 1e9 // tokens
	maxExcess      = 1
	maxSlackTokens = 1e9
	maxWindow      = 10 * time.Second

	millionths = 1_000_000
	msPerS     = 1000
)

// Slack is how far the rule on quotas lets the requests of a tenant exceed its limit: in any window, the requests that
// run may number (rate x window + burst) x (1 + Excess) + Tokens.
type Slack struct {
	Window time.Duration // bounds.quota_window_s in the settings
	Excess float64       // bounds.quota_excess, a share
	Tokens float64       // bounds.quota_slack, requests
}

// pace is what a bucket needs to know of a limit.
type pace struct {
	rate     microTokens // per second
	capacity microTokens // the level of a full bucket
}

// The slack S of a limit is divided between the capacity of each bucket and the levels at which buckets of new leads
// start, such that two changes of the lead within one window stay within S: 1/4 + 2 x 3/8 = 1.
const (
	slackParts         = 8
	capacitySlackParts = 2 // above the burst, for requests that overtake each other on the way to the store
	takeoverSlackParts = 3 // for the first level under a new lead
)

// Valid reports whether a limit can be counted.
func (l *Limit) Valid() bool {
	return l.RatePerSecond > 0 && l.RatePerSecond <= maxRate && l.Burst >= 0 && l.Burst <= maxBurst // false for NaN too
}

// micro converts a non-negative number of tokens.
func micro(tokens float64) microTokens { return microTokens(math.Floor(tokens * float64(token))) }

// of returns the slack of a limit. Settings beyond the bounds above count as these.
func (s *Slack) of(l *Limit) microTokens {
	windowMs := min(s.Window, maxWindow).Milliseconds()
	perWindow := micro(l.RatePerSecond)/msPerS*microTokens(windowMs) + micro(l.Burst)
	return perWindow/millionths*micro(min(s.Excess, maxExcess)) + micro(min(s.Tokens, maxSlackTokens))
}

// paceOf returns the pace of the buckets of a limit. A bucket holds one request at least, as it would grant none
// otherwise.
func (s *Slack) paceOf(l *Limit) pace {
	return pace{
		rate:     max(1, micro(l.RatePerSecond)),
		capacity: max(token, micro(l.Burst)+s.of(l)/slackParts*capacitySlackParts),
	}
}

// takeoverLevel returns the level at which a bucket may start while tokens that another store has granted still count.
func (s *Slack) takeoverLevel(l *Limit) microTokens { return s.of(l) / slackParts * takeoverSlackParts }

// refill returns what a bucket below its capacity gains in some time, and the thousandths of a microtoken that are left
// over, given those left over before.
func (p *pace) refill(level microTokens, elapsedMs, remainder int64) (gained microTokens, left int64) {
	missing := p.capacity - level
	if missing <= 0 {
		return 0, 0
	}
	if elapsedMs >= p.fillMs(missing) {
		return missing, 0
	}
	product := int64(p.rate)*elapsedMs + remainder
	gained = microTokens(product / msPerS)
	if gained >= missing {
		return missing, 0
	}
	return gained, product % msPerS
}

// fillMs returns the time in which a bucket gains an amount, in ms, rounded up.
func (p *pace) fillMs(amount microTokens) int64 {
	if amount <= 0 {
		return 0
	}
	return (int64(amount)*msPerS + int64(p.rate) - 1) / int64(p.rate)
}
