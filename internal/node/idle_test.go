package node

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
	if got := l.limit(now); got != told {
		t.Errorf("limit %v before any call, want what was told", got)
	}
	for i := range 40 {
		l.used(-1, i%10 == 0, now)
		l.used(20*time.Millisecond, i%10 == 0, now)
		l.used(100*time.Millisecond, i%10 == 0, now)
		l.used(2*time.Second, i%10 == 0, now)
	}
	if got := l.limit(now); got != told {
		t.Errorf("limit %v where one in ten breaks at any age, want what was told", got)
	}
	for i := range 10 {
		l.used(200*time.Millisecond, i%2 == 0, now)
	}
	if got := l.limit(now); got != 2*youngest {
		t.Errorf("limit %v where half break at 200 ms, want %v", got, 2*youngest)
	}
	now = now.Add(2 * halfLife)
	if got := l.limit(now); got != told {
		t.Errorf("limit %v long after, want what was told", got)
	}
	l.used(200*time.Millisecond, false, now)
	if got := l.limit(now); got != told {
		t.Errorf("limit %v after another good use, want what was told", got)
	}
}

// A broken call on a connection that was idle is counted for its age.
func TestBrokenCallCountsForItsIdleTime(t *testing.T) {
	addr := rawServer(t, closesUnanswered)
	r := newCallRig(t, addr)
	r.caller.idle.seen[3].uses, r.caller.idle.seen[3].broken, r.caller.idle.at = 1, 1, time.Now()
	conn, err := r.caller.connection(t.Context(), &call{endpoint: r.endpoint, addr: addr})
	must(t, err)
	r.endpoint.pool.put(conn)
	conn.since = time.Now().Add(-5 * youngest)
	r.start(5*time.Second, 1)
	r.next()
	r.caller.running.Wait()
	if got := r.caller.idle.limit(time.Now()); got != 4*youngest {
		t.Errorf("limit %v, want %v", got, 4*youngest)
	}
}
