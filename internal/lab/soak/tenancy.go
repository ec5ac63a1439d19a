package soak

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"
)

// applyWithin is how long after the acknowledgement of a configuration processes in contact may still follow an older
// one.
const applyWithin = 2500 * time.Millisecond

// revision is one configuration as an operator sent it, with what it says about tenants.
type revision struct {
	version uint64
	text    []byte
	sentAt  time.Time
	// acknowledgedAt is zero without an acknowledgement.
	acknowledgedAt time.Time
	holders        map[string]string // tenants by key
	limits         map[string]limit  // by tenant
}

// allows reports whether the revision lets a request with the key run; a public route needs none.
func (r *revision) allows(key string, public bool) bool {
	if key == "" {
		return public
	}
	return r.holders[key] != ""
}

// tenancy records the tenants of all configurations that operators sent. A nil tenancy records nothing.
type tenancy struct {
	mu        sync.Mutex
	revisions []*revision // in the order in which they were sent
	newest    *revision   // the newest one that was acknowledged
}

// send records a configuration before it is sent.
func (t *tenancy) send(d document) error {
	if t == nil {
		return nil
	}
	customers, err := customersOf(d.text)
	if err != nil {
		return err
	}
	r := &revision{version: d.version, text: d.text, sentAt: time.Now()}
	r.holders, r.limits = map[string]string{}, map[string]limit{}
	for _, c := range customers {
		for _, key := range c.Keys {
			r.holders[key] = c.Name
		}
		r.limits[c.Name] = c.limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revisions = append(t.revisions, r)
	if t.newest == nil {
		t.newest = r
	}
	return nil
}

// acknowledge records that a configuration was acknowledged.
func (t *tenancy) acknowledge(d document) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.revisions {
		if r.version != d.version || !bytes.Equal(r.text, d.text) || !r.acknowledgedAt.IsZero() {
			continue
		}
		r.acknowledgedAt = time.Now()
		if r.version >= t.newest.version {
			t.newest = r
		}
	}
}

// keysOf returns the keys that the newest acknowledged configuration gives to a tenant, in a fixed order and without
// the one that is passed on.
func (t *tenancy) keysOf(tenant string) (keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return heldBy(t.newest, tenant)
}

// everHeld returns the keys that any configuration sent so far gives to a tenant, in a fixed order and without the one
// that is passed on.
func (t *tenancy) everHeld(tenant string) (keys []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := map[string]bool{}
	for _, r := range t.revisions {
		for _, key := range heldBy(r, tenant) {
			all[key] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func heldBy(r *revision, tenant string) (keys []string) {
	for key, holder := range r.holders {
		if holder == tenant && key != wanderingKey {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// possible returns the revisions that a process in contact may have in force at some moment of a span: they had been
// sent by its end, and no newer one had been acknowledged for applyWithin at its start.
func (t *tenancy) possible(from, to time.Time) []*revision {
	return t.possibleUntil(from, to, func(r *revision) time.Time { return r.acknowledgedAt.Add(applyWithin) })
}

// possibleUntil is possible if all older revisions are out of force from the moment that settled returns for an
// acknowledged one; the zero time means never.
func (t *tenancy) possibleUntil(from, to time.Time, settled func(*revision) time.Time) (all []*revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := uint64(0)
	acknowledged := map[uint64]bool{}
	for _, r := range t.revisions {
		if r.acknowledgedAt.IsZero() {
			continue
		}
		acknowledged[r.version] = true
		if at := settled(r); !at.IsZero() && !at.After(from) {
			oldest = max(oldest, r.version)
		}
	}
	for _, r := range t.revisions {
		lost := r.acknowledgedAt.IsZero() && acknowledged[r.version] // to another one of its version
		if !lost && r.version >= oldest && !r.sentAt.After(to) {
			all = append(all, r)
		}
	}
	return all
}

// sent returns the revisions that were sent by a moment.
func (t *tenancy) sent(by time.Time) []*revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	later := func(r *revision) bool { return r.sentAt.After(by) }
	return slices.DeleteFunc(slices.Clone(t.revisions), later)
}
