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
	// requestGap is the shortest time between two asks of a node.
	requestGap = 50 * time.Millisecond
	// backoffLeast and backoffMost bound the pause after an ask that failed.
	backoffLeast = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// A lease is renewed after a renewAfter-th of its length, so that the rest is left for an election.
	renewAfter = 3
	// wantedLeast and wantedMost bound the pause before asking again for a lease that another node has, which is a
	// wantedShare-th of its length. The leader also says when it becomes free.
	wantedLeast = 250 * time.Millisecond
	maxWanted   = 10 * time.Second
	wantedShare = 8
	// avoidFor is the time for which a voter that has not answered is not asked if there are others: as long as an
	// election takes.
	avoidFor = 3 * time.Second
)

// tenure is what an Asker knows of one name.
type tenure struct {
	length time.Duration
	wanted bool          // otherwise it is to be given back
	token  uint64        // 0 if it is not held
	giving uint64        // token of a lease that is to be given back before anything else, 0 if there is none
	until  time.Duration // when the lease of token or giving expires, by this node's clock
	askAt  time.Duration // when the next ask for it is due
	holder string        // its holder at the last ask
	since  uint64        // see op.Since
	note   []byte        // the note of the name at the last ask
	set    []byte        // the note to set, if toSet
	toSet  bool
	no     string // why it was not granted
}

// sentRequest is an ask that was sent and not answered yet.
type sentRequest struct {
	Number uint64
	To     string // a voter
	Ask    request
	at     time.Duration // a time before it was sent
}

// patience returns how long to wait for the answer: a part of the shortest lease that is asked for, so that there is time
// to ask another voter.
func (r *sentRequest) patience() time.Duration {
	shortest := 4 * requestTime
	for _, o := range r.Ask.Ops {
		if o.Do == opTake {
			shortest = min(shortest, o.Length)
		}
	}
	return max(shortest/4, backoffLeast)
}

// Client is the client of the leases at one node: it decides when to ask for what, and knows what the node holds. It has no
// clock or goroutine: now is the reading of a monotonic clock that does not stop while the machine sleeps. It is not safe
// for concurrent use.
type Client struct {
	name        string
	incarnation uint64
	number      uint64
	voters      []string // by the configuration
	learnt      []string // by the last answer
	leader      string   // the voter to ask next; empty for any
	avoid       string   // a voter that has not answered, which is avoided until avoidTo
	avoidTo     time.Duration
	log         logID
	tenures     map[string]*tenure
	out         *sentRequest
	next        time.Duration // the earliest time of the next ask
	backoff     time.Duration
	random      func() float64
	stats       ClientStats
}

// ClientStats counts the asks, those without an answer, and the leases lost, since the start.
type ClientStats struct {
	Asks, NoAnswer, Lost int
}

// NewClient returns an Asker that wants no leases. The function random returns random numbers in [0, 1).
func NewClient(name string, voters []string, random func() float64) *Client {
	return &Client{name: name, voters: voters, tenures: map[string]*tenure{}, random: random}
}

// Restart sets the incarnation of the node. If it has changed, the leases that were held and the ask without an answer are
// lost.
func (a *Client) Restart(incarnation uint64) {
	if incarnation == a.incarnation {
		return
	}
	a.incarnation, a.out = incarnation, nil // the numbers go on, because an incarnation may join twice
	for name, t := range a.tenures {
		t.toSet = false
		t.token, t.giving = 0, 0
		if !t.wanted {
			delete(a.tenures, name)
		}
	}
}

// Want asks for a lease from now on, and renews it, until Drop. It fails if the name or the length is invalid or there are
// too many leases.
func (a *Client) Want(name string, length, now time.Duration) error {
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
	t.length, t.wanted, t.askAt = length, true, min(t.askAt, now) // a lease that is being given back is given back first
	return nil
}

// Succeed allows a lease that is wanted to be taken from earlier incarnations of this node (op.Since).
func (a *Client) Succeed(name string, since uint64) {
	if t := a.tenures[name]; t != nil {
		t.since = since
	}
}

// SetNote asks to replace the note of a lease that is held.
func (a *Client) SetNote(name string, text []byte, now time.Duration) {
	if t := a.tenures[name]; t != nil && t.token != 0 {
		t.set, t.toSet, t.askAt = text, true, min(t.askAt, now)
	}
}

// Note returns the note of a lease at the last answer, and whether no SetNote is outstanding.
func (a *Client) Note(name string) (text []byte, settled bool) {
	t := a.tenures[name]
	if t == nil {
		return nil, false
	}
	return t.note, !t.toSet
}

// Drop gives a lease back. The caller must have ended its work under it.
func (a *Client) Drop(name string, now time.Duration) {
	t := a.tenures[name]
	if t == nil {
		return
	}
	t.wanted, t.askAt = false, now
	if t.token != 0 {
		t.giving, t.token = t.token, 0
	}
	if t.giving == 0 && (a.out == nil || !slices.ContainsFunc(a.out.Ask.Ops, func(o op) bool { return o.Name == name && o.Do == opTake })) {
		delete(a.tenures, name)
	}
}

// Forget stops renewing a lease without giving it back: it expires.
func (a *Client) Forget(name string) { delete(a.tenures, name) }

