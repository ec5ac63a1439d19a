package upstream

import (
	"testing"
	"time"
)

// If connections break after a long idle time, they are for a while not reused at that idle time; if they break at
// any idle time, the limit doesn't change.
func TestIdleLimitIsLearnt(t *testing.T) {
	const configured = 12 * time.Second
	now := time.Now()
	l := &idleLimit{configured: configured}
	if got := l.limit(l, now); got != configured {
		t.Errorf("limit %v before any call, want the configured one", got)
	}
	for i := range 40 {
		l.observe(-1, i%10 == 0, now)
		l.observe(20*time.Millisecond, i%10 == 0, now)
		l.observe(100*time.Millisecond, i%10 == 0, now)
		l.observe(2*time.Second, i%10 == 0, now)
	}
	if got := l.limit(l, now); got != configured {
		t.Errorf("limit %v where one in ten breaks at any age, want the configured one", got)
	}
	for i := range 10 {
		l.observe(200*time.Millisecond, i%2 == 0, now)
	}
	if got := l.limit(l, now); got != 2*freshIdle {
		t.Errorf("limit %v where half break at 200 ms, want %v", got, 2*freshIdle)
	}
	now = now.Add(2 * idleDecay)
	if got := l.limit(l, now); got != configured {
		t.Errorf("limit %v after two half-lives, want the configured one", got)
	}
	l.observe(200*time.Millisecond, false, now)
	if got := l.limit(l, now); got != configured {
		t.Errorf("limit %v after another successful use, want the configured one", got)
	}
}

// The statistics of one endpoint take precedence over those of all endpoints once it has enough uses.
func TestIdleLimitOfOneEndpoint(t *testing.T) {
	const configured = 12 * time.Second
	now := time.Now()
	all, own := &idleLimit{configured: configured}, &idleLimit{configured: configured}
	for range 10 {
		all.observe(200*time.Millisecond, true, now)
	}
	if got := own.limit(all, now); got != 2*freshIdle {
		t.Errorf("limit %v without uses of its own, want that of all endpoints, %v", got, 2*freshIdle)
	}
	for range minOwnUses {
		own.observe(200*time.Millisecond, false, now)
	}
	if got := own.limit(all, now); got != configured {
		t.Errorf("limit %v though its own connections don't break, want %v", got, configured)
	}
	now = now.Add(4 * idleDecay)
	all.observe(200*time.Millisecond, false, now)
	for range 10 {
		own.observe(1500*time.Millisecond, true, now)
	}
	if got := own.limit(all, now); got != 16*freshIdle {
		t.Errorf("limit %v though its own break at 1.5 s, want %v", got, 16*freshIdle)
	}
}
