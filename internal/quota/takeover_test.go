package quota

import (
	"testing"
	"time"
)

// floodedStore is a counter that grants all that it can.
type floodedStore struct {
	counter    *counter
	leadership *fakeLeadership
	limit      Limit
}

func newFloodedStore(start time.Time, limit Limit, lead Lead) *floodedStore {
	leadership := &fakeLeadership{lead: &lead}
	return &floodedStore{counter: newCounter(leadership, testSlack, start), leadership: leadership, limit: limit}
}

func (s *floodedStore) take(now time.Time) float64 {
	answer := s.counter.answer(&Demand{Tenant: "a", Limit: s.limit, Wanted: 1000}, func() time.Time { return now })
	return float64(answer.Granted)
}

// Guards against a takeover in which the earlier lead, which does not know of it yet and is still confirmed for a while,
// and the new one together grant more than the rule allows in a window.
func TestOverlappingLeadsStayWithinTheSlack(t *testing.T) {
	for _, rate := range []float64{2, 10, 50, 111, 300} {
		for overlap := time.Duration(0); overlap <= LeadValidity; overlap += 100 * time.Millisecond {
			limit := Limit{ConfigVersion: 1, RatePerSecond: rate, Burst: rate}
			start := time.Now()
			flood := start.Add(time.Minute)
			moved := flood.Add(2 * time.Second)
			first := newFloodedStore(start, limit, Lead{Incarnation: 1, ServingSince: start.Add(time.Second), First: true})
			next := newFloodedStore(start, limit,
				Lead{Incarnation: 2, ServingSince: moved, PredecessorSince: start, SharedSequence: allAcknowledged})
			granted := 0.0
			for now := flood; now.Before(flood.Add(testSlack.Window)); now = now.Add(5 * time.Millisecond) {
				first.leadership.lead.ConfirmedAt = now
				if end := moved.Add(overlap - LeadValidity); now.After(end) {
					first.leadership.lead.ConfirmedAt = end
				}
				next.leadership.lead.ConfirmedAt = now
				granted += first.take(now)
				if !now.Before(moved) {
					granted += next.take(now)
				}
			}
			allowed := (rate*testSlack.Window.Seconds()+limit.Burst)*(1+testSlack.Excess) + testSlack.Tokens
			if granted > allowed {
				t.Errorf("rate %v, overlap %v: %v were granted, %v are allowed", rate, overlap, granted, allowed)
			}
		}
	}
}

// Guards against a refund in the very millisecond in which a bucket's history begins that gives back all tokens of it.
func TestRefundWhenTheHistoryBegins(t *testing.T) {
	for ms := range int64(slotMs) {
		b := newBucket(pace{rate: token, capacity: 20 * token}, 1000+ms, 20*token)
		if granted := b.take(1000+ms, 20); granted != 20 {
			t.Fatalf("granted %d", granted)
		}
		b.refund(1000+ms, 1000+ms, 1)
		if again := b.take(1000+ms, 20); again > 1 {
			t.Errorf("at %d ms: %d tokens after a refund of one", ms, again)
		}
	}
}

// Guards against a tenant that keeps the level of an old, higher limit which the first demand under a new lead stated.
func TestOldHigherLimitAfterATakeover(t *testing.T) {
	r := newCounterRig(t)
	r.serve(2, time.Minute)
	r.wait(takeoverWait)
	old := Limit{ConfigVersion: 1, RatePerSecond: 1000, Burst: 1000}
	demand := func(limit Limit, wanted uint32) uint32 {
		answer := r.counter.answer(&Demand{Tenant: "a", Limit: limit, Wanted: wanted}, func() time.Time { return r.now })
		return answer.Granted
	}
	if granted := demand(old, 1); granted != 1 {
		t.Fatalf("granted %d", granted)
	}
	lowered := testLimit
	lowered.ConfigVersion = 2
	if granted := demand(lowered, 1000); granted > testTakeoverTokens {
		t.Errorf("%d tokens of the lowered limit, want %d at most", granted, testTakeoverTokens)
	}
}
