package keeper

import (
	"fmt"

	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/link"
)

var (
	// versionsRiseWithSlots: a later decided state of a register of documents never holds an older version.
	versionsRiseWithSlots = invariant.New("document_versions_rise_with_slots")
	// readsAreNotOlder: an operator's read answers nothing older than what this keeper knew to be decided when the read came.
	readsAreNotOlder = invariant.New("reads_are_not_older_than_known")
	// endsAreQuorate: the end of an endpoint is acknowledged only when a majority knows of it.
	endsAreQuorate = invariant.New("acknowledged_ends_are_known_to_a_majority")
	// spokenInContact: what a keeper without contact says is no acknowledgement.
	spokenInContact = invariant.New("acknowledgements_are_given_in_contact")
)

// decidedVersion is the newest decided version of a document, and the slot that holds it.
type decidedVersion struct{ slot, version uint64 }

// rise takes a decided state in.
func (d *decidedVersion) rise(register string, slot, version uint64) {
	if slot < d.slot {
		return
	}
	versionsRiseWithSlots.Check(version >= d.version, func() string {
		return fmt.Sprintf("register %s: slot %d holds version %d, slot %d held %d", register, slot, version, d.slot, d.version)
	})
	d.slot, d.version = slot, max(version, d.version)
}

// checkRead holds the answer to a read against the version that was known when the read came.
func checkRead(register string, known, answered uint64) {
	readsAreNotOlder.Check(answered >= known, func() string {
		return fmt.Sprintf("register %s: version %d is answered, %d was decided before the read", register, answered, known)
	})
}

// knownVersion is the version of the newest decided document of a register that is known here; 0: none.
func (a *agreement) knownVersion(register string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	value := a.states[register].Value
	if len(value) == 0 {
		return 0
	}
	r := link.Reader{B: value}
	return r.U64()
}

// checkAcknowledgement is called right before an endpoint's call is acknowledged.
func (k *Keeper) checkAcknowledgement(id string, res registered) {
	endsAreQuorate.Check(res.waiter == nil || res.waiter.quorate, func() string {
		return fmt.Sprintf("endpoint %s: its end is acknowledged and no majority has confirmed it", id)
	})
	spokenInContact.Check(!res.noContact, func() string { return fmt.Sprintf("endpoint %s is acknowledged without contact", id) })
}
