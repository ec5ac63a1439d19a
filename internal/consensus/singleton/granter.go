package singleton

import "time"

// GrantDuration is how long a grant lasts on a voter's clock.
const GrantDuration = 1500 * time.Millisecond

// Granter is one voter; it keeps the grants that it has made, for all roles.
type Granter struct {
	grantsFrom time.Duration // until then, grants of an earlier incarnation may still be valid
	byRole     map[string]grant
}

type grant struct {
	leaseHolder string
	until       time.Duration
}

// NewGranter returns a voter that starts now. It refuses all requests for GrantDuration.
func NewGranter(now time.Duration) *Granter {
	return &Granter{grantsFrom: now + GrantDuration, byRole: map[string]grant{}}
}

// Grant grants or renews the lease of a role, and reports whether it did. It refuses while another candidate holds this
// voter's grant.
func (g *Granter) Grant(now time.Duration, role, candidate string) bool {
	if now < g.grantsFrom {
		return false
	}
	if current, found := g.byRole[role]; found && current.leaseHolder != candidate && now < current.until {
		return false
	}
	g.byRole[role] = grant{candidate, now + GrantDuration}
	return true
}

// Release revokes a grant that the candidate does not use.
func (g *Granter) Release(role, candidate string) {
	if g.byRole[role].leaseHolder == candidate {
		delete(g.byRole, role)
	}
}

// LeaseHolder returns the candidate to which this voter has granted the lease of a role; "" if there is none.
func (g *Granter) LeaseHolder(now time.Duration, role string) string {
	if current := g.byRole[role]; now < current.until {
		return current.leaseHolder
	}
	return ""
}
