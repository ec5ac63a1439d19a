package keeper

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/controlclient"
)

// TestConditionsAreInStatus: the condition that a store reports to one keeper is in the status of all keepers until
// the store reports its end.
func TestConditionsAreInStatus(t *testing.T) {
	r := newRig(t, 2)
	r.startAll()
	r.untilConnected(0, 1)
	store := controlclient.Node{Name: "s1", Role: controlclient.RoleStore, Zone: "z", Incarnation: 2}
	report := func(node controlclient.Node, reason string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := controlclient.ReportCondition(ctx, r.linkAddress(0), controlclient.Condition{Node: node, Reason: reason}); err != nil {
			t.Fatal(err)
		}
	}
	shown := func(keeper int) string {
		var all []string
		for _, condition := range r.status(keeper).Conditions {
			all = append(all, fmt.Sprint(condition.Role, " ", condition.Node, " ", condition.Zone, ": ", condition.Reason))
		}
		return strings.Join(all, ", ")
	}
	const want = "store s1 z: no room"
	for keeper := range 2 {
		eventually(t, fmt.Sprintf("the condition at keeper %d", keeper+1), func() bool {
			report(store, "no room") // repeatedly, as processes do
			return shown(keeper) == want
		})
	}
	for keeper := range 2 {
		eventually(t, fmt.Sprintf("the end of the condition at keeper %d", keeper+1), func() bool {
			report(store, "")
			return shown(keeper) == ""
		})
	}
}

// TestConditionTable: a condition is kept while it is reported, independently of other processes, and reports of former
// incarnations are ignored.
func TestConditionTable(t *testing.T) {
	now := time.Now()
	table := conditionTable{}
	report := func(name string, incarnation uint64, reason string) {
		table.update(now, controlclient.Condition{
			Node:   controlclient.Node{Name: name, Role: controlclient.RoleStore, Incarnation: incarnation},
			Reason: reason,
		})
	}
	check := func(want string) {
		t.Helper()
		table.expire(now)
		var got []string
		for _, known := range table.sorted() {
			got = append(got, fmt.Sprintf("%s: %s for %v", known.node.Name, known.reason, now.Sub(known.firstReportedAt)))
		}
		if all := strings.Join(got, ", "); all != want {
			t.Errorf("got %q, want %q", all, want)
		}
	}
	report("b", 2, "full")
	report("a", 1, "stalled")
	check("a: stalled for 0s, b: full for 0s")
	now = now.Add(conditionTTL)
	report("b", 1, "") // of a former incarnation
	report("b", 2, "stalled")
	check("a: stalled for 5s, b: stalled for 5s")
	now = now.Add(time.Second)
	check("b: stalled for 6s")
	report("b", 3, "")
	check("")
	for i := range maxConditions + 10 {
		report(fmt.Sprint(i), 1, strings.Repeat("x", 10*maxReasonBytes))
	}
	if len(table) != maxConditions || len(table.sorted()[0].reason) != maxReasonBytes {
		t.Errorf("%d are kept, the first has %d bytes", len(table), len(table.sorted()[0].reason))
	}
}
