package load

import (
	"context"
	"sync"
	"time"

	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

const (
	// maxSteadyPause is the longest pause of a steady client between an answer and its next request.
	maxSteadyPause = 60 * time.Millisecond
	// steadyRetry is the pause after a request that found no connection.
	steadyRetry = 50 * time.Millisecond
)

// steadyRequests is the key of the random numbers that a steady client's requests are drawn from.
const steadyRequests = "steady"

// playSteady has each steady client send requests of all routes in turn over a connection of its own to one front. It keeps
// the connection in use until the front closes it or announces that, and then opens another one at once, whether or not the
// platform still names the front.
func playSteady(ctx context.Context, o Options, b *ledger, began time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range o.Steady {
		front := o.Fronts[n%len(o.Fronts)]
		c := &client{
			ledger: b,
			zone:   o.Zones[n%len(o.Zones)],
			front:  func(string, uint64) (string, bool) { return front, true },
		}
		wg.Go(func() {
			defer c.close()
			c.sendUntil(ctx, o, uint64(n), began)
		})
	}
}

// sendUntil sends requests one after another until the run has had its length.
func (c *client) sendUntil(ctx context.Context, o Options, number uint64, began time.Time) {
	rng := world.Random(o.Seed, steadyRequests, number)
	for n := int(number); time.Since(began) < o.Length && ctx.Err() == nil; n++ {
		traffic := o.Traffic[n%len(o.Traffic)]
		r := draw(traffic, world.Random(o.Seed, steadyRequests, number, uint64(n)), o.Stride)
		r.born = time.Now()
		pause := time.Duration(rng.Int64N(int64(maxSteadyPause)))
		if end := c.do(ctx, r); end.unsent {
			pause = steadyRetry
		}
		wait.For(ctx, pause)
	}
}
