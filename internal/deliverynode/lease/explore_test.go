package lease

import (
	"fmt"
	"hash/fnv"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// model is a model of the timing of leases without raft: one log, to which proposed commands are added in any order, twice or
// never; voters that apply the log at their own pace, any of which may act as the leader; and clients. Clocks differ by the
// allowed maximum: a holder's is 1% slow, a voter's 1% fast. Time advances only to the relevant moments: to the next end of a
// lease by some clock.
type model struct {
	now    time.Duration // true time, in units of 100 ns, so that all clock readings are integers
	book   *StateMachine // the state after all commands of the log
	landed []command
	pool   []command // proposed
	voters []modelVoter
	askers []modelAsker
	last   tenured
}

type modelVoter struct {
	book    *StateMachine
	applied int
	counts  timekeeper
}

type modelAsker struct {
	*Client
	answers []modelAnswer
}

type modelAnswer struct {
	number uint64
	ans    answer
}

const modelName = "a"

func slowClock(now time.Duration) time.Duration { return now / 100 * 99 }
func fastClock(now time.Duration) time.Duration { return now / 100 * 101 }

func cloneBook(b *StateMachine) *StateMachine {
	c := *b
	c.state.Leases, c.state.Nodes, c.index, c.freed = maps.Clone(b.state.Leases), slices.Clone(b.state.Nodes), maps.Clone(b.index), nil
	c.state.Notes = maps.Clone(b.state.Notes)
	return &c
}

func (m *model) clone() *model {
	c := *m
	c.book, c.landed, c.pool = cloneBook(m.book), slices.Clone(m.landed), slices.Clone(m.pool)
	c.voters, c.askers = slices.Clone(m.voters), slices.Clone(m.askers)
	for i, v := range m.voters {
		c.voters[i].book, c.voters[i].counts = cloneBook(v.book), maps.Clone(v.counts)
	}
	for i, a := range m.askers {
		copied := *a.Client
		copied.tenures = map[string]*tenure{}
		for name, t := range a.tenures {
			u := *t
			copied.tenures[name] = &u
		}
		c.askers[i] = modelAsker{&copied, slices.Clone(a.answers)}
	}
	return &c
}

// digest returns a digest of the state that determines future behavior, with times relative to now.
func (m *model) digest() uint64 {
	h := fnv.New64a()
	put := func(args ...any) { fmt.Fprintln(h, args...) }
	lease := func(b *StateMachine) { put(b.state.Leases, b.state.Nodes, b.state.Token, b.state.Notes) }
	lease(m.book)
	put(m.last)
	proposed := func(all []command) {
		for _, c := range all {
			if c.Ask != nil {
				put("ask", *c.Ask)
			} else {
				put("lapse", c.Lapsed)
			}
		}
	}
	proposed(m.pool)
	for _, v := range m.voters {
		lease(v.book)
		proposed(m.landed[v.applied:])
		for name, c := range v.counts {
			put(name, c.token, c.renewed, max(fastClock(m.now)-c.since, 0), min(fastClock(m.now)-c.said, reproposeAfter))
		}
	}
	for _, a := range m.askers {
		now := slowClock(m.now)
		put(a.incarnation, a.number, a.answers, a.next-now)
		if a.out != nil {
			put("out", a.out.Number, now-a.out.at)
		}
		for _, t := range a.tenures {
			put(t.wanted, t.token, t.giving, max(t.until-now, 0), max(t.askAt-now, 0))
		}
	}
	return h.Sum64()
}

// next returns all states that are reachable by one event, and the names of the events.
func (m *model) next() (all []*model, events []string) {
	add := func(event string, do func(c *model)) {
		c := m.clone()
		do(c)
		all, events = append(all, c), append(events, event)
	}
	m.nextOfVoters(add)
	m.nextOfAskers(add)
	for _, t := range m.moments() {
		add(fmt.Sprint("time advances by ", t-m.now), func(c *model) { c.now = t })
	}
	return all, events
}

// nextOfVoters adds the possible events of the log and the voters.
func (m *model) nextOfVoters(add func(event string, do func(c *model))) {
	for i := range m.pool {
		add(fmt.Sprint("lands ", i), func(c *model) { c.land(i, false) })
		if len(m.landed)-m.voters[0].applied < 2 {
			add(fmt.Sprint("lands twice ", i), func(c *model) { c.land(i, true) })
		}
	}
	for i, v := range m.voters {
		if v.applied < len(m.landed) {
			add(fmt.Sprint("applied by ", i), func(c *model) { c.apply(i) })
		}
		if due := cloneModelDue(v, m.now); len(due) > 0 && len(m.pool) < 3 {
			add(fmt.Sprint("expiry proposed by ", i), func(c *model) {
				c.pool = append(c.pool, command{Lapsed: c.voters[i].counts.due(c.voters[i].book, fastClock(c.now))})
			})
		}
	}
	if v := m.voters[1]; len(v.counts) > 0 {
		add("voter 1 restarts", func(c *model) {
			for name := range c.voters[1].counts {
				c.voters[1].counts.count(c.voters[1].book, name, fastClock(c.now))
			}
		})
	}
}

// nextOfAskers adds the possible events of the clients.
func (m *model) nextOfAskers(add func(event string, do func(c *model))) {
	for i, a := range m.askers {
		now := slowClock(m.now)
		if probe := m.clone(); len(m.pool) < 3 && probe.askers[i].Step(now) != nil {
			add(fmt.Sprint("request of ", i), func(c *model) {
				r := c.askers[i].Step(now)
				c.pool = append(c.pool, command{Ask: &r.Ask})
			})
		}
		for k := range a.answers {
			add(fmt.Sprint("answer to ", i), func(c *model) {
				got := c.askers[i].answers[k]
				c.askers[i].answers = slices.Delete(c.askers[i].answers, k, k+1)
				c.askers[i].Answer(got.number, got.ans, now)
			})
		}
		if a.out != nil {
			add(fmt.Sprint("no answer to ", i), func(c *model) { c.askers[i].NoAnswer(c.askers[i].out.Number, now) })
		}
		if t := a.tenures[modelName]; t != nil && t.wanted && t.token != 0 {
			add(fmt.Sprint("released by ", i), func(c *model) { c.askers[i].Drop(modelName, now) })
		} else if t == nil || !t.wanted {
			add(fmt.Sprint("requested by ", i), func(c *model) { _ = c.askers[i].Want(modelName, Shortest, now) })
		}
		if i == 0 && a.incarnation < 2 {
			add("another incarnation of 0", func(c *model) { c.askers[0].Restart(2) })
		}
	}
}

func cloneModelDue(v modelVoter, now time.Duration) []lapse {
	return maps.Clone(v.counts).due(v.book, fastClock(now))
}

// moments returns the times of the next possible events: just before and at the ends of leases, by the clocks of holders and
// of voters, and when a request is due.
func (m *model) moments() (all []time.Duration) {
	const unit = 10 * time.Microsecond
	at := func(t time.Duration) {
		for _, t := range []time.Duration{t - unit, t, t + unit} {
			if t = t / unit * unit; t > m.now {
				all = append(all, t)
			}
		}
	}
	for _, v := range m.voters {
		for name, c := range v.counts {
			at((c.since + withDrift(v.book.state.Leases[name].Length)) * 100 / 101)
		}
	}
	for _, a := range m.askers {
		for _, t := range a.tenures {
			if t.token != 0 || t.giving != 0 {
				at(t.until * 100 / 99)
			}
			at((max(t.askAt, a.next) + unit) * 100 / 99)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), 4)]
}

