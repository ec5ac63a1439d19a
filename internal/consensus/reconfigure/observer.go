package reconfigure

import (
	"slices"
	"time"

	"dunetide/internal/consensus/paxos"
)

// Report is what a keeper with a disk tells the others of itself.
type Report struct {
	Keeper paxos.Voter
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
	slots        []slotAt // the newest slots that were known, oldest first; the first is CatchUpLag old, or the first known
	// absentSince is, for each keeper that reports and is no voter, the first slot that was known by which it is none.
	absentSince map[uint64]uint64
}

// slotAt is the newest slot that was known at a time.
type slotAt struct {
	at   time.Duration
	slot uint64
}

// CatchUpLag is how far a keeper may be behind and still count as caught up. What it has stored is told by reports, so
// with many changes a second it would never be reported to have the newest. It is sent that by the change that makes it
// a voter, which is done only when a majority of the new voters has it.
const CatchUpLag = time.Second

// contact says whether a majority of the voters hears one of them, itself included, and whether a majority reports not
// to hear it. Neither may be so, where reports are missing.
type contact struct{ heard, unheard bool }

// Observe takes in the newest reports of the keepers that are connected, the own one included.
func (o *Observer) Observe(now time.Duration, state paxos.State, reports []Report) {
	o.observeSlot(now, state.Slot)
	o.observeAbsent(state, reports)
	unheardSince := map[uint64]time.Duration{}
	for id, c := range contacts(state.Voters, reports) {
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

// observeSlot notes the newest slot that is known.
func (o *Observer) observeSlot(now time.Duration, slot uint64) {
	o.slots = append(o.slots, slotAt{now, slot})
	for len(o.slots) > 1 && now-o.slots[1].at >= CatchUpLag {
		o.slots = o.slots[1:]
	}
}

// observeAbsent notes which keepers are no voters, and from which slot on.
func (o *Observer) observeAbsent(state paxos.State, reports []Report) {
	absentSince := map[uint64]uint64{}
	for _, report := range reports {
		id := report.Keeper.ID
		if state.Has(id) {
			continue
		}
		absentSince[id] = state.Slot
		if since, before := o.absentSince[id]; before {
			absentSince[id] = since
		}
	}
	o.absentSince = absentSince
}

// knowsOfAbsence tells whether a keeper that is no voter made its report after it had stored that. A report from before
// may not say yet that the keeper leaves, for which it was removed: such a keeper must not become a voter again.
func (o *Observer) knowsOfAbsence(state paxos.State, report Report) bool {
	since, observed := o.absentSince[report.Keeper.ID]
	if !observed {
		since = state.Slot
	}
	return report.Stored > since
}

// mustHave is the slot that a keeper must have stored to count as caught up.
func (o *Observer) mustHave(newest uint64) uint64 {
	if len(o.slots) == 0 {
		return newest
	}
	return o.slots[0].slot
}

// Situation is what is known for a decision on the voters of a state.
func (o *Observer) Situation(now time.Duration, state paxos.State, reports []Report, limits Limits) Situation {
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
		caughtUp := report.Stored > o.mustHave(state.Slot)
		if !state.Has(report.Keeper.ID) {
			caughtUp = caughtUp && o.knowsOfAbsence(state, report)
		}
		s.Keepers = append(s.Keepers, Keeper{Voter: report.Keeper, CaughtUp: caughtUp, Leaving: report.Leaving})
	}
	return s
}

func contacts(voters []paxos.Voter, reports []Report) map[uint64]contact {
	var byVoters []Report // by keepers that are no voters nothing is decided
	for _, report := range reports {
		if slices.ContainsFunc(voters, func(v paxos.Voter) bool { return v.ID == report.Keeper.ID }) {
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
