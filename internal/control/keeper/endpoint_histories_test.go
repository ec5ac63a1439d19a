package keeper

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/mutation"
	"dunetide/internal/platform/vfs/vfstest"
)

const (
	historyKeepers = 4
	historySteps   = 40
	// defaultHistories is the number of drawn histories; ENDPOINT_HISTORIES sets another one.
	defaultHistories = 8
	// listDelay is how long a keeper may list an endpoint contrary to the messages that it has received.
	listDelay = 50 * time.Millisecond
)

// historyEndpoint is an endpoint of a drawn history.
type historyEndpoint struct {
	id, address string
	count       int  // of its newest call
	crashed     bool // it sends nothing more
	ended       bool // it sends nothing more, as it drained or left
	// acknowledged is the end that a keeper has acknowledged; Ready: none.
	acknowledged snapshot.State
}

// lateHeartbeat is a heartbeat that is still on its way.
type lateHeartbeat struct {
	endpoint *historyEndpoint
	count    int
}

// endpointHistory draws what endpoints, disks and keepers do. The account of what was acknowledged doesn't look into the
// keepers.
type endpointHistory struct {
	*rig
	random    *rand.Rand
	endpoints []*historyEndpoint
	late      []lateHeartbeat
	full      map[int]bool // keepers whose disks are full
	addresses int
	trace     []string
}

