package quorum

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// trackerStep is a step at a time in milliseconds, with the expected state right after it.
type trackerStep struct {
	at           time.Duration
	do           func(t *Tracker, now time.Duration)
	inContact    bool
	due          bool
	nextDeadline time.Duration // -1: no deadline before the check ends
	duration     time.Duration // of contact
}

func checkStarted(t *Tracker, now time.Duration) { t.CheckStarted(now) }

func checkEnded(startedAt time.Duration, ok bool) func(*Tracker, time.Duration) {
	return func(t *Tracker, now time.Duration) { t.CheckEnded(now, startedAt*ms, ok) }
}

func confirmed(startedAt time.Duration) func(*Tracker, time.Duration) {
	return func(t *Tracker, now time.Duration) { t.Confirmed(now, startedAt*ms) }
}

func nothing(*Tracker, time.Duration) {}

func TestTracker(t *testing.T) {
	for name, steps := range map[string][]trackerStep{
		"checks at once, then every CheckInterval, and contact counts from the start of the check": {
			{0, nothing, false, true, 0, 0},
			{10, checkStarted, false, false, -1, 0},
			{30, checkEnded(10, true), true, false, 1510, 0},
			{359, nothing, true, false, 1510, 329},
			{360, nothing, true, true, 1510, 330},
			{410, checkStarted, true, false, 1510, 380},
			{1509, nothing, true, false, 1510, 1479},
			{1510, nothing, false, false, -1, 0},
		},
		"a failed check is retried after RetryDelay, and does not end contact": {
			{0, checkStarted, false, false, -1, 0},
			{10, checkEnded(0, true), true, false, 1500, 0},
			{400, checkStarted, true, false, 1500, 390},
			{1100, checkEnded(400, false), true, false, 1500, 1090},
			{1199, nothing, true, false, 1500, 1189},
			{1200, nothing, true, true, 1500, 1190},
			{1200, checkStarted, true, false, 1500, 1190},
			{1210, checkEnded(1200, true), true, false, 2700, 1200},
			{2699, nothing, true, true, 2700, 2689},
		},
		"frozen during a check": {
			{0, checkStarted, false, false, -1, 0},
			{20000, checkEnded(0, true), false, true, 350, 0},
			{20000, checkStarted, false, false, -1, 0},
			{20005, checkEnded(20000, true), true, false, 21500, 0},
		},
		"frozen with contact": {
			{0, checkStarted, false, false, -1, 0},
			{1, checkEnded(0, true), true, false, 1500, 0},
			{20000, nothing, false, true, 350, 0},
		},
		"an answer after the end of contact starts contact again": {
			{0, checkStarted, false, false, -1, 0},
			{1, checkEnded(0, true), true, false, 1500, 0},
			{400, checkStarted, true, false, 1500, 399},
			{1600, checkEnded(400, true), true, true, 1900, 0},
			{1700, nothing, true, true, 1900, 100},
		},
		"an answer to a check that is too old does not count": {
			{0, checkStarted, false, false, -1, 0},
			{1500, checkEnded(0, true), false, true, 350, 0},
		},
		"other operations count from their start, and never shorten contact": {
			{0, checkStarted, false, false, -1, 0},
			{900, confirmed(100), true, false, 1600, 0},
			{950, confirmed(50), true, false, 1600, 50},
			{1000, confirmed(800), true, false, 2300, 100},
			{1100, checkEnded(0, false), true, false, 2300, 200},
		},
		"the clock never goes back": {
			{0, checkStarted, false, false, -1, 0},
			{10, checkEnded(0, true), true, false, 1500, 0},
			{1500, nothing, false, true, 350, 0},
			{100, nothing, false, true, 350, 0},
			{100, checkStarted, false, false, -1, 0},
			{100, checkEnded(100, true), true, false, 1600, 0},
		},
		"no majority for a long time: no contact, and repeated checks": {
			{0, checkStarted, false, false, -1, 0},
			{700, checkEnded(0, false), false, false, 800, 0},
			{800, checkStarted, false, false, -1, 0},
			{1500, checkEnded(800, false), false, false, 1600, 0},
			{3000, checkStarted, false, false, -1, 0},
			{3700, checkEnded(3000, false), false, false, 3800, 0},
			{60000, nothing, false, true, 3800, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{}
			for i, s := range steps {
				now := s.at * ms
				s.do(tracker, now)
				next, ok := tracker.NextDeadline(now)
				if !ok {
					next = -ms
				}
				inContact, due, duration := tracker.InContact(now), tracker.CheckDue(now), tracker.ContactDuration(now)
				if inContact != s.inContact || due != s.due || next != s.nextDeadline*ms || duration != s.duration*ms {
					t.Fatalf("step %d at %v: in contact %v, due %v, next %v, in contact for %v",
						i+1, now, inContact, due, next, duration)
				}
			}
		})
	}
}

func TestReadBarrier(t *testing.T) {
	b := NewReadBarrier[string](100 * ms)
	if b.Begin(0) {
		t.Fatal("a read began without pending keys")
	}
	b.Add("a", "b")
	if !b.Begin(0) || b.Begin(0) {
		t.Fatal("want exactly one read to begin")
	}
	b.Add("c") // the read has begun already
	if _, ok := b.Delay(500 * ms); ok {
		t.Fatal("a second read is due while one is in progress")
	}
	if got := b.End(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("the read was for %v", got)
	}
	if delay, ok := b.Delay(40 * ms); !ok || delay != 60*ms || b.Begin(40*ms) {
		t.Fatalf("the next read is due in %v, %v", delay, ok)
	}
	if !b.Begin(100 * ms) {
		t.Fatal("no read for a key added during the previous read")
	}
	if got := b.End(); !slices.Equal(got, []string{"c"}) || len(b.End()) != 0 {
		t.Fatalf("the read was for %v", got)
	}
}

func TestGate(t *testing.T) {
	g := NewGate[string]()
	g.Attach("a")
	if g.MayPush(0, "a") || !g.BeginRead(0) {
		t.Fatal("pushed before a read, or no read begins after an attach")
	}
	g.Attach("late")
	g.Attach("detached")
	g.EndRead(true)
	g.Detach("detached")
	if g.MayPush(0, "a") {
		t.Fatal("pushed without contact")
	}
	g.Confirmed(0, 0)
	if !g.MayPush(0, "a") || g.MayPush(0, "late") || g.MayPush(0, "stranger") {
		t.Fatal("want pushes only to processes that were attached when the read began")
	}
	if !g.BeginRead(AttachReadInterval) {
		t.Fatal("no read for a process that attached during the previous one")
	}
	g.EndRead(false)
	if g.MayPush(AttachReadInterval, "late") || !g.MayPush(AttachReadInterval, "a") {
		t.Fatal("a failed read changed which processes may be pushed to")
	}
	delay, ok := g.ReadDelay(AttachReadInterval)
	if !ok || delay != AttachReadInterval || !g.BeginRead(2*AttachReadInterval) {
		t.Fatal("a failed read is not retried")
	}
	g.EndRead(true)
	if !g.MayPush(2*AttachReadInterval, "late") ||
		g.MayPush(2*AttachReadInterval, "detached") ||
		g.MayPush(ContactTimeout, "a") {
		t.Fatal("wrong processes may be pushed to after the second read")
	}
	if _, ok := g.ReadDelay(time.Hour); ok {
		t.Fatal("a read is due without pending keys")
	}
}
