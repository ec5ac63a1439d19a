package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/agree"
	"dunetide/internal/duty"
	"dunetide/internal/reconfigure"
)

const (
	// dutyVoters is the duty of changing who votes on the registers.
	dutyVoters = "voters"
	// changeWait bounds one change of voters.
	changeWait = 2 * time.Second
	// behindMost is how long this keeper may lack a state that another one has reported and still grant leases.
	behindMost = 500 * time.Millisecond
)

// voterDuty is the duty of changing who votes, and what this keeper has observed of the voters. All keepers observe,
// so that one that takes the duty over knows already who has not been heard, and for how long.
type voterDuty struct {
	lease   *duty.Candidate
	held    bool
	running map[string]bool                 // registers whose voters are being changed
	unheard map[string]map[uint64]time.Time // by register: since when a majority has reported not to hear a voter
	behind  time.Time                       // since when others have reported newer states; zero: they have not
}

func newVoterDuty() voterDuty {
	return voterDuty{lease: duty.NewCandidate(rand.Float64), running: map[string]bool{}, unheard: map[string]map[uint64]time.Time{}}
}

// changeVoters observes the voters and, while this keeper has the duty, changes them.
func (k *Keeper) changeVoters(now time.Time) {
	d := &k.voterDuty
	k.observeVoters(now)
	k.sendChangedReport()
	if k.contact.MayServe(k.since(now)) {
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
	k.agree.changeVoters(name, changeWait, change, state.Voters, func(_ agree.State, err error) {
		k.post(func() { k.voterDuty.running[name] = false })
		k.logChange(name, change, err)
	})
}

// changeVoters makes one change of voters, unless they have changed since it was decided on.
func (a *agreement) changeVoters(name string, timeout time.Duration, change reconfigure.Change, decidedFor []agree.Voter, done func(agree.State, error)) {
	a.propose(name, timeout, func(current agree.State) (agree.State, error) {
		next, applied := change.Apply(current, decidedFor)
		if !applied {
			return current, agree.ErrUnchanged
		}
		return next, nil
	}, done)
}

func (k *Keeper) logChange(name string, change reconfigure.Change, err error) {
	voterName := func(v *agree.Voter) string {
		if v == nil {
			return "none"
		}
		return v.Name
	}
	k.log.Info("voters changed", "register", name, "reason", change.Reason, "old", voterName(change.Old), "new", voterName(change.New), "err", err)
}

// situation is what is known of a register's voters and of the keepers that could be voters.
func (k *Keeper) situation(now time.Time, name string, state agree.State) reconfigure.Situation {
	s := reconfigure.Situation{Survive: k.o.Settings.SurviveMachines, MostVoters: votersMost, GiveUpAfter: reconfigure.GiveUpAfter(k.o.Settings.Bounds.CatchUp)}
	contacts := k.contacts(state.Voters)
	for _, voter := range state.Voters {
		known := reconfigure.Voter{Voter: voter, Heard: contacts[voter.ID].heard}
		if since, unheard := k.voterDuty.unheard[name][voter.ID]; unheard {
			known.UnheardFor = now.Sub(since)
		}
		s.Voters = append(s.Voters, known)
	}
	if k.agree.id != 0 {
		s.Keepers = append(s.Keepers, reconfigure.Keeper{Voter: voterOf(k.self), CaughtUp: true, Leaving: k.leaving})
	}
	register := slices.Index(registerNames, name)
	for _, p := range k.peers {
		if p.conn == nil || p.node.ID == 0 || len(p.report.Slots) == 0 {
			continue
		}
		caughtUp := p.report.Slots[register] > state.Slot
		s.Keepers = append(s.Keepers, reconfigure.Keeper{Voter: voterOf(p.node), CaughtUp: caughtUp, Leaving: p.report.Leaving})
	}
	return s
}

// voterContact is what the voters report of one of them.
type voterContact struct{ heard, unheard bool }

// contacts tells which voters a majority hears, itself included, and which ones a majority reports not to hear.
func (k *Keeper) contacts(voters []agree.Voter) map[uint64]voterContact {
	reports := k.voterReports(voters)
	majority := reconfigure.Majority(len(voters))
	contacts := map[uint64]voterContact{}
	for _, voter := range voters {
		hearing, notHearing := 0, 0
		for reporter, heard := range reports {
			switch {
			case reporter == voter.ID:
			case slices.Contains(heard, voter.ID):
				hearing++
			default:
				notHearing++
			}
		}
		if hearing > 0 || voter.ID == k.agree.id {
			hearing++ // it runs, so it hears itself
		}
		contacts[voter.ID] = voterContact{heard: hearing >= majority, unheard: notHearing >= majority}
	}
	return contacts
}

// voterReports are the identities that each voter hears, by the identity of the voter.
func (k *Keeper) voterReports(voters []agree.Voter) map[uint64][]uint64 {
	isVoter := map[uint64]bool{}
	for _, voter := range voters {
		isVoter[voter.ID] = true
	}
	reports := map[uint64][]uint64{}
	if isVoter[k.agree.id] {
		reports[k.agree.id] = k.report().Heard
	}
	for _, p := range k.peers {
		if p.conn != nil && isVoter[p.node.ID] && len(p.report.Slots) > 0 {
			reports[p.node.ID] = p.report.Heard
		}
	}
	return reports
}

// observeVoters notes since when voters have not been heard, and since when this keeper has been behind.
func (k *Keeper) observeVoters(now time.Time) {
	d := &k.voterDuty
	for _, name := range registerNames {
		state, _ := k.agree.state(name)
		unheard := map[uint64]time.Time{}
		for id, c := range k.contacts(state.Voters) {
			if !c.unheard {
				continue
			}
			unheard[id] = now
			if since, before := d.unheard[name][id]; before {
				unheard[id] = since
			}
		}
		d.unheard[name] = unheard
	}
	behind := false
	for i := range registerNames {
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
