// Package node is a delivery node: it takes messages from clients, lets the
// decision module say what to do with them, and carries that out over sockets.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"dunetide/internal/group"
	"dunetide/internal/journal"
	"dunetide/policy"
)

const (
	// Times from the word to stop on. New connections go on coming for up to 0.4 s
	// and the process is killed after 3.7 s at the earliest: messages are taken and
	// sent until stopTaking, and what is out then has until stopWaiting.
	stopTaking  = 2200 * time.Millisecond
	stopWaiting = 3300 * time.Millisecond
	// A request must come in whole within this time, head and body together: a true one
	// may come in pieces and take over 2 s, while a peer that sends rubbish or nothing is
	// owed an error or a close within 3 s of connecting.
	requestTimeout = 2800 * time.Millisecond
	answerTimeout  = 10 * time.Second
	// Anyone may connect and hold a place among the clients' connections, so one
	// without an open request is kept no longer than it has to be.
	keepAlive = 2 * time.Second
	maxHeader = 16 << 10
	// clientShare of the sockets may be held by clients' connections.
	clientShare = 0.6
	eventRoom   = 4096
	// lockPatience is how long a start waits for the lock on its folder: whoever looks into
	// the folder has it for a moment.
	lockPatience = 300 * time.Millisecond
)

// Run serves until the context ends and then stops in good order. At a hangup it
// reads from its configuration file anew where discovery is.
func Run(ctx context.Context, c Config, hangups <-chan os.Signal, log *slog.Logger) error {
	var co *cohort
	if err := c.checkCopies(); err != nil {
		return err
	}
	copyLimit := c.copyLimit()
	if c.Copies > 0 {
		c.DiskBytes = copyLimit + c.fleetRoom()
	}
	if c.DiskBytes -= c.fleetRoom(); c.DiskBytes < journal.MinDisk {
		return fmt.Errorf("limits.disk_mb leaves %d bytes beside the fleet's %d, less than a journal needs", c.DiskBytes, c.fleetRoom())
	}
	if c.Members > 0 {
		var err error
		if co, err = joinGroup(ctx, &c, log); err != nil {
			return err
		}
	}
	c.limitMemory(1)
	// Everything below runs until the node has stopped, not until it is told to; what
	// only an owner does ends when another process has taken over.
	life, end := context.WithCancel(context.Background())
	defer end()
	owned, retire := context.WithCancel(life)
	defer retire()
	calls, abandon := context.WithCancel(life)
	defer abandon()
	var running sync.WaitGroup
	if co != nil {
		running.Go(func() { co.run(life) })
		defer func() {
			end()
			running.Wait()
			if err := co.close(); err != nil {
				log.Warn("group: leaving", "err", err)
			}
		}()
	}
	others, err := joinFleet(c, log)
	if err != nil {
		return err
	}
	staff := &console{up: make(chan struct{}), cohort: co, fleet: others, leases: joinLeases(c, others, log), copied: c.Copies > 0}
	if c.Console != "" {
		callers, err := openConsole(ctx, c.Console, staff, log)
		if err != nil {
			return err
		}
		running.Go(func() { staff.run(life, callers) })
	}
	e, listener, err := begin(ctx, c, co, log)
	if err != nil {
		return err
	}
	for _, lock := range []*os.File{e.lock, e.hold} {
		if lock != nil {
			defer lock.Close() // again, where it was let go of at a handover
		}
	}
	j := e.journal
	quit := func(err error) error { return errors.Join(err, listener.Close(), j.Close()) }
	for _, m := range e.owed {
		if m.Class >= len(c.Settings.Classes) {
			return quit(fmt.Errorf("the journal holds a message of class %d, which the settings lack", m.Class))
		}
	}
	if others != nil && co == nil && e.told == nil { // else another process of this node may have the address still
		if err := others.Prepare(); err != nil {
			return quit(err)
		}
	}
	places := 0
	if c.Sockets > 0 {
		places = clientPlaces(c.Sockets)
		listener = netutil.LimitListener(listener, places)
	}
	owner := newOwnership(owning)
	in := &intake{cohort: co, names: c.Names, journal: j, owner: owner, log: log, maxHeld: c.Settings.MaxHeld,
		held: map[string]bool{}}
	for _, k := range c.Settings.Classes {
		in.keyed = append(in.keyed, k.Repeat == policy.Deduplicated)
	}
	a := newAgent(c.Discovery)
	l := &loop{
		cohort: co, inUse: 1,
		sender: policy.New(c.Settings, c.Seed), settings: c.Settings, names: c.Names, log: log,
		journal: j, finals: newFinals(a, log), intake: in, origin: time.Now(),
		events: make(chan any, eventRoom), done: make(chan struct{}), quieted: make(chan struct{}),
		held: map[policy.MessageID]*journal.Message{}, owner: owner, giveaways: make(chan *giveaway),
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{},
	}
	l.caller = newCaller(c, log, func(e policy.Event) { l.post(e) })
	l.caller.owner, l.caller.cohort = owner, co
	l.finals.sync, l.finals.once = c.Sync, l.caller.once
	in.accept = func(m *journal.Message) { l.post(m) }
	if c.Settings.MayTell && c.PeerBind != "" && c.PeersAll != "" {
		if l.peers, err = openPeers(c, log, func(e policy.Event) { l.post(e) }); err != nil {
			return quit(err)
		}
	}
	in.over = j.Over
	cs, err := joinCopies(c, others, l, staff.leases, copyLimit)
	if err != nil {
		return quit(err)
	}
	if cs != nil {
		staff.copies, in.copies, l.caller.copies, l.finals.copies = cs, cs, cs, cs
		defer func() {
			if err := cs.keeper.Close(); err != nil {
				log.Warn("copies: closing", "err", err)
			}
		}()
	}
	known := int64(-1)
	switch {
	case e.told != nil:
		l.inherit(e.told)
		known = e.told.Revision
	case e.joined != nil:
		l.join(e.joined)
		known = e.joined.Revision
	case len(c.Known.Members) > 0:
		for i, m := range c.Known.Members {
			if j.Left(m.ID) { // told to an earlier life; this list may be older
				c.Known.Members[i].Phase = "leaving"
			}
		}
		l.take(c.Known)
		if c.Known.Complete {
			known = c.Known.Revision
		}
	}
	if co != nil || cs != nil { // nothing is sent before there is a lease
		l.take(policy.Shared{Whole: group.Whole})
	}
	var before *heir
	if e.before != nil {
		before = &heir{link: e.before, intake: in, caller: l.caller, loop: l, log: log, out: map[policy.MessageID]*call{}}
	}
	for _, m := range e.owed {
		if m.Past.Out {
			if to := l.endpoints[policy.EndpointID(hash(m.Past.OutTo))]; to != nil {
				before.expect(m, to)
			}
		}
		if m.Notice != nil {
			in.wasOver(m.ID)
			l.finals.add(m)
			continue
		}
		in.taken(m.ID)
		l.take(m)
	}

	quiet := make(chan struct{})
	running.Go(func() { l.run(life, calls, quiet) })
	if cs != nil {
		cs.keeper.Resume()
	}
	running.Go(func() { l.finals.run(owned) })
	turn := discoveryTurn(c)
	l.known.Store(known)
	watch := func(ctx context.Context, known int64) {
		newDiscovery(a, known, turn, log, func(in list) { l.post(in) }).run(ctx)
	}
	if co == nil {
		running.Go(func() { watch(owned, known) })
	} else {
		in.part(0, true) // until there is a share
		co.serves(l)
		running.Go(func() { co.follow(owned, watch) })
	}
	running.Go(func() { a.follow(life, hangups, c.Path, log) })
	if others != nil {
		running.Go(func() { runFleet(owned, others, co, owner) })
	}
	if l.peers != nil {
		running.Go(func() { l.peers.run(owned) })
	}
	connected := newClients(places)
	l.connected = connected.count
	if e.told != nil { // the limits are for both processes, until the old one has ended
		c.limitMemory(2)
		if places > 0 {
			connected.limit(max(places/4, places-e.told.Connected))
		}
		l.caller.pools.Limit(c.endpointSockets() - c.Settings.Slots) // as many may be out with the old one
		before.gone = func() {
			c.limitMemory(1)
			connected.limit(places)
			l.caller.pools.Limit(c.endpointSockets())
		}
	}
	if before != nil {
		running.Go(func() { before.run(life) })
	}
	server := newServer(in, connected, log)
	served := make(chan error, 1)
	takesClients := func() {
		staff.ready.Store(true)
		log.Info("ready", "name", c.Name, "listen", c.Listen, "owed", len(e.owed), "taken over", e.told != nil)
	}
	running.Go(func() {
		if co != nil { // not before it may send
			if !co.wait(life) {
				return
			}
			takesClients()
		}
		served <- server.Serve(heardListener{listener})
	})
	if e.lock != nil {
		next, err := listenForHandover(c.State)
		if err != nil {
			log.Error("handover: no process can take over from this one", "err", err)
		} else {
			h := &handover{listener: next, owner: owner, loop: l, lock: e.lock, dir: c.State, log: log, abandon: abandon,
				retire: func() {
					staff.ready.Store(false)
					c.limitMemory(2)
					l.caller.pools.Retire()
					retire()
					_ = listener.Close() // the platform and the next process have it still
				}}
			running.Go(func() { h.run(owned) })
		}
	}
	staff.serves(l)
	if co == nil {
		takesClients()
	}

	select {
	case <-ctx.Done():
		err = nil
	case err = <-served:
		if to, _ := owner.owner(ctx); to != nil {
			<-ctx.Done() // its clients' connections and its calls go on
			err = nil
		} else {
			err = fmt.Errorf("serving clients: %w", err)
		}
	}
	if err == nil {
		l.stop(server, quiet, func() { staff.ready.Store(false) })
	}
	end()
	running.Wait()
	l.caller.running.Wait() // their outcomes go on record before the journal closes
	l.caller.pools.Close()
	log.Info("stopped", "owed", len(l.held))
	if to, _ := owner.owner(context.Background()); to != nil {
		_ = to.conn.Close() // it may have been closed for an error
		return err
	}
	return errors.Join(err, j.Close())
}

