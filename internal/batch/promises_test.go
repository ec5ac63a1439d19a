package batch

import (
	"fmt"
	"testing"
)

// life is the life of a few jobs with everything that may be asked of them. Step is called before each event.
func life(w *world, hook func()) {
	w.start()
	for i := range 3 {
		w.addWorker(fmt.Sprintf("p%d", i))
	}
	w.run(400)
	w.hook = hook
	a := w.newJob("a", 10, 10, 10, 10, 10)
	b := w.newJob("b", 20, 20)
	c := w.newJob("c", 30, 30)
	for _, j := range []*promise{a, b, c} {
		w.insist(j, 12)
		w.follow(j, 6000)
	}
	e := w.newJob("e", 45)
	e.slow = 2500
	w.insist(e, 12)
	w.after(30, func() { w.works[1].send(a, nil) })
	w.after(31, func() { w.works[2].send(a, nil) })
	w.after(150+w.rng.Float64()*100, func() {
		if b.taken {
			w.end(b)
		}
	})
	w.run(3000)
	d := w.newJob("d", 40, 40)
	w.insist(d, 12)
	w.follow(d, 6000)
	w.run(3000)
	w.hook = nil
	w.settle(6000)
}

func check(t *testing.T, w *world, what string) bool {
	t.Helper()
	for _, b := range w.bad {
		t.Errorf("%s: %s", what, b)
	}
	return len(w.bad) == 0
}

func TestCalm(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(seed, 3+int(seed%3), 1, 4)
		life(w, nil)
		if !check(t, w, fmt.Sprint("seed ", seed)) {
			return
		}
		if w.served < 7 {
			t.Fatalf("seed %d: only %d results", seed, w.served)
		}
	}
}

type disturb struct {
	name string
	do   func(w *world, s *simStore)
}

var disturbances = []disturb{
	{"kill", func(w *world, s *simStore) { s.kill(); w.after(400, s.boot) }},
	{"kill for long", func(w *world, s *simStore) { s.kill(); w.after(3000, s.boot) }},
	{"power", func(w *world, s *simStore) { s.power(); w.after(400, s.boot) }},
	{"wipe", func(w *world, s *simStore) { s.wipe(); w.after(400, s.boot) }},
	{"freeze", func(w *world, s *simStore) { s.freeze(2600) }},
	{"cut", func(w *world, s *simStore) {
		w.cut = func(a, b string) bool { return a == s.name }
		w.drop(s.name, 1300)
		w.after(2500, func() { w.cut = nil })
	}},
	{"wipe, the others without power", func(w *world, s *simStore) {
		for _, o := range w.stores {
			if o == s {
				o.wipe()
			} else {
				o.power()
			}
			w.after(300+w.rng.Float64()*200, o.boot)
		}
	}},
	{"freeze, the others without power", func(w *world, s *simStore) {
		s.freeze(2600)
		for _, o := range w.stores {
			if o != s {
				o.power()
				w.after(300+w.rng.Float64()*200, o.boot)
			}
		}
	}},
	{"alone with clients who don't know", func(w *world, s *simStore) {
		s.deaf = true
		w.cut = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		for _, k := range w.works {
			k.late = 2500
		}
		w.after(3000, func() {
			s.deaf, w.cut = false, nil
			for _, k := range w.works {
				k.late = 0
			}
		})
	}},
	{"alone with one proxy that doesn't know", func(w *world, s *simStore) {
		s.deaf = true
		w.cut = func(a, b string) bool { return (a == s.name || b == s.name) && a[0] == 's' && b[0] == 's' }
		w.works[0].late = 3500
		w.after(4000, func() { s.deaf, w.cut, w.works[0].late = false, nil, 0 })
	}},
	{"acknowledgements lost, then its disk", func(w *world, s *simStore) {
		w.cut = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.deaf = true
		w.after(1600, func() { s.wipe(); w.cut, s.deaf = nil, false })
		w.after(2000, s.boot)
	}},
	{"acknowledgements lost", func(w *world, s *simStore) {
		w.cut = func(a, b string) bool { return b == s.name && a[0] == 's' }
		s.deaf = true
		w.after(2600, func() { w.cut, s.deaf = nil, false })
	}},
	{"a slow copy, then a disk", func(w *world, s *simStore) {
		o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
		w.slow = func(a, b string) bool { return b == o.name && a[0] == 's' }
		w.after(120+w.rng.Float64()*300, func() { s.wipe(); w.after(400, s.boot) })
		w.after(900, func() { w.slow = nil })
	}},
	{"a slow copy, then a kill", func(w *world, s *simStore) {
		o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
		w.slow = func(a, b string) bool { return b == o.name && a[0] == 's' }
		w.after(120+w.rng.Float64()*300, func() { s.kill(); w.after(3000, s.boot) })
		w.after(900, func() { w.slow = nil })
	}},
	{"wipe, then another", func(w *world, s *simStore) {
		s.wipe()
		w.after(300, s.boot)
		w.after(5000, func() {
			o := w.stores[(int(s.name[1]-'0')+1)%len(w.stores)]
			o.wipe()
			w.after(300, o.boot)
		})
	}},
}

