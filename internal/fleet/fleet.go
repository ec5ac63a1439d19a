package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/journal"
)

const (
	// leaveTime bounds the leaving: SIGTERM leaves 3.5 s for all, and the calls have 3.3 of them.
	leaveTime = 120 * time.Millisecond
	// againAfter is the pause before what could not be begun is tried again: an address that is
	// taken, a disk that is full.
	againAfter = time.Second
	// rivalEvery is how often a node that stays outside looks whether the other one has ended.
	rivalEvery = 2 * time.Second
	// askWho is how long a start looks for another process of its name before it says its own.
	askWho = 1500 * time.Millisecond
	// raiseEvery is the least time between two new incarnations, so that two who contend for
	// a name, unseen by each other, cost little.
	raiseEvery = 100 * time.Millisecond
	// seekRemoved is for how long one that was removed is looked for, where it is no seed.
	seekRemoved = 10 * time.Minute
	// settleTime is for how long after a step of any member a node meets others by chance.
	settleTime = 20 * time.Second
	// DefaultConns bounds the connections to and from other nodes where nothing is said.
	DefaultConns = 256
)

// Net is what a part on top needs of the fleet. *Fleet is one, and fleettest has another.
type Net interface {
	Self() Member
	Members() []Member
	// Count is what limits are divided by.
	Count() int
	// Tell lets one member know, newest first of each kind and key, at least once while both
	// are there. It never waits. Errors: ErrUnknown, ErrRoom.
	Tell(to, kind, key string, body []byte) error
	// Ask puts a question, which is written once at most. Errors: ErrNotSent, ErrMaybe,
	// ErrRoom, ErrUnknown, AnswerError. Without a deadline in ctx it has askTime.
	Ask(ctx context.Context, to, kind string, body []byte) ([]byte, error)
	// OnNews, OnAsk and OnChange come before Run. What they are given must not wait, but for
	// an asked one, which has its context.
	OnNews(kind string, f NewsFunc)
	OnAsk(kind string, f AskFunc)
	OnChange(f func(Change))
}

// NewsFunc hears news; age is how old they were when they were written.
type NewsFunc func(from Peer, key string, age time.Duration, body []byte)

// AskFunc answers a question. Its error's text is the answer that says no.
type AskFunc func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Peer is who speaks on a link.
type Peer struct {
	Name        string
	Incarnation uint64
}

// Options are what a fleet stands on.
type Options struct {
	File   File
	Name   string
	Folder journal.Folder
	// Listen opens the transport at an address.
	Listen func(netip.AddrPort) (Transport, error)
	Clock  func() time.Duration // monotonic
	Seed   uint64
	Conns  int // connections at most, both ways
	Log    *slog.Logger
}

// Where a node stands with its fleet.
const (
	Starting = "starting"
	Joined   = "joined"
	Outside  = "outside" // its name is in use elsewhere
	Waiting  = "waiting" // for its address or its disk
	Ended    = "ended"
)

// Fleet is one node's part in it.
type Fleet struct {
	o       Options
	key     uint64
	address netip.AddrPort // where others reach it
	listen  netip.AddrPort
	seeds   []Node

	life      context.Context // of the session
	transport Transport
	id        identity
	gossip    *gossip
	conns     chan struct{} // a place for each connection
	running   *sync.WaitGroup
	changed   chan struct{} // there is something for the session's own loop

	onNews   map[string]NewsFunc
	onAsk    map[string]AskFunc
	onChange []func(Change)
	onOld    []func() error
	parts    []func(context.Context)

	inOrder sync.Mutex // changes are told in their order; taken before mu
	mu      sync.Mutex // over what follows, and over life and transport
	table   *Table
	links   map[string]*link
	state   string
	why     string
	claim   Claim
	rival   string            // where another process of this name was found, until it is gone
	missed  int               // so often in a row nobody was there
	refused map[string]string // who was refused of late, and why
	news    time.Duration     // when a member last took a step
	rand    *rand.Rand
	turn    int // of the seeds: which is tried next

	stats counters
}

// counters count since the start of the process.
type counters struct {
	packetsOut, packetsIn, bytesOut, bytesIn             atomic.Int64
	spoilt, strangers, versions, dropped, crowded, dials atomic.Int64
	raised                                               atomic.Int64
}

