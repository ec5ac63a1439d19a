package group

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// machine is a small model of a machine: processes that are members, the kernel's locks,
// the group's directory, and messages in flight. The decisions are made by the code under test.
type machine struct {
	now      time.Duration
	procs    []*proc
	views    []View // on disk, in the order of writing
	term     int    // of the last coordinator
	lead     *proc  // the process that holds the lock of that term; nil if it is free
	inFlight []message
	torn     bool // the last view was torn when its writer was killed
	next     int
	// What each process had in force, and what it used of that, after each step so far.
	force, used [][maxProcs]int16
}

const maxProcs = 6

// window models the policy's wide window, after which a member uses all of its share.
const window = 2 * LeaseTime

type proc struct {
	id      ID
	member  *Member
	lead    *Coordinator
	term    int
	stopped bool
	dead    bool
	// As in the policy: the parts in use, those in use before the last change, and the share last notified.
	use, had, notified int
	since              time.Duration
}

type message struct {
	to    *proc
	lease *Lease
	hello *Hello
}

// start starts a process unless the maximum is reached.
func (m *machine) start() {
	alive := 0
	for _, p := range m.procs {
		if !p.dead {
			alive++
		}
	}
	if alive < 3 && m.next < maxProcs {
		m.next++
		id := ID(fmt.Sprint("p", m.next))
		m.procs = append(m.procs, &proc{id: id, member: NewMember(id)})
	}
}

func (m *machine) kill(p *proc, torn bool) {
	p.dead = true
	if m.lead == p {
		m.lead, m.torn = nil, torn && len(m.views) > 0
	}
}

// heartbeat does what a process does at each interval: take over if there is no leader, check the
// locks, grant the shares, and send a hello.
func (m *machine) heartbeat(p *proc) {
	if p.dead || p.stopped {
		return
	}
	if leaderless := p.member.Tick(m.now); m.lead == nil || leaderless && m.lead != p {
		m.term++
		storedViews := m.views[max(0, len(m.views)-2):]
		epoch := uint64(m.term) << 32
		if m.torn { // its file name still has the epoch
			epoch = max(epoch, m.views[len(m.views)-1].Epoch)
			storedViews = storedViews[:len(storedViews)-1]
		}
		p.lead, p.term = NewCoordinator(m.now, storedViews, epoch, m.torn), m.term
		m.lead, m.torn = p, false
	}
	if p.lead != nil && p.term < m.term {
		p.lead = nil // another process has taken over
	}
	if c := p.lead; c != nil {
		for _, o := range m.procs {
			if o.dead {
				c.MarkDead(o.id)
			}
		}
		_ = c.Receive(m.now, p.member.Hello())
		view, changed, leases := c.Share(m.now)
		if changed {
			m.views = append(m.views, view)
		}
		for _, l := range leases {
			for _, o := range m.procs {
				if o.id == l.Member {
					m.inFlight = append(m.inFlight, message{to: o, lease: &l})
				}
			}
		}
	} else if m.lead != nil {
		h := p.member.Hello()
		m.inFlight = append(m.inFlight, message{to: m.lead, hello: &h})
	}
}

// deliver delivers one message, which may be late or out of order.
func (m *machine) deliver(i int) {
	msg := m.inFlight[i]
	m.inFlight = slices.Delete(m.inFlight, i, i+1)
	switch {
	case msg.to.dead || msg.to.stopped:
	case msg.lease != nil:
		_ = msg.to.member.Receive(m.now, *msg.lease)
	case msg.to.lead != nil:
		_ = msg.to.lead.Receive(m.now, *msg.hello)
	}
}

// check checks the invariants after each step. A stopped member counts, because it may be about to send. A killed
// one may have sent just before: checkRegained counts what it had until then.
func (m *machine) check(t *testing.T, trail []string) {
	t.Helper()
	sum := 0
	for _, p := range m.procs {
		if !p.dead {
			sum += p.member.Parts(m.now)
		}
	}
	if sum > Whole {
		t.Fatalf("%d of %d parts are in force after %v", sum, Whole, trail)
	}
	m.checkRetained(t, trail)
	for i := 1; i < len(m.views); i++ {
		if m.views[i].Epoch <= m.views[i-1].Epoch {
			t.Fatalf("epoch %d comes after %d: %v", m.views[i].Epoch, m.views[i-1].Epoch, trail)
		}
	}
}

