package keeper

import (
	"testing"
	"time"

	"dunetide/internal/lab/mutation"
)

// wrong are lines that would break what a keeper without contact promises, one at a time. Tests of real keepers have to
// find each of them.
var mutants = []mutation.Line{
	{"acknowledged without contact", "endpoints.go", "	case result.noContact || !k.inContact():\n", "	case false:\n"},
	{"contact not looked at again after a wait", "endpoints.go", "	case result.noContact || !k.inContact():\n", "	case result.noContact:\n"},
	{"a drain acknowledged without a majority", "endpoints.go", "	case result.waiter != nil && !result.waiter.majorityAcked:\n", "	case false:\n"},
	{"every keeper counts as a voter", "voter_acks.go", "	if acks == nil || !acks.pending[id] {\n", "	if acks == nil {\n"},
	{"half of the voters count as a majority", "voter_acks.go", "majority: len(voters)/2 + 1}", "majority: (len(voters) + 1) / 2}"},
	{"registers pushed without contact", "pushes.go", "	if inContact {\n		k.addRegisters(u, p)\n	}\n", "	k.addRegisters(u, p)\n"},
	{"endpoints not pushed without contact", "pushes.go", "		if inContact && !k.contact.MayPush(k.sinceStart(now), conn) {\n", "		if !k.contact.MayPush(k.sinceStart(now), conn) {\n"},
	{"a lease granted without contact", "leases.go", "return k.contact.InContact(at) && k.mayGrant(now, holderID) && ", "return k.mayGrant(now, holderID) && "},
	{"beat_to names a keeper without contact", "endpoints.go", " || !p.report.InContact {\n", " {\n"},
	{"a report of a former life counts", "peers.go", "p.attached, p.digestMismatches, p.report = nil, 0, controlclient.KeeperReport{}\n", "p.attached, p.digestMismatches = nil, 0\n"},
	{"the attached are not told", "pushes.go", "p.inContact != inContact || ", ""},
	{"processes stay at a keeper without contact", "../controlclient/attach.go", "		if !c.inContact(a) {\n", "		if false {\n"},
	{"processes forget keepers that are not told of any more", "../controlclient/merge.go", "	former := slices.Concat(c.former, c.keepers)\n", "	var former []Node\n"},
	{"contact without a majority after 3 s", "contact.go", "k.contact.CheckEnded(k.sinceStart(time.Now()), askedAt, err == nil)", "k.contact.CheckEnded(k.sinceStart(time.Now()), askedAt, err == nil || k.sinceStart(time.Now()) > 3*time.Second)"},
}

// TestMutantsArePresent checks that each mutant can still be put where it belongs.
func TestMutantsArePresent(t *testing.T) {
	mutation.Check(t, mutants)
	mutation.Check(t, documentMutants)
}

// TestMutantsAreFound runs the tests over each mutant, which takes minutes: KEEPER_WRONG is 1 or a part of a name.
func TestMutantsAreFound(t *testing.T) {
	only := mutation.Asked(t, "KEEPER_WRONG")
	mutation.Find(t, mutants, mutation.Options{Only: only,
		Args: []string{"-run", "TestCallsWithoutContact/both|TestProcessesMove|TestHeartbeatTarget|TestContactLost|" +
			"TestLeaseNeedsContact|TestDrainAtJustPartitionedKeeper|TestVoterAcks"},
		Env: []string{"KEEPER_WRONG="}, Within: 2 * time.Minute})
}
