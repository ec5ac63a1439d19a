package reconfigure

import "testing"

// TestReasonWords pins the names of reasons in the logs of keepers, because readers of recorded logs search for them.
func TestReasonWords(t *testing.T) {
	words := map[Reason]string{
		0:                  "none",
		ReasonMoved:        "moved",
		ReasonDiskLost:     "disk lost",
		ReasonLeaving:      "leaving",
		ReasonUnresponsive: "given up",
		ReasonExpansion:    "expansion",
	}
	for reason, want := range words {
		if got := reason.String(); got != want {
			t.Errorf("reason %d is %q, want %q", reason, got, want)
		}
	}
}
