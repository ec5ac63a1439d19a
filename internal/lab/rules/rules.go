// Package rules checks the trace of a run against the rules of the protocol. It shares no code with the program under test.
package rules

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dunetide/internal/lab/trace"
)

// Limits are the parameters of the rules.
type Limits struct {
	Slack       time.Duration // added to every time limit
	Notice      time.Duration // how late a notice may arrive
	WaitPasses  time.Duration // calls within this time after a refusal that names a wait are allowed
	Restart     time.Duration // for this long after a node is ready, no notice counts as overdue
	DrainGrace  time.Duration
	Slots       int
	MaxOpen     int
	MaxAttempts int
	Blur        time.Duration // a count may exceed its limit for this long, as ends are observed late
	Never       []bool        // by class: must not run twice
	Dest        []int         // destination of each endpoint
}

// Protocol sets the limits that the protocol fixes.
func Protocol(l Limits) Limits {
	l.Slack, l.Notice, l.WaitPasses, l.Restart = 50*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond, 1500*time.Millisecond
	return l
}

// The rules.
const (
	Unknown             = "no request that no client sent"
	WrongDestination    = "only to endpoints of its destination"
	ConcurrentAttempts  = "one attempt at a time"
	Repeat              = "nothing is repeated outside its class"
	Ended               = "nothing is sent after its end"
	Refusal             = "only what never ran is refused"
	Lost                = "exactly one final answer in time"
	Drain               = "nothing new to an endpoint that leaves"
	Wait                = "a told wait is kept"
	Cold                = "no cold destination is pushed over"
	Slots               = "no more calls out than slots"
	Hold                = "no more messages than the hold takes"
	Attempts            = "no more attempts than are allowed"
	ProtocolConformance = "the protocol"
)

// Broken is a violation of a rule.
type Broken struct {
	Rule   string        `json:"rule"`
	At     time.Duration `json:"at"`
	Detail string        `json:"detail"`
	Lines  []int         `json:"lines"` // line numbers in the trace, from 1
}

// String formats the violation as one line.
func (b Broken) String() string {
	var lines []string
	for _, n := range b.Lines {
		lines = append(lines, fmt.Sprint(n))
	}
	return fmt.Sprintf("%.3f s  %s: %s (trace lines %s)", b.At.Seconds(), b.Rule, b.Detail, strings.Join(lines, ", "))
}

// maxReported is the number of violations of one rule that are reported in detail; further ones are only counted.
const maxReported = 20

// retention is how long after its deadline a message is kept in memory.
const retention = 30 * time.Second

type message struct {
	id           string
	node         int
	class        int
	dest         int
	until        time.Duration
	taken        bool
	delivered    bool
	noticed      string
	open         map[uint64]bool
	attempts     int
	ran          bool // an attempt may have run
	ranLine      int
	lines        []int
	ended        bool
	reportedLost bool // it was reported as lost
}

func (m *message) line(n int) {
	if len(m.lines) < 24 {
		m.lines = append(m.lines, n)
	}
}

type node struct {
	down     bool
	since    time.Duration // start of the current up or down period
	exempt   time.Duration
	out      int
	held     int
	outOver  time.Duration // since when it exceeds its slots; 0: it does not
	heldOver time.Duration
	waits    map[int]wait
	leaves   map[int]time.Duration
	lines    map[int]int // trace line that reported the endpoint as leaving
}

type wait struct {
	told, until time.Duration
	line        int
}

type deadline struct {
	at      time.Duration
	message *message
}

type deadlines []deadline

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less orders by time.
func (d deadlines) Less(i, j int) bool { return d[i].at < d[j].at }

// Swap exchanges two items.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push appends an item.
func (d *deadlines) Push(x any) { *d = append(*d, x.(deadline)) }

// Pop removes the last item and returns it.
func (d *deadlines) Pop() any {
	old := *d
	x := old[len(old)-1]
	old[len(old)-1] = deadline{}
	*d = old[:len(old)-1]
	return x
}

