package lease

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs/vfstest"
)

// The maximum numbers of leases and nodes, with the longest names, fit into a frame of a link and into DiskSpace, and are read
// as they were written. One more is refused; nodes without leases are replaced.
func TestMaximumLeasesAndNodes(t *testing.T) {
	b := newStateMachine(1<<62, time.Hour, MaxLeases, nil)
	b.applyLapses([]lapse{{blocked, b.state.Token, 0}})
	long := func(what string, i, length int) string {
		return strings.Repeat("x", length-len(fmt.Sprint(what, i))) + fmt.Sprint(what, i)
	}
	numbers := map[string]uint64{}
	put := func(node string, ops ...op) []outcome {
		numbers[node]++
		all, _, err := b.applyRequest(&request{Node: node, Incarnation: 1 << 40, Number: numbers[node], Ops: ops})
		if err != nil {
			t.Fatal(err)
		}
		return all
	}
	for i := range MaxLeases {
		if o := put(long("n", i%fleet.MaxMembers, 64), op{Do: opTake, Name: long("l", i, MaxName), Length: time.Hour})[0]; !o.Mine {
			t.Fatalf("lease %d: %+v", i, o)
		}
	}
	if o := put(long("n", 0, 64), op{Do: opTake, Name: "one more", Length: time.Hour})[0]; o.Mine || o.No == "" {
		t.Errorf("one more: %+v", o)
	}
	if _, _, err := b.applyRequest(&request{Node: "another", Incarnation: 1, Number: 1}); err != errFull { //nolint:errorlint // the error itself
		t.Errorf("another node: %v", err)
	}
	text, err := b.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if most := 1<<20 - 4<<10; len(text) > most {
		t.Errorf("snapshot of %d bytes exceeds %d", len(text), most)
	}
	again, err := readStateMachine(text)
	if err != nil {
		t.Fatal(err)
	}
	if back, err := again.snapshot(); err != nil || !bytes.Equal(back, text) {
		t.Errorf("the snapshot differs after reading and writing it: %v", err)
	}
	l := disk{folder: vfstest.New()}
	if err := l.renew(record{Self: &identity{}, Snapshot: text}); err != nil || 3*l.size > DiskSpace(MaxLeases, false) {
		t.Errorf("%d bytes on disk, of %d for three files: %v", l.size, DiskSpace(MaxLeases, false), err)
	}
	for i := range MaxLeases { // the first node releases all of its leases
		if i%fleet.MaxMembers == 0 {
			put(long("n", 0, 64), op{Do: opGive, Name: long("l", i, MaxName), Token: b.state.Leases[long("l", i, MaxName)].Token})
		}
	}
	if o := put("another", op{Do: opTake, Name: "one more", Length: time.Hour})[0]; !o.Mine {
		t.Errorf("after leases were released: %+v", o)
	}
	if _, _, err := b.applyRequest(&request{Node: long("n", 0, 64), Incarnation: 1, Number: 1}); err != errFull { //nolint:errorlint // the error itself
		t.Errorf("the node that was replaced: %v", err)
	}
}

// The client refuses invalid lease names, and a voter does not propose a request that it could not decode again.
func TestInvalidNamesAreNotProposed(t *testing.T) {
	a := NewClient("n0", []string{"n0"}, func() float64 { return 0 })
	for _, name := range []string{"", "\xff", strings.Repeat("x", MaxName+1)} {
		if err := a.Want(name, time.Second, 0); err == nil {
			t.Errorf("%q was accepted as a name", name)
		}
	}
	s := newSim(t, 1, 1, 0)
	for !s.nodes[0].v.leads() {
		s.pass(tickEvery)
	}
	said := ""
	s.nodes[0].v.Ask(0, request{Node: "n0", Incarnation: 9, Number: 9, Ops: []op{{Do: opTake, Name: "\xff", Length: time.Second}}}, func(ans answer) { said = ans.No })
	if said != errNotProposed.Error() {
		t.Errorf("answered %q", said)
	}
}
