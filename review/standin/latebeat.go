package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// lateBeat has an endpoint that leaves by DELETE, after a beat that arrives seconds late. In between all processes are killed.
var lateBeat = play{
	options: tierOptions{
		zones: []string{"akl-a", "akl-b", "akl-c"}, edges: 3, keepers: 2, stores: 3, endpoints: 3, capacity: 24,
		engine: engine{step: 200 * time.Microsecond, memory: 232_000},
		config: func() []byte { return configuration(3, 24, batchRoute("bordereaux"), plainRoute("goods", "/goods/")) },
	},
	run: runLateBeat,
}

// Times of the play. drainBound and touchBound are drain_ms and in_touch_ms.
const (
	drainBound = 2 * time.Second
	touchBound = 3 * time.Second
	downFor    = time.Second
	beatAfter  = 1500 * time.Millisecond // the beat arrives so long after the processes have started again
)

func runLateBeat(ctx context.Context, t *tier) (verdict, error) {
	leaving := t.endpoints[0]
	leaving.silence() // its next beat is on its way, and no further one follows
	acknowledged, err := leaving.leaveByDelete(ctx)
	if err != nil {
		return verdict{}, err
	}
	if t.trouble {
		t.killAll()
		sleep(ctx, downFor)
		for _, p := range t.processes {
			if err := p.start(); err != nil {
				return verdict{}, err
			}
		}
		t.log.write("all processes were killed, and have been started again")
	} else {
		sleep(ctx, downFor)
	}
	started := time.Now()
	sleep(ctx, beatAfter)
	next, ok := leaving.registerAny(ctx)
	t.log.write("the late beat of %s arrives: accepted %v, %q", leaving.id, ok, next)
	sleep(ctx, time.Until(started.Add(touchBound+100*time.Millisecond)))
	before := leaving.runCount()
	from := time.Now()
	t.sendGoods(ctx, 3*time.Second)
	late := leaving.runCount() - before
	t.log.write("%d requests reached %s from %v to %v after its DELETE was acknowledged",
		late, leaving.id, from.Sub(acknowledged).Round(time.Millisecond), time.Since(acknowledged).Round(time.Millisecond))
	if from.Sub(acknowledged) < drainBound {
		return verdict{}, errors.New("drain_ms was not over")
	}
	return verdict{late > 0, fmt.Sprintf("DRAIN: %d requests reached an endpoint whose removal was acknowledged", late)}, ctx.Err()
}

// killAll kills all processes at the same moment.
func (t *tier) killAll() {
	var killing sync.WaitGroup
	for _, p := range t.processes {
		killing.Go(p.kill)
	}
	killing.Wait()
}

// sendGoods sends requests that may be repeated to all proxies in turn.
func (t *tier) sendGoods(ctx context.Context, length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until) && ctx.Err() == nil; {
		for _, p := range t.role("proxy") {
			header := map[string]string{
				"X-Dunetide-Request-Id": fmt.Sprintf("%016x", rand.Uint64()), "X-Dunetide-Time-Left-Ms": "2000",
				"X-Dunetide-Token-Count": "10,16",
			}
			status, _, err := call(ctx, 2*time.Second, http.MethodGet, p.at(portFront), "/goods/7", shop, header, nil)
			if status != http.StatusOK {
				t.log.write("%s: status %d, %v", p.machine, status, err)
			}
		}
	}
}
