package paxos

import (
	"slices"
	"time"
)

const (
	// learnerSendInterval is the pause after a State is first sent to its learners; it doubles with each resend, up to
	// maxLearnerSendInterval.
	learnerSendInterval    = minResendInterval
	maxLearnerSendInterval = 2 * time.Second
	maxLearnerSendDoubling = 5
	// maxLearnerSends is how many times a State is sent to learners that don't confirm it.
	maxLearnerSends = 6

	// The first initialAnnouncements after a start are sent at intervals that double from firstAnnounceInterval on.
	// Later ones are announceInterval apart on average.
	firstAnnounceInterval = 500 * time.Millisecond
	initialAnnouncements  = 4
	announceInterval      = 5 * time.Second
)

// learner is the learner role of a Register. It also distributes decided States to the nodes that need them.
type learner struct {
	storedBy map[uint64]bool // voters known to have stored the newest State

	// learners are the nodes to which the newest State is sent until they confirm that they have stored it.
	learners      []Voter
	learnerSends  int
	learnerSendAt time.Duration

	announceAt    time.Duration
	announcements int
}

// Bootstrap sets slot 0 at the very first start; it must be called with the same voters and value on all voters. It has
// no effect if a State is known.
func (r *Register) Bootstrap(voters []Voter, value []byte) {
	if !r.known {
		r.step(r.now, func() { r.learn(State{Voters: voters, Value: value}.Clone()) })
	}
}

// Learn processes a decided State. The caller must not pass a State that is not decided.
func (r *Register) Learn(now time.Duration, s State) {
	r.step(now, func() { r.learn(s.Clone()) })
}

// RequestState requests the newest State known to a node.
func (r *Register) RequestState(now time.Duration, from Voter) {
	r.step(now, func() { r.sendProgress(from) })
}

// learn processes a decided State. It ends all work of the Register on slots up to that State's slot.
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

// installState makes a decided State the current one, whose voters decide the next slot. It resets the acceptor, whose
// promise and accepted proposal applied only to the slot that is now decided.
func (r *Register) installState(s State) {
	r.known, r.state = true, s
	r.acceptor = acceptor{}
}

// sendProgress reports the newest slot known to this node. The message carries this node's ID only if that slot is on
// disk. A node that knows a newer State answers with it.
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

// receiveProgress brings the node that is behind up to date, which may be the sender or this node.
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

// notifyLearners sends the newest State to the given nodes, until they have confirmed it or maxLearnerSends is reached.
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

// announce reports the newest known slot to the other voters: to all of them after a start, later periodically to a
// random one. This lets a node that is behind catch up even if there are no proposals.
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
