package main

import (
	"testing"

	"dunetide/internal/platform/link/linktest"
)

// relays forward connections between keeper processes. A direction that is cut carries nothing, not even the end of a
// connection; what it holds back is delivered late, when the cut is healed.
type relays struct {
	*linktest.Relays
	linktest.Cuts
}

func newRelays(t *testing.T) *relays {
	t.Helper()
	r := &relays{}
	r.Relays = linktest.New(t, func(way linktest.Direction, n int) (passed int, keep bool) {
		if !r.Await(way, r.Done()) {
			return 0, false
		}
		return n, true
	})
	return r
}
