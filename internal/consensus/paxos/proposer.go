package paxos

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

type phase uint8

const (
	idle      phase = iota
	clueless        // no State is known yet
	waiting         // until wakeAt, after a conflict
	querying        // a read: is there something newer?
	preparing       //
	accepting       //
	settling        // decided; the new voters store it
)

// operation is one Propose or Read.
type operation struct {
	read     bool
	change   func(State) (State, error)
	done     func(State, error)
	deadline time.Duration
	number   uint64
	// What was proposed, and may be decided by whoever finds it. For one slot an operation proposes one State.
	proposed bool
	moved    bool // its voters are others than those of the slot before
	next     State
	tries    int
}

// proposer is the part of a Register that asks the voters, for one operation at a time.
type proposer struct {
	queue   []*operation
	op      *operation
	number  uint64
	round   uint64 // the newest that was used or heard of
	phase   phase
	slot    uint64
	ballot  ballot
	voted   map[uint64]bool // who said yes
	refused map[uint64]bool // who said no
	best    ballot          // the newest of what those who promised had accepted
	value   State           // that, or what is to be accepted

	deciding []Voter // who is to learn what this proposer has just had decided

	since       time.Duration // of the phase
	slowest     time.Duration // phase that was seen
	wakeAt      time.Duration
	resendAt    time.Duration
	resendEvery time.Duration
}

// Propose is a linearizable change: it finds the newest State, calls change with it, and has what change returns
// decided as the next one. Change is called once for a slot, and again when another proposal took the slot. Its
// error ends the proposal; ErrUnchanged ends it with the State it was called with. The new State's Slot is set here.
func (r *Register) Propose(now, timeout time.Duration, change func(cur State) (next State, err error), done func(State, error)) {
	r.step(now, func() { r.enqueue(&operation{change: change, done: done, deadline: r.now + timeout}) })
}

// Read is a linearizable read: a majority confirms that there is nothing newer.
func (r *Register) Read(now, timeout time.Duration, done func(State, error)) {
	r.step(now, func() { r.enqueue(&operation{read: true, done: done, deadline: r.now + timeout}) })
}

func (r *Register) enqueue(op *operation) {
	if len(r.queue) >= maxQueued {
		op.done(State{}, ErrBusy.New("register %s has %d", r.o.Name, len(r.queue)))
		return
	}
	r.number++
	op.number = r.number
	r.queue = append(r.queue, op)
	r.startNext()
}

func (r *Register) startNext() {
	if r.op == nil && len(r.queue) > 0 {
		r.op, r.queue = r.queue[0], r.queue[1:]
		r.begin()
	}
}

func (r *Register) finish(s State, err error) {
	op := r.op
	r.op, r.phase = nil, idle
	if err == nil {
		s = s.Clone()
	}
	op.done(s, err)
	r.startNext()
}

// begin asks the voters of the newest State that is known.
func (r *Register) begin() {
	switch {
	case !r.known:
		r.phase = clueless
	case r.op.read && r.op.tries == 0:
		r.start(querying)
	default:
		r.start(preparing)
	}
}

// start begins a round: a ballot that nobody has used.
func (r *Register) start(p phase) {
	r.round++
	r.slot, r.ballot, r.best, r.value = r.state.Slot+1, ballot{r.round, r.o.Proposer}, ballot{}, State{}
	r.enter(p)
}

func (r *Register) enter(p phase) {
	r.phase, r.since = p, r.now
	r.voted, r.refused = map[uint64]bool{}, map[uint64]bool{}
	r.resendEvery = resendAfter
	r.resend()
}

// resend asks those who have not answered.
func (r *Register) resend() {
	r.resendAt = r.now + r.resendEvery
	r.resendEvery = min(2*r.resendEvery, resendMost)
	for _, v := range r.state.Voters {
		r.ask(v.ID)
	}
}

// ask sends the request of this phase to a voter that has not answered it.
func (r *Register) ask(id uint64) {
	if r.voted[id] || r.refused[id] {
		return
	}
	m := message{slot: r.slot, ballot: r.ballot}
	switch r.phase {
	case querying:
		m.kind = query
	case preparing:
		m.kind = prepare
	case accepting:
		m.kind, m.state = accept, r.value
	default:
		return
	}
	for _, v := range r.state.Voters {
		if v.ID == id {
			r.send(v, m)
		}
	}
}

func (r *Register) majority() int { return len(r.state.Voters)/2 + 1 }

// answer takes what a voter said to the request of this phase, and nothing else.
func (r *Register) answer(m message) {
	r.round = max(r.round, m.other.round)
	if r.op == nil || m.slot != r.slot || m.ballot != r.ballot || !r.state.Has(m.id) || r.slot != r.state.Slot+1 {
		return
	}
	switch {
	case m.kind == reject && (r.phase == preparing || r.phase == accepting):
		r.refused[m.id] = true
		if len(r.refused) > len(r.state.Voters)-r.majority() {
			r.backOff()
		}
		return
	case m.kind == told && r.phase == querying:
	case m.kind == promise && r.phase == preparing:
		if r.best.less(m.other) {
			r.best, r.value = m.other, m.state
		}
	case m.kind == accepted && r.phase == accepting:
	default:
		return
	}
	if m.kind == told && r.best.less(m.other) {
		r.best = m.other
	}
	r.voted[m.id] = true
	if len(r.voted) < r.majority() {
		return
	}
	r.slowest = max(r.slowest*7/8, r.now-r.since)
	switch {
	case r.phase == querying && r.best == ballot{}, r.phase == preparing && r.best == ballot{} && r.op.read:
		r.finish(r.state, nil)
	case r.phase == querying:
		r.start(preparing) // what is accepted may be decided: it is finished first
	case r.phase == preparing:
		if r.best == (ballot{}) && !r.choose() {
			return
		}
		r.enter(accepting)
	case r.phase == accepting:
		old, s := r.state.Voters, r.value
		r.deciding = slices.Concat(old, s.Voters)
		r.learn(s)
	}
}

