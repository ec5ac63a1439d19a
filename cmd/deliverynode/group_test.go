package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

const groupSettings = `{"NInstances":1,"Me":0,"TickUs":5000,"Classes":[{"Name":"meter-message","AimUs":3000000,
	"DeadlineUs":28000000,"Idempotency":"idempotent","Worth":1,"LateWorth":0.5},{"Name":"charge","AimUs":3000000,
	"DeadlineUs":28000000,"Idempotency":"at_most_once","Worth":1,"LateWorth":0.5}],
	"MachineTypes":["major","general"],"FailureDomains":["a","b"],"WeightSource":"nominal","Discovery":"automatic",
	"Extra":{"BundleMax":[1,1],"RoutesApart":[false,false],"FeeByZone":[0,0],"Late":"even","MaxCalls":16},
	"PolicyLimits":{"MaxAttempts":6,"MaxOpen":64,"MaxRetryAfterUs":2000000,"ConnectTimeoutUs":1000000,
	"RetryAfter":true,"MayTell":false,"IdleCloseUs":15000000},
	"Obligations":{"DrainGraceUs":1000000,"WarmUpUs":14000000,"FallUs":1500000,"ColdFrom":0.21,"FallMultiple":2}}`

// groupPlatform returns a platform for a process group, and the console address that all members share.
func groupPlatform(t *testing.T, members int) (*platform, string) {
	t.Helper()
	p := newPlatform(t)
	p.settings, p.flags = groupSettings, []string{"-group", fmt.Sprint(members)}
	host, _, err := net.SplitHostPort(p.listen)
	must(t, err)
	held, err := net.Listen("tcp", p.listen) // so that its port is not assigned again
	must(t, err)
	l, err := net.Listen("tcp", host+":0")
	must(t, err)
	console := l.Addr().String()
	must(t, errors.Join(l.Close(), held.Close()))
	t.Setenv("PROXY_CONSOLE", console)
	return p, console
}

// groupView has the fields of /ops/group that the tests use.
type groupView struct {
	Member  string  `json:"member"`
	Leads   bool    `json:"leads"`
	Share   float64 `json:"share_in_use"`
	Parts   int     `json:"parts"`
	Serves  bool    `json:"takes_clients"`
	Members []struct {
		ID    string `json:"id"`
		Alive bool   `json:"alive"`
		Parts int    `json:"parts"`
	} `json:"members"`
	Adoptions int `json:"adoptions"`
}

// view returns the view of whichever member accepts the request.
func (p *platform) view(console string) (v groupView) {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + console + "/ops/group")
	if err != nil {
		return v
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		must(p.t, json.NewDecoder(resp.Body).Decode(&v))
	}
	return v
}

// awaitView waits until ok holds for a member's view.
func (p *platform) awaitView(console, what string, ok func(groupView) bool) groupView {
	p.t.Helper()
	var v groupView
	for end := time.Now().Add(2 * testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if v = p.view(console); ok(v) {
			return v
		}
	}
	p.t.Fatalf("timed out waiting for %s; last view %+v", what, v)
	return v
}

func (v groupView) alive() (n int) {
	for _, m := range v.Members {
		if m.Alive {
			n++
		}
	}
	return n
}

func ofClass(r *http.Request, class string) *http.Request {
	r.URL.Path = "/" + class
	r.Header.Set("X-Priority-Class", class)
	return r
}

// submitUntilAccepted submits a message until it is accepted. On a busy machine a lease may expire for a moment: the message is
// then refused, and the client retries.
func (p *platform) submitUntilAccepted(id string, timeout time.Duration) {
	p.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		resp := p.send(id, timeout)
		if resp.StatusCode == http.StatusAccepted {
			return
		}
		if resp.StatusCode != http.StatusServiceUnavailable || time.Now().After(end) {
			p.t.Fatalf("%s: answered %s", id, resp.Status)
		}
	}
}

func (p *platform) charge(id string) int { return p.chargeWithin(id, 20*time.Second) }

