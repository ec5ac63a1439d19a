package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
	"dunetide/internal/lab/overlay"
)

// mutantPrograms are built with lines that break a promise. A play with the troubles that bring it about has to find each: the rule
// named is broken, as seen from outside, or the invariant from inside.
var mutantPrograms = []struct {
	name    string
	mutants []mutation.Mutant
	plan    Plan
	rules   []string
}{
	{"a drain acknowledged by who is cut off, with the invariant off",
		[]mutation.Mutant{
			{File: "internal/control/keeper/endpoints.go", Old: "	case result.waiter != nil && !result.waiter.enoughAcked:\n", New: "	case false:\n"},
			{File: "internal/control/keeper/endpoints.go", Old: "	k.checkAcknowledgement(change.id, result)\n", New: ""},
		},
		Plan{Seed: 1, Shape: shapes[3], Length: 12 * time.Second, Final: FinalNone, Load: 2, Faults: []Fault{
			{Number: 1, At: 2 * time.Second, For: 9 * time.Second, Kind: CutOff, How: "keeper", Targets: []int{1}},
			{Number: 2, At: 2 * time.Second, For: time.Second, Kind: Leave, How: "silent lured", Targets: []int{4}},
		}}, []string{ruleDrain}},
	{"the same, found by the invariant",
		[]mutation.Mutant{{File: "internal/control/keeper/endpoints.go", Old: "	case result.waiter != nil && !result.waiter.enoughAcked:\n", New: "	case false:\n"}},
		Plan{Seed: 1, Shape: shapes[3], Length: 12 * time.Second, Final: FinalNone, Load: 1, Faults: []Fault{
			{Number: 1, At: 2 * time.Second, For: 6 * time.Second, Kind: CutOff, How: "keeper", Targets: []int{1}},
			{Number: 2, At: 2 * time.Second, For: time.Second, Kind: Leave, How: "silent lured", Targets: []int{4}},
		}}, []string{ruleInvariant}},
	{"reads answered from memory, with the invariant off",
		[]mutation.Mutant{
			{File: "internal/control/keeper/document_calls.go", Old: "	newest, err := k.readNewestDocument(register)\n", New: "	k.registers.mu.Lock()\n	memory := k.registers.states[register].Value\n	k.registers.mu.Unlock()\n	newest, err := decodeDocument(memory)\n"},
			{File: "internal/control/keeper/document_calls.go", Old: "	checkReadNotOlder(register, known, newest.version)\n", New: "	_ = known\n"},
		},
		Plan{Seed: 2, Shape: shapes[0], Length: 8 * time.Second, Final: FinalNone, Load: 0.5, Faults: []Fault{
			{Number: 1, At: 2 * time.Second, For: 4 * time.Second, Kind: CutOff, How: "keeper", Targets: []int{2}},
		}}, []string{ruleConfig}},
	{"jobs kept on one disk, found by the invariant",
		[]mutation.Mutant{{File: "internal/batch/replication.go", Old: "	need := c.maxLostReplicas + 1\n", New: "	need := 1\n"}},
		Plan{Seed: 3, Shape: shapes[0], Length: 6 * time.Second, Final: FinalNone, Load: 0.5, Faults: []Fault{
			{Number: 1, At: time.Second, For: 2 * time.Second, Kind: Freeze, How: "store", Targets: []int{1}},
		}}, []string{ruleInvariant}},
	{"a request that may run once is sent again",
		[]mutation.Mutant{{File: "internal/proxy/attempt/attempt.go", Old: "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {\n", New: "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {\n"}},
		Plan{Seed: 4, Shape: shapes[0], Length: 6 * time.Second, Final: FinalNone, Load: 1, Faults: []Fault{
			{Number: 1, At: time.Second, For: 4 * time.Second, Kind: CorruptAnswers, Targets: []int{0}},
		}}, []string{"TWICE", ruleInvariant}},
	{"work goes on when its client has left",
		[]mutation.Mutant{{File: "internal/proxy/forward/intake.go", Old: "x := &exchange{proxy: p, ctx: r.Context(), method: r.Method}", New: "x := &exchange{proxy: p, ctx: context.WithoutCancel(r.Context()), method: r.Method}"},
			{File: "internal/proxy/forward/intake.go", Old: "import (\n", New: "import (\n	\"context\"\n"},
			{File: "internal/proxy/forward/stream.go", Old: "			if _, err := w.Write(whole); err != nil {\n				return err\n			}\n", New: "			_, _ = w.Write(whole)\n"},
			{File: "internal/proxy/forward/stream.go", Old: "		return rc.Flush()\n", New: "		_ = rc.Flush()\n		return nil\n"}},
		Plan{Seed: 5, Shape: shapes[0], Length: 12 * time.Second, Final: FinalNone, Load: 2, LeaveShare: 0.6}, []string{ruleClientLeft}},
}

// TestMutantsStand fails when a line of a program that is to be found no longer stands once in the file that is named.
func TestMutantsStand(t *testing.T) {
	for _, w := range mutantPrograms {
		texts := overlay.Texts{}
		for _, m := range w.mutants {
			if err := texts.Replace(filepath.Join("..", "..", ".."), m); err != nil {
				t.Errorf("%s: %v", w.name, err)
			}
		}
	}
}

// TestMutantProgramsAreFound runs each mutant until it is found. This takes minutes, so it is asked for: SOAK_WRONG=1, or a part of a name.
func TestMutantProgramsAreFound(t *testing.T) {
	only := os.Getenv("SOAK_WRONG")
	if only == "" {
		t.Skip("SOAK_WRONG is not set")
	}
	for _, w := range mutantPrograms {
		if only != "1" && !strings.Contains(w.name, only) {
			continue
		}
		t.Run(w.name, func(t *testing.T) {
			account := soak(t, build(t, w.mutants...), w.plan)
			found := map[string]int{}
			for _, b := range account.Violations {
				found[b.Rule]++
			}
			for _, b := range account.Violations[:min(3, len(account.Violations))] {
				t.Log(b)
			}
			t.Logf("%v; %d clients left, of %d runs %d went on", found, account.ClientsLeft, account.AbandonedRuns, account.ContinuedRuns)
			for _, rule := range w.rules {
				if found[rule] == 0 {
					t.Errorf("%s is not broken", rule)
				}
			}
		})
	}
}
