// Package certification implements the certificates document: which incarnations of endpoints are certified for which
// regime, and which routes of the configuration require a certified endpoint.
//
// The control plane stores the document in a register that is replicated by consensus; this package defines its format,
// validation and queries. Every proxy has a Gate, which dispatch queries for each candidate endpoint, and the proxy
// again immediately before it writes a request.
//
// # Invariants
//
//   - A Set is immutable once it has been parsed, so it is shared without a lock.
//   - The version that a Gate holds only increases.
//   - A Gate fails closed: unless a keeper has recently confirmed that the Gate's document is the newest, no endpoint
//     counts as certified. Until a first document is put, no route is regulated.
//
// docs/certified.md lists what is guaranteed and what is not.
package certification
