package simulation

import (
	"errors"
	"sync"
	"testing"
	"time"
)

func TestPlayReturnsTheViolation(t *testing.T) {
	after := false
	found := Play(func() {
		func() { Failf("slot %d has two values", 7) }()
		after = true
	})
	if found != "slot 7 has two values" || after {
		t.Errorf("found %q, continued after it: %v", found, after)
	}
	if found := Play(func() { after = true }); found != "" || !after {
		t.Errorf("found %q in a simulation without a violation", found)
	}
}

func TestPlayPropagatesOtherPanics(t *testing.T) {
	fault := errors.New("a fault of the simulation itself")
	defer func() {
		if got, isError := recover().(error); !isError || !errors.Is(got, fault) {
			t.Errorf("recovered %v, want %v", got, fault)
		}
	}()
	Play(func() { panic(fault) })
	t.Error("a panic was dropped")
}

func TestTraceIsEmptyUnlessEnabled(t *testing.T) {
	var trace Trace
	trace.Addf(time.Second, "not recorded")
	trace.Enabled = true
	trace.Addf(1500*time.Millisecond, "node %d starts", 3)
	trace.Addf(2*time.Second, "node %d ends", 3)
	if got, want := trace.String(), "   1.500 node 3 starts\n   2.000 node 3 ends"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

func TestEachSeedRunsOnce(t *testing.T) {
	var mu sync.Mutex
	played := map[uint64]int{}
	EachSeed(50, func() bool { return true }, func(seed uint64) {
		mu.Lock()
		defer mu.Unlock()
		played[seed]++
	})
	for seed := uint64(1); seed <= 50; seed++ {
		if played[seed] != 1 {
			t.Errorf("seed %d ran %d times", seed, played[seed])
		}
	}
	if len(played) != 50 {
		t.Errorf("%d seeds ran, want 50", len(played))
	}
	EachSeed(50, func() bool { return false }, func(seed uint64) { t.Errorf("seed %d ran", seed) })
}
