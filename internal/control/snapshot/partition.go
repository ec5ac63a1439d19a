package snapshot

// Store is a storage node, identified by its disk.
type Store struct {
	ID   uint64 // random, generated at the first use of the disk; a disk that was erased gets a new one
	Name string // of the node
	Addr string // ip:port on which it accepts links
	Zone string
}

// Partition is one partition of the batch jobs with the stores that replicate it, given by Store.ID.
type Partition struct {
	Epoch    uint64   // fencing token: increases with each change of Primary or Replicas
	Primary  uint64   // 0: none
	Replicas []uint64 // the primary included; an acknowledged write is on f+1 of them
	Joining  []uint64 // still copying the partition; they do not count towards a quorum yet
	Leaving  []uint64 // replicas that are removed once all Joining stores have the partition
}

// PartitionTable assigns partitions to stores. The keepers agree on it by consensus.
type PartitionTable struct {
	Version    uint64 // increases with each change
	Partitions []Partition
	Stores     map[uint64]Store
	// Retiring are the stores that an operator decommissions: their partitions move to other stores.
	Retiring map[uint64]bool
	// Stopping are the stores that have announced that they are about to stop: they become primary of no partition until
	// they announce that they run again.
	Stopping map[uint64]bool
}

// rateKeyPrefix keeps the keys of tenants apart from those of jobs and routes.
const rateKeyPrefix = "rate:"

// RateKey returns the key whose hash gives the partition whose primary counts the requests of a tenant.
func RateKey(tenant string) string { return rateKeyPrefix + tenant }

// PartitionOf returns the index of the partition of a batch job, by the hash of its ID; -1 if the table has none.
// The receiver may be nil.
func (t *PartitionTable) PartitionOf(jobID string) int {
	if t == nil || len(t.Partitions) == 0 {
		return -1
	}
	return int(Hash(jobID) % uint64(len(t.Partitions)))
}
