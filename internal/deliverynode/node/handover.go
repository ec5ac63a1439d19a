package node

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// At an upgrade a second process takes over from the first. What is owned is the
// journal: whoever may write it has the messages, the windows, slots, waits and
// orders. docs/parts.md has the steps and what happens when either process dies.

const (
	handoverName = "handover" // the socket in the state folder
	// handoverTimeout is how long the old process stands still for a new one that has
	// asked and says nothing more. Its clients wait for 400 ms at the most.
	handoverTimeout = 2 * time.Second
	// linkTimeout is for one answer of the new process to the old one.
	linkTimeout = 3 * time.Second
	// ownerPause is between two looks whether the old process can be asked or has died.
	ownerPause = 10 * time.Millisecond
)

// HandoverStep is told of each step of a handover as it is reached. Tests end a
// process there.
var HandoverStep = func(step string) {}

// errNoOwner says that the process that took over has died since.
var errNoOwner = errors.New("the process that took over can't be reached")

type ownerState int

const (
	owning  ownerState = iota // also where there never is a second process
	waiting                   // for the process before this one
	giving                    // stands still until it is known who goes on
	given
)

// ownership says whether this process has what the node owes. A nil one has it.
type ownership struct {
	mu      sync.Mutex
	state   ownerState
	link    *link // to the process that has it, when it is given
	changed chan struct{}
}

func newOwnership(state ownerState) *ownership {
	return &ownership{state: state, changed: make(chan struct{})}
}

func (o *ownership) set(state ownerState, to *link) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state, o.link = state, to
	close(o.changed)
	o.changed = make(chan struct{})
}

// owner waits until it is settled who has what is owed: nil for this process, else
// the link to the one that has.
func (o *ownership) owner(ctx context.Context) (*link, error) {
	if o == nil {
		return nil, nil
	}
	for {
		o.mu.Lock()
		state, to, changed := o.state, o.link, o.changed
		o.mu.Unlock()
		switch state {
		case owning:
			return nil, nil
		case given:
			return to, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// The types from here to answer go from one process of a node to its successor as gob, which carries the names of the types
// and of their fields: those of journal.AttemptOut, policy.Memory and upstream.Learnt too. They must stay as they are, because
// the two processes may be of different versions (testdata/golden/handover-*.gob).

// snapshot is what the journal does not hold of what the old process knows.
type snapshot struct {
	At        time.Time     // by the wall clock, for both read the same
	Elapsed   time.Duration // on the module's clock then
	Revision  int64
	Members   []member
	Gates     []gateState
	Out       []journal.AttemptOut
	Memory    policy.Memory
	Connected int // clients' connections that the old process still has
	Pools     []upstream.Learnt
}

type gateState struct {
	ID                      string
	ClosedFrom, ClosedUntil int64
}

// passedOn is what the old process still gets and the new one has to know.
type passedOn struct {
	Message *handedIn
	Ended   *endedCall
	Order   *staffOrder
}

// handedIn is a message that a client handed in at the old process.
type handedIn struct {
	ID, Key     string
	Class, Dest int
	Deadline    time.Time
	Body        []byte
}

// endedCall is how a call of the old process ended.
type endedCall struct {
	Message policy.MessageID
	Outcome policy.Outcome
	Wait    time.Duration
	Over    bool
	Told    policy.Allowance
}

// staffOrder is a call to the console of the old process.
type staffOrder struct {
	Endpoint string
	Out      bool
}

// answer is what the new process says to it.
type answer struct {
	Status int
	Text   string
}

// link carries what still reaches the old process to the new one, one at a time.
type link struct {
	conn   net.Conn
	enc    *gob.Encoder
	dec    *gob.Decoder
	broken func() // called before the connection is closed for an error

	mu  sync.Mutex
	err error
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, enc: gob.NewEncoder(conn), dec: gob.NewDecoder(conn)}
}

// pass hands something on. Sent tells whether the other side may have heard of it.
func (l *link) pass(p passedOn) (a answer, sent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return answer{}, false, l.err
	}
	if err = l.conn.SetDeadline(time.Now().Add(linkTimeout)); err == nil {
		if err = l.enc.Encode(p); err == nil {
			err = l.dec.Decode(&a)
		}
	}
	if err != nil {
		l.err = fmt.Errorf("%w: %w", errNoOwner, err)
		l.broken()
		return answer{}, true, errors.Join(l.err, l.conn.Close())
	}
	return a, true, nil
}

// inheritedListener makes the platform's listening socket one of this process.
func inheritedListener(fd int) (net.Listener, error) {
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d is no socket: %w", fd, err)
	} else if on == 0 {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: the socket of descriptor %d does not listen", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d: %w", fd, err), file.Close())
	}
	if err := file.Close(); err != nil { // the listener has a descriptor of its own
		return nil, errors.Join(fmt.Errorf("PROXY_ACCEPT_FD: %w", err), l.Close())
	}
	return l, nil
}

