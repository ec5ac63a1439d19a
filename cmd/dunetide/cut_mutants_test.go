package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// cutMutants are source changes that each break a guarantee of a keeper without contact. TestCutOffKeeperProcess, which observes
// keepers from outside, must fail for a build with any of them.
var cutMutants = []mutation.Mutant{
	{
		Name: "acknowledged without contact",
		File: "../../internal/control/keeper/endpoints.go",
		Old:  "	case result.noContact || !k.inContact():\n",
		New:  "	case false:\n",
	},
	{
		Name: "registers pushed without contact",
		File: "../../internal/control/keeper/pushes.go",
		Old:  "	if inContact {\n		k.addRegisters(u, p)\n	}\n",
		New:  "	k.addRegisters(u, p)\n",
	},
	{
		Name: "endpoints not pushed without contact",
		File: "../../internal/control/keeper/pushes.go",
		Old:  "		if inContact && !k.contact.MayPush(k.sinceStart(now), conn) {\n",
		New:  "		if !k.contact.MayPush(k.sinceStart(now), conn) {\n",
	},
	{
		Name: "a lease granted without contact",
		File: "../../internal/control/keeper/leases.go",
		Old:  "return k.contact.InContact(at) && k.mayGrant(now, holderID) && ",
		New:  "return k.mayGrant(now, holderID) && ",
	},
	{
		Name: "contact never ends",
		File: "../../internal/consensus/quorum/tracker.go",
		Old:  "return t.advance(now) < t.until }",
		New:  "return t.until != 0 }",
	},
	{
		Name: "contact without a majority after 3 s",
		File: "../../internal/control/keeper/contact.go",
		Old:  "k.contact.CheckEnded(k.sinceStart(time.Now()), beganAt, err == nil)",
		New:  "k.contact.CheckEnded(k.sinceStart(time.Now()), beganAt, err == nil || k.sinceStart(time.Now()) > 3*time.Second)",
	},
	{
		Name: "heartbeats of endpoints without contact are dropped",
		File: "../../internal/control/keeper/endpoints.go",
		Old:  "	revision := k.endpoints.LastChange()\n",
		New:  "	revision := k.endpoints.LastChange()\n	if !k.contact.InContact(at) {\n		return changeResult{noContact: true}\n	}\n",
	},
	{
		Name: "the first push without a new read",
		File: "../../internal/consensus/quorum/gate.go",
		Old:  "	return g.InContact(now) && g.confirmed[key]\n",
		New:  "	return g.InContact(now)\n",
	},
	{
		Name: "contact lasts twice as long",
		File: "../../internal/consensus/quorum/tracker.go",
		Old:  "	until := startedAt + ContactTimeout\n",
		New:  "	until := startedAt + 2*ContactTimeout\n",
	},
}

// TestCutMutantsStand fails if the text that a mutant replaces does not occur exactly once in its file.
func TestCutMutantsStand(t *testing.T) { mutation.CheckPresent(t, cutMutants) }

// TestMutantsStand makes the same check under the name that other packages use for it.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, cutMutants)
}

// TestCutMutantsAreFound checks that each mutant makes TestCutOffKeeperProcess fail. It takes minutes, so it runs only with
// CUT_WRONG=1, or CUT_WRONG set to a part of a mutant's name.
func TestCutMutantsAreFound(t *testing.T) {
	only := os.Getenv("CUT_WRONG")
	if only == "" {
		t.Skip("CUT_WRONG is not set")
	}
	for _, mutant := range cutMutants {
		if only != "1" && !strings.Contains(mutant.Name, only) {
			continue
		}
		t.Run(mutant.Name, func(t *testing.T) {
			dir := t.TempDir()
			if err := buildRelayed(dir, mutant); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Minute)
			defer cancel()
			test := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestCutOffKeeperProcess$", "-test.count=1")
			test.Env = append(os.Environ(), programVar+"="+filepath.Join(dir, "dunetide"), timeoutVar+"=30s")
			test.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it is killed with this test, and its keepers with it
			out, err := test.CombinedOutput()
			if ctx.Err() != nil {
				t.Fatal("the test did not end within 6 min")
			}
			if err == nil || !strings.Contains(string(out), "--- FAIL: TestCutOffKeeperProcess") {
				t.Fatalf("mutant not detected: %v\n%s", err, out)
			}
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "    --- FAIL") {
					t.Log(strings.TrimSpace(line))
				}
			}
		})
	}
}
