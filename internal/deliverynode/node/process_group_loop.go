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

// useShare applies the share of the node's limits that the module uses.
func (l *loop) useShare() {
	if l.cohort == nil {
		return
	}
	part := l.sender.Share()
	if part == l.inUse && l.serving || part == 1 && !l.shared {
		return // unchanged, or none has been assigned
	}
	l.inUse = part
	l.shareBits.Store(math.Float64bits(part))
	most := 0
	if l.settings.MaxHeld > 0 {
		most = max(1, int(part*float64(l.settings.MaxHeld)))
	}
	l.intake.part(most, part <= 0)
	if part > 0 && !l.serving {
		l.serving = true
		close(l.cohort.usable)
	}
}

// table returns the complete list of endpoints, as far as this process knows it.
func (l *loop) table() (all []member) {
	for _, e := range l.endpoints {
		if e.last.Phase != "left" {
			all = append(all, e.last)
		}
	}
	return all
}

// passListOn sends the list that this member received from discovery to the other members.
func (l *loop) passListOn() {
	if l.cohort == nil || l.hearing {
		return
	}
	l.listAt = group.Clock()
	l.cohort.notify(newsList, "", list{Revision: l.revision, Complete: true, Members: l.table()})
}

// handleGroupMessage handles a notification of another member.
func (l *loop) handleGroupMessage(m group.Message) {
	l.cohort.stale.add(m.Kind, group.Clock()-m.At)
	bad := func(err error) { l.log.Warn("group: invalid message", "kind", m.Kind, "from", m.From, "err", err) }
	e := l.endpoints[policy.EndpointID(hash(m.Key))]
	switch m.Kind {
	case newsList:
		var in list
		if err := json.Unmarshal(m.Body, &in); err != nil {
			bad(err)
			return
		}
		if m.At > l.listAt {
			l.listAt, l.hearing = m.At, true
			l.handle(in)
			l.hearing = false
		}
	case newsWait:
		var w waitNews
		if err := json.Unmarshal(m.Body, &w); err != nil {
			bad(err)
			return
		}
		l.heardWait(e, w.Until)
	case newsVerdict:
		var v verdictNews
		if err := json.Unmarshal(m.Body, &v); err != nil {
			bad(err)
			return
		}
		if e != nil {
			l.batch = append(l.batch, policy.Hearsay{Endpoint: e.id, News: v.News, At: l.now() - (group.Clock() - m.At)})
		}
	}
}

// heardWait applies a wait that another member reports, until a time of the machine's clock.
func (l *loop) heardWait(e *endpoint, until time.Duration) {
	left := until - group.Clock()
	if e == nil || left <= 0 {
		return
	}
	e.waits.wait(time.Now().Add(left))
	l.batch = append(l.batch, policy.HeardWait{Endpoint: e.id, Until: l.now() + left})
}

// memberState returns the state that a joining member needs.
func (l *loop) memberState() memberState {
	s := memberState{ListAt: l.listAt, Revision: l.known.Load(), Members: l.table(), Orders: l.journal.Orders()}
	for _, e := range l.endpoints {
		if left := time.Until(time.Unix(0, e.waits.closedUntil.Load())); left > 0 {
			s.Waits = append(s.Waits, waitState{e.name, group.Clock() + left})
		}
	}
	return s
}

// notifyNewcomers sends the list and the waits to all members again: they may have changed since a new member requested
// the state. Members that already have them ignore them.
func (l *loop) notifyNewcomers() {
	s := l.memberState()
	if l.listAt > 0 {
		l.cohort.notifyAt(l.listAt, newsList, "", list{Revision: s.Revision, Complete: true, Members: s.Members})
	}
	for _, w := range s.Waits {
		l.cohort.notify(newsWait, w.Endpoint, waitNews{w.Until})
	}
}

// join applies the state of another member, before the first message.
func (l *loop) join(s *memberState) {
	l.hearing = true
	defer func() { l.hearing = false }()
	l.listAt = s.ListAt
	l.takeKnown(s.Revision, s.Members)
	for _, w := range s.Waits {
		l.heardWait(l.endpoints[policy.EndpointID(hash(w.Endpoint))], w.Until)
	}
}

// inheritDead takes over the pending messages of a former member. Attempts that were in flight may have run.
func (l *loop) inheritDead(in *inheritance) {
	if in.alone {
		l.adoptOrders(in.journal.Orders()) // an endpoint is out if any member recorded that
	}
	l.remindOf(in.journal.Memories, in.alone && !l.called)
	for _, m := range in.owed {
		if m.Class >= len(l.settings.Classes) || !l.only(m) {
			l.closed(m)
			continue
		}
		if m.Notice != nil {
			l.finals.add(m)
			l.intake.ended(m.ID)
			continue
		}
		l.handle(m)
	}
}

// only resolves a duplicate: a message that a client sent to this member and that a former member had as well. It drops the
// one that was never sent, and reports whether the former member's is kept.
func (l *loop) only(m *journal.Message) bool {
	for _, own := range l.held {
		if own.ID != m.ID {
			continue
		}
		switch {
		case own.Past.Attempts == 0:
			l.batch = append(l.batch, policy.Withdrawn{Message: own.Number()})
			delete(l.held, own.Number())
			l.closed(own)
			return true
		case m.Past.Attempts > 0:
			l.log.Error("group: a message was sent by two members", "id", m.ID)
		}
		return false
	}
	return true
}

func (l *loop) closed(m *journal.Message) {
	if err := m.Home().Closed(m, "", time.Now()); err != nil {
		l.log.Error("group: closing a message failed", "id", m.ID, "err", err)
	}
}
