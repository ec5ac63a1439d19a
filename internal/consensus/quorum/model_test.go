package quorum

import (
	"bytes"
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// The model has keepers with a gate and a register each, in one simulated time. They are cut off from each other in one
// direction or both, for long or each second, frozen, killed and started again, their disks are wiped, who votes is changed
// and the time of day is set, while operators put values, processes attach and heartbeats come. Two things must hold at each
// moment:
//
//   - what a process is handed first is not older than the newest value that was confirmed before it asked;
//   - what is acknowledged or pushed is backed by a majority of those who were the voters no longer than Length ago, each of
//     whom has answered something which was sent no longer than Length ago.

const (
	modelVoters  = 3 // at first
	modelKeepers = 4
	modelTime    = 40 * time.Second
	// acknowledgeWait is how long an acknowledgement waits for pushes, after which contact is looked at again.
	acknowledgeWait = 250 * time.Millisecond
)

type violation string

type modelEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type model struct {
	rnd       *rand.Rand
	now       time.Duration
	events    modelEvents
	seq       int
	keepers   []*modelKeeper
	cut       [modelKeepers][modelKeepers]bool // from, to
	confirmed uint64                           // the newest value that an operator has been told is taken
	processes int
	states    []modelState // each that was decided, by its slot
	identity  uint64       // of the newest voter
	// changing is set while a disk that was wiped, or a change of the voters, has not been followed by a decision: another
	// one might take the last copy of what was confirmed.
	changing bool
	// wipeAtAnswer has the next keeper that confirms a value lose its disk at once.
	wipeAtAnswer bool

	// Counts of what was played, so that a run that shows nothing is seen.
	handedOut, acknowledged, refused, taken, wiped, changed, stepped int
}

// modelState is who votes after a decision, and when the first keeper knew it.
type modelState struct {
	voters  []paxos.Voter
	decided time.Duration
}

// moment is what a machine reads from its clocks, as time.Now does: the steady one, which nothing sets, and the time of day.
type moment struct{ steady, day time.Duration }

// sub is the time from another moment, as time.Time.Sub gives it.
func (a moment) sub(b moment) time.Duration { return a.steady - b.steady }

type modelKeeper struct {
	m        *model
	i        int
	id       uint64 // as a voter; a wiped disk has another one
	born     moment
	day      time.Duration // by how much the time of day is off
	life     int
	up       bool
	frozen   bool
	waiting  []func() // what comes while it is frozen
	payloads [][]byte
	register *paxos.Register
	gate     *Gate[int]
	value    uint64
	attached map[int]*modelProcess
	tick     int
	// received is the newest time of sending of a message from another keeper, in this life.
	received [modelKeepers]time.Duration
	// answered is, by voter, the newest of the own messages that it had received before it sent something that has come here.
	answered map[uint64]time.Duration
}

type modelProcess struct {
	floor uint64 // the newest value that was confirmed before it asked
	value uint64
}

func (m *model) fail(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now + d, m.seq, do})
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rnd.Int64N(int64(d) + 1)) }

func (m *model) anyKeeper() *modelKeeper { return m.keepers[m.rnd.IntN(modelKeepers)] }

func newModel(seed uint64) *model {
	m := &model{rnd: rand.New(rand.NewPCG(seed, 11))}
	var voters []paxos.Voter
	for i := range modelKeepers {
		k := &modelKeeper{m: m, i: i, id: m.nextIdentity()}
		m.keepers = append(m.keepers, k)
		if i < modelVoters {
			voters = append(voters, k.voter())
		}
	}
	for i, k := range m.keepers {
		k.start()
		if i < modelVoters {
			k.do(func() { k.register.Bootstrap(voters, nil) })
		}
	}
	return m
}

func (k *modelKeeper) voter() paxos.Voter {
	return paxos.Voter{ID: k.id, Name: fmt.Sprint("k", k.i), Addr: strconv.Itoa(k.i)}
}

func (m *model) nextIdentity() uint64 {
	m.identity++
	return m.identity
}

func (k *modelKeeper) reads() moment { return moment{k.m.now, k.m.now + k.day} }

// clock is the time since the start of this life.
func (k *modelKeeper) clock() time.Duration { return k.reads().sub(k.born) }

