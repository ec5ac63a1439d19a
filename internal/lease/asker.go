package lease

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
	"unicode/utf8"
)

const (
	// askGap is the least time between two asks of a node.
	askGap = 50 * time.Millisecond
	// backoffLeast and backoffMost are the pauses after an ask that came to nothing.
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 2 * time.Second
	// renewAfter of a lease's length is when it is renewed: two thirds are left for an election.
	renewAfter = 3
	// wantedLeast and wantedMost are the pauses after which one asks again for what another
	// has; in between an eighth of its length. The log tells, besides, when it is free.
	wantedLeast = 250 * time.Millisecond
	wantedMost  = 10 * time.Second
	// avoidFor is how long one that has not answered is asked after all others: an election.
	avoidFor = 3 * time.Second
)

// tenure is what an asker knows of one name.
type tenure struct {
	length time.Duration
	wanted bool          // else it is to be given back
	token  uint64        // 0: not held
	giving uint64        // the token of what is to be given back before anything else; 0: nothing is
	until  time.Duration // of either, by this node's own clock
	askAt  time.Duration // when something is to be asked for it next
	holder string        // who had it when it was asked for last
	since  uint64        // as of op; 0 for none
	note   []byte        // of the name, as the log had it when it was asked last
	set    []byte        // a note that is to take its place
	toSet  bool
	no     string // why there was no grant
}

// request is one ask on its way.
type request struct {
	Number uint64
	To     string // a voter
	Ask    ask
	at     time.Duration // before it left
}

// patience is how long an answer is waited for: little where a lease is short, so that one of
// the other voters is asked in time.
func (r *request) patience() time.Duration {
	shortest := 4 * askTime
	for _, o := range r.Ask.Ops {
		if o.Do == take {
			shortest = min(shortest, o.Length)
		}
	}
	return max(shortest/4, backoffLeast)
}

// Asker is one node's asks, and what it holds: pure, and stepped with times of one clock that
// never stops. It is not safe for concurrent use.
type Asker struct {
	name        string
	incarnation uint64
	number      uint64
	voters      []string // of the file
	learnt      []string // as the log has them
	leader      string   // who is asked next; empty: any voter
	avoid       string   // who has not answered, until avoidTo: others may take it to lead still
	avoidTo     time.Duration
	log         logID
	tenures     map[string]*tenure
	out         *request
	next        time.Duration // no ask before
	backoff     time.Duration
	random      func() float64
	stats       AskerStats
}

// AskerStats count since the start.
type AskerStats struct {
	Asks, NoAnswer, Lost int
}

// NewAsker begins with nothing. Random draws from 0 to 1.
func NewAsker(name string, voters []string, random func() float64) *Asker {
	return &Asker{name: name, voters: voters, tenures: map[string]*tenure{}, random: random}
}

// Restart tells the incarnation that the node has now. What was held under another one is lost,
// and so is what is on its way.
func (a *Asker) Restart(incarnation uint64) {
	if incarnation == a.incarnation {
		return
	}
	a.incarnation, a.out = incarnation, nil // numbers go on: an incarnation may join twice
	for name, t := range a.tenures {
		t.toSet = false
		t.token, t.giving = 0, 0
		if !t.wanted {
			delete(a.tenures, name)
		}
	}
}

// Want asks for a lease from now on, and renews it, until Drop.
func (a *Asker) Want(name string, length, now time.Duration) error {
	if name == blocked || len(name) > MaxName || !utf8.ValidString(name) {
		return fmt.Errorf("%q is no name of a lease (1 to %d bytes)", name, MaxName)
	}
	if length < Shortest {
		return fmt.Errorf("a lease of %v: %v is the least", length, Shortest)
	}
	t := a.tenures[name]
	switch {
	case t == nil && len(a.tenures) >= MaxLeases:
		return fmt.Errorf("%d leases are asked for already", len(a.tenures))
	case t == nil:
		t = &tenure{}
		a.tenures[name] = t
	case t.wanted:
		return nil
	}
	t.length, t.wanted, t.askAt = length, true, min(t.askAt, now) // after the give-back, if there is one
	return nil
}

