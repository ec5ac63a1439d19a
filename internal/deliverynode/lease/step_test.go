package lease

import (
	crand "crypto/rand"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs/vfstest"
)

// sim simulates leases without goroutines and sockets: voters with raft and disks, and clients, each with its own clock, over
// a network that loses, duplicates and delays messages and has partitions. The seed determines all of it.
type sim struct {
	t     testing.TB
	rng   *rand.Rand
	now   time.Duration // true time
	nodes []*simNode
	way   []*packet
	cut   map[[2]int]bool
	names []string
	seed  uint64

	granted map[string]tenured // the last tenure of each name
	agreed  map[string]uint64  // digests of state machines, by log and index
	done    []string           // the last events
	stats   map[string]int
	pending []string      // the voters that operators have ordered, until the order is confirmed
	busy    bool          // the recovery from a disaster is in progress
	long    time.Duration // the greatest length
}

type tenured struct {
	token  uint64
	holder string
}

type simNode struct {
	name    string
	votes   bool
	up      bool
	paused  bool
	inc     uint64 // the incarnation of this process
	maxInc  uint64 // the greatest incarnation so far
	start   uint64
	disk    *vfstest.Disk
	old     *vfstest.Disk // an earlier copy of it, under oldInc
	oldInc  uint64
	stale   bool // it runs on an old copy, and has not been informed yet
	v       *Voter
	a       *Client
	rate    float64
	boot    time.Duration // true time of its start
	offset  time.Duration // its clock at boot
	applied uint64
}

type packet struct {
	from, to int
	fromInc  uint64
	key      string
	body     []byte
	ask      *request
	number   uint64  // of an answer
	ans      *answer // to the client's incarnation fromInc
}

// clock returns a node's own clock: its rate is wrong by up to 1%, and it cannot be compared with other nodes' clocks.
func (n *simNode) clock(s *sim) time.Duration {
	return n.offset + time.Duration(n.rate*float64(s.now-n.boot))
}

type seeded struct{ rng *rand.Rand }

func (r seeded) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.rng.Uint32())
	}
	return len(p), nil
}

func newSim(t testing.TB, seed uint64, voters, askers int) *sim {
	t.Helper()
	s := &sim{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, names: []string{"a", "b", "c"},
		long:    []time.Duration{3 * time.Second, 8 * time.Second}[seed%2], // less, and more, than an election takes
		granted: map[string]tenured{}, agreed: map[string]uint64{}, stats: map[string]int{}, now: time.Hour}
	crand.Reader = seeded{s.rng} // raft draws its election timeouts from it
	for i := range voters + askers {
		n := &simNode{name: fmt.Sprint("n", i), votes: i < voters, disk: vfstest.New()}
		s.nodes = append(s.nodes, n)
	}
	for i := range s.nodes {
		s.launch(i)
	}
	return s
}

func (s *sim) pick(n int) int { return s.rng.IntN(n) }

func (s *sim) voters() (all []string) {
	for _, n := range s.nodes {
		if n.votes {
			all = append(all, n.name)
		}
	}
	return all
}

func (s *sim) launch(i int) {
	n := s.nodes[i]
	n.inc++
	n.maxInc = max(n.maxInc, n.inc)
	n.up, n.paused, n.start = true, false, s.rng.Uint64()
	n.boot, n.offset, n.rate = s.now, time.Duration(s.rng.Int64N(int64(time.Hour))), 0.99+0.02*float64(s.pick(3))/2
	n.a = NewClient(n.name, s.voters(), s.rng.Float64)
	n.a.Restart(n.inc)
	n.v, n.applied = nil, 0
	if n.votes {
		n.disk.FailAt = 0
		v, err := NewVoter(VoterOptions{Name: n.name, Start: n.start, Incarnation: func() uint64 { return n.inc }, Folder: n.disk, Voters: s.voters(), Longest: s.long, Most: 100,
			Random: s.rng.Uint64, Above: func() uint64 { return uint64(s.now) }, Log: s.log(n)}, n.clock(s))
		if err != nil {
			s.fail("%s does not start: %v", n.name, err)
		}
		n.v = v
	}
}

