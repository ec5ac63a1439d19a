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
)

// branch is one of the worlds that differ in the order of messages.
type branch struct {
	now     time.Duration
	regs    []*Register
	disks   [][][]byte
	wire    []packet
	results []string
	chain   map[uint64]string
	lives   uint64
	trouble int // that may still come
	path    []string
}

type packet struct {
	from, to int
	b        []byte
}

type orders struct {
	voters []Voter
	seen   map[uint64]bool
	seed   maphash.Seed
	ends   int
}

func (o *orders) options(b *branch, i int, life uint64) Options {
	return Options{Name: "r", ID: o.voters[i].ID, Proposer: uint64(10-i) + 100*life, Rand: func() float64 { return float64(i) / 3 },
		Save: func(p []byte) error { b.disks[i] = append(b.disks[i], p); return nil },
		Send: func(to Voter, m []byte) {
			if _, x, _ := decode(m); x.kind == have && x.slot < 2 {
				return // of slot 0: only noise here
			}
			b.wire = append(b.wire, packet{i, int(to.ID) - 1, m})
		},
		Decided: func(s State) {
			if was, ok := b.chain[s.Slot]; ok && was != string(s.Value) {
				panic(broken(fmt.Sprintf("slot %d is %q and %q", s.Slot, was, s.Value)))
			}
			b.chain[s.Slot] = string(s.Value)
		}}
}

func (o *orders) propose(b *branch, i int) {
	op := &operation{change: func(cur State) (State, error) {
		cur.Value = append(cur.Value, byte('a'+i))
		return cur, nil
	}, deadline: b.now + 5*time.Second}
	o.bind(b, i, op)
	r := b.regs[i]
	r.step(b.now, func() { r.enqueue(op) })
}

func (o *orders) bind(b *branch, i int, op *operation) {
	op.done = func(s State, err error) {
		switch {
		case err == nil:
			b.results[i] = "ok"
			if n := bytes.Count(s.Value, []byte{byte('a' + i)}); n != 1 {
				panic(broken(fmt.Sprintf("%d times in %q", n, s.Value)))
			}
		case ErrTimeout.Has(err):
			b.results[i] = "doubt"
		default:
			b.results[i] = "none"
		}
	}
}

// clone makes a world of its own.
func (o *orders) clone(b *branch) *branch {
	c := *b
	c.regs, c.disks, c.wire = slices.Clone(b.regs), slices.Clone(b.disks), slices.Clone(b.wire)
	c.results, c.chain, c.path = slices.Clone(b.results), maps.Clone(b.chain), slices.Clip(b.path)
	for i, r := range b.regs {
		n := *r
		c.disks[i] = slices.Clip(c.disks[i])
		n.o = o.options(&c, i, 0)
		n.o.Proposer = r.o.Proposer
		n.holders, n.voted, n.refused = maps.Clone(r.holders), maps.Clone(r.voted), maps.Clone(r.refused)
		n.spreadTo = slices.Clone(r.spreadTo)
		if r.op != nil {
			op := *r.op
			o.bind(&c, i, &op)
			n.op = &op
		}
		c.regs[i] = &n
	}
	return &c
}

func (o *orders) key(b *branch) uint64 {
	var h maphash.Hash
	h.SetSeed(o.seed)
	for _, r := range b.regs {
		fmt.Fprint(&h, r.state, r.promised, r.accepted, r.proposal, r.phase, r.slot, r.ballot, r.voted, r.refused, r.best, r.value,
			r.round, r.wakeAt, r.resendAt, r.number, r.holders, r.announceAt, len(r.spreadTo), r.spreadAt)
		if r.op != nil {
			fmt.Fprint(&h, r.op.proposed, r.op.next, r.op.tries)
		}
	}
	wire := make([]string, 0, len(b.wire))
	for _, p := range b.wire {
		wire = append(wire, string(p.b)+string(rune('0'+p.from))+string(rune('0'+p.to)))
	}
	slices.Sort(wire)
	fmt.Fprint(&h, b.now, b.results, b.trouble, wire)
	return h.Sum64()
}

func (b *branch) deliver(o *orders, i int, keep bool) {
	p := b.wire[i]
	if !keep {
		b.wire = slices.Delete(b.wire, i, i+1)
	}
	b.regs[p.to].Receive(b.now, o.voters[p.from], p.b)
}

