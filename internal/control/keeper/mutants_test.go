package keeper

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// mutants violate guarantees of a keeper without contact. Tests of real keepers must detect each of them.
var mutants = []mutation.Mutant{
	{
		Name: "acknowledged without contact",
		File: "endpoints.go",
		Old:  "	case result.noContact || !k.inContact():\n",
		New:  "	case false:\n",
	},
	{
		Name: "contact not checked again after a wait",
		File: "endpoints.go",
		Old:  "	case result.noContact || !k.inContact():\n",
		New:  "	case result.noContact:\n",
	},
	{
		Name: "a drain acknowledged without a majority",
		File: "endpoints.go",
		Old:  "	case result.waiter != nil && !result.waiter.enoughAcked:\n",
		New:  "	case false:\n",
	},
	{
		Name: "every keeper counts as a voter",
		File: "voter_acks.go",
		Old:  "	if !acks.pending[id] {\n",
		New:  "	if false {\n",
	},
	{
		Name: "half of the voters count as a majority",
		File: "voter_acks.go",
		Old:  "required: paxos.QuorumSize(len(voters))}",
		New:  "required: (len(voters) + 1) / 2}",
	},
	{
		Name: "registers pushed without contact",
		File: "pushes.go",
		Old:  "	if inContact {\n		k.addRegisters(u, p)\n	}\n",
		New:  "	k.addRegisters(u, p)\n",
	},
	{
		Name: "endpoints not pushed without contact",
		File: "pushes.go",
		Old:  "		if inContact && !k.contact.MayPush(k.sinceStart(now), conn) {\n",
		New:  "		if !k.contact.MayPush(k.sinceStart(now), conn) {\n",
	},
	{
		Name: "a lease granted without contact",
		File: "leases.go",
		Old:  "return k.contact.InContact(at) && k.mayGrant(now, holderID) && ",
		New:  "return k.mayGrant(now, holderID) && ",
	},
	{
		Name: "beat_to names a keeper without contact",
		File: "endpoints.go",
		Old:  " || !p.report.InContact {\n",
		New:  " {\n",
	},
	{
		Name: "a report of a former incarnation counts",
		File: "peers.go",
		Old:  "p.attached, p.digestMismatches, p.report = nil, 0, controlclient.KeeperReport{}\n",
		New:  "p.attached, p.digestMismatches = nil, 0\n",
	},
	{
		Name: "a change of contact is not pushed",
		File: "pushes.go",
		Old:  "p.inContact != inContact || ",
		New:  "",
	},
	{
		Name: "processes stay at a keeper without contact",
		File: "../controlclient/attach.go",
		Old:  "		if !c.inContact(a) {\n",
		New:  "		if false {\n",
	},
	{
		Name: "processes forget keepers that are no longer pushed",
		File: "../controlclient/candidates.go",
		Old:  "	former := slices.Concat(c.formerKeepers, c.keepers)\n",
		New:  "	var former []Node\n",
	},
	{
		Name: "contact without a majority after 3 s",
		File: "contact.go",
		Old:  "k.contact.CheckEnded(k.sinceStart(time.Now()), beganAt, err == nil)",
		New:  "k.contact.CheckEnded(k.sinceStart(time.Now()), beganAt, err == nil || k.sinceStart(time.Now()) > 3*time.Second)",
	},
}

// TestMutantsStand checks that the source text that each mutant replaces still exists.
func TestMutantsStand(t *testing.T) {
	mutation.CheckPresent(t, mutants)
	mutation.CheckPresent(t, documentMutants)
	mutation.CheckPresent(t, endMutants)
}

// TestMutantsAreFound runs the tests against each mutant, which takes minutes. KEEPER_MUTANTS enables it: 1, or part of
// a mutant's name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "KEEPER_MUTANTS")
	mutation.Find(t, mutants, mutation.Options{Only: only,
		Args: []string{"-run", "TestCallsWithoutContact/both|TestProcessesMove|TestHeartbeatTarget|TestContactLost|" +
			"TestLeaseNeedsContact|TestDrainAtJustPartitionedKeeper|TestVoterAcks|TestChangeOfContactIsPushed"},
		Env: []string{"KEEPER_MUTANTS="}, Within: 2 * time.Minute})
}
