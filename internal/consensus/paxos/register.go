package paxos

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
)

// Options configure a Register and connect it to its process.
type Options struct {
	// Name is the register's name, the same on all nodes.
	Name string
	// ID is the identity stored on this process's disk; 0 for a process without a disk, which never votes.
	ID uint64
	// ProposerID makes proposal numbers unique. It is drawn at random at each start of the process and must not be 0.
	ProposerID uint64
	// Save makes the record durable before it returns; nil saves nothing. An ErrNotSaved means that the disk is
	// unchanged, and Save is called again. After any other error the contents of the disk are unknown, and the Register
	// stops voting.
	Save func(record []byte) error
	// Send may lose, duplicate, delay and reorder messages. The Voter serves as an address; its ID may be 0.
	Send func(to Voter, msg []byte)
	// OnDecided is called with each decided State that is newer than the one before; nil disables it.
	OnDecided func(State)
	// Rand returns numbers in [0, 1); nil selects math/rand.
	Rand func() float64
}

// Never is the NextTick of a Register that has no timer set.
const Never = time.Duration(math.MaxInt64)

// Register is one replicated register, as one process sees it.
type Register struct {
	options Options
	now     time.Duration

	// The newest decided State, if known is set. Its voters decide the next slot.
	known bool
	state State

	storage
	acceptor
	learner
	proposer

	inStep   bool
	loopback [][]byte // messages from this node to itself
}

// New returns a Register with the state of the records that Save stored, in order; an ErrCorrupt names the record that
// can't be read. OnDecided is not called for the State in these records: see State.
func New(options Options, saved [][]byte) (*Register, error) {
	if options.Save == nil {
		options.Save = func([]byte) error { return nil }
	}
	if options.OnDecided == nil {
		options.OnDecided = func(State) {}
	}
	if options.Rand == nil {
		options.Rand = rand.Float64
	}
	if options.ProposerID == 0 {
		return nil, errs.New("agree: ProposerID is 0: draw a random one at each start")
	}
	r := &Register{options: options, learner: learner{storedBy: map[uint64]bool{}}}
	for i, b := range saved {
		if err := r.load(b); err != nil {
			err = fmt.Errorf("record %d of %d of register %s: %w", i+1, len(saved), options.Name, err)
			return nil, ErrCorrupt.Wrap(err)
		}
	}
	if r.known {
		r.markStored()
	}
	return r, nil
}

// State returns the newest decided State known to this node; false if none is known.
func (r *Register) State() (State, bool) { return r.state.Clone(), r.known }

// Receive processes a message from another node. Answers go to the address in from; the sender's ID is taken from the
// message.
func (r *Register) Receive(now time.Duration, from Voter, msg []byte) {
	r.step(now, func() { r.receive(from, msg) })
}

// Tick performs the work that is due and returns NextTick.
func (r *Register) Tick(now time.Duration) (next time.Duration) {
	r.step(now, func() {
		if r.storeDue() && r.now >= r.saveNotBefore {
			r.retryStore()
		}
		r.tickProposer()
		r.tickLearner()
	})
	return r.NextTick()
}

// NextTick returns the time at which Tick next has work to do; Never if there is none. Any step may change it.
func (r *Register) NextTick() time.Duration {
	next := min(r.nextProposerTick(), r.nextLearnerTick())
	if r.storeDue() {
		next = min(next, r.saveNotBefore)
	}
	return next
}

// step runs f, then delivers the messages that this node has sent to itself. Times never decrease from one step to the
// next.
func (r *Register) step(now time.Duration, f func()) {
	r.now = max(r.now, now)
	if r.inStep {
		f()
		return
	}
	r.inStep = true
	defer func() { r.inStep = false }()
	f()
	for len(r.loopback) > 0 {
		b := r.loopback[0]
		r.loopback = r.loopback[1:]
		r.receive(Voter{ID: r.options.ID}, b)
	}
}

func (r *Register) send(to Voter, m message) { r.sendAs(r.options.ID, to, m) }

// sendAs sends a message with the given sender ID; with 0 the message counts in no quorum.
func (r *Register) sendAs(sender uint64, to Voter, m message) {
	m.sender = sender
	b := m.encode(r.options.Name)
	if to.ID != 0 && to.ID == r.options.ID {
		r.loopback = append(r.loopback, b)
		return
	}
	r.options.Send(to, b)
}

func (r *Register) receive(from Voter, msg []byte) {
	name, m, err := decodeMessage(msg)
	if err != nil || name != r.options.Name {
		return // treated as a lost message
	}
	from.ID = m.sender
	switch m.kind {
	case messageQuery, messagePrepare, messageAccept:
		r.receiveRequest(from, m)
	case messageQueryReply, messagePromise, messageAccepted, messageReject:
		r.receiveAnswer(m)
	case messageDecided:
		r.learn(m.state)
		r.sendProgress(from)
	case messageProgress:
		r.receiveProgress(from, m)
	}
}