func (p *platform) chargeWithin(id string, timeout time.Duration) int {
	p.t.Helper()
	resp, err := http.DefaultClient.Do(ofClass(p.request(id, timeout), "charge"))
	must(p.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (n *process) killed(t *testing.T) {
	t.Helper()
	must(t, n.cmd.Process.Signal(syscall.SIGKILL))
	_ = n.wait(t) // killed
}

// A member is killed with messages in flight: the other one adopts its journal at once, a charge that was in flight is not sent
// again, and an id that a client submits again is recognized as the same message.
func TestGroupAdoptsAKilledMember(t *testing.T) {
	p, console := groupPlatform(t, 2)
	p.answer = func(string) int { return 0 }
	a := p.start()
	b := p.launch(nil)
	p.awaitView(console, "two members", func(v groupView) bool { return v.alive() == 2 })
	p.submitUntilAccepted("s1", 20*time.Second)
	if code := p.charge("c1"); code != http.StatusAccepted {
		t.Fatal(code)
	}
	p.eventually("both calls", func() bool { return p.calls["s1"] == 1 && p.calls["c1"] == 1 })
	p.set(func() { p.answer = func(string) int { return http.StatusOK } })
	a.killed(t)
	http.DefaultClient.CloseIdleConnections()
	var again int // retries like a client whose connection broke; the other member accepts at the same address
	for end := time.Now().Add(testTimeout); again != http.StatusAccepted && time.Now().Before(end); {
		if resp, err := http.DefaultClient.Do(ofClass(p.request("c1", 20*time.Second), "charge")); err == nil {
			_ = resp.Body.Close()
			again = resp.StatusCode
		}
	}
	if again != http.StatusAccepted {
		t.Fatalf("submitted again: %d; %s", again, b.log.String())
	}
	p.eventually("the repeated call of the message that may be repeated", func() bool { return p.calls["s1"] == 2 })
	p.eventually("the charge's notice", func() bool { return p.finals["c1"] == "given_up" })
	p.mu.Lock()
	if p.calls["c1"] != 1 {
		t.Errorf("the charge was sent %d times", p.calls["c1"])
	}
	p.mu.Unlock()
	v := p.awaitView(console, "one member with all parts", func(v groupView) bool { return v.Parts == 840 && v.Share == 1 })
	if v.Adoptions != 1 || !v.Leads {
		t.Errorf("%+v", v)
	}
	if resp := p.send("s2", 5*time.Second); resp.StatusCode != http.StatusAccepted {
		t.Errorf("the remaining member answers %s", resp.Status)
	}
	p.eventually("a new message", func() bool { return p.calls["s2"] == 1 })
}

// All members are killed at the same time, and one restarts: it resumes the messages of all members.
func TestGroupOneRestartsAfterAllKilled(t *testing.T) {
	p, console := groupPlatform(t, 3)
	p.answer = func(string) int { return 0 }
	members := []*process{p.start(), p.launch(nil), p.launch(nil)}
	p.awaitView(console, "three members", func(v groupView) bool { return v.alive() == 3 })
	for i := range 8 {
		p.submitUntilAccepted(fmt.Sprint("s", i), 20*time.Second)
	}
	p.eventually("calls", func() bool { return p.calls["s0"] == 1 })
	for _, m := range members {
		must(t, m.cmd.Process.Signal(syscall.SIGKILL))
	}
	for _, m := range members {
		_ = m.wait(t) // killed
	}
	before := map[string]int{}
	p.set(func() {
		p.answer = func(string) int { return http.StatusOK }
		for id, n := range p.calls {
			before[id] = n
		}
	})
	http.DefaultClient.CloseIdleConnections()
	p.start()
	p.eventually("a repeated call for each message", func() bool {
		for i := range 8 {
			if id := fmt.Sprint("s", i); p.calls[id] <= before[id] {
				return false
			}
		}
		return true
	})
}

// A member leaves after SIGTERM: no request fails, and the other member continues.
func TestGroupMemberLeaves(t *testing.T) {
	p, console := groupPlatform(t, 2)
	a := p.start()
	p.launch(nil)
	p.awaitView(console, "the second with a share in use", func(v groupView) bool {
		return v.alive() == 2 && !v.Leads && v.Serves
	})
	must(t, a.cmd.Process.Signal(syscall.SIGTERM))
	sent := 0
	deadline := time.Now().Add(testTimeout)
	for ended := false; !ended; sent++ {
		if time.Now().After(deadline) {
			_ = a.cmd.Process.Signal(syscall.SIGQUIT) // dumps its goroutines
			_ = a.wait(t)
			t.Fatalf("the member did not exit: %s", a.log.String())
		}
		select {
		case err := <-a.end:
			if err != nil {
				t.Fatalf("%v: %s", err, a.log.String())
			}
			ended = true
		default:
		}
		if resp := p.send(fmt.Sprint("s", sent), 10*time.Second); resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("answered %s", resp.Status)
		}
		time.Sleep(20 * time.Millisecond) // paces the client's requests
	}
	p.awaitView(console, "one member", func(v groupView) bool { return v.Leads && v.alive() == 1 })
	if !strings.Contains(a.log.String(), "stopped") {
		t.Error("the log does not report the stop")
	}
}

func (p *platform) order(console, call, host string) (int, string) {
	req, err := http.NewRequest(http.MethodPut, "http://"+console+"/ops/endpoints/"+call, strings.NewReader(fmt.Sprintf(`{"host":%q}`, host)))
	must(p.t, err)
	resp, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// An order is confirmed only when all members have applied it. With a stopped member it is refused and has no effect.
func TestGroupOrders(t *testing.T) {
	p, console := groupPlatform(t, 2)
	a := p.start()
	b := p.launch(nil)
	p.awaitView(console, "two members that answer", func(v groupView) bool { return v.alive() == 2 && !v.Leads })
	if status, text := p.order(console, "down", "s1"); status != 200 {
		t.Fatal(status, text)
	}
	if status, text := p.order(console, "down", "nobody"); status != 404 {
		t.Error(status, text)
	}
	if status, text := p.order(console, "up", "s1"); status != 200 {
		t.Fatal(status, text)
	}
	must(t, b.cmd.Process.Signal(syscall.SIGSTOP))
	no := false
	for range 20 { // a request that the stopped member accepted is not answered
		if status, _ := p.order(console, "down", "s1"); status == 503 {
			no = true
			break
		}
	}
	if !no {
		t.Error("no order was refused with 503 while a member is stopped")
	}
	must(t, b.cmd.Process.Signal(syscall.SIGCONT))
	p.awaitView(console, "both members", func(v groupView) bool { return !v.Leads })
	p.submitUntilAccepted("after", 20*time.Second)
	p.eventually("a call after the order was refused", func() bool { return p.calls["after"] == 1 })
	if status, text := p.order(console, "down", "s1"); status != 200 {
		t.Fatal(status, text)
	}
	a.killed(t)
	p.awaitView(console, "the remaining member with all parts", func(v groupView) bool { return v.Share == 1 })
	http.DefaultClient.CloseIdleConnections()
	p.submitUntilAccepted("barred", 1500*time.Millisecond)
	p.eventually("its notice", func() bool { return p.finals["barred"] != "" })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls["barred"] > 0 {
		t.Error("the remaining member sent to an endpoint that an operator took out of service")
	}
}

// A stopped coordinator keeps its journal and messages, and another member becomes the coordinator. When the stopped one
// resumes, it continues its messages, and no charge is sent twice.
func TestGroupStoppedCoordinator(t *testing.T) {
	p, console := groupPlatform(t, 2)
	a := p.start()
	b := p.launch(nil)
	// Waits until both have joined: a member whose coordinator stops before the join is complete exits, as it should.
	seen := map[string]bool{}
	p.awaitView(console, "two members, in the view of each", func(v groupView) bool {
		if v.alive() == 2 {
			seen[v.Member] = true
		}
		return len(seen) == 2
	})
	defer func() {
		if t.Failed() {
			t.Log(b.log.String())
		}
	}()
	p.set(func() { p.answer = func(string) int { return 0 } })
	if code := p.charge("c1"); code != http.StatusAccepted {
		t.Fatal(code)
	}
	p.eventually("the call", func() bool { return p.calls["c1"] == 1 })
	must(t, a.cmd.Process.Signal(syscall.SIGSTOP))
	v := p.awaitView(console, "another coordinator", func(v groupView) bool { return v.Leads && v.Parts > 0 })
	if v.Adoptions != 0 {
		t.Errorf("it adopted the journal of a process that is still running: %+v", v)
	}
	must(t, a.cmd.Process.Signal(syscall.SIGCONT))
	p.set(func() { p.answer = func(string) int { return http.StatusOK } })
	p.awaitView(console, "both", func(v groupView) bool { return v.alive() == 2 && !v.Leads })
	p.eventually("its end", func() bool { return p.finals["c1"] != "" })
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls["c1"] != 1 {
		t.Errorf("the charge was sent %d times", p.calls["c1"])
	}
}

// Three processes that start at the same time form one node, and their shares never exceed the whole.
func TestGroupStartedTogether(t *testing.T) {
	p, console := groupPlatform(t, 3)
	for range 3 {
		p.launch(nil)
	}
	seen := map[string]bool{}
	p.awaitView(console, "three members", func(v groupView) bool {
		sum := 0
		for _, m := range v.Members {
			sum += m.Parts
		}
		if sum > 840 {
			t.Errorf("the shares add up to %d", sum)
		}
		if v.alive() == 3 {
			seen[v.Member] = true
		}
		return len(seen) == 3 // each has answered a console call
	})
	p.submitUntilAccepted("s", 20*time.Second)
	p.eventually("the call", func() bool { return p.calls["s"] == 1 })
}

// A start that cannot join the folder safely fails with a line that gives the reason.
func TestGroupRefusals(t *testing.T) {
	p, console := groupPlatform(t, 2)
	refused := func(what, want string, flags ...string) {
		t.Helper()
		p.flags = flags
		n := p.launch(nil)
		if err := n.wait(t); err == nil || !strings.Contains(n.log.String(), want) {
			t.Errorf("%s: %v, %s", what, err, n.log.String())
		}
	}
	alone := func() *process {
		p.flags = nil
		return p.start()
	}
	n := alone()
	refused("a member beside a single process", "in use by a process that is in no group", "-group", "2")
	n.killed(t)
	refused("too many", "it has to be between 1 and 8", "-group", "9")
	refused("a negative number", "it has to be between", "-group", "-1")
	refused("more journals than the disk holds", "8 members need 9 journals", "-group", "8")
	p.flags = []string{"-group", "2"}
	p.answer = func(string) int { return 0 }
	n = p.start()
	p.submitUntilAccepted("s1", 25*time.Second)
	p.eventually("the call", func() bool { return p.calls["s1"] == 1 })
	refused("a single process beside a member", "in use")
	n.killed(t)
	refused("a single process on a folder with messages of a group", "holds 1 messages of a group")
	p.set(func() { p.answer = func(string) int { return http.StatusOK } })
	p.flags = []string{"-group", "2"}
	http.DefaultClient.CloseIdleConnections()
	n = p.start()
	p.eventually("the call again", func() bool { return p.calls["s1"] == 2 })
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) { // until the outcome is in the journal
		resp, err := http.Get("http://" + console + "/ops/journal")
		must(t, err)
		var j struct {
			Live int `json:"live_messages"`
		}
		must(t, errors.Join(json.NewDecoder(resp.Body).Decode(&j), resp.Body.Close()))
		if j.Live == 0 {
			break
		}
	}
	n.killed(t)
	alone()
}

// A group takes over the messages that a single process left in the folder.
func TestGroupAfterASingleProcess(t *testing.T) {
	p, _ := groupPlatform(t, 2)
	flags := p.flags
	p.flags = nil
	p.answer = func(string) int { return 0 }
	n := p.start()
	p.submitUntilAccepted("s1", 25*time.Second)
	p.eventually("the call", func() bool { return p.calls["s1"] == 1 })
	n.killed(t)
	p.set(func() { p.answer = func(string) int { return http.StatusOK } })
	p.flags = flags
	http.DefaultClient.CloseIdleConnections()
	p.start()
	p.eventually("the call again", func() bool { return p.calls["s1"] == 2 })
}

// Without the flag there are no group files in the folder. With it, members that start and exit leave no files behind.
func TestGroupFiles(t *testing.T) {
	p, console := groupPlatform(t, 2)
	flags := p.flags
	p.flags = nil
	n := p.start()
	p.send("s", 5*time.Second)
	p.eventually("the call", func() bool { return p.calls["s"] == 1 })
	n.killed(t)
	names := func(dir string) (all []string) {
		entries, err := os.ReadDir(dir)
		must(t, err)
		for _, e := range entries {
			all = append(all, e.Name())
		}
		return all
	}
	if got := names(p.dir); slices.ContainsFunc(got, func(s string) bool { return !strings.HasPrefix(s, "journal-") }) {
		t.Errorf("without a group: %v", got)
	}
	p.flags = flags
	http.DefaultClient.CloseIdleConnections()
	p.start()
	for range 4 { // the first stays, others start and are killed
		m := p.launch(nil)
		p.awaitView(console, "two", func(v groupView) bool { return v.alive() == 2 })
		m.killed(t)
		p.awaitView(console, "one", func(v groupView) bool { return v.alive() == 1 })
	}
	p.awaitView(console, "the full share in use again", func(v groupView) bool { return v.Share == 1 })
	members, views := 0, 0
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		members, views = 0, 0
		for _, name := range names(filepath.Join(p.dir, "group")) {
			switch {
			case strings.HasPrefix(name, "member-"), strings.HasPrefix(name, "s-"):
				members++
			case strings.HasPrefix(name, "view-"):
				views++
			}
		}
		if members == 2 && views <= 2 {
			return
		}
	}
	t.Errorf("%v", names(filepath.Join(p.dir, "group")))
}