func (k *modelKeeper) start() {
	k.up, k.life, k.born = true, k.life+1, k.reads()
	k.gate, k.attached, k.value = NewGate[int](), map[int]*modelProcess{}, 0
	k.answered = map[uint64]time.Duration{}
	for j := range k.received {
		k.received[j] = -time.Hour
	}
	register, err := paxos.New(paxos.Options{Name: "r", ID: k.id, Proposer: k.m.rnd.Uint64() | 1, Rand: k.m.rnd.Float64,
		Save:    func(b []byte) error { k.payloads = append(k.payloads, bytes.Clone(b)); return nil },
		Send:    k.transmit,
		Decided: k.decided,
	}, k.payloads)
	if err != nil {
		k.m.fail("keeper %d: %v", k.i, err)
	}
	k.register = register
	if s, ok := register.State(); ok {
		k.decided(s)
	}
	k.askAround(k.life)
}

// askAround is what a keeper does that knows nothing.
func (k *modelKeeper) askAround(life int) {
	if k.life != life || !k.up {
		return
	}
	k.do(func() {
		if _, ok := k.register.State(); !ok {
			k.register.Ask(k.clock(), k.m.anyKeeper().voter())
		}
	})
	k.m.after(300*ms, func() { k.askAround(life) })
}

func (k *modelKeeper) kill() {
	k.up, k.frozen, k.waiting, k.life = false, false, nil, k.life+1
}

func (k *modelKeeper) thaw() {
	k.frozen = false
	waiting := k.waiting
	k.waiting = nil
	for _, f := range waiting {
		k.do(f)
	}
}

// do makes a step, or has it wait while the keeper is frozen.
func (k *modelKeeper) do(f func()) {
	if !k.up {
		return
	}
	if k.frozen {
		k.waiting = append(k.waiting, f)
		return
	}
	f()
	k.step()
}

// later makes a step of this life.
func (k *modelKeeper) later(d time.Duration, f func()) {
	life := k.life
	k.m.after(d, func() {
		if k.life == life {
			k.do(f)
		}
	})
}

// step does what is due after each event, as a keeper's owner does.
func (k *modelKeeper) step() {
	now := k.clock()
	if k.gate.Due(now) {
		k.gate.Asked(now)
		k.register.Read(now, 700*ms, func(s paxos.State, err error) {
			if err == nil {
				k.decided(s)
			}
			k.gate.Answered(k.clock(), now, err == nil)
		})
	}
	if k.gate.BeginRead(now) {
		k.register.Read(now, time.Second, func(s paxos.State, err error) {
			if err == nil {
				k.decided(s)
			}
			k.gate.ReadDone(err == nil)
		})
	}
	k.push()
	k.schedule()
}

func (k *modelKeeper) schedule() {
	next := k.clock() + 200*ms
	if at := k.register.Next(); at != paxos.Never {
		next = min(next, at)
	}
	if at, ok := k.gate.Next(k.clock()); ok {
		next = min(next, at)
	}
	k.tick++
	tick, life := k.tick, k.life
	k.m.after(max(next-k.clock(), ms), func() {
		if k.tick != tick || k.life != life {
			return // another step came before
		}
		k.do(func() {
			if k.register.Next() <= k.clock() {
				k.register.Tick(k.clock())
			}
		})
	})
}

func (k *modelKeeper) decided(s paxos.State) {
	if int(s.Slot) == len(k.m.states) {
		k.m.states = append(k.m.states, modelState{slices.Clone(s.Voters), k.m.now})
	}
	if len(s.Value) == 8 {
		k.value = max(k.value, binary.BigEndian.Uint64(s.Value))
	}
}

// transmit sends a message. It bears when it was sent, and when the newest was that has come from the other side.
func (k *modelKeeper) transmit(to paxos.Voter, b []byte) {
	j, _ := strconv.Atoi(to.Addr)
	if k.m.cut[k.i][j] {
		return
	}
	sent, echo, other, body, sender := k.m.now, k.received[j], k.m.keepers[j], bytes.Clone(b), k.voter()
	delay := k.m.upTo(10 * ms)
	if k.m.rnd.IntN(20) == 0 {
		delay += k.m.upTo(500 * ms)
	}
	k.m.after(delay, func() {
		other.do(func() {
			other.received[k.i] = max(other.received[k.i], sent)
			if echo >= other.born.steady {
				other.answered[sender.ID] = max(other.answered[sender.ID], echo)
			}
			other.register.Receive(other.clock(), sender, body)
		})
	})
}

