package snapshot

// Store is a storage machine, identified by its disk.
type Store struct {
	ID   uint64 // drawn at random when its disk was first used; an emptied disk has another one
	Name string // of the node
	Addr string // ip:port of its links
	Zone string
}

// Partition is one partition of the batch jobs, and the stores that hold it, by Store.ID.
type Partition struct {
	Epoch    uint64   // fencing token: grows with each change of Primary or Replicas
	Primary  uint64   // 0: none
	Replicas []uint64 // the primary included; an acknowledged write is on f+1 of them
	Joining  []uint64 // receive the partition, and do not count towards a quorum yet
	Leaving  []uint64 // replicas that are dropped when all that join have the partition
}

// PartitionTable says which stores hold which partition. The keepers decide it by consensus.
type PartitionTable struct {
	Version    uint64 // grows with each change
	Partitions []Partition
	Stores     map[uint64]Store
	// Retiring are the stores that an operator takes out of service: their partitions move away.
	Retiring map[uint64]bool
	// Stopping are the stores that have announced that they are about to stop: they become primary of nothing until they
	// announce that they run.
	Stopping map[uint64]bool
}

// PartitionOf returns the index of the partition of a batch job, by the hash of its ID; -1 if the table has none.
// The receiver may be nil.
func (t *PartitionTable) PartitionOf(jobID string) int {
	if t == nil || len(t.Partitions) == 0 {
		return -1
	}
	return int(Hash(jobID) % uint64(len(t.Partitions)))
}
