// Package keeper is the role that keeps control state: the agreed registers, the list of endpoints,
// who is attached, and the pushes to them. docs/system.md says what it promises.
//
// One goroutine owns all of it but the registers, which have one of their own, as disks may be slow.
// Both work through a queue of commands.
package keeper

import (
	"context"
	"math/rand/v2"
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
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/descriptors"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/telemetry"
)

const (
	// queueMost bounds the commands that wait for the owner.
	queueMost = 4096
	// tickEvery is the owner's pace for what is not urgent.
	tickEvery = 200 * time.Millisecond
	// drainMost bounds the commands that are run in a row.
	drainMost = 256
	// pushWait is how long an acknowledgement waits for those it concerns.
	pushWait = 250 * time.Millisecond
	// stallWait is how long the end of a keeper waits for its disk.
	stallWait = 2 * time.Second
)

// Options of a keeper.
type Options struct {
	Settings *settings.Settings
	Folder   journal.Folder // nil: no disk, and no vote
	Known    func() []controlclient.Node
	Log      hclog.Logger
	PushWait time.Duration // how long an acknowledgement waits for those it concerns; 0: pushWait
	// DialAddress tells where another keeper's link address is dialled; nil: there. Tests put relays between keepers by it.
	DialAddress func(addr string) string
}

// Keeper is one process of the role.
type Keeper struct {
	o     Options
	log   hclog.Logger
	self  controlclient.Node
	life  time.Time
	agree *agreement

	commands chan func()
	ended    chan struct{}
	serving  context.Context    // ends when the keeper does
	halt     context.CancelFunc // ends it without handing over

	// Owned by the loop.
	table    *registry.Table
	attached map[*link.Conn]*attachedProcess
	peers    map[string]*peer // by name
	conns    map[*link.Conn]*peerLink
	config   *document // newest decided that is known
	// certificates are the newest decided that are known; version 0: none were ever put.
	certificates *document
	// decidedConfig and decidedCertificates are the newest decided states that were taken in.
	decidedConfig, decidedCertificates decidedVersion
	// certificateReads are for those who ask whether theirs are the newest.
	certificateReads *quorum.Barrier[*link.Message]
	contact          *quorum.Gate[*link.Conn]
	contactTimer     *time.Timer
	hadContact       bool // as the others were told last
	parts            *snapshot.Table
	senders          int
	dirty            bool
	lease            *singleton.Grants
	assigner         assigner
	voterDuty        voterDuty
	leaving          bool                       // it was told to end, and hands over
	reportSent       controlclient.KeeperReport // the newest
	sentHeartbeat    time.Time
	dialling         map[string]bool
	wanted           map[string]time.Time // addresses of keepers' links: when each may be dialled again
	waiting          []*waiter
	keepersChange    uint64 // counts changes of the keepers that are connected
	pushedListening  bool   // whether the list may be believed, as the attached were told last
	pushedChange     uint64 // the list's newest change, as they were told last
	sums             digests
	troubles         troubleTable

	linked       atomic.Pointer[links]    // for other goroutines
	seeds        atomic.Pointer[[]string] // control addresses that are dialled; those of the first voters stay those of the start
	contactUntil atomic.Int64             // for other goroutines: the end of contact, as a time of this life

	callEvents *telemetry.Log // answers that somebody may ask about

	largeBodies chan struct{} // holds one for each large body that is in hand

	mu     sync.Mutex
	posts  []func() // from the registers' goroutine, which never waits for the owner
	posted chan struct{}
}

