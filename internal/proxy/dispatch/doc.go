// Package dispatch decides to which endpoint a request is sent, and when: it is the load balancer
// and the admission control of a proxy. Package forward acquires a Grant for each request before it
// connects to an endpoint.
//
// A Dispatcher wraps a core, which makes all decisions and has neither a clock nor goroutines, so
// that it can be stepped in tests. For each request the core
//
//   - queues the request by the priority of its tenant, that of its route and its deadline, or
//     refuses it at once if it cannot be served in time (admission.go, queue.go);
//   - finds the endpoints with capacity: below their rate limit (ratelimit.go), with a free slot or
//     a queue that is short enough (capacity.go, load.go), not ejected as outliers (ejection.go);
//   - chooses the cheapest of them (selection.go) by the expected time to the first token and other
//     costs (cost.go), which favour endpoints that have cached the prompt's prefix (affinity.go,
//     prefixcache.go) and the sender's subset (subset.go).
//
// Invariants: no request is granted an endpoint that is not ready in the newest snapshot, that the
// request excludes, or that is not certified for its regime (invariants.go); every grant counts in
// both send logs of its endpoint; all state is bounded.
//
// docs/placement.md gives the reasons and measurements.
package dispatch
