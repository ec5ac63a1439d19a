package reconfigure

// Step is what a keeper that leaves does next for a register.
type Step uint8

// The steps.
const (
	// StepChange makes a change of voters.
	StepChange Step = iota + 1
	// StepConfirm reads the register: the keeper is no voter by the newest state that it knows. Until a majority of the
	// voters has stored that state it may be on this keeper's disk and too few others.
	StepConfirm
	// StepWait waits for a keeper that may become a candidate.
	StepWait
	// StepEnd ends with the vote kept: no change is possible, nor will be soon.
	StepEnd
)

// HandOver gives the next step of a keeper that leaves, and the change for StepChange.
func HandOver(s Situation, leaver uint64) (Step, Change) {
	if !s.isVoter(leaver) {
		return StepConfirm, Change{}
	}
	if change, found := Next(s); found {
		return StepChange, change
	}
	if s.candidateExpected() {
		return StepWait, Change{}
	}
	return StepEnd, Change{}
}

// candidateExpected tells whether a keeper is connected that may become a candidate once it has caught up.
func (s Situation) candidateExpected() bool {
	for _, keeper := range s.Keepers {
		if keeper.ID != 0 && !s.isVoter(keeper.ID) && !keeper.CaughtUp && !keeper.Leaving {
			return true
		}
	}
	return false
}
