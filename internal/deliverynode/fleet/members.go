package fleet

import (
	"fmt"
	"time"
)

// updateTable steps the table and tells what changed.
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
		for _, hear := range f.changeHandlers {
			hear(c)
		}
	}
}

// mergeRecords takes in words; those that it returns were new, and others should hear them.
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

// fullState is all that others may know.
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

// Self is this node as the others should see it.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := f.table.Member(f.options.Name)
	return m
}

// Members are all that are known, the gone and this node among them, by name.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Members()
}

// Count is the largest number of members that any current one has seen within CountTime.
func (f *Fleet) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Count(f.options.Clock())
}

// Remove says, by the staff's word, that a member is gone in its present incarnation.
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
