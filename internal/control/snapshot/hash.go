package snapshot

// Constants of 64-bit FNV-1a and of the MurmurHash3 finalizer (fmix64).
const (
	fnvOffset     = 14695981039346656037
	fnvPrime      = 1099511628211
	murmurFactor1 = 0xff51afd7ed558ccd
	murmurFactor2 = 0xc4ceb9fe1a85ec53
)

// Hash returns the 64-bit FNV-1a hash of a string, finalized with fmix64 so that its low bits are uniform enough for
// placement. Stored data and other processes depend on its values, so it must not change.
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
