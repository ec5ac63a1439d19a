// Package view has what a proxy or a store knows of the system at a moment: the configuration in
// force, the endpoints, the stores. A Snapshot is never changed once it is shared.
package snapshot

import (
	"context"
	"sync"
	"sync/atomic"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
)

// State of an endpoint's incarnation. It only grows.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	ID                string
	Service           string
	Address           string
	Zone              string
	Version           string
	Capacity          int
	State             State
	RemainingWarmupMs int
	Models            []Model
	CallCount         uint64 // of its newest heartbeat that counted
}

// Model is a model that an endpoint serves.
type Model struct {
	Name    string
	Version int
}

// Store is a storage machine by its identity on disk.
type Store struct {
	ID   uint64 // drawn at random when its disk was first used; an emptied disk has another
	Name string
	Addr string // of its links
	Zone string
}

// Part is one part of the batch jobs: those whose id hashes to its place in the table.
type Partition struct {
	Epoch    uint64
	Primary  uint64   // the store's ID; 0: none
	Replicas []uint64 // with the primary; what is promised is on f+1 of them
	Joining  []uint64 // are being handed the part, and do not count yet
	Leaving  []uint64 // copies that go when those that join have all
}

// Table says which stores hold which part.
type PartitionTable struct {
	Version    uint64 // grows with each change
	Partitions []Partition
	Stores     map[uint64]Store
	Retiring   map[uint64]bool
	// Stopping are the stores that have said that they are about to stop: they lead nothing until they say that they run.
	Stopping map[uint64]bool
}

// PartOf is the part that holds a batch job, found by a hash of its id; -1 where there are no parts.
func (t *PartitionTable) PartitionOf(lot string) int {
	if t == nil || len(t.Partitions) == 0 {
		return -1
	}
	return int(Hash(lot) % uint64(len(t.Partitions)))
}

// Hash is FNV-1a with a final mix.
func Hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Snapshot is all of it.
type Snapshot struct {
	Config    *operatorconfig.Config // nil: none is known, and nothing may be said of routes
	Endpoints map[string][]*Endpoint // by service; those that are gone are left out
	Proxies   int                    // proxies that share the endpoints, this one too; at least 1
	Table     *PartitionTable        // nil: not known
	// Listed tells that the endpoints come from a keeper that has heard a whole round of heartbeats.
	EndpointsComplete bool
	// Certificates say which endpoints may have regulated work; nil: none were ever put, and nothing is regulated.
	Certificates *certification.Set
	// CertificatesKnown tells that a keeper has said whether there are any.
	CertificatesKnown bool
}

// Holder holds the newest snapshot. The zero value holds none. It is safe for concurrent use.
type Latest struct {
	p atomic.Pointer[Snapshot]

	mu   sync.Mutex
	next chan struct{} // closed by the next Set; nil while nobody awaits it
}

// Get returns the newest snapshot, nil before the first.
func (h *Latest) Get() *Snapshot { return h.p.Load() }

// Set puts a newer one in its place.
func (h *Latest) Set(s *Snapshot) {
	h.p.Store(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next != nil {
		close(h.next)
		h.next = nil
	}
}

// Await waits until ready accepts the newest snapshot, which may be nil. It returns the error of the context if that ends first.
func (h *Latest) Await(ctx context.Context, ready func(*Snapshot) bool) error {
	for {
		next := h.changed()
		if ready(h.Get()) {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changed returns a channel that the next Set closes.
func (h *Latest) changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.next == nil {
		h.next = make(chan struct{})
	}
	return h.next
}
