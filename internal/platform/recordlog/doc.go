// Package recordlog implements an append-only file of checksummed records, which its owner rewrites (compacts) when it
// has grown large.
//
// The control-plane server's log, the segments of batch jobs and the audit files use it. A Log owns its file: nothing
// else may write to the file while the log is open.
//
// # Format
//
// The file begins with two copies of a header, which holds the position at which the file begins and a random salt. Each
// record is a frame of package frame (length, checksum of the length, checksum of the payload, all keyed by salt and
// offset). Its payload begins with the synced offset: 8 bytes, little endian, the offset up to which the file was known
// to be synced when the record was written. The caller's payload follows.
//
// # Invariants
//
//   - Synced records are replayed completely and in order, or Open fails with ErrDamaged. An invalid record is either a
//     write torn by a power loss, which was never acknowledged and is truncated, or synced data that the disk has lost
//     or changed. The synced offsets distinguish the two: if the synced offset of a later record is beyond the invalid
//     one, the disk is at fault. Damage after the highest synced offset of any record can't be distinguished from a torn
//     write.
//   - Positions only increase, even across rewrites, so a position from before a rewrite never denotes a newer record.
//   - After a failed sync the content of the file is not trusted: every call fails with ErrUnusable until the process
//     restarts and Open reads what is on the disk. The kernel may have dropped the pages of the failed write and report
//     the next sync as successful (Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC 2020).
//
// docs/agreement.md and docs/batch.md describe the content of such files.
package recordlog
