package paxos

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunetide/internal/lab/simulation"
)

// branch is one state of a simulation that forks: branches differ in the order of messages and in faults.
type branch struct {
	now          time.Duration
	registers    []*Register
	disks        [][][]byte
	inFlight     []packet
	results      []string
	decided      map[uint64]string
	incarnations uint64
	faultsLeft   int // number of faults that may still occur
	path         []string
}

type packet struct {
	from, to int
	message  []byte
}

type explorer struct {
	voters  []Voter
	seen    map[uint64]bool
	seed    maphash.Seed
	endings int
}

func (o *explorer) options(b *branch, i int, incarnation uint64) Options {
	return Options{
		Name:       "r",
		ID:         o.voters[i].ID,
		ProposerID: uint64(10-i) + 100*incarnation,
		Rand:       func() float64 { return float64(i) / 3 },
		Save: func(record []byte) error {
			b.disks[i] = append(b.disks[i], record)
			return nil
		},
		Send: func(to Voter, msg []byte) {
			if _, m, _ := decodeMessage(msg); m.kind == messageProgress && m.slot < 2 {
				return // it reports slot 0, which all nodes know
			}
			b.inFlight = append(b.inFlight, packet{i, int(to.ID) - 1, msg})
		},
		OnDecided: func(s State) {
			if was, ok := b.decided[s.Slot]; ok && was != string(s.Value) {
				simulation.Failf("slot %d has the values %q and %q", s.Slot, was, s.Value)
			}
			b.decided[s.Slot] = string(s.Value)
		},
	}
}

func (o *explorer) propose(b *branch, i int) {
	op := &operation{change: func(cur State) (State, error) {
		cur.Value = append(cur.Value, byte('a'+i))
		return cur, nil
	}, deadline: b.now + 5*time.Second}
	o.bind(b, i, op)
	r := b.registers[i]
	r.step(b.now, func() { r.enqueue(op) })
}

func (o *explorer) bind(b *branch, i int, op *operation) {
	op.done = func(s State, err error) {
		switch {
		case err == nil:
			b.results[i] = "ok"
			if n := bytes.Count(s.Value, []byte{byte('a' + i)}); n != 1 {
				simulation.Failf("an operation occurs %d times in %q, want once", n, s.Value)
			}
		case ErrOutcomeUnknown.Has(err):
			b.results[i] = "unknown"
		default:
			b.results[i] = "none"
		}
	}
}

// clone returns a copy of a branch that shares no mutable state with it.
func (o *explorer) clone(b *branch) *branch {
	c := *b
	c.registers, c.disks, c.inFlight = slices.Clone(b.registers), slices.Clone(b.disks), slices.Clone(b.inFlight)
	c.results, c.decided, c.path = slices.Clone(b.results), maps.Clone(b.decided), slices.Clip(b.path)
	for i, r := range b.registers {
		n := *r
		c.disks[i] = slices.Clip(c.disks[i])
		n.options = o.options(&c, i, 0)
		n.options.ProposerID = r.options.ProposerID
		n.storedBy, n.acknowledged, n.rejected = maps.Clone(r.storedBy), maps.Clone(r.acknowledged), maps.Clone(r.rejected)
		n.learners = slices.Clone(r.learners)
		if r.current != nil {
			op := *r.current
			o.bind(&c, i, &op)
			n.current = &op
		}
		c.registers[i] = &n
	}
	return &c
}

func (o *explorer) key(b *branch) uint64 {
	var h maphash.Hash
	h.SetSeed(o.seed)
	for _, r := range b.registers {
		fmt.Fprint(&h, r.state, r.promised, r.acceptedNumber, r.acceptedState,
			r.phase, r.slot, r.number, r.acknowledged, r.rejected, r.highestAccepted, r.proposedState,
			r.highestRound, r.retryAt, r.resendAt, r.lastOperation,
			r.storedBy, r.announceAt, len(r.learners), r.learnerSendAt)
		if r.current != nil {
			fmt.Fprint(&h, r.current.proposed, r.current.proposal, r.current.attempts)
		}
	}
	inFlight := make([]string, 0, len(b.inFlight))
	for _, p := range b.inFlight {
		inFlight = append(inFlight, string(p.message)+string(rune('0'+p.from))+string(rune('0'+p.to)))
	}
	slices.Sort(inFlight)
	fmt.Fprint(&h, b.now, b.results, b.faultsLeft, inFlight)
	return h.Sum64()
}

func (b *branch) deliver(o *explorer, i int, keep bool) {
	p := b.inFlight[i]
	if !keep {
		b.inFlight = slices.Delete(b.inFlight, i, i+1)
	}
	b.registers[p.to].Receive(b.now, o.voters[p.from], p.message)
}

func (b *branch) tick() {
	next := Never
	for _, r := range b.registers {
		next = min(next, r.NextTick())
	}
	b.now = max(b.now, next)
	for _, r := range b.registers {
		if r.NextTick() <= b.now {
			r.Tick(b.now)
		}
	}
}

