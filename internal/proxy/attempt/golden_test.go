package attempt

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// The file under testdata/golden was written by the sources of faf8ea2. It is made anew only for a new format, never in CI.
var update = flag.Bool("update", false, "write the golden file anew")

// The names of states, events and verdicts; those of events and verdicts are labels of metrics.
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
	path := filepath.Join("testdata", "golden", "names")
	if *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s", got)
	}
}
