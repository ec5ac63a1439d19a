package paxos

import (
	"slices"
	"time"
)

const (
	// learnerSendInterval is the pause after the first sending of a State to its learners; it doubles from one to the
	// next, up to maxLearnerSendInterval.
	learnerSendInterval    = minResendInterval
	maxLearnerSendInterval = 2 * time.Second
	maxLearnerSendDoubling = 5
	// maxLearnerSends bounds how often a State is sent to learners that don't confirm it.
	maxLearnerSends = 6

	// The first announcements after a start come at pauses that double, beginning with firstAnnounceInterval. From then
	// on they are announceInterval apart, on average.
	firstAnnounceInterval = 500 * time.Millisecond
	initialAnnouncements  = 4
	announceInterval      = 5 * time.Second
)

// learner has decided States reach those that have to know them.
type learner struct {
	storedBy map[uint64]bool // voters that are known to have stored the newest State

	// The newest State is sent to learners until they confirm that they have stored it.
	learners      []Voter
	learnerSends  int
	learnerSendAt time.Duration

	announceAt    time.Duration
	announcements int
}

// Bootstrap makes slot 0 known, for the very first start, with the same voters and value on all of them. It does
// nothing where a State is known.
func (r *Register) Bootstrap(voters []Voter, value []byte) {
	if !r.known {
		r.step(r.now, func() { r.learn(State{Voters: voters, Value: value}.Clone()) })
	}
}

// Learn takes in a State that is decided; only decided ones may be given.
func (r *Register) Learn(now time.Duration, s State) {
	r.step(now, func() { r.learn(s.Clone()) })
}

// RequestState requests the newest State that a node knows.
func (r *Register) RequestState(now time.Duration, from Voter) {
	r.step(now, func() { r.sendProgress(from) })
}

// learn takes in a decided State. It ends all that the Register was doing for the slots up to it.
func (r *Register) learn(s State) {
	if r.known && s.Slot <= r.state.Slot {
		r.checkSameValue(s)
		return
	}
	r.pendingRecord = r.decidedRecord(s)
	r.installState(s)
	clear(r.storedBy)
	r.storeState()
	learners := r.decidedLearners
	r.learners, r.decidedLearners = nil, nil
	if len(learners) > 0 {
		r.notifyLearners(learners...)
	}
	r.options.OnDecided(s.Clone())
	if r.state.Slot == s.Slot { // OnDecided may have called Learn
		r.resumeAfterLearning()
	}
}

// installState makes a decided State the one whose voters decide the next slot. Promises were for that slot alone.
func (r *Register) installState(s State) {
	r.known, r.state = true, s
	r.acceptor = acceptor{}
}

// sendProgress reports which slot is known here. Only with this node's identity does it say that the slot is on disk.
// A node that knows a newer State answers with it.
func (r *Register) sendProgress(to Voter) {
	if r.fatalError != nil {
		return
	}
	m := message{kind: messageProgress}
	if r.known {
		m.slot = r.state.Slot + 1
	}
	sender := r.options.ID
	if !r.stateStored {
		sender = 0
	}
	r.sendAs(sender, to, m)
}

func (r *Register) sendState(to Voter) { r.send(to, message{kind: messageDecided, state: r.state}) }

// receiveProgress brings whoever is behind up to date: its sender, or this node.
func (r *Register) receiveProgress(from Voter, m message) {
	switch {
	case m.slot == 0 && !r.known:
	case r.known && m.slot <= r.state.Slot:
		r.sendState(from)
		r.sendRequest(from.ID)
	case !r.known || m.slot > r.state.Slot+1:
		r.sendProgress(from)
	default:
		r.storedBy[m.sender] = true
		r.finishIfNewVotersStored()
	}
}

// notifyLearners sends the newest State to nodes that have to know it, until they have confirmed it or it was sent
// often enough.
func (r *Register) notifyLearners(learners ...Voter) {
	r.learners, r.learnerSends = nil, 0
	for _, learner := range learners {
		listed := slices.ContainsFunc(r.learners, func(other Voter) bool { return other.ID == learner.ID })
		if learner.ID != r.options.ID && !listed {
			r.learners = append(r.learners, learner)
		}
	}
	r.sendToLearners()
}

func (r *Register) sendToLearners() {
	r.learners = slices.DeleteFunc(r.learners, func(v Voter) bool { return r.storedBy[v.ID] })
	for _, learner := range r.learners {
		r.sendState(learner)
	}
	interval := learnerSendInterval << min(r.learnerSends, maxLearnerSendDoubling)
	r.learnerSendAt = r.now + min(interval, maxLearnerSendInterval)
	r.learnerSends++
	if r.learnerSends >= maxLearnerSends && r.phase != phaseNewVoters {
		r.learners = nil
	}
}

// announce reports what is known here, to all voters after a start, later to one of them now and then: a node that is
// behind then catches up even if nobody proposes.
func (r *Register) announce() {
	var others []Voter
	for _, voter := range r.state.Voters {
		if voter.ID != r.options.ID {
			others = append(others, voter)
		}
	}
	if r.announcements < initialAnnouncements {
		r.announceAt = r.now + firstAnnounceInterval<<r.announcements
		r.announcements++
	} else {
		spread := time.Duration(r.options.Rand() * float64(announceInterval))
		r.announceAt = r.now + announceInterval/2 + spread
		if len(others) > 0 {
			others = []Voter{others[int(r.options.Rand()*float64(len(others)))]}
		}
	}
	for _, voter := range others {
		r.sendProgress(voter)
	}
}

func (r *Register) tickLearner() {
	if len(r.learners) > 0 && r.now >= r.learnerSendAt {
		r.sendToLearners()
	}
	if r.known && r.now >= r.announceAt {
		r.announce()
	}
}

func (r *Register) nextLearnerTick() time.Duration {
	next := Never
	if len(r.learners) > 0 {
		next = min(next, r.learnerSendAt)
	}
	if r.known {
		next = min(next, r.announceAt)
	}
	return next
}
