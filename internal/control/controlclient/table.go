package controlclient

import (
	"maps"
	"slices"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// minPartitionSize is the minimum size of an encoded partition in bytes: two numbers and three empty lists.
	minPartitionSize = 2*8 + 3*4
	// minStoreSize is the minimum size of an encoded store in bytes: a number, three empty strings and the flags.
	minStoreSize = 8 + 3*4 + 1
)

// Flags of a store in an encoded table.
const (
	flagRetiring uint8 = 1 << iota
	flagStopping
)

// AppendTable appends the encoding of a partition table to a message: its version, the partitions in order, and the
// stores sorted by ID.
func AppendTable(w *link.Writer, t *snapshot.PartitionTable) {
	w.U64(t.Version)
	w.U32(uint32(len(t.Partitions)))
	for _, p := range t.Partitions {
		w.U64(p.Epoch)
		w.U64(p.Primary)
		appendNumbers(w, p.Replicas)
		appendNumbers(w, p.Joining)
		appendNumbers(w, p.Leaving)
	}
	stores := slices.AppendSeq(make([]uint64, 0, len(t.Stores)), maps.Keys(t.Stores))
	slices.Sort(stores)
	w.U32(uint32(len(stores)))
	for _, id := range stores {
		s := t.Stores[id]
		w.U64(id)
		w.String(s.Name)
		w.String(s.Addr)
		w.String(s.Zone)
		w.U8(storeFlags(t, id))
	}
}

func storeFlags(t *snapshot.PartitionTable, id uint64) (flags uint8) {
	if t.Retiring[id] {
		flags |= flagRetiring
	}
	if t.Stopping[id] {
		flags |= flagStopping
	}
	return flags
}

// ReadTable decodes a partition table from a message. The reader's Err is set if the message is truncated.
func ReadTable(r *link.Reader) *snapshot.PartitionTable {
	t := &snapshot.PartitionTable{
		Version:  r.U64(),
		Stores:   map[uint64]snapshot.Store{},
		Retiring: map[uint64]bool{},
		Stopping: map[uint64]bool{},
	}
	for range r.Count(minPartitionSize) {
		t.Partitions = append(t.Partitions, snapshot.Partition{
			Epoch:    r.U64(),
			Primary:  r.U64(),
			Replicas: readNumbers(r),
			Joining:  readNumbers(r),
			Leaving:  readNumbers(r),
		})
	}
	for range r.Count(minStoreSize) {
		s := snapshot.Store{
			ID:   r.U64(),
			Name: r.String(),
			Addr: r.String(),
			Zone: r.String(),
		}
		t.Stores[s.ID] = s
		flags := r.U8()
		if flags&flagRetiring != 0 {
			t.Retiring[s.ID] = true
		}
		if flags&flagStopping != 0 {
			t.Stopping[s.ID] = true
		}
	}
	return t
}

func appendNumbers(w *link.Writer, numbers []uint64) {
	w.U32(uint32(len(numbers)))
	for _, n := range numbers {
		w.U64(n)
	}
}

func readNumbers(r *link.Reader) (numbers []uint64) {
	for range r.Count(8) {
		numbers = append(numbers, r.U64())
	}
	return numbers
}
