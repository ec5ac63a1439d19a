package keeper

import (
	"fmt"

	"dunetide/internal/platform/invariant"
	"dunetide/internal/platform/link"
)

// Invariants that are checked at run time. Their names are label values of metrics.
var (
	// versionsRiseWithSlots: a later decided state of a register that holds a document never has an older version.
	versionsRiseWithSlots = invariant.New("document_versions_rise_with_slots")
	// readsAreNotOlder: an operator's read never returns an older version than the newest one that this keeper knew to
	// be decided when the read arrived.
	readsAreNotOlder = invariant.New("reads_are_not_older_than_known")
	// endsKnownToMajority: the drain or removal of an endpoint is acknowledged only when a majority knows it.
	endsKnownToMajority = invariant.New("acknowledged_ends_are_known_to_a_majority")
	// acknowledgedInContact: a keeper without contact acknowledges nothing.
	acknowledgedInContact = invariant.New("acknowledgements_are_given_in_contact")
)

// versionWatermark is the newest decided version of a document, and the slot that holds it.
type versionWatermark struct{ slot, version uint64 }

// advance checks a decided state against the newest one so far. States may arrive out of order.
func (newest *versionWatermark) advance(register string, slot, version uint64) {
	if slot < newest.slot {
		return
	}
	versionsRiseWithSlots.Check(version >= newest.version, func() string {
		return fmt.Sprintf("register %s: slot %d holds version %d, but slot %d held version %d",
			register, slot, version, newest.slot, newest.version)
	})
	newest.slot, newest.version = slot, max(version, newest.version)
}

// knownDocumentVersion returns the version of a register's newest decided document that this keeper knows; 0: none.
func (rs *registerSet) knownDocumentVersion(register string) uint64 {
	state, _ := rs.state(register)
	if len(state.Value) == 0 {
		return 0
	}
	r := link.Reader{Buf: state.Value}
	return r.U64()
}

// checkReadNotOlder checks the answer to a read against the version that was known when the read arrived.
func checkReadNotOlder(register string, known, answered uint64) {
	readsAreNotOlder.Check(answered >= known, func() string {
		return fmt.Sprintf("register %s: read returned version %d, but version %d was decided before the read",
			register, answered, known)
	})
}

// checkAcknowledgement is called right before a change of an endpoint is acknowledged.
func (k *Keeper) checkAcknowledgement(id string, result changeResult) {
	endsKnownToMajority.Check(result.waiter == nil || result.waiter.enoughAcked, func() string {
		return fmt.Sprintf("endpoint %s: drain or removal acknowledged before a majority confirmed it", id)
	})
	acknowledgedInContact.Check(!result.noContact, func() string {
		return fmt.Sprintf("endpoint %s: change acknowledged without contact with a majority", id)
	})
}
