package keeper

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs/vfstest"
)

// voterNames returns the names of a register's voters, as a keeper knows them.
func (r *rig) voterNames(i int, register string) []string {
	state, _ := r.running[i].keeper.registers.state(register)
	var names []string
	for _, voter := range state.Voters {
		names = append(names, voter.Name)
	}
	slices.Sort(names)
	return names
}

// untilVoters waits until each of the keepers knows that they are the voters of all registers.
func (r *rig) untilVoters(keepers ...int) {
	r.t.Helper()
	var want []string
	for _, i := range keepers {
		want = append(want, fmt.Sprint("k", i+1))
	}
	for _, i := range keepers {
		for _, register := range registerNames {
			eventually(r.t, fmt.Sprint("keeper ", i+1, " knows that ", want, " vote on ", register), func() bool {
				return slices.Equal(r.voterNames(i, register), want)
			})
		}
	}
}

// configWriter puts successive configurations, and fails if one isn't accepted within the time allowed without faults.
type configWriter struct {
	*rig
	version uint64
}

func (o *configWriter) put(i int) {
	o.t.Helper()
	began := time.Now()
	mark := fmt.Sprint("version ", o.version+1)
	o.untilCode(200, func() response { return o.putConfig(i, o.version+1, o.version, mark) })
	o.version++
	if took := time.Since(began); took > 4*time.Second*raceSlowdown {
		o.t.Errorf("a put was accepted only after %v", took)
	}
}

// checkReadable checks that a keeper returns the newest acknowledged configuration.
func (o *configWriter) checkReadable(i int) {
	o.t.Helper()
	want := string(configBody(o.version, fmt.Sprint("version ", o.version)))
	if got := o.untilCode(200, func() response { return o.call(i, "GET", "/config", "", nil) }); got.body != want {
		o.t.Fatalf("keeper %d reads %v", i+1, got)
	}
}

// checkRemovalStored checks that, for each register, a majority of the remaining voters has stored that a keeper isn't
// a voter.
func (o *configWriter) checkRemovalStored(removed int, left ...int) {
	o.t.Helper()
	name := fmt.Sprint("k", removed+1)
	for _, register := range registerNames {
		stored := 0
		for _, i := range left {
			if voters := o.voterNames(i, register); len(voters) == len(left) && !slices.Contains(voters, name) {
				stored++
			}
		}
		if stored <= len(left)/2 {
			o.t.Errorf("%d of %d voters of %s have stored that %s is not a voter", stored, len(left), register, name)
		}
	}
}

// startRig starts the first of n machines.
func startRig(t *testing.T, n, first int) *configWriter {
	t.Helper()
	r := newRig(t, n)
	var all []int
	for i := range first {
		r.start(i)
		all = append(all, i)
	}
	r.firstStart = false
	r.untilConnected(all...)
	return &configWriter{rig: r}
}

// TestRestartRetainsVote: a keeper that shuts down and whose vote is needed keeps the vote and ends immediately, as it
// is probably being restarted.
func TestRestartRetainsVote(t *testing.T) {
	o := startRig(t, 3, 3)
	for i := range 3 {
		if took := o.terminate(i); took > min(time.Second*raceSlowdown, transferTimeout) { // the duration of a failed vote transfer
			t.Errorf("keeper %d ended after %v", i+1, took)
		}
		o.start(i)
		o.untilConnected(0, 1, 2)
	}
	o.untilVoters(0, 1, 2)
	o.put(0)
}

// TestTwoPlannedReplacements: twice, a successor becomes a voter before its predecessor shuts down, and the predecessor
// isn't a voter any more when it has ended. The loss of one more keeper then leaves a majority.
func TestTwoPlannedReplacements(t *testing.T) {
	o := startRig(t, 5, 3)
	o.put(0)
	for _, step := range []struct {
		joins, leaves int
		before, after []int
	}{
		{3, 0, []int{0, 1, 2, 3}, []int{1, 2, 3}},
		{4, 1, []int{1, 2, 3, 4}, []int{2, 3, 4}},
	} {
		o.start(step.joins)
		o.untilVoters(step.before...)
		took := o.terminate(step.leaves)
		t.Logf("keeper %d transferred its votes in %v", step.leaves+1, took)
		if took > transferTimeout*raceSlowdown {
			t.Errorf("keeper %d ended after %v", step.leaves+1, took)
		}
		o.checkRemovalStored(step.leaves, step.after...)
		o.put(step.after[0])
		o.untilVoters(step.after...)
	}
	o.kill(2)
	o.put(3)
	o.checkReadable(4)
}

// TestReplacementAfterLoss: a machine is lost permanently, and another one replaces it as a voter; then one more
// machine is lost.
func TestReplacementAfterLoss(t *testing.T) {
	o := startRig(t, 4, 3)
	o.put(0)
	o.kill(0)
	o.start(3)
	o.untilVoters(1, 2, 3)
	o.kill(1)
	o.put(2)
	o.checkReadable(3)
}

