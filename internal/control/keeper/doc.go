// Package keeper is the control-plane server of a deployment, the role "keeper". Each deployment runs a few keepers,
// like the members of an etcd cluster. Proxies and stores attach to keepers over links, endpoints and operators call
// them over HTTP. docs/control.md specifies what a keeper guarantees; docs/control-safety.md and docs/orders.md argue
// why that holds.
//
// # State
//
// A keeper owns, or has a replica of:
//
//   - three registers, decided by Paxos among the voters and stored on the voters' disks: the configuration, the
//     certificates, and the partition table of batch jobs (registerSet; a log of records in keeper.log).
//   - the endpoint list, merged from the heartbeats that reach any keeper (Keeper.endpoints). It is in memory: after a
//     start it counts as complete once the keeper has received a full round of heartbeats. Its ends, that is, drained and
//     removed endpoints, are also in keeper.log (endpointEnds), as the endpoint doesn't report them again.
//   - the processes attached to it, and what each of them has acknowledged (attachedProcess).
//   - the state of the other keepers: their links, the processes attached to them, their reports (peer).
//   - the grants of leases on the two singleton roles: assigning partitions to stores (partitionAssigner) and changing
//     the voters of the registers (voterManager).
//
// Nothing that depends on a majority is acknowledged, granted or pushed unless the keeper is in contact, that is, a
// majority of the voters has answered it recently. Contact expires with time, so it is checked right before each
// answer.
//
// # Goroutines
//
// Run starts, and waits for:
//
//   - the owner goroutine (loop), which is the caller of Run. Only it accesses the state of Keeper, except for the
//     fields that are marked as safe for other goroutines. It never waits for a disk or for another process.
//   - the registers' goroutine (registerSet.run). Only it accesses the registers and their log, and it may block on the
//     disk.
//   - the servers of links and of HTTP calls. Their handlers submit commands to the owner goroutine (submit, query) and
//     wait for the results.
//
// The two goroutines never wait for each other: the owner goroutine submits commands to the registers' goroutine
// without blocking, and refuses its caller if the queue is full (trySubmit); the registers' goroutine posts to the
// owner goroutine (post). If the disk stalls, a timer answers operations on registers (boundedOperation). Short-lived
// goroutines wait for one reply, dial or acknowledgement each; they end with their link, their timeout or the keeper.
//
// # Locks
//
// Three mutexes guard what the goroutines share: registerSet.mu, Keeper.postsMu and boundedOperation.mu. Each is held
// for copies only, no two are held at a time, and none during I/O or a callback, so no lock order is needed.
//
// # The path of a configuration change
//
// putConfig serves an operator's PUT /config. putDocument checks the document, and proposeDocument submits it to the
// registers' goroutine (registerSet.propose), where document.put accepts or rejects it against the newest decided
// state. Once a majority of the voters has it on disk, broadcastDecided sends it to all keepers. At each keeper
// applyDecided puts it in force, and pushAll pushes it to the attached processes. Their acknowledgements (handleAck)
// complete the ackWaiter that putConfig awaits before it answers 200.
//
// # Files
//
//	keeper.go                New, Run and the shutdown sequence
//	loop.go                  the owner goroutine and its queues
//	dispatch.go              messages over links, by kind
//	http.go                  HTTP calls, by method and path
//
//	registers.go             the registers' goroutine
//	register_log.go          keeper.log
//	register_transport.go    messages of the registers
//	bounded_operation.go     timeouts of operations while the disk stalls
//	bootstrap.go             the initial voters
//	decided.go               application of decided states
//	contact.go               contact with a majority
//
//	document.go              versioned documents: the decision on a put
//	document_calls.go        operators' calls for documents; the configuration
//	certificates.go          the certificates, and whether they are in force
//	certificate_reads.go     confirmations that a process has the newest certificates
//	partition_table.go       changes of the partition table
//	partition_assignment.go  the role that assigns partitions to stores
//	store_retirement.go      operators' calls that retire a store
//
//	leases.go                leases on the singleton roles
//	voter_changes.go         the role that changes the voters
//	shutdown.go              transfer of votes and leases before a keeper ends
//
//	endpoints.go             calls of endpoints
//	endpoint_ends.go         drained and removed endpoints on disk
//	endpoint_exchange.go     replication of the endpoint list among keepers
//	peers.go                 links to other keepers
//	reports.go               status reports between keepers
//	attached_processes.go    attachment of proxies and stores
//	pushes.go                updates to attached processes
//	ack_waiters.go           answers that wait for acknowledgements
//	voter_acks.go            confirmations by a majority of the voters
//
//	conditions.go            conditions that other processes report
//	status.go                the status for operators
//	metrics.go               metrics and the log of answers
//	invariants.go            checks that run in production
package keeper
