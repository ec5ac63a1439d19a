package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxDocumentBytes is the maximum size of a configuration.
	maxDocumentBytes = 8 << 20
	// concurrentPuts is the number of calls in flight at one keeper.
	concurrentPuts = 8
	// memoryLimitMB is limits.memory_mb of a keeper process.
	memoryLimitMB = 256
)

// peakMemory returns the peak resident memory (VmHWM) of a process, in MB.
func (k *keeperProcesses) peakMemory(i int) (megabytes int) {
	k.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", k.running[i].cmd.Process.Pid))
	if err != nil {
		k.t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			if _, err := fmt.Sscanf(strings.TrimSpace(rest), "%d kB", &megabytes); err != nil {
				k.t.Fatal(err)
			}
		}
	}
	return megabytes >> 10
}

// largestConfig returns a configuration of the maximum size.
func largestConfig(version uint64, mark int) []byte {
	frame := len(configBody(version, ""))
	return configBody(version, string(bytes.Repeat([]byte{byte('a' + mark)}, maxDocumentBytes-frame)))
}

// TestMemoryOfLargestConfigs puts eight configurations of 8 MB at once at one of three keepers, in three rounds that each repeat
// the calls until all have a definite answer, and fails if a keeper's peak memory exceeds its limit. It runs only with
// ORDERS_MEMORY=1, as it is a measurement that takes half a minute.
func TestMemoryOfLargestConfigs(t *testing.T) {
	if os.Getenv("ORDERS_MEMORY") == "" {
		t.Skip("ORDERS_MEMORY is not set")
	}
	k := newKeeperProcesses(t, 3)
	k.startAll()
	peaks := func(when string) {
		t.Logf("%s: peaks of %d, %d and %d MB", when, k.peakMemory(0), k.peakMemory(1), k.peakMemory(2))
	}
	peaks("at the start")
	base := uint64(0)
	for round := range 3 {
		var group sync.WaitGroup
		var mu sync.Mutex
		codes := map[int]int{}
		began := time.Now()
		for mark := range concurrentPuts {
			body := largestConfig(base+1, mark)
			group.Go(func() {
				for end := time.Now().Add(keepersTimeout); time.Now().Before(end); {
					a := k.call(0, "PUT", "/config", fmt.Sprint(base), body)
					mu.Lock()
					codes[a.code]++
					mu.Unlock()
					if a.code == http.StatusOK || a.code == http.StatusPreconditionFailed {
						return
					}
				}
				t.Error("no definite answer")
			})
		}
		group.Wait()
		base++
		for i := range k.running {
			if peak := k.peakMemory(i); peak > memoryLimitMB {
				t.Errorf("peak memory of keeper %d is %d MB", i+1, peak)
			}
		}
		peaks(fmt.Sprintf("round %d, answers %v in %v", round+1, codes, time.Since(began).Round(time.Millisecond)))
	}
}
