package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunetide/internal/group"
	"dunetide/internal/journal"
	"dunetide/policy"
)

// With -group several processes of one machine are one node. This file wires the group to
// the node: the shares, the journals of the dead, the listeners, and what members tell each
// other. docs/group.md has the guarantees.

const (
	groupFolder = "group"
	slotForm    = "slot-%d" // a member's journal, in the state folder
	// groupDisk is left for the group's locks and views.
	groupDisk = 64 << 10
	// joinPatience is how long a start waits for a journal of its own, for the listeners and
	// for what the others know.
	joinPatience = 4 * time.Second
	joinPause    = 20 * time.Millisecond
	// slotNumbers is how many messages a journal may number before two could be the same.
	slotNumbers = 1 << 40
	// deathMatters is how long after a member's death a client may hand in again what that
	// member had: it sends once more at once when its connection breaks.
	deathMatters = 3 * time.Second
	// haveTimeout is for asking the others for an id, well within a client's patience.
	haveTimeout = 150 * time.Millisecond
	// An order has so long with the others, and is then taken back: all within the second that
	// a caller waits.
	orderTimeout = 500 * time.Millisecond
	undoTimeout  = 250 * time.Millisecond
)

// What members tell and ask each other.
const (
	newsList    = "list"
	newsWait    = "wait"
	newsVerdict = "verdict"
	askState    = "state"
	askOrder    = "order"
	askHave     = "have"
	askReady    = "ready"
)

// toldWait, verdictTold and so on are the bodies of these.
type (
	waitNews    struct{ Until time.Duration } // by the machine's clock
	verdictNews struct{ News policy.News }
	orderAsk    struct {
		Host string
		Out  bool
	}
	orderAnswer struct {
		Status int
		Text   string
	}
	yesNo struct{ Yes bool }
	// memberState is what a member that joins has to know.
	memberState struct {
		Starting bool // this one knows nothing yet itself
		ListAt   time.Duration
		Revision int64 // of the list; -1 where none is known yet
		Members  []member
		Orders   []string
		Waits    []waitState
	}
	waitState struct {
		Endpoint string
		Until    time.Duration
	}
)

// What comes from other members on its way through the loop.
type (
	heardNews struct {
		message group.Message
	}
	stateAsk struct{ reply chan memberState }
	// newcomers are members that have not heard what was told before.
	newcomers struct{}
	// inheritance is a dead member's journal.
	inheritance struct {
		journal *journal.Journal
		owed    []*journal.Message
		alone   bool // no other member lives: what it says of endpoints is the newest there is
	}
)

// slot is a journal of a member, alive or dead.
type slot struct {
	number  int // -1 for that of a node without a group, in the state folder itself
	path    string
	lock    *os.File
	journal *journal.Journal
}

// cohort is this process's part in a group.
type cohort struct {
	group *group.Group
	cfg   Config
	log   *slog.Logger
	slots int
	mine  *slot
	state *os.File // holds off processes without a group

	up     chan struct{} // closed when there is a loop
	usable chan struct{} // closed when there is a share that the module uses
	loop   *loop
	shares chan [2]int // parts, kept; the newest
	met    chan struct{}

	mu        sync.Mutex
	adopted   []*slot
	looked    map[int]string // what lay in slots that owe nothing, or can't be read
	owners    map[int]string
	deathAt   time.Time
	listeners map[string]*net.TCPListener
	adoptions int
	stale     staleness
}

// staleness is how old news were when they came, by their kind.
type staleness struct {
	mu  sync.Mutex
	all map[string]*age
}

type age struct {
	Count  int     `json:"count"`
	Median float64 `json:"median_ms"` // of the last agesKept, as the 99th percentile
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
	last   []float64
}

// agesKept bounds what the figures of staleness are taken from.
const agesKept = 1024

func (s *staleness) add(kind string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]*age{}
	}
	a := s.all[kind]
	if a == nil {
		a = &age{}
		s.all[kind] = a
	}
	ms := float64(d.Microseconds()) / 1000
	a.Max = max(a.Max, ms)
	if len(a.last) < agesKept {
		a.last = append(a.last, ms)
	} else {
		a.last[a.Count%agesKept] = ms
	}
	a.Count++
}

func (s *staleness) show() map[string]age {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]age{}
	for k, a := range s.all {
		sorted := slices.Sorted(slices.Values(a.last))
		at := func(share float64) float64 { return sorted[int(share*float64(len(sorted)-1))] }
		out[k] = age{Count: a.Count, Median: at(0.5), P99: at(0.99), Max: a.Max}
	}
	return out
}

