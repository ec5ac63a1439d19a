// Package quorum decides whether a keeper (control-plane server) may answer requests about the replicated registers. A
// keeper is in contact while a majority of the voters has answered it recently. Contact expires by itself, so a
// partitioned keeper stops answering without receiving a message. Raft's CheckQuorum does this for the leader; here it
// applies to every keeper.
//
// Package keeper owns a Gate, which combines contact (Tracker) with the linearizable reads that processes wait for when
// they attach (ReadBarrier, which batches them as raft's ReadIndex does).
//
// Invariants, argued in docs/control-safety.md:
//   - nothing is acknowledged or pushed without contact;
//   - the first value pushed to a process is not older than the newest value confirmed before the process attached.
//
// The caller drives the package step by step: it has no clock, no connections and no goroutines. Times are read from
// the monotonic clock of the keeper's incarnation.
package quorum
