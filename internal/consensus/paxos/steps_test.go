package paxos

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// kindNames are the names of message kinds in testdata/steps.
var kindNames = []string{
	"", "query", "query-reply", "prepare", "promise", "accept", "accepted", "reject", "decided", "progress",
}

// stepTable runs the commands of one file. It has nodes n1, n2 and so on, whose messages wait until a command delivers
// or drops them.
type stepTable struct {
	nodes        []*stepNode
	inFlight     []packet
	now          time.Duration
	output       strings.Builder
	incarnations uint64
	nextID       uint64
}

type stepNode struct {
	voter     Voter
	register  *Register
	disk      [][]byte
	diskFails bool
}

func (tb *stepTable) printf(format string, args ...any) {
	fmt.Fprintf(&tb.output, format+"\n", args...)
}

func (tb *stepTable) start(i int) error {
	n := tb.nodes[i]
	tb.incarnations++
	r, err := New(Options{
		Name:       "r",
		ID:         n.voter.ID,
		ProposerID: tb.incarnations,
		Rand:       func() float64 { return .5 },
		Save: func(record []byte) error {
			if n.diskFails {
				tb.printf("  %s can't save", n.voter.Name)
				return errors.New("the disk fails")
			}
			n.disk = append(n.disk, record)
			tb.printf("  %s saves %s", n.voter.Name, []string{"", "promise", "accepted", "decided", "chosen"}[record[0]])
			return nil
		},
		Send: func(to Voter, msg []byte) {
			j := slices.IndexFunc(tb.nodes, func(o *stepNode) bool { return o.voter.Addr == to.Addr })
			if j < 0 {
				return
			}
			tb.printf("  %s", tb.describe(packet{i, j, msg}))
			tb.inFlight = append(tb.inFlight, packet{i, j, msg})
		},
		OnDecided: func(s State) {
			tb.printf("  %s knows slot %d %q of%s", n.voter.Name, s.Slot, s.Value, describeAll(s.Voters))
		},
	}, n.disk)
	n.register = r
	return err
}

func describeAll(voters []Voter) string {
	out := ""
	for _, v := range voters {
		out += fmt.Sprintf(" %s(%d)", v.Name, v.ID)
	}
	return out
}

func (tb *stepTable) describe(p packet) string {
	_, m, _ := decodeMessage(p.message)
	out := fmt.Sprintf("%s->%s %s %d", tb.nodes[p.from].voter.Name, tb.nodes[p.to].voter.Name, kindNames[m.kind], m.slot)
	if m.kind == messageProgress {
		out = strings.TrimSuffix(out, fmt.Sprint(m.slot)) + "nothing"
		if m.slot > 0 {
			out = strings.TrimSuffix(out, "nothing") + fmt.Sprint(m.slot-1)
		}
	}
	if m.number != (ProposalNumber{}) {
		out += fmt.Sprintf(" @%d.%d", m.number.Round, m.number.Proposer)
	}
	if m.reported != (ProposalNumber{}) {
		out += fmt.Sprintf(" reported %d.%d", m.reported.Round, m.reported.Proposer)
	}
	if m.hasState() {
		out += fmt.Sprintf(" [%d %q]", m.state.Slot, m.state.Value)
	}
	return out
}

// TestSteps runs the files of testdata/steps, whose expected output lists every message and Save.
func TestSteps(t *testing.T) {
	datadriven.Walk(t, "testdata/steps", func(t *testing.T, path string) {
		t.Helper()
		tb := &stepTable{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			t.Helper()
			tb.output.Reset()
			tb.run(t, d)
			return tb.output.String()
		})
	})
}