func (h *endpointHistory) tracef(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

func (h *endpointHistory) randomKeeper() int { return h.random.IntN(len(h.running)) }

// serving returns the endpoints that still send heartbeats.
func (h *endpointHistory) serving() (serving []*historyEndpoint) {
	for _, e := range h.endpoints {
		if !e.crashed && !e.ended {
			serving = append(serving, e)
		}
	}
	return serving
}

// sendHeartbeat sends the next heartbeat of an endpoint. One in three arrives later, perhaps never.
func (h *endpointHistory) sendHeartbeat(e *historyEndpoint) {
	e.count++
	if h.random.IntN(3) == 0 {
		h.late = append(h.late, lateHeartbeat{e, e.count})
		return
	}
	i := h.randomKeeper()
	a := h.heartbeatFrom(i, e.address, e.id, "ready", e.count)
	h.tracef("heartbeat %d of %s at keeper %d: %d", e.count, e.id, i+1, a.status)
}

// startEndpoint starts an endpoint, at a new address or at that of one that has crashed or left.
func (h *endpointHistory) startEndpoint() {
	e := &historyEndpoint{id: fmt.Sprint("e", len(h.endpoints)+1)}
	used := map[string]bool{}
	for _, other := range h.serving() {
		used[other.address] = true
	}
	for _, other := range h.endpoints {
		if !used[other.address] && h.random.IntN(2) == 0 {
			e.address = other.address
		}
	}
	if e.address == "" {
		h.addresses++
		e.address = fmt.Sprint("10.0.0.1:", h.addresses)
	}
	h.endpoints = append(h.endpoints, e)
	h.tracef("%s starts at %s", e.id, e.address)
	h.sendHeartbeat(e)
}

// endEndpoint has an endpoint drain or leave. It sends that to one keeper after the other, perhaps while disks are full, and
// returns the last one.
func (h *endpointHistory) endEndpoint(e *historyEndpoint) (last int) {
	e.ended = true
	state := snapshot.Draining
	if h.random.IntN(2) == 0 {
		state = snapshot.Removed
	}
	for range 1 + h.random.IntN(2*len(h.running)) {
		i := h.randomKeeper()
		last = i
		e.count++
		var a response
		if state == snapshot.Removed {
			a = h.call(i, http.MethodDelete, "/instances/"+e.id, "", nil)
		} else {
			a = h.heartbeatFrom(i, e.address, e.id, "draining", e.count)
		}
		h.tracef("end of %s in state %v at keeper %d: %d", e.id, state, i+1, a.status)
		if a.status == http.StatusOK {
			e.acknowledged = state
			return last
		}
	}
	return last
}

// deliverLate delivers a late heartbeat.
func (h *endpointHistory) deliverLate() {
	if len(h.late) == 0 {
		return
	}
	h.deliver(h.random.IntN(len(h.late)))
}

// deliver delivers a late heartbeat, given by its index.
func (h *endpointHistory) deliver(n int) {
	late := h.late[n]
	h.late = slices.Delete(h.late, n, n+1)
	i := h.randomKeeper()
	a := h.heartbeatFrom(i, late.endpoint.address, late.endpoint.id, "ready", late.count)
	h.tracef("late heartbeat %d of %s at keeper %d: %d", late.count, late.endpoint.id, i+1, a.status)
}

// replaceDisk replaces a keeper by one with an empty disk, and waits until that one votes.
func (h *endpointHistory) replaceDisk(i int) {
	h.tracef("keeper %d loses its disk", i+1)
	h.kill(i)
	h.disks[i] = vfstest.New()
	h.start(i)
	h.untilVoting()
}

// untilVoting waits until all keepers are connected and vote.
func (h *endpointHistory) untilVoting() {
	all := h.keepers()
	h.untilConnected(all...)
	h.untilVoters(all...)
}

func (h *endpointHistory) freeDisks() {
	for i := range h.full {
		h.freeDisk(i)
	}
	clear(h.full)
}

// loseCoreAnd ends all keepers at once, as loseCore does, some of them perhaps with their disks. Disks have space again.
func (h *endpointHistory) loseCoreAnd(disks ...int) {
	h.tracef("all keepers lose power, %v also their disks", disks)
	for i := range h.full {
		h.kill(i)
		h.disks[i].Capacity = 0
	}
	clear(h.full)
	for _, i := range disks {
		h.kill(i)
		h.disks[i] = vfstest.New()
	}
	h.loseCore()
	h.untilVoting()
}

// endAndLoseCore has an endpoint end, perhaps while disks are full, and then all keepers lose power, perhaps one of them its
// disk too. A heartbeat that was sent before the end arrives after that.
func (h *endpointHistory) endAndLoseCore(e *historyEndpoint) {
	e.count++
	h.late = append(h.late, lateHeartbeat{e, e.count})
	for i := range h.running {
		if h.random.IntN(3) == 0 {
			h.fill(i)
		}
	}
	last := h.endEndpoint(e)
	if h.random.IntN(2) == 0 {
		h.loseCoreAnd(last)
	} else {
		h.loseCoreAnd()
	}
	h.deliver(len(h.late) - 1)
}

// useAddressAgain has an endpoint crash, and a new one start at its address. All keepers lose power, and a heartbeat of the
// former endpoint arrives between those of the new one.
func (h *endpointHistory) useAddressAgain(former *historyEndpoint) {
	former.count++
	former.crashed = true
	successor := &historyEndpoint{id: fmt.Sprint("e", len(h.endpoints)+1), address: former.address}
	h.endpoints = append(h.endpoints, successor)
	h.tracef("%s crashes, and %s starts at its address", former.id, successor.id)
	h.sendHeartbeat(successor)
	h.loseCoreAnd()
	h.sendHeartbeat(successor)
	h.late = append(h.late, lateHeartbeat{former, former.count})
	h.deliver(len(h.late) - 1)
}

// rewriteLogs rewrites the logs of all keepers.
func (h *endpointHistory) rewriteLogs() {
	h.tracef("all logs are rewritten")
	for i := range h.running {
		h.withDisk(i, h.running[i].keeper.registers.rewriteLog)
	}
}

// fill fills the disk of a keeper, unless that of all others are full.
func (h *endpointHistory) fill(i int) {
	if h.full[i] || len(h.full) >= len(h.running)-1 {
		return
	}
	h.full[i] = true
	h.fillDisk(i)
	h.tracef("the disk of keeper %d is full", i+1)
}

// step draws one step.
func (h *endpointHistory) step() {
	serving := h.serving()
	switch n := h.random.IntN(24); {
	case n < 3 || len(serving) == 0:
		h.startEndpoint()
	case n < 8:
		h.sendHeartbeat(serving[h.random.IntN(len(serving))])
	case n < 10:
		h.endEndpoint(serving[h.random.IntN(len(serving))])
	case n < 11:
		e := serving[h.random.IntN(len(serving))]
		e.crashed = true
		h.tracef("%s crashes", e.id)
	case n < 14:
		h.deliverLate()
	case n < 15:
		h.fill(h.randomKeeper())
	case n < 16:
		h.loseCoreAnd()
	case n < 19:
		h.endAndLoseCore(serving[h.random.IntN(len(serving))])
	case n < 21:
		h.useAddressAgain(serving[h.random.IntN(len(serving))])
	case n < 23:
		h.freeDisks()
		h.rewriteLogs()
	default:
		h.freeDisks()
		h.replaceDisk(h.randomKeeper())
	}
	h.check()
}

// check checks that no keeper in contact lists an endpoint contrary to its acknowledged end.
func (h *endpointHistory) check() {
	h.t.Helper()
	if violation := h.violation(); violation == "" {
		return
	}
	time.Sleep(listDelay) // contact may be known a moment before the lists that came with it
	if violation := h.violation(); violation != "" {
		h.fail(violation)
	}
}

func (h *endpointHistory) violation() (violation string) {
	for i, run := range h.running {
		k := run.keeper
		query(k, func() bool {
			now := k.sinceStart(time.Now())
			for _, e := range h.endpoints {
				entry, listed := k.endpoints.Get(now, e.id)
				if listed && k.contact.InContact(now) && entry.EffectiveEndpoint().State < e.acknowledged {
					violation = fmt.Sprintf("keeper %d lists %s in state %v, but %v was acknowledged", i+1, e.id, entry.State, e.acknowledged)
				}
			}
			return true
		})
	}
	return violation
}

// checkServing checks that all keepers list the endpoints that send heartbeats.
func (h *endpointHistory) checkServing() {
	h.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		missing := ""
		for _, e := range h.serving() {
			e.count++
			h.heartbeatFrom(h.randomKeeper(), e.address, e.id, "ready", e.count)
		}
		for _, e := range h.serving() {
			for i := range h.running {
				if state := h.listed(i, e.id); state != snapshot.Ready {
					missing = fmt.Sprintf("keeper %d lists %s in state %v, but it serves", i+1, e.id, state)
				}
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(deadline) {
			h.fail(missing)
		}
		time.Sleep(listDelay) // until the next heartbeats
	}
}

func (h *endpointHistory) fail(violation string) {
	h.t.Helper()
	for _, line := range h.trace {
		h.t.Log(line)
	}
	h.t.Fatal(violation)
}

// TestDrawnEndpointHistories draws histories of endpoints that come, drain, leave, crash and use addresses again, whose
// heartbeats come late, at keepers that lose power together, lose a disk or have full disks: no acknowledged end is
// forgotten, and each endpoint that serves is listed.
func TestDrawnEndpointHistories(t *testing.T) {
	histories := uint64(defaultHistories)
	if text := os.Getenv("ENDPOINT_HISTORIES"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatalf("ENDPOINT_HISTORIES: %v: set the number of histories", err)
		}
		histories = n
	}
	for seed := range histories {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &endpointHistory{rig: newRig(t, historyKeepers), random: rand.New(rand.NewPCG(seed, 84)), full: map[int]bool{}}
			h.startAll()
			h.untilVoting()
			for range historySteps {
				h.step()
			}
			h.freeDisks()
			h.checkServing()
			h.check()
		})
	}
}

