// Package group lets several processes of one machine act as one delivery node: it decides who is a member, who
// coordinates, and which share of the node's limits each may use. docs/group.md says what it guarantees.
package group

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxMembers is the most processes of a group.
	MaxMembers = 8
	// Whole is what all shares come to, in parts: it can be shared out evenly among any number of members up to MaxMembers.
	Whole = 840
	// Version is that of the messages and views. Members of another are refused.
	Version = 1

	// LeaseTime is how long a share holds without being renewed: what a member that is
	// stopped right after a renewal keeps from the others.
	LeaseTime = time.Second
	// HeartbeatEvery is how often leases are renewed: three may be lost before one runs out.
	HeartbeatEvery = LeaseTime / 4
	// SuspectAfter is how long a member may say nothing before it gets no new lease.
	SuspectAfter = LeaseTime
)

var (
	// ErrOlder refuses what comes from an epoch that is over.
	ErrStaleEpoch = errors.New("of an older epoch")
	// ErrVersion refuses a member with another version of the messages.
	ErrVersion = errors.New("another version of the group's messages")
	// ErrFull refuses a member for which there is no place.
	ErrFull = errors.New("the group is full")
)

// ID names one life of one process.
type ID string

// Share is a member's part of the node, in parts of Whole.
type Share struct {
	Member ID  `json:"Member"`
	Parts  int `json:"Parts"`
	// Had is what it had last, less what others were given of it since.
	Retained int `json:"Had,omitempty"`
}

// View is what a coordinator says of the group. It is sorted by member.
type View struct {
	Version int     `json:"Version"`
	Epoch   uint64  `json:"Epoch"`
	Shares  []Share `json:"Shares"`
}

// Parts is what a view gives a member.
func (v View) Parts(id ID) int {
	i, ok := slices.BinarySearchFunc(v.Shares, id, func(s Share, id ID) int { return cmp.Compare(s.Member, id) })
	if !ok {
		return 0
	}
	return v.Shares[i].Parts
}

// Lease lets a member use its share until a moment of the machine's own clock.
type Lease struct {
	Version int           `json:"Version"`
	Epoch   uint64        `json:"Epoch"`
	Member  ID            `json:"Member"`
	Parts   int           `json:"Parts"`
	Members int           `json:"Members"` // that the shares are meant for
	Kept    int           `json:"Kept"`    // of Parts, what this member had and nobody else has had since
	Until   time.Duration `json:"Until"`
}

// Hello is what a member tells the coordinator: that it is there, and what it last heard.
type Hello struct {
	Version int    `json:"Version"`
	Member  ID     `json:"Member"`
	Epoch   uint64 `json:"Epoch"`
}

// Member is one process's own side: the lease that it has.
type Member struct {
	id        ID
	epoch     uint64 // the highest that it has seen
	lease     Lease
	lastHeard time.Duration // when a lease last came, or it last came back from standing still
	lastTick  time.Duration // when it last did anything
}

// NewMember has no share.
func NewMember(id ID) *Member { return &Member{id: id} }

// Tick is to be called every BeatEvery. It tells whether the coordinator has been silent for
// so long, while this member was at work all along, that another has to take its place.
func (m *Member) Tick(now time.Duration) (leaderless bool) {
	if now-m.lastTick > SuspectAfter { // it stood still itself, and may just not have heard
		m.lastHeard = now
	}
	m.lastTick = now
	return now-m.lastHeard > SuspectAfter+LeaseTime
}

// Hear takes in a lease.
func (m *Member) Receive(now time.Duration, l Lease) error {
	switch {
	case l.Version != Version:
		return fmt.Errorf("%w: %d, this one has %d", ErrVersion, l.Version, Version)
	case l.Epoch < m.epoch:
		return fmt.Errorf("lease of epoch %d: %w than %d", l.Epoch, ErrStaleEpoch, m.epoch)
	case l.Member != m.id:
		return fmt.Errorf("lease of %q came to %q", l.Member, m.id)
	}
	m.lastHeard = now
	if l.Epoch == m.epoch && l.Until < m.lease.Until {
		return nil // it was overtaken on its way
	}
	m.epoch, m.lease = l.Epoch, l
	return nil
}

// Parts is the share that is in force: none without a lease that holds.
func (m *Member) Parts(now time.Duration) int {
	if now >= m.lease.Until {
		return 0
	}
	return m.lease.Parts
}

// Hello is what to tell the coordinator now.
func (m *Member) Hello() Hello { return Hello{Version: Version, Member: m.id, Epoch: m.epoch} }

// peer is what a coordinator knows of a member.
type peer struct {
	lastHeard time.Duration // when it last said anything
	alive     bool          // its lock is held
	retained  int           // what it was given last, less what others were given of that since
	grants    []grant       // leases that it may be using, the larger and older ones first
}

// grant is a share until a moment.
type grant struct {
	parts int
	until time.Duration
}

// grant notes a lease. Those that it outlasts and exceeds count no more.
func (p *peer) grant(parts int, until time.Duration) {
	p.grants = slices.DeleteFunc(p.grants, func(g grant) bool { return g.parts <= parts && g.until <= until })
	p.grants = append(p.grants, grant{parts, until})
}

