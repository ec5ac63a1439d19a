package keeper

import (
	"cmp"
	"slices"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	// conditionTTL is how long a condition is kept after its last report. Processes report every second.
	conditionTTL = 5 * time.Second
	// maxConditions bounds the number of conditions that are kept.
	maxConditions = 1024
	// maxReasonBytes bounds the text of a condition.
	maxReasonBytes = 300
)

// processKey identifies a process of the deployment across its incarnations.
type processKey struct{ role, node string }

// processCondition is a condition that impairs another process, such as a full disk, as that process reports it.
type processCondition struct {
	node            controlclient.Node
	reason          string
	firstReportedAt time.Time // to this keeper
	lastReportedAt  time.Time
}

// conditionTable holds the conditions of other processes.
type conditionTable map[processKey]*processCondition

// update applies a report. Reports of former incarnations of a process are ignored.
func (t conditionTable) update(now time.Time, report controlclient.Condition) {
	t.expire(now)
	key := processKey{report.Node.Role, report.Node.Name}
	known := t[key]
	switch {
	case known != nil && known.node.Incarnation > report.Node.Incarnation:
	case report.Reason == "":
		delete(t, key)
	case known != nil:
		known.node, known.reason, known.lastReportedAt = report.Node, truncateReason(report.Reason), now
	case len(t) < maxConditions:
		t[key] = &processCondition{
			node:            report.Node,
			reason:          truncateReason(report.Reason),
			firstReportedAt: now,
			lastReportedAt:  now,
		}
	}
}

func truncateReason(reason string) string { return reason[:min(len(reason), maxReasonBytes)] }

// expire removes the conditions that are no longer reported: the process has ended, or can't reach a keeper.
func (t conditionTable) expire(now time.Time) {
	for key, known := range t {
		if now.Sub(known.lastReportedAt) > conditionTTL {
			delete(t, key)
		}
	}
}

// sorted returns all conditions, by role and name.
func (t conditionTable) sorted() []*processCondition {
	all := make([]*processCondition, 0, len(t))
	for _, known := range t {
		all = append(all, known)
	}
	slices.SortFunc(all, func(a, b *processCondition) int {
		return cmp.Or(cmp.Compare(a.node.Role, b.node.Role), cmp.Compare(a.node.Name, b.node.Name))
	})
	return all
}

// handleCondition stores the condition of another process, and relays it to the other keepers.
func (k *Keeper) handleCondition(now time.Time, m *link.Message) {
	report, err := controlclient.ReadCondition(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.conditions.update(now, report)
	m.Reply(nil)
	if report.Relayed {
		return
	}
	report.Relayed = true
	body := report.Encode()
	for _, p := range k.peers {
		if p.conn != nil {
			_ = p.conn.Send(controlclient.KindCondition, body) // the process reports it again
		}
	}
}
