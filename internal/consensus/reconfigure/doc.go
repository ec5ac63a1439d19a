// Package reconfigure decides which single change of a register's voters comes next: a voter joins, leaves or is
// replaced. A decision depends only on a Situation, which an Observer derives from the keepers' reports on each other.
//
// The caller (package keeper, while it holds the lease on the singleton role "voters") proposes the change to the
// register with Change.Apply, which is a compare-and-swap on the voters: if two callers both believe that they hold the
// role, at most one of them succeeds.
//
// Invariants, argued in docs/agreement.md: no change lowers the number of further machine failures that the register
// survives, and after each change the reachable voters form a quorum of the new voters.
//
// The rules are pure functions. The package has no clock, no connections and no goroutines.
package reconfigure
