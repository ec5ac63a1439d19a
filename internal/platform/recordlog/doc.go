// Package recordlog keeps an append-only file of checksummed records, which its owner rewrites (compacts) when it has
// grown long.
//
// The control-plane server's log, the segments of batch jobs and the audit files are such files. A Log owns its file:
// nothing else may write to it while the log is open.
//
// # Format
//
// The file begins with a header that is written twice, and holds the position at which the file begins and a random
// salt. Each record is a frame of package frame (length, checksum of the length, checksum of the payload, all keyed
// by salt and offset) whose payload begins with the synced offset: 8 bytes, little endian, that say up to where the
// file was known to be synced when the record was written. The caller's payload follows.
//
// # Invariants
//
//   - What was synced is replayed, whole and in order, or Open fails with ErrDamaged. A record that does not check is
//     either a write that a loss of power tore, which was never acknowledged and is cut off, or a disk that lost what
//     it had promised. The synced offsets tell them apart: if a later record says that the place had been synced, the
//     disk is at fault. Damage behind the highest synced offset that any record holds can't be told from a torn
//     write.
//   - Positions only grow, also over rewrites, so a position from before a rewrite is never mistaken for a newer one.
//   - After a failed sync nothing in the file is trusted any more: every call fails with ErrUnusable, until the
//     process starts again and Open reads what the disk has. The kernel may have dropped the pages of the failed
//     write and report the next sync as a success (Rebello et al., "Can Applications Recover from fsync Failures?",
//     USENIX ATC 2020).
//
// docs/agreement.md and docs/batch.md say what is kept in such files.
package recordlog
