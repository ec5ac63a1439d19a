package membership

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"
)

// world is a simulated network of Cores. Datagrams are lost and doubled by seed.
type world struct {
	t       testing.TB
	rand    *rand.Rand
	now     time.Duration
	queue   events
	nodes   []*node
	at      map[string]*node // who listens at an address
	lost    float64
	doubled float64
	cut     func(from, to *node) bool
	largest int
	order   int
}

type node struct {
	*Core
	addr string
	up   bool
	life int // a timer of an older life is not this one's
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func newWorld(t testing.TB, seed uint64) *world {
	return &world{t: t, rand: rand.New(rand.NewPCG(seed, 1)), at: map[string]*node{}, lost: 0.01, doubled: 0.01}
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7660", i>>16, i>>8&255, i&255) }

// start starts (again) number i, with an empty memory.
func (w *world) start(i int, role string, life uint64, seeds []string) *node {
	addr := address(i)
	n := w.at[addr]
	if n == nil {
		n = &node{addr: addr}
		w.at[addr] = n
		w.nodes = append(w.nodes, n)
	}
	c, err := New(Options{
		Self: Peer{Name: fmt.Sprintf("edge-mondello-%d", i), Role: role, Zone: "mondello", Addr: addr, Incarnation: life},
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
		Send: func(to string, msg []byte) { w.send(n, to, msg) },
	})
	if err != nil {
		w.t.Fatal(err)
	}
	n.Core, n.up = c, true
	n.life++
	c.AddSeeds(w.now, seeds)
	w.tick(n, n.life)
	return n
}

func (w *world) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	next := n.Tick(w.now)
	if next <= w.now {
		w.t.Fatalf("%s wants its next tick at %v, it is %v", n.addr, next, w.now)
	}
	w.after(next-w.now, func() { w.tick(n, life) })
}

func (w *world) send(from *node, to string, msg []byte) {
	w.largest = max(w.largest, len(msg))
	msg = slices.Clone(msg)
	times := 1
	if w.rand.Float64() < w.lost {
		times = 0
	} else if w.rand.Float64() < w.doubled {
		times = 2
	}
	for range times {
		w.after(time.Duration(500+w.rand.IntN(9500))*time.Microsecond, func() {
			n := w.at[to]
			if n == nil || !n.up || w.cut != nil && w.cut(from, n) {
				return
			}
			n.Receive(w.now, from.addr, msg)
		})
	}
}

// fleet starts n members within 0.3 s, of which the first keepers are keepers; the first three of these are the seeds.
func fleet(w *world, n, keepers int) (seeds []string) {
	for i := range min(3, keepers) {
		seeds = append(seeds, address(i))
	}
	for i := range n {
		role := "proxy"
		if i < keepers {
			role = RoleKeeper
		}
		w.after(time.Duration(w.rand.IntN(300))*time.Millisecond, func() { w.start(i, role, 1000+uint64(i), seeds) })
	}
	return seeds
}

func (w *world) alive() (v []*node) {
	for _, n := range w.nodes {
		if n.up {
			v = append(v, n)
		}
	}
	return v
}

// reached counts those that can be reached from the first one alive over views, taken one way, and
// over views taken both ways.
func (w *world) reached() (oneWay, bothWays int) {
	next, both := map[string][]string{}, map[string][]string{}
	for _, n := range w.alive() {
		for _, p := range n.View() {
			if m := w.at[p.Addr]; m != nil && m.up {
				next[n.addr] = append(next[n.addr], p.Addr)
				both[n.addr] = append(both[n.addr], p.Addr)
				both[p.Addr] = append(both[p.Addr], n.addr)
			}
		}
	}
	walk := func(edges map[string][]string) int {
		seen := map[string]bool{w.alive()[0].addr: true}
		todo := []string{w.alive()[0].addr}
		for len(todo) > 0 {
			a := todo[len(todo)-1]
			todo = todo[:len(todo)-1]
			for _, b := range edges[a] {
				if !seen[b] {
					seen[b] = true
					todo = append(todo, b)
				}
			}
		}
		return len(seen)
	}
	return walk(next), walk(both)
}

func (w *world) inViews(addr string, life uint64) (n int) {
	for _, m := range w.alive() {
		if slices.ContainsFunc(m.View(), func(p Peer) bool { return p.Addr == addr && p.Incarnation == life }) {
			n++
		}
	}
	return n
}

// liveKeepers returns the fewest live keepers that a process that is up knows.
func (w *world) liveKeepers() int {
	fewest := 1 << 30
	for _, n := range w.alive() {
		k := 0
		for _, p := range n.Keepers() {
			if m := w.at[p.Addr]; m != nil && m.up && m.self.Incarnation == p.Incarnation {
				k++
			}
		}
		fewest = min(fewest, k)
	}
	return fewest
}

func (w *world) connected() {
	w.t.Helper()
	if one, both := w.reached(); one != len(w.alive()) || both != len(w.alive()) {
		w.t.Errorf("of %d members, %d are reached over views, %d over views taken both ways", len(w.alive()), one, both)
	}
}

func keepersOf(n int) int { return min(8, (n+1)/2) }

func TestFiguresBySize(t *testing.T) {
	sizes := []int{10, 30, 100, 300, 1000}
	if testing.Short() {
		sizes = sizes[:3]
	}
	for _, n := range sizes {
		w := newWorld(t, uint64(n))
		fleet(w, n, keepersOf(n))
		var whole time.Duration
		for w.now < 20*time.Second {
			w.run(w.now + 100*time.Millisecond)
			if one, _ := w.reached(); whole == 0 && w.now > 300*time.Millisecond && one == n {
				whole = w.now
			}
		}
		w.connected()
		before := make([]Stats, n)
		for i, m := range w.nodes {
			before[i] = m.Stats()
		}
		w.run(w.now + time.Minute)
		w.connected()
		var sent, bytes, most float64
		ages := 0
		for i, m := range w.nodes {
			s := m.Stats()
			sent += float64(s.Sent - before[i].Sent)
			bytes += float64(s.SentBytes - before[i].SentBytes)
			most = max(most, float64(s.Sent-before[i].Sent))
			for _, p := range m.Keepers() {
				ages = max(ages, int(p.Age))
			}
		}
		per := float64(n) * 60
		t.Logf("%4d members: all reached after %v; a member sends %.2f datagrams and %.0f bytes a second, the busiest %.2f datagrams; largest %d bytes; keepers known by everyone at least %d, oldest entry %d rounds",
			n, whole, sent/per, bytes/per, most/60, w.largest, w.liveKeepers(), ages)
		if sent/per > 1.1 || bytes/per > 1000 {
			t.Errorf("%d members: %.2f datagrams, %.0f bytes a second: load must not grow", n, sent/per, bytes/per)
		}
		if most/60 > 2.5 {
			t.Errorf("%d members: the busiest sends %.2f datagrams a second", n, most/60)
		}
		if whole == 0 || whole > 10*time.Second {
			t.Errorf("%d members: all reached after %v", n, whole)
		}
		if k := w.liveKeepers(); k < min(3, keepersOf(n)-1) {
			t.Errorf("%d members: one knows %d keepers", n, k)
		}
		if w.largest >= 1200 {
			t.Errorf("a datagram of %d bytes", w.largest)
		}
	}
}

func TestNewcomerIsKnown(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		if testing.Short() && n > 100 {
			continue
		}
		w := newWorld(t, uint64(n)+7)
		seeds := fleet(w, n, keepersOf(n))
		w.run(30 * time.Second)
		begin := w.now
		w.start(n, "proxy", 5000, seeds)
		var took [2]time.Duration
		for w.now < begin+30*time.Second && took[1] == 0 {
			w.run(w.now + 50*time.Millisecond)
			k := w.inViews(address(n), 5000)
			if one, _ := w.reached(); took[0] == 0 && k >= 1 && one == n+1 {
				took[0] = w.now - begin
			}
			if took[1] == 0 && k >= 5 {
				took[1] = w.now - begin
			}
		}
		t.Logf("%d members: a newcomer is reached from everywhere after %v, in 5 views after %v", n, took[0], took[1])
		if took[0] == 0 || took[1] == 0 || took[0] > 2*time.Second || took[1] > 25*time.Second {
			t.Errorf("%d members: a newcomer is reached after %v, in 5 views after %v", n, took[0], took[1])
		}
	}
}