// checkRetained models the parts that each process uses immediately because its lease says that it kept
// them: no other process may have had any of these since it last used as many.
func (m *machine) checkRetained(t *testing.T, trail []string) {
	t.Helper()
	var force, used [maxProcs]int16
	for i, p := range m.procs {
		if p.dead {
			continue
		}
		parts := p.member.Parts(m.now)
		force[i] = int16(parts)
		if !p.stopped && parts != p.notified {
			p.notified, p.since = parts, m.now
			now := min(parts, max(p.use, min(p.had, p.member.lease.Kept)))
			if now > 0 || p.use > 0 {
				p.had = max(now, p.use)
			}
			if now > p.use {
				m.checkRegained(t, i, now, trail)
			}
			p.use = now
		}
		if parts != p.notified || p.stopped {
			p.since = m.now
		}
		if parts > 0 && m.now-p.since >= window { // it has waited for a window before using the new parts
			p.use, p.had = parts, parts
		}
		used[i] = int16(min(p.use, parts))
	}
	m.force, m.used = append(m.force, force), append(m.used, used)
}

func (m *machine) checkRegained(t *testing.T, who, parts int, trail []string) {
	t.Helper()
	for at := len(m.used) - 1; at >= 0 && int(m.used[at][who]) < parts; at-- {
		others := 0
		for i, had := range m.force[at] {
			if i != who {
				others += int(had)
			}
		}
		if others+parts > Whole {
			t.Fatalf("%s uses %d parts again; others have had %d since: %v", m.procs[who].id, parts, others, trail)
		}
		if at == 0 {
			t.Fatalf("%s uses %d parts that it never had: %v", m.procs[who].id, parts, trail)
		}
	}
}

// step plays one event, which what selects.
func (m *machine) step(what int) string {
	n := max(1, len(m.procs))
	kind, of := what%8, what/8
	var p *proc
	if len(m.procs) > 0 {
		p = m.procs[of%n]
	}
	switch {
	case kind == 0 || p == nil:
		m.start()
		return "start"
	case kind == 1:
		m.kill(p, of%2 == 1)
		return "kill " + string(p.id)
	case kind == 2:
		p.stopped = !p.stopped
		return "stop or continue " + string(p.id)
	case kind == 3 && len(m.inFlight) > 0: // lost
		m.inFlight = slices.Delete(m.inFlight, of%len(m.inFlight), of%len(m.inFlight)+1)
		return "lose"
	case kind == 4:
		m.now += []time.Duration{HeartbeatEvery, LeaseTime / 2, 3 * LeaseTime}[of%3]
		return "wait"
	case kind == 5 && len(m.inFlight) > 0:
		m.deliver(of % len(m.inFlight))
		return "deliver"
	case kind == 6:
		for len(m.inFlight) > 0 {
			m.deliver(0)
		}
		return "deliver all"
	}
	m.heartbeat(p)
	return "beat " + string(p.id)
}

// In every order of starts, kills, stops, resumes, heartbeats and deliveries among a few processes,
// the shares in force never exceed one node.
func TestSharesInForceNeverExceedOneNode(t *testing.T) {
	t.Run("every order of six steps", func(t *testing.T) {
		steps := []int{0, 1, 2, 4, 6, 7, 15, 20} // the first and second process, a short and a long wait
		var walk func(trail []int)
		walk = func(trail []int) {
			m, names := &machine{}, []string{}
			m.start()
			m.start()
			for _, what := range append([]int{7, 6, 15, 6}, trail...) { // both have a share
				names = append(names, m.step(what))
				m.check(t, names)
			}
			if len(trail) < 6 {
				for _, what := range steps {
					walk(append(trail[:len(trail):len(trail)], what))
				}
			}
		}
		walk(nil)
	})
	t.Run("random long orders", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		used := 0
		for range 3000 {
			m, names := &machine{}, []string{}
			for range 150 {
				what := rng.IntN(8 * 60)
				if what%8 == 1 && rng.IntN(4) > 0 || what%8 == 2 && rng.IntN(3) > 0 {
					what = 7 + 8*(what/8)
				}
				names = append(names, m.step(what))
				m.check(t, names)
				for _, p := range m.procs {
					used += p.member.Parts(m.now)
				}
			}
		}
		if used == 0 {
			t.Error("no share was ever in force")
		}
	})
}

