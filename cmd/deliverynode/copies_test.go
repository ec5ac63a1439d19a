package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/node"
	"dunetide/internal/deliverynode/replica"
	"dunetide/internal/lab/faults"
)

const (
	// copiesTimeout is the timeout of messages in these tests: long enough that none expires, even on a busy machine.
	copiesTimeout = 150 * time.Second
	// copiesWait is the -copy-wait of the nodes in these tests, whose clients wait for copiesTimeout.
	copiesWait = 60 * time.Second
	// copiesLeaseS and copiesSilenceS are the seconds after which a log may be taken over. On a machine that does not schedule
	// processes for seconds, shorter times make a node lose its log although it has not failed.
	copiesLeaseS, copiesSilenceS = 10, 10
)

// newCopies makes a fleet of n nodes, of which the first three are voters, where each log has the given number of copies.
func newCopies(t testing.TB, n, copies int, c fleet.Copies) *fleetRig {
	t.Helper()
	r := newLeases(t, n, 3, copiesLeaseS)
	text, err := os.ReadFile(r.file)
	must(t, err)
	var f fleet.File
	must(t, json.Unmarshal(text, &f))
	f.Copies = &c
	r.write(f)
	for _, n := range r.nodes {
		n.settings, n.disk = groupSettings, 12
		n.flags = append(n.flags, "-copies", fmt.Sprint(copies), "-copy-wait", copiesWait.String())
	}
	return r
}

// copies returns the replication status that a node shows, or an empty one if it does not answer.
func (r *fleetRig) copies(i int) (s replica.Status) {
	r.ask(i, "/ops/copies", &s)
	return s
}

func (r *fleetRig) awaitCopies(i int, what string, ok func(replica.Status) bool) {
	r.t.Helper()
	var s replica.Status
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s = r.copies(i); ok(s) {
			return
		}
	}
	text, _ := json.MarshalIndent(s, "", " ")
	r.t.Fatalf("%s: timed out waiting for %s; last status %s; log:\n%s", r.nodes[i].name, what, text, r.nodes[i].proc.log.String())
}

// ownLog returns the status of a node's own log, or an empty one if it is not shown.
func ownLog(s replica.Status) (w replica.WorkStatus) {
	for _, w := range s.Works {
		if w.Own {
			return w
		}
	}
	return w
}

// awaitCopied waits until a node is active on its own log with the given number of complete copies.
func (r *fleetRig) awaitCopied(i, copies int) {
	r.t.Helper()
	r.awaitCopies(i, "complete copies", func(s replica.Status) bool {
		w := ownLog(s)
		return w.Acting && len(w.Holders) == copies && w.Changes == 0 && w.Promise
	})
}

// calls returns how often a message was sent, by any node.
func (r *fleetRig) calls(id string) (sum int) {
	for _, n := range r.nodes {
		n.mu.Lock()
		sum += n.calls[id]
		n.mu.Unlock()
	}
	return sum
}

// final returns the outcome in the notice of a message, from any node, or an empty string if there was no notice.
func (r *fleetRig) final(id string) string {
	for _, n := range r.nodes {
		n.mu.Lock()
		what := n.finals[id]
		n.mu.Unlock()
		if what != "" {
			return what
		}
	}
	return ""
}

func (r *fleetRig) eventually(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	for _, n := range r.nodes {
		if n.proc != nil {
			r.t.Logf("%s:\n%s", n.name, n.proc.log.String())
		}
	}
	r.t.Fatalf("timed out waiting for %s", what)
}

// setAnswers sets the status with which all endpoints answer; 0 means no response.
func (r *fleetRig) setAnswers(status int) {
	for _, n := range r.nodes {
		n.set(func() { n.answer = func(string) int { return status } })
	}
}

