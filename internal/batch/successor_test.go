package batch

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// TestSuccessorsOfAKilledPrimaryKnowWhenItsLeadEnded: a new primary had to wait as if the lead before had been
// confirmed until its own takeover, although its replicas had last confirmed it when the old primary was killed.
func TestSuccessorsOfAKilledPrimaryKnowWhenItsLeadEnded(t *testing.T) {
	const (
		leastDetectionMs = 300 // the table changes no earlier than this after the kill
		messageMs        = 10
	)
	for seed := range uint64(10) {
		sim := newSimulation(seed, 4, 1, 8)
		sim.start()
		sim.run(3000)
		m := newLeadMonitor(sim, leadWaitMs)
		sim.run(2000)
		killed := sim.stores[seed%4]
		before := m.successors
		killedAt := sim.nowMs()
		killed.kill()
		sim.run(2500)
		if m.successors == before {
			t.Fatalf("seed %d: no partition has a new primary", seed)
		}
		for _, s := range sim.stores {
			for index := 0; s.core != nil && index < sim.partitionCount; index++ {
				l := s.core.leadOf(s.core.partition(index))
				if l.incarnation == 0 || l.servingSince < killedAt {
					continue
				}
				most := killedAt + messageMs + (l.servingSince-killedAt)/clockRateDivisor
				if l.earlierUntil > most || l.servingSince-l.earlierUntil < leastDetectionMs {
					t.Errorf("seed %d: killed at %d, %s serves partition %d since %d, earlier leads until %d",
						seed, killedAt, s.name, index, l.servingSince, l.earlierUntil)
				}
				if l.inherited == nil {
					t.Errorf("seed %d: %s inherits no state of partition %d", seed, s.name, index)
				}
			}
		}
		for _, wrong := range m.wrong {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// TestAgesAreReduced guards against ages that are used as if all clocks had one rate and no resolution.
func TestAgesAreReduced(t *testing.T) {
	for ms, want := range map[int64]int64{0: 0, 1: 0, 2: 0, 50: 48, 51: 48, 1000: 979, maxLeadAgeMs: 1077521395219} {
		if got := minimumAge(ms); got != want {
			t.Errorf("at least %d of %d ms have passed, want %d", got, ms, want)
		}
	}
}

// TestConfirmationsThatAreRemembered guards against confirmations of the own term, or of none, that are reported as
// those of earlier leads.
func TestConfirmationsThatAreRemembered(t *testing.T) {
	c := newCore(1, &memoryDisk{})
	c.process, c.startedMs = 5, 100
	c.table = &snapshot.PartitionTable{}
	p := c.partition(3)
	check := func(term uint64, want leadReport) {
		t.Helper()
		if got := c.ownLeadReport(p, term); !reflect.DeepEqual(got, want) {
			t.Errorf("before term %x: %+v, want %+v", term, got, want)
		}
	}
	check(9, leadReport{process: 5, earlierUntil: 100}) // what was before the start is not known
	pipe := &recordingPipe{}
	for _, confirmed := range []struct {
		atMs int64
		term uint64
	}{{200, 7}, {300, 8}, {250, 7}, {400, 9}} {
		c.nowMs = confirmed.atMs
		c.handleMessage(pipe, nil, kindConfirm, encodeNumbers(3, confirmed.term, 1))
	}
	check(9, leadReport{process: 5, confirmedTerm: 8, earlierUntil: 300})
	check(10, leadReport{process: 5, confirmedTerm: 9, earlierUntil: 400})

	lead := func(term uint64, confirmedAt int64, serving bool) {
		p.primary = newPrimaryState(term)
		p.primary.term, p.primary.leadConfirmedAt, p.primary.serving = term, confirmedAt, serving
		c.stepDown(p)
	}
	lead(12, 500, false)
	check(13, leadReport{process: 5, confirmedTerm: 9, earlierUntil: 400})
	lead(12, 500, true)
	check(13, leadReport{process: 5, confirmedTerm: 12, earlierUntil: 500})
	lead(14, never, true)
	check(15, leadReport{process: 5, confirmedTerm: 12, earlierUntil: 500})
}

// TestWitnessOfGroups guards against a group that counts as the one of earlier leads although there were others.
func TestWitnessOfGroups(t *testing.T) {
	var w groupWitness
	see := func(row snapshot.Partition, previous uint64, nowMs, wantSince int64, wantEpoch uint64) {
		t.Helper()
		w.see(&row, previous, nowMs)
		if w.since != wantSince || w.epoch != wantEpoch {
			t.Errorf("epoch %d: since %d, epoch %d, want %d, %d", row.Epoch, w.since, w.epoch, wantSince, wantEpoch)
		}
	}
	first, second := []uint64{1, 2, 3}, []uint64{1, 2, 4}
	see(snapshot.Partition{Epoch: 7, Replicas: first}, 0, 1000, 1000, 7)
	see(snapshot.Partition{Epoch: 8, Replicas: first}, 7, 2000, 1000, 7)
	see(snapshot.Partition{Epoch: 9, Replicas: first, Leaving: []uint64{3}, Joining: []uint64{4}}, 8, 3000, 1000, 7)
	see(snapshot.Partition{Epoch: 10, Replicas: second}, 9, 4000, 4000, 9) // the change is complete
	see(snapshot.Partition{Epoch: 11, Replicas: second}, 10, 5000, 4000, 9)
	see(snapshot.Partition{Epoch: 12, Replicas: first}, 11, 6000, 6000, 12)
	see(snapshot.Partition{Epoch: 14, Replicas: first}, 12, 7000, 7000, 14) // the epoch between was not seen
}

// successorCore returns the core of store 1, process 11, which collects promises at 10000 ms for the group of stores 1,
// 2 and 3, which was seen first at 4000 ms, in epoch 5.
func successorCore(f int) (*core, *partition) {
	c := newCore(1, &memoryDisk{})
	c.process, c.startedMs, c.nowMs, c.maxLostReplicas = 11, 100, 10_000, f
	p := c.partition(0)
	p.group = groupWitness{since: 4000, epoch: 5}
	p.primary = newPrimaryState(firstTerm(9) + 1)
	p.primary.term = p.primary.incarnation
	p.primary.stage = stageCollecting
	p.primary.replicas = []uint64{1, 2, 3}
	p.primary.progress = map[uint64]*replicaProgress{}
	return c, p
}

// promise adds a promise with a report.
func (s *primaryState) promise(id uint64, report *leadReport) {
	s.progress[id] = &replicaProgress{
		pipe:         &recordingPipe{},
		digests:      map[string]uint64{},
		report:       report,
		acknowledged: -1,
	}
}

// TestEndOfEarlierLeads guards against a bound that leaves out what this store or a replica knows, or does not know.
func TestEndOfEarlierLeads(t *testing.T) {
	for name, example := range map[string]struct {
		prepare func(c *core, p *partition)
		want    int64
	}{
		"a replica confirmed": {func(_ *core, p *partition) {
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 7000})
		}, 7000},
		"the newest of several": {func(_ *core, p *partition) {
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 6000})
			p.primary.promise(3, &leadReport{process: 13, earlierUntil: 8000})
		}, 8000},
		"this store confirmed": {func(_ *core, p *partition) {
			p.confirmations.note(firstTerm(8)+1, 9000)
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 7000})
		}, 9000},
		"this store has started since": {func(c *core, p *partition) {
			c.startedMs = 9500
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 7000})
		}, 9500},
		"the group has changed since": {func(_ *core, p *partition) {
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 3000})
		}, 4000},
		"a version without reports": {func(_ *core, p *partition) {
			p.primary.promise(2, nil)
		}, 10_000},
		"not a member": {func(_ *core, p *partition) {
			p.primary.nextReplicas = []uint64{1, 2, 4}
			p.primary.promise(2, &leadReport{process: 12, earlierUntil: 7000})
			p.primary.promise(4, nil)
		}, 7000},
	} {
		c, p := successorCore(1)
		example.prepare(c, p)
		c.chooseStateSource(p)
		if p.primary.stage == stageCollecting || p.primary.earlierUntil != example.want {
			t.Errorf("%s: stage %d, until %d, want %d", name, p.primary.stage, p.primary.earlierUntil, example.want)
		}
	}
}

