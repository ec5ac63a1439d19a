package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a member.
type State string

// The states of a member. A suspect is unreachable by gossip but may still be working.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Left    State = "left"    // announced by the member itself: it has finished its work
	Removed State = "removed" // removed by an operator
)

// Departed reports whether the member has left or been removed.
func (s State) Departed() bool { return s == Left || s == Removed }

// CountHoldTime is how long a member count takes precedence over smaller ones: longer than a failure takes to
// spread to all nodes, and than the longest rolling restart.
const CountHoldTime = 60 * time.Second

// Record is what nodes exchange about a member. Records can be merged in any order.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Start       uint64 `cbor:"3,keyasint"` // random, new at each start
	Address     string `cbor:"4,keyasint"`
	Left        uint64 `cbor:"5,keyasint,omitempty"` // all incarnations up to this one have left; Removed likewise
	Removed     uint64 `cbor:"6,keyasint,omitempty"`
}

// Merge combines the later values of both records. It is commutative, associative and idempotent.
func (r Record) Merge(o Record) Record {
	later := cmp.Or(cmp.Compare(o.Incarnation, r.Incarnation), cmp.Compare(o.Start, r.Start), cmp.Compare(o.Address, r.Address))
	if later > 0 {
		r.Incarnation, r.Start, r.Address = o.Incarnation, o.Start, o.Address
	}
	r.Left, r.Removed = max(r.Left, o.Left), max(r.Removed, o.Removed)
	return r
}

// Change is a member's change of state. From is empty for a new member.
type Change struct {
	Name        string
	Incarnation uint64
	From, To    State
}

// Member is one row of the table. Times are by the table's clock.
type Member struct {
	Record
	State State
	Since time.Duration // when it entered this state
	Heard bool          // gossip reaches it now, whatever its State
}

type row struct {
	Record
	reachable            bool
	reachableIncarnation uint64 // the incarnation that gossip reaches
	state                State
	since                time.Duration
	reportedCount        int           // the member count that it reported
	reportedAt           time.Duration // when
	countReported        bool
}

// Table is one node's view of the members. It is a pure state machine, driven by events with their times,
// and not safe for concurrent use.
type Table struct {
	self string
	// memberSince is the node's first incarnation since its last removal.
	memberSince uint64
	rows        map[string]*row
	ownCounts   []sample // this node's recent counts, each greater than those after it
	// Refused counts members rejected because the table was full.
	Refused int
}

type sample struct {
	recordedAt time.Duration
	count      int
}

// NewTable returns a table that has only the node itself.
func NewTable(self Record, now time.Duration) *Table {
	t := &Table{self: self.Name, memberSince: self.Incarnation, rows: map[string]*row{}}
	t.rows[self.Name] = &row{Record: self, reachable: true, reachableIncarnation: self.Incarnation, state: Alive, since: now}
	t.sample(now)
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.rows[t.self].Record }

func (r *row) updateState(now time.Duration) (Change, bool) {
	to := Suspect
	switch {
	case r.Incarnation <= r.Removed:
		to = Removed
	case r.Incarnation <= r.Left:
		to = Left
	case r.reachable && r.reachableIncarnation >= r.Incarnation:
		to = Alive
	}
	if to == r.state {
		return Change{}, false
	}
	c := Change{r.Name, r.Incarnation, r.state, to}
	r.state, r.since = to, now
	return c, true
}

// Merge merges a record from any node. Of a record of the node itself it takes only the departures of earlier
// incarnations; ClaimFor handles the rest.
func (t *Table) Merge(rec Record, now time.Duration) (all []Change) {
	if rec.Name == "" || len(rec.Name) > maxName || len(rec.Address) > maxName {
		return nil
	}
	r, before := t.rows[rec.Name], rec.Incarnation
	switch {
	case rec.Name == t.self:
		r.Left, r.Removed = max(r.Left, min(rec.Left, r.Incarnation-1)), max(r.Removed, min(rec.Removed, r.Incarnation-1))
		return nil
	case r == nil:
		if !t.hasCapacity() {
			t.Refused++
			return nil
		}
		r = &row{Record: rec, since: now}
		t.rows[rec.Name] = r
	default:
		before = r.Incarnation
		r.Record = r.Record.Merge(rec)
	}
	if c, ok := r.updateState(now); ok {
		all = append(all, c)
	} else if r.state == Alive && r.Incarnation > before { // it has restarted
		r.since = now
		all = append(all, Change{r.Name, r.Incarnation, Alive, Alive})
	}
	t.sample(now)
	return all
}

// hasCapacity makes room for a row if needed, by deleting the member that departed the longest time ago.
// Members that have not departed stay.
func (t *Table) hasCapacity() bool {
	if len(t.rows) < MaxMembers {
		return true
	}
	var oldest *row
	for _, r := range t.rows {
		if r.state.Departed() && (oldest == nil || cmp.Or(cmp.Compare(r.since, oldest.since), cmp.Compare(r.Name, oldest.Name)) < 0) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.rows, oldest.Name)
	return true
}

// MarkReachable records that gossip reaches a member now, under this record.
func (t *Table) MarkReachable(rec Record, now time.Duration) []Change {
	if rec.Name == t.self {
		return nil
	}
	if t.rows[rec.Name] == nil {
		t.Merge(rec, now)
	}
	r := t.rows[rec.Name]
	if r == nil {
		return nil
	}
	r.reachable, r.reachableIncarnation = true, rec.Incarnation
	return t.Merge(rec, now)
}

// Suspect records that gossip no longer reaches a member.
func (t *Table) Suspect(name string, now time.Duration) []Change {
	r := t.rows[name]
	if r == nil || name == t.self {
		return nil
	}
	r.reachable = false
	if c, ok := r.updateState(now); ok {
		return []Change{c}
	}
	return nil
}

