package singleton

import "time"

// GrantDuration is how long a grant lasts on a voter's clock.
const GrantDuration = 1500 * time.Millisecond

// Granter is one voter: it has what it has granted, of all roles.
type Granter struct {
	grantsFrom time.Duration // before that it may have granted something in an earlier incarnation
	byRole     map[string]grant
}

type grant struct {
	leaseHolder string
	until       time.Duration
}

// NewGranter returns a voter that starts now. It grants nothing for GrantDuration.
func NewGranter(now time.Duration) *Granter {
	return &Granter{grantsFrom: now + GrantDuration, byRole: map[string]grant{}}
}

// Grant grants or renews the lease of a role, unless another candidate has it by this voter.
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

// Release takes back a grant that its candidate does not use.
func (g *Granter) Release(role, candidate string) {
	if g.byRole[role].leaseHolder == candidate {
		delete(g.byRole, role)
	}
}

// LeaseHolder is the candidate that has the lease of a role by this voter; "": none.
func (g *Granter) LeaseHolder(now time.Duration, role string) string {
	if current := g.byRole[role]; now < current.until {
		return current.leaseHolder
	}
	return ""
}