// New checks nothing but what Parse has not: the file is whole and names this node.
func New(o Options) (*Fleet, error) {
	own := o.File.node(o.Name)
	address, err := netip.ParseAddrPort(own.Address)
	if err != nil {
		return nil, fmt.Errorf("fleet: the address of %s: %w", o.Name, err)
	}
	listen, err := netip.ParseAddrPort(own.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: where %s listens: %w", o.Name, err)
	}
	if o.Conns <= 0 {
		o.Conns = DefaultConns
	}
	f := &Fleet{o: o, key: fleetKey(o.File.Fleet), address: address, listen: listen, conns: make(chan struct{}, o.Conns),
		onNews: map[string]NewsFunc{}, onAsk: map[string]AskFunc{}, links: map[string]*link{}, state: Starting,
		refused: map[string]string{}, changed: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	for _, n := range o.File.Nodes {
		if n.Seed && n.Name != o.Name {
			f.seeds = append(f.seeds, n)
		}
	}
	f.table = NewTable(Record{Name: o.Name, Address: own.Address}, o.Clock())
	f.turn = f.rand.IntN(max(1, len(f.seeds))) // not all at the same one
	return f, nil
}

// OnNews registers who hears news of a kind.
func (f *Fleet) OnNews(kind string, hear NewsFunc) { f.onNews[kind] = hear }

// OnAsk registers who answers questions of a kind.
func (f *Fleet) OnAsk(kind string, answer AskFunc) { f.onAsk[kind] = answer }

// OnChange registers who hears of members' steps, in their order.
func (f *Fleet) OnChange(hear func(Change)) { f.onChange = append(f.onChange, hear) }

// OnOld registers who hears that others know a later start of this node than its folder does:
// what the folder has is from before that. With an error it is told again.
func (f *Fleet) OnOld(hear func() error) { f.onOld = append(f.onOld, hear) }

// While registers what runs whenever this node is joined, and has ended before another process
// may have its place. It ends with its context.
func (f *Fleet) While(run func(context.Context)) { f.parts = append(f.parts, run) }

// Prepare takes the next incarnation and listens. An error that a start should end with is one
// of ErrOtherNode and those of Listen; a disk that takes nothing is none, Run tries again.
func (f *Fleet) Prepare() error {
	if f.transport != nil {
		return nil
	}
	transport, err := f.o.Listen(f.listen) // first: whoever has the address has the file too
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	id, spoilt, err := loadIdentity(f.o.Folder, f.o.File.Fleet, f.o.Name)
	if err != nil {
		return errors.Join(fmt.Errorf("fleet: %w", err), transport.Close())
	}
	if spoilt != nil {
		f.o.Log.Warn("fleet: the incarnation is lost; others may know it", "err", spoilt)
	}
	id.Incarnation = max(id.Incarnation, f.id.Incarnation) + 1
	if err := id.save(f.o.Folder); err != nil {
		f.o.Log.Error("fleet: not joined, tried again", "err", errors.Join(err, transport.Close()))
		f.stand(Waiting, err.Error())
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id, f.transport = id, transport
	return nil
}

// Run takes part until the context ends. Leave tells, then, whether the node has ended its
// work: it says so only in that case, and else is silent.
func (f *Fleet) Run(ctx context.Context, leave func() bool) {
	for ctx.Err() == nil {
		if err := f.Prepare(); err != nil {
			f.stand(Waiting, err.Error())
			f.o.Log.Error("fleet: not joined, tried again", "err", err)
		}
		if f.transport == nil {
			wait(ctx, againAfter)
			continue
		}
		f.session(ctx, leave)
	}
	f.stand(Ended, "")
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Fleet) stand(state, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.why = state, why
}

// session is one life in the fleet, under one incarnation or those that it is raised to.
func (f *Fleet) session(ctx context.Context, leave func() bool) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	self := Record{Name: f.o.Name, Incarnation: f.id.Incarnation, Start: rand.Uint64() | 1, Address: f.address.String()}
	f.mu.Lock()
	f.life, f.running, f.claim, f.state, f.why = life, &sync.WaitGroup{}, Claim{}, Starting, ""
	old := f.table
	f.table = NewTable(self, f.o.Clock())
	for _, rec := range old.Records() { // what was known outlasts the session
		f.table.Merge(rec, f.o.Clock())
	}
	f.mu.Unlock()
	transport := f.transport
	defer func() {
		end()
		if err := transport.Close(); err != nil {
			f.o.Log.Debug("fleet: closing", "err", err)
		}
		f.mu.Lock()
		f.transport = nil
		f.mu.Unlock()
		f.running.Wait()
	}()
	f.running.Go(func() { f.acceptAll(transport) })
	f.running.Go(func() { f.receiveAll(transport) })
	f.lookAround(ctx)
	for ctx.Err() == nil {
		if !f.settleClaim(ctx) { // somebody has the name
			wait(ctx, rivalEvery)
			f.lookAround(ctx) // outside nobody else tells of a removal
			continue
		}
		g, err := f.startGossip()
		if err != nil {
			f.stand(Waiting, err.Error())
			f.o.Log.Error("fleet: not joined, tried again", "err", err)
			wait(ctx, againAfter)
			continue
		}
		f.follow(ctx, g, leave)
	}
}

// follow takes part in gossip until the context ends or the name turns out to be another's too.
func (f *Fleet) follow(ctx context.Context, g *gossip, leave func() bool) {
	life, end := context.WithCancel(f.life)
	f.mu.Lock()
	f.gossip, f.state, f.why = g, Joined, ""
	f.mu.Unlock()
	f.o.Log.Info("fleet: joined", "fleet", f.o.File.Fleet, "name", f.o.Name, "incarnation", f.Self().Incarnation)
	var meeting sync.WaitGroup
	meeting.Go(func() { g.rejoin(life) })
	working, rest := context.WithCancel(f.life)
	var parts sync.WaitGroup
	for _, run := range f.parts {
		parts.Go(func() { run(working) })
	}
	fenced := false
	for ctx.Err() == nil && !fenced {
		select {
		case <-f.changed:
			if !f.settleClaim(ctx) {
				fenced = true
				break
			}
			if err := g.list.UpdateNode(streamTime); err != nil {
				f.o.Log.Debug("fleet: telling of an incarnation", "err", err)
			}
			wait(ctx, raiseEvery)
		case <-ctx.Done():
		}
	}
	rest()
	parts.Wait()
	if !fenced && leave() {
		rec := f.Self().Record
		rec.Left = rec.Incarnation
		g.leave(rec, leaveTime)
	}
	f.mu.Lock()
	f.gossip = nil
	f.mu.Unlock()
	f.closeLinks()
	end()
	g.end()
	meeting.Wait()
}

func (f *Fleet) closeLinks() {
	f.mu.Lock()
	links := f.links
	f.links = map[string]*link{}
	f.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// heardOfSelf hears what others say of this node.
func (f *Fleet) heardOfSelf(rec Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge(rec)
}

func (f *Fleet) judge(rec Record) {
	c := f.table.Mine(rec)
	if c == (Claim{}) {
		return
	}
	f.claim.keep(c)
	if c.Rival != "" {
		f.claim.Rival = c.Rival
	}
	f.rouse()
}

// rouse tells the session's loop that there is a claim to settle.
func (f *Fleet) rouse() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// settleClaim does what was heard asks for; false: another process has the name, now.
func (f *Fleet) settleClaim(ctx context.Context) bool {
	f.mu.Lock()
	c := f.claim
	f.claim = Claim{}
	rivals := slices.Compact([]string{f.rival, c.Rival})
	f.mu.Unlock()
	for _, rival := range rivals {
		seen := f.isThere(ctx, rival)
		f.mu.Lock()
		known := rival != "" && f.rival == rival
		if known && seen == gone {
			f.missed++
		} else {
			f.missed = 0
		}
		if seen != there && (!known || seen == gone && f.missed >= 2) {
			if known {
				f.rival = ""
			}
			f.mu.Unlock()
			continue
		}
		f.claim.keep(c) // until it is let in
		f.rival, f.state, f.why = rival, Outside, fmt.Sprintf("%s is in use at %s", f.o.Name, rival)
		f.mu.Unlock()
		if !known {
			f.o.Log.Error("fleet: this node stays outside: its name is in use", "name", f.o.Name, "at", rival)
		}
		return false
	}
	own := f.Self()
	f.mu.Lock()
	removed := f.table.Removes(c)
	f.mu.Unlock()
	if removed { // also where it was raised meanwhile
		c.Raise = max(c.Raise, own.Incarnation+1)
	}
	if c.Raise <= own.Incarnation {
		return true
	}
	id := f.id
	id.Incarnation = c.Raise
	var err error
	if c.Old { // before the folder has an incarnation that looks up to date
		for _, hear := range f.onOld {
			err = errors.Join(err, hear())
		}
	}
	if err == nil {
		err = id.save(f.o.Folder)
	}
	if err != nil {
		f.o.Log.Error("fleet: no new incarnation, tried again", "err", err)
		f.mu.Lock()
		f.claim.keep(c)
		f.mu.Unlock()
		time.AfterFunc(againAfter, f.rouse)
		return true
	}
	f.id = id
	f.stats.raised.Add(1)
	f.mu.Lock()
	f.table.Raised(id.Incarnation)
	if removed {
		f.table.Renewed()
	}
	f.mu.Unlock()
	f.o.Log.Info("fleet: a new incarnation", "incarnation", id.Incarnation, "removed", removed, "old folder", c.Old)
	if removed { // whoever builds on members hears it as of any other
		f.inOrder.Lock()
		defer f.inOrder.Unlock()
		f.tellChanges([]Change{{f.o.Name, own.Incarnation, Alive, Removed}, {f.o.Name, id.Incarnation, Removed, Alive}})
	}
	return true
}

// lookAround asks a few seeds what they know of this node's name before it says its own: who has it,
// and whether it was removed. Nobody waits for it but the joining itself.
func (f *Fleet) lookAround(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askWho)
	defer cancel()
	seeds := f.seeds
	if len(seeds) > 3 {
		f.mu.Lock()
		order := f.rand.Perm(len(seeds))
		f.mu.Unlock()
		seeds = []Node{seeds[order[0]], seeds[order[1]], seeds[order[2]]}
	}
	var asked sync.WaitGroup
	for _, s := range seeds {
		asked.Go(func() {
			to, err := netip.ParseAddrPort(s.Address)
			if err != nil {
				return
			}
			conn, w, err := f.hello(ctx, to, s.Name, true)
			if err != nil {
				f.o.Log.Debug("fleet: asking who has this name", "of", s.Name, "err", err)
				return
			}
			_ = conn.Close()
			f.meet(w)
		})
	}
	asked.Wait()
}

// meet takes in what a welcome tells.
func (f *Fleet) meet(w welcome) {
	f.learn(func(t *Table, now time.Duration) []Change { return t.Merge(w.Self, now) })
	if w.Known.Name == f.o.Name {
		f.heardOfSelf(w.Known)
	}
}

// What a look at another process of this name finds. One that is silent is not gone.
type sightOf int

const (
	unsure sightOf = iota
	there
	gone
)

// isThere looks whether a process answers to this node's name at an address.
func (f *Fleet) isThere(ctx context.Context, address string) sightOf {
	to, err := netip.ParseAddrPort(address)
	if err != nil || to == f.address {
		return gone
	}
	ctx, cancel := context.WithTimeout(ctx, greetTime)
	defer cancel()
	f.mu.Lock()
	candidate := f.gossip == nil
	f.mu.Unlock()
	conn, w, err := f.hello(ctx, to, f.o.Name, candidate)
	var timeout net.Error
	switch {
	case err != nil && (ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout()):
		return unsure
	case err != nil:
		return gone // refused or reset: nobody of this program is there
	}
	_ = conn.Close()
	if w.Self.Name == f.o.Name && w.Self.Start != f.Self().Start {
		return there
	}
	return gone
}

func (f *Fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64()
}

// learn steps the table and tells what changed.
func (f *Fleet) learn(step func(t *Table, now time.Duration) []Change) {
	f.inOrder.Lock()
	defer f.inOrder.Unlock()
	f.mu.Lock()
	changes := step(f.table, f.o.Clock())
	if len(changes) > 0 {
		f.news = f.o.Clock()
	}
	var over []*link
	for _, c := range changes {
		if l := f.links[c.Name]; l != nil && c.To.Gone() {
			over = append(over, l)
			delete(f.links, c.Name)
		}
	}
	f.mu.Unlock()
	for _, l := range over {
		l.close()
	}
	f.tellChanges(changes)
}

func (f *Fleet) tellChanges(changes []Change) {
	for _, c := range changes {
		f.o.Log.Info("fleet: member", "name", c.Name, "incarnation", c.Incarnation, "was", c.From, "is", c.To)
		for _, hear := range f.onChange {
			hear(c)
		}
	}
}

// take takes in words; those that it returns were new, and others should hear them.
func (f *Fleet) take(w words) (fresh []Record) {
	f.learn(func(t *Table, now time.Duration) (all []Change) {
		for _, rec := range w.Records {
			if rec.Name == f.o.Name {
				f.judge(rec)
			}
			before, known := t.Member(rec.Name)
			all = append(all, t.Merge(rec, now)...)
			if after, _ := t.Member(rec.Name); known && (after.Left > before.Left || after.Removed > before.Removed) {
				fresh = append(fresh, after.Record)
			}
		}
		t.Told(w.Counts, now)
		return all
	})
	return fresh
}

// known is all that others may know.
func (f *Fleet) known() words {
	f.mu.Lock()
	defer f.mu.Unlock()
	return words{f.table.Records(), f.table.Sightings(f.o.Clock())}
}

// lost is the name and address, as memberlist takes them, of one that should be met again: it
// is silent, or a seed that is not heard. One that was removed may be alive behind a split, where it has removed this one.
func (f *Fleet) lost() (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock()
	var silent, seeds []string
	next := 0
	for _, m := range f.table.Members() {
		if m.State == Suspect || m.State == Removed && !m.Heard && now-m.Since < seekRemoved {
			silent = append(silent, m.Name+"/"+m.Address)
		}
	}
	for i := range f.seeds { // in service or not, they are where all meet
		at := (f.turn + i) % len(f.seeds)
		s := f.seeds[at]
		if m, there := f.table.Member(s.Name); !there || !m.Heard {
			if len(seeds) == 0 {
				next = at + 1
			}
			seeds = append(seeds, s.Name+"/"+s.Address)
		}
	}
	if len(seeds) == 0 || len(silent) > 0 && f.rand.IntN(2) == 0 {
		return f.oneOf(silent)
	}
	f.turn = next // each in its turn: whoever begins while most are cut off must come to the one that is not
	return seeds[0], true
}

// settling is one to meet while news are fresh: gossip says a thing a few times, and whoever
// missed it would wait for memberlist's next round, which takes minutes in a large fleet.
func (f *Fleet) settling() (address string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.o.Clock()-f.news > settleTime {
		return "", false
	}
	var all []string
	for _, m := range f.table.Members() {
		if m.State == Alive && m.Name != f.o.Name {
			all = append(all, m.Name+"/"+m.Address)
		}
	}
	return f.oneOf(all)
}

// oneOf draws; f.mu is held.
func (f *Fleet) oneOf(all []string) (one string, ok bool) {
	if len(all) == 0 {
		return "", false
	}
	return all[f.rand.IntN(len(all))], true
}

func (f *Fleet) current() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Current()
}

