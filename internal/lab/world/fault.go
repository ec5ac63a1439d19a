package world

import (
	"math"
	"time"

	"dunetide/internal/lab/trace"
)

// applyFault starts a fault.
func (w *World) applyFault(t Fault) {
	if t.OnNodes {
		for i, n := range t.Targets {
			w.at(t.From+time.Duration(i)*t.Each, func() {
				w.note(trace.Record{At: w.now, What: trace.Fault, Result: t.What, Node: n, Until: t.Until})
				w.host.ApplyNodeFault(w.now, t, n)
			})
		}
		return
	}
	for _, n := range t.Targets {
		r := trace.Record{At: w.now, What: trace.Fault, Result: t.What, Until: t.Until, EP: n}
		if t.What == "lower" || t.What == "hot" {
			r.EP, r.Dest = 0, n
		}
		w.note(r)
		w.begin(t, n)
	}
}

func (w *World) begin(t Fault, n int) {
	switch t.What {
	case "lower":
		w.dests[n].factor = t.Size
		w.at(t.Until, func() { w.dests[n].factor = 1 })
		return
	case "hot":
		return // drawn into the messages by Day.heat
	case "drain", "gone":
		w.leave(t, n)
		return
	}
	e := &w.eps[n]
	d := w.Day.Endpoints[n].Dest
	switch t.What {
	case "slow":
		e.slow = t.Size
		w.at(t.Until, func() { e.slow = 1 })
		return
	case "pauses":
		w.pause(t, n)
		return
	case "down":
		e.down = true
		w.breakCalls(n)
	case "silent":
		e.silent = true
	case "hang":
		e.hang = true
	case "shut":
		e.shut = t.Until
	case "errors":
		e.errs = t.Size
	}
	w.updateDialResult(n)
	if o := &w.dests[d]; !o.outage {
		o.outage, o.cold, o.sawOutage = true, false, map[int]bool{}
	}
	w.at(t.Until, func() { w.endOutage(t, n) })
}

// breakCalls breaks off all calls of an endpoint.
func (w *World) breakCalls(n int) {
	e := &w.eps[n]
	served, waiting := e.served, e.waiting
	e.served, e.waiting, e.busy = nil, nil, 0
	for _, c := range served {
		c.serving = false
		w.breakOff(c)
	}
	for _, c := range waiting {
		w.breakOff(c)
	}
}

// endOutage ends an outage; from then on the destination is cold.
func (w *World) endOutage(t Fault, n int) {
	e := &w.eps[n]
	d := &w.dests[w.Day.Endpoints[n].Dest]
	if d.collapsed {
		return
	}
	switch t.What {
	case "down":
		e.down = false
	case "silent":
		e.silent = false
	case "hang":
		e.hang = false
	case "errors":
		e.errs = w.Day.Endpoints[n].ErrorRate
	}
	if t.What == "silent" || t.What == "hang" {
		// Calls accepted meanwhile are never answered; their connections break.
		for _, c := range e.held {
			w.breakOff(c)
		}
		e.held = nil
	}
	if d.outage {
		d.outage, d.cold, d.coldSince, d.reached = false, true, w.now, nil
	}
	w.updateDialResult(n)
	w.note(trace.Record{At: w.now, What: trace.Fault, Result: "end of " + t.What, EP: n})
}

// warmth returns the share of its capacity that a destination currently has.
func (w *World) warmth(n int) float64 {
	d := &w.dests[n]
	if !d.cold {
		return 1
	}
	since := w.now - d.coldSince
	if since >= w.Day.WarmUp {
		d.cold, d.reached = false, nil
		return 1
	}
	return w.Day.ColdFrom + (1-w.Day.ColdFrom)*float64(since)/float64(w.Day.WarmUp)
}

// countColdArrival counts calls that reach a cold destination. The destination collapses if a window exceeds the budget by more than two
// standard deviations of random arrivals.
func (w *World) countColdArrival(n, node int) {
	d := &w.dests[n]
	if d.outage || d.collapsed || w.warmth(n) >= 1 {
		return
	}
	rules := w.Day.Scenario.Rules
	window := millis(rules.FallMs)
	d.reached = append(d.reached, arrival{w.now, node})
	for d.reached[0].at <= w.now-window {
		d.reached = d.reached[1:]
	}
	budget := rules.FallMultiple * w.Day.Dests[n].Capacity * w.warmth(n) * window.Seconds()
	if float64(len(d.reached)) <= budget+2*math.Sqrt(budget)+1 {
		return
	}
	knew := 0
	for _, a := range d.reached {
		if d.sawOutage[a.node] {
			knew++
		}
	}
	d.collapsed = true
	w.note(trace.Record{At: w.now, What: trace.Collapsed, Dest: n, Share: float64(knew) / float64(len(d.reached))})
	for _, ep := range w.Day.Dests[n].Endpoints {
		w.eps[ep].down = true
		w.updateDialResult(ep)
		w.breakCalls(ep)
	}
}

func (w *World) pause(t Fault, n int) {
	if w.now >= t.Until {
		return
	}
	e := &w.eps[n]
	e.paused = w.now + millis(t.Size)
	each := max(t.Each, 10*time.Millisecond)
	w.at(e.paused+each, func() { w.pause(t, n) })
}

// leave removes an endpoint from discovery: each node is notified after its own delay, and the endpoint shuts down a grace period
// after the last notification.
func (w *World) leave(t Fault, n int) {
	e := &w.eps[n]
	tell := func(phase Phase) time.Duration {
		latest := w.now
		for node := range w.Day.Nodes {
			r := Random(w.Day.Seed, "notice", uint64(n), uint64(node))
			at := w.now + seconds(draw(r, w.Day.Scenario.Discovery.NoticeS))
			latest = max(latest, at)
			w.at(at, func() {
				w.reported[node][n] = phase
				w.note(trace.Record{At: w.now, What: trace.PhaseReported, Node: node, EP: n, Result: string(phase)})
				w.host.Listed(w.now, node, []int{n})
			})
		}
		return latest
	}
	if t.What == "gone" {
		e.phase, e.down = Left, true
		w.updateDialResult(n)
		w.breakCalls(n)
		tell(Left)
		return
	}
	e.phase = Leaving
	grace := millis(w.Day.Scenario.Rules.DrainGraceMs)
	w.at(tell(Leaving)+2*grace, func() {
		e.phase, e.down = Left, true
		w.updateDialResult(n)
		w.breakCalls(n)
		tell(Left)
	})
}
