package batch

import "testing"

// handAged hands in a job that says that it was sent at a time of day, and may be given up after a while.
func (g *scaleRig) handAged(t *testing.T, id string, sentMs, maxWaitMs int64) (primary *core) {
	t.Helper()
	job := Job{ID: id, Route: "b", Host: "h.example", PathPrefix: "/b/", SentMs: sentMs, DueMs: maxWaitMs, MaxAttempts: 2, MaxWaitMs: maxWaitMs,
		MaxQueuedTokens: 1 << 40, ConfigVersion: 1, Items: []JobItem{{ID: "item", Path: "/b/x", Tokens: 1}}}
	table := g.cores[0].table
	primary = g.cores[table.Partitions[table.PartitionOf(id)].Primary-1]
	code := uint8(0)
	g.clock()
	primary.handleMessage(nil, replied(func(b []byte) { code = b[0] }), kindAcceptJob, job.encode())
	for range 20 {
		g.settle()
		if code != 0 {
			break
		}
		g.now += 25_000
	}
	if code != codeOK {
		t.Fatalf("code %d", code)
	}
	return primary
}

// TestTimeOfDayDoesNotAgeJobs: a job that seems to be an hour old, or not sent yet, because a clock was stepped, is given up
// after its time on the steady clock and not sooner.
func TestTimeOfDayDoesNotAgeJobs(t *testing.T) {
	const maxWaitMs = 3000
	for _, sentMs := range []int64{-3_600_000, 0, 3_600_000} {
		g := newScaleRig(4, 0, 0, 1)
		primary := g.handAged(t, "job", sentMs, maxWaitMs)
		results := func() int {
			j := primary.partitions[primary.table.PartitionOf("job")].jobs["job"]
			if j == nil {
				t.Fatalf("sent at %d: the job was dropped", sentMs)
			}
			return len(j.results)
		}
		g.step(maxWaitMs - 100)
		if n := results(); n != 0 {
			t.Errorf("sent at %d: %d results before its time is over", sentMs, n)
		}
		g.step(100 + abandonMarginMs + 1000)
		if n := results(); n != 1 {
			t.Errorf("sent at %d: %d results after its time was over", sentMs, n)
		}
	}
}

// TestJobIsKnownSinceItWasKnownFirst: a job that is taken in again whole, as from a new primary, is no younger by that.
func TestJobIsKnownSinceItWasKnownFirst(t *testing.T) {
	c := newCore(1, &simDisk{})
	p := c.partition(0)
	for now := int64(10); now <= 30; now += 10 {
		c.nowMs = now
		j, err := decodeJob(scaleLot("job", 1, 0), 0)
		if err != nil {
			t.Fatal(err)
		}
		c.putJob(p, j, 0)
	}
	if since := p.jobs["job"].knownSinceMs; since != 10 {
		t.Errorf("known since %d", since)
	}
}