// Members that exchange messages regularly use all of the node together, for every number of members.
func TestSharesAddUpToOneNode(t *testing.T) {
	for n := 1; n <= 3; n++ {
		m := &machine{}
		for range n {
			m.start()
		}
		for range 16 {
			for _, p := range m.procs {
				m.heartbeat(p)
			}
			for len(m.inFlight) > 0 {
				m.deliver(0)
			}
			m.now += HeartbeatEvery
		}
		for _, p := range m.procs {
			if got := p.member.Parts(m.now); got != Whole/n {
				t.Errorf("%d members: %s has %d parts, want %d", n, p.id, got, Whole/n)
			}
		}
	}
}

// A stopped coordinator is replaced and causes no conflict when it resumes. The share of a killed member
// goes to the others.
func TestStoppedCoordinatorIsReplaced(t *testing.T) {
	m := &machine{}
	m.start()
	m.start()
	run := func(d time.Duration) { m.run(t, d) }
	run(4 * LeaseTime)
	first, second := m.procs[0], m.procs[1]
	if m.lead != first {
		t.Fatal("the first process is not the coordinator")
	}
	first.stopped = true
	run(8 * LeaseTime)
	if m.lead != second || second.member.Parts(m.now) != Whole || first.member.Parts(m.now) != 0 {
		t.Errorf("coordinator %s has %d parts; the stopped process has %d", m.lead.id, second.member.Parts(m.now), first.member.Parts(m.now))
	}
	first.stopped = false
	run(8 * LeaseTime)
	if first.lead != nil || first.member.Parts(m.now) != Whole/2 || second.member.Parts(m.now) != Whole/2 {
		t.Errorf("%d and %d parts, want half each", first.member.Parts(m.now), second.member.Parts(m.now))
	}
	m.kill(second, true)
	run(8 * LeaseTime)
	if m.lead != first || first.member.Parts(m.now) != Whole {
		t.Errorf("%d parts after the other process was killed, want all", first.member.Parts(m.now))
	}
}

// run plays heartbeats and deliveries of all members for a time.
func (m *machine) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := m.now + d; m.now < end; m.now += HeartbeatEvery {
		for _, p := range m.procs {
			m.heartbeat(p)
		}
		for len(m.inFlight) > 0 {
			m.deliver(0)
		}
		m.check(t, nil)
	}
}

