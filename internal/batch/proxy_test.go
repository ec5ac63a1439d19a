package batch

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs"
)

// echo is a Runner whose result text is the body of the item, one event per byte.
type echo struct{ breakAt int }

func (e *echo) Run(_ context.Context, it *Item, last string, event func(string, []byte)) RunResult {
	if !it.MayStart() {
		return RunResult{End: RunNotStarted}
	}
	from := 0
	if last != "" {
		_, _ = fmt.Sscan(last, &from)
	}
	for i := from; i < len(it.Body); i++ {
		if from == 0 && i == e.breakAt && e.breakAt > 0 {
			return RunResult{End: RunInterrupted}
		}
		event(fmt.Sprint(i+1), it.Body[i:i+1])
	}
	return RunResult{End: RunCompleted}
}

func bulkConfig(most int64) *operatorconfig.Config {
	return &operatorconfig.Config{
		Version: 1,
		Routes: []operatorconfig.Route{{
			Name:            "b",
			Host:            "h.example",
			PathPrefix:      "/b/",
			Kind:            operatorconfig.Bulk,
			DueMs:           5000,
			MaxAttempts:     2,
			MaxWaitMs:       60000,
			MaxQueuedTokens: most,
		}},
	}
}

// clearAnswerTimeout bounds how long a client repeats a call. It allows for a busy machine: an answer may wait for several
// syncs of a real disk in a row.
const clearAnswerTimeout = 30 * time.Second

// untilClear repeats a call as a client does while the answer says nothing of it: 503, or none. Such an answer is only right
// once the proxy has tried for as long as it may.
func untilClear(t *testing.T, call func() Response) Response {
	t.Helper()
	for began := time.Now(); ; time.Sleep(callRetryDelay) {
		asked := time.Now()
		a := call()
		if a.Status != 503 && a.Status != 0 {
			return a
		}
		if took := time.Since(asked); took < min(readTimeout, submitTimeout, endTimeout) {
			t.Errorf("%+v after %v, before the time of the call is up", a, took)
		}
		if time.Since(began) > clearAnswerTimeout {
			t.Fatalf("no clear answer for %v, the last one is %+v", clearAnswerTimeout, a)
		}
	}
}

