package keeper

import (
	"fmt"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs/vfstest"
)

// maxEndAnswer is the time after which an endpoint goes on to the next keeper.
const maxEndAnswer = time.Second * raceSlowdown

// newRigWithEndpoint returns three running keepers that list endpoint "1" as ready.
func newRigWithEndpoint(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	if a := r.heartbeat(0, "1", "ready", 1); a.status != 200 {
		t.Fatal(a)
	}
	return r
}

// TestAcknowledgedEndOutlivesAllKeepers guards against an endpoint that is listed as ready again: its removal or drain
// was acknowledged, all keepers lost power, and a heartbeat that it had sent before arrives late.
func TestAcknowledgedEndOutlivesAllKeepers(t *testing.T) {
	for name, end := range map[string]struct {
		send func(r *rig, i int) response
		want snapshot.State
	}{
		"removal": {func(r *rig, i int) response { return r.call(i, "DELETE", "/instances/1", "", nil) }, snapshot.Removed},
		"drain":   {func(r *rig, i int) response { return r.heartbeat(i, "1", "draining", 3) }, snapshot.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRigWithEndpoint(t)
			if a := end.send(r, 1); a.status != 200 {
				t.Fatal(a)
			}
			r.loseCore()
			for i := range 3 {
				if a := r.heartbeat(i, "1", "ready", 2); a.status != 200 {
					t.Errorf("the late heartbeat: %v", a)
				}
				if got := r.listed(i, "1"); got < end.want {
					t.Errorf("keeper %d lists the endpoint in state %v", i+1, got)
				}
			}
		})
	}
}

// TestEndsNeedDisksOfMajority guards against an acknowledged end that is on too few disks: a keeper whose disk is full or
// doesn't answer has not confirmed it, and the endpoint hears 503 before it gives up on this keeper.
func TestEndsNeedDisksOfMajority(t *testing.T) {
	for name, fault := range map[string]struct{ begin, end func(r *rig, i int) }{
		"full": {(*rig).fillDisk, (*rig).freeDisk},
		"stalled": {
			func(r *rig, i int) {
				release := make(chan struct{})
				r.t.Cleanup(func() { close(release) })
				r.withDisk(i, func() { r.disks[i].Stall = func() { <-release } })
			},
			nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRigWithEndpoint(t)
			fault.begin(r, 1)
			r.untilCode(200, func() response { return r.call(0, "DELETE", "/instances/2", "", nil) }) // two of three disks
			fault.begin(r, 2)
			began := time.Now()
			if a := r.call(0, "DELETE", "/instances/1", "", nil); a.status != 503 {
				t.Errorf("one of three disks: %v", a)
			}
			if took := time.Since(began); took > maxEndAnswer {
				t.Errorf("answered after %v", took)
			}
			if fault.end != nil {
				fault.end(r, 1)
				r.untilCode(200, func() response { return r.call(0, "DELETE", "/instances/1", "", nil) })
			}
		})
	}
}

// TestEndsOutliveReplacedVoters guards against an acknowledged end that is lost although each of three voters was
// replaced alone: a voter with an empty disk must have the ends on it before it counts in a majority.
func TestEndsOutliveReplacedVoters(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	r.untilConnected(0, 1, 2)
	r.untilVoters(0, 1, 2)
	if a := r.call(1, "DELETE", "/instances/1", "", nil); a.status != 200 {
		t.Fatal(a)
	}
	for i := range 3 {
		r.kill(i)
		r.disks[i] = vfstest.New()
		r.start(i)
		r.untilConnected(0, 1, 2)
		eventually(t, "the keeper is a voter again", func() bool { return r.running[i].keeper.registers.votes() })
	}
	r.loseCore()
	for i := range 3 {
		r.heartbeat(i, "1", "ready", 2)
		if got := r.listed(i, "1"); got != snapshot.Removed {
			t.Errorf("keeper %d lists the endpoint in state %v", i+1, got)
		}
	}
}

