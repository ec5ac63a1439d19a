package controlclient

import (
	"dunetide/internal/control/registry"
	"dunetide/internal/platform/link"
)

// source is what one keeper has pushed over one link. Client.mu guards it.
type source struct {
	node              Node
	inContact         bool          // whether the keeper is in contact with a majority, as it reported last
	contactChanged    chan struct{} // wakes the slot after inContact has changed
	endpointsComplete bool          // whether the keeper has ever said that it knows all endpoints
	synced            bool          // whether the keeper has pushed its whole list
	entries           map[string]registry.Entry
}

// sourceOf returns the source of a link, which it makes if it isn't there: the first update may arrive before the
// answer to Hello.
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

// setInContact notes whether the keeper is in contact with a majority.
func (s *source) setInContact(inContact bool) {
	if s.inContact == inContact {
		return
	}
	s.inContact = inContact
	select {
	case s.contactChanged <- struct{}{}:
	default: // the slot is to wake up already
	}
}
