// Package certification holds the agreed certificates: which incarnations of endpoints are certified for which
// regime, and which routes of the configuration demand one.
//
// The control plane owns the document, as one more register that a majority agrees on; this package has its form, its
// checks and the questions that are asked of it. Every proxy has a Gate: dispatch asks it for each candidate, and the
// proxy again right before a request is written.
//
// # Invariants
//
//   - A Set is never changed once it was parsed, so it is shared without a lock.
//   - The version that a gate knows only grows.
//   - A gate fails closed: where no keeper has confirmed lately that the known document is the newest one, no
//     endpoint counts as certified. As long as no document was ever put, no route is regulated.
//
// docs/certified.md says what is guaranteed and what isn't.
package certification