// enumerate plays a life for each step, store and disturbance.
func enumerate(wrong wrongLine, every int, report func(what string, w *world) bool) {
	for step := 1; step < 1400; step += every {
		for s := range 4 {
			for _, d := range disturbances {
				seed := uint64(step*37 + s*5)
				n := 3 + int(seed%2)
				if s >= n {
					continue
				}
				w := newWorld(seed, n, 1, 4)
				w.wrong, w.slowSync = wrong, step/37%2 == 1
				at := 0
				life(w, func() {
					if at++; at == step {
						d.do(w, w.stores[s])
					}
				})
				if !report(fmt.Sprintf("%s of s%d at step %d", d.name, s, step), w) {
					return
				}
			}
		}
	}
}

func TestEachStep(t *testing.T) {
	every := 23
	if testing.Short() {
		every = 211
	}
	n := 0
	enumerate(noWrong, every, func(what string, w *world) bool {
		n++
		return check(t, w, what)
	})
	t.Logf("%d lives", n)
}

// TestWrongLines: each mistake that is put in on purpose is found.
func TestWrongLines(t *testing.T) {
	for wrong := wrongOldBallots; wrong < wrongLines; wrong++ {
		if wrong == wrongRefusal {
			continue // TestUnsureIsNoPromise has it
		}
		t.Run(wrong.String(), func(t *testing.T) {
			t.Parallel()
			lives, found := 0, ""
			enumerate(wrong, 37, func(what string, w *world) bool {
				lives++
				if len(w.bad) > 0 {
					found = what + ": " + w.bad[0]
				}
				return found == "" && lives < 1600
			})
			if found == "" {
				t.Fatalf("not found in %d lives", lives)
			}
			t.Logf("life %d, %s", lives, found)
		})
	}
}

// TestUnsureIsNoPromise: a job that was ordered and not committed when its primary is replaced is answered neither as taken
// nor as refused.
func TestUnsureIsNoPromise(t *testing.T) {
	for _, wrong := range []wrongLine{noWrong, wrongRefusal} {
		w := newWorld(1, 3, 1, 1)
		w.wrong = wrong
		w.start()
		w.addWorker("p0")
		w.run(400)
		leads := w.store(w.table.Stores[w.table.Parts[0].Primary].Name)
		w.cut = func(a, b string) bool { return b == leads.name && a[0] == 's' }
		j := w.newJob("a", 10)
		var code uint8
		w.works[0].send(j, func(c uint8) { code = c })
		w.run(50)
		if code != 0 {
			t.Fatalf("answered %d without a copy", code)
		}
		next := cloneTable(w.table)
		next.Parts[0].Epoch++
		next.Parts[0].Primary = next.Parts[0].Copies[1]
		w.publish(next)
		w.run(100)
		if good := code == codeUnknown; good != (wrong == noWrong) {
			t.Errorf("with the wrong line %q: answered %d", wrong, code)
		}
	}
}
