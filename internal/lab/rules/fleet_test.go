package rules

import (
	"testing"

	. "dunetide/internal/lab/trace"
)

func ready(s float64, node int) Record { return Record{At: at(s), What: Ready, Node: node} }
func sees(s float64, node, other int, state string, incarnation uint64) Record {
	return Record{At: at(s), What: Member, Node: node, EP: other, Result: state, Call: incarnation}
}
func between(s float64, what string, lines int) Record {
	return Record{At: at(s), What: Net, Result: what, Lines: lines}
}

// TestEachRuleOfAFleet tests each rule with a trace that violates it and with traces that just comply.
func TestEachRuleOfAFleet(t *testing.T) {
	two := []Record{ready(0, 0), ready(0, 1), sees(0.5, 0, 1, "alive", 1), sees(0.5, 1, 0, "alive", 1)}
	over := Record{At: at(100), What: RunEnded}
	for _, c := range []struct {
		name  string
		rule  string
		trace []Record
	}{
		{"calm", "", append(two, over)},
		{"left without a shutdown", FalseRemoval, append(two, sees(5, 0, 1, "left", 1), sees(6, 0, 1, "alive", 2), over)},
		{"left after SIGKILL", FalseRemoval, append(two, Record{At: at(4), What: Stop, Node: 1, Result: "SIGKILL"}, sees(5, 0, 1, "left", 1), over)},
		{"left after SIGTERM", "", append(two, Record{At: at(4), What: Stop, Node: 1, Result: "SIGTERM"}, sees(5, 0, 1, "left", 1), over)},
		{"removed without an operator's request", FalseRemoval, append(two, sees(5, 0, 1, "removed", 1), sees(6, 0, 1, "alive", 2), over)},
		{"removed by an operator", "", append(two, Record{At: at(4), What: Removal, Node: 0, EP: 1}, sees(5, 0, 1, "removed", 1), sees(6, 0, 1, "alive", 2), over)},
		{"incarnation decreases", IncarnationOrder, append(two, sees(5, 0, 1, "alive", 3), sees(6, 0, 1, "alive", 2), over)},
		{"restarted node has no views", "", append(two, sees(5, 0, 1, "alive", 3), Record{At: at(5.5), What: Stop, Node: 0, Result: "lost"},
			Record{At: at(6), What: Start, Node: 0}, ready(6.1, 0), sees(6.5, 0, 1, "alive", 2), over)},
		{"suspected without end", Healed, append(two, sees(5, 0, 1, "suspect", 1), over)},
		{"never seen", Healed, append([]Record{ready(0, 0), ready(0, 1), sees(0.5, 0, 1, "alive", 1)}, over)},
		{"suspected while cut", "", append(two, between(5, "split", 1), sees(15, 0, 1, "suspect", 1), between(80, "end of split", -1), over)},
		{"not healed", Healed, append(two, between(5, "split", 1), sees(15, 0, 1, "suspect", 1), between(60, "end of split", -1), over)},
		{"healed", "", append(two, between(5, "split", 1), sees(15, 0, 1, "suspect", 1), between(60, "end of split", -1), sees(80, 0, 1, "alive", 1), over)},
		{"not healed by the next fault", Healed, append(two, sees(5, 0, 1, "suspect", 1), between(60, "split", 1), over)},
		{"one node is stopped", "", append(two, Record{At: at(5), What: Fault, Result: "stop", Node: 1, Until: at(75)}, sees(15, 0, 1, "suspect", 1), over)},
		{"one node was stopped", Healed, append(two, Record{At: at(5), What: Fault, Result: "stop", Node: 1, Until: at(60)}, sees(15, 0, 1, "suspect", 1), over)},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := New(limits)
			for _, r := range c.trace {
				k.Observe(r)
			}
			broken, _ := k.Finish(at(100))
			if c.rule == "" && len(broken) > 0 || c.rule != "" && (len(broken) == 0 || broken[0].Rule != c.rule || len(broken[0].Lines) == 0) {
				t.Errorf("found %v, want %q", broken, c.rule)
			}
		})
	}
}

func TestFleetAccount(t *testing.T) {
	k := New(limits)
	for _, r := range []Record{ready(0, 0), ready(0, 1), ready(0, 2), sees(0.25, 0, 1, "alive", 1), sees(0.5, 1, 0, "alive", 1), sees(0.5, 0, 2, "alive", 1),
		sees(50, 0, 1, "suspect", 1), sees(52, 0, 1, "alive", 1), {At: at(60), What: Stop, Node: 2, Result: "SIGKILL"}, sees(64, 0, 2, "suspect", 1),
		sees(66, 1, 2, "suspect", 1), {At: at(70), What: Start, Node: 2}, ready(70.5, 2), sees(70.75, 0, 2, "alive", 2)} {
		k.Observe(r)
	}
	a := k.Fleet()
	if a.FalseSuspicions != 1 || a.Nodes != 3 || a.Calm != 30 || a.Known["death"] != (Known{2, 6, 6, 6}) || a.Known["start"].Count != 4 || a.Known["start"].Most != 0.5 {
		t.Errorf("%+v", a)
	}
	if New(limits).Fleet() != nil {
		t.Error("got a fleet account without a fleet")
	}
}