// mustBeBacked fails unless a majority of those who were the voters no longer than Length ago has answered something that was
// sent no longer than Length ago.
func (k *modelKeeper) mustBeBacked(what string) {
	from := k.m.now - Length
	for slot := len(k.m.states) - 1; slot >= 0; slot-- {
		if k.backedBy(k.m.states[slot].voters, from) {
			return
		}
		if k.m.states[slot].decided < from {
			break // it had followed the one before by then
		}
	}
	k.m.fail("%v: keeper %d, without a majority: %s", k.m.now, k.i, what)
}

func (k *modelKeeper) backedBy(voters []paxos.Voter, from time.Duration) bool {
	backing := 0
	for _, voter := range voters {
		if answeredAt, there := k.answered[voter.ID]; voter.ID == k.id || there && answeredAt >= from {
			backing++
		}
	}
	return backing > len(voters)/2
}

// push hands the newest value that is known to all who may have it.
func (k *modelKeeper) push() {
	for id, p := range k.attached {
		if p.value >= k.value || !k.gate.MayHandOut(k.clock(), id) {
			continue
		}
		if p.value == 0 && k.value < p.floor {
			k.m.fail("%v: keeper %d hands out %d first, and %d was confirmed before", k.m.now, k.i, k.value, p.floor)
		}
		k.mustBeBacked("a push")
		p.value = k.value
		k.m.handedOut++
	}
}

// put is an operator's call.
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
			k.decided(s)
			k.m.confirmed = max(k.m.confirmed, binary.BigEndian.Uint64(s.Value))
			k.m.taken++
			k.confirmedHere()
		}
	})
}

func (k *modelKeeper) attach(floor uint64) {
	k.m.processes++
	id := k.m.processes
	k.attached[id] = &modelProcess{floor: floor}
	k.gate.Attach(id)
	k.later(k.m.upTo(3*time.Second), func() {
		delete(k.attached, id)
		k.gate.Detach(id)
	})
}

// beat is a heartbeat; with news, it is acknowledged after a wait.
func (k *modelKeeper) beat(news bool) {
	if !k.gate.Holds(k.clock()) {
		k.m.refused++
		return
	}
	if news {
		k.later(acknowledgeWait, func() { k.acknowledge() })
		return
	}
	k.acknowledge()
}

func (k *modelKeeper) acknowledge() {
	if !k.gate.Holds(k.clock()) {
		k.m.refused++
		return
	}
	k.mustBeBacked("an acknowledgement")
	k.m.acknowledged++
}

// calls play what comes from outside, which no cut between keepers keeps away.
func (m *model) calls() {
	k := m.anyKeeper()
	switch m.rnd.IntN(4) {
	case 0:
		k.do(k.put)
	case 1:
		floor := m.confirmed
		m.after(m.upTo(10*ms), func() { k.do(func() { k.attach(floor) }) })
	default:
		news := m.rnd.IntN(2) == 0
		k.do(func() { k.beat(news) })
	}
	m.after(m.upTo(60*ms), m.calls)
}

// play runs a model, and tells what was violated.
func play(seed uint64) (m *model, broken error) {
	defer func() {
		if x := recover(); x != nil {
			v, ok := x.(violation)
			if !ok {
				panic(x)
			}
			broken = fmt.Errorf("seed %d: %s", seed, v)
		}
	}()
	m = newModel(seed)
	m.calls()
	m.after(2*time.Second, m.troubles)
	for m.now < modelTime && len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	return m, nil
}

func modelSeeds(t *testing.T) uint64 {
	if text := os.Getenv("CONTACT_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return 20
}

func TestModel(t *testing.T) {
	var total model
	for seed := range modelSeeds(t) {
		m, err := play(seed)
		if err != nil {
			t.Fatal(err)
		}
		total.handedOut += m.handedOut
		total.acknowledged += m.acknowledged
		total.refused += m.refused
		total.taken += m.taken
		total.wiped += m.wiped
		total.changed += m.changed
		total.stepped += m.stepped
	}
	t.Logf("%d handed out, %d acknowledged, %d refused, %d taken, %d disks wiped, %d changes of voters, %d steps of the time of day",
		total.handedOut, total.acknowledged, total.refused, total.taken, total.wiped, total.changed, total.stepped)
	if min(total.handedOut, total.acknowledged, total.refused, total.taken, total.wiped, total.changed, total.stepped) == 0 {
		t.Error("the model does not play what it is there for")
	}
}
