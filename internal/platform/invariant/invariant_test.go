package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

func TestViolationIsCountedAndEndsTheTest(t *testing.T) {
	never := New("test_never_violated")
	never.Check(true, func() string { t.Error("describe was called although the invariant holds"); return "" })
	if never.Violations() != 0 || never.checks.Get() != 1 {
		t.Fatalf("%d violations of %d checks", never.Violations(), never.checks.Get())
	}

	violated := New("test_violated")
	defer func() {
		found, _ := recover().(string)
		if !strings.Contains(found, "test_violated: slot 3 has two values") {
			t.Errorf("the check did not panic, or panicked with %q", found)
		}
		if violated.Violations() != 1 {
			t.Errorf("%d violations were counted", violated.Violations())
		}
		var text bytes.Buffer
		metrics.WritePrometheus(&text, false)
		if !strings.Contains(text.String(), `dunetide_invariant_violations_total{invariant="test_violated"} 1`) {
			t.Errorf("the violation is missing in the metrics:\n%s", text.String())
		}
	}()
	violated.Check(false, func() string { return "slot 3 has two values" })
}

// BenchmarkCheck measures a check that holds.
func BenchmarkCheck(b *testing.B) {
	holds := New("test_benchmark")
	found := "what is found"
	b.ReportAllocs()
	for b.Loop() {
		holds.Check(len(found) > 0, func() string { return found })
	}
}