func (s *sim) log(n *simNode) *slog.Logger {
	if os.Getenv("LEASE_LOG") == "" {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", n.name, "at", s.now)
}

func (s *sim) fail(form string, args ...any) {
	s.t.Helper()
	s.t.Logf("seed %d", s.seed)
	for _, line := range s.done[max(0, len(s.done)-60):] {
		s.t.Log(line)
	}
	s.t.Fatalf(form, args...)
}

func (s *sim) note(form string, args ...any) {
	line := fmt.Sprintf("%v ", s.now-time.Hour) + fmt.Sprintf(form, args...)
	if s.done = append(s.done, line); len(s.done) > 400 {
		s.done = slices.Clone(s.done[200:])
	}
}

func (s *sim) index(name string) int {
	return slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == name })
}

// guard ends a process on an old folder in which raft panics because its log contradicts received messages, as Leases does.
func (s *sim) guard(i int) {
	n := s.nodes[i]
	if !n.stale {
		return
	}
	if p := recover(); p != nil {
		s.note("%s panics on its old folder: %v", n.name, p)
		n.up, n.v = false, nil
		s.stats["panics"]++
	}
}

// settle carries out the effects of a node's events.
func (s *sim) settle(i int) {
	n := s.nodes[i]
	if !n.up {
		return
	}
	defer s.guard(i)
	if n.v != nil {
		for _, out := range n.v.Flush(n.clock(s)) {
			to := s.index(out.To)
			old := slices.IndexFunc(s.way, func(p *packet) bool {
				return p.from == i && p.to == to && p.key == out.Key && p.ask == nil && p.ans == nil
			})
			if old >= 0 {
				s.way = slices.Delete(s.way, old, old+1)
			}
			s.way = append(s.way, &packet{from: i, to: to, fromInc: n.inc, key: out.Key, body: out.Body})
		}
		s.agree(n)
	}
	if r := n.a.Step(n.clock(s)); r != nil {
		s.way = append(s.way, &packet{from: i, to: s.index(r.To), fromInc: n.inc, ask: &r.Ask})
	}
}

// agree checks that all nodes at the same index of the same log have the same state.
func (s *sim) agree(n *simNode) {
	if n.v.node == nil || n.v.applied == n.applied {
		return
	}
	n.applied = n.v.applied
	text, err := n.v.machine.snapshot()
	if err != nil {
		s.fail("%v", err)
	}
	h := fnv.New64a()
	_, _ = h.Write(text)
	place := fmt.Sprint(n.v.self.Log, n.applied)
	if was, there := s.agreed[place]; there && was != h.Sum64() {
		s.fail("%s has another state at %s than another node had", n.name, place)
	}
	s.agreed[place] = h.Sum64()
}

// believe checks that each name has at most one holder, and that tokens grow.
func (s *sim) believe() {
	for _, name := range s.names {
		holder := ""
		for _, n := range s.nodes {
			if !n.up {
				continue
			}
			token, _ := n.a.Held(name, n.clock(s))
			if token == 0 {
				continue
			}
			me := fmt.Sprint(n.name, ".", n.inc)
			if holder != "" {
				s.fail("%s is held by %s and by %s, under token %d", name, holder, me, token)
			}
			holder = me
			was := s.granted[name]
			if token < was.token || token == was.token && was.holder != me {
				s.fail("%s has %s under token %d, after %s under %d", me, name, token, was.holder, was.token)
			}
			if token > was.token {
				for other, t := range s.granted {
					if t.token == token {
						s.fail("token %d is for %s and for %s", token, other, name)
					}
				}
				s.stats["grants"]++
			}
			s.granted[name] = tenured{token, me}
		}
	}
}

