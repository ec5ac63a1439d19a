package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/lease"
)

// newLeases makes a fleet of n nodes with leases, of which the first voters nodes are voters.
func newLeases(t testing.TB, n, voters int, longest float64) *fleetRig {
	t.Helper()
	r := newFleet(t, n, n)
	text, err := os.ReadFile(r.file)
	must(t, err)
	var f fleet.File
	must(t, json.Unmarshal(text, &f))
	f.Leases = &fleet.Leases{LongestS: longest}
	for i := range voters {
		f.Leases.Voters = append(f.Leases.Voters, r.nodes[i].name)
	}
	r.write(f)
	return r
}

// leases returns the lease status that a node shows, or an empty one if it does not answer.
func (r *fleetRig) leases(i int) (s lease.Status) {
	r.ask(i, "/ops/leases", &s)
	return s
}

func (r *fleetRig) awaitLeases(i int, what string, ok func(lease.Status) bool) (s lease.Status) {
	r.t.Helper()
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s = r.leases(i); ok(s) {
			return s
		}
	}
	text, _ := json.Marshal(s)
	r.t.Fatalf("%s: timed out waiting for %s; last status %s; log:\n%s", r.nodes[i].name, what, text, r.nodes[i].proc.log.String())
	return s
}

// awaitVoters waits until a node shows these voters, a leader, and that leases can be granted.
func (r *fleetRig) awaitVoters(i int, names ...string) lease.Status {
	r.t.Helper()
	return r.awaitLeases(i, fmt.Sprint("voters ", names), func(s lease.Status) bool {
		return s.Voter != nil && strings.Join(s.Voter.Voters, " ") == strings.Join(names, " ") && s.Voter.Leader != "" && !s.Voter.Blocked &&
			len(s.Voter.Learners) == 0
	})
}

// order gives an operator's order about leases.
func (r *fleetRig) order(at int, call, body string) (status int, text string) {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+r.nodes[at].console+"/ops/leases/"+call, strings.NewReader(body))
	must(r.t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(answer))
}

// take retries until a node has acquired a lease.
func (r *fleetRig) take(at int, name string, seconds float64) (token uint64) {
	r.t.Helper()
	var text string
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); {
		var status int
		if status, text = r.order(at, "take", fmt.Sprintf(`{"name":%q,"length_s":%g}`, name, seconds)); status == http.StatusOK {
			token, err := strconv.ParseUint(text, 10, 64)
			must(r.t, err)
			return token
		}
	}
	for i := range r.nodes {
		view, _ := json.Marshal(r.leases(i))
		r.t.Logf("%s: %s", r.nodes[i].name, view)
	}
	r.t.Fatalf("%s could not acquire %s: %s", r.nodes[at].name, name, text)
	return 0
}

func (r *fleetRig) leaderOf(at int) int {
	r.t.Helper()
	s := r.awaitLeases(at, "a leader", func(s lease.Status) bool { return s.Voter != nil && s.Voter.Leader != "" })
	for i, n := range r.nodes {
		if n.name == s.Voter.Leader {
			return i
		}
	}
	r.t.Fatalf("the leader %q is not a node of the fleet", s.Voter.Leader)
	return -1
}

// Three nodes are voters, and a fourth acquires a lease. The holder keeps the lease when the leader is killed, no other node gets
// it meanwhile, and the next fencing token is greater.
func TestLeasesOfAFleet(t *testing.T) {
	t.Parallel()
	r := newLeases(t, 4, 3, 8)
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	first := r.take(3, "task", 8)
	if status, text := r.order(0, "take", `{"name":"task","length_s":2}`); status != http.StatusConflict || !strings.Contains(text, "n3 has it") {
		t.Errorf("request by a second holder: %d %s", status, text)
	}
	leader := r.leaderOf(1)
	r.nodes[leader].proc.killed(t)
	other := (leader + 1) % 3
	r.awaitLeases(other, "another leader", func(s lease.Status) bool {
		return s.Voter != nil && s.Voter.Leader != "" && s.Voter.Leader != r.nodes[leader].name
	})
	was := r.awaitLeases(other, "the lease", func(s lease.Status) bool { return s.Voter.Count == 1 }).Voter.Leases[0]
	r.awaitLeases(other, "a renewal", func(s lease.Status) bool { return s.Voter.Count == 1 && s.Voter.Leases[0].Renewed > was.Renewed })
	if s := r.leases(3); len(s.Leases) != 1 || s.Leases[0].Token != first {
		t.Errorf("the holder has %+v, had %d", s.Leases, first)
	}
	if status, text := r.order(3, "give", fmt.Sprintf(`{"name":"task","token":%d}`, first)); status != http.StatusOK {
		t.Errorf("giving back: %d %s", status, text)
	}
	if second := r.take(other, "task", 1); second <= first {
		t.Errorf("token %d after %d", second, first)
	}
	r.launch(leader)
	r.awaitVoters(leader, "n0", "n1", "n2")
	if r.net.Stray.Load() != 0 {
		t.Errorf("%d connections or packets did not come through a relay", r.net.Stray.Load())
	}
}

