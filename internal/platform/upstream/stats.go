package upstream

import (
	"slices"
	"strings"
	"time"
)

// Stat is the state of one endpoint's pool, as the console shows it.
type Stat struct {
	Endpoint     string  `json:"endpoint"`
	Address      string  `json:"address"`
	Open         int     `json:"open"` // Idle, InUse and Dialing together
	Idle         int     `json:"idle"`
	InUse        int     `json:"in_use"`
	Dialing      int     `json:"dialling"`
	Waiting      int     `json:"waiting"` // calls that wait for a connection
	Cap          float64 `json:"cap"`     // connections; 0 if no cap was learned
	MaxIdleMs    int64   `json:"idle_limit_ms"`
	Opened       int64   `json:"opened"`
	Reused       int64   `json:"reused"`
	Broken       int64   `json:"broken"` // calls that broke on a reused connection
	Refused      int64   `json:"refused"`
	Preconnected int64   `json:"warmed"`
	Removed      bool    `json:"gone,omitempty"` // the pool is removed with its last call
}

// Overview is the state of all pools, as the console shows it.
type Overview struct {
	Open    int    `json:"open"`
	MaxOpen int    `json:"max_open"`
	Waiting int    `json:"waiting"` // calls that wait for MaxOpen to allow a connection
	Pools   []Stat `json:"pools"`
	Omitted int    `json:"left_out"` // pools beyond the requested number
}

// Stats returns the state of up to maxPools pools, sorted by name.
func (ps *Pools) Stats(maxPools int) Overview {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.config.Now()
	names := make([]string, 0, len(ps.byName))
	for name := range ps.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	o := Overview{
		Open:    ps.open,
		MaxOpen: ps.config.MaxOpen,
		Waiting: len(ps.waiting),
		Pools:   []Stat{},
	}
	if len(names) > maxPools {
		o.Omitted, names = len(names)-maxPools, names[:maxPools]
	}
	for _, name := range names {
		o.Pools = append(o.Pools, ps.byName[name].stat(now))
	}
	return o
}

// stat returns the state of a pool. It is called with the lock held.
func (p *Pool) stat(now time.Time) Stat {
	p.sizing.maxConns(now, &p.pools.config) // updates the cap, which may have grown
	return Stat{
		Endpoint:     strings.ToValidUTF8(p.endpoint.Name, "?"),
		Address:      p.endpoint.Addr,
		Open:         len(p.idle) + p.inUse + p.dialing,
		Idle:         len(p.idle),
		InUse:        p.inUse,
		Dialing:      p.dialing,
		Waiting:      len(p.waiting),
		Cap:          p.sizing.cap,
		MaxIdleMs:    p.maxIdle(now).Milliseconds(),
		Opened:       p.counts.opened,
		Reused:       p.counts.reused,
		Broken:       p.counts.broken,
		Refused:      p.counts.refused,
		Preconnected: p.counts.preconnected,
		Removed:      p.removed,
	}
}
