package upstream

import (
	"slices"
	"strings"
	"time"
)

// Stat is what the staff are shown of one endpoint's pool.
type Stat struct {
	Endpoint  string  `json:"endpoint"`
	Address   string  `json:"address"`
	Open      int     `json:"open"` // the next three together
	Idle      int     `json:"idle"`
	InUse     int     `json:"in_use"`
	Dialling  int     `json:"dialling"`
	Waiting   int     `json:"waiting"`
	Cap       float64 `json:"cap"` // 0 while none is learnt
	IdleLimit int64   `json:"idle_limit_ms"`
	Opened    int64   `json:"opened"`
	Reused    int64   `json:"reused"`
	Broken    int64   `json:"broken"` // calls on a connection that had been idle
	Refused   int64   `json:"refused"`
	Warmed    int64   `json:"warmed"`
	Leaving   bool    `json:"gone,omitempty"` // it ends with its last call
}

// Overview is what the staff are shown of all pools.
type Overview struct {
	Open    int    `json:"open"`
	MaxOpen int    `json:"max_open"`
	Waiting int    `json:"waiting"`
	Pools   []Stat `json:"pools"`
	LeftOut int    `json:"left_out"` // pools beyond those that were asked for
}

// Stats shows so many pools at most, in order of their names.
func (ps *Pools) Stats(most int) Overview {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.cfg.Now()
	names := make([]string, 0, len(ps.pools))
	for name := range ps.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	o := Overview{Open: ps.open, MaxOpen: ps.cfg.MaxOpen, Waiting: len(ps.waiting), Pools: []Stat{}}
	if len(names) > most {
		o.LeftOut, names = len(names)-most, names[:most]
	}
	for _, name := range names {
		p := ps.pools[name]
		p.size.most(now, &ps.cfg) // it may have grown
		o.Pools = append(o.Pools, Stat{Endpoint: strings.ToValidUTF8(name, "?"), Address: p.at.Addr,
			Open: len(p.idle) + p.inUse + p.dialling, Idle: len(p.idle), InUse: p.inUse, Dialling: p.dialling,
			Waiting: len(p.waiting), Cap: p.size.cap, IdleLimit: p.idleFor(now).Milliseconds(),
			Opened: p.counts.opened, Reused: p.counts.reused, Broken: p.counts.broken, Refused: p.counts.refused,
			Warmed: p.counts.warmed, Leaving: p.gone})
	}
	return o
}

// Learnt is what one process tells the next of an endpoint's connections. That with no
// name is what all endpoints show of idle ones. It goes to that process as gob, by these names.
type Learnt struct {
	Name   string
	Addr   string
	Since  int64
	Cap    float64
	GrowAt time.Time
	IdleAt time.Time
	Uses   []float64 // by span of idle time
	Broken []float64
}

func (l *idleLimit) learnt(into Learnt) Learnt {
	into.IdleAt = l.at
	for _, s := range l.seen {
		into.Uses, into.Broken = append(into.Uses, s.uses), append(into.Broken, s.broken)
	}
	return into
}

func (l *idleLimit) inherit(h Learnt) {
	l.at = h.IdleAt
	for i := range min(ages, len(h.Uses), len(h.Broken)) {
		l.seen[i].uses, l.seen[i].broken = h.Uses[i], h.Broken[i]
	}
}

// Memory is what has been learnt, for a process that goes on in this one's place.
func (ps *Pools) Memory() []Learnt {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	all := []Learnt{ps.idle.learnt(Learnt{})}
	for name, p := range ps.pools {
		if !p.gone {
			all = append(all, p.limit.learnt(Learnt{Name: name, Addr: p.at.Addr, Since: p.at.Since,
				Cap: p.size.cap, GrowAt: p.size.growAt}))
		}
	}
	return all
}

// Inherit takes over what another process had learnt, before the first list.
func (ps *Pools) Inherit(memory []Learnt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.heirs = map[string]Learnt{}
	for _, h := range memory {
		if h.Name == "" {
			ps.idle.inherit(h)
			continue
		}
		ps.heirs[h.Name] = h
	}
}

// inherit takes over what was learnt of this endpoint, if it still is the same one.
func (p *Pool) inherit(h Learnt) {
	if h.Addr != p.at.Addr || h.Since != p.at.Since {
		return
	}
	p.size.cap, p.size.growAt = h.Cap, h.GrowAt
	p.limit.inherit(h)
}
