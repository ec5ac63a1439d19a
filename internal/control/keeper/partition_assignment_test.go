package keeper

import (
	"testing"
	"time"

	"dunetide/internal/consensus/quorum"
)

// TestNewAssignerProposesAtOnce guards against partitions that stay without a primary for a further second after the
// keeper that assigned them was lost, although its successor knows the attachments of all stores.
func TestNewAssignerProposesAtOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		contact     time.Duration // how long contact has lasted
		hasLease    bool
		proposing   bool
		sinceLast   time.Duration // since the previous proposal
		mayPropose  bool
		interrupted bool // contact was lost in between
	}{
		{"lease just acquired", attachmentDelay, true, false, time.Minute, true, false},
		{"contact just gained", attachmentDelay / 2, true, false, time.Minute, false, false},
		{"contact gained anew", 3 * quorum.ContactTimeout, true, false, time.Minute, false, true},
		{"without the lease", time.Minute, false, false, time.Minute, false, false},
		{"a proposal is under way", time.Minute, true, true, time.Minute, false, false},
		{"right after a proposal", time.Minute, true, false, assignInterval / 2, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newIdleKeeper(t, "k1")
			now := k.startedAt.Add(time.Hour)
			at := k.sinceStart(now)
			step := quorum.ContactTimeout / 4
			for confirmed := at - c.contact; confirmed <= at; confirmed += step {
				if c.interrupted && at-confirmed > step && at-confirmed < 2*quorum.ContactTimeout {
					continue
				}
				k.contact.Confirmed(confirmed, confirmed)
			}
			k.contact.Confirmed(at, at)
			a := &k.assigner
			if c.hasLease {
				_, round := a.lease.Step(at, 1)
				a.lease.RecordGrant(at, round, "k1")
			}
			a.hasLease = a.lease.HasLease(at)
			a.proposing, a.proposedAt = c.proposing, now.Add(-c.sinceLast)
			if got := k.mayAssign(now); got != c.mayPropose {
				t.Errorf("mayAssign is %v, want %v", got, c.mayPropose)
			}
		})
	}
}
