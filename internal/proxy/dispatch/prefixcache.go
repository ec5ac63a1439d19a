package dispatch

import (
	"container/list"
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which the rate of tokens into an endpoint's cache is averaged.
	rateWindow = 5 * time.Second
	// maxCacheLifetime is the longest time for which a part is assumed to stay cached.
	maxCacheLifetime = 2 * time.Minute
)

// prefixHash is the hash of a part of a prompt with all the parts before it, because a cached part
// is only usable after the same parts.
type prefixHash uint64

// hashPrefixes returns the hash of each prefix of a prompt for a model.
func hashPrefixes(model string, parts []PromptPart) []prefixHash {
	hashes := make([]prefixHash, len(parts))
	h := mixHash(0, 0)
	for i := 0; i < len(model); i++ {
		h = mixHash(h, uint64(model[i]))
	}
	for i, part := range parts {
		h = mixHash(h, part.ID)
		hashes[i] = prefixHash(h)
	}
	return hashes
}

// mixHash combines a hash with a value, by the finalizer of MurmurHash3.
func mixHash(h, value uint64) uint64 {
	h ^= value + 0x9e3779b97f4a7c15 + h<<6 + h>>2
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// prefixCache models what an endpoint has in its prefix cache (KV cache), by the prompts that this
// sender sent there. The least recently used parts are evicted first.
type prefixCache struct {
	entries   map[prefixHash]*list.Element
	byRecency *list.List   // of *cacheEntry, the most recently sent first
	tokens    int64        // of all entries
	tokenRate decayingRate // tokens per second that this sender adds
}

// cacheEntry is a part of a prompt.
type cacheEntry struct {
	hash     prefixHash
	tokens   int64 // in the cache, including those that other senders add meanwhile
	lastSent Time
}

// lifetime estimates how long a part that is not requested again stays in a cache of cacheTokens
// tokens, where 0 is an unknown size.
func (c *prefixCache) lifetime(now Time, senders int, cacheTokens int64) time.Duration {
	rate := c.tokenRate.perSecond(now) * float64(max(senders, 1))
	if cacheTokens <= 0 || rate < float64(cacheTokens)/maxCacheLifetime.Seconds() {
		return maxCacheLifetime
	}
	return time.Duration(float64(cacheTokens) / rate * float64(time.Second))
}

// cachedParts returns how many leading parts were sent there within a lifetime.
func (c *prefixCache) cachedParts(hashes []prefixHash, now Time, lifetime time.Duration) int {
	for i, h := range hashes {
		if element := c.entries[h]; element == nil || now-element.Value.(*cacheEntry).lastSent > lifetime {
			return i
		}
	}
	return len(hashes)
}

// recordPrompt records that a prompt was sent there, and evicts what exceeds maxEntries or the size
// of the cache. The last part belongs to one request only; each of the other senders adds such a
// part meanwhile, so it counts once for each sender.
func (c *prefixCache) recordPrompt(
	now Time, hashes []prefixHash, parts []PromptPart, senders int, cacheTokens int64, maxEntries int,
) {
	if c.entries == nil {
		c.entries, c.byRecency = map[prefixHash]*list.Element{}, list.New()
	}
	for i := len(hashes) - 1; i >= 0; i-- { // from the last, so that the shared beginning is evicted last
		if element := c.entries[hashes[i]]; element != nil {
			element.Value.(*cacheEntry).lastSent = now
			c.byRecency.MoveToFront(element)
			continue
		}
		tokens := int64(max(parts[i].Tokens, 1))
		if i == len(hashes)-1 {
			tokens *= int64(senders)
		}
		c.entries[hashes[i]] = c.byRecency.PushFront(&cacheEntry{hashes[i], tokens, now})
		c.tokens += tokens
	}
	for c.byRecency.Len() > maxEntries || cacheTokens > 0 && c.tokens > cacheTokens && c.byRecency.Len() > len(hashes) {
		evicted := c.byRecency.Remove(c.byRecency.Back()).(*cacheEntry)
		delete(c.entries, evicted.hash)
		c.tokens -= evicted.tokens
	}
}

// decayingRate is an exponentially decaying average of amounts per second.
type decayingRate struct {
	value float64 // at the time of the last amount
	at    Time
}

// perSecond returns the rate now.
func (r *decayingRate) perSecond(now Time) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

// add adds an amount.
func (r *decayingRate) add(now Time, amount float64) {
	r.value, r.at = r.perSecond(now)+amount/rateWindow.Seconds(), now
}
