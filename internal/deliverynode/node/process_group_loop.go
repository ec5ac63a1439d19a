package node

import (
	"encoding/json"
	"math"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// This file is the loop's side of a group: all of it runs in the loop.

// share is the part of the node that is in use, for the staff.
func (l *loop) share() float64 { return math.Float64frombits(l.shareBits.Load()) }

// useShare follows the part of the node that the module uses.
func (l *loop) useShare() {
	if l.cohort == nil {
		return
	}
	part := l.sender.Share()
	if part == l.inUse && l.serving || part == 1 && !l.shared {
		return // none was ever told
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

// table is the whole list as this process knows it.
func (l *loop) table() (all []member) {
	for _, e := range l.endpoints {
		if e.last.Phase != "left" {
			all = append(all, e.last)
		}
	}
	return all
}

// passListOn lets the other members know what discovery told this one.
func (l *loop) passListOn() {
	if l.cohort == nil || l.hearing {
		return
	}
	l.listAt = group.Clock()
	l.cohort.notify(newsList, "", list{Revision: l.revision, Complete: true, Members: l.table()})
}

// handleGroupMessage takes in what another member tells.
func (l *loop) handleGroupMessage(m group.Message) {
	l.cohort.stale.add(m.Kind, group.Clock()-m.At)
	bad := func(err error) { l.log.Warn("group: news without meaning", "kind", m.Kind, "from", m.From, "err", err) }
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

// heardWait closes a destination until a moment of the machine's clock.
func (l *loop) heardWait(e *endpoint, until time.Duration) {
	left := until - group.Clock()
	if e == nil || left <= 0 {
		return
	}
	e.waits.wait(time.Now().Add(left))
	l.batch = append(l.batch, policy.HeardWait{Endpoint: e.id, Until: l.now() + left})
}

// memberState is what a member that joins has to know.
func (l *loop) memberState() memberState {
	s := memberState{ListAt: l.listAt, Revision: l.known.Load(), Members: l.table(), Orders: l.journal.Orders()}
	for _, e := range l.endpoints {
		if left := time.Until(time.Unix(0, e.waits.closedUntil.Load())); left > 0 {
			s.Waits = append(s.Waits, waitState{e.name, group.Clock() + left})
		}
	}
	return s
}

// notifyNewcomers tells all what those that have just come did not hear: between what they asked for and
// now, something may have changed. Who has heard it passes it over.
func (l *loop) notifyNewcomers() {
	s := l.memberState()
	if l.listAt > 0 {
		l.cohort.notifyAt(l.listAt, newsList, "", list{Revision: s.Revision, Complete: true, Members: s.Members})
	}
	for _, w := range s.Waits {
		l.cohort.notify(newsWait, w.Endpoint, waitNews{w.Until})
	}
}

// join takes in what another member knew, before the first message.
func (l *loop) join(s *memberState) {
	l.hearing = true
	defer func() { l.hearing = false }()
	l.listAt = s.ListAt
	l.takeKnown(s.Revision, s.Members)
	for _, w := range s.Waits {
		l.heardWait(l.endpoints[policy.EndpointID(hash(w.Endpoint))], w.Until)
	}
}

// inheritDead goes on with what a dead member owed. Attempts that were out may have run.
func (l *loop) inheritDead(in *inheritance) {
	if in.alone {
		l.adoptOrders(in.journal.Orders()) // out where any member said so
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

// only settles it where a client has handed in a message here that a dead member had as well:
// the one that never was sent goes.
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
		l.log.Error("group: closing a message", "id", m.ID, "err", err)
	}
}
