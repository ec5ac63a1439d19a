package quota

import "testing"

// killAllRegularly kills all stores at the same moment, the counting ones and their successors, every few seconds. What they
// have in memory is lost; they come back within a second.
func (w *world) killAllRegularly() {
	for _, s := range w.stores {
		s.kill()
		w.after(w.between(100*worldMs, worldSecond), s.start)
	}
	if w.rng.IntN(2) == 0 {
		w.after(w.between(0, 1500*worldMs), w.moveOwner)
	}
	w.after(w.between(2*worldSecond, 8*worldSecond), w.killAllRegularly)
}

// TestNoWindowExceedsItsBoundAfterKillsOfAllStores guards against a tenant's limit that is granted twice because all that
// knew what was granted are killed together: the count is in memory alone.
func TestNoWindowExceedsItsBoundAfterKillsOfAllStores(t *testing.T) {
	ran, sent, worst := 0, 0, -1<<30
	for seed := range uint64(historySeeds) {
		w := newWorldWith(testSlack, seed, true, Limit{ConfigVersion: 1, RatePerSecond: 119, Burst: 119})
		w.floodAll()
		w.after(w.between(2*worldSecond, 5*worldSecond), w.killAllRegularly)
		w.run(30 * worldSecond)
		excess, end := w.worstWindow(w.runs)
		if excess > 0 {
			t.Errorf("seed %d: %d requests over the bound in the window that ends at %d ms", seed, excess, end/worldMs)
		}
		if w.overlaps > 0 {
			t.Errorf("seed %d: %d grants of leads that had been replaced by ones that grant", seed, w.overlaps)
		}
		worst = max(worst, excess)
		ran += len(w.runs)
		sent += w.sent
	}
	t.Logf("%d of %d requests ran; the fullest window had %d fewer than its bound", ran, sent, -worst)
	if ran < sent/50 {
		t.Errorf("only %d of %d requests ran", ran, sent)
	}
}
