package paxos

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"
)

// Options are what a Register needs of its process.
type Options struct {
	// Name is the register's name, the same on all nodes.
	Name string
	// ID is the identity on this process's disk; 0: it has no disk, and never votes.
	ID uint64
	// ProposerID makes proposal numbers unique. It is drawn at random at each start of the process, and is not 0.
	ProposerID uint64
	// Save has the record on disk, durably, when it returns; nil saves nothing. After an ErrNotSaved the disk is as it
	// was, and Save is called again. After any other error it is not known what the disk holds: the Register does not
	// vote any more.
	Save func(record []byte) error
	// Send may lose, duplicate, delay and reorder messages. A Voter here is an address; it may have no ID.
	Send func(to Voter, msg []byte)
	// OnDecided is called with each decided State that is newer than the one before; nil: nobody is notified.
	OnDecided func(State)
	// Rand returns numbers in [0, 1); nil: math/rand.
	Rand func() float64
}

// Never is the NextTick of a Register that has nothing to do.
const Never = time.Duration(math.MaxInt64)

// Register is one replicated register, as one process sees it.
type Register struct {
	options Options
	now     time.Duration

	// The newest decided State, if any is known. Its voters decide the slot after it.
	known bool
	state State

	storage
	acceptor
	learner
	proposer

	inStep   bool
	loopback [][]byte // messages of this node to itself
}

// New makes a Register of the records that Save stored, in order; an ErrCorrupt says which of them can't be read.
// OnDecided isn't called for what they hold: see State.
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
		return nil, errs.New("agree: no ProposerID: draw one at each start")
	}
	r := &Register{options: options, learner: learner{storedBy: map[uint64]bool{}}}
	for i, b := range saved {
		if err := r.load(b); err != nil {
			err = fmt.Errorf("payload %d of %d of register %s: %w", i+1, len(saved), options.Name, err)
			return nil, ErrCorrupt.Wrap(err)
		}
	}
	if r.known {
		r.markStored()
	}
	return r, nil
}

// State is the newest decided State that is known here; false: none is.
func (r *Register) State() (State, bool) { return r.state.Clone(), r.known }

// Receive takes a message of another node. Answers go to the address of from; its identity stands in the message.
func (r *Register) Receive(now time.Duration, from Voter, msg []byte) {
	r.step(now, func() { r.receive(from, msg) })
}

// Tick does what is due, and returns NextTick.
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

// NextTick is when Tick has something to do, if there is no other step before. It may change with each step.
func (r *Register) NextTick() time.Duration {
	next := min(r.nextProposerTick(), r.nextLearnerTick())
	if r.storeDue() {
		next = min(next, r.saveNotBefore)
	}
	return next
}

// step runs f, and delivers the messages that this node then sends to itself. Time never goes back.
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

// sendAs names the sender: 0 is one without a disk, which no quorum counts.
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
		return // as if it were lost
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
