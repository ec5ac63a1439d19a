package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"dunetide/internal/platform/link"
)

// Attaching: a client has attachedKeepers slots, each of which one goroutine keeps filled with a link to a keeper.
//
//  1. fillSlot dials the candidates in turn, until one accepts the process (Hello). At this point it doesn't matter
//     whether the keeper is in contact with a majority: the client has what there is as soon as there is contact.
//  2. watchAttachment watches the link. While the keeper has no contact with a majority, it looks for one that has, and
//     attaches to that before it leaves the old one.
//  3. When the link ends, the slot is filled again, after a pause that grows with the failures in a row.
//
// An address is reserved while a slot dials it or is attached to it, so that two slots never use one keeper.
const (
	// attachPause is the least mean pause between attempts to fill a slot, maxAttachPause the greatest.
	attachPause    = 100 * time.Millisecond
	maxAttachPause = time.Second
	// quickAttaches is the number of attempts after which the pause begins to double. When all machines start at once,
	// keepers listen some tenths of a second after the others first ask, and nobody serves until it is attached.
	quickAttaches = 5
	// movePause is the mean pause before another keeper is looked for in place of one that has lost contact with a
	// majority; it doubles up to maxMovePause. It is random, so that the processes of one keeper don't move at once.
	movePause    = 300 * time.Millisecond
	maxMovePause = 2 * time.Second
	// helloTimeout limits the time that a keeper takes to answer a Hello.
	helloTimeout = time.Second
	// probeTimeout limits the time to connect to a keeper and to ask it for its contact, where the slot is attached to
	// another one meanwhile.
	probeTimeout = 500 * time.Millisecond
)

// attachment is a link to a keeper that has accepted the process.
type attachment struct {
	addr   string
	conn   *link.Conn
	node   Node
	source *source
}

// jitter returns a random duration between a half of a pause and one and a half of it.
func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }

// fillSlot keeps one slot filled until the context ends.
func (c *Client) fillSlot(ctx context.Context, slot int) {
	attempts := 0
	for ctx.Err() == nil {
		if a := c.attachAny(ctx, slot); a != nil {
			c.watchAttachment(ctx, slot, a)
			attempts = 0
		}
		attempts++
		select {
		case <-time.After(jitter(pauseAfter(attempts))):
		case <-ctx.Done():
		}
	}
}

// pauseAfter returns the mean pause after so many attempts in a row to fill a slot.
func pauseAfter(attempts int) time.Duration {
	pause := attachPause
	for range attempts - quickAttaches {
		pause *= 2
		if pause >= maxAttachPause {
			return maxAttachPause
		}
	}
	return pause
}

// attachAny attaches to the first candidate that accepts, in contact with a majority or not; nil: none does.
func (c *Client) attachAny(ctx context.Context, slot int) *attachment {
	for _, addr := range c.candidates(slot) {
		if a := c.attach(ctx, addr, false); a != nil {
			return a
		}
	}
	return nil
}

// watchAttachment returns when the link to the keeper has ended. While the keeper has no contact with a majority, it
// moves the slot to one that has, if there is any.
func (c *Client) watchAttachment(ctx context.Context, slot int, a *attachment) {
	defer func() { c.detach(a) }() // a is the newest one then
	pause := movePause
	for {
		var lookAround <-chan time.Time
		if !c.inContact(a) {
			lookAround = time.After(jitter(pause))
		}
		select {
		case <-a.conn.Done():
			return
		case <-ctx.Done():
			return
		case <-a.source.contactChanged:
			pause = movePause
		case <-lookAround:
			pause = min(2*pause, maxMovePause)
			if better := c.attachInContact(ctx, slot, a); better != nil {
				c.options.Log.Info("moved to a keeper in contact", "from", a.node.Name, "to", better.node.Name)
				c.detach(a)
				a, pause = better, movePause
			}
		}
	}
}

// attachInContact attaches to a candidate that is in contact with a majority, unless the present keeper is in contact
// again; nil: there is none.
func (c *Client) attachInContact(ctx context.Context, slot int, present *attachment) *attachment {
	for _, addr := range c.candidates(slot) {
		if ctx.Err() != nil || c.inContact(present) {
			return nil
		}
		if a := c.attach(ctx, addr, true); a != nil {
			return a
		}
	}
	return nil
}

// inContact reports whether the keeper of an attachment is in contact with a majority, as it reported last.
func (c *Client) inContact(a *attachment) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a.source.inContact
}

// detach closes the link of an attachment.
func (c *Client) detach(a *attachment) {
	a.conn.Close()
	c.release(a.addr)
	c.options.Log.Info("keeper detached", "keeper", a.node.Name)
}

// attach attaches to a keeper; with onlyInContact, only if it is in contact with a majority. It returns nil if the
// keeper can't be reached, doesn't accept, or belongs to the other slot.
func (c *Client) attach(ctx context.Context, addr string, onlyInContact bool) *attachment {
	if !c.reserve(addr) {
		return nil
	}
	a := c.attachReserved(ctx, addr, onlyInContact)
	if a == nil {
		c.release(addr)
	}
	return a
}

// attachReserved dials a keeper and sends it a Hello.
func (c *Client) attachReserved(ctx context.Context, addr string, onlyInContact bool) *attachment {
	dialCtx := ctx
	if onlyInContact {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		dialCtx = limited
	}
	conn, err := link.Dial(dialCtx, addr, c, link.DefaultOptions)
	if err != nil {
		return nil // the next candidate is tried, and this one again later
	}
	a := &attachment{addr: addr, conn: conn}
	if onlyInContact && !queryInContact(dialCtx, conn) || !c.sendHello(ctx, a) {
		conn.Close()
		return nil
	}
	return a
}

// queryInContact asks a keeper whether it is in contact with a majority, without attaching to it.
func queryInContact(ctx context.Context, conn *link.Conn) bool {
	body, err := conn.Call(ctx, KindInContact, nil)
	r := link.Reader{Buf: body}
	return r.Bool() && err == nil && r.Err == nil
}

// sendHello attaches over a link. It reports false if the keeper doesn't accept, or the client is attached to it
// already.
func (c *Client) sendHello(ctx context.Context, a *attachment) bool {
	var hello link.Writer
	c.options.Self.Append(&hello)
	hello.Bool(c.options.WantEndpoints)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	body, err := a.conn.Call(ctx, KindHello, hello.Buf)
	r := link.Reader{Buf: body}
	a.node = ReadNode(&r)
	r.Bool() // whether the keeper has a disk, which is of no use here
	inContact := r.Bool()
	if err != nil || r.Err != nil || a.node.Role != RoleKeeper || !c.adopt(a.conn, a.node, inContact) {
		return false
	}
	a.source = sourceOf(a.conn, inContact)
	return true
}

// adopt adds an accepted link to the sources of the snapshot. It reports false if the link has ended, or another one
// leads to the same keeper.
func (c *Client) adopt(conn *link.Conn, node Node, inContact bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-conn.Done(): // Closed has found nothing to remove, or will find nothing
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
	c.confirmNow()
	c.options.Log.Info("keeper attached", "keeper", node.Name, "in_contact", s.inContact)
	return true
}
