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
	"strings"
	"syscall"
	"testing"
	"time"

	"wingmount/internal/fleet"
	"wingmount/internal/lab/faults"
)

// fleetPatience is for what takes memberlist some of its periods, on a busy machine.
const fleetPatience = 60 * time.Second

// fleetRig is a fleet of real processes with a relay on each way from one to another.
type fleetRig struct {
	t     *testing.T
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

// newFleet makes n nodes, so many of which are seeds. None is started.
func newFleet(t *testing.T, n, seeds int) *fleetRig {
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
		host, _, err := net.SplitHostPort(p.listen)
		must(t, err)
		held, err := net.Listen("tcp", p.listen) // or it might be given out again
		must(t, err)
		l, err := net.Listen("tcp", host+":0")
		must(t, err)
		r.nodes = append(r.nodes, &fleetNode{platform: p, name: name, console: l.Addr().String()})
		must(t, errors.Join(l.Close(), held.Close()))
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

// view is what a node shows of the fleet; empty where it does not answer.
func (r *fleetRig) view(i int) (s fleet.Status) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.nodes[i].console + "/ops/fleet")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(resp.Body).Decode(&s) // it may be killed meanwhile
	}
	return s
}

// await waits until a node's view is as wanted.
func (r *fleetRig) await(i int, what string, ok func(fleet.Status) bool) fleet.Status {
	r.t.Helper()
	var v fleet.Status
	for end := time.Now().Add(fleetPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v = r.view(i); ok(v) {
			return v
		}
	}
	if os.Getenv("FLEET_DUMP") != "" {
		_ = r.nodes[i].proc.cmd.Process.Signal(syscall.SIGQUIT)
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Fatalf("%s has never shown: %s; the last view %+v; its log:\n%s", r.nodes[i].name, what, v, r.nodes[i].proc.log.String())
	return v
}

// states are the members of a view in one line.
func states(s fleet.Status) string {
	var all []string
	for _, m := range s.Members {
		all = append(all, m.Name+" "+string(m.State))
	}
	return strings.Join(all, ", ")
}

func (r *fleetRig) awaitStates(i int, want string) fleet.Status {
	r.t.Helper()
	return r.await(i, want, func(s fleet.Status) bool { return states(s) == want })
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

// Three start at one instant, each a seed of the others. One is killed, comes back and leaves:
// silent is not gone, a restart has a new incarnation, and its own word is.
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
			t.Errorf("a silent node is not counted: %+v", s)
		}
	}
	r.launch(2)
	for i := range 3 {
		s := r.awaitStates(i, allAlive)
		if s.Members[2].Incarnation <= first {
			t.Errorf("a restart under incarnation %d, after %d", s.Members[2].Incarnation, first)
		}
	}
	must(t, r.nodes[2].proc.cmd.Process.Signal(syscall.SIGTERM))
	must(t, r.nodes[2].proc.wait(t))
	for i := range 2 {
		if s := r.awaitStates(i, "n0 alive, n1 alive, n2 left"); s.Count != 3 {
			t.Errorf("the count falls before all can know: %+v", s)
		}
	}
	if r.net.Stray.Load() != 0 {
		t.Errorf("%d came from elsewhere", r.net.Stray.Load())
	}
}