// TestInheritedStates guards against an older state that is taken for the newest, and against states that are lost for
// no reason.
func TestInheritedStates(t *testing.T) {
	old, lead := firstTerm(6)+1, firstTerm(7)+1
	listed := func(s *leadState, processes ...uint64) *leadState {
		for _, process := range processes {
			s.processes = append(s.processes, storeProcess{process % 10, process})
		}
		return s
	}
	unknown := listed(testState(lead, 4), 11, 12, 13)
	unknown.processes = append(unknown.processes, storeProcess{store: 2})
	for name, example := range map[string]struct {
		own, second, third *leadReport // of the processes 11, 12 and 13
		groupEpoch         uint64
		want               string // lead and number
	}{
		"nothing was shared": {want: "", second: &leadReport{process: 12}},
		"this store holds it": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 12}, want: "70001 4",
		},
		"another one holds it": {
			second: &leadReport{process: 12, held: listed(testState(lead, 4), 13, 12, 11)}, want: "70001 4",
		},
		"the newest of a lead": {
			own:    &leadReport{held: listed(testState(lead, 3), 11, 12, 13)},
			second: &leadReport{process: 12, held: listed(testState(lead, 4), 11, 12, 13)},
			third:  &leadReport{process: 13, held: listed(testState(lead, 2), 11, 12, 13)}, want: "70001 4",
		},
		"the newest lead": {
			own:    &leadReport{held: listed(testState(lead, 3), 11, 12, 13)},
			second: &leadReport{process: 12, held: listed(testState(old, 99), 11, 12, 13)}, want: "70001 3",
		},
		"the second copy lists all": {
			own:    &leadReport{held: listed(testState(lead, 4), 11)},
			second: &leadReport{process: 12, held: listed(testState(lead, 4), 11, 12)}, want: "70001 4",
		},
		"a replica has restarted": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 22}, want: "",
		},
		"a replica of an older version": {
			own:    &leadReport{held: unknown},
			second: &leadReport{}, want: "",
		},
		"this store has restarted": {
			second: &leadReport{process: 12, held: listed(testState(lead, 4), 21, 12, 13)}, want: "",
		},
		"an older state is no replacement": {
			own:    &leadReport{held: listed(testState(lead, 3), 11, 12, 13)},
			second: &leadReport{process: 12, held: listed(testState(lead, 4), 12, 13)}, want: "",
		},
		"a later lead was confirmed": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 12, confirmedTerm: lead + 1}, want: "",
		},
		"its lead was confirmed": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 12, confirmedTerm: lead}, want: "70001 4",
		},
		"the group had other members": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 12}, groupEpoch: 8, want: "",
		},
		"the group was the next one": {
			own:    &leadReport{held: listed(testState(lead, 4), 11, 12, 13)},
			second: &leadReport{process: 12}, groupEpoch: 7, want: "70001 4",
		},
	} {
		c, p := successorCore(1)
		p.group.epoch = max(p.group.epoch, example.groupEpoch)
		if example.own != nil {
			p.heldState = example.own.held
		}
		p.primary.promise(2, example.second)
		if example.third != nil {
			p.primary.promise(3, example.third)
		}
		c.chooseStateSource(p)
		got := ""
		if s := p.primary.inherited; s != nil {
			got = fmt.Sprintf("%x %d", s.incarnation, s.sequence)
		}
		if got != example.want {
			t.Errorf("%s: inherited %q, want %q", name, got, example.want)
		}
	}
}

