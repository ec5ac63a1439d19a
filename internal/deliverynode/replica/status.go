package replica

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is the state of the copies at one node, for operators.
type Status struct {
	Mode    string       `json:"mode"`
	Wanted  int          `json:"copies_wanted"`
	Works   []WorkStatus `json:"logs"`
	Copies  []CopyStatus `json:"copies_held"`
	Slots   int          `json:"room_for"`
	Missing []string     `json:"silent_members"` // unreachable members: other nodes are asked about the ids of incoming messages
	// Known is the number of nodes that have reported messages of each of these members.
	Known map[string]int `json:"silent_members_copies"`
}

// WorkStatus is the state of a log that this node works on.
type WorkStatus struct {
	Owner   string           `json:"owner"`
	Log     string           `json:"log"`
	Own     bool             `json:"own"`
	Acting  bool             `json:"acting"`
	Why     string           `json:"why,omitempty"` // why this node does not work on it
	Token   uint64           `json:"token"`
	LeaseS  float64          `json:"lease_left_s"`
	Live    int              `json:"owed"`
	Doubted int              `json:"in_doubt"`
	Holders []string         `json:"copies_at"` // the copies that count
	Changes uint64           `json:"lag_changes"`
	LagMs   float64          `json:"lag_ms"`
	Promise bool             `json:"promise_holds"` // there are enough copies, within the allowed lag
	Stats   SourceStats      `json:"since_start"`
	Told    []FollowerStatus `json:"told"`
}

// FollowerStatus is the state of one copy of a log that this node works on.
type FollowerStatus struct {
	Name     string  `json:"name"`
	Complete bool    `json:"complete"`
	Behind   uint64  `json:"behind"`
	Heard    float64 `json:"heard_s"`
	Why      string  `json:"why,omitempty"`
}

// CopyStatus is the state of a copy that this node holds.
type CopyStatus struct {
	Owner    string  `json:"owner"`
	Log      string  `json:"log"`
	Writer   string  `json:"writer"`
	Token    uint64  `json:"token"`
	Entries  int     `json:"messages"`
	Bytes    int64   `json:"bytes"`
	Complete bool    `json:"complete"`
	Silent   float64 `json:"silent_s"`
	Same     float64 `json:"compared_s,omitempty"` // seconds since it was last found equal to its writer's log
	Taking   bool    `json:"being_taken_over"`
}

// Status returns the state of all logs and copies.
func (k *Keeper) Status() Status {
	s := Status{Mode: k.options.Settings.Mode, Wanted: k.options.Copies, Works: []WorkStatus{}, Copies: []CopyStatus{}, Slots: k.options.Slots, Missing: []string{}, Known: map[string]int{}}
	k.mu.Lock()
	works, held := slices.Collect(maps.Values(k.works)), slices.Collect(maps.Values(k.copies))
	s.Missing = append(s.Missing, slices.Sorted(maps.Keys(k.missing))...)
	for name, m := range k.missing {
		s.Known[name] = len(m.holders)
	}
	k.mu.Unlock()
	now := k.options.Clock()
	for _, w := range works {
		s.Works = append(s.Works, w.status(now))
	}
	for _, h := range held {
		h.mu.Lock()
		c := h.copy
		cs := CopyStatus{Owner: c.meta.Owner, Log: fmt.Sprintf("%016x", c.meta.Log), Writer: h.writer, Token: c.meta.Token,
			Entries: len(c.entries), Bytes: c.journal.Status().Bytes, Complete: c.meta.Complete, Silent: (now - c.heard).Seconds(), Taking: h.taking}
		if c.comparedAt > 0 {
			cs.Same = (now - c.comparedAt).Seconds()
		}
		h.mu.Unlock()
		s.Copies = append(s.Copies, cs)
	}
	slices.SortFunc(s.Works, func(a, b WorkStatus) int { return strings.Compare(a.Owner+a.Log, b.Owner+b.Log) })
	slices.SortFunc(s.Copies, func(a, b CopyStatus) int { return strings.Compare(a.Owner+a.Log, b.Owner+b.Log) })
	return s
}

func (w *Work) status(now time.Duration) WorkStatus {
	live := w.journal.Status().Live
	w.mu.Lock()
	defer w.mu.Unlock()
	s := WorkStatus{Owner: w.owner, Log: fmt.Sprintf("%016x", w.log), Own: w.own, Acting: w.acting, Why: w.why, Token: w.source.token,
		Live: live, Doubted: w.doubted, Holders: append([]string{}, w.source.noted...), Promise: w.acting && w.lagSince == 0, Stats: w.source.stats,
		Told: []FollowerStatus{}}
	if w.lease != nil {
		_, left := w.lease.Held()
		s.LeaseS = left.Seconds()
	}
	changes, age := w.source.Lag(now)
	s.Changes, s.LagMs = changes, float64(age.Microseconds())/1000
	for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
		f := w.source.followers[name]
		s.Told = append(s.Told, FollowerStatus{name, f.complete, w.source.version - min(f.at, w.source.version), (now - f.heardAt).Seconds(), f.why})
	}
	return s
}
