//go:build !race

package keeper

// raceSlowdown is 1 without the race detector: timeouts aren't scaled (see race_enabled_test.go).
const raceSlowdown = 1