// A node and its folder are lost. Another node completes its messages: a message that may be repeated is delivered, and a charge
// that was in flight is not sent again.
func TestCopiesSurviveTheLossOfAMachine(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{fleet.CopyAfter, fleet.CopyBefore} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			r := newCopies(t, 4, 1, fleet.Copies{Mode: mode, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
			r.launchAll()
			r.awaitVoters(0, "n0", "n1", "n2")
			r.awaitCopied(3, 1)
			r.setAnswers(0)
			lost := r.nodes[3]
			if resp := lost.send("m", copiesTimeout); resp.StatusCode != http.StatusAccepted {
				t.Fatalf("a message is answered %s: %s", resp.Status, lost.proc.log.String())
			}
			if code := lost.chargeWithin("out", copiesTimeout); code != http.StatusAccepted {
				t.Fatalf("a charge is answered %d", code)
			}
			r.eventually("the calls", func() bool { return r.calls("m") == 1 && r.calls("out") == 1 })
			r.awaitCopied(3, 1)
			lost.proc.killed(t)
			must(t, os.RemoveAll(lost.dir))
			r.setAnswers(http.StatusOK)
			r.eventually("the ends", func() bool { return r.calls("m") == 2 && r.final("out") != "" })
			if n := r.calls("out"); n != 1 {
				t.Errorf("the charge was sent %d times", n)
			}
			r.eventually("the adopted log completed", func() bool {
				for i := range 3 {
					for _, w := range r.copies(i).Works {
						if !w.Own {
							return false
						}
					}
				}
				return true
			})
			if r.net.Stray.Load() != 0 {
				t.Errorf("%d connections or packets did not come through a relay", r.net.Stray.Load())
			}
		})
	}
}

// Without the flag there is no replication, whatever the fleet's file says.
func TestNoReplicasWithoutTheFlag(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 3, 1, fleet.Copies{LeaseS: copiesLeaseS})
	for _, n := range r.nodes {
		n.flags = n.flags[:len(n.flags)-4]
	}
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	if resp := r.nodes[0].send("m", 5*time.Second); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a message is answered %s", resp.Status)
	}
	r.eventually("the call", func() bool { return r.calls("m") == 1 })
	resp, err := http.Get("http://" + r.nodes[0].console + "/ops/copies")
	must(t, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("/ops/copies answers %s", resp.Status)
	}
	entries, err := os.ReadDir(r.nodes[0].dir)
	must(t, err)
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), "cop") {
			t.Errorf("%s is in the folder", e.Name())
		}
	}
	if s := r.leases(0); len(s.Leases) != 0 {
		t.Errorf("leases are requested: %+v", s.Leases)
	}
}

// A start with an invalid replication configuration fails with one line and status 1.
func TestBadCopiesEndTheStart(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 3, 1, fleet.Copies{})
	good, err := os.ReadFile(r.file)
	must(t, err)
	n := r.nodes[0]
	fleetOnly := n.flags[:2]
	for _, c := range []struct {
		name, text, wants string
		disk              float64
		flags             []string
	}{
		{name: "no fleet", flags: []string{"-copies", "1"}, wants: "-copies needs -fleet"},
		{name: "too many", flags: append(slices.Clone(fleetOnly), "-copies", "4"), wants: "between 1 and 3"},
		{name: "no part in the file", text: strings.Replace(string(good), `,"copies":{}`, "", 1), wants: `a part "copies"`},
		{name: "no leases", text: string(regexp.MustCompile(`"leases":\{[^}]*\},`).ReplaceAll(good, nil)), wants: "copies need leases"},
		{name: "an invalid mode", text: strings.Replace(string(good), `"copies":{}`, `"copies":{"mode":"during"}`, 1), wants: `mode "during"`},
		{name: "a group", flags: append(slices.Clone(n.flags), "-group", "2"), wants: "neither -group"},
		{name: "too small a disk", disk: 3, wants: "limits.disk_mb leaves"},
	} {
		must(t, os.WriteFile(r.file, []byte(cmp.Or(c.text, string(good))), 0o600))
		was := n.flags
		if c.flags != nil {
			n.flags = c.flags
		}
		n.disk = cmp.Or(c.disk, 12)
		p := r.launch(0)
		_ = p.wait(t)
		n.flags = was
		lines := strings.Split(strings.TrimSpace(p.log.String()), "\n")
		if last := lines[len(lines)-1]; p.cmd.ProcessState.ExitCode() != 1 || !strings.HasPrefix(last, "deliverynode: ") || !strings.Contains(last, c.wants) {
			t.Errorf("%s: %s", c.name, p.log.String())
		}
	}
}

