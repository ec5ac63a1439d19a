package keeper

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/vfs/vfstest"
)

func (r *rig) untilConnected(keepers ...int) {
	r.t.Helper()
	for _, i := range keepers {
		eventually(r.t, fmt.Sprint("keeper ", i+1, " is connected to all"), func() bool {
			s := r.status(i)
			return len(s.Keepers) == len(keepers) && s.InContact && s.Voter
		})
	}
}

func TestOperatorCalls(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.call(0, "GET", "/config", "", nil); a.status != 503 {
		t.Fatalf("before the first put: %v", a)
	}
	if a := r.putConfig(0, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	for i := range 3 {
		if a := r.call(i, "GET", "/config", "", nil); a.status != 200 || !bytes.Equal([]byte(a.body), configBody(3, "a")) {
			t.Fatalf("read at %d: %v", i+1, a)
		}
		if a := r.putConfig(i, 3, 0, "a"); a.status != 200 {
			t.Fatalf("repeat at %d: %v", i+1, a)
		}
		if a := r.putConfig(i, 3, 0, "b"); a.status != 412 {
			t.Fatalf("other bytes under an accepted version at %d: %v", i+1, a)
		}
		if a := r.putConfig(i, 2, 3, "a"); a.status != 400 {
			t.Fatalf("version too low at %d: %v", i+1, a)
		}
	}
	for match, body := range map[string]string{"3": `{"version":9`, "x": string(configBody(9, "")), "": string(configBody(9, "")),
		"3 ": `{"version":9,"routes":[{"name":"r","host":"h.example","path_start":"/a/","kind":"writes","timeout_ms":0,"service":"s"}],"services":[]}`} {
		if a := r.call(1, "PUT", "/config", match, []byte(body)); a.status != 400 {
			t.Fatalf("If-Match %q, %s: %v", match, body, a)
		}
	}
	if a := r.call(0, "POST", "/retire/nobody", "", []byte(`{"over_s":10}`)); a.status != 404 && a.status != 503 {
		t.Fatal(a)
	}
	r.untilCode(404, func() response { return r.call(0, "POST", "/retire/nobody", "", []byte(`{"over_s":10}`)) })
	if a := r.call(1, "GET", "/retire/nobody", "", nil); a.status != 404 {
		t.Fatal(a)
	}
	if a := r.call(1, "PATCH", "/config", "", nil); a.status != 405 {
		t.Fatal(a)
	}
	if a := r.call(1, "GET", "/other", "", nil); a.status != 404 {
		t.Fatal(a)
	}

	// Races of two operators on two keepers, each on top of the version before.
	base := uint64(3)
	for round := range 10 {
		answers := make(chan response, 2)
		for i := range 2 {
			go func() { answers <- r.putConfig((round+i)%3, base+1+uint64(i), base, fmt.Sprint("round ", round, i)) }()
		}
		codes := []int{receive(t, answers, "an answer").status, receive(t, answers, "an answer").status}
		slices.Sort(codes)
		if !slices.Equal(codes, []int{200, 412}) && !slices.Equal(codes, []int{200, 400}) {
			t.Fatalf("round %d: %v", round, codes)
		}
		a := r.call(round%3, "GET", "/config", "", nil)
		if bytes.Equal([]byte(a.body), configBody(base+1, fmt.Sprint("round ", round, 0))) {
			base++
		} else if bytes.Equal([]byte(a.body), configBody(base+2, fmt.Sprint("round ", round, 1))) {
			base += 2
		} else {
			t.Fatalf("round %d: %v", round, a)
		}
	}
}

func TestKilledKeepers(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.putConfig(0, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	r.kill(0)
	r.untilCode(200, func() response { return r.putConfig(1, 5, 3, "b") })
	r.start(0)
	a := r.untilCode(200, func() response { return r.call(0, "GET", "/config", "", nil) })
	if !bytes.Equal([]byte(a.body), configBody(5, "b")) {
		t.Fatal(a)
	}
	r.untilConnected(0, 1, 2)

	// A keeper with an emptied disk is a new voter, which replaces the old one.
	r.kill(1)
	r.disks[1] = vfstest.New()
	r.start(1)
	r.untilConnected(0, 1, 2)
	r.kill(2) // now a majority needs the new voter
	r.untilCode(200, func() response { return r.putConfig(1, 8, 5, "c") })
	if a := r.putConfig(0, 8, 5, "c"); a.status != 200 {
		t.Fatal(a)
	}

	// A minority answers 503 to all calls but the status. It stores heartbeats, but acknowledges none, as it can't
	// replicate them to the others.
	r.kill(1)
	for _, a := range []response{r.putConfig(0, 9, 8, "d"), r.call(0, "GET", "/config", "", nil), r.call(0, "GET", "/retire/x", "", nil)} {
		if a.status != 503 {
			t.Fatal(a)
		}
	}
	eventually(t, "contact is lost", func() bool { return !r.status(0).InContact })
	if a := r.heartbeat(0, "i1", "ready", 1); a.status != 503 {
		t.Fatal(a)
	}
	if s := r.status(0); s.ConfigVersion != 8 || s.EndpointsByService["s"] != 1 {
		t.Fatalf("%+v", s)
	}

	// All are killed and restart on their disks.
	r.kill(0)
	for i := range 3 {
		r.start(i)
	}
	a = r.untilCode(200, func() response { return r.call(2, "GET", "/config", "", nil) })
	if !bytes.Equal([]byte(a.body), configBody(8, "c")) {
		t.Fatal(a)
	}
}

// TestKeeperWithoutDisk: a keeper without a disk serves operators' calls with the votes of the others.
func TestKeeperWithoutDisk(t *testing.T) {
	r := newRig(t, 4)
	r.disks[3] = nil
	r.startAll()
	r.untilKeeperCount(3, 4)
	if a := r.untilCode(200, func() response { return r.putConfig(3, 3, 0, "a") }); a.status != 200 {
		t.Fatal(a)
	}
	if a := r.call(3, "GET", "/config", "", nil); a.status != 200 || r.status(3).Voter {
		t.Fatal(a)
	}
}

func (r *rig) untilKeeperCount(i, n int) {
	r.t.Helper()
	eventually(r.t, "all are connected", func() bool { s := r.status(i); return len(s.Keepers) == n && s.InContact })
}

func TestEndpointCalls(t *testing.T) {
	r := newRig(t, 3)
	r.pushWait = testTimeout
	r.startAll()
	r.untilConnected(0, 1, 2)
	for body, want := range map[string]int{
		`{"service":"s","address":"a:1","state":"ready","call_count":1}`:               200,
		`{"service":"s","address":"a:1","state":"going","call_count":1}`:               400,
		`{"service":"","address":"a:1","state":"ready","call_count":1}`:                400,
		`{"service":"s","address":"a:1","state":"ready","call_count":1,"capacity":-1}`: 400,
		`{"service"`: 400,
	} {
		if a := r.call(0, "PUT", "/instances/iq", "", []byte(body)); a.status != want {
			t.Fatalf("%s: %v", body, a)
		}
	}

	// One client is attached to the first keeper, another one to the other two: each change reaches both before it is
	// acknowledged.
	clients := []*clientProcess{r.attachClient("p1", 0), r.attachClient("p2", 1, 2)}
	eventually(t, "both are attached and listed", func() bool {
		for _, c := range clients {
			if s := c.snapshots.Get(); s == nil || !s.EndpointsComplete || s.Proxies != 2 {
				return false
			}
		}
		return true
	})
	for n := range 10 {
		id := fmt.Sprint(100 + n)
		if a := r.heartbeat(n%3, id, "ready", 1); a.status != 200 {
			t.Fatal(a)
		}
		if a := r.heartbeat((n+1)%3, id, "draining", 2); a.status != 200 {
			t.Fatal(a)
		}
		for i, c := range clients {
			if got := c.state(id); got != snapshot.Draining {
				t.Fatalf("drain acknowledged, but client %d sees %v", i+1, got)
			}
		}
		if a := r.heartbeat(n%3, id, "ready", 1); a.status != 200 || clients[0].state(id) != snapshot.Draining {
			t.Fatalf("a late heartbeat: %v", a)
		}
		if a := r.call((n+2)%3, "DELETE", "/instances/"+id, "", nil); a.status != 200 {
			t.Fatal(a)
		}
		for i, c := range clients {
			if got := c.state(id); got != snapshot.Removed {
				t.Fatalf("removal acknowledged, but client %d sees %v", i+1, got)
			}
		}
	}

	// An endpoint whose heartbeats stop expires everywhere, while another one that continues stays.
	stays := func(count int) {
		if a := r.heartbeat(count%3, "201", "ready", count); a.status != 200 {
			t.Fatal(a)
		}
	}
	if a := r.heartbeat(0, "200", "ready", 1); a.status != 200 {
		t.Fatal(a)
	}
	stays(1)
	count := 1
	eventually(t, "the endpoint without heartbeats expires", func() bool {
		count++
		stays(count)
		for _, c := range clients {
			if c.state("201") != snapshot.Ready {
				t.Fatal("an endpoint with heartbeats has expired")
			}
		}
		return clients[0].state("200") == snapshot.Removed && clients[1].state("200") == snapshot.Removed
	})
}

// TestAcknowledgedAfterAttachedProcesses: changes of endpoints and configurations are acknowledged after the attached
// processes have acknowledged them.
func TestAcknowledgedAfterAttachedProcesses(t *testing.T) {
	r := newRig(t, 3)
	r.pushWait = testTimeout
	r.startAll()
	r.untilConnected(0, 1, 2)
	w := r.attachManually(1, "p")
	eventually(t, "it is attached", func() bool { return r.status(0).Proxies == 1 && len(r.status(1).Attached) == 1 })
	answers := make(chan response, 1)
	check := func(what string, call func() response, contains func(u *controlclient.Update) bool) {
		t.Helper()
		go func() { answers <- call() }()
		for {
			u := receive(t, w.pushes, "a push")
			if contains(u) {
				select {
				case a := <-answers:
					t.Fatalf("%s is acknowledged before the attached process did: %v", what, a)
				default:
				}
				w.ack(u.Sequence)
				break
			}
			w.ack(u.Sequence)
		}
		if a := receive(t, answers, "the answer"); a.status != 200 {
			t.Fatal(a)
		}
	}
	in := func(state snapshot.State) func(u *controlclient.Update) bool {
		return func(u *controlclient.Update) bool {
			return slices.ContainsFunc(u.Entries, func(e registry.Entry) bool { return e.ID == "7" && e.State == state })
		}
	}
	check("a heartbeat", func() response { return r.heartbeat(0, "7", "ready", 1) }, in(snapshot.Ready))
	check("a drain", func() response { return r.heartbeat(2, "7", "draining", 2) }, in(snapshot.Draining))
	check("a removal", func() response { return r.call(0, "DELETE", "/instances/7", "", nil) }, in(snapshot.Removed))
	check("a configuration", func() response { return r.putConfig(1, 3, 0, "a") }, func(u *controlclient.Update) bool { return u.ConfigVersion == 3 })
}

// TestProcessWithoutAcknowledgements: a process that acknowledges nothing delays an answer by PushWait only.
func TestProcessWithoutAcknowledgements(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	r.attachManually(1, "p")
	for what, call := range map[string]func() response{
		"a drain":         func() response { return r.heartbeat(0, "7", "draining", 1) },
		"a configuration": func() response { return r.putConfig(1, 3, 0, "a") },
	} {
		began := time.Now()
		if a := call(); a.status != 200 {
			t.Fatal(a)
		}
		if took := time.Since(began); took < defaultPushWait {
			t.Fatalf("%s: it took %v", what, took)
		}
	}
}

// TestClientRetainsConfiguration: a client retains its configuration while keepers with an older state restart.
func TestClientRetainsConfiguration(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	c := r.attachClient("p1", 0, 1, 2)
	if a := r.putConfig(0, 3, 0, "a"); a.status != 200 {
		t.Fatal(a)
	}
	eventually(t, "the client has it", func() bool { return c.version() == 3 })
	for i := range 3 {
		r.kill(i)
		if c.version() != 3 {
			t.Fatal(c.version())
		}
		r.start(i)
	}
	r.untilCode(200, func() response { return r.putConfig(2, 4, 3, "b") })
	eventually(t, "the client has the next", func() bool { return c.version() == 4 })
}