// arrive delivers the k-th message in flight to its receiver.
func (s *sim) arrive(k int, twice bool) {
	p := s.way[k]
	n := s.nodes[p.to]
	if !n.up || n.paused { // the message waits for a paused receiver, and is lost if the receiver is down
		if !n.up {
			s.way = slices.Delete(s.way, k, k+1)
		}
		return
	}
	if !twice {
		s.way = slices.Delete(s.way, k, k+1)
	}
	defer s.settle(p.to)
	defer s.guard(p.to)
	switch {
	case p.ans != nil:
		if n.inc == p.fromInc {
			n.a.Answer(p.number, *p.ans, n.clock(s))
		}
	case p.ask != nil:
		if n.v == nil {
			break
		}
		a := *p.ask
		n.v.Ask(n.clock(s), a, func(ans answer) {
			s.way = append(s.way, &packet{from: p.to, to: p.from, fromInc: p.fromInc, number: a.Number, ans: &ans})
		})
	case p.key[0] == 'f': // free
		n.a.Freed(p.key[len(freeKey):], n.clock(s))
	case n.v != nil:
		n.v.Receive(n.clock(s), fleet.Peer{Name: s.nodes[p.from].name, Incarnation: p.fromInc}, p.body)
	}
}

// pass advances the time of all nodes.
func (s *sim) pass(d time.Duration) {
	s.now += d
	for i, n := range s.nodes {
		if !n.up || n.paused {
			continue
		}
		if n.v != nil {
			func() {
				defer s.guard(i)
				n.v.Tick(n.clock(s))
			}()
		}
		if n.a.out != nil && n.clock(s)-n.a.out.at > n.a.out.timeout() {
			n.a.NoAnswer(n.a.out.Number, n.clock(s))
		}
		s.settle(i)
	}
}

// whole reports whether each voter votes under the raft id that the log has.
func (s *sim) whole() bool {
	for _, n := range s.nodes {
		if n.votes && (!n.up || n.v.node == nil || n.stale || !slices.Contains(n.v.conf.GetVoters(), n.v.self.Voter) || len(n.v.conf.GetVoters()) != len(s.voters())) {
			return false
		}
	}
	return true
}

// step carries out one random event.
func (s *sim) step() {
	i := s.pick(len(s.nodes))
	n := s.nodes[i]
	switch c := s.pick(1000); {
	case c < 500 && len(s.way) > 0:
		s.deliver()
	case c < 800:
		s.pass(time.Duration(1+s.pick(30)) * time.Millisecond)
	case c < 880:
		if name := s.names[s.pick(len(s.names))]; n.up && !n.paused {
			if s.pick(5) > 0 {
				_ = n.a.Want(name, Shortest+time.Duration(s.rng.Int64N(int64(s.long-Shortest))), n.clock(s))
			} else {
				n.a.Drop(name, n.clock(s))
			}
			s.settle(i)
		}
	default:
		s.fault(i, c)
	}
	s.believe()
	if s.pending != nil && s.pick(100) == 0 {
		s.wish()
	}
}

// deliver delivers, duplicates or loses one of the messages in flight.
func (s *sim) deliver() {
	k := s.pick(min(len(s.way), 8))
	if s.pick(10) == 0 {
		k = s.pick(len(s.way))
	}
	p := s.way[k]
	if s.cut[[2]int{p.from, p.to}] || s.pick(40) == 0 {
		s.way = slices.Delete(s.way, k, k+1)
		return
	}
	s.arrive(k, s.pick(30) == 0)
}

// fault begins or ends a fault at a node or on the network.
func (s *sim) fault(i, c int) {
	n := s.nodes[i]
	switch {
	case c < 960 && s.pick(4) > 0: // faults are rarer, because an election takes 200 steps
	case c < 890 && s.pick(4) == 0:
		s.cut[[2]int{i, s.pick(len(s.nodes))}] = s.pick(3) > 0
	case c < 893:
		clear(s.cut)
	case c < 896 && n.up:
		n.paused = !n.paused
		s.note("%s is stopped: %v", n.name, n.paused)
	case c < 900 && n.up:
		s.kill(i)
	case c < 930 && !n.up:
		s.note("%s starts", n.name)
		s.launch(i)
		s.settle(i)
	case c < 933 && n.up && !n.paused && !n.stale:
		n.inc, n.maxInc = n.maxInc+1, n.maxInc+1 // removed, and back under another incarnation
		n.a.Restart(n.inc)
		s.note("%s is incarnation %d", n.name, n.inc)
	case c < 938 && n.up && n.votes:
		n.disk.FailAt, n.disk.Fails = n.disk.Ops+1+s.pick(4), 1+s.pick(12)
	case c < 946 && n.votes && n.up && !n.stale && n.v.node != nil:
		if n.old == nil || s.pick(4) == 0 {
			n.old, n.oldInc = n.disk.Copy(), n.inc
		}
	case c < 947 && s.pick(12) == 0:
		s.disaster()
	case c < 956 && n.stale && n.up && !n.paused:
		s.fresh(i)
	case c < 960 && s.rng.IntN(20) == 0:
		s.pass(time.Duration(s.pick(5000)) * time.Millisecond)
	}
}

