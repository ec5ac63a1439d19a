package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/platform/vfs"
)

const (
	// leaveTime bounds the leaving: SIGTERM leaves 3.5 s for all, and the calls have 3.3 of them.
	leaveTimeout = 120 * time.Millisecond
	// againAfter is the pause before what could not be begun is tried again: an address that is
	// taken, a disk that is full.
	retryDelay = time.Second
	// rivalEvery is how often a node that stays outside looks whether the other one has ended.
	rivalCheckInterval = 2 * time.Second
	// rivalMisses is so often in a row nobody must be at a rival's address before it counts as gone.
	maxRivalMisses = 2
	// askWho bounds how long the seeds are asked about this node's name before it says its own.
	nameQueryTimeout = 1500 * time.Millisecond
	// askedSeeds is how many seeds are asked.
	maxQueriedSeeds = 3
	// raiseEvery is the least time between two new incarnations, so that two who contend for
	// a name, unseen by each other, cost little.
	minRaiseInterval = 100 * time.Millisecond
	// seekRemoved is for how long one that was removed is looked for, where it is no seed.
	removedRejoinPeriod = 10 * time.Minute
	// convergenceTime is for how long after a step of any member a node meets others by chance.
	convergencePeriod = 20 * time.Second
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
	Folder vfs.Folder
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
	options Options
	key     uint64
	address netip.AddrPort // where others reach it
	listen  netip.AddrPort
	seeds   []Node

	ctx          context.Context // of the session
	transport    Transport
	id           identity
	gossip       *gossip
	conns        chan struct{} // a place for each connection
	running      *sync.WaitGroup
	claimPending chan struct{} // there is something for the session's own loop

	updateHandlers  map[string]NewsFunc
	requestHandlers map[string]AskFunc
	changeHandlers  []func(Change)
	onStaleFolder   []func() error
	joinedTasks     []func(context.Context)

	notifyMu    sync.Mutex // changes are told in their order; taken before mu
	mu          sync.Mutex // over what follows, and over life and transport
	table       *Table
	links       map[string]*link
	state       string
	why         string
	claim       Claim
	rival       string            // where another process of this name was found, until it is gone
	rivalMisses int               // so often in a row nobody was there
	refused     map[string]string // who was refused of late, and why
	lastChange  time.Duration     // when a member last took a step
	rand        *rand.Rand
	nextSeed    int // of the seeds: which is tried next

	stats counters
}

// counters count since the start of the process.
type counters struct {
	packetsOut, packetsIn, bytesOut, bytesIn                 atomic.Int64
	corrupt, foreign, versions, dropped, connsRefused, dials atomic.Int64
	raised                                                   atomic.Int64
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
	f := &Fleet{options: o, key: fleetKey(o.File.Fleet), address: address, listen: listen, conns: make(chan struct{}, o.Conns),
		updateHandlers: map[string]NewsFunc{}, requestHandlers: map[string]AskFunc{}, links: map[string]*link{}, state: Starting,
		refused: map[string]string{}, claimPending: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	for _, n := range o.File.Nodes {
		if n.Seed && n.Name != o.Name {
			f.seeds = append(f.seeds, n)
		}
	}
	f.table = NewTable(Record{Name: o.Name, Address: own.Address}, o.Clock())
	f.nextSeed = f.rand.IntN(max(1, len(f.seeds))) // not all at the same one
	return f, nil
}

// OnNews registers who hears news of a kind.
func (f *Fleet) OnNews(kind string, hear NewsFunc) { f.updateHandlers[kind] = hear }

// OnAsk registers who answers questions of a kind.
func (f *Fleet) OnAsk(kind string, answer AskFunc) { f.requestHandlers[kind] = answer }

// OnChange registers who hears of members' steps, in their order.
func (f *Fleet) OnChange(hear func(Change)) { f.changeHandlers = append(f.changeHandlers, hear) }

// OnOld registers who hears that others know a later start of this node than its folder does:
// what the folder has is from before that. With an error it is told again.
func (f *Fleet) OnOld(hear func() error) { f.onStaleFolder = append(f.onStaleFolder, hear) }

// While registers what runs whenever this node is joined, and has ended before another process
// may have its place. It ends with its context.
func (f *Fleet) While(run func(context.Context)) { f.joinedTasks = append(f.joinedTasks, run) }

func (f *Fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64()
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
		f.options.Log.Warn("fleet: refused", "who", who, "err", why)
	}
}
