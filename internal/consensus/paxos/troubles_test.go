package paxos

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// seeds is how many a test plays: AGREE_SEEDS, or what fits into a few seconds.
func seeds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("AGREE_SEEDS")); err == nil {
		return n
	}
	return usual
}

// play runs f for each seed on all cores; AGREE_SEED plays one, with what happened.
func play(t *testing.T, n int, f func(seed uint64, w func(*world))) {
	t.Helper()
	one := func(seed uint64, tracing bool) (said string) {
		var played *world
		defer func() {
			if x := recover(); x != nil {
				b, ok := x.(broken)
				if !ok {
					panic(x)
				}
				said = fmt.Sprintf("BROKEN seed %d: %s", seed, b)
				if tracing {
					said += "\n" + strings.Join(played.trace, "\n")
				}
			}
		}()
		f(seed, func(w *world) { played, w.tracing = w, tracing })
		return ""
	}
	if s, err := strconv.ParseUint(os.Getenv("AGREE_SEED"), 10, 64); err == nil {
		if said := one(s, true); said != "" {
			t.Fatal(said)
		}
		return
	}
	var next atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for s := next.Add(1); s <= uint64(n) && !t.Failed(); s = next.Add(1) {
				if said := one(s, false); said != "" {
					t.Error(said)
				}
			}
		})
	}
	group.Wait()
}

type size struct{ n, f int }

var sizes = []size{{3, 1}, {4, 1}, {5, 2}, {8, 2}}

