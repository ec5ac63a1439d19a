package quota

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"dunetide/internal/platform/telemetry"
)

// Counters of a proxy's side. None has a tenant among its labels, so their number is fixed.
var (
	requestsGranted     = requestCounter("granted")
	requestsExceeded    = requestCounter("exceeded")
	requestsUnavailable = requestCounter("unavailable")
	requestsLeft        = requestCounter("left") // the client was gone

	callsAnswered = telemetry.Counter("dunetide_proxy_quota_calls_total", "end", "answered")
	callsFailed   = telemetry.Counter("dunetide_proxy_quota_calls_total", "end", "failed") // or no answer within overdueAfter

	tokensStale     = telemetry.Counter("dunetide_proxy_quota_stale_tokens_total")
	refundsSent     = telemetry.Counter("dunetide_proxy_quota_refunds_total", "end", "sent")
	refundsDropped  = telemetry.Counter("dunetide_proxy_quota_refunds_total", "end", "dropped")
	notOwnerAnswers = telemetry.Counter("dunetide_proxy_quota_not_owner_total")
)

// requestCounter returns the counter of the requests that ended their wait for a token in some way.
func requestCounter(end string) *metrics.Counter {
	return telemetry.Counter("dunetide_proxy_quota_requests_total", "end", end)
}

// waitCounters count the requests that got a token or were refused by the time that they waited for that.
var waitCounters = []struct {
	limit   time.Duration
	counter *metrics.Counter
}{
	{5 * time.Millisecond, waitCounter("5ms")},
	{20 * time.Millisecond, waitCounter("20ms")},
	{100 * time.Millisecond, waitCounter("100ms")},
	{500 * time.Millisecond, waitCounter("500ms")},
	{1<<63 - 1, waitCounter("longer")},
}

func waitCounter(within string) *metrics.Counter {
	return telemetry.Counter("dunetide_proxy_quota_waits_total", "within", within)
}

// countWait counts a wait that ended with an answer of a store.
func countWait(wait time.Duration) {
	for _, c := range waitCounters {
		if wait <= c.limit {
			c.counter.Inc()
			return
		}
	}
}
