// Package controlclient attaches a process to the control plane: it maintains links to keepers, merges their updates
// into snapshots, and defines the messages between keepers and other processes, and between keepers.
//
// Proxies and stores run a Client; keepers (package keeper) use only the messages.
//
// # Invariants
//
//   - A configuration, a partition table and a set of certificates are replaced by newer versions only, whichever
//     keeper sends them (invariant versions_in_force_never_go_back).
//   - An endpoint that is draining or removed never becomes ready again (invariant
//     drained_endpoints_never_become_ready).
//   - An update is acknowledged only after all of it that this program can parse is in force.
//   - A keeper without contact with a majority neither confirms certificates nor reports the content of the registers.
//
// # Compatibility
//
// Each message is encoded by hand, in the order of its fields. Old and new processes run in one tier during an upgrade,
// so the encodings must not change; testdata/golden pins them.
//
// docs/control.md describes the control plane.
package controlclient
