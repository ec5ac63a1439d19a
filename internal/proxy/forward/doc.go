// Package forward is the reverse proxy: it takes requests from clients and forwards them to
// endpoints, and runs the items of batch jobs in the same way. It decides what may be answered at
// each moment of a request, so that nothing runs twice, nothing that may have run is refused, and
// no answer looks complete that is not.
//
// The way of a request, by file:
//
//   - listener.go accepts the connection; intake.go reads the request and finds its route;
//   - prepare.go holds it until a process that has just started knows a configuration;
//   - place.go describes it for package dispatch and acquires an endpoint;
//   - send.go sends it over a connection to the endpoint (connections.go), with the head that
//     head.go builds;
//   - answer.go classifies the head of the answer, and retry.go asks package attempt what to do
//     next;
//   - respond.go and stream.go forward the answer to the client; refuse.go answers with a status of
//     the proxy's own;
//   - finish.go ends the sending.
//
// item.go runs batch items, certified.go keeps to certificates and records regulated runs,
// metrics.go has counters and log lines.
//
// Invariants, which invariants.go checks while serving: a request that may run once is sent nowhere
// after it may have run; 503 is answered only to what has not run; an answer carries the id of its
// own request.
//
// docs/calls.md gives the reasons.
package forward
