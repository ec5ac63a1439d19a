package batch

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/platform/link"
)

// These tests count how often an item runs: each whole run after the first one is wasted.

// attachRecordingWorker attaches a worker that records what it is sent.
func attachRecordingWorker(c *core, name string) *recordingPipe {
	pipe := &recordingPipe{}
	c.handleMessage(pipe, nil, kindAttachWorker, encodeAttachWorker(name, "z0", 4))
	return pipe
}

// TestFirstResultEndsTheOtherRun guards against an item that two workers run and that one of them runs to its end though
// the other one's result is stored.
func TestFirstResultEndsTheOtherRun(t *testing.T) {
	g := newStoreRig(3, 1, 4, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	running := p.jobs["job"].items[0].worker
	if running == nil {
		t.Fatal("the item is not assigned")
	}
	recorded := &recordingPipe{}
	delete(c.workers, running.pipe)
	running.pipe = recorded
	c.workers[recorded] = running

	other := attachRecordingWorker(c, "w9") // which had the item from an earlier primary
	result := encodeItemResult(itemKey{p.index, "job", 0}, false, []byte("text"))
	c.handleMessage(other, nil, kindItemResult, result)
	g.deliverAll()
	if !slices.Contains(recorded.kinds, kindResultStored) {
		t.Errorf("the worker that still runs the item was sent %v, want %d among them", recorded.kinds, kindResultStored)
	}
}

// TestWorkerThatReportsLateKeepsItsItem guards against an item that runs at two workers, as the first one reported it only
// after it had been assigned to another one.
func TestWorkerThatReportsLateKeepsItsItem(t *testing.T) {
	g := newStoreRig(3, 1, 4, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	it := &p.jobs["job"].items[0]
	later := it.worker
	recorded := &recordingPipe{}
	delete(c.workers, later.pipe)
	later.pipe = recorded
	c.workers[recorded] = later

	late := attachRecordingWorker(c, "w9")
	report := encodeReportRunning(p.index, p.epoch, []itemKey{{p.index, "job", 0}})
	c.handleMessage(late, nil, kindReportRunning, report)
	g.deliverAll()
	if it.worker == nil || it.worker.name != "w9" || !slices.Contains(recorded.kinds, kindResultStored) {
		t.Errorf("the item is assigned to %+v, and the worker that got it later was sent %v", it.worker, recorded.kinds)
	}
	if len(later.assigned) != 0 || len(it.worker.assigned) != 1 {
		t.Errorf("%d and %d items are assigned, want 0 and 1", len(later.assigned), len(it.worker.assigned))
	}
	// The same worker over a newer connection must not be told that its item is not needed.
	again := attachRecordingWorker(c, "w9")
	c.handleMessage(again, nil, kindReportRunning, report)
	g.deliverAll()
	if slices.Contains(late.kinds, kindResultStored) || it.worker == nil || it.worker.pipe != again {
		t.Errorf("over the older connection %v was sent; the item is assigned to %+v", late.kinds, it.worker)
	}
}

// TestReplacedPrimaryTakesNoItemFromAWorker guards against a message of a replaced primary that makes a worker drop an
// item which the new primary has assigned to it: nobody would run it.
func TestReplacedPrimaryTakesNoItemFromAWorker(t *testing.T) {
	r := newItemRunner(ProxyOptions{Runner: blockedRunner{}})
	defer r.close()
	replaced, primary := newGoldenLink(t), newGoldenLink(t)
	key := itemKey{0, "job", 0}
	r.acceptItem(primary.conn, 2, key, &Item{}, 2)
	stored := func(conn *link.Conn) {
		r.handleMessage(&link.Message{Kind: kindResultStored, Conn: conn, Body: encodeItemRef(key)})
	}
	if stored(replaced.conn); !r.runs(key) {
		t.Error("a replaced primary has taken the item")
	}
	if stored(primary.conn); r.runs(key) {
		t.Error("the item still runs though the primary does not need it")
	}
}

// TestWorkerThatComesBackRunsItsItemsOnce guards against items that a worker and its substitute both run to the end, as the
// worker's connections were broken for longer than its items wait for it.
func TestWorkerThatComesBackRunsItsItemsOnce(t *testing.T) {
	const away = 2000 // ms; items take 1200 ms
	for seed := range uint64(12) {
		sim := newSimulation(seed, 4, 1, 4)
		sim.start()
		for i := range 3 {
			sim.addWorker(fmt.Sprint("p", i))
		}
		sim.run(800)
		sim.maxQueuedTokens = 10_000
		for i := range 12 {
			j := sim.newJob(fmt.Sprint("j", i), 1, 1, 1, 1, 1, 1)
			j.extraMs = 1200
			sim.submitUntilAccepted(j, 12)
		}
		sim.run(600)
		sim.cutLinks = func(a, b string) bool { return a == "p0" || b == "p0" }
		sim.dropConnections("p0", 0)
		sim.after(away, func() { sim.cutLinks = nil })
		sim.run(20_000)
		for item, runs := range sim.wholeRuns {
			if runs > 1 {
				t.Errorf("seed %d: %s ran %d times to its end", seed, item, runs)
			}
		}
		if len(sim.wholeRuns) != 12*6 {
			t.Errorf("seed %d: %d items were run", seed, len(sim.wholeRuns))
		}
		reportViolations(t, sim, fmt.Sprint("seed ", seed))
	}
}

// quietRunner sends an item and passes some events, with pauses; then it waits for the end of its context, as for an
// endpoint whose answer is lost while the connection stays open.
type quietRunner struct {
	admission time.Duration // before the item is sent
	pause     time.Duration // before each event
	events    int           // of each run
	whole     int           // events of the complete answer
	resumed   []string      // the Last-Event-Id of each run
	starts    []time.Duration
	began     time.Time
}

func (q *quietRunner) Run(ctx context.Context, it *Item, lastEventID string, event func(string, []byte)) RunResult {
	q.resumed = append(q.resumed, lastEventID)
	time.Sleep(q.admission)
	if ctx.Err() != nil || !it.MayStart() {
		return RunResult{End: RunNotStarted}
	}
	q.starts = append(q.starts, time.Since(q.began))
	last, _ := strconv.Atoi(lastEventID) // 0 if it starts from the beginning
	for range q.events {
		select {
		case <-time.After(q.pause):
		case <-ctx.Done():
			return RunResult{End: RunInterrupted}
		}
		last++
		event(strconv.Itoa(last), []byte("e"))
		if last == q.whole {
			return RunResult{End: RunCompleted}
		}
	}
	<-ctx.Done()
	return RunResult{End: RunInterrupted}
}

// runQuietly runs an item until it has a result, for at most an hour.
func runQuietly(q *quietRunner) *runningItem {
	r := newItemRunner(ProxyOptions{Runner: q})
	item := &runningItem{key: itemKey{0, "j", 0}, item: &Item{MayStart: func() bool { return true }}, maxAttempts: 2}
	item.ctx, item.cancel = context.WithTimeout(context.Background(), time.Hour)
	r.running[item.key] = item
	q.began = time.Now()
	r.run(item)
	return item
}

// TestLostAnswerIsTakenUpAfterSilence guards against an item that waits for ever for an answer that was lost on a connection
// that stays open, and against one that then starts from the beginning instead of after its last event.
func TestLostAnswerIsTakenUpAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &quietRunner{pause: 100 * time.Millisecond, events: 3, whole: 6}
		item := runQuietly(q)
		if !item.done || !slices.Equal(q.resumed, []string{"", "3"}) {
			t.Fatalf("done %v, runs after %q", item.done, q.resumed)
		}
		if took := time.Since(q.began); took > 2*minRunSilence {
			t.Errorf("it took %v", took)
		}
	})
}

