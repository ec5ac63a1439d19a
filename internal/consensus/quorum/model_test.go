package quorum

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/lab/simulation"
)

// The model has keepers with a gate and a register each, on one simulated clock. Faults: keepers are partitioned from
// each other in one direction or both, for seconds or for half of each second, frozen, killed and restarted; disks are
// wiped, voters are changed and wall clocks are stepped. Meanwhile operators put values, processes attach and
// heartbeats arrive. Two invariants must hold at all times:
//
//   - the first value pushed to a process is not older than the newest value confirmed before the process attached;
//   - an acknowledgement or push is backed by a majority of the voters of a state that was current no longer than
//     ContactTimeout ago, each of which has answered a message sent no longer than ContactTimeout ago.

const (
	modelVoters  = 3 // initially
	modelKeepers = 4
	modelTime    = 40 * time.Second
	// acknowledgeWait is how long an acknowledgement waits for pushes, after which contact is checked again.
	acknowledgeWait = 250 * time.Millisecond
)

// model is a simulation determined by its seed. Checks that fail end it with a simulation.Violation.
type model struct {
	simulation.Scheduler
	rng          *rand.Rand
	keepers      []*modelKeeper
	partitioned  [modelKeepers][modelKeepers]bool // from, to
	confirmed    uint64                           // the newest value confirmed to an operator
	processCount int
	states       []modelState // decided states by slot
	lastIdentity uint64       // ID of the newest voter
	// changePending is set from the wiping of a disk or the proposal of a change of voters until the change is decided:
	// another wipe or change before that might destroy the last copy of a confirmed value.
	changePending bool
	// wipeAtConfirmation makes the next keeper that confirms a value lose its disk at once.
	wipeAtConfirmation bool

	// Event counts, which expose a run that does not exercise the invariants.
	pushed, acknowledged, refused, confirmedCount, wiped, changed, clockSteps int
}

// modelState is the voters of a decided state and the time at which the first keeper knew the state.
type modelState struct {
	voters  []paxos.Voter
	decided time.Duration
}

// clockReading is a reading of a machine's clocks, like that of time.Now: the monotonic clock, which is never stepped,
// and the wall clock.
type clockReading struct{ monotonic, wall time.Duration }

// sub returns the time elapsed since another reading, like time.Time.Sub.
func (a clockReading) sub(b clockReading) time.Duration { return a.monotonic - b.monotonic }

type modelKeeper struct {
	model           *model
	index           int
	id              uint64 // voter ID; changes when the disk is wiped
	startedAt       clockReading
	wallClockOffset time.Duration // offset of the wall clock from the simulated clock
	incarnation     int
	up              bool
	frozen          bool
	delayed         []func() // steps that arrived while it was frozen
	records         [][]byte
	register        *paxos.Register
	gate            *Gate[int]
	value           uint64
	attached        map[int]*modelProcess
	ticks           int
	// received is, by keeper, the send time of the newest message received from it in this incarnation.
	received [modelKeepers]time.Duration
	// answered is, by voter, the send time of the newest of this keeper's messages that the voter is known to have
	// received, from the echo in the messages received from it.
	answered map[uint64]time.Duration
}

type modelProcess struct {
	confirmedBefore uint64 // the newest value confirmed before it attached
	value           uint64
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d) + 1)) }

func (m *model) anyKeeper() *modelKeeper { return m.keepers[m.rng.IntN(modelKeepers)] }

func newModel(seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 11))}
	var voters []paxos.Voter
	for i := range modelKeepers {
		k := &modelKeeper{model: m, index: i, id: m.nextIdentity()}
		m.keepers = append(m.keepers, k)
		if i < modelVoters {
			voters = append(voters, k.voter())
		}
	}
	for i, k := range m.keepers {
		k.start()
		if i < modelVoters {
			k.run(func() { k.register.Bootstrap(voters, nil) })
		}
	}
	return m
}

func (k *modelKeeper) voter() paxos.Voter {
	return paxos.Voter{ID: k.id, Name: fmt.Sprint("k", k.index), Addr: strconv.Itoa(k.index)}
}

func (m *model) nextIdentity() uint64 {
	m.lastIdentity++
	return m.lastIdentity
}

func (k *modelKeeper) readClocks() clockReading {
	return clockReading{k.model.Now(), k.model.Now() + k.wallClockOffset}
}

// clock returns the time since the start of this incarnation.
func (k *modelKeeper) clock() time.Duration { return k.readClocks().sub(k.startedAt) }

