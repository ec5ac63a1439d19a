package batch

import (
	"fmt"
	"testing"

	"dunetide/internal/control/snapshot"
)

// stalledRig is four stores that survive the loss of two, of which some have a stalled disk or are lost.
type stalledRig struct {
	*storeRig
	stalled map[*core]bool
}

func newStalledRig() *stalledRig {
	g := &stalledRig{&storeRig{itemMicros: 1000}, map[*core]bool{}}
	var all []snapshot.Store
	for i := range 4 {
		c := newCore(uint64(i+1), &memoryDisk{})
		c.process, c.maxLostReplicas = uint64(1000+i), 2
		c.zone, c.config = fmt.Sprint("z", i%3), bulkConfig(1<<40)
		g.cores = append(g.cores, c)
		all = append(all, snapshot.Store{ID: c.self, Name: fmt.Sprint("s", i), Zone: c.zone})
	}
	table, _ := AssignPartitions(nil, all, func(uint64) bool { return false }, 1, 2)
	g.setClocks()
	for _, c := range g.cores {
		c.setTable(table)
	}
	for _, c := range g.cores {
		for _, d := range g.cores {
			if c != d {
				c.peerConnected(d.self, g.connect(receiverOf(c), receiverOf(d)))
			}
		}
	}
	g.run(1000)
	return g
}

// run lets time pass: disks that are not stalled sync at once.
func (g *stalledRig) run(ms int) {
	for range ms {
		g.now += 1000
		g.setClocks()
		for progress := true; progress; {
			messages := g.queue
			g.queue = nil
			for _, deliver := range messages {
				deliver()
			}
			progress = len(messages) > 0
			for _, c := range g.cores {
				if !g.stalled[c] && c.syncedRecords < c.appendedRecords {
					c.recordsSynced(c.appendedRecords)
					progress = true
				}
			}
		}
	}
}

// reconnect closes the connection that a store opened to another one, and opens a new one.
func (g *stalledRig) reconnect(from, to *core) {
	from.peerDisconnected(to.self, from.peers[to.self])
	from.peerConnected(to.self, g.connect(receiverOf(from), receiverOf(to)))
}

// TestSlowReplicasAreNotTakenForOnesThatIgnoreStates guards against leads that drop their floors: replicas whose disks stall
// and whose connections were reset confirm a lead, but don't acknowledge its states before their promise is durable.
func TestSlowReplicasAreNotTakenForOnesThatIgnoreStates(t *testing.T) {
	g := newStalledRig()
	row := g.cores[0].table.Partitions[0]
	lead := g.cores[row.Primary-1]
	var others []*core
	for _, id := range row.Replicas {
		if id != lead.self {
			others = append(others, g.cores[id-1])
		}
	}
	p := lead.partition(0)
	lead.shareLeadState(0, p.primary.incarnation, 5, []byte("floor"))
	g.run(10)
	if l := lead.leadOf(p); l.sharedSequence != 5 || l.statesIgnored {
		t.Fatalf("%+v", l)
	}
	g.stalled[others[0]], g.stalled[others[1]] = true, true
	lead.handleMessage(nil, callerFunc(func([]byte) {}), kindAcceptJob, encodedJob("j", 1, g.now/1000))
	g.run(5) // records wait for the disks
	g.reconnect(lead, others[0])
	g.reconnect(lead, others[1])
	for sequence := uint64(6); sequence < 12; sequence++ {
		lead.shareLeadState(0, p.primary.incarnation, sequence, []byte("lower"))
		g.run(100)
		lead.requestLeadConfirmation(0)
		g.run(100)
	}
	l := lead.leadOf(p)
	if l.sharedSequence != 5 || lead.nowMs-l.confirmedAt > 600 {
		t.Fatalf("the replicas hold the states, or don't confirm: %+v", l)
	}
	if l.statesIgnored {
		t.Error("replicas that are slow are taken for ones that ignore states")
	}
	g.stalled = map[*core]bool{}
	g.run(10)
	if l := lead.leadOf(p); l.sharedSequence != 11 || l.statesIgnored {
		t.Errorf("after the disks have answered: %+v", l)
	}
}

// TestStatesIgnored guards against leads that wait forever for replicas of a version without states, and against ones that
// drop their floors although enough replicas know states.
func TestStatesIgnored(t *testing.T) {
	const knows, ignores, slow, away = 1, 2, 3, 4
	c := newCore(1, &memoryDisk{})
	c.maxLostReplicas = 2
	for _, test := range []struct {
		replicas, next []int // from the second on; the first is the primary
		want           bool
	}{
		{[]int{knows, knows, knows}, nil, false},
		{[]int{knows, knows, ignores}, nil, false},
		{[]int{knows, ignores, ignores}, nil, true},
		{[]int{ignores, ignores, ignores}, nil, true},
		{[]int{slow, slow, slow}, nil, false},
		{[]int{away, away, away}, nil, false},
		{[]int{knows, slow, away}, nil, false},
		{[]int{knows, slow, ignores}, nil, true},
		{[]int{knows, knows, knows}, []int{ignores, ignores, ignores}, true},
		{[]int{knows, knows, knows}, []int{knows, knows, slow}, false},
	} {
		primary := newPrimaryState(1)
		primary.progress = map[uint64]*replicaProgress{}
		group := func(states []int, first uint64) (ids []uint64) {
			ids = []uint64{c.self}
			for i, state := range states {
				id := first + uint64(i)
				ids = append(ids, id)
				replica := &replicaProgress{digests: map[string]uint64{}, report: &leadReport{}}
				switch state {
				case ignores:
					replica.report = nil
				case slow:
					replica.digests, replica.report = nil, nil
				case away:
					continue
				}
				primary.progress[id] = replica
			}
			return ids
		}
		primary.replicas = group(test.replicas, 10)
		if test.next != nil {
			primary.nextReplicas = group(test.next, 20)
		}
		if got := c.statesIgnored(primary); got != test.want {
			t.Errorf("%v and %v: %v, want %v", test.replicas, test.next, got, test.want)
		}
	}
}