// TestSlowEndpointIsNotTakenForLost guards against runs that are ended while their endpoint works: pauses between events, a
// long wait for an endpoint before the item is sent, and a first event that takes longer each endpoint's time.
func TestSlowEndpointIsNotTakenForLost(t *testing.T) {
	for name, q := range map[string]*quietRunner{
		"pauses":     {pause: minRunSilence - time.Millisecond, events: 4, whole: 4},
		"admission":  {admission: 10 * time.Minute, pause: time.Millisecond, events: 4, whole: 4},
		"slow start": {pause: 3 * minRunSilence, events: 1, whole: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				item := runQuietly(q)
				want := map[string]int{"pauses": 1, "admission": 1, "slow start": 3}[name] // the bound doubles
				if !item.done || len(q.resumed) != want {
					t.Errorf("done %v, %d runs, want %d", item.done, len(q.resumed), want)
				}
			})
		})
	}
}

// TestSilenceIsBoundedForEver guards against a bound that doubles until nobody waits for it.
func TestSilenceIsBoundedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &quietRunner{whole: 1}
		runQuietly(q)
		for i := 1; i < len(q.starts); i++ {
			if gap := q.starts[i] - q.starts[i-1]; gap > maxRunSilence+2*maxRunDelay {
				t.Fatalf("run %d began %v after the one before", i, gap)
			}
		}
		if len(q.starts) < 50 {
			t.Errorf("%d runs in an hour", len(q.starts))
		}
	})
}
