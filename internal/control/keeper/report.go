package keeper

import (
	"maps"
	"slices"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// report is what this keeper tells the others of itself.
func (k *Keeper) report() controlclient.KeeperReport {
	connected, heard := k.links().connectedIDs(k.agree.id), map[uint64]bool{}
	for _, voter := range k.agree.voters() {
		if connected[voter.ID] {
			heard[voter.ID] = true
		}
	}
	return controlclient.KeeperReport{InContact: k.inContact(), Leaving: k.leaving, Slots: k.agree.slots(), Heard: slices.Sorted(maps.Keys(heard))}
}

// sendReports tells all keepers that are connected.
func (k *Keeper) sendReports() {
	k.reportSent = k.report()
	body := encodeReport(k.reportSent)
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.Report, body)
		}
	}
}

// encodeReport writes the message of a report.
func encodeReport(report controlclient.KeeperReport) []byte {
	w := link.Writer{}
	report.Append(&w)
	return w.B
}

// sendChangedReport tells them between heartbeats when the report has changed.
func (k *Keeper) sendChangedReport() {
	report := k.report()
	if report.InContact != k.reportSent.InContact || report.Leaving != k.reportSent.Leaving ||
		!slices.Equal(report.Slots, k.reportSent.Slots) || !slices.Equal(report.Heard, k.reportSent.Heard) {
		k.sendReports()
	}
}

// reported takes the report of another keeper in.
func (k *Keeper) reported(m *link.Message) {
	r := link.Reader{B: m.Body}
	report := controlclient.ReadKeeperReport(&r)
	l := k.conns[m.Conn]
	if l == nil || r.Err != nil || len(report.Slots) != len(registerNames) {
		return
	}
	if report.Leaving != l.peer.report.Leaving {
		k.keepersChange++ // the attached are told which keepers to go to
		k.dirty = true
	}
	l.peer.report = report
	for i, stored := range k.agree.slots() {
		if stored < report.Slots[i] {
			k.agree.askPeer(registerNames[i], l.peer.node)
		}
	}
}

// slots are the newest decided slots that are stored, each plus one, by the order of registerNames; 0 where nothing is.
func (a *agreement) slots() []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots := make([]uint64, 0, len(registerNames))
	for _, name := range registerNames {
		slots = append(slots, a.stored[name])
	}
	return slots
}
