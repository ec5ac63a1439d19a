package batch

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// boundedDisk is a simDisk with a limited size.
type boundedDisk struct {
	*simDisk
	bytes    int64 // its size
	maxUsed  int64
	appended int64
}

func (d *boundedDisk) Append(b []byte) (int64, error) {
	if d.Size()+int64(len(b)) > d.bytes {
		return 0, errors.New("no space left on device")
	}
	d.appended += int64(len(b))
	at, err := d.simDisk.Append(b)
	d.maxUsed = max(d.maxUsed, d.Size())
	return at, err
}

const (
	steadyDisk    = 1_400_000 // bytes per store: a hundredth of the smallest known disk
	steadyItems   = 3
	steadyBody    = 210 // of an item: 960 bytes per job, with the overhead
	steadyText    = 900 // of an item: 2,700 bytes per job
	steadyEveryMs = 240 // 4.2 jobs per second
)

// newSteadyRig creates nine stores with small disks.
func newSteadyRig(t *testing.T) (*storeRig, []*boundedDisk) {
	t.Helper()
	body, text := rigBody, rigText
	t.Cleanup(func() { rigBody, rigText = body, text })
	rigBody, rigText = bytes.Repeat([]byte("b"), steadyBody), bytes.Repeat([]byte("t"), steadyText)
	var disks []*boundedDisk
	g := newStoreRigOn(9, 8, 4, 100, func() disk {
		d := &boundedDisk{simDisk: &simDisk{}, bytes: steadyDisk}
		disks = append(disks, d)
		return d
	})
	for _, c := range g.cores {
		c.logCapacity = steadyDisk * 85 / 100
		c.fixedSegmentBytes = c.logCapacity / segmentsInLog
		c.onDiskFailure = func(err error) { t.Errorf("store %d: %v", c.self, err) }
	}
	return g, disks
}

// step advances the time by the given ms, in which items end at the rate of the rig.
func (g *storeRig) step(ms int64) {
	for range ms / 10 {
		g.now += 10_000
		for n := 10_000 / g.itemMicros; n > 0 && len(g.running) > 0; n-- {
			g.endOldestItem()
		}
		g.deliverAll()
	}
}

// TestSpaceIsReclaimedAtASteadyRate: at a steady rate the stores accept all jobs for ten minutes,
// and their logs never exceed their capacity.
func TestSpaceIsReclaimedAtASteadyRate(t *testing.T) {
	g, disks := newSteadyRig(t)
	jobs, begin := 0, g.now
	for g.now-begin < 600e6 {
		jobs++
		if code := g.submit(fmt.Sprint("job-", jobs), steadyItems); code != codeOK {
			t.Fatalf("job %d, after %d s: code %d", jobs, (g.now-begin)/1e6, code)
		}
		g.step(steadyEveryMs)
		if jobs%500 == 0 {
			g.checkReadable(t, fmt.Sprint("job-", jobs-400), steadyItems)
		}
	}
	for i, d := range disks {
		if d.droppedSegments == 0 || d.maxUsed > steadyDisk*85/100 {
			t.Errorf("store %d used at most %d bytes, and removed %d segments", i+1, d.maxUsed, d.droppedSegments)
		}
		if jobs := g.cores[i].liveBytes; d.appended > 3*jobs*600/123 {
			t.Errorf("store %d appended %d bytes for %d live bytes of jobs", i+1, d.appended, jobs)
		}
	}
	t.Logf("%d jobs, the fullest disk used %d of %d bytes", jobs, fullest(disks), steadyDisk)
}

func fullest(disks []*boundedDisk) (most int64) {
	for _, d := range disks {
		most = max(most, d.maxUsed)
	}
	return most
}

// checkReadable reads all results of a job.
func (g *storeRig) checkReadable(t *testing.T, id string, items int) {
	t.Helper()
	c := g.primaryOf(id)
	var answer []byte
	caller := callerFunc(func(b []byte) { answer = bytes.Clone(b) })
	c.handleMessage(nil, caller, kindReadResults, encodeReadResults(id, 0, 0, Principal{}))
	for range 5 {
		g.deliverAll()
	}
	r := link.Reader{Buf: answer}
	if code, total, n := r.U8(), int(r.U32()), r.Count(9); code != codeOK || total != items || n != items {
		t.Fatalf("%s: code %d, %d of %d results", id, code, n, total)
	}
}

// TestFullStoresRefuseJobsAndRecover: at three times the rate that the disks can sustain, jobs are
// rejected at once with the code for a full log, no disk becomes full, and accepted jobs can be
// read. At the steady rate all jobs are accepted again.
func TestFullStoresRefuseJobsAndRecover(t *testing.T) {
	g, disks := newSteadyRig(t)
	codes := map[uint8]int{}
	taken, jobs := "", 0
	for begin := g.now; g.now-begin < 300e6; {
		jobs++
		at := g.now
		code := g.submit(fmt.Sprint("job-", jobs), steadyItems)
		codes[code]++
		switch code {
		case codeOK:
			taken = fmt.Sprint("job-", jobs)
		case codeLogFull:
			if g.now-at > 100_000 {
				t.Fatalf("job %d was rejected after %d ms", jobs, (g.now-at)/1000)
			}
		default:
			t.Fatalf("job %d: code %d", jobs, code)
		}
		g.step(steadyEveryMs / 3)
	}
	if codes[codeLogFull] == 0 || codes[codeOK] < 300*1000/steadyEveryMs {
		t.Errorf("answers: %v", codes)
	}
	g.step(20_000)
	g.checkReadable(t, taken, steadyItems)
	t.Logf("answers %v, the fullest disk used %d of %d bytes", codes, fullest(disks), steadyDisk)
	g.step(130_000)
	for range 200 {
		jobs++
		if code := g.submit(fmt.Sprint("job-", jobs), steadyItems); code != codeOK {
			t.Fatalf("job %d, at the steady rate again: code %d", jobs, code)
		}
		g.step(steadyEveryMs)
	}
}

