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

	processes     *processGroup // the other processes of the node; nil where there are none
	fleet         *fleet.Fleet  // nil if the node is in no fleet
	opsConsole    *console
	inherited     *inheritedState
	listener      net.Listener // for clients
	maxClients    int          // maximum number of client connections, 0 for no limit
	owner         *ownership
	intake        *intake
	agent         *agent
	loop          *loop
	copies        *copies          // nil without copies
	predecessor   *predecessorLink // receives what the previous process forwards; nil where there is none
	clients       *clients
	knownRevision int64      // revision of the list of endpoints at the start
	served        chan error // result of serving clients
}

// startConsole joins the fleet and serves the console, if the configuration has them.
func (p *process) startConsole(ctx context.Context) error {
	var err error
	if p.fleet, err = joinFleet(p.config, p.log); err != nil {
		return err
	}
	p.opsConsole = &console{loopReady: make(chan struct{}), processes: p.processes, fleet: p.fleet, leases: joinLeases(p.config, p.fleet, p.log),
		hasCopies: p.config.Copies > 0}
	if p.config.Console == "" {
		return nil
	}
	callers, err := openConsole(ctx, p.config.Console, p.opsConsole, p.log)
	if err != nil {
		return err
	}
	p.running.Go(func() { p.opsConsole.run(p.ctx, callers) })
	return nil
}

// abortStart closes the listener and the journal of a process that cannot start, and returns the error with theirs.
func (p *process) abortStart(err error) error {
	return errors.Join(err, p.listener.Close(), p.inherited.journal.Close())
}

