// Package registry is a keeper's table of endpoints: what the incarnations say of themselves, who of
// them is gone, and numbered changes for those who follow. It is soft state without an owner: each
// incarnation is the only writer of its entry, and entries merge in any order.
package registry

import (
	"container/list"
	"slices"
	"strings"
	"time"

	"dunetide/internal/view"
)

// Options of a Table. Zero values stand for the defaults.
type Options struct {
	BeatEvery    time.Duration // between heartbeats of an endpoint; 1.2 s
	TombstoneFor time.Duration // 60 s
	Tombstones   int           // 4,096; the oldest are forgotten first
	Endpoints    int           // 8,192 that live; more are refused
}

// coldSlack is by how much cold_left_ms may differ from its course without being a change.
const coldSlack = 500 * time.Millisecond

// Stats counts what a Table did not take.
type Stats struct {
	Late      uint64 // heartbeats older than what is known
	AfterGone uint64 // heartbeats of those that said they were gone
	Refused   uint64 // over the bounds
}

type record struct {
	e      Entry
	heard  time.Duration // by any keeper
	own    time.Duration // by this one
	ownSet bool
	coldAt time.Duration // when e.ColdLeftMs held
	gone   time.Duration // since when, if e.Gone()
	number uint64
	change *list.Element // its place among the changes
	tomb   *list.Element // its place among the tombstones
}

// Table is the list. It has no clock and no goroutine; now is a steady clock's. It is not safe for concurrent use.
type Table struct {
	o         Options
	limit     time.Duration
	since     time.Duration // listens since then
	looked    time.Duration // the last Expire
	touched   time.Duration // the last heartbeat or word from another keeper
	byID      map[string]*record
	byAddress map[string]string // to the ID that lives there
	changes   *list.List        // of *record, by number
	tombs     *list.List        // of *record, the longest gone first
	number    uint64
	forgotten uint64 // the highest number of a tombstone that is forgotten
	stats     Stats
}

// New makes an empty table that listens from now.
func New(now time.Duration, o Options) *Table {
	if o.BeatEvery <= 0 {
		o.BeatEvery = 1200 * time.Millisecond
	}
	if o.TombstoneFor <= 0 {
		o.TombstoneFor = time.Minute
	}
	if o.Tombstones <= 0 {
		o.Tombstones = 4096
	}
	if o.Endpoints <= 0 {
		o.Endpoints = 8192
	}
	return &Table{o: o, limit: max(o.BeatEvery*7/2, 3*time.Second), since: now, looked: now, touched: now,
		byID: map[string]*record{}, byAddress: map[string]string{}, changes: list.New(), tombs: list.New()}
}

// Limit is the silence after which an incarnation counts as gone.
func (t *Table) Limit() time.Duration { return t.limit }

// Listening says whether the table has listened for a whole round of heartbeats without a break: one
// beat, and time for an endpoint to find this keeper. Before, what it lacks may yet exist.
func (t *Table) Listening(now time.Duration) bool { return now-t.since >= 2*t.o.BeatEvery }

// Stats returns the counts so far.
func (t *Table) Stats() Stats { return t.stats }

// Live is the number of endpoints that are not gone.
func (t *Table) Live() int { return len(t.byID) - t.tombs.Len() }

// Beat takes a heartbeat. changed says that others must be told.
func (t *Table) Beat(now time.Duration, e view.Endpoint) (changed bool) {
	if Check(&e) != nil {
		t.stats.Refused++
		return false
	}
	if e.State == view.Gone {
		return t.Leave(now, e.ID)
	}
	t.touched = now
	r := t.byID[e.ID]
	switch {
	case r == nil:
		if t.Live() >= t.o.Endpoints {
			t.stats.Refused++
			return false
		}
	case r.e.State == view.Gone:
		t.stats.AfterGone++
		return false
	case e.CallCount <= r.e.CallCount || e.CallCount <= r.e.Alive:
		t.stats.Late++
		return false
	}
	fresh := r == nil
	changed = t.join(now, Entry{Endpoint: e, Alive: e.CallCount})
	r = t.byID[e.ID]
	r.own, r.ownSet = now, true
	if id := t.byAddress[e.Address]; id != e.ID {
		if old := t.byID[id]; old != nil && fresh { // it has just come up where the other was
			gone := t.held(now, old)
			gone.State = view.Gone
			t.join(now, gone)
		}
		t.settle(now, r)
	}
	return changed
}

// Leave takes an incarnation's word, or its successor's, that it is gone.
func (t *Table) Leave(now time.Duration, id string) (changed bool) {
	gone := Entry{Endpoint: view.Endpoint{ID: id, State: view.Gone}}
	if Check(&gone.Endpoint) != nil {
		t.stats.Refused++
		return false
	}
	t.touched = now
	return t.join(now, gone)
}

