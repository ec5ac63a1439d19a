// Package paxos implements a replicated register: its value at slot k+1 is chosen by single-decree Paxos among the
// voters listed in the decided State of slot k. A State is the complete register, so there is no log to replay and no
// snapshot to transfer: catching up takes one message.
//
// The algorithm is that of Lamport, "Paxos Made Simple" (2001). A Register has all three roles: proposer, acceptor and
// learner. Its acceptor answers only if it is a voter in the newest State. The voters change together with the value,
// as in Lamport, Malkhi and Zhou, "Reconfiguring a State Machine" (2010), with alpha = 1: a slot is proposed only when
// the slot before it is known, so its voters are known too.
//
// The control-plane server (package keeper) owns the registers: it gives each one its disk, network and clock, and
// calls Tick. Package reconfigure decides on changes of voters.
//
// Invariants, argued in docs/agreement.md:
//   - all processes that know a slot know the same State of it;
//   - an operation takes effect at most once, and not before it was called;
//   - an acceptor stores its state before it answers.
//
// One goroutine at a time drives a Register step by step: the package has no clock, goroutines, network or files of its
// own. Callbacks run within steps and may call the Register.
package paxos
