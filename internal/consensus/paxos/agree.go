// Package agree is an agreed register: slot k of it is decided by Paxos among the voters that the decided State of
// slot k-1 names. A State is the whole of its part, so there is no log, and catching up is one message. What it
// guarantees, and why, stands in docs/agreement.md.
//
// The core is stepped by one goroutine at a time: it has no clock, no goroutines, no network and no files of its
// own. Callbacks are called inside steps; they may call the Register.
package paxos

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"dunetide/internal/platform/link"
)

// Errors of proposals and reads. After all but ErrTimeout nothing was written, for sure.
var (
	// ErrTimeout says that the value may or may not be in force: read the register, then decide.
	ErrTimeout = errs.Class("agree: in doubt, read it again")
	// ErrNoMajority says that no majority of voters answered in time and that nothing was written: try again
	// where a majority can be reached.
	ErrNoMajority = errs.Class("agree: no majority answered, nothing written, try again")
	// ErrUnknown says that this process has not heard of any State yet: Ask a keeper, or wait for one.
	ErrUnknown = errs.Class("agree: nothing known of the register yet, ask a voter")
	// ErrBusy says that too many proposals wait here.
	ErrBusy = errs.Class("agree: too many proposals wait, try again later")
	// ErrVoters says that a proposed State names no voters, or one twice, or one without an identity.
	ErrVoters = errs.Class("agree: voters that can't decide, name each once and with its identity")
	// ErrSaved says that what was saved can't be read: this disk must not vote. Empty it, and it joins anew.
	ErrSaved = errs.Class("agree: what was saved is damaged, empty this disk")
	// ErrNotSaved is for a Save that left the disk as it was, such as one that is full: it is tried again.
	ErrNotSaved = errs.Class("agree: nothing was saved, make room on the disk")

	// ErrUnchanged is for a change that has nothing to write: the proposal ends with the State it saw.
	ErrUnchanged = errs.New("agree: unchanged")
)

// Options are what a Register needs of its process.
type Options struct {
	Name string // the same on all nodes
	// ID is the identity on this process's disk; 0: it has none and never votes.
	ID uint64
	// Proposer is drawn at random at each start of the process.
	Proposer uint64
	// Save has put the payload on disk, to stay, when it returns. After an ErrNotSaved the disk is as it was, and Save
	// is called again. After any other error it is not known what the disk holds: the register votes no more.
	Save func(payload []byte) error
	// Send may lose, double, delay and reorder messages. A Voter here is where a message goes; it may have no ID.
	Send func(to Voter, msg []byte)
	// Decided is told each decided State that is newer than the one before.
	Decided func(State)
	// Rand is in [0, 1).
	Rand func() float64
}

const (
	resendAfter   = 150 * time.Millisecond
	resendMost    = 600 * time.Millisecond
	spreadTries   = 6
	announceEvery = 5 * time.Second
	maxQueued     = 256
	// saveRetry is how long nothing is saved after an ErrNotSaved.
	saveRetry = 250 * time.Millisecond
)

// Register is one agreed register, as one process sees it.
type Register struct {
	o   Options
	now time.Duration

	// What is on disk, if there is one. Promises and what is accepted are for the slot after state's.
	known    bool
	state    State
	promised ballot
	accepted ballot // zero: nothing
	proposal State  // what is accepted
	failed   error  // a Save that failed for good: no votes any more
	// stored: the state is on disk. While it is not, no vote is given, as what is saved for a slot is read back only behind
	// the State of the slot before, and nobody is told that this node holds it.
	stored     bool
	toStore    []byte        // what has to be saved for that
	storedSlot uint64        // of the newest State that is on disk, if any is
	everStored bool          // one is
	unsaved    error         // the newest Save, if it left the disk as it was
	saveAt     time.Duration // after that: nothing is saved before

	holders map[uint64]bool // voters known to have stored state

	proposer

	// States on their way to those who have to learn them.
	spreadTo    []Voter
	spreadTries int
	spreadAt    time.Duration

	announceAt time.Duration
	announced  int

	inside   bool
	loopback [][]byte
}