// TestStateIsSharedOnceItIsFound guards against a state that counts as shared although a takeover may miss it.
func TestStateIsSharedOnceItIsFound(t *testing.T) {
	c, p := successorCore(2)
	primary := p.primary
	primary.replicas, primary.nextReplicas = []uint64{1, 2, 3, 4}, []uint64{2, 3, 5, 6}
	for _, id := range primary.allReplicas() {
		if id != c.self {
			primary.promise(id, &leadReport{process: 10 + id})
			primary.progress[id].session = id
		}
	}
	primary.stage, primary.serving = stageReplicating, true
	c.shareLeadState(0, primary.incarnation, 5, []byte("five"))
	held := func(id, sequence uint64) {
		c.handleMessage(primary.progress[id].pipe, nil, kindLeadStateHeld, encodeNumbers(0, primary.term, id, sequence))
	}
	for _, step := range []struct{ id, sequence, want uint64 }{
		{2, 5, 0},
		{3, 5, 0}, // enough of the old group
		{5, 4, 4}, // with the third of the next group
		{6, 5, 5},
		{6, 3, 5},
	} {
		held(step.id, step.sequence)
		if primary.sharedSequence != step.want {
			t.Errorf("after %d of store %d: %d is shared, want %d", step.sequence, step.id, primary.sharedSequence, step.want)
		}
	}
	primary.progress[2].session = 77 // it has connected again
	held(2, 9)
	if primary.progress[2].heldSequence != 5 {
		t.Error("the acknowledgement of an earlier session counts")
	}
}

