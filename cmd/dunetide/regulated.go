package main

import (
	"time"

	"dunetide/internal/batch/audit"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
)

const (
	// recordWait is how long a proxy that stops waits for stores to take the record of its regulated runs.
	recordWait = 300 * time.Millisecond
	// tellEvery is how often the counts of regulated work go into the log, where they have changed.
	tellEvery = 10 * time.Second
)

// regulated is the side of a proxy that keeps to certificates.
type regulated struct {
	p        *process
	gate     *certification.Gate
	recorder *audit.Recorder
	told     map[string]certification.Counts
	toldAt   time.Time
	fresh    bool
}

func newRegulated(p *process, holder *snapshot.Latest, confirmed func() time.Time) *regulated {
	s := p.settings
	return &regulated{p: p, told: map[string]certification.Counts{},
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
func (r *regulated) tell() {
	if r.gate.Current() == nil {
		return
	}
	if fresh := r.gate.Confirmed(); fresh != r.fresh {
		r.fresh = fresh
		if fresh {
			r.p.log.Info("certificates confirmed", "version", r.gate.Current().Version)
		} else {
			r.p.log.Warn("no keeper confirms the certificates: nobody counts as certified", "version", r.gate.Current().Version, "for_longer_than", r.p.settings.Bounds.Drain)
		}
	}
	if time.Since(r.toldAt) < tellEvery {
		return
	}
	r.toldAt = time.Now()
	for _, c := range r.gate.CountsByRegime() {
		if r.told[c.Regime] != c.Counts {
			r.told[c.Regime] = c.Counts
			r.p.log.Info("regulated work", "regime", c.Regime, "certificates", r.gate.Current().Version, "runs", c.Runs, "refused", c.Refused,
				"waited", c.Waited, "given_up", c.Abandoned, "stopped", c.Stopped, "not_recorded_yet", r.recorder.Pending())
		}
	}
}
