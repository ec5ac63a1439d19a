package forward

import (
	"net"
	"net/http"
	"testing"
)

// Each connection counts in one state at a time, whatever order the hook is called in, and in none once it has ended.
func TestConnectionsAreCountedByState(t *testing.T) {
	var states connectionStates
	one, other := &clientConn{}, &clientConn{}
	want := func(when string, active, idle int) {
		t.Helper()
		if a, i := states.count(http.StateActive), states.count(http.StateIdle); a != active || i != idle {
			t.Errorf("%s: %d active, %d idle, want %d and %d", when, a, i, active, idle)
		}
	}
	for _, c := range []*clientConn{one, other} {
		states.onChange(c, http.StateNew)
		states.onChange(c, http.StateActive)
	}
	want("both ask", 2, 0)
	states.onChange(one, http.StateIdle)
	want("one rests", 1, 1)
	before := closedConnections[http.StateIdle].Get()
	states.onChange(one, http.StateClosed)
	states.onChange(one, http.StateClosed)
	want("one has ended", 1, 0)
	if n := closedConnections[http.StateIdle].Get() - before; n != 1 {
		t.Errorf("%d ends while idle were counted, want 1", n)
	}
	states.onChange(other, http.StateHijacked)
	want("all have ended", 0, 0)
	var foreign net.Conn
	states.onChange(foreign, http.StateActive)
	want("of another listener", 0, 0)
}
