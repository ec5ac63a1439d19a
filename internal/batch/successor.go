package batch

import (
	"bytes"
	"cmp"
	"slices"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// A new primary learns from its replicas what they remember of earlier leads: until when one may have been confirmed,
// and the newest state that one has shared with its replicas. Each replica reports that right before its promise.
//
// Until when an earlier lead may have been confirmed. A confirmation needs f+1 of the group, the primary included, and
// a takeover R-f, so one member M is among both. If M is a replica that confirmed, it answered after the stamp was
// taken, and remembers when. If M is the old primary, it remembers its newest confirmation from when it stepped down.
// If M has started since, its start is later than either. Its promise excludes any later confirmation. All of this is
// about leads whose confirmations needed this group of replicas. Those of other groups ended with the change to this
// group at the latest, which was before this process saw a table with it.
//
// Which state may be inherited. Let Y be the newest that was found, and X a newer one that f+1 members hold. One of
// them, M, has promised too. Y lists the processes that had promised to its primary when it was sent, and is inherited
// only if it lists that of each member that has promised now. So M has been running since before its promise to the
// lead of Y. M got X after that: X is of the same lead and was sent after Y, or M follows the later lead of X since it
// promised to do so, and it makes its promises in the order of terms. M therefore still has X, and would have reported
// it, so there is no X. This holds only for X that f+1 of this group have to hold, so Y must be from an epoch since
// when this group has been the group of the partition, or the next one. A lead after that of Y that shared nothing may
// have been confirmed; one of its f+1 members has promised and reports its term, so then nothing is inherited either.

const (
	// maxLeadStateBytes bounds the state of a lead.
	maxLeadStateBytes = 64 << 10
	// clockRateDivisor says how far the rates of two clocks may differ: by less than 1 in this many.
	clockRateDivisor = 50
	// maxLeadAgeMs bounds the ages in reports; it is far longer than any process runs.
	maxLeadAgeMs = 1 << 40
)

// leadState is a state that a lead has shared. It is not modified.
type leadState struct {
	incarnation uint64 // of the lead
	sequence    uint64 // number within the lead
	term        uint64 // in which this copy was sent
	processes   []storeProcess
	state       []byte
}

// storeProcess is a process of a store. The state of a lead lists those that had promised to follow the term when it
// was sent, and that of the primary.
type storeProcess struct {
	store   uint64
	process uint64
}

// compareLeadStates compares the ages of two states: the newer one is the greater one, and nil is less than all.
func compareLeadStates(a, b *leadState) int {
	switch {
	case a == nil && b == nil:
		return 0
	case a == nil:
		return -1
	case b == nil:
		return 1
	}
	return cmp.Or(cmp.Compare(a.incarnation, b.incarnation), cmp.Compare(a.sequence, b.sequence))
}

func (s *leadState) appendTo(w *link.Writer) {
	w.U64(s.incarnation)
	w.U64(s.sequence)
	w.U64(s.term)
	w.U32(uint32(len(s.processes)))
	for _, p := range s.processes {
		w.U64(p.store)
		w.U64(p.process)
	}
	w.Bytes(s.state)
}

func (s *leadState) encodedLength() int {
	const fixed, perProcess = 32, 16
	return fixed + perProcess*len(s.processes) + len(s.state)
}

// decodeLeadState decodes a state; nil if it is truncated or too large.
func decodeLeadState(r *link.Reader) *leadState {
	const perProcess = 16
	s := &leadState{incarnation: r.U64(), sequence: r.U64(), term: r.U64()}
	for n := r.Count(perProcess); n > 0; n-- {
		s.processes = append(s.processes, storeProcess{store: r.U64(), process: r.U64()})
	}
	s.state = bytes.Clone(r.Bytes())
	if r.Err != nil || len(s.state) > maxLeadStateBytes {
		return nil
	}
	return s
}

// leadConfirmation is a confirmation of a lead; the zero value means none.
type leadConfirmation struct {
	term uint64
	at   int64
}

// confirmationMemory is what a process remembers of its confirmations of a partition's leads, and of those that its own
// leads got.
type confirmationMemory struct {
	newest  leadConfirmation
	earlier leadConfirmation // of terms before that one
}

// note handles a confirmation under a term.
func (m *confirmationMemory) note(term uint64, at int64) {
	switch {
	case term > m.newest.term:
		m.earlier = leadConfirmation{m.newest.term, max(m.newest.at, m.earlier.at)}
		m.newest = leadConfirmation{term, at}
	case term == m.newest.term:
		m.newest.at = max(m.newest.at, at)
	default:
		m.earlier = leadConfirmation{max(m.earlier.term, term), max(m.earlier.at, at)}
	}
}

// before returns the newest term before the given one that was confirmed, and the latest time at which any such term
// was.
func (m *confirmationMemory) before(term uint64) leadConfirmation {
	if m.newest.term >= term {
		return m.earlier
	}
	return leadConfirmation{m.newest.term, max(m.newest.at, m.earlier.at)}
}

// groupWitness is what a process has seen of a partition's group of replicas.
type groupWitness struct {
	replicas []uint64
	next     []uint64 // nil: no change
	since    int64    // when a table first named the group
	epoch    uint64   // from this epoch on it was the group or the next one
}

// see handles a row of a newer table. Rows with epochs between it and the one before were not seen if the epochs do not
// follow each other.
func (w *groupWitness) see(row *snapshot.Partition, previousEpoch uint64, nowMs int64) {
	follows := previousEpoch > 0 && row.Epoch == previousEpoch+1
	switch {
	case follows && slices.Equal(row.Replicas, w.replicas):
	case follows && w.next != nil && slices.Equal(row.Replicas, w.next):
		w.since, w.epoch = nowMs, previousEpoch
	default:
		w.since, w.epoch = nowMs, row.Epoch
	}
	w.replicas, w.next = row.Replicas, nil
	if len(row.Joining)+len(row.Leaving) > 0 {
		w.next = nextReplicas(row)
	}
}

// leadReport is what a store remembers of the leads of a partition before a term.
type leadReport struct {
	process       uint64     // 0: unknown
	confirmedTerm uint64     // the newest one that it confirmed
	earlierUntil  int64      // it has confirmed no lead after that
	held          *leadState // the newest state that it has; nil: none
}

// ownLeadReport returns what this store remembers of the leads before a term.
func (c *core) ownLeadReport(p *partition, term uint64) leadReport {
	newest := p.confirmations.before(term)
	return leadReport{
		process:       c.process,
		confirmedTerm: newest.term,
		earlierUntil:  max(newest.at, c.startedMs),
		held:          p.heldState,
	}
}

// encodeLeadReport encodes kindLeadReport to the followed primary.
func (c *core) encodeLeadReport(p *partition) []byte {
	report := c.ownLeadReport(p, p.promisedTerm)
	extra := 1
	if report.held != nil {
		extra += report.held.encodedLength()
	}
	age := uint64(max(0, c.nowMs-report.earlierUntil))
	w := encodeTermMessage(extra, p.index, p.promisedTerm, p.session, report.process, age, report.confirmedTerm)
	w.Bool(report.held != nil)
	if report.held != nil {
		report.held.appendTo(&w)
	}
	return w.Buf
}

// handleLeadReport handles what a replica remembers of earlier leads. Its promise follows.
func (c *core) handleLeadReport(p *partition, r *link.Reader) {
	replica := p.primary.progressOfSession(r.U64())
	report := &leadReport{process: r.U64()}
	age := int64(min(r.U64(), maxLeadAgeMs))
	report.confirmedTerm = r.U64()
	if r.Bool() {
		if report.held = decodeLeadState(r); report.held == nil {
			return
		}
	}
	if r.Err != nil || replica == nil {
		return
	}
	report.earlierUntil = c.nowMs - minimumAge(age)
	replica.report = report
}

// minimumAge returns the least time in ms that has passed on the own clock if a given one has passed on another.
func minimumAge(ms int64) int64 {
	return max(0, ms-(ms+clockRateDivisor-1)/clockRateDivisor-stampAheadMs)
}

// learnOfEarlierLeads determines what a new primary knows of earlier leads. It is called when enough replicas have
// promised to follow it. What replicas of the next group report does not count.
func (c *core) learnOfEarlierLeads(p *partition) {
	primary := p.primary
	own := c.ownLeadReport(p, primary.term)
	reports := map[uint64]leadReport{c.self: own}
	until := max(own.earlierUntil, p.group.since)
	for _, id := range primary.replicas {
		replica := primary.progress[id]
		if id == c.self || replica == nil || replica.digests == nil {
			continue
		}
		report := leadReport{earlierUntil: c.nowMs} // of a version without reports
		if replica.report != nil {
			report = *replica.report
		}
		reports[id] = report
		until = max(until, report.earlierUntil)
	}
	primary.earlierUntil = min(until, c.nowMs)
	primary.inherited = c.inheritedState(p, reports)
}

// inheritedState returns the newest state that was reported, unless there may have been a newer one; nil if there is
// none.
func (c *core) inheritedState(p *partition, reports map[uint64]leadReport) *leadState {
	var newest *leadState
	for _, report := range reports {
		if compareLeadStates(report.held, newest) > 0 {
			newest = report.held
		}
	}
	if newest == nil {
		return nil
	}
	for _, id := range sortedKeys(reports) {
		if held := reports[id].held; compareLeadStates(held, newest) == 0 && p.isNewest(held, reports) {
			return held
		}
	}
	c.log("partition %d: state %d of lead %x is not inherited: there may be a newer one", p.index, newest.sequence,
		newest.incarnation)
	return nil
}

// isNewest reports whether there is certainly no newer state than the newest one that was reported.
func (p *partition) isNewest(newest *leadState, reports map[uint64]leadReport) bool {
	if epochOfTerm(newest.term) < p.group.epoch {
		return false
	}
	for id, report := range reports {
		listed := slices.Contains(newest.processes, storeProcess{id, report.process})
		if report.process == 0 || !listed || report.confirmedTerm > newest.term {
			return false
		}
	}
	return true
}

// shareLeadState sends a state of this store's lead to the replicas, unless that lead has ended or has a newer one.
func (c *core) shareLeadState(index int, incarnation, sequence uint64, state []byte) {
	p := c.partition(index)
	if p == nil || c.leadOf(p).incarnation != incarnation || incarnation == 0 {
		return
	}
	primary := p.primary
	if len(state) > maxLeadStateBytes {
		if !primary.stateRefused {
			primary.stateRefused = true
			c.log("partition %d: error: the state of the lead has %d bytes, more than the maximum of %d", index, len(state),
				maxLeadStateBytes)
		}
		return
	}
	next := &leadState{incarnation: incarnation, sequence: sequence, state: state}
	if compareLeadStates(next, p.heldState) <= 0 {
		return
	}
	p.heldState = next
	c.refreshLeadState(p)
	for _, id := range primary.allReplicas() {
		if replica := primary.progress[id]; replica != nil && replica.digests != nil {
			c.sendLeadState(p, replica)
		}
	}
	c.countHolders(p)
}

// refreshLeadState makes a copy of the newest state of this lead that lists the processes that follow it now, that is,
// those that have sent a report, which they do once their promise is durable. There is no newer state yet, so the copy
// may be used like one that was sent at first.
func (c *core) refreshLeadState(p *partition) {
	primary := p.primary
	fresh := *p.heldState
	fresh.term, fresh.processes = primary.term, []storeProcess{{c.self, c.process}}
	for _, id := range primary.allReplicas() {
		if replica := primary.progress[id]; replica != nil && replica.report != nil {
			fresh.processes = append(fresh.processes, storeProcess{id, replica.report.process})
		}
	}
	p.heldState = &fresh
}

// sendLeadState sends a replica the newest state of this lead.
func (c *core) sendLeadState(p *partition, replica *replicaProgress) {
	w := encodeTermMessage(p.heldState.encodedLength(), p.index, p.primary.term, replica.session)
	p.heldState.appendTo(&w)
	c.send(replica.pipe, kindLeadState, w.Buf)
}

// resendLeadState sends the newest state of this lead, if it has one, to a replica that has just promised to follow it.
func (c *core) resendLeadState(p *partition, replica *replicaProgress) {
	if p.heldState != nil && p.heldState.incarnation == p.primary.incarnation {
		c.refreshLeadState(p)
		c.sendLeadState(p, replica)
	}
}

// holdLeadState keeps a state of the lead that this store follows, in place of older ones, and acknowledges it.
func (c *core) holdLeadState(p *partition, term uint64, r *link.Reader, pipe Pipe) {
	s := decodeLeadState(r)
	if s == nil {
		return
	}
	if compareLeadStates(s, p.heldState) >= 0 {
		p.heldState = s
	}
	w := encodeTermMessage(0, p.index, term, p.session, s.sequence)
	c.send(pipe, kindLeadStateHeld, w.Buf)
}

// handleLeadStateHeld handles a replica's acknowledgement of a state.
func (c *core) handleLeadStateHeld(p *partition, r *link.Reader) {
	session, sequence := r.U64(), r.U64()
	if replica := p.primary.progressOfSession(session); replica != nil && r.Err == nil {
		replica.heldSequence = max(replica.heldSequence, sequence)
		c.countHolders(p)
	}
}

// countHolders computes the newest state of this lead that f+1 replicas hold, of both groups while the group changes.
func (c *core) countHolders(p *partition) {
	primary := p.primary
	shared := c.heldBy(p, primary.replicas)
	if primary.nextReplicas != nil {
		shared = min(shared, c.heldBy(p, primary.nextReplicas))
	}
	primary.sharedSequence = max(primary.sharedSequence, shared)
}

// heldBy returns the number of the newest state of this lead that f+1 replicas of a group hold; 0 if there is none.
func (c *core) heldBy(p *partition, group []uint64) uint64 {
	var held []uint64
	for _, id := range group {
		if replica := p.primary.progress[id]; replica != nil {
			held = append(held, replica.heldSequence)
		} else if id == c.self && p.heldState != nil && p.heldState.incarnation == p.primary.incarnation {
			held = append(held, p.heldState.sequence)
		}
	}
	if len(held) < c.maxLostReplicas+1 {
		return 0
	}
	slices.SortFunc(held, func(a, b uint64) int { return cmp.Compare(b, a) })
	return held[c.maxLostReplicas]
}

// statesIgnored reports whether no state of a lead can be acknowledged because of replicas that promised without a report:
// they are of a version that knows neither reports nor states. A replica that has not promised yet may be slow, and does
// not count as one of them.
func (c *core) statesIgnored(primary *primaryState) bool {
	return c.ignoresStates(primary, primary.replicas) ||
		primary.nextReplicas != nil && c.ignoresStates(primary, primary.nextReplicas)
}

// ignoresStates reports whether too few replicas of a group know states, and some are known not to.
func (c *core) ignoresStates(primary *primaryState, group []uint64) bool {
	known, ignoring := 0, 0
	for _, id := range group {
		replica := primary.progress[id]
		switch {
		case id == c.self:
			known++
		case replica == nil || replica.digests == nil:
		case replica.report != nil:
			known++
		default:
			ignoring++
		}
	}
	return ignoring > 0 && known < c.maxLostReplicas+1
}