// run runs one command of a file.
func (tb *stepTable) run(t *testing.T, d *datadriven.TestData) {
	t.Helper()
	arg := func(i int) string {
		if i < len(d.CmdArgs) {
			return d.CmdArgs[i].Key
		}
		return ""
	}
	switch d.Cmd {
	case "new": // voters, others
		tb.startNodes(t, count(t, arg(0)), count(t, arg(1)))
	case "propose":
		tb.propose(tb.node(t, arg(0)), arg(1))
	case "refuse":
		tb.nodes[tb.node(t, arg(0))].register.Propose(tb.now, operationTimeout,
			func(cur State) (State, error) { return cur, errors.New("no") }, tb.done("no"))
	case "admit":
		tb.admit(tb.node(t, arg(0)), tb.nodes[tb.node(t, arg(1))].voter, arg(2))
	case "read":
		tb.nodes[tb.node(t, arg(0))].register.Read(tb.now, operationTimeout, tb.done("read"))
	case "deliver", "drop", "double": // all messages in flight, or those from a node (to a node), but not their answers
		selected := tb.takeInFlight(t, arg(0), arg(1))
		if d.Cmd == "double" {
			selected = append(selected, selected...)
		}
		for _, p := range selected {
			tb.printf("%s", tb.describe(p))
			if d.Cmd != "drop" {
				tb.deliver(p)
			}
		}
	case "finish": // deliver until no message is in flight
		for len(tb.inFlight) > 0 {
			p := tb.inFlight[0]
			tb.inFlight = tb.inFlight[1:]
			tb.deliver(p)
		}
	case "tick":
		tb.tick(t, arg(0))
	case "restart":
		tb.restart(tb.node(t, arg(0)))
	case "lose":
		i := tb.node(t, arg(0))
		tb.nextID++
		tb.nodes[i].voter.ID, tb.nodes[i].disk = tb.nextID, nil
		tb.restart(i)
	case "fail-disk":
		tb.nodes[tb.node(t, arg(0))].diskFails = true
	case "state":
		tb.printStates()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
}

// operationTimeout is longer than the simulated time of any file.
const operationTimeout = 5 * time.Second

// node returns the index of a node by its name.
func (tb *stepTable) node(t *testing.T, name string) int {
	t.Helper()
	i := slices.IndexFunc(tb.nodes, func(n *stepNode) bool { return n.voter.Name == name })
	if i < 0 {
		t.Fatalf("no node %q", name)
	}
	return i
}

// count parses a number of nodes; "" is 0.
func count(t *testing.T, text string) int {
	t.Helper()
	if text == "" {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (tb *stepTable) startNodes(t *testing.T, voters, others int) {
	t.Helper()
	for i := range voters + others {
		tb.nextID++
		tb.nodes = append(tb.nodes, &stepNode{voter: Voter{tb.nextID, fmt.Sprint("n", i+1), fmt.Sprint("a", i+1)}})
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
			n.register.Bootstrap(first, nil)
		}
		n.register.Tick(0)
	}
	tb.inFlight = nil
	tb.output.Reset()
}

// done returns a callback that prints how an operation ends.
func (tb *stepTable) done(operation string) func(State, error) {
	return func(s State, err error) {
		if err != nil {
			tb.printf("  %s ends: %v", operation, err)
		} else {
			tb.printf("  %s ends with slot %d %q", operation, s.Slot, s.Value)
		}
	}
}

func (tb *stepTable) propose(i int, value string) {
	tb.nodes[i].register.Propose(tb.now, operationTimeout, func(cur State) (State, error) {
		tb.printf("  %s is called with slot %d", value, cur.Slot)
		cur.Value = append(cur.Value, value...)
		return cur, nil
	}, tb.done(value))
}

func (tb *stepTable) admit(i int, joiner Voter, dead string) {
	tb.nodes[i].register.Propose(tb.now, operationTimeout, func(cur State) (State, error) {
		next, ok := admitVoter(cur, joiner, func(v Voter) bool { return v.Name == dead }, 9)
		if !ok {
			return cur, ErrUnchanged
		}
		return next, nil
	}, tb.done("admit "+joiner.Name))
}

// takeInFlight removes and returns the messages in flight from one node to another; "" stands for any node.
func (tb *stepTable) takeInFlight(t *testing.T, from, to string) []packet {
	t.Helper()
	var rest, selected []packet
	for _, p := range tb.inFlight {
		if (from == "" || p.from == tb.node(t, from)) && (to == "" || p.to == tb.node(t, to)) {
			selected = append(selected, p)
		} else {
			rest = append(rest, p)
		}
	}
	tb.inFlight = rest
	return selected
}

func (tb *stepTable) deliver(p packet) {
	tb.nodes[p.to].register.Receive(tb.now, tb.nodes[p.from].voter, p.message)
}

func (tb *stepTable) tick(t *testing.T, length string) {
	t.Helper()
	wait, err := time.ParseDuration(length)
	if err != nil {
		t.Fatal(err)
	}
	tb.now += wait
	for _, n := range tb.nodes {
		if n.register.NextTick() <= tb.now {
			n.register.Tick(tb.now)
		}
	}
}

// restart starts a node again. It prints the error if that fails.
func (tb *stepTable) restart(i int) {
	if err := tb.start(i); err != nil {
		tb.output.Reset()
		tb.output.WriteString(err.Error())
	}
}

func (tb *stepTable) printStates() {
	for _, n := range tb.nodes {
		s, ok := n.register.State()
		tb.printf("%s %v slot %d %q promised %d.%d accepted %d.%d %q", n.voter.Name, ok, s.Slot, s.Value,
			n.register.promised.Round, n.register.promised.Proposer,
			n.register.acceptedNumber.Round, n.register.acceptedNumber.Proposer, n.register.acceptedState.Value)
	}
}
