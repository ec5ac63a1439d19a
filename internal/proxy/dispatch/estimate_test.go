package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// startDuringOverload plays the start of a sender while the endpoints work off requests that other senders had queued: the first tokens take
// seconds, and the load reports that come with them show no waiting requests any more.
func startDuringOverload(b *harness, endpoints int) {
	for i := range endpoints {
		b.addEndpoints(fmt.Sprintf("e%d", i))
	}
	var first []string
	for i := range 2 * endpoints {
		id := fmt.Sprint("first", i)
		b.submit(&Request{ID: id, TokensIn: 700})
		first = append(first, id)
	}
	b.pass(3 * time.Second)
	for _, id := range first {
		if r := b.runs[id]; r != nil {
			b.c.recordFirstToken(r, Load{Running: 4, Slots: 4, Known: true})
			b.c.endRun(r, Served, Load{})
		}
	}
}

// Guards against estimates that stay too high: times to the first token that are measured while endpoints have long queues must not
// make a sender refuse all requests after the queues are empty.
func TestEstimatesRecoverAfterOverload(t *testing.T) {
	b := newHarness(Settings{})
	b.snap.Proxies = 20
	startDuringOverload(b, 6)
	var all []*waiter
	for i := range 200 { // 10 s of one request every 50 ms, each answered in 20 ms
		id := fmt.Sprint("later", i)
		all = append(all, b.submit(&Request{ID: id, TokensIn: 700}))
		b.pass(20 * time.Millisecond)
		if r := b.runs[id]; r != nil {
			b.c.recordFirstToken(r, Load{Running: 4, Waiting: 1, Slots: 4, Known: true}) // full of requests that may wait, but fast
			b.c.endRun(r, Served, Load{})
		}
		b.pass(30 * time.Millisecond)
	}
	b.pass(time.Second)
	refused := 0
	for _, w := range all {
		if w.refused != nil {
			refused++
		}
	}
	if refused > 4 {
		t.Errorf("%d of 200 requests were refused by endpoints that answer in 20 ms", refused)
	}
}

// An estimate that refuses all requests is ignored once it is stale, so that a request can test it.
func TestStaleEstimateRefusesNoRequest(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	b.c.pool("s").firstTokenFit = linearFit{weight: 100, sumX: 100, sumY: 100 * 8000, sumXX: 200, sumXY: 100 * 8000} // 8 s to the first token
	b.c.pool("s").lastFirstToken = b.c.now
	if w := b.submit(&Request{ID: "at once"}); w.granted != nil {
		t.Fatal("granted, though its answer is expected after its deadline")
	}
	b.pass(b.c.settings.MaxEstimateAge + time.Millisecond)
	if w := b.submit(&Request{ID: "later"}); w.granted == nil {
		t.Error("not granted because of a stale estimate")
	}
}

func TestOutliersMoveTheFitLittle(t *testing.T) {
	l := initialFit()
	for range 3 {
		l.addBounded(700, 3000)
	}
	if base, slope := l.fit(); base+700*slope > 40 {
		t.Errorf("%.0f ms are expected for 700 tokens after three outliers", base+700*slope)
	}
	for range 400 { // a lasting change is learned
		l.addBounded(700, 300)
		l.addBounded(1400, 320)
	}
	if base, slope := l.fit(); base+700*slope < 250 {
		t.Errorf("%.0f ms are expected where 300 are measured", base+700*slope)
	}
}