// unlock closes the lock files. They may have been closed already at a handover.
func (e *inheritedState) unlock() {
	for _, lock := range []*os.File{e.soleLock, e.lock} {
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
	if p.fleet != nil && p.processes == nil && p.inherited.predecessorState == nil { // otherwise another process of this node may still have the address
		if err := p.fleet.Prepare(); err != nil {
			return err
		}
	}
	if p.config.Sockets > 0 {
		p.maxClients = maxClientConns(p.config.Sockets)
		p.listener = netutil.LimitListener(p.listener, p.maxClients)
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
	p.copies, err = joinCopies(p.config, p.fleet, p.loop, p.opsConsole.leases, copyLimit)
	if err != nil {
		return err
	}
	if cs := p.copies; cs != nil {
		p.opsConsole.copies, p.intake.copies, p.loop.caller.copies, p.loop.reports.copies = cs, cs, cs, cs
	}
	return nil
}

// checkClasses returns an error if the journal holds a message of a class that is not in the settings.
func (p *process) checkClasses() error {
	for _, m := range p.inherited.pending {
		if m.Class >= len(p.config.Settings.Classes) {
			return fmt.Errorf("the journal holds a message of class %d, which is not in the settings", m.Class)
		}
	}
	return nil
}

// newIntake returns the handler of clients' requests.
func (p *process) newIntake() *intake {
	c := p.config
	in := &intake{processes: p.processes, names: c.Names, journal: p.inherited.journal, endedIDs: p.inherited.journal.EndedSet, owner: p.owner, log: p.log, maxHeld: c.Settings.MaxHeld,
		held: map[string]bool{}}
	for _, class := range c.Settings.Classes {
		in.keyRequired = append(in.keyRequired, class.Repeat == policy.Deduplicated)
	}
	return in
}

// newLoop returns the event loop with its caller, and connects the intake to it.
func (p *process) newLoop() *loop {
	c := p.config
	l := &loop{
		processes: p.processes, usedShare: 1,
		sender: policy.New(c.Settings, c.Seed), settings: c.Settings, names: c.Names, log: p.log,
		journal: p.inherited.journal, reports: newCompletionReports(p.agent, p.log), intake: p.intake, origin: time.Now(),
		events: make(chan any, eventQueue), done: make(chan struct{}), drainStarted: make(chan struct{}),
		held: map[policy.MessageID]*journal.Message{}, owner: p.owner, transfers: make(chan *transfer),
		endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{},
	}
	l.caller = newCaller(c, p.log, func(e policy.Event) { l.post(e) })
	l.caller.owner, l.caller.processes = p.owner, p.processes
	l.reports.sync, l.reports.nonRepeatable = c.Sync, l.caller.nonRepeatable
	p.intake.accept = func(m *journal.Message) { l.post(m) }
	return l
}

// closeCopies closes the copies that this node holds.
func (p *process) closeCopies() {
	if err := p.copies.keeper.Close(); err != nil {
		p.log.Warn("copies: closing failed", "err", err)
	}
}

// restore restores the state of the loop: the endpoints, from another process or from the configuration, and the messages
// in the journal that have not ended.
func (p *process) restore() {
	p.knownRevision = p.restoreEndpoints()
	if p.processes != nil || p.copies != nil { // nothing is sent before this process has a lease or a share
		p.loop.handle(policy.ShareAssigned{Whole: group.Whole})
	}
	if p.inherited.predecessor != nil {
		p.predecessor = &predecessorLink{link: p.inherited.predecessor, intake: p.intake, caller: p.loop.caller, loop: p.loop, log: p.log,
			inFlight: map[policy.MessageID]*call{}}
	}
	for _, m := range p.inherited.pending {
		p.restoreMessage(m)
	}
}

// restoreEndpoints restores the loop's list of endpoints, and returns its revision.
func (p *process) restoreEndpoints() int64 {
	switch list := p.config.Known; {
	case p.inherited.predecessorState != nil:
		p.loop.applySnapshot(p.inherited.predecessorState)
		return p.inherited.predecessorState.Revision
	case p.inherited.groupState != nil:
		p.loop.applyMemberState(p.inherited.groupState)
		return p.inherited.groupState.Revision
	case len(list.Members) > 0:
		for i, m := range list.Members {
			if p.inherited.journal.IsLeaving(m.ID) { // an earlier process learned this; the list may be older
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

// restoreMessage passes a message that has not ended to the loop, or the notice of one that has to the completion reports.
func (p *process) restoreMessage(m *journal.Message) {
	if m.Past.Out {
		if to := p.loop.endpoints[policy.EndpointID(hash(m.Past.OutTo))]; to != nil {
			p.predecessor.expect(m, to)
		}
	}
	if m.Notice != nil {
		p.intake.addEnded(m.ID)
		p.loop.reports.add(m)
		return
	}
	p.intake.accepted(m.ID)
	p.loop.handle(m)
}

// start starts the goroutines of the loop, the notices, discovery, the fleet and the peers.
func (p *process) start(draining <-chan struct{}, hangups <-chan os.Signal) {
	p.running.Go(func() { p.loop.run(p.ctx, p.calls, draining) })
	if p.copies != nil {
		p.copies.keeper.Resume()
	}
	p.running.Go(func() { p.loop.reports.run(p.owned) })
	p.startDiscovery()
	p.running.Go(func() { p.agent.follow(p.ctx, hangups, p.config.Path, p.log) })
	if p.fleet != nil {
		p.running.Go(func() { runFleet(p.owned, p.fleet, p.processes, p.owner) })
	}
	if p.loop.peers != nil {
		p.running.Go(func() { p.loop.peers.run(p.owned) })
	}
}

// startDiscovery watches the list of endpoints; in a group only while this process coordinates.
func (p *process) startDiscovery() {
	turn := discoveryTurn(p.config)
	p.loop.knownRevision.Store(p.knownRevision)
	watch := func(ctx context.Context, knownRevision int64) {
		newDiscovery(p.agent, knownRevision, turn, p.log, func(in list) { p.loop.post(in) }).run(ctx)
	}
	if p.processes == nil {
		p.running.Go(func() { watch(p.owned, p.knownRevision) })
		return
	}
	p.intake.share(0, true) // until a share is assigned
	p.processes.setLoop(p.loop)
	p.running.Go(func() { p.processes.watchDiscovery(p.owned, watch) })
}

// limitConnections counts and limits the clients' connections. While the previous process still runs, both share the limits.
func (p *process) limitConnections() {
	p.clients = newClients(p.maxClients)
	p.loop.connected = p.clients.count
	if p.inherited.predecessorState == nil {
		return
	}
	pools := p.loop.caller.pools
	p.config.limitMemory(2)
	if p.maxClients > 0 {
		p.clients.limit(max(p.maxClients/4, p.maxClients-p.inherited.predecessorState.Connected))
	}
	pools.SetMaxOpen(p.config.endpointSockets() - p.config.Settings.Slots) // the previous process may have as many calls in flight
	p.predecessor.onEnd = func() {
		p.config.limitMemory(1)
		p.clients.limit(p.maxClients)
		pools.SetMaxOpen(p.config.endpointSockets())
	}
}

// serve starts to serve clients and console calls, and listens for a successor process. In a group, clients are served once
// this process may send.
func (p *process) serve() *http.Server {
	p.limitConnections()
	if p.predecessor != nil {
		p.running.Go(func() { p.predecessor.run(p.ctx) })
	}
	server := newServer(p.intake, p.clients, p.log)
	p.running.Go(func() {
		if p.processes != nil {
			if !p.processes.wait(p.ctx) {
				return
			}
			p.ready()
		}
		p.served <- server.Serve(trackingListener{p.listener})
	})
	p.listenForSuccessor()
	p.opsConsole.setLoop(p.loop)
	if p.processes == nil {
		p.ready()
	}
	return server
}

// ready reports on the console and in the log that clients are served.
func (p *process) ready() {
	p.opsConsole.ready.Store(true)
	p.log.Info("ready", "name", p.config.Name, "listen", p.config.Listen, "owed", len(p.inherited.pending), "taken over", p.inherited.predecessorState != nil)
}

// listenForSuccessor accepts handover requests of a successor process, if the journal may be handed over.
func (p *process) listenForSuccessor() {
	if p.inherited.lock == nil {
		return
	}
	next, err := listenForHandover(p.config.State)
	if err != nil {
		p.log.Error("handover: no process can take over from this one", "err", err)
		return
	}
	h := &handover{listener: next, owner: p.owner, loop: p.loop, lock: p.inherited.lock, dir: p.config.State, log: p.log,
		abandon: p.abandon, retire: p.retireForSuccessor}
	p.running.Go(func() { h.run(p.owned) })
}

// retireForSuccessor stops what only the owner of the journal does.
func (p *process) retireForSuccessor() {
	p.opsConsole.ready.Store(false)
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
	return errors.Join(err, p.inherited.journal.Close())
}
