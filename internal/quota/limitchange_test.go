package quota

import "testing"

// TestRefundOfAGrantBeforeAChangeOfTheLimit guards against a refund of a grant that was made in the very millisecond in
// which a newer configuration arrives: it gives back tokens that were granted under the new one.
func TestRefundOfAGrantBeforeAChangeOfTheLimit(t *testing.T) {
	old := pace{rate: token, capacity: 100 * token}
	b := newBucket(old, 0, old.capacity)
	if granted := b.take(1000, 50); granted != 50 {
		t.Fatalf("granted %d", granted)
	}
	b.setPace(1000, pace{rate: token, capacity: 20 * token})
	used := b.take(1000, 20)
	b.refund(1001, 1000, 50) // of the first grant
	if again := b.take(1002, 20); used+again > 21 {
		t.Errorf("%d and %d tokens were granted under a limit of 20 and 1 a second", used, again)
	}
}

// TestConfigurationWithTheSameLimitKeepsRefunds guards against tokens that a tenant loses with each change of the
// configuration that leaves its limit as it is.
func TestConfigurationWithTheSameLimitKeepsRefunds(t *testing.T) {
	r := newCounterRig(t)
	r.serve(1, 0)
	r.leadership.lead.First = true
	r.wait(takeoverWait)
	first := r.take("a")
	if first.Granted != testCapacity {
		t.Fatalf("%+v", first)
	}
	same := testLimit
	same.ConfigVersion++ // a route was added
	answer := r.ask(Demand{Tenant: "a", Limit: same, Wanted: 10_000, Refunds: []Refund{{Tokens: first.Granted, Grant: first.Grant}}})
	if answer.Granted != testCapacity {
		t.Errorf("%d tokens after a refund of %d", answer.Granted, first.Granted)
	}
}
