package controlclient

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"dunetide/internal/platform/link"
)

const (
	// attachPause is the least mean pause between tries to attach a place, attachPauseMost the greatest.
	attachPause     = 100 * time.Millisecond
	attachPauseMost = time.Second
	// quickAttaches is the number of tries after which the pause begins to double. When all machines start at once, keepers listen some
	// tenths of a second after the others have first asked, and nobody serves until it is attached.
	quickAttaches = 5
	// movePause is the mean pause before another keeper is looked for in the place of one that has lost contact with a
	// majority; it doubles up to movePauseMost. It is drawn, so that the processes of one keeper don't move at once.
	movePause     = 300 * time.Millisecond
	movePauseMost = 2 * time.Second
	// helloWait bounds the answer of a keeper to a process that attaches.
	helloWait = time.Second
	// lookWait bounds the connection to a keeper, and its answer, where a process is attached to another one meanwhile.
	lookWait = 500 * time.Millisecond
)

// attachment is a link to a keeper that fills a place.
type attachment struct {
	addr   string
	conn   *link.Conn
	node   Node
	source *source
}

// drawn is a pause by chance, between a half of it and one and a half.
func drawn(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

// hold keeps one place of attachment filled.
func (c *Client) hold(ctx context.Context, place int) {
	tries := 0
	for ctx.Err() == nil {
		if a := c.attachAny(ctx, place); a != nil {
			c.keep(ctx, place, a)
			tries = 0
		}
		tries++
		select {
		case <-time.After(drawn(pauseAfter(tries))):
		case <-ctx.Done():
		}
	}
}

// pauseAfter returns the mean pause after so many tries in a row to attach a place.
func pauseAfter(tries int) time.Duration {
	pause := attachPause
	for range tries - quickAttaches {
		if pause *= 2; pause >= attachPauseMost {
			return attachPauseMost
		}
	}
	return pause
}

// attachAny attaches to the first candidate that takes it, in contact or not: at a start it has what there is as soon
// as there is contact. nil: there is none.
func (c *Client) attachAny(ctx context.Context, place int) *attachment {
	for _, addr := range c.candidates(place) {
		if a := c.attach(ctx, addr, false); a != nil {
			return a
		}
	}
	return nil
}

// keep holds an attachment until its link ends, and takes another in its place while its keeper has no contact.
func (c *Client) keep(ctx context.Context, place int, a *attachment) {
	defer func() { c.leave(a) }()
	pause := movePause
	for {
		var look <-chan time.Time
		if !c.inContact(a) {
			look = time.After(drawn(pause))
		}
		select {
		case <-a.conn.Done():
			return
		case <-ctx.Done():
			return
		case <-a.source.changed:
			pause = movePause
		case <-look:
			pause = min(2*pause, movePauseMost)
			if better := c.attachInContact(ctx, place, a); better != nil {
				c.o.Log.Info("moved to a keeper in contact", "from", a.node.Name, "to", better.node.Name)
				c.leave(a)
				a, pause = better, movePause
			}
		}
	}
}

// attachInContact attaches to a candidate that is in contact, unless the present keeper is in contact again. nil:
// there is none.
func (c *Client) attachInContact(ctx context.Context, place int, present *attachment) *attachment {
	for _, addr := range c.candidates(place) {
		if ctx.Err() != nil || c.inContact(present) {
			return nil
		}
		if a := c.attach(ctx, addr, true); a != nil {
			return a
		}
	}
	return nil
}

func (c *Client) inContact(a *attachment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.source.inContact
}

// leave ends an attachment.
func (c *Client) leave(a *attachment) {
	a.conn.Close()
	c.release(a.addr)
	c.o.Log.Info("keeper detached", "keeper", a.node.Name)
}

// attach attaches to a keeper; with onlyInContact, to one that is in contact. nil: it did not.
func (c *Client) attach(ctx context.Context, addr string, onlyInContact bool) *attachment {
	if !c.reserve(addr) {
		return nil // the other place has it
	}
	a := c.attachReserved(ctx, addr, onlyInContact)
	if a == nil {
		c.release(addr)
	}
	return a
}

func (c *Client) attachReserved(ctx context.Context, addr string, onlyInContact bool) *attachment {
	dialling := ctx
	if onlyInContact {
		limited, cancel := context.WithTimeout(ctx, lookWait)
		defer cancel()
		dialling = limited
	}
	conn, err := link.Dial(dialling, addr, c, link.DefaultOptions)
	if err != nil {
		return nil
	}
	a := &attachment{addr: addr, conn: conn}
	if onlyInContact && !isInContact(dialling, conn) || !c.hello(ctx, a) {
		conn.Close()
		return nil
	}
	return a
}

// isInContact asks a keeper whether it is in contact with a majority, without attaching to it.
func isInContact(ctx context.Context, conn *link.Conn) bool {
	b, err := conn.Call(ctx, KindInContact, nil)
	r := link.Reader{Buf: b}
	return r.Bool() && err == nil && r.Err == nil
}

// hello attaches over a link to a keeper.
func (c *Client) hello(ctx context.Context, a *attachment) bool {
	w := link.Writer{}
	c.o.Self.Append(&w)
	w.Bool(c.o.WantEndpoints)
	ctx, cancel := context.WithTimeout(ctx, helloWait)
	defer cancel()
	b, err := a.conn.Call(ctx, KindHello, w.Buf)
	r := link.Reader{Buf: b}
	a.node = ReadNode(&r)
	r.Bool() // whether it has a disk
	inContact := r.Bool()
	if err != nil || r.Err != nil || a.node.Role != RoleKeeper || !c.adopt(a.conn, a.node, inContact) {
		return false
	}
	a.source = sourceOf(a.conn, inContact)
	return true
}

func (c *Client) reserve(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.trying[addr] {
		return false
	}
	c.trying[addr] = true
	return true
}

func (c *Client) release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.trying, addr)
}

