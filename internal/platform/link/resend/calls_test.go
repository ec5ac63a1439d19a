package resend

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
)

// cuts returns the offsets at which a text of some length is cut, including its end.
func cuts(length, step int) (at []int) {
	if everyByte() {
		step = 1
	}
	for n := 0; n < length; n += step {
		at = append(at, n)
	}
	return append(at, length)
}

// configuration returns a configuration with a version; the mark distinguishes configurations of the same version.
func configuration(version int, mark string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_start":"/%s/","kind":"writes","timeout_ms":100,"service":"s"}],`+
		`"services":[{"name":"s","health_path":"/health","max_conns":1}]}`, version, mark)
}

// heartbeat returns the body of an endpoint's heartbeat.
func heartbeat(state string, count int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","capacity":4,"state":%q,"cold_left_ms":0,"call_count":%d}`, state, count)
}

// partsOfAnswer are the numbers of bytes of a response that are read before the connection is closed.
var partsOfAnswer = []int{1, 20, 1000}

// An incomplete order has no effect. A complete one that is retried unchanged after a cut, at any of its bytes or in
// the response, takes effect once: each keeper responds with 200 to it, and with 412 to another order of the same
// version.
func TestOrderCutAtEachByte(t *testing.T) {
	k := startKeepers(t)
	version := 0
	order := func(sent func(length int) int, read int) {
		base := version
		version++
		body := configuration(version, "a")
		text := requestText(http.MethodPut, "/config", fmt.Sprint(base), body)
		cutAt := sent(len(text))
		k.cutCall(version%keeperCount, text, cutAt, read, version%2 == 0)
		if cutAt < len(text) && base > 0 {
			if got := k.untilStatus((version+1)%keeperCount, http.StatusOK, http.MethodGet, "/config", "", ""); got.body != configuration(base, "a") {
				t.Fatalf("cut at %d of %d: %s is in place", cutAt, len(text), got.body)
			}
		}
		for i := range keeperCount {
			k.untilStatus(i, http.StatusOK, http.MethodPut, "/config", fmt.Sprint(base), body)
			k.untilStatus(i, http.StatusPreconditionFailed, http.MethodPut, "/config", fmt.Sprint(base), configuration(version, "b"))
			if got := k.untilStatus(i, http.StatusOK, http.MethodGet, "/config", "", ""); got.body != body {
				t.Fatalf("cut at %d: keeper %d has %s", cutAt, i, got.body)
			}
		}
	}
	length := len(requestText(http.MethodPut, "/config", "0", configuration(1, "a")))
	for _, at := range cuts(length-1, 23) {
		order(func(int) int { return at }, 0)
	}
	for _, read := range append(partsOfAnswer, 0) {
		order(func(length int) int { return length }, read)
	}
	t.Logf("%d orders", version)
}

// An incomplete heartbeat has no effect. A complete one counts once, by its call_count: a retry after a cut, to the
// same or another keeper, is acknowledged, and a late heartbeat reverts nothing.
func TestHeartbeatCutAtEachByte(t *testing.T) {
	k := startKeepers(t)
	latest, _ := k.attach()
	eventually(t, "the process is attached", func() bool { s := latest.Get(); return s != nil && s.EndpointsComplete })
	count := 0
	putAndRemove := func(cutAt, read int) {
		count++
		id := fmt.Sprint("i-", count)
		path, at := "/instances/"+id, count%keeperCount
		k.untilStatus(at, http.StatusOK, http.MethodPut, path, "", heartbeat("ready", 1))
		drain := requestText(http.MethodPut, path, "", heartbeat("draining", 2))
		complete := cutAt < 0 || cutAt >= len(drain)
		if complete {
			cutAt = len(drain)
		}
		k.cutCall(at, drain, cutAt, read, count%2 == 0)
		if !complete {
			k.untilStatus(at, http.StatusOK, http.MethodPut, path, "", heartbeat("ready", 1))
			eventually(t, "the endpoint is known", func() bool { return stateOf(latest, id) != snapshot.Removed })
			if got := stateOf(latest, id); got != snapshot.Ready {
				t.Fatalf("cut at %d: the endpoint is %v", cutAt, got)
			}
		}
		for range 2 {
			for i := range keeperCount {
				k.untilStatus(i, http.StatusOK, http.MethodPut, path, "", heartbeat("draining", 2))
				k.untilStatus(i, http.StatusOK, http.MethodPut, path, "", heartbeat("ready", 1)) // a late one
			}
		}
		if got := stateOf(latest, id); got != snapshot.Draining {
			t.Fatalf("cut at %d: draining was acknowledged, but the endpoint is %v", cutAt, got)
		}
		for i := range keeperCount {
			k.untilStatus(i, http.StatusOK, http.MethodDelete, path, "", "")
			k.untilStatus(i, http.StatusOK, http.MethodPut, path, "", heartbeat("ready", 1)) // a late one
		}
		if got := stateOf(latest, id); got != snapshot.Removed {
			t.Fatalf("removal was acknowledged, but the endpoint is %v", got)
		}
	}
	length := len(requestText(http.MethodPut, "/instances/i-1", "", heartbeat("draining", 2)))
	for _, at := range cuts(length-1, 23) {
		putAndRemove(at, 0)
	}
	for _, read := range append(partsOfAnswer, 0) {
		putAndRemove(-1, read)
	}
	t.Logf("%d endpoints", count)
}

