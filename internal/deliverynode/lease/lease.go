package lease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs"
)

const (
	// kind is the kind of the messages about leases on the fleet's links.
	kind = "lease"
	// eventQueue is the most events that wait for the voter's loop; further ones are refused. An event takes some
	// microseconds, or as long as a sync of the disk.
	eventQueue = 2048
	// flushEvery is the most events before a Flush.
	flushEvery = 256
	// tookWindow is the number of asks whose times are kept for the staff.
	tookWindow = 256
	// voterPause is the pause before a voter that has failed is started again from its folder.
	voterPause = 5 * time.Second
	// requestTime is how long to wait for an answer: a little longer than the leader waits.
	requestTime = answerTime + 500*time.Millisecond
)

var (
	// ErrNotHeld is returned when a lease is not held, or not for long enough.
	ErrNotHeld = errors.New("the lease is not held for so long")
	// ErrOutside is returned when this node is not joined to its fleet.
	ErrOutside = errors.New("this node is not joined")
)

// Options configures Leases.
type Options struct {
	Net     fleet.Net
	Folder  vfs.Folder
	Name    string
	Voters  []string
	Longest time.Duration
	Most    int
	// Clock is a monotonic clock that does not stop while the machine sleeps.
	Clock func() time.Duration
	// Above returns a number that all tokens of a log that begins must exceed.
	Above func() uint64
	Seed  uint64
	Log   *slog.Logger
}

// Leases is the part of one node in the leases of its fleet: a client and, if it is one, a voter. It is safe for concurrent use.
type Leases struct {
	options Options
	events  chan func(v *Voter, now time.Duration) // for the voter's loop
	ctx     sync.Mutex                             // held while the voter is started or stopped
	votes   bool                                   // there is a voter; guarded by life
	wake    chan struct{}                          // wakes the asker's loop

	mu     sync.Mutex // guards the following
	client *Client
	leases map[string]*Lease
	rand   *rand.Rand
	start  uint64
	took   []time.Duration // times of the last asks until their answers
	joined bool
	failed string        // why there is no voter
	turn   chan struct{} // closed and replaced when a lease may have changed
}

// New registers the handlers of messages with the fleet. Run does the work.
func New(o Options) *Leases {
	l := &Leases{options: o, events: make(chan func(*Voter, time.Duration), eventQueue), wake: make(chan struct{}, 1),
		leases: map[string]*Lease{}, turn: make(chan struct{}), rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	l.start = l.rand.Uint64()
	l.client = NewClient(o.Name, o.Voters, l.rand.Float64)
	o.Net.OnNews(kind, l.hear)
	o.Net.OnAsk(kind, l.asked)
	o.Net.OnChange(func(c fleet.Change) {
		if c.Name == o.Name {
			l.rouse() // it may be another incarnation
		}
	})
	return l
}

// random returns a random number.
func (l *Leases) random() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rand.Uint64()
}

