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

// At an upgrade a second process takes over from the first. The journal is what is owned: the process that may write it
// has the messages, windows, slots, waits and orders. docs/parts.md describes the steps and what happens when either
// process crashes.

const (
	handoverName = "handover" // the socket in the state folder
	// handoverTimeout is how long the old process pauses for a new one that has requested a handover and does not continue
	// it. Its clients wait for 400 ms at the most.
	handoverTimeout = 2 * time.Second
	// linkTimeout is the timeout for one response of the new process to the old one.
	linkTimeout = 3 * time.Second
	// ownerPollInterval is the interval between attempts to lock the journal or to request a handover.
	ownerPollInterval = 10 * time.Millisecond
)

// HandoverStep is called at each step of a handover. Tests end a process there.
var HandoverStep = func(step string) {}

// errNoOwner is returned if the process that took over has ended since.
var errNoOwner = errors.New("the process that took over can't be reached")

type ownerState int

const (
	owning       ownerState = iota // also where there is no second process
	waiting                        // for the previous process
	transferring                   // paused until it is decided which process continues
	transferred
)

// ownership records whether this process owns the node's journal. A nil ownership means that it does.
type ownership struct {
	mu      sync.Mutex
	state   ownerState
	link    *link // to the owner, in the state transferred
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

// owner waits until it is decided which process owns the journal. It returns nil for this process, else the link to the
// owner.
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
		case transferred:
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

// snapshot is the state of the old process that is not in the journal.
type snapshot struct {
	At        time.Time     // by the wall clock, which both processes read
	Elapsed   time.Duration // on the module's clock at that time
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

// passedOn is what the old process still receives and forwards to the new one.
type passedOn struct {
	Message *handedIn
	Ended   *endedCall
	Order   *staffOrder
}

// handedIn is a message that a client sent to the old process.
type handedIn struct {
	ID, Key     string
	Class, Dest int
	Deadline    time.Time
	Body        []byte
}

// endedCall is the outcome of a call of the old process.
type endedCall struct {
	Message policy.MessageID
	Outcome policy.Outcome
	Wait    time.Duration
	Over    bool
	Told    policy.Allowance
}

// staffOrder is an operator's order at the console of the old process.
type staffOrder struct {
	Endpoint string
	Out      bool
}

// answer is the response of the new process to passedOn.
type answer struct {
	Status int
	Text   string
}

// link forwards what still reaches the old process to the new one, one item at a time.
type link struct {
	conn   net.Conn
	enc    *gob.Encoder
	dec    *gob.Decoder
	broken func() // called before the connection is closed after an error

	mu  sync.Mutex
	err error
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, enc: gob.NewEncoder(conn), dec: gob.NewDecoder(conn)}
}

// send forwards an item. Sent reports whether the other side may have received it.
func (l *link) send(p passedOn) (a answer, sent bool, err error) {
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

// inheritedListener returns a listener on the listening socket that the platform passes.
func inheritedListener(fd int) (net.Listener, error) {
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil {
		return nil, fmt.Errorf("PROXY_ACCEPT_FD: descriptor %d is not a socket: %w", fd, err)
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

// inheritedState is the state that a process starts with.
type inheritedState struct {
	journal          *journal.Journal
	pending          []*journal.Message
	lock             *os.File     // held while this process owns the journal and may hand it over
	soleLock         *os.File     // the same lock where there is no handover, held until the process ends
	predecessor      *link        // to the previous process, if it runs
	predecessorState *snapshot    // from the previous process
	groupState       *memberState // from another member of the group
}

// acquire waits until this process owns the journal: at once where no other process does, else by a handover from that
// process, or when it has ended.
func acquire(ctx context.Context, c Config, log *slog.Logger) (*inheritedState, error) {
	for {
		lock, err := vfs.Lock(c.State)
		if err != nil {
			return nil, err
		}
		if lock != nil {
			j, pending, err := journal.Open(c.journal(log))
			if err != nil {
				return nil, errors.Join(err, lock.Close())
			}
			return &inheritedState{journal: j, pending: pending, lock: lock}, nil
		}
		e, err := requestHandover(c, log)
		if err == nil {
			return e, nil
		}
		log.Debug("handover: not possible yet", "err", err)
		select {
		case <-time.After(ownerPollInterval):
		case <-ctx.Done():
			return nil, fmt.Errorf("stopped while another process owned the journal: %w", ctx.Err())
		}
	}
}

// requestHandover requests the journal from the process that owns it. Nothing is written before that process has released it.
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
		return fail("requesting the handover", err)
	}
	predecessorState := &snapshot{}
	if err := l.enc.Encode(c.Name); err != nil {
		return fail("requesting the handover", err)
	}
	if err := l.dec.Decode(predecessorState); err != nil {
		return fail("reading the snapshot of the old process", err)
	}
	HandoverStep("new: told")
	j, err := journal.Replay(c.journal(log))
	if err != nil {
		return fail("replaying the journal", err)
	}
	HandoverStep("new: replayed")
	if err := l.enc.Encode(true); err != nil { // from here on this process may own the journal
		return fail("taking over", err)
	}
	var free bool
	if err := l.dec.Decode(&free); err != nil {
		return fail("taking over", err)
	}
	lock, err := vfs.Lock(c.State)
	if err == nil && lock == nil {
		err = errors.New("a third process locked the journal first")
	}
	if err != nil {
		return fail("taking over", err)
	}
	pending, err := j.Begin(predecessorState.Out)
	if err != nil {
		return fail("taking over", errors.Join(err, lock.Close()))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		log.Warn("handover: clearing the deadline failed", "err", err)
	}
	return &inheritedState{journal: j, pending: pending, lock: lock, predecessor: l, predecessorState: predecessorState}, nil
}

// handover transfers the journal to a successor process when that requests it.
type handover struct {
	listener *net.UnixListener
	owner    *ownership
	loop     *loop
	lock     *os.File // held while this process owns the journal
	dir      string
	log      *slog.Logger
	retire   func() // stops what only an owner does
	abandon  func() // ends the calls in flight
}

// dialHandover connects to the process that owns the journal in a state folder.
func dialHandover(dir string) (conn net.Conn, err error) {
	err = group.WithSocketPath(filepath.Join(dir, handoverName), func(short string) error {
		conn, err = net.DialTimeout("unix", short, handoverTimeout) //nolint:noctx // a local socket, within handoverTimeout
		return err
	})
	return conn, err
}

func listenForHandover(dir string) (*net.UnixListener, error) {
	path := filepath.Join(dir, handoverName)
	// An existing socket belongs to a process that has ended or has handed over its journal.
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("listening for a successor process: %w", err)
	}
	var l *net.UnixListener
	err := group.WithSocketPath(path, func(short string) (err error) {
		l, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listening for a successor process: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the socket may belong to the successor
	return l, nil
}

// run accepts handover requests until the context ends or the journal has been transferred.
func (h *handover) run(ctx context.Context) {
	defer h.listener.Close()
	defer context.AfterFunc(ctx, func() { _ = h.listener.Close() })()
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				h.log.Error("handover: accepting requests failed", "err", err)
			}
			return
		}
		err = h.transferTo(ctx, newLink(conn))
		if err == nil {
			return
		}
		h.log.Warn("handover: aborted", "err", err)
		_ = conn.Close() // the other process has ended or does not respond
	}
}

