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
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// held is to how many keepers a process is attached.
	held = 2
	// saidFor is how long a drain or an end is remembered, whoever said it.
	saidFor = 2 * time.Minute
	// saidMost bounds what is remembered of drains and ends.
	saidMost = 8192
	// formerMost bounds the keepers that are remembered beside those that were told of last.
	formerMost = 64
)

// ClientOptions of a process that is attached to keepers.
type Options struct {
	Self          Node
	Seeds         []string      // addresses of keepers' links
	KnownKeepers  func() []Node // keepers that membership knows of
	WantEndpoints bool          // whether it wants the list of endpoints
	Snapshots     *snapshot.Latest
	OnSnapshot    func(*snapshot.Snapshot) // after each new snapshot, one call at a time; it must not call the Client
	// ConfirmEvery is how often keepers are asked whether the certificates are the newest, once there are any; 0: never.
	ConfirmInterval time.Duration
	Log             hclog.Logger
}

// Client attaches a process to keepers and holds what they push. What it knows never goes back
// within its life.
type Client struct {
	o     Options
	parse func([]byte) (*operatorconfig.Config, error)
	// reading is held while a configuration is read and taken in: both keepers push it at once, and reading it
	// takes long.
	reading sync.Mutex

	mu      sync.Mutex
	sources map[*link.Conn]*source
	trying  map[string]bool // addresses that a place is dialling or holds
	stale   *source         // of the last keeper, while there is no other
	said    map[string]saying
	keepers []Node // as a keeper told last
	former  []Node // keepers that were told of before, the latest last: the teller may be cut off from them
	config  *operatorconfig.Config
	table   *snapshot.PartitionTable
	senders int
	// merged is the list of endpoints in the newest snapshot, which shares it, and whether it is whole.
	merged map[string][]*snapshot.Endpoint
	listed bool

	certificates      *certification.Set
	certificatesKnown bool
	unreadable        uint64        // a version that was pushed and can't be understood here
	asked             chan struct{} // wakes confirming
	confirmed         atomic.Pointer[time.Time]
	seeds             atomic.Pointer[[]string] // nil: those of the options
}

// source is one keeper's word.
type source struct {
	node      Node
	inContact bool          // the keeper is in contact with a majority, as it said last
	changed   chan struct{} // wakes the place that holds it after a change of that
	listed    bool
	whole     bool
	entries   map[string]registry.Entry
}

type saying struct {
	state snapshot.State
	at    time.Time
}

// NewClient returns a client that is not attached yet; Run attaches it.
func New(o Options) *Client {
	return &Client{o: o, parse: operatorconfig.Parse, sources: map[*link.Conn]*source{}, trying: map[string]bool{}, said: map[string]saying{}, asked: make(chan struct{}, 1)}
}

// SetSeeds replaces the addresses of keepers' links that are tried where membership knows of too few. What is attached
// stays attached.
func (c *Client) SetSeeds(addrs []string) { c.seeds.Store(&addrs) }

func (c *Client) currentSeeds() []string {
	if seeds := c.seeds.Load(); seeds != nil {
		return *seeds
	}
	return c.o.Seeds
}

// Run keeps the process attached until the context ends.
func (c *Client) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range held {
		wg.Add(1)
		go func() { defer wg.Done(); c.hold(ctx, i) }()
	}
	if c.o.ConfirmInterval > 0 {
		wg.Add(1)
		go func() { defer wg.Done(); c.confirm(ctx) }()
	}
	wg.Wait()
}

// Keepers tells the attached keepers' links.
func (c *Client) KeeperConns() []*link.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conns []*link.Conn
	for conn := range c.sources {
		conns = append(conns, conn)
	}
	return conns
}

// sourceOf is the word of the keeper at the other end of a link; the first push may come before the reply to Hello.
func sourceOf(conn *link.Conn, inContact bool) *source {
	s, _ := conn.Tag.Load().(*source)
	if s == nil {
		s = &source{entries: map[string]registry.Entry{}, inContact: inContact, changed: make(chan struct{}, 1)}
		conn.Tag.Store(s)
	}
	return s
}

func (s *source) setContact(inContact bool) {
	if s.inContact == inContact {
		return
	}
	s.inContact = inContact
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Closed forgets a keeper's word once another one's is there.
func (c *Client) Closed(conn *link.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sources[conn]
	if s == nil {
		return
	}
	delete(c.sources, conn)
	if s.whole && s.listed {
		c.stale = s
	}
	// The newest of what an endpoint said of itself stays, so that it doesn't go back to what the others had.
	for _, other := range c.sources {
		for id, e := range other.entries {
			if known, there := s.entries[id]; there && known.CallCount > e.CallCount {
				other.entries[id] = known
			}
		}
	}
	c.rebuild(true)
}

// Message takes a push in and acknowledges it once it is in force.
func (c *Client) Message(m *link.Message) {
	if m.Kind != KindUpdate {
		m.Fail("no such call here: both sides must run the same version")
		return
	}
	u, err := ReadUpdate(m.Body)
	if err != nil {
		c.o.Log.Error("push unreadable", "err", err)
		m.Conn.Close()
		return
	}
	var config *operatorconfig.Config
	if u.Config != nil {
		c.reading.Lock()
		defer c.reading.Unlock()
		if c.version() < u.ConfigVersion {
			if config, err = c.parse(u.Config); err != nil {
				c.o.Log.Error("configuration unreadable", "version", u.ConfigVersion, "err", err)
			}
		}
	}
	var certificates *certification.Set
	if u.Certificates != nil {
		if certificates, err = certification.Parse(u.Certificates); err != nil {
			c.o.Log.Error("certificates unreadable", "version", u.CertificatesVersion, "err", err)
			if !c.closeGate(u.CertificatesVersion) { // then nobody here knows what is regulated
				m.Conn.Close()
				return
			}
		}
	}
	c.mu.Lock()
	s := sourceOf(m.Conn, u.InContact)
	s.setContact(u.InContact)
	endpoints := c.take(s, u, config)
	c.certificatesKnown = c.certificatesKnown || u.InContact
	if certificates != nil && (c.certificates == nil || certificates.Version > c.certificates.Version) {
		c.certificates = certificates
		c.o.Log.Info("certificates in force", "version", certificates.Version, "certificates", len(certificates.Certificates), "regulated_routes", len(certificates.Routes))
	}
	c.rebuild(endpoints)
	c.mu.Unlock()
	if certificates != nil {
		c.ask()
	}
	w := link.Writer{}
	w.U64(u.Sequence)
	_ = m.Conn.Send(KindAck, w.Buf)
}

func (c *Client) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// Report sends a call to an attached keeper, one after the other until one takes it.
func (c *Client) CallKeeper(ctx context.Context, kind link.Kind, body []byte) error {
	err := error(link.ErrClosed)
	for _, conn := range c.KeeperConns() {
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		_, err = conn.Call(cctx, kind, body)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// SeedLinks turns the seeds of the settings (control addresses) into addresses of keepers' links.
func SeedLinkAddrs(seeds []string, port int) []string {
	var out []string
	for _, s := range seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(port)))
		}
	}
	return out
}
