package dispatch

import "time"

// Settings are the parameters of admission and placement. A zero field takes its default.
type Settings struct {
	Narrow, Wide time.Duration // windows of the two send logs of an endpoint
	MostSends    int           // most entries of a send log
	Recover      time.Duration // time after a refusal in which a slice grows by its own size
	Cut          float64       // factor by which a further refusal reduces a slice
	LeastCut     float64       // lower bound of a slice, as a share of the runs served in a narrow window

	MostHeld    int           // most waiting requests of all services
	HoldShare   float64       // longest wait of a request, as a share of its route's target
	LeastRetry  time.Duration // shortest time after which a refused client may retry
	TrustLoad   time.Duration // time constant with which a reported load of other senders fades to the mean
	FullFor     time.Duration // time for which an endpoint counts as full that refused without a load
	QueueInAim  float64       // capacities that may queue at an endpoint if the answer is in time
	QueueLate   float64       // capacities that may run or queue at an endpoint if the answer is late
	EstimateAge time.Duration // time without a first word after which estimates refuse nobody
	LagFades    time.Duration // time constant with which the lateness of first words fades
	// Subsets of endpoints (subset.go).
	Sharers         float64       // senders that should share an endpoint by their subsets
	LeastSubset     int           // fewest endpoints of a subset: one may be ejected, one full
	OutsideSubset   time.Duration // cost of an endpoint outside the subset
	DoubtDeviations float64       // standard deviations by which the load of an endpoint outside the subset may be underestimated

	BulkHeadroom float64       // share of the capacity that bulk leaves free
	BulkFloor    float64       // share of the capacity that pressing bulk may use at any load
	Pressing     time.Duration // time before its due time from which bulk may use the headroom and need not wait for others

	LoadFactor, LoadSlack float64       // a load above factor x mean + slack is too much for further requests of a shared prefix
	FreeShare             float64       // share of the capacity up to which a load is never too much
	Reread                float64       // cost of reading a shared part again, as a multiple of the time it takes
	OtherZone             time.Duration // cost of an endpoint in another zone
	LoadCost              time.Duration // cost of an endpoint that is fully loaded
	ColdCost              float64       // cost of each ms that is left of a cold start, in ms

	SickFrom   float64       // failure score from which an endpoint is ejected
	OutLeast   time.Duration // shortest ejection
	OutMost    time.Duration // longest ejection
	CacheParts int           // most parts of prompts that are remembered for each endpoint
}

// orElse sets a value to a default if it is zero.
func orElse[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}

// withDefaults returns the settings with defaults in place of zero fields.
func (s Settings) withDefaults() Settings {
	orElse(&s.Narrow, 5*time.Second)
	orElse(&s.Wide, 12*s.Narrow)
	orElse(&s.MostSends, 8192)
	orElse(&s.Recover, time.Second)
	orElse(&s.Cut, 0.7)
	orElse(&s.LeastCut, 0.9)
	orElse(&s.MostHeld, 2048)
	orElse(&s.HoldShare, 0.25)
	orElse(&s.LeastRetry, 50*time.Millisecond)
	orElse(&s.TrustLoad, 1500*time.Millisecond)
	orElse(&s.FullFor, 60*time.Millisecond)
	orElse(&s.QueueInAim, 3)
	orElse(&s.QueueLate, 1)
	orElse(&s.EstimateAge, time.Second)
	orElse(&s.LagFades, 300*time.Millisecond)
	orElse(&s.Sharers, 4)
	orElse(&s.LeastSubset, 3)
	orElse(&s.OutsideSubset, 10*time.Millisecond)
	orElse(&s.DoubtDeviations, 3)
	orElse(&s.BulkHeadroom, 0.15)
	orElse(&s.BulkFloor, 0.1)
	orElse(&s.Pressing, 3*time.Second)
	orElse(&s.LoadFactor, 1.25)
	orElse(&s.LoadSlack, 1)
	orElse(&s.FreeShare, 0.25)
	orElse(&s.Reread, 1)
	orElse(&s.OtherZone, 4*time.Millisecond)
	orElse(&s.LoadCost, 20*time.Millisecond)
	orElse(&s.ColdCost, 0.2)
	orElse(&s.SickFrom, 2)
	orElse(&s.OutLeast, 500*time.Millisecond)
	orElse(&s.OutMost, 5*time.Second)
	orElse(&s.CacheParts, 2048)
	return s
}
