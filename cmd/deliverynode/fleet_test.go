package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/lab/faults"
)

// fleetTimeout is the timeout for changes that take memberlist several of its periods, on a busy machine.
const fleetTimeout = 60 * time.Second

// fleetRig is a fleet of real processes with a relay in each direction between each two of them.
type fleetRig struct {
	t     testing.TB
	net   *faults.Relays
	file  string
	nodes []*fleetNode
}

type fleetNode struct {
	*platform
	name    string
	console string
	proc    *process
}

// newFleet makes n nodes, of which the first seeds nodes are seeds, and starts none of them.
func newFleet(t testing.TB, n, seeds int) *fleetRig {
	t.Helper()
	r := &fleetRig{t: t, file: filepath.Join(t.TempDir(), "fleet.json")}
	var err error
	r.net, err = faults.NewRelays(n, 1)
	must(t, err)
	t.Cleanup(func() { must(t, r.net.Close()) })
	f := fleet.File{Fleet: "test"}
	for i := range n {
		name := fmt.Sprint("n", i)
		f.Nodes = append(f.Nodes, fleet.Node{Name: name, Address: r.net.Address(i).String(), Listen: r.net.Listen(i).String(), Seed: i < seeds})
		p := newPlatform(t)
		p.flags = []string{"-fleet", r.file}
		// No other process uses this address, so any port of it is free.
		host, port := r.net.Listen(i).Addr(), 10000+os.Getpid()%20000
		p.listen = fmt.Sprintf("%v:%d", host, port)
		r.nodes = append(r.nodes, &fleetNode{platform: p, name: name, console: fmt.Sprintf("%v:%d", host, port+1)})
	}
	r.write(f)
	return r
}

func (r *fleetRig) write(f fleet.File) {
	r.t.Helper()
	text, err := json.Marshal(f)
	must(r.t, err)
	must(r.t, os.WriteFile(r.file, text, 0o600))
}

func (r *fleetRig) launch(i int) *process {
	n := r.nodes[i]
	n.proc = n.platform.launch(nil, "PROXY_NAME="+n.name, "PROXY_CONSOLE="+n.console)
	return n.proc
}

func (r *fleetRig) launchAll() {
	for i := range r.nodes {
		r.launch(i)
	}
}

// ask decodes the answer of a node's console into shows. It leaves shows unchanged if there is no answer.
func (r *fleetRig) ask(i int, call string, shows any) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.nodes[i].console + call)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(shows) // the node may be killed during the response
	}
}

// view returns the fleet status that a node shows, or an empty one if it does not answer.
func (r *fleetRig) view(i int) (s fleet.Status) {
	r.ask(i, "/ops/fleet", &s)
	return s
}

// await waits until ok holds for a node's view.
func (r *fleetRig) await(i int, what string, ok func(fleet.Status) bool) fleet.Status {
	r.t.Helper()
	var v fleet.Status
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v = r.view(i); ok(v) {
			return v
		}
	}
	if os.Getenv("FLEET_DUMP") != "" {
		_ = r.nodes[i].proc.cmd.Process.Signal(syscall.SIGQUIT)
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Fatalf("%s: timed out waiting for %s; last view %+v; log:\n%s", r.nodes[i].name, what, v, r.nodes[i].proc.log.String())
	return v
}

// states formats the members of a view and their states in one line.
func states(s fleet.Status) string {
	var all []string
	for _, m := range s.Members {
		all = append(all, m.Name+" "+string(m.State))
	}
	return strings.Join(all, ", ")
}

func (r *fleetRig) awaitStates(i int, want string) fleet.Status {
	r.t.Helper()
	return r.await(i, want, func(s fleet.Status) bool { return s.State == fleet.Joined && states(s) == want })
}