// transfer synchronizes the loop with a handover: the loop is paused from the snapshot until the result arrives.
type transfer struct {
	snapshot  chan snapshot
	succeeded chan bool // whether another process now owns the journal
}

func (h *handover) transferTo(ctx context.Context, l *link) error {
	if err := l.conn.SetDeadline(time.Now().Add(handoverTimeout)); err != nil {
		return err
	}
	var name string
	if err := l.dec.Decode(&name); err != nil {
		return fmt.Errorf("reading the handover request: %w", err)
	}
	HandoverStep("old: asked")
	g := &transfer{snapshot: make(chan snapshot, 1), succeeded: make(chan bool, 1)}
	select {
	case h.loop.transfers <- g:
	case <-h.loop.drainStarted:
		return errors.New("already stopping")
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
		err = h.releaseLock(l)
	}
	if err != nil { // the other process has written nothing
		h.loop.journal.Reclaim()
		h.owner.set(owning, nil)
		g.succeeded <- false
		return err
	}
	h.log.Info("handover: journal transferred", "owed", len(h.loop.held))
	l.broken = h.abandon
	h.loop.intake.close(false)
	h.owner.set(transferred, l)
	g.succeeded <- true
	h.retire()
	if err := h.loop.journal.Close(); err != nil {
		h.log.Warn("handover: closing the journal failed", "err", err)
	}
	return nil
}

