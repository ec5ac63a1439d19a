// Package upstream pools the connections to endpoints. It hands out one connection per call and, from the outcomes of
// calls, learns how long a connection may stay idle and how many connections an endpoint accepts. It makes no decision
// about a call and never retries one.
//
// The tier's proxy uses Pools for the endpoints of its configuration, the delivery node for its destinations. A Pool
// holds the connections to one endpoint; a Conn belongs to one call from Acquire to Release.
//
// # Invariants
//
//   - A connection is reused only if its last request was written and the response read, both completely, and no data
//     followed the response.
//   - A CallError with Sent false proves that the endpoint has not received the complete request, so that it can't
//     execute it.
//   - Pools never have more than Config.MaxOpen connections, including those being opened.
//   - State learned about an endpoint is dropped when its address changes or its process restarts.
//
// docs/upstream.md describes the pooling; docs/calls.md describes what proves that a request was not received.
package upstream