func (k *modelKeeper) start() {
	k.up, k.incarnation, k.startedAt = true, k.incarnation+1, k.readClocks()
	k.gate, k.attached, k.value = NewGate[int](), map[int]*modelProcess{}, 0
	k.answered = map[uint64]time.Duration{}
	for j := range k.received {
		k.received[j] = -time.Hour
	}
	register, err := paxos.New(paxos.Options{
		Name:       "r",
		ID:         k.id,
		ProposerID: k.model.rng.Uint64() | 1,
		Rand:       k.model.rng.Float64,
		Save:       func(b []byte) error { k.records = append(k.records, bytes.Clone(b)); return nil },
		Send:       k.transmit,
		OnDecided:  k.recordDecided,
	}, k.records)
	if err != nil {
		simulation.Failf("keeper %d: %v", k.index, err)
	}
	k.register = register
	if s, ok := register.State(); ok {
		k.recordDecided(s)
	}
	k.requestStateFromAny(k.incarnation)
}

// requestStateFromAny requests the state from random keepers until the keeper knows one.
func (k *modelKeeper) requestStateFromAny(incarnation int) {
	if k.incarnation != incarnation || !k.up {
		return
	}
	k.run(func() {
		if _, ok := k.register.State(); !ok {
			k.register.RequestState(k.clock(), k.model.anyKeeper().voter())
		}
	})
	k.model.After(300*ms, func() { k.requestStateFromAny(incarnation) })
}

func (k *modelKeeper) kill() {
	k.up, k.frozen, k.delayed, k.incarnation = false, false, nil, k.incarnation+1
}

func (k *modelKeeper) unfreeze() {
	k.frozen = false
	waiting := k.delayed
	k.delayed = nil
	for _, f := range waiting {
		k.run(f)
	}
}

// run runs a step, or delays it while the keeper is frozen.
func (k *modelKeeper) run(f func()) {
	if !k.up {
		return
	}
	if k.frozen {
		k.delayed = append(k.delayed, f)
		return
	}
	f()
	k.step()
}

// after runs a step after a time if the keeper is still in the same incarnation.
func (k *modelKeeper) after(d time.Duration, f func()) {
	incarnation := k.incarnation
	k.model.After(d, func() {
		if k.incarnation == incarnation {
			k.run(f)
		}
	})
}

// step performs the work that is due after each event, as the owner of a Gate does.
func (k *modelKeeper) step() {
	now := k.clock()
	if k.gate.CheckDue(now) {
		k.gate.CheckStarted(now)
		k.register.Read(now, 700*ms, func(s paxos.State, err error) {
			if err == nil {
				k.recordDecided(s)
			}
			k.gate.CheckEnded(k.clock(), now, err == nil)
		})
	}
	if k.gate.BeginRead(now) {
		k.register.Read(now, time.Second, func(s paxos.State, err error) {
			if err == nil {
				k.recordDecided(s)
			}
			k.gate.EndRead(err == nil)
		})
	}
	k.push()
	k.schedule()
}

func (k *modelKeeper) schedule() {
	next := k.clock() + 200*ms
	if at := k.register.NextTick(); at != paxos.Never {
		next = min(next, at)
	}
	if at, ok := k.gate.NextDeadline(k.clock()); ok {
		next = min(next, at)
	}
	k.ticks++
	tick, incarnation := k.ticks, k.incarnation
	k.model.After(max(next-k.clock(), ms), func() {
		if k.ticks != tick || k.incarnation != incarnation {
			return // superseded by another step
		}
		k.run(func() {
			if k.register.NextTick() <= k.clock() {
				k.register.Tick(k.clock())
			}
		})
	})
}

func (k *modelKeeper) recordDecided(s paxos.State) {
	if int(s.Slot) == len(k.model.states) {
		k.model.states = append(k.model.states, modelState{slices.Clone(s.Voters), k.model.Now()})
	}
	if len(s.Value) == 8 {
		k.value = max(k.value, binary.BigEndian.Uint64(s.Value))
	}
}

// transmit sends a message to another keeper. It carries its send time and the send time of the newest message received
// from that keeper (echo).
func (k *modelKeeper) transmit(to paxos.Voter, b []byte) {
	j, _ := strconv.Atoi(to.Addr)
	if k.model.partitioned[k.index][j] {
		return
	}
	sent, echo, other, body, sender := k.model.Now(), k.received[j], k.model.keepers[j], bytes.Clone(b), k.voter()
	delay := k.model.upTo(10 * ms)
	if k.model.rng.IntN(20) == 0 {
		delay += k.model.upTo(500 * ms)
	}
	k.model.After(delay, func() {
		other.run(func() {
			other.received[k.index] = max(other.received[k.index], sent)
			if echo >= other.startedAt.monotonic {
				other.answered[sender.ID] = max(other.answered[sender.ID], echo)
			}
			other.register.Receive(other.clock(), sender, body)
		})
	})
}

// requireBacking fails unless, for a state that was current no longer than ContactTimeout ago, a majority of the voters
// has answered a message sent no longer than ContactTimeout ago.
func (k *modelKeeper) requireBacking(action string) {
	from := k.model.Now() - ContactTimeout
	for slot := len(k.model.states) - 1; slot >= 0; slot-- {
		if k.backedBy(k.model.states[slot].voters, from) {
			return
		}
		if k.model.states[slot].decided < from {
			break // older states were superseded before the period
		}
	}
	simulation.Failf("%v: keeper %d: %s without a majority", k.model.Now(), k.index, action)
}