// fresh informs a node on an old folder that others have seen a later incarnation.
func (s *sim) fresh(i int) {
	n := s.nodes[i]
	s.note("%s is informed that its folder is old", n.name)
	n.stale = false
	if err := n.v.Old(n.clock(s)); err != nil {
		n.stale = true
		return
	}
	n.inc, n.maxInc = n.maxInc+1, n.maxInc+1
	n.a.Restart(n.inc)
}

// kill ends a process: its folder is kept, loses what was not synced, is lost, or is replaced by an old one. The last two
// happen to one node at a time, and not before all others have seen that node's last incarnation.
func (s *sim) kill(i int) {
	n := s.nodes[i]
	whole := s.whole() && n.votes
	for _, o := range s.nodes {
		whole = whole && (o == n || !o.votes || o.v.seen[n.v.self.Voter] == (incarnation{n.inc, n.start}))
	}
	n.up, n.paused = false, false
	if n.v != nil {
		n.v.Close()
	}
	n.v = nil
	s.way = slices.DeleteFunc(s.way, func(p *packet) bool { return p.ans != nil && p.to == i })
	switch c := s.pick(10); {
	case c < 3:
		n.disk.PowerLoss(s.pick)
		s.note("%s loses its power", n.name)
	case c < 5 && whole:
		n.disk = vfstest.New()
		s.stats["lost"]++
		s.note("%s loses its folder", n.name)
	case c < 7 && whole && n.old != nil && n.oldInc < n.inc:
		n.disk, n.inc, n.stale = n.old.Copy(), n.oldInc, true
		s.stats["old"]++
		s.note("%s gets a folder of incarnation %d", n.name, n.oldInc)
	case c < 8 && whole && n.disk.File(logName) != nil:
		text := n.disk.File(logName)
		text[s.pick(len(text))] ^= 1 << s.pick(8)
		s.stats["spoilt"]++
		s.note("%s: a bit of its log is flipped", n.name)
	default:
		s.note("%s is killed", n.name)
	}
	s.stats["kills"]++
}

// disaster loses the folders of all voters, or of a majority of them; then operators recover the log at one that is left, and
// order who should vote.
func (s *sim) disaster() {
	if s.busy || !s.whole() {
		return
	}
	lose := len(s.voters())
	if s.pick(2) == 0 {
		lose = lose/2 + 1
	}
	order := s.rng.Perm(len(s.voters()))
	if lose < len(order) { // the remaining voter may lack entries that the others have committed since
		s.nodes[order[lose]].paused = true
		s.busy = true
		for range s.pick(600) {
			s.step()
		}
		s.busy = false
		if !s.nodes[order[lose]].up || s.nodes[order[lose]].v.node == nil {
			return
		}
	}
	for _, i := range order[:lose] {
		n := s.nodes[i]
		if n.v != nil {
			n.v.Close()
		}
		n.up, n.paused, n.v, n.disk, n.old, n.stale = false, false, nil, vfstest.New(), nil, false
		n.inc = n.maxInc // as the other nodes of the fleet have seen
	}
	s.note("%d of %d voters lose their folders", lose, len(order))
	s.stats["disasters"]++
	if lose == len(order) {
		if s.pick(2) == 0 { // all are up again before the held leases have expired
			clear(s.cut)
			for _, i := range order {
				s.launch(i)
			}
		}
		return
	}
	n := s.nodes[order[lose]]
	n.disk.FailAt, n.paused = 0, false
	for k := 0; n.v.Leader() != ""; k++ { // until it detects that there is no majority
		if k == 100 {
			s.fail("%s still sees a leader", n.name)
		}
		s.pass(100 * time.Millisecond)
		s.believe()
	}
	if err := n.v.Recover(n.clock(s)); err != nil {
		s.fail("recovery: %v", err)
	}
	s.settle(order[lose])
	s.pending = s.voters()
}

