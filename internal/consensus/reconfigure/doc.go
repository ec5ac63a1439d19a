// Package reconfigure decides which single change of a register's voters comes next: who joins, who leaves and who
// replaces whom. It decides on Situations, which an Observer gathers from what the keepers report of each other.
//
// The caller (package keeper, while it holds the lease on the singleton role "voters") proposes the change to the
// register with Change.Apply, which is a compare-and-swap on the voters: two callers who both believe that they decide
// can't both succeed.
//
// Invariants, argued in docs/agreement.md: no change takes from the machines that may still be lost, and after each
// change the voters that are reachable are a quorum of the new voters.
//
// The rules are pure functions. The package has no clock, no links and no goroutines.
package reconfigure
