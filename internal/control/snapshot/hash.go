package snapshot

// Constants of FNV-1a with 64 bits, and of the finalizer of MurmurHash3 (fmix64).
const (
	fnvOffset     = 14695981039346656037
	fnvPrime      = 1099511628211
	murmurFactor1 = 0xff51afd7ed558ccd
	murmurFactor2 = 0xc4ceb9fe1a85ec53
)

// Hash returns the FNV-1a hash of a string, finished with fmix64 so that its low bits may be used for placement.
// Stored data and other processes depend on its values.
func Hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= fnvPrime
	}
	h ^= h >> 33
	h *= murmurFactor1
	h ^= h >> 33
	h *= murmurFactor2
	return h ^ h>>33
}
