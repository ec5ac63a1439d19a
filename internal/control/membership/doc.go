// Package membership maintains, in each process of the tier, a partial view of the other processes, so that a process
// finds the keepers even if the seeds in its settings file are down or outdated.
//
// The protocol is Cyclon (Voulgaris et al., 2005), a gossip protocol that shuffles views, with a share of each view
// reserved for keepers, which every process must be able to find. In each round a process exchanges entries with one
// neighbour, one datagram each way, so the traffic of a process does not depend on the size of the tier.
//
// Core is the protocol as a state machine without I/O; Service runs a Core on a UDP socket. Every role of cmd/dunetide
// starts a Service. Views are hints only: a view may lack live processes and contain dead ones, and two views need not
// agree, so no decision may depend on one. docs/membership.md describes the protocol and its guarantees.
package membership
