package reconfigure

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"dunetide/internal/consensus/paxos"
)

// modelMachine is a machine with a disk in the enumeration, or a removed machine that is still among the voters.
type modelMachine struct {
	voter       bool  // its present ID is a voter
	lostVoters  uint8 // number of voters under its name whose disks are lost
	up          bool
	partitioned bool
	removed     bool // it never returns
	storedAll   bool // it has stored all acknowledged writes
	recovering  bool // it has returned or is new, and counts as lost until the repair
	spare       bool // it was started for a planned replacement, and the machine that it replaces has not ended yet
}

func (m modelMachine) connected() bool    { return m.up && !m.partitioned }
func (m modelMachine) countsAsLost() bool { return !m.removed && (!m.connected() || m.recovering) }

// model is a set of machines that share one register.
type model struct {
	machines    []modelMachine
	maxFailures int
}

func (w model) clone() model {
	w.machines = slices.Clone(w.machines)
	return w
}

// key returns a key that is equal for models that differ only in the order of their machines.
func (w model) key() string {
	texts := make([]string, len(w.machines))
	for i, m := range w.machines {
		bits := []bool{m.voter, m.up, m.partitioned, m.removed, m.storedAll, m.recovering, m.spare}
		code := m.lostVoters << 1
		for _, bit := range bits {
			code <<= 1
			if bit {
				code |= 1
			}
		}
		texts[i] = string([]byte{m.lostVoters, code})
	}
	slices.Sort(texts)
	return fmt.Sprintf("%q", texts)
}

func (w model) losses() int {
	n := 0
	for _, m := range w.machines {
		if m.countsAsLost() {
			n++
		}
	}
	return n
}

// countVoters counts the voters, the connected voters, and the connected voters that have stored all acknowledged
// writes.
func (w model) countVoters() (voters, connected, complete int) {
	for _, m := range w.machines {
		voters += int(m.lostVoters)
		if !m.voter {
			continue
		}
		voters++
		if m.connected() {
			connected++
			if m.storedAll {
				complete++
			}
		}
	}
	return voters, connected, complete
}

// situation returns the Situation that the connected keepers see. Voter IDs are in the order of the machines, or in
// reverse order.
func (w model) situation(unreachableFor time.Duration, reverse bool, leaver int) Situation {
	s := Situation{Limits: Limits{w.maxFailures, 9, testUnresponsiveTimeout}}
	for i, m := range w.machines {
		id := uint64(1000 * (i + 1))
		if reverse {
			id = uint64(1000 * (len(w.machines) - i))
		}
		identity := paxos.Voter{ID: id, Name: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}
		if m.voter {
			voter := Voter{Voter: identity, Reachable: m.connected()}
			if !voter.Reachable {
				voter.UnreachableFor = unreachableFor
			}
			s.Voters = append(s.Voters, voter)
		}
		for g := range m.lostVoters {
			lost := identity
			lost.ID += uint64(g) + 1
			s.Voters = append(s.Voters, Voter{Voter: lost, UnreachableFor: unreachableFor})
		}
		if m.connected() {
			s.Keepers = append(s.Keepers, Keeper{Voter: identity, CaughtUp: m.storedAll, Leaving: i == leaver})
		}
	}
	return s
}

// afterChange returns the models to which the next change of voters may lead, one for each majority of the new voters
// that may have stored the change.
func (w model) afterChange(s Situation) []model {
	change, found := NextChange(s)
	if !found {
		return nil
	}
	next := w.clone()
	for i := range next.machines {
		m := &next.machines[i]
		name := fmt.Sprint("n", i)
		if change.Old != nil && change.Old.Name == name {
			if change.Old.ID%1000 == 0 {
				m.voter = false
			} else {
				m.lostVoters--
			}
		}
		if change.New != nil && change.New.Name == name {
			m.voter = true
		}
	}
	next.dropRemoved()
	return next.afterWrite()
}

// dropRemoved drops removed machines that are no longer among the voters.
func (w *model) dropRemoved() {
	w.machines = slices.DeleteFunc(w.machines, func(m modelMachine) bool {
		return m.removed && !m.voter && m.lostVoters == 0
	})
}

