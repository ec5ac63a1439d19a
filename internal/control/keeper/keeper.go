package keeper

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/consensus/quorum"
	"dunetide/internal/consensus/singleton"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/clientbody"
	"dunetide/internal/platform/descriptors"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/telemetry"
	"dunetide/internal/platform/vfs"
)

const (
	// defaultPushWait is the default of Options.PushWait.
	defaultPushWait = 250 * time.Millisecond
	// httpShutdownTimeout bounds the wait for in-flight HTTP calls once the keeper has ended.
	httpShutdownTimeout = time.Second
	// diskStallTimeout bounds how long the end of Run waits for a disk that doesn't respond.
	diskStallTimeout = 2 * time.Second
)

// Options configure a Keeper.
type Options struct {
	// Settings are the process's checked settings.
	Settings *settings.Settings
	// Folder holds keeper.log. If nil, the keeper has no disk: it serves, but never votes.
	Folder vfs.Folder
	// Known returns the keepers that gossip has found; their links are dialed. May be nil.
	Known func() []controlclient.Node
	// Log receives all log messages of the keeper.
	Log hclog.Logger
	// PushWait bounds how long an acknowledgement waits for the attached processes and the other keepers to have the
	// acknowledged change; 0: 250 ms.
	PushWait time.Duration
	// DialAddress maps the link address of another keeper to the address to dial; nil: the same. Tests use it to put
	// relays between keepers.
	DialAddress func(addr string) string
}

// Keeper is one control-plane server. Create it with New, and call Run once.
type Keeper struct {
	options   Options
	log       hclog.Logger
	self      controlclient.Node
	startedAt time.Time
	registers *registerSet

	commands   chan func()        // for the owner goroutine; bounded by maxQueuedCommands
	ended      chan struct{}      // closed when the owner goroutine stops running commands
	runContext context.Context    // canceled when the keeper ends; all goroutines of Run end with it
	cancelRun  context.CancelFunc // ends the keeper without transferring its votes

	// The fields down to conditions belong to the owner goroutine.

	endpoints     *registry.Table
	ends          *endpointEnds
	fullLists     map[*link.Conn]bool // links over which the full endpoint list of a keeper was received
	attached      map[*link.Conn]*attachedProcess
	peers         map[string]*peer // other keepers, by name
	peerLinks     map[*link.Conn]*peerLink
	dialing       map[string]bool          // link addresses of keepers that are being dialed
	redialAt      map[string]time.Time     // link addresses of keepers: when each may be dialed again
	config        *document                // the newest known decided one; version 0: none has been put
	certificates  *document                // the newest known decided ones; version 0: none have been put
	partitions    *snapshot.PartitionTable // the newest known decided one; nil: none yet
	newestDecided map[string]*versionWatermark
	// partitionOwners has the primaries of each partition that this keeper has seen.
	partitionOwners []ownerHistory
	// certificateReads groups the Confirm calls that one read of the certificates answers.
	certificateReads *quorum.ReadBarrier[*link.Message]

	contact         *quorum.Gate[*link.Conn]
	contactTimer    *time.Timer
	reportedContact bool // the contact state last reported to the others

	proxyCount         int    // proxies attached to any connected keeper, at least 1
	keepersRevision    uint64 // counts changes of the set of connected keepers
	pushNeeded         bool   // attached processes may lack an update
	pushedListComplete bool   // whether the endpoint list was complete, as of the last push
	pushedListRevision uint64 // the endpoint list's revision, as of the last push
	waiters            []*ackWaiter

	leaseGrants     *singleton.Granter // leases that this voter has granted
	assigner        partitionAssigner
	voterManager    voterManager
	shuttingDown    bool                       // the keeper refuses attachments and transfers its votes
	lastReport      controlclient.KeeperReport // as sent to the other keepers
	heartbeatSentAt time.Time
	digestCache     listDigests
	conditions      conditionTable

	// The remaining fields are safe for use by any goroutine.

	peerSnapshot   atomic.Pointer[peerSnapshot]
	seeds          atomic.Pointer[[]string] // control addresses of keepers, dialed until others are known
	contactUntil   atomic.Int64             // when contact with a majority expires, in ns since startedAt
	callEvents     *telemetry.EventLog      // rate-limited log of answers, for callers' support requests
	largeBodySlots chan struct{}            // semaphore: one element for each large request body in processing
	receivedBodies *clientbody.Budget       // memory of large bodies being received

	postsMu    sync.Mutex
	posts      []func()      // for the owner goroutine; unbounded, see post
	postsReady chan struct{} // signals that posts isn't empty
}

