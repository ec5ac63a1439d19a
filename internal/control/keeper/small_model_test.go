package keeper

import (
	"os"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// smallCase is a few calls to three machines, all sent before the first message is delivered.
type smallCase struct {
	name  string
	calls []smallCall
	// restarts lets any one machine restart once, at any time.
	restarts bool
}

// smallCall is a call to one machine: put is an index of smallPuts, or readCall.
type smallCall struct{ machine, put int }

// smallPuts lists version and base of two rival puts of one version, and of one on top of that version.
var smallPuts = [][2]uint64{{5, 0}, {5, 0}, {7, 5}}

var smallCases = []smallCase{
	{"rivals", []smallCall{{0, 0}, {1, 1}}, false},
	{"a repeat at another machine while the first attempt is in progress", []smallCall{{0, 0}, {1, 0}}, false},
	{"rivals and a repeat", []smallCall{{0, 0}, {1, 1}, {2, 0}}, false},
	{"a put, its successor and a read", []smallCall{{0, 0}, {1, 2}, {2, readCall}}, false},
	{"rivals, and a machine is restarted", []smallCall{{0, 0}, {1, 1}}, true},
	{"a repeat, and a machine is restarted", []smallCall{{0, 0}, {1, 0}}, true},
}

// smallSimulation is three machines whose messages are delivered in the order that the test chooses.
type smallSimulation struct {
	now          time.Duration
	registers    []*paxos.Register
	disks        [][][]byte
	incarnations uint64
	inFlight     []smallMessage
	history      *history
	pendingCalls int // calls that haven't ended
	restarts     int // remaining restarts
}

type smallMessage struct {
	from, to int
	body     []byte
}

// smallVoters is the number of machines in a small simulation.
const smallVoters = 3

func newSmallSimulation(play smallCase) *smallSimulation {
	w := &smallSimulation{
		registers: make([]*paxos.Register, smallVoters),
		disks:     make([][][]byte, smallVoters),
		history:   newHistory(),
	}
	if play.restarts {
		w.restarts = 1
	}
	var voters []paxos.Voter
	for i := range smallVoters {
		voters = append(voters, paxos.Voter{ID: uint64(i + 1), Addr: strconv.Itoa(i)})
	}
	for i := range smallVoters {
		w.start(i)
		w.registers[i].Bootstrap(voters, nil)
	}
	for _, request := range smallPuts {
		w.history.newPut(request[0], request[1])
	}
	for _, call := range play.calls {
		w.call(call.machine, call.put)
	}
	return w
}

func (w *smallSimulation) start(i int) {
	w.incarnations++
	register, err := paxos.New(paxos.Options{Name: configRegister, ID: uint64(i + 1), ProposerID: w.incarnations, Rand: func() float64 { return float64(i) / smallVoters },
		Save: func(payload []byte) error { w.disks[i] = append(w.disks[i], payload); return nil },
		Send: func(to paxos.Voter, body []byte) {
			w.inFlight = append(w.inFlight, smallMessage{i, int(to.ID) - 1, body})
		}}, w.disks[i])
	if err != nil {
		panic(err) // can't happen: the disk holds only what was saved
	}
	w.registers[i] = register
}

func (w *smallSimulation) call(machine, put int) {
	answered := w.history.begin(put)
	w.pendingCalls++
	if put == readCall {
		w.registers[machine].Read(w.now, proposeTimeout, func(s paxos.State, err error) {
			w.pendingCalls--
			v, unreadable := decodeDocument(s.Value)
			if err != nil || unreadable != nil {
				return
			}
			answered(registerAnswer{200, putOf(v)})
		})
		return
	}
	change := w.history.puts[put].change(configDocument)
	w.registers[machine].Propose(w.now, proposeTimeout, change, func(_ paxos.State, err error) {
		w.pendingCalls--
		answered(registerAnswer{status: putStatus(err)})
	})
}

// choices counts the possible next events: each message delivered or lost, each machine restarted, the clock advanced.
func (w *smallSimulation) choices() int {
	n := 2*len(w.inFlight) + 1
	if w.restarts > 0 {
		n += smallVoters
	}
	return n
}

func (w *smallSimulation) choose(choice int) {
	switch messages := len(w.inFlight); {
	case choice < messages:
		w.deliver(choice)
	case choice < 2*messages:
		w.removeMessage(choice - messages)
	case choice == 2*messages:
		w.tick()
	default:
		w.restarts--
		w.start(choice - 2*messages - 1)
	}
}

func (w *smallSimulation) removeMessage(i int) smallMessage {
	m := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	return m
}

func (w *smallSimulation) deliver(i int) {
	m := w.removeMessage(i)
	w.registers[m.to].Receive(w.now, paxos.Voter{ID: uint64(m.from + 1), Addr: strconv.Itoa(m.from)}, m.body)
}

// tick advances the clock to the next tick of any register.
func (w *smallSimulation) tick() {
	next := paxos.Never
	for _, r := range w.registers {
		next = min(next, r.NextTick())
	}
	w.now = max(w.now, next)
	for _, r := range w.registers {
		r.Tick(w.now)
	}
}

// finish delivers all messages in the order sent until every call has ended, then repeats every put at every machine
// and reads.
func (w *smallSimulation) finish() {
	w.finishCalls()
	for machine := range smallVoters {
		for put := range smallPuts[:2] {
			w.pendingCalls = 0 // calls at a machine that was restarted never end
			w.call(machine, put)
			w.finishCalls()
		}
		w.pendingCalls = 0
		w.call(machine, readCall)
		w.finishCalls()
	}
}

// finishCalls runs the simulation until all calls have ended or timed out.
func (w *smallSimulation) finishCalls() {
	for until := w.now + 2*proposeTimeout; w.pendingCalls > 0 && w.now < until; {
		if len(w.inFlight) > 0 {
			w.deliver(0)
		} else {
			w.tick()
		}
	}
}

// TestEveryInterleavingOfSmallCases simulates every interleaving of the first events of small cases, up to a depth of
// ORDERS_DEPTH events.
func TestEveryInterleavingOfSmallCases(t *testing.T) {
	depth := 3
	if n, err := strconv.Atoi(os.Getenv("ORDERS_DEPTH")); err == nil {
		depth = n
	}
	for _, play := range smallCases {
		t.Run(play.name, func(t *testing.T) {
			t.Parallel()
			simulations := 0
			visitPaths(depth, func(path []int) (choices int) {
				w := newSmallSimulation(play)
				for _, choice := range path {
					w.choose(choice)
				}
				if len(path) < depth {
					return w.choices()
				}
				simulations++
				w.finish()
				if err := w.history.check(); err != nil {
					t.Fatalf("after the choices %v: %v", path, err)
				}
				return 0
			})
			t.Logf("%d simulations to depth %d", simulations, depth)
		})
	}
}

// visitPaths visits every path of choices up to a depth; visit returns the number of choices after a path.
func visitPaths(depth int, visit func(path []int) (choices int)) {
	var extend func(path []int)
	extend = func(path []int) {
		choices := visit(path)
		if len(path) == depth {
			return
		}
		for choice := range choices {
			extend(append(path[:len(path):len(path)], choice))
		}
	}
	extend(nil)
}
