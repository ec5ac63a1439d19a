package attempt

import (
	"fmt"
	"testing"

	"dunetide/internal/lab/golden"
)

// The names of states, events and verdicts do not change; those of events and verdicts are labels of metrics. The
// golden file was written by the sources of faf8ea2.
func TestGoldenNames(t *testing.T) {
	var got []byte
	for s := NotSent; s <= Ended; s++ {
		got = fmt.Appendf(got, "state %d %v\n", uint8(s), s)
	}
	for e := NotAdmitted; e <= BodyComplete; e++ {
		got = fmt.Appendf(got, "event %d %v\n", uint8(e), e)
	}
	for v := Done; v <= Abort; v++ {
		got = fmt.Appendf(got, "verdict %d %v\n", uint8(v), v)
	}
	golden.Compare(t, "names", got)
}