func TestThirtyPercentDie(t *testing.T) {
	for seed := range uint64(5) {
		n := 300
		w := newWorld(t, seed)
		fleet(w, n, 8)
		w.run(30 * time.Second)
		for _, i := range w.rand.Perm(n)[:n*3/10] {
			w.nodes[i].up = false
		}
		one, both := w.reached()
		w.run(w.now + 30*time.Second)
		t.Logf("of %d left, at once %d are reached over views, %d both ways; keepers known by everyone after 30 s: at least %d", len(w.alive()), one, both, w.liveKeepers())
		if both != len(w.alive()) {
			t.Errorf("the views came apart: %d of %d", both, len(w.alive()))
		}
		w.connected()
		if w.liveKeepers() < 1 {
			t.Error("a process knows no live keeper")
		}
	}
}

func TestSeedsDead(t *testing.T) {
	for _, dead := range []int{1, 2} {
		w := newWorld(t, 3)
		seeds := fleet(w, 30, 8)
		w.run(20 * time.Second)
		for i := range dead {
			w.at[seeds[i]].up = false
		}
		n := w.start(30, "proxy", 9000, seeds)
		begin := w.now
		for !n.Joined() && w.now < begin+5*time.Second {
			w.run(w.now + 10*time.Millisecond)
		}
		w.run(begin + 3*time.Second)
		live := 0
		for _, p := range n.Keepers() {
			if w.at[p.Addr].up {
				live++
			}
		}
		if !n.Joined() || live < 2 {
			t.Errorf("%d of 3 seeds dead: joined %v, %d live keepers after 3 s", dead, n.Joined(), live)
		}
		w.run(w.now + time.Minute)
		w.connected()
	}
}

