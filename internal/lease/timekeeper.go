package lease

import (
	"maps"
	"slices"
	"time"
)

const (
	// clockErrorPercent: a voter counts a lease longer by 3%, for two clocks whose rates are each
	// wrong by up to 1% (1.01/0.99 is 1.0202).
	clockErrorPercent = 3
	// sayAgain is when it is proposed again that a lease has run out.
	sayAgain = time.Second
)

// counted is for how long a lease has been counted here, as it was renewed last.
type counted struct {
	token, renewed uint64
	since          time.Duration
	said           time.Duration // when it was proposed last that it has run out
}

// timekeeper is the time of leases at one voter, by its own clock: from when it has applied a
// grant or a renewal, which is after it was asked for.
type timekeeper map[string]counted

// count begins the time of a lease anew.
func (k timekeeper) count(b *Book, name string, now time.Duration) {
	h := b.state.Leases[name]
	k[name] = counted{token: h.Token, renewed: h.Renewed, since: now, said: now - sayAgain}
}

// forget ends the time of one that nobody has any more.
func (k timekeeper) forget(b *Book, name string) {
	if _, there := b.state.Leases[name]; !there {
		delete(k, name)
	}
}

// longer is how long a voter counts a lease.
func longer(length time.Duration) time.Duration {
	return length + length*clockErrorPercent/100
}

// due are leases that have run out, to be proposed as such: each only as it was renewed last when
// its time began.
func (k timekeeper) due(b *Book, now time.Duration) (all []lapse) {
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