// Succeed lets a wish that is there take what earlier incarnations of this node have, as op says.
func (a *Asker) Succeed(name string, since uint64) {
	if t := a.tenures[name]; t != nil {
		t.since = since
	}
}

// SetNote asks for another note of a lease that is held.
func (a *Asker) SetNote(name string, text []byte, now time.Duration) {
	if t := a.tenures[name]; t != nil && t.token != 0 {
		t.set, t.toSet, t.askAt = text, true, min(t.askAt, now)
	}
}

// Note is the note of a lease as the log had it last, and whether it is the one that was asked for last.
func (a *Asker) Note(name string) (text []byte, settled bool) {
	t := a.tenures[name]
	if t == nil {
		return nil, false
	}
	return t.note, !t.toSet
}

// Drop gives a lease back. The caller has ended what it did under it.
func (a *Asker) Drop(name string, now time.Duration) {
	t := a.tenures[name]
	if t == nil {
		return
	}
	t.wanted, t.askAt = false, now
	if t.token != 0 {
		t.giving, t.token = t.token, 0
	}
	if t.giving == 0 && (a.out == nil || !slices.ContainsFunc(a.out.Ask.Ops, func(o op) bool { return o.Name == name && o.Do == take })) {
		delete(a.tenures, name)
	}
}

// Forget ends the wish for a lease and says so to nobody: it runs out.
func (a *Asker) Forget(name string) { delete(a.tenures, name) }

// Held tells the token of a lease that this node has now, and how long it has it.
func (a *Asker) Held(name string, now time.Duration) (token uint64, left time.Duration) {
	t := a.tenures[name]
	if t == nil || !t.wanted || t.token == 0 || now >= t.until {
		return 0, 0
	}
	return t.token, t.until - now
}

// Freed tells that a name may be free.
func (a *Asker) Freed(name string, now time.Duration) {
	if t := a.tenures[name]; t != nil && t.wanted && t.token == 0 {
		t.askAt = min(t.askAt, now)
	}
}

// runOut ends what has run out.
func (a *Asker) runOut(now time.Duration) {
	for name, t := range a.tenures {
		if t.token == 0 && t.giving == 0 || now < t.until {
			continue
		}
		if t.token != 0 {
			a.stats.Lost++
		}
		t.token, t.giving, t.askAt, t.toSet = 0, 0, min(t.askAt, now), false
		if !t.wanted {
			delete(a.tenures, name) // it was not answered; the log finds out by itself
		}
	}
}

// Step makes the next ask, if one is due; nil: none is.
func (a *Asker) Step(now time.Duration) *request {
	a.runOut(now)
	if a.out != nil || now < a.next || a.incarnation == 0 || len(a.voters) == 0 {
		return nil
	}
	var due []string
	for name, t := range a.tenures {
		if t.askAt <= now {
			due = append(due, name)
		}
	}
	if len(due) == 0 {
		return nil
	}
	urgent := func(name string) time.Duration { // what would be lost first
		if t := a.tenures[name]; t.token != 0 {
			return t.until
		}
		return now + a.tenures[name].length
	}
	slices.SortFunc(due, func(x, y string) int {
		return cmp.Or(cmp.Compare(urgent(x), urgent(y)), cmp.Compare(x, y))
	})
	a.number++
	r := &request{Number: a.number, To: a.leader, Ask: ask{Node: a.name, Incarnation: a.incarnation, Number: a.number}, at: now}
	if r.To == "" {
		r.To = a.anyVoter(now)
	}
	for _, name := range due[:min(len(due), maxOps)] {
		t := a.tenures[name]
		o := op{Do: take, Name: name, Token: t.token, Length: t.length, Since: t.since, SetNote: t.toSet && t.token != 0, Note: t.set}
		if t.giving != 0 || !t.wanted {
			o = op{Do: give, Name: name, Token: t.giving}
		}
		r.Ask.Ops = append(r.Ask.Ops, o)
	}
	a.out, a.leader = r, ""
	a.stats.Asks++
	return r
}

func (a *Asker) anyVoter(now time.Duration) string {
	all := slices.Concat(a.learnt, a.voters)
	if others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == a.avoid }); now < a.avoidTo && len(others) > 0 {
		all = others
	}
	return all[int(a.random()*float64(len(all)))%len(all)]
}

