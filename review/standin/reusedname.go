package main

import (
	"context"
	"fmt"
	"time"
)

// reusedName has jobs whose items follow each other quickly. A new configuration removes their route, and adds a route of the same
// name that has another host and path, and leads to another service.
var reusedName = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 9, oldEndpoints: 3, capacity: 48,
		engine: engine{step: 1370 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 48, batchRoute("bordereaux"), letters()) },
	},
	run: runReusedName,
}

// letters returns a second route of batch jobs, which stays.
func letters() map[string]any {
	r := batchRoute("letters")
	r["path_start"] = "/letters/"
	return r
}

func runReusedName(ctx context.Context, t *tier) (verdict, error) {
	var jobs []*job
	for n := range 6 {
		j := newJob(n, 200, 540, 320, 32)
		if err := t.submit(ctx, j); err != nil {
			return verdict{}, err
		}
		jobs = append(jobs, j)
	}
	sleep(ctx, time.Second)
	if t.trouble {
		added := plainRoute("bordereaux", "/goods/")
		added["service"] = oldService
		if err := t.putConfig(ctx, 3, configuration(5, 48, added, letters())); err != nil {
			return verdict{}, err
		}
	}
	sleep(ctx, 5*time.Second)
	strayed := 0
	for _, e := range t.endpoints {
		e.mu.Lock()
		t.log.write("endpoint %s of %s: %d runs", e.id, e.service, e.runs)
		if e.service == oldService {
			strayed += e.runs
		}
		e.mu.Unlock()
	}
	for _, j := range jobs {
		t.follow(ctx, j, len(j.items), 2*time.Second)
		t.log.write("job %s: %d results of %d", j.id, len(j.read), len(j.items))
	}
	if strayed > 0 {
		why := "ROUTE: %d items (%s%s) ran at %s, to which no configuration lets them go"
		return verdict{true, fmt.Sprintf(why, strayed, host, route, oldService)}, nil
	}
	return verdict{false, "no item ran at another service"}, nil
}