// afterWrite returns a model for each minimal majority that may have stored a write when it is acknowledged.
func (w model) afterWrite() []model {
	voters, _, _ := w.countVoters()
	var connected []int
	for i, m := range w.machines {
		if m.voter && m.connected() {
			connected = append(connected, i)
		}
	}
	var all []model
	for set := range 1 << len(connected) {
		next := w.clone()
		stored := 0
		for i := range next.machines {
			next.machines[i].storedAll = false
		}
		for bit, i := range connected {
			if set>>bit&1 == 1 {
				next.machines[i].storedAll = true
				stored++
			}
		}
		if stored == paxos.QuorumSize(voters) {
			all = append(all, next)
		}
	}
	return all
}

func (w model) afterSpread() model {
	next := w.clone()
	for i := range next.machines {
		if m := &next.machines[i]; m.connected() {
			m.storedAll = true
		}
	}
	return next
}

// afterRepair returns the model after the maximum time of a repair.
func (w model) afterRepair(reverse bool) model {
	next := w.afterSpread()
	for range 100 {
		after := next.afterChange(next.situation(testUnresponsiveTimeout, reverse, -1))
		if len(after) == 0 {
			break
		}
		next = after[0].afterSpread()
	}
	for i := range next.machines {
		if next.machines[i].connected() {
			next.machines[i].recovering = false
		}
	}
	return next
}

// afterLeaving returns the models after SIGTERM to a machine: with itself as leaving, it applies changes of voters
// until it is not a voter or no change is possible.
func (w model) afterLeaving(leaver int, reverse bool) []model {
	var after []model
	if w.machines[leaver].voter {
		after = w.afterChange(w.situation(0, reverse, leaver))
	}
	if len(after) == 0 {
		return []model{w.clone()}
	}
	var models []model
	for _, next := range after {
		models = append(models, next.afterSpread().afterLeaving(leaver, reverse)...)
	}
	return models
}

// successor is a model and the event that leads to it.
type successor struct {
	event string
	model model
}

// successors returns all models that one event may lead to.
func (w model) successors() []successor {
	var steps []successor
	add := func(event string, models ...model) {
		for _, m := range models {
			m.dropRemoved()
			steps = append(steps, successor{event, m})
		}
	}
	add("spread", w.afterSpread())
	add("write", w.afterWrite()...)
	for _, reverse := range []bool{false, true} {
		add("change", w.afterChange(w.situation(0, reverse, -1))...)
		add("change of an unresponsive voter", w.afterChange(w.situation(testUnresponsiveTimeout, reverse, -1))...)
		add("repair", w.afterRepair(reverse))
	}
	for i, m := range w.machines {
		with := func(change func(m *modelMachine)) model {
			next := w.clone()
			change(&next.machines[i])
			return next
		}
		mayBeLost := m.connected() && (m.recovering && w.losses() <= w.maxFailures || w.losses() < w.maxFailures)
		if mayBeLost {
			add("crash", with(func(m *modelMachine) { m.up, m.recovering = false, false }))
			add("partition", with(func(m *modelMachine) { m.partitioned, m.recovering = true, false }))
			add("loss of the disk", with(func(m *modelMachine) { m.loseDisk(); m.up, m.recovering = false, false }))
			add("restart", w.afterRestart(i)...)
		}
		if mayBeLost || m.countsAsLost() && !m.recovering && !m.removed {
			replaced := with(func(m *modelMachine) { m.up, m.removed, m.recovering, m.storedAll = false, true, false, false })
			replaced.machines = append(replaced.machines, modelMachine{up: true, recovering: true})
			add("replacement", replaced)
		}
		if !m.removed && !m.up {
			add("return", with(func(m *modelMachine) { m.up, m.recovering = true, true }))
		}
		if m.up && m.partitioned {
			add("return", with(func(m *modelMachine) { m.partitioned, m.recovering = false, true }))
		}
		if m.connected() && !m.spare {
			add("planned end", w.afterPlannedEnd(i)...)
		}
	}
	if w.spareMachine() < 0 {
		next := w.clone()
		next.machines = append(next.machines, modelMachine{up: true, spare: true, recovering: true})
		add("planned arrival", next)
	}
	return steps
}

func (m *modelMachine) loseDisk() {
	if m.voter {
		m.voter = false
		m.lostVoters++
	}
	m.storedAll = false
}

func (w model) spareMachine() int {
	return slices.IndexFunc(w.machines, func(m modelMachine) bool { return m.spare })
}

// afterRestart returns the models after SIGTERM to a machine that will return.
func (w model) afterRestart(i int) []model {
	var models []model
	for _, reverse := range []bool{false, true} {
		for _, next := range w.afterLeaving(i, reverse) {
			next.machines[i].up, next.machines[i].recovering = false, false
			models = append(models, next)
		}
	}
	return models
}

