package main

import (
	"context"
	"time"
)

// shed has a burst of jobs at a service with three endpoints, which turn requests away while they are full.
var shed = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 3, capacity: 24,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 24, batchRoute("bordereaux")) },
	},
	run: runShed,
}

// burstOf is how many jobs come at once in the burst: the site's dose of the trouble, in place of one job.
const burstOf = 6

func runShed(ctx context.Context, t *tier) (verdict, error) {
	jobs := 1
	if t.trouble {
		jobs = burstOf
	}
	var all []*job
	for n := range jobs {
		j := newJob(n, 60, 540, 600, 300)
		if err := t.submit(ctx, j); err != nil {
			return verdict{}, err
		}
		all = append(all, j)
	}
	sleep(ctx, 12*time.Second)
	var open *job
	for _, j := range all {
		if !t.follow(ctx, j, len(j.items), 2*time.Second) {
			open = j
		}
		t.log.write("job %s: %d results of %d", j.id, len(j.read), len(j.items))
	}
	for _, e := range t.endpoints {
		e.mu.Lock()
		runs, turnedAway := e.runs, e.turnedAway
		e.mu.Unlock()
		t.log.write("endpoint %s: %d runs, %d requests turned away, load %s", e.id, runs, turnedAway, e.load())
	}
	if open == nil {
		return verdict{false, "all items are listed"}, nil
	}
	return t.endOfTraffic(ctx, open, 5*time.Second)
}