// Merge takes what another keeper knows, and returns what is new here by it.
func (t *Table) Merge(now time.Duration, entries []Entry) (changed []Entry) {
	from := t.number
	t.touched = now
	for _, e := range entries {
		if Check(&e.Endpoint) != nil {
			t.stats.Refused++
			continue
		}
		if t.byID[e.ID] == nil {
			if e.Gone() && e.Age >= t.o.TombstoneFor || !e.Gone() && e.Age >= t.limit {
				continue // forgotten here, or about to be
			}
			if !e.Gone() && t.Live() >= t.o.Endpoints {
				t.stats.Refused++
				continue
			}
		}
		t.join(now, e)
		if r := t.byID[e.ID]; r != nil && !r.e.Gone() {
			t.settle(now, r)
		}
	}
	return t.after(now, from)
}

// join is the only place where entries change.
func (t *Table) join(now time.Duration, in Entry) (changed bool) {
	r := t.byID[in.ID]
	fresh := r == nil
	if fresh {
		r = &record{e: in, heard: now - in.Age, coldAt: now}
		t.byID[in.ID] = r
	}
	old := r.e
	wasGone := !fresh && old.Gone()
	old.ColdLeftMs = t.cold(now, r)
	was := old.Shown()
	r.e = Join(old, in)
	r.coldAt = now
	if !in.Gone() {
		r.heard = max(r.heard, now-in.Age)
	}
	if a := old.Address; a != r.e.Address && t.byAddress[a] == in.ID {
		delete(t.byAddress, a)
	}
	is := r.e.Shown()
	drift := time.Duration(max(was.ColdLeftMs-is.ColdLeftMs, is.ColdLeftMs-was.ColdLeftMs)) * time.Millisecond
	changed = fresh || was.State != is.State || compareSaid(&was, &is) != 0 || drift > coldSlack || old.State != r.e.State

	switch gone := r.e.Gone(); {
	case gone && !wasGone:
		r.gone = now - in.Age
		if !in.Gone() {
			r.gone = now
		}
		t.bury(r)
		if t.byAddress[r.e.Address] == in.ID {
			delete(t.byAddress, r.e.Address)
		}
	case !gone && wasGone:
		t.tombs.Remove(r.tomb)
		r.tomb = nil
	}
	if changed {
		t.number++
		r.number = t.number
		if r.change != nil {
			t.changes.MoveToBack(r.change)
		} else {
			r.change = t.changes.PushBack(r)
		}
	}
	t.forget(now)
	return changed
}

// bury puts a record among the tombstones, by when it went.
func (t *Table) bury(r *record) {
	at := t.tombs.Back()
	for at != nil && at.Value.(*record).gone > r.gone {
		at = at.Prev()
	}
	if at == nil {
		r.tomb = t.tombs.PushFront(r)
	} else {
		r.tomb = t.tombs.InsertAfter(r, at)
	}
}

func (t *Table) forget(now time.Duration) {
	for t.tombs.Len() > 0 {
		r := t.tombs.Front().Value.(*record)
		if t.tombs.Len() <= t.o.Tombstones && now-r.gone < t.o.TombstoneFor {
			return
		}
		t.tombs.Remove(r.tomb)
		t.changes.Remove(r.change)
		delete(t.byID, r.e.ID)
		t.forgotten = max(t.forgotten, r.number)
	}
}

// settle gives an address to one incarnation. Between two that other keepers heard, the one heard
// last has it; the other is taken as silent, so it comes back by itself if that was wrong.
func (t *Table) settle(now time.Duration, r *record) {
	if r.e.Address == "" {
		return
	}
	id, taken := t.byAddress[r.e.Address]
	if other := t.byID[id]; taken && other != nil && other != r && !other.e.Gone() {
		loser := other
		if other.heard > r.heard || other.heard == r.heard && other.e.ID > r.e.ID {
			loser = r
		}
		e := t.held(now, loser)
		e.Silent = true
		t.join(now, e)
		if loser == r {
			return
		}
	}
	t.byAddress[r.e.Address] = r.e.ID
}

// Expire takes away who has been silent for too long, and forgets old tombstones. It wants to be called
// several times a beat: after a longer break the table starts to listen anew, as the silence may have been
// its own. For the same reason nothing goes while it hears nothing at all, neither endpoints nor keepers.
func (t *Table) Expire(now time.Duration) (changed []Entry) {
	if now-t.looked > max(t.o.BeatEvery, time.Second) {
		t.since = now
	}
	t.looked = now
	t.forget(now)
	if !t.Listening(now) || now-t.touched > t.limit {
		return nil
	}
	from := t.number
	for _, r := range t.byID {
		if !r.e.Gone() && now-max(r.heard, t.since) > t.limit {
			e := t.held(now, r)
			e.Silent = true
			t.join(now, e)
		}
	}
	return t.after(now, from)
}