// New returns a keeper that is not running yet.
func New(o Options) (*Keeper, error) {
	s := o.Settings
	now := time.Now()
	k := &Keeper{o: o, log: o.Log, life: now, commands: make(chan func(), queueMost), ended: make(chan struct{}),
		posted: make(chan struct{}, 1), largeBodies: make(chan struct{}, largeMost), attached: map[*link.Conn]*attachedProcess{}, peers: map[string]*peer{}, conns: map[*link.Conn]*peerLink{},
		config: &document{}, certificates: &document{}, certificateReads: quorum.NewBarrier[*link.Message](confirmEvery),
		contact: quorum.NewGate[*link.Conn](), contactTimer: time.NewTimer(0), dialling: map[string]bool{}, wanted: map[string]time.Time{},
		troubles: troubleTable{}}
	k.callEvents = telemetry.NewLog(o.Log)
	if k.o.PushWait <= 0 {
		k.o.PushWait = pushWait
	}
	k.serving, k.halt = context.WithCancel(context.Background())
	if k.o.DialAddress == nil {
		k.o.DialAddress = func(addr string) string { return addr }
	}
	k.linked.Store(&links{})
	k.SetSeeds(s.Seeds)
	k.table = registry.New(0, registry.Options{BeatEvery: time.Duration(s.BeatEveryMs) * time.Millisecond})
	k.lease = singleton.NewGrants(0)
	k.assigner.lease = singleton.NewCandidate(rand.Float64)
	k.voterDuty = newVoterDuty()
	a, err := openAgreement(k)
	if err != nil {
		return nil, err
	}
	k.agree = a
	k.self = controlclient.Node{Name: s.NodeName, Role: controlclient.RoleKeeper, Zone: s.Zone, Addr: linkAddr(s), Control: s.Control,
		ID: a.id, Life: uint64(now.UnixNano())}
	return k, nil
}

// SetSeeds replaces the control addresses of keepers that are dialled until others are known. The voters of the very
// first start stay those that the settings named then: all processes must mean the same ones.
func (k *Keeper) SetSeeds(addrs []string) { k.seeds.Store(&addrs) }

// linkAddr is where a keeper's links are served.
func linkAddr(s *settings.Settings) string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.InternalFirst))
}

// Run serves until the context ends, and then until its votes are handed over.
func (k *Keeper) Run(ctx context.Context) error {
	links, err := net.Listen("tcp4", linkAddr(k.o.Settings))
	if err != nil {
		return err
	}
	defer links.Close()
	calls, err := descriptors.NewBudget(k.o.Settings.Limits.OpenFiles).Listen(k.o.Settings.Control)
	if err != nil {
		return err
	}
	server := k.server()
	defer server.Close()
	defer k.halt()
	defer context.AfterFunc(ctx, func() { defer k.halt(); k.shutdown() })()
	var wg sync.WaitGroup
	wg.Add(3)
	go func() { defer wg.Done(); _ = link.Serve(links, k, link.DefaultOptions) }()
	go func() { defer wg.Done(); _ = server.Serve(calls) }()
	go func() { defer wg.Done(); defer k.halt(); k.agree.run(k.serving) }()
	k.agree.bootstrapFromSeeds() // a single keeper is connected to nobody
	k.loop(k.serving)
	k.contactTimer.Stop()
	close(k.ended)
	_ = links.Close()
	for c := range k.attached {
		c.Close()
	}
	for c := range k.conns {
		c.Close()
	}
	// All calls end, as ended is closed, but some may never have come whole.
	sctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	_ = server.Shutdown(sctx)
	_ = server.Close()
	return k.awaitEnd(&wg)
}

// awaitEnd waits for the goroutines, but no longer than stallWait for one that is stuck in a write: what was saved decides
// when the process starts again.
func (k *Keeper) awaitEnd(wg *sync.WaitGroup) error {
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	select {
	case <-ended:
		return k.agree.failed
	case <-time.After(stallWait):
		k.log.Error("the disk does not answer: ending without it", "file", logName)
		return nil
	}
}

func (k *Keeper) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case f := <-k.commands:
			f()
			drain(k.commands)
		case <-k.posted:
			k.mu.Lock()
			posts := k.posts
			k.posts = nil
			k.mu.Unlock()
			for _, f := range posts {
				f()
			}
		case <-tick.C:
			k.tick(time.Now())
		case <-k.contactTimer.C:
		case <-ctx.Done():
			return
		}
		k.stepContact()
		if k.dirty {
			k.pushAll()
		}
	}
}

// drain runs what waits in a queue, but no more than leaves time for the rest.
func drain(commands <-chan func()) {
	for range drainMost {
		select {
		case f := <-commands:
			f()
		default:
			return
		}
	}
}

