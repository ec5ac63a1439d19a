package attempt

import (
	"fmt"
	"strings"
	"testing"
)

// allConditions returns every combination of conditions.
func allConditions() []Conditions {
	var all []Conditions
	for n := range 16 {
		all = append(all, Conditions{n&1 != 0, n&2 != 0, n&4 != 0, n&8 != 0})
	}
	return all
}

// verdicts has every pair of a state and an event. A line has the verdict if all conditions hold, then the verdicts if
// a condition does not hold, where that changes the verdict.
const verdicts = `
not-sent refused        -> refuse
not-sent deadline       -> refuse
not-sent client-gone    -> abort
not-sent rejected       -> retry; no reroutes: refuse
not-sent not-written    -> retry; no reroutes: refuse
not-sent broken         -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
not-sent failed         -> retry; not idempotent: forward; no attempts: forward
not-sent false-refusal  -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
not-sent answered       -> forward
not-sent body-cut       -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
not-sent body-complete  -> done
sent refused            -> bad-gateway
sent deadline           -> gateway-timeout
sent client-gone        -> abort
sent rejected           -> retry; not idempotent: bad-gateway; no reroutes: bad-gateway
sent not-written        -> retry; not idempotent: bad-gateway; no reroutes: bad-gateway
sent broken             -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
sent failed             -> retry; not idempotent: forward; no attempts: forward
sent false-refusal      -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
sent answered           -> forward
sent body-cut           -> retry; not idempotent: bad-gateway; no attempts: bad-gateway
sent body-complete      -> done
head-sent refused       -> abort
head-sent deadline      -> abort
head-sent client-gone   -> abort
head-sent rejected      -> retry; not resumable: abort; no reroutes: abort
head-sent not-written   -> retry; not resumable: abort; no reroutes: abort
head-sent broken        -> retry; not resumable: abort; no attempts: abort
head-sent failed        -> retry; not resumable: abort; no attempts: abort
head-sent false-refusal -> retry; not resumable: abort; no attempts: abort
head-sent answered      -> forward; not resumable: abort
head-sent body-cut      -> retry; not resumable: abort; no attempts: abort
head-sent body-complete -> done
ended refused           -> done
ended deadline          -> done
ended client-gone       -> done
ended rejected          -> done
ended not-written       -> done
ended broken            -> done
ended failed            -> done
ended false-refusal     -> done
ended answered          -> done
ended body-cut          -> done
ended body-complete     -> done
`

func TestEveryStateAndEvent(t *testing.T) {
	lines := strings.Split(strings.TrimSpace(verdicts), "\n")
	n := 0
	for s := NotSent; s <= Ended; s++ {
		for e := NotAdmitted; e <= BodyComplete; e++ {
			if n == len(lines) {
				t.Fatalf("no line for %v %v", s, e)
			}
			pair, rest, _ := strings.Cut(lines[n], "->")
			n++
			if got := strings.Fields(pair); got[0] != s.String() || got[1] != e.String() {
				t.Fatalf("line %q, want one for %v %v", pair, s, e)
			}
			alternatives := strings.Split(rest, ";")
			for _, h := range allConditions() {
				want := strings.TrimSpace(alternatives[0])
				for _, v := range alternatives[1:] {
					missing, other, _ := strings.Cut(strings.TrimSpace(v), ": ")
					lacks := map[string]bool{
						"not idempotent": !h.Idempotent,
						"not resumable":  !h.Resumable,
						"no attempts":    !h.AttemptsLeft,
						"no reroutes":    !h.ReroutesLeft,
					}
					if lacks[missing] {
						want = other
					}
				}
				if _, got := Next(s, e, h); got.String() != want {
					t.Errorf("%v %v %+v: %v, want %s", s, e, h, got, want)
				}
			}
		}
	}
	if n != len(lines) {
		t.Errorf("%d lines for %d pairs", len(lines), n)
	}
}

// Checks the invariants over all sequences of events: a request that is not idempotent is never sent again after it may
// have run, one that may have run is never answered 503, and no other answer follows a head that was passed on.
func TestNoSequenceOfEventsViolatesAnInvariant(t *testing.T) {
	type position struct {
		s      State
		mayRun bool // an endpoint may have run it
		headed bool
	}
	for _, idempotent := range []bool{false, true} {
		seen := map[position]bool{}
		var walk func(a position, path string)
		walk = func(a position, path string) {
			if seen[a] || a.s == Ended {
				return
			}
			seen[a] = true
			for e := NotAdmitted; e <= BodyComplete; e++ {
				for _, h := range allConditions() {
					if h.Idempotent != idempotent || h.Resumable && !idempotent {
						continue
					}
					b := a
					var v Verdict
					b.s, v = Next(a.s, e, h)
					switch e {
					case Broken, Failed, UnprovenRejection, Answered, BodyTruncated, BodyComplete:
						b.mayRun = true
					default:
					}
					here := fmt.Sprintf("%s, %v %v %+v", path, a.s, e, h)
					if b.s < a.s {
						t.Errorf("%s: the state went back", here)
					}
					switch v {
					case Retry:
						if b.mayRun && !idempotent {
							t.Errorf("%s: sent again", here)
						}
					case ServiceUnavailable:
						if b.mayRun || b.headed {
							t.Errorf("%s: answered 503", here)
						}
					case BadGateway, GatewayTimeout:
						if b.headed {
							t.Errorf("%s: answered twice", here)
						}
					case Forward:
						if !b.headed {
							c := b
							c.s, c.headed = HeadSent, true
							walk(c, here)
						}
					case Abort, Done:
					}
					walk(b, here)
				}
			}
		}
		walk(position{}, "")
	}
}