func (m *model) land(i int, again bool) {
	c := m.pool[i]
	if !again {
		m.pool = slices.Delete(m.pool, i, i+1)
	}
	m.landed = append(m.landed, c)
	switch {
	case c.Ask != nil:
		all, _, err := m.book.applyRequest(c.Ask)
		for k := range m.askers {
			if a := &m.askers[k]; a.name == c.Ask.Node && a.incarnation == c.Ask.Incarnation {
				ans := answer{Outcomes: all}
				if err != nil {
					ans.No = err.Error()
				}
				a.answers = append(a.answers, modelAnswer{c.Ask.Number, ans})
			}
		}
	default:
		m.book.applyLapses(c.Lapsed)
	}
	m.book.freed = nil
}

func (m *model) apply(i int) {
	v := &m.voters[i]
	c := m.landed[v.applied]
	v.applied++
	switch {
	case c.Ask != nil:
		_, changed, _ := v.book.applyRequest(c.Ask)
		for _, name := range changed {
			v.counts.count(v.book, name, fastClock(m.now))
		}
	default:
		v.book.applyLapses(c.Lapsed)
	}
	for _, name := range v.book.freed {
		v.counts.forget(v.book, name)
	}
	v.book.freed = nil
}

// check returns which guarantee is violated, or an empty string, and records the holder.
func (m *model) check() string {
	holder := ""
	for _, a := range m.askers {
		token, _ := a.Held(modelName, slowClock(m.now))
		if token == 0 {
			continue
		}
		me := fmt.Sprint(a.name, ".", a.incarnation)
		if holder != "" {
			return "held by " + holder + " and by " + me
		}
		holder = me
		if token < m.last.token || token == m.last.token && me != m.last.holder {
			return fmt.Sprint(me, " holds it under ", token, " after ", m.last)
		}
		m.last = tenured{token, me}
	}
	return ""
}

