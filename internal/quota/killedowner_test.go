package quota

import "testing"

// TestKilledOwnerCostsOnlyItsDetection guards against requests below the limit that are refused, or wait for long, because
// the store that counted for their tenant was killed. A tenant asks for half of its rate; its owner is replaced 1.3 s after
// it was killed, and the requests of that time are asked for anew.
func TestKilledOwnerCostsOnlyItsDetection(t *testing.T) {
	const (
		detection = 1300 * worldMs
		pause     = worldSecond / 60
	)
	latest := int64(0)
	for seed := range uint64(30) {
		w := newWorld(seed, false, largeLimit)
		for i := range w.proxies {
			w.proxies[i] = &worldProxy{world: w, limit: largeLimit} // that learns of the owner as soon as it is named
		}
		asked, refused, answered := 0, 0, 0
		ask := func(sent int64) {
			asked++
			p := w.proxies[asked%len(w.proxies)]
			p.owner = w.owner
			p.askAgain(sent, 1, func(granted uint32) {
				answered++
				refused += 1 - int(granted)
			})
		}
		play := func(d int64, do func(sent int64)) {
			for end := w.now + d; w.now < end; {
				w.run(w.now + pause)
				do(w.now)
			}
		}
		w.run(2 * worldSecond)
		play(10*worldSecond, ask)
		w.run(w.now + worldRoundTrip)
		w.stores[w.owner].kill()
		var waiting []int64
		play(detection, func(sent int64) { waiting = append(waiting, sent) })
		w.moveOwner()
		moved := w.now
		for _, sent := range waiting {
			ask(sent)
		}
		play(2*worldSecond, ask)
		w.run(w.now + worldSecond)
		if refused > 0 || answered != asked {
			t.Errorf("seed %d: %d of %d requests were refused, %d without an answer", seed, refused, asked, asked-answered)
		}
		first := int64(0)
		for _, run := range w.runs {
			if first == 0 && run.ran > moved {
				first = run.ran
			}
		}
		served := w.stores[w.owner].lead.ServingSince.Sub(worldZero).Microseconds()
		late := first - served
		if late > 60*worldMs {
			t.Errorf("seed %d: the first request ran %d ms after the takeover", seed, late/worldMs)
		}
		latest = max(latest, late)
	}
	t.Logf("the first request ran at most %d ms after the takeover", latest/worldMs)
}
