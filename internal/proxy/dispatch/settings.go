package dispatch

import "time"

// Settings are the parameters of admission and placement. A zero field means the default that its
// comment gives. docs/placement.md has the measurements behind them.
type Settings struct {
	// Rate limits of an endpoint (ratelimit.go).

	ShortWindow   time.Duration // window of the short send log; 5 s
	LongWindow    time.Duration // window of the long send log; 12 short windows
	MaxLogEntries int           // entries of a send log, which bound its memory; 8192
	RateRecovery  time.Duration // time after a refusal in which a rate limit grows by its own size; 1 s
	RateCut       float64       // factor by which a further refusal reduces a rate limit; 0.7
	// MinServedShare is the lower bound of a reduced rate limit, as a share of the requests that
	// were served in the short window; 0.9. Without it a burst of refusals would push the limit
	// below the rate that the endpoint serves.
	MinServedShare float64

	// Queueing of requests (admission.go, queue.go).

	MaxQueued     int           // pending requests of all services; 2048
	MaxWaitShare  float64       // longest wait of a request, as a share of its route's latency target; 0.25
	MinRetryAfter time.Duration // shortest time after which a refused client may retry; 50 ms

	// Load of an endpoint (load.go, capacity.go).

	// LoadReportDecay is the time constant with which a reported load of other senders decays to the
	// mean of the pool; 1.5 s.
	LoadReportDecay time.Duration
	FullBackoff     time.Duration // time for which an endpoint counts as full after a refusal without a load report; 60 ms
	// QueueOnTime bounds the requests that queue at an endpoint, as a multiple of its slots, if the
	// answer is expected to meet its latency target; 3.
	QueueOnTime float64
	// QueueLate bounds the requests that run or queue at an endpoint, as a multiple of its slots, if
	// the answer is expected to miss its latency target; 1: a slot must be free, because a queue
	// that makes all requests late is worse than refusals.
	QueueLate      float64
	MaxEstimateAge time.Duration // time without a first token after which estimates refuse no request; 1 s
	LatenessDecay  time.Duration // time constant with which the lateness of first tokens decays; 300 ms

	// Subsets of endpoints (subset.go).

	SendersPerEndpoint float64       // target number of senders whose subsets have an endpoint; 4
	MinSubsetSize      int           // endpoints of a subset; 3, as one may be ejected and one full
	OutsideSubsetCost  time.Duration // cost of an endpoint outside the subset; 10 ms
	// UncertaintyDeviations is the number of standard deviations of independent arrivals that is
	// added to the load of an endpoint outside the subset; 3.
	UncertaintyDeviations float64

	// Bulk requests (capacity.go).

	BulkHeadroom float64       // share of the capacity that bulk leaves free for interactive requests; 0.15
	BulkFloor    float64       // share of the capacity that bulk near its due time may use at any load; 0.1
	BulkUrgency  time.Duration // time before its due time from which bulk may use the headroom, ahead of others; 3 s

	// Cost of an endpoint for a request (cost.go, affinity.go).

	// PreferredLoadFactor and PreferredLoadSlack bound the load of the preferred endpoints of a
	// prefix (consistent hashing with bounded loads): one whose load exceeds factor x mean + slack
	// costs more; 1.25 and 1 request.
	PreferredLoadFactor, PreferredLoadSlack float64
	// PreferredLoadFloor is the share of the capacity up to which a load is never too high; 0.25.
	PreferredLoadFloor float64
	// RereadCost is the cost of prefilling a shared part again, as a multiple of the time it takes;
	// 1.
	RereadCost    float64
	OtherZoneCost time.Duration // cost of an endpoint in another zone; 4 ms
	LoadCost      time.Duration // cost of an endpoint that is fully loaded; 20 ms
	WarmUpCost    float64       // cost of each remaining ms of a warm-up, in ms; 0.2

	// Ejection of outliers (ejection.go).

	EjectionScore float64       // failure score from which an endpoint is ejected; 2, so that a single failure does not suffice
	MinEjection   time.Duration // shortest ejection; 500 ms
	MaxEjection   time.Duration // longest ejection; 5 s

	MaxCacheEntries int // prompt parts that are recorded for each endpoint (prefixcache.go); 2048
}

// setDefault sets a value to a default if it is zero.
func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

// withDefaults returns the settings with defaults in place of zero fields.
func (s Settings) withDefaults() Settings {
	setDefault(&s.ShortWindow, 5*time.Second)
	setDefault(&s.LongWindow, 12*s.ShortWindow)
	setDefault(&s.MaxLogEntries, 8192)
	setDefault(&s.RateRecovery, time.Second)
	setDefault(&s.RateCut, 0.7)
	setDefault(&s.MinServedShare, 0.9)
	setDefault(&s.MaxQueued, 2048)
	setDefault(&s.MaxWaitShare, 0.25)
	setDefault(&s.MinRetryAfter, 50*time.Millisecond)
	setDefault(&s.LoadReportDecay, 1500*time.Millisecond)
	setDefault(&s.FullBackoff, 60*time.Millisecond)
	setDefault(&s.QueueOnTime, 3)
	setDefault(&s.QueueLate, 1)
	setDefault(&s.MaxEstimateAge, time.Second)
	setDefault(&s.LatenessDecay, 300*time.Millisecond)
	setDefault(&s.SendersPerEndpoint, 4)
	setDefault(&s.MinSubsetSize, 3)
	setDefault(&s.OutsideSubsetCost, 10*time.Millisecond)
	setDefault(&s.UncertaintyDeviations, 3)
	setDefault(&s.BulkHeadroom, 0.15)
	setDefault(&s.BulkFloor, 0.1)
	setDefault(&s.BulkUrgency, 3*time.Second)
	setDefault(&s.PreferredLoadFactor, 1.25)
	setDefault(&s.PreferredLoadSlack, 1)
	setDefault(&s.PreferredLoadFloor, 0.25)
	setDefault(&s.RereadCost, 1)
	setDefault(&s.OtherZoneCost, 4*time.Millisecond)
	setDefault(&s.LoadCost, 20*time.Millisecond)
	setDefault(&s.WarmUpCost, 0.2)
	setDefault(&s.EjectionScore, 2)
	setDefault(&s.MinEjection, 500*time.Millisecond)
	setDefault(&s.MaxEjection, 5*time.Second)
	setDefault(&s.MaxCacheEntries, 2048)
	return s
}
