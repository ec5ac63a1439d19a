package quorum

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

// troubles play one trouble after the other.
func (m *model) troubles() {
	k := m.anyKeeper()
	length := 300*ms + m.upTo(6*time.Second)
	switch m.rnd.IntN(11) {
	case 0:
		m.cutOff(k, true, true, length)
	case 1:
		m.cutOff(k, m.rnd.IntN(2) == 0, true, length)
	case 2: // each second
		for at := time.Duration(0); at < length; at += time.Second {
			m.after(at, func() { m.cutOff(k, true, true, 500*ms) })
		}
	case 3:
		m.freeze(k, length)
	case 4: // frozen, and cut off when it wakes
		m.freeze(k, length)
		m.after(m.upTo(length), func() { m.cutOff(k, true, true, length+2*time.Second) })
	case 5:
		k.restart(m.upTo(time.Second))
	case 6:
		m.stepDay(k)
	case 7: // while it is cut off
		m.cutOff(k, m.rnd.IntN(2) == 0, true, length)
		m.after(m.upTo(length), func() { m.stepDay(k) })
	case 8: // the disk of any keeper, while one is cut off
		m.cutOff(m.anyKeeper(), true, true, length)
		m.after(m.upTo(length), k.wipe)
	case 9: // the same with who votes
		m.cutOff(k, true, m.rnd.IntN(2) == 0, length)
		m.after(m.upTo(length), m.plannedChange)
	default:
		m.wipeAtAnswer = true
	}
	m.after(m.upTo(4*time.Second), m.troubles)
}

// cutOff cuts a keeper off from all others: what it sends, what it is sent, or both.
func (m *model) cutOff(k *modelKeeper, from, to bool, length time.Duration) {
	set := func(cut bool) {
		for j := range m.keepers {
			if j != k.i {
				m.cut[k.i][j] = from && cut
				m.cut[j][k.i] = to && cut
			}
		}
	}
	set(true)
	m.after(length, func() { set(false) })
}

func (m *model) freeze(k *modelKeeper, length time.Duration) {
	if !k.up || k.frozen {
		return
	}
	life := k.life
	k.frozen = true
	m.after(length, func() {
		if k.life == life {
			k.thaw()
		}
	})
}

// confirmedHere brings the loss of a disk about that waits for an answer: what it has sent is on its way, and the others start
// again.
func (k *modelKeeper) confirmedHere() {
	m := k.m
	if !m.wipeAtAnswer || m.changing {
		return
	}
	m.wipeAtAnswer = false
	m.after(0, func() {
		k.wipe()
		for _, other := range m.keepers {
			if other != k {
				other.restart(m.upTo(300 * ms))
			}
		}
	})
}

// restart kills a keeper, which is there again on its disk after a while.
func (k *modelKeeper) restart(after time.Duration) {
	k.kill()
	life := k.life
	k.m.after(after, func() {
		if k.life == life {
			k.start()
			k.do(func() {})
		}
	})
}

// wipe empties a keeper's disk. It comes back as another voter, which takes the place of the one that it was.
func (k *modelKeeper) wipe() {
	if k.m.changing {
		return
	}
	k.m.wiped++
	k.payloads = nil
	k.id = k.m.nextIdentity()
	k.restart(k.m.upTo(300 * ms))
	k.m.changeVoters(func(cur paxos.State) (paxos.State, bool) {
		for _, voter := range cur.Voters {
			if voter.Name == k.voter().Name {
				return cur.WithReplacement(voter.ID, k.voter())
			}
		}
		return cur, false
	})
}

// changeVoters has any keeper propose a change until one has been told that it is decided, or not needed.
func (m *model) changeVoters(change func(cur paxos.State) (next paxos.State, changed bool)) {
	m.changing = true
	proposer, decided := m.anyKeeper(), false
	proposer.do(func() {
		proposer.register.Propose(proposer.clock(), time.Second, func(cur paxos.State) (paxos.State, error) {
			next, changed := change(cur)
			if !changed {
				return cur, paxos.ErrUnchanged
			}
			return next, nil
		}, func(_ paxos.State, err error) { decided = err == nil })
	})
	m.after(1100*ms, func() {
		if !decided {
			m.changeVoters(change)
			return
		}
		m.changing = false
		m.changed++
	})
}

// plannedChange has a keeper vote in the place of another one, besides the others, or no longer.
func (m *model) plannedChange() {
	if m.changing {
		return
	}
	joiner, leaver, draw := m.anyKeeper(), m.anyKeeper(), m.rnd.IntN(3)
	m.changeVoters(func(cur paxos.State) (paxos.State, bool) {
		switch {
		case draw == 0:
			return cur.WithReplacement(leaver.id, joiner.voter())
		case draw == 1 && len(cur.Voters) > modelVoters:
			return cur.WithoutVoter(leaver.id)
		default:
			return cur.WithVoter(joiner.voter())
		}
	})
}

// stepDay sets the time of day of a machine, back or forward.
func (m *model) stepDay(k *modelKeeper) {
	k.day += m.upTo(2*time.Hour) - time.Hour
	m.stepped++
}