// TestJobsAreRunAndReadOverRealLinks: a job is submitted, run and read over real connections, also
// after a takeover.
func TestJobsAreRunAndReadOverRealLinks(t *testing.T) {
	var stores []*Store
	var all []snapshot.Store
	var dirs []string
	var mu sync.Mutex
	holder := &snapshot.Latest{}
	publish := func(tab *snapshot.PartitionTable) {
		s := &snapshot.Snapshot{Config: bulkConfig(1000), Table: tab}
		holder.Set(s)
		for _, st := range stores {
			st.Update(s)
		}
	}
	var listeners []net.Listener
	for i := range 3 {
		dirs = append(dirs, t.TempDir())
		st, err := NewStore(StoreOptions{Zone: "z", MaxLostMachines: 1, RetentionMs: 60000,
			Open:        OpenIn(vfs.Dir(dirs[i])),
			ReportReady: func(int, uint64) {}, Logf: t.Logf})
		if err != nil {
			t.Fatal(err)
		}
		defer st.Close()
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() { _ = link.Serve(l, st, link.DefaultOptions) }()
		stores = append(stores, st)
		listeners = append(listeners, l)
		all = append(all, snapshot.Store{
			ID:   st.ID(),
			Name: fmt.Sprint("s", i),
			Addr: l.Addr().String(),
			Zone: fmt.Sprint("z", i),
		})
	}
	mu.Lock()
	tab, ok := AssignPartitions(nil, all, func(uint64) bool { return false }, 8, 1)
	mu.Unlock()
	if !ok {
		t.Fatal("no table")
	}
	publish(tab)
	e := NewProxy(ProxyOptions{Snapshots: holder, Name: "p", Zone: "z", Runner: &echo{breakAt: 2}})
	defer e.Close()
	e.SetMaxRunning(6)
	call := func(method, path, query string, header map[string]string, body string) Response {
		t.Helper()
		return untilClear(t, func() Response {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return e.Serve(ctx, &Call{
				Method: method,
				Host:   "h.example",
				Path:   path,
				Query:  query,
				Body:   []byte(body),
				Header: func(n string) string { return header[n] },
			})
		})
	}
	post := func(id string, tokens int) Response {
		return call("POST", "/b/x", "", map[string]string{"X-Dunetide-Request-Id": id},
			fmt.Sprintf(`{"requests":[
				{"id":"i1","path":"/b/1","headers":{"A":"b"},"body":"aGVsbG8=","tokens":%d},
				{"id":"i2","path":"/b/2","headers":{},"body":"eW91","tokens":5}]}`, tokens))
	}
	if a := post("j1", 40); a.Status != 202 {
		t.Fatalf("accept: %+v", a)
	}
	if a := post("j1", 40); a.Status != 202 {
		t.Fatalf("accept again: %+v", a)
	}
	if a := post("j2", 2000); a.Status != 429 {
		t.Fatalf("accept too much: %+v", a)
	}
	for range 2 {
		a := call("GET", "/lots/j1", "start_after=1", map[string]string{"X-Dunetide-Wait-Ms": "3000"}, "")
		if a.Status != 200 {
			t.Fatalf("read: %+v", a)
		}
		t.Logf("%s", a.Body)
	}
	a := call("GET", "/lots/j1", "start_after=0", nil, "")
	body := string(a.Body)
	if a.Status != 200 || !strings.Contains(body, "h\\ne\\nl\\nl\\no") || !strings.Contains(body, "y\\no\\nu") {
		t.Fatalf("read all: %d %s", a.Status, a.Body)
	}
	if a := call("GET", "/lots/none", "", nil, ""); a.Status != 404 {
		t.Fatalf("read none: %+v", a)
	}
	if a := call("GET", "/items/j1", "id=i1", nil, ""); a.Status != 200 || string(a.Body) != "hello" {
		t.Fatalf("body: %+v", a)
	}
	for range 2 {
		if a := call("DELETE", "/lots/j1", "", nil, ""); a.Status != 200 {
			t.Fatalf("end: %+v", a)
		}
	}
	// The primary of the job's partition stops; another takes over, and the first store comes back
	// with its disk.
	row := tab.Partitions[tab.PartitionOf("j1")]
	for i, st := range stores {
		if st.ID() == row.Primary {
			st.Close()
			listeners[i].Close()
			isLost := func(id uint64) bool { return id == row.Primary }
			tab, _ = AssignPartitions(tab, slices.Delete(slices.Clone(all), i, i+1), isLost, 8, 1)
			publish(tab)
			if a := call("GET", "/lots/j1", "start_after=0", nil, ""); a.Status != 200 || !strings.Contains(string(a.Body), "h\\ne") {
				t.Fatalf("read after the takeover: %d %s", a.Status, a.Body)
			}
			if a := post("j3", 40); a.Status != 202 {
				t.Fatalf("accept after the takeover: %+v", a)
			}
			again, err := NewStore(StoreOptions{
				Zone:            "z",
				MaxLostMachines: 1,
				RetentionMs:     60000,
				Open:            OpenIn(vfs.Dir(dirs[i])),
				Logf:            t.Logf,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer again.Close()
			if again.ID() != st.ID() {
				t.Errorf("it comes back with identity %d, was %d", again.ID(), st.ID())
			}
			break
		}
	}
}

// TestEventTextAcceptsOnlyTheNextEvent: a text accepts only the event after its last one.
func TestEventTextAcceptsOnlyTheNextEvent(t *testing.T) {
	for _, c := range []struct {
		ids   string
		wrong bool
	}{{"1 2 3", false}, {"5 6", false}, {"1 3", true}, {"1 1", true}, {"2 1", true}, {"1 x", true}, {"-1", true}} {
		j := &eventText{lastEvent: -1}
		for _, id := range strings.Fields(c.ids) {
			j.addEvent(id, []byte("d"+id))
		}
		if j.invalid != c.wrong {
			t.Errorf("%s: invalid is %v", c.ids, j.invalid)
		}
		if want := "d" + strings.ReplaceAll(c.ids, " ", "\nd"); !c.wrong && string(j.text) != want {
			t.Errorf("%s: text %q", c.ids, j.text)
		}
	}
}

// script is a Runner that plays scripted runs in order.
type script struct {
	mu   sync.Mutex
	runs []func(last string, event func(string, []byte)) RunResult
}

func (s *script) Run(_ context.Context, it *Item, last string, event func(string, []byte)) RunResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !it.MayStart() || len(s.runs) == 0 {
		return RunResult{End: RunNotStarted}
	}
	run := s.runs[0]
	s.runs = s.runs[1:]
	return run(last, event)
}

// TestWorkerRetriesItemsByTheEndOfTheirRuns: runs that are interrupted, whose events are not
// consecutive, that fail, or that can never succeed.
func TestWorkerRetriesItemsByTheEndOfTheirRuns(t *testing.T) {
	play := func(end RunEnd, ids ...string) func(string, func(string, []byte)) RunResult {
		return func(last string, event func(string, []byte)) RunResult {
			if len(ids) > 0 && ids[0] == "after" {
				if last != ids[1] {
					t.Errorf("resumed after %q, want %q", last, ids[1])
				}
				ids = ids[2:]
			}
			for _, id := range ids {
				event(id, []byte(id))
			}
			return RunResult{End: end}
		}
	}
	type runs = []func(string, func(string, []byte)) RunResult
	for name, c := range map[string]struct {
		runs          runs
		text          string
		wantAbandoned bool
	}{
		"interrupted, resumes": {
			runs{play(RunInterrupted, "1", "2"), play(RunCompleted, "after", "2", "3")},
			"1\n2\n3",
			false,
		},
		"events not consecutive": {
			runs{play(RunInterrupted, "1", "2"), play(RunCompleted, "after", "2", "4"), play(RunCompleted, "after", "", "1", "2")},
			"1\n2",
			false,
		},
		"rejected":                  {runs{play(RunNotStarted), play(RunCompleted, "1")}, "1", false},
		"failed, then completed":    {runs{play(RunFailed), play(RunCompleted, "after", "", "1")}, "1", false},
		"failed too often":          {runs{play(RunFailed), play(RunFailed)}, "", true},
		"can never succeed":         {runs{play(RunImpossible)}, "", true},
		"interrupted before events": {runs{play(RunInterrupted), play(RunCompleted, "after", "", "1")}, "1", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &Proxy{options: ProxyOptions{Runner: &script{runs: c.runs}}}
			w := newItemRunner(e.options)
			r := &runningItem{key: itemKey{0, "j", 0}, item: &Item{}, maxAttempts: 2}
			r.ctx, r.cancel = context.WithCancel(context.Background())
			r.item.MayStart = func() bool { return true }
			w.running[r.key] = r
			w.run(r)
			if !r.done || string(r.text) != c.text || r.abandoned != c.wantAbandoned {
				t.Errorf("done %v, abandoned %v, text %q", r.done, r.abandoned, r.text)
			}
		})
	}
}