// Claim is what other nodes' records of this node's name demand of it.
type Claim struct {
	Raise       uint64 // take at least this incarnation; 0: no demand
	Removed     uint64 // a removal up to this incarnation that has not been handled; 0: none
	StaleFolder bool   // other nodes know a later start than this one: the state directory is stale
	Rival       string // address of another process that uses the name or has used it; empty: none
}

// merge adds the demands of another claim, except for Rival, which is checked separately.
func (c *Claim) merge(o Claim) {
	c.Raise, c.Removed, c.StaleFolder = max(c.Raise, o.Raise), max(c.Removed, o.Removed), c.StaleFolder || o.StaleFolder
}

// ClaimFor returns what another node's record of this node demands.
func (t *Table) ClaimFor(rec Record) (c Claim) {
	own := t.Self()
	if departed := max(rec.Removed, rec.Left); departed >= own.Incarnation {
		// A process never announces its leaving under an incarnation that it goes on using.
		c.Raise, c.StaleFolder = departed+1, departed > own.Incarnation || rec.Left >= own.Incarnation
	}
	// Gossip may announce a later incarnation before the removal, so the node may already be above the
	// incarnation that was removed. The removal counts nevertheless.
	if rec.Removed >= t.memberSince {
		c.Raise, c.Removed = max(c.Raise, own.Incarnation+1), rec.Removed
	}
	if rec.Start != own.Start && rec.Incarnation >= own.Incarnation {
		c.Raise, c.StaleFolder = max(c.Raise, rec.Incarnation+1), true
	}
	// No other process can have this node's own address. The incarnation does not show which process is
	// newer: a copy of the state directory starts with a higher one than its original.
	if rec.Start != own.Start && rec.Address != own.Address && rec.Incarnation > max(rec.Left, rec.Removed) {
		c.Rival = rec.Address
	}
	return c
}

// SetIncarnation records a new incarnation of the node, which is on disk.
func (t *Table) SetIncarnation(incarnation uint64) {
	r := t.rows[t.self]
	r.Incarnation, r.reachableIncarnation = incarnation, incarnation
}

// HasNewRemoval reports whether a claim has a removal that has not been handled.
func (t *Table) HasNewRemoval(c Claim) bool { return c.Removed >= t.memberSince }

// Rejoined records that the node is a new member in its current incarnation: removals of earlier ones are
// handled.
func (t *Table) Rejoined() { t.memberSince = t.Self().Incarnation }

// Remove records an operator's removal of a member, up to its current incarnation.
func (t *Table) Remove(name string, now time.Duration) (Record, []Change, bool) {
	r := t.rows[name]
	if r == nil || name == t.self {
		return Record{}, nil, false
	}
	rec := r.Record
	rec.Removed = rec.Incarnation
	return rec, t.Merge(rec, now), true
}

// Records returns all records, sorted by name.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		all = append(all, t.rows[name].Record)
	}
	return all
}

// Member returns the row of a member.
func (t *Table) Member(name string) (Member, bool) {
	r := t.rows[name]
	if r == nil {
		return Member{}, false
	}
	return Member{r.Record, r.state, r.since, r.reachable}, true
}

// Members returns all rows, sorted by name.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		m, _ := t.Member(name)
		all = append(all, m)
	}
	return all
}

// Current returns the number of members that have not departed, including the node itself and suspects.
func (t *Table) Current() (n int) {
	for _, r := range t.rows {
		if !r.state.Departed() {
			n++
		}
	}
	return n
}

func (t *Table) sample(now time.Duration) {
	s := sample{now, t.Current()}
	for len(t.ownCounts) > 0 && t.ownCounts[len(t.ownCounts)-1].count <= s.count {
		t.ownCounts = t.ownCounts[:len(t.ownCounts)-1]
	}
	t.ownCounts = append(t.ownCounts, s)
}

// Sighting is the largest member count that a member has recently observed itself, and its age.
type Sighting struct {
	Name  string        `cbor:"1,keyasint"`
	Count int           `cbor:"2,keyasint"`
	Age   time.Duration `cbor:"3,keyasint"`
}

// MergeSightings merges the counts that members have observed. A member's own count excludes those
// reported by others; otherwise no count would ever decrease.
func (t *Table) MergeSightings(all []Sighting, now time.Duration) {
	for _, s := range all {
		r := t.rows[s.Name]
		if r == nil || s.Name == t.self || s.Count < 1 || s.Count > MaxMembers || s.Age < 0 || s.Age >= CountHoldTime {
			continue
		}
		if at := now - s.Age; !r.countReported || at > r.reportedAt {
			r.reportedCount, r.reportedAt, r.countReported = s.Count, at, true
		}
	}
}

// maxOwnCount returns the largest count that this node has observed within CountHoldTime.
func (t *Table) maxOwnCount(now time.Duration) int {
	for len(t.ownCounts) > 1 && t.ownCounts[1].recordedAt <= now-CountHoldTime { // a count is valid until the next, smaller one
		t.ownCounts = t.ownCounts[1:]
	}
	return t.ownCounts[0].count
}

// Sightings returns the counts to send to other nodes.
func (t *Table) Sightings(now time.Duration) []Sighting {
	all := []Sighting{{t.self, t.maxOwnCount(now), 0}}
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[name]; r.countReported && !r.state.Departed() && now-r.reportedAt < CountHoldTime {
			all = append(all, Sighting{name, r.reportedCount, now - r.reportedAt})
		}
	}
	return all
}

// Count returns the number that limits are divided by: the largest count that the node or any current member
// has observed within CountHoldTime.
func (t *Table) Count(now time.Duration) (n int) {
	for _, s := range t.Sightings(now) {
		n = max(n, s.Count)
	}
	return n
}
