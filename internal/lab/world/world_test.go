package world

import (
	"math"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/deliverynode/wire"
	"dunetide/internal/lab/scenario"
	"dunetide/internal/lab/trace"
)

// host records the calls that the world makes.
type host struct {
	answers     []Answer
	at          []time.Duration
	dialResults []DialResult
	notified    int
}

func (h *host) Answer(now time.Duration, a Answer) {
	h.answers, h.at = append(h.answers, a), append(h.at, now)
}
func (h *host) Listed(time.Duration, int, []int) { h.notified++ }
func (h *host) DialResultChanged(_ time.Duration, _ int, as DialResult) {
	h.dialResults = append(h.dialResults, as)
}
func (h *host) ApplyNodeFault(time.Duration, Fault, int) {}

// newTestWorld returns a world with newTestWorld destination, newTestWorld endpoint and no report noise.
func newTestWorld(change func(*Day)) (*World, *host, *[]trace.Record) {
	s := scenario.Default()
	s.Dest.Count, s.Dest.Endpoints = scenario.Range{1, 1}, scenario.Range{1, 1}
	d := Draw(s, 1)
	d.OneWay, d.ReportNoise = 10*time.Millisecond, 0
	d.Dests[0].Limit, d.Dests[0].Window, d.Dests[0].Phase, d.Dests[0].TellsWait = 4, time.Second, 0, 1
	d.Dests[0].Kind, d.Dests[0].RefusedCount = 1, false
	d.Endpoints[0] = Endpoint{Cores: 100, Depth: 100, Pace: 1}
	d.Messages = []Message{{Work: 100 * time.Millisecond}}
	if change != nil {
		change(&d)
	}
	h, notes := &host{}, &[]trace.Record{}
	return New(d, h, func(r trace.Record) { *notes = append(*notes, r) }), h, notes
}

func (h *host) statuses() (all []int) {
	for _, a := range h.answers {
		all = append(all, a.Status)
	}
	return all
}

func TestAWindowLimitsCallsAndReportsItsEnd(t *testing.T) {
	w, h, _ := newTestWorld(nil)
	for i := range 6 {
		w.Call(100*time.Millisecond, Attempt{ID: "a", Message: 0, Try: i})
	}
	w.Advance(900 * time.Millisecond)
	w.Call(1100*time.Millisecond, Attempt{ID: "a", Message: 0, Try: 9})
	w.Advance(5 * time.Second)
	count := map[int]int{}
	for _, s := range h.statuses() {
		count[s]++
	}
	if !reflect.DeepEqual(count, map[int]int{200: 5, 429: 2}) {
		t.Errorf("got %v", count)
	}
	// The call arrived after 10 ms, and the window ends at 1 s.
	if a := h.answers[0]; a.Status != 429 || a.Wait != 890*time.Millisecond || h.at[0] != 120*time.Millisecond {
		t.Errorf("got %+v at %v", a, h.at[0])
	}
}

func TestRefusedCallsCountAgainstTheLimit(t *testing.T) {
	w, _, _ := newTestWorld(func(d *Day) { d.Dests[0].RefusedCount = true })
	for i := range 6 {
		w.Call(100*time.Millisecond, Attempt{Try: i})
	}
	w.Advance(200 * time.Millisecond)
	if w.dests[0].used != 6 {
		t.Errorf("used %v", w.dests[0].used)
	}
	w, _, _ = newTestWorld(nil)
	for i := range 6 {
		w.Call(100*time.Millisecond, Attempt{Try: i})
	}
	w.Advance(200 * time.Millisecond)
	if w.dests[0].used != 4 {
		t.Errorf("used %v", w.dests[0].used)
	}
}

