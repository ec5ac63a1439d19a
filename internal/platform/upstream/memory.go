package upstream

import "time"

// Learnt is what one process tells the next, which replaces it, about an endpoint's connections. That without a name
// is what all endpoints show about idle ones.
//
// It goes over as gob, which knows the names of the type and of its fields alone: they must not change.
type Learnt struct {
	Name   string
	Addr   string
	Since  int64
	Cap    float64
	GrowAt time.Time
	IdleAt time.Time // when the next two decayed last
	Uses   []float64 // by span of idle time
	Broken []float64
}

// Memory returns what was learnt, for the process that replaces this one.
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

// Inherit takes over what another process had learnt. It has to be called before the first call of Endpoint.
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

// inherit takes over what was learnt about this endpoint, if it still is the same one.
func (p *Pool) inherit(learnt Learnt) {
	if learnt.Addr != p.endpoint.Addr || learnt.Since != p.endpoint.Since {
		return
	}
	p.sizing.cap, p.sizing.growAt = learnt.Cap, learnt.GrowAt
	p.idleLimit.inherit(learnt)
}

// export adds the counts of idle times.
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
