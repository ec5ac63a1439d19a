package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/consensus/reconfigure"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/controlclient"
)

const (
	// votersRole is the singleton role that changes the voters of the registers. The name is on the wire.
	votersRole = "voters"
	// voterChangeTimeout bounds one change of voters.
	voterChangeTimeout = 2 * time.Second
	// minSurvivableLosses is the minimum number of machine losses that the voters must survive, if there are enough
	// machines.
	minSurvivableLosses = 1
	// maxBehind is how long this keeper may lack a state that another one has reported before it stops granting
	// leases.
	maxBehind = 500 * time.Millisecond
)

// voterManager is the singleton role that changes the voters of the registers, with this keeper's observations of the
// voters. All keepers observe them, so that a keeper that acquires the lease already knows which voters are
// unresponsive, and for how long.
type voterManager struct {
	lease       *singleton.Candidate
	hasLease    bool                             // as of the last step
	changing    map[string]bool                  // registers whose voters are being changed
	observers   map[string]*reconfigure.Observer // by register
	behindSince time.Time                        // since when this keeper has been behind; zero: it isn't
}

func newVoterManager() voterManager {
	m := voterManager{
		lease:     singleton.NewCandidate(rand.Float64),
		changing:  map[string]bool{},
		observers: map[string]*reconfigure.Observer{},
	}
	for _, name := range registerNames {
		m.observers[name] = &reconfigure.Observer{}
	}
	return m
}

// stepVoterManager observes the voters, maintains the lease and, while this keeper holds it, changes the voters.
func (k *Keeper) stepVoterManager(now time.Time) {
	m := &k.voterManager
	k.observeVoters(now)
	k.broadcastChangedReport()
	m.hasLease = k.maintainLease(now, votersRole, m.lease, m.hasLease)
	if !m.hasLease || k.shuttingDown {
		return
	}
	for i, name := range registerNames {
		if !m.changing[name] && !k.isBehind(i) {
			k.proposeVoterChange(now, name)
		}
	}
}

// proposeVoterChange proposes the next change of a register's voters, if there is one.
func (k *Keeper) proposeVoterChange(now time.Time, name string) {
	state, known := k.registers.state(name)
	if !known {
		return
	}
	change, found := reconfigure.NextChange(k.voterSituation(now, name, state))
	if !found {
		return
	}
	k.voterManager.changing[name] = true
	k.registers.changeVoters(name, voterChangeTimeout, change, state.Voters, func(_ paxos.State, err error) {
		k.post(func() { k.voterManager.changing[name] = false })
		k.logVoterChange(name, change, err)
	})
}

// changeVoters applies a change of voters, unless the voters are no longer those that the change was determined for.
func (rs *registerSet) changeVoters(
	name string, timeout time.Duration, change reconfigure.Change, decidedFor []paxos.Voter, done resultFunc,
) {
	rs.propose(name, timeout, func(current paxos.State) (paxos.State, error) {
		next, applied := change.Apply(current, decidedFor)
		if !applied {
			return current, paxos.ErrUnchanged
		}
		return next, nil
	}, done)
}

func (k *Keeper) logVoterChange(name string, change reconfigure.Change, err error) {
	voterName := func(v *paxos.Voter) string {
		if v == nil {
			return "none"
		}
		return v.Name
	}
	k.log.Info("voter change", "register", name, "reason", change.Reason,
		"old", voterName(change.Old), "new", voterName(change.New), "err", err)
}

// voterSituation returns what is known about a register's voters and about the keepers that could become voters.
func (k *Keeper) voterSituation(now time.Time, name string, state paxos.State) reconfigure.Situation {
	settings := k.options.Settings
	limits := reconfigure.Limits{
		MaxFailures:         max(minSurvivableLosses, settings.SurviveMachines),
		MaxVoters:           maxVoters,
		UnresponsiveTimeout: reconfigure.UnresponsiveTimeout(settings.Bounds.CatchUp),
	}
	return k.voterManager.observers[name].Situation(k.sinceStart(now), state, k.registerReports(name), limits)
}

// registerReports returns the reports on a register by this keeper and by the connected ones, for those with a disk.
func (k *Keeper) registerReports(name string) []reconfigure.Report {
	register := slices.Index(registerNames, name)
	var reports []reconfigure.Report
	add := func(node controlclient.Node, report controlclient.KeeperReport) {
		if node.ID != 0 && len(report.DecidedSlots) > 0 {
			reports = append(reports, reconfigure.Report{
				Keeper:    voterOf(node),
				Connected: report.ConnectedVoters,
				NextSlot:  report.DecidedSlots[register],
				Leaving:   report.Stopping,
			})
		}
	}
	add(k.self, k.currentReport())
	for _, p := range k.peers {
		if p.conn != nil {
			add(p.node, p.report)
		}
	}
	return reports
}

// observeVoters records which voters are unresponsive, and since when this keeper has been behind.
func (k *Keeper) observeVoters(now time.Time) {
	m := &k.voterManager
	behind := false
	for i, name := range registerNames {
		state, _ := k.registers.state(name)
		m.observers[name].Observe(k.sinceStart(now), state, k.registerReports(name))
		behind = behind || k.isBehind(i)
	}
	switch {
	case !behind:
		m.behindSince = time.Time{}
	case m.behindSince.IsZero():
		m.behindSince = now
	}
}

// observeDecided records who votes in a newly decided state of a register.
func (k *Keeper) observeDecided(name string, decided paxos.State) {
	k.voterManager.observers[name].ObserveDecided(decided, k.registerReports(name))
}

// isBehind reports whether a connected keeper has stored a newer state of a register than this one, or this one has
// stored none. The register is given as its index in registerNames.
func (k *Keeper) isBehind(register int) bool {
	stored := k.registers.storedSlotNumbers()[register]
	for _, p := range k.peers {
		if p.conn != nil && len(p.report.DecidedSlots) > 0 && p.report.DecidedSlots[register] > stored {
			return true
		}
	}
	return stored == 0
}
