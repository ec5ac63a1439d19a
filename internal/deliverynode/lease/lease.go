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
	// eventQueue is the most events that are queued for the voter's loop; further ones are refused. An event takes some
	// microseconds, or as long as a sync of the disk.
	eventQueue = 2048
	// flushEvery is the most events before a Flush.
	flushEvery = 256
	// latencyWindow is the number of requests whose latencies are kept for Status.
	latencyWindow = 256
	// voterPause is the delay before a failed voter is restarted from its folder.
	voterPause = 5 * time.Second
	// requestTime is the longest wait for an answer: a little longer than the leader waits for a commit.
	requestTime = answerTime + 500*time.Millisecond
)

var (
	// ErrNotHeld is returned when a lease is not held, or expires too soon.
	ErrNotHeld = errors.New("the lease is not held for so long")
	// ErrNotJoined is returned when this node has not joined its fleet.
	ErrNotJoined = errors.New("this node is not joined")
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
	// Above returns a lower bound that all tokens of a new log must exceed.
	Above func() uint64
	Seed  uint64
	Log   *slog.Logger
}

// Leases manages the leases of one node of a fleet: it runs a client and, if the node is one, a voter. It is safe for
// concurrent use.
type Leases struct {
	options Options
	events  chan func(v *Voter, now time.Duration) // for the voter's loop
	ctx     sync.Mutex                             // held while the voter is started or stopped
	votes   bool                                   // there is a voter; guarded by ctx
	wake    chan struct{}                          // wakes the client's loop

	mu      sync.Mutex // guards the following
	client  *Client
	leases  map[string]*Lease
	rand    *rand.Rand
	start   uint64
	took    []time.Duration // latencies of the last answered requests
	joined  bool
	failed  string        // why there is no voter
	changed chan struct{} // closed and replaced when a lease may have changed
}

// New returns Leases and registers its message handlers with the fleet. Run does the work.
func New(o Options) *Leases {
	l := &Leases{options: o, events: make(chan func(*Voter, time.Duration), eventQueue), wake: make(chan struct{}, 1),
		leases: map[string]*Lease{}, changed: make(chan struct{}), rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	l.start = l.rand.Uint64()
	l.client = NewClient(o.Name, o.Voters, l.rand.Float64)
	o.Net.OnUpdate(kind, l.receive)
	o.Net.OnAsk(kind, l.answerRequest)
	o.Net.OnChange(func(c fleet.Change) {
		if c.Name == o.Name {
			l.wakeClient() // the incarnation may have changed
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

// Overtaken sets the log in the folder aside, because other nodes have seen a later start of this node than is recorded in
// its folder. If it returns nil, the log is set aside.
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

// Run runs the voter and the client until the context ends. The context must end before this node leaves its fleet, because
// another process may use the folder afterwards.
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
	l.updateLeases(l.options.Clock())
}

// wakeClient wakes the client's loop.
func (l *Leases) wakeClient() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// post queues an event for the voter's loop, and returns false if the queue is full.
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
	l.options.Log.Error("leases: voter stopped", "why", why)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = why
}

// runVoter runs the voter, and restarts it after a delay when it fails. A panic of raft counts as a failure: it means that
// raft's state is inconsistent, for example because the folder is out of date.
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
		for len(l.events) > 0 { // callers that wait for these events have a time limit
			<-l.events
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			l.fail(fmt.Sprint(p))
			l.options.Log.Error("leases: voter panicked", "stack", string(debug.Stack()))
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
		for _, out := range v.Flush(l.options.Clock()) { // the clock must be read after the events
			l.send(v, out)
		}
	}
}

// send sends a message, or handles it directly if it is addressed to this node.
func (l *Leases) send(v *Voter, out Outbound) {
	if name, free := strings.CutPrefix(out.Key, freeKey); free && out.To == l.options.Name {
		l.receiveFree(name)
		return
	}
	if err := l.options.Net.Tell(out.To, kind, out.Key, out.Body); err != nil {
		v.Unreachable(out.To)
	}
}

// receive handles a message from another node.
func (l *Leases) receive(from fleet.Peer, key string, _ time.Duration, body []byte) {
	if name, free := strings.CutPrefix(key, freeKey); free {
		l.receiveFree(name)
		return
	}
	l.post(func(v *Voter, now time.Duration) { v.Receive(now, from, body) }) // if the queue is full, raft or the sender repeats it
}

// receiveFree handles the message that a lease may have become free.
func (l *Leases) receiveFree(name string) {
	l.mu.Lock()
	l.client.Freed(name, l.options.Clock())
	l.mu.Unlock()
	l.wakeClient()
}

// answerRequest answers a request from another node.
func (l *Leases) answerRequest(ctx context.Context, from fleet.Peer, body []byte) ([]byte, error) {
	var a request
	if err := decoding.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("unreadable: %w", err)
	}
	if a.Node != from.Name { // the incarnations may differ, because the link's may be older
		return nil, fmt.Errorf("%s asks as %s", from.Name, a.Node)
	}
	ans, err := l.askVoter(ctx, a)
	if err != nil {
		return nil, err
	}
	return encoding.Marshal(ans)
}

// askVoter passes a request to this node's voter and waits for the answer.
func (l *Leases) askVoter(ctx context.Context, a request) (answer, error) {
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

// runClient sends the requests of the client, one at a time.
func (l *Leases) runClient(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Clock()
		l.client.Restart(l.options.Net.Self().Incarnation)
		r := l.client.Step(now)
		l.updateLeases(now)
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
					if l.took = append(l.took, now-r.at); len(l.took) > latencyWindow {
						l.took = l.took[1:]
					}
				}
				l.mu.Unlock()
				l.wakeClient()
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

// ask sends a request to a voter and returns the answer.
func (l *Leases) ask(ctx context.Context, r *sentRequest) (ans answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	if r.To == l.options.Name {
		return l.askVoter(ctx, r.Ask)
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

// Take acquires a lease on behalf of an operator and waits for it. The lease is renewed until Give or the end of the process.
// If the context ends first, the lease is no longer requested.
func (l *Leases) Take(ctx context.Context, name string, length time.Duration) (token uint64, err error) {
	t, err := l.Want(name, length)
	if err != nil {
		return 0, err
	}
	if token, err = t.Wait(ctx); err != nil {
		l.mu.Lock()
		if tenure := l.client.tenures[name]; tenure != nil && tenure.holder != "" {
			err = fmt.Errorf("%w: %s has it", err, tenure.holder)
		} else if tenure != nil && tenure.refusal != "" {
			err = fmt.Errorf("%w: %s", err, tenure.refusal)
		}
		l.mu.Unlock()
		t.Release(context.Background()) // no operation can be in progress
	}
	return token, err
}

// Give releases a lease that an operator has acquired under a token.
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

// SetVoters sets which nodes should be voters. When it returns nil the change is committed; the voters are then replaced one
// by one.
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

// GivesUp is the text with which an operator must confirm Recover.
const GivesUp = "what the lost voters alone have agreed on is void"

// Recover begins a new epoch of the log with this node as the only voter (Voter.Recover). The parameter log is the present
// log as Status shows it, and givesUp must be GivesUp. It fails if the log has a leader.
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
