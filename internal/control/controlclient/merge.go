package controlclient

import (
	"maps"
	"slices"
	"sort"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
)

const (
	// unreadyRetention is how long a draining or removed endpoint is remembered, whichever keeper reported it.
	unreadyRetention = 2 * time.Minute
	// maxUnready is the maximum number of remembered draining and removed endpoints.
	maxUnready = 8192
)

// unreadyState is the state of a draining or removed endpoint.
type unreadyState struct {
	state      snapshot.State
	reportedAt time.Time
}

// applyConfig puts a configuration in force unless it is nil or not newer than the one in force.
func (c *Client) applyConfig(config *operatorconfig.Config) {
	if config == nil || c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.options.Log.Info("configuration in force", "version", config.Version)
}

// applyTable puts the partition table of an update in force unless it is missing or not newer than the one in force.
func (c *Client) applyTable(u *Update) {
	if u.Table == nil || c.table != nil && u.Table.Version <= c.table.Version {
		return
	}
	c.table = u.Table
	c.options.Log.Info("partition table in force", "number", u.Table.Version, "stores", len(u.Table.Stores))
}

// applyCertificates puts certificates in force unless they are nil or not newer than those in force.
func (c *Client) applyCertificates(certificates *certification.Set) {
	if certificates == nil || c.certificates != nil && certificates.Version <= c.certificates.Version {
		return
	}
	c.certificates = certificates
	c.options.Log.Info("certificates in force",
		"version", certificates.Version,
		"certificates", len(certificates.Certificates),
		"regulated_routes", len(certificates.Routes))
}

// applyEndpoints stores the endpoints of an update in the keeper's source. It reports whether the merged list may
// change.
func (c *Client) applyEndpoints(s *source, u *Update) (changed bool) {
	before := s.entries
	changed = u.FullSync || len(u.Entries) > 0 || u.EndpointsComplete && !s.endpointsComplete
	if u.FullSync {
		s.entries = map[string]registry.Entry{}
		s.synced = true
	}
	// After a freeze, a keeper restarts its listening period and removes no endpoint until its list is complete again: the
	// list that it pushed before stays valid.
	s.endpointsComplete = s.endpointsComplete || u.EndpointsComplete
	now := time.Now()
	for _, e := range u.Entries {
		c.applyEntry(s, before, e, now)
	}
	c.trimUnready(now)
	return changed
}

// applyEntry stores one endpoint in the keeper's source. If the keeper has already pushed a newer heartbeat of the
// endpoint, only the state is updated.
func (c *Client) applyEntry(s *source, before map[string]registry.Entry, e registry.Entry, now time.Time) {
	if known, found := before[e.ID]; found && known.CallCount > e.CallCount && !e.Dead() {
		known.State = max(known.State, e.State)
		e = known
	}
	if e.State != snapshot.Ready {
		if known, found := c.unready[e.ID]; !found || known.state < e.State {
			c.unready[e.ID] = unreadyState{e.State, now}
		}
	}
	if e.Dead() {
		delete(s.entries, e.ID)
		return
	}
	s.entries[e.ID] = e
}

// trimUnready bounds the remembered draining and removed endpoints. If there are more than maxUnready, it drops those
// older than unreadyRetention and keeps at most the newest half of maxUnready.
func (c *Client) trimUnready(now time.Time) {
	if len(c.unready) <= maxUnready {
		return
	}
	ids := slices.Collect(maps.Keys(c.unready))
	slices.SortFunc(ids, func(a, b string) int { return c.unready[a].reportedAt.Compare(c.unready[b].reportedAt) })
	for i, id := range ids {
		if i < len(ids)-maxUnready/2 || now.Sub(c.unready[id].reportedAt) > unreadyRetention {
			delete(c.unready, id)
		}
	}
}

// rebuild publishes a new snapshot. If the list of endpoints cannot have changed, the snapshot shares the list of its
// predecessor: when all processes start, most updates do not concern endpoints, and the list is long.
func (c *Client) rebuild(endpointsChanged bool) {
	if endpointsChanged || c.endpoints == nil {
		c.mergeEndpoints()
	}
	next := &snapshot.Snapshot{
		Config:            c.config,
		Proxies:           max(c.proxies, 1),
		Table:             c.table,
		EndpointsComplete: c.endpointsComplete,
		Endpoints:         c.endpoints,
		Certificates:      c.certificates,
		CertificatesKnown: c.certificatesKnown,
	}
	checkSuccessor(c.options.Snapshots.Get(), next, endpointsChanged)
	c.options.Snapshots.Set(next)
	if c.options.OnSnapshot != nil {
		c.options.OnSnapshot(next)
	}
}

// mergeEndpoints merges the lists of the keepers. An endpoint is included as long as one source has it; it is draining
// or removed if any keeper has reported it so.
func (c *Client) mergeEndpoints() {
	newest := newestEntries(c.mergedSources())
	c.endpoints = map[string][]*snapshot.Endpoint{} // a new map, because snapshots share the previous one
	for id, e := range newest {
		if unready := c.unready[id]; unready.state > e.State {
			e.State = unready.state
		}
		if e.State == snapshot.Removed {
			continue
		}
		endpoint := e.Endpoint
		c.endpoints[e.Service] = append(c.endpoints[e.Service], &endpoint)
	}
	for _, list := range c.endpoints {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// mergedSources returns the sources that have pushed a full list, and sets endpointsComplete. While none of them knows
// all endpoints, it includes the last source that did.
func (c *Client) mergedSources() []*source {
	c.endpointsComplete = false
	var sources []*source
	for _, s := range c.sources {
		if s.synced && s.endpointsComplete {
			c.endpointsComplete = true
		}
		if s.synced {
			sources = append(sources, s)
		}
	}
	if c.endpointsComplete {
		c.lastSource = nil
	} else if c.lastSource != nil {
		sources = append(sources, c.lastSource)
		c.endpointsComplete = true
	}
	return sources
}

// newestEntries returns the entry with the newest heartbeat of each endpoint.
func newestEntries(sources []*source) map[string]registry.Entry {
	newest := map[string]registry.Entry{}
	for _, s := range sources {
		for id, e := range s.entries {
			if known, found := newest[id]; !found || known.CallCount < e.CallCount {
				newest[id] = e
			}
		}
	}
	return newest
}
