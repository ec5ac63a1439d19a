package keeper

import "testing"

// played is a call in a history written by hand: its put, when it was sent and answered (0: never), and the answer.
type played struct {
	order, sent, answered int
	answer                registerAnswer
}

// TestHistoryCheckFindsViolations: the check accepts histories that one register explains, and finds those that none
// does.
func TestHistoryCheckFindsViolations(t *testing.T) {
	taken, superseded, low := registerAnswer{status: 200}, registerAnswer{status: 412}, registerAnswer{status: 400}
	none := registerAnswer{}
	found := func(order int) registerAnswer { return registerAnswer{200, order} }
	const ( // the puts of each history
		first     = iota // version 5 on 0
		rival            // version 5 on 0, other bytes
		second           // version 7 on 5
		tooLow           // version 4 on 5
		wrongBase        // version 9 on 4
	)
	for _, test := range []struct {
		what  string
		calls []played
		holds bool
	}{
		{"one wins", []played{{first, 1, 4, taken}, {rival, 2, 3, superseded}}, true},
		{"both are confirmed", []played{{first, 1, 4, taken}, {rival, 2, 3, taken}}, false},
		{"a loser without a winner", []played{{rival, 1, 2, superseded}, {first, 3, 4, taken}}, false},
		{"a loser while the winner has no answer", []played{{first, 1, 0, none}, {rival, 2, 3, superseded}, {readCall, 4, 5, found(first)}}, true},
		{"a repeat", []played{{first, 1, 2, taken}, {first, 3, 4, taken}}, true},
		{"a repeat after a lost answer", []played{{first, 1, 0, none}, {first, 3, 4, taken}}, true},
		{"a repeat after its successor", []played{{first, 1, 2, taken}, {second, 3, 4, taken}, {first, 5, 6, taken}, {readCall, 7, 8, found(second)}}, true},
		{"a repeat is refused", []played{{first, 1, 2, taken}, {second, 3, 4, taken}, {first, 5, 6, superseded}}, false},
		{"a repeat is refused as too low", []played{{first, 1, 2, taken}, {first, 5, 6, low}}, false},
		{"a repeat is refused, the first without an answer", []played{{first, 1, 0, none}, {readCall, 2, 3, found(first)}, {first, 5, 6, superseded}}, false},
		{"a repeat undoes its successor", []played{{first, 1, 2, taken}, {second, 3, 4, taken}, {first, 5, 6, taken}, {readCall, 7, 8, found(first)}}, false},
		{"a read of what was before", []played{{first, 1, 2, taken}, {second, 3, 4, taken}, {readCall, 5, 6, found(first)}}, false},
		{"two reads that go back", []played{{first, 1, 2, taken}, {second, 3, 0, none}, {readCall, 4, 5, found(second)}, {readCall, 6, 7, found(first)}}, false},
		{"an order without an answer comes late", []played{{first, 1, 0, none}, {readCall, 2, 3, found(noPut)}, {readCall, 4, 5, found(first)}}, true},
		{"an order without an answer comes never", []played{{first, 1, 0, none}, {rival, 2, 3, taken}}, true},
		{"found before it was sent", []played{{readCall, 1, 2, found(first)}, {first, 3, 0, none}}, false},
		{"a number too low", []played{{first, 1, 2, taken}, {tooLow, 3, 4, low}}, true},
		{"a number too low is taken", []played{{first, 1, 2, taken}, {tooLow, 3, 4, taken}}, false},
		{"a base that never was is taken", []played{{first, 1, 2, taken}, {wrongBase, 3, 4, taken}}, false},
		{"an acknowledged one is lost", []played{{first, 1, 2, taken}, {readCall, 3, 4, found(noPut)}}, false},
	} {
		t.Run(test.what, func(t *testing.T) {
			h := newHistory()
			for _, order := range [][2]uint64{{5, 0}, {5, 0}, {7, 5}, {4, 5}, {9, 4}} {
				h.newPut(order[0], order[1])
			}
			answers := map[int]func(){}
			for time := 1; time <= 10; time++ {
				for _, call := range test.calls {
					if call.sent == time {
						answered := h.begin(call.order)
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
