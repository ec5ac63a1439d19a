package dispatch

import (
	"testing"
	"time"
)

func TestLifetimeOfCachedParts(t *testing.T) {
	var c prefixCache
	if c.lifetime(0, 10, 400_000) != maxCacheLifetime || c.lifetime(0, 10, 0) != maxCacheLifetime {
		t.Error("the lifetime in a cache to which nothing is added is not maxCacheLifetime")
	}
	// Each of ten senders adds 3,000 tokens a second: a cache of 400,000 tokens is replaced in 13 s.
	for now := Time(0); now < 30*time.Second; now += 100 * time.Millisecond {
		c.tokenRate.add(now, 300)
	}
	if l := c.lifetime(30*time.Second, 10, 400_000); l < 12*time.Second || l > 15*time.Second {
		t.Errorf("a lifetime of %v, want about 13 s", l)
	}
	if l := c.lifetime(90*time.Second, 10, 400_000); l != maxCacheLifetime {
		t.Errorf("a lifetime of %v a minute after the last token", l)
	}
}

func TestCachedPartsExpire(t *testing.T) {
	var c prefixCache
	parts := []PromptPart{{1, 100}, {2, 50}}
	chains := hashPrefixes("m", parts)
	c.recordPrompt(time.Second, chains, parts, 1, 0, 100)
	if n := c.cachedParts(chains, 3*time.Second, 2*time.Second); n != 2 {
		t.Errorf("%d parts are fresh at the end of their lifetime, want 2", n)
	}
	if n := c.cachedParts(chains, 3*time.Second+1, 2*time.Second); n != 0 {
		t.Errorf("%d parts are fresh after their lifetime, want 0", n)
	}
	c.recordPrompt(4*time.Second, chains[:1], parts[:1], 1, 0, 100)
	if n := c.cachedParts(chains, 5*time.Second, 2*time.Second); n != 1 {
		t.Errorf("%d parts are fresh after the first was sent again, want 1", n)
	}
}
