package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// recorder schedules events that record their name and the time at which they ran.
type recorder struct {
	Scheduler
	ran []string
}

func (r *recorder) record(name string) func() {
	return func() { r.ran = append(r.ran, fmt.Sprint(name, "@", int64(r.Now()))) }
}

func (r *recorder) expect(t *testing.T, now time.Duration, ran ...string) {
	t.Helper()
	if r.Now() != now || !slices.Equal(r.ran, ran) {
		t.Errorf("at %d %v ran, want %v at %d", int64(r.Now()), r.ran, ran, int64(now))
	}
}

func TestEventsRunInChronologicalOrder(t *testing.T) {
	var r recorder
	r.After(3, r.record("third"))
	r.At(1, r.record("first"))
	r.After(2, r.record("second"))
	r.After(9, r.record("late"))
	r.RunUntil(5)
	r.expect(t, 5, "first@1", "second@2", "third@3")
	r.RunUntil(9)
	r.expect(t, 9, "first@1", "second@2", "third@3", "late@9")
}

func TestSimultaneousEventsRunInSchedulingOrder(t *testing.T) {
	var r recorder
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		r.After(7, r.record(name))
	}
	r.RunUntil(7)
	r.expect(t, 7, "a@7", "b@7", "c@7", "d@7", "e@7")
}

func TestEventsScheduleEvents(t *testing.T) {
	var r recorder
	r.After(2, func() {
		r.After(0, r.record("at once"))
		r.At(1, r.record("in the past"))
		r.After(4, r.record("later"))
		r.After(5, r.record("too late"))
	})
	r.RunUntil(6)
	r.expect(t, 6, "at once@2", "in the past@2", "later@6")
}

func TestRunWhileStopsAtTheEvent(t *testing.T) {
	var r recorder
	r.After(1, r.record("a"))
	r.After(2, r.record("b"))
	r.After(3, r.record("c"))
	r.RunWhile(10, func() bool { return len(r.ran) < 2 })
	r.expect(t, 2, "a@1", "b@2")
}
