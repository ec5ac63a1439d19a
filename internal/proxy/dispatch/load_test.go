package dispatch

import (
	"math"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
)

// misreports are wrong load reports, by the correct one.
var misreports = map[string]func(Load) Load{
	"no slots":               func(Load) Load { return Load{Known: true} },
	"huge slots, idle":       func(Load) Load { return Load{Slots: math.MaxInt32, Known: true} },
	"huge load":              func(Load) Load { return Load{Running: math.MaxInt32, Waiting: math.MaxInt32, Slots: 12, Known: true} },
	"negative load":          func(Load) Load { return Load{Running: -1000, Waiting: -1000, Slots: 12, Known: true} },
	"negative slots":         func(l Load) Load { return Load{Running: l.Running, Slots: -12, Known: true} },
	"always idle":            func(Load) Load { return Load{Slots: 12, Known: true} },
	"always full":            func(Load) Load { return Load{Running: 12, Slots: 12, Known: true} },
	"absent":                 func(Load) Load { return Load{} },
	"one slot, many waiting": func(Load) Load { return Load{Running: 1, Waiting: 10_000, Slots: 1, Known: true} },
}

// An endpoint with wrong load reports neither attracts much more than its share of requests nor starves the other endpoints.
func TestImplausibleLoadReports(t *testing.T) {
	layout := wideLayout()
	layout.senders, layout.endpoints = 12, 15
	kinds := func() []*requestKind { return mixture(70, 15, 30) }
	honest := newFleetSimulation(layout, kinds()...)
	honest.play(6 * time.Second)
	for name, misreport := range misreports {
		t.Run(name, func(t *testing.T) {
			f := newFleetSimulation(layout, kinds()...)
			f.endpoints[0].misreport = misreport
			f.play(6 * time.Second)
			f.report(t)
			mean := 0.0
			for _, e := range f.endpoints {
				mean += float64(e.arrivals) / float64(len(f.endpoints))
			}
			if n := float64(f.endpoints[0].arrivals); n > 3*mean {
				t.Errorf("the endpoint with wrong load reports got %.0f requests, the mean is %.0f", n, mean)
			}
			if f.worth() < honest.worth()-0.03 {
				t.Errorf("worth %.3f, want about %.3f as with correct load reports", f.worth(), honest.worth())
			}
			lost := 0
			for _, k := range f.kinds {
				lost += k.lost
			}
			if lost > 0 {
				t.Errorf("%d requests were refused", lost)
			}
		})
	}
}

// A capacity that is announced with a heartbeat is also accepted within bounds only.
func TestImplausibleCapacities(t *testing.T) {
	for _, capacity := range []int{-5, 0, 1 << 30} {
		b := newHarness(Settings{})
		b.addEndpoints("e1", "e2", "e3")
		b.snap.Config.Services["s"].Engine = engineOf(4)
		b.snap.Endpoints["s"][0].Capacity = capacity
		b.c.applySnapshot(b.snap)
		if n := b.firstEndpoint().slots(); n < 1 || n > 4*maxSlotsFactor {
			t.Errorf("capacity %d counts as %d slots", capacity, n)
		}
	}
}

func engineOf(capacity int) *operatorconfig.Engine { return &operatorconfig.Engine{Capacity: capacity} }
