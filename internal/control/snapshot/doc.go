// Package snapshot defines the view that a proxy or a store has of the system: the configuration in force, the
// endpoints by service, and the table that assigns the partitions of batch jobs to stores.
//
// The client of the control plane (package controlclient) builds a new Snapshot from each update of the keepers and
// sets it on a Latest; request handlers read it from there. A Snapshot is immutable once it has been set, and so is
// everything that it points to: readers need no lock. docs/architecture.md states how stale it may be.
package snapshot