// slotsOf is how many journals there are: one for each member, and one at least for a member
// that comes while a dead one's is still being worked off.
func (c Config) slotsOf() (int, error) {
	most := int((c.DiskBytes - groupDisk) / journal.MinDisk)
	if most < c.Members+1 {
		return 0, fmt.Errorf("limits.disk_mb is %.1f: %d members need %d journals of %.2f MB", float64(c.DiskBytes)/1e6, c.Members,
			c.Members+1, float64(journal.MinDisk)/1e6)
	}
	return min(2*c.Members, most), nil
}

// joinGroup makes this process a member. Its configuration is then that of a part of the node.
func joinGroup(ctx context.Context, c *Config, log *slog.Logger) (*cohort, error) {
	if c.Members > group.MaxMembers {
		return nil, fmt.Errorf("-group %d: %d members at most", c.Members, group.MaxMembers)
	}
	if c.Settings.MayTell && c.PeerBind != "" {
		return nil, errors.New("-group: the settings let nodes tell each other notes, which a group can't share")
	}
	slots, err := c.slotsOf()
	if err != nil {
		return nil, fmt.Errorf("-group: %w", err)
	}
	state, err := shareState(c.State)
	if err != nil {
		return nil, err
	}
	co := &cohort{log: log, slots: slots, state: state, up: make(chan struct{}), usable: make(chan struct{}),
		shares: make(chan [2]int, 1), met: make(chan struct{}, 1), looked: map[int]string{}, owners: map[int]string{}, listeners: map[string]*net.TCPListener{}}
	// None of these can shrink at once, so each has its part of the most members from the start.
	c.MemoryMB /= c.Members
	c.Sockets /= c.Members
	c.DiskBytes = (c.DiskBytes - groupDisk) / int64(slots)
	co.cfg = *c
	co.group, err = group.Join(group.Config{Dir: filepath.Join(c.State, groupFolder), Clock: group.Clock, Log: log,
		Share: co.shared, Hear: co.hear, File: co.file, Met: func() {
			select {
			case co.met <- struct{}{}:
			default: // one that waits stands for all
			}
		}})
	if err != nil {
		return nil, errors.Join(err, state.Close())
	}
	if co.mine, err = co.claim(ctx); err != nil {
		return nil, errors.Join(err, co.group.Abandon(), state.Close())
	}
	return co, nil
}