func TestAllSeedsDeadAtFirst(t *testing.T) {
	w := newWorld(t, 4)
	seeds := []string{address(0), address(1), address(2)}
	n := w.start(9, "proxy", 1, seeds)
	w.run(5 * time.Second)
	if s := n.Stats().Sent; s < 40 || s > 75 {
		t.Errorf("%d datagrams to 3 seeds in 5 s: 300 ms apart are 50", s)
	}
	w.run(10 * time.Minute)
	s := n.Stats().Sent
	w.run(20 * time.Minute)
	if s = n.Stats().Sent - s; s > 3*10*60 || s < 3*60 {
		t.Errorf("%d datagrams in 10 minutes to seeds that stay dead", s)
	}
	for i := range 3 {
		w.start(i, RoleKeeper, 2, seeds)
	}
	w.run(w.now + 5*time.Second)
	if !n.Joined() || len(n.Keepers()) != 3 {
		t.Errorf("after the seeds came: joined %v, keepers %v", n.Joined(), n.Keepers())
	}
}

func TestRestartsHaveOneLife(t *testing.T) {
	w := newWorld(t, 5)
	seeds := fleet(w, 60, 8)
	w.run(20 * time.Second)
	for i := range 60 {
		if i%3 == 0 {
			w.at[address(i)].up = false
			role := w.at[address(i)].self.Role
			w.after(2*time.Second, func() { w.start(i, role, 100_000+uint64(i), seeds) })
		}
	}
	// Once a view has had the new life, it never has the old one.
	type saw struct{ who, what string }
	newer := map[saw]int{}
	for end := w.now + time.Minute; w.now < end; {
		w.run(w.now + 100*time.Millisecond)
		for _, n := range w.alive() {
			for _, p := range n.View() {
				k := saw{n.addr, p.Addr}
				switch {
				case p.Incarnation >= 100_000:
					newer[k] = n.life
				case newer[k] == n.life:
					t.Fatalf("%s: an older life of %s came back", n.addr, p.Name)
				}
			}
		}
	}
	w.connected()
	for i := 0; i < 60; i += 3 {
		if w.inViews(address(i), 100_000+uint64(i)) == 0 {
			t.Errorf("the new life of %d is in no view", i)
		}
	}
}

