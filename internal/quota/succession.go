package quota

import (
	"maps"
	"slices"
	"time"

	"dunetide/internal/platform/link"
)

const (
	// floorRaiseInterval is the least time between two states that are shared only to raise floors.
	floorRaiseInterval = 100 * time.Millisecond
	// reshareAfter is how long a lead waits for the acknowledgement of its newest state before it shares another one, and
	// ignoredReshareAfter how long while the replicas ignore states.
	reshareAfter        = 50 * time.Millisecond
	ignoredReshareAfter = time.Second
	// demandKept is for how long the floors leave room for a demand that one of them held up.
	demandKept = 500 * time.Millisecond

	// reserveCapacityParts and reserveTime give how far below the level of a bucket its floor is set: at least a part of the
	// capacity, and what the rate gives in a time.
	reserveCapacityParts = 2
	reserveTime          = 250 * time.Millisecond
	// lowerReserveParts: a lower floor is shared once less than this part of the reserve is left above the newest one.
	lowerReserveParts = 2
	// raiseCapacityParts: a higher floor is shared if it is higher by this part of the capacity.
	raiseCapacityParts = 4

	// maxStatesInPlay bounds the states that a successor may find.
	maxStatesInPlay = 8
	// maxStateBytes bounds the encoding of a state. Tenants that don't fit have no floor.
	maxStateBytes = 64 << 10

	// stateVersion is the first byte of a state. A program ignores states of versions that it doesn't know.
	stateVersion   = 1
	minFloorBytes  = 4 + 8
	stateHeadBytes = 1 + 4
	// maxFloor is above the capacity of each bucket: 1e9 of the burst, and a quarter of a slack of 1.2e10.
	maxFloor = microTokens(8*maxBurst) * token
)

// floors has for each tenant a level below which its bucket will not fall; 0 for those that are missing.
type floors map[string]microTokens

// succession is what a lead has told its successors, and what it was told by its predecessors.
//
// Invariant: no bucket grants below the floor of any state that a successor may find, which are those from the newest
// acknowledged one to the newest sent one. Before the first one is acknowledged, a successor may also find a state of an
// earlier lead, which this one may not know: until then a lead grants nothing. Its first state is empty, so that it can
// be sent at once.
type succession struct {
	incarnation  uint64 // of the lead
	inherited    floors
	sequence     uint64        // of the newest state
	acknowledged uint64        // the newest state that each successor finds, if it finds no newer one
	inPlay       []sharedState // that a successor may find, oldest first
	sharedAt     time.Time     // the newest state
	nextCheck    time.Time     // when floors may be raised
	ignored      bool          // so many replicas ignore states that none can be acknowledged
}

// sharedState is a state that was sent.
type sharedState struct {
	sequence uint64
	floors   floors
}

// mayGrant reports whether no successor finds a state of an earlier lead.
func (s *succession) mayGrant(lead *Lead) bool {
	return lead.First || s.acknowledged > 0 || s.ignored
}

// acknowledge notes which states a successor can't find any more, as it finds newer ones.
func (s *succession) acknowledge(sequence uint64) {
	sequence = min(sequence, s.sequence)
	if sequence <= s.acknowledged {
		return
	}
	s.acknowledged = sequence
	s.inPlay = slices.DeleteFunc(s.inPlay, func(state sharedState) bool { return state.sequence < sequence })
}

// add notes a state that is about to be sent. If there are too many, the two oldest become one with the higher floors.
func (s *succession) add(f floors, now time.Time) {
	s.sequence++
	s.sharedAt = now
	s.inPlay = append(s.inPlay, sharedState{s.sequence, f})
	if len(s.inPlay) > maxStatesInPlay {
		for tenant, floor := range s.inPlay[0].floors {
			s.inPlay[1].floors[tenant] = max(s.inPlay[1].floors[tenant], floor)
		}
		s.inPlay = slices.Delete(s.inPlay, 0, 1)
	}
}

// floorOf returns the level below which a tenant's bucket must not fall.
func (s *succession) floorOf(tenant string) microTokens {
	if s.ignored {
		return 0
	}
	highest := microTokens(0)
	for _, state := range s.inPlay {
		highest = max(highest, state.floors[tenant])
	}
	return highest
}

// newestFloorOf returns a tenant's floor in the newest state.
func (s *succession) newestFloorOf(tenant string) microTokens {
	return s.inPlay[len(s.inPlay)-1].floors[tenant]
}

// successionOf returns the succession of a lead, with its first state sent and the newest one sent anew if it was not
// acknowledged for long.
func (c *counter) successionOf(lead *Lead, now time.Time) *succession {
	s := c.successions[lead.Partition]
	if s == nil || s.incarnation != lead.Incarnation {
		s = &succession{incarnation: lead.Incarnation, inherited: readState(lead.Inherited)}
		c.successions[lead.Partition] = s
		c.share(s, lead, now)
	}
	s.ignored = lead.StatesIgnored
	s.acknowledge(lead.SharedSequence)
	waited := now.Sub(s.sharedAt)
	if s.acknowledged == s.sequence || waited < reshareAfter || s.ignored && waited < ignoredReshareAfter {
		return s
	}
	c.share(s, lead, now)
	return s
}