// Messages of the registers are retransmitted if a link between keepers breaks at any byte, from or to the keeper
// that receives an order: the order is decided once, and all keepers return the same configuration.
func TestRegisterMessagesOverBrokenLinks(t *testing.T) {
	k := startKeepers(t)
	version := 0
	length, step := 1500, 131
	if everyByte() {
		step = 7
	}
	for _, side := range []string{bytesFrom, bytesTo} {
		for at := 0; at < length; at += step {
			base := version
			version++
			body := configuration(version, strings.Repeat("a", 1+version%7))
			receiver := version % keeperCount
			k.relays.breakAfter(receiver, side, at)
			before := k.relays.brokenLinks()
			k.untilStatus(receiver, http.StatusOK, http.MethodPut, "/config", fmt.Sprint(base), body)
			eventually(t, "a link breaks", func() bool { return k.relays.brokenLinks() > before })
			for i := range keeperCount {
				k.untilStatus(i, http.StatusOK, http.MethodPut, "/config", fmt.Sprint(base), body)
				k.untilStatus(i, http.StatusPreconditionFailed, http.MethodPut, "/config", fmt.Sprint(base), configuration(version, "b"))
				if got := k.untilStatus(i, http.StatusOK, http.MethodGet, "/config", "", ""); got.body != body {
					t.Fatalf("%d bytes %s keeper %d: keeper %d has %s", at, side, receiver, i, got.body)
				}
			}
		}
	}
	t.Logf("%d orders, %d links broken", version, k.relays.brokenLinks())
}

// follow checks until it is stopped that the version in force at an attached process never decreases.
func follow(t *testing.T, latest *snapshot.Latest) (newest func() uint64, stop func()) {
	t.Helper()
	var inForce atomic.Uint64
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(time.Millisecond):
			}
			s := latest.Get()
			if s == nil || s.Config == nil {
				continue
			}
			if before := inForce.Swap(s.Config.Version); before > s.Config.Version {
				t.Errorf("version %d is in force after %d", s.Config.Version, before)
			}
		}
	}()
	return inForce.Load, func() { close(stopped); <-ended }
}

// A push that is cut by a broken link at any byte arrives completely over the next link; an attached process gets
// each version soon, and never reverts to an older one.
func TestPushOverABrokenLink(t *testing.T) {
	k := startKeepers(t)
	k.untilStatus(0, http.StatusOK, http.MethodPut, "/config", "0", configuration(1, "a"))
	version := 1
	length, step := 700, 47
	if everyByte() {
		step = 2
	}
	for _, side := range []string{bytesTo, bytesFrom} {
		for at := 0; at < length; at += step {
			k.relays.breakAfter(attached, side, at)
			latest, detach := k.attach()
			newest, stopFollowing := follow(t, latest)
			eventually(t, "the process is attached", func() bool { return newest() == uint64(version) })
			base := version
			version++
			k.untilStatus(version%keeperCount, http.StatusOK, http.MethodPut, "/config", fmt.Sprint(base), configuration(version, "a"))
			eventually(t, "the process has the version", func() bool { return newest() == uint64(version) })
			stopFollowing()
			detach()
		}
	}
	if k.relays.brokenLinks() < version/4 {
		t.Errorf("only %d links broke", k.relays.brokenLinks())
	}
	t.Logf("%d versions, %d links broken", version, k.relays.brokenLinks())
}
