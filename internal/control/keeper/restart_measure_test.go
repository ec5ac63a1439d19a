package keeper

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/platform/vfs/vfstest"
)

// restartCost is the cost of a restart.
type restartCost struct {
	read   int64         // bytes that the keeper read from its disk
	stayed int64         // bytes that a keeper that didn't miss the changes read from its disk
	sent   int64         // bytes that the others sent to the keeper until it pushed
	votes  time.Duration // until another keeper had contact with a majority through the keeper's vote
	pushes time.Duration // until a process attached only to the keeper had the newest configuration
}

// measureRestart measures the restart of a keeper that has missed changes of the given size.
func measureRestart(t *testing.T, changes, size int) (cost restartCost) {
	t.Helper()
	m := newMeasuredRig(t)
	version := uint64(0)
	put := func() {
		body := configBody(version+1, fmt.Sprint(version+1, strings.Repeat("x", size)))
		m.untilCode(200, func() response { return m.call(0, "PUT", "/config", fmt.Sprint(version), body) })
		version++
	}
	put()
	eventually(t, "all have the first", func() bool {
		return slices.Equal(m.running[0].keeper.registers.storedSlotNumbers(), m.running[measuredKeeper].keeper.registers.storedSlotNumbers())
	})
	m.kill(measuredKeeper)
	for range changes {
		put()
	}
	disks := m.killAll()

	m.restartOthers(disks)
	cost.stayed = m.folders[0].read.Load()
	cost.read, cost.sent, cost.pushes = m.measurePush(version)
	m.killAll()
	m.restartOthers(disks)
	cost.votes = m.measureVote()
	return cost
}

// killAll kills all keepers, and returns their disks.
func (m *measuredRig) killAll() (disks []*vfstest.Disk) {
	for i := range m.running {
		m.kill(i)
	}
	return slices.Clone(m.disks)
}

// restartOthers gives all keepers copies of disks, and starts those that aren't measured.
func (m *measuredRig) restartOthers(disks []*vfstest.Disk) {
	m.t.Helper()
	for i := range disks {
		m.disks[i] = disks[i].Copy()
	}
	for i := range m.running {
		if i != measuredKeeper {
			m.start(i)
		}
	}
	m.untilConnected(0, otherVoter)
}

// measurePush starts the measured keeper while both others run, and measures until it pushes the version.
func (m *measuredRig) measurePush(version uint64) (read, sent int64, took time.Duration) {
	m.t.Helper()
	before := m.relays.received[measuredKeeper].Load()
	began := time.Now()
	m.start(measuredKeeper)
	read = m.folders[measuredKeeper].read.Load()
	eventually(m.t, "the keeper serves calls", func() bool { return m.call(measuredKeeper, "GET", "/status", "", nil).status == 200 })
	process := m.attachManually(measuredKeeper, "p")
	for {
		update := receive(m.t, process.pushes, "a push")
		process.ack(update.Sequence)
		if update.ConfigVersion == version {
			return read, m.relays.received[measuredKeeper].Load() - before, time.Since(began)
		}
	}
}

// measureVote starts the measured keeper while one of the others runs, and measures until that one is in contact with a
// majority.
func (m *measuredRig) measureVote() time.Duration {
	m.t.Helper()
	m.kill(otherVoter)
	k := m.running[0].keeper
	eventually(m.t, "a single keeper has no contact", func() bool { return !k.inContact() })
	began := time.Now()
	m.start(measuredKeeper)
	eventually(m.t, "the vote gives contact", k.inContact)
	return time.Since(began)
}

// slope returns the slope of the least-squares line through the points.
func slope(x, y []float64) float64 {
	var meanX, meanY, covariance, variance float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(y))
	}
	for i := range x {
		covariance += (x[i] - meanX) * (y[i] - meanY)
		variance += (x[i] - meanX) * (x[i] - meanX)
	}
	return covariance / variance
}

// TestSlope checks slope with points on a line.
func TestSlope(t *testing.T) {
	if got := slope([]float64{0, 1, 2, 5}, []float64{3, 5, 7, 13}); got != 2 {
		t.Errorf("%v, not 2", got)
	}
}

// TestRestartCostIsIndependentOfMissedChanges: the bytes that a keeper reads and is sent after it missed changes are
// bounded by the size of the state. RESTART_CHANGES=1 measures them for up to 400 changes of up to 1 MB.
func TestRestartCostIsIndependentOfMissedChanges(t *testing.T) {
	if os.Getenv("RESTART_CHANGES") != "" {
		measureRestarts(t)
		return
	}
	const (
		missed = 30
		size   = 64 << 10
		times  = 6 // how often the two others may send the state: over duplicate links, and after concurrent changes
		small  = 128 << 10
	)
	cost := measureRestart(t, missed, size)
	t.Logf("%+v", cost)
	if most := int64(times*size + small); cost.sent > most {
		t.Errorf("it was sent %d bytes, more than %d, after %d changes of %d", cost.sent, most, missed, size)
	}
	if most := int64(minRewriteSize + times*size); max(cost.read, cost.stayed) > most {
		t.Errorf("%d and %d bytes were read, more than %d", cost.read, cost.stayed, most)
	}
}

// measureRestarts prints the table of docs/agreement.md.
func measureRestarts(t *testing.T) {
	t.Helper()
	counts := []int{0, 100, 200, changes}
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20} {
		var missed, read, stayed, sent, votes, pushes []float64
		for _, count := range counts {
			cost := measureRestart(t, count, size)
			t.Logf("| %d kB | %d | %.0f | %.0f | %.0f | %.0f | %.0f |", size>>10, count, float64(cost.read)/1024, float64(cost.stayed)/1024,
				float64(cost.sent)/1024, cost.votes.Seconds()*1000, cost.pushes.Seconds()*1000)
			missed, read, stayed = append(missed, float64(count)), append(read, float64(cost.read)), append(stayed, float64(cost.stayed))
			sent = append(sent, float64(cost.sent))
			votes, pushes = append(votes, cost.votes.Seconds()*1000), append(pushes, cost.pushes.Seconds()*1000)
		}
		t.Logf("| %d kB | a change | %.2f | %.2f | %.2f | %.2f | %.2f |", size>>10, slope(missed, read)/1024, slope(missed, stayed)/1024, slope(missed, sent)/1024,
			slope(missed, votes), slope(missed, pushes))
	}
}
