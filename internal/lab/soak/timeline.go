package soak

import (
	"slices"
	"sync"
	"time"

	"dunetide/internal/lab/tier/cluster"
)

// machine is an address and whether it counts for the core: its keeper or store has a disk.
type machine struct {
	core bool
}

func machinesOf(c *cluster.Cluster) map[string]machine {
	all := map[string]machine{}
	for _, p := range c.Processes() {
		m := all[p.Address()]
		m.core = m.core || p.Role != cluster.Proxy && p.HasDisk()
		all[p.Address()] = m
	}
	return all
}

// span is a trouble at a machine.
type span struct {
	what     string
	address  string
	from, to time.Time // to is zero while it lasts
}

// timeline is what happened to machines, and when. By it a machine is in touch or not, as the rules have it.
type timeline struct {
	machines map[string]machine
	mu       sync.Mutex
	spans    []*span
}

// begin notes a trouble at the machine of a process; what it returns ends it.
func (t *timeline) begin(what string, p *cluster.Process) (end func()) {
	return t.beginAt(what, p.Address())
}

func (t *timeline) beginAt(what, address string) (end func()) {
	s := &span{what: what, address: address, from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.to = time.Now()
	}
}

// touch notes a trouble of a moment.
func (t *timeline) touch(what string, p *cluster.Process) { t.begin(what, p)() }

// inTouch reports whether a machine had no trouble of its own in the time before a moment, and the core was stable then: none of its
// machines came into trouble or out of it, and more than half of them were without.
func (t *timeline) inTouch(address string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := at.Add(-inTouch)
	within := func(moment time.Time) bool { return !moment.IsZero() && moment.After(since) && !moment.After(at) }
	troubled := map[string]bool{}
	for _, s := range t.spans {
		overlaps := !s.from.After(at) && (s.to.IsZero() || s.to.After(since))
		if s.address == address && overlaps {
			return false
		}
		if !t.machines[s.address].core || !overlaps {
			continue
		}
		if within(s.from) || within(s.to) {
			return false
		}
		troubled[s.address] = true
	}
	core := 0
	for _, m := range t.machines {
		if m.core {
			core++
		}
	}
	return 2*len(troubled) < core
}

// before describes what happened around a moment, for people.
func (t *timeline) before(at time.Time, reach time.Duration) (all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.from.Before(at) && (s.to.IsZero() || s.to.After(at.Add(-reach))) {
			all = append(all, s.what+" at "+s.address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// drains are endpoints whose end was acknowledged.
type drains struct {
	mu    sync.Mutex
	acked map[string]time.Time
}

// watch notes when an endpoint's end was acknowledged; zero: never.
func (d *drains) watch(id string, acked time.Time) {
	if acked.IsZero() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.acked == nil {
		d.acked = map[string]time.Time{}
	}
	d.acked[id] = acked
}

func (d *drains) of(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	acked, there := d.acked[id]
	return acked, there
}

// misdirected has endpoints that leave report to machines that are cut off.
type misdirected struct {
	mu       sync.Mutex
	machines []string // that are cut off
	leaving  int      // endpoints that are lured
}

func (l *misdirected) to(machines []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machines = machines
}

func (l *misdirected) endpoint(begins bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if begins {
		l.leaving++
	} else {
		l.leaving--
	}
}

// controls orders the addresses that take heartbeats: those of machines that are cut off first while an endpoint is lured.
func (l *misdirected) controls(c *cluster.Cluster) func() []string {
	return func() []string {
		l.mu.Lock()
		cut, leaving := l.machines, l.leaving
		l.mu.Unlock()
		var first, rest []string
		for _, p := range c.Processes() {
			switch {
			case p.Role != cluster.Keeper:
			case leaving > 0 && slices.Contains(cut, p.Address()):
				first = append(first, p.ReachedControl())
			default:
				rest = append(rest, p.ReachedControl())
			}
		}
		return append(first, rest...)
	}
}
