package keeper

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	operatorCount = 8
	// operatorTimeout is how long an operator waits for an answer.
	operatorTimeout = time.Second
	maxPutAttempts  = 5
)

// modelOperator puts, repeats and reads through random machines, with up to two calls at a time.
type modelOperator struct {
	cluster *modelCluster
	known   uint64 // the newest version that it knows
	endsAt  time.Duration
}

// call sends a call and passes the answer to then, or unanswered after operatorTimeout.
func (o *modelOperator) call(index int, m *modelMachine, then func(registerAnswer)) {
	c := o.cluster
	answered := c.history.begin(index)
	waits := true
	deliver := func(a registerAnswer) {
		if c.chance(c.lostAnswer) {
			return
		}
		c.after(c.messageDelay(), func() {
			if waits {
				waits = false
				answered(a)
				then(a)
			}
		})
	}
	c.after(c.messageDelay(), func() {
		if index == readCall {
			m.get(func(v *document, err error) {
				if err != nil {
					deliver(registerAnswer{status: http.StatusServiceUnavailable})
					return
				}
				deliver(registerAnswer{http.StatusOK, putOf(v)})
			})
			return
		}
		m.put(c.history.puts[index], func(status int) { deliver(registerAnswer{status: status}) })
	})
	c.after(operatorTimeout, func() {
		if waits {
			waits = false
			then(registerAnswer{status: unanswered})
		}
	})
}

// sendPut sends a put until it has a conclusive answer or the attempts are exhausted, each time to a random machine.
func (o *modelOperator) sendPut(index, tries int, then func()) {
	o.call(index, o.cluster.randomMachine(), func(a registerAnswer) {
		if !a.clear() && tries > 1 {
			o.cluster.after(o.cluster.randomDuration(200*time.Millisecond), func() { o.sendPut(index, tries-1, then) })
			return
		}
		if a.status == http.StatusOK {
			o.known = max(o.known, o.cluster.history.puts[index].version)
		}
		then()
	})
}

func (o *modelOperator) read(then func()) {
	o.call(readCall, o.cluster.randomMachine(), func(a registerAnswer) {
		if a.status == http.StatusOK && a.found != noPut {
			o.known = max(o.known, o.cluster.history.puts[a.found].version)
		}
		then()
	})
}

// act performs random actions with pauses in between until endsAt.
func (o *modelOperator) act() {
	c := o.cluster
	if c.now >= o.endsAt {
		return
	}
	again := func() { c.after(c.randomDuration(800*time.Millisecond), o.act) }
	earlier := c.history.puts
	switch draw := c.rng.IntN(10); {
	case draw < 3:
		o.read(again)
	case draw < 5 && len(earlier) > 0: // a repeat of an earlier put, whatever its outcome
		o.sendPut(c.rng.IntN(len(earlier)), 1, again)
	case draw < 6 && len(earlier) > 0: // a rival of an earlier put
		rival := earlier[len(earlier)-1-c.rng.IntN(min(3, len(earlier)))]
		base := rival.base
		if c.chance(.5) {
			base = o.known
		}
		o.sendPut(c.history.newPut(rival.version, base), maxPutAttempts, again)
	default:
		index := c.history.newPut(o.known+1+uint64(c.rng.IntN(3)), o.known)
		if c.chance(.3) { // two concurrent attempts
			o.sendPut(index, 1, func() {})
		}
		o.sendPut(index, maxPutAttempts, again)
	}
}

