package node

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sync/atomic"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/upstream"
	"dunetide/policy"
)

// clockStart is the start of the module's clock: its zero means "never" there.
const clockStart = time.Hour

// loop owns the decision module: once a tick it passes the events that have arrived to the module, and carries out the
// module's actions in order. It waits for nothing else.
type loop struct {
	sender         *policy.Sender
	settings       policy.Settings
	names          names
	log            *slog.Logger
	caller         *caller
	journal        *journal.Journal
	reports        *completionReports
	intake         *intake
	peers          *peers // nil where the settings do not allow notes between nodes
	origin         time.Time
	events         chan any      // policy.Event, list, *order or *journal.Message
	done           chan struct{} // closed when the loop has ended
	drainStarted   chan struct{} // closed when no more calls are started
	owner          *ownership
	transfers      chan *transfer
	connected      func() int     // returns the number of clients' connections; may be nil
	revision       int64          // of the last list
	processes      *processGroup  // the other processes of the node; nil where there are none
	knownRevision  atomic.Int64   // revision, read when this process starts to watch discovery
	listAt         time.Duration  // when the list was received, by the machine's clock
	usedShare      float64        // share of the node's limits that the module uses
	serving        bool           // the share has been above 0
	shareAssigned  bool           // a share has been assigned
	shareBits      atomic.Uint64  // bits of usedShare, for other goroutines
	fromMember     bool           // the list being handled comes from another member
	callMade       bool           // a call was made: the health of endpoints is this process's own observation
	orders         []policy.Event // for endpoints that are listed for the first time
	recordedOrders []*order       // recorded orders, confirmed after the next step
	held           map[policy.MessageID]*journal.Message
	endpoints      map[policy.EndpointID]*endpoint
	waits          map[int]*gate // by destination, where routes share a limit
	batch          []policy.Event
	actions        []policy.Action
	draining       bool // no more calls are started
}

func (l *loop) now() policy.Time { return clockStart + time.Since(l.origin) }

// post queues an event for the loop.
func (l *loop) post(e any) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run steps the module until the context ends; calls is the context of its calls.
// Once draining is closed no new call is started; outcomes are still handled.
func (l *loop) run(ctx, calls context.Context, draining <-chan struct{}) {
	defer close(l.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	reaper := time.NewTicker(time.Second)
	defer reaper.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-draining:
			l.draining, draining = true, nil
			close(l.drainStarted)
			continue
		case <-reaper.C:
			l.caller.pools.Sweep()
			continue
		case g := <-l.transfers:
			if l.transferJournal(g) {
				l.draining = true
				l.caller.pools.Retire() // both processes share the limit on connections, idle ones included
			}
			continue
		case e := <-l.events:
			l.handle(e)
		case <-timer.C:
			l.batch = append(l.batch, policy.Woken{})
		}
		// Events that arrive within a tick are handled together.
		if rest := l.settings.Tick - time.Since(last); rest > 0 {
			time.Sleep(rest)
		}
		for more := true; more; {
			select {
			case e := <-l.events:
				l.handle(e)
			default:
				more = false
			}
		}
		last = time.Now()
		if l.processes != nil && l.usedShare > 0 && !l.processes.group.MaySend() {
			// This process was suspended and its share has expired: sends would end as not sent, and use up attempts.
			l.batch = append(l.batch, policy.ShareAssigned{Whole: group.Whole})
		}
		if l.draining {
			l.batch = l.batch[:0]
		} else if wake := l.step(calls); wake > 0 {
			timer.Reset(wake - l.now())
		}
		for _, o := range l.recordedOrders {
			go func() { o.reply <- l.journal.Sync() }() // returns at once without -sync
		}
		l.recordedOrders = l.recordedOrders[:0]
	}
}