// Checker checks records one by one. Its memory is bounded by the messages of about one minute.
type Checker struct {
	limits        Limits
	line          int
	messages      map[string]*message
	nodes         []*node
	countsChecked time.Duration // when the counts were last checked
	calls         map[uint64]*message
	deadlines     deadlines
	expiries      deadlines // when to drop messages from memory
	violations    []Broken
	counts        map[string]int
	accounts      Account
	fleet         *fleet
}

// Account counts the outcomes of the submitted tries.
type Account struct {
	Tries      int `json:"tries"`
	Accepted   int `json:"taken"`
	TurnedAway int `json:"turned"`    // the client was refused or got no answer
	Delivered  int `json:"delivered"` // of those accepted
	Refused    int `json:"refused"`
	GivenUp    int `json:"given_up"`
	Lost       int `json:"lost"`
	Open       int `json:"open"`    // the deadline has not passed
	Orphans    int `json:"orphans"` // the data directory of the node was lost
}

// New returns a Checker.
func New(l Limits) *Checker {
	c := &Checker{limits: l, messages: map[string]*message{}, calls: map[uint64]*message{}, counts: map[string]int{}}
	c.fleet = newFleet(c)
	return c
}

func (c *Checker) node(n int) *node {
	for n >= len(c.nodes) {
		c.nodes = append(c.nodes, &node{waits: map[int]wait{}, leaves: map[int]time.Duration{}, lines: map[int]int{}})
	}
	return c.nodes[n]
}

func (c *Checker) report(at time.Duration, rule string, lines []int, form string, args ...any) {
	if c.counts[rule]++; c.counts[rule] <= maxReported {
		c.violations = append(c.violations, Broken{rule, at, fmt.Sprintf(form, args...), slices.Compact(slices.Sorted(slices.Values(lines)))})
	}
}

// Observe checks one record. Records must be in chronological order.
func (c *Checker) Observe(r trace.Record) {
	c.line++
	c.checkDeadlines(r.At)
	c.fleet.record(r)
	switch r.What {
	case trace.Submitted:
		m := &message{id: r.ID, node: r.Node, class: r.Class, dest: r.Dest, until: r.Until, open: map[uint64]bool{}, lines: []int{c.line}}
		c.messages[r.ID] = m
		c.accounts.Tries++
		heap.Push(&c.deadlines, deadline{r.Until + c.limits.Notice + c.limits.Slack, m})
		heap.Push(&c.expiries, deadline{r.Until + retention, m})
	case trace.Accepted:
		c.taken(r)
	case trace.TurnedAway:
		c.accounts.TurnedAway++
	case trace.Call:
		c.call(r)
	case trace.End:
		c.end(r)
	case trace.Notice:
		c.notice(r)
	case trace.PhaseReported:
		n := c.node(r.Node)
		if r.Result == "active" {
			delete(n.leaves, r.EP)
		} else if _, known := n.leaves[r.EP]; !known {
			n.leaves[r.EP], n.lines[r.EP] = r.At, c.line
		}
	case trace.Collapsed:
		if r.Share >= 2.0/3 {
			c.report(r.At, Cold, []int{c.line}, "destination %d collapsed; %.0f%% of its calls came from nodes that had seen it fail", r.Dest, r.Share*100)
		}
	case trace.Stop:
		c.stop(r)
	case trace.Start:
		clear(c.node(r.Node).waits) // a restart clears the waits
	case trace.Ready:
		n := c.node(r.Node)
		n.down, n.exempt = false, r.At+c.limits.Restart
	case trace.Fault:
		if r.Result == "stop" && r.Until > r.At { // a stopped process (SIGSTOP) cannot send notices
			n := c.node(r.Node)
			n.exempt = max(n.exempt, r.Until+c.limits.Restart)
		}
	case trace.ProtocolError:
		c.report(r.At, ProtocolConformance, []int{c.line}, "node %d, endpoint %d, message %s: %s", r.Node, r.EP, r.ID, r.Result)
	}
	c.checkLimits(r.At)
}

func (c *Checker) taken(r trace.Record) {
	m := c.messages[r.ID]
	if m == nil {
		c.report(r.At, ProtocolConformance, []int{c.line}, "node %d accepted %s, which no client submitted", r.Node, r.ID)
		return
	}
	m.line(c.line)
	if m.taken {
		return
	}
	c.accounts.Accepted++
	m.taken, m.node = true, r.Node
	c.node(r.Node).held++
	if m.delivered || m.noticed != "" { // the platform saw the end before the client saw the acceptance
		c.resolve(m)
	}
}

