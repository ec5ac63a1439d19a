package keeper

import (
	"maps"
	"slices"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// currentReport returns this keeper's report to the others. They use it to choose voters and to decide who may grant
// leases.
func (k *Keeper) currentReport() controlclient.KeeperReport {
	connected, connectedVoters := k.knownPeers().connectedIDs(k.registers.id), map[uint64]bool{}
	for _, voter := range k.registers.voters() {
		if connected[voter.ID] {
			connectedVoters[voter.ID] = true
		}
	}
	slots := k.registers.storedSlotNumbers()
	if !k.endsSynchronized() { // it doesn't count as caught up, so it doesn't become a voter
		slots[slices.Index(registerNames, configRegister)] = 0
	}
	return controlclient.KeeperReport{
		InContact:       k.inContact(),
		Stopping:        k.shuttingDown,
		DecidedSlots:    slots,
		ConnectedVoters: slices.Sorted(maps.Keys(connectedVoters)),
	}
}

// broadcastReport sends the report to all connected keepers.
func (k *Keeper) broadcastReport() {
	k.lastReport = k.currentReport()
	body := encodeReport(k.lastReport)
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindKeeperReport, body) // if it is lost, the next one follows within half a heartbeat interval
		}
	}
}

// broadcastChangedReport sends the report if it has changed since it was last sent.
func (k *Keeper) broadcastChangedReport() {
	if !sameReport(k.currentReport(), k.lastReport) {
		k.broadcastReport()
	}
}

func sameReport(a, b controlclient.KeeperReport) bool {
	return a.InContact == b.InContact && a.Stopping == b.Stopping &&
		slices.Equal(a.DecidedSlots, b.DecidedSlots) && slices.Equal(a.ConnectedVoters, b.ConnectedVoters)
}

func encodeReport(report controlclient.KeeperReport) []byte {
	w := link.Writer{}
	report.Append(&w)
	return w.Buf
}

// handleReport stores the report of another keeper, and queries that keeper for states of registers that this one
// lacks.
func (k *Keeper) handleReport(m *link.Message) {
	r := link.Reader{Buf: m.Body}
	report := controlclient.ReadKeeperReport(&r)
	l := k.peerLinks[m.Conn]
	if l == nil || r.Err != nil || len(report.DecidedSlots) != len(registerNames) {
		return
	}
	if report.Stopping != l.peer.report.Stopping {
		k.keepersRevision++ // pushes the new list of reachable keepers to the attached processes
		k.pushNeeded = true
	}
	l.peer.report = report
	for i, stored := range k.registers.storedSlotNumbers() {
		if stored < report.DecidedSlots[i] {
			k.registers.queryPeer(registerNames[i], l.peer.node)
		}
	}
}
