package keeper

import (
	"cmp"
	"slices"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	// troubleLasts is how long a trouble counts after it was told last. Processes tell it every second.
	troubleLasts = 5 * time.Second
	// troublesMost bounds how many processes' troubles are kept, troubleReasonMost the bytes of each.
	troublesMost      = 1024
	troubleReasonMost = 300
)

// processName is what a process is called among all of them.
type processName struct{ role, node string }

// reportedTrouble is a trouble of another process.
type reportedTrouble struct {
	node     controlclient.Node
	reason   string
	began    time.Time // when this keeper heard of it first
	reported time.Time // when it was told last
}

// troubleTable has those of other processes, as they tell them.
type troubleTable map[processName]*reportedTrouble

// take takes in what a process tells of itself. The word of a former life of it counts for nothing.
func (t troubleTable) take(now time.Time, report controlclient.Trouble) {
	t.expire(now)
	name := processName{report.Node.Role, report.Node.Name}
	known := t[name]
	switch {
	case known != nil && known.node.Life > report.Node.Life:
	case report.Reason == "":
		delete(t, name)
	case known != nil:
		known.node, known.reason, known.reported = report.Node, shortReason(report.Reason), now
	case len(t) < troublesMost:
		t[name] = &reportedTrouble{node: report.Node, reason: shortReason(report.Reason), began: now, reported: now}
	}
}

func shortReason(reason string) string { return reason[:min(len(reason), troubleReasonMost)] }

// expire forgets what has not been told again: the process has ended, or reaches no keeper.
func (t troubleTable) expire(now time.Time) {
	for name, known := range t {
		if now.Sub(known.reported) > troubleLasts {
			delete(t, name)
		}
	}
}

// sorted are all of them, by role and name.
func (t troubleTable) sorted() []*reportedTrouble {
	all := make([]*reportedTrouble, 0, len(t))
	for _, known := range t {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b *reportedTrouble) int {
		return cmp.Or(cmp.Compare(a.node.Role, b.node.Role), cmp.Compare(a.node.Name, b.node.Name))
	})
	return all
}

// troubleReported takes in the trouble of another process, and passes it on to the other keepers.
func (k *Keeper) troubleReported(now time.Time, m *link.Message) {
	report, err := controlclient.ReadTrouble(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.troubles.take(now, report)
	m.Reply(nil)
	if report.Relayed {
		return
	}
	report.Relayed = true
	body := report.Encode()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.ProcessTrouble, body)
		}
	}
}
