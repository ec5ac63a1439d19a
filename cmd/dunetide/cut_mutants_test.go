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

// cutMutants are lines that would break what a keeper without contact promises, one at a time. Keepers that are built with one of
// them have to be found out from outside.
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
		Name: "contact for life",
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
		Name: "what endpoints say without contact is not kept",
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
		Name: "contact that lasts twice as long",
		File: "../../internal/consensus/quorum/tracker.go",
		Old:  "	until := startedAt + ContactTimeout\n",
		New:  "	until := startedAt + 2*ContactTimeout\n",
	},
}

// TestCutMutantsStand fails when a line of the list no longer stands once in the file that it names.
func TestCutMutantsStand(t *testing.T) { mutation.CheckPresent(t, cutMutants) }

// Each mutant can still be put where it belongs.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, cutMutants)
}

// Each mutant is found. This takes minutes, so it is requested by CUT_WRONG=1, or a part of a name.
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
			play := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestCutOffKeeperProcess$", "-test.count=1")
			play.Env = append(os.Environ(), programVar+"="+filepath.Join(dir, "dunetide"), patienceVar+"=30s")
			play.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this test, and its keepers with it
			out, err := play.CombinedOutput()
			if ctx.Err() != nil {
				t.Fatal("it takes too long")
			}
			if err == nil || !strings.Contains(string(out), "--- FAIL: TestCutOffKeeperProcess") {
				t.Fatalf("not found: %v\n%s", err, out)
			}
			for said := range strings.Lines(string(out)) {
				if strings.Contains(said, "    --- FAIL") {
					t.Log(strings.TrimSpace(said))
				}
			}
		})
	}
}
