package keeper

import (
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/quorum"
)

// TestLeaseNeedsContact: a voter grants a lease to a voter only while it is in contact with a majority.
func TestLeaseNeedsContact(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	const other = 7
	k.registers.publishDecided(configRegister, paxos.State{
		Slot:   k.registers.storedSlotNumbers()[0],
		Voters: []paxos.Voter{{ID: k.registers.id, Name: "k1"}, {ID: other, Name: "k2"}},
	})
	now := k.startedAt.Add(time.Minute)
	if !k.mayGrant(now, other) {
		t.Fatal("mayGrant is false although both are voters")
	}
	if k.grantLease(now, "role", "k2", other) {
		t.Error("granted without contact")
	}
	k.contact.Confirmed(k.sinceStart(now), k.sinceStart(now))
	if !k.grantLease(now, "role", "k2", other) {
		t.Error("refused in contact")
	}
	if later := now.Add(quorum.ContactTimeout); k.grantLease(later, "role", "k2", other) {
		t.Error("granted after contact has ended")
	}
}