// post queues a command for the owner and never waits. It is for the registers' goroutine: the owner may wait for
// that one, so that one must not wait for the owner.
func (k *Keeper) post(f func()) {
	k.mu.Lock()
	k.posts = append(k.posts, f)
	k.mu.Unlock()
	select {
	case k.posted <- struct{}{}:
	default:
	}
}

// do queues a command for the owner.
func (k *Keeper) do(f func()) {
	select {
	case k.commands <- f:
	case <-k.ended:
	}
}

// ask queues a command and waits for its result; not ok: the keeper has ended.
func ask[T any](k *Keeper, f func() T) (v T, ok bool) {
	done := make(chan T, 1)
	k.do(func() { done <- f() })
	select {
	case v = <-done:
		return v, true
	case <-k.ended:
		return v, false
	}
}

func (k *Keeper) tick(now time.Time) {
	k.dialKeepers(now)
	if gone := k.table.Expire(k.since(now)); len(gone) > 0 {
		for _, e := range gone {
			k.log.Info("endpoint silent", "id", e.ID, "service", e.Service, "address", e.Address)
		}
		k.dirty = true
	}
	if now.Sub(k.sentHeartbeat) >= time.Duration(k.o.Settings.BeatEveryMs)*time.Millisecond/2 {
		k.sentHeartbeat = now
		k.sendHeard(now)
	}
	k.wakeWaiters(now)
	k.setFigures(now)
	k.assign(now)
	k.changeVoters(now)
	if k.table.Listening(k.since(now)) != k.pushedListening || k.table.Newest() != k.pushedChange {
		k.dirty = true
	}
}

// since is the time on the steady clock of this life, as the list of endpoints counts it.
func (k *Keeper) since(now time.Time) time.Duration { return now.Sub(k.life) }

// Message dispatches what comes over links.
func (k *Keeper) Message(m *link.Message) {
	switch m.Kind {
	case controlclient.Agree:
		k.agree.receive(m.Body)
	case controlclient.Learn:
		k.agree.learn(m.Body)
	default:
		k.do(func() { k.message(m) })
	}
}

func (k *Keeper) message(m *link.Message) {
	now := time.Now()
	switch m.Kind {
	case controlclient.Hello:
		k.hello(m)
	case controlclient.Ack:
		if p := k.attached[m.Conn]; p != nil {
			r := link.Reader{B: m.Body}
			if p.ack(r.U64()) {
				k.dirty = true
			}
			k.wakeWaiters(now)
		}
	case controlclient.Entries:
		k.entries(now, m)
	case controlclient.Heard:
		k.receiveHeard(now, m)
	case controlclient.Attached:
		r := link.Reader{B: m.Body}
		nodes := controlclient.ReadNodes(&r)
		if r.Err != nil {
			return
		}
		if l := k.conns[m.Conn]; l != nil {
			l.peer.attached = nodes
			k.recount()
			return
		}
		m.Conn.Tag.Store(nodes) // until it is known whose word it is
	case controlclient.Confirm:
		k.certificateReads.Add(m)
		k.confirmCertificates()
	case controlclient.InContact:
		m.Reply(k.contactBody())
	case controlclient.InForce:
		k.inForceAsked(m)
	case controlclient.Report:
		k.reported(m)
	case controlclient.Lease:
		k.leaseAsked(now, m)
	case controlclient.Missing:
		k.sendEntries(m.Conn, k.table.Entries(k.since(now), -1), nil)
	case controlclient.Joined:
		k.joined(m)
	case controlclient.Stopping:
		k.stopping(m)
	case controlclient.ProcessTrouble:
		k.troubleReported(now, m)
	case controlclient.Status:
		m.Reply(k.statusJSON())
	default:
		m.Fail("no such call here: both sides must run the same version")
	}
}

// Closed forgets a connection.
func (k *Keeper) Closed(c *link.Conn) {
	k.do(func() {
		if p := k.attached[c]; p != nil {
			k.detach(c)
			k.log.Info("detached", "node", p.node.Name, "role", p.node.Role)
			k.recount()
			k.tellAttached()
			k.wakeWaiters(time.Now())
		}
		k.dropLink(c)
	})
}

func (k *Keeper) server() *http.Server {
	return &http.Server{Handler: k.handler(), ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 30 * time.Second, WriteTimeout: time.Minute, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 32 << 10}
}
