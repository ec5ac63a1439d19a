package controlclient

import (
	"testing"
	"time"
)

// The attempts that follow a start come close together, and those that go on failing ever more seldom.
func TestPauseDoublesAfterQuickAttempts(t *testing.T) {
	total := time.Duration(0)
	for attempts := 1; attempts <= quickAttaches; attempts++ {
		total += pauseAfter(attempts)
	}
	if total != quickAttaches*attachPause {
		t.Errorf("the first attempts take %v", total)
	}
	last := pauseAfter(quickAttaches)
	for attempts := quickAttaches + 1; attempts < 40; attempts++ {
		pause := pauseAfter(attempts)
		if pause != min(2*last, maxAttachPause) {
			t.Fatalf("%v after %d attempts, %v before", pause, attempts, last)
		}
		last = pause
	}
}
