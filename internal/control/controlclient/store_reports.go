package controlclient

import "dunetide/internal/platform/link"

// PartJoined is the body of a Joined call: a store says that the next group of a part has all of it.
type PartJoined struct {
	Part  int
	Epoch uint64
}

// Encode writes the message.
func (p PartJoined) Encode() []byte {
	w := link.Writer{}
	w.Int(p.Part)
	w.U64(p.Epoch)
	return w.B
}

// ReadPartJoined reads the message.
func ReadPartJoined(body []byte) (PartJoined, error) {
	r := link.Reader{B: body}
	p := PartJoined{Part: r.Int(), Epoch: r.U64()}
	return p, r.Err
}

// StoreStopping is the body of a Stopping call: a store says whether it is about to stop.
type StoreStopping struct {
	Store    uint64 // its identity
	Stopping bool
}

// Encode writes the message.
func (s StoreStopping) Encode() []byte {
	w := link.Writer{}
	w.U64(s.Store)
	w.Bool(s.Stopping)
	return w.B
}

// ReadStoreStopping reads the message.
func ReadStoreStopping(body []byte) (StoreStopping, error) {
	r := link.Reader{B: body}
	s := StoreStopping{Store: r.U64(), Stopping: r.Bool()}
	return s, r.Err
}
