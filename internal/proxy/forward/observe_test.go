package forward

import (
	"net"
	"net/http"
	"testing"
)

// Each connection counts in one state at a time, whatever order the hook is called in, and in none once it has ended.
func TestConnectionsAreCountedByState(t *testing.T) {
	var states connStates
	one, other := &clientConn{}, &clientConn{}
	want := func(when string, active, idle int) {
		t.Helper()
		if a, i := states.count(http.StateActive), states.count(http.StateIdle); a != active || i != idle {
			t.Errorf("%s: %d active, %d idle, want %d and %d", when, a, i, active, idle)
		}
	}
	for _, c := range []*clientConn{one, other} {
		states.change(c, http.StateNew)
		states.change(c, http.StateActive)
	}
	want("both ask", 2, 0)
	states.change(one, http.StateIdle)
	want("one rests", 1, 1)
	before := closedWhile[http.StateIdle].Get()
	states.change(one, http.StateClosed)
	states.change(one, http.StateClosed)
	want("one has ended", 1, 0)
	if n := closedWhile[http.StateIdle].Get() - before; n != 1 {
		t.Errorf("%d ends while idle were counted, want 1", n)
	}
	states.change(other, http.StateHijacked)
	want("all have ended", 0, 0)
	var foreign net.Conn
	states.change(foreign, http.StateActive)
	want("of another listener", 0, 0)
}
