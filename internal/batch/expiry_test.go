package batch

import "testing"

// submitAged submits a job of one item with the given wall clock time of submission and maximum
// wait.
func (g *storeRig) submitAged(t *testing.T, id string, sentMs, maxWaitMs int64) (primary *core) {
	t.Helper()
	job := Job{
		ID:              id,
		Route:           "b",
		Host:            "h.example",
		PathPrefix:      "/b/",
		SentMs:          sentMs,
		DueMs:           maxWaitMs,
		MaxAttempts:     2,
		MaxWaitMs:       maxWaitMs,
		MaxQueuedTokens: 1 << 40,
		ConfigVersion:   1,
		Items:           []JobItem{{ID: "item", Path: "/b/x", Tokens: 1}},
	}
	if code := g.call(id, kindAcceptJob, job.encode()); code != codeOK {
		t.Fatalf("code %d", code)
	}
	return g.primaryOf(id)
}

// TestSteppedClockDoesNotAgeJobs: a job whose submission time is an hour in the past or in the
// future, because a clock was stepped, is abandoned after its maximum wait on the monotonic clock
// and not sooner.
func TestSteppedClockDoesNotAgeJobs(t *testing.T) {
	const maxWaitMs = 3000
	for _, sentMs := range []int64{-3_600_000, 0, 3_600_000} {
		g := newStoreRig(4, 0, 0, 1)
		primary := g.submitAged(t, "job", sentMs, maxWaitMs)
		results := func() int {
			j := primary.partitions[primary.table.PartitionOf("job")].jobs["job"]
			if j == nil {
				t.Fatalf("sent at %d: the job was dropped", sentMs)
			}
			return len(j.results)
		}
		g.step(maxWaitMs - 100)
		if n := results(); n != 0 {
			t.Errorf("sent at %d: %d results before its maximum wait", sentMs, n)
		}
		g.step(100 + abandonMarginMs + 1000)
		if n := results(); n != 1 {
			t.Errorf("sent at %d: %d results after its maximum wait", sentMs, n)
		}
	}
}

// TestReplacedJobKeepsItsAge: the age of a job does not decrease when it is installed again, as by
// a new primary.
func TestReplacedJobKeepsItsAge(t *testing.T) {
	c := newCore(1, &simDisk{})
	p := c.partition(0)
	for now := int64(10); now <= 30; now += 10 {
		c.nowMs = now
		j, err := decodeJob(encodedJob("job", 1, 0), 0)
		if err != nil {
			t.Fatal(err)
		}
		c.putJob(p, j, 0)
	}
	if since := p.jobs["job"].knownSinceMs; since != 10 {
		t.Errorf("known since %d", since)
	}
}
