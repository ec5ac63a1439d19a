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
	// largestOrder is how many bytes an order may have.
	largestOrder = 8 << 20
	// ordersAtOnce are under way at one keeper.
	ordersAtOnce = 8
	// memoryBound is limits.memory_mb of a keeper's process, in MB.
	memoryBound = 256
)

// peakMemory is the most that a process has had in memory (VmHWM), in MB.
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

// largestBody is a configuration of as many bytes as are taken.
func largestBody(version uint64, mark int) []byte {
	frame := len(configBody(version, ""))
	return configBody(version, string(bytes.Repeat([]byte{byte('a' + mark)}, largestOrder-frame)))
}

// TestMemoryOfLargestOrders has eight orders of 8 MB under way at once at one of three keepers, round after round until each has
// a clear answer, and fails where a keeper's peak of memory is over its bound. It is asked for: ORDERS_MEMORY=1, as it measures and takes half a minute.
func TestMemoryOfLargestOrders(t *testing.T) {
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
		for mark := range ordersAtOnce {
			body := largestBody(base+1, mark)
			group.Go(func() {
				for end := time.Now().Add(keepersPatience); time.Now().Before(end); {
					a := k.call(0, "PUT", "/config", fmt.Sprint(base), body)
					mu.Lock()
					codes[a.code]++
					mu.Unlock()
					if a.code == http.StatusOK || a.code == http.StatusPreconditionFailed {
						return
					}
				}
				t.Error("no clear answer")
			})
		}
		group.Wait()
		base++
		for i := range k.running {
			if peak := k.peakMemory(i); peak > memoryBound {
				t.Errorf("keeper %d had %d MB in memory", i+1, peak)
			}
		}
		peaks(fmt.Sprintf("round %d, answers %v in %v", round+1, codes, time.Since(began).Round(time.Millisecond)))
	}
}
