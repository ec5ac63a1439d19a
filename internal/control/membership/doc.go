// Package membership keeps, at each process of the tier, a partial view of the other processes, so that the keepers are
// found also when the seeds of the settings file are dead or stale.
//
// The protocol is Cyclon (Voulgaris et al., 2005), a gossip protocol that shuffles views, with a share of each view
// reserved for keepers, which every process must be able to find. In each round a process exchanges entries with one
// neighbour, one datagram each way, so the traffic of a process does not depend on the size of the tier.
//
// Core is the protocol as a state machine without I/O; Service runs one on a UDP socket. Every role of cmd/dunetide
// starts a Service. Nothing may be decided by a view: it may lack live processes and contain dead ones, and two views
// need not agree. docs/membership.md describes the protocol and what it guarantees.
package membership