// begin opens the journal and the clients' listener: the platform's where it holds
// one, and then another process may have the journal still.
func begin(ctx context.Context, c Config, co *cohort, log *slog.Logger) (*estate, net.Listener, error) {
	if co != nil {
		return co.begin(ctx)
	}
	switch owed, err := owedByGroup(c.State, c.DiskBytes); {
	case err != nil:
		return nil, nil, fmt.Errorf("what a group has left in %s: %w", c.State, err)
	case owed > 0:
		return nil, nil, fmt.Errorf("%s holds %d messages of a group: start with -group until they are worked off", c.State, owed)
	}
	if c.AcceptFD > 0 {
		listener, err := inheritedListener(c.AcceptFD)
		if err != nil {
			return nil, nil, err
		}
		e, err := takeOver(ctx, c, log)
		if err != nil {
			return nil, nil, errors.Join(err, listener.Close())
		}
		return e, listener, nil
	}
	var hold *os.File
	for end := time.Now().Add(lockPatience); ; time.Sleep(ownerPause) {
		var err error
		if hold, err = journal.Lock(c.State); err != nil {
			return nil, nil, err
		}
		if hold != nil {
			break
		}
		if time.Now().After(end) {
			return nil, nil, fmt.Errorf("%s is in use by another process", c.State)
		}
	}
	j, owed, err := journal.Open(c.journal(log))
	if err != nil {
		return nil, nil, errors.Join(err, hold.Close())
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("listening for clients: %w", err), j.Close(), hold.Close())
	}
	return &estate{journal: j, owed: owed, hold: hold}, listener, nil
}

