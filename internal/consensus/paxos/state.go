package paxos

import (
	"bytes"
	"slices"

	"dunetide/internal/platform/link"
)

// Voter is one who decides. Its ID is drawn at random when its disk is first used and kept there: an emptied disk
// is another voter. Name and Addr say how to reach it and whose place it has.
type Voter struct {
	ID         uint64
	Name, Addr string
}

// State is the whole of a register at one slot. The Voters of a slot decide the next one.
type State struct {
	Slot   uint64
	Voters []Voter
	Value  []byte

	// Who proposed this slot and those before it, the newest last: by it a proposer that lost sight of its own
	// value knows whether it was decided. Slot 0 is nobody's.
	marks []mark
}

// mark is one operation of one process life.
type mark struct{ proposer, operation uint64 }

// maxMarks bounds how far a proposer may fall behind and still learn what became of its value.
const maxMarks = 64

// Has reports whether a voter with this identity is in.
func (s State) Has(id uint64) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

func (s State) equal(t State) bool {
	return s.Slot == t.Slot && slices.Equal(s.Voters, t.Voters) && bytes.Equal(s.Value, t.Value) && slices.Equal(s.marks, t.marks)
}

// Clone shares no memory with s.
func (s State) Clone() State {
	s.Voters, s.Value, s.marks = slices.Clone(s.Voters), bytes.Clone(s.Value), slices.Clone(s.marks)
	return s
}

// proposedBy gives who proposed a slot that is not newer than s; false: it is too long ago.
func (s State) proposedBy(slot uint64) (mark, bool) {
	back := s.Slot - slot
	if back >= uint64(len(s.marks)) {
		return mark{}, false
	}
	return s.marks[uint64(len(s.marks))-1-back], true
}

// Append encodes s, with what is needed to go on from it.
func (s State) Append(w *link.Writer) {
	w.U64(s.Slot)
	w.U32(uint32(len(s.Voters)))
	for _, v := range s.Voters {
		w.U64(v.ID)
		w.String(v.Name)
		w.String(v.Addr)
	}
	w.Bytes(s.Value)
	w.U32(uint32(len(s.marks)))
	for _, m := range s.marks {
		w.U64(m.proposer)
		w.U64(m.operation)
	}
}

// ReadState takes a State off that Append put there; it shares no memory with the message.
func ReadState(r *link.Reader) State {
	s := State{Slot: r.U64()}
	for range r.Count(16) {
		s.Voters = append(s.Voters, Voter{ID: r.U64(), Name: r.String(), Addr: r.String()})
	}
	s.Value = bytes.Clone(r.Bytes())
	for range r.Count(16) {
		s.marks = append(s.marks, mark{r.U64(), r.U64()})
	}
	return s
}

// ballot orders the attempts at one slot. No two attempts have the same: a round is used once by a process life,
// and no two lives have the same Proposer.
type ballot struct{ round, proposer uint64 }

func (b ballot) less(c ballot) bool {
	return b.round < c.round || b.round == c.round && b.proposer < c.proposer
}

func (b ballot) append(w *link.Writer) { w.U64(b.round); w.U64(b.proposer) }

func readBallot(r *link.Reader) ballot { return ballot{r.U64(), r.U64()} }

type kind uint8

const (
	query    kind = iota + 1 // is slot-1 the newest, with nothing accepted for slot? Promises nothing
	told                     // slot-1 is the newest; other: the ballot of what is accepted for slot, or zero
	prepare                  // promise nothing below ballot at slot
	promise                  // promised; other and state: what is accepted, if other is not zero
	accept                   // accept state for slot at ballot
	accepted                 // it is on disk
	reject                   // ballot is too low: other is promised
	decided                  // state is decided
	have                     // slot is the newest that the sender has stored (plus one; 0: it knows none)
)

// message is what goes between registers of one name.
type message struct {
	kind   kind
	id     uint64 // the sender's identity; 0: no voter
	slot   uint64
	ballot ballot
	other  ballot
	state  State
}

func (m message) encode(name string) []byte {
	w := &link.Writer{}
	w.String(name)
	w.U8(uint8(m.kind))
	w.U64(m.id)
	w.U64(m.slot)
	m.ballot.append(w)
	m.other.append(w)
	if m.hasState() {
		m.state.Append(w)
	}
	return w.B
}

func (m message) hasState() bool {
	return m.kind == accept || m.kind == decided || m.kind == promise && m.other != ballot{}
}

func decode(b []byte) (name string, m message, err error) {
	r := &link.Reader{B: b}
	name = r.String()
	m = message{kind: kind(r.U8()), id: r.U64(), slot: r.U64(), ballot: readBallot(r), other: readBallot(r)}
	if m.hasState() {
		m.state = ReadState(r)
	}
	return name, m, r.Err
}

// Name gives the register that a message is for; false: it is no message of a register.
func Name(msg []byte) (string, bool) {
	r := &link.Reader{B: msg}
	name := r.String()
	return name, r.Err == nil
}
