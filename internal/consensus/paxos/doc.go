// Package paxos is a replicated register: its value at slot k+1 is chosen by single-decree Paxos among the voters that
// the decided State of slot k names. A State is the whole of its register, so there is no log to replay and no snapshot
// to transfer: catching up is one message.
//
// The algorithm is that of Lamport, "Paxos Made Simple" (2001). A Register has all three of its roles: proposer,
// acceptor and learner. Its acceptor takes part only where the State says that it is a voter. The voters change with
// the value, as in Lamport, Malkhi and Zhou, "Reconfiguring a State Machine" (2010), with alpha = 1: a slot is proposed
// only where the one before it is known, so its voters are known too.
//
// The control-plane server (package keeper) owns the registers: it gives each one its disk, network and clock, and
// calls Tick. Package reconfigure decides on changes of voters.
//
// Invariants, with their arguments in docs/agreement.md:
//   - all processes that know a slot know the same State of it;
//   - an operation takes effect at most once, and not before it was called;
//   - whatever an acceptor answers, it has stored before.
//
// The core is stepped by one goroutine at a time: it has no clock, no goroutines, no network and no files of its own.
// Callbacks are called within steps, and may call the Register.
package paxos
