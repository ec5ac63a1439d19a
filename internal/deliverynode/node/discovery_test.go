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

// Nodes that discovery rejects at the same moment retry at different moments and at growing intervals, continue from the
// revision that they have, and return to the normal rate after a success.
func TestRetriesWhenDiscoveryIsOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 20
		start := time.Now()
		var mu sync.Mutex
		asked := make([][]time.Duration, nodes)
		lists := make(chan list, nodes)
		ctx, cancel := context.WithCancel(context.Background())
		for n := range nodes {
			d := newDiscovery(newAgent("127.0.0.1:1"), 41, 0, quietLog(), func(l list) { lists <- l })
			d.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				mu.Lock()
				asked[n] = append(asked[n], time.Since(start))
				mu.Unlock()
				if after := r.URL.Query().Get("index"); after != "41" {
					if after != "42" {
						t.Errorf("requested %s, want the changes after a known revision", r.URL)
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
				t.Errorf("%d requests in 19 s, want between 8 and 40", len(times))
			}
			late = append(late, times[len(times)-1])
		}
		mu.Unlock()
		slices.Sort(late)
		if same := len(late) - len(slices.Compact(late)); same > 0 {
			t.Errorf("%d of %d nodes still ask at the same moment", same, nodes)
		}
		for range nodes {
			if l := <-lists; l.Revision != 42 {
				t.Errorf("got revision %d, want 42", l.Revision)
			}
		}
		if waited := time.Since(start); waited > 20*time.Second+maxPause {
			t.Errorf("all nodes had the list after %v", waited)
		}
		cancel()
	})
}

// slowDiscovery is a discovery agent that processes one request at a time, answers a watch when there are changes, and rejects
// a request that it could not start within 2 s; it still spends the work for that request.
type slowDiscovery struct {
	work    time.Duration
	started time.Time

	mu     sync.Mutex
	free   time.Time // when it can start the next request
	failed int
}

// revision returns a revision that changes every 1.2 s from 10 s to 28 s.
func (s *slowDiscovery) revision() int64 {
	return int64(max(0, min(15, (time.Since(s.started)-10*time.Second)/(1200*time.Millisecond))))
}

func (s *slowDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
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

// Many nodes receive each change at the same moment. If all ask again at once, discovery can't answer them in time, and its
// work is wasted.
func TestManyNodesDoNotOverloadDiscovery(t *testing.T) {
	const nodes, restarted, askEvery = 80, 56, 10 * time.Second
	c := Config{AskEvery: askEvery}
	c.Settings.Senders, c.Settings.MustSubscribe = nodes, true
	synctest.Test(t, func(t *testing.T) {
		fleet := &discoveryFleet{t: t, config: c, discovery: &slowDiscovery{work: 64 * time.Millisecond, started: time.Now()},
			revisions: make([]int64, nodes), last: make([]time.Time, nodes)}
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
		for _, k := range fleet.revisions {
			if k < 15 {
				late++
			}
		}
		calls, failed := fleet.calls, fleet.discovery.failures()
		fleet.mu.Unlock()
		t.Logf("%d requests, %d rejected, %d nodes lack the last change after 8 s; %.1f changes behind in the mean, %.0f at the most",
			calls, failed, late, behind, most)
		if failed > calls/4 || late > nodes/20 {
			t.Errorf("%d of %d requests rejected; %d of %d nodes lack the last change after 8 s", failed, calls, late, nodes)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// discoveryFleet is a set of nodes that use the same discovery agent.
type discoveryFleet struct {
	t         *testing.T
	config    Config
	discovery *slowDiscovery

	mu        sync.Mutex
	revisions []int64     // the revision that each node has
	last      []time.Time // the time of the last response to each node
	calls     int
}

// start runs the discovery of a node until the context ends.
func (f *discoveryFleet) start(ctx context.Context, n int) {
	f.mu.Lock()
	known := f.revisions[n]
	f.mu.Unlock()
	one := newDiscovery(newAgent("127.0.0.1:1"), known, discoveryTurn(f.config), quietLog(), func(l list) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.revisions[n] = l.Revision
	})
	one.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		f.mu.Lock()
		f.calls++
		if gap := time.Since(f.last[n]); gap > f.config.AskEvery {
			f.t.Errorf("node %d did not ask for %v", n, gap)
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

// watch samples every half second, looks times, how many changes the nodes are behind, and returns the mean and the maximum.
func (f *discoveryFleet) watch(looks int) (behind, most float64) {
	for range looks {
		time.Sleep(500 * time.Millisecond)
		f.mu.Lock()
		now := f.discovery.revision()
		for _, k := range f.revisions {
			behind += float64(now-k) / float64(looks) / float64(len(f.revisions))
			most = max(most, float64(now-k))
		}
		f.mu.Unlock()
	}
	return behind, most
}

// failures returns how many requests were rejected.
func (s *slowDiscovery) failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}