// TestEmptiedDiskIsAnotherVoter: a machine restarts under its name with an empty disk, and replaces its old identity as
// a voter; then one more machine is lost.
func TestEmptiedDiskIsAnotherVoter(t *testing.T) {
	o := startRig(t, 3, 3)
	o.put(0)
	lost := o.running[1].keeper.registers.id
	o.kill(1)
	o.disks[1] = vfstest.New()
	o.start(1)
	eventually(t, "the identity of the lost disk is not a voter any more", func() bool {
		return !slices.ContainsFunc(registerNames, func(name string) bool {
			state, _ := o.running[0].keeper.registers.state(name)
			return state.HasVoter(lost) || len(state.Voters) != 3
		})
	})
	o.kill(2)
	o.put(0)
	o.checkReadable(1)
}

// TestOldDiskAtNewAddress: a disk that is moved to another machine retains its vote, under that machine's name and
// address.
func TestOldDiskAtNewAddress(t *testing.T) {
	o := startRig(t, 4, 3)
	o.put(0)
	o.kill(0)
	o.disks[3] = o.disks[0]
	o.start(3)
	o.untilVoters(1, 2, 3)
	o.kill(1)
	o.put(2)
	o.checkReadable(3)
}

// TestReplacedVoterReturns: a keeper that restarts after it was replaced isn't a voter. It learns that, and neither
// requests nor grants leases. When it has caught up it becomes a voter again, with its old disk.
func TestReplacedVoterReturns(t *testing.T) {
	o := startRig(t, 4, 3)
	o.put(0)
	o.kill(0)
	o.start(3)
	o.untilVoters(1, 2, 3)
	o.put(1)
	o.start(0)
	o.checkReadable(0)
	o.untilVoters(0, 1, 2, 3)
	o.put(0)
}

// TestReplacementsAroundLoss: a planned replacement, the temporary loss of a voter, and another replacement during that
// loss. This sequence once left no majority. Puts are accepted at each point, and the newest one can be read at the
// end.
func TestReplacementsAroundLoss(t *testing.T) {
	o := startRig(t, 5, 3)
	o.put(0)
	o.start(3)
	o.untilVoters(0, 1, 2, 3)
	o.terminate(0)
	o.put(1)
	o.kill(2) // temporarily
	o.put(3)
	o.start(4)
	o.untilVoters(1, 3, 4)
	o.put(4)
	o.terminate(1)
	o.put(3)
	o.start(2)
	o.untilVoters(2, 3, 4)
	o.put(2)
	o.kill(3)
	o.put(4)
	o.checkReadable(2)
}

// TestVoterMissesManyChanges: a voter that was down for a hundred changes gets the newest state after its restart, and
// its vote counts for the next change.
func TestVoterMissesManyChanges(t *testing.T) {
	o := startRig(t, 3, 3)
	o.put(0)
	o.kill(0)
	for range 100 {
		o.put(1)
	}
	began := time.Now()
	o.start(0)
	newest := o.running[1].keeper.registers.storedSlotNumbers()
	eventually(t, "it has caught up", func() bool { return slices.Equal(o.running[0].keeper.registers.storedSlotNumbers(), newest) })
	t.Logf("caught up in %v", time.Since(began))
	o.kill(1)
	o.put(2)
	o.checkReadable(0)
}

// TestReportNamesVoters: a report names the connected voters, the sender if it is a voter, and no other keepers.
func TestReportNamesVoters(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 2)
	for i, id := range []uint64{7, 8} {
		k.adoptLink(conns[i], controlclient.Node{
			Name:        fmt.Sprint("k", id),
			Role:        controlclient.RoleKeeper,
			ID:          id,
			Incarnation: 1,
		}, false)
	}
	if reported := k.currentReport().ConnectedVoters; len(reported) != 0 {
		t.Errorf("%v are reported before the voters are known", reported)
	}
	state := paxos.State{Voters: []paxos.Voter{{
		ID:   k.registers.id,
		Name: "k1",
	}, {ID: 7, Name: "k7"}, {ID: 9, Name: "k9"}}}
	k.registers.publishDecided(configRegister, state)
	want := []uint64{7, k.registers.id}
	slices.Sort(want)
	if reported := k.currentReport().ConnectedVoters; !slices.Equal(reported, want) {
		t.Errorf("%v are reported, not %v", reported, want)
	}
}

