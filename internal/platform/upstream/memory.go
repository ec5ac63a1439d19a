package upstream

import "time"

// Learnt is what a process passes to its replacement about an endpoint's connections. The entry without a name holds
// the idle statistics of all endpoints together.
//
// It is encoded with gob, which identifies types and fields by name: the names must not change.
type Learnt struct {
	Name   string
	Addr   string
	Since  int64
	Cap    float64
	GrowAt time.Time
	IdleAt time.Time // when Uses and Broken were last decayed
	Uses   []float64 // by idle time span
	Broken []float64
}

// Memory returns the learned state, for the process that replaces this one.
func (ps *Pools) Memory() []Learnt {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	all := []Learnt{ps.idleLimit.export(Learnt{})}
	for name, p := range ps.byName {
		if !p.removed {
			all = append(all, p.idleLimit.export(Learnt{
				Name:   name,
				Addr:   p.endpoint.Addr,
				Since:  p.endpoint.Since,
				Cap:    p.sizing.cap,
				GrowAt: p.sizing.growAt,
			}))
		}
	}
	return all
}

// Inherit loads the state that another process has learned. It must be called before the first call of Endpoint.
func (ps *Pools) Inherit(memory []Learnt) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.inherited = map[string]Learnt{}
	for _, learnt := range memory {
		if learnt.Name == "" {
			ps.idleLimit.inherit(learnt)
			continue
		}
		ps.inherited[learnt.Name] = learnt
	}
}

// inherit loads the state learned about this endpoint if its address and its start time are unchanged.
func (p *Pool) inherit(learnt Learnt) {
	if learnt.Addr != p.endpoint.Addr || learnt.Since != p.endpoint.Since {
		return
	}
	p.sizing.cap, p.sizing.growAt = learnt.Cap, learnt.GrowAt
	p.idleLimit.inherit(learnt)
}

// export adds the idle statistics to learnt.
func (l *idleLimit) export(learnt Learnt) Learnt {
	learnt.IdleAt = l.decayedAt
	for _, s := range l.spans {
		learnt.Uses, learnt.Broken = append(learnt.Uses, s.uses), append(learnt.Broken, s.broken)
	}
	return learnt
}

func (l *idleLimit) inherit(learnt Learnt) {
	l.decayedAt = learnt.IdleAt
	for i := range min(idleSpans, len(learnt.Uses), len(learnt.Broken)) {
		l.spans[i].uses, l.spans[i].broken = learnt.Uses[i], learnt.Broken[i]
	}
}