// parts is the largest share that a member may be using.
func (p *peer) parts(now time.Duration) int {
	p.grants = slices.DeleteFunc(p.grants, func(g grant) bool { return now >= g.until })
	most := 0
	for _, g := range p.grants {
		most = max(most, g.parts)
	}
	return most
}

// Coordinator shares the node out. It decides; whoever drives it writes the views, sends
// the leases and looks at the locks.
type Coordinator struct {
	view  View
	peers map[ID]*peer
}

// NewCoordinator goes on above all epochs that there were. Told are the views on disk: what
// the last one gave may be in use for one lease still. That counts for those before it as
// well, as a view names the most that each may be using. Torn says that one could not be
// read: then anything may be.
func NewCoordinator(now time.Duration, told []View, epoch uint64, torn bool) *Coordinator {
	c := &Coordinator{view: View{Version: Version, Epoch: epoch}, peers: map[ID]*peer{}}
	last := uint64(0)
	for _, v := range told {
		last = max(last, v.Epoch)
	}
	c.view.Epoch = max(c.view.Epoch, last)
	for _, v := range told {
		if v.Epoch < last {
			continue
		}
		for _, s := range v.Shares {
			p := c.peer(s.Member)
			p.grant(s.Parts, now+LeaseTime)
			if !torn {
				p.retained = s.Retained
			}
		}
	}
	if torn {
		p := c.peer("")
		p.grant(Whole, now+LeaseTime)
	}
	c.view.Epoch++
	return c
}

func (c *Coordinator) peer(id ID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

// Hear takes in what a member says. A member that has seen a higher epoch was led by a
// coordinator that came after this one.
func (c *Coordinator) Receive(now time.Duration, h Hello) error {
	switch {
	case h.Version != Version:
		return fmt.Errorf("%w: %d, this one has %d", ErrVersion, h.Version, Version)
	case h.Member == "":
		return errors.New("a member without a name")
	case h.Epoch > c.view.Epoch:
		return fmt.Errorf("this coordinator is of epoch %d: %w than %d", c.view.Epoch, ErrStaleEpoch, h.Epoch)
	}
	p := c.peers[h.Member]
	if p == nil || !p.alive {
		alive := 0
		for _, o := range c.peers {
			if o.alive {
				alive++
			}
		}
		if alive >= MaxMembers {
			return ErrFull
		}
		p = c.peer(h.Member)
		p.alive = true
	}
	p.lastHeard = now
	return nil
}

// Members are those that are taken to be alive.
func (c *Coordinator) Members() []ID {
	var ids []ID
	for id, p := range c.peers {
		if p.alive {
			ids = append(ids, id)
		}
	}
	return ids
}

// Departed tells that a member's lock is free: it has died.
func (c *Coordinator) MarkDead(id ID) {
	if p := c.peers[id]; p != nil {
		p.alive = false
	}
}

// State is how a member stands, for the staff.
type State string

// The states of a member.
const (
	Active  State = "active"
	Suspect State = "suspect" // alive and out of touch: it gets no new lease
	Dead    State = "dead"    // its lease has not run out yet
)

func (p *peer) state(now time.Duration) State {
	switch {
	case !p.alive:
		return Dead
	case now-p.lastHeard > SuspectAfter:
		return Suspect
	}
	return Active
}

// Share decides on the shares from now on. Where the view changes, it has to be on disk
// before any of the leases is told.
func (c *Coordinator) Share(now time.Duration) (view View, changed bool, leases []Lease) {
	ids := make([]ID, 0, len(c.peers))
	active := 0
	for id, p := range c.peers {
		if p.parts(now) == 0 && !p.alive {
			delete(c.peers, id)
			continue
		}
		if p.state(now) == Active {
			active++
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	next := View{Version: Version, Epoch: c.view.Epoch}
	for _, id := range ids {
		p := c.peers[id]
		if p.state(now) == Active {
			// Within what no other may be using.
			parts := min(Whole/active, Whole-c.maxPartsOfOthers(id, now))
			kept := min(parts, p.retained)
			c.deductRetained(id, parts-kept, now)
			p.retained = parts
			p.grant(parts, now+LeaseTime)
			leases = append(leases, Lease{Version: Version, Member: id, Parts: parts, Members: active, Kept: kept, Until: now + LeaseTime})
		}
	}
	for _, id := range ids {
		next.Shares = append(next.Shares, Share{Member: id, Parts: c.peers[id].parts(now), Retained: c.peers[id].retained})
	}
	if changed = !slices.Equal(next.Shares, c.view.Shares); changed {
		next.Epoch++
	}
	c.view = next
	for i := range leases {
		leases[i].Epoch = next.Epoch
	}
	return next, changed, leases
}

// takes notes that a member is given more than it had: what nobody had goes first, then what
// others had whose leases have run out. How much of whose is not known, so each loses all of it.
func (c *Coordinator) deductRetained(id ID, more int, now time.Duration) {
	free := Whole
	for _, p := range c.peers {
		free -= p.retained
	}
	if more -= max(0, free); more <= 0 {
		return
	}
	for o, p := range c.peers {
		if o != id {
			p.retained = max(min(p.retained, p.parts(now)), p.retained-more)
		}
	}
}

// others is what all but one may be using.
func (c *Coordinator) maxPartsOfOthers(but ID, now time.Duration) int {
	sum := 0
	for id, p := range c.peers {
		if id != but {
			sum += p.parts(now)
		}
	}
	return sum
}