// handle turns an event of the loop into one of the module.
func (l *loop) handle(e any) {
	switch e := e.(type) {
	case *journal.Message:
		l.held[e.Number()] = e
		l.batch = append(l.batch, l.arrivedEvent(e))
	case list:
		l.revision = e.Revision
		l.knownRevision.Store(e.Revision)
		l.batch = append(l.batch, l.applyList(e))
		l.batch = append(l.batch, l.orders...)
		l.orders = l.orders[:0]
		l.restoreHistory()
		l.publishList()
	case *order:
		l.order(e)
	case policy.Ended:
		if e.Final {
			if m := l.held[e.Message]; m != nil {
				l.dropMessage(m)
			}
		}
		if to := l.endpoints[e.Endpoint]; to != nil {
			to.inFlight--
			l.dropRemoved(to)
		}
		l.batch = append(l.batch, e)
	case groupMessage:
		l.handleGroupMessage(e.message)
	case membersJoined:
		l.notifyJoinedMembers()
	case stateRequest:
		e.reply <- l.memberState()
	case *adoptedJournal:
		l.adoptMessages(e)
	case *withdrawnMessages:
		l.withdraw(e)
	case adoptedOrders:
		l.adoptOrders(e)
	case policy.ShareAssigned:
		l.shareAssigned = true
		l.batch = append(l.batch, e)
	case policy.Event:
		l.batch = append(l.batch, e)
	}
}

func (l *loop) arrivedEvent(m *journal.Message) policy.Arrived {
	now, class := l.now(), l.settings.Classes[m.Class]
	a := policy.Arrived{Message: m.Number(), Destination: m.Dest, Class: m.Class, GiveUpAt: now + time.Until(m.Deadline)}
	if p := m.Past; p.Attempts > 0 {
		a.Past = policy.Past{Attempts: p.Attempts, MayRun: p.MayRun, RanZone: p.RanZone}
		if p.MayRun {
			a.Past.RanAt = l.moduleTime(p.RanAt)
		}
		if p.Out { // by the recorded wall clock time, which is the same for all messages of a bundle
			a.Past.Out, a.Past.OutTo = true, policy.EndpointID(hash(p.OutTo))
			a.Past.OutSince, a.Past.Settled = min(l.now(), clockStart+p.OutAt.Sub(l.origin)), p.Settled
		}
	}
	if class.Repeat == policy.Deduplicated {
		m.Window = class.Window
	}
	if class.Ordered && m.Key != "" {
		a.Key = hash(m.Key) | 1
	}
	return a
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	return h.Sum64()
}

// applyList updates the node's table of endpoints from a list and returns the event for the module.
func (l *loop) applyList(in list) policy.Listed {
	out := policy.Listed{Whole: in.Complete}
	named := map[policy.EndpointID]bool{}
	for _, m := range in.Members {
		// The id is the same at all nodes, so that they can refer to it in notes.
		id := policy.EndpointID(hash(m.ID))
		entry, ok := l.applyListEntry(id, m)
		if !ok {
			continue
		}
		named[id] = true
		out.Entries = append(out.Entries, entry)
	}
	if in.Complete {
		l.removeUnlisted(named)
	}
	return out
}

// phases maps the phases in discovery's lists to the module's states.
var phases = map[string]policy.EndpointState{"active": policy.Ready, "leaving": policy.Draining, "left": policy.Gone}

// applyListEntry applies one entry of a list, and returns the entry for the module, if any.
func (l *loop) applyListEntry(id policy.EndpointID, m member) (policy.Entry, bool) {
	e := l.endpoints[id]
	state, known := phases[m.Phase]
	if !known {
		l.log.Warn("discovery: unknown phase; endpoint unchanged", "id", m.ID, "phase", m.Phase)
		return l.unchanged(e, m)
	}
	if e == nil {
		if state != policy.Ready {
			// An earlier process may have learned that the endpoint drains, and the grace period may be over: an
			// endpoint that is first listed as leaving gets no calls.
			return policy.Entry{}, false
		}
		if e = l.newEndpoint(id, m); e == nil {
			return policy.Entry{}, false
		}
	}
	if state != policy.Gone {
		e.addr = m.HostPort
		e.pool = l.caller.pools.Endpoint(upstream.Endpoint{Name: e.name, Addr: e.addr, Since: m.UpSince, MayPreconnect: e.mayPreconnect})
	}
	e.listed = m
	l.setLeaving(e, state != policy.Ready)
	l.recordLeaving(e, state != policy.Ready)
	entry := l.entry(e, m, state)
	if state == policy.Gone {
		e.pool.Remove()
		l.dropRemoved(e)
	}
	return entry, true
}

