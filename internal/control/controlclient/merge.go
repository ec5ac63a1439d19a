package controlclient

import (
	"maps"
	"slices"
	"sort"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
)

// take takes a push in, and tells whether it may change the list of endpoints.
func (c *Client) take(s *source, u *Update, config *operatorconfig.Config) (endpoints bool) {
	if config != nil && (c.config == nil || config.Version > c.config.Version) {
		c.config = config
		c.o.Log.Info("configuration in force", "version", config.Version)
	}
	if u.Table != nil && (c.table == nil || u.Table.Version > c.table.Version) {
		c.table = u.Table
		c.o.Log.Info("table in force", "number", u.Table.Version, "stores", len(u.Table.Stores))
	}
	if u.Proxies > 0 {
		c.senders = u.Proxies
	}
	if u.Keepers != nil {
		c.takeKeepers(u.Keepers)
	}
	before := s.entries
	endpoints = u.FullSync || len(u.Entries) > 0 || u.EndpointsComplete && !s.listed
	if u.FullSync {
		s.entries = map[string]registry.Entry{}
		s.whole = true
	}
	// A keeper that listens anew, after a freeze, takes nobody away before it has heard a round: its word stays good.
	s.listed = s.listed || u.EndpointsComplete
	now := time.Now()
	for _, e := range u.Entries {
		if old, there := before[e.ID]; there && old.CallCount > e.CallCount && !e.Dead() {
			old.State = max(old.State, e.State)
			e = old
		}
		s.entries[e.ID] = e
		if e.State != snapshot.Ready {
			if old, there := c.said[e.ID]; !there || old.state < e.State {
				c.said[e.ID] = saying{e.State, now}
			}
		}
		if e.Dead() {
			delete(s.entries, e.ID)
		}
	}
	c.forget(now)
	return endpoints
}

// takeKeepers takes in which keepers there are, and remembers those that are not told of any more.
func (c *Client) takeKeepers(told []Node) {
	former := slices.Concat(c.former, c.keepers)
	c.keepers = told
	seen := map[string]bool{}
	for _, n := range told {
		seen[n.Name] = true
	}
	c.former = c.former[:0:0]
	for _, n := range slices.Backward(former) {
		if !seen[n.Name] && len(c.former) < formerMost {
			seen[n.Name] = true
			c.former = append(c.former, n)
		}
	}
	slices.Reverse(c.former)
}

// forget keeps what was said bounded: what is old goes, and if that is not enough, the oldest.
func (c *Client) forget(now time.Time) {
	if len(c.said) <= saidMost {
		return
	}
	ids := slices.Collect(maps.Keys(c.said))
	slices.SortFunc(ids, func(a, b string) int { return c.said[a].at.Compare(c.said[b].at) })
	for i, id := range ids {
		if i < len(ids)-saidMost/2 || now.Sub(c.said[id].at) > saidFor {
			delete(c.said, id)
		}
	}
}

// rebuild makes the snapshot anew. Where the list of endpoints can't have changed, it has that of the one
// before: most pushes in a start of all are about something else, and the list is long.
func (c *Client) rebuild(endpoints bool) {
	if endpoints || c.merged == nil {
		c.merge()
	}
	snap := &snapshot.Snapshot{Config: c.config, Proxies: max(c.senders, 1), Table: c.table, EndpointsComplete: c.listed, Endpoints: c.merged,
		Certificates: c.certificates, CertificatesKnown: c.certificatesKnown}
	checkSuccessor(c.o.Snapshots.Get(), snap, endpoints)
	c.o.Snapshots.Set(snap)
	if c.o.OnSnapshot != nil {
		c.o.OnSnapshot(snap)
	}
}

// merge makes one list of what the keepers tell. An endpoint is there as long as one attached keeper that has
// heard a whole round holds it; a drain or an end counts whoever said it.
func (c *Client) merge() {
	c.listed = false
	var from []*source
	for _, s := range c.sources {
		if s.whole && s.listed {
			c.listed = true
		}
		if s.whole {
			from = append(from, s)
		}
	}
	if c.listed {
		c.stale = nil
	} else if c.stale != nil {
		from = append(from, c.stale)
		c.listed = true
	}
	newest := map[string]registry.Entry{}
	for _, s := range from {
		for id, e := range s.entries {
			if old, there := newest[id]; !there || old.CallCount < e.CallCount {
				newest[id] = e
			}
		}
	}
	c.merged = map[string][]*snapshot.Endpoint{} // the one before is shared
	for id, e := range newest {
		if said := c.said[id]; said.state > e.State {
			e.State = said.state
		}
		if e.State == snapshot.Removed {
			continue
		}
		endpoint := e.Endpoint
		c.merged[e.Service] = append(c.merged[e.Service], &endpoint)
	}
	for _, list := range c.merged {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}
