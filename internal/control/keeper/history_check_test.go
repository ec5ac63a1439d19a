package keeper

import "testing"

// historyCall is a call in a hand-written history: its put, when it was sent and answered (0: never), and the answer.
type historyCall struct {
	put, sent, answered int
	answer              registerAnswer
}

// TestHistoryCheckFindsViolations: the check accepts linearizable histories, and rejects those that aren't.
func TestHistoryCheckFindsViolations(t *testing.T) {
	accepted, superseded, low := registerAnswer{status: 200}, registerAnswer{status: 412}, registerAnswer{status: 400}
	none := registerAnswer{}
	found := func(put int) registerAnswer { return registerAnswer{200, put} }
	const ( // the puts of each history
		first     = iota // version 5 on 0
		rival            // version 5 on 0, other bytes
		second           // version 7 on 5
		tooLow           // version 4 on 5
		wrongBase        // version 9 on 4
	)
	for _, test := range []struct {
		what  string
		calls []historyCall
		holds bool
	}{
		{"one wins", []historyCall{{first, 1, 4, accepted}, {rival, 2, 3, superseded}}, true},
		{"both are confirmed", []historyCall{{first, 1, 4, accepted}, {rival, 2, 3, accepted}}, false},
		{"a conflict without a winner", []historyCall{{rival, 1, 2, superseded}, {first, 3, 4, accepted}}, false},
		{"a conflict while the winner is unanswered", []historyCall{{first, 1, 0, none}, {rival, 2, 3, superseded}, {readCall, 4, 5, found(first)}}, true},
		{"a repeat", []historyCall{{first, 1, 2, accepted}, {first, 3, 4, accepted}}, true},
		{"a repeat after a lost answer", []historyCall{{first, 1, 0, none}, {first, 3, 4, accepted}}, true},
		{"a repeat after its successor", []historyCall{{first, 1, 2, accepted}, {second, 3, 4, accepted}, {first, 5, 6, accepted}, {readCall, 7, 8, found(second)}}, true},
		{"a repeat is rejected", []historyCall{{first, 1, 2, accepted}, {second, 3, 4, accepted}, {first, 5, 6, superseded}}, false},
		{"a repeat is rejected as too low", []historyCall{{first, 1, 2, accepted}, {first, 5, 6, low}}, false},
		{"a repeat is rejected, the first is unanswered", []historyCall{{first, 1, 0, none}, {readCall, 2, 3, found(first)}, {first, 5, 6, superseded}}, false},
		{"a repeat reverts its successor", []historyCall{{first, 1, 2, accepted}, {second, 3, 4, accepted}, {first, 5, 6, accepted}, {readCall, 7, 8, found(first)}}, false},
		{"a stale read", []historyCall{{first, 1, 2, accepted}, {second, 3, 4, accepted}, {readCall, 5, 6, found(first)}}, false},
		{"two reads in reverse order", []historyCall{{first, 1, 2, accepted}, {second, 3, 0, none}, {readCall, 4, 5, found(second)}, {readCall, 6, 7, found(first)}}, false},
		{"an unanswered put takes effect late", []historyCall{{first, 1, 0, none}, {readCall, 2, 3, found(noPut)}, {readCall, 4, 5, found(first)}}, true},
		{"an unanswered put never takes effect", []historyCall{{first, 1, 0, none}, {rival, 2, 3, accepted}}, true},
		{"read before it was sent", []historyCall{{readCall, 1, 2, found(first)}, {first, 3, 0, none}}, false},
		{"a version too low", []historyCall{{first, 1, 2, accepted}, {tooLow, 3, 4, low}}, true},
		{"a version too low is accepted", []historyCall{{first, 1, 2, accepted}, {tooLow, 3, 4, accepted}}, false},
		{"a base that never existed is accepted", []historyCall{{first, 1, 2, accepted}, {wrongBase, 3, 4, accepted}}, false},
		{"an acknowledged put is lost", []historyCall{{first, 1, 2, accepted}, {readCall, 3, 4, found(noPut)}}, false},
	} {
		t.Run(test.what, func(t *testing.T) {
			h := newHistory()
			for _, put := range [][2]uint64{{5, 0}, {5, 0}, {7, 5}, {4, 5}, {9, 4}} {
				h.newPut(put[0], put[1])
			}
			answers := map[int]func(){}
			for time := 1; time <= 10; time++ {
				for _, call := range test.calls {
					if call.sent == time {
						answered := h.begin(call.put)
						answers[call.answered] = func() { answered(call.answer) }
					}
				}
				if answer := answers[time]; answer != nil {
					answer()
				}
			}
			if err := h.check(); (err == nil) != test.holds {
				t.Fatalf("%v\n%s", err, h)
			}
		})
	}
}
