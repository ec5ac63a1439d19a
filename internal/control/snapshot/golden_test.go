package snapshot

import "testing"

// TestHashIsStable pins the hash that places batch jobs, services and endpoints: processes of different versions must
// agree on it, and the placement of stored data depends on it.
func TestHashIsStable(t *testing.T) {
	for text, want := range map[string]uint64{
		"":                0xefd01f60ba992926,
		"a":               0x82a2a958a9bece5b,
		"job-1":           0x8ad1645488186a15,
		"service-2":       0xa9f8bca66ce0a9d5,
		"\x00\xff\nmixed": 0xf7139d27be1dffe6,
	} {
		if got := Hash(text); got != want {
			t.Errorf("hash of %q is %#x, want %#x", text, got, want)
		}
	}
}

// TestPartitionOfJobIsStable pins the partition of a batch job.
func TestPartitionOfJobIsStable(t *testing.T) {
	table := &PartitionTable{Partitions: make([]Partition, 48)}
	for job, want := range map[string]int{"job-1": 5, "job-2": 2, "a": 11, "": 38} {
		if got := table.PartitionOf(job); got != want {
			t.Errorf("job %q is in %d, want %d", job, got, want)
		}
	}
	var unknown *PartitionTable
	if got := unknown.PartitionOf("job-1"); got != -1 {
		t.Errorf("without a table: %d, want -1", got)
	}
	if got := new(PartitionTable).PartitionOf("job-1"); got != -1 {
		t.Errorf("with an empty table: %d, want -1", got)
	}
}

// TestStatesAreStable pins the numeric values of the states, which are part of the wire format.
func TestStatesAreStable(t *testing.T) {
	for state, want := range map[State]uint8{Ready: 0, Draining: 1, Removed: 2} {
		if uint8(state) != want {
			t.Errorf("state %d, want %d", state, want)
		}
	}
}
