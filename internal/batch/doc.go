// Package batch stores batch jobs, replicated over stores, and has their items run by proxies.
// docs/batch.md has the guarantees and why they hold; docs/architecture.md has how the processes
// work together.
//
// # Concepts
//
// A job is what a client submits in one request: a list of items. An item is one request to an
// endpoint. Its result is the text of the answer, or that the item was abandoned. The results of a
// job form a list, in the order in which they were committed; an item's place in that list never
// changes.
//
// A job belongs to the partition that its ID hashes to. The keepers agree on a table (snapshot.PartitionTable)
// which gives each partition an epoch, a primary and replicas. All operations on a partition
// (accept a job, add a result, end a job, drop a job) are ordered by its primary, appended to the
// log of each replica, and committed once f+1 replicas have them on disk, where f replicas may be
// lost. Nothing is acknowledged or read before it is committed.
//
// The epoch is a fencing token: each change of a partition in the table has a higher one. A term is
// an epoch with a counter of the primaries' incarnations in it (see firstTerm). Replicas promise to
// follow no older term than the newest that they have heard of, so a primary that has been replaced
// commits nothing and, as reads need a confirmation by f replicas, reads out nothing.
//
// The owner of a route's quota counts the tokens of the route's items that have no result, over all
// partitions. It is the primary of the partition that the route's name hashes to. The primary of a
// job reserves the job's tokens there before it orders the job.
//
// A worker is the part of a proxy that runs items. Stores assign items to workers; a worker may
// start items only while the primary of their partition is connected and has noted what it runs.
//
// The log of a store is a row of segments, one file each, for all partitions together. The memory
// of a store has indices only: texts and bodies stay in the log.
//
// # Structure
//
// A store is in two layers. The core (core.go) is a state machine without goroutines, clock,
// network and disk: events come as calls, and it appends records, sends messages, and replies. The
// shell (Store, in store.go) has the goroutines: run feeds the core with events, alone; syncLoop
// makes records durable; each connection to another store has one more. Store.Close ends them all,
// and Store.Stopped is closed once they have ended. At a proxy, Proxy has one goroutine for the
// newest table and one for each connection to a store, for which Proxy.Close waits, and one for
// each item that runs, which Close cancels.
//
// # Files
//
// Messages and records:
//   - messages.go: kinds of messages and codes of replies; assignment.go: the message with an item
//   - job.go: Job and its encoding; jobstate.go: a job in a store's memory
//   - operations.go: operations on jobs; records.go: records of the log
//
// The core:
//   - core.go: the state and the log; partition.go: partitions, terms, the table; timers.go: ticks
//   - primary.go: how a primary begins and steps down; takeover.go: how it collects the state
//   - replication.go: ordering, replicas, commits; confirmation.go: confirmations that a primary is not replaced
//   - calls.go, reads.go, ends.go: calls of clients; expiry.go: jobs that are too old
//   - dispatch.go: which worker gets an item; workers.go: what workers report
//   - quota.go: reservations by the primary of a job; quotaowner.go: the owner of a quota
//   - space.go: space of the log; draining.go: the end of a process; invariants.go, metrics.go, condition.go
//
// The shell: store.go, storeloop.go, storelog.go, segments.go, disk.go, connections.go.
//
// The proxy: proxy.go (calls), http.go (the interface for clients), itemrunner.go and itemrun.go (the worker).
//
// The table of partitions, as keepers work it out: table.go, placement.go, retirement.go.
package batch
