package quota

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// slowStoreAnswer is how long a slow answer takes, as after a lost packet.
const slowStoreAnswer = 400 * time.Millisecond

// slowStoreRun has requests of one tenant with a limit of 100 a second at a real counter, some of whose answers are slow.
type slowStoreRun struct {
	slowEvery int // each so manyth answer is slow
	perSecond int
	burst     float64

	mu                                    sync.Mutex // of all below
	counter                               *counter
	leadership                            *fakeLeadership
	stores                                *scriptedStores
	requests, granted, refunded           int
	served, inTime, refused, notAvailable int
}

// newSlowStoreRun prepares a run, which play plays.
func newSlowStoreRun(slowEvery, perSecond int, burst float64) *slowStoreRun {
	r := &slowStoreRun{slowEvery: slowEvery, perSecond: perSecond, burst: burst}
	r.leadership = &fakeLeadership{lead: &Lead{Incarnation: 1, First: true, ServingSince: time.Now().Add(-time.Minute)}}
	r.counter = newCounter(r.leadership, testSlack, time.Now().Add(-time.Hour))
	r.stores = &scriptedStores{answer: r.answer}
	return r
}

// answer is the store's side.
func (r *slowStoreRun) answer(ctx context.Context, request *AdmitRequest) (*AdmitReply, error) {
	latency := 2 * time.Millisecond
	if r.slowEvery > 0 && r.stores.calls.Load()%int64(r.slowEvery) == 0 {
		latency = slowStoreAnswer
	}
	reply := r.count(request)
	select {
	case <-time.After(latency): // on the fake clock
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *slowStoreRun) count(request *AdmitRequest) *AdmitReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadership.lead.ConfirmedAt = time.Now()
	reply := &AdmitReply{}
	for i := range request.Demands {
		answer := r.counter.answer(&request.Demands[i], time.Now)
		r.granted += int(answer.Granted)
		for _, refund := range request.Demands[i].Refunds {
			r.refunded += int(refund.Tokens)
		}
		reply.Answers = append(reply.Answers, answer)
	}
	return reply
}

// play plays 20 s of requests, each of which waits 2 s at most.
func (r *slowStoreRun) play(t *testing.T) {
	t.Helper()
	client := NewClient(ClientOptions{Stores: r.stores})
	defer client.Close()
	r.requests = 20 * r.perSecond
	for i := range r.requests {
		go func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(r.perSecond)) // on the fake clock
			sentAt := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := client.Admit(ctx, &operatorconfig.Tenant{Name: "a", RatePerSecond: 100, Burst: r.burst}, 1)
			r.mu.Lock()
			defer r.mu.Unlock()
			var refused *ExceededError
			switch {
			case err == nil:
				r.served++
				if time.Since(sentAt) < 200*time.Millisecond {
					r.inTime++
				}
			case errors.As(err, &refused):
				r.refused++
			default:
				r.notAvailable++
			}
		}()
	}
	time.Sleep(30 * time.Second) // on the fake clock
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Logf("of %d requests %d got a token (%d within 200 ms), %d were refused, %d unavailable; %d calls, %d tokens granted, %d refunded",
		r.requests, r.served, r.inTime, r.refused, r.notAvailable, r.stores.calls.Load(), r.granted, r.refunded)
}

// TestSlowAnswersCostATenantNothing guards against tokens that are lost with slow answers, against requests that wait behind
// them, and against requests that are never served because all answers are slow.
func TestSlowAnswersCostATenantNothing(t *testing.T) {
	for _, c := range []struct {
		slowEvery, perSecond int
		burst                float64
		inTimePercent        int // at least
	}{
		{0, 62, 100, 100},
		{10, 62, 100, 95},
		{10, 97, 100, 95},
		{3, 62, 100, 90},
		{3, 97, 100, 90},
		{1, 62, 100, 0},
		{1, 97, 100, 0},
		{3, 97, 10, 90},
		{1, 97, 10, 0},
	} {
		t.Run(fmt.Sprintf("%d a second, burst %v, every %d. answer is slow", c.perSecond, c.burst, c.slowEvery), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newSlowStoreRun(c.slowEvery, c.perSecond, c.burst)
				r.play(t)
				if r.served != r.requests || 100*r.inTime < c.inTimePercent*r.requests {
					t.Errorf("want all requests served, %d %% of them within 200 ms", c.inTimePercent)
				}
				if r.granted-r.refunded != r.served {
					t.Errorf("%d tokens are lost", r.granted-r.refunded-r.served)
				}
			})
		})
	}
}
