package main

import (
	"context"
	"fmt"
	"time"
)

// reusedName has a job of 200 items, of which 153 run at once. A new configuration removes its route, and adds one of the same name
// for another host and path, which leads to another service.
var reusedName = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, oldEndpoints: 3, capacity: 48,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, batchRoute("bordereaux")) },
	},
	run: runReusedName,
}

// otherRoute returns a route of batch jobs that shares nothing but its name with the one of the job.
func otherRoute(name string) map[string]any {
	r := batchRoute(name)
	r["host"], r["path_start"], r["service"] = shop, "/offers/", oldService
	return r
}

func runReusedName(ctx context.Context, t *tier) (verdict, error) {
	j := newJob(0, 200, 1_000, 3_000, 400)
	if err := t.submit(ctx, j); err != nil {
		return verdict{}, err
	}
	sleep(ctx, time.Second)
	if t.trouble {
		if err := t.putConfig(ctx, 3, configuration(5, 48, otherRoute("bordereaux"))); err != nil {
			return verdict{}, err
		}
	}
	t.follow(ctx, j, len(j.items), 20*time.Second)
	t.log.write("job %s: %d results of %d", j.id, len(j.read), len(j.items))
	strayed := 0
	for _, e := range t.endpoints {
		e.mu.Lock()
		t.log.write("endpoint %s of %s: %d runs", e.id, e.service, e.runs)
		if e.service == oldService {
			strayed += e.runs
		}
		e.mu.Unlock()
	}
	if strayed > 0 {
		why := "ROUTE: %d items of job %s (%s%s) ran at %s, to which no configuration lets them go"
		return verdict{true, fmt.Sprintf(why, strayed, j.id, host, route, oldService)}, nil
	}
	return verdict{false, "no item ran at another service"}, nil
}
