package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

// harness drives a core with a manual clock.
type harness struct {
	c         *core
	snap      *snapshot.Snapshot
	seq       uint64
	runs      map[string]*run
	waiters   map[string]*waiter
	decisions []string
}

func newHarness(set Settings) *harness {
	rng := rand.New(rand.NewPCG(1, 2))
	return &harness{c: newCore(set, "a", rng.Float64), runs: map[string]*run{}, waiters: map[string]*waiter{},
		snap: &snapshot.Snapshot{Proxies: 1, Endpoints: map[string][]*snapshot.Endpoint{},
			Config: &operatorconfig.Config{Services: map[string]*operatorconfig.Service{"s": {Name: "s"}}}}}
}

func (b *harness) addEndpoints(ids ...string) {
	for _, id := range ids {
		b.snap.Endpoints["s"] = append(b.snap.Endpoints["s"],
			&snapshot.Endpoint{ID: id, Service: "s", Address: id + ":1", Zone: "a", Capacity: 4})
	}
	b.c.applySnapshot(b.snap)
}

// submit admits a request that is due after 400 ms, or 10 s for bulk, and has a deadline of 4 s.
func (b *harness) submit(r *Request) *waiter {
	b.seq++
	if r.Service == "" {
		r.Service = "s"
	}
	if r.Route == nil {
		r.Route = &operatorconfig.Route{LatencyTargetMs: 400}
	}
	w := &waiter{request: r, sequence: b.seq, deadline: b.c.now + 4*time.Second, due: b.c.now + 400*time.Millisecond}
	if r.Bulk {
		w.due = b.c.now + 10*time.Second
	}
	b.c.setTimes(w, b.c.now, w.due, w.deadline)
	w.decided = func(w *waiter) {
		if w.granted != nil {
			b.runs[r.ID] = w.granted
			b.decisions = append(b.decisions, r.ID+" to "+w.granted.target.ID)
		} else {
			b.decisions = append(b.decisions, r.ID+" refused")
		}
	}
	b.waiters[r.ID] = w
	b.c.admit(w)
	return w
}

func (b *harness) pass(d time.Duration) { b.c.now += d; b.c.serveAllQueues() }

func (b *harness) firstEndpoint() *endpoint { return b.c.endpoints["e1"] }

var outcomes = map[string]Outcome{"served": Served, "notrun": NotRun, "wrong": Misdirected, "failed": Failed,
	"broken": Broken, "silent": TimedOut, "left": Canceled, "unsent": NotSent}

// TestStepped runs the command files of testdata.
func TestStepped(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Helper()
		var b *harness
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			b = b.play(t, d)
			output := strings.Join(b.decisions, "\n")
			b.decisions = nil
			return output
		})
	})
}

func (b *harness) play(t *testing.T, d *datadriven.TestData) *harness {
	t.Helper()
	c := command{t, d}
	switch d.Cmd {
	case "new":
		b = newHarness(Settings{})
		b.c.senders = c.number("senders", 1)
		b.snap.Proxies = b.c.senders
		b.snap.Config.Services["s"].MaxConnections = c.number("conns", 0)
	case "endpoint":
		b.playEndpoint(c)
	case "remove":
		b.snap.Endpoints["s"] = slices.DeleteFunc(slices.Clone(b.snap.Endpoints["s"]),
			func(o *snapshot.Endpoint) bool { return o.ID == d.CmdArgs[0].Key })
		b.c.applySnapshot(b.snap)
	case "ask":
		b.playSubmit(c)
	case "deadline": // changes the deadline of a queued request
		w := b.waiters[d.CmdArgs[0].Key]
		p := b.c.pool("s")
		p.queue = slices.DeleteFunc(p.queue, func(o *waiter) bool { return o == w })
		w.deadline = b.c.now + time.Duration(c.number("ms", 0))*time.Millisecond
		i, _ := slices.BinarySearchFunc(p.queue, w, compareUrgency)
		p.queue = slices.Insert(p.queue, i, w)
	case "end":
		b.playEnd(c)
	case "pass":
		left := time.Duration(c.number("ms", 0)) * time.Millisecond
		for ; left > 0; left -= 5 * time.Millisecond {
			b.pass(min(left, 5*time.Millisecond))
		}
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return b
}

// command is one command of a file in testdata.
type command struct {
	t *testing.T
	*datadriven.TestData
}

// arg returns the value of an argument, or an empty string.
func (c command) arg(key string) string {
	for _, a := range c.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}

// number returns the value of an argument, or otherwise if there is none.
func (c command) number(key string, otherwise int) int {
	text := c.arg(key)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		c.t.Fatal(err)
	}
	return n
}

// playEndpoint adds an endpoint to the snapshot, or replaces it.
func (b *harness) playEndpoint(c command) {
	v := &snapshot.Endpoint{ID: c.CmdArgs[0].Key, Service: "s", Zone: "a", Capacity: c.number("slots", 4), RemainingWarmupMs: c.number("cold", 0)}
	if zone := c.arg("zone"); zone != "" {
		v.Zone = zone
	}
	if model := c.arg("model"); model != "" {
		v.Models = []snapshot.Model{{Name: model}}
	}
	switch c.arg("state") {
	case "draining":
		v.State = snapshot.Draining
	case "gone":
		v.State = snapshot.Removed
	}
	list := slices.DeleteFunc(slices.Clone(b.snap.Endpoints["s"]), func(o *snapshot.Endpoint) bool { return o.ID == v.ID })
	b.snap.Endpoints["s"] = append(list, v)
	b.c.applySnapshot(b.snap)
}

// playSubmit submits each request that the command names.
func (b *harness) playSubmit(c command) {
	for _, a := range c.CmdArgs {
		if len(a.Vals) > 0 {
			continue
		}
		r := &Request{ID: a.Key, Model: c.arg("model"), Bulk: c.number("bulk", 0) == 1, TenantPriority: c.number("tenant", 0),
			Route: &operatorconfig.Route{Kind: operatorconfig.RouteKind(c.number("kind", 0)), LatencyTargetMs: c.number("aim", 400), Priority: c.number("priority", 0)}}
		if avoid := c.arg("avoid"); avoid != "" {
			r.Avoid = strings.Split(avoid, "+")
		}
		b.submit(r)
	}
}

// playEnd ends the runs that the command names.
func (b *harness) playEnd(c command) {
	outcome, load := Served, Load{}
	for name, v := range outcomes {
		if slices.ContainsFunc(c.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == name }) {
			outcome = v
		}
	}
	if text := c.arg("load"); text != "" {
		if _, err := fmt.Sscanf(text, "%d/%d/%d", &load.Running, &load.Waiting, &load.Slots); err != nil {
			c.t.Fatal(err)
		}
		load.Known = true
	}
	for _, a := range c.CmdArgs {
		if r := b.runs[a.Key]; r != nil && len(a.Vals) == 0 {
			b.c.endRun(r, outcome, load)
		}
	}
}