// awaitTakeover waits until another node shows the log of node i, and returns that node.
func (r *fleetRig) awaitTakeover(i int) (by int) {
	r.t.Helper()
	by = -1
	r.eventually("the log to be taken over", func() bool {
		for j := range r.nodes {
			if j == i {
				continue
			}
			for _, w := range r.copies(j).Works {
				if w.Owner == r.nodes[i].name {
					by = j
				}
			}
		}
		return by >= 0
	})
	return by
}

// host gives an operator's order for an endpoint.
func (r *fleetRig) host(at int, call, host string) int {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+r.nodes[at].console+"/ops/endpoints/"+call, strings.NewReader(fmt.Sprintf(`{"host":%q}`, host)))
	must(r.t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil { // the node is starting
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A node is lost with messages at each step of their processing, and with an endpoint in maintenance: the node that takes over the
// log does not send to that endpoint either until an operator puts it back into service.
func TestCopiesAtEachStep(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 2, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.awaitCopied(3, 2)
	lost := r.nodes[3]
	// Before the loss, the prefix of the id determines the response of the endpoint. Notices are answered with an error.
	lost.set(func() {
		lost.noticesToFail = 1 << 30
		lost.answer = func(id string) int {
			switch {
			case strings.HasPrefix(id, "out"):
				return 0
			case strings.HasPrefix(id, "failed"):
				return http.StatusInternalServerError
			}
			return http.StatusOK
		}
	})
	submit := func(ids ...string) {
		for _, id := range ids {
			class := map[bool]string{true: "charge", false: "meter-message"}[strings.HasSuffix(id, "-c")]
			resp, err := http.DefaultClient.Do(ofClass(lost.request(id, copiesTimeout), class))
			must(t, err)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusAccepted {
				t.Fatalf("%s is answered %s", id, resp.Status)
			}
		}
	}
	sent := []string{"done-m", "done-c", "out-m", "out-c", "failed-c"}
	submit(sent...)
	for _, id := range sent {
		r.eventually("the call of "+id, func() bool { return r.calls(id) == 1 })
	}
	if code := r.host(3, "down", "s1"); code != http.StatusOK {
		t.Fatalf("the order is answered %d", code)
	}
	submit("waiting-m", "waiting-c")
	r.awaitCopies(3, "all messages copied", func(s replica.Status) bool { return ownLog(s).Live == 5 && ownLog(s).Changes == 0 })
	lost.proc.killed(t)
	must(t, os.RemoveAll(lost.dir))
	by := r.awaitTakeover(3)
	r.eventually("the charges' ends", func() bool { return r.final("out-c") != "" && r.final("failed-c") != "" })
	if r.calls("waiting-m")+r.calls("waiting-c") != 0 || r.calls("out-m") != 1 {
		t.Error("a message was sent to an endpoint in maintenance")
	}
	if code := r.host(by, "up", "s1"); code != http.StatusOK {
		t.Errorf("the order that ends the maintenance is answered %d", code)
	}
	r.eventually("delivery of all messages that may be sent", func() bool {
		return r.calls("out-m") == 2 && r.calls("waiting-m") == 1 && r.calls("waiting-c") == 1 && r.adoptedDone()
	})
	for _, id := range []string{"out-c", "failed-c", "done-m", "done-c"} {
		if r.calls(id) != 1 {
			t.Errorf("%s was sent %d times", id, r.calls(id))
		}
	}
	for _, id := range []string{"done-m", "done-c", "waiting-m", "waiting-c", "out-m"} {
		if end := r.final(id); end != "" {
			t.Errorf("%s has a notice with the outcome %q", id, end)
		}
	}
}

// The holders of all copies are stopped for a while: a message waits for them as long as its client does, and is neither refused
// nor lost.
func TestMessageWaitsForItsCopies(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 2, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.awaitCopied(3, 2)
	holders := ownLog(r.copies(3)).Holders
	for i, n := range r.nodes {
		if slices.Contains(holders, n.name) {
			r.signal(i, syscall.SIGSTOP)
		}
	}
	status := make(chan int)
	go func() { status <- r.nodes[3].chargeWithin("c", copiesTimeout) }()
	select {
	case code := <-status:
		t.Fatalf("answered %d without copies", code)
	case <-time.After(2 * node.DefaultCopyWait): // longer than the default wait of a message
	}
	for i, n := range r.nodes {
		if slices.Contains(holders, n.name) {
			r.signal(i, syscall.SIGCONT)
		}
	}
	if code := <-status; code != http.StatusAccepted {
		t.Errorf("answered %d", code)
	}
	r.eventually("the call", func() bool { return r.calls("c") == 1 })
}

// writerTime is how long an owner waits for an answer of the node that took its log over and has worked it off.
const writerTime = 10 * time.Second

// newLogBegun matches what an owner logs when it begins a new log: how many of its messages it has found at other nodes.
var newLogBegun = regexp.MustCompile(`own log was taken over, new log begun.* theirs=(\d+) `)

// The owner of a log is stopped during calls, another node takes the log over, and the owner resumes: it sends nothing in parallel
// to its successor, detects the takeover, and starts a new log. Only if the successor has worked the log off and does not answer
// for writerTime, the owner keeps the message, which may be repeated, and never the charge.
func TestCopiesOfAStoppedOwner(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 1, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.awaitCopied(3, 1)
	r.setAnswers(0)
	owner := r.nodes[3]
	if resp := owner.send("m", copiesTimeout); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	if code := owner.chargeWithin("c", copiesTimeout); code != http.StatusAccepted {
		t.Fatal(code)
	}
	r.eventually("the calls", func() bool { return r.calls("m") == 1 && r.calls("c") == 1 })
	r.signal(3, syscall.SIGSTOP)
	r.setAnswers(http.StatusOK)
	r.awaitTakeover(3)
	r.eventually("the ends", func() bool { return r.calls("m") == 2 && r.final("c") != "" })
	resumed := time.Now()
	r.signal(3, syscall.SIGCONT)
	r.awaitCopies(3, "a new log", func(s replica.Status) bool {
		return ownLog(s).Acting && ownLog(s).Live == 0 && len(ownLog(s).Holders) == 1
	})
	begun := time.Since(resumed)
	if resp := owner.send("after", copiesTimeout); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a message after it is answered %s", resp.Status)
	}
	r.eventually("the next message", func() bool { return r.calls("after") == 1 })
	wanted := 2
	logged := newLogBegun.FindStringSubmatch(owner.proc.log.String())
	switch {
	case logged == nil:
		t.Errorf("the log does not tell of a new log:\n%s", owner.proc.log.String())
	case logged[1] == "0" && begun >= writerTime:
		wanted = 3 // the successor did not answer
	case logged[1] != "2":
		t.Errorf("%s of two messages, %v after it was resumed", logged[0], begun)
	}
	if m, c := r.calls("m"), r.calls("c"); m != wanted || c != 1 {
		t.Errorf("sent %d and %d times, want %d and once; log:\n%s", m, c, wanted, owner.proc.log.String())
	}
}

// The owner and its folder are lost, then the node that took over and its folder, until the voter has taken over.
func TestCopiesAdopterAfterAdopter(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 2, fleet.Copies{Mode: fleet.CopyBefore, Short: fleet.GoOn, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	text, err := os.ReadFile(r.file)
	must(t, err)
	// There is a single voter, which is never lost: this test is not about the loss of a majority.
	must(t, os.WriteFile(r.file, []byte(strings.Replace(string(text), `"voters":["n0","n1","n2"]`, `"voters":["n0"]`, 1)), 0o600))
	r.launchAll()
	r.awaitVoters(0, "n0")
	r.awaitCopied(3, 2)
	r.setAnswers(0)
	if resp := r.nodes[3].send("m", copiesTimeout); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	if code := r.nodes[3].chargeWithin("c", copiesTimeout); code != http.StatusAccepted {
		t.Fatal(code)
	}
	r.eventually("the calls", func() bool { return r.calls("m") == 1 && r.calls("c") == 1 })
	r.awaitCopied(3, 2)
	for gone := 3; ; {
		r.nodes[gone].proc.killed(t)
		must(t, os.RemoveAll(r.nodes[gone].dir))
		next := r.awaitTakeover(3)
		if next == 0 {
			break // the voter is never lost
		}
		sent := r.calls("m")
		r.eventually("its call", func() bool { return r.calls("m") > sent || r.calls("m") > 1 })
		r.awaitCopies(next, "its copies", func(s replica.Status) bool {
			for _, w := range s.Works {
				if !w.Own {
					return w.Acting && len(w.Holders) > 0 && w.Changes == 0
				}
			}
			return false
		})
		gone = next
	}
	sent := r.calls("m")
	r.setAnswers(http.StatusOK)
	r.eventually("the ends", func() bool { return r.calls("m") >= sent && r.final("c") != "" && r.adoptedDone() })
	if n := r.calls("c"); n != 1 {
		t.Errorf("the charge was sent %d times", n)
	}
}

// adoptedDone reports whether no responding node has live messages or an adopted log.
func (r *fleetRig) adoptedDone() bool {
	for i := range r.nodes {
		for _, w := range r.copies(i).Works {
			if w.Live > 0 || !w.Own {
				return false
			}
		}
	}
	return true
}

// A node starts on an old copy of its folder: a charge that was sent since is not sent again, and a message that was accepted since
// is delivered.
func TestCopiesOfAnOldFolder(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 1, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: 30})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.awaitCopied(3, 1)
	owner := r.nodes[3]
	if code := r.host(3, "down", "s1"); code != http.StatusOK {
		t.Fatalf("the order is answered %d", code)
	}
	if code := owner.chargeWithin("c", copiesTimeout); code != http.StatusAccepted {
		t.Fatal(code)
	}
	r.awaitCopied(3, 1)
	up := func() {
		r.eventually("the endpoint to be put back into service", func() bool { return r.host(3, "up", "s1") == http.StatusOK })
	}
	owner.proc.killed(t) // so that the copy of its folder is consistent
	old := filepath.Join(t.TempDir(), "old")
	must(t, os.CopyFS(old, os.DirFS(owner.dir)))
	r.setAnswers(0)
	r.launch(3)
	up()
	r.eventually("the call of the charge", func() bool { return r.calls("c") == 1 })
	var m *http.Response
	r.eventually("an accepted message", func() bool {
		m = owner.send("m", copiesTimeout)
		return m.StatusCode == http.StatusAccepted
	})
	r.eventually("its call", func() bool { return r.calls("m") == 1 })
	r.awaitCopied(3, 1)
	owner.proc.killed(t)
	must(t, os.RemoveAll(owner.dir))
	must(t, os.CopyFS(owner.dir, os.DirFS(old)))
	r.setAnswers(http.StatusOK)
	r.launch(3)
	up()
	r.eventually("the ends", func() bool { return r.calls("m") == 2 && r.final("c") != "" })
	if n := r.calls("c"); n != 1 {
		t.Errorf("the charge was sent %d times", n)
	}
}

