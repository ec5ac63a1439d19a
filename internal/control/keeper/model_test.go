package keeper

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"dunetide/internal/consensus/paxos"
)

// The model runs the configuration register, with the real Paxos and the real document.put, on simulated machines with
// a simulated network, clock and disks. Operators call it, and their calls form a history.

// modelCluster is a deterministic simulation: machines with disks, links between them, operators, and one clock.
type modelCluster struct {
	rng      *rand.Rand
	now      time.Duration
	events   modelEvents
	sequence int
	machines []*modelMachine
	document documentKind

	delay      time.Duration // maximum, of a message
	loss       float64       // share of messages between machines that are lost
	duplicated float64       // share of messages that are duplicated
	delayed    float64       // share of messages that are up to a second late
	lostAnswer float64       // share of answers to operators that are lost
	cuts       map[[2]int]bool
	replacing  bool // a voter's disk was lost, and its successor isn't a voter yet
	// faultAtAnswer makes the machine that next confirms a put lose its disk immediately, and all others lose power.
	faultAtAnswer bool

	history *history
}

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

// modelMachine is a machine with a disk that runs a replica of the register.
type modelMachine struct {
	cluster     *modelCluster
	index       int
	id          uint64
	disk        [][]byte
	register    *paxos.Register
	incarnation int // counts starts, so that events of an earlier incarnation are dropped
	up          bool
	frozenUntil time.Duration
	tick        int // counts schedules, so that only the newest runs
}

func newModelCluster(seed uint64, voters, remembered int) *modelCluster {
	c := &modelCluster{rng: rand.New(rand.NewPCG(seed, 41)), cuts: map[[2]int]bool{}, delay: 10 * time.Millisecond, history: newHistory(),
		document: documentKind{configRegister, "/config", &ErrInvalid, remembered}}
	var first []paxos.Voter
	for i := range voters {
		m := &modelMachine{cluster: c, index: i, id: uint64(i + 1)}
		c.machines = append(c.machines, m)
		first = append(first, m.voter())
	}
	for _, m := range c.machines {
		m.start()
		m.step(func() { m.register.Bootstrap(first, nil) })
	}
	return c
}

func (c *modelCluster) after(wait time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, modelEvent{c.now + wait, c.sequence, run})
}

// run executes events until a time, or until more returns false.
func (c *modelCluster) run(until time.Duration, more func() bool) {
	for len(c.events) > 0 && c.events[0].at <= until && more() {
		event := heap.Pop(&c.events).(modelEvent)
		c.now = event.at
		event.run()
	}
}

func (c *modelCluster) chance(p float64) bool { return p > 0 && c.rng.Float64() < p }

