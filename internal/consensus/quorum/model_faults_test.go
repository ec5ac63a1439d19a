package quorum

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

// injectFaults plays one fault after the other.
func (m *model) injectFaults() {
	k := m.anyKeeper()
	length := 300*ms + m.upTo(6*time.Second)
	switch m.rng.IntN(11) {
	case 0:
		m.partition(k, true, true, length)
	case 1:
		m.partition(k, m.rng.IntN(2) == 0, true, length)
	case 2: // each second
		for at := time.Duration(0); at < length; at += time.Second {
			m.After(at, func() { m.partition(k, true, true, 500*ms) })
		}
	case 3:
		m.freeze(k, length)
	case 4: // frozen, and partitioned when it resumes
		m.freeze(k, length)
		m.After(m.upTo(length), func() { m.partition(k, true, true, length+2*time.Second) })
	case 5:
		k.restart(m.upTo(time.Second))
	case 6:
		m.stepWallClock(k)
	case 7: // while it is partitioned
		m.partition(k, m.rng.IntN(2) == 0, true, length)
		m.After(m.upTo(length), func() { m.stepWallClock(k) })
	case 8: // the disk of any keeper, while one is partitioned
		m.partition(m.anyKeeper(), true, true, length)
		m.After(m.upTo(length), k.wipe)
	case 9: // the same with a change of voters
		m.partition(k, true, m.rng.IntN(2) == 0, length)
		m.After(m.upTo(length), m.replaceVoter)
	default:
		m.wipeAtConfirmation = true
	}
	m.After(m.upTo(4*time.Second), m.injectFaults)
}

// partition cuts a keeper off from all others: what it sends, what it is sent, or both.
func (m *model) partition(k *modelKeeper, from, to bool, length time.Duration) {
	set := func(active bool) {
		for j := range m.keepers {
			if j != k.index {
				m.partitioned[k.index][j] = from && active
				m.partitioned[j][k.index] = to && active
			}
		}
	}
	set(true)
	m.After(length, func() { set(false) })
}

func (m *model) freeze(k *modelKeeper, length time.Duration) {
	if !k.up || k.frozen {
		return
	}
	incarnation := k.incarnation
	k.frozen = true
	m.After(length, func() {
		if k.incarnation == incarnation {
			k.thaw()
		}
	})
}

// wipeAfterConfirmation loses the disk right after a confirmation, where wipeAtConfirmation is set: what the keeper has
// sent is in flight, and the others restart.
func (k *modelKeeper) wipeAfterConfirmation() {
	m := k.model
	if !m.wipeAtConfirmation || m.changePending {
		return
	}
	m.wipeAtConfirmation = false
	m.After(0, func() {
		k.wipe()
		for _, other := range m.keepers {
			if other != k {
				other.restart(m.upTo(300 * ms))
			}
		}
	})
}

// restart kills a keeper, which starts again on its disk after a while.
func (k *modelKeeper) restart(after time.Duration) {
	k.kill()
	incarnation := k.incarnation
	k.model.After(after, func() {
		if k.incarnation == incarnation {
			k.start()
			k.run(func() {})
		}
	})
}

// wipe empties a keeper's disk. It comes back as another voter, which takes the place of the one that it was.
func (k *modelKeeper) wipe() {
	if k.model.changePending {
		return
	}
	k.model.wiped++
	k.records = nil
	k.id = k.model.nextIdentity()
	k.restart(k.model.upTo(300 * ms))
	k.model.changeVoters(func(cur paxos.State) (paxos.State, bool) {
		for _, voter := range cur.Voters {
			if voter.Name == k.voter().Name {
				return cur.WithReplacement(voter.ID, k.voter())
			}
		}
		return cur, false
	})
}

// changeVoters has any keeper propose a change until one is notified that it is decided, or not needed.
func (m *model) changeVoters(change func(cur paxos.State) (next paxos.State, changed bool)) {
	m.changePending = true
	proposer, decided := m.anyKeeper(), false
	proposer.run(func() {
		proposer.register.Propose(proposer.clock(), time.Second, func(cur paxos.State) (paxos.State, error) {
			next, changed := change(cur)
			if !changed {
				return cur, paxos.ErrUnchanged
			}
			return next, nil
		}, func(_ paxos.State, err error) { decided = err == nil })
	})
	m.After(1100*ms, func() {
		if !decided {
			m.changeVoters(change)
			return
		}
		m.changePending = false
		m.changed++
	})
}

// replaceVoter has a keeper vote in the place of another one, besides the others, or no longer.
func (m *model) replaceVoter() {
	if m.changePending {
		return
	}
	joiner, leaver, draw := m.anyKeeper(), m.anyKeeper(), m.rng.IntN(3)
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

// stepWallClock sets the wall clock of a machine, back or forward.
func (m *model) stepWallClock(k *modelKeeper) {
	k.wallClockOffset += m.upTo(2*time.Hour) - time.Hour
	m.clockSteps++
}
