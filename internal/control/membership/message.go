package membership

import (
	"errors"

	"dunetide/internal/platform/link"
)

// A datagram has these fields in turn: magic, kind, the number of the question, whether the sender lacks keepers, the
// sender, the entries that are exchanged, the keepers that are copied.
const (
	magic      = 0x4d31 // "M1"; it changes with the format
	kindAsk    = 1
	kindAnswer = 2
	maxMessage = 1180        // bytes
	leastPeer  = 4*4 + 8 + 4 // encoded size of a peer whose text fields are empty, in bytes
	listCounts = 2 * 4       // encoded size of the lengths of both lists, in bytes
)

var errMalformed = errors.New("not a membership datagram")

// message is a decoded datagram.
type message struct {
	kind         uint8
	seq          uint32 // of the question, repeated in its answer
	needsKeepers bool   // the sender knows too few live keepers
	from         Peer
	peers        []Peer // entries that are exchanged
	keepers      []Peer // entries of keepers that are copied
}

// peerSize returns the encoded size of a peer in bytes.
func peerSize(p *Peer) int {
	return leastPeer + len(p.Name) + len(p.Role) + len(p.Zone) + len(p.Addr)
}

func writePeer(w *link.Writer, p *Peer) {
	w.String(p.Name)
	w.String(p.Role)
	w.String(p.Zone)
	w.String(p.Addr)
	w.U64(p.Incarnation)
	w.U32(uint32(p.Age))
}

func readPeer(r *link.Reader) (p Peer, err error) {
	p = Peer{Name: r.String(), Role: r.String(), Zone: r.String(), Addr: r.String(), Incarnation: r.U64()}
	age := r.U32()
	if r.Err != nil {
		return p, r.Err
	}
	p.Age = uint16(min(age, 1<<16-1))
	return p, p.check()
}

// encode appends the message with as many of the peers, and then of the keepers, as fit into maxMessage bytes. It
// returns the extended buffer and the peers that fit.
func (m *message) encode(buffer []byte, peers, keepers []Peer) (out []byte, sent []Peer) {
	w := link.Writer{B: buffer}
	w.U32(magic)
	w.U8(m.kind)
	w.U32(m.seq)
	w.Bool(m.needsKeepers)
	writePeer(&w, &m.from)
	left := maxMessage - len(w.B) - listCounts
	fit := func(entries []Peer) []Peer {
		for i := range entries {
			if left -= peerSize(&entries[i]); left < 0 {
				return entries[:i]
			}
		}
		return entries
	}
	sent = fit(peers)
	for _, list := range [][]Peer{sent, fit(keepers)} {
		w.U32(uint32(len(list)))
		for i := range list {
			writePeer(&w, &list[i])
		}
	}
	return w.B, sent
}

// decode reads a datagram. It fails if the datagram is too long or too short, has bytes left over, or has a field that
// is out of bounds.
func decode(datagram []byte) (m message, err error) {
	r := link.Reader{B: datagram}
	if len(datagram) > maxMessage || r.U32() != magic {
		return m, errMalformed
	}
	m.kind, m.seq, m.needsKeepers = r.U8(), r.U32(), r.Bool()
	if m.kind != kindAsk && m.kind != kindAnswer {
		return m, errMalformed
	}
	if m.from, err = readPeer(&r); err != nil {
		return m, err
	}
	for _, list := range []*[]Peer{&m.peers, &m.keepers} {
		for range r.Count(leastPeer) {
			p, err := readPeer(&r)
			if err != nil {
				return m, err
			}
			*list = append(*list, p)
		}
	}
	if r.Err != nil || len(r.B) != 0 {
		return m, errMalformed
	}
	return m, nil
}
