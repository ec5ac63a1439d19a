package rules

import (
	"strings"
	"testing"
	"time"

	. "dunetide/internal/lab/trace"
)

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var limits = Protocol(Limits{DrainGrace: 2 * time.Second, Slots: 2, MaxOpen: 2, MaxAttempts: 3, Blur: 100 * time.Millisecond,
	Never: []bool{true, false}, Dest: []int{0, 0, 1}})

const (
	charge = 0
	status = 1
)

func submitted(s float64, id string, class int) Record {
	return Record{At: at(s), What: Submitted, ID: id, Origin: id, Class: class, Until: at(s + 10)}
}
func accepted(s float64, id string) Record { return Record{At: at(s), What: Accepted, ID: id} }
func call(s float64, id string, n uint64) Record {
	return Record{At: at(s), What: Call, ID: id, Call: n, Since: at(s)}
}
func end(s float64, id string, n uint64, code int, how string) Record {
	return Record{At: at(s), What: End, ID: id, Call: n, Status: code, Result: how}
}
func notice(s float64, id, how string) Record {
	return Record{At: at(s), What: Notice, ID: id, Result: how}
}
func on(r Record, ep int) Record { r.EP = ep; return r }

// TestEachRule tests each rule with traces that violate it and with traces that just comply.
func TestEachRule(t *testing.T) {
	start := []Record{submitted(1, "a", charge), accepted(1.01, "a")}
	refusal := end(2, "a", 1, 429, "")
	refusal.Wait = time.Second
	leaving := Record{At: at(1), What: PhaseReported, EP: 1, Result: "leaving"}
	drained := on(call(3.2, "a", 1), 1)
	justDrained := on(call(3.04, "a", 1), 1)
	slow := on(call(3.5, "a", 1), 1) // its first byte was in time
	slow.Since = at(3)
	restart := []Record{{At: at(10), What: Stop, Result: "SIGKILL"}, {At: at(14), What: Start}, {At: at(14.1), What: Ready}}
	for _, c := range []struct {
		name   string
		rule   string // empty: no rule is violated
		trace  []Record
		detail string
	}{
		{"unknown", Unknown, []Record{call(1, "x", 1)}, "x arrived at endpoint 0"},
		{"unknown notice", Unknown, []Record{notice(1, "x", "given_up")}, "notice for x"},
		{"wrong destination", WrongDestination, append(start, on(call(2, "a", 1), 2)), "for destination 0 but arrived at endpoint 2 of destination 1"},
		{"two at once", ConcurrentAttempts, append(start, call(2, "a", 1), on(call(2.1, "a", 2), 1)), "while an earlier call was in flight"},
		{"one after another", "", append(start, call(2, "a", 1), end(2.1, "a", 1, 503, ""), call(2.2, "a", 2), end(2.3, "a", 2, 200, "")), ""},
		{"charge again after an error", Repeat, append(start, call(2, "a", 1), end(2.1, "a", 1, 500, ""), call(2.2, "a", 2)), "may have run (line 4)"},
		{"charge again after the call was abandoned", Repeat, append(start, call(2, "a", 1), end(2.1, "a", 1, 0, Closed), call(2.2, "a", 2)), ""},
		{"charge again after a reset", Repeat, append(start, call(2, "a", 1), end(2.1, "a", 1, 0, Reset), call(2.2, "a", 2)), ""},
		{"charge again over a restart", Repeat, append(append(start, call(2, "a", 1), end(10, "a", 1, 0, Closed)), append(restart, call(14.2, "a", 2))...), ""},
		{"status again after an error", "", []Record{submitted(1, "b", status), accepted(1, "b"), call(2, "b", 1), end(2.1, "b", 1, 500, ""),
			call(2.2, "b", 2), end(2.3, "b", 2, 200, "")}, ""},
		{"sent after the end", Ended, append(start, notice(2, "a", "handed_back"), call(2.2, "a", 1)), "after its notice (handed_back)"},
		{"refused although it may have run", Refusal, append(start, call(2, "a", 1), end(2.1, "a", 1, 500, ""), notice(3, "a", "handed_back")), "may have run"},
		{"refused while a call is open", Refusal, append(start, call(2, "a", 1), notice(3, "a", "handed_back")), ""},
		{"given up although it may have run", "", append(start, call(2, "a", 1), end(2.1, "a", 1, 500, ""), notice(3, "a", "given_up")), ""},
		{"no end", Lost, append(start, submitted(12, "b", status)), "had not ended"},
		{"just in time", "", append(start, notice(11.34, "a", "given_up")), ""},
		{"two ends", Lost, append(start, notice(2, "a", "given_up"), notice(3, "a", "handed_back")), "ended as given_up and then as handed_back"},
		{"no end while its node is down", "", append(append(start, restart...), notice(15.5, "a", "given_up")), ""},
		{"no end while its node is stopped", "", append(start, Record{At: at(9), What: Fault, Result: "stop", Until: at(20)}, notice(21, "a", "given_up")), ""},
		{"no end for too long after a stop", Lost, append(start, Record{At: at(9), What: Fault, Result: "stop", Until: at(20)}, submitted(23, "b", status)), ""},
		{"no end for too long after a restart", Lost, append(append(start, restart...), submitted(17, "b", status)), ""},
		{"drain", Drain, append([]Record{leaving}, append(start, drained)...), "2200 ms after it was notified"},
		{"drain within the grace", "", append([]Record{leaving}, append(start, justDrained, end(3.1, "a", 1, 200, ""))...), ""},
		{"drain counts from the first byte", "", append([]Record{leaving}, append(start, slow, end(3.6, "a", 1, 200, ""))...), ""},
		{"wait", Wait, append(start, call(1.9, "a", 1), refusal, call(2.9, "a", 2)), "100 ms before the end of a wait"},
		{"wait, at once", "", append(start, call(1.9, "a", 1), refusal, call(2.09, "a", 2), end(2.2, "a", 2, 200, "")), ""},
		{"wait is over", "", append(start, call(1.9, "a", 1), refusal, call(3, "a", 2), end(3.2, "a", 2, 200, "")), ""},
		{"wait and a restart", "", append(start, call(1.9, "a", 1), refusal, Record{At: at(2.1), What: Stop, Result: "SIGKILL"}, Record{At: at(2.5), What: Start},
			call(2.6, "a", 2), end(2.7, "a", 2, 200, "")), ""},
		{"cold", Cold, []Record{{At: at(3), What: Collapsed, Dest: 1, Share: 0.7}}, "70% of its calls"},
		{"fell because of uninformed nodes", "", []Record{{At: at(3), What: Collapsed, Dest: 1, Share: 0.5}}, ""},
		{"attempts", Attempts, append(start, call(2, "a", 1), end(2.1, "a", 1, 503, ""), call(2.2, "a", 2), end(2.3, "a", 2, 503, ""),
			call(2.4, "a", 3), end(2.5, "a", 3, 503, ""), call(2.6, "a", 4), end(2.7, "a", 4, 200, "")), "4th time"},
		{"slots", Slots, []Record{submitted(1, "a", status), submitted(1, "b", status), submitted(1, "c", status), call(1.1, "a", 1), call(1.1, "b", 2),
			call(1.1, "c", 3), submitted(1.15, "d", status), submitted(1.3, "e", status)}, "over 2 calls in flight"},
		{"slots, end observed late", "", []Record{submitted(1, "a", status), submitted(1, "b", status), submitted(1, "c", status), call(1.1, "a", 1), call(1.1, "b", 2),
			call(1.1, "c", 3), end(1.15, "a", 1, 200, ""), submitted(1.3, "e", status)}, ""},
		{"hold", Hold, []Record{submitted(1, "a", status), submitted(1, "b", status), submitted(1, "c", status), accepted(1.1, "a"), accepted(1.1, "b"),
			accepted(1.1, "c"), submitted(1.15, "d", status), submitted(1.3, "e", status)}, "over 2 messages"},
		{"protocol violation", ProtocolConformance, []Record{{At: at(1), What: ProtocolError, Result: "the body is not the client's"}}, "the body"},
		{"acceptance of an unknown message", ProtocolConformance, []Record{accepted(1, "x")}, "no client submitted"},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := New(limits)
			last := time.Duration(0)
			for _, r := range c.trace {
				k.Observe(r)
				last = r.At
			}
			broken, _ := k.Finish(last)
			switch {
			case c.rule == "" && len(broken) > 0:
				t.Errorf("found %v", broken)
			case c.rule != "" && (len(broken) == 0 || broken[0].Rule != c.rule || !strings.Contains(broken[0].Detail, c.detail)):
				t.Errorf("found %v, want %s: %s", broken, c.rule, c.detail)
			case c.rule != "" && len(broken[0].Lines) == 0:
				t.Error("the violation names no lines of the trace")
			}
		})
	}
}

