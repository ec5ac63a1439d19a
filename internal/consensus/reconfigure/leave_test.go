package reconfigure

import "testing"

func TestNextLeaveStep(t *testing.T) {
	for _, c := range []struct {
		name            string
		voters, keepers string
		want            LeaveStep
	}{
		{"it is removed already", "2b 3c 4d", "1a- 2b 3c 4d", LeaveStepConfirm},
		{"a candidate replaces it", "1a 2b 3c", "1a- 2b 3c 4d", LeaveStepChange},
		{"there are voters to spare", "1a 2b 3c 4d", "1a- 2b 3c 4d", LeaveStepChange},
		{"another voter is replaced first", "1a 2b! 3c", "1a- 3c 9b", LeaveStepChange},
		{"a candidate catches up", "1a 2b 3c", "1a- 2b 3c 4d~", LeaveStepWait},
		{"the candidate is leaving, too", "1a 2b 3c", "1a- 2b 3c 4d~-", LeaveStepEnd},
		{"the other keeper has no disk", "1a 2b 3c", "1a- 2b 3c 0d~", LeaveStepEnd},
		{"its vote is needed", "1a 2b 3c", "1a- 2b 3c", LeaveStepEnd},
		{"no majority is reachable", "1a 2b! 3c! 4d!", "1a-", LeaveStepEnd},
	} {
		if got, _ := NextLeaveStep(parse(c.voters, c.keepers), 1); got != c.want {
			t.Errorf("%s: step %d, not %d", c.name, got, c.want)
		}
	}
}
