package batch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// rejectedRunner sends an item to an endpoint that is full and rejects it at once, waits in admission for the next
// endpoint, as forward.Proxy.RunItem does within one run, and sends it there.
type rejectedRunner struct {
	wait   time.Duration
	lost   int // of how many runs the answer is lost after that
	runs   int
	resent []time.Duration // after how long each lost answer was given up
}

func (q *rejectedRunner) Run(ctx context.Context, it *Item, _ string, event func(string, []byte)) RunResult {
	q.runs++
	if !it.MayStart() { // sent, and rejected
		return RunResult{End: RunNotStarted}
	}
	it.Rejected()
	select {
	case <-time.After(q.wait): // in admission
	case <-ctx.Done():
		return RunResult{End: RunNotStarted}
	}
	if !it.MayStart() {
		return RunResult{End: RunNotStarted}
	}
	if q.lost > 0 {
		q.lost--
		at := time.Now()
		<-ctx.Done()
		q.resent = append(q.resent, time.Since(at))
		return RunResult{End: RunInterrupted}
	}
	event("1", []byte("e"))
	return RunResult{End: RunCompleted}
}

// TestWaitAfterARejectionIsNoSilence guards against items that are taken out of admission, where they wait for the next
// endpoint after one that was full, since nothing has come for a while; and against a bound that doubles by that, so that
// an answer which is lost then is awaited for far longer.
func TestWaitAfterARejectionIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &rejectedRunner{wait: 15 * time.Second, lost: 1}
		r := newItemRunner(ProxyOptions{Runner: q})
		item := &runningItem{key: itemKey{0, "j", 0}, item: &Item{MayStart: func() bool { return true }}, maxAttempts: 2}
		item.ctx, item.cancel = context.WithTimeout(context.Background(), time.Hour)
		r.running[item.key] = item
		began := time.Now()
		r.run(item)
		if !item.done || q.runs > 2 {
			t.Errorf("done %v after %d runs and %v, want 2 runs", item.done, q.runs, time.Since(began))
		}
		for _, after := range q.resent {
			if after > minRunSilence+time.Second {
				t.Errorf("the lost answer was given up after %v, want %v", after, minRunSilence)
			}
		}
	})
}
