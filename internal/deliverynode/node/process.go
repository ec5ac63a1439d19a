package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/policy"
)

// unknownRevision is the revision before a list of endpoints has been received from discovery.
const unknownRevision = int64(-1)

// process is a running node process: its components, which Run assembles, and the contexts in which they run.
type process struct {
	config Config
	log    *slog.Logger

	// ctx ends when the process stops; owned ends then or when another process has taken over; calls ends when the calls
	// in flight are abandoned.
	ctx, owned, calls context.Context
	retire, abandon   context.CancelFunc // they end owned and calls
	running           sync.WaitGroup

	cohort   *processGroup // the other processes of the node; nil where there are none
	fleet    *fleet.Fleet  // nil if the node is in no fleet
	staff    *console
	estate   *inheritedState
	listener net.Listener // for clients
	places   int          // maximum number of client connections, 0 for no limit
	owner    *ownership
	intake   *intake
	agent    *agent
	loop     *loop
	copies   *copies    // nil without copies
	before   *successor // receives what the previous process forwards; nil where there is none
	clients  *clients
	known    int64      // revision of the list of endpoints at the start
	served   chan error // result of serving clients
}

// startConsole joins the fleet and serves the console, if the configuration has them.
func (p *process) startConsole(ctx context.Context) error {
	var err error
	if p.fleet, err = joinFleet(p.config, p.log); err != nil {
		return err
	}
	p.staff = &console{up: make(chan struct{}), cohort: p.cohort, fleet: p.fleet, leases: joinLeases(p.config, p.fleet, p.log),
		copied: p.config.Copies > 0}
	if p.config.Console == "" {
		return nil
	}
	callers, err := openConsole(ctx, p.config.Console, p.staff, p.log)
	if err != nil {
		return err
	}
	p.running.Go(func() { p.staff.run(p.ctx, callers) })
	return nil
}

// quit closes the listener and the journal of a process that cannot start, and returns the error with theirs.
func (p *process) quit(err error) error {
	return errors.Join(err, p.listener.Close(), p.estate.journal.Close())
}

// unlock closes the lock files. They may have been closed already at a handover.
func (e *inheritedState) unlock() {
	for _, lock := range []*os.File{e.hold, e.lock} {
		if lock != nil {
			_ = lock.Close() // it may be closed already, and was never written to
		}
	}
}

// build creates the intake, the event loop and the copies.
func (p *process) build(copyLimit int64) error {
	if err := p.checkClasses(); err != nil {
		return err
	}
	if p.fleet != nil && p.cohort == nil && p.estate.told == nil { // otherwise another process of this node may still have the address
		if err := p.fleet.Prepare(); err != nil {
			return err
		}
	}
	if p.config.Sockets > 0 {
		p.places = clientPlaces(p.config.Sockets)
		p.listener = netutil.LimitListener(p.listener, p.places)
	}
	p.owner = newOwnership(owning)
	p.intake = p.newIntake()
	p.agent = newAgent(p.config.Discovery)
	p.loop = p.newLoop()
	var err error
	if c := p.config; c.Settings.MayTell && c.PeerBind != "" && c.PeersAll != "" {
		if p.loop.peers, err = openPeers(c, p.log, func(e policy.Event) { p.loop.post(e) }); err != nil {
			return err
		}
	}
	p.copies, err = joinCopies(p.config, p.fleet, p.loop, p.staff.leases, copyLimit)
	if err != nil {
		return err
	}
	if cs := p.copies; cs != nil {
		p.staff.copies, p.intake.copies, p.loop.caller.copies, p.loop.finals.copies = cs, cs, cs, cs
	}
	return nil
}

// checkClasses returns an error if the journal holds a message of a class that is not in the settings.
func (p *process) checkClasses() error {
	for _, m := range p.estate.owed {
		if m.Class >= len(p.config.Settings.Classes) {
			return fmt.Errorf("the journal holds a message of class %d, which is not in the settings", m.Class)
		}
	}
	return nil
}

