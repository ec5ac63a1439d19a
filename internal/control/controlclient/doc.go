// Package controlclient attaches a process to the control plane: it holds links to keepers, merges what they push into
// snapshots, and defines the messages that go between keepers and the other processes, and between keepers.
//
// Proxies and stores run a Client; keepers (package keeper) use the messages only.
//
// # Invariants
//
//   - A configuration, a partition table and a set of certificates are replaced by newer versions only, whichever
//     keeper sends them (invariant versions_in_force_never_go_back).
//   - An endpoint that is draining or has ended never becomes ready again (invariant
//     drained_endpoints_never_become_ready).
//   - An update is acknowledged once all of it that this program can parse is in force, never before.
//   - A keeper without contact with a majority neither confirms certificates nor says what the registers hold.
//
// # Compatibility
//
// Each message is encoded by hand, in the order of its fields. Old and new processes run in one tier during an upgrade,
// so the bytes must not change; testdata/golden has them.
//
// docs/control.md describes the control plane.
package controlclient