func (r *fleetRig) remove(at int, name string) int {
	r.t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"name":%q}`, name))
	req, err := http.NewRequest(http.MethodPut, "http://"+r.nodes[at].console+"/ops/fleet/remove", body)
	must(r.t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	must(r.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

const allAlive = "n0 alive, n1 alive, n2 alive"

// Three nodes start at the same time, all of them seeds. One is killed, restarts and leaves: an unresponsive node still counts as
// a member, a restart has a new incarnation, and a node that announces that it leaves is marked as left.
func TestFleetOfThree(t *testing.T) {
	r := newFleet(t, 3, 3)
	r.launchAll()
	first := uint64(0)
	for i := range 3 {
		s := r.awaitStates(i, allAlive)
		if s.Count != 3 || s.State != fleet.Joined || s.Fleet != "test" {
			t.Errorf("%+v", s)
		}
		first = s.Members[2].Incarnation
	}
	r.nodes[2].proc.killed(t)
	for i := range 2 {
		if s := r.awaitStates(i, "n0 alive, n1 alive, n2 suspect"); s.Count != 3 {
			t.Errorf("an unresponsive node is not counted: %+v", s)
		}
	}
	r.launch(2)
	for i := range 3 {
		s := r.awaitStates(i, allAlive)
		if s.Members[2].Incarnation <= first {
			t.Errorf("a restart has incarnation %d, after %d", s.Members[2].Incarnation, first)
		}
	}
	must(t, r.nodes[2].proc.cmd.Process.Signal(syscall.SIGTERM))
	must(t, r.nodes[2].proc.wait(t))
	for i := range 2 {
		if s := r.awaitStates(i, "n0 alive, n1 alive, n2 left"); s.Count != 3 {
			t.Errorf("the count dropped too early: %+v", s)
		}
	}
	if r.net.Stray.Load() != 0 {
		t.Errorf("%d connections or packets did not come through a relay", r.net.Stray.Load())
	}
}

// awaitAllAlive waits until each of the given nodes sees all of them alive in their current incarnations.
func (r *fleetRig) awaitAllAlive(among ...int) {
	r.t.Helper()
	incarnations := func() map[string]uint64 {
		own := map[string]uint64{}
		for _, i := range among {
			own[r.nodes[i].name] = r.view(i).Incarnation
		}
		return own
	}
	own := incarnations()
	for _, i := range among {
		r.await(i, "all alive in their current incarnations", func(s fleet.Status) bool {
			seen := 0
			for _, m := range s.Members {
				if m.State == fleet.Alive && own[m.Name] == m.Incarnation && m.Incarnation > 0 {
					seen++
				}
			}
			if seen != len(among) {
				own = incarnations() // an incarnation may have been raised meanwhile
			}
			return seen == len(among)
		})
	}
}

func (r *fleetRig) signal(i int, s syscall.Signal) {
	r.t.Helper()
	must(r.t, r.nodes[i].proc.cmd.Process.Signal(s))
}

// Without -fleet a node writes no fleet file, does not listen at the fleet address, logs nothing about a fleet, and has no console
// call for it.
func TestNoFleetWithoutTheFlag(t *testing.T) {
	r := newFleet(t, 1, 1)
	n := r.nodes[0]
	n.flags = nil
	r.launch(0)
	n.eventually("readiness", func() bool {
		resp, err := http.Get("http://" + n.console + "/ops/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	resp, err := http.Get("http://" + n.console + "/ops/fleet")
	must(t, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("/ops/fleet answers %s", resp.Status)
	}
	if _, err := net.Dial("tcp", r.net.Listen(0).String()); err == nil {
		t.Error("something listens at the fleet address")
	}
	entries, err := os.ReadDir(n.dir)
	must(t, err)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), "fleet") || strings.HasPrefix(e.Name(), "lease") {
			t.Errorf("%s is in the folder", e.Name())
		}
	}
	n.proc.killed(t) // its log is complete then
	if strings.Contains(n.proc.log.String(), "fleet") {
		t.Error(n.proc.log.String())
	}
}

// A start with an invalid fleet configuration fails with one line and status 1, before any client is accepted.
func TestBadFleetEndsTheStart(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 2, 1)
	good, err := os.ReadFile(r.file)
	must(t, err)
	for _, c := range []struct{ name, text, wants string }{
		{"no file", "", "no such file"},
		{"unknown key", strings.Replace(string(good), `"fleet"`, `"fleets"`, 1), "unknown field"},
		{"own name missing", strings.Replace(string(good), `"n0"`, `"x"`, 1), `"n0", is not in it`},
		{"no seed", strings.Replace(string(good), `"seed":true`, `"seed":false`, 1), "no node is a seed"},
		{"two at one address", strings.Replace(string(good), r.net.Address(1).String(), r.net.Address(0).String(), 1), "are both at"},
		{"its address is in use", strings.Replace(string(good), r.net.Listen(0).String(), r.net.Address(0).String(), 1), "address already in use"},
	} {
		if c.text == "" {
			must(t, os.Remove(r.file))
		} else {
			must(t, os.WriteFile(r.file, []byte(c.text), 0o600))
		}
		n := r.launch(0)
		err := n.wait(t)
		lines := strings.Split(strings.TrimSpace(n.log.String()), "\n")
		last := lines[len(lines)-1]
		if n.cmd.ProcessState.ExitCode() != 1 || !strings.HasPrefix(last, "deliverynode: ") || !strings.Contains(last, c.wants) {
			t.Errorf("%s: %v, %s", c.name, err, n.log.String())
		}
		if strings.Contains(n.log.String(), "msg=ready") {
			t.Errorf("%s: clients were accepted", c.name)
		}
	}
	must(t, os.WriteFile(r.file, good, 0o600))
	r.launch(0)
	first := r.awaitStates(0, "n0 alive")
	r.nodes[1].dir = r.nodes[0].dir // the same folder at another address
	second := r.launch(1)
	_ = second.wait(t)
	if second.cmd.ProcessState.ExitCode() != 1 || !strings.Contains(second.log.String(), "in use by another process") {
		t.Error(second.log.String())
	}
	r.nodes[0].proc.killed(t)
	third := r.launch(1) // the folder of another node
	_ = third.wait(t)
	if third.cmd.ProcessState.ExitCode() != 1 || !strings.Contains(third.log.String(), "belongs to another node") {
		t.Error(third.log.String())
	}
	r.launch(0)
	if s := r.awaitStates(0, "n0 alive"); s.Incarnation != first.Incarnation+1 {
		t.Errorf("incarnation %d after %d", s.Incarnation, first.Incarnation)
	}
}

// A node that cannot store its incarnation serves clients, and joins the fleet once it can.
func TestNodeServesWithoutDiskSpaceForItsIncarnation(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 2, 2)
	r.launch(0)
	obstacle := filepath.Join(r.nodes[1].dir, "fleet-node.new")
	must(t, os.MkdirAll(filepath.Join(obstacle, "x"), 0o700))
	r.launch(1)
	r.await(1, "the state waiting, with a reason", func(s fleet.Status) bool { return s.State == fleet.Waiting && s.Why != "" })
	if resp := r.nodes[1].send("a", 5*time.Second); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a message is answered %s", resp.Status)
	}
	r.nodes[1].eventually("delivery", func() bool { return r.nodes[1].calls["a"] == 1 })
	must(t, os.RemoveAll(obstacle))
	r.awaitAllAlive(0, 1)
}

// The fleet is split, and each half removes the other. Then all connections are cut and healed together. All traffic goes through
// the relays.
func TestFleetSplitInHalves(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 4, 4)
	r.launchAll()
	r.awaitAllAlive(0, 1, 2, 3)
	r.net.Apply(faults.Pattern{What: faults.Split})
	r.awaitStates(0, "n0 alive, n1 alive, n2 suspect, n3 suspect")
	r.awaitStates(3, "n0 suspect, n1 suspect, n2 alive, n3 alive")
	for _, c := range []struct {
		at   int
		name string
		want int
	}{{0, "n2", 200}, {0, "n3", 200}, {3, "n0", 200}, {3, "n1", 200}, {0, "n0", 404}, {0, "nobody", 404}, {0, "", 400}} {
		if got := r.remove(c.at, c.name); got != c.want {
			t.Errorf("removing %q at %d: %d, want %d", c.name, c.at, got, c.want)
		}
	}
	r.awaitStates(1, "n0 alive, n1 alive, n2 removed, n3 removed")
	r.awaitStates(2, "n0 removed, n1 removed, n2 alive, n3 alive")
	r.net.Apply(faults.Pattern{What: faults.All, Fault: faults.Fault{Cut: true}})
	time.Sleep(time.Second) // traffic in flight has arrived
	in := func() (sum int64) {
		for i := range 4 {
			s := r.view(i).Traffic
			sum += s.BytesIn + s.PacketsIn
		}
		return sum
	}
	before := in()
	r.await(0, "its attempts to reach another node", func(s fleet.Status) bool { return s.Members[1].State == fleet.Suspect })
	if after := in(); after != before || before == 0 {
		t.Errorf("%d bytes and packets received with all connections cut, %d before", after-before, before)
	}
	r.net.Heal()
	r.awaitAllAlive(0, 1, 2, 3)
	if r.net.Stray.Load() != 0 {
		t.Errorf("%d connections or packets did not come through a relay", r.net.Stray.Load())
	}
	for i := range 4 {
		if resp := r.nodes[i].send("after", 5*time.Second); resp.StatusCode != http.StatusAccepted {
			t.Errorf("node %d answers %s", i, resp.Status)
		}
	}
}

// A third of the fleet is stopped for 30 s and resumes at the same time.
func TestFleetWithStoppedNodes(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 6, 3)
	r.launchAll()
	all := []int{0, 1, 2, 3, 4, 5}
	r.awaitAllAlive(all...)
	r.signal(4, syscall.SIGSTOP)
	r.signal(5, syscall.SIGSTOP)
	stopped := time.Now()
	r.awaitStates(0, "n0 alive, n1 alive, n2 alive, n3 alive, n4 suspect, n5 suspect")
	time.Sleep(30*time.Second - time.Since(stopped))
	r.awaitStates(3, "n0 alive, n1 alive, n2 alive, n3 alive, n4 suspect, n5 suspect")
	r.signal(4, syscall.SIGCONT)
	r.signal(5, syscall.SIGCONT)
	r.awaitAllAlive(all...)
}

// Connections from invalid peers are closed, and do not affect the fleet.
func TestFleetRejectsInvalidPeers(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 2, 2)
	r.launchAll()
	r.awaitAllAlive(0, 1)
	to := r.net.Listen(0).String()
	other := func(lowest, highest, purpose byte, fleetName string) []byte {
		b := append([]byte("wmfl"), lowest, highest, purpose)
		return binary.BigEndian.AppendUint64(b, xxhash.Sum64String(fleetName))
	}
	huge := append(other(1, 1, 2, "test"), 0x80, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	for _, c := range []struct {
		name   string
		sends  []byte
		wants  string
		counts func(fleet.Traffic) int64
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "", func(t fleet.Traffic) int64 { return t.Strangers }},
		{"nothing", nil, "", func(t fleet.Traffic) int64 { return t.Strangers }},
		{"a frame of 2^31 bytes", huge, "", func(t fleet.Traffic) int64 { return t.Spoilt }},
		{"a frame with a wrong checksum", append(other(1, 1, 2, "test"), 0, 0, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9), "", func(t fleet.Traffic) int64 { return t.Spoilt }},
		{"another fleet", other(1, 1, 2, "another"), "another fleet", func(t fleet.Traffic) int64 { return t.Strangers }},
		{"a later version", other(2, 7, 2, "test"), "it speaks versions 2 to 7, this node 1 to 1", func(t fleet.Traffic) int64 { return t.Versions }},
		{"an unknown purpose", other(1, 9, 7, "test"), "purpose 7", func(t fleet.Traffic) int64 { return t.Strangers }},
	} {
		before := c.counts(r.view(0).Traffic)
		conn, err := net.Dial("tcp", to)
		must(t, err)
		_, err = conn.Write(c.sends)
		must(t, err)
		must(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		answer, err := io.ReadAll(io.LimitReader(conn, 1<<16))
		if errors.Is(err, os.ErrDeadlineExceeded) || !strings.Contains(string(answer), c.wants) {
			t.Errorf("%s: answered %q, %v", c.name, answer, err)
		}
		_ = conn.Close()
		r.await(0, c.name+" counted", func(s fleet.Status) bool { return c.counts(s.Traffic) > before })
	}
	// Invalid datagrams, and more connections than the limit, whose peers read nothing.
	udp, err := net.Dial("udp", to)
	must(t, err)
	defer udp.Close()
	for _, b := range [][]byte{nil, []byte("x"), []byte("wf\x01\x01 and no checksum that fits"), []byte("wf\x05\x09 of a later version"), make([]byte, 9000)} {
		_, err := udp.Write(b)
		must(t, err)
	}
	var stuck []net.Conn
	for range 100 {
		conn, err := net.Dial("tcp", to)
		must(t, err)
		_, _ = conn.Write(other(1, 1, 2, "test"))
		stuck = append(stuck, conn)
	}
	r.await(0, "connections rejected at the limit", func(s fleet.Status) bool { return s.Traffic.Crowded > 0 && s.Traffic.Connections <= s.Traffic.MaxConns })
	if resp := r.nodes[0].send("m", 5*time.Second); resp.StatusCode != http.StatusAccepted {
		t.Errorf("a message during the flood is answered %s", resp.Status)
	}
	for _, conn := range stuck {
		_ = conn.Close()
	}
	r.awaitAllAlive(0, 1)
	if s := r.view(0); states(s) != "n0 alive, n1 alive" || s.Traffic.Versions < 2 {
		t.Errorf("%+v", s)
	}
}

// The coordinator of a process group represents the node in the fleet. When it is killed, another member does, under a later
// incarnation of the same name.
func TestFleetOfAGroup(t *testing.T) {
	r := newFleet(t, 2, 2)
	g := r.nodes[1]
	g.settings, g.flags = groupSettings, append(g.flags, "-group", "2")
	r.launch(0)
	a := r.launch(1)
	r.awaitAllAlive(0, 1)
	was := r.view(0).Members[1].Incarnation
	b := g.platform.launch(nil, "PROXY_NAME="+g.name, "PROXY_CONSOLE="+g.console)
	g.awaitView(g.console, "two members", func(v groupView) bool { return v.alive() == 2 })
	a.killed(t)
	g.proc = b
	s := r.await(0, "the node under a later incarnation", func(s fleet.Status) bool {
		return states(s) == "n0 alive, n1 alive" && s.Members[1].Incarnation > was
	})
	if s.Count != 2 {
		t.Errorf("a group counts as %d", s.Count-1)
	}
}

// In an upgrade with an inherited socket, the new process represents the node in the fleet once the old one has handed over the
// journal. The other nodes never see the node leave.
func TestFleetAndAnUpgrade(t *testing.T) {
	t.Parallel()
	r := newFleet(t, 2, 2)
	u := newUpgrades(t)
	u.flags = r.nodes[1].flags
	r.nodes[1].platform = u.platform
	r.launch(0)
	old, console := u.begin("PROXY_NAME=n1")
	u.awaitReady(old, console)
	r.nodes[1].proc, r.nodes[1].console = old, console
	r.awaitAllAlive(0, 1)
	was := r.view(0).Members[1].Incarnation
	next, console := u.begin("PROXY_NAME=n1")
	u.awaitReady(next, console)
	r.nodes[1].proc, r.nodes[1].console = next, console
	s := r.await(0, "the node under a later incarnation", func(s fleet.Status) bool {
		if states(s) == "n0 alive, n1 left" {
			t.Error("the node announced that it left")
		}
		return states(s) == "n0 alive, n1 alive" && s.Members[1].Incarnation > was
	})
	if s.Count != 2 {
		t.Errorf("counted %d", s.Count)
	}
	must(t, old.cmd.Process.Signal(syscall.SIGTERM))
	must(t, old.wait(t))
	r.awaitAllAlive(0, 1)
}