// afterPlannedEnd returns the models after SIGTERM to a machine whose replacement is already running and has caught up.
func (w model) afterPlannedEnd(i int) []model {
	spare := w.spareMachine()
	if spare < 0 || !w.machines[spare].connected() || !w.machines[spare].storedAll || w.machines[i].recovering {
		return nil
	}
	ready := w.clone()
	ready.machines[spare].spare = false
	var models []model
	for _, reverse := range []bool{false, true} {
		for _, next := range ready.afterLeaving(i, reverse) {
			m := &next.machines[i]
			m.up, m.removed, m.storedAll = false, true, false
			models = append(models, next)
		}
	}
	return models
}

// check returns the violation in a model, or "". The parameter repaired is true if the maximum time of a repair has
// passed.
func (w model) check(repaired bool) string {
	voters, connected, complete := w.countVoters()
	if connected < paxos.QuorumSize(voters) {
		return fmt.Sprintf("%d of %d voters are connected", connected, voters)
	}
	if complete == 0 {
		return "no connected voter has stored all acknowledged writes"
	}
	if more := w.maxFailures - w.losses(); repaired && connected-more < paxos.QuorumSize(voters) {
		return fmt.Sprintf("%d of %d voters are connected, and %d more may be lost", connected, voters, more)
	}
	if unfilled := w.unfilled(); repaired && w.losses() == 0 && unfilled != "" {
		return unfilled
	}
	return ""
}

// unfilled returns in what way the voters differ from the machines when no machine counts as lost, or "".
func (w model) unfilled() string {
	voters, connected, _ := w.countVoters()
	wanted := 0
	for _, m := range w.machines {
		if m.connected() {
			wanted++
		}
	}
	if voters != connected || voters != min(wanted, 9) {
		return fmt.Sprintf("%d of %d voters are connected, with %d machines connected", connected, voters, wanted)
	}
	return ""
}

// enumerationDepth returns the length of the event sequences: RECONFIGURE_DEPTH, or a default that takes a few seconds.
func enumerationDepth(defaultDepth int) int {
	if n, err := strconv.Atoi(os.Getenv("RECONFIGURE_DEPTH")); err == nil {
		return n
	}
	return defaultDepth
}

// TestEveryOrderOfEvents enumerates all sequences of crashes, disk losses, partitions, returns, restarts, replacements,
// planned replacements, writes and changes of voters with at most maxFailures losses at a time. At each moment a
// majority of the voters must be connected, including one that has stored all acknowledged writes; after each repair,
// the voters must survive as many further losses as maxFailures allows.
func TestEveryOrderOfEvents(t *testing.T) {
	for _, c := range []struct{ machines, maxFailures, depth int }{
		{3, 1, 12}, {4, 1, 10}, {5, 1, 8}, {5, 2, 7}, {8, 1, 5}, {8, 2, 5}, {9, 1, 5}, {9, 2, 5},
	} {
		t.Run(fmt.Sprintf("%d machines, %d lost", c.machines, c.maxFailures), func(t *testing.T) {
			t.Parallel()
			first := model{maxFailures: c.maxFailures}
			for range c.machines {
				first.machines = append(first.machines, modelMachine{voter: true, up: true, storedAll: true})
			}
			enumerate(t, first, enumerationDepth(c.depth))
		})
	}
}

func enumerate(t *testing.T, first model, depth int) {
	t.Helper()
	type reached struct {
		model
		path *eventPath
	}
	seen := map[string]bool{first.key(): true}
	level := []reached{{first, nil}}
	steps := 0
	for range depth {
		var following []reached
		for _, from := range level {
			for _, s := range from.successors() {
				steps++
				path := &eventPath{s.event, from.path}
				if fault := s.model.check(s.event == "repair"); fault != "" {
					t.Fatalf("after %v: %s\n%+v", path, fault, s.model.machines)
				}
				if key := s.model.key(); !seen[key] {
					seen[key] = true
					following = append(following, reached{s.model, path})
				}
			}
		}
		level = following
	}
	t.Logf("%d events deep: %d steps, %d states, %d of them first reached by the last event",
		depth, steps, len(seen), len(level))
}

// eventPath is a sequence of events as a list, the last event first.
type eventPath struct {
	event  string
	before *eventPath
}

func (n *eventPath) String() string {
	if n.before == nil {
		return n.event
	}
	return n.before.String() + ", " + n.event
}
