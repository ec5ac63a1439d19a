// Package singleton elects who has a singleton role, such as the placement of batch partitions: a Candidate that a
// majority of voters has granted a lease, and that stops before the lease ends.
//
// Each keeper is a voter (Granter) and, for each role, a Candidate; package keeper carries the requests and the answers
// between them, and acts in a role only while HasLease.
//
// Invariants, argued in docs/control.md: no two Candidates hold the lease of one role at a time, while monotonic clocks
// drift by less than the difference of GrantDuration and LeaseDuration in that time. Nothing is on disk, as a voter
// that has just started grants nothing until what it may have granted before has ended. What the role changes is fenced
// by other means (compare-and-swap on a register), so that a holder that was frozen in the middle of an act does no
// harm.
//
// The package is stepped: it has no clock, no links and no goroutines.
package singleton
