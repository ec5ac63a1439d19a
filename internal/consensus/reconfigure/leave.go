package reconfigure

// LeaveStep is what a keeper that shuts down does next for a register.
type LeaveStep uint8

const (
	// LeaveStepChange proposes a change of voters.
	LeaveStepChange LeaveStep = iota + 1
	// LeaveStepConfirm reads the register: the keeper is no voter by the newest state that it knows. Until a majority
	// of the voters has stored that state it may be on this keeper's disk and too few others.
	LeaveStepConfirm
	// LeaveStepWait waits for a keeper that may become a candidate.
	LeaveStepWait
	// LeaveStepEnd ends the process, which stays a voter: no change is possible, nor will be soon.
	LeaveStepEnd
)

// NextLeaveStep returns the next step of a keeper that shuts down, and the change for LeaveStepChange.
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

// candidateExpected reports whether a keeper is connected that may become a candidate once it has caught up.
func (s Situation) candidateExpected() bool {
	for _, keeper := range s.Keepers {
		if keeper.ID != 0 && !s.isVoter(keeper.ID) && !keeper.CaughtUp && !keeper.Leaving {
			return true
		}
	}
	return false
}
