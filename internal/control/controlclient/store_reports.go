package controlclient

import "dunetide/internal/platform/link"

// PartitionJoined is the body of a KindPartitionJoined call: the next replicas of a partition have copied it
// completely.
type PartitionJoined struct {
	// Partition is the partition's index in the table, Epoch the epoch in which it was copied.
	Partition int
	Epoch     uint64
}

// Encode returns the encoding of the message.
func (p PartitionJoined) Encode() []byte {
	w := link.Writer{}
	w.Int(p.Partition)
	w.U64(p.Epoch)
	return w.Buf
}

// ReadPartitionJoined decodes the message. It fails with link.ErrTruncated.
func ReadPartitionJoined(body []byte) (PartitionJoined, error) {
	r := link.Reader{Buf: body}
	p := PartitionJoined{Partition: r.Int(), Epoch: r.U64()}
	return p, r.Err
}

// StoreStopping is the body of a KindStoreStopping call. It reports whether a store is about to stop.
type StoreStopping struct {
	// Store is the ID of the store.
	Store    uint64
	Stopping bool
}

// Encode returns the encoding of the message.
func (s StoreStopping) Encode() []byte {
	w := link.Writer{}
	w.U64(s.Store)
	w.Bool(s.Stopping)
	return w.Buf
}

// ReadStoreStopping decodes the message. It fails with link.ErrTruncated.
func ReadStoreStopping(body []byte) (StoreStopping, error) {
	r := link.Reader{Buf: body}
	s := StoreStopping{Store: r.U64(), Stopping: r.Bool()}
	return s, r.Err
}
