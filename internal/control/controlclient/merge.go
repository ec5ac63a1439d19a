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
	// endedRetention is how long an endpoint that drains or has ended is remembered, whichever keeper reported it.
	endedRetention = 2 * time.Minute
	// maxEnded limits the endpoints that are remembered so.
	maxEnded = 8192
)

// endedState says that an endpoint is draining or has ended.
type endedState struct {
	state      snapshot.State
	reportedAt time.Time
}

// applyConfig puts a configuration in force unless a newer one is; nil: nothing.
func (c *Client) applyConfig(config *operatorconfig.Config) {
	if config == nil || c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = config
	c.options.Log.Info("configuration in force", "version", config.Version)
}

// applyTable puts the partition table of an update in force unless a newer one is.
func (c *Client) applyTable(u *Update) {
	if u.Table == nil || c.table != nil && u.Table.Version <= c.table.Version {
		return
	}
	c.table = u.Table
	c.options.Log.Info("table in force", "number", u.Table.Version, "stores", len(u.Table.Stores))
}

// applyCertificates puts certificates in force unless newer ones are; nil: nothing.
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
	// A keeper that begins anew to collect heartbeats, after a freeze, removes no endpoint before it knows all again: what
	// it pushed before stays valid.
	s.endpointsComplete = s.endpointsComplete || u.EndpointsComplete
	now := time.Now()
	for _, e := range u.Entries {
		c.applyEntry(s, before, e, now)
	}
	c.trimEnded(now)
	return changed
}

// applyEntry stores one endpoint in the keeper's source. An entry with an older heartbeat than the one that the keeper
// pushed before changes the state only.
func (c *Client) applyEntry(s *source, before map[string]registry.Entry, e registry.Entry, now time.Time) {
	if known, found := before[e.ID]; found && known.CallCount > e.CallCount && !e.Dead() {
		known.State = max(known.State, e.State)
		e = known
	}
	if e.State != snapshot.Ready {
		if known, found := c.ended[e.ID]; !found || known.state < e.State {
			c.ended[e.ID] = endedState{e.State, now}
		}
	}
	if e.Dead() {
		delete(s.entries, e.ID)
		return
	}
	s.entries[e.ID] = e
}

// trimEnded limits the draining and ended endpoints that are remembered: where there are too many, the old ones are
// forgotten, and of the others the oldest.
func (c *Client) trimEnded(now time.Time) {
	if len(c.ended) <= maxEnded {
		return
	}
	ids := slices.Collect(maps.Keys(c.ended))
	slices.SortFunc(ids, func(a, b string) int { return c.ended[a].reportedAt.Compare(c.ended[b].reportedAt) })
	for i, id := range ids {
		if i < len(ids)-maxEnded/2 || now.Sub(c.ended[id].reportedAt) > endedRetention {
			delete(c.ended, id)
		}
	}
}

// rebuild publishes a new snapshot. Where the list of endpoints can't have changed, the snapshot shares the one before:
// most updates at a start of all processes are about something else, and the list is long.
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

// mergeEndpoints makes one list of what the keepers have pushed. An endpoint is in it as long as one source has it;
// draining or ended counts whichever keeper reported it.
func (c *Client) mergeEndpoints() {
	newest := newestEntries(c.mergedSources())
	c.endpoints = map[string][]*snapshot.Endpoint{} // a new map, as snapshots share the one before
	for id, e := range newest {
		if ended := c.ended[id]; ended.state > e.State {
			e.State = ended.state
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

// mergedSources returns the sources that have pushed a complete list, and sets endpointsComplete. While none of them
// knows all endpoints, the last source that did is one of them.
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

// newestEntries returns, of each endpoint, the entry with the newest heartbeat.
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