// New opens the keeper's log and returns a keeper that isn't running. It fails if the log can't be read or written.
func New(options Options) (*Keeper, error) {
	k := &Keeper{
		options:   options.withDefaults(),
		log:       options.Log,
		startedAt: time.Now(),

		commands:       make(chan func(), maxQueuedCommands),
		ended:          make(chan struct{}),
		postsReady:     make(chan struct{}, 1),
		largeBodySlots: make(chan struct{}, maxLargeBodies),
		receivedBodies: clientbody.NewBudget(maxReceivedBytes),

		attached:         map[*link.Conn]*attachedProcess{},
		peers:            map[string]*peer{},
		peerLinks:        map[*link.Conn]*peerLink{},
		fullLists:        map[*link.Conn]bool{},
		dialing:          map[string]bool{},
		redialAt:         map[string]time.Time{},
		config:           &document{},
		certificates:     &document{},
		newestDecided:    map[string]*versionWatermark{configRegister: {}, certificatesRegister: {}},
		certificateReads: quorum.NewReadBarrier[*link.Message](confirmInterval),
		contact:          quorum.NewGate[*link.Conn](),
		contactTimer:     time.NewTimer(0),
		leaseGrants:      singleton.NewGranter(0),
		assigner:         newPartitionAssigner(),
		voterManager:     newVoterManager(),
		conditions:       conditionTable{},
		callEvents:       telemetry.NewEventLog(options.Log),
	}
	k.endpoints = registry.New(0, registry.Options{HeartbeatInterval: k.heartbeatInterval()})
	k.runContext, k.cancelRun = context.WithCancel(context.Background())
	k.peerSnapshot.Store(&peerSnapshot{})
	k.SetSeeds(options.Settings.Seeds)
	var err error
	if k.registers, err = openRegisterSet(k); err != nil {
		return nil, err
	}
	if !options.Settings.FirstStart {
		k.endpoints.MarkIncomplete(0)
	}
	k.ends = newEndpointEnds(k, k.registers.ends)
	k.self = selfNode(options.Settings, k.registers.id, k.startedAt)
	return k, nil
}

// withDefaults returns the options with defaults in place of zero values.
func (options Options) withDefaults() Options {
	if options.PushWait <= 0 {
		options.PushWait = defaultPushWait
	}
	if options.DialAddress == nil {
		options.DialAddress = func(addr string) string { return addr }
	}
	return options
}

// selfNode returns the node that describes this keeper to others.
func selfNode(s *settings.Settings, id uint64, startedAt time.Time) controlclient.Node {
	return controlclient.Node{
		Name:        s.NodeName,
		Role:        controlclient.RoleKeeper,
		Zone:        s.Zone,
		Addr:        linkAddress(s),
		ControlAddr: s.ControlAddr,
		ID:          id,
		Incarnation: uint64(startedAt.UnixNano()),
	}
}

// SetSeeds replaces the control addresses of keepers that are dialed until others are known. It doesn't change the
// initial voters: these are the seeds in the settings at the first start, as all processes must use the same ones.
func (k *Keeper) SetSeeds(addrs []string) { k.seeds.Store(&addrs) }

// linkAddress returns the address at which a keeper serves links.
func linkAddress(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstInternalPort))
}

func (k *Keeper) heartbeatInterval() time.Duration {
	return k.options.Settings.HeartbeatInterval
}

// sinceStart converts a time to the monotonic time since this process started. Types without a clock of their own use
// that.
func (k *Keeper) sinceStart(now time.Time) time.Duration { return now.Sub(k.startedAt) }

// Run serves until the context is canceled, and then until the keeper's votes are transferred to others (2 s at most).
// It returns when its goroutines have ended, with an error if it can't listen on an address or if the log failed.
func (k *Keeper) Run(ctx context.Context) error {
	var listen net.ListenConfig
	linkListener, err := listen.Listen(k.runContext, "tcp4", linkAddress(k.options.Settings))
	if err != nil {
		return err
	}
	defer linkListener.Close()
	budget := descriptors.NewBudget(k.options.Settings.Limits.OpenFiles)
	httpListener, err := budget.Listen(k.runContext, k.options.Settings.ControlAddr)
	if err != nil {
		return err
	}
	server := k.newHTTPServer()
	defer server.Close()
	defer k.cancelRun()
	defer context.AfterFunc(ctx, func() { defer k.cancelRun(); k.shutdown() })()

	var servers sync.WaitGroup
	servers.Go(func() { _ = link.Serve(linkListener, k, link.DefaultOptions) }) // returns when the listener is closed
	servers.Go(func() { _ = server.Serve(httpListener) })                       // returns when the server is closed
	servers.Go(func() { defer k.cancelRun(); k.registers.run(k.runContext) })
	k.registers.bootstrapFromSeeds() // a single keeper gets no connection that would trigger it
	k.loop(k.runContext)
	k.closeAll(linkListener, server)
	return k.awaitServers(&servers)
}

// closeAll closes the servers and links after the owner goroutine's loop has ended.
func (k *Keeper) closeAll(linkListener net.Listener, server *http.Server) {
	k.contactTimer.Stop()
	close(k.ended)
	_ = linkListener.Close()
	for conn := range k.attached {
		conn.Close()
	}
	for conn := range k.peerLinks {
		conn.Close()
	}
	// Closing ended makes calls return, except those whose body never arrives.
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

// awaitServers waits for the goroutines of Run for diskStallTimeout at most, as one of them may be blocked in a write.
// Returning early is safe: the next start recovers from what is on disk.
func (k *Keeper) awaitServers(servers *sync.WaitGroup) error {
	ended := make(chan struct{})
	go func() { servers.Wait(); close(ended) }()
	select {
	case <-ended:
		return k.registers.failure
	case <-time.After(diskStallTimeout):
		k.log.Error("disk does not respond: ending without waiting for it", "file", logName)
		return nil
	}
}
