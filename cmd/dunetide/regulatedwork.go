package main

import (
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
)

const (
	// recordWait is how long a proxy that stops waits for stores to take the record of its regulated runs.
	recordDrainTimeout = 300 * time.Millisecond
	// tellEvery is how often the counts of regulated work go into the log, where they have changed.
	regulatedLogInterval = 10 * time.Second
)

// regulated is the side of a proxy that keeps to certificates.
type regulatedWork struct {
	process           *process
	gate              *certification.Gate
	recorder          *audit.Recorder
	logged            map[string]certification.Counts
	loggedAt          time.Time
	certificatesFresh bool
}

func newRegulatedWork(p *process, holder *snapshot.Latest, confirmed func() time.Time) *regulatedWork {
	s := p.settings
	return &regulatedWork{process: p, logged: map[string]certification.Counts{},
		gate: certification.NewGate(certification.GateOptions{LastConfirmed: confirmed, ConfirmationTTL: s.Bounds.Drain}),
		recorder: audit.NewRecorder(audit.RecorderOptions{NodeName: s.NodeName, Incarnation: uint64(time.Now().UnixNano()), Zone: s.Zone, RequiredStores: s.SurviveMachines + 1,
			Log: p.log, Stores: func() (all []snapshot.Store) {
				snap := holder.Get()
				if snap == nil || snap.Table == nil {
					return nil
				}
				for id, store := range snap.Table.Stores {
					if !snap.Table.Retiring[id] {
						all = append(all, store)
					}
				}
				return all
			}})}
}

// tell writes the counts of regulated work into the log.
func (r *regulatedWork) logCounts() {
	if r.gate.Current() == nil {
		return
	}
	if fresh := r.gate.Confirmed(); fresh != r.certificatesFresh {
		r.certificatesFresh = fresh
		if fresh {
			r.process.log.Info("certificates confirmed", "version", r.gate.Current().Version)
		} else {
			r.process.log.Warn("no keeper confirms the certificates: nobody counts as certified", "version", r.gate.Current().Version, "for_longer_than", r.process.settings.Bounds.Drain)
		}
	}
	if time.Since(r.loggedAt) < regulatedLogInterval {
		return
	}
	r.loggedAt = time.Now()
	for _, c := range r.gate.CountsByRegime() {
		if r.logged[c.Regime] != c.Counts {
			r.logged[c.Regime] = c.Counts
			r.process.log.Info("regulated work", "regime", c.Regime, "certificates", r.gate.Current().Version, "runs", c.Runs, "refused", c.Refused,
				"waited", c.Waited, "given_up", c.Abandoned, "stopped", c.Stopped, "not_recorded_yet", r.recorder.Pending())
		}
	}
}
