package paxos

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

var kindNames = []string{"", "query", "told", "prepare", "promise", "accept", "accepted", "reject", "decided", "have"}

// table has nodes n1, n2 and so on, whose messages wait until a step delivers or drops them.
type table struct {
	nodes  []*tableNode
	wire   []packet
	now    time.Duration
	out    strings.Builder
	lives  uint64
	nextID uint64
}

type tableNode struct {
	voter Voter
	reg   *Register
	disk  [][]byte
	sick  bool
}

func (tb *table) say(format string, args ...any) { fmt.Fprintf(&tb.out, format+"\n", args...) }

func (tb *table) start(i int) error {
	n := tb.nodes[i]
	tb.lives++
	r, err := New(Options{Name: "r", ID: n.voter.ID, Proposer: tb.lives, Rand: func() float64 { return .5 },
		Save: func(b []byte) error {
			if n.sick {
				tb.say("  %s can't save", n.voter.Name)
				return errors.New("sick")
			}
			n.disk = append(n.disk, b)
			tb.say("  %s saves %s", n.voter.Name, []string{"", "promise", "accepted", "decided", "chosen"}[b[0]])
			return nil
		},
		Send: func(to Voter, b []byte) {
			j := slices.IndexFunc(tb.nodes, func(o *tableNode) bool { return o.voter.Addr == to.Addr })
			if j < 0 {
				return
			}
			tb.say("  %s", tb.show(packet{i, j, b}))
			tb.wire = append(tb.wire, packet{i, j, b})
		},
		Decided: func(s State) { tb.say("  %s knows slot %d %q of%s", n.voter.Name, s.Slot, s.Value, names(s.Voters)) }}, n.disk)
	n.reg = r
	return err
}

func names(voters []Voter) string {
	out := ""
	for _, v := range voters {
		out += fmt.Sprintf(" %s(%d)", v.Name, v.ID)
	}
	return out
}

func (tb *table) show(p packet) string {
	_, m, _ := decode(p.b)
	out := fmt.Sprintf("%s->%s %s %d", tb.nodes[p.from].voter.Name, tb.nodes[p.to].voter.Name, kindNames[m.kind], m.slot)
	if m.kind == have {
		out = strings.TrimSuffix(out, fmt.Sprint(m.slot)) + "nothing"
		if m.slot > 0 {
			out = strings.TrimSuffix(out, "nothing") + fmt.Sprint(m.slot-1)
		}
	}
	if m.ballot != (ballot{}) {
		out += fmt.Sprintf(" @%d.%d", m.ballot.round, m.ballot.proposer)
	}
	if m.other != (ballot{}) {
		out += fmt.Sprintf(" other %d.%d", m.other.round, m.other.proposer)
	}
	if m.hasState() {
		out += fmt.Sprintf(" [%d %q]", m.state.Slot, m.state.Value)
	}
	return out
}

func TestSteps(t *testing.T) {
	datadriven.Walk(t, "testdata/steps", func(t *testing.T, path string) {
		tb := &table{}
		node := func(name string) int {
			i := slices.IndexFunc(tb.nodes, func(n *tableNode) bool { return n.voter.Name == name })
			if i < 0 {
				t.Fatalf("no %q", name)
			}
			return i
		}
		done := func(who string) func(State, error) {
			return func(s State, err error) {
				if err != nil {
					tb.say("  %s ends: %v", who, err)
				} else {
					tb.say("  %s ends with slot %d %q", who, s.Slot, s.Value)
				}
			}
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			tb.out.Reset()
			arg := func(i int) string {
				if i < len(d.CmdArgs) {
					return d.CmdArgs[i].Key
				}
				return ""
			}
			second := 5 * time.Second
			switch d.Cmd {
			case "new": // voters, others
				var voters, others int
				fmt.Sscan(arg(0), &voters)
				fmt.Sscan(arg(1), &others)
				for i := range voters + others {
					tb.nextID++
					tb.nodes = append(tb.nodes, &tableNode{voter: Voter{tb.nextID, fmt.Sprint("n", i+1), fmt.Sprint("a", i+1)}})
				}
				var first []Voter
				for i, n := range tb.nodes {
					if i < voters {
						first = append(first, n.voter)
					}
				}
				for i, n := range tb.nodes {
					if err := tb.start(i); err != nil {
						t.Fatal(err)
					}
					if i < voters {
						n.reg.Bootstrap(first, nil)
					}
					n.reg.Tick(0)
				}
				tb.wire = nil
				tb.out.Reset()
			case "propose":
				what := arg(1)
				tb.nodes[node(arg(0))].reg.Propose(tb.now, second, func(cur State) (State, error) {
					tb.say("  %s is asked at slot %d", what, cur.Slot)
					cur.Value = append(cur.Value, what...)
					return cur, nil
				}, done(what))
			case "refuse":
				tb.nodes[node(arg(0))].reg.Propose(tb.now, second, func(cur State) (State, error) { return cur, errors.New("no") }, done("no"))
			case "admit":
				who := tb.nodes[node(arg(1))].voter
				tb.nodes[node(arg(0))].reg.Propose(tb.now, second, func(cur State) (State, error) {
					next, ok := admitVoter(cur, who, func(v Voter) bool { return v.Name == arg(2) }, 9)
					if !ok {
						return cur, ErrUnchanged
					}
					return next, nil
				}, done("admit "+who.Name))
			case "read":
				tb.nodes[node(arg(0))].reg.Read(tb.now, second, done("read"))
			case "deliver", "drop", "double": // all there is; of a node; of a node to a node: no answers to these
				var rest, take []packet
				for _, p := range tb.wire {
					if (arg(0) == "" || p.from == node(arg(0))) && (arg(1) == "" || p.to == node(arg(1))) {
						take = append(take, p)
					} else {
						rest = append(rest, p)
					}
				}
				tb.wire = rest
				if d.Cmd == "double" {
					take = append(take, take...)
				}
				for _, p := range take {
					tb.say("%s", tb.show(p))
					if d.Cmd != "drop" {
						tb.nodes[p.to].reg.Receive(tb.now, tb.nodes[p.from].voter, p.b)
					}
				}
			case "finish": // until nothing is on the way
				for len(tb.wire) > 0 {
					p := tb.wire[0]
					tb.wire = tb.wire[1:]
					tb.nodes[p.to].reg.Receive(tb.now, tb.nodes[p.from].voter, p.b)
				}
			case "tick":
				length, err := time.ParseDuration(arg(0))
				if err != nil {
					t.Fatal(err)
				}
				tb.now += length
				for _, n := range tb.nodes {
					if n.reg.Next() <= tb.now {
						n.reg.Tick(tb.now)
					}
				}
			case "restart", "lose":
				i := node(arg(0))
				if d.Cmd == "lose" {
					tb.nextID++
					tb.nodes[i].voter.ID, tb.nodes[i].disk = tb.nextID, nil
				}
				if err := tb.start(i); err != nil {
					return err.Error()
				}
			case "sick":
				tb.nodes[node(arg(0))].sick = true
			case "state":
				for _, n := range tb.nodes {
					s, ok := n.reg.State()
					tb.say("%s %v slot %d %q promised %d.%d accepted %d.%d %q", n.voter.Name, ok, s.Slot, s.Value,
						n.reg.promised.round, n.reg.promised.proposer, n.reg.accepted.round, n.reg.accepted.proposer, n.reg.proposal.Value)
				}
			default:
				t.Fatalf("%q?", d.Cmd)
			}
			return tb.out.String()
		})
	})
}