// TestReplicaHoldsTheNewestState guards against states of replaced primaries and late ones.
func TestReplicaHoldsTheNewestState(t *testing.T) {
	c := newCore(1, &memoryDisk{})
	p := c.partition(0)
	pipe := &recordingPipe{}
	const term, session = 1<<16 + 2, 4
	p.promisedTerm, p.session, p.followedPrimary = term, session, pipe
	send := func(term, session, sequence uint64, from *recordingPipe, wantAnswer []link.Kind, wantHeld uint64) {
		t.Helper()
		from.kinds = nil
		c.handleMessage(from, nil, kindLeadState, leadStateOf(0, term, session, sequence))
		held := uint64(0)
		if p.heldState != nil {
			held = p.heldState.sequence
		}
		if !slices.Equal(from.kinds, wantAnswer) || held != wantHeld {
			t.Errorf("answered %v and holds %d, want %v and %d", from.kinds, held, wantAnswer, wantHeld)
		}
	}
	send(term-1, session, 3, pipe, []link.Kind{kindStaleTerm}, 0)
	send(term, session-1, 3, pipe, nil, 0)
	send(term, session, 3, &recordingPipe{}, nil, 0)
	send(term, session, 3, pipe, []link.Kind{kindLeadStateHeld}, 3)
	send(term, session, 5, pipe, []link.Kind{kindLeadStateHeld}, 5)
	send(term, session, 4, pipe, []link.Kind{kindLeadStateHeld}, 5)
}

