package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"dunetide/internal/control/snapshot"
)

// TestTableCommands runs the files of testdata/tables: each command names a keeper and a time in ms.
func TestTableCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/tables", func(t *testing.T, path string) {
		t.Helper()
		tables := map[string]*Table{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			var keeper string
			var ms int
			d.ScanArgs(t, "at", &ms)
			now := time.Duration(ms) * time.Millisecond
			d.ScanArgs(t, "keeper", &keeper)
			if tables[keeper] == nil {
				tables[keeper] = New(now, Options{HeartbeatInterval: time.Second})
			}
			var from string
			if d.HasArg("from") {
				d.ScanArgs(t, "from", &from)
			}
			return runCommand(t, d, now, tables[keeper], tables[from])
		})
	})
}

// runCommand runs a command of a test file on a table, and returns its output.
func runCommand(t *testing.T, d *datadriven.TestData, now time.Duration, table, from *Table) string {
	t.Helper()
	var out strings.Builder
	switch d.Cmd {
	case "new":
	case "heartbeat":
		for _, line := range strings.Split(d.Input, "\n") {
			fmt.Fprintf(&out, "changed=%v\n", table.Heartbeat(now, parseEndpoint(t, line)))
		}
	case "remove":
		fmt.Fprintf(&out, "changed=%v\n", table.Remove(now, d.Input))
	case "merge":
		printEntries(&out, table.Merge(now, from.Entries(now, AllBuckets)))
	case "liveness":
		changed, missing := table.MergeLiveness(now, from.Liveness(now, d.HasArg("relay")))
		printEntries(&out, changed)
		fmt.Fprintf(&out, "missing=%v\n", missing)
	case "expire":
		printEntries(&out, table.Expire(now))
		fmt.Fprintf(&out, "listening=%v live=%d\n", table.Listening(now), table.Live())
	case "changes":
		var since uint64
		d.ScanArgs(t, "since", &since)
		changed, to, complete := table.Changes(now, since)
		printEntries(&out, changed)
		fmt.Fprintf(&out, "to=%d complete=%v\n", to, complete)
	case "list":
		printEntries(&out, table.Entries(now, AllBuckets))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return out.String()
}

// parseEndpoint parses an id, address, call count, state and remaining warm-up in ms.
func parseEndpoint(t *testing.T, line string) snapshot.Endpoint {
	t.Helper()
	e := snapshot.Endpoint{Service: "s"}
	if _, err := fmt.Sscanf(line, "%s %s %d %d %d", &e.ID, &e.Address, &e.CallCount, &e.State, &e.RemainingWarmupMs); err != nil {
		t.Fatal(err)
	}
	return e
}

// printEntries writes entries, one per line.
func printEntries(out *strings.Builder, entries []Entry) {
	for _, entry := range entries {
		e := entry.EffectiveEndpoint()
		fmt.Fprintf(out, "%s %s %s state=%d count=%d heartbeats=%d timed_out=%v warmup=%d age=%v\n",
			e.ID, e.Service, e.Address, e.State, e.CallCount, entry.HeartbeatCount, entry.TimedOut, e.RemainingWarmupMs, entry.Age)
	}
}

func TestTableSizeIsBounded(t *testing.T) {
	table := New(0, Options{MaxEndpoints: 3, MaxTombstones: 2})
	for i := range 5 {
		table.Heartbeat(0, snapshot.Endpoint{ID: fmt.Sprint("i", i), Address: fmt.Sprint(i), CallCount: 1})
	}
	if table.Live() != 3 || table.Stats().Rejected != 2 {
		t.Errorf("%d live, %+v", table.Live(), table.Stats())
	}
	for i := range 9 {
		table.Remove(time.Duration(i), fmt.Sprint("i", i))
	}
	if table.Live() != 0 || len(table.byID) != 2 || len(table.byAddress) != 0 {
		t.Errorf("%d live, %d entries, %d addresses", table.Live(), len(table.byID), len(table.byAddress))
	}
}
