package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkClientMessages plays a minute of requests of 20 tenants at one proxy, which go to three stores at 1 ms one way, in
// simulated time. It reports calls per request and the time that a request waits for its token. The time per operation is
// that of the play, not of a request.
func BenchmarkClientMessages(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(perSecond, " requests a second"), func(b *testing.B) {
			var total clientTraffic
			for b.Loop() {
				total.play(perSecond, time.Minute)
			}
			requests := float64(total.requests)
			b.ReportMetric(float64(total.calls)/requests, "calls/request")
			b.ReportMetric(total.waited.Seconds()*1000/requests, "ms-waited/request")
			b.ReportMetric(total.longest.Seconds()*1000, "ms-longest")
		})
	}
}

// clientTraffic counts what requests cost.
type clientTraffic struct {
	requests, calls int
	waited, longest time.Duration
}

// play plays requests at a mean rate, at moments that are drawn.
func (total *clientTraffic) play(perSecond int, lasts time.Duration) {
	const roundTrip = 2 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, uint64(perSecond)))
	core := newClientCore(func(tenant string) (uint64, bool) { return 1 + uint64(tenant[0]%3), true })
	arrivals := map[*waiter]time.Duration{}
	var inFlight []*clientCall // in the order of their ends
	endFirst := func() time.Duration {
		call, now := inFlight[0], inFlight[0].sentAt+roundTrip
		inFlight = inFlight[1:]
		reply := &AdmitReply{}
		for i := range call.demands {
			reply.Answers = append(reply.Answers, Answer{Outcome: Granted, Granted: call.demands[i].request.Wanted})
			for _, w := range call.demands[i].waiters {
				wait := now - arrivals[w]
				total.waited += wait
				total.longest = max(total.longest, wait)
				delete(arrivals, w)
			}
		}
		core.endCall(call.number, reply, now)
		return now
	}
	start := func(now time.Duration) {
		calls := core.startCalls(now)
		total.calls += len(calls)
		inFlight = append(inFlight, calls...)
	}
	for now := time.Duration(0); now < lasts; now += time.Duration(rng.ExpFloat64() / float64(perSecond) * float64(time.Second)) {
		for len(inFlight) > 0 && inFlight[0].sentAt+roundTrip <= now {
			start(endFirst())
		}
		w := core.admit(string(rune('a'+rng.IntN(20))), Limit{RatePerSecond: 100})
		arrivals[w] = now
		total.requests++
		start(now)
	}
	for len(inFlight) > 0 {
		start(endFirst())
	}
}

// BenchmarkAdmitOverRealLinks measures the processor time of a request and its call over loopback, both ends together.
func BenchmarkAdmitOverRealLinks(b *testing.B) {
	store := &countingStore{}
	store.left.Store(1 << 50)
	c := NewClient(ClientOptions{Stores: linkTo(b, store)})
	defer c.Close()
	tenant := limitedTenant("a")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Admit(context.Background(), tenant, 1); err != nil {
			b.Fatal(err)
		}
	}
}