// releaseLock releases the lock and notifies the successor. If the notification fails, the successor has not started to write:
// this process takes the lock again, or another one holds it and continues.
func (h *handover) releaseLock(l *link) error {
	HandoverStep("old: acknowledged")
	if err := h.lock.Close(); err != nil {
		return fmt.Errorf("releasing the lock: %w", err)
	}
	HandoverStep("old: unlocked")
	err := l.enc.Encode(true)
	if err == nil {
		HandoverStep("old: let go")
		return nil
	}
	lock, again := vfs.Lock(h.dir)
	if again != nil || lock == nil {
		h.log.Error("handover: the successor ended after the journal was released", "err", errors.Join(err, again))
		return nil
	}
	h.lock = lock
	return err
}

// transferJournal pauses the loop until the successor owns the journal, or this process does again. It reports whether the
// journal was transferred.
func (l *loop) transferJournal(g *transfer) bool {
	l.owner.set(transferring, nil)
	s := snapshot{Out: l.journal.Release(), Memory: l.sender.Memory(), Revision: l.revision, Pools: l.caller.pools.Memory()}
	for _, e := range l.endpoints {
		s.Members = append(s.Members, e.listed)
		s.Gates = append(s.Gates, gateState{ID: e.name, ClosedFrom: e.leaving.closedFrom.Load(), ClosedUntil: e.waits.closedUntil.Load()})
	}
	if l.connected != nil {
		s.Connected = l.connected()
	}
	s.At, s.Elapsed = time.Now(), l.now()
	g.snapshot <- s
	return <-g.succeeded
}

// applySnapshot applies the snapshot of the old process, before the first message.
func (l *loop) applySnapshot(s *snapshot) {
	l.origin = time.Now().Add(clockStart - s.Elapsed - time.Since(s.At))
	clear(l.journal.Memories) // the snapshot is newer
	l.caller.pools.Inherit(s.Pools)
	l.applyKnownList(s.Revision, s.Members)
	for _, g := range s.Gates {
		if e := l.endpoints[policy.EndpointID(hash(g.ID))]; e != nil {
			e.leaving.closedFrom.Store(g.ClosedFrom)
			if g.ClosedUntil > 0 {
				e.waits.wait(time.Unix(0, g.ClosedUntil))
			}
		}
	}
	l.batch = append(l.batch, policy.RestoredMemory{Memory: s.Memory})
}

// applyKnownList applies a complete list of another process.
func (l *loop) applyKnownList(revision int64, members []member) {
	known := list{Revision: revision, Complete: true}
	leaving := list{Revision: revision}
	for _, m := range members {
		if m.Phase != "active" {
			leaving.Members = append(leaving.Members, m)
			m.Phase = "active" // an endpoint that is first listed as leaving would be ignored
		}
		known.Members = append(known.Members, m)
	}
	l.handle(known)
	l.handle(leaving)
}

// predecessorLink is the new process's end of the link to the old one.
type predecessorLink struct {
	link     *link
	intake   *intake
	caller   *caller
	loop     *loop
	log      *slog.Logger
	inFlight map[policy.MessageID]*call // of the old process
	onEnd    func()                     // called when the old process has ended
}

// expect registers a call of the old process that is in flight.
func (h *predecessorLink) expect(m *journal.Message, e *endpoint) {
	e.inFlight++
	h.inFlight[m.Number()] = &call{endpoint: e, started: m.Past.OutAt, messages: []*callMessage{{message: m, attempted: true}}}
}

// run handles what the old process forwards, until that process has ended. Calls that it had in flight then may have run.
func (h *predecessorLink) run(ctx context.Context) {
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
	h.log.Info("the previous process has ended", "calls out", len(h.inFlight))
	for _, k := range h.inFlight {
		h.caller.endAll(k, policy.Cancelled, 0, false)
	}
	clear(h.inFlight)
	h.onEnd()
}

func (h *predecessorLink) answer(p passedOn) answer {
	switch {
	case p.Message != nil:
		status, text := h.intake.submit(&journal.Message{ID: p.Message.ID, Key: p.Message.Key, Class: p.Message.Class,
			Dest: p.Message.Dest, Deadline: p.Message.Deadline, Body: p.Message.Body})
		return answer{Status: status, Text: text}
	case p.Ended != nil:
		if k := h.inFlight[p.Ended.Message]; k != nil {
			delete(h.inFlight, p.Ended.Message)
			if p.Ended.Wait > 0 {
				k.endpoint.waits.wait(time.Now().Add(p.Ended.Wait))
			}
			k.loadReport = p.Ended.Told
			h.caller.endAll(k, p.Ended.Outcome, p.Ended.Wait, p.Ended.Over)
		}
	case p.Order != nil:
		ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer)
		defer cancel()
		status, text := h.loop.executeOrder(ctx, p.Order.Endpoint, p.Order.Out)
		return answer{Status: status, Text: text}
	}
	return answer{}
}
