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
	// maxFrame is the maximum size of a request for a file, callTimeout bounds one exchange, and
	// maxCalls the concurrent exchanges.
	maxFrame    = 4 << 10
	callTimeout = HeartbeatEvery / 2
	maxCalls    = 2 * MaxMembers
	socketName  = "s-"
)

// Clock reads CLOCK_BOOTTIME, which all processes of the machine share and which cannot be set.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("reading CLOCK_BOOTTIME: %v", err)) // Linux always has this clock
	}
	return time.Duration(t.Nano())
}

// Config configures how a process joins its group.
type Config struct {
	Dir   string // of the group, in the state directory
	Clock func() time.Duration
	Log   *slog.Logger
	// Share is called with the share to use, whenever it changes. kept is the portion that this
	// process had before and no other member has had since. It must not block.
	Share func(parts, kept int)
	// OnMessage is called with the notifications (whose answer is dropped) and requests (asked) of other
	// members. It must not block for long, because the requesting member waits for it.
	OnMessage func(m Message, asked bool) (answer any, err error)
	// OnMembersJoined is called when members have joined: they have not received earlier notifications. It must
	// not block.
	OnMembersJoined func()
	// File returns the open file of a name, to be passed to another member; nil if there is none.
	File func(name string) *os.File
}

// Group runs one process's membership in its group.
type Group struct {
	cfg      Config
	id       ID
	dir      folder
	lock     *os.File // on its own member file, for the lifetime of the process
	listener *net.UnixListener

	peersMu    sync.Mutex
	peers      map[ID]*outbox.Queue[Message]
	cancelPeer map[ID]context.CancelFunc

	mu            sync.Mutex
	member        *Member
	coordinator   *Coordinator
	term          int
	leaderLock    *os.File // on the file of the term that it leads
	notifiedShare int      // the share last passed to cfg.Share
}

// Join makes this process a member without a share.
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
		return nil, fmt.Errorf("joining the group: locking the member file: %w", errors.Join(err, lockError(hold)))
	}
	g.lock = hold
	err = WithSocketPath(g.dir.path(socketName+string(g.id)), func(short string) (err error) {
		g.listener, err = net.ListenUnix("unix", &net.UnixAddr{Name: short, Net: "unix"})
		return err
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("joining the group: %w", err), g.leave())
	}
	g.listener.SetUnlinkOnClose(false) // it would unlink by the path given, which may be a /proc/self/fd one; leave removes the socket
	return g, nil
}

func lockError(f *os.File) error {
	if f == nil {
		return errors.New("held by another process")
	}
	return nil
}

// ID returns this process's ID in the group.
func (g *Group) ID() ID { return g.id }

// leave removes this process's files and releases its locks after that.
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

// Abandon leaves a group that was joined but not run.
func (g *Group) Abandon() error { return errors.Join(g.listener.Close(), g.leave()) }

// Run runs the membership until the context ends and then leaves the group.
func (g *Group) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { g.serve(ctx, &running) })
	tick := time.NewTicker(HeartbeatEvery)
	defer tick.Stop()
	for {
		g.MaySend() // detects a lease that expired while the process was paused
		if err := g.heartbeat(ctx); err != nil {
			g.cfg.Log.Warn("group: heartbeat failed", "err", err)
		}
		g.notifyShare()
		if err := g.updatePeers(ctx, &running); err != nil {
			g.cfg.Log.Warn("group: updating members failed", "err", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			// Not by context.AfterFunc: Run may return before that function starts, and the deferred Wait
			// would then wait forever for the goroutine blocked in Accept.
			_ = g.listener.Close()
			return g.leave()
		}
	}
}

// heartbeat renews this process's lease, from the coordinator or, if this process leads, from itself.
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
		return fmt.Errorf("requesting a lease from the coordinator: %w", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member.Receive(g.cfg.Clock(), l)
}

