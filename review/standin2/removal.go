package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/lab/tier/cluster"
)

// Names of the one route and service.
const (
	host    = "ficu95.example"
	prefix  = "/lohu930/"
	service = "policy-desk"
)

// Times of the play forgotten-removal. drainBound is drain_ms.
const (
	drainBound = 2 * time.Second
	// touchBound is in_touch_ms twice, as after a fault that took most of the core: the check is no stricter than any reading.
	touchBound = 2 * 3 * time.Second
	// downFor is how long the killed processes stay away: they come back within a second.
	downFor = 800 * time.Millisecond
	// beatAfter is when the late heartbeat arrives, counted from the start of the processes. It was sent before the DELETE, so
	// it is 4.3 s late.
	beatAfter = 3500 * time.Millisecond
	// watchFor is how long requests are sent, counted as beatAfter.
	watchFor = 9 * time.Second
	pause    = 10 * time.Millisecond // between two requests of a client
)

// forgottenRemoval has an endpoint that leaves by DELETE and serves on. All processes of the core are killed once that is
// acknowledged, and a heartbeat that the endpoint had sent before arrives seconds late.
func forgottenRemoval(ctx context.Context, t *tier) (verdict, error) {
	defer t.closeEndpoints()
	if err := t.startDesk(ctx); err != nil {
		return verdict{}, err
	}
	if err := t.configure(ctx, deskConfiguration()); err != nil {
		return verdict{}, err
	}
	sleep(ctx, 2*beatEvery)
	leaving := t.endpoints[0]
	leaving.stopped()
	late := leaving.heartbeat() // on its way from now on
	if err := leaving.remove(ctx, t.Controls()); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	t.log.write("DELETE of %s acknowledged", leaving.id)
	started, err := t.restartCore(ctx)
	if err != nil {
		return verdict{}, err
	}
	statuses := t.sendWhile(ctx, started.Add(watchFor), func() {
		sleep(ctx, time.Until(started.Add(beatAfter)))
		err := anyOf(t.Controls(), func(address string) error { return leaving.send(ctx, address, late) })
		t.log.write("the late heartbeat of %s arrives, %.1f s after the DELETE was acknowledged: %v", leaving.id,
			time.Since(acknowledged).Seconds(), result(err))
	})
	t.log.write("answers to the clients: %v", statuses)
	from := started.Add(touchBound)
	if from.Before(acknowledged.Add(drainBound)) || statuses[http.StatusOK] == 0 || ctx.Err() != nil {
		return verdict{}, errors.New("the bounds were not over, or nothing was served")
	}
	reached := leaving.arrivedSince(from)
	for _, a := range reached {
		t.log.write("request %s reached %s %.2f s after the DELETE was acknowledged", a.id, leaving.id, a.at.Sub(acknowledged).Seconds())
	}
	return verdict{len(reached) > 0, fmt.Sprintf("DRAIN: %d requests reached %s later than drain_ms after its removal was acknowledged",
		len(reached), leaving.id)}, nil
}

// startDesk starts the three endpoints of the service, one in each zone.
func (t *tier) startDesk(ctx context.Context) error {
	for zone, name := range t.Zones() {
		e, err := startEndpoint(ctx, service, t.EndpointAddress(zone, 0), name, t.Controls)
		if err != nil {
			return err
		}
		t.endpoints = append(t.endpoints, e)
	}
	return nil
}

func (t *tier) closeEndpoints() {
	for _, e := range t.endpoints {
		e.close()
	}
}

// deskConfiguration is a configuration with one route, as that of policy-lookup on the sheet.
func deskConfiguration() []byte {
	text, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-x73d3zj", "host": host, "path_start": prefix, "kind": "read_only", "timeout_ms": 1000, "target_ms": 100,
			"priority": 0, "service": service, "tries": 2, "sticky": false, "resume": false,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000},
	})
	if err != nil {
		panic(err) // texts and numbers can be encoded
	}
	return text
}

// restartCore kills all processes of the core machines at the same moment and starts them again. Without the disruption it only
// waits. It returns when they were started.
func (t *tier) restartCore(ctx context.Context) (started time.Time, err error) {
	core := t.of(cluster.Keeper, cluster.Proxy) // all edge machines serve control and have a disk
	if t.trouble {
		var killing sync.WaitGroup
		failed := make([]error, len(core))
		for i, p := range core {
			killing.Go(func() { failed[i] = p.Kill() })
		}
		killing.Wait()
		err = errors.Join(failed...)
		t.log.write("all %d processes of the core were killed", len(core))
	}
	sleep(ctx, downFor)
	if t.trouble {
		for _, p := range core {
			err = errors.Join(err, p.Start())
		}
		t.log.write("they are started again")
	}
	return time.Now(), err
}

// sendWhile has one client for each proxy, which send requests until a time, while something else is done. It returns the number
// of answers by status; 0 stands for none.
func (t *tier) sendWhile(ctx context.Context, until time.Time, meanwhile func()) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for _, p := range t.of(cluster.Proxy) {
		wg.Go(func() {
			for ctx.Err() == nil && time.Now().Before(until) {
				status := ask(ctx, p.ReachedFront())
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				sleep(ctx, pause)
			}
		})
	}
	meanwhile()
	wg.Wait()
	return statuses
}

// ask sends one request to a proxy and returns the status of the answer; 0 if there was none.
func ask(ctx context.Context, address string) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+prefix+"7", nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("X-Dunetide-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Dunetide-Time-Left-Ms", "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// result says how a call ended.
func result(err error) string {
	if err == nil {
		return "accepted"
	}
	return err.Error()
}