// candidates are keepers to try, the own zone's first for the first place and another's for the second. Those that were
// told of before, and are not any more, come last.
func (c *Client) candidates(place int) []string {
	c.mu.Lock()
	nodes := slices.Clone(c.keepers)
	former := slices.Clone(c.former)
	taken := maps.Clone(c.trying)
	for _, s := range c.sources {
		taken[s.node.Addr] = true
	}
	c.mu.Unlock()
	if c.o.KnownKeepers != nil {
		nodes = append(nodes, c.o.KnownKeepers()...)
	}
	for _, s := range c.currentSeeds() {
		nodes = append(nodes, Node{Addr: s})
	}
	return append(c.ordered(nodes, place, taken), c.ordered(former, place, taken)...)
}

// ordered draws an order of addresses that are not taken, and takes them.
func (c *Client) ordered(nodes []Node, place int, taken map[string]bool) []string {
	zones := map[string]string{}
	var addrs []string
	for _, n := range nodes {
		if !taken[n.Addr] {
			taken[n.Addr] = true
			zones[n.Addr] = n.Zone
			addrs = append(addrs, n.Addr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	sort.SliceStable(addrs, func(i, j int) bool {
		a, b := zones[addrs[i]] == c.o.Self.Zone, zones[addrs[j]] == c.o.Self.Zone
		return a != b && a == (place == 0)
	})
	return addrs
}

func (c *Client) adopt(conn *link.Conn, node Node, inContact bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-conn.Done(): // Closed has been, or will find nothing
		return false
	default:
	}
	for _, s := range c.sources {
		if s.node.Name == node.Name {
			return false
		}
	}
	s := sourceOf(conn, inContact)
	s.node = node
	c.sources[conn] = s
	c.rebuild(true)
	c.ask()
	c.o.Log.Info("keeper attached", "keeper", node.Name, "in_contact", s.inContact)
	return true
}