func (o *explorer) restart(b *branch, i int) {
	b.incarnations++
	if b.results[i] == "" {
		b.results[i] = "unknown"
	}
	r, err := New(o.options(b, i, b.incarnations), b.disks[i])
	if err != nil {
		simulation.Failf("%v", err)
	}
	b.registers[i] = r
}

// explore plays each possible next event: the arrival of each message, its loss or duplication, a restart of each node,
// and the next tick.
func (o *explorer) explore(b *branch, depth int) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case simulation.Violation:
			if !strings.Contains(string(x), "after") {
				x = simulation.Violation(fmt.Sprintf("%s\nafter %v", x, b.path))
			}
			panic(x)
		default:
			panic(x)
		}
	}()
	k := o.key(b) + uint64(depth)
	if o.seen[k] {
		return
	}
	o.seen[k] = true
	if depth == 0 || len(b.inFlight) == 0 {
		o.end(o.clone(b), false)
		o.end(o.clone(b), true)
		return
	}
	try := func(event string, f func(c *branch)) {
		c := o.clone(b)
		c.path = append(c.path, event)
		f(c)
		o.explore(c, depth-1)
	}
	for i, p := range b.inFlight {
		_, m, _ := decodeMessage(p.message)
		name := fmt.Sprintf("%d-%d:%d@%d", p.from, p.to, m.kind, m.slot)
		try(name, func(c *branch) { c.deliver(o, i, false) })
		if b.faultsLeft > 0 {
			try(name+"+", func(c *branch) { c.faultsLeft--; c.deliver(o, i, true) })
			try(name+"-", func(c *branch) { c.faultsLeft--; c.inFlight = slices.Delete(c.inFlight, i, i+1) })
		}
	}
	if b.faultsLeft > 0 {
		for i := range b.registers {
			try(fmt.Sprint("restart ", i), func(c *branch) { c.faultsLeft--; o.restart(c, i) })
		}
	}
	try("tick", (*branch).tick)
}

// end delivers the messages in flight, unless lost is set, continues without faults, and checks the results.
func (o *explorer) end(b *branch, lost bool) {
	o.endings++
	if lost {
		b.inFlight = nil
	}
	for range 3000 {
		switch {
		case len(b.inFlight) > 0:
			b.deliver(o, 0, false)
		case slices.Contains(b.results[:2], ""):
			b.tick()
		default:
			done := false
			b.registers[2].Read(b.now, time.Second, func(s State, err error) {
				done = true
				for i, r := range b.results[:2] {
					n := bytes.Count(s.Value, []byte{byte('a' + i)})
					if err != nil || n > 1 || r == "ok" && n != 1 || r == "none" && n != 0 {
						simulation.Failf("read %q, %v, results %v", s.Value, err, b.results)
					}
				}
			})
			for range 1000 {
				if done {
					return
				}
				if len(b.inFlight) > 0 {
					b.deliver(o, 0, false)
				} else {
					b.tick()
				}
			}
			simulation.Failf("the final read did not end")
		}
	}
	simulation.Failf("operations did not end: %v", b.results)
}

// TestEveryOrderOfMessages plays two proposers on three voters in every order of messages to a depth: from the start,
// and after a number of messages delivered in order; with one fault and without. PAXOS_DEPTH sets the depth.
func TestEveryOrderOfMessages(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("PAXOS_DEPTH")); err == nil {
		depth = n
	}
	for _, first := range []int{0, 3, 6, 9, 12, 16, 20} {
		for faults := range 2 {
			t.Run(fmt.Sprintf("first=%d/faults=%d", first, faults), func(t *testing.T) {
				t.Parallel()
				everyOrder(t, first, depth-faults, faults)
			})
		}
	}
}

func everyOrder(t *testing.T, first, depth, faults int) {
	t.Helper()
	o := &explorer{seen: map[uint64]bool{}, seed: maphash.MakeSeed()}
	b := &branch{decided: map[uint64]string{}, results: make([]string, 3), disks: make([][][]byte, 3), faultsLeft: faults}
	for i := range 3 {
		o.voters = append(o.voters, Voter{uint64(i + 1), fmt.Sprint("n", i), fmt.Sprint("a", i)})
	}
	for i := range 3 {
		r, err := New(o.options(b, i, 0), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Bootstrap(o.voters, nil)
		r.Tick(0)
		b.registers = append(b.registers, r)
	}
	found := simulation.Play(func() {
		o.propose(b, 0)
		o.propose(b, 1)
		for range first {
			b.deliver(o, 0, false)
		}
		o.explore(b, depth)
	})
	if found != "" {
		t.Error("BROKEN", found)
	}
	t.Logf("depth %d: %d branches, %d complete runs", depth, len(o.seen), o.endings)
}
