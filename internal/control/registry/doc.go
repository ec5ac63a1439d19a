// Package registry implements a keeper's table of endpoints: the last heartbeat of each incarnation, tombstones of dead
// incarnations, and a numbered log of changes for subscribers.
//
// The table is soft state and has no leader. Each incarnation is the only writer of its Entry, and entries form a join
// semilattice: keepers exchange them (anti-entropy), and whatever the order and number of the exchanges, all tables
// converge. Package keeper owns the table, applies the heartbeats it receives and pushes the changes; package
// controlclient merges the updates of several keepers. The package does no I/O and reads no clock: the parameter now is
// the reading of a monotonic clock.
//
// docs/control.md describes the protocol around it.
package registry
