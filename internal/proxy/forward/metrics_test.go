package forward

import (
	"net"
	"net/http"
	"testing"
)

// Each connection is counted in one state at a time, and in none after it has ended, also if the hook is called again.
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
	want("both active", 2, 0)
	states.onChange(one, http.StateIdle)
	want("one idle", 1, 1)
	before := closedConnections[http.StateIdle].Get()
	states.onChange(one, http.StateClosed)
	states.onChange(one, http.StateClosed)
	want("one closed", 1, 0)
	if n := closedConnections[http.StateIdle].Get() - before; n != 1 {
		t.Errorf("%d closed while idle were counted, want 1", n)
	}
	states.onChange(other, http.StateHijacked)
	want("both ended", 0, 0)
	var foreign net.Conn
	states.onChange(foreign, http.StateActive)
	want("connection of another listener", 0, 0)
}