// wish sends the operators' order of who should vote to the present leader, until it is confirmed.
func (s *sim) wish() {
	for i, n := range s.nodes {
		if s.pending != nil && n.up && !n.paused && n.v != nil && n.v.leads() && n.v.self.Log.Epoch > 1 {
			n.v.Want(n.clock(s), s.pending, func(ans answer) {
				if ans.No == "" {
					s.pending = nil
				}
			})
			s.settle(i)
		}
	}
}

// heal ends all faults, and checks that every node that wants a lease gets it in time.
func (s *sim) heal() {
	clear(s.cut)
	for i, n := range s.nodes {
		n.paused = false
		n.disk.FailAt = 0
		if !n.up {
			s.launch(i)
		}
		if n.stale {
			s.fresh(i)
		}
	}
	run := func(what string, within time.Duration, done func() bool) {
		for end := s.now + within; !done(); {
			if s.now > end {
				for _, n := range s.nodes {
					if n.v != nil && n.v.node != nil {
						s.note("%s: %+v; life %d %x; seen %x", n.name, *n.v.status(n.clock(s)), n.inc, n.start, n.v.seen)
					}
				}
				s.fail("%s: not within %v", what, within)
			}
			for len(s.way) > 0 {
				s.arrive(0, false)
				s.believe()
			}
			s.pass(10 * time.Millisecond)
			s.believe()
			if s.now%(100*time.Millisecond) < 10*time.Millisecond {
				s.wish()
			}
		}
	}
	run("all vote", 60*time.Second, s.whole)
	// Each node in turn gets all leases, because the others release them.
	for i, n := range s.nodes {
		for j, o := range s.nodes {
			for _, name := range s.names {
				if i != j {
					o.a.Drop(name, o.clock(s))
				}
			}
		}
		for _, name := range s.names {
			_ = n.a.Want(name, s.long, n.clock(s))
		}
		run(n.name+" has all", 2*s.long+5*time.Second, func() bool {
			for _, name := range s.names {
				if token, _ := n.a.Held(name, n.clock(s)); token == 0 {
					return false
				}
			}
			return true
		})
	}
	s.stats["healed"]++
}

// number returns an integer from an environment variable, for longer runs than in CI.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// Under random orders of events and faults, a lease has at most one holder, tokens grow, and committed entries stay committed;
// when the faults end, every node gets the leases that it wants. LEASE_SEEDS and LEASE_STEPS run more of it, LEASE_SEED a
// single seed.
func TestEveryOrderDrawn(t *testing.T) {
	stats := map[string]int{}
	steps := number("LEASE_STEPS", 30000)
	first, last := 1, number("LEASE_SEEDS", 20)
	if one := number("LEASE_SEED", 0); one > 0 {
		first, last = one, one
	}
	for seed := first; seed <= last; seed++ {
		s := newSim(t, uint64(seed), 3+2*(seed%5/4), 2)
		func() {
			defer func() {
				if p := recover(); p != nil {
					s.fail("seed %d: %v", seed, p)
				}
			}()
			for k := range steps {
				s.step()
				if k%4000 == 3999 {
					s.heal()
				}
			}
		}()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		for what, n := range s.stats {
			stats[what] += n
		}
		for _, n := range s.nodes {
			if n.v != nil {
				stats["lapsed"] += n.v.stats.Lapsed
				stats["renewed"] += n.v.stats.Renewed
			}
		}
	}
	t.Log(stats)
	if steps >= 10000 && last-first >= 10 && min(stats["grants"], stats["kills"], stats["lost"], stats["old"], stats["lapsed"], stats["disasters"], stats["spoilt"]) == 0 {
		t.Errorf("a kind of event never happened: %v", stats)
	}
}