// TestStoreSharesStates plays a lead that shares a state and its successor, as other goroutines see them.
func TestStoreSharesStates(t *testing.T) {
	g := newStoreRig(4, 0, 0, 1000)
	const key = "rate:a"
	index := g.cores[0].table.PartitionOf(key)
	storeOf := func(c *core) *Store { return &Store{core: c, start: time.Now(), wake: make(chan struct{}, 1)} }
	runQueue := func(s *Store) {
		for _, event := range s.swapQueue() {
			event()
		}
		g.deliverAll()
		s.publishLeads()
	}
	old := g.cores[g.cores[0].table.Partitions[index].Primary-1]
	s := storeOf(old)
	s.publishLeads()
	first, _ := s.LeadOf(key)
	if first.SharedSequence != 0 || first.Inherited != nil {
		t.Errorf("%+v before anything was shared", first)
	}
	var logged []string
	old.logf = func(format string, args ...any) { logged = append(logged, fmt.Sprintf(format, args...)) }
	s.ShareLeadState(index, first.Incarnation+1, 1, []byte("of another lead"))
	s.ShareLeadState(index, first.Incarnation, 1, bytes.Repeat([]byte("s"), maxLeadStateBytes+1))
	s.ShareLeadState(index, first.Incarnation, 2, bytes.Repeat([]byte("s"), maxLeadStateBytes+1))
	s.ShareLeadState(-1, first.Incarnation, 1, nil)
	s.ShareLeadState(maxPartitions, first.Incarnation, 1, nil)
	runQueue(s)
	if old.partition(index).heldState != nil || len(logged) != 1 || !strings.Contains(logged[0], "65537 bytes") {
		t.Errorf("a state was not refused, or not reported once: %q", logged)
	}
	s.ShareLeadState(index, first.Incarnation, 1, []byte("one"))
	s.ShareLeadState(index, first.Incarnation, 2, bytes.Repeat([]byte("s"), maxLeadStateBytes))
	runQueue(s)
	if l, _ := s.LeadOf(key); l.SharedSequence != 2 {
		t.Errorf("%d was shared, want 2", l.SharedSequence)
	}

	g.now += 1_000_000
	next := g.moveLead(index)
	s = storeOf(next)
	s.publishLeads()
	l, ok := s.LeadOf(key)
	if !ok || l.Incarnation <= first.Incarnation || len(l.Inherited) != maxLeadStateBytes || l.SharedSequence != 0 {
		t.Errorf("the successor has %d bytes of state, of which %d is shared", len(l.Inherited), l.SharedSequence)
	}
	if l.EarlierUntil.After(l.ServingSince) {
		t.Errorf("earlier leads until %v, it serves since %v", l.EarlierUntil, l.ServingSince)
	}
}

// moveLead has another replica of a partition take over, and returns it.
func (g *storeRig) moveLead(index int) *core {
	table := cloneTable(g.cores[0].table)
	row := &table.Partitions[index]
	old := slices.Index(row.Replicas, row.Primary)
	row.Primary = row.Replicas[(old+1)%len(row.Replicas)]
	row.Epoch++
	g.setClocks()
	for _, c := range g.cores {
		c.setTable(table)
	}
	g.deliverAll()
	return g.cores[row.Primary-1]
}

// TestReconnectedReplicaGetsTheState guards against a state that a replica misses when it was out of touch, as no other
// one may be shared for long.
func TestReconnectedReplicaGetsTheState(t *testing.T) {
	g := newStoreRig(3, 0, 0, 1000)
	c := g.cores[g.cores[0].table.Partitions[0].Primary-1]
	p := c.partition(0)
	replica := g.cores[c.self%3]
	pipe := c.peers[replica.self]
	c.peerDisconnected(replica.self, pipe)
	c.shareLeadState(0, p.primary.incarnation, 1, []byte("one"))
	g.deliverAll()
	if replica.partition(0).heldState != nil {
		t.Fatal("the state was sent without a connection")
	}
	c.peerConnected(replica.self, pipe)
	g.deliverAll()
	s := replica.partition(0).heldState
	if s == nil || s.sequence != 1 || len(s.processes) != 3 || !slices.Equal(s.processes, p.heldState.processes) {
		t.Errorf("the replica holds %+v", s)
	}
}

// TestUnknownKindsAreIgnored stands for versions that do not know the messages of later ones.
func TestUnknownKindsAreIgnored(t *testing.T) {
	g, primary, c, p := followerOf(t)
	pipe := &recordingPipe{}
	p.followedPrimary = pipe
	for _, to := range []*core{primary, c} {
		before := stateOf(to, to.partition(p.index))
		to.handleMessage(pipe, nil, kindInstallJobPart+1, leadStateOf(p.index, p.promisedTerm, p.session, 1))
		if after := stateOf(to, to.partition(p.index)); after != before || len(pipe.kinds) > 0 {
			t.Errorf("%+v became %+v, answered with %v", before, after, pipe.kinds)
		}
	}
	if code := g.submit("later", 2); code != codeOK {
		t.Errorf("a later job was answered %d", code)
	}
}
