//go:build !race

package keeper

// raceSlowdown is 1 without the race detector: the bounds of waiting are as they stand (see race_enabled_test.go).
const raceSlowdown = 1
