package reconfigure

// LeaveStep is the next step of a keeper that shuts down, for one register.
type LeaveStep uint8

const (
	// LeaveStepChange proposes a change of voters.
	LeaveStepChange LeaveStep = iota + 1
	// LeaveStepConfirm reads the register. In the newest state that the keeper knows it is not a voter; before a
	// majority of the voters has stored that state, it may be stored only on this keeper's disk and on a minority of
	// others.
	LeaveStepConfirm
	// LeaveStepWait waits until a connected keeper has caught up and becomes a candidate.
	LeaveStepWait
	// LeaveStepEnd ends the process although it is still a voter: no change is possible now or is expected soon.
	LeaveStepEnd
)

// NextLeaveStep returns the next step of a keeper that shuts down, and the change to propose for LeaveStepChange.
func NextLeaveStep(s Situation, leaver uint64) (LeaveStep, Change) {
	if !s.isVoter(leaver) {
		return LeaveStepConfirm, Change{}
	}
	if change, found := NextChange(s); found {
		return LeaveStepChange, change
	}
	if s.candidateExpected() {
		return LeaveStepWait, Change{}
	}
	return LeaveStepEnd, Change{}
}

// candidateExpected reports whether a connected keeper will become a candidate once it has caught up.
func (s Situation) candidateExpected() bool {
	for _, keeper := range s.Keepers {
		if keeper.ID != 0 && !s.isVoter(keeper.ID) && !keeper.CaughtUp && !keeper.Leaving {
			return true
		}
	}
	return false
}
