package soak

import (
	"slices"
	"sync"
	"time"

	"dunetide/internal/lab/tier/cluster"
)

// machine is one address of the tier. It belongs to the core if its keeper or store has a disk.
type machine struct {
	core bool
}

// machinesOf returns the machines of a cluster by their addresses.
func machinesOf(c *cluster.Cluster) map[string]machine {
	all := map[string]machine{}
	for _, p := range c.Processes() {
		m := all[p.Address()]
		m.core = m.core || p.Role != cluster.Proxy && p.HasDisk()
		all[p.Address()] = m
	}
	return all
}

// span is the time during which a machine had a fault.
type span struct {
	kind     string
	address  string
	from, to time.Time // to is zero while the fault lasts
}

// timeline records the faults of machines. The rules apply only to machines that are in touch according to it.
type timeline struct {
	machines map[string]machine
	mu       sync.Mutex
	spans    []*span
	terms    []termination
}

// termination records a SIGTERM to a process.
type termination struct {
	process *cluster.Process
	at      time.Time
}

// recordTerm records that a process is about to get SIGTERM.
func (t *timeline) recordTerm(p *cluster.Process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terms = append(t.terms, termination{p, time.Now()})
}

// terminatedBefore returns when the proxy of a front last got SIGTERM within the time reach before the given moment.
func (t *timeline) terminatedBefore(front string, moment time.Time, reach time.Duration) (at time.Time, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, term := range t.terms {
		if term.process.Role != cluster.Proxy || term.process.ReachedFront() != front {
			continue
		}
		if !term.at.After(moment) && moment.Sub(term.at) <= reach && term.at.After(at) {
			at, found = term.at, true
		}
	}
	return at, found
}

// begin records the start of a fault at the machine of a process; the returned function records its end.
func (t *timeline) begin(kind string, p *cluster.Process) (end func()) {
	return t.beginAt(kind, p.Address())
}

// beginAt is begin for the machine at an address.
func (t *timeline) beginAt(kind, address string) (end func()) {
	s := &span{kind: kind, address: address, from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.to = time.Now()
	}
}

// recordInstant records a fault without duration.
func (t *timeline) recordInstant(kind string, p *cluster.Process) { t.begin(kind, p)() }

// inTouch reports whether, during the time inTouch before a moment, a machine had no fault of its own and the core was
// stable: no fault began or ended at a core machine, and more than half of the core machines had none.
func (t *timeline) inTouch(address string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := at.Add(-inTouch)
	within := func(moment time.Time) bool { return !moment.IsZero() && moment.After(since) && !moment.After(at) }
	faulty := map[string]bool{}
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
		faulty[s.address] = true
	}
	core := 0
	for _, m := range t.machines {
		if m.core {
			core++
		}
	}
	return 2*len(faulty) < core
}

// before describes the faults during the time reach before a moment, for people.
func (t *timeline) before(at time.Time, reach time.Duration) (all []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if s.from.Before(at) && (s.to.IsZero() || s.to.After(at.Add(-reach))) {
			all = append(all, s.kind+" at "+s.address)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}