func TestEachAttemptIsAccountedFor(t *testing.T) {
	k := New(limits)
	for _, r := range []Record{submitted(1, "a", status), accepted(1, "a"), call(1, "a", 1), end(1.1, "a", 1, 200, ""),
		submitted(1, "b", status), {At: at(1.1), What: TurnedAway, ID: "b", Status: 503},
		submitted(1.2, "c", status), accepted(1.2, "c"), notice(2, "c", "handed_back"),
		submitted(2, "d", status), accepted(2, "d"), notice(3, "d", "given_up"),
		submitted(3, "e", status), call(3.01, "e", 2), end(3.05, "e", 2, 200, ""), accepted(3.1, "e"), // delivered before its client knew that it was accepted
		submitted(4, "f", charge), accepted(4, "f"), {At: at(5), What: Stop, Result: "lost"},
		submitted(6, "g", status), accepted(6, "g")} {
		k.Observe(r)
	}
	broken, a := k.Finish(at(7))
	if len(broken) > 0 {
		t.Fatal(broken)
	}
	want := Account{Tries: 7, Accepted: 6, TurnedAway: 1, Delivered: 2, Refused: 1, GivenUp: 1, Orphans: 1, Open: 1}
	if a != want {
		t.Errorf("%+v, want %+v", a, want)
	}
}

func TestOldMessagesAreDropped(t *testing.T) {
	k := New(limits)
	for i := range 200000 {
		s := float64(i) / 100
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		for _, r := range []Record{submitted(s, id, status), accepted(s, id), call(s, id, uint64(i+1)), end(s, id, uint64(i+1), 200, "")} {
			k.Observe(r)
		}
	}
	if n := len(k.messages); n > 5000 {
		t.Errorf("%d messages are kept", n)
	}
	if n := len(k.deadlines) + len(k.expiries) + len(k.calls); n > 10000 {
		t.Errorf("%d entries are queued", n)
	}
}
