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
	// requestGap is the shortest time between two requests of a node.
	requestGap = 50 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed request.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// renewDivisor divides the length of a lease to give the time after which it is renewed. The rest is left for an election.
	renewDivisor = 3
	// minPoll and maxPoll bound the delay before a lease that another node has is requested again. The delay is the length
	// divided by pollDivisor. The leader also notifies waiting nodes when the lease becomes free.
	minPoll     = 250 * time.Millisecond
	maxPoll     = 10 * time.Second
	pollDivisor = 8
	// avoidFor is how long a voter that has not answered is avoided if there are others: as long as an election takes.
	avoidFor = 3 * time.Second
)

// tenure is the state of one lease at a Client.
type tenure struct {
	length  time.Duration
	wanted  bool          // if false, the lease is being released
	token   uint64        // 0 if it is not held
	giving  uint64        // token of a lease that must be released before anything else, 0 if there is none
	until   time.Duration // when the lease of token or giving expires, by this node's clock
	askAt   time.Duration // when the next request for it is due
	holder  string        // its holder at the last answer
	since   uint64        // see op.Since
	note    []byte        // the note of the name at the last answer
	set     []byte        // the note to set, if toSet
	toSet   bool
	refusal string // why it was not granted
}

// sentRequest is a request that was sent and has not been answered yet.
type sentRequest struct {
	Number uint64
	To     string // a voter
	Ask    request
	at     time.Duration // a time before it was sent
}

// timeout returns how long to wait for the answer: a part of the shortest requested lease, so that there is time to try
// another voter.
func (r *sentRequest) timeout() time.Duration {
	shortest := 4 * requestTime
	for _, o := range r.Ask.Ops {
		if o.Do == opTake {
			shortest = min(shortest, o.Length)
		}
	}
	return max(shortest/4, minBackoff)
}

// Client is the client of the leases at one node: it decides when to send which requests, and tracks the leases that the
// node holds. It has no clock or goroutine: now is the reading of a monotonic clock that does not stop while the machine
// sleeps. It is not safe for concurrent use.
type Client struct {
	name        string
	incarnation uint64
	number      uint64
	voters      []string // from the configuration
	learnt      []string // voters named in the last answer
	leader      string   // the voter for the next request; empty for any
	avoid       string   // a voter that has not answered, which is avoided until avoidTo
	avoidTo     time.Duration
	log         logID
	tenures     map[string]*tenure
	out         *sentRequest  // the outstanding request, nil if there is none
	next        time.Duration // the earliest time of the next request
	backoff     time.Duration
	random      func() float64
	stats       ClientStats
}

// ClientStats counts the requests, those without an answer, and the leases lost, since the start.
type ClientStats struct {
	Asks, NoAnswer, Lost int
}

// NewClient returns a Client that wants no leases. The function random returns random numbers in [0, 1).
func NewClient(name string, voters []string, random func() float64) *Client {
	return &Client{name: name, voters: voters, tenures: map[string]*tenure{}, random: random}
}

// Restart sets the incarnation of the node. If it has changed, the leases that were held and the outstanding request are
// dropped.
func (a *Client) Restart(incarnation uint64) {
	if incarnation == a.incarnation {
		return
	}
	a.incarnation, a.out = incarnation, nil // the request numbers continue, because an incarnation may join twice
	for name, t := range a.tenures {
		t.toSet = false
		t.token, t.giving = 0, 0
		if !t.wanted {
			delete(a.tenures, name)
		}
	}
}

// Want requests a lease, and renews it, until Drop. It fails if the name or the length is invalid or there are too many leases.
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
	t.length, t.wanted, t.askAt = length, true, min(t.askAt, now) // a release in progress is completed first
	return nil
}

// Succeed allows a wanted lease to be taken over from earlier incarnations of this node (op.Since).
func (a *Client) Succeed(name string, since uint64) {
	if t := a.tenures[name]; t != nil {
		t.since = since
	}
}

// SetNote requests that the note of a held lease be replaced.
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

// Drop releases a lease. The caller must have ended its work under it.
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

// Forget stops renewing a lease without releasing it: it expires.
func (a *Client) Forget(name string) { delete(a.tenures, name) }

