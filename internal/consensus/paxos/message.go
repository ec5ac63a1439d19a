package paxos

import "dunetide/internal/platform/link"

// ProposalNumber orders the attempts at one slot. It is unique to an attempt: an incarnation of a process uses a Round
// once, and no two incarnations have the same Proposer.
type ProposalNumber struct{ Round, Proposer uint64 }

// Less reports whether n is lower than other.
func (n ProposalNumber) Less(other ProposalNumber) bool {
	return n.Round < other.Round || n.Round == other.Round && n.Proposer < other.Proposer
}

// IsZero reports whether n is the zero number, which no attempt has.
func (n ProposalNumber) IsZero() bool { return n == ProposalNumber{} }

func (n ProposalNumber) append(w *link.Writer) {
	w.U64(n.Round)
	w.U64(n.Proposer)
}

func readProposalNumber(r *link.Reader) ProposalNumber {
	return ProposalNumber{Round: r.U64(), Proposer: r.U64()}
}

// messageKind is the type of a message. The numbers are used on the wire.
type messageKind uint8

const (
	// messageQuery asks whether slot-1 is the newest decided slot and nothing is accepted for slot. The answer implies
	// no promise.
	messageQuery messageKind = iota + 1
	// messageQueryReply confirms that slot-1 is the newest decided slot of the sender. The field reported is the number
	// of the proposal accepted for slot, or zero.
	messageQueryReply
	// messagePrepare requests the promise to accept no proposal numbered below number at slot.
	messagePrepare
	// messagePromise gives the promise. The fields reported and state are the proposal accepted for slot; reported is
	// zero if there is none.
	messagePromise
	// messageAccept requests the acceptance of state for slot with number.
	messageAccept
	// messageAccepted confirms that the proposal is accepted and on disk.
	messageAccepted
	// messageReject rejects a request whose number is too low. The field reported is the promised number.
	messageReject
	// messageDecided reports that state is decided.
	messageDecided
	// messageProgress reports the slot after the newest one that the sender knows; 0 if it knows none. If sender is set,
	// that newest slot is on the sender's disk.
	messageProgress
)

// message is a message between registers of the same name.
type message struct {
	kind     messageKind
	sender   uint64 // ID of the sender; 0 if it has none and counts in no quorum
	slot     uint64
	number   ProposalNumber
	reported ProposalNumber
	state    State
}

// encode encodes the message after the register's name, so that several registers can share a connection.
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

// RegisterName returns the name of the register that a message is for; false if the message is too short to have one.
func RegisterName(msg []byte) (string, bool) {
	r := &link.Reader{Buf: msg}
	name := r.String()
	return name, r.Err == nil
}