// Heard returns who was heard within the limit, for the other keepers: by this keeper or, with relay, by any.
func (t *Table) Heard(now time.Duration, relay bool) (heard []Heard) {
	for _, r := range t.byID {
		at, ok := r.own, r.ownSet
		if relay {
			at, ok = r.heard, true
		}
		if ok && !r.e.Gone() && now-at <= t.limit {
			heard = append(heard, Heard{r.e.ID, r.e.Alive, now - at})
		}
	}
	slices.SortFunc(heard, func(a, b Heard) int { return strings.Compare(a.ID, b.ID) })
	return heard
}

// MergeHeard takes another keeper's Heard. missing are those that are not known here: that keeper
// should be asked for its entries.
func (t *Table) MergeHeard(now time.Duration, heard []Heard) (changed []Entry, missing []string) {
	from := t.number
	t.touched = now
	for _, h := range heard {
		r := t.byID[h.ID]
		if r == nil {
			missing = append(missing, h.ID)
			continue
		}
		if r.e.State == view.Gone || h.Alive < r.e.Alive || h.Alive == r.e.Alive && r.e.Silent {
			continue
		}
		e := t.held(now, r)
		e.Alive, e.Silent, e.Age = h.Alive, false, h.Age
		t.join(now, e)
		t.settle(now, r)
	}
	return t.after(now, from), missing
}

// Changes returns what changed after number since, oldest first, and the number to ask with next. Where the
// table can't tell (since is 0, too old, or of another life), whole is set and entries are all that live.
// Numbers hold for the life of the table.
func (t *Table) Changes(now time.Duration, since uint64) (entries []Entry, to uint64, whole bool) {
	if since == 0 || since < t.forgotten || since > t.number {
		for at := t.changes.Front(); at != nil; at = at.Next() {
			if r := at.Value.(*record); !r.e.Gone() {
				entries = append(entries, t.entry(now, r))
			}
		}
		return entries, t.number, true
	}
	return t.after(now, since), t.number, false
}

func (t *Table) after(now time.Duration, since uint64) (entries []Entry) {
	for at := t.changes.Back(); at != nil && at.Value.(*record).number > since; at = at.Prev() {
		entries = append(entries, t.entry(now, at.Value.(*record)))
	}
	slices.Reverse(entries)
	return entries
}

// Newest is the number of the newest change.
func (t *Table) Newest() uint64 { return t.number }

// Get returns the entry of an incarnation.
func (t *Table) Get(now time.Duration, id string) (Entry, bool) {
	r := t.byID[id]
	if r == nil {
		return Entry{}, false
	}
	return t.entry(now, r), true
}

// Entries returns all of a part, tombstones too, for another keeper. Part -1 is all parts.
func (t *Table) Entries(now time.Duration, part int) (entries []Entry) {
	for at := t.changes.Front(); at != nil; at = at.Next() {
		if r := at.Value.(*record); part < 0 || PartOf(r.e.Service) == part {
			entries = append(entries, t.entry(now, r))
		}
	}
	return entries
}

// Digests returns a sum over each part's living entries. Two keepers whose sums of a part differ, for
// longer than a change is under way, should exchange its Entries.
func (t *Table) Digests() (sums [Parts]uint64) {
	for _, r := range t.byID {
		if e := &r.e; !e.Gone() {
			sums[PartOf(e.Service)] ^= view.Hash(strings.Join([]string{e.ID, e.Address, e.Version, e.Zone, e.Service}, "\n")) + uint64(e.State)
		}
	}
	return sums
}

func (t *Table) entry(now time.Duration, r *record) Entry {
	e := r.e
	e.ColdLeftMs = t.cold(now, r)
	e.Models = slices.Clone(e.Models)
	e.Age = now - r.heard
	if e.Gone() {
		e.Age = now - r.gone
	}
	e.Age = max(e.Age, 0)
	return e
}

// held is a record's entry as it stands now, of no age.
func (t *Table) held(now time.Duration, r *record) Entry {
	e := r.e
	e.ColdLeftMs, e.Age = t.cold(now, r), 0
	return e
}

// cold is what is left of the cold time by now.
func (t *Table) cold(now time.Duration, r *record) int {
	return max(0, r.e.ColdLeftMs-int((now-r.coldAt).Milliseconds()))
}
