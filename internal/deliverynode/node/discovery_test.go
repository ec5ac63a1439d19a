package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
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
			d := newDiscovery(newAgent("127.0.0.1:1"), 41, 0, quietLog(), func(l list) { told <- l })
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

// shortOfRoom is a discovery that works on one call after the other, answers a watch when
// there is news, and turns a call away that it did not come to within 2 s; the work for it
// is done all the same.
type shortOfRoom struct {
	work time.Duration
	born time.Time

	mu     sync.Mutex
	free   time.Time // when it comes to the next call
	failed int
}

// revision changes every 1.2 s from 10 s to 28 s.
func (s *shortOfRoom) revision() int64 {
	return int64(max(0, min(15, (time.Since(s.born)-10*time.Second)/(1200*time.Millisecond))))
}

func (s *shortOfRoom) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	s.free = time.Now().Add(max(0, time.Until(s.free)) + s.work)
	wait := time.Until(s.free)
	s.mu.Unlock()
	if wait > 2*time.Second {
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		s.failed++
		s.mu.Unlock()
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	time.Sleep(wait)
	at, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	watch, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	for end := time.Now().Add(time.Duration(watch) * time.Millisecond); s.revision() <= at && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(
		fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, s.revision())))}, nil
}

// Many nodes hear of each change at one moment. If each asks again at once discovery comes
// to none of them within its time, and does the work in vain.
func TestManyNodesLeaveDiscoveryRoom(t *testing.T) {
	const nodes, restarted, askEvery = 80, 56, 10 * time.Second
	c := Config{AskEvery: askEvery}
	c.Settings.Senders, c.Settings.MustSubscribe = nodes, true
	synctest.Test(t, func(t *testing.T) {
		fleet := &askingFleet{t: t, config: c, discovery: &shortOfRoom{work: 64 * time.Millisecond, born: time.Now()},
			knows: make([]int64, nodes), last: make([]time.Time, nodes)}
		ctx, cancel := context.WithCancel(context.Background())
		killed, kill := context.WithCancel(ctx)
		for n := range nodes {
			fleet.mu.Lock()
			fleet.last[n] = time.Now()
			fleet.mu.Unlock()
			if n < restarted {
				fleet.start(killed, n)
			} else {
				fleet.start(ctx, n)
			}
		}
		time.Sleep(13 * time.Second)
		kill()
		time.Sleep(1500 * time.Millisecond)
		for n := range restarted {
			fleet.start(ctx, n)
		}
		behind, most := fleet.watch(43)
		fleet.mu.Lock()
		late := 0
		for _, k := range fleet.knows {
			if k < 15 {
				late++
			}
		}
		calls, failed := fleet.calls, fleet.discovery.failures()
		fleet.mu.Unlock()
		t.Logf("%d calls, %d in vain, %d nodes lack the last change after 8 s; %.1f changes behind in the mean, %.0f at the most",
			calls, failed, late, behind, most)
		if failed > calls/4 || late > nodes/20 {
			t.Errorf("%d of %d calls in vain; %d of %d nodes lack the last change after 8 s", failed, calls, late, nodes)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// askingFleet is nodes that ask the same discovery.
type askingFleet struct {
	t         *testing.T
	config    Config
	discovery *shortOfRoom

	mu    sync.Mutex
	knows []int64     // the revision that each node knows
	last  []time.Time // when each node was answered last
	calls int
}

// start has a node ask until the context ends.
func (f *askingFleet) start(ctx context.Context, n int) {
	f.mu.Lock()
	known := f.knows[n]
	f.mu.Unlock()
	one := newDiscovery(newAgent("127.0.0.1:1"), known, discoveryTurn(f.config), quietLog(), func(l list) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.knows[n] = l.Revision
	})
	one.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		f.mu.Lock()
		f.calls++
		if gap := time.Since(f.last[n]); gap > f.config.AskEvery {
			f.t.Errorf("node %d asked after %v only", n, gap)
		}
		f.mu.Unlock()
		resp, err := f.discovery.RoundTrip(r)
		f.mu.Lock()
		f.last[n] = time.Now()
		f.mu.Unlock()
		return resp, err
	})
	go one.run(ctx)
}

// watch looks every half second, so many times, how many changes the nodes are behind, in the mean and at the most.
func (f *askingFleet) watch(looks int) (behind, most float64) {
	for range looks {
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		now := f.discovery.revision()
		for _, k := range f.knows {
			behind += float64(now-k) / float64(looks) / float64(len(f.knows))
			most = max(most, float64(now-k))
		}
		f.mu.Unlock()
	}
	return behind, most
}

// failures returns how many calls were refused.
func (s *shortOfRoom) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}
