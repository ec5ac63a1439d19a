package quota

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// answerUnconfirmed answers as a store does that leads and is not confirmed.
func answerUnconfirmed(_ context.Context, request *AdmitRequest) (*AdmitReply, error) {
	reply := &AdmitReply{}
	for range request.Demands {
		reply.Answers = append(reply.Answers, notOwner(unconfirmedRetry))
	}
	return reply, nil
}

// TestUnconfirmedStoreIsNotAskedInAStorm guards against proxies that occupy a store which can't be confirmed (its replicas
// are cut off or slow) with the repetition of the same questions.
func TestUnconfirmedStoreIsNotAskedInAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := &scriptedStores{answer: afterLatency(answerUnconfirmed)}
		client := NewClient(ClientOptions{Stores: stores})
		defer client.Close()
		const requests = 20
		for i := range requests { // 10 requests a second, each of another tenant, each waiting for 2 s
			go func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond) // on the fake clock
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				tenant := &operatorconfig.Tenant{Name: fmt.Sprint("t", i), RatePerSecond: 10, Burst: 10}
				_, _ = client.Admit(ctx, tenant, 1)
			}()
		}
		time.Sleep(4 * time.Second) // on the fake clock
		const perRequest = 25       // one question in 80 ms
		calls := stores.calls.Load()
		t.Logf("%d calls in 4 s for %d requests of one proxy", calls, requests)
		if calls > requests*perRequest {
			t.Errorf("%d calls, want %d at most", calls, requests*perRequest)
		}
	})
}

// Guards against a storm of questions to a store that can't be confirmed while the same store counts for other tenants, and
// against requests that wait much longer than the store.
func TestClientHistoriesWithAStoreThatIsNotConfirmed(t *testing.T) {
	const (
		lasts  = 2 * time.Second
		settle = 500 * time.Millisecond // until the pauses have their full length
	)
	for seed := range uint64(20) {
		h := newClientHistory(t, seed, false)
		perSecond := []int{10, 100, 1000}[seed%3]
		for at := time.Duration(0); at < lasts; at += time.Second / time.Duration(perSecond) {
			h.after(at, func() { h.arrive(h.tenants[h.rng.IntN(len(h.tenants))]) })
		}
		h.unconfirmed[1] = true
		h.run(h.now + settle)
		asked, calls := h.asked["a"], h.callsTo[1]
		h.run(h.now + lasts - settle)
		seconds := (lasts - settle).Seconds()
		// Two calls may be in flight, and a pause may be cut by half.
		const mostASecond = 2 * float64(time.Second) / float64(maxAskAgainDelay/2)
		if got := float64(h.asked["a"]-asked) / seconds; got > mostASecond {
			t.Errorf("seed %d: a store that is not confirmed was asked %.0f times a second for a tenant", seed, got)
		}
		if got := float64(h.callsTo[1]-calls) / seconds; got > 2*mostASecond { // for both tenants of the store
			t.Errorf("seed %d: a store that is not confirmed was called %.0f times a second", seed, got)
		}
		delete(h.unconfirmed, 1)
		h.run(h.now + maxAskAgainDelay + 10*time.Millisecond)
		if h.core.waiting > 0 {
			t.Errorf("seed %d: %d requests wait for a store that counts", seed, h.core.waiting)
		}
		h.run(h.now + 5*time.Second)
	}
}

// Guards against a pause that delays the first token of a store which is confirmed soon, as after a pause in its use.
func TestRetriesAreQuickAtFirst(t *testing.T) {
	for _, confirmedAfter := range []time.Duration{2, 5, 10, 25, 50, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			startedAt := time.Now()
			after := confirmedAfter * time.Millisecond
			stores := &scriptedStores{answer: afterLatency(func(ctx context.Context, r *AdmitRequest) (*AdmitReply, error) {
				if time.Since(startedAt) < after {
					return answerUnconfirmed(ctx, r)
				}
				return grantAll(ctx, r)
			})}
			client := NewClient(ClientOptions{Stores: stores})
			defer client.Close()
			if _, err := client.Admit(t.Context(), limitedTenant("a"), 1); err != nil {
				t.Fatal(err)
			}
			took := time.Since(startedAt)
			t.Logf("confirmed after %v: a token after %v, %d calls", after, took, stores.calls.Load())
			if limit := after + min(after, maxAskAgainDelay) + 10*time.Millisecond; took > limit {
				t.Errorf("confirmed after %v: a token after %v, want %v at most", after, took, limit)
			}
		})
	}
}
