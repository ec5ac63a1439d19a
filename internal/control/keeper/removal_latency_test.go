package keeper

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

const (
	releasedEndpoints = 600 / raceSlowdown // of a release that replaces all endpoints at once
	removalsAlone     = 100
	// removalConnections bounds the connections of the test to one keeper.
	removalConnections = 100
)

// TestReleaseIsAcknowledgedInTime: all endpoints of a release leave at once, and each hears from the keeper that it calls
// before it would go on to the next one, though each sync of a disk takes 5 ms.
func TestReleaseIsAcknowledgedInTime(t *testing.T) {
	r := newRig(t, 3)
	r.folder = func(int) vfs.Folder { return &measuredFolder{Disk: vfstest.New()} }
	r.startAll()
	r.untilConnected(0, 1, 2)
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{MaxConnsPerHost: removalConnections}}
	t.Cleanup(client.CloseIdleConnections)
	alone := make([]time.Duration, 0, removalsAlone)
	for n := range removalsAlone {
		alone = append(alone, r.timeRemoval(client, n%3, fmt.Sprint("alone-", n)))
	}
	logLatencies(t, "one at a time", alone)

	together := make([]time.Duration, releasedEndpoints)
	var wg sync.WaitGroup
	for n := range together {
		wg.Go(func() { together[n] = r.timeRemoval(client, n%3, fmt.Sprint("together-", n)) })
	}
	wg.Wait()
	logLatencies(t, fmt.Sprint(releasedEndpoints, " at once"), together)
	if slowest := slices.Max(together); slowest > maxEndAnswer {
		t.Errorf("a removal was answered after %v", slowest)
	}
}

// timeRemoval removes an endpoint at a keeper, and returns how long the acknowledgement took.
func (r *rig) timeRemoval(client *http.Client, i int, id string) time.Duration {
	req, err := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/instances/%s", r.controlAddress(i), id), strings.NewReader(""))
	if err != nil {
		r.t.Error(err)
		return 0
	}
	began := time.Now()
	resp, err := client.Do(req)
	took := time.Since(began)
	if err != nil {
		r.t.Error(err)
		return took
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		r.t.Errorf("removal of %s: %d", id, resp.StatusCode)
	}
	return took
}

func logLatencies(t *testing.T, what string, all []time.Duration) {
	t.Helper()
	sorted := slices.Sorted(slices.Values(all))
	t.Logf("%s: p50 %v, p99 %v, slowest %v", what, sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1])
}