// TestKeeperWithoutEndsIsNotCaughtUp: a keeper doesn't report itself as caught up before it has the endpoint lists of a
// majority of the voters, and the ends of them on its disk.
func TestKeeperWithoutEndsIsNotCaughtUp(t *testing.T) {
	k := newIdleKeeper(t, "k9")
	k.registers.id = 9
	k.registers.storedSlots[configRegister] = 5
	k.registers.states[configRegister] = paxos.State{Voters: []paxos.Voter{{ID: 1}, {ID: 2}, {ID: 3}}}
	conns, _ := dialSink(t, 3)
	for i, conn := range conns {
		k.adoptLink(conn, controlclient.Node{
			Name:        fmt.Sprint("k", i+1),
			ID:          uint64(i + 1),
			Role:        controlclient.RoleKeeper,
			Incarnation: 1,
		}, true)
	}
	caughtUp := func() bool { return k.currentReport().DecidedSlots[0] == 5 }
	receive := func(i int, entries ...registry.Entry) {
		k.handleEntries(time.Now(), &link.Message{Conn: conns[i], Body: encodeEntries(entries)})
	}
	receive(0)
	if caughtUp() {
		t.Error("caught up with the list of one voter of three")
	}
	receive(1, registry.Entry{Endpoint: snapshot.Endpoint{ID: "1", State: snapshot.Removed}})
	if caughtUp() {
		t.Error("caught up before the end is on disk")
	}
	k.ends.written([]registry.Entry{{Endpoint: snapshot.Endpoint{ID: "1", State: snapshot.Removed}}}, nil)
	if !caughtUp() {
		t.Error("not caught up with the lists of two voters of three")
	}
	k.Closed(conns[0])
	runQueued(k.commands)
	if caughtUp() {
		t.Error("caught up by the list of a closed link")
	}
}

// endsOf returns n removed endpoints.
func endsOf(first, n int) (entries []registry.Entry) {
	for i := range n {
		entries = append(entries, registry.Entry{Endpoint: snapshot.Endpoint{ID: fmt.Sprint("i-", first+i), State: snapshot.Removed}})
	}
	return entries
}

// TestStoredEndsWithFaultAtEachStep injects a fault at each disk operation while ends are written and the log is
// rewritten: those that were stored are found after a restart.
func TestStoredEndsWithFaultAtEachStep(t *testing.T) {
	const batches, batchSize = 4, 3
	write := func(l *singleVoterRegisters) (stored int) {
		for batch := range batches {
			if l.registers.storeEnds(endsOf(batch*batchSize, batchSize)) != nil {
				break
			}
			stored += batchSize
			if batch == 1 {
				l.registers.rewriteLog()
			}
		}
		return stored
	}
	base := vfstest.New()
	mustOpen(t, base)
	reference := base.Copy()
	l := mustOpen(t, reference)
	first := reference.Ops + 1
	if stored := write(l); stored != batches*batchSize {
		t.Fatalf("%d ends are stored without a fault", stored)
	}
	for step := first; step <= reference.Ops; step++ {
		for _, fault := range diskFaults() {
			disk := base.Copy()
			l := mustOpen(t, disk)
			fault.inject(disk, step)
			stored := write(l)
			disk.FailAt = 0
			fault.after(disk)
			again := mustOpen(t, disk)
			for _, e := range endsOf(0, stored) {
				if again.registers.ends[e.ID].State != snapshot.Removed {
					t.Fatalf("%s at operation %d: %s was stored, and is lost", fault.name, step, e.ID)
				}
			}
		}
	}
}

// TestDroppedEndsLeaveTheLog: ends that the endpoint list has dropped are gone with the next rewrite of the log.
func TestDroppedEndsLeaveTheLog(t *testing.T) {
	disk := vfstest.New()
	l := mustOpen(t, disk)
	empty := l.registers.log.Size()
	const count = 600
	if err := l.registers.storeEnds(endsOf(0, count)); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, e := range endsOf(0, count-1) {
		ids = append(ids, e.ID)
	}
	l.registers.dropEnds(ids)
	l.registers.rewriteLog()
	if size := l.registers.log.Size(); size > empty+1<<10 {
		t.Errorf("%d bytes after the rewrite, %d before the ends", size, empty)
	}
	if again := mustOpen(t, disk); len(again.registers.ends) != 1 {
		t.Errorf("%d ends after a restart", len(again.registers.ends))
	}
}
