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
	// leaveTimeout bounds the announcement of leaving: SIGTERM allows 3.5 s in total, of which calls take 3.3 s.
	leaveTimeout = 120 * time.Millisecond
	// retryDelay is the pause before joining is retried, for example after an address in use or
	// a full disk.
	retryDelay = time.Second
	// rivalCheckInterval is how often a node outside the fleet checks whether the other process of its name has ended.
	rivalCheckInterval = 2 * time.Second
	// maxRivalMisses is how many consecutive checks must find no process at a rival's address before it counts as gone.
	maxRivalMisses = 2
	// nameQueryTimeout bounds the query of the seeds about this node's name before the node announces itself.
	nameQueryTimeout = 1500 * time.Millisecond
	// maxQueriedSeeds is the number of seeds queried.
	maxQueriedSeeds = 3
	// minRaiseInterval is the minimum time between two new incarnations. It limits the cost of two processes that
	// contend for a name without finding each other.
	minRaiseInterval = 100 * time.Millisecond
	// removedRejoinPeriod is how long the node tries to reach a removed member that is not a seed.
	removedRejoinPeriod = 10 * time.Minute
	// convergencePeriod is how long after any member's change of state a node exchanges state with random members.
	convergencePeriod = 20 * time.Second
	// DefaultConns is the default limit of connections to and from other nodes.
	DefaultConns = 256
)

// Net is the interface of the fleet for packages built on it. *Fleet and fleettest.Node implement it.
type Net interface {
	Self() Member
	Members() []Member
	// Count returns the number of members that limits are divided by.
	Count() int
	// Tell sends an update to one member, at least once while both are members; an update replaces a queued
	// one of the same kind and key. It never blocks. Errors: ErrUnknown, ErrQueueFull.
	Tell(to, kind, key string, body []byte) error
	// Ask sends a request, which is written at most once, and waits for its answer. Errors: ErrNotSent,
	// ErrOutcomeUnknown, ErrQueueFull, ErrUnknown, AnswerError. Without a deadline in ctx, defaultRequestTimeout applies.
	Ask(ctx context.Context, to, kind string, body []byte) ([]byte, error)
	// OnUpdate, OnAsk and OnChange must be called before Run. Their functions must not block, except those
	// of OnAsk, which have a context.
	OnUpdate(kind string, f UpdateFunc)
	OnAsk(kind string, f AskFunc)
	OnChange(f func(Change))
}

// UpdateFunc handles an update; age is its age when it was written to the link.
type UpdateFunc func(from Peer, key string, age time.Duration, body []byte)

// AskFunc answers a request. The sender gets an error as an AnswerError with its text.
type AskFunc func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Peer is the member at the other end of a link.
type Peer struct {
	Name        string
	Incarnation uint64
}

// Options has the configuration and dependencies of a Fleet.
type Options struct {
	File   File
	Name   string
	Folder vfs.Folder
	// Listen opens the transport at an address.
	Listen func(netip.AddrPort) (Transport, error)
	Clock  func() time.Duration // monotonic
	Seed   uint64
	Conns  int // maximum number of connections, both directions
	Log    *slog.Logger
}

// The states of a node in its fleet.
const (
	Starting = "starting"
	Joined   = "joined"
	Outside  = "outside" // another process uses its name
	Waiting  = "waiting" // for its address or disk
	Ended    = "ended"
)

