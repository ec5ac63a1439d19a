package upstream

import (
	"testing"
	"time"
)

// Connections that break when they were idle for long are not used at that age any
// more, for a while; those that break at any age tell nothing of idle times.
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
		t.Errorf("limit %v long after, want the configured one", got)
	}
	l.observe(200*time.Millisecond, false, now)
	if got := l.limit(l, now); got != configured {
		t.Errorf("limit %v after another good use, want the configured one", got)
	}
}

// What one endpoint shows outweighs what all show, once it has shown enough.
func TestIdleLimitOfOneEndpoint(t *testing.T) {
	const configured = 12 * time.Second
	now := time.Now()
	all, own := &idleLimit{configured: configured}, &idleLimit{configured: configured}
	for range 10 {
		all.observe(200*time.Millisecond, true, now)
	}
	if got := own.limit(all, now); got != 2*freshIdle {
		t.Errorf("limit %v with nothing of its own, want that of all, %v", got, 2*freshIdle)
	}
	for range minOwnUses {
		own.observe(200*time.Millisecond, false, now)
	}
	if got := own.limit(all, now); got != configured {
		t.Errorf("limit %v though its own connections are sound, want %v", got, configured)
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