// unchanged returns the entry of an endpoint in its current state, because the module treats an endpoint that is missing
// from a complete list as gone.
func (l *loop) unchanged(e *endpoint, m member) (policy.Entry, bool) {
	if e == nil {
		return policy.Entry{}, false
	}
	state := policy.Ready
	if e.leaving.closedFrom.Load() != 0 {
		state = policy.Draining
	}
	return l.entry(e, m, state), true
}

// newEndpoint adds an endpoint that is listed for the first time; nil if its entry is invalid.
func (l *loop) newEndpoint(id policy.EndpointID, m member) *endpoint {
	kind, okKind := l.names.kinds[m.Flavor]
	zone, okZone := l.names.zones[m.Locality]
	if !okKind || !okZone || m.ID == "" || m.Cell < 0 {
		l.log.Warn("discovery: invalid endpoint ignored", "id", m.ID, "flavor", m.Flavor, "locality", m.Locality)
		return nil
	}
	e := &endpoint{id: id, name: m.ID, dest: m.Cell, kind: kind, zone: zone, leaving: &gate{}, waits: &gate{}}
	if kind >= len(l.settings.Kinds) || !l.settings.Kinds[kind].RoutesApart {
		if l.waits[m.Cell] == nil {
			l.waits[m.Cell] = e.waits
		}
		e.waits = l.waits[m.Cell]
	}
	l.endpoints[id] = e
	if l.journal.TakenOut(e.name) {
		e.excluded.Store(true)
		l.orders = append(l.orders, policy.OperatorOrder{Endpoint: id, Out: true})
	}
	return e
}

// removeUnlisted marks the endpoints that a complete list does not name as gone.
func (l *loop) removeUnlisted(named map[policy.EndpointID]bool) {
	for id, e := range l.endpoints {
		if !named[id] {
			e.listed.Phase = "left"
			l.setLeaving(e, true)
			l.recordLeaving(e, true)
			e.pool.Remove()
			l.dropRemoved(e)
		}
	}
}

// dropRemoved drops an endpoint that is no longer listed, once no call to it is in flight. The journal keeps what is
// needed if it is listed again.
func (l *loop) dropRemoved(e *endpoint) {
	if e.listed.Phase != "left" || e.inFlight > 0 {
		return
	}
	delete(l.endpoints, e.id)
	if w := l.waits[e.dest]; w == nil || w != e.waits || !w.open(time.Now()) {
		return // the wait applies to endpoints of this destination that are listed later
	}
	for _, o := range l.endpoints {
		if o.waits == e.waits {
			return
		}
	}
	delete(l.waits, e.dest)
}

// recordLeaving records in the journal whether an endpoint leaves, for the next start of the node.
func (l *loop) recordLeaving(e *endpoint, leaving bool) {
	if err := l.journal.SetLeaving(e.name, leaving, time.Now()); err != nil {
		l.log.Warn("journal: recording the phase of an endpoint failed", "endpoint", e.name, "err", err)
	}
}

func (l *loop) entry(e *endpoint, m member, state policy.EndpointState) policy.Entry {
	return policy.Entry{Endpoint: e.id, Destination: e.dest, Kind: e.kind, Zone: e.zone, State: state, Rate: m.Size}
}

// restoreHistory passes the module what an earlier process observed of the endpoints that have just been listed: the backlog
// must not go to an endpoint that is failing or cold, and recent calls still count towards the limits.
func (l *loop) restoreHistory() {
	l.restoreHistoryFrom(l.journal.Memories, true)
}

// restoreHistoryFrom passes the module recorded calls and, where nothing newer is known, the recorded health of endpoints.
func (l *loop) restoreHistoryFrom(memories map[string]*journal.Memory, health bool) {
	for name, m := range memories {
		id := policy.EndpointID(hash(name))
		if l.endpoints[id] == nil {
			continue
		}
		r := policy.EndpointHistory{Endpoint: id}
		for _, at := range m.Sent {
			r.Sent = append(r.Sent, l.moduleTime(at))
		}
		for _, run := range m.Runs {
			if !health {
				break
			}
			failures := policy.Run{Outcomes: run.Outcomes, FailedAt: l.moduleTime(run.FailedAt)}
			if !run.BackAt.IsZero() {
				failures.Back, failures.BackAt = true, l.moduleTime(run.BackAt)
			}
			r.Runs = append(r.Runs, failures)
		}
		l.batch = append(l.batch, r)
		delete(memories, name)
	}
}