// shareState holds the state folder together with the other members: a process without a
// group wants it alone.
func shareState(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("opening the state folder: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%s is in use by a process that is in no group", dir)
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (co *cohort) path(n int) string { return filepath.Join(co.cfg.State, fmt.Sprintf(slotForm, n)) }

// claim takes a journal for this process: one with something in it before an empty one.
func (co *cohort) claim(ctx context.Context) (*slot, error) {
	for end := time.Now().Add(joinPatience); ; {
		for _, empty := range []bool{false, true} {
			for n := range co.slots {
				path := co.path(n)
				entries, err := os.ReadDir(path)
				if errors.Is(err, os.ErrNotExist) && empty {
					err = os.Mkdir(path, 0o700)
				}
				if (len(entries) == 0) != empty || errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrExist) {
					continue
				}
				if err != nil {
					return nil, fmt.Errorf("a journal for this member: %w", err)
				}
				s, err := co.seize(n, path)
				if s != nil || err != nil {
					return s, err
				}
			}
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("no journal is free: each of %d belongs to a member, or is being worked off by one", co.slots)
		}
		select {
		case <-time.After(joinPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// seize locks a slot, and writes down whose it is; nil if another has it.
func (co *cohort) seize(n int, path string) (*slot, error) {
	lock, err := journal.Lock(path)
	if err != nil || lock == nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(co.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)), []byte(co.group.ID()), 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("a member's journal: %w", err), lock.Close())
	}
	return &slot{number: n, path: path, lock: lock}, nil
}

func (co *cohort) options(s *slot) journal.Options {
	return journal.Options{Folder: journal.Dir(s.path), Limit: co.cfg.DiskBytes, Base: policy.MessageID(s.number+1) * slotNumbers,
		Sync: co.cfg.Sync, Log: co.log}
}

// begin opens this member's journal and the clients' listener, and learns what the others know.
func (co *cohort) begin(ctx context.Context) (*estate, net.Listener, error) {
	j, owed, err := journal.Open(co.options(co.mine))
	if err != nil {
		return nil, nil, err
	}
	co.mine.journal = j
	fail := func(err error) (*estate, net.Listener, error) { return nil, nil, errors.Join(err, j.Close()) }
	state, err := co.learn(ctx)
	if err != nil {
		return fail(err)
	}
	if state != nil {
		if err := adoptOrders(j, state.Orders); err != nil {
			return fail(err)
		}
	}
	var listener net.Listener
	if co.cfg.AcceptFD > 0 {
		listener, err = inheritedListener(co.cfg.AcceptFD)
	} else {
		listener, err = co.listen(ctx, "clients", co.cfg.Listen)
	}
	if err != nil {
		return fail(err)
	}
	return &estate{journal: j, owed: owed, hold: co.mine.lock, joined: state}, listener, nil
}

// adoptOrders makes a journal's orders those of the group.
func adoptOrders(j *journal.Journal, out []string) error {
	want := map[string]bool{}
	for _, name := range out {
		want[name] = true
		if err := j.Order(name, true, time.Now()); err != nil {
			return fmt.Errorf("the group's orders: %w", err)
		}
	}
	for _, name := range j.Orders() {
		if !want[name] {
			if err := j.Order(name, false, time.Now()); err != nil {
				return fmt.Errorf("the group's orders: %w", err)
			}
		}
	}
	return nil
}

// learn asks a member that serves what it knows; nil where there is none. Where others live
// and none of them answers, joining is not safe.
func (co *cohort) learn(ctx context.Context) (*memberState, error) {
	for end := time.Now().Add(joinPatience); ; {
		ids, err := co.group.Members()
		if err != nil {
			return nil, fmt.Errorf("joining the group: %w", err)
		}
		unheard := len(ids) > 0
		for _, id := range ids {
			var s memberState
			if err := co.group.Ask(ctx, id, askState, nil, &s); err != nil {
				co.log.Debug("group: a member tells nothing", "member", id, "err", err)
				continue
			}
			if !s.Starting {
				return &s, nil
			}
			unheard = false
		}
		if !unheard {
			return nil, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%d members live and none of them answers: the orders that they keep are not known here", len(ids))
		}
		select {
		case <-time.After(joinPause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// listen gives a listener that all members share: another's, or the first.
func (co *cohort) listen(ctx context.Context, name, addr string) (net.Listener, error) {
	var l net.Listener
	for end := time.Now().Add(joinPatience); l == nil; {
		ids, err := co.group.Members()
		if err != nil {
			return nil, err
		}
		for _, id := range ids {
			f, err := co.group.File(ctx, id, name+" "+addr)
			if err != nil || f == nil {
				continue
			}
			l, err = net.FileListener(f)
			if err := errors.Join(err, f.Close()); err != nil {
				return nil, fmt.Errorf("the group's listener: %w", err)
			}
			break
		}
		if l != nil {
			break
		}
		if l, err = net.Listen("tcp", addr); err != nil {
			l = nil // another member may have it, and not serve yet
			if time.Now().After(end) || !errors.Is(err, syscall.EADDRINUSE) {
				return nil, fmt.Errorf("listening for %s: %w", name, err)
			}
			select {
			case <-time.After(joinPause):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
	co.mu.Lock()
	co.listeners[name+" "+addr] = l.(*net.TCPListener)
	co.mu.Unlock()
	return l, nil
}

// file is a listener for another member.
func (co *cohort) file(name string) *os.File {
	co.mu.Lock()
	l := co.listeners[name]
	co.mu.Unlock()
	if l == nil {
		return nil
	}
	f, err := l.File()
	if err != nil { // it is closed: this member is leaving
		return nil
	}
	return f
}

// shared is told of the share; the newest counts.
func (co *cohort) shared(parts, kept int) {
	for {
		select {
		case co.shares <- [2]int{parts, kept}:
			return
		default:
		}
		select {
		case <-co.shares:
		default:
		}
	}
}

// serves lets the loop be told.
func (co *cohort) serves(l *loop) {
	co.loop = l
	close(co.up)
}

// run takes part in the group until the context ends.
func (co *cohort) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() {
		if err := co.group.Run(ctx); err != nil {
			co.log.Warn("group: leaving", "err", err)
		}
	})
	select {
	case <-co.up:
	case <-ctx.Done():
	}
	tick := time.NewTicker(group.BeatEvery)
	defer tick.Stop()
	defer running.Wait()
	for ctx.Err() == nil {
		select {
		case s := <-co.shares:
			alone := false
			if s[0] > 0 && co.adoptDead() && co.alone() {
				alone = true // what the dead have sent is known: nobody else has used any of it
			}
			co.loop.post(policy.Shared{Parts: s[0], Whole: group.Whole, Kept: s[1], Alone: alone})
		case <-co.met:
			co.loop.post(newcomers{})
		case <-tick.C:
			co.adoptDead()
			co.letGo()
		case <-ctx.Done():
		}
	}
}

func (co *cohort) alone() bool {
	ids, err := co.group.Members()
	return err == nil && len(ids) == 0
}

// adoptDead takes over the journals that nobody has a lock on. It tells whether all there are
// belong to somebody who lives.
func (co *cohort) adoptDead() (all bool) {
	if !co.group.MaySend() {
		return false
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.adopt()
}

func (co *cohort) adopt() (all bool) {
	all = true
	for n := -1; n < co.slots; n++ {
		path := co.path(n)
		if n < 0 {
			path = co.cfg.State
		}
		if n == co.mine.number || co.isAdopted(n) {
			continue
		}
		print := fingerprint(path)
		if print == "" || co.looked[n] == print {
			continue
		}
		lock, err := co.lockDead(n, path)
		if err != nil {
			co.log.Error("group: a journal that can't be locked", "folder", path, "err", err)
			all = false
		}
		if lock == nil {
			continue
		}
		s := &slot{number: n, path: path, lock: lock}
		owes, err := co.inherit(s)
		if err != nil {
			co.log.Error("group: a dead member's journal can't be adopted", "folder", path, "err", err)
			all = false
		}
		if !owes {
			co.looked[n] = fingerprint(path)
			_ = lock.Close() // nothing was written
		}
	}
	return all
}

// lockDead locks a slot that nobody has. That of a node without a group lies in the folder
// that all members share, so there is a file to lock.
func (co *cohort) lockDead(n int, path string) (*os.File, error) {
	if n >= 0 {
		s, err := co.seize(n, path)
		if s == nil {
			return nil, err
		}
		return s.lock, nil
	}
	f, err := os.OpenFile(filepath.Join(co.cfg.State, groupFolder, "alone"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, f.Close()
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (co *cohort) isAdopted(n int) bool {
	for _, s := range co.adopted {
		if s.number == n {
			return true
		}
	}
	return false
}

// fingerprint tells whether a journal has changed; empty where there is none.
func fingerprint(path string) string {
	entries, err := os.ReadDir(path)
	if err != nil {
		return ""
	}
	var b strings.Builder
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() && strings.HasPrefix(e.Name(), "journal-") {
			fmt.Fprintf(&b, "%s %d;", e.Name(), info.Size())
		}
	}
	return b.String()
}

// inherit adopts a journal, if it owes anything. Its ids are known here before a client can
// hand one in again.
func (co *cohort) inherit(s *slot) (owes bool, err error) {
	report, err := journal.Check(journal.Dir(s.path), max(co.cfg.DiskBytes, 64<<20))
	if err != nil {
		return false, err
	}
	alone := co.alone()
	if report.Owed == 0 && !alone {
		j, err := journal.Replay(co.options(s))
		if err != nil {
			return false, err
		}
		for _, id := range j.OverIDs() {
			co.loop.intake.wasOver(id)
		}
		return false, nil
	}
	if report.Owed == 0 { // for what it says of endpoints, and of calls of late
		j, err := journal.Replay(co.options(s))
		if err != nil {
			return false, err
		}
		co.pass(&inheritance{journal: j, alone: true})
		return false, nil
	}
	j, owed, err := journal.Open(co.options(s))
	if err != nil {
		return false, err
	}
	s.journal = j
	co.pass(&inheritance{journal: j, owed: owed, alone: alone})
	co.adopted = append(co.adopted, s)
	co.adoptions++
	co.log.Info("group: adopted a dead member's journal", "folder", s.path, "owed", len(owed))
	return true, nil
}

// pass hands a dead member's estate to the loop.
func (co *cohort) pass(in *inheritance) {
	for _, id := range in.journal.OverIDs() {
		co.loop.intake.wasOver(id)
	}
	for _, m := range in.owed {
		co.loop.intake.inherits(m.ID)
	}
	co.loop.post(in)
}

// letGo gives back the journals that owe nothing any more.
func (co *cohort) letGo() {
	co.mu.Lock()
	defer co.mu.Unlock()
	keep := co.adopted[:0]
	for _, s := range co.adopted {
		if s.journal.Status().Live > 0 {
			keep = append(keep, s)
			continue
		}
		if err := s.journal.Close(); err != nil {
			co.log.Warn("group: closing a dead member's journal", "folder", s.path, "err", err)
		}
		co.looked[s.number] = fingerprint(s.path)
		co.log.Info("group: a dead member's journal is worked off", "folder", s.path)
		_ = s.lock.Close() // the kernel lets go of it in any case
	}
	co.adopted = keep
}

// close lets go of all that is adopted still; others go on with it.
func (co *cohort) close() error {
	co.mu.Lock()
	defer co.mu.Unlock()
	var errs []error
	for _, s := range co.adopted {
		errs = append(errs, s.journal.Close(), s.lock.Close())
	}
	co.adopted = nil
	return errors.Join(append(errs, co.state.Close())...)
}

// taken tells whether another member has, or had, a message that a client hands in. That
// matters only soon after a member has died: its client sends once more on a new connection.
// What the dead had, somebody has adopted first.
func (co *cohort) taken(id string) bool {
	co.mu.Lock()
	changed := false
	for n := range co.slots {
		owner, err := os.ReadFile(filepath.Join(co.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)))
		if err != nil {
			continue
		}
		if was, known := co.owners[n]; string(owner) != was {
			co.owners[n] = string(owner)
			changed = changed || known
		}
		if string(owner) == string(co.group.ID()) || co.isAdopted(n) {
			continue
		}
		if lock, err := journal.Lock(co.path(n)); err == nil && lock != nil { // its owner is dead
			_ = lock.Close()
			if print := fingerprint(co.path(n)); print != "" && co.looked[n] != print {
				changed = true
			}
		}
	}
	if changed {
		co.deathAt = time.Now()
		if co.group.MaySend() {
			co.adopt()
		}
	}
	recent := time.Since(co.deathAt) < deathMatters
	co.mu.Unlock()
	if !recent {
		return false
	}
	if co.loop.intake.knows(id) {
		return true
	}
	return co.anyone(askHave, id)
}

// anyone tells whether any other member says yes to a question.
func (co *cohort) anyone(kind string, v any) bool {
	ids, err := co.group.Members()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), haveTimeout)
	defer cancel()
	var yes atomic.Bool
	var asked sync.WaitGroup
	for _, id := range ids {
		asked.Go(func() {
			var a yesNo
			if err := co.group.Ask(ctx, id, kind, v, &a); err == nil && a.Yes {
				yes.Store(true)
			}
		})
	}
	asked.Wait()
	return yes.Load()
}

// hear takes in what another member tells or asks.
func (co *cohort) hear(m group.Message, asked bool) (any, error) {
	select {
	case <-co.up:
	default:
		if m.Kind == askState {
			return memberState{Starting: true}, nil
		}
		return nil, errors.New("starting")
	}
	if !asked {
		select {
		case co.loop.events <- heardNews{m}:
			return nil, nil
		default:
			return nil, errors.New("too busy to hear") // it is told again
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer*3/4)
	defer cancel()
	switch m.Kind {
	case askState:
		ask := stateAsk{make(chan memberState, 1)}
		co.loop.post(ask)
		select {
		case s := <-ask.reply:
			return s, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case askOrder:
		var o orderAsk
		if err := json.Unmarshal(m.Body, &o); err != nil {
			return nil, err
		}
		status, text := co.loop.obeyHere(ctx, o.Host, o.Out)
		return orderAnswer{status, text}, nil
	case askHave:
		var id string
		if err := json.Unmarshal(m.Body, &id); err != nil {
			return nil, err
		}
		return yesNo{co.loop.intake.knows(id)}, nil
	case askReady:
		return yesNo{co.inUse()}, nil
	}
	return nil, fmt.Errorf("%q is no question", m.Kind)
}

// tell lets the others know what this member has just seen.
func (co *cohort) tell(kind, key string, v any) { co.tellOf(group.Clock(), kind, key, v) }

func (co *cohort) tellOf(at time.Duration, kind, key string, v any) {
	if err := co.group.TellOf(at, kind, key, v); err != nil {
		co.log.Error("group: telling", "kind", kind, "err", err)
	}
}

// order has an order carried out by all members. A yes says that each that lives has it; after
// a no none has.
func (co *cohort) order(ctx context.Context, host string, out bool) (status int, text string) {
	status, text = co.loop.obeyHere(ctx, host, out)
	if status != 200 {
		return status, text
	}
	ids, err := co.group.Members()
	refused := ""
	if err != nil {
		refused = err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answers := make([]orderAnswer, len(ids))
	var asked sync.WaitGroup
	for i, id := range ids {
		asked.Go(func() {
			if err := co.group.Ask(ctx, id, askOrder, orderAsk{host, out}, &answers[i]); err != nil {
				answers[i].Text = err.Error()
			}
		})
	}
	asked.Wait()
	for i, a := range answers {
		// One that does not know the endpoint yet keeps the order for when it does.
		if a.Status != 200 {
			refused = fmt.Sprintf("member %s: %s", ids[i], a.Text)
		}
	}
	if refused == "" {
		return status, text
	}
	undo, end := context.WithTimeout(context.Background(), undoTimeout)
	defer end()
	co.loop.obeyHere(undo, host, !out)
	for i, id := range ids { // also those that may have heard of it and did not say so in time
		asked.Go(func() {
			if err := co.group.Ask(undo, id, askOrder, orderAsk{host, !out}, nil); err != nil && answers[i].Status == 200 {
				co.log.Error("group: an order that was refused could not be taken back", "member", id, "host", host, "err", err)
			}
		})
	}
	asked.Wait()
	return 503, "not all members have it, and none keeps it: " + refused
}

// inUse tells whether this member takes clients.
func (co *cohort) inUse() bool {
	select {
	case <-co.usable:
		return !co.loop.intake.isRefusing() && co.group.MaySend()
	default:
		return false
	}
}

// follow runs the watch of discovery while this member coordinates.
func (co *cohort) follow(ctx context.Context, watch func(ctx context.Context, known int64)) {
	co.whileLeading(ctx, func(life context.Context) { watch(life, co.loop.known.Load()) })
}

// whileLeading runs what one process of the node does for all, while this member coordinates.
func (co *cohort) whileLeading(ctx context.Context, f func(ctx context.Context)) {
	tick := time.NewTicker(joinPause)
	defer tick.Stop()
	var end context.CancelFunc
	var running sync.WaitGroup
	defer running.Wait()
	for {
		leads := co.group.Leads()
		switch {
		case leads && end == nil:
			var life context.Context
			life, end = context.WithCancel(ctx)
			running.Go(func() { f(life) })
		case !leads && end != nil:
			end()
			end = nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if end != nil {
				end()
			}
			return
		}
	}
}

// leaving closes this member's listeners, where others have them still.
func (co *cohort) leaving() {
	if co.alone() {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	for name, l := range co.listeners {
		if strings.HasPrefix(name, "clients ") {
			_ = l.Close() // the others' stay
		}
	}
}

// groupStatus is what the console shows.
type groupStatus struct {
	group.Status
	Share     float64        `json:"share_in_use"`
	Serves    bool           `json:"takes_clients"`
	Journal   string         `json:"journal"`
	Adopted   []adoptedState `json:"adopted"`
	Adoptions int            `json:"adoptions"`
	Staleness map[string]age `json:"staleness"`
}

type adoptedState struct {
	Journal string `json:"journal"`
	Owed    int    `json:"owed"`
}

func (co *cohort) status() groupStatus {
	s := groupStatus{Status: co.group.Status(), Share: co.loop.share(), Serves: co.inUse(), Journal: filepath.Base(co.mine.path),
		Adopted: []adoptedState{}, Staleness: co.stale.show()}
	co.mu.Lock()
	defer co.mu.Unlock()
	s.Adoptions = co.adoptions
	for _, a := range co.adopted {
		s.Adopted = append(s.Adopted, adoptedState{filepath.Base(a.path), a.journal.Status().Live})
	}
	return s
}

// MemberFolders are the journals of a group's members in a state folder.
func MemberFolders(dir string) (all []string) {
	for n := range 2 * group.MaxMembers {
		if path := filepath.Join(dir, fmt.Sprintf(slotForm, n)); fingerprint(path) != "" {
			all = append(all, path)
		}
	}
	return all
}

// owedByGroup tells what members of a group owe in a folder, for a process without one.
func owedByGroup(dir string, limit int64) (owed int, err error) {
	if _, err := os.Stat(filepath.Join(dir, groupFolder)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	for _, path := range MemberFolders(dir) {
		report, err := journal.Check(journal.Dir(path), max(limit, 64<<20))
		if err != nil {
			return 0, err
		}
		owed += report.Owed
	}
	return owed, nil
}

// wait waits until there is a share in use; false tells that the context has ended before.
func (co *cohort) wait(ctx context.Context) bool {
	select {
	case <-co.usable:
		return true
	case <-ctx.Done():
		return false
	}
}
