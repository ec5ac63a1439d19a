package fleettest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
)

// The simulated fleet must deliver updates and requests as docs/fleet.md describes.
func TestSimulatedFleet(t *testing.T) {
	w := New("a", "b", "c")
	a, b := w.Node("a"), w.Node("b")
	var received []string
	b.OnUpdate("k", func(from fleet.Peer, key string, age time.Duration, body []byte) {
		received = append(received, from.Name+key+string(body)+age.String())
	})
	handled := 0
	b.OnAsk("q", func(_ context.Context, _ fleet.Peer, body []byte) ([]byte, error) {
		handled++
		if len(body) == 0 {
			return nil, errors.New("empty")
		}
		return body, nil
	})
	var steps []fleet.State
	a.OnChange(func(c fleet.Change) { steps = append(steps, c.To) })
	for _, v := range []string{"1", "2"} { // the second replaces the first
		if err := a.Tell("b", "k", "x", []byte(v)); err != nil {
			t.Fatal(err)
		}
	}
	w.Now = time.Second
	if got := w.InFlight(); !slices.Equal(got, []string{"a to b: k x"}) {
		t.Error(got)
	}
	w.Deliver(0, true)
	if err := w.DeliverAll(5); err != nil {
		t.Error(err)
	}
	if !slices.Equal(received, []string{"ax21s", "ax21s"}) {
		t.Error(received)
	}
	for i, c := range []struct {
		fate    Fate
		body    string
		err     error
		handled int
	}{{Answered, "x", nil, 1}, {Answered, "", fleet.AnswerError("empty"), 2}, {NotSent, "x", fleet.ErrNotSent, 2},
		{Lost, "x", fleet.ErrOutcomeUnknown, 2}, {AnswerLost, "x", fleet.ErrOutcomeUnknown, 3}} {
		w.Fate = func(string, string, string) Fate { return c.fate }
		got, err := a.Ask(context.Background(), "b", "q", []byte(c.body))
		if !errors.Is(err, c.err) || err == nil && string(got) != c.body || handled != c.handled {
			t.Errorf("%d: %q, %v, handled %d times", i, got, err, handled)
		}
	}
	w.Silence("a", "b")
	if err := a.Tell("b", "k", "x", nil); err != nil || a.Count() != 3 {
		t.Error("a suspect is still a member:", err)
	}
	w.Remove("a", "b")
	if err := a.Tell("b", "k", "x", nil); !errors.Is(err, fleet.ErrUnknown) || len(w.InFlight()) != 0 {
		t.Error(err, w.InFlight())
	}
	w.Restart("b")
	w.MarkReachable("a", "b")
	w.Leave("a", "c")
	if !slices.Equal(steps, []fleet.State{fleet.Suspect, fleet.Removed, fleet.Alive, fleet.Left}) {
		t.Error(steps)
	}
	b.OnUpdate("loop", func(fleet.Peer, string, time.Duration, []byte) { _ = b.Tell("c", "loop", "x", nil) })
	w.Node("c").OnUpdate("loop", func(fleet.Peer, string, time.Duration, []byte) { _ = w.Node("c").Tell("b", "loop", "x", nil) })
	_ = b.Tell("c", "loop", "x", nil)
	if err := w.DeliverAll(9); err == nil || !strings.Contains(err.Error(), "still in flight") {
		t.Error(err)
	}
}