// inheritedState is what a process starts with.
type inheritedState struct {
	journal *journal.Journal
	owed    []*journal.Message
	lock    *os.File     // held while this process owns the journal and may give it away
	hold    *os.File     // the same, held to its end where nothing is given away
	before  *link        // to the process before this one, if it lives
	told    *snapshot    // by that process
	joined  *memberState // by another member of the group
}

// acquire waits until what the node owes belongs to this process: at once where no
// other one has it, else by asking that one for it, or when it has died.
func acquire(ctx context.Context, c Config, log *slog.Logger) (*inheritedState, error) {
	for {
		lock, err := vfs.Lock(c.State)
		if err != nil {
			return nil, err
		}
		if lock != nil {
			j, owed, err := journal.Open(c.journal(log))
			if err != nil {
				return nil, errors.Join(err, lock.Close())
			}
			return &inheritedState{journal: j, owed: owed, lock: lock}, nil
		}
		e, err := requestHandover(c, log)
		if err == nil {
			return e, nil
		}
		log.Debug("handover: not yet", "err", err)
		select {
		case <-time.After(ownerPause):
		case <-ctx.Done():
			return nil, fmt.Errorf("told to stop while another process has the journal: %w", ctx.Err())
		}
	}
}

// requestHandover asks the process that has the journal for it. Nothing is written before that
// process has let go.
func requestHandover(c Config, log *slog.Logger) (*inheritedState, error) {
	conn, err := dialHandover(c.State)
	if err != nil {
		return nil, err
	}
	fail := func(what string, err error) (*inheritedState, error) {
		return nil, errors.Join(fmt.Errorf("%s: %w", what, err), conn.Close())
	}
	l := newLink(conn)
	if err := conn.SetDeadline(time.Now().Add(2 * handoverTimeout)); err != nil {
		return fail("asking", err)
	}
	told := &snapshot{}
	if err := l.enc.Encode(c.Name); err != nil {
		return fail("asking", err)
	}
	if err := l.dec.Decode(told); err != nil {
		return fail("what the old process tells", err)
	}
	HandoverStep("new: told")
	j, err := journal.Replay(c.journal(log))
	if err != nil {
		return fail("replaying", err)
	}
	HandoverStep("new: replayed")
	if err := l.enc.Encode(true); err != nil { // from here on it may be this process's
		return fail("taking over", err)
	}
	var free bool
	if err := l.dec.Decode(&free); err != nil {
		return fail("taking over", err)
	}
	lock, err := vfs.Lock(c.State)
	if err == nil && lock == nil {
		err = errors.New("a third process came first")
	}
	if err != nil {
		return fail("taking over", err)
	}
	owed, err := j.Begin(told.Out)
	if err != nil {
		return fail("taking over", errors.Join(err, lock.Close()))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		log.Warn("handover: link", "err", err)
	}
	return &inheritedState{journal: j, owed: owed, lock: lock, before: l, told: told}, nil
}

