package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how a member stands.
type State string

// A suspect has not been heard of late, and that is all that is known: it may be at work.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Left    State = "left"    // by its own word: it has ended its work
	Removed State = "removed" // by the staff's word
)

// Departed tells whether one of the two words was said.
func (s State) Departed() bool { return s == Left || s == Removed }

// CountHoldTime is for how long a count that a member has seen holds against smaller ones: longer
// than a death takes to be told to all, and than the longest restart in turn.
const CountHoldTime = 60 * time.Second

// Record is what nodes tell each other of a member. Records merge without order.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Start       uint64 `cbor:"3,keyasint"` // drawn anew at each start
	Address     string `cbor:"4,keyasint"`
	Left        uint64 `cbor:"5,keyasint,omitempty"` // all incarnations up to this one have left
	Removed     uint64 `cbor:"6,keyasint,omitempty"`
}

// Merge takes the later of each part. It is commutative, associative and idempotent.
func (r Record) Merge(o Record) Record {
	later := cmp.Or(cmp.Compare(o.Incarnation, r.Incarnation), cmp.Compare(o.Start, r.Start), cmp.Compare(o.Address, r.Address))
	if later > 0 {
		r.Incarnation, r.Start, r.Address = o.Incarnation, o.Start, o.Address
	}
	r.Left, r.Removed = max(r.Left, o.Left), max(r.Removed, o.Removed)
	return r
}

// Change is a member's step from one state to another. From is empty for a new one.
type Change struct {
	Name        string
	Incarnation uint64
	From, To    State
}

// Member is one row of the table. Times are the table's clock.
type Member struct {
	Record
	State State
	Since time.Duration // in this state
	Heard bool          // gossip reaches it just now, whatever was said of it
}

type row struct {
	Record
	reachable            bool
	reachableIncarnation uint64 // the incarnation that is heard
	state                State
	since                time.Duration
	reportedCount        int           // what it has told that it sees
	reportedAt           time.Duration // when
	countReported        bool
}

// Table is who is there, as one node knows it: pure, and driven by events with their times.
// It is not safe for concurrent use.
type Table struct {
	self string
	// memberSince is the node's first incarnation that no removal has made void.
	memberSince uint64
	rows        map[string]*row
	ownCounts   []sample // own counts of late, each greater than those after it
	// Refused counts members for whom there was no room.
	Refused int
}

type sample struct {
	recordedAt time.Duration
	count      int
}

// NewTable begins with the node itself.
func NewTable(self Record, now time.Duration) *Table {
	t := &Table{self: self.Name, memberSince: self.Incarnation, rows: map[string]*row{}}
	t.rows[self.Name] = &row{Record: self, reachable: true, reachableIncarnation: self.Incarnation, state: Alive, since: now}
	t.sample(now)
	return t
}

// Self is the node's own record.
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

// Merge takes in what anybody tells of a member. News of the node itself are not taken in
// here but by Mine, and only the words about earlier incarnations count.
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
	} else if r.state == Alive && r.Incarnation > before { // it has started again
		r.since = now
		all = append(all, Change{r.Name, r.Incarnation, Alive, Alive})
	}
	t.sample(now)
	return all
}

// hasCapacity makes some: the one that has been gone for longest is forgotten. Who is not gone stays.
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

// MarkReachable tells that gossip reaches a member now, under this record.
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

// Suspect tells that gossip no longer reaches a member.
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

// Claim is what news of the node's own name ask of it.
type Claim struct {
	Raise   uint64 // take at least this incarnation; 0: none
	Removed uint64 // it was removed up to this incarnation, and has not been told; 0: it was not
	Old     bool   // others know a later start than this one: the folder is from before it
	Rival   string // the name is in use at this address, or was; empty: it is not
}

// merge adds what another claim asks for besides; the rival is looked for, not kept.
func (c *Claim) merge(o Claim) {
	c.Raise, c.Removed, c.Old = max(c.Raise, o.Raise), max(c.Removed, o.Removed), c.Old || o.Old
}

