package main

import (
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
)

const (
	// recordDrainTimeout is how long a proxy that shuts down waits for stores to accept the records
	// of its regulated runs.
	recordDrainTimeout = 300 * time.Millisecond
	// regulatedLogInterval is the minimum interval between logs of the counts of regulated work,
	// which are logged only if they have changed.
	regulatedLogInterval = 10 * time.Second
)

// regulatedWork is the component of a proxy that enforces certificates and records regulated runs.
type regulatedWork struct {
	process   *process
	snapshots *snapshot.Latest
	gate      *certification.Gate
	recorder  *audit.Recorder

	// Used only by the goroutine that calls logCounts.
	logged            map[string]certification.Counts // by regime
	loggedAt          time.Time
	certificatesFresh bool
}

// newRegulatedWork returns a proxy's regulatedWork. The function lastConfirmed returns when a keeper
// last confirmed the certificates.
func newRegulatedWork(p *process, snapshots *snapshot.Latest, lastConfirmed func() time.Time) *regulatedWork {
	r := &regulatedWork{process: p, snapshots: snapshots, logged: map[string]certification.Counts{}}
	r.gate = certification.NewGate(certification.GateOptions{
		LastConfirmed:   lastConfirmed,
		ConfirmationTTL: p.settings.Bounds.Drain,
	})
	r.recorder = audit.NewRecorder(audit.RecorderOptions{
		NodeName:       p.settings.NodeName,
		Incarnation:    uint64(time.Now().UnixNano()),
		Zone:           p.settings.Zone,
		RequiredStores: p.settings.SurviveMachines + 1,
		Log:            p.log,
		Stores:         r.stores,
	})
	return r
}

// stores returns the stores that accept records: all that are not retiring.
func (r *regulatedWork) stores() (all []snapshot.Store) {
	snap := r.snapshots.Get()
	if snap == nil || snap.Table == nil {
		return nil
	}
	for id, store := range snap.Table.Stores {
		if !snap.Table.Retiring[id] {
			all = append(all, store)
		}
	}
	return all
}

// logCounts logs whether the certificates are confirmed, if that has changed, and the counts of
// regulated work.
func (r *regulatedWork) logCounts() {
	current := r.gate.Current()
	if current == nil {
		return
	}
	if fresh := r.gate.Confirmed(); fresh != r.certificatesFresh {
		r.certificatesFresh = fresh
		if fresh {
			r.process.log.Info("certificates confirmed", "version", current.Version)
		} else {
			r.process.log.Warn("certificates not confirmed by any keeper: no endpoint counts as certified",
				"version", current.Version,
				"for_longer_than", r.process.settings.Bounds.Drain)
		}
	}
	if time.Since(r.loggedAt) < regulatedLogInterval {
		return
	}
	r.loggedAt = time.Now()
	for _, c := range r.gate.CountsByRegime() {
		if r.logged[c.Regime] == c.Counts {
			continue
		}
		r.logged[c.Regime] = c.Counts
		r.process.log.Info("regulated work",
			"regime", c.Regime,
			"certificates", current.Version,
			"runs", c.Runs,
			"refused", c.Refused,
			"waited", c.Waited,
			"given_up", c.Abandoned,
			"stopped", c.Invalidated,
			"not_recorded_yet", r.recorder.Pending())
	}
}
