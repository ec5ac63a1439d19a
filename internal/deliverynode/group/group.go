package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"dunetide/internal/deliverynode/outbox"
)

const (
	// maxFrame bounds a request for a file, callTimeout one exchange, maxCalls those
	// at a time.
	maxFrame    = 4 << 10
	callTimeout = HeartbeatEvery / 2
	maxCalls    = 2 * MaxMembers
	socketName  = "s-"
)

// Clock reads the machine's own clock, which all its processes share and nobody sets.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("the machine has no clock: %v", err)) // it takes a clock that Linux always has
	}
	return time.Duration(t.Nano())
}

// Config says how a process joins its group.
type Config struct {
	Dir   string // of the group, in the state folder
	Clock func() time.Duration
	Log   *slog.Logger
	// Share is told of the share to use, whenever it changes. Kept is what this process
	// had and nobody else has had since. It must not wait.
	Share func(parts, kept int)
	// Hear is handed what other members tell (the answer is dropped) and ask. It must not
	// wait for long: whoever asks does.
	Hear func(m Message, asked bool) (answer any, err error)
	// Met is told when others are there that were not: what was told before, they did not
	// hear. It must not wait.
	Met func()
	// File gives what this process has open under a name, for another member; nil for none.
	File func(name string) *os.File
}

// Group is one process's part in its group.
type Group struct {
	cfg      Config
	id       ID
	dir      folder
	lock     *os.File // the lock on its own file, for as long as it lives
	listener *net.UnixListener

	peersMu    sync.Mutex
	peers      map[ID]*outbox.Queue[Message]
	cancelPeer map[ID]context.CancelFunc

	mu            sync.Mutex
	member        *Member
	coordinator   *Coordinator
	term          int
	leaderLock    *os.File // the lock on the term that it leads
	notifiedShare int      // the share that was last told
}

// Join makes this process a member, with no share yet.
func Join(c Config) (*Group, error) {
	if err := os.Mkdir(c.Dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return nil, fmt.Errorf("joining the group: %w", err)
	}
	g := &Group{cfg: c, id: ID(rand.Text()[:16]), dir: folder(c.Dir), peers: map[ID]*outbox.Queue[Message]{}, cancelPeer: map[ID]context.CancelFunc{}}
	g.member = NewMember(g.id)
	if _, _, _, err := g.dir.views(); err != nil {
		return nil, fmt.Errorf("joining the group: %w", err)
	}
	hold, err := g.dir.lock(memberPrefix + string(g.id))
	if err != nil || hold == nil {
		return nil, fmt.Errorf("joining the group: its own lock: %w", errors.Join(err, lockError(hold)))
	}
	g.lock = hold
	err = AtSocket(g.dir.path(socketName+string(g.id)), func(short string) (err error) {
		g.listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("joining the group: %w", err), g.leave())
	}
	g.listener.SetUnlinkOnClose(false) // by its path, which may be a short one
	return g, nil
}

func lockError(f *os.File) error {
	if f == nil {
		return errors.New("another has it")
	}
	return nil
}

// ID is this process's name in the group.
func (g *Group) ID() ID { return g.id }