// ClaimFor judges what somebody tells of the node itself.
func (t *Table) ClaimFor(rec Record) (c Claim) {
	own := t.Self()
	if word := max(rec.Removed, rec.Left); word >= own.Incarnation {
		// No process says its own word under an incarnation that it goes on with.
		c.Raise, c.Old = word+1, word > own.Incarnation || rec.Left >= own.Incarnation
	}
	// Gossip may announce a later incarnation before it tells of the removal, so the node may have gone
	// above the incarnation that was removed: the removal counts none the less.
	if rec.Removed >= t.memberSince {
		c.Raise, c.Removed = max(c.Raise, own.Incarnation+1), rec.Removed
	}
	if rec.Start != own.Start && rec.Incarnation >= own.Incarnation {
		c.Raise, c.Old = max(c.Raise, rec.Incarnation+1), true
	}
	// At its own address nobody else can be. A copy of the folder begins above the one that it
	// was taken from, so the incarnation tells nothing.
	if rec.Start != own.Start && rec.Address != own.Address && rec.Incarnation > max(rec.Left, rec.Removed) {
		c.Rival = rec.Address
	}
	return c
}

// SetIncarnation tells that the node has a new incarnation, which is on disk.
func (t *Table) SetIncarnation(incarnation uint64) {
	r := t.rows[t.self]
	r.Incarnation, r.reachableIncarnation = incarnation, incarnation
}

// HasNewRemoval tells whether a claim holds a removal that the node has not been told of.
func (t *Table) HasNewRemoval(c Claim) bool { return c.Removed >= t.memberSince }

// Rejoined tells that the node is a new member in its present incarnation: a removal of an earlier one
// asks for nothing any more.
func (t *Table) Rejoined() { t.memberSince = t.Self().Incarnation }

// Remove says that a member is gone, up to its present incarnation, by the staff's word.
func (t *Table) Remove(name string, now time.Duration) (Record, []Change, bool) {
	r := t.rows[name]
	if r == nil || name == t.self {
		return Record{}, nil, false
	}
	rec := r.Record
	rec.Removed = rec.Incarnation
	return rec, t.Merge(rec, now), true
}

// Records are all that is known, to be told.
func (t *Table) Records() []Record {
	all := make([]Record, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		all = append(all, t.rows[name].Record)
	}
	return all
}

// Member is one row.
func (t *Table) Member(name string) (Member, bool) {
	r := t.rows[name]
	if r == nil {
		return Member{}, false
	}
	return Member{r.Record, r.state, r.since, r.reachable}, true
}

// Members are all rows, by name.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.rows))
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		m, _ := t.Member(name)
		all = append(all, m)
	}
	return all
}

// Current is how many are not gone now, the node itself and suspects among them.
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

// Sighting is the largest count that a member has seen itself of late, so long ago as it said so.
type Sighting struct {
	Name  string        `cbor:"1,keyasint"`
	Count int           `cbor:"2,keyasint"`
	Age   time.Duration `cbor:"3,keyasint"`
}

// MergeSightings takes in the counts that members have seen. What others have told a member is not in
// its own, or no count would ever fall.
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

// maxOwnCount is the largest count that this node has seen within CountTime.
func (t *Table) maxOwnCount(now time.Duration) int {
	for len(t.ownCounts) > 1 && t.ownCounts[1].recordedAt <= now-CountHoldTime { // one holds until the next, smaller one
		t.ownCounts = t.ownCounts[1:]
	}
	return t.ownCounts[0].count
}

// Sightings are what is to be told of counts.
func (t *Table) Sightings(now time.Duration) []Sighting {
	all := []Sighting{{t.self, t.maxOwnCount(now), 0}}
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[name]; r.countReported && !r.state.Departed() && now-r.reportedAt < CountHoldTime {
			all = append(all, Sighting{name, r.reportedCount, now - r.reportedAt})
		}
	}
	return all
}

// Count is what limits are divided by: the largest that the node itself or any current
// member has seen within CountTime.
func (t *Table) Count(now time.Duration) (n int) {
	for _, s := range t.Sightings(now) {
		n = max(n, s.Count)
	}
	return n
}
