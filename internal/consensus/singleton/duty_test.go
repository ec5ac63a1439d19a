package singleton

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// world has voters that are candidates too, on a clock of its own.
type world struct {
	rnd    *rand.Rand
	now    time.Duration
	grants []*Grants
	cands  []*Candidate
	skew   []time.Duration // of each one's clock
	frozen []time.Duration // until when
	down   func(from, to int) bool
	flight []message
}

type message struct {
	at time.Duration
	do func()
}

func newWorld(seed uint64, n int) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), down: func(int, int) bool { return false }}
	for range n {
		skew := time.Duration(w.rnd.Int64N(int64(time.Hour)))
		w.skew = append(w.skew, skew)
		w.grants = append(w.grants, NewGrants(skew))
		w.cands = append(w.cands, NewCandidate(w.rnd.Float64))
		w.frozen = append(w.frozen, 0)
	}
	return w
}

func (w *world) send(from, to int, do func()) {
	if w.down(from, to) || w.rnd.IntN(20) == 0 {
		return
	}
	w.flight = append(w.flight, message{w.now + time.Duration(w.rnd.IntN(60))*time.Millisecond, do})
}

func name(i int) string { return fmt.Sprint("n", i) }

func (w *world) step() {
	w.now += 10 * time.Millisecond
	flight := w.flight
	w.flight = nil
	for _, m := range flight {
		if m.at > w.now {
			w.flight = append(w.flight, m)
			continue
		}
		m.do()
	}
	for i, c := range w.cands {
		if w.now < w.frozen[i] {
			continue
		}
		ask, release, round := c.Step(w.now+w.skew[i], len(w.cands))
		for j := range w.grants {
			if release {
				w.send(i, j, func() { w.grants[j].Release("d", name(i)) })
			}
			if !ask {
				continue
			}
			w.send(i, j, func() {
				if w.now < w.frozen[j] || !w.grants[j].Ask(w.now+w.skew[j], "d", name(i)) {
					return
				}
				w.send(j, i, func() {
					if w.now >= w.frozen[i] {
						c.Granted(w.now+w.skew[i], round, name(j))
					}
				})
			})
		}
	}
}

func (w *world) holders() (holders []int) {
	for i, c := range w.cands {
		if c.Holds(w.now + w.skew[i]) {
			holders = append(holders, i)
		}
	}
	return holders
}

func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(300) {
		n := []int{3, 4, 5, 8}[seed%4]
		w := newWorld(seed, n)
		cut := map[[2]int]bool{}
		w.down = func(a, b int) bool { return a != b && cut[[2]int{a, b}] }
		for range 3000 {
			w.step()
			if h := w.holders(); len(h) > 1 {
				t.Fatalf("seed %d at %v: %v hold it", seed, w.now, h)
			}
			switch w.rnd.IntN(150) {
			case 0: // one starts anew
				i := w.rnd.IntN(n)
				w.grants[i], w.cands[i] = NewGrants(w.now+w.skew[i]), NewCandidate(w.rnd.Float64)
			case 1:
				w.frozen[w.rnd.IntN(n)] = w.now + time.Duration(w.rnd.IntN(4000))*time.Millisecond
			case 2:
				cut[[2]int{w.rnd.IntN(n), w.rnd.IntN(n)}] = true
			case 3:
				clear(cut)
			}
		}
	}
}

func TestOneHolderSoonAndForLong(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 3+int(seed%6))
		for w.now < 6*time.Second {
			w.step()
		}
		first := w.holders()
		if len(first) != 1 {
			t.Fatalf("seed %d: after %v %v hold it, want one", seed, w.now, first)
		}
		without := 0
		for range 1000 {
			w.step()
			if len(w.holders()) == 0 {
				without++
			}
		}
		if without > 100 {
			t.Errorf("seed %d: for %d of 1,000 steps nobody holds it", seed, without)
		}
	}
}

func TestAnotherTakesOver(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 3+int(seed%6))
		for len(w.holders()) == 0 {
			w.step()
		}
		old := w.holders()[0]
		w.frozen[old] = w.now + time.Hour
		at := w.now
		for w.now < at+10*time.Second && (len(w.holders()) == 0 || w.holders()[0] == old) {
			w.step()
		}
		if h := w.holders(); len(h) != 1 || h[0] == old {
			t.Errorf("seed %d: %v after its holder froze %v hold it", seed, w.now-at, h)
		}
	}
}

func TestFreshVoterGrantsNothing(t *testing.T) {
	g := NewGrants(0)
	if g.Ask(Length-1, "d", "a") {
		t.Error("granted what it may have granted to another before it started")
	}
	if !g.Ask(Length, "d", "a") || g.Ask(Length+1, "d", "b") || !g.Ask(2*Length, "d", "b") {
		t.Error("one holder at a time, until its end")
	}
}

// A candidate that stops holds nothing, whatever grants are still under way.
func TestStop(t *testing.T) {
	c := NewCandidate(func() float64 { return 0 })
	_, _, round := c.Step(0, 1)
	c.Granted(1, round, "a")
	if !c.Holds(2) {
		t.Fatal("no lease")
	}
	c.Stop()
	if c.Holds(2) {
		t.Error("it holds the lease that it gave up")
	}
	ask, _, round := c.Step(3, 2)
	if !ask {
		t.Fatal("it does not ask again")
	}
	c.Granted(4, round, "a")
	c.Stop()
	c.Granted(5, round, "b")
	if c.Holds(6) {
		t.Error("a late grant gave it a lease")
	}
}

// A round ends as soon as no majority can grant it, so that it does not stand in the way of another candidate's.
func TestRefused(t *testing.T) {
	c := NewCandidate(func() float64 { return 0 })
	_, _, round := c.Step(0, 3)
	c.Granted(1, round, "a")
	if c.Refused(2, round, "a") || c.Refused(2, round+1, "b") || c.Refused(2, round, "b") || c.Refused(2, round, "b") {
		t.Error("a round ended that can be granted")
	}
	if !c.Refused(3, round, "c") {
		t.Error("a round goes on that can't be granted")
	}
	c.Granted(4, round, "c")
	if c.Holds(5) {
		t.Error("a round that has ended was granted")
	}
	if ask, release, _ := c.Step(3+backoff-1, 3); ask || release {
		t.Error("it asks again at once")
	}
	ask, _, round := c.Step(3+backoff, 3)
	if !ask {
		t.Fatal("it does not ask again")
	}
	c.Granted(3+backoff, round, "a")
	c.Granted(3+backoff, round, "b")
	if !c.Holds(3 + backoff) {
		t.Fatal("no lease")
	}
	_, _, round = c.Step(3+backoff+Use-Renew, 3)
	c.Refused(3+backoff+Use-Renew, round, "a")
	if c.Refused(3+backoff+Use-Renew, round, "b") {
		t.Error("a lease that is held is released because it is not renewed")
	}
}
