package node

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Nodes that are turned away together come back apart and ever more rarely, go on from
// the list that they know, and ask as before once they were answered.
func TestDiscoveryThatIsShortOfRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 20
		start := time.Now()
		var mu sync.Mutex
		asked := make([][]time.Duration, nodes)
		told := make(chan list, nodes)
		ctx, cancel := context.WithCancel(context.Background())
		for n := range nodes {
			d := newDiscovery(newAgent("127.0.0.1:1"), 41, quietLog(), func(l list) { told <- l })
			d.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				mu.Lock()
				asked[n] = append(asked[n], time.Since(start))
				mu.Unlock()
				if after := r.URL.Query().Get("index"); after != "41" {
					if after != "42" {
						t.Errorf("asked for %s, want what came after a version that is known", r.URL)
					}
					<-r.Context().Done()
					return nil, r.Context().Err()
				}
				if time.Since(start) < 20*time.Second {
					return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
				}
				return &http.Response{StatusCode: http.StatusOK,
					Body: io.NopCloser(strings.NewReader(`{"revision":42,"complete":false,"members":[]}`))}, nil
			})
			go d.run(ctx)
		}
		time.Sleep(19 * time.Second) // of the fake clock
		var late []time.Duration
		mu.Lock()
		for _, times := range asked {
			if len(times) < 8 || len(times) > 40 {
				t.Errorf("asked %d times in 19 s, want some but not many", len(times))
			}
			late = append(late, times[len(times)-1])
		}
		mu.Unlock()
		slices.Sort(late)
		if same := len(late) - len(slices.Compact(late)); same > 0 {
			t.Errorf("%d of %d nodes ask at the same moment still", same, nodes)
		}
		for range nodes {
			if l := <-told; l.Revision != 42 {
				t.Errorf("told version %d", l.Revision)
			}
		}
		if waited := time.Since(start); waited > 20*time.Second+maxPause {
			t.Errorf("all told after %v", waited)
		}
		cancel()
	})
}
