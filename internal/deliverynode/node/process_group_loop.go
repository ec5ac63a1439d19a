package node

import (
	"encoding/json"
	"math"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// The methods in this file handle the group's events in the loop. All but share run in the loop's goroutine.

// share returns the share of the node's limits that is in use, for the console.
func (l *loop) share() float64 { return math.Float64frombits(l.shareBits.Load()) }

// applyShare applies the share of the node's limits that the module uses.
func (l *loop) applyShare() {
	if l.processes == nil {
		return
	}
	share := l.sender.Share()
	if share == l.usedShare && l.serving || share == 1 && !l.shareAssigned {
		return // unchanged, or none has been assigned
	}
	l.usedShare = share
	l.shareBits.Store(math.Float64bits(share))
	most := 0
	if l.settings.MaxHeld > 0 {
		most = max(1, int(share*float64(l.settings.MaxHeld)))
	}
	l.intake.share(most, share <= 0)
	if share > 0 && !l.serving {
		l.serving = true
		close(l.processes.shareReady)
	}
}

// endpointList returns the complete list of endpoints, as far as this process knows it.
func (l *loop) endpointList() (all []member) {
	for _, e := range l.endpoints {
		if e.listed.Phase != "left" {
			all = append(all, e.listed)
		}
	}
	return all
}

// publishList sends the list that this member received from discovery to the other members.
func (l *loop) publishList() {
	if l.processes == nil || l.fromMember {
		return
	}
	l.listAt = group.Clock()
	l.processes.notify(notifyList, "", list{Revision: l.revision, Complete: true, Members: l.endpointList()})
}

// handleGroupMessage handles a notification of another member.
func (l *loop) handleGroupMessage(m group.Message) {
	l.processes.stale.add(m.Kind, group.Clock()-m.At)
	bad := func(err error) { l.log.Warn("group: invalid message", "kind", m.Kind, "from", m.From, "err", err) }
	e := l.endpoints[policy.EndpointID(hash(m.Key))]
	switch m.Kind {
	case notifyList:
		var in list
		if err := json.Unmarshal(m.Body, &in); err != nil {
			bad(err)
			return
		}
		if m.At > l.listAt {
			l.listAt, l.fromMember = m.At, true
			l.handle(in)
			l.fromMember = false
		}
	case notifyWait:
		var w waitMessage
		if err := json.Unmarshal(m.Body, &w); err != nil {
			bad(err)
			return
		}
		l.applyPeerWait(e, w.Until)
	case notifyVerdict:
		var v verdictMessage
		if err := json.Unmarshal(m.Body, &v); err != nil {
			bad(err)
			return
		}
		if e != nil {
			l.batch = append(l.batch, policy.PeerObservation{Endpoint: e.id, News: v.News, At: l.now() - (group.Clock() - m.At)})
		}
	}
}

// applyPeerWait applies a wait that another member reports, until a time of the machine's clock.
func (l *loop) applyPeerWait(e *endpoint, until time.Duration) {
	left := until - group.Clock()
	if e == nil || left <= 0 {
		return
	}
	e.waits.wait(time.Now().Add(left))
	l.batch = append(l.batch, policy.PeerWait{Endpoint: e.id, Until: l.now() + left})
}

// memberState returns the state that a joining member needs.
func (l *loop) memberState() memberState {
	s := memberState{ListAt: l.listAt, Revision: l.knownRevision.Load(), Members: l.endpointList(), Orders: l.journal.Orders()}
	for _, e := range l.endpoints {
		if left := time.Until(time.Unix(0, e.waits.closedUntil.Load())); left > 0 {
			s.Waits = append(s.Waits, waitState{e.name, group.Clock() + left})
		}
	}
	return s
}

// notifyJoinedMembers sends the list and the waits to all members again: they may have changed since a new member requested
// the state. Members that already have them ignore them.
func (l *loop) notifyJoinedMembers() {
	s := l.memberState()
	if l.listAt > 0 {
		l.processes.notifyAt(l.listAt, notifyList, "", list{Revision: s.Revision, Complete: true, Members: s.Members})
	}
	for _, w := range s.Waits {
		l.processes.notify(notifyWait, w.Endpoint, waitMessage{w.Until})
	}
}

// applyMemberState applies the state of another member, before the first message.
func (l *loop) applyMemberState(s *memberState) {
	l.fromMember = true
	defer func() { l.fromMember = false }()
	l.listAt = s.ListAt
	l.applyKnownList(s.Revision, s.Members)
	for _, w := range s.Waits {
		l.applyPeerWait(l.endpoints[policy.EndpointID(hash(w.Endpoint))], w.Until)
	}
}

// adoptMessages takes over the pending messages of a former member. Attempts that were in flight may have run.
func (l *loop) adoptMessages(in *adoptedJournal) {
	if in.alone {
		l.adoptOrders(in.journal.Orders()) // an endpoint is out if any member recorded that
	}
	l.restoreHistoryFrom(in.journal.Memories, in.alone && !l.callMade)
	for _, m := range in.pending {
		if m.Class >= len(l.settings.Classes) || !l.resolveDuplicate(m) {
			l.closeMessage(m)
			continue
		}
		if m.Notice != nil {
			l.reports.add(m)
			l.intake.ended(m.ID)
			continue
		}
		l.handle(m)
	}
}

// resolveDuplicate resolves a duplicate: a message that a client sent to this member and that a former member had as well. It drops the
// one that was never sent, and reports whether the former member's is kept.
func (l *loop) resolveDuplicate(m *journal.Message) bool {
	for _, own := range l.held {
		if own.ID != m.ID {
			continue
		}
		switch {
		case own.Past.Attempts == 0:
			l.batch = append(l.batch, policy.Withdrawn{Message: own.Number()})
			delete(l.held, own.Number())
			l.closeMessage(own)
			return true
		case m.Past.Attempts > 0:
			l.log.Error("group: a message was sent by two members", "id", m.ID)
		}
		return false
	}
	return true
}

func (l *loop) closeMessage(m *journal.Message) {
	if err := m.Home().Closed(m, "", time.Now()); err != nil {
		l.log.Error("group: closing a message failed", "id", m.ID, "err", err)
	}
}