func TestPartsThatWereCutOffMeetAgain(t *testing.T) {
	w := newWorld(t, 6)
	fleet(w, 40, 8)
	w.run(20 * time.Second)
	side := func(n *node) bool { return n.self.Incarnation%2 == 0 }
	w.cut = func(a, b *node) bool { return side(a) != side(b) }
	w.run(w.now + 10*time.Minute)
	if _, both := w.reached(); both != 20 {
		t.Errorf("%d are reached on a side of 20", both)
	}
	w.cut = nil
	begin := w.now
	for w.now < begin+2*time.Minute {
		w.run(w.now + time.Second)
		if one, _ := w.reached(); one == len(w.nodes) {
			break
		}
	}
	t.Logf("after a cut of 10 minutes the views are one again in %v", w.now-begin)
	if w.now-begin > 70*time.Second {
		t.Errorf("views that were cut apart meet after %v", w.now-begin)
	}
	w.run(w.now + time.Minute)
	w.connected()
}

func TestOneThatWasCutOffComesBack(t *testing.T) {
	w := newWorld(t, 8)
	fleet(w, 40, 8)
	w.run(20 * time.Second)
	alone := w.nodes[39]
	w.cut = func(a, b *node) bool { return a == alone || b == alone }
	w.run(w.now + 5*time.Minute)
	if len(alone.Keepers()) == 0 {
		t.Error("it has forgotten all keepers")
	}
	w.cut = nil
	w.run(w.now + 5*time.Second)
	if alone.young() == 0 || w.inViews(alone.addr, alone.self.Incarnation) == 0 {
		t.Errorf("5 s after the cut it knows %d young keepers and is in %d views", alone.young(), w.inViews(alone.addr, alone.self.Incarnation))
	}
}

func TestSameAddressAnotherName(t *testing.T) {
	c := lone(t)
	old := Peer{Name: "old", Role: RoleKeeper, Addr: "10.0.0.2:7660", Incarnation: 5}
	fresh := Peer{Name: "fresh", Role: RoleKeeper, Addr: "10.0.0.2:7660", Incarnation: 9}
	give(c, old)
	give(c, fresh)
	give(c, old)
	if v := c.Keepers(); len(v) != 1 || v[0].Name != "fresh" {
		t.Errorf("keepers %v", v)
	}
	if v := c.View(); len(v) != 1 || v[0].Name != "fresh" {
		t.Errorf("view %v", v)
	}
}

func TestOwnEntryFromAnEarlierLife(t *testing.T) {
	c := lone(t)
	give(c, Peer{Name: "self", Role: "proxy", Addr: "10.0.0.1:7660", Incarnation: 700})
	if c.Self().Incarnation != 701 || len(c.View()) != 0 {
		t.Errorf("self %v, view %v", c.Self(), c.View())
	}
}

func TestMalformedIsCounted(t *testing.T) {
	c := lone(t)
	from := Peer{Name: "a", Role: "proxy", Addr: "10.0.0.2:7660", Incarnation: 1}
	m := message{kind: kindAsk, from: from}
	good, _ := m.encode(nil, []Peer{{Name: "b", Addr: "10.0.0.3:1", Incarnation: 2}}, nil)
	bad := [][]byte{nil, []byte("x"), append(slices.Clone(good), 0), make([]byte, 5000)}
	for i := range good {
		bad = append(bad, good[:i])
	}
	for _, p := range []Peer{{Name: "", Addr: "10.0.0.3:1"}, {Name: "b", Addr: "nowhere"}, {Name: string(make([]byte, 65)), Addr: "10.0.0.3:1"}} {
		b, _ := m.encode(nil, []Peer{p}, nil)
		bad = append(bad, b)
	}
	for _, b := range bad {
		c.Receive(0, from.Addr, b)
	}
	if s := c.Stats(); int(s.Malformed) != len(bad) || s.Sent != 0 || len(c.View()) != 0 {
		t.Errorf("%d bad datagrams: %+v, view %v", len(bad), s, c.View())
	}
	c.Receive(0, from.Addr, good)
	if len(c.View()) != 2 {
		t.Errorf("view %v", c.View())
	}
}

