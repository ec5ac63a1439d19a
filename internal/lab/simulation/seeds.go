package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// EachSeed calls play for the seeds from 1 to n, on all cores, and returns when all calls have returned. It starts no further call
// once more returns false.
func EachSeed(n uint64, more func() bool, play func(seed uint64)) {
	var latest atomic.Uint64
	var players sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		players.Go(func() {
			for seed := latest.Add(1); seed <= n && more(); seed = latest.Add(1) {
				play(seed)
			}
		})
	}
	players.Wait()
}
