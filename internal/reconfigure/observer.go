package reconfigure

import (
	"slices"
	"time"

	"dunetide/internal/agree"
)

// Report is what a keeper with a disk tells the others of itself.
type Report struct {
	Keeper agree.Voter
	// Heard are the identities of the keepers to which it is connected.
	Heard []uint64
	// Stored is the newest slot of the register that it has stored, plus one; 0: none.
	Stored  uint64
	Leaving bool
}

// Observer follows which voters of one register the others hear. Each keeper has one, so that whoever takes over the
// decision on changes knows already for how long a voter has not been heard.
type Observer struct {
	unheardSince map[uint64]time.Duration
}

// contact says whether a majority of the voters hears one of them, itself included, and whether a majority reports not
// to hear it. Neither may be so, where reports are missing.
type contact struct{ heard, unheard bool }

// Observe takes in the newest reports of the keepers that are connected, the own one included.
func (o *Observer) Observe(now time.Duration, voters []agree.Voter, reports []Report) {
	unheardSince := map[uint64]time.Duration{}
	for id, c := range contacts(voters, reports) {
		if !c.unheard {
			continue
		}
		unheardSince[id] = now
		if since, before := o.unheardSince[id]; before {
			unheardSince[id] = since
		}
	}
	o.unheardSince = unheardSince
}

// Situation is what is known for a decision on the voters of a state.
func (o *Observer) Situation(now time.Duration, state agree.State, reports []Report, limits Limits) Situation {
	s := Situation{Limits: limits}
	known := contacts(state.Voters, reports)
	for _, voter := range state.Voters {
		v := Voter{Voter: voter, Heard: known[voter.ID].heard}
		if since, unheard := o.unheardSince[voter.ID]; unheard && known[voter.ID].unheard {
			v.UnheardFor = now - since
		}
		s.Voters = append(s.Voters, v)
	}
	for _, report := range reports {
		s.Keepers = append(s.Keepers, Keeper{Voter: report.Keeper, CaughtUp: report.Stored > state.Slot, Leaving: report.Leaving})
	}
	return s
}

func contacts(voters []agree.Voter, reports []Report) map[uint64]contact {
	var byVoters []Report // by keepers that are no voters nothing is decided
	for _, report := range reports {
		if slices.ContainsFunc(voters, func(v agree.Voter) bool { return v.ID == report.Keeper.ID }) {
			byVoters = append(byVoters, report)
		}
	}
	all := map[uint64]contact{}
	for _, voter := range voters {
		all[voter.ID] = contactOf(voter.ID, len(voters), byVoters)
	}
	return all
}

func contactOf(id uint64, voters int, reports []Report) contact {
	hearing, notHearing, runs := 0, 0, false
	for _, report := range reports {
		switch {
		case report.Keeper.ID == id:
			runs = true
		case slices.Contains(report.Heard, id):
			hearing++
		default:
			notHearing++
		}
	}
	if runs || hearing > 0 {
		hearing++ // itself
	}
	return contact{heard: hearing >= Majority(voters), unheard: notHearing >= Majority(voters)}
}
