package main

import (
	"context"
	"time"
)

// oldService has one endpoint only. The job's route leads there at first.
const oldService = "underwrite-lm-old"

// movedRoute is a job whose route leads to a service with one endpoint. The endpoint is lost for good, and the operator moves the
// route to the service that has nine.
var movedRoute = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, oldEndpoints: 1, capacity: 48,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, routeTo(oldService)) },
	},
	run: runMovedRoute,
}

// routeTo returns the route of the batch jobs, to a service.
func routeTo(name string) map[string]any {
	r := batchRoute("bordereaux")
	r["service"] = name
	return r
}

func runMovedRoute(ctx context.Context, t *tier) (verdict, error) {
	j := newJob(0, 100, 540, 1_600, 160)
	if err := t.submit(ctx, j); err != nil {
		return verdict{}, err
	}
	sleep(ctx, 1500*time.Millisecond)
	if t.trouble {
		for _, e := range t.endpoints {
			if e.service == oldService {
				e.crash()
				t.log.write("endpoint %s of %s is lost for good", e.id, oldService)
			}
		}
		sleep(ctx, 5*time.Second)
	}
	if err := t.putConfig(ctx, 3, configuration(5, 48, routeTo(service))); err != nil {
		return verdict{}, err
	}
	return t.endOfTraffic(ctx, j, 20*time.Second)
}
