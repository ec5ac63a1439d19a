package controlclient

import (
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

// source is the state that one keeper has pushed over one link. Client.mu guards it.
type source struct {
	node              Node
	inContact         bool          // whether the keeper last reported to be in contact with a majority
	contactChanged    chan struct{} // wakes the slot after a change of inContact
	endpointsComplete bool          // whether the keeper has ever reported that it knows all endpoints
	synced            bool          // whether the keeper has pushed its full list
	entries           map[string]registry.Entry
}

// sourceOf returns the source of a link. It creates the source if necessary, because the first update may arrive before
// the reply to Hello.
func sourceOf(conn *link.Conn, inContact bool) *source {
	s, _ := conn.Tag.Load().(*source)
	if s == nil {
		s = &source{
			inContact:      inContact,
			contactChanged: make(chan struct{}, 1),
			entries:        map[string]registry.Entry{},
		}
		conn.Tag.Store(s)
	}
	return s
}

// setInContact records whether the keeper is in contact with a majority, and wakes the slot if that has changed.
func (s *source) setInContact(inContact bool) {
	if s.inContact == inContact {
		return
	}
	s.inContact = inContact
	select {
	case s.contactChanged <- struct{}{}:
	default: // a wake-up is already pending
	}
}