// Wake is when Step has something to do; false: nothing is wanted.
func (a *Asker) Wake() (at time.Duration, ok bool) {
	for _, t := range a.tenures {
		due := max(t.askAt, a.next)
		if a.out != nil {
			due = 1<<62 - 1
		}
		if t.token != 0 || t.giving != 0 {
			due = min(due, t.until)
		}
		if !ok || due < at {
			at, ok = due, true
		}
	}
	return at, ok
}

// NoAnswer tells that an ask came to nothing, as far as can be known here.
func (a *Asker) NoAnswer(number uint64, now time.Duration) {
	if a.out == nil || a.out.Number != number {
		return
	}
	a.avoid, a.avoidTo = a.out.To, now+avoidFor
	a.out = nil
	a.stats.NoAnswer++
	a.pause(now)
}

// pause grows with each ask in a row that came to nothing, and no two nodes' are alike.
func (a *Asker) pause(now time.Duration) {
	a.backoff = min(max(2*a.backoff, backoffLeast), backoffMost)
	a.next = now + time.Duration(float64(a.backoff)*(0.5+a.random()))
}

// Answer takes in what became of an ask. One that is no longer waited for is nothing.
func (a *Asker) Answer(number uint64, ans answer, now time.Duration) {
	if a.out == nil || a.out.Number != number {
		return
	}
	r := a.out
	a.out = nil
	if a.another(ans.Log, now) {
		a.pause(now)
		return
	}
	if len(ans.Voters) > 0 {
		a.learnt = ans.Voters
	}
	if ans.No != "" || len(ans.Outcomes) != len(r.Ask.Ops) {
		if ans.Leader != "" && ans.Leader != r.To && (ans.Leader != a.avoid || now >= a.avoidTo) {
			a.leader, a.next = ans.Leader, now+askGap
		} else {
			a.pause(now)
		}
		return
	}
	a.leader, a.backoff, a.next = r.To, 0, now+askGap
	for i, o := range ans.Outcomes {
		a.settle(r.Ask.Ops[i], o, r.at, now)
	}
}

// another tells whether an answer is from a log that this node must not listen to: an earlier
// epoch, or another log while something is held by the one that it knows.
func (a *Asker) another(log logID, now time.Duration) bool {
	if log == (logID{}) {
		return false // it only says who leads, or that it has none
	}
	if log.ID != a.log.ID {
		for _, t := range a.tenures {
			if t.token != 0 && now < t.until {
				return true
			}
		}
	} else if log.Epoch < a.log.Epoch {
		return true
	}
	a.log = log
	return false
}

// settle takes in what became of one name. A lease is counted from before it was asked for.
func (a *Asker) settle(o op, out outcome, asked, now time.Duration) {
	t := a.tenures[o.Name]
	if t == nil {
		return
	}
	if o.Do == give {
		if t.giving == o.Token {
			t.giving = 0
		}
		if !t.wanted && t.giving == 0 {
			delete(a.tenures, o.Name)
		}
		return
	}
	if t.giving != 0 { // given back since it was asked for: that goes on
		t.until = max(t.until, asked+out.Length)
		return
	}
	t.holder, t.no = out.Holder, out.No
	if !out.Mine {
		if t.token != 0 {
			a.stats.Lost++
		}
		t.token, t.toSet = 0, false
		if !t.wanted {
			delete(a.tenures, o.Name)
			return
		}
		pause := min(max(out.Length/8, wantedLeast), wantedMost)
		t.askAt = now + time.Duration(float64(pause)*(0.5+a.random()))
		if o.Token != 0 && out.Token == 0 {
			t.askAt = now // this node's own has run out: anew
		}
		return
	}
	t.note = out.Note
	if o.SetNote && bytes.Equal(o.Note, t.set) {
		t.toSet = false
	}
	t.token, t.until = out.Token, asked+out.Length
	t.askAt = asked + out.Length/renewAfter
	if t.toSet {
		t.askAt = now
	}
	if !t.wanted {
		t.giving, t.token, t.askAt = t.token, 0, now
	}
}

// names are all that is asked for or held, in order.
func (a *Asker) names() []string { return slices.Sorted(maps.Keys(a.tenures)) }