// handover gives what this process owns to the next one, when it asks.
type handover struct {
	listener *net.UnixListener
	owner    *ownership
	loop     *loop
	lock     *os.File // held while this process owns the journal
	dir      string
	log      *slog.Logger
	retire   func() // ends what only an owner does
	abandon  func() // ends the calls that are out
}

// dialHandover connects to the process that has the journal in a state folder.
func dialHandover(dir string) (conn net.Conn, err error) {
	err = group.AtSocket(filepath.Join(dir, handoverName), func(short string) error {
		conn, err = net.DialTimeout("unix", short, handoverTimeout) //nolint:noctx // a local socket, within handoverTimeout
		return err
	})
	return conn, err
}

func listenForHandover(dir string) (*net.UnixListener, error) {
	path := filepath.Join(dir, handoverName)
	// What lies there is of a process that has died or has given everything away.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("listening for the next process: %w", err)
	}
	var l *net.UnixListener
	err := group.AtSocket(path, func(short string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listening for the next process: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then it may be the next process's
	return l, nil
}

// run waits for a process to ask until the context ends or all is given away.
func (h *handover) run(ctx context.Context) {
	defer h.listener.Close()
	defer context.AfterFunc(ctx, func() { _ = h.listener.Close() })()
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				h.log.Error("handover: no process can ask any more", "err", err)
			}
			return
		}
		err = h.transferTo(ctx, newLink(conn))
		if err == nil {
			return
		}
		h.log.Warn("handover: nothing was given away", "err", err)
		_ = conn.Close() // of a process that has died or does not answer
	}
}

// transfer is the loop's part: it stands still from the snapshot until told how it ended.
type transfer struct {
	snapshot chan snapshot
	gone     chan bool
}

func (h *handover) transferTo(ctx context.Context, l *link) error {
	if err := l.conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return err
	}
	var name string
	if err := l.dec.Decode(&name); err != nil {
		return fmt.Errorf("nothing was asked: %w", err)
	}
	HandoverStep("old: asked")
	g := &transfer{snapshot: make(chan snapshot, 1), gone: make(chan bool, 1)}
	select {
	case h.loop.giveaways <- g:
	case <-h.loop.quieted:
		return errors.New("stopping already")
	case <-ctx.Done():
		return ctx.Err()
	}
	err := l.enc.Encode(<-g.snapshot)
	if err == nil {
		HandoverStep("old: told")
		var taken bool
		err = l.dec.Decode(&taken)
	}
	if err == nil {
		err = h.letGo(l)
	}
	if err != nil { // it has written nothing
		h.loop.journal.Reclaim()
		h.owner.set(owning, nil)
		g.gone <- false
		return err
	}
	h.log.Info("given away", "owed", len(h.loop.held))
	l.broken = h.abandon
	h.loop.intake.close(false)
	h.owner.set(given, l)
	g.gone <- true
	h.retire()
	if err := h.loop.journal.Close(); err != nil {
		h.log.Warn("handover: closing the journal", "err", err)
	}
	return nil
}

// letGo opens the lock and says so. A process that can't be told has not begun to
// write: the lock is taken again, or somebody else has it and goes on.
func (h *handover) letGo(l *link) error {
	HandoverStep("old: acknowledged")
	if err := h.lock.Close(); err != nil {
		return fmt.Errorf("letting go of the lock: %w", err)
	}
	HandoverStep("old: unlocked")
	err := l.enc.Encode(true)
	if err == nil {
		HandoverStep("old: let go")
		return nil
	}
	lock, again := vfs.Lock(h.dir)
	if again != nil || lock == nil {
		h.log.Error("handover: the next process died when it had everything", "err", errors.Join(err, again))
		return nil
	}
	h.lock = lock
	return err
}

