package membership

import (
	"errors"

	"dunetide/internal/link"
)

// A datagram: magic, kind, number of the question, whether the sender lacks keepers, the sender, the
// entries that change places, the keepers that are copied.
const (
	magic      = 0x4d31 // "M1"; changes with the format
	kindAsk    = 1
	kindAnswer = 2
	maxMessage = 1180
	leastPeer  = 4*4 + 8 + 4
)

var errMalformed = errors.New("not a membership datagram")

type message struct {
	kind    uint8
	seq     uint32
	hungry  bool
	from    Peer
	peers   []Peer
	keepers []Peer
}

func peerSize(p *Peer) int {
	return leastPeer + len(p.Name) + len(p.Role) + len(p.Zone) + len(p.Addr)
}

func writePeer(w *link.Writer, p *Peer) {
	w.String(p.Name)
	w.String(p.Role)
	w.String(p.Zone)
	w.String(p.Addr)
	w.U64(p.Life)
	w.U32(uint32(p.Age))
}

func readPeer(r *link.Reader) (p Peer, err error) {
	p = Peer{Name: r.String(), Role: r.String(), Zone: r.String(), Addr: r.String(), Life: r.U64()}
	age := r.U32()
	if r.Err != nil {
		return p, r.Err
	}
	p.Age = uint16(min(age, 1<<16-1))
	return p, p.check()
}

// encode appends the message with as many of the entries as fit, and returns which of peers did.
func (m *message) encode(b []byte, peers, keepers []Peer) (out []byte, sent []Peer) {
	w := link.Writer{B: b}
	w.U32(magic)
	w.U8(m.kind)
	w.U32(m.seq)
	w.Bool(m.hungry)
	writePeer(&w, &m.from)
	left := maxMessage - len(w.B) - 8
	fit := func(v []Peer) []Peer {
		for i := range v {
			if left -= peerSize(&v[i]); left < 0 {
				return v[:i]
			}
		}
		return v
	}
	sent = fit(peers)
	for _, v := range [][]Peer{sent, fit(keepers)} {
		w.U32(uint32(len(v)))
		for i := range v {
			writePeer(&w, &v[i])
		}
	}
	return w.B, sent
}

func decode(b []byte) (m message, err error) {
	r := link.Reader{B: b}
	if len(b) > maxMessage || r.U32() != magic {
		return m, errMalformed
	}
	m.kind, m.seq, m.hungry = r.U8(), r.U32(), r.Bool()
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
