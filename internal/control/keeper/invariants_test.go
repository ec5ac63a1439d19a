package keeper

import (
	"testing"

	"dunetide/internal/platform/invariant/invarianttest"
)

func TestBrokenPromisesOfKeepersAreFound(t *testing.T) {
	var newest decidedVersion
	newest.rise(configRegister, 3, 10)
	newest.rise(configRegister, 2, 8) // an older state that comes late
	newest.rise(configRegister, 4, 10)
	invarianttest.Violates(t, "document_versions_rise_with_slots", func() { newest.rise(configRegister, 5, 9) })

	checkRead(configRegister, 7, 7)
	invarianttest.Violates(t, "reads_are_not_older_than_known", func() { checkRead(configRegister, 7, 6) })

	k := &Keeper{}
	k.checkAcknowledgement("e1", registered{})
	k.checkAcknowledgement("e1", registered{waiter: &waiter{quorate: true}})
	invarianttest.Violates(t, "acknowledged_ends_are_known_to_a_majority", func() { k.checkAcknowledgement("e1", registered{waiter: &waiter{}}) })
	invarianttest.Violates(t, "acknowledgements_are_given_in_contact", func() { k.checkAcknowledgement("e1", registered{noContact: true}) })
}