// endMutants violate the promise that an acknowledged end outlives all keepers, or that an endpoint which serves is listed.
var endMutants = []mutation.Mutant{
	{
		Name: "an end is confirmed before it is on disk",
		File: "endpoint_ends.go",
		Old:  "	ends.waiting = append(ends.waiting, &endWaiter{deadline: now.Add(endStoreTimeout), done: done})\n",
		New:  "	done(nil)\n",
	},
	{
		Name: "an end is confirmed though its write failed",
		File: "endpoint_ends.go",
		Old:  "		w.finish(err)\n",
		New:  "		w.finish(nil)\n",
	},
	{
		Name: "ends are not replayed",
		File: "endpoint_ends.go",
		Old:  "	k.endpoints.Merge(0, entries)\n",
		New:  "",
	},
	{
		Name: "ends of other keepers are not stored",
		File: "endpoints.go",
		Old:  "	k.ends.store(now, entries, func(err error) {\n",
		New:  "	k.ends.store(now, nil, func(err error) {\n",
	},
	{
		Name: "a rewritten log has no ends",
		File: "register_log.go",
		Old:  "	return rs.writeEnds(add)\n",
		New:  "	return nil\n",
	},
	{
		Name: "a joining voter counts without the ends",
		File: "reports.go",
		Old:  "	if !k.endsSynchronized() {",
		New:  "	if false {",
	},
	{
		Name: "an unknown incarnation always removes the one at its address",
		File: "../registry/table.go",
		Old:  " && now >= t.completeAt {\n",
		New:  " {\n",
	},
}

// TestEndMutantsAreFound runs the tests of ends against each mutant, which takes minutes. KEEPER_END_MUTANTS enables it: 1,
// or part of a mutant's name. KEEPER_END_TESTS selects other tests.
func TestEndMutantsAreFound(t *testing.T) {
	only := mutation.Requested(t, "KEEPER_END_MUTANTS")
	tests := os.Getenv("KEEPER_END_TESTS")
	if tests == "" {
		tests = "TestAcknowledgedEndOutlives|TestSuccessorOutlives|TestEndsNeed|TestEndsOutlive|TestKeeperWithoutEnds|" +
			"TestStoredEnds|TestDroppedEnds|TestDrawnEndpointHistories"
	}
	mutation.Find(t, endMutants, mutation.Options{Only: only, Args: []string{"-run", tests},
		Env: []string{"KEEPER_END_MUTANTS="}, Within: 5 * time.Minute})
}
