package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/wait"
	"dunetide/internal/lab/world"
)

// Traffic is a stream of requests on one route.
type Traffic struct {
	Route *operatorconfig.Route
	Rate  float64 // a second
	// Of streams.
	In, Out  int // tokens, at most; at least a third of it
	Sessions int
}

// Jobs are batch jobs on one route.
type Jobs struct {
	Route    *operatorconfig.Route
	Count    int
	Items    int // a job
	In, Out  int
	EndEvery int // each so many-th job is ended by its client midway; 0: none
}

// Options of a run.
type Options struct {
	Seed          uint64
	Length        time.Duration
	Clients       int
	Zones         []string
	Front         Front
	Traffic       []Traffic
	Jobs          []Jobs
	Stride        int // tokens an event of the engines
	FinishBy      time.Duration
	VisibleWithin time.Duration
	Cancel        time.Duration
	Runs          *engine.Runs
	// Steady is the number of clients that keep a connection to one of Fronts in use until that front closes it.
	Steady int
	Fronts []string
	// LeaveShare is the share of requests whose client closes its connection within half of the aim.
	LeaveShare float64
}

// Account is what became of all.
type Account struct {
	Kinds      []Figures   `json:"kinds"`
	Violations []Violation `json:"broken"`
	Runs       int         `json:"runs"`
	Cut        int         `json:"cut"` // runs that were not answered whole
	Late       int         `json:"sent_late"`
	Jobs       []Job       `json:"jobs"`
	// Tries are all requests of clients, by their ids.
	Tries map[string]Try `json:"-"`
}

const sentLate = 50 * time.Millisecond

// Run plays it and checks the rules. It ends by itself: each request has its deadline, and jobs
// have what FinishBy says after the last request.
func Run(ctx context.Context, o Options) Account {
	b := newLedger()
	began := time.Now()
	clients := make([]*client, max(1, o.Clients))
	for i := range clients {
		clients[i] = &client{
			ledger: b,
			zone:   o.Zones[i%len(o.Zones)],
			hash:   world.Random(o.Seed, "client", uint64(i)).Uint64(),
			front:  o.Front,
		}
		defer clients[i].close()
	}
	var wg sync.WaitGroup
	for i, t := range o.Traffic {
		wg.Go(func() { play(ctx, o, b, clients, uint64(i), t, began) })
	}
	wg.Go(func() { playSteady(ctx, o, b, began) })
	for i, js := range o.Jobs {
		for n := range js.Count {
			j := newJob(o, b, js, world.Random(o.Seed, "job", uint64(i), uint64(n)), n)
			at := began.Add(o.Length * time.Duration(n) / time.Duration(2*js.Count)) // in the first half
			wg.Go(func() {
				if wait.For(ctx, time.Until(at)) {
					j.play(ctx, began.Add(o.Length+o.FinishBy))
				}
			})
		}
	}
	wg.Wait()
	out := Account{Kinds: sorted(b.figures), Late: b.late, Tries: b.tries()}
	runs := o.Runs.All()
	out.Violations, out.Runs = b.check(runs, o.Cancel), len(runs)
	whole := map[string]bool{}
	for _, r := range runs {
		if r.Whole {
			whole[r.Request] = true
		} else {
			out.Cut++
		}
	}
	for _, j := range b.jobs {
		out.Jobs = append(out.Jobs, j.sum(whole))
	}
	return out
}

// play sends the requests of one route at their times.
func play(ctx context.Context, o Options, b *ledger, clients []*client, number uint64, t Traffic, began time.Time) {
	arrivals := world.Random(o.Seed, "arrivals", number)
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Duration(0)
	for n := uint64(0); ; n++ {
		at += time.Duration(arrivals.ExpFloat64() / t.Rate * float64(time.Second))
		if at > o.Length || !wait.For(ctx, time.Until(began.Add(at))) {
			return
		}
		if time.Since(began.Add(at)) > sentLate {
			b.mu.Lock()
			b.late++
			b.mu.Unlock()
		}
		rng := world.Random(o.Seed, "request", number, n)
		r := draw(t, rng, o.Stride)
		r.born = began.Add(at)
		if o.LeaveShare > 0 && rng.Float64() < o.LeaveShare {
			r.leaves = time.Duration(rng.Float64() * float64(t.Route.LatencyTargetMs) / 2 * float64(time.Millisecond))
		}
		c := clients[rng.IntN(len(clients))]
		wg.Go(func() { c.do(ctx, r) })
	}
}

// draw makes a request.
func draw(t Traffic, rng *rand.Rand, stride int) *request {
	r := &request{
		route:  t.Route,
		kind:   t.Route.Name,
		method: http.MethodPost,
		ids:    rng,
		header: http.Header{},
		uri:    fmt.Sprintf("%s%x?q=%x", t.Route.PathPrefix, rng.Uint32(), rng.Uint32N(100)),
		body:   bytesOf(rng, 40+rng.IntN(200)),
	}
	if t.Route.Kind == operatorconfig.Streaming {
		out := prompt(r.header.Set, rng, t.In, t.Out, t.Sessions)
		r.events = engine.Events(out, stride)
	}
	return r
}

// prompt names a prompt in three parts: one of a few that all share, one of its session, its own.
func prompt(set func(name, value string), rng *rand.Rand, in, out, sessions int) (tokensOut int) {
	in, out = in/3+rng.IntN(1+in*2/3), max(1, out/3+rng.IntN(1+out*2/3))
	session := rng.IntN(max(1, sessions))
	set(engine.HeaderModel, "m")
	set(engine.HeaderTokens, fmt.Sprintf("%d,%d", in, out))
	set(engine.HeaderPrefix, fmt.Sprintf("%x:%d,%x:%d,%x:%d",
		0xa0+session%4, in/3, 0xb000+session, in/3, rng.Uint32(), in-in/3*2))
	return out
}

// bytesOf returns n random bytes.
func bytesOf(rng *rand.Rand, n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}