// Fleet runs one node's membership in its fleet.
type Fleet struct {
	options Options
	key     uint64
	address netip.AddrPort // where other nodes reach this one
	listen  netip.AddrPort
	seeds   []Node

	ctx          context.Context // of the session
	transport    Transport
	id           identity
	gossip       *gossip
	conns        chan struct{} // one element per open connection
	running      *sync.WaitGroup
	claimPending chan struct{} // signals the session's loop that claim is set

	updateHandlers  map[string]UpdateFunc
	requestHandlers map[string]AskFunc
	changeHandlers  []func(Change)
	onStaleFolder   []func() error
	joinedTasks     []func(context.Context)

	notifyMu    sync.Mutex // keeps the notifications of changes in order; locked before mu
	mu          sync.Mutex // guards the fields below, ctx and transport
	table       *Table
	links       map[string]*link
	state       string
	why         string
	claim       Claim
	rival       string            // address of another process with this name, until it is gone
	rivalMisses int               // consecutive checks that found no process there
	refused     map[string]string // the reason for each rejected peer
	lastChange  time.Duration     // when a member's state last changed
	rand        *rand.Rand
	nextSeed    int // index of the seed to try next

	stats counters
}

// counters has counts since the start of the process.
type counters struct {
	packetsOut, packetsIn, bytesOut, bytesIn                 atomic.Int64
	corrupt, foreign, versions, dropped, connsRefused, dials atomic.Int64
	raised                                                   atomic.Int64
}

// New returns a Fleet that is not joined yet. o.File must have passed Parse for the node o.Name.
func New(o Options) (*Fleet, error) {
	own := o.File.node(o.Name)
	address, err := netip.ParseAddrPort(own.Address)
	if err != nil {
		return nil, fmt.Errorf("fleet: the address of %s: %w", o.Name, err)
	}
	listen, err := netip.ParseAddrPort(own.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: the listen address of %s: %w", o.Name, err)
	}
	if o.Conns <= 0 {
		o.Conns = DefaultConns
	}
	f := &Fleet{options: o, key: fleetKey(o.File.Fleet), address: address, listen: listen, conns: make(chan struct{}, o.Conns),
		updateHandlers: map[string]UpdateFunc{}, requestHandlers: map[string]AskFunc{}, links: map[string]*link{}, state: Starting,
		refused: map[string]string{}, claimPending: make(chan struct{}, 1), rand: rand.New(rand.NewPCG(o.Seed, rand.Uint64()))}
	for _, n := range o.File.Nodes {
		if n.Seed && n.Name != o.Name {
			f.seeds = append(f.seeds, n)
		}
	}
	f.table = NewTable(Record{Name: o.Name, Address: own.Address}, o.Clock())
	f.nextSeed = f.rand.IntN(max(1, len(f.seeds))) // random, so that nodes do not all begin with the same seed
	return f, nil
}

// OnUpdate registers the handler for updates of a kind.
func (f *Fleet) OnUpdate(kind string, handle UpdateFunc) { f.updateHandlers[kind] = handle }

// OnAsk registers the handler for requests of a kind.
func (f *Fleet) OnAsk(kind string, answer AskFunc) { f.requestHandlers[kind] = answer }

// OnChange registers a handler for members' changes of state, called in their order.
func (f *Fleet) OnChange(handle func(Change)) { f.changeHandlers = append(f.changeHandlers, handle) }

// OnStaleFolder registers a handler for a stale state directory: other nodes know a later start of this node
// than its directory does. The handler is called again after an error.
func (f *Fleet) OnStaleFolder(handle func() error) { f.onStaleFolder = append(f.onStaleFolder, handle) }

// RunWhileJoined registers a function that runs whenever this node is joined. It must return when its context ends;
// the node stays a member until then, so that no other process takes its name before.
func (f *Fleet) RunWhileJoined(run func(context.Context)) { f.joinedTasks = append(f.joinedTasks, run) }

func (f *Fleet) random() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Float64()
}

// refuse records a rejected peer with the reason, and logs it if the reason is new.
func (f *Fleet) refuse(who string, why error) {
	f.stats.versions.Add(1)
	f.mu.Lock()
	before, known := f.refused[who]
	if !known && len(f.refused) >= MaxMembers {
		clear(f.refused)
	}
	f.refused[who] = why.Error()
	f.mu.Unlock()
	if before != why.Error() {
		f.options.Log.Warn("fleet: refused", "who", who, "err", why)
	}
}
