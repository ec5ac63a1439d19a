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
	// dutyVoters is the duty of changing who votes on the registers.
	dutyVoters = "voters"
	// changeWait bounds one change of voters.
	changeWait = 2 * time.Second
	// leastSurvive is how many losses the voters bear at least, where no settings ask for more and machines suffice.
	leastSurvive = 1
	// behindMost is how long this keeper may lack a state that another one has reported and still grant leases.
	behindMost = 500 * time.Millisecond
)

// voterDuty is the duty of changing who votes, and what this keeper has observed of the voters. All keepers observe,
// so that one that takes the duty over knows already who has not been heard, and for how long.
type voterDuty struct {
	lease     *singleton.Candidate
	held      bool
	running   map[string]bool // registers whose voters are being changed
	observers map[string]*reconfigure.Observer
	behind    time.Time // since when others have reported newer states; zero: they have not
}

func newVoterDuty() voterDuty {
	d := voterDuty{lease: singleton.NewCandidate(rand.Float64), running: map[string]bool{}, observers: map[string]*reconfigure.Observer{}}
	for _, name := range registerNames {
		d.observers[name] = &reconfigure.Observer{}
	}
	return d
}

// changeVoters observes the voters and, while this keeper has the duty, changes them.
func (k *Keeper) changeVoters(now time.Time) {
	d := &k.voterDuty
	k.observeVoters(now)
	k.sendChangedReport()
	if k.contact.Holds(k.since(now)) {
		k.askLease(now, dutyVoters, d.lease)
	}
	if held := d.lease.Holds(k.since(now)); held != d.held {
		d.held = held
		k.log.Info("duty", "name", dutyVoters, "held", held)
	}
	if !d.held || k.leaving {
		return
	}
	for i, name := range registerNames {
		if !d.running[name] && !k.isBehind(i) {
			k.changeVotersOf(now, name)
		}
	}
}

// changeVotersOf proposes the change of a register's voters that comes next, if there is one.
func (k *Keeper) changeVotersOf(now time.Time, name string) {
	state, known := k.agree.state(name)
	if !known {
		return
	}
	change, found := reconfigure.Next(k.situation(now, name, state))
	if !found {
		return
	}
	k.voterDuty.running[name] = true
	k.agree.changeVoters(name, changeWait, change, state.Voters, func(_ paxos.State, err error) {
		k.post(func() { k.voterDuty.running[name] = false })
		k.logChange(name, change, err)
	})
}

// changeVoters makes one change of voters, unless they have changed since it was decided on.
func (a *agreement) changeVoters(name string, timeout time.Duration, change reconfigure.Change, decidedFor []paxos.Voter, done func(paxos.State, error)) {
	a.propose(name, timeout, func(current paxos.State) (paxos.State, error) {
		next, applied := change.Apply(current, decidedFor)
		if !applied {
			return current, paxos.ErrUnchanged
		}
		return next, nil
	}, done)
}

func (k *Keeper) logChange(name string, change reconfigure.Change, err error) {
	voterName := func(v *paxos.Voter) string {
		if v == nil {
			return "none"
		}
		return v.Name
	}
	k.log.Info("voters changed", "register", name, "reason", change.Reason, "old", voterName(change.Old), "new", voterName(change.New), "err", err)
}

// situation is what is known of a register's voters and of the keepers that could be voters.
func (k *Keeper) situation(now time.Time, name string, state paxos.State) reconfigure.Situation {
	settings := k.o.Settings
	limits := reconfigure.Limits{Survive: max(leastSurvive, settings.SurviveMachines), MostVoters: votersMost, GiveUpAfter: reconfigure.GiveUpAfter(settings.Bounds.CatchUp)}
	return k.voterDuty.observers[name].Situation(k.since(now), state, k.registerReports(name), limits)
}

// registerReports are what this keeper and those with a disk that are connected have reported, as to one register.
func (k *Keeper) registerReports(name string) []reconfigure.Report {
	register := slices.Index(registerNames, name)
	var reports []reconfigure.Report
	add := func(node controlclient.Node, report controlclient.KeeperReport) {
		if node.ID != 0 && len(report.Slots) > 0 {
			reports = append(reports, reconfigure.Report{Keeper: voterOf(node), Heard: report.Heard, Stored: report.Slots[register], Leaving: report.Leaving})
		}
	}
	add(k.self, k.report())
	for _, p := range k.peers {
		if p.conn != nil {
			add(p.node, p.report)
		}
	}
	return reports
}

// observeVoters notes which voters are not heard, and since when this keeper has been behind.
func (k *Keeper) observeVoters(now time.Time) {
	d := &k.voterDuty
	behind := false
	for i, name := range registerNames {
		state, _ := k.agree.state(name)
		d.observers[name].Observe(k.since(now), state, k.registerReports(name))
		behind = behind || k.isBehind(i)
	}
	switch {
	case !behind:
		d.behind = time.Time{}
	case d.behind.IsZero():
		d.behind = now
	}
}

// isBehind tells whether a connected keeper has reported a newer state of a register than is stored here, or nothing
// is known of it here.
func (k *Keeper) isBehind(register int) bool {
	stored := k.agree.slots()[register]
	for _, p := range k.peers {
		if p.conn != nil && len(p.report.Slots) > 0 && p.report.Slots[register] > stored {
			return true
		}
	}
	return stored == 0
}

// leaseVoters are the identities of those who grant leases: the voters of the configuration.
func (k *Keeper) leaseVoters() map[uint64]bool {
	state, _ := k.agree.state(configRegister)
	voters := map[uint64]bool{}
	for _, voter := range state.Voters {
		voters[voter.ID] = true
	}
	return voters
}

// mayGrant tells whether this keeper may grant a lease to another, or to itself: both vote by the newest state that is
// known, and this keeper is not behind. So a voter that was replaced neither grants a lease nor is granted one by those
// who know of it.
func (k *Keeper) mayGrant(now time.Time, holder uint64) bool {
	voters := k.leaseVoters()
	if !voters[k.agree.id] || !voters[holder] {
		return false
	}
	behind := k.voterDuty.behind
	return behind.IsZero() || now.Sub(behind) < behindMost
}
