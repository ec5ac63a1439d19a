package controlclient

import "dunetide/internal/platform/link"

// PartJoined is the body of a Joined call: a store says that the next group of a part has all of it.
type PartitionJoined struct {
	Partition int
	Epoch     uint64
}

// Encode writes the message.
func (p PartitionJoined) Encode() []byte {
	w := link.Writer{}
	w.Int(p.Partition)
	w.U64(p.Epoch)
	return w.Buf
}

// ReadPartJoined reads the message.
func ReadPartitionJoined(body []byte) (PartitionJoined, error) {
	r := link.Reader{Buf: body}
	p := PartitionJoined{Partition: r.Int(), Epoch: r.U64()}
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
	return w.Buf
}

// ReadStoreStopping reads the message.
func ReadStoreStopping(body []byte) (StoreStopping, error) {
	r := link.Reader{Buf: body}
	s := StoreStopping{Store: r.U64(), Stopping: r.Bool()}
	return s, r.Err
}
