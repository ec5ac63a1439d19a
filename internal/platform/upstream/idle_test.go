package upstream

import (
	"testing"
	"time"
)

// Connections that break when they were idle for long are not used at that age any
// more, for a while; those that break at any age tell nothing of idle times.
func TestIdleLimitIsLearnt(t *testing.T) {
	const told = 12 * time.Second
	now := time.Now()
	l := &idleLimit{told: told}
	if got := l.limit(l, now); got != told {
		t.Errorf("limit %v before any call, want what was told", got)
	}
	for i := range 40 {
		l.used(-1, i%10 == 0, now)
		l.used(20*time.Millisecond, i%10 == 0, now)
		l.used(100*time.Millisecond, i%10 == 0, now)
		l.used(2*time.Second, i%10 == 0, now)
	}
	if got := l.limit(l, now); got != told {
		t.Errorf("limit %v where one in ten breaks at any age, want what was told", got)
	}
	for i := range 10 {
		l.used(200*time.Millisecond, i%2 == 0, now)
	}
	if got := l.limit(l, now); got != 2*youngest {
		t.Errorf("limit %v where half break at 200 ms, want %v", got, 2*youngest)
	}
	now = now.Add(2 * halfLife)
	if got := l.limit(l, now); got != told {
		t.Errorf("limit %v long after, want what was told", got)
	}
	l.used(200*time.Millisecond, false, now)
	if got := l.limit(l, now); got != told {
		t.Errorf("limit %v after another good use, want what was told", got)
	}
}

// What one endpoint shows outweighs what all show, once it has shown enough.
func TestIdleLimitOfOneEndpoint(t *testing.T) {
	const told = 12 * time.Second
	now := time.Now()
	all, own := &idleLimit{told: told}, &idleLimit{told: told}
	for range 10 {
		all.used(200*time.Millisecond, true, now)
	}
	if got := own.limit(all, now); got != 2*youngest {
		t.Errorf("limit %v with nothing of its own, want that of all, %v", got, 2*youngest)
	}
	for range ownUses {
		own.used(200*time.Millisecond, false, now)
	}
	if got := own.limit(all, now); got != told {
		t.Errorf("limit %v though its own connections are sound, want %v", got, told)
	}
	now = now.Add(4 * halfLife)
	all.used(200*time.Millisecond, false, now)
	for range 10 {
		own.used(1500*time.Millisecond, true, now)
	}
	if got := own.limit(all, now); got != 16*youngest {
		t.Errorf("limit %v though its own break at 1.5 s, want %v", got, 16*youngest)
	}
}