func (c *modelCluster) randomDuration(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

func (c *modelCluster) randomMachine() *modelMachine { return c.machines[c.rng.IntN(len(c.machines))] }

func (m *modelMachine) voter() paxos.Voter {
	return paxos.Voter{ID: m.id, Name: fmt.Sprint("k", m.index), Addr: fmt.Sprint(m.index)}
}

func (m *modelMachine) start() {
	c := m.cluster
	m.up, m.incarnation = true, m.incarnation+1
	var err error
	m.register, err = paxos.New(paxos.Options{Name: configRegister, ID: m.id, ProposerID: c.rng.Uint64() | 1, Rand: c.rng.Float64,
		Save: func(payload []byte) error { m.disk = append(m.disk, bytes.Clone(payload)); return nil },
		Send: m.send}, m.disk)
	if err != nil {
		panic(err) // can't happen: the disk holds only what was saved
	}
	m.schedule()
	m.queryUntilKnown(m.incarnation)
}

// queryUntilKnown asks the other machines for the register until its state is known, as a new process does.
func (m *modelMachine) queryUntilKnown(expected int) {
	if m.incarnation != expected {
		return
	}
	if _, known := m.register.State(); known {
		return
	}
	m.step(func() { m.register.RequestState(m.cluster.now, m.cluster.randomMachine().voter()) })
	m.cluster.after(200*time.Millisecond, func() { m.queryUntilKnown(expected) })
}

// stop simulates a kill or a loss of power. Both are equivalent, as Save returns when the payload is on disk.
func (m *modelMachine) stop() {
	m.up, m.incarnation = false, m.incarnation+1
}

// step runs a function on this machine once it isn't frozen, unless its incarnation ends before that.
func (m *modelMachine) step(run func()) {
	if !m.up {
		return
	}
	if wait := m.frozenUntil - m.cluster.now; wait > 0 {
		current := m.incarnation
		m.cluster.after(wait, func() {
			if m.incarnation == current {
				m.step(run)
			}
		})
		return
	}
	run()
	m.schedule()
}

func (m *modelMachine) schedule() {
	m.tick++
	tick, next := m.tick, m.register.NextTick()
	if next == paxos.Never {
		return
	}
	m.cluster.after(max(next-m.cluster.now, time.Microsecond), func() {
		if m.tick == tick {
			m.step(func() { m.register.Tick(m.cluster.now) })
		}
	})
}

func (m *modelMachine) send(to paxos.Voter, message []byte) {
	c := m.cluster
	var target int
	if _, err := fmt.Sscan(to.Addr, &target); err != nil {
		panic(err) // can't happen: voter created the address
	}
	copies := 1
	if c.chance(c.duplicated) {
		copies = 2
	}
	from := paxos.Voter{Name: fmt.Sprint("k", m.index), Addr: fmt.Sprint(m.index)}
	for range copies {
		if c.cuts[[2]int{m.index, target}] || c.chance(c.loss) {
			continue
		}
		receiver := c.machines[target]
		c.after(c.messageDelay(), func() {
			receiver.step(func() { receiver.register.Receive(c.now, from, message) })
		})
	}
}

// messageDelay returns a random delivery time of a message.
func (c *modelCluster) messageDelay() time.Duration {
	if c.chance(c.delayed) {
		return c.randomDuration(time.Second)
	}
	return 100*time.Microsecond + c.randomDuration(c.delay)
}

// put proposes an operator's put at this machine; answer is called once, or never if the machine stops before that.
func (m *modelMachine) put(request documentPut, answer func(status int)) {
	m.step(func() {
		m.register.Propose(m.cluster.now, proposeTimeout, request.change(m.cluster.document), func(_ paxos.State, err error) {
			answer(putStatus(err))
			if err == nil {
				m.confirmed()
			}
		})
	})
}

// confirmed injects the pending faultAtAnswer.
func (m *modelMachine) confirmed() {
	c := m.cluster
	if !c.faultAtAnswer || c.replacing {
		return
	}
	c.faultAtAnswer, c.replacing = false, true
	c.after(0, func() { // after the messages of this step were sent
		m.loseDisk()
		for _, p := range c.machines {
			if p != m {
				c.restart(p, c.randomDuration(100*time.Millisecond))
			}
		}
	})
}

// get reads the document in force at this machine.
func (m *modelMachine) get(answer func(v *document, err error)) {
	m.step(func() {
		m.register.Read(m.cluster.now, proposeTimeout, func(s paxos.State, err error) {
			if err != nil {
				answer(nil, err)
				return
			}
			answer(decodeDocument(s.Value))
		})
	})
}

// loseDisk empties a machine's disk. The machine restarts with a new identity, and requests to be a voter until it is.
func (m *modelMachine) loseDisk() {
	c := m.cluster
	m.stop()
	m.id, m.disk = c.rng.Uint64()|1, nil
	c.replacing = true
	c.after(c.randomDuration(300*time.Millisecond), func() {
		if !m.up {
			m.start()
		}
	})
	c.after(300*time.Millisecond, func() { m.join(m.id) })
}

// replaceByName returns the state in which joiner replaces the voter of the same name, whose disk is lost.
func replaceByName(cur paxos.State, joiner paxos.Voter) (paxos.State, bool) {
	for _, voter := range cur.Voters {
		if voter.Name == joiner.Name {
			return cur.WithReplacement(voter.ID, joiner)
		}
	}
	return cur, false
}

func (m *modelMachine) join(id uint64) {
	c := m.cluster
	joined := false
	proposer := c.randomMachine()
	proposer.step(func() {
		proposer.register.Propose(c.now, time.Second, func(cur paxos.State) (paxos.State, error) {
			if m.id != id {
				return cur, paxos.ErrUnchanged
			}
			next, changed := replaceByName(cur, m.voter())
			if !changed {
				return cur, paxos.ErrUnchanged
			}
			return next, nil
		}, func(_ paxos.State, err error) { joined = err == nil })
	})
	c.after(1100*time.Millisecond, func() {
		if joined {
			c.replacing = false
			return
		}
		m.join(id)
	})
}

// endFaults ends all faults and starts all machines.
func (c *modelCluster) endFaults() {
	c.loss, c.duplicated, c.delayed, c.lostAnswer = 0, 0, 0, 0
	clear(c.cuts)
	for _, m := range c.machines {
		m.frozenUntil = 0
		if !m.up {
			m.start()
		}
	}
}

// injectFault starts a random fault of limited duration.
func (c *modelCluster) injectFault() {
	m, other := c.randomMachine(), c.randomMachine()
	length := 50*time.Millisecond + c.randomDuration(1500*time.Millisecond)
	switch c.rng.IntN(8) {
	case 0:
		c.cutFor(length, [2]int{m.index, other.index})
	case 1: // a partition from all others, in both directions
		for _, p := range c.machines {
			c.cutFor(length, [2]int{m.index, p.index})
			c.cutFor(length, [2]int{p.index, m.index})
		}
	case 2:
		c.restart(m, length)
	case 3:
		m.frozenUntil = c.now + length
	case 4: // power is lost everywhere
		for _, p := range c.machines {
			c.restart(p, length/4)
		}
	case 5:
		c.faultAtAnswer = true
	case 6, 7:
		if !c.replacing {
			m.loseDisk()
		}
	}
}

func (c *modelCluster) cutFor(length time.Duration, link [2]int) {
	c.cuts[link] = true
	c.after(length, func() { delete(c.cuts, link) })
}

func (c *modelCluster) restart(m *modelMachine, after time.Duration) {
	m.stop()
	c.after(after, func() {
		if !m.up {
			m.start()
		}
	})
}