// Leases and hellos of another version or an older epoch, and leases for another member, are rejected.
func TestLeasesOfAnotherVersionEpochOrMemberAreRejected(t *testing.T) {
	m := NewMember("a")
	if err := m.Receive(0, Lease{Version: Version, Epoch: 5, Member: "a", Parts: 3, Until: time.Hour}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		l    Lease
		want error
	}{
		{Lease{Version: Version + 1, Epoch: 9, Member: "a"}, ErrVersion},
		{Lease{Version: Version, Epoch: 4, Member: "a"}, ErrStaleEpoch},
	} {
		if err := m.Receive(0, c.l); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.l, err, c.want)
		}
	}
	if err := m.Receive(0, Lease{Version: Version, Epoch: 9, Member: "b"}); err == nil {
		t.Error("a lease for another member was accepted")
	}
	c := NewCoordinator(0, []View{{Epoch: 7}}, 0, false)
	if err := c.Receive(0, Hello{Version: Version + 1, Member: "a"}); !errors.Is(err, ErrVersion) {
		t.Errorf("%v", err)
	}
	if err := c.Receive(0, Hello{Version: Version, Member: "a", Epoch: 99}); !errors.Is(err, ErrStaleEpoch) {
		t.Errorf("%v", err)
	}
	for n := range MaxMembers {
		if err := c.Receive(0, Hello{Version: Version, Member: ID(fmt.Sprint(n))}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Receive(0, Hello{Version: Version, Member: "one more"}); !errors.Is(err, ErrFull) {
		t.Errorf("%v, want ErrFull", err)
	}
	for n := range MaxMembers {
		if Whole%(n+1) != 0 {
			t.Errorf("%d parts are not divisible by %d", Whole, n+1)
		}
	}
}

// When the coordinator is killed or a member is stopped briefly, the others keep using their shares. A member
// that joins does not use its share immediately.
func TestMembersKeepTheirShareUnderANewCoordinator(t *testing.T) {
	m := &machine{}
	m.start()
	m.start()
	run := func(d time.Duration) { m.run(t, d) }
	run(4 * LeaseTime)
	first, second := m.procs[0], m.procs[1]
	first.use, first.had, second.use, second.had = Whole/2, Whole/2, Whole/2, Whole/2 // a window later
	m.check(t, nil)
	second.stopped = true
	run(LeaseTime / 2)
	second.stopped = false
	run(LeaseTime)
	if second.use != Whole/2 {
		t.Errorf("%d parts in use after a short stop, want half", second.use)
	}
	m.kill(first, false)
	run(HeartbeatEvery)
	if second.use != Whole/2 || second.member.Parts(m.now) != Whole/2 {
		t.Errorf("%d parts in use after the coordinator was killed, want half", second.use)
	}
	run(2 * LeaseTime)
	if second.use != Whole/2 || second.member.Parts(m.now) != Whole {
		t.Errorf("%d of %d parts in use, want half of all: the rest was the killed process's", second.use, second.member.Parts(m.now))
	}
	second.use, second.had = Whole, Whole // a window later
	m.check(t, nil)
	m.start()
	run(2 * LeaseTime)
	if third := m.procs[2]; third.use != 0 || third.member.Parts(m.now) != Whole/2 || second.use != Whole/2 {
		t.Errorf("%d of %d parts in use by the new member", third.use, third.member.Parts(m.now))
	}
}

// A lease does not count parts as kept that were granted to others meanwhile, or that may have been because
// the last view is torn.
func TestShareGrantedToOthersIsNotKept(t *testing.T) {
	now, c := time.Duration(0), NewCoordinator(0, nil, 0, false)
	leases := func(hello ...ID) map[ID]Lease {
		t.Helper()
		for _, id := range hello {
			if err := c.Receive(now, Hello{Version: Version, Member: id}); err != nil {
				t.Fatal(err)
			}
		}
		_, _, all := c.Share(now)
		out := map[ID]Lease{}
		for _, l := range all {
			out[l.Member] = l
		}
		return out
	}
	for range 12 {
		leases("a", "b")
		now += HeartbeatEvery
	}
	stored := c.view
	if l := leases("a", "b"); l["b"].Parts != Whole/2 || l["b"].Kept != Whole/2 {
		t.Fatalf("%+v", l)
	}
	for range 12 { // b is stopped
		now += HeartbeatEvery
		leases("a")
	}
	if l := leases("a"); l["a"].Parts != Whole {
		t.Fatalf("%+v", l)
	}
	c.MarkDead("a") // just as b resumes
	now += LeaseTime
	if l := leases("b"); l["b"].Parts != Whole || l["b"].Kept != 0 {
		t.Errorf("b kept parts that a has had: %+v", l)
	}
	for _, torn := range []bool{false, true} {
		c = NewCoordinator(now, []View{stored}, 1<<40, torn)
		now += LeaseTime // while all parts may be in use
		want := Whole / 2
		if torn {
			want = 0
		}
		if l := leases("a", "b"); l["b"].Parts != Whole/2 || l["b"].Kept != want {
			t.Errorf("torn %v: %+v", torn, l)
		}
	}
}