// Held returns the token of a lease that this node holds and the time until it expires, or zeros.
func (a *Client) Held(name string, now time.Duration) (token uint64, left time.Duration) {
	t := a.tenures[name]
	if t == nil || !t.wanted || t.token == 0 || now >= t.until {
		return 0, 0
	}
	return t.token, t.until - now
}

// Freed makes the next ask for a name due at once, because it may be free.
func (a *Client) Freed(name string, now time.Duration) {
	if t := a.tenures[name]; t != nil && t.wanted && t.token == 0 {
		t.askAt = min(t.askAt, now)
	}
}

// runOut ends the leases that have expired.
func (a *Client) runOut(now time.Duration) {
	for name, t := range a.tenures {
		if t.token == 0 && t.giving == 0 || now < t.until {
			continue
		}
		if t.token != 0 {
			a.stats.Lost++
		}
		t.token, t.giving, t.askAt, t.toSet = 0, 0, min(t.askAt, now), false
		if !t.wanted {
			delete(a.tenures, name) // no answer to the give; it expires at the voters too
		}
	}
}

// Step returns the next ask, or nil if none is due.
func (a *Client) Step(now time.Duration) *sentRequest {
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
	urgent := func(name string) time.Duration { // leases that expire first are asked for first
		if t := a.tenures[name]; t.token != 0 {
			return t.until
		}
		return now + a.tenures[name].length
	}
	slices.SortFunc(due, func(x, y string) int {
		return cmp.Or(cmp.Compare(urgent(x), urgent(y)), cmp.Compare(x, y))
	})
	a.number++
	r := &sentRequest{Number: a.number, To: a.leader, Ask: request{Node: a.name, Incarnation: a.incarnation, Number: a.number}, at: now}
	if r.To == "" {
		r.To = a.anyVoter(now)
	}
	for _, name := range due[:min(len(due), maxOps)] {
		t := a.tenures[name]
		o := op{Do: opTake, Name: name, Token: t.token, Length: t.length, Since: t.since, SetNote: t.toSet && t.token != 0, Note: t.set}
		if t.giving != 0 || !t.wanted {
			o = op{Do: opGive, Name: name, Token: t.giving}
		}
		r.Ask.Ops = append(r.Ask.Ops, o)
	}
	a.out, a.leader = r, ""
	a.stats.Asks++
	return r
}

// anyVoter returns a random voter, if possible one that is not avoided.
func (a *Client) anyVoter(now time.Duration) string {
	all := slices.Concat(a.learnt, a.voters)
	if others := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == a.avoid }); now < a.avoidTo && len(others) > 0 {
		all = others
	}
	return all[int(a.random()*float64(len(all)))%len(all)]
}

// Wake returns when Step must be called next, and false if no lease is wanted.
func (a *Client) Wake() (at time.Duration, ok bool) {
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

// NoAnswer reports that an ask was not answered. It may have had an effect.
func (a *Client) NoAnswer(number uint64, now time.Duration) {
	if a.out == nil || a.out.Number != number {
		return
	}
	a.avoid, a.avoidTo = a.out.To, now+avoidFor
	a.out = nil
	a.stats.NoAnswer++
	a.pause(now)
}

// pause delays the next ask by a random time whose mean doubles with each failed ask in a row.
func (a *Client) pause(now time.Duration) {
	a.backoff = min(max(2*a.backoff, backoffLeast), maxBackoff)
	a.next = now + time.Duration(float64(a.backoff)*(0.5+a.random()))
}

// Answer handles the answer to an ask. An answer to any but the last ask is ignored.
func (a *Client) Answer(number uint64, ans answer, now time.Duration) {
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
			a.leader, a.next = ans.Leader, now+requestGap
		} else {
			a.pause(now)
		}
		return
	}
	a.leader, a.backoff, a.next = r.To, 0, now+requestGap
	for i, o := range ans.Outcomes {
		a.resolve(r.Ask.Ops[i], o, r.at, now)
	}
}

// another reports whether an answer must be ignored because of its log: it is of an earlier epoch, or of another log while
// this node holds leases of the one that it knows.
func (a *Client) another(log logID, now time.Duration) bool {
	if log == (logID{}) {
		return false // the voter is in no log, or only names the leader
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

// resolve applies the outcome of one op. The time of a lease is counted from before the ask was sent.
func (a *Client) resolve(o op, out outcome, asked, now time.Duration) {
	t := a.tenures[o.Name]
	if t == nil {
		return
	}
	if o.Do == opGive {
		if t.giving == o.Token {
			t.giving = 0
		}
		if !t.wanted && t.giving == 0 {
			delete(a.tenures, o.Name)
		}
		return
	}
	if t.giving != 0 { // Drop was called after the ask: the give goes on
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
		pause := min(max(out.Length/wantedShare, wantedLeast), maxWanted)
		t.askAt = now + time.Duration(float64(pause)*(0.5+a.random()))
		if o.Token != 0 && out.Token == 0 {
			t.askAt = now // the lease of this node has expired: ask for a new one
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

// names returns the names that are wanted or held, in order.
func (a *Client) names() []string { return slices.Sorted(maps.Keys(a.tenures)) }