// Two of three voters are lost permanently: no lease is granted, and the nodes continue to serve. Forced recovery is refused
// unless all its parameters are right. After it, tokens are greater, other nodes can become voters, and a lost voter that returns
// with its folder leaves the old epoch.
func TestLeasesForcedRecovery(t *testing.T) {
	t.Parallel()
	r := newLeases(t, 5, 3, 2)
	r.launchAll()
	log := r.awaitVoters(0, "n0", "n1", "n2").Voter.Log
	if status, text := r.order(0, "recover", fmt.Sprintf(`{"fleet":"test","log":%q,"gives_up":%q}`, log, lease.GivesUp)); status != http.StatusConflict || !strings.Contains(text, "leads") {
		t.Errorf("with a majority: %d %s", status, text)
	}
	first := r.take(0, "task", 2)
	r.nodes[1].proc.killed(t)
	r.nodes[2].proc.killed(t)
	r.awaitLeases(0, "no leader", func(s lease.Status) bool { return s.Voter != nil && s.Voter.Leader == "" })
	if status, text := r.order(4, "take", `{"name":"other","length_s":2}`); status != http.StatusConflict {
		t.Errorf("granted without a majority: %d %s", status, text)
	}
	if resp := r.nodes[0].send("m", 5*time.Second); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a message is answered %s", resp.Status)
	}
	for _, bad := range []string{
		fmt.Sprintf(`{"fleet":"another","log":%q,"gives_up":%q}`, log, lease.GivesUp),
		fmt.Sprintf(`{"fleet":"test","log":"x","gives_up":%q}`, lease.GivesUp),
		fmt.Sprintf(`{"fleet":"test","log":%q,"gives_up":"yes"}`, log),
		fmt.Sprintf(`{"fleet":"test","log":%q}`, log),
	} {
		if status, text := r.order(0, "recover", bad); status != http.StatusConflict {
			t.Errorf("%s: %d %s", bad, status, text)
		}
	}
	if status, text := r.order(0, "recover", fmt.Sprintf(`{"fleet":"test","log":%q,"gives_up":%q}`, log, lease.GivesUp)); status != http.StatusOK {
		t.Fatalf("forced recovery: %d %s", status, text)
	}
	r.awaitVoters(0, "n0")
	r.awaitStates(0, "n0 alive, n1 suspect, n2 suspect, n3 alive, n4 alive")
	for _, c := range []struct {
		names string
		want  int
	}{{`"n0","n3"`, 409}, {`"n0","n3","n3"`, 409}, {`"n0","n3","n2"`, 409}, {`"n0","n3","n4"`, 200}} {
		if status, text := r.order(0, "voters", `{"voters":[`+c.names+`]}`); status != c.want {
			t.Errorf("voters %s: %d %s", c.names, status, text)
		}
	}
	r.awaitVoters(0, "n0", "n3", "n4")
	r.awaitVoters(4, "n0", "n3", "n4")
	if second := r.take(3, "later", 2); second <= first {
		t.Errorf("token %d after %d", second, first)
	}
	r.launch(1)
	r.awaitLeases(1, "the old epoch is left", func(s lease.Status) bool { return s.Client.Incarnation > 0 && s.Voter == nil && s.Why == "" })
	if third := r.take(1, "another", 1); third <= first {
		t.Errorf("token %d after %d", third, first)
	}
}