// change makes a random change of the voters, or a write, or a conditional write.
func (w *world) someOperation(sz size) {
	m := w.any()
	timeout := 200*time.Millisecond + w.upTo(3*time.Second)
	switch w.rng.IntN(10) {
	case 0, 1, 2:
		w.read(m, timeout)
	case 3:
		expected := w.newest
		w.propose(m, timeout, func(cur State) (State, error) {
			if cur.Slot != expected {
				return cur, errConflict
			}
			return cur, nil
		})
	case 4:
		w.propose(m, timeout, func(State) (State, error) { return State{}, ErrUnchanged })
	case 5:
		joiner, dead := w.any(), w.any().name
		in := joiner.voter()
		w.propose(m, timeout, func(cur State) (State, error) {
			if in.ID != joiner.id {
				return cur, ErrUnchanged // it lost its disk meanwhile
			}
			next, ok := admitVoter(cur, in, func(v Voter) bool { return v.Name == dead }, sz.n+1)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
	case 6:
		dead := w.any().name
		w.propose(m, timeout, func(cur State) (State, error) {
			next, ok := expelVoter(cur, func(v Voter) bool { return v.Name == dead }, 2*sz.f+1)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
	default:
		w.propose(m, timeout, nil)
	}
}

// someTrouble starts a trouble and has it end.
func (w *world) someTrouble() {
	m, o := w.any(), w.any()
	length := 50*time.Millisecond + w.upTo(1500*time.Millisecond)
	switch w.rng.IntN(12) {
	case 0:
		w.cut[[2]int{m.i, o.i}] = true
		w.after(length, func() { delete(w.cut, [2]int{m.i, o.i}) })
	case 1:
		for _, p := range w.machines {
			w.cut[[2]int{m.i, p.i}], w.cut[[2]int{p.i, m.i}] = true, true
		}
		w.after(length, func() {
			for _, p := range w.machines {
				delete(w.cut, [2]int{m.i, p.i})
				delete(w.cut, [2]int{p.i, m.i})
			}
		})
	case 2:
		m.kill()
		w.after(length, func() {
			if !m.up {
				m.start()
			}
		})
	case 3:
		m.busy = max(m.busy, w.now+length) // frozen
	case 4:
		w.killAt = w.points + 1 + w.rng.IntN(30)
		w.killing = func(m *machine) {
			w.after(length, func() {
				if !m.up {
					m.start()
				}
			})
		}
	case 5:
		m.failing = 1
		w.after(length, func() {
			if m.reg.Failed() != nil {
				m.kill()
				m.failing = 0
				m.start()
			}
		})
	case 6, 7: // restarted at once
		for range 1 + w.rng.IntN(4) {
			w.after(w.upTo(200*time.Millisecond), func() {
				if m := w.any(); m.up {
					m.kill()
					m.start()
				}
			})
		}
	case 8:
		w.slow = 200 * time.Millisecond
		w.after(length, func() { w.slow = 5 * time.Millisecond })
	case 9:
		m.fill(length)
	case 10: // killed while its disk is full
		m.fill(length)
		w.after(w.upTo(200*time.Millisecond), func() {
			m.kill()
			m.start()
		})
	case 11:
		for _, p := range w.machines {
			if w.chance(.7) {
				p.fill(length)
			}
		}
	}
}

// fill leaves no room on a disk for a while, or now and then some.
func (m *machine) fill(length time.Duration) {
	m.full = 1
	if m.w.chance(.5) {
		m.full = .3 + .6*m.w.rng.Float64()
	}
	m.w.note("%s: disk full, %.2f", m.name, m.full)
	m.w.after(length, func() { m.full = 0 })
}

// loseDisk has a machine start with an empty disk and ask to be a voter again until it is.
func (w *world) loseDisk(m *machine, joined func()) {
	m.lose()
	id := m.id
	w.after(w.upTo(time.Second), func() {
		if !m.up {
			m.start()
		}
	})
	var join func()
	join = func() {
		if m.id != id {
			return
		}
		in := false
		o := w.propose(w.any(), time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, m.voter(), func(v Voter) bool { return false }, len(cur.Voters))
			if in = !ok; in {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		w.after(1200*time.Millisecond, func() {
			switch {
			case o.result == "ok" || in && o.result == "none":
				if joined != nil {
					joined()
				}
			default:
				join()
			}
		})
	}
	w.after(200*time.Millisecond, join)
}

func (w *world) rough() {
	w.loss, w.double, w.late = .1*w.rng.Float64(), .1*w.rng.Float64(), .05*w.rng.Float64()
	w.delay = time.Millisecond + w.upTo(40*time.Millisecond)
}

// TestChaos plays all troubles at once: one chain, nothing acknowledged is lost, reads are linearizable; and where
// no more disks were lost than may be, everything works afterwards.
func TestChaos(t *testing.T) {
	play(t, seeds(1000), func(seed uint64, set func(*world)) {
		sz := sizes[seed%4]
		w := newWorld(seed, sz.n, 2)
		set(w)
		w.rough()
		losses, all := 0, seed%5 == 0 // all: disks are lost beyond what may be
		for w.now < 4*time.Second {
			for range 1 + w.rng.IntN(3) {
				w.after(w.upTo(50*time.Millisecond), func() { w.someOperation(sz) })
			}
			if w.chance(.5) {
				w.someTrouble()
			}
			if w.chance(.05) && (all || losses < sz.f) {
				losses++
				w.loseDisk(w.any(), nil)
			}
			w.run(w.now + 20*time.Millisecond + w.upTo(300*time.Millisecond))
		}
		w.calm()
		w.run(w.now + 4*time.Second)
		if !all {
			w.allRead(20 * time.Second)
			o := w.propose(w.any(), 10*time.Second, nil)
			w.run(w.now + 10*time.Second)
			if o.result != "ok" {
				w.fail("no write after all: %q", o.result)
			}
			w.allRead(20 * time.Second)
		}
		w.check()
	})
}

// TestLastFault loses as many disks as may be lost right after something was acknowledged, while all others lose
// power, or all are killed. Everybody reads it afterwards.
func TestLastFault(t *testing.T) {
	play(t, seeds(2000), func(seed uint64, set func(*world)) {
		sz := sizes[seed%4]
		w := newWorld(seed, sz.n, 2)
		set(w)
		w.rough()
		joining, after := 0, 1+w.rng.IntN(25)
		hit, clear := false, uint64(0)
		w.onDone = func(o *op, s State) {
			// A disk that was lost before has been replaced, and none that was lost can still be voted in.
			if after--; after > 0 || joining > 0 || hit || s.Slot < clear {
				return
			}
			hit = true
			w.after(0, func() {
				w.note("the last fault")
				lost := w.rng.Perm(len(w.machines))[:sz.f]
				for _, m := range w.machines {
					if slices.Contains(lost, m.i) {
						m.lose()
					} else if w.chance(.9) {
						m.kill()
					}
				}
			})
		}
		for w.now < 8*time.Second && !hit {
			for range 1 + w.rng.IntN(3) {
				w.someOperation(sz)
			}
			if w.chance(.3) {
				w.someTrouble()
			}
			if joining == 0 && w.chance(.05) {
				joining++
				w.loseDisk(w.any(), func() { joining-- })
				clear = w.newest + 2
			}
			w.runWhile(w.now+20*time.Millisecond+w.upTo(200*time.Millisecond), func() bool { return !hit })
		}
		w.run(w.now)
		if !hit {
			return
		}
		w.onDone = nil
		for _, m := range w.machines {
			if !m.up {
				w.after(w.upTo(time.Second), func() {
					if !m.up {
						m.start()
					}
				})
			}
		}
		w.run(w.now + time.Second)
		w.calm()
		w.allRead(10 * time.Second)
		w.check()
	})
}

// TestLastFaultAfterAdmit: a disk is lost, its voter is replaced, by the same machine or by another one while the
// first stays away, and at the moment that this is done as many disks as may be are lost and all others lose power.
// One process alone is asked afterwards.
func TestLastFaultAfterAdmit(t *testing.T) {
	play(t, seeds(2000), func(seed uint64, set func(*world)) {
		sz := sizes[seed%4]
		w := newWorld(seed, sz.n, 1)
		set(w)
		w.loss, w.double, w.delay = .2*w.rng.Float64(), .1*w.rng.Float64(), 40*time.Millisecond
		w.run(time.Second)
		if seed%3 == 0 { // disks that are full until the fault, and not after it
			for _, m := range w.machines {
				if w.chance(.4) {
					m.fill(time.Hour)
				}
			}
		}
		w.propose(w.any(), 2*time.Second, nil)
		w.run(w.now + 2*time.Second)
		first, other := w.machines[w.rng.IntN(sz.n)], w.chance(.5)
		joiner := first
		if other {
			joiner = w.machines[sz.n]
		}
		if first.lose(); !other {
			first.start()
		}
		w.run(w.now + time.Second)
		proposer := joiner
		for proposer == first {
			proposer = w.any()
		}
		var admit *op
		hit := false
		w.onDone = func(o *op, s State) {
			if o != admit || o.result != "ok" {
				return
			}
			hit = true
			w.after(0, func() {
				w.note("the last fault")
				lost := w.rng.Perm(len(w.machines))
				lost = slices.DeleteFunc(lost, func(i int) bool { return other && i == first.i })[:sz.f]
				for _, m := range w.machines {
					if slices.Contains(lost, m.i) {
						m.lose()
					}
					m.kill()
				}
			})
		}
		admit = w.propose(proposer, 5*time.Second, func(cur State) (State, error) {
			next, ok := admitVoter(cur, joiner.voter(), func(v Voter) bool { return v.Name == first.name }, sz.n)
			if !ok {
				return cur, ErrUnchanged
			}
			return next, nil
		})
		w.runWhile(w.now+8*time.Second, func() bool { return !hit })
		w.run(w.now)
		if !hit {
			return
		}
		w.onDone = nil
		w.loss, w.double = 0, 0
		for _, m := range w.machines {
			m.full = 0
			if m != first || !other {
				w.after(200*time.Millisecond+w.upTo(200*time.Millisecond), m.start)
			}
		}
		w.run(w.now + 500*time.Millisecond)
		asked := w.any()
		for !asked.up {
			asked = w.any()
		}
		o := w.read(asked, 10*time.Second)
		w.run(w.now + 12*time.Second)
		if o.result != "ok" {
			w.fail("%s can't read: %q", asked.name, o.result)
		}
		w.check()
	})
}