func TestReportsAreDelayed(t *testing.T) {
	w, h, _ := newTestWorld(func(d *Day) {
		d.ReportEvery, d.ReportDelay = 200*time.Millisecond, 300*time.Millisecond
		d.Troubles = []Fault{{What: "lower", From: time.Second, Until: time.Minute, Targets: []int{0}, Size: 0.5}}
	})
	w.Advance(1200 * time.Millisecond)
	w.Call(1200*time.Millisecond, Attempt{Try: 1})
	w.Advance(1300 * time.Millisecond)
	if w.dests[0].shown.Limit != 4 {
		t.Errorf("reported at once: %v", w.dests[0].shown)
	}
	w.Call(2*time.Second, Attempt{Try: 2})
	w.Advance(4 * time.Second)
	if r := h.answers[len(h.answers)-1].Report; r.Limit != 2 {
		t.Errorf("reported %v", r)
	}
}

func TestAnOutageBreaksCallsAndLeavesTheDestinationCold(t *testing.T) {
	w, h, notes := newTestWorld(func(d *Day) {
		d.Dests[0].Limit, d.Dests[0].Capacity, d.ColdFrom, d.WarmUp = 0, 10, 0.3, 10*time.Second
		d.Troubles = []Fault{{What: "down", From: time.Second, Until: 3 * time.Second, Targets: []int{0}}}
	})
	w.Call(950*time.Millisecond, Attempt{ID: "a", Message: 0})
	w.Advance(2 * time.Second)
	if s := h.statuses(); len(s) != 1 || s[0] != 0 {
		t.Fatalf("got %v", s)
	}
	if !reflect.DeepEqual(h.dialResults, []DialResult{Refused}) || w.Dial(2*time.Second, 1, 0) != Refused {
		t.Errorf("dial results %v", h.dialResults)
	}
	w.Advance(3 * time.Second)
	if got := w.warmth(0); got != 0.3 {
		t.Errorf("warmth %v", got)
	}
	// A window allows 1.5 times 10 calls a second times a warmth of 0.3 to 0.5, so about 15, plus random deviation.
	for i := range 40 {
		w.Call(3500*time.Millisecond+time.Duration(i)*time.Millisecond, Attempt{ID: "b", Message: 0, Try: i, Node: 1})
	}
	w.Advance(4 * time.Second)
	var fell []trace.Record
	for _, r := range *notes {
		if r.What == trace.Collapsed {
			fell = append(fell, r)
		}
	}
	if len(fell) != 1 || fell[0].Share != 1 {
		t.Errorf("fell %v", fell)
	}
	w.Advance(20 * time.Second)
	if w.Dial(20*time.Second, 1, 0) != Refused {
		t.Error("the collapsed destination accepts connections again")
	}
}

func TestAWarmDestinationDoesNotCollapse(t *testing.T) {
	w, _, notes := newTestWorld(func(d *Day) { d.Dests[0].Limit, d.Dests[0].Capacity = 0, 10 })
	for i := range 500 {
		w.Call(time.Duration(i)*time.Millisecond, Attempt{ID: "b", Message: 0, Try: i})
	}
	w.Advance(20 * time.Second)
	for _, r := range *notes {
		if r.What == trace.Collapsed {
			t.Error(r)
		}
	}
}

func TestConnectionsAreCapped(t *testing.T) {
	w, h, _ := newTestWorld(func(d *Day) { d.Endpoints[0].Conns = 2 })
	got := []DialResult{w.Dial(0, 0, 0), w.Dial(0, 1, 0), w.Dial(0, 1, 0)}
	w.Hangup(0)
	got = append(got, w.Dial(0, 1, 0))
	if !reflect.DeepEqual(got, []DialResult{Accepted, Accepted, Refused, Accepted}) ||
		!reflect.DeepEqual(h.dialResults, []DialResult{Refused, Accepted, Refused}) {
		t.Errorf("got %v, dial results %v", got, h.dialResults)
	}
}

func TestAHandshakeAddsDelay(t *testing.T) {
	w, h, _ := newTestWorld(func(d *Day) { d.Handshake = 40 * time.Millisecond })
	w.Call(0, Attempt{Message: 0, Try: 1})
	w.Call(0, Attempt{Message: 0, Try: 1, Fresh: true})
	w.Advance(time.Second)
	if len(h.at) != 2 || h.at[1]-h.at[0] != 40*time.Millisecond {
		t.Errorf("at %v", h.at)
	}
}