// newIntake returns the handler of clients' requests.
func (p *process) newIntake() *intake {
	c := p.config
	in := &intake{cohort: p.cohort, names: c.Names, journal: p.estate.journal, over: p.estate.journal.Over, owner: p.owner, log: p.log, maxHeld: c.Settings.MaxHeld,
		held: map[string]bool{}}
	for _, class := range c.Settings.Classes {
		in.keyed = append(in.keyed, class.Repeat == policy.Deduplicated)
	}
	return in
}

// newLoop returns the event loop with its caller, and connects the intake to it.
func (p *process) newLoop() *loop {
	c := p.config
	l := &loop{
		cohort: p.cohort, inUse: 1,
		sender: policy.New(c.Settings, c.Seed), settings: c.Settings, names: c.Names, log: p.log,
		journal: p.estate.journal, finals: newCompletionReports(p.agent, p.log), intake: p.intake, origin: time.Now(),
		events: make(chan any, eventQueue), done: make(chan struct{}), quieted: make(chan struct{}),
		held: map[policy.MessageID]*journal.Message{}, owner: p.owner, giveaways: make(chan *transfer),
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{},
	}
	l.caller = newCaller(c, p.log, func(e policy.Event) { l.post(e) })
	l.caller.owner, l.caller.cohort = p.owner, p.cohort
	l.finals.sync, l.finals.once = c.Sync, l.caller.once
	p.intake.accept = func(m *journal.Message) { l.post(m) }
	return l
}

// closeCopies closes the copies that this node holds.
func (p *process) closeCopies() {
	if err := p.copies.keeper.Close(); err != nil {
		p.log.Warn("copies: closing failed", "err", err)
	}
}

// recall restores the state of the loop: the endpoints, from another process or from the configuration, and the messages
// in the journal that have not ended.
func (p *process) recall() {
	p.known = p.recallEndpoints()
	if p.cohort != nil || p.copies != nil { // nothing is sent before this process has a lease or a share
		p.loop.handle(policy.Shared{Whole: group.Whole})
	}
	if p.estate.before != nil {
		p.before = &successor{link: p.estate.before, intake: p.intake, caller: p.loop.caller, loop: p.loop, log: p.log,
			out: map[policy.MessageID]*call{}}
	}
	for _, m := range p.estate.owed {
		p.recallMessage(m)
	}
}

// recallEndpoints restores the loop's list of endpoints, and returns its revision.
func (p *process) recallEndpoints() int64 {
	switch list := p.config.Known; {
	case p.estate.told != nil:
		p.loop.inherit(p.estate.told)
		return p.estate.told.Revision
	case p.estate.joined != nil:
		p.loop.join(p.estate.joined)
		return p.estate.joined.Revision
	case len(list.Members) > 0:
		for i, m := range list.Members {
			if p.estate.journal.Left(m.ID) { // an earlier process learned this; the list may be older
				list.Members[i].Phase = "leaving"
			}
		}
		p.loop.handle(list)
		if list.Complete {
			return list.Revision
		}
	}
	return unknownRevision
}

// recallMessage passes a message that has not ended to the loop, or the notice of one that has to the completion reports.
func (p *process) recallMessage(m *journal.Message) {
	if m.Past.Out {
		if to := p.loop.endpoints[policy.EndpointID(hash(m.Past.OutTo))]; to != nil {
			p.before.expect(m, to)
		}
	}
	if m.Notice != nil {
		p.intake.wasOver(m.ID)
		p.loop.finals.add(m)
		return
	}
	p.intake.accepted(m.ID)
	p.loop.handle(m)
}

// start starts the goroutines of the loop, the notices, discovery, the fleet and the peers.
func (p *process) start(quiet <-chan struct{}, hangups <-chan os.Signal) {
	p.running.Go(func() { p.loop.run(p.ctx, p.calls, quiet) })
	if p.copies != nil {
		p.copies.keeper.Resume()
	}
	p.running.Go(func() { p.loop.finals.run(p.owned) })
	p.startDiscovery()
	p.running.Go(func() { p.agent.follow(p.ctx, hangups, p.config.Path, p.log) })
	if p.fleet != nil {
		p.running.Go(func() { runFleet(p.owned, p.fleet, p.cohort, p.owner) })
	}
	if p.loop.peers != nil {
		p.running.Go(func() { p.loop.peers.run(p.owned) })
	}
}