// share sends the floors of the tenants of a lead.
func (c *counter) share(s *succession, lead *Lead, now time.Time) {
	next := floors{}
	if s.acknowledged > 0 && !s.ignored {
		next = c.floorsUnder(s, lead, now)
	}
	state := encodeState(next)
	s.add(next, now)
	s.nextCheck = now.Add(floorRaiseInterval)
	statesShared.Inc()
	c.leadership.Share(lead.Partition, lead.Incarnation, s.sequence, state)
}

// floorsUnder returns the floors that may be shared of the tenants of a lead. Those that were inherited are passed on for
// a while if a tenant has not been in use since.
func (c *counter) floorsUnder(s *succession, lead *Lead, now time.Time) floors {
	next := floors{}
	if now.Sub(bucketsFrom(lead)) < 2*c.slack.Window {
		maps.Copy(next, s.inherited)
	}
	for tenant, a := range c.accounts {
		if !a.under(lead) {
			continue
		}
		delete(next, tenant)
		if floor := a.possibleFloor(c.ms(now), now); floor > 0 {
			next[tenant] = floor
		}
	}
	return next
}

// shareAsNeeded shares new floors if the one of an account that was just used is near its level, or now and then if some
// floor may rise.
func (c *counter) shareAsNeeded(s *succession, lead *Lead, tenant string, a *account, now time.Time) {
	if s.acknowledged == 0 || s.ignored {
		return
	}
	newest := s.newestFloorOf(tenant)
	isLow := newest > 0 && a.bucket.level-newest < max(a.reserve()/lowerReserveParts, a.heldUp(now))
	if isLow || s.sequence == 1 || !now.Before(s.nextCheck) && c.mayRaise(s, lead, now) {
		c.share(s, lead, now)
	}
}

// mayRaise reports whether the floor of some tenant of a lead can be much higher than the newest one.
func (c *counter) mayRaise(s *succession, lead *Lead, now time.Time) bool {
	s.nextCheck = now.Add(floorRaiseInterval)
	for tenant, a := range c.accounts {
		if !a.under(lead) {
			continue
		}
		if a.possibleFloor(c.ms(now), now)-s.newestFloorOf(tenant) >= a.bucket.capacity/raiseCapacityParts {
			return true
		}
	}
	return false
}

// under reports whether an account belongs to a lead.
func (a *account) under(lead *Lead) bool {
	return a.lead == lead.Incarnation && a.partition == lead.Partition
}

// reserve returns how far below the level of an account its floor is set.
func (a *account) reserve() microTokens {
	return max(a.bucket.capacity/reserveCapacityParts, a.bucket.rate/msPerS*microTokens(reserveTime.Milliseconds()))
}

// heldUp returns what a demand wanted that a floor held up lately.
func (a *account) heldUp(now time.Time) microTokens {
	if now.Sub(a.heldUpAt) > demandKept {
		return 0
	}
	return a.heldUpTokens
}

// possibleFloor returns the floor of an account that may be shared.
func (a *account) possibleFloor(nowMs int64, now time.Time) microTokens {
	a.bucket.advance(nowMs)
	reserve := a.reserve()
	return max(0, a.bucket.level-max(reserve, a.heldUp(now)+reserve/lowerReserveParts))
}

// encodeState returns the encoding of a state. Tenants that don't fit are removed.
func encodeState(f floors) []byte {
	tenants := slices.Sorted(maps.Keys(f))
	size := stateHeadBytes
	kept := tenants[:0]
	for _, tenant := range tenants {
		if size+minFloorBytes+len(tenant) > maxStateBytes {
			delete(f, tenant)
			continue
		}
		size += minFloorBytes + len(tenant)
		kept = append(kept, tenant)
	}
	w := link.Writer{Buf: make([]byte, 0, size)}
	w.U8(stateVersion)
	w.U32(uint32(len(kept)))
	for _, tenant := range kept {
		w.String(tenant)
		w.U64(uint64(f[tenant]))
	}
	return w.Buf
}

// readState decodes a state; nil if it is truncated, malformed or of another version.
func readState(state []byte) floors {
	r := link.Reader{Buf: state}
	if len(state) > maxStateBytes || r.U8() != stateVersion {
		return nil
	}
	read := floors{}
	for range r.Count(minFloorBytes) {
		tenant, floor := r.String(), r.U64()
		if floor > uint64(maxFloor) {
			return nil
		}
		read[tenant] = microTokens(floor)
	}
	if r.Err != nil || len(r.Buf) > 0 {
		return nil
	}
	return read
}
