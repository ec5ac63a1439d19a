package upstream

import (
	"slices"
	"strings"
	"time"
)

// Stat is what the console shows of one endpoint's pool.
type Stat struct {
	Endpoint     string  `json:"endpoint"`
	Address      string  `json:"address"`
	Open         int     `json:"open"` // the next three together
	Idle         int     `json:"idle"`
	InUse        int     `json:"in_use"`
	Dialing      int     `json:"dialling"`
	Waiting      int     `json:"waiting"` // calls
	Cap          float64 `json:"cap"`     // connections; 0 while none is learnt
	MaxIdleMs    int64   `json:"idle_limit_ms"`
	Opened       int64   `json:"opened"`
	Reused       int64   `json:"reused"`
	Broken       int64   `json:"broken"` // calls on a connection that had been idle
	Refused      int64   `json:"refused"`
	Preconnected int64   `json:"warmed"`
	Removed      bool    `json:"gone,omitempty"` // it ends with its last call
}

// Overview is what the console shows of all pools.
type Overview struct {
	Open    int    `json:"open"`
	MaxOpen int    `json:"max_open"`
	Waiting int    `json:"waiting"` // calls, for a connection among all
	Pools   []Stat `json:"pools"`
	Omitted int    `json:"left_out"` // pools over the number that was asked for
}

// Stats returns the state of up to maxPools pools, in order of their names.
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

// stat returns the state of a pool. With the lock.
func (p *Pool) stat(now time.Time) Stat {
	p.sizing.maxConns(now, &p.pools.config) // the cap may have grown since
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