// startDiscovery watches the list of endpoints; in a group only while this process coordinates.
func (p *process) startDiscovery() {
	turn := discoveryTurn(p.config)
	p.loop.known.Store(p.known)
	watch := func(ctx context.Context, known int64) {
		newDiscovery(p.agent, known, turn, p.log, func(in list) { p.loop.post(in) }).run(ctx)
	}
	if p.cohort == nil {
		p.running.Go(func() { watch(p.owned, p.known) })
		return
	}
	p.intake.part(0, true) // until a share is assigned
	p.cohort.serves(p.loop)
	p.running.Go(func() { p.cohort.follow(p.owned, watch) })
}

// limitConnections counts and limits the clients' connections. While the previous process still runs, both share the limits.
func (p *process) limitConnections() {
	p.clients = newClients(p.places)
	p.loop.connected = p.clients.count
	if p.estate.told == nil {
		return
	}
	pools := p.loop.caller.pools
	p.config.limitMemory(2)
	if p.places > 0 {
		p.clients.limit(max(p.places/4, p.places-p.estate.told.Connected))
	}
	pools.SetMaxOpen(p.config.endpointSockets() - p.config.Settings.Slots) // the previous process may have as many calls in flight
	p.before.gone = func() {
		p.config.limitMemory(1)
		p.clients.limit(p.places)
		pools.SetMaxOpen(p.config.endpointSockets())
	}
}

// serve starts to serve clients and console calls, and listens for a successor process. In a group, clients are served once
// this process may send.
func (p *process) serve() *http.Server {
	p.limitConnections()
	if p.before != nil {
		p.running.Go(func() { p.before.run(p.ctx) })
	}
	server := newServer(p.intake, p.clients, p.log)
	p.running.Go(func() {
		if p.cohort != nil {
			if !p.cohort.wait(p.ctx) {
				return
			}
			p.ready()
		}
		p.served <- server.Serve(heardListener{p.listener})
	})
	p.listenForSuccessor()
	p.staff.serves(p.loop)
	if p.cohort == nil {
		p.ready()
	}
	return server
}

// ready reports on the console and in the log that clients are served.
func (p *process) ready() {
	p.staff.ready.Store(true)
	p.log.Info("ready", "name", p.config.Name, "listen", p.config.Listen, "owed", len(p.estate.owed), "taken over", p.estate.told != nil)
}

// listenForSuccessor accepts handover requests of a successor process, if the journal may be handed over.
func (p *process) listenForSuccessor() {
	if p.estate.lock == nil {
		return
	}
	next, err := listenForHandover(p.config.State)
	if err != nil {
		p.log.Error("handover: no process can take over from this one", "err", err)
		return
	}
	h := &handover{listener: next, owner: p.owner, loop: p.loop, lock: p.estate.lock, dir: p.config.State, log: p.log,
		abandon: p.abandon, retire: p.retireForSuccessor}
	p.running.Go(func() { h.run(p.owned) })
}

// retireForSuccessor stops what only the owner of the journal does.
func (p *process) retireForSuccessor() {
	p.staff.ready.Store(false)
	p.config.limitMemory(2)
	p.loop.caller.pools.Retire()
	p.retire()
	_ = p.listener.Close() // the platform and the successor keep the socket open
}

// wait waits until the context ends or serving clients fails. After a handover, the clients' connections and the calls of
// this process continue until the context ends.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.served:
		if to, _ := p.owner.owner(ctx); to == nil {
			return fmt.Errorf("serving clients: %w", err)
		}
		<-ctx.Done()
		return nil
	}
}

// finish waits for the goroutines and the calls, and closes the journal, or the link to the process that has taken over.
func (p *process) finish(err error) error {
	p.running.Wait()
	p.loop.caller.running.Wait() // their outcomes are recorded before the journal closes
	p.loop.caller.pools.Close()
	p.log.Info("stopped", "owed", len(p.loop.held))
	if to, _ := p.owner.owner(context.Background()); to != nil {
		_ = to.conn.Close() // it may have been closed after an error
		return err
	}
	return errors.Join(err, p.estate.journal.Close())
}
