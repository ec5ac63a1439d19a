package dispatch

import "time"

// Settings are the figures of admission and placement. Zero fields take their defaults.
type Settings struct {
	Narrow, Wide time.Duration // windows of the send logs
	MostSends    int           // entries a log keeps
	Recover      time.Duration // after a refusal a slice grows by itself in this time, while no other comes
	Cut          float64       // what a further refusal leaves of a slice
	LeastCut     float64       // but no less than this of what was served in a narrow window

	MostHeld     int           // requests in the hold, over all services
	HoldShare    float64       // of a route's target, the longest a request is held
	LeastRetry   time.Duration // the least that a refused client is told
	TrustLoad    time.Duration // in which what others are told to run fades to their mean
	FullFor      time.Duration // an endpoint that refused without telling its load counts as full
	QueueInAim   float64       // capacities that may queue at an endpoint while the answer is in aim
	QueueLate    float64       // capacities that may be taken or queue where the answer will be late
	LagFades     time.Duration // in which the lateness of first words fades
	BulkHeadroom float64       // share of capacity that bulk leaves free
	BulkFloor    float64       // share of capacity that pressing bulk may have however full it is
	Pressing     time.Duration // before it falls due, bulk has the headroom too and waits for nobody

	LoadFactor, LoadSlack float64 // bounded load: at most factor x mean + slack at a prompt's home
	FreeShare             float64 // of a capacity; a load below it is never too much for a home
	Reread                float64 // what reading a shared part again costs beside its time, in its time
	OtherZone             time.Duration
	LoadCost              time.Duration // what a fully taken capacity costs
	ColdCost              float64       // what each ms of start-up that is left costs

	SickFrom   float64 // failure score that takes an endpoint out
	OutLeast   time.Duration
	OutMost    time.Duration
	CacheParts int // parts that are remembered an endpoint
}

func orElse[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

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
	orElse(&s.LagFades, 300*time.Millisecond)
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