// giveAway stands still until another process owns what is owed, or this one does
// again. It tells whether all is given away.
func (l *loop) giveAway(g *transfer) bool {
	l.owner.set(giving, nil)
	s := snapshot{Out: l.journal.Release(), Memory: l.sender.Memory(), Revision: l.revision, Pools: l.caller.pools.Memory()}
	for _, e := range l.endpoints {
		s.Members = append(s.Members, e.last)
		s.Gates = append(s.Gates, gateState{ID: e.name, ClosedFrom: e.leaves.closedFrom.Load(), ClosedUntil: e.waits.closedUntil.Load()})
	}
	if l.connected != nil {
		s.Connected = l.connected()
	}
	s.At, s.Elapsed = time.Now(), l.now()
	g.snapshot <- s
	return <-g.gone
}

// inherit takes over what the old process told, before the first message.
func (l *loop) inherit(s *snapshot) {
	l.origin = time.Now().Add(clockStart - s.Elapsed - time.Since(s.At))
	clear(l.journal.Memories) // the old process knows more
	l.caller.pools.Inherit(s.Pools)
	l.takeKnown(s.Revision, s.Members)
	for _, g := range s.Gates {
		if e := l.endpoints[policy.EndpointID(hash(g.ID))]; e != nil {
			e.leaves.closedFrom.Store(g.ClosedFrom)
			if g.ClosedUntil > 0 {
				e.waits.wait(time.Unix(0, g.ClosedUntil))
			}
		}
	}
	l.batch = append(l.batch, policy.Inherited{Memory: s.Memory})
}

// takeKnown takes in a whole list that another process had.
func (l *loop) takeKnown(revision int64, members []member) {
	known := list{Revision: revision, Complete: true}
	leaving := list{Revision: revision}
	for _, m := range members {
		if m.Phase != "active" {
			leaving.Members = append(leaving.Members, m)
			m.Phase = "active" // or it would be taken for one of which nothing was known
		}
		known.Members = append(known.Members, m)
	}
	l.handle(known)
	l.handle(leaving)
}

// successor is the new process's side of the link to the old one.
type successor struct {
	link   *link
	intake *intake
	caller *caller
	loop   *loop
	log    *slog.Logger
	out    map[policy.MessageID]*call // of the old process
	gone   func()                     // told when the old process has ended
}

// expect keeps the call of a message that the old process waits for.
func (h *successor) expect(m *journal.Message, e *endpoint) {
	e.out++
	h.out[m.Number()] = &call{endpoint: e, started: m.Past.OutAt, parts: []*part{{message: m, attempted: true}}}
}

// run takes in what the old process passes on, until that has ended. Whatever it had
// out then may have run.
func (h *successor) run(ctx context.Context) {
	defer h.link.conn.Close()
	defer context.AfterFunc(ctx, func() { _ = h.link.conn.Close() })()
	for {
		var p passedOn
		if err := h.link.dec.Decode(&p); err != nil {
			break
		}
		if err := h.link.enc.Encode(h.answer(p)); err != nil {
			break
		}
	}
	if ctx.Err() != nil {
		return
	}
	h.log.Info("the process before has ended", "calls out", len(h.out))
	for _, k := range h.out {
		h.caller.endAll(k, policy.Cancelled, 0, false)
	}
	clear(h.out)
	h.gone()
}

func (h *successor) answer(p passedOn) answer {
	switch {
	case p.Message != nil:
		status, text := h.intake.submit(&journal.Message{ID: p.Message.ID, Key: p.Message.Key, Class: p.Message.Class,
			Dest: p.Message.Dest, Deadline: p.Message.Deadline, Body: p.Message.Body})
		return answer{Status: status, Text: text}
	case p.Ended != nil:
		if k := h.out[p.Ended.Message]; k != nil {
			delete(h.out, p.Ended.Message)
			if p.Ended.Wait > 0 {
				k.endpoint.waits.wait(time.Now().Add(p.Ended.Wait))
			}
			k.reported = p.Ended.Told
			h.caller.endAll(k, p.Ended.Outcome, p.Ended.Wait, p.Ended.Over)
		}
	case p.Order != nil:
		ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer)
		defer cancel()
		status, text := h.loop.obey(ctx, p.Order.Endpoint, p.Order.Out)
		return answer{Status: status, Text: text}
	}
	return answer{}
}