// Self is this node as the others should see it.
func (f *Fleet) Self() Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := f.table.Member(f.o.Name)
	return m
}

// Members are all that are known, the gone and this node among them, by name.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Members()
}

// Count is the largest number of members that any current one has seen within CountTime.
func (f *Fleet) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Count(f.o.Clock())
}

// Remove says, by the staff's word, that a member is gone in its present incarnation.
func (f *Fleet) Remove(name string) error {
	var rec Record
	var ok bool
	f.learn(func(t *Table, now time.Duration) (all []Change) {
		rec, all, ok = t.Word(name, now)
		return all
	})
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	f.mu.Lock()
	g := f.gossip
	f.mu.Unlock()
	if g != nil {
		g.spread(rec)
	}
	return nil
}

// refuse keeps whom this node can't talk to; each is said once.
func (f *Fleet) refuse(who string, why error) {
	f.stats.versions.Add(1)
	f.mu.Lock()
	before, there := f.refused[who]
	if !there && len(f.refused) >= MaxMembers {
		clear(f.refused)
	}
	f.refused[who] = why.Error()
	f.mu.Unlock()
	if before != why.Error() {
		f.o.Log.Warn("fleet: refused", "who", who, "err", why)
	}
}

// open is the transport of the session; memberlist may ask for it a moment longer.
func (f *Fleet) open() (Transport, context.Context, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.transport == nil {
		return nil, nil, net.ErrClosed
	}
	return f.transport, f.life, nil
}

// sendPacket sends a datagram.
func (f *Fleet) sendPacket(payload []byte, to netip.AddrPort) error {
	transport, _, err := f.open()
	if err != nil {
		return err
	}
	b := sealPacket(f.key, payload)
	f.stats.packetsOut.Add(1)
	f.stats.bytesOut.Add(int64(len(b)))
	return transport.SendTo(b, to)
}

// place takes a place for a connection; false: there is none.
func (f *Fleet) place() bool {
	select {
	case f.conns <- struct{}{}:
		return true
	default:
	}
	f.stats.crowded.Add(1)
	return false
}

var errCrowded = errors.New("no place for a further connection")

// counted counts a connection's bytes, ends with the session and gives its place back.
type counted struct {
	net.Conn
	f *Fleet

	mu     sync.Mutex
	stop   func() bool
	closed bool
}

func (f *Fleet) counted(life context.Context, raw net.Conn) *counted {
	c := &counted{Conn: raw, f: f}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop = context.AfterFunc(life, func() { _ = c.Close() })
	return c
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.f.stats.bytesIn.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.f.stats.bytesOut.Add(int64(n))
	return n, err
}

func (c *counted) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.stop()
		<-c.f.conns
	}
	return c.Conn.Close()
}
