package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

const (
	// maxSteadyPause is the longest pause between an answer to a steady client and its next request.
	maxSteadyPause = 60 * time.Millisecond
	// steadyRetry is the pause after a request that could not be sent because no connection was available.
	steadyRetry = 50 * time.Millisecond
)

// steadyRequests is the key of the random stream that the requests of steady clients are drawn from.
const steadyRequests = "steady"

// sendSteady runs the steady clients. Each sends requests of all routes in turn over a connection of its own to one front. It
// reuses the connection until the front closes it or announces that, and then opens a new one to the same front at once,
// whether or not the platform still routes clients there.
func sendSteady(ctx context.Context, o Options, b *ledger, began time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range o.Steady {
		front := o.Fronts[n%len(o.Fronts)]
		c := &client{
			ledger: b,
			zone:   o.Zones[n%len(o.Zones)],
			front:  func(string, uint64) (string, bool) { return front, true },

			directory: o.Directory,
		}
		wg.Go(func() {
			defer c.close()
			c.sendUntil(ctx, o, uint64(n), began)
		})
	}
}

// sendUntil sends requests one after another until the load run reaches its length.
func (c *client) sendUntil(ctx context.Context, o Options, number uint64, began time.Time) {
	rng := world.Random(o.Seed, steadyRequests, number)
	traffics := slices.DeleteFunc(slices.Clone(o.Traffic), func(t Traffic) bool { return t.Paced })
	for n := int(number); time.Since(began) < o.Length && ctx.Err() == nil; n++ {
		traffic := traffics[n%len(traffics)]
		r := newRequest(traffic, world.Random(o.Seed, steadyRequests, number, uint64(n)), o.Stride)
		r.created = time.Now()
		pause := time.Duration(rng.Int64N(int64(maxSteadyPause)))
		if end := c.do(ctx, r); end.unsent {
			pause = steadyRetry
		}
		wait.For(ctx, pause)
	}
}
