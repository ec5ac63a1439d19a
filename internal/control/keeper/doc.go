// Package keeper is the control-plane server of a deployment, the role "keeper". Each deployment runs a few keepers,
// like the members of an etcd cluster. Proxies and stores attach to keepers over links, endpoints and operators call
// them over HTTP. docs/control.md says what a keeper guarantees, docs/control-safety.md and docs/orders.md why that
// holds.
//
// # State
//
// A keeper owns, or has a replica of:
//
//   - three registers, decided by Paxos among the voters and on the disks of these: the configuration, the
//     certificates, and the partition table of batch jobs (registerSet; a log of records in keeper.log). All state that
//     must survive is here.
//   - the endpoint list, merged from the heartbeats that reach any keeper (Keeper.endpoints). It is in memory only:
//     after a start it counts as complete once the keeper has heard a whole round of heartbeats.
//   - the processes attached to it, and what each of them has acknowledged (attachedProcess).
//   - what it knows of the other keepers: their links, the processes attached to them, their reports (peer).
//   - the grants of leases on the two singleton roles: assigning partitions to stores (partitionAssigner) and changing
//     the voters of the registers (voterManager).
//
// Nothing that depends on a majority is acknowledged, granted or pushed unless the keeper is in contact: a majority
// of the voters has answered it a moment ago. Contact runs out by itself, so it is checked right before each answer.
//
// # Goroutines
//
// Run starts, and waits for:
//
//   - the owner goroutine (loop), which is Run's own. It alone touches the state of Keeper, but for the fields that are
//     marked as safe for others. It never waits for a disk or for another process.
//   - the registers' goroutine (registerSet.run). It alone touches the registers and their log, and may wait for the
//     disk.
//   - the servers of links and of HTTP calls. Their handlers submit commands to the owner goroutine (submit, query) and
//     wait for the results.
//
// The two goroutines never wait for each other: the owner goroutine offers commands to the registers' and refuses its
// caller if their queue is full (trySubmit); the registers' goroutine posts to the owner goroutine (post). Operations
// on registers are answered by a timer if the disk stalls (boundedOperation). Short-lived goroutines wait for one
// reply, dial or acknowledgement each; they end with their link, their timeout or the keeper.
//
// # Locks
//
// Three mutexes guard what the goroutines share: registerSet.mu, Keeper.postsMu and boundedOperation.mu. Each is held
// for copies only, no two are held at a time, and none during I/O or a callback; so there is no order among them.
//
// # The path of a configuration change
//
// An operator's PUT /config comes to putConfig. putDocument checks it, and proposeDocument hands it to the registers'
// goroutine (registerSet.propose), where document.put decides on it against the newest decided state. Once a majority
// of the voters has it on disk, broadcastDecided sends it to all keepers. At each keeper applyDecided puts it in
// force, and pushAll pushes it to the attached processes, whose acknowledgements (handleAck) complete the ackWaiter
// for which putConfig waits before it answers 200.
//
// # Files
//
//	keeper.go                New, Run and the end of a keeper
//	loop.go                  the owner goroutine and its queues
//	dispatch.go              messages over links, by kind
//	http.go                  HTTP calls, by method and path
//
//	registers.go             the registers' goroutine
//	register_log.go          keeper.log
//	register_transport.go    messages of the registers
//	bounded_operation.go     operations that outlive a stalled disk
//	bootstrap.go             the first voters
//	decided.go               decided states come into force
//	contact.go               contact with a majority
//
//	document.go              documents under versions: the decision on a put
//	document_calls.go        operators' calls for documents; the configuration
//	certificates.go          the certificates, and whether they are in force
//	certificate_reads.go     confirmations for the processes that use them
//	partition_table.go       changes of the partition table
//	partition_assignment.go  the role that assigns partitions to stores
//	store_retirement.go      operators' calls that empty a store
//
//	leases.go                leases on the singleton roles
//	voter_changes.go         the role that changes the voters
//	shutdown.go              transfer of votes and leases before the end
//
//	endpoints.go             calls of endpoints
//	endpoint_exchange.go     the endpoint list among keepers
//	peers.go                 links to other keepers
//	reports.go               what keepers report of themselves
//	attached_processes.go    attachment of proxies and stores
//	pushes.go                updates to them
//	ack_waiters.go           acknowledgements that wait for these
//	voter_acks.go            majorities that know a fact
//
//	conditions.go            conditions that other processes report
//	status.go                the status for operators
//	metrics.go               metrics and logged answers
//	invariants.go            checks that run in production
package keeper
