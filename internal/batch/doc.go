// Package batch stores batch jobs, replicated across stores, and dispatches their items to proxies,
// which run them. docs/batch.md has the guarantees and why they hold; docs/architecture.md describes
// how the processes interact.
//
// # Concepts
//
// A job is what a client submits in one request: a list of items. An item is one request to an
// endpoint. Its result is the text of the response, or a mark that the item was abandoned. The
// results of a job form a list, in commit order; an item's position in that list never changes.
//
// A job belongs to the partition that its ID hashes to. The keepers agree on a table
// (snapshot.PartitionTable) which gives each partition an epoch, a primary and replicas. The
// primary orders all operations on a partition (accept a job, add a result, end a job, drop a job).
// An operation is appended to the log of each replica, and committed once f+1 replicas have it on
// disk, where f is the number of replicas that may be lost. Nothing is acknowledged or read before
// it is committed.
//
// The epoch is a fencing token: each change of a partition in the table increases it. A term
// consists of an epoch and a counter of the primary's incarnations in that epoch (see firstTerm).
// Replicas promise not to follow a term older than the newest that they have seen, so a replaced
// primary can't commit anything. It can't serve reads either, as a read needs a confirmation by f
// replicas.
//
// A job belongs to the tenant whose client submitted it. Calls on behalf of others are answered as if
// there were no such job.
//
// The owner of a quota counts the tokens of a tenant's items on a route that have no result, over all
// partitions. The owner is the primary of the partition that this account hashes to. The primary of a
// job reserves the job's tokens with the owner before it orders the job.
//
// A worker is the component of a proxy that runs items. Stores assign items to workers. A worker
// may start items only while the primary of their partition is connected and has acknowledged the
// worker's report of what it runs.
//
// The log of a store is a sequence of segments, one file each, shared by all partitions. A store
// keeps only indices in memory: texts and bodies stay in the log.
//
// # Structure
//
// A store has two layers. The core (core.go) is a state machine without goroutines, clock, network
// or disk access: events are method calls, and it appends records, sends messages, and replies to
// calls. The shell (Store, in store.go) has the goroutines: run is the only one that passes events
// to the core; syncLoop makes records durable; each connection to another store has one more.
// Store.Close stops them all, and Store.Stopped is closed once they have returned. In a proxy,
// Proxy has one goroutine that watches for the newest table and one for each connection to a store,
// which Proxy.Close waits for, and one for each running item, which Close cancels.
//
// # Files
//
// Messages and records:
//   - messages.go: message kinds and reply codes; assignment.go: the message that assigns an item
//   - job.go: Job and its encoding; jobstate.go: a job in a store's memory; principal.go: whose a job is
//   - operations.go: operations on jobs; records.go: records of the log
//
// The core:
//   - core.go: the state and the log; partition.go: partitions, terms, the table; timers.go: ticks
//   - primary.go: how a primary begins and steps down; takeover.go: how it collects the state; fetch.go: how it fetches
//     the jobs that it lacks; catchup.go: how it brings its replicas up to date; jobpart.go: jobs in parts
//   - leadership.go: leads that other parts of the process rely on; successor.go: what a new primary learns of earlier leads
//   - replication.go: ordering, replicas, commits; confirmation.go: confirmations that a primary has not been replaced
//   - calls.go, reads.go, ends.go: client calls; expiry.go: jobs past their maximum age
//   - dispatch.go: which worker gets an item; workers.go: messages from workers
//   - quota.go: reservations by the primary of a job; quotaowner.go: the owner of a quota
//   - space.go: log space; draining.go: shutdown of a process; invariants.go, metrics.go, condition.go
//
// The shell: store.go, storeloop.go, storelog.go, segments.go, disk.go, connections.go.
//
// The proxy: proxy.go (calls), http.go (the client API), itemrunner.go, itemrun.go and
// itemsilence.go (the worker).
//
// The partition table, as the keepers compute it: table.go, placement.go, retirement.go.
package batch
