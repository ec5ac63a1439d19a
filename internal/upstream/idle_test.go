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
	l := &IdleLimit{Told: told}
	if got := l.Limit(now); got != told {
		t.Errorf("limit %v before any call, want what was told", got)
	}
	for i := range 40 {
		l.Used(-1, i%10 == 0, now)
		l.Used(20*time.Millisecond, i%10 == 0, now)
		l.Used(100*time.Millisecond, i%10 == 0, now)
		l.Used(2*time.Second, i%10 == 0, now)
	}
	if got := l.Limit(now); got != told {
		t.Errorf("limit %v where one in ten breaks at any age, want what was told", got)
	}
	for i := range 10 {
		l.Used(200*time.Millisecond, i%2 == 0, now)
	}
	if got := l.Limit(now); got != 2*youngest {
		t.Errorf("limit %v where half break at 200 ms, want %v", got, 2*youngest)
	}
	now = now.Add(2 * halfLife)
	if got := l.Limit(now); got != told {
		t.Errorf("limit %v long after, want what was told", got)
	}
	l.Used(200*time.Millisecond, false, now)
	if got := l.Limit(now); got != told {
		t.Errorf("limit %v after another good use, want what was told", got)
	}
}
