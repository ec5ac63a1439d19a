package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// slowStart plays a sender that starts while its endpoints are full of what others held back: the first words take seconds, and the
// endpoints, once heard, tell that nobody waits any more.
func slowStart(b *harness, endpoints int) {
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

// What was measured in a queue does not make a sender refuse all that comes when the queue is gone.
func TestEstimatesRecoverAfterOverload(t *testing.T) {
	b := newHarness(Settings{})
	b.snap.Proxies = 20
	slowStart(b, 6)
	var all []*waiter
	for i := range 200 { // 10 s of one request in 50 ms, each answered in 20
		id := fmt.Sprint("later", i)
		all = append(all, b.submit(&Request{ID: id, TokensIn: 700}))
		b.pass(20 * time.Millisecond)
		if r := b.runs[id]; r != nil {
			b.c.recordFirstToken(r, Load{Running: 4, Waiting: 1, Slots: 4, Known: true}) // full of what may wait, but quick
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

// Where all would be refused by an estimate, one request in a while tests it.
func TestStaleEstimateRefusesNobody(t *testing.T) {
	b := newHarness(Settings{})
	b.addEndpoints("e1")
	b.c.pool("s").firstTokenFit = linearFit{weight: 100, sumX: 100, sumY: 100 * 8000, sumXX: 200, sumXY: 100 * 8000} // 8 s to the first word
	b.c.pool("s").lastFirstToken = b.c.now
	if w := b.submit(&Request{ID: "at once"}); w.granted != nil {
		t.Fatal("granted, though its answer is expected after its deadline")
	}
	b.pass(b.c.settings.MaxEstimateAge + time.Millisecond)
	if w := b.submit(&Request{ID: "later"}); w.granted == nil {
		t.Error("not granted because of an estimate that is old")
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
	for range 400 { // what lasts is learnt
		l.addBounded(700, 300)
		l.addBounded(1400, 320)
	}
	if base, slope := l.fit(); base+700*slope < 250 {
		t.Errorf("%.0f ms are expected where 300 are measured", base+700*slope)
	}
}