// All nodes are killed and restart in another order: no message is lost, and no charge is sent twice.
func TestCopiesAfterAllNodesAreKilled(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 1, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.setAnswers(0)
	for i := range 4 {
		r.awaitCopied(i, 1)
		id := fmt.Sprint("m", i)
		if resp := r.nodes[i].send(id, copiesTimeout); resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp.Status)
		}
		if code := r.nodes[i].chargeWithin(fmt.Sprint("c", i), copiesTimeout); code != http.StatusAccepted {
			t.Fatal(code)
		}
		r.eventually("the calls", func() bool { return r.calls(id) == 1 && r.calls(fmt.Sprint("c", i)) == 1 })
	}
	for _, n := range r.nodes {
		n.proc.killed(t)
	}
	r.setAnswers(http.StatusOK)
	for i := range 4 {
		r.launch(3 - i)
	}
	for i := range 4 {
		r.eventually("the ends", func() bool { return r.calls(fmt.Sprint("m", i)) == 2 && r.final(fmt.Sprint("c", i)) != "" })
		if n := r.calls(fmt.Sprint("c", i)); n != 1 {
			t.Errorf("charge %d was sent %d times", i, n)
		}
	}
}

// A client submits the same message to a third node after the owner of the message is lost.
func TestCopiesWithSubmissionToThirdNode(t *testing.T) {
	t.Parallel()
	r := newCopies(t, 4, 1, fleet.Copies{Mode: fleet.CopyBefore, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
	r.launchAll()
	r.awaitVoters(0, "n0", "n1", "n2")
	r.awaitCopied(3, 1)
	r.setAnswers(0)
	if code := r.nodes[3].chargeWithin("c", copiesTimeout); code != http.StatusAccepted {
		t.Fatal(code)
	}
	r.eventually("the call", func() bool { return r.calls("c") == 1 })
	holder := ownLog(r.copies(3)).Holders[0]
	r.nodes[3].proc.killed(t)
	r.setAnswers(http.StatusOK)
	third := slices.IndexFunc(r.nodes, func(n *fleetNode) bool { return n.name != holder && n.name != "n3" })
	r.awaitCopies(third, "the owner as missing", func(s replica.Status) bool { return slices.Contains(s.Missing, "n3") })
	r.eventually("the copy to be known", func() bool { // the node asks for the holders of the copy a moment later
		return r.copies(third).Known["n3"] > 0
	})
	if code := r.nodes[third].chargeWithin("c", copiesTimeout); code != http.StatusAccepted {
		t.Errorf("answered %d", code)
	}
	r.eventually("its end", func() bool { return r.final("c") != "" })
	if n := r.calls("c"); n != 1 {
		t.Errorf("the charge was sent %d times", n)
	}
}

// The owner is cut off from the fleet, but not from its clients and endpoints: it sends until its lease expires, then pauses, and
// continues once the connection is healed.
func TestCopiesOfAnOwnerCutOff(t *testing.T) {
	t.Parallel()
	for _, way := range []string{"both directions", "outgoing", "incoming"} {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			r := newCopies(t, 4, 1, fleet.Copies{Mode: fleet.CopyAfter, LeaseS: copiesLeaseS, SilenceS: copiesSilenceS})
			r.launchAll()
			r.awaitVoters(0, "n0", "n1", "n2")
			r.awaitCopied(3, 1)
			for i := range 3 {
				if way != "incoming" {
					r.net.Set(3, i, faults.Fault{Cut: true})
				}
				if way != "outgoing" {
					r.net.Set(i, 3, faults.Fault{Cut: true})
				}
			}
			if code := r.nodes[3].chargeWithin("less", copiesTimeout); code != http.StatusAccepted {
				t.Error(code)
			}
			r.eventually("a message sent under the lease", func() bool { return r.calls("less") == 1 })
			r.awaitTakeover(3)
			r.awaitCopies(3, "a paused owner", func(s replica.Status) bool { return !ownLog(s).Acting && ownLog(s).Owner != "" })
			if resp := r.nodes[3].send("more", copiesTimeout); resp.StatusCode != http.StatusAccepted {
				t.Error(resp.Status)
			}
			r.net.Heal()
			r.eventually("the message accepted while the owner was paused", func() bool { return r.calls("more") == 1 })
			if r.calls("less") != 1 {
				t.Errorf("sent %d times", r.calls("less"))
			}
		})
	}
}
