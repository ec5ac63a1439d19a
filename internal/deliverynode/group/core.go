// Package group lets several processes of one machine act as one delivery node: it tracks the members, elects a
// coordinator, and assigns each member a share of the node's limits. docs/group.md describes its guarantees.
package group

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// MaxMembers is the maximum number of processes in a group.
	MaxMembers = 8
	// Whole is the number of parts that a node is divided into. It is divisible by every member count up to MaxMembers.
	Whole = 840
	// Version is the version of messages and views. Members with another version are rejected.
	Version = 1

	// LeaseTime is how long a share is valid without renewal. A member that is stopped right
	// after a renewal blocks its share from the others for that long.
	LeaseTime = time.Second
	// HeartbeatEvery is the lease renewal interval: a lease survives three lost renewals.
	HeartbeatEvery = LeaseTime / 4
	// SuspectAfter is how long a member may be silent before it gets no new lease.
	SuspectAfter = LeaseTime
)

var (
	// ErrStaleEpoch rejects a message of an epoch that has been superseded.
	ErrStaleEpoch = errors.New("of an older epoch")
	// ErrVersion rejects a member, message or view of another version.
	ErrVersion = errors.New("another version of the group's messages")
	// ErrFull rejects a member when the group already has MaxMembers.
	ErrFull = errors.New("the group is full")
)

// ID identifies one run of a process; a restarted process has a new one.
type ID string

// Share is a member's share of the node, in parts out of Whole.
type Share struct {
	Member ID  `json:"Member"`
	Parts  int `json:"Parts"`
	// Retained is the member's last share, less what has since been granted to others.
	Retained int `json:"Had,omitempty"`
}

// View is the coordinator's record of the members and their shares, sorted by member.
type View struct {
	Version int     `json:"Version"`
	Epoch   uint64  `json:"Epoch"`
	Shares  []Share `json:"Shares"`
}

// Parts returns a member's share in the view, 0 if it has none.
func (v View) Parts(id ID) int {
	i, ok := slices.BinarySearchFunc(v.Shares, id, func(s Share, id ID) int { return cmp.Compare(s.Member, id) })
	if !ok {
		return 0
	}
	return v.Shares[i].Parts
}

// Lease lets a member use its share until a time of the machine's clock (see Clock).
type Lease struct {
	Version int           `json:"Version"`
	Epoch   uint64        `json:"Epoch"`
	Member  ID            `json:"Member"`
	Parts   int           `json:"Parts"`
	Members int           `json:"Members"` // active members that the node is divided among
	Kept    int           `json:"Kept"`    // the portion of Parts that this member had before and no other member has had since
	Until   time.Duration `json:"Until"`
}

// Hello is a member's heartbeat to the coordinator, with the highest epoch that it has seen.
type Hello struct {
	Version int    `json:"Version"`
	Member  ID     `json:"Member"`
	Epoch   uint64 `json:"Epoch"`
}

// Member is the member's side of the protocol: it holds the process's current lease.
type Member struct {
	id        ID
	epoch     uint64 // the highest seen
	lease     Lease
	lastHeard time.Duration // when a lease last arrived, or this process last resumed after a pause
	lastTick  time.Duration // when Tick was last called
}

// NewMember returns a member without a share.
func NewMember(id ID) *Member { return &Member{id: id} }

// Tick must be called every HeartbeatEvery. It reports whether the coordinator must be replaced:
// it has been silent for SuspectAfter+LeaseTime, during which this process was not paused itself.
func (m *Member) Tick(now time.Duration) (leaderless bool) {
	if now-m.lastTick > SuspectAfter { // this process was paused: the silence may be its own
		m.lastHeard = now
	}
	m.lastTick = now
	return now-m.lastHeard > SuspectAfter+LeaseTime
}