// leave removes what this process has in the folder, and lets its lock go after that.
func (g *Group) leave() error {
	var errs []error
	for _, name := range []string{socketName + string(g.id), memberPrefix + string(g.id)} {
		if err := os.Remove(g.dir.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	if g.leaderLock != nil {
		errs = append(errs, g.leaderLock.Close())
	}
	return errors.Join(append(errs, g.lock.Close())...)
}

// Abandon leaves a group that was joined and never run.
func (g *Group) Abandon() error { return errors.Join(g.listener.Close(), g.leave()) }

// Run takes part in the group until the context ends, and leaves it then.
func (g *Group) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { g.serve(ctx, &running) })
	tick := time.NewTicker(HeartbeatEvery)
	defer tick.Stop()
	for {
		g.MaySend() // it may have stood still
		if err := g.heartbeat(ctx); err != nil {
			g.cfg.Log.Warn("group: beat", "err", err)
		}
		g.notifyShare()
		if err := g.updatePeers(ctx, &running); err != nil {
			g.cfg.Log.Warn("group: members", "err", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			// Here and not by context.AfterFunc: a return may come before that has begun, and
			// whoever accepts would be waited for without end.
			_ = g.listener.Close()
			return g.leave()
		}
	}
}

// heartbeat renews this process's lease: from itself where it leads, else from who does.
func (g *Group) heartbeat(ctx context.Context) error {
	g.mu.Lock()
	now := g.cfg.Clock()
	leaderless := g.member.Tick(now)
	hello := g.member.Hello()
	err := g.updateLeadership(now, leaderless)
	lead, term := g.coordinator, g.term
	if lead != nil && err == nil {
		var l Lease
		if l, err = g.grantLease(now, hello); err == nil {
			err = g.member.Receive(now, l)
		}
	}
	g.mu.Unlock()
	if err != nil || lead != nil || term == 0 {
		return err
	}
	l, err := g.requestLease(ctx, term, hello)
	if err != nil {
		return fmt.Errorf("asking the coordinator: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Receive(g.cfg.Clock(), l)
}

// follow finds out who leads, and leads where nobody does or who does is out of touch.
func (g *Group) updateLeadership(now time.Duration, leaderless bool) error {
	term, err := g.dir.term()
	if err != nil {
		return err
	}
	if g.coordinator != nil {
		if term == g.term {
			return nil
		}
		g.cfg.Log.Warn("group: another leads meanwhile", "term", term)
		err = g.leaderLock.Close()
		g.coordinator, g.leaderLock = nil, nil
	}
	if g.term = term; err != nil {
		return err
	}
	held := false
	if term > 0 {
		if held, err = g.dir.locked(fmt.Sprintf(leadFormat, term)); err != nil {
			return err
		}
	}
	if held && !leaderless {
		return nil
	}
	f, err := g.dir.acquireTerm(term + 1)
	if err != nil || f == nil { // another was first
		return err
	}
	views, epoch, torn, err := g.dir.views()
	if err == nil {
		_, err = f.WriteAt([]byte(g.id), 0) // where to ask
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	g.term, g.leaderLock = term+1, f
	// By its term in the upper half: one that led before and goes on is never above it.
	g.coordinator = NewCoordinator(now, views, max(epoch, uint64(g.term)<<32), torn)
	g.cfg.Log.Info("group: leads", "member", g.id, "term", g.term, "torn view", torn)
	return nil
}

// share answers a member, with the view on disk before. It reads the clock before it looks
// whether it still leads: what it grants after standing still has run out already.
func (g *Group) grantLease(now time.Duration, h Hello) (Lease, error) {
	if g.coordinator == nil {
		return Lease{}, errors.New("this member does not lead")
	}
	if term, err := g.dir.term(); err != nil || term != g.term {
		return Lease{}, errors.Join(errors.New("another leads"), err)
	}
	ids, err := g.dir.members()
	if err != nil {
		return Lease{}, err
	}
	there := map[ID]bool{}
	for _, id := range ids {
		if there[id], err = g.dir.locked(memberPrefix + string(id)); err != nil {
			return Lease{}, err
		}
	}
	for _, id := range g.coordinator.Members() {
		if !there[id] {
			g.coordinator.MarkDead(id)
		}
	}
	for id, alive := range there {
		if !alive {
			if err := g.dir.removeDead(id); err != nil {
				g.cfg.Log.Warn("group: what a dead member has left", "member", id, "err", err)
			}
		}
	}
	if !there[h.Member] {
		return Lease{}, fmt.Errorf("%q holds no lock of a member", h.Member)
	}
	if err := g.coordinator.Receive(now, h); err != nil {
		return Lease{}, err
	}
	view, changed, leases := g.coordinator.Share(now)
	if changed {
		if err := g.dir.writeView(view); err != nil {
			// It can't be known to be there: nothing is told, and what it grants counts as out.
			return Lease{}, err
		}
	}
	for _, l := range leases {
		if l.Member == h.Member {
			return l, nil
		}
	}
	return Lease{}, errors.New("no share")
}

// notifyShare passes the share on that is in force.
func (g *Group) notifyShare() {
	g.mu.Lock()
	parts, kept := g.member.Parts(g.cfg.Clock()), g.member.lease.Kept
	changed := parts != g.notifiedShare
	g.notifiedShare = parts
	g.mu.Unlock()
	if changed {
		g.cfg.Share(parts, min(kept, parts))
	}
}

// MaySend tells whether a share is in force at this moment: a process that stood still
// sends nothing on what it decided before.
func (g *Group) MaySend() bool {
	g.mu.Lock()
	may, told := g.member.Parts(g.cfg.Clock()) > 0, g.notifiedShare
	if !may { // so that it is told anew when a lease comes, also of as much as before
		g.notifiedShare = 0
	}
	g.mu.Unlock()
	if !may && told > 0 {
		g.cfg.Share(0, 0)
	}
	return may
}

// requestLease exchanges a hello for a lease with who leads a term.
func (g *Group) requestLease(ctx context.Context, term int, h Hello) (Lease, error) {
	id, err := os.ReadFile(g.dir.path(fmt.Sprintf(leadFormat, term)))
	if err != nil {
		return Lease{}, err
	}
	if len(id) == 0 || len(id) > 64 || filepath.Base(string(id)) != string(id) {
		return Lease{}, errors.New("it has not said who it is")
	}
	a, err := g.exchange(ctx, ID(id), request{Version: Version, Hello: &h}, callTimeout)
	return a.Lease, err
}

// reply is what a coordinator says to a hello.
type reply struct {
	Version int             `json:"Version"`
	Lease   Lease           `json:"Lease"`
	Body    json.RawMessage `json:"Body,omitempty"`
	Refused string          `json:"Refused"`
}

// serve answers the other members, a bounded number at a time.
func (g *Group) serve(ctx context.Context, running *sync.WaitGroup) {
	places := make(chan struct{}, maxCalls)
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				g.cfg.Log.Error("group: no member can ask any more", "err", err)
			}
			return
		}
		select {
		case places <- struct{}{}:
			running.Go(func() {
				defer func() { <-places }()
				g.handleConn(conn)
			})
		default:
			_ = conn.Close() // it asks again
		}
	}
}

func (g *Group) handleConn(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return
	}
	var r request
	if err := readFrame(conn, &r, maxMessage); err != nil {
		g.cfg.Log.Debug("group: a message without meaning", "err", err)
		return
	}
	if err := conn.SetDeadline(time.Now().Add(fileTimeout)); err != nil {
		return
	}
	a, err := reply{Version: Version}, error(nil)
	switch {
	case r.Version != Version:
		err = fmt.Errorf("%w: %d, this one has %d", ErrVersion, r.Version, Version)
	case r.Hello != nil:
		g.mu.Lock()
		a.Lease, err = g.grantLease(g.cfg.Clock(), *r.Hello)
		g.mu.Unlock()
	case r.File != "":
		if err := g.sendFile(conn.(*net.UnixConn), r.File); err != nil {
			g.cfg.Log.Warn("group: handing a file on", "name", r.File, "err", err)
		}
		return
	case r.Tell != nil || r.Ask != nil:
		a.Body, err = g.handleMessage(r)
	default:
		err = errors.New("a message without meaning")
	}
	if err != nil {
		a.Refused = err.Error()
	}
	if err := writeFrame(conn, a, maxMessage); err != nil {
		g.cfg.Log.Debug("group: answering", "err", err)
	}
}

// hear passes on what another member tells or asks.
func (g *Group) handleMessage(r request) (json.RawMessage, error) {
	m, asked := r.Tell, false
	if m == nil {
		m, asked = r.Ask, true
	}
	if g.cfg.Hear == nil {
		return nil, errors.New("nobody hears")
	}
	answer, err := g.cfg.Hear(*m, asked)
	if err != nil || !asked || answer == nil {
		return nil, err
	}
	return json.Marshal(answer)
}

// writeFrame writes a message with its length.
func writeFrame(w io.Writer, v any, most int) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(text) > most {
		return fmt.Errorf("a message of %d bytes", len(text))
	}
	_, err = w.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(text))), text...))
	return err
}

// readFrame reads one, no longer than it may be.
func readFrame(r io.Reader, v any, most int) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || int64(n) > int64(most) {
		return fmt.Errorf("a message of %d bytes", n)
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(n))) // no more room than what comes
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}

// maxSocketPath is what the kernel takes as the address of a Unix socket.
const maxSocketPath = 107

// AtSocket gives a path to a socket that the kernel takes: one that is too long goes by
// a descriptor of its folder.
func AtSocket(path string, use func(short string) error) error {
	if len(path) <= maxSocketPath {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))), dir.Close())
}
