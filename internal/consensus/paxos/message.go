package paxos

import "dunetide/internal/platform/link"

// ProposalNumber orders the attempts at one slot. No two attempts have the same: a Round is used once by an incarnation
// of a process, and no two incarnations have the same Proposer.
type ProposalNumber struct{ Round, Proposer uint64 }

// Less reports whether n is lower than other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Round < other.Round || n.Round == other.Round && n.Proposer < other.Proposer
}

// IsZero reports whether n is the number of no attempt.
func (n ProposalNumber) IsZero() bool { return n == ProposalNumber{} }

func (n ProposalNumber) append(w *link.Writer) {
	w.U64(n.Round)
	w.U64(n.Proposer)
}

func readProposalNumber(r *link.Reader) ProposalNumber {
	return ProposalNumber{Round: r.U64(), Proposer: r.U64()}
}

// messageKind says what a message is. The numbers are on the wire.
type messageKind uint8

const (
	// messageQuery asks whether slot-1 is the newest, with nothing accepted for slot. Its answer promises nothing.
	messageQuery messageKind = iota + 1
	// messageQueryReply: slot-1 is the newest here. Reported is the number of the proposal accepted for slot, or zero.
	messageQueryReply
	// messagePrepare asks for the promise to accept nothing below number at slot.
	messagePrepare
	// messagePromise gives it. Reported and state are the proposal accepted for slot; reported is zero where none was.
	messagePromise
	// messageAccept asks to accept state for slot at number.
	messageAccept
	// messageAccepted: the proposal is accepted, and on disk.
	messageAccepted
	// messageReject: number is too low. Reported is the promised number.
	messageReject
	// messageDecided: state is decided.
	messageDecided
	// messageProgress: slot is the one after the newest that the sender knows, and has stored where it names itself; 0:
	// it knows none.
	messageProgress
)

// message is what goes between registers of one name.
type message struct {
	kind     messageKind
	sender   uint64 // identity of the sender; 0: it has none, and counts in no quorum
	slot     uint64
	number   ProposalNumber
	reported ProposalNumber
	state    State
}

// encode puts the register's name first, so that registers can share a link.
func (m message) encode(name string) []byte {
	w := &link.Writer{}
	w.String(name)
	w.U8(uint8(m.kind))
	w.U64(m.sender)
	w.U64(m.slot)
	m.number.append(w)
	m.reported.append(w)
	if m.hasState() {
		m.state.Append(w)
	}
	return w.Buf
}

func (m message) hasState() bool {
	switch m.kind {
	case messageAccept, messageDecided:
		return true
	case messagePromise:
		return !m.reported.IsZero()
	default:
		return false
	}
}

func decodeMessage(b []byte) (name string, m message, err error) {
	r := &link.Reader{Buf: b}
	name = r.String()
	m = message{
		kind:     messageKind(r.U8()),
		sender:   r.U64(),
		slot:     r.U64(),
		number:   readProposalNumber(r),
		reported: readProposalNumber(r),
	}
	if m.hasState() {
		m.state = ReadState(r)
	}
	return name, m, r.Err
}

// RegisterName is the name of the register that a message is for; false: it is no message of a register.
func RegisterName(msg []byte) (string, bool) {
	r := &link.Reader{Buf: msg}
	name := r.String()
	return name, r.Err == nil
}
