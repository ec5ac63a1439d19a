package controlclient

import (
	"testing"
	"time"
)

// TestPauseDoublesAfterQuickAttempts checks that the pause is short for the first attempts after a start, and then
// doubles up to its limit.
func TestPauseDoublesAfterQuickAttempts(t *testing.T) {
	total := time.Duration(0)
	for attempts := 1; attempts <= quickAttaches; attempts++ {
		total += pauseAfter(attempts)
	}
	if total != quickAttaches*attachPause {
		t.Errorf("pauses of the quick attempts add up to %v", total)
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