// TestJobIsRefusedWhileAReplicaIsFull: a job is also rejected if the log of a replica is full.
func TestJobIsRefusedWhileAReplicaIsFull(t *testing.T) {
	g, _ := newSteadyRig(t)
	g.step(1000)
	table := g.cores[0].table
	row := &table.Partitions[table.PartitionOf("job")]
	full := g.cores[row.Replicas[0]-1]
	if full.self == row.Primary {
		full = g.cores[row.Replicas[1]-1]
	}
	for i := 0; full.liveBytes == 0; i++ {
		g.submit(fmt.Sprint("job-", i), 1)
	}
	room := full.logCapacity
	full.logCapacity = 1
	g.step(1000)
	g.read("job") // a read needs confirmations by the replicas, which report full logs
	if code := g.submit("job", 1); code != codeLogFull {
		t.Errorf("with a full replica: code %d", code)
	}
	full.logCapacity = room
	g.step(1000)
	g.read("job")
	if code := g.submit("job", 1); code != codeOK {
		t.Errorf("with space again: code %d", code)
	}
}

// read reads a job and waits until the replicas have answered.
func (g *storeRig) read(id string) {
	c := g.primaryOf(id)
	c.handleMessage(nil, callerFunc(func([]byte) {}), kindReadResults, encodeReadResults(id, 0, 0, Principal{}))
	g.step(1000)
}

// TestPositionsAndPromisesOutliveSegments: a store has the same positions, promises and jobs after
// all segments but the newest have been removed and the store has been restarted.
func TestPositionsAndPromisesOutliveSegments(t *testing.T) {
	g, disks := newSteadyRig(t)
	for i := range 40 {
		if code := g.submit(fmt.Sprint("job-", i), steadyItems); code != codeOK {
			t.Fatalf("code %d", code)
		}
		g.step(steadyEveryMs)
	}
	for i, c := range g.cores {
		if err := disks[i].Rotate(); err != nil {
			t.Fatal(err)
		}
		for oldest, more := disks[i].Oldest(); more; oldest, more = disks[i].Oldest() {
			c.reclaimOldest(oldest)
		}
		again := newCore(0, disks[i])
		if err := disks[i].replayInto(again); err != nil {
			t.Fatal(err)
		}
		for no, p := range c.partitions {
			q := again.partition(no)
			if p.position != q.position || p.promisedTerm != q.promisedTerm || len(p.jobs) != len(q.jobs) {
				t.Fatalf("store %d, partition %d: position %+v, promise %x, %d jobs; again %+v, %x, %d",
					c.self, no, p.position, p.promisedTerm, len(p.jobs), q.position, q.promisedTerm, len(q.jobs))
			}
			for id, j := range p.jobs {
				if other := q.jobs[id]; other == nil || other.digest() != j.digest() {
					t.Fatalf("store %d: job %s differs after the restart", c.self, id)
				}
			}
		}
		if again.liveBytes != c.liveBytes {
			t.Errorf("store %d: %d live bytes, %d after the restart", c.self, c.liveBytes, again.liveBytes)
		}
	}
}

// TestClientsOfFullStoresAreToldWhenToRetry: a client whose job is rejected for lack of space gets
// the response at once, with a Retry-After header.
func TestClientsOfFullStoresAreToldWhenToRetry(t *testing.T) {
	g := newStoreGroup(t, 10)
	views := &snapshot.Latest{}
	views.Set(&snapshot.Snapshot{Config: bulkConfig(0), Table: g.table})
	e := NewProxy(ProxyOptions{Snapshots: views, Name: "p", Zone: "z"})
	defer e.Close()
	header := map[string]string{"X-Dunetide-Request-Id": "job"}
	call := &Call{
		Method: http.MethodPost,
		Host:   "h.example",
		Path:   "/b/x",
		Header: func(name string) string { return header[name] },
		Body:   []byte(`{"requests":[{"id":"i","path":"/b/x","body":"eHl6","tokens":5}]}`),
	}
	for begin := time.Now(); ; {
		asked := time.Now()
		a := e.Serve(t.Context(), call)
		switch {
		case a.Status == 503 && a.RetryAfter == responseStoresFull.RetryAfter:
			if took := time.Since(asked); took > 2*time.Second {
				t.Errorf("it took %v", took)
			}
			return
		case a.Status != 503 || time.Since(begin) > 20*time.Second: // 503 while no store leads yet
			t.Fatalf("answer %+v", a)
		}
	}
}