// moduleTime converts a past wall clock time to the module's clock.
func (l *loop) moduleTime(t time.Time) policy.Time { return min(l.now(), l.now()-time.Since(t)) }

// mayCall reports whether the list, the operators' orders and the endpoint's requested waits allow a call now.
func (e *endpoint) mayCall() bool {
	now := time.Now()
	return !e.excluded.Load() && e.leaving.open(now) && e.waits.open(now)
}

// mayPreconnect reports whether a connection may be opened to the endpoint before a call needs it.
func (e *endpoint) mayPreconnect() bool { return e.leaving.closedFrom.Load() == 0 && e.mayCall() }

// setLeaving has an endpoint's gate close within the grace period after it was first listed as draining or gone, and after
// the module has stopped sending to it.
func (l *loop) setLeaving(e *endpoint, leaving bool) {
	if !leaving {
		e.leaving.closedFrom.Store(0)
	} else {
		e.leaving.closedFrom.CompareAndSwap(0, time.Now().Add(l.settings.DrainGrace*3/4).UnixNano())
	}
}

// step passes the batch to the module and carries out its actions. It returns when the module wants to be woken, or 0.
func (l *loop) step(ctx context.Context) (wake policy.Time) {
	l.actions = l.sender.Step(l.now(), l.batch, l.actions[:0])
	clear(l.batch)
	l.batch = l.batch[:0]
	var calls []*call
	open := map[policy.EndpointID]*call{}
	for _, a := range l.actions {
		switch a := a.(type) {
		case policy.Send:
			// Sends of one step to one endpoint are combined into one call.
			m, e := l.held[a.Message], l.endpoints[a.Endpoint]
			k := open[a.Endpoint]
			if k == nil || len(k.messages) >= l.bundleMax(e) {
				k = &call{endpoint: e, addr: e.addr, started: time.Now()}
				open[a.Endpoint] = k
				calls = append(calls, k)
			}
			k.messages = append(k.messages, &callMessage{message: m, timeout: a.Timeout})
			e.inFlight++
			k.limit = max(k.limit, a.Timeout)
		case policy.Refuse:
			l.end(a.Message, true, a.Wait)
		case policy.Fail:
			l.end(a.Message, false, 0)
		case policy.CloseIdle:
			if e := l.endpoints[a.Endpoint]; e != nil {
				e.pool.CloseIdle()
			}
		case policy.SendNote:
			if l.peers != nil {
				l.peers.send(a)
			}
		case policy.Verdict:
			if e := l.endpoints[a.Endpoint]; e != nil && l.processes != nil {
				l.processes.notify(notifyVerdict, e.name, verdictMessage{a.News})
			}
		case policy.Wake:
			wake = a.At
		}
	}
	for _, k := range calls {
		l.callMade = true
		l.caller.start(ctx, k)
	}
	l.applyShare()
	return wake
}

func (l *loop) bundleMax(e *endpoint) int {
	if e.kind < len(l.settings.Kinds) {
		return l.settings.Kinds[e.kind].BundleMax
	}
	return 1
}

// end ends an undelivered message: it records the end, then reports it to the platform.
func (l *loop) end(id policy.MessageID, back bool, wait time.Duration) {
	m := l.held[id]
	if m == nil {
		return
	}
	n := journal.NewNotice(m.ID, back, wait)
	if err := m.Home().Ended(m, n); err != nil {
		l.log.Error("journal: recording the end of a message failed", "id", m.ID, "err", err)
	}
	l.log.Debug("ended", "id", m.ID, "dest", m.Dest, "outcome", n.Outcome, "left", time.Until(m.Deadline))
	l.dropMessage(m)
	l.reports.add(m)
}

func (l *loop) dropMessage(m *journal.Message) {
	delete(l.held, m.Number())
	l.intake.ended(m.ID)
}