func (c *Checker) call(r trace.Record) {
	m := c.messages[r.ID]
	n := c.node(r.Node)
	n.out++
	if m == nil {
		c.report(r.At, Unknown, []int{c.line}, "%s arrived at endpoint %d from node %d, but no client submitted it", r.ID, r.EP, r.Node)
		return
	}
	lines := append(slices.Clone(m.lines), c.line)
	m.line(c.line)
	c.calls[r.Call] = m
	if r.EP < len(c.limits.Dest) && c.limits.Dest[r.EP] != m.dest {
		c.report(r.At, WrongDestination, lines, "%s is for destination %d but arrived at endpoint %d of destination %d", r.ID, m.dest, r.EP, c.limits.Dest[r.EP])
	}
	if len(m.open) > 0 {
		c.report(r.At, ConcurrentAttempts, lines, "%s arrived at endpoint %d while an earlier call was in flight", r.ID, r.EP)
	}
	if c.neverRepeat(m) && m.ran {
		c.report(r.At, Repeat, lines, "%s may have run (line %d) but arrived again, at endpoint %d", r.ID, m.ranLine, r.EP)
	}
	if m.noticed != "" {
		c.report(r.At, Ended, lines, "%s arrived at endpoint %d after its notice (%s)", r.ID, r.EP, m.noticed)
	}
	if m.attempts++; c.limits.MaxAttempts > 0 && m.attempts > c.limits.MaxAttempts {
		c.report(r.At, Attempts, lines, "%s arrived for the %dth time", r.ID, m.attempts)
	}
	m.open[r.Call] = true
	if at, leaves := n.leaves[r.EP]; leaves && r.Since > at+c.limits.DrainGrace+c.limits.Slack {
		c.report(r.At, Drain, []int{n.lines[r.EP], c.line}, "node %d sent %s to endpoint %d, %.0f ms after it was notified that the endpoint leaves",
			r.Node, r.ID, r.EP, ms(r.Since-at))
	}
	if w, told := n.waits[m.dest]; told {
		if r.At > w.told+c.limits.WaitPasses && r.At < w.until {
			c.report(r.At, Wait, []int{w.line, c.line}, "node %d sent %s to destination %d, %.0f ms before the end of a wait",
				r.Node, r.ID, m.dest, ms(w.until-r.At))
		}
		if r.At >= w.until {
			delete(n.waits, m.dest)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *Checker) neverRepeat(m *message) bool {
	return m.class < len(c.limits.Never) && c.limits.Never[m.class]
}

func (c *Checker) end(r trace.Record) {
	n := c.node(r.Node)
	n.out--
	m := c.calls[r.Call]
	delete(c.calls, r.Call)
	if m == nil {
		return
	}
	m.line(c.line)
	delete(m.open, r.Call)
	switch r.Status {
	case 429, 503:
		if w := n.waits[m.dest]; r.Wait > 0 && r.At+r.Wait > w.until {
			n.waits[m.dest] = wait{r.At, r.At + r.Wait, c.line}
		}
	default:
		m.ran, m.ranLine = true, c.line
		if r.Status == 200 {
			c.recordEnd(m, "delivered")
		}
	}
}

// recordEnd records the end of a message, once.
func (c *Checker) recordEnd(m *message, how string) {
	switch how {
	case "delivered":
		m.delivered = true
	default:
		m.noticed = how
	}
	if m.taken && !m.ended {
		c.resolve(m)
	}
}

// resolve counts an accepted message that has ended.
func (c *Checker) resolve(m *message) {
	m.ended = true
	c.node(m.node).held--
	switch {
	case m.delivered:
		c.accounts.Delivered++
	case m.noticed == "handed_back":
		c.accounts.Refused++
	default:
		c.accounts.GivenUp++
	}
}

func (c *Checker) notice(r trace.Record) {
	m := c.messages[r.ID]
	if m == nil {
		c.report(r.At, Unknown, []int{c.line}, "notice for %s from node %d, but no client submitted it", r.ID, r.Node)
		return
	}
	lines := append(slices.Clone(m.lines), c.line)
	m.line(c.line)
	if r.Result == "handed_back" && !m.delivered && c.neverRepeat(m) && (m.ran || len(m.open) > 0) {
		c.report(r.At, Refusal, lines, "%s may have run (line %d) but was handed back", r.ID, m.ranLine)
	}
	if m.noticed != "" && m.noticed != r.Result {
		c.report(r.At, Lost, lines, "%s ended as %s and then as %s", r.ID, m.noticed, r.Result)
	}
	c.recordEnd(m, r.Result)
}

func (c *Checker) stop(r trace.Record) {
	n := c.node(r.Node)
	if r.Result == "member" { // the other members continue and take over its messages
		n.exempt = r.At + c.limits.Restart
		return
	}
	n.down, n.since, n.exempt = true, r.At, 0
	if r.Result != "lost" {
		return
	}
	for _, m := range c.messages {
		if m.node == r.Node && m.taken && !m.ended {
			m.ended = true
			n.held--
			c.accounts.Orphans++
		}
	}
}

// checkDeadlines reports accepted messages whose deadline passed without an end.
func (c *Checker) checkDeadlines(now time.Duration) {
	for len(c.deadlines) > 0 && c.deadlines[0].at < now {
		d := heap.Pop(&c.deadlines).(deadline)
		m := d.message
		if !m.taken || m.ended || m.reportedLost {
			continue
		}
		n := c.node(m.node)
		if n.down || n.exempt >= now {
			again := max(now, n.exempt) + time.Millisecond
			if n.down {
				again = now + 100*time.Millisecond
			}
			heap.Push(&c.deadlines, deadline{again, m})
			continue
		}
		m.reportedLost = true
		c.accounts.Lost++
		c.report(d.at, Lost, m.lines, "%s was accepted by node %d and had not ended %.0f ms after its deadline", m.id, m.node, ms(d.at-m.until))
	}
	for len(c.expiries) > 0 && c.expiries[0].at < now {
		m := heap.Pop(&c.expiries).(deadline).message
		if m.taken && !m.ended && !m.reportedLost { // its node is still down
			heap.Push(&c.expiries, deadline{now + retention, m})
			continue
		}
		delete(c.messages, m.id)
	}
}

// checkLimits reports nodes that have exceeded a limit for longer than Limits.Blur.
func (c *Checker) checkLimits(now time.Duration) {
	if now-c.countsChecked < 5*time.Millisecond {
		return
	}
	c.countsChecked = now
	for i, n := range c.nodes {
		c.checkLimit(now, i, n.out, c.limits.Slots, &n.outOver, Slots, "calls in flight")
		c.checkLimit(now, i, n.held, c.limits.MaxOpen, &n.heldOver, Hold, "messages")
	}
}

func (c *Checker) checkLimit(now time.Duration, i, count, most int, since *time.Duration, rule, what string) {
	switch {
	case most <= 0 || count <= most:
		*since = 0
	case *since == 0:
		*since = max(now, 1)
	case *since > 0 && now-*since > c.limits.Blur:
		c.report(now, rule, []int{c.line}, "node %d has had over %d %s for %.0f ms", i, most, what, ms(now-*since))
		*since = -1 // reported once, until the count is within the limit again
	}
}

// Fleet returns what was observed of a fleet, or nil if there was none.
func (c *Checker) Fleet() *FleetAccount { return c.fleet.finish() }

// Finish ends the check and returns the violations and the account. Messages that have not ended and whose deadline has not passed
// are counted as open.
func (c *Checker) Finish(now time.Duration) ([]Broken, Account) {
	c.checkDeadlines(now)
	for _, m := range c.messages {
		if m.taken && !m.ended && !m.reportedLost {
			c.accounts.Open++
		}
	}
	for _, rule := range slices.Sorted(maps.Keys(c.counts)) {
		if more := c.counts[rule] - maxReported; more > 0 {
			c.violations = append(c.violations, Broken{rule, now, fmt.Sprintf("and %d further violations", more), nil})
		}
	}
	return c.violations, c.accounts
}
