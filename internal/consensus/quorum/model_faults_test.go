package quorum

import (
	"time"

	"dunetide/internal/consensus/paxos"
)

// injectFaults injects one random fault, and schedules the next.
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

// partition drops the messages between a keeper and all others: those that it sends (from), those sent to it (to), or
// both.
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
			k.unfreeze()
		}
	})
}

// wipeAfterConfirmation wipes the disk right after a confirmation if wipeAtConfirmation is set. The keeper's messages
// are still in flight, and the other keepers restart.
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

// restart kills a keeper and starts it again on its disk after the given time.
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

// wipe empties a keeper's disk. The keeper restarts with a new voter ID, which replaces its old one among the voters.
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

// changeVoters has random keepers propose a change until a proposal ends without an error.
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

// replaceVoter proposes a random change of voters: a replacement, a removal or an addition.
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

// stepWallClock steps the wall clock of a machine by up to an hour, back or forward.
func (m *model) stepWallClock(k *modelKeeper) {
	k.wallClockOffset += m.upTo(2*time.Hour) - time.Hour
	m.clockSteps++
}
