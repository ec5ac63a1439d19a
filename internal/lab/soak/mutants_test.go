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

// mutantPrograms are built with source lines changed so that they break a guarantee. A soak run with the faults that expose the
// defect must detect each one: as a violation of the named rules, observed from outside, or of an invariant that the process checks.
var mutantPrograms = []struct {
	name    string
	mutants []mutation.Mutant
	plan    Plan
	rules   []string
}{
	{"a keeper that is cut off acknowledges a drain, with the invariant off",
		[]mutation.Mutant{
			{File: "internal/control/keeper/endpoints.go", Old: "	case result.waiter != nil && !result.waiter.enoughAcked:\n", New: "	case false:\n"},
			{File: "internal/control/keeper/endpoints.go", Old: "	k.checkAcknowledgement(change.id, result)\n", New: ""},
		},
		Plan{Seed: 1, Shape: shapes[3], Length: 12 * time.Second, Final: FinalNone, Load: 2, Faults: []Fault{
			{Number: 1, At: 2 * time.Second, For: 9 * time.Second, Kind: CutOff, How: "keeper", Targets: []int{1}},
			{Number: 2, At: 2 * time.Second, For: time.Second, Kind: Leave, How: "silent lured", Targets: []int{4}},
		}}, []string{ruleDrain}},
	{"a keeper that is cut off acknowledges a drain, detected by the invariant",
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
	{"jobs kept on one disk, detected by the invariant",
		[]mutation.Mutant{{File: "internal/batch/replication.go", Old: "	need := c.maxLostReplicas + 1\n", New: "	need := 1\n"}},
		Plan{Seed: 3, Shape: shapes[0], Length: 6 * time.Second, Final: FinalNone, Load: 0.5, Faults: []Fault{
			{Number: 1, At: time.Second, For: 2 * time.Second, Kind: Freeze, How: "store", Targets: []int{1}},
		}}, []string{ruleInvariant}},
	{"a request that may run once is sent again",
		[]mutation.Mutant{{File: "internal/proxy/attempt/attempt.go", Old: "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.Idempotent && c.AttemptsLeft {\n", New: "	case Broken, UnprovenRejection, BodyTruncated:\n		if c.AttemptsLeft {\n"}},
		Plan{Seed: 4, Shape: shapes[0], Length: 6 * time.Second, Final: FinalNone, Load: 1, Faults: []Fault{
			{Number: 1, At: time.Second, For: 4 * time.Second, Kind: CorruptAnswers, Targets: []int{0}},
		}}, []string{"TWICE", ruleInvariant}},
	{"a request continues after its client has disconnected",
		[]mutation.Mutant{{File: "internal/proxy/forward/intake.go", Old: "x := &exchange{proxy: p, ctx: r.Context(), method: r.Method}", New: "x := &exchange{proxy: p, ctx: context.WithoutCancel(r.Context()), method: r.Method}"},
			{File: "internal/proxy/forward/intake.go", Old: "import (\n", New: "import (\n	\"context\"\n"},
			{File: "internal/proxy/forward/stream.go", Old: "			if _, err := w.Write(whole); err != nil {\n				return err\n			}\n", New: "			_, _ = w.Write(whole)\n"},
			{File: "internal/proxy/forward/stream.go", Old: "		return rc.Flush()\n", New: "		_ = rc.Flush()\n		return nil\n"}},
		Plan{Seed: 5, Shape: shapes[0], Length: 12 * time.Second, Final: FinalNone, Load: 2, LeaveShare: 0.6}, []string{ruleClientLeft}},
	{"a proxy remembers whose a key was",
		[]mutation.Mutant{
			{File: "internal/proxy/identity/identity.go", Old: "	tenant := config.TenantOfKey(key)\n", New: "	tenant := config.TenantOfKey(key)\n	if tenant != nil {\n		first, _ := remembered.LoadOrStore(key, tenant)\n		tenant = first.(*operatorconfig.Tenant)\n	}\n"},
			{File: "internal/proxy/identity/identity.go", Old: "import (\n", New: "import (\n	\"sync\"\n"},
			{File: "internal/proxy/identity/identity.go", Old: "const Challenge = scheme\n", New: "const Challenge = scheme\n\nvar remembered sync.Map\n"},
		},
		tenantPlan, []string{ruleConfig}},
	{"a proxy goes on with keys that were dropped",
		[]mutation.Mutant{
			{File: "internal/proxy/identity/identity.go", Old: "	tenant := config.TenantOfKey(key)\n", New: "	tenant := config.TenantOfKey(key)\n	if tenant != nil {\n		remembered.Store(key, tenant)\n	} else if known, there := remembered.Load(key); there {\n		tenant = known.(*operatorconfig.Tenant)\n	}\n"},
			{File: "internal/proxy/identity/identity.go", Old: "import (\n", New: "import (\n	\"sync\"\n"},
			{File: "internal/proxy/identity/identity.go", Old: "const Challenge = scheme\n", New: "const Challenge = scheme\n\nvar remembered sync.Map\n"},
		},
		tenantPlan, []string{ruleConfig}},
	{"nobody counts the requests of a tenant",
		[]mutation.Mutant{{File: "internal/proxy/forward/limit.go", Old: "	if limiter == nil || tenant == nil || !tenant.Limited() {\n", New: "	if limiter == nil || tenant == nil || tenant.Limited() {\n"}},
		tenantPlan, []string{ruleQuota}},
	{"endpoints see the client's key",
		[]mutation.Mutant{{File: "internal/proxy/forward/head.go", Old: "	return name == identity.HeaderTenant || name == identity.HeaderAuthorization && x.withholdsKey\n", New: "	return name == identity.HeaderTenant\n"}},
		tenantPlan, []string{ruleUnasked}},
	{"a client may name its tenant itself",
		[]mutation.Mutant{{File: "internal/proxy/forward/head.go", Old: "	return name == identity.HeaderTenant || name == identity.HeaderAuthorization && x.withholdsKey\n", New: "	return name == identity.HeaderAuthorization && x.withholdsKey\n"}},
		tenantPlan, []string{ruleUnasked}},
	{"a request without a known key runs",
		[]mutation.Mutant{{File: "internal/proxy/identity/identity.go", Old: "func (i Identity) Refused() bool { return i.Outcome >= MissingKey }\n", New: "func (i Identity) Refused() bool { return false }\n"}},
		tenantPlan, []string{ruleRoute}},
	{"a proxy takes no keys that are added",
		[]mutation.Mutant{
			{File: "internal/proxy/identity/identity.go", Old: "	tenant := config.TenantOfKey(key)\n", New: "	started.Do(func() { startedWith = config })\n	tenant := config.TenantOfKey(key)\n	if startedWith.TenantOfKey(key) == nil {\n		tenant = nil\n	}\n"},
			{File: "internal/proxy/identity/identity.go", Old: "import (\n", New: "import (\n	\"sync\"\n"},
			{File: "internal/proxy/identity/identity.go", Old: "const Challenge = scheme\n", New: "const Challenge = scheme\n\nvar (\n	started     sync.Once\n	startedWith *operatorconfig.Config\n)\n"},
		},
		tenantPlan, []string{ruleConfig}},
}

// tenantPlan has tenants and no faults.
var tenantPlan = Plan{Seed: 6, Shape: shapes[0], Length: 12 * time.Second, Final: FinalNone, Load: 0.5, Tenants: true}

// TestMutantsApply fails if a source line that a mutant replaces does not occur exactly once in the named file.
func TestMutantsApply(t *testing.T) {
	for _, w := range mutantPrograms {
		texts := overlay.Texts{}
		for _, m := range w.mutants {
			if err := texts.Replace(filepath.Join("..", "..", ".."), m); err != nil {
				t.Errorf("%s: %v", w.name, err)
			}
		}
	}
}

// TestMutantProgramsAreDetected checks that a soak run detects each mutant. It takes minutes, so it runs only with SOAK_WRONG=1, or
// with SOAK_WRONG set to a part of the mutants' names.
func TestMutantProgramsAreDetected(t *testing.T) {
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
			t.Logf("%v; %d clients disconnected, %d runs abandoned, %d continued", found, account.ClientsLeft, account.AbandonedRuns, account.ContinuedRuns)
			for _, rule := range w.rules {
				if found[rule] == 0 {
					t.Errorf("%s is not violated", rule)
				}
			}
		})
	}
}
