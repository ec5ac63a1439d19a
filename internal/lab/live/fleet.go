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

// fleet connects the nodes of a run that form a fleet. Everything but the relays belongs to the event loop.
type fleet struct {
	run    *run
	relays *faults.Relays
	file   string
	seen   map[[2]int]trace.Record // the last record of each pair
	active map[int]faults.Pattern  // the active faults, by index
}

// openFleet opens the relays and writes the fleet file of the nodes.
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

// begin records the views from before the start of the day, and schedules the faults.
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

// flap ends a fault; if each is set, it switches the fault on and off until the given time.
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

// set starts or ends a fault. Other active faults remain; later ones take precedence over earlier ones.
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

// remove performs an operator's removal of a member at one node.
func (f *fleet) remove(at, whom int) {
	n := f.run.nodes[at]
	if !n.up() {
		return
	}
	f.run.note(trace.Record{At: f.run.now(), What: trace.Removal, Node: at, EP: whom})
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
		if err != nil { // the node may just have been killed
			f.run.post(func() {
				f.run.note(trace.Record{At: f.run.now(), What: trace.Net, Result: "remove request failed: " + err.Error()})
			})
		}
	})
}

var memberLine = []byte(`msg="fleet: member" `)

// parseMemberLine parses a log line of a node that reports the state of another. It is called by the goroutine that writes the log.
func (f *fleet) parseMemberLine(me int, line []byte) {
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

// reportStray records, at the end, traffic that bypassed the relays.
func (f *fleet) reportStray() {
	if f == nil {
		return
	}
	if n := f.relays.Stray.Load(); n > 0 {
		f.run.note(trace.Record{At: f.run.now(), What: trace.ProtocolError, Result: fmt.Sprintf("%s: %d from unknown addresses", rules.RelayBypass, n)})
	}
}

// fleetLog passes a log on and parses its lines.
type fleetLog struct {
	to   interface{ Write([]byte) (int, error) }
	line []byte
	read func(line []byte)
}

// Write writes to the node's log, and parses its lines.
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