func FuzzReceive(f *testing.F) {
	m := message{kind: kindAnswer, from: Peer{Name: "a", Addr: "10.0.0.2:7660", Incarnation: 1}}
	b, _ := m.encode(nil, []Peer{{Name: "b", Addr: "10.0.0.3:1", Incarnation: 2}}, nil)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := lone(t)
		c.Receive(0, "10.0.0.2:7660", b)
		if len(c.View()) > c.options.ViewSize {
			t.Errorf("%d in view", len(c.View()))
		}
	})
}

func TestLongFieldsStayInOneDatagram(t *testing.T) {
	long := func(i int) Peer {
		s := fmt.Sprintf("%064d", i)
		return Peer{Name: s, Role: s, Zone: s, Addr: address(i), Incarnation: 1}
	}
	var v []Peer
	for i := range 12 {
		v = append(v, long(i))
	}
	m := message{kind: kindAsk, from: long(99)}
	b, sent := m.encode(nil, v, v)
	got, err := decode(b)
	if err != nil || len(b) > maxMessage || len(sent) == 0 || !slices.Equal(got.peers, sent) {
		t.Errorf("%d bytes, %d sent, %d got: %v", len(b), len(sent), len(got.peers), err)
	}
}

func lone(t testing.TB) *Core {
	c, err := New(Options{
		Self: Peer{Name: "self", Role: "proxy", Addr: "10.0.0.1:7660", Incarnation: 3},
		Rand: rand.New(rand.NewPCG(1, 1)),
		Send: func(string, []byte) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func give(c *Core, p Peer) {
	m := message{kind: kindAsk, from: p}
	b, _ := m.encode(nil, nil, nil)
	c.Receive(0, p.Addr, b)
}

func TestServiceOverSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var conns []*net.UDPConn
	for range 4 {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	var all []*Service
	for i, c := range conns {
		role := "proxy"
		if i == 0 {
			role = RoleKeeper
		}
		s, err := Start(ctx, c, Options{
			Self:          Peer{Name: fmt.Sprint("p", i), Role: role, Addr: c.LocalAddr().String(), Incarnation: 1},
			RoundInterval: 20 * time.Millisecond,
		}, []string{conns[0].LocalAddr().String()})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, s := range all {
		for len(s.View()) < 3 {
			if time.Now().After(deadline) {
				t.Fatalf("%s knows %v", s.Self().Name, s.View())
			}
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	for _, s := range all {
		<-s.Done()
	}
}

// TestSeedsAreReplaced changes the seeds many times: the newest are always tried, and the old ones are given up.
func TestSeedsAreReplaced(t *testing.T) {
	w := newWorld(t, 8)
	seedsOf := func(turn int) []string { return []string{address(10 + 2*turn), address(11 + 2*turn)} }
	n := w.start(0, "proxy", 1, seedsOf(0))
	const turns = 20
	for turn := 1; turn < turns; turn++ {
		w.run(w.now + time.Second)
		n.SetSeeds(w.now, seedsOf(turn))
		for _, seed := range seedsOf(turn) {
			if !slices.ContainsFunc(n.contacts, func(k contact) bool { return k.addr == seed && k.seed }) {
				t.Fatalf("turn %d: %s is no seed", turn, seed)
			}
		}
		if len(n.contacts) > maxContacts {
			t.Fatalf("turn %d: %d contacts", turn, len(n.contacts))
		}
	}
	last := seedsOf(turns - 1)
	for i := range last {
		w.start(10+2*(turns-1)+i, RoleKeeper, 2, last)
	}
	w.run(w.now + 10*time.Second)
	if !n.Joined() || len(n.Keepers()) != 2 {
		t.Errorf("joined %v, keepers %v", n.Joined(), n.Keepers())
	}
	w.run(w.now + time.Hour)
	for _, k := range n.contacts {
		if k.seed != slices.Contains(last, k.addr) {
			t.Errorf("%s: seed %v", k.addr, k.seed)
		}
	}
}
