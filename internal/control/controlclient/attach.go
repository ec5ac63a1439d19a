package controlclient

import (
	"context"
	"math/rand/v2"
	"time"

	"dunetide/internal/platform/link"
)

// Attaching: a client has attachedKeepers slots. One goroutine per slot keeps it filled with a link to a keeper.
//
//  1. fillSlot dials the candidates in turn, until one accepts the process (Hello). The keeper need not be in contact
//     with a majority at this point: it sends the state as soon as it regains contact.
//  2. watchAttachment watches the link. While the keeper has no contact with a majority, it searches for one that has,
//     and attaches to that keeper before it closes the old link.
//  3. When the link ends, the slot is filled again, after a pause that grows with the number of consecutive failures.
//
// An address is reserved while a slot is dialling or attached to it, so that two slots never use the same keeper.
const (
	// attachPause is the initial mean pause between attempts to fill a slot, maxAttachPause its limit.
	attachPause    = 100 * time.Millisecond
	maxAttachPause = time.Second
	// quickAttaches is the number of attempts after which the pause begins to double. When all machines start at once,
	// keepers begin to listen some tenths of a second after the first attempts of the other processes, which can't serve
	// until they are attached.
	quickAttaches = 5
	// movePause is the mean pause before a search for a replacement of a keeper that has lost contact with a majority; it
	// doubles up to maxMovePause. It is jittered, so that the processes attached to one keeper don't move simultaneously.
	movePause    = 300 * time.Millisecond
	maxMovePause = 2 * time.Second
	// helloTimeout is the time in which a keeper must reply to a Hello.
	helloTimeout = time.Second
	// probeTimeout is the time in which a keeper must accept a connection and report whether it is in contact, if the slot
	// is attached to another keeper meanwhile.
	probeTimeout = 500 * time.Millisecond
)

// attachment is a link to a keeper that has accepted the process.
type attachment struct {
	addr   string
	conn   *link.Conn
	node   Node
	source *source
}

// jitter returns a random duration between 0.5 and 1.5 times a pause.
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

// pauseAfter returns the mean pause after a number of consecutive attempts to fill a slot.
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

// attachAny attaches to the first candidate that accepts, in contact with a majority or not. It returns nil if none
// does.
func (c *Client) attachAny(ctx context.Context, slot int) *attachment {
	for _, addr := range c.candidates(slot) {
		if a := c.attach(ctx, addr, false); a != nil {
			return a
		}
	}
	return nil
}

// watchAttachment returns when the link to the keeper has ended. While the keeper has no contact with a majority, it
// tries to move the slot to one that has.
func (c *Client) watchAttachment(ctx context.Context, slot int, a *attachment) {
	defer func() { c.detach(a) }() // evaluates a on return: a move replaces it
	pause := movePause
	for {
		var searchDue <-chan time.Time
		if !c.inContact(a) {
			searchDue = time.After(jitter(pause))
		}
		select {
		case <-a.conn.Done():
			return
		case <-ctx.Done():
			return
		case <-a.source.contactChanged:
			pause = movePause
		case <-searchDue:
			pause = min(2*pause, maxMovePause)
			if better := c.attachInContact(ctx, slot, a); better != nil {
				c.options.Log.Info("moved to a keeper in contact with a majority", "from", a.node.Name, "to", better.node.Name)
				c.detach(a)
				a, pause = better, movePause
			}
		}
	}
}

// attachInContact attaches to a candidate that is in contact with a majority. It returns nil if there is none, or if
// the current keeper is in contact again.
func (c *Client) attachInContact(ctx context.Context, slot int, current *attachment) *attachment {
	for _, addr := range c.candidates(slot) {
		if ctx.Err() != nil || c.inContact(current) {
			return nil
		}
		if a := c.attach(ctx, addr, true); a != nil {
			return a
		}
	}
	return nil
}

// inContact reports whether the keeper of an attachment last reported to be in contact with a majority.
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
// keeper can't be reached, refuses the process, or is in use by the other slot.
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
	conn, err := link.Dial(dialCtx, c.options.DialAddress(addr), c, link.DefaultOptions)
	if err != nil {
		return nil // the caller tries the next candidate
	}
	a := &attachment{addr: addr, conn: conn}
	if onlyInContact && !queryInContact(dialCtx, conn) || !c.sendHello(ctx, a) {
		conn.Close()
		return nil
	}
	return a
}

// queryInContact reports whether a keeper is in contact with a majority, without attaching to it.
func queryInContact(ctx context.Context, conn *link.Conn) bool {
	body, err := conn.Call(ctx, KindInContact, nil)
	r := link.Reader{Buf: body}
	return r.Bool() && err == nil && r.Err == nil
}

// sendHello attaches to a keeper over a link. It returns false if the keeper refuses the process or the client is
// already attached to it.
func (c *Client) sendHello(ctx context.Context, a *attachment) bool {
	var hello link.Writer
	c.options.Self.Append(&hello)
	hello.Bool(c.options.WantEndpoints)
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	body, err := a.conn.Call(ctx, KindHello, hello.Buf)
	r := link.Reader{Buf: body}
	a.node = ReadNode(&r)
	r.Bool() // whether the keeper has a disk; unused
	inContact := r.Bool()
	if err != nil || r.Err != nil || a.node.Role != RoleKeeper || !c.addSource(a.conn, a.node, inContact) {
		return false
	}
	a.source = sourceOf(a.conn, inContact)
	return true
}

// addSource adds an accepted link to the sources of the snapshot. It returns false if the link has ended, or if another
// link leads to the same keeper.
func (c *Client) addSource(conn *link.Conn, node Node, inContact bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-conn.Done(): // Closed would not remove a source that is added now
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
	c.wakeConfirmLoop()
	c.options.Log.Info("keeper attached", "keeper", node.Name, "in_contact", s.inContact)
	return true
}
