package keeper

import (
	"testing"

	"dunetide/internal/platform/invariant/invarianttest"
)

// TestInvariantsFindViolations: each invariant of the package is violated once.
func TestInvariantsFindViolations(t *testing.T) {
	var newest versionWatermark
	newest.advance(configRegister, 3, 10)
	newest.advance(configRegister, 2, 8) // an older state that arrives late
	newest.advance(configRegister, 4, 10)
	invarianttest.Violates(t, "document_versions_rise_with_slots", func() { newest.advance(configRegister, 5, 9) })

	checkReadNotOlder(configRegister, 7, 7)
	invarianttest.Violates(t, "reads_are_not_older_than_known", func() { checkReadNotOlder(configRegister, 7, 6) })

	k := &Keeper{}
	k.checkAcknowledgement("e1", changeResult{})
	k.checkAcknowledgement("e1", changeResult{waiter: &ackWaiter{enoughAcked: true}})
	invarianttest.Violates(t, "acknowledged_ends_are_known_to_a_majority", func() { k.checkAcknowledgement("e1", changeResult{waiter: &ackWaiter{}}) })
	invarianttest.Violates(t, "acknowledgements_are_given_in_contact", func() { k.checkAcknowledgement("e1", changeResult{noContact: true}) })
}
