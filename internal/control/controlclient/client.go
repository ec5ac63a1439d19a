package controlclient

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// attachedKeepers is the number of keepers to which a process is attached.
	attachedKeepers = 2
	// callTimeout limits the time that a keeper takes to answer CallKeeper.
	callTimeout = time.Second
)

// Options of a Client.
type Options struct {
	// Self is the process that is attached.
	Self Node
	// Seeds are the addresses of keepers' links from the settings.
	Seeds []string
	// KnownKeepers returns the keepers that gossip of members has found; nil: there is no gossip.
	KnownKeepers func() []Node
	// WantEndpoints has keepers push the list of endpoints.
	WantEndpoints bool
	// Snapshots is where each new snapshot is published.
	Snapshots *snapshot.Latest
	// OnSnapshot is called after each new snapshot, one call at a time. It must not call the Client. nil: nothing is
	// called.
	OnSnapshot func(*snapshot.Snapshot)
	// ConfirmInterval is how often keepers are asked whether the certificates are the newest, once there are any; 0:
	// never.
	ConfirmInterval time.Duration
	Log             hclog.Logger
}

// Client attaches a process to keepers and publishes what they push. While the process lives, no version in force is
// replaced by an older one.
//
// Run owns the goroutines of a client and waits for them. Message and Closed run in the reading goroutines of the
// links; each link is closed by the slot that dialled it, before Run returns.
type Client struct {
	options     Options
	parseConfig func([]byte) (*operatorconfig.Config, error)
	// parsing is held while a configuration is parsed and put in force. Both keepers push one at the same time, and
	// parsing takes long: the second one finds the version in force and is not parsed.
	parsing sync.Mutex
	// confirmed is the time that CertificatesConfirmedAt returns; nil: none.
	confirmed atomic.Pointer[time.Time]
	// confirmWake wakes confirmLoop before its interval is over.
	confirmWake chan struct{}
	// seeds take the place of those of the options; nil: they have not been replaced.
	seeds atomic.Pointer[[]string]

	mu sync.Mutex // guards what follows

	// The keepers.
	sources       map[*link.Conn]*source // the attached keepers
	lastSource    *source                // the last keeper, while no attached one knows the endpoints
	reserved      map[string]bool        // addresses that a slot dials or is attached to
	keepers       []Node                 // those named by the newest update that names them
	formerKeepers []Node                 // those named by earlier updates only, the latest last

	// What is in force.
	config            *operatorconfig.Config
	table             *snapshot.PartitionTable
	proxies           int
	endpoints         map[string][]*snapshot.Endpoint // merged, by service; shared with the newest snapshot
	endpointsComplete bool                            // whether endpoints come from a keeper that knows all
	certificates      *certification.Set
	certificatesKnown bool
	// unreadableCertificates is the newest version of certificates that was pushed and can't be parsed by this program.
	unreadableCertificates uint64
	// ended are the endpoints that a keeper has reported as draining or ended, by ID.
	ended map[string]endedState
}

// New returns a client that is not attached yet; Run attaches it.
func New(o Options) *Client {
	return &Client{
		options:     o,
		parseConfig: operatorconfig.Parse,
		confirmWake: make(chan struct{}, 1),
		sources:     map[*link.Conn]*source{},
		reserved:    map[string]bool{},
		ended:       map[string]endedState{},
	}
}

// SetSeeds replaces the addresses of keepers' links that are tried beside those that gossip and updates name. Links
// that are attached stay attached.
func (c *Client) SetSeeds(addrs []string) { c.seeds.Store(&addrs) }

func (c *Client) currentSeeds() []string {
	if seeds := c.seeds.Load(); seeds != nil {
		return *seeds
	}
	return c.options.Seeds
}

// Run keeps the process attached until the context ends, and returns when all links are closed.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for slot := range attachedKeepers {
		wg.Go(func() { c.fillSlot(ctx, slot) })
	}
	if c.options.ConfirmInterval > 0 {
		wg.Go(func() { c.confirmLoop(ctx) })
	}
	wg.Wait()
}

// KeeperConns returns the links to the attached keepers, in no order.
func (c *Client) KeeperConns() []*link.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []*link.Conn
	for conn := range c.sources {
		conns = append(conns, conn)
	}
	return conns
}

// CallKeeper sends a call to one attached keeper after the other, until one answers without an error. It returns the
// last keeper's error, or link.ErrClosed if no keeper is attached. A keeper that failed may have carried the call out.
func (c *Client) CallKeeper(ctx context.Context, kind link.Kind, body []byte) error {
	err := error(link.ErrClosed)
	for _, conn := range c.KeeperConns() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = conn.Call(callCtx, kind, body)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// SeedLinkAddrs returns the addresses of keepers' links, given the seeds of the settings, which are control addresses,
// and the port of links. A seed that is not an address is left out.
func SeedLinkAddrs(seeds []string, port int) []string {
	var addrs []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return addrs
}