// choose sets the value of a slot for which no majority can have accepted one.
func (r *Register) choose() bool {
	op := r.op
	if !op.proposed {
		asked := r.ballot
		next, err := op.change(r.state.Clone())
		if r.op != op || r.ballot != asked {
			return false // it called the Register
		}
		if errors.Is(err, ErrUnchanged) {
			r.finish(r.state, nil)
			return false
		}
		if err == nil {
			err = checkVoters(next.Voters)
		}
		if err != nil {
			r.finish(State{}, err)
			return false
		}
		next.Slot = r.slot
		next.marks = append(r.state.Clone().marks, mark{r.o.Proposer, op.number})
		next.marks = next.marks[max(0, len(next.marks)-maxMarks):]
		op.next, op.proposed, op.moved = next.Clone(), true, !slices.Equal(r.state.Voters, next.Voters)
	}
	r.value = op.next
	return true
}

func checkVoters(voters []Voter) error {
	ids := map[uint64]bool{}
	for _, v := range voters {
		if v.ID == 0 || ids[v.ID] {
			return ErrVoters.New("%q at %s has identity %d", v.Name, v.Addr, v.ID)
		}
		ids[v.ID] = true
	}
	if len(voters) == 0 {
		return ErrVoters.New("there are none")
	}
	return nil
}

// maxBackOff bounds the pause after a conflict. It is well below the time that callers give an operation (0.9 s), so that
// one that begins in a conflict is tried again within it, also where a cut has made a phase look slow.
const maxBackOff = 400 * time.Millisecond

// backOff waits longer from try to try, and not less than what a phase takes on these disks, up to a bound.
func (r *Register) backOff() {
	r.op.tries++
	window := max(50*time.Millisecond, 2*r.slowest) << min(r.op.tries-1, 5)
	r.phase = waiting
	r.wakeAt = r.now + 10*time.Millisecond + time.Duration(r.o.Rand()*float64(min(window, maxBackOff)))
}

// learned goes on after a newer State is known: what the operation proposed for its slot, or one before, is
// decided or is not and never will be.
func (r *Register) learned() {
	op := r.op
	if op == nil {
		return
	}
	if op.proposed && r.state.Slot >= op.next.Slot {
		by, found := r.state.proposedBy(op.next.Slot)
		switch {
		case !found:
			r.finish(State{}, ErrTimeout.New("register %s is at slot %d, and slot %d was proposed here", r.o.Name, r.state.Slot, op.next.Slot))
			return
		case by != mark{r.o.Proposer, op.number}:
			op.proposed, op.next = false, State{}
		case r.state.Slot > op.next.Slot || !op.moved:
			// If there are other voters, a majority of them stored it before they decided the next one.
			r.finish(op.next, nil)
			return
		default:
			r.phase = settling
			if len(r.spreadTo) == 0 {
				r.startSpread(r.state.Voters...)
			}
			r.settle()
			return
		}
	}
	r.begin()
}

// settle ends a proposal that is decided when a majority of the State's own voters have stored it.
func (r *Register) settle() {
	if r.op == nil || r.phase != settling {
		return
	}
	n := 0
	for _, v := range r.state.Voters {
		if r.holders[v.ID] {
			n++
		}
	}
	if n >= r.majority() {
		r.finish(r.state, nil)
	}
}

func (r *Register) tickProposer() {
	for i := 0; i < len(r.queue); i++ {
		if op := r.queue[i]; r.now >= op.deadline {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			i--
			op.done(State{}, r.outOfTime(op))
		}
	}
	op := r.op
	if op == nil {
		return
	}
	if r.now >= op.deadline {
		r.finish(State{}, r.outOfTime(op))
		return
	}
	switch r.phase {
	case waiting:
		if r.now >= r.wakeAt {
			r.begin()
		}
	case querying, preparing, accepting:
		if r.now < r.resendAt {
			break
		}
		if len(r.refused) > 0 {
			r.backOff()
		} else {
			r.resend()
		}
	}
}

func (r *Register) outOfTime(op *operation) error {
	switch {
	case op.proposed:
		return ErrTimeout.New("register %s, slot %d was proposed", r.o.Name, op.next.Slot)
	case !r.known:
		return ErrUnknown.New("register %s", r.o.Name)
	}
	return ErrNoMajority.New("register %s, %s", r.o.Name, r.reached())
}

func (r *Register) reached() string {
	return fmt.Sprintf("slot %d, %d of %d voters answered", r.state.Slot, len(r.voted), len(r.state.Voters))
}

func (r *Register) nextProposer() time.Duration {
	next := Never
	for _, op := range r.queue {
		next = min(next, op.deadline)
	}
	if r.op == nil {
		return next
	}
	next = min(next, r.op.deadline)
	switch r.phase {
	case waiting:
		next = min(next, r.wakeAt)
	case querying, preparing, accepting:
		next = min(next, r.resendAt)
	}
	return next
}