func (k *modelKeeper) backedBy(voters []paxos.Voter, from time.Duration) bool {
	backing := 0
	for _, voter := range voters {
		if answeredAt, found := k.answered[voter.ID]; voter.ID == k.id || found && answeredAt >= from {
			backing++
		}
	}
	return backing > len(voters)/2
}

// push sends the newest known value to all processes that may have it.
func (k *modelKeeper) push() {
	for id, p := range k.attached {
		if p.value >= k.value || !k.gate.MayPush(k.clock(), id) {
			continue
		}
		if p.value == 0 && k.value < p.confirmedBefore {
			simulation.Failf("%v: keeper %d first pushes %d, but %d was confirmed before the process attached",
				k.model.Now(), k.index, k.value, p.confirmedBefore)
		}
		k.requireBacking("a push")
		p.value = k.value
		k.model.pushed++
	}
}

// put is an operator's call that writes the next value.
func (k *modelKeeper) put() {
	k.register.Propose(k.clock(), 900*ms, func(cur paxos.State) (paxos.State, error) {
		value := uint64(0)
		if len(cur.Value) == 8 {
			value = binary.BigEndian.Uint64(cur.Value)
		}
		cur.Value = binary.BigEndian.AppendUint64(nil, value+1)
		return cur, nil
	}, func(s paxos.State, err error) {
		if err == nil {
			k.recordDecided(s)
			k.model.confirmed = max(k.model.confirmed, binary.BigEndian.Uint64(s.Value))
			k.model.confirmedCount++
			k.wipeAfterConfirmation()
		}
	})
}

func (k *modelKeeper) attach(floor uint64) {
	k.model.processCount++
	id := k.model.processCount
	k.attached[id] = &modelProcess{confirmedBefore: floor}
	k.gate.Attach(id)
	k.after(k.model.upTo(3*time.Second), func() {
		delete(k.attached, id)
		k.gate.Detach(id)
	})
}

// heartbeat handles a process's heartbeat. If there is an update to push, the acknowledgement is delayed.
func (k *modelKeeper) heartbeat(update bool) {
	if !k.gate.InContact(k.clock()) {
		k.model.refused++
		return
	}
	if update {
		k.after(acknowledgeWait, func() { k.acknowledge() })
		return
	}
	k.acknowledge()
}

func (k *modelKeeper) acknowledge() {
	if !k.gate.InContact(k.clock()) {
		k.model.refused++
		return
	}
	k.requireBacking("an acknowledgement")
	k.model.acknowledged++
}

// callFromOutside makes a random call of an operator or a process, and schedules the next. Partitions between keepers
// don't affect these calls.
func (m *model) callFromOutside() {
	k := m.anyKeeper()
	switch m.rng.IntN(4) {
	case 0:
		k.run(k.put)
	case 1:
		floor := m.confirmed
		m.After(m.upTo(10*ms), func() { k.run(func() { k.attach(floor) }) })
	default:
		update := m.rng.IntN(2) == 0
		k.run(func() { k.heartbeat(update) })
	}
	m.After(m.upTo(60*ms), m.callFromOutside)
}

// playSeed runs a model and returns the violation that it found.
func playSeed(seed uint64) (m *model, violated error) {
	found := simulation.Play(func() {
		m = newModel(seed)
		m.callFromOutside()
		m.After(2*time.Second, m.injectFaults)
		m.RunUntil(modelTime)
	})
	if found != "" {
		return m, fmt.Errorf("seed %d: %s", seed, found)
	}
	return m, nil
}

func modelSeeds(t *testing.T) uint64 {
	t.Helper()
	if text := os.Getenv("QUORUM_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return 20
}

func TestNothingIsServedWithoutAMajority(t *testing.T) {
	var total model
	for seed := range modelSeeds(t) {
		m, err := playSeed(seed)
		if err != nil {
			t.Fatal(err)
		}
		total.pushed += m.pushed
		total.acknowledged += m.acknowledged
		total.refused += m.refused
		total.confirmedCount += m.confirmedCount
		total.wiped += m.wiped
		total.changed += m.changed
		total.clockSteps += m.clockSteps
	}
	t.Logf("%d pushed, %d acknowledged, %d refused, %d confirmed, "+
		"%d disks wiped, %d changes of voters, %d steps of wall clocks",
		total.pushed, total.acknowledged, total.refused, total.confirmedCount,
		total.wiped, total.changed, total.clockSteps)
	fewest := min(total.pushed, total.acknowledged, total.refused, total.confirmedCount,
		total.wiped, total.changed, total.clockSteps)
	if fewest == 0 {
		t.Error("the model did not exercise every kind of event")
	}
}
