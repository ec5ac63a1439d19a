// Package quorum says whether a keeper (control-plane server) may answer for the replicated registers. A keeper is in
// contact while a majority of the voters has answered it recently. Contact expires, so a partitioned keeper stops
// answering without any message. That is what raft's CheckQuorum does for a leader, here for each keeper.
//
// Package keeper owns a Gate, which combines contact (Tracker) with the linearizable reads that processes wait for when
// they attach (ReadBarrier, which batches them as raft's ReadIndex does).
//
// Invariants, argued in docs/control-safety.md: nothing is acknowledged or pushed without contact, and the first value
// that a process is pushed is not older than the newest one that was confirmed before it attached.
//
// The package is stepped: it has no clock, no links and no goroutines. Times are on the monotonic clock of the keeper's
// incarnation.
package quorum
