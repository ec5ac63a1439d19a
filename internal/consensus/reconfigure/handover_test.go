package reconfigure

import "testing"

func TestHandOver(t *testing.T) {
	for _, c := range []struct {
		name            string
		voters, keepers string
		want            Step
	}{
		{"it is removed already", "2b 3c 4d", "1a- 2b 3c 4d", StepConfirm},
		{"a candidate takes its seat", "1a 2b 3c", "1a- 2b 3c 4d", StepChange},
		{"there are voters to spare", "1a 2b 3c 4d", "1a- 2b 3c 4d", StepChange},
		{"another seat is filled first", "1a 2b! 3c", "1a- 3c 9b", StepChange},
		{"a candidate catches up", "1a 2b 3c", "1a- 2b 3c 4d~", StepWait},
		{"the candidate leaves, too", "1a 2b 3c", "1a- 2b 3c 4d~-", StepEnd},
		{"the other keeper has no disk", "1a 2b 3c", "1a- 2b 3c 0d~", StepEnd},
		{"its vote is needed", "1a 2b 3c", "1a- 2b 3c", StepEnd},
		{"no majority is heard", "1a 2b! 3c! 4d!", "1a-", StepEnd},
	} {
		if got, _ := HandOver(parse(c.voters, c.keepers), 1); got != c.want {
			t.Errorf("%s: step %d, not %d", c.name, got, c.want)
		}
	}
}