func TestADrainIsNotifiedLateAndThenTheEndpointLeaves(t *testing.T) {
	w, h, notes := newTestWorld(func(d *Day) {
		d.Troubles = []Fault{{What: "drain", From: time.Second, Until: time.Second, Targets: []int{0}}}
	})
	w.Advance(time.Second)
	if w.Phases(0)[0] != Active {
		t.Error("notified at once")
	}
	w.Advance(20 * time.Second)
	var phases []string
	for _, r := range *notes {
		if r.What == trace.PhaseReported && r.Node == 0 {
			phases = append(phases, r.Result)
		}
	}
	if !reflect.DeepEqual(phases, []string{"leaving", "left"}) || h.notified != 4 {
		t.Errorf("phases %v, notified %d times", phases, h.notified)
	}
}

func TestHangingEndpointsAcceptCallsWithoutAnswering(t *testing.T) {
	w, h, _ := newTestWorld(func(d *Day) {
		d.Troubles = []Fault{{What: "hang", From: time.Second, Until: 4 * time.Second, Targets: []int{0}}}
	})
	id := w.Call(1500*time.Millisecond, Attempt{Message: 0})
	w.Call(1500*time.Millisecond, Attempt{Message: 0, Try: 1})
	w.Advance(3 * time.Second)
	if len(h.answers) != 0 || w.Dial(3*time.Second, 0, 0) != Accepted {
		t.Errorf("got %v", h.answers)
	}
	w.Abandon(3*time.Second, id)
	w.Advance(5 * time.Second)
	if s := h.statuses(); !reflect.DeepEqual(s, []int{0}) || w.Open() != 0 {
		t.Errorf("got %v, %d open", s, w.Open())
	}
}

func TestPausesDelayCallsBeingServed(t *testing.T) {
	w, h, _ := newTestWorld(func(d *Day) {
		d.Troubles = []Fault{{What: "pauses", From: 50 * time.Millisecond, Until: 60 * time.Millisecond, Targets: []int{0}, Size: 500}}
	})
	w.Call(0, Attempt{Message: 0})
	w.Advance(2 * time.Second)
	if len(h.at) != 1 || h.at[0] != 560*time.Millisecond {
		t.Errorf("at %v", h.at)
	}
}

func TestSeedDeterminesTheRun(t *testing.T) {
	s := scenario.Default()
	if a, b := Draw(s, 5), Draw(s, 5); !reflect.DeepEqual(a, b) {
		t.Error("two draws of one seed differ")
	}
	if a, b := Draw(s, 5), Draw(s, 6); reflect.DeepEqual(a.Messages, b.Messages) {
		t.Error("two seeds give the same messages")
	}
}

// TestTrafficIsWhatWasAskedFor compares drawn traffic with the scenario's parameters.
func TestTrafficIsWhatWasAskedFor(t *testing.T) {
	s := scenario.Default()
	s.LengthS, s.Load.Level, s.Dest.Count, s.Dest.Rate = scenario.Range{100, 100}, scenario.Range{0.5, 0.5}, scenario.Range{20, 20}, scenario.Range{4, 4}
	sum, charges := 0, 0
	for seed := range uint64(10) {
		d := Draw(s, seed)
		sum += len(d.Messages)
		for _, m := range d.Messages {
			if m.Class == 0 {
				charges++
			}
		}
	}
	if want := 10 * 100 * 0.5 * 4 * 20; math.Abs(float64(sum)/want-1) > 0.1 {
		t.Errorf("%d messages, want %v", sum, want)
	}
	if share := float64(charges) / float64(sum); math.Abs(share-0.73) > 0.02 {
		t.Errorf("charges are %v", share)
	}
}

func TestSettingsAreReadable(t *testing.T) {
	d := Draw(scenario.Default(), 1)
	got, err := wire.DecodeSettings(d.Settings(1))
	if err != nil {
		t.Fatal(err)
	}
	if got.Senders != 2 || got.Slots != d.Slots || got.MaxHeld != d.MaxOpen || len(got.Classes) != 2 || got.DrainGrace != 2*time.Second {
		t.Errorf("%+v", got)
	}
}
