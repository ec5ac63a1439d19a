package keeper

import (
	"maps"
	"slices"
	"time"

	"dunetide/internal/control"
	"dunetide/internal/link"
)

// report is what this keeper tells the others of itself.
func (k *Keeper) report(now time.Time) control.KeeperReport {
	met := k.links().metIDs(k.agree.id, now)
	delete(met, 0) // keepers without a disk
	return control.KeeperReport{InContact: k.fresh, Slots: k.agree.slots(), Heard: slices.Sorted(maps.Keys(met))}
}

// sendReports tells all keepers that are met.
func (k *Keeper) sendReports(now time.Time) {
	w := link.Writer{}
	k.report(now).Append(&w)
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(control.Report, w.B)
		}
	}
}

// reported takes the report of another keeper in.
func (k *Keeper) reported(m *link.Message) {
	r := link.Reader{B: m.Body}
	report := control.ReadKeeperReport(&r)
	if l := k.conns[m.Conn]; l != nil && r.Err == nil {
		l.peer.report = report
	}
}

// slots are the newest decided slots that are stored, by the order of registerNames; 0 where nothing is.
func (a *agreement) slots() []uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	slots := make([]uint64, 0, len(registerNames))
	for _, name := range registerNames {
		slots = append(slots, a.stored[name])
	}
	return slots
}
