// Package singleton elects the holder of a singleton role, such as the placement of batch partitions. The holder is a
// Candidate to which a majority of the voters has granted a lease; it stops acting in the role before the grants
// expire.
//
// Each keeper is a voter (Granter) and, for each role, a Candidate. Package keeper carries requests and answers between
// them, and acts in a role only while HasLease returns true.
//
// Invariant, argued in docs/control.md: no two Candidates hold the lease of one role at the same time, provided that
// monotonic clocks drift by less than GrantDuration - LeaseDuration over the duration of a grant. Nothing is stored on
// disk: a restarted voter grants nothing until every grant that it may have made earlier has expired. The changes that
// a role makes are fenced separately (compare-and-swap on a register), so that a holder that is frozen in the middle of
// a change does no harm.
//
// The caller drives the package step by step: it has no clock, no connections and no goroutines.
package singleton
