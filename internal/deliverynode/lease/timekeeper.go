package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// clockErrorPercent is by how much longer a voter counts a lease, in percent, to allow for the clocks of voter and
	// holder: the rate of each may be wrong by 1% (1.01/0.99 is 1.0202).
	clockErrorPercent = 3
	// sayAgain is the time after which the expiry of a lease is proposed again.
	sayAgain = time.Second
)

// counted is the time of a lease at this voter since its last renewal.
type counted struct {
	token, renewed uint64
	since          time.Duration
	said           time.Duration // when its expiry was proposed last
}

// timekeeper counts the times of leases at one voter by its own clock. A lease is counted from when the voter has applied
// its grant or renewal, which is later than from when its holder counts it.
type timekeeper map[string]counted

// count restarts the time of a lease.
func (k timekeeper) count(b *StateMachine, name string, now time.Duration) {
	h := b.state.Leases[name]
	k[name] = counted{token: h.Token, renewed: h.Renewed, since: now, said: now - sayAgain}
}

// forget removes the time of a lease that has ended.
func (k timekeeper) forget(b *StateMachine, name string) {
	if _, there := b.state.Leases[name]; !there {
		delete(k, name)
	}
}

// longer returns the time for which a voter counts a lease of a length.
func longer(length time.Duration) time.Duration {
	return length + length*clockErrorPercent/100
}

// due returns the leases whose expiry is to be proposed now, up to maxOps. Each has the number of renewals from which its
// time was counted, so that a later renewal makes the proposal void.
func (k timekeeper) due(b *StateMachine, now time.Duration) (all []lapse) {
	for _, name := range slices.Sorted(maps.Keys(k)) {
		c := k[name]
		if now-c.since < longer(b.state.Leases[name].Length) || now-c.said < sayAgain {
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
