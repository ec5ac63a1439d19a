package membership

import (
	"errors"

	"dunetide/internal/platform/link"
)

// A datagram consists of these fields, in this order: magic, kind, sequence number of the request, whether the sender
// needs keepers, the sender, the exchanged entries, the copied keepers.
const (
	magic        = 0x4d31 // "M1"; changes with the format
	kindRequest  = 1
	kindResponse = 2

	maxMessageBytes = 1180        // fits into one unfragmented packet on any path
	minPeerBytes    = 4*4 + 8 + 4 // encoded size of a peer whose text fields are empty
	listCountBytes  = 2 * 4       // encoded size of the lengths of both lists
)

// errMalformed is returned for a datagram of another protocol or version.
var errMalformed = errors.New("not a membership datagram")

// message is a decoded datagram.
type message struct {
	kind         uint8
	seq          uint32 // of the request, repeated in its response
	needsKeepers bool   // the sender knows too few live keepers
	from         Peer
	peers        []Peer // exchanged entries
	keepers      []Peer // copied entries of keepers
}

// peerBytes returns the encoded size of a peer.
func peerBytes(p *Peer) int {
	return minPeerBytes + len(p.Name) + len(p.Role) + len(p.Zone) + len(p.Addr)
}

func appendPeer(w *link.Writer, p *Peer) {
	w.String(p.Name)
	w.String(p.Role)
	w.String(p.Zone)
	w.String(p.Addr)
	w.U64(p.Incarnation)
	w.U32(uint32(p.Age))
}

// readPeer decodes a peer. It fails if the datagram is too short or a field is out of bounds.
func readPeer(r *link.Reader) (p Peer, err error) {
	p = Peer{Name: r.String(), Role: r.String(), Zone: r.String(), Addr: r.String(), Incarnation: r.U64()}
	age := r.U32()
	if r.Err != nil {
		return p, r.Err
	}
	p.Age = uint16(min(age, maxAge))
	return p, p.validate()
}

// encode appends the message with as many of the peers, and then of the keepers, as fit into maxMessageBytes. It
// returns the extended buffer and the peers that fit.
func (m *message) encode(buffer []byte, peers, keepers []Peer) (out []byte, sent []Peer) {
	w := link.Writer{Buf: buffer}
	w.U32(magic)
	w.U8(m.kind)
	w.U32(m.seq)
	w.Bool(m.needsKeepers)
	appendPeer(&w, &m.from)
	left := maxMessageBytes - len(w.Buf) - listCountBytes
	fitting := func(entries []Peer) []Peer {
		for i := range entries {
			if left -= peerBytes(&entries[i]); left < 0 {
				return entries[:i]
			}
		}
		return entries
	}
	sent = fitting(peers)
	for _, entries := range [][]Peer{sent, fitting(keepers)} {
		w.U32(uint32(len(entries)))
		for i := range entries {
			appendPeer(&w, &entries[i])
		}
	}
	return w.Buf, sent
}

// decode reads a datagram. It fails if the datagram is too long or too short, has bytes left over, or has a field that
// is out of bounds.
func decode(datagram []byte) (m message, err error) {
	r := link.Reader{Buf: datagram}
	if len(datagram) > maxMessageBytes || r.U32() != magic {
		return m, errMalformed
	}
	m.kind, m.seq, m.needsKeepers = r.U8(), r.U32(), r.Bool()
	if m.kind != kindRequest && m.kind != kindResponse {
		return m, errMalformed
	}
	if m.from, err = readPeer(&r); err != nil {
		return m, err
	}
	for _, entries := range []*[]Peer{&m.peers, &m.keepers} {
		for range r.Count(minPeerBytes) {
			entry, err := readPeer(&r)
			if err != nil {
				return m, err
			}
			*entries = append(*entries, entry)
		}
	}
	if r.Err != nil || len(r.Buf) != 0 {
		return m, errMalformed
	}
	return m, nil
}
