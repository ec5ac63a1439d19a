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
	Rate  float64 // requests per second
	// In, Out and Sessions apply to streams.
	In, Out  int // maximum numbers of prompt and output tokens; each request has at least a third of them
	Sessions int
	// Paced keeps the traffic at its rate: steady clients send none of it.
	Paced bool
}

// Jobs are batch jobs on one route.
type Jobs struct {
	Route    *operatorconfig.Route
	Count    int
	Items    int // per job
	In, Out  int
	EndEvery int // the client ends every EndEvery-th job midway; 0 means none
}

// Options configure a load run.
type Options struct {
	Seed          uint64
	Length        time.Duration
	Clients       int
	Zones         []string
	Front         Front
	Traffic       []Traffic
	Jobs          []Jobs
	Stride        int // tokens per event of the engines
	FinishBy      time.Duration
	VisibleWithin time.Duration
	Cancel        time.Duration
	Runs          *engine.Runs
	// Steady is the number of clients that each use a connection to one of Fronts until that front closes it.
	Steady int
	Fronts []string
	// LeaveShare is the share of requests whose client disconnects within half of the latency target.
	LeaveShare float64
	// Directory tells clients how to identify themselves; nil: they don't.
	Directory Directory
}

// Account is the result of a load run.
type Account struct {
	Kinds      []Figures   `json:"kinds"`
	Violations []Violation `json:"broken"`
	Runs       int         `json:"runs"`
	Cut        int         `json:"cut"` // runs that were not answered completely
	Late       int         `json:"sent_late"`
	Jobs       []Job       `json:"jobs"`
	// Tries are all attempts of clients, by request ID.
	Tries map[string]Try `json:"-"`
	// Owners are the tenants of all items of jobs, by item ID, and Denials the denied calls about jobs.
	Owners  map[string]string `json:"-"`
	Denials []Denial          `json:"-"`
}

// maxSendDelay is how late the lab may send a request before it counts as sent late.
const maxSendDelay = 50 * time.Millisecond

// Run sends the load and checks the rules. Its duration is bounded: each request has a deadline, and jobs end at the latest
// FinishBy after the last request.
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

			directory: o.Directory,
		}
		defer clients[i].close()
	}
	var wg sync.WaitGroup
	for i, t := range o.Traffic {
		wg.Go(func() { drive(ctx, o, b, clients, uint64(i), t, began) })
	}
	wg.Go(func() { sendSteady(ctx, o, b, began) })
	for i, js := range o.Jobs {
		for n := range js.Count {
			j := newJob(o, b, js, world.Random(o.Seed, "job", uint64(i), uint64(n)), n)
			at := began.Add(o.Length * time.Duration(n) / time.Duration(2*js.Count)) // in the first half
			wg.Go(func() {
				if wait.For(ctx, time.Until(at)) {
					j.drive(ctx, began.Add(o.Length+o.FinishBy))
				}
			})
		}
	}
	wg.Wait()
	out := Account{Kinds: sorted(b.figures), Late: b.late, Tries: b.tries(), Owners: b.owners(), Denials: b.denials}
	runs := o.Runs.All()
	out.Violations, out.Runs = b.check(runs, o.Cancel), len(runs)
	complete := map[string]bool{}
	for _, r := range runs {
		if r.Whole {
			complete[r.Request] = true
		} else {
			out.Cut++
		}
	}
	for _, j := range b.jobs {
		out.Jobs = append(out.Jobs, j.summary(complete))
	}
	return out
}

// drive sends the requests of one route, with exponentially distributed times between arrivals.
func drive(ctx context.Context, o Options, b *ledger, clients []*client, number uint64, t Traffic, began time.Time) {
	arrivals := world.Random(o.Seed, "arrivals", number)
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Duration(0)
	for n := uint64(0); ; n++ {
		at += time.Duration(arrivals.ExpFloat64() / t.Rate * float64(time.Second))
		if at > o.Length || !wait.For(ctx, time.Until(began.Add(at))) {
			return
		}
		if time.Since(began.Add(at)) > maxSendDelay {
			b.mu.Lock()
			b.late++
			b.mu.Unlock()
		}
		rng := world.Random(o.Seed, "request", number, n)
		r := newRequest(t, rng, o.Stride)
		r.created = began.Add(at)
		if o.LeaveShare > 0 && rng.Float64() < o.LeaveShare {
			r.leaveAfter = time.Duration(rng.Float64() * float64(t.Route.LatencyTargetMs) / 2 * float64(time.Millisecond))
		}
		c := clients[rng.IntN(len(clients))]
		wg.Go(func() { c.do(ctx, r) })
	}
}

// newRequest returns a random request.
func newRequest(t Traffic, rng *rand.Rand, stride int) *request {
	r := &request{
		route:  t.Route,
		kind:   t.Route.Name,
		method: http.MethodPost,
		ids:    rng,
		header: http.Header{},
		uri:    fmt.Sprintf("%s%x?q=%x", t.Route.PathPrefix, rng.Uint32(), rng.Uint32N(100)),
		body:   randomBytes(rng, 40+rng.IntN(200)),
	}
	if t.Route.Kind == operatorconfig.Streaming {
		out := setPrompt(r.header.Set, rng, t.In, t.Out, t.Sessions)
		r.events = engine.Events(out, stride)
	}
	return r
}

// setPrompt sets the headers that describe a random prompt. The prompt has three parts: one of four that all sessions share, one
// that its session shares, and one of its own.
func setPrompt(set func(name, value string), rng *rand.Rand, in, out, sessions int) (tokensOut int) {
	in, out = in/3+rng.IntN(1+in*2/3), max(1, out/3+rng.IntN(1+out*2/3))
	session := rng.IntN(max(1, sessions))
	set(engine.HeaderModel, "m")
	set(engine.HeaderTokens, fmt.Sprintf("%d,%d", in, out))
	set(engine.HeaderPrefix, fmt.Sprintf("%x:%d,%x:%d,%x:%d",
		0xa0+session%4, in/3, 0xb000+session, in/3, rng.Uint32(), in-in/3*2))
	return out
}

// randomBytes returns n random bytes.
func randomBytes(rng *rand.Rand, n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}