// New makes a Register of the payloads that Save stored, in order. Decided isn't told what they hold: see State.
func New(o Options, saved [][]byte) (*Register, error) {
	if o.Save == nil {
		o.Save = func([]byte) error { return nil }
	}
	if o.Decided == nil {
		o.Decided = func(State) {}
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Proposer == 0 {
		return nil, errs.New("agree: no Proposer: draw one at each start")
	}
	r := &Register{o: o, holders: map[uint64]bool{}}
	for i, b := range saved {
		if err := r.load(b); err != nil {
			return nil, ErrSaved.Wrap(fmt.Errorf("payload %d of %d of register %s: %w", i+1, len(saved), o.Name, err))
		}
	}
	if r.known {
		r.noteStored()
	}
	return r, nil
}

const (
	savedPromise uint8 = iota + 1
	savedAccepted
	savedDecided
	savedChosen // what is accepted for a slot at a ballot is decided
)

func promisePayload(slot uint64, b ballot) []byte {
	w := &link.Writer{}
	w.U8(savedPromise)
	w.U64(slot)
	b.append(w)
	return w.B
}

func acceptedPayload(b ballot, s State) []byte {
	w := &link.Writer{}
	w.U8(savedAccepted)
	w.U64(s.Slot)
	b.append(w)
	s.Append(w)
	return w.B
}

func decidedPayload(s State) []byte {
	w := &link.Writer{}
	w.U8(savedDecided)
	s.Append(w)
	return w.B
}

func chosenPayload(slot uint64, b ballot) []byte {
	w := &link.Writer{}
	w.U8(savedChosen)
	w.U64(slot)
	b.append(w)
	return w.B
}

// decidedRecord is what has to be saved for a decided State: a short record where the disk holds it as accepted.
func (r *Register) decidedRecord(s State) []byte {
	if s.Slot == r.state.Slot+1 && r.accepted != (ballot{}) && r.proposal.equal(s) {
		return chosenPayload(s.Slot, r.accepted)
	}
	return decidedPayload(s)
}

// setState makes a decided State the one of which the voters decide the next slot.
func (r *Register) setState(s State) {
	r.known, r.state = true, s
	r.promised, r.accepted, r.proposal = ballot{}, ballot{}, State{}
}

func (r *Register) load(b []byte) error {
	in := &link.Reader{B: b}
	kind := in.U8()
	if kind == savedDecided {
		s := ReadState(in)
		if in.Err == nil && (!r.known || s.Slot > r.state.Slot) {
			r.setState(s)
		}
		return in.Err
	}
	slot, b2 := in.U64(), readBallot(in)
	var s State
	if kind == savedAccepted {
		s = ReadState(in)
	}
	switch {
	case in.Err != nil:
		return in.Err
	case kind != savedPromise && kind != savedAccepted && kind != savedChosen:
		return fmt.Errorf("kind %d is unknown", kind)
	case !r.known || slot > r.state.Slot+1:
		return fmt.Errorf("it is about slot %d, and the one before is not there", slot)
	case slot <= r.state.Slot:
		return nil
	case kind == savedChosen && b2 != r.accepted:
		return fmt.Errorf("it says that slot %d is decided, and something else is accepted", slot)
	case kind == savedChosen:
		r.setState(r.proposal)
		return nil
	}
	if !b2.less(r.promised) {
		r.promised = b2
		if kind == savedAccepted {
			r.accepted, r.proposal = b2, s
		}
	}
	return nil
}

// Snapshot gives the payloads that replace all that Save has stored.
func (r *Register) Snapshot() [][]byte {
	if !r.known || r.failed != nil {
		return nil
	}
	out := [][]byte{decidedPayload(r.state)}
	if r.accepted != (ballot{}) {
		out = append(out, acceptedPayload(r.accepted, r.proposal))
	}
	if r.promised != r.accepted {
		out = append(out, promisePayload(r.state.Slot+1, r.promised))
	}
	return out
}

// save reports whether the payload is on disk. Where the disk was left as it was, it may be saved later. Any other
// error ends this node's votes: what the disk holds is not known.
func (r *Register) save(b []byte) bool {
	if r.o.ID == 0 {
		return true
	}
	if r.failed != nil || r.now < r.saveAt {
		return false
	}
	err := r.o.Save(b)
	if ErrNotSaved.Has(err) {
		r.unsaved, r.saveAt = err, r.now+saveRetry
		return false
	}
	r.unsaved, r.failed = nil, err
	return err == nil
}

// store puts the decided State on disk, if the disk takes it.
func (r *Register) store() {
	r.stored = false
	if r.save(r.toStore) {
		r.noteStored()
	}
}

// noteStored takes down that the State is on disk.
func (r *Register) noteStored() {
	r.stored, r.everStored, r.storedSlot, r.toStore = true, true, r.state.Slot, nil
	if r.o.ID != 0 {
		r.holders[r.o.ID] = true
	}
}

// storeAgain tries what store could not do, and says so to those who may wait for it.
func (r *Register) storeAgain() {
	if r.store(); !r.stored {
		return
	}
	for _, v := range r.state.Voters {
		if v.ID != r.o.ID {
			r.sendHave(v)
		}
	}
	r.settle()
}

// storeDue tells whether a State waits to be stored.
func (r *Register) storeDue() bool { return r.known && !r.stored && r.failed == nil }

// Failed gives the error of the Save that ended this node's votes.
func (r *Register) Failed() error { return r.failed }

// Unsaved gives the error of the newest Save if that left the disk as it was: this node gives no votes that have to be
// saved until a Save succeeds.
func (r *Register) Unsaved() error { return r.unsaved }

// Stored gives the newest decided slot that is on disk here, or known where there is no disk; false: there is none.
func (r *Register) Stored() (slot uint64, there bool) { return r.storedSlot, r.everStored }

// State gives the newest decided State that is known here.
func (r *Register) State() (State, bool) { return r.state.Clone(), r.known }

// Bootstrap is slot 0, for the very first start, with the same voters and value on all of them. It does nothing
// where something is known.
func (r *Register) Bootstrap(voters []Voter, value []byte) {
	if !r.known {
		r.step(r.now, func() { r.learn(State{Voters: voters, Value: value}.Clone()) })
	}
}

// Learn is told a State by somebody who knows that it is decided.
func (r *Register) Learn(now time.Duration, s State) {
	r.step(now, func() { r.learn(s.Clone()) })
}

// Ask asks for the newest State that somebody knows.
func (r *Register) Ask(now time.Duration, whom Voter) {
	r.step(now, func() { r.sendHave(whom) })
}

// step runs f and what this node then says to itself.
func (r *Register) step(now time.Duration, f func()) {
	r.now = max(r.now, now)
	if r.inside {
		f()
		return
	}
	r.inside = true
	defer func() { r.inside = false }()
	f()
	for len(r.loopback) > 0 {
		b := r.loopback[0]
		r.loopback = r.loopback[1:]
		r.receive(Voter{ID: r.o.ID}, b)
	}
}

func (r *Register) send(to Voter, m message) { r.sendAs(r.o.ID, to, m) }

// sendAs names the sender: 0 is one without a disk, whom nobody counts.
func (r *Register) sendAs(id uint64, to Voter, m message) {
	m.id = id
	b := m.encode(r.o.Name)
	if to.ID != 0 && to.ID == r.o.ID {
		r.loopback = append(r.loopback, b)
		return
	}
	r.o.Send(to, b)
}

// sendHave tells which slot is known here. Only with the identity does it say that the slot is on this disk.
func (r *Register) sendHave(to Voter) {
	if r.failed != nil {
		return
	}
	m := message{kind: have}
	if r.known {
		m.slot = r.state.Slot + 1
	}
	id := r.o.ID
	if !r.stored {
		id = 0
	}
	r.sendAs(id, to, m)
}

func (r *Register) sendState(to Voter) { r.send(to, message{kind: decided, state: r.state}) }

// Receive takes a message of another node. From is where answers go; who sent it stands in the message.
func (r *Register) Receive(now time.Duration, from Voter, msg []byte) {
	r.step(now, func() { r.receive(from, msg) })
}

func (r *Register) receive(from Voter, msg []byte) {
	name, m, err := decode(msg)
	if err != nil || name != r.o.Name {
		return
	}
	from.ID = m.id
	switch m.kind {
	case query, prepare, accept:
		r.vote(from, m)
	case told, promise, accepted, reject:
		r.answer(m)
	case decided:
		r.learn(m.state)
		r.sendHave(from)
	case have:
		switch {
		case m.slot == 0 && !r.known:
		case r.known && m.slot <= r.state.Slot:
			r.sendState(from)
			r.ask(from.ID)
		case !r.known || m.slot > r.state.Slot+1:
			r.sendHave(from)
		default:
			r.holders[m.id] = true
			r.settle()
		}
	}
}

// vote is the acceptor. Whatever is answered is on disk.
func (r *Register) vote(from Voter, m message) {
	switch {
	case r.failed != nil || r.o.ID == 0 || m.slot == 0:
		return
	case r.known && r.state.Slot >= m.slot:
		r.sendState(from)
		return
	case !r.known || r.state.Slot+1 < m.slot:
		r.sendHave(from)
		return
	case !r.stored, !r.state.Has(r.o.ID):
		return
	}
	out := message{slot: m.slot, ballot: m.ballot}
	switch {
	case m.kind == query:
		out.kind, out.other = told, r.accepted
	case m.ballot.less(r.promised):
		out.kind, out.other = reject, r.promised
	case m.kind == prepare:
		if m.ballot != r.promised {
			if !r.save(promisePayload(m.slot, m.ballot)) {
				return
			}
			r.promised = m.ballot
		}
		out.kind, out.other, out.state = promise, r.accepted, r.proposal
	default:
		if m.state.Slot != m.slot {
			return
		}
		if m.ballot != r.accepted {
			if !r.save(acceptedPayload(m.ballot, m.state)) {
				return
			}
			r.promised, r.accepted, r.proposal = m.ballot, m.ballot, m.state
		}
		out.kind = accepted
	}
	r.send(from, out)
}

// learn takes a decided State in.
func (r *Register) learn(s State) {
	if r.known && s.Slot <= r.state.Slot {
		r.checkSameValue(s)
		return
	}
	r.toStore = r.decidedRecord(s)
	r.setState(s)
	clear(r.holders)
	r.store()
	to := r.deciding
	r.spreadTo, r.deciding = nil, nil
	if len(to) > 0 {
		r.startSpread(to...)
	}
	r.o.Decided(s.Clone())
	if r.state.Slot == s.Slot {
		r.learned()
	}
}

// Tick does what is due and says when to come again; Next says it after any other step.
func (r *Register) Tick(now time.Duration) (next time.Duration) {
	r.step(now, func() {
		if r.storeDue() && r.now >= r.saveAt {
			r.storeAgain()
		}
		r.tickProposer()
		if len(r.spreadTo) > 0 && r.now >= r.spreadAt {
			r.spread()
		}
		if r.known && r.now >= r.announceAt {
			r.announce()
		}
	})
	return r.Next()
}

// Next is when Tick has something to do, if nothing else happens before.
func (r *Register) Next() time.Duration {
	next := r.nextProposer()
	if r.storeDue() {
		next = min(next, r.saveAt)
	}
	if len(r.spreadTo) > 0 {
		next = min(next, r.spreadAt)
	}
	if r.known {
		next = min(next, r.announceAt)
	}
	return next
}

// Never is the Next of a Register that has nothing to do.
const Never = time.Duration(math.MaxInt64)

// startSpread tells a State to those who have to know it, until they have it or enough tries were made.
func (r *Register) startSpread(to ...Voter) {
	r.spreadTo, r.spreadTries = nil, 0
	for _, v := range to {
		if v.ID != r.o.ID && !slices.ContainsFunc(r.spreadTo, func(w Voter) bool { return w.ID == v.ID }) {
			r.spreadTo = append(r.spreadTo, v)
		}
	}
	r.spread()
}

func (r *Register) spread() {
	r.spreadTo = slices.DeleteFunc(r.spreadTo, func(v Voter) bool { return r.holders[v.ID] })
	for _, v := range r.spreadTo {
		r.sendState(v)
	}
	r.spreadAt = r.now + min(resendAfter<<min(r.spreadTries, 5), 2*time.Second)
	if r.spreadTries++; r.spreadTries >= spreadTries && r.phase != settling {
		r.spreadTo = nil
	}
}

// announce says what is known here, to all voters after a start, later to one of them now and then: who is
// behind then catches up even if nobody proposes.
func (r *Register) announce() {
	var others []Voter
	for _, v := range r.state.Voters {
		if v.ID != r.o.ID {
			others = append(others, v)
		}
	}
	if r.announced < 4 {
		r.announceAt = r.now + 500*time.Millisecond<<r.announced
		r.announced++
	} else {
		r.announceAt = r.now + announceEvery/2 + time.Duration(r.o.Rand()*float64(announceEvery))
		if len(others) > 0 {
			others = []Voter{others[int(r.o.Rand()*float64(len(others)))]}
		}
	}
	for _, v := range others {
		r.sendHave(v)
	}
}
