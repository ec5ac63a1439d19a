package dispatch

import (
	"testing"
	"time"
)

func TestLifetimeOfKeptParts(t *testing.T) {
	var c prefixCache
	if c.lifetime(0, 10, 400_000) != longestLife || c.lifetime(0, 10, 0) != longestLife {
		t.Error("what nothing flows into keeps its parts for the longest time")
	}
	// One sender of ten brings 3,000 tokens a second: a memory of 400,000 is through in 13 s.
	for now := Time(0); now < 30*time.Second; now += 100 * time.Millisecond {
		c.flow.add(now, 300)
	}
	if l := c.lifetime(30*time.Second, 10, 400_000); l < 12*time.Second || l > 15*time.Second {
		t.Errorf("a lifetime of %v, want about 13 s", l)
	}
	if l := c.lifetime(90*time.Second, 10, 400_000); l != longestLife {
		t.Errorf("a lifetime of %v a minute after the last token", l)
	}
}

func TestKeptPartsAgeOut(t *testing.T) {
	var c prefixCache
	parts := []Part{{1, 100}, {2, 50}}
	chains := chainOf("m", parts)
	c.now = time.Second
	c.sent(chains, parts, 1, 0, 100)
	if n := c.fresh(chains, 3*time.Second, 2*time.Second); n != 2 {
		t.Errorf("%d parts are fresh at the end of their lifetime, want 2", n)
	}
	if n := c.fresh(chains, 3*time.Second+1, 2*time.Second); n != 0 {
		t.Errorf("%d parts are fresh after their lifetime, want 0", n)
	}
	c.now = 4 * time.Second
	c.sent(chains[:1], parts[:1], 1, 0, 100)
	if n := c.fresh(chains, 5*time.Second, 2*time.Second); n != 1 {
		t.Errorf("%d parts are fresh after the first was sent again, want 1", n)
	}
}