// journal says how the journal is kept.
func (c Config) journal(log *slog.Logger) journal.Options {
	return journal.Options{Folder: journal.Dir(c.State), Limit: c.DiskBytes, Sync: c.Sync, Log: log}
}

// limitMemory keeps the heap to a part of the limit, where so many processes share it.
func (c Config) limitMemory(processes int) {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10 / int64(processes))
	}
}

// clientPlaces is how many connections clients may hold.
func clientPlaces(sockets int) int { return max(1, int(clientShare*float64(sockets))) }

func newServer(in *intake, connected *clients, log *slog.Logger) *http.Server {
	return &http.Server{Handler: in, ReadTimeout: requestTimeout,
		WriteTimeout: answerTimeout, IdleTimeout: keepAlive, MaxHeaderBytes: maxHeader,
		ConnState: connected.state,
		ErrorLog:  slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
}

// stop lets go of the clients first, then of the endpoints. What is still owed
// after that waits in the journal for the next start. Refusing is called when no
// message is taken any more.
func (l *loop) stop(server *http.Server, quiet chan<- struct{}, refusing func()) {
	start := time.Now()
	l.log.Info("stopping", "owed", l.intake.count())
	l.intake.close(false)
	if l.cohort != nil {
		l.cohort.leaving()
	}
	time.Sleep(stopTaking)
	l.intake.close(true)
	refusing()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(stopWaiting))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		l.log.Warn("stopping: clients are left", "err", err)
	}
	close(quiet)
	<-l.quieted
	l.caller.pools.Retire()
	calls := make(chan struct{})
	go func() {
		l.caller.running.Wait()
		close(calls)
	}()
	select {
	case <-calls:
	case <-ctx.Done():
		l.log.Warn("stopping: calls are out")
	}
}
