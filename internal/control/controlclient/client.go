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
	// callTimeout is the time in which one keeper must reply to CallKeeper before the next one is tried.
	callTimeout = time.Second
)

// Options of a Client.
type Options struct {
	// Self describes the process that runs the Client.
	Self Node
	// Seeds are the link addresses of keepers from the settings.
	Seeds []string
	// KnownKeepers returns the keepers that the membership protocol has found; nil if it does not run.
	KnownKeepers func() []Node
	// WantEndpoints requests the list of endpoints from the keepers.
	WantEndpoints bool
	// Snapshots is where each new snapshot is published.
	Snapshots *snapshot.Latest
	// OnSnapshot, unless nil, is called after each new snapshot, one call at a time. It must not call the Client.
	OnSnapshot func(*snapshot.Snapshot)
	// ConfirmInterval is the interval at which keepers are asked to confirm that the certificates are the newest, once
	// there are any; 0 means never.
	ConfirmInterval time.Duration
	// DialAddress maps the link address of a keeper to the address to dial; nil: the same. Tests use it to keep a process
	// from a keeper.
	DialAddress func(addr string) string
	Log         hclog.Logger
}

// Client attaches a process to keepers and publishes snapshots of their updates. As long as the process runs, no
// version in force is replaced by an older one.
//
// Run owns the goroutines of a Client and waits for them. Message and Closed run in the reading goroutines of the
// links; each link is closed by the slot that dialled it, before Run returns.
type Client struct {
	options     Options
	parseConfig func([]byte) (*operatorconfig.Config, error)
	// parsing is held while a configuration is parsed and put in force. Both keepers push a new configuration at about
	// the same time, and parsing is slow: the second push waits, finds the version in force and skips the parsing.
	parsing sync.Mutex
	// confirmed is the time that CertificatesConfirmedAt returns; nil if there was no confirmation.
	confirmed atomic.Pointer[time.Time]
	// confirmWake wakes confirmLoop before its interval has elapsed.
	confirmWake chan struct{}
	// seeds replace Options.Seeds unless nil.
	seeds atomic.Pointer[[]string]

	mu sync.Mutex // guards the fields below

	// Keepers.
	sources       map[*link.Conn]*source // the attached keepers
	lastSource    *source                // the last keeper with a complete list, while no attached keeper has one
	reserved      map[string]bool        // addresses that a slot is dialling or attached to
	keepers       []Node                 // from the newest update with a list of keepers
	formerKeepers []Node                 // from earlier updates only, the latest last

	// State in force.
	config            *operatorconfig.Config
	table             *snapshot.PartitionTable
	proxies           int
	endpoints         map[string][]*snapshot.Endpoint // merged, by service; shared with the newest snapshot
	endpointsComplete bool                            // whether endpoints come from a keeper with a complete list
	certificates      *certification.Set
	certificatesKnown bool
	// unreadableCertificates is the newest pushed version of certificates that this program cannot parse.
	unreadableCertificates uint64
	// unready are the endpoints that a keeper has reported as draining or removed, by ID.
	unready map[string]unreadyState
}

// New returns a Client that is not attached yet; Run attaches it.
func New(o Options) *Client {
	if o.DialAddress == nil {
		o.DialAddress = func(addr string) string { return addr }
	}
	return &Client{
		options:     o,
		parseConfig: operatorconfig.Parse,
		confirmWake: make(chan struct{}, 1),
		sources:     map[*link.Conn]*source{},
		reserved:    map[string]bool{},
		unready:     map[string]unreadyState{},
	}
}

// SetSeeds replaces the seeds, which are tried in addition to the keepers from membership and updates. Attached links
// stay attached.
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

// CallKeeper sends a call to the attached keepers in turn, until one replies without an error. It returns the last
// keeper's error, or link.ErrClosed if no keeper is attached. A keeper whose call failed may have executed it.
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

// SeedLinkAddrs returns the link addresses of keepers, given the seeds of the settings, which are control addresses,
// and the port of links. Seeds that are not host:port are skipped.
func SeedLinkAddrs(seeds []string, port int) []string {
	var addrs []string
	for _, seed := range seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			addrs = append(addrs, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return addrs
}