// simulateOperators simulates the randomized history of a seed. At the end, without faults, it reads every machine and
// repeats every put.
func simulateOperators(seed uint64) (*history, error) {
	voters := []int{3, 3, 4, 5}[seed%4]
	remembered := []int{2, 4, maxRememberedVersions}[seed%3]
	c := newModelCluster(seed, voters, remembered)
	c.loss, c.duplicated, c.delayed = .1*c.rng.Float64(), .1*c.rng.Float64(), .05*c.rng.Float64()
	c.lostAnswer = .4 * c.rng.Float64()
	length := 2*time.Second + c.randomDuration(4*time.Second)
	for range 2 + c.rng.IntN(operatorCount-1) {
		o := &modelOperator{cluster: c, endsAt: length}
		c.after(c.randomDuration(500*time.Millisecond), o.act)
	}
	for range c.rng.IntN(8) {
		c.after(c.randomDuration(length), c.injectFault)
	}
	c.run(length+10*time.Second, func() bool { return true })
	c.endFaults()
	c.run(c.now+5*time.Second, func() bool { return true })
	if err := c.repeatAll(); err != nil {
		return c.history, err
	}
	return c.history, c.history.check()
}

// maxCallsWithoutFaults is how many calls an operator needs at most without faults: after a conflict a proposer waits
// for up to twice the slowest phase that it has observed, which may have been during a partition.
const maxCallsWithoutFaults = 4

// repeatAll repeats each put and reads each machine. Without faults all calls get a conclusive answer, except for
// versions that are no longer remembered.
func (c *modelCluster) repeatAll() error {
	o := &modelOperator{cluster: c}
	for _, m := range c.machines {
		if a := o.callUntilClear(readCall, m); !a.clear() {
			return fmt.Errorf("machine %d can't be read without faults", m.index)
		}
	}
	for putIndex, put := range c.history.puts {
		a := o.callUntilClear(putIndex, c.randomMachine())
		if !a.clear() && !c.forgotten(put.version) {
			return fmt.Errorf("put %d (version %d) is answered %d without faults", putIndex, put.version, a.status)
		}
	}
	return nil
}

// callUntilClear calls one machine until the answer is conclusive, up to maxCallsWithoutFaults times.
func (o *modelOperator) callUntilClear(index int, m *modelMachine) (answer registerAnswer) {
	for try := 0; try < maxCallsWithoutFaults && !answer.clear(); try++ {
		waits := true
		o.call(index, m, func(a registerAnswer) { answer, waits = a, false })
		o.cluster.run(o.cluster.now+2*operatorTimeout, func() bool { return waits })
	}
	return answer
}

// forgotten reports whether a version is lower than all that some machine remembers.
func (c *modelCluster) forgotten(version uint64) bool {
	for _, m := range c.machines {
		s, _ := m.register.State()
		if v, err := decodeDocument(s.Value); err == nil && len(v.accepted) >= c.document.maxRemembered && version < v.accepted[0].version {
			return true
		}
	}
	return false
}

// historyCount returns how many histories a test simulates: ORDERS_SEEDS, or usual, which takes a few seconds.
func historyCount(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("ORDERS_SEEDS")); err == nil {
		return n
	}
	return usual
}

// TestOperatorHistoriesAreLinearizable: randomized histories of operators that put, repeat, race and read through
// several keepers, under partitions, losses, restarts and replaced voters, are linearizable. ORDERS_SEED runs one seed
// and prints its history.
func TestOperatorHistoriesAreLinearizable(t *testing.T) {
	if seed, err := strconv.ParseUint(os.Getenv("ORDERS_SEED"), 10, 64); err == nil {
		h, err := simulateOperators(seed)
		t.Log(h)
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	var next, calls, unclear atomic.Uint64
	answers := map[int]*atomic.Uint64{200: {}, 400: {}, 412: {}}
	n := historyCount(1000)
	var group sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for seed := next.Add(1); seed <= uint64(n) && !t.Failed(); seed = next.Add(1) {
				h, err := simulateOperators(seed)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				for _, o := range h.operations {
					calls.Add(1)
					if count := answers[o.Output.(registerAnswer).status]; count != nil {
						count.Add(1)
					} else {
						unclear.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d histories, %d calls: 200 to %d, 400 to %d, 412 to %d, %d inconclusive", n, calls.Load(),
		answers[200].Load(), answers[400].Load(), answers[412].Load(), unclear.Load())
	for status, count := range answers {
		if n >= 1000 && count.Load() == 0 {
			t.Errorf("no call was answered %d: the histories don't cover it", status)
		}
	}
}
