package controlclient

import (
	"testing"
	"time"
)

// The tries that follow a start come close together, and those that go on failing ever more seldom.
func TestPausesBetweenAttaches(t *testing.T) {
	total := time.Duration(0)
	for tries := 1; tries <= quickAttaches; tries++ {
		total += pauseAfter(tries)
	}
	if total != quickAttaches*attachPause {
		t.Errorf("the first tries take %v", total)
	}
	last := pauseAfter(quickAttaches)
	for tries := quickAttaches + 1; tries < 40; tries++ {
		pause := pauseAfter(tries)
		if pause != min(2*last, maxAttachPause) {
			t.Fatalf("%v after %d tries, %v before", pause, tries, last)
		}
		last = pause
	}
}
