package batch

import (
	"fmt"
	"strings"
	"testing"
)

// TestRefusalsByAQuotaAreLogged: on a day with tenants, jobs were refused by a quota that counted the tokens of
// all tenants, and no log told whose tokens filled it.
func TestRefusalsByAQuotaAreLogged(t *testing.T) {
	const tokens, quota = 60, 100
	g := newStoreRig(4, 0, 0, 1)
	var logged []string
	for _, c := range g.cores {
		c.logf = func(format string, args ...any) {
			if line := fmt.Sprintf(format, args...); strings.HasPrefix(line, "quota of") {
				logged = append(logged, line)
			}
		}
	}
	submit := func(id string) uint8 {
		job := Job{
			ID:              id,
			Route:           "b",
			Host:            "h.example",
			PathPrefix:      "/b/",
			DueMs:           hourMs,
			MaxAttempts:     2,
			MaxQueuedTokens: quota,
			ConfigVersion:   1,
			Items:           []JobItem{{ID: "item", Path: "/b/x", Tokens: tokens}},
			Submitter:       Principal{HasTenants: true, Tenant: "club"},
		}
		return g.call(id, kindAcceptJob, job.encode())
	}
	if code := submit("first"); code != codeOK {
		t.Fatalf("code %d", code)
	}
	for i := range 4 {
		if code := submit(fmt.Sprint("refused-", i)); code != codeQuotaFull {
			t.Fatalf("code %d", code)
		}
	}
	const first = `quota of route "b", tenant "club": 60 of 100 tokens are waiting, a job needs 60; refused 1 times since the last report`
	if len(logged) != 1 || logged[0] != first {
		t.Fatalf("logged %q, want %q", logged, first)
	}
	g.step(refusalLogMs)
	if code := submit("later"); code != codeQuotaFull {
		t.Fatalf("code %d", code)
	}
	if len(logged) != 2 || !strings.HasSuffix(logged[1], "refused 4 times since the last report") {
		t.Errorf("logged %q", logged)
	}
}
