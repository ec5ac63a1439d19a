package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// renamedRoute is a job of 200 items, of which 153 run at once. A new configuration has its route under another name.
var renamedRoute = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, capacity: 48,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, batchRoute("bordereaux")) },
	},
	run: runRenamedRoute,
}

func runRenamedRoute(ctx context.Context, t *tier) (verdict, error) {
	j := newJob(0, 200, 1_000, 6_000, 400)
	if err := t.submit(ctx, j); err != nil {
		return verdict{}, err
	}
	sleep(ctx, 2*time.Second)
	if t.trouble {
		if err := t.putConfig(ctx, 3, configuration(5, 48, batchRoute("bordereaux-2"))); err != nil {
			return verdict{}, err
		}
	}
	return t.endOfTraffic(ctx, j, 25*time.Second)
}

// endOfTraffic reads the results of a job for the given time, then waits for finish_by_s, and checks that each item is listed.
// It is an error if an endpoint still had an item in the last 5 s.
func (t *tier) endOfTraffic(ctx context.Context, j *job, traffic time.Duration) (verdict, error) {
	t.follow(ctx, j, len(j.items), traffic)
	t.log.write("the traffic ends: %d results of %d were read; pause of finish_by_s", len(j.read), len(j.items))
	sleep(ctx, 5*time.Second)
	runs, _ := t.work()
	listed := len(j.read)
	t.follow(ctx, j, len(j.items), 5*time.Second)
	after, running := t.work()
	t.log.write("in the last 5 s: %d runs began, %d requests are at endpoints", after-runs, running)
	if ctx.Err() != nil {
		return verdict{}, ctx.Err()
	}
	if len(j.read) == len(j.items) {
		return verdict{false, "all items are listed"}, nil
	}
	if after != runs || running > 0 || len(j.read) != listed {
		return verdict{}, errors.New("endpoints were still at work when finish_by_s was over")
	}
	return verdict{true, fmt.Sprintf("LOST: finish_by_s after the traffic, %d of %d items of the open job %s are listed neither as "+
		"finished nor as given_up, and no endpoint has had one for 5 s", len(j.items)-len(j.read), len(j.items), j.id)}, nil
}

// work returns how many requests the endpoints have run, and how many are running.
func (t *tier) work() (runs, running int) {
	for _, e := range t.endpoints {
		e.mu.Lock()
		runs += e.runs
		running += e.running
		e.mu.Unlock()
	}
	return runs, running
}
