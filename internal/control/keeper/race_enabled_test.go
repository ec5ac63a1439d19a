//go:build race

package keeper

// raceSlowdown is how many times longer tests wait for what must come where the race detector watches every access to
// memory, and how many times smaller the largest orders are.
//
// Measured with TestLargestConfigurations, which is the slowest: on an idle machine of 12 cores 3.7 s without the
// detector, 36 s with it. With GOMAXPROCS=2 on a busy machine each try of an 8 MB order takes 7 to 26 s with it, and
// what the keepers themselves do for it takes longer than the 900 ms they give an order, so that none is confirmed
// however long a test waits.
const raceSlowdown = 10
