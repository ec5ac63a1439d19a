package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation is a simulated network of Cores. Datagrams are lost and duplicated at random, determined by a seed.
type simulation struct {
	t          testing.TB
	rand       *rand.Rand
	now        time.Duration
	queue      eventQueue
	processes  []*process
	byAddr     map[string]*process
	loss       float64 // share of lost datagrams
	duplicates float64 // share of duplicated datagrams among the others
	// partitioned reports whether datagrams between two processes are dropped; nil means none are.
	partitioned     func(from, to *process) bool
	largestDatagram int // bytes
	lastOrder       int
}

// process is a simulated process; a restart gives it a new Core.
type process struct {
	*Core
	addr   string
	up     bool
	starts int // number of starts; timers of earlier starts are ignored
}

type event struct {
	at    time.Duration
	order int // among events at the same time
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	t.Helper()
	return &simulation{
		t:          t,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		byAddr:     map[string]*process{},
		loss:       0.01,
		duplicates: 0.01,
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.lastOrder++
	heap.Push(&s.queue, event{s.now + delay, s.lastOrder, run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *simulation) runFor(length time.Duration) { s.runUntil(s.now + length) }

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7660", i>>16, i>>8&255, i&255) }

// start starts process i, or starts it again with an empty view.
func (s *simulation) start(i int, role string, incarnation uint64, seeds []string) *process {
	s.t.Helper()
	addr := address(i)
	p := s.byAddr[addr]
	if p == nil {
		p = &process{addr: addr}
		s.byAddr[addr] = p
		s.processes = append(s.processes, p)
	}
	core, err := New(Options{
		Self: Peer{
			Name:        fmt.Sprintf("edge-mondello-%d", i),
			Role:        role,
			Zone:        "mondello",
			Addr:        addr,
			Incarnation: incarnation,
		},
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
		Send: func(to string, msg []byte) { s.send(p, to, msg) },
	})
	if err != nil {
		s.t.Fatal(err)
	}
	p.Core, p.up = core, true
	p.starts++
	core.AddSeeds(s.now, seeds)
	s.tick(p, p.starts)
	return p
}

func (s *simulation) tick(p *process, start int) {
	if !p.up || p.starts != start {
		return
	}
	next := p.Tick(s.now)
	if next <= s.now {
		s.t.Fatalf("%s: next tick requested for %v, which is not after %v", p.addr, next, s.now)
	}
	s.after(next-s.now, func() { s.tick(p, start) })
}

func (s *simulation) send(from *process, to string, msg []byte) {
	s.largestDatagram = max(s.largestDatagram, len(msg))
	msg = slices.Clone(msg)
	copies := 1
	if s.rand.Float64() < s.loss {
		copies = 0
	} else if s.rand.Float64() < s.duplicates {
		copies = 2
	}
	for range copies {
		delay := time.Duration(500+s.rand.IntN(9500)) * time.Microsecond
		s.after(delay, func() {
			receiver := s.byAddr[to]
			if receiver == nil || !receiver.up || s.partitioned != nil && s.partitioned(from, receiver) {
				return
			}
			receiver.Receive(s.now, from.addr, msg)
		})
	}
}

// startAll starts n processes within 0.3 s. The first ones are keepers, and the first three keepers are the seeds.
func (s *simulation) startAll(n, keepers int) (seeds []string) {
	for i := range min(3, keepers) {
		seeds = append(seeds, address(i))
	}
	for i := range n {
		role := "proxy"
		if i < keepers {
			role = RoleKeeper
		}
		delay := time.Duration(s.rand.IntN(300)) * time.Millisecond
		s.after(delay, func() { s.start(i, role, 1000+uint64(i), seeds) })
	}
	return seeds
}

// up returns the running processes.
func (s *simulation) up() (up []*process) {
	for _, p := range s.processes {
		if p.up {
			up = append(up, p)
		}
	}
	return up
}

// reached counts the processes that are reachable from the first running process in the directed graph of the views,
// and in the same graph with undirected edges.
func (s *simulation) reached() (oneWay, bothWays int) {
	directed, undirected := map[string][]string{}, map[string][]string{}
	up := s.up()
	for _, p := range up {
		for _, entry := range p.View() {
			if other := s.byAddr[entry.Addr]; other != nil && other.up {
				directed[p.addr] = append(directed[p.addr], entry.Addr)
				undirected[p.addr] = append(undirected[p.addr], entry.Addr)
				undirected[entry.Addr] = append(undirected[entry.Addr], p.addr)
			}
		}
	}
	return countReachable(directed, up[0].addr), countReachable(undirected, up[0].addr)
}

// countReachable counts the nodes of a graph that are reachable from one node, itself included.
func countReachable(edges map[string][]string, from string) int {
	seen := map[string]bool{from: true}
	unvisited := []string{from}
	for len(unvisited) > 0 {
		node := unvisited[len(unvisited)-1]
		unvisited = unvisited[:len(unvisited)-1]
		for _, next := range edges[node] {
			if !seen[next] {
				seen[next] = true
				unvisited = append(unvisited, next)
			}
		}
	}
	return len(seen)
}

// viewsWith counts the views with an entry of an incarnation.
func (s *simulation) viewsWith(addr string, incarnation uint64) (n int) {
	for _, p := range s.up() {
		if slices.ContainsFunc(p.View(), func(entry Peer) bool { return entry.Addr == addr && entry.Incarnation == incarnation }) {
			n++
		}
	}
	return n
}

// fewestKeepers returns the minimum, over all running processes, of the number of running keepers that a process knows.
func (s *simulation) fewestKeepers() int {
	fewest := 1 << 30
	for _, p := range s.up() {
		known := 0
		for _, entry := range p.Keepers() {
			if keeper := s.byAddr[entry.Addr]; keeper != nil && keeper.up && keeper.self.Incarnation == entry.Incarnation {
				known++
			}
		}
		fewest = min(fewest, known)
	}
	return fewest
}

// expectConnected checks that the graph of the views connects all running processes.
func (s *simulation) expectConnected() {
	s.t.Helper()
	up := len(s.up())
	if oneWay, bothWays := s.reached(); oneWay != up || bothWays != up {
		s.t.Errorf("of %d processes, %d are reachable over directed views, %d over undirected views", up, oneWay, bothWays)
	}
}
