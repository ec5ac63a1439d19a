package forward

import (
	"fmt"
	"strings"
	"testing"
)

// allHaving lists all that a verdict may depend on.
func allHaving() []having {
	var all []having
	for n := range 16 {
		all = append(all, having{n&1 != 0, n&2 != 0, n&4 != 0, n&8 != 0})
	}
	return all
}

// Every pair of a state and an event. A line names the verdict for a request that has everything,
// then what is missing where that changes it.
func TestEveryStateAndEvent(t *testing.T) {
	const table = `
not-sent refused     -> refuse
not-sent late        -> refuse
not-sent client-gone -> abort
not-sent turned-away -> again; no turns: refuse
not-sent unsent      -> again; no turns: refuse
not-sent broken      -> again; may run once: no-answer; no tries: no-answer
not-sent failed      -> again; may run once: pass-on; no tries: pass-on
not-sent unkept      -> again; may run once: no-answer; no tries: no-answer
not-sent answered    -> pass-on
not-sent cut         -> again; may run once: no-answer; no tries: no-answer
not-sent whole       -> nothing
sent refused         -> no-answer
sent late            -> too-late
sent client-gone     -> abort
sent turned-away     -> again; may run once: no-answer; no turns: no-answer
sent unsent          -> again; may run once: no-answer; no turns: no-answer
sent broken          -> again; may run once: no-answer; no tries: no-answer
sent failed          -> again; may run once: pass-on; no tries: pass-on
sent unkept          -> again; may run once: no-answer; no tries: no-answer
sent answered        -> pass-on
sent cut             -> again; may run once: no-answer; no tries: no-answer
sent whole           -> nothing
headed refused       -> abort
headed late          -> abort
headed client-gone   -> abort
headed turned-away   -> again; not resumable: abort; no turns: abort
headed unsent        -> again; not resumable: abort; no turns: abort
headed broken        -> again; not resumable: abort; no tries: abort
headed failed        -> again; not resumable: abort; no tries: abort
headed unkept        -> again; not resumable: abort; no tries: abort
headed answered      -> pass-on; not resumable: abort
headed cut           -> again; not resumable: abort; no tries: abort
headed whole         -> nothing
ended refused        -> nothing
ended late           -> nothing
ended client-gone    -> nothing
ended turned-away    -> nothing
ended unsent         -> nothing
ended broken         -> nothing
ended failed         -> nothing
ended unkept         -> nothing
ended answered       -> nothing
ended cut            -> nothing
ended whole          -> nothing
`
	lines := strings.Split(strings.TrimSpace(table), "\n")
	n := 0
	for s := NotSent; s <= Ended; s++ {
		for e := Refused; e <= Whole; e++ {
			if n == len(lines) {
				t.Fatalf("no line for %v %v", s, e)
			}
			pair, rest, _ := strings.Cut(lines[n], "->")
			n++
			if got := strings.Fields(pair); got[0] != s.String() || got[1] != e.String() {
				t.Fatalf("%q where %v %v is due", pair, s, e)
			}
			verdicts := strings.Split(rest, ";")
			for _, h := range allHaving() {
				want := strings.TrimSpace(verdicts[0])
				for _, v := range verdicts[1:] {
					missing, other, _ := strings.Cut(strings.TrimSpace(v), ": ")
					if map[string]bool{"may run once": !h.idempotent, "not resumable": !h.resumable, "no tries": !h.triesLeft, "no turns": !h.turnsLeft}[missing] {
						want = other
					}
				}
				if _, got := next(s, e, h); got.String() != want {
					t.Errorf("%v %v %+v: %v, want %s", s, e, h, got, want)
				}
			}
		}
	}
	if n != len(lines) {
		t.Errorf("%d lines for %d pairs", len(lines), n)
	}
}

// Whatever happens, in any order: a request that may run once only is never sent on after it may have
// run, one that may have run is never refused, and nothing is answered after a head was passed on.
func TestNoSequenceOfEventsBreaksAPromise(t *testing.T) {
	type at struct {
		s      State
		mayRun bool // an endpoint may have run it
		headed bool
	}
	for _, idempotent := range []bool{false, true} {
		seen := map[at]bool{}
		var walk func(a at, path string)
		walk = func(a at, path string) {
			if seen[a] || a.s == Ended {
				return
			}
			seen[a] = true
			for e := Refused; e <= Whole; e++ {
				for _, h := range allHaving() {
					if h.idempotent != idempotent || h.resumable && !idempotent {
						continue
					}
					b := a
					var v Verdict
					b.s, v = next(a.s, e, h)
					switch e {
					case Broken, Failed, Unkept, Answered, Cut, Whole:
						b.mayRun = true
					default:
					}
					here := fmt.Sprintf("%s, %v %v %+v", path, a.s, e, h)
					if b.s < a.s {
						t.Errorf("%s: the state went back", here)
					}
					switch v {
					case Again:
						if b.mayRun && !idempotent {
							t.Errorf("%s: sent again", here)
						}
					case Refuse:
						if b.mayRun || b.headed {
							t.Errorf("%s: refused", here)
						}
					case NoAnswer, TooLate:
						if b.headed {
							t.Errorf("%s: answered twice", here)
						}
					case PassOn:
						if !b.headed {
							c := b
							c.s, c.headed = Headed, true
							walk(c, here)
						}
					case Abort, Nothing:
					}
					walk(b, here)
				}
			}
		}
		walk(at{}, "")
	}
}
