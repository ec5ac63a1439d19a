package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// clockErrorPercent is the percentage that a voter adds to the length of a lease, to allow for clock drift: the rates of
	// the voter's and the holder's clocks may each be wrong by 1% (1.01/0.99 is 1.0202).
	clockErrorPercent = 3
	// reproposeAfter is the time after which the expiry of a lease is proposed again.
	reproposeAfter = time.Second
)

// counted is the timer of a lease at this voter since its last renewal.
type counted struct {
	token, renewed uint64
	since          time.Duration
	said           time.Duration // when its expiry was last proposed
}

// timekeeper times the leases at one voter by its own clock. The time of a lease starts when the voter applies its grant or
// renewal, which is later than when its holder's time starts.
type timekeeper map[string]counted

// count restarts the timer of a lease.
func (k timekeeper) count(b *StateMachine, name string, now time.Duration) {
	h := b.state.Leases[name]
	k[name] = counted{token: h.Token, renewed: h.Renewed, since: now, said: now - reproposeAfter}
}

// forget removes the timer of a lease that has ended.
func (k timekeeper) forget(b *StateMachine, name string) {
	if _, there := b.state.Leases[name]; !there {
		delete(k, name)
	}
}

// withDrift returns the time after which a voter lets a lease of a length expire.
func withDrift(length time.Duration) time.Duration {
	return length + length*clockErrorPercent/100
}

// due returns the leases whose expiry must be proposed now, up to maxOps. Each has the number of renewals at which its
// timer started, so that a later renewal makes the proposal void.
func (k timekeeper) due(b *StateMachine, now time.Duration) (all []lapse) {
	for _, name := range slices.Sorted(maps.Keys(k)) {
		c := k[name]
		if now-c.since < withDrift(b.state.Leases[name].Length) || now-c.said < reproposeAfter {
			continue
		}
		c.said = now
		k[name] = c
		if all = append(all, lapse{name, c.token, c.renewed}); len(all) == maxOps {
			break
		}
	}
	return all
}
