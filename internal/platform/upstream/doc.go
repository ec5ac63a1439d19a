// Package upstream keeps the connections to endpoints. It lends one to each call and takes it back, and learns from
// how calls end how long a connection may stand idle and how many an endpoint holds. It never decides on a call, and
// never sends one again.
//
// The proxy of the tier has Pools for the endpoints of its configuration, the delivery node for its destinations. A
// Pool has the connections to one endpoint; a Conn belongs to one call from Acquire to Release.
//
// # Invariants
//
//   - Another call follows on a connection only if the request before it was written and its answer read, each to its
//     end, and nothing came behind the answer.
//   - A CallError whose Sent is false proves that the endpoint has not received the call completely, so that it can't
//     run.
//   - Pools never have more connections than Config.MaxOpen, those that are being opened among them.
//   - Nothing that was learnt about an endpoint outlives its address or its process.
//
// docs/upstream.md says how connections are kept; docs/calls.md says what proves that a request was not received.
package upstream
