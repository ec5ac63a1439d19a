//go:build race

package keeper

// raceSlowdown is the factor by which tests scale timeouts up, and the largest documents down, because the race
// detector instruments every memory access.
//
// TestLargestConfigurations, the slowest test, takes 3.7 s without the detector and 36 s with it, on an idle machine of
// 12 cores. With GOMAXPROCS=2 on a busy machine, each attempt to put 8 MB takes 7 to 26 s with it. The work of the
// keepers alone then exceeds their timeout of 900 ms for a put, so that no put is confirmed, however long a test waits.
const raceSlowdown = 10
