package batch

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"dunetide/internal/platform/link"
)

const hourMs = 3_600_000

// idsOfOnePartition returns IDs of jobs of one partition.
func (g *storeRig) idsOfOnePartition(n int) (ids []string) {
	table := g.cores[0].table
	for i := 0; len(ids) < n; i++ {
		if id := fmt.Sprint("job", i); table.PartitionOf(id) == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// attachAndCollect attaches a worker to a store, and returns the messages that assign items to it.
func (g *storeRig) attachAndCollect(c *core) (assigned [][]byte) {
	worker := g.connect(func(_ *rigPipe, kind link.Kind, body []byte) {
		if kind == kindAssignItem {
			assigned = append(assigned, slices.Clone(body))
		}
	}, receiverOf(c))
	_ = worker.Send(kindAttachWorker, encodeAttachWorker("worker", "z0", 100))
	for range 100 {
		g.now += 1000
		g.deliverAll()
	}
	return assigned
}

// TestSteppedClockDoesNotReorderJobs: jobs of one route are assigned in the order in which they
// were submitted, even if the proxy's clock is stepped in between.
func TestSteppedClockDoesNotReorderJobs(t *testing.T) {
	for _, step := range []int64{-hourMs, 0, hourMs} {
		g := newStoreRig(4, 0, 0, 1)
		ids := g.idsOfOnePartition(3)
		var primary *core
		for i, id := range ids {
			primary = g.submitAged(t, id, int64(i)*step, 60_000)
			g.step(100)
		}
		var order []string
		for _, body := range g.attachAndCollect(primary) {
			order = append(order, itemOfAssignment(body).jobID)
		}
		if !slices.Equal(order, ids) {
			t.Errorf("the clock was stepped by %d ms: submitted as %v, assigned as %v", step, ids, order)
		}
	}
}

// dueRunner is a Runner that reports the due time of each item.
type dueRunner chan time.Time

func (r dueRunner) Run(_ context.Context, item *Item, _ string, _ func(string, []byte)) RunResult {
	r <- item.Due
	return RunResult{End: RunImpossible}
}

// workerDue returns the due time of an item at the worker that it is assigned to.
func workerDue(t *testing.T, body []byte) time.Time {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() { _ = link.Serve(listener, make(kindsHandler, 10), link.DefaultOptions) }()
	conn, err := link.Dial(context.Background(), listener.Addr().String(), make(kindsHandler, 10), link.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	runner := make(dueRunner, 1)
	worker := newItemRunner(ProxyOptions{Runner: runner})
	worker.handleMessage(&link.Message{Conn: conn, Kind: kindAssignItem, Body: body})
	select {
	case due := <-runner:
		return due
	case <-time.After(time.Minute):
		t.Fatal("the item was not run")
		return time.Time{}
	}
}

// TestWorkersUseTheRemainingTime: a worker gets the time that remains until an item is due,
// independently of the wall clock at the submission.
func TestWorkersUseTheRemainingTime(t *testing.T) {
	const dueMs, waitedMs = 600_000, 200_000
	for _, step := range []int64{-hourMs, 0, hourMs} {
		g := newStoreRig(4, 0, 0, 1)
		id := g.idsOfOnePartition(1)[0]
		primary := g.submitAged(t, id, time.Now().UnixMilli()+step, dueMs)
		g.step(waitedMs)
		given := g.attachAndCollect(primary)
		if len(given) != 1 {
			t.Fatalf("%d items assigned", len(given))
		}
		left := time.Until(workerDue(t, given[0]))
		// A slow machine may add delay, but far less than the clock step.
		most := (dueMs - waitedMs) * time.Millisecond
		if left > most || left < most-5*time.Minute {
			t.Errorf("the clock was stepped by %d ms: due in %v, should be %v", step, left, most)
		}
	}
}

// TestAssignmentOfAnOlderVersionUsesTheTimeOfDay: a store of a version without the remaining time
// sends only the time of day, which the worker then uses.
func TestAssignmentOfAnOlderVersionUsesTheTimeOfDay(t *testing.T) {
	due := time.Now().Add(time.Hour).Truncate(time.Millisecond)
	message := assignMessage{
		item:        itemKey{1, "job", 2},
		epoch:       3,
		dueMs:       due.UnixMilli(),
		maxAttempts: 4,
		route:       "r",
		host:        "h",
		itemID:      "id",
		tokens:      5,
		request:     encodeRequest("/x", nil, []byte("body")),
		remainingMs: 60_000,
	}
	body := message.encode()
	if got := time.Until(workerDue(t, body)); got > time.Minute {
		t.Errorf("due in %v according to the remaining time", got)
	}
	older := body[:len(body)-8]
	if got := workerDue(t, older); !got.Equal(due) {
		t.Errorf("due at %v, should be %v", got, due)
	}
	decoded, err := decodeAssignMessage(older)
	if err != nil || decoded.hasRemaining || decoded.item != message.item || decoded.epoch != 3 ||
		decoded.maxAttempts != 4 || decoded.itemID != "id" || decoded.tokens != 5 {
		t.Errorf("%+v, %v", decoded, err)
	}
}

// TestTransferredJobKeepsItsAge: a replica that gets a job with its results knows the job's age,
// even after a restart. Without the age, as from an older version, the age counts from the arrival
// of the job.
func TestTransferredJobKeepsItsAge(t *testing.T) {
	donor := newCore(1, &simDisk{})
	donor.nowMs = 1000
	accept := encodeAcceptJob(encodedJob("job", 1, hourMs))
	donor.appendRecord(append(encodeRecord(recordOperation, 3, firstTerm(1)+1, 1), accept...))
	donor.nowMs = 5000
	encoded, err := donor.encodeJobWithResults(donor.partition(3).jobs["job"])
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		encoded []byte
		age     int64
	}{{"with its age", encoded, 4000}, {"without", encoded[:len(encoded)-8], 0}} {
		log := &simDisk{}
		receiver, restarted := newCore(2, log), newCore(2, log)
		receiver.nowMs, restarted.nowMs = 70_000, 10
		record := append(encodeRecord(recordJob, 3), c.encoded...)
		receiver.appendRecord(record)
		if err := restarted.replay(record, 0); err != nil {
			t.Fatal(err)
		}
		for _, at := range []*core{receiver, restarted} {
			if j := at.partition(3).jobs["job"]; j == nil || at.nowMs-j.knownSinceMs != c.age {
				t.Errorf("%s: %+v at %d", c.name, j, at.nowMs)
			}
		}
	}
}