func newModel() *model {
	book := newStateMachine(0, Shortest, 10, nil)
	book.applyLapses([]lapse{{blocked, 1, 0}})
	book.freed = nil
	m := &model{now: time.Hour, book: book}
	for range 2 {
		m.voters = append(m.voters, modelVoter{book: cloneBook(book), counts: timekeeper{}})
	}
	for i := range 2 {
		a := NewClient(fmt.Sprint("n", i), []string{"v"}, func() float64 { return 0.5 })
		a.Restart(1)
		if err := a.Want(modelName, Shortest, 0); err != nil {
			panic(err)
		}
		m.askers = append(m.askers, modelAsker{Client: a})
	}
	return m
}

// do carries out the first event whose name has a prefix.
func (m *model) do(t *testing.T, event string) *model {
	t.Helper()
	all, events := m.next()
	for i, e := range events {
		if strings.HasPrefix(e, event) {
			if why := all[i].check(); why != "" {
				t.Fatal(why)
			}
			return all[i]
		}
	}
	t.Fatalf("%q is none of %q", event, events)
	return nil
}

// starts are the initial states of the exploration, each with the events that lead to it.
var starts = map[string][]string{
	"nothing is held": nil,
	"granted in the log, before the client has the answer": {"request of 0", "lands 0", "applied by 0", "applied by 1"},
	"renewed, and one voter has applied the renewal":       {"request of 0", "lands 0", "applied by 0", "applied by 1", "answer to 0", "time advances", "time advances", "time advances", "request of 0", "lands 0", "applied by 0"},
	"an outdated expiry is proposed": {"request of 0", "lands 0", "applied by 0", "applied by 1", "request of 1", "lands 0", "answer to 1", "applied by 0", "applied by 1",
		"until it expires", "expiry proposed by 0", "lands twice 0", "applied by 0", "applied by 1", "request of 1", "lands 1", "answer to 1"},
}

// TestEveryOrderToADepth checks every order of all events up to a depth, and explores equal states once. LEASE_DEPTH sets the
// depth.
func TestEveryOrderToADepth(t *testing.T) {
	depth := number("LEASE_DEPTH", 6)
	for name, script := range starts {
		t.Run(name, func(t *testing.T) {
			start := newModel()
			for _, event := range script {
				if event == "until it expires" { // by the voters' clocks
					start.now = start.voters[0].counts[modelName].since*100/101 + withDrift(Shortest)
					continue
				}
				start = start.do(t, event)
			}
			for i := range start.voters { // commands that both have applied need not be kept
				if start.voters[i].applied == len(start.landed) {
					start.voters[i].applied = 0
				} else if i > 0 {
					start.voters[i].applied = 0
					start.landed = start.landed[len(start.landed)-1:]
					start.voters[0].applied = 1
				}
			}
			if start.voters[0].applied == 0 {
				start.landed = nil
			}
			testEveryOrder(t, start, depth)
		})
	}
}

type path struct {
	m     *model
	trail []string
}

// testEveryOrder explores the states breadth-first, each level on all cores.
func testEveryOrder(t *testing.T, start *model, depth int) {
	seen := map[uint64]bool{start.digest(): true}
	level := []path{{start, nil}}
	for d := range depth {
		var (
			mu   sync.Mutex
			wg   sync.WaitGroup
			next []path
			at   atomic.Int64
		)
		for range runtime.GOMAXPROCS(0) {
			wg.Go(func() {
				for i := at.Add(1) - 1; i < int64(len(level)); i = at.Add(1) - 1 {
					all, events := level[i].m.next()
					for k, m := range all {
						why := m.check()
						h := uint64(0)
						if d < depth-1 {
							h = m.digest()
						}
						mu.Lock()
						if why != "" {
							t.Errorf("%s, by: %q", why, append(slices.Clone(level[i].trail), events[k]))
						}
						if h != 0 && !seen[h] {
							seen[h] = true
							next = append(next, path{m, append(slices.Clone(level[i].trail), events[k])})
						}
						mu.Unlock()
						if why != "" {
							return
						}
					}
				}
			})
		}
		wg.Wait()
		if t.Failed() {
			return
		}
		level = next
	}
	t.Logf("%d states to depth %d", len(seen), depth)
}