// Held returns the token of a lease that this node holds and the time until it expires, or zeros.
func (a *Client) Held(name string, now time.Duration) (token uint64, left time.Duration) {
	t := a.tenures[name]
	if t == nil || !t.wanted || t.token == 0 || now >= t.until {
		return 0, 0
	}
	return t.token, t.until - now
}

// Freed makes the next request for a lease due at once, because the lease may be free.
func (a *Client) Freed(name string, now time.Duration) {
	if t := a.tenures[name]; t != nil && t.wanted && t.token == 0 {
		t.askAt = min(t.askAt, now)
	}
}

// expire ends the leases that have expired.
func (a *Client) expire(now time.Duration) {
	for name, t := range a.tenures {
		if t.token == 0 && t.giving == 0 || now < t.until {
			continue
		}
		if t.token != 0 {
			a.stats.Lost++
		}
		t.token, t.giving, t.askAt, t.toSet = 0, 0, min(t.askAt, now), false
		if !t.wanted {
			delete(a.tenures, name) // the release was not answered, but the lease expires at the voters too
		}
	}
}

// Step returns the next request, or nil if none is due.
func (a *Client) Step(now time.Duration) *sentRequest {
	a.expire(now)
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
	expiry := func(name string) time.Duration { // the leases that expire first come first
		if t := a.tenures[name]; t.token != 0 {
			return t.until
		}
		return now + a.tenures[name].length
	}
	slices.SortFunc(due, func(x, y string) int {
		return cmp.Or(cmp.Compare(expiry(x), expiry(y)), cmp.Compare(x, y))
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

// NoAnswer reports that a request was not answered. The request may have had an effect.
func (a *Client) NoAnswer(number uint64, now time.Duration) {
	if a.out == nil || a.out.Number != number {
		return
	}
	a.avoid, a.avoidTo = a.out.To, now+avoidFor
	a.out = nil
	a.stats.NoAnswer++
	a.pause(now)
}

// pause delays the next request by a random time whose mean doubles with each consecutive failure.
func (a *Client) pause(now time.Duration) {
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.next = now + time.Duration(float64(a.backoff)*(0.5+a.random()))
}

// Answer handles the answer to a request. Answers to any but the outstanding request are ignored.
func (a *Client) Answer(number uint64, ans answer, now time.Duration) {
	if a.out == nil || a.out.Number != number {
		return
	}
	r := a.out
	a.out = nil
	if a.ignoreLog(ans.Log, now) {
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

// ignoreLog reports whether an answer must be ignored because of its log: the log is of an earlier epoch, or it is another
// log while this node holds leases of the present one. Otherwise the log becomes the present one.
func (a *Client) ignoreLog(log logID, now time.Duration) bool {
	if log == (logID{}) {
		return false // the voter has no log, or only names the leader
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

// resolve applies the outcome of one op. A lease is timed from before the request was sent.
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
	if t.giving != 0 { // Drop was called after the request: the release continues
		t.until = max(t.until, asked+out.Length)
		return
	}
	t.holder, t.refusal = out.Holder, out.No
	if !out.Mine {
		if t.token != 0 {
			a.stats.Lost++
		}
		t.token, t.toSet = 0, false
		if !t.wanted {
			delete(a.tenures, o.Name)
			return
		}
		pause := min(max(out.Length/pollDivisor, minPoll), maxPoll)
		t.askAt = now + time.Duration(float64(pause)*(0.5+a.random()))
		if o.Token != 0 && out.Token == 0 {
			t.askAt = now // the lease of this node has expired: request a new one
		}
		return
	}
	t.note = out.Note
	if o.SetNote && bytes.Equal(o.Note, t.set) {
		t.toSet = false
	}
	t.token, t.until = out.Token, asked+out.Length
	t.askAt = asked + out.Length/renewDivisor
	if t.toSet {
		t.askAt = now
	}
	if !t.wanted {
		t.giving, t.token, t.askAt = t.token, 0, now
	}
}

// names returns the names that are wanted or held, in order.
func (a *Client) names() []string { return slices.Sorted(maps.Keys(a.tenures)) }
