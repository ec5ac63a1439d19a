package fleet

import (
	"fmt"
	"time"
)

// updateTable applies a step to the table and notifies handlers of the changes.
func (f *Fleet) updateTable(step func(t *Table, now time.Duration) []Change) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.mu.Lock()
	changes := step(f.table, f.options.Clock())
	if len(changes) > 0 {
		f.lastChange = f.options.Clock()
	}
	var over []*link
	for _, c := range changes {
		if l := f.links[c.Name]; l != nil && c.To.Departed() {
			over = append(over, l)
			delete(f.links, c.Name)
		}
	}
	f.mu.Unlock()
	for _, l := range over {
		l.close()
	}
	f.notifyChanges(changes)
}

func (f *Fleet) notifyChanges(changes []Change) {
	for _, c := range changes {
		f.options.Log.Info("fleet: member", "name", c.Name, "incarnation", c.Incarnation, "was", c.From, "is", c.To)
		for _, handle := range f.changeHandlers {
			handle(c)
		}
	}
}

// mergeRecords merges records of members. It returns those with a new departure, to be broadcast.
func (f *Fleet) mergeRecords(w gossipRecords) (fresh []Record) {
	f.updateTable(func(t *Table, now time.Duration) (all []Change) {
		for _, rec := range w.Records {
			if rec.Name == f.options.Name {
				f.addClaim(rec)
			}
			before, known := t.Member(rec.Name)
			all = append(all, t.Merge(rec, now)...)
			if after, _ := t.Member(rec.Name); known && (after.Left > before.Left || after.Removed > before.Removed) {
				fresh = append(fresh, after.Record)
			}
		}
		t.MergeSightings(w.Counts, now)
		return all
	})
	return fresh
}

// fullState returns all records and counts, for an exchange with another node.
func (f *Fleet) fullState() gossipRecords {
	f.mu.Lock()
	defer f.mu.Unlock()
	return gossipRecords{f.table.Records(), f.table.Sightings(f.options.Clock())}
}

func (f *Fleet) currentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Current()
}

// Self returns this node's own row.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := f.table.Member(f.options.Name)
	return m
}

// Members returns all known members, including departed ones and this node, sorted by name.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Members()
}

// Count returns the largest number of members that any current one has observed within CountHoldTime.
func (f *Fleet) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Count(f.options.Clock())
}

// Remove removes a member, up to its current incarnation, on behalf of an operator.
func (f *Fleet) Remove(name string) error {
	var rec Record
	var ok bool
	f.updateTable(func(t *Table, now time.Duration) (all []Change) {
		rec, all, ok = t.Remove(name, now)
		return all
	})
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	f.mu.Lock()
	g := f.gossip
	f.mu.Unlock()
	if g != nil {
		g.broadcastRecord(rec)
	}
	return nil
}