// Overtaken sets the log in the folder aside, because other nodes know a later start of this node than its folder does. If
// it returns nil, the log is set aside.
func (l *Leases) Overtaken() error {
	l.ctx.Lock()
	defer l.ctx.Unlock()
	if !l.votes {
		return (&disk{folder: l.options.Folder}).setAside()
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	out, err := await(ctx, l, func(v *Voter, now time.Duration, reply func(error)) { reply(v.Old(now)) })
	return errors.Join(err, out)
}

// Run runs the voter and the asker until the context ends. It must not run longer than this node is joined to its fleet,
// because another process may have the folder afterwards.
func (l *Leases) Run(ctx context.Context) {
	l.mu.Lock()
	l.joined, l.failed = true, ""
	l.mu.Unlock()
	var running sync.WaitGroup
	running.Go(func() { l.runVoter(ctx) })
	running.Go(func() { l.runClient(ctx) })
	<-ctx.Done()
	running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joined = false
	l.client.Restart(0)
	l.settle(l.options.Clock())
}

// rouse wakes the asker's loop.
func (l *Leases) rouse() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// post queues an event for the voter's loop, and returns false if there is no room.
func (l *Leases) post(f func(v *Voter, now time.Duration)) bool {
	select {
	case l.events <- f:
		return true
	default:
		return false
	}
}

// fail records why there is no voter.
func (l *Leases) fail(why string) {
	l.options.Log.Error("leases: this node does not vote", "why", why)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = why
}

// runVoter runs the voter, and starts it again after a pause when it fails. A panic of raft is such a failure: it means that
// its state is inconsistent, for example because the folder is old.
func (l *Leases) runVoter(ctx context.Context) {
	for ctx.Err() == nil {
		l.stepVoter(ctx)
		t := time.NewTimer(voterPause)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// stepVoter runs the voter until it fails or the context ends.
func (l *Leases) stepVoter(ctx context.Context) {
	l.ctx.Lock()
	v, err := NewVoter(VoterOptions{Name: l.options.Name, Start: l.start, Folder: l.options.Folder,
		Incarnation: func() uint64 { return l.options.Net.Self().Incarnation }, Voters: l.options.Voters, Longest: l.options.Longest, Most: l.options.Most,
		Random: l.random, Above: l.options.Above, Log: l.options.Log}, l.options.Clock())
	l.votes = err == nil
	l.ctx.Unlock()
	if err != nil {
		l.fail(err.Error())
		return
	}
	l.mu.Lock()
	l.failed = ""
	l.mu.Unlock()
	defer func() {
		l.ctx.Lock()
		defer l.ctx.Unlock()
		l.votes = false
		v.Close()
		for len(l.events) > 0 { // callers that wait for them have a time limit
			<-l.events
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			l.fail(fmt.Sprint(p))
			l.options.Log.Error("leases: a panic of the log", "stack", string(debug.Stack()))
		}
	}()
	tick := time.NewTicker(tickEvery / 2)
	defer tick.Stop()
	for {
		var f func(*Voter, time.Duration)
		select {
		case <-ctx.Done():
			return
		case f = <-l.events:
		case <-tick.C:
		}
		for n := 0; f != nil; n++ {
			f(v, l.options.Clock())
			f = nil
			if n < flushEvery {
				select {
				case f = <-l.events:
				default:
				}
			}
		}
		v.Tick(l.options.Clock())
		for _, out := range v.Flush(l.options.Clock()) { // the time is read after the events
			l.tell(v, out)
		}
	}
}

// tell sends a message, or handles it if it is for this node.
func (l *Leases) tell(v *Voter, out Outbound) {
	if name, free := strings.CutPrefix(out.Key, freeKey); free && out.To == l.options.Name {
		l.hearFree(name)
		return
	}
	if err := l.options.Net.Tell(out.To, kind, out.Key, out.Body); err != nil {
		v.Unreachable(out.To)
	}
}

// hear handles a message of another node.
func (l *Leases) hear(from fleet.Peer, key string, _ time.Duration, body []byte) {
	if name, free := strings.CutPrefix(key, freeKey); free {
		l.hearFree(name)
		return
	}
	l.post(func(v *Voter, now time.Duration) { v.Receive(now, from, body) }) // if there is no room, raft or the sender repeats it
}

// hearFree handles the message that a lease may be free.
func (l *Leases) hearFree(name string) {
	l.mu.Lock()
	l.client.Freed(name, l.options.Clock())
	l.mu.Unlock()
	l.rouse()
}

// asked answers another node's ask.
func (l *Leases) asked(ctx context.Context, from fleet.Peer, body []byte) ([]byte, error) {
	var a request
	if err := decoding.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	if a.Node != from.Name { // the incarnation may differ: that of the link is older
		return nil, fmt.Errorf("%s asks as %s", from.Name, a.Node)
	}
	ans, err := l.put(ctx, a)
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(ans)
}

// put lets this node's voter answer an ask.
func (l *Leases) put(ctx context.Context, a request) (answer, error) {
	return await(ctx, l, func(v *Voter, now time.Duration, reply func(answer)) { v.Ask(now, a, reply) })
}

// await runs a function in the voter's loop and waits for its reply.
func await[T any](ctx context.Context, l *Leases, f func(v *Voter, now time.Duration, reply func(T))) (out T, err error) {
	got := make(chan T, 1)
	if !l.post(func(v *Voter, now time.Duration) { f(v, now, func(t T) { got <- t }) }) {
		return out, errors.New("too many asks at once")
	}
	select {
	case out = <-got:
		return out, nil
	case <-ctx.Done():
		return out, fmt.Errorf("no answer of the voter: %w", ctx.Err())
	}
}

// runClient sends the asks of the asker, one at a time.
func (l *Leases) runClient(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Clock()
		l.client.Restart(l.options.Net.Self().Incarnation)
		r := l.client.Step(now)
		l.settle(now)
		at, timed := l.client.Wake()
		l.mu.Unlock()
		if r != nil {
			asking.Go(func() {
				ans, err := l.ask(ctx, r)
				l.mu.Lock()
				if now := l.options.Clock(); err != nil {
					l.client.NoAnswer(r.Number, now)
				} else {
					l.client.Answer(r.Number, ans, now)
					if l.took = append(l.took, now-r.at); len(l.took) > tookWindow {
						l.took = l.took[1:]
					}
				}
				l.mu.Unlock()
				l.rouse()
			})
			continue
		}
		if !timed {
			at = now + time.Hour
		}
		t := time.NewTimer(max(at-now, time.Millisecond))
		select {
		case <-l.wake:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// ask sends an ask to a voter and returns the answer.
func (l *Leases) ask(ctx context.Context, r *sentRequest) (ans answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.patience())
	defer cancel()
	if r.To == l.options.Name {
		return l.put(ctx, r.Ask)
	}
	body, err := encoding.Marshal(r.Ask)
	if err != nil {
		return ans, err
	}
	text, err := l.options.Net.Ask(ctx, r.To, kind, body)
	if err != nil {
		return ans, err
	}
	return ans, decoding.Unmarshal(text, &ans)
}

// Names returns the names of the leases that this node wants.
func (l *Leases) Names() (all []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client.names()
}

// Take wants a lease on behalf of the staff and waits for it. It is renewed until Give or the end of the process. If the
// context ends first, the lease is not wanted any more.
func (l *Leases) Take(ctx context.Context, name string, length time.Duration) (token uint64, err error) {
	t, err := l.Want(name, length)
	if err != nil {
		return 0, err
	}
	if token, err = t.Wait(ctx); err != nil {
		l.mu.Lock()
		if tenure := l.client.tenures[name]; tenure != nil && tenure.holder != "" {
			err = fmt.Errorf("%w: %s has it", err, tenure.holder)
		} else if tenure != nil && tenure.no != "" {
			err = fmt.Errorf("%w: %s", err, tenure.no)
		}
		l.mu.Unlock()
		t.Release(context.Background()) // it has no acts
	}
	return token, err
}

// Give gives back a lease that the staff have taken under a token.
func (l *Leases) Give(ctx context.Context, name string, token uint64) error {
	l.mu.Lock()
	t := l.leases[name]
	l.mu.Unlock()
	if t == nil {
		return fmt.Errorf("%w: %q is not wanted at this node", ErrNotHeld, name)
	}
	if have, _ := t.Held(); have != token {
		return fmt.Errorf("%w: %q under token %d; it is %d", ErrNotHeld, name, token, have)
	}
	t.Release(ctx)
	return nil
}

// SetVoters sets which nodes should be voters. When it returns nil the order is committed; the voters are changed one by
// one afterwards.
func (l *Leases) SetVoters(ctx context.Context, names []string) error {
	if err := fleet.CheckVoters(names); err != nil {
		return err
	}
	for _, name := range names {
		if !slices.ContainsFunc(l.options.Net.Members(), func(m fleet.Member) bool { return m.Name == name && m.State == fleet.Alive }) {
			return fmt.Errorf("%w: %s, alive", fleet.ErrUnknown, name)
		}
	}
	ans, err := await(ctx, l, func(v *Voter, now time.Duration, reply func(answer)) { v.Want(now, names, reply) })
	switch {
	case err != nil:
		return err
	case ans.No == errNotLeader.Error() && ans.Leader != "":
		return fmt.Errorf("the order is to be given at %s, which leads", ans.Leader)
	case ans.No != "":
		return errors.New(ans.No)
	}
	return nil
}

// GivesUp is the text with which the staff must confirm the order to recover.
const GivesUp = "what the lost voters alone have agreed on is void"

// Recover begins a new epoch of the log with this node as the only voter (Voter.Recover). Log is the present log, as Status
// shows it, and givesUp must be GivesUp. It fails if the log has a leader.
func (l *Leases) Recover(ctx context.Context, log, givesUp string) error {
	if givesUp != GivesUp {
		return fmt.Errorf("the order has to say what it gives up, word for word: %q", GivesUp)
	}
	failed, err := await(ctx, l, func(v *Voter, now time.Duration, reply func(error)) {
		switch {
		case v.self.Log.String() != log:
			reply(fmt.Errorf("the log of this node is %v, not %s", v.self.Log, log))
		case v.Leader() != "":
			reply(fmt.Errorf("%s leads: there is a majority", v.Leader()))
		default:
			reply(v.Recover(now))
		}
	})
	return errors.Join(err, failed)
}