// TestWhichKeepersMayGrantLeases: voters in the newest known state grant leases to voters, unless they lack a state
// that another keeper has.
func TestWhichKeepersMayGrantLeases(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	now := k.startedAt.Add(time.Minute)
	const other, nonVoter = 7, 8
	if k.mayGrant(now, other) {
		t.Error("granted by a keeper that does not know the voters")
	}
	voters := func(ids ...uint64) {
		state := paxos.State{Slot: k.registers.storedSlotNumbers()[0]}
		for _, id := range ids {
			state.Voters = append(state.Voters, paxos.Voter{ID: id, Name: fmt.Sprint(id)})
		}
		k.registers.publishDecided(configRegister, state)
	}
	voters(k.registers.id, other)
	if !k.mayGrant(now, other) || !k.mayGrant(now, k.registers.id) {
		t.Error("refused among voters")
	}
	if k.mayGrant(now, nonVoter) || k.mayGrant(now, 0) {
		t.Error("granted to a keeper that is not a voter")
	}
	k.voterManager.behindSince = now.Add(-maxBehind)
	if k.mayGrant(now, other) {
		t.Error("granted by a keeper that is behind for too long")
	}
	k.voterManager.behindSince = now
	if !k.mayGrant(now, other) {
		t.Error("refused while a new state propagates")
	}
	voters(other, nonVoter)
	if k.mayGrant(now, other) || k.mayGrant(now, k.registers.id) {
		t.Error("granted by a replaced voter")
	}
}

// TestProcessesLeaveKeeperThatShutsDown: a keeper that shuts down closes the links of its attached processes, and its
// votes and leases go to other keepers.
func TestProcessesLeaveKeeperThatShutsDown(t *testing.T) {
	o := startRig(t, 4, 4)
	o.untilVoters(0, 1, 2, 3)
	leaver := -1
	eventually(t, "a keeper holds the voters lease", func() bool {
		for i := range 4 {
			k := o.running[i].keeper
			if holds, _ := query(k, func() bool { return k.voterManager.lease.HasLease(k.sinceStart(time.Now())) }); holds {
				leaver = i
			}
		}
		return leaver >= 0
	})
	process := o.attachManually(leaver, "p")
	o.terminate(leaver)
	receive(t, process.closed, "the end of the link")
	var others []int
	for i := range 4 {
		if i != leaver {
			others = append(others, i)
		}
	}
	o.checkRemovalStored(leaver, others...)
	eventually(t, "another keeper holds the voters lease", func() bool {
		for i := range 4 {
			if i == leaver {
				continue
			}
			k := o.running[i].keeper
			if holds, _ := query(k, func() bool { return k.voterManager.lease.HasLease(k.sinceStart(time.Now())) }); holds {
				return true
			}
		}
		return false
	})
	o.put((leaver + 1) % 4)
}

// TestShuttingDownKeeperRefusesAttachments: a keeper that shuts down refuses attachments, and the others no longer list
// it for their attached processes.
func TestShuttingDownKeeperRefusesAttachments(t *testing.T) {
	k := newIdleKeeper(t, "k1")
	conns, _ := dialSink(t, 2)
	k.shuttingDown = true
	k.handleHello(&link.Message{Conn: conns[0], Body: encodeHello("p", controlclient.RoleProxy)})
	if len(k.attached) != 0 {
		t.Error("a process was attached")
	}
	k.shuttingDown = false
	k.adoptLink(conns[1], controlclient.Node{Name: "k2", Role: controlclient.RoleKeeper, ID: 7, Incarnation: 1}, false)
	if len(k.reachableKeepers()) != 2 {
		t.Errorf("%d keepers", len(k.reachableKeepers()))
	}
	changes := k.keepersRevision
	body := encodeReport(controlclient.KeeperReport{Stopping: true, DecidedSlots: make([]uint64, len(registerNames))})
	k.handleReport(&link.Message{Conn: conns[1], Body: body})
	if len(k.reachableKeepers()) != 1 || k.keepersRevision == changes {
		t.Error("a keeper that shuts down is still listed for attached processes")
	}
}

// TestVoterChangesUnderPuts: under continuous puts, a keeper becomes a voter, and a keeper with an emptied disk
// replaces its old identity.
func TestVoterChangesUnderPuts(t *testing.T) {
	o := startRig(t, 4, 3)
	underPuts := func(what string, holds func(state paxos.State) bool) {
		eventually(t, what, func() bool {
			o.put(1)
			return !slices.ContainsFunc(registerNames, func(name string) bool {
				state, _ := o.running[1].keeper.registers.state(name)
				return len(state.Voters) != 4 || !holds(state)
			})
		})
	}
	o.start(3)
	underPuts("the joiner votes", func(state paxos.State) bool { return state.HasVoter(o.running[3].keeper.registers.id) })
	o.kill(0)
	o.disks[0] = vfstest.New()
	o.start(0)
	underPuts("the new identity votes", func(state paxos.State) bool { return state.HasVoter(o.running[0].keeper.registers.id) })
	o.checkReadable(0)
}