// Receive applies a lease from the coordinator.
func (m *Member) Receive(now time.Duration, l Lease) error {
	switch {
	case l.Version != Version:
		return fmt.Errorf("%w: %d, this process supports %d", ErrVersion, l.Version, Version)
	case l.Epoch < m.epoch:
		return fmt.Errorf("lease of epoch %d: %w than %d", l.Epoch, ErrStaleEpoch, m.epoch)
	case l.Member != m.id:
		return fmt.Errorf("lease for member %q received by member %q", l.Member, m.id)
	}
	m.lastHeard = now
	if l.Epoch == m.epoch && l.Until < m.lease.Until {
		return nil // delivered out of order: a later lease was applied
	}
	m.epoch, m.lease = l.Epoch, l
	return nil
}

// Parts returns the share in force, 0 without a valid lease.
func (m *Member) Parts(now time.Duration) int {
	if now >= m.lease.Until {
		return 0
	}
	return m.lease.Parts
}

// Hello returns the heartbeat to send to the coordinator.
func (m *Member) Hello() Hello { return Hello{Version: Version, Member: m.id, Epoch: m.epoch} }

// peer is the coordinator's state of a member.
type peer struct {
	lastHeard time.Duration // when its last hello arrived
	alive     bool          // its lock file is locked
	retained  int           // its last share, less what has since been granted to others
	grants    []grant       // unexpired leases that it may be using, larger and older ones first
}

// grant is a share and the time at which it expires.
type grant struct {
	parts int
	until time.Duration
}

// grant records a lease and drops earlier ones that are no larger and expire no later.
func (p *peer) grant(parts int, until time.Duration) {
	p.grants = slices.DeleteFunc(p.grants, func(g grant) bool { return g.parts <= parts && g.until <= until })
	p.grants = append(p.grants, grant{parts, until})
}

// parts returns the largest share that a member may be using.
func (p *peer) parts(now time.Duration) int {
	p.grants = slices.DeleteFunc(p.grants, func(g grant) bool { return now >= g.until })
	most := 0
	for _, g := range p.grants {
		most = max(most, g.parts)
	}
	return most
}

// Coordinator divides the node among the members. It only decides; its caller writes the views,
// sends the leases and checks the locks.
type Coordinator struct {
	view  View
	peers map[ID]*peer
}

// NewCoordinator returns a coordinator whose epoch is above all earlier ones. The shares of the
// latest of the stored views may stay in use for one more LeaseTime. Older views need not be
// counted, as a view has the largest share that each member may be using. If torn is set, a view
// was unreadable and all of the node may be in use.
func NewCoordinator(now time.Duration, storedViews []View, epoch uint64, torn bool) *Coordinator {
	c := &Coordinator{view: View{Version: Version, Epoch: epoch}, peers: map[ID]*peer{}}
	last := uint64(0)
	for _, v := range storedViews {
		last = max(last, v.Epoch)
	}
	c.view.Epoch = max(c.view.Epoch, last)
	for _, v := range storedViews {
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

// Receive processes a member's hello. It returns ErrStaleEpoch if the member has seen a higher epoch:
// another coordinator has then replaced this one.
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

// Members returns the members considered alive.
func (c *Coordinator) Members() []ID {
	var ids []ID
	for id, p := range c.peers {
		if p.alive {
			ids = append(ids, id)
		}
	}
	return ids
}

// MarkDead records that a member's lock is free, so its process has ended.
func (c *Coordinator) MarkDead(id ID) {
	if p := c.peers[id]; p != nil {
		p.alive = false
	}
}

// State is a member's state on the status page.
type State string

// The states of a member.
const (
	Active  State = "active"
	Suspect State = "suspect" // alive but silent: it gets no new lease
	Dead    State = "dead"    // ended, with a lease that has not expired
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

// Share computes the current shares. If the view has changed, it must be on disk before any of
// the leases is sent.
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
			// At most what no other member may be using.
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

// deductRetained accounts for a member that is granted more parts than it retained. Parts that no member
// retains are used first, then those of members whose leases have expired. It is unknown whose
// parts these are, so the full amount is deducted from each of the other members.
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

// maxPartsOfOthers returns the parts that all members but one may be using.
func (c *Coordinator) maxPartsOfOthers(excluded ID, now time.Duration) int {
	sum := 0
	for id, p := range c.peers {
		if id != excluded {
			sum += p.parts(now)
		}
	}
	return sum
}