// updateLeadership looks up the current term, and takes over a new one if the current one has no leader or its
// leader is silent.
func (g *Group) updateLeadership(now time.Duration, leaderless bool) error {
	term, err := g.dir.term()
	if err != nil {
		return err
	}
	if g.coordinator != nil {
		if term == g.term {
			return nil
		}
		g.cfg.Log.Warn("group: another member has taken over as coordinator", "term", term)
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
	if err != nil || f == nil { // another member was first
		return err
	}
	views, epoch, torn, err := g.dir.views()
	if err == nil {
		_, err = f.WriteAt([]byte(g.id), 0) // the member that lease requests go to
	}
	if err != nil {
		return errors.Join(err, f.Close())
	}
	g.term, g.leaderLock = term+1, f
	// The term is the upper half of the epoch, so that an earlier leader that resumes never has a higher epoch.
	g.coordinator = NewCoordinator(now, views, max(epoch, uint64(g.term)<<32), torn)
	g.cfg.Log.Info("group: this member is the coordinator", "member", g.id, "term", g.term, "torn view", torn)
	return nil
}

// grantLease answers a member's hello; a changed view is written first. The clock is read before the check
// that this process still leads: if the process is paused in between, the leases that it grants have
// already expired.
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
	holdsLock := map[ID]bool{}
	for _, id := range ids {
		if holdsLock[id], err = g.dir.locked(memberPrefix + string(id)); err != nil {
			return Lease{}, err
		}
	}
	for _, id := range g.coordinator.Members() {
		if !holdsLock[id] {
			g.coordinator.MarkDead(id)
		}
	}
	for id, alive := range holdsLock {
		if !alive {
			if err := g.dir.removeDead(id); err != nil {
				g.cfg.Log.Warn("group: removing the files of a dead member failed", "member", id, "err", err)
			}
		}
	}
	if !holdsLock[h.Member] {
		return Lease{}, fmt.Errorf("%q holds no lock of a member", h.Member)
	}
	if err := g.coordinator.Receive(now, h); err != nil {
		return Lease{}, err
	}
	view, changed, leases := g.coordinator.Share(now)
	if changed {
		if err := g.dir.writeView(view); err != nil {
			// The view may not be on disk: no lease is sent, but the grants count as in use.
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

// notifyShare calls cfg.Share if the share in force has changed.
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

// MaySend reports whether a share is in force now, so that a process that was paused does not send on
// the basis of earlier decisions.
func (g *Group) MaySend() bool {
	g.mu.Lock()
	may, notified := g.member.Parts(g.cfg.Clock()) > 0, g.notifiedShare
	if !may { // so that the next lease is notified even if its share is the same
		g.notifiedShare = 0
	}
	g.mu.Unlock()
	if !may && notified > 0 {
		g.cfg.Share(0, 0)
	}
	return may
}

// requestLease sends a hello to the leader of a term and returns its lease.
func (g *Group) requestLease(ctx context.Context, term int, h Hello) (Lease, error) {
	id, err := os.ReadFile(g.dir.path(fmt.Sprintf(leadFormat, term)))
	if err != nil {
		return Lease{}, err
	}
	if len(id) == 0 || len(id) > 64 || filepath.Base(string(id)) != string(id) {
		return Lease{}, errors.New("the lock file of the term names no member")
	}
	a, err := g.exchange(ctx, ID(id), request{Version: Version, Hello: &h}, callTimeout)
	return a.Lease, err
}

// reply answers a request.
type reply struct {
	Version int             `json:"Version"`
	Lease   Lease           `json:"Lease"`
	Body    json.RawMessage `json:"Body,omitempty"`
	Refused string          `json:"Refused"`
}

// serve answers the other members, at most maxCalls at a time.
func (g *Group) serve(ctx context.Context, running *sync.WaitGroup) {
	slots := make(chan struct{}, maxCalls)
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				g.cfg.Log.Error("group: accepting connections failed; other members cannot reach this one", "err", err)
			}
			return
		}
		select {
		case slots <- struct{}{}:
			running.Go(func() {
				defer func() { <-slots }()
				g.handleConn(conn)
			})
		default:
			_ = conn.Close() // the member retries
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
		g.cfg.Log.Debug("group: reading a request failed", "err", err)
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
			g.cfg.Log.Warn("group: sending a file failed", "name", r.File, "err", err)
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
		g.cfg.Log.Debug("group: answering a request failed", "err", err)
	}
}

// handleMessage passes a notification or request of another member to cfg.OnMessage.
func (g *Group) handleMessage(r request) (json.RawMessage, error) {
	m, asked := r.Tell, false
	if m == nil {
		m, asked = r.Ask, true
	}
	if g.cfg.OnMessage == nil {
		return nil, errors.New("nobody hears")
	}
	answer, err := g.cfg.OnMessage(*m, asked)
	if err != nil || !asked || answer == nil {
		return nil, err
	}
	return json.Marshal(answer)
}

// writeFrame writes a message preceded by its length.
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

// readFrame reads a message of at most most bytes.
func readFrame(r io.Reader, v any, most int) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n == 0 || int64(n) > int64(most) {
		return fmt.Errorf("a message of %d bytes", n)
	}
	text, err := io.ReadAll(io.LimitReader(r, int64(n))) // allocates only for bytes received, not for the announced length
	if err == nil && len(text) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(text, v)
}

// maxSocketPath is the kernel's limit on the length of a Unix socket path.
const maxSocketPath = 107

// WithSocketPath calls use with a path to the socket that is within the kernel's length limit: a longer path
// is replaced by one through a descriptor of its directory.
func WithSocketPath(path string, use func(short string) error) error {
	if len(path) <= maxSocketPath {
		return use(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))), dir.Close())
}
