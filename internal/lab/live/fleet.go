package live

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	fleets "dunetide/internal/deliverynode/fleet"
	"dunetide/internal/lab/faults"
	"dunetide/internal/lab/rules"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

// fleet is what stands between the nodes of a run, where they are one. All of it belongs to
// the loop, but for the relays.
type fleet struct {
	run    *run
	relays *faults.Relays
	file   string
	seen   map[[2]int]trace.Record // the last of each pair
	active map[int]faults.Pattern  // by the trouble's number, those that hold
}

// openFleet opens the relays and writes the file for all nodes.
func (r *run) openFleet() error {
	s := r.options.Day.Scenario.Fleet
	if s.Seeds == 0 {
		return nil
	}
	n := len(r.options.Day.Nodes)
	relays, err := faults.NewRelays(n, r.options.Day.Seed)
	if err != nil {
		return err
	}
	r.fleet = &fleet{run: r, relays: relays, file: filepath.Join(r.options.Dir, "fleet.json"), seen: map[[2]int]trace.Record{}, active: map[int]faults.Pattern{}}
	f := fleets.File{Fleet: "lab"}
	for i := range n {
		f.Nodes = append(f.Nodes, fleets.Node{Name: fmt.Sprintf("n%d", i), Address: relays.Address(i).String(),
			Listen: relays.Listen(i).String(), Seed: i < s.Seeds})
	}
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(r.fleet.file, append(text, '\n'), 0o644)
}

func (f *fleet) close() error {
	if f == nil {
		return nil
	}
	return f.relays.Close()
}

// begin tells what was seen before the day began, and lets the troubles come.
func (f *fleet) begin() {
	if f == nil {
		return
	}
	for _, rec := range f.seen {
		rec.At = 0
		f.run.note(rec)
	}
	for i, t := range f.run.options.Day.Scenario.Fleet.Faults {
		d := world.Random(f.run.options.Day.Seed, "fleet", uint64(i))
		draw := func(r scenario.Range) time.Duration {
			return time.Duration((r[0] + (r[1]-r[0])*d.Float64()) * float64(time.Second))
		}
		at, length, each := draw(t.AtS), draw(t.ForS), draw(t.EachS)
		f.run.after(at, func() {
			if t.What == scenario.RemoveMember {
				f.remove(t.Nodes[0], t.Nodes[1])
				return
			}
			f.set(i, t.Pattern(), true)
			if length > 0 {
				f.flap(i, t.Pattern(), f.run.now()+length, each)
			}
		})
	}
}

// flap ends a trouble, and lets it come again until then.
func (f *fleet) flap(i int, p faults.Pattern, until, each time.Duration) {
	if each <= 0 {
		f.run.after(until-f.run.now(), func() { f.set(i, p, false) })
		return
	}
	f.run.after(each, func() {
		_, on := f.active[i]
		f.set(i, p, !on)
		switch {
		case f.run.now() < until:
			f.flap(i, p, until, each)
		case !on:
			f.set(i, p, false)
		}
	})
}

// set begins or ends a trouble. Those that still hold stay, the later over the earlier.
func (f *fleet) set(i int, p faults.Pattern, on bool) {
	rec := trace.Record{At: f.run.now(), What: trace.Net, Result: p.What, Lines: 1}
	if on {
		f.active[i] = p
	} else {
		delete(f.active, i)
		rec.Result, rec.Lines = "end of "+p.What, -1
	}
	f.relays.Heal()
	for j := range f.run.options.Day.Scenario.Fleet.Faults {
		if p, on := f.active[j]; on {
			f.relays.Apply(p)
		}
	}
	f.run.note(rec)
}

// remove is the staff's word, said at one node.
func (f *fleet) remove(at, whom int) {
	n := f.run.nodes[at]
	if !n.up() {
		return
	}
	f.run.note(trace.Record{At: f.run.now(), What: trace.Word, Node: at, EP: whom})
	f.run.wg.Go(func() {
		body := strings.NewReader(fmt.Sprintf(`{"name":"n%d"}`, whom))
		req, err := http.NewRequest(http.MethodPut, "http://"+n.console+"/ops/fleet/remove", body)
		if err != nil {
			return
		}
		req.Close = true
		resp, err := (&http.Client{Timeout: time.Second}).Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				err = errors.New(resp.Status)
			}
		}
		if err != nil { // it may have been killed just then
			f.run.post(func() {
				f.run.note(trace.Record{At: f.run.now(), What: trace.Net, Result: "remove was not heard: " + err.Error()})
			})
		}
	})
}

var memberLine = []byte(`msg="fleet: member" `)

// heard reads what a node's log says of another. It is called by whoever writes that log.
func (f *fleet) heard(me int, line []byte) {
	_, rest, found := bytes.Cut(line, memberLine)
	if !found {
		return
	}
	rec := trace.Record{What: trace.Member, Node: me, EP: -1}
	for _, word := range strings.Fields(string(rest)) {
		key, value, _ := strings.Cut(word, "=")
		switch key {
		case "name":
			if n, err := strconv.Atoi(strings.TrimPrefix(value, "n")); err == nil {
				rec.EP = n
			}
		case "incarnation":
			rec.Call, _ = strconv.ParseUint(value, 10, 64)
		case "is":
			rec.Result = value
		}
	}
	if rec.EP < 0 || rec.EP == me {
		return
	}
	f.run.post(func() {
		rec.At = f.run.now()
		f.seen[[2]int{rec.Node, rec.EP}] = rec
		f.run.note(rec)
	})
}

// over tells, at the end, what passed the relays by.
func (f *fleet) over() {
	if f == nil {
		return
	}
	if n := f.relays.Stray.Load(); n > 0 {
		f.run.note(trace.Record{At: f.run.now(), What: trace.Odd, Result: fmt.Sprintf("%s: %d came from addresses of no node", rules.Through, n)})
	}
}

// fleetLog reads a log line by line and passes it on.
type fleetLog struct {
	to   interface{ Write([]byte) (int, error) }
	line []byte
	read func(line []byte)
}

// Write writes the node's log, and reads what its lines say of the fleet.
func (l *fleetLog) Write(p []byte) (int, error) {
	l.line = append(l.line, p...)
	for {
		i := bytes.IndexByte(l.line, '\n')
		if i < 0 {
			break
		}
		l.read(l.line[:i])
		l.line = l.line[i+1:]
	}
	if len(l.line) > 1<<16 {
		l.line = nil
	}
	return l.to.Write(p)
}