func (b *branch) tick() {
	next := Never
	for _, r := range b.regs {
		next = min(next, r.Next())
	}
	b.now = max(b.now, next)
	for _, r := range b.regs {
		if r.Next() <= b.now {
			r.Tick(b.now)
		}
	}
}

func (o *orders) restart(b *branch, i int) {
	b.lives++
	if b.results[i] == "" {
		b.results[i] = "doubt"
	}
	r, err := New(o.options(b, i, b.lives), b.disks[i])
	if err != nil {
		panic(broken(err.Error()))
	}
	b.regs[i] = r
}

// explore goes on with every message that may come next, with one that is lost or comes twice, with a restart,
// and with the clock.
func (o *orders) explore(b *branch, depth int) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case broken:
			if !strings.Contains(string(x), "after") {
				x = broken(fmt.Sprintf("%s\nafter %v", x, b.path))
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
	if depth == 0 || len(b.wire) == 0 {
		o.end(o.clone(b), false)
		o.end(o.clone(b), true)
		return
	}
	try := func(what string, f func(c *branch)) {
		c := o.clone(b)
		c.path = append(c.path, what)
		f(c)
		o.explore(c, depth-1)
	}
	for i, p := range b.wire {
		_, m, _ := decode(p.b)
		name := fmt.Sprintf("%d-%d:%d@%d", p.from, p.to, m.kind, m.slot)
		try(name, func(c *branch) { c.deliver(o, i, false) })
		if b.trouble > 0 {
			try(name+"+", func(c *branch) { c.trouble--; c.deliver(o, i, true) })
			try(name+"-", func(c *branch) { c.trouble--; c.wire = slices.Delete(c.wire, i, i+1) })
		}
	}
	if b.trouble > 0 {
		for i := range b.regs {
			try(fmt.Sprint("restart ", i), func(c *branch) { c.trouble--; o.restart(c, i) })
		}
	}
	try("tick", (*branch).tick)
}

// end goes on without trouble, but for what is on the way, and looks at what came of it.
func (o *orders) end(b *branch, lost bool) {
	o.ends++
	if lost {
		b.wire = nil
	}
	for range 3000 {
		switch {
		case len(b.wire) > 0:
			b.deliver(o, 0, false)
		case slices.Contains(b.results[:2], ""):
			b.tick()
		default:
			done := false
			b.regs[2].Read(b.now, time.Second, func(s State, err error) {
				done = true
				for i, r := range b.results[:2] {
					n := bytes.Count(s.Value, []byte{byte('a' + i)})
					if err != nil || n > 1 || r == "ok" && n != 1 || r == "none" && n != 0 {
						panic(broken(fmt.Sprintf("read %q, %v, results %v", s.Value, err, b.results)))
					}
				}
			})
			for range 1000 {
				if done {
					return
				}
				if len(b.wire) > 0 {
					b.deliver(o, 0, false)
				} else {
					b.tick()
				}
			}
			panic(broken("no read at the end"))
		}
	}
	panic(broken(fmt.Sprintf("no end: %v", b.results)))
}

// TestEveryOrder has two proposers on three voters, and every order of messages to a depth: from the start and from
// where some messages were delivered in order; with one trouble and without. AGREE_DEPTH goes deeper.
func TestEveryOrder(t *testing.T) {
	depth := 5
	if n, err := strconv.Atoi(os.Getenv("AGREE_DEPTH")); err == nil {
		depth = n
	}
	for _, first := range []int{0, 3, 6, 9, 12, 16, 20} {
		for trouble := range 2 {
			t.Run(fmt.Sprintf("first=%d/trouble=%d", first, trouble), func(t *testing.T) {
				t.Parallel()
				everyOrder(t, first, depth-trouble, trouble)
			})
		}
	}
}

func everyOrder(t *testing.T, first, depth, trouble int) {
	defer func() {
		switch x := recover().(type) {
		case nil:
		case broken:
			t.Error("BROKEN", x)
		default:
			panic(x)
		}
	}()
	o := &orders{seen: map[uint64]bool{}, seed: maphash.MakeSeed()}
	b := &branch{chain: map[uint64]string{}, results: make([]string, 3), disks: make([][][]byte, 3), trouble: trouble}
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
		b.regs = append(b.regs, r)
	}
	o.propose(b, 0)
	o.propose(b, 1)
	for range first {
		b.deliver(o, 0, false)
	}
	o.explore(b, depth)
	t.Logf("depth %d: %d worlds, %d ends", depth, len(o.seen), o.ends)
}
