// Package forward is the reverse proxy: it takes requests from clients and forwards them to
// endpoints, and runs the items of batch jobs in the same way. At each
// step it decides which answers are still allowed, so that no request that may run once runs twice,
// no request that may have run is refused, and no incomplete answer looks complete.
//
// How a request is processed, by file:
//
//   - listener.go accepts the connection; intake.go reads the request, finds its route and has package
//     identity find its tenant;
//   - prepare.go holds it until a process that has just started has a configuration;
//   - limit.go obtains a permit for it if its tenant's requests are limited;
//   - place.go describes it for package dispatch and acquires an endpoint;
//   - send.go sends it over a connection to the endpoint (connections.go), with the head that
//     head.go builds;
//   - answer.go classifies the head of the answer, and retry.go asks package attempt what to do
//     next;
//   - respond.go and stream.go forward the answer to the client; refuse.go answers with a status of
//     the proxy's own;
//   - finish.go ends the send.
//
// item.go runs batch items, certified.go enforces certificates and records regulated runs,
// metrics.go has the counters and log lines.
//
// invariants.go checks these invariants while serving: a request that may run only once is not sent
// again after it may have run; 429 and 503 are answered only to a request that has not run; an answer
// carries the id of its own request.
//
// docs/calls.md and docs/tenants.md give the reasons.
package forward
