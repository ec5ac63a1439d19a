package membership

import (
	"errors"
	"slices"
	"time"
)

// maxPending is the maximum number of pending requests of a Core.
const maxPending = 64

// Stats counts the datagrams of a Core since New.
type Stats struct {
	Sent, SentBytes, Received, Malformed uint64
	Unsolicited                          uint64 // responses without a pending request: never requested, or too late
	Unanswered                           uint64 // requests to neighbours without a response in time
}

// pendingRequest is a request that awaits its response.
type pendingRequest struct {
	seq    uint32
	sentAt time.Duration
	to     Peer   // for a contact, only Addr is set
	sent   []Peer // the entries in the request
}

// Core is the protocol without clock, socket and goroutines: the parameter now of its methods is the reading of a
// monotonic clock. It is not safe for concurrent use.
type Core struct {
	options      Options
	self         Peer
	peers        []Peer // neighbours of any role, whose entries are exchanged
	keepers      []Peer // the reserved share, whose entries are copied; the youngest are retained
	incarnations incarnations
	contacts     []contact
	pending      []pendingRequest
	seq          uint32 // of the last request
	nextRoundAt  time.Duration
	started      bool
	joined       bool // whether any request was answered
	buffer       []byte
	stats        Stats
}

// New returns a Core with an empty view. It fails if Self is invalid or Send is missing.
func New(options Options) (*Core, error) {
	if err := options.Self.validate(); err != nil {
		return nil, err
	}
	if options.Send == nil {
		return nil, errors.New("membership: Options.Send is missing")
	}
	options.setDefaults()
	c := &Core{options: options, self: options.Self, seq: options.Rand.Uint32()}
	c.self.Age = 0
	return c, nil
}

// View returns all entries of the view, one per process.
func (c *Core) View() []Peer {
	view := slices.Clone(c.peers)
	for i := range c.keepers {
		if indexOf(view, &c.keepers[i]) < 0 {
			view = append(view, c.keepers[i])
		}
	}
	return view
}

// Keepers returns the entries of known keepers, ordered by age, the youngest first.
func (c *Core) Keepers() []Peer {
	keepers := slices.Clone(c.keepers)
	slices.SortStableFunc(keepers, func(a, b Peer) int { return int(a.Age) - int(b.Age) })
	return keepers
}

// Self returns the entry of this process. Its Incarnation is raised if another process has an entry of it with a higher
// one.
func (c *Core) Self() Peer { return c.self }

// Stats returns the counts since New.
func (c *Core) Stats() Stats { return c.stats }

// Joined reports whether any request was ever answered.
func (c *Core) Joined() bool { return c.joined }

// Tick starts a round and sends requests to contacts, if they are due. It returns the time by which it must be called
// again.
func (c *Core) Tick(now time.Duration) (next time.Duration) {
	if !c.started {
		c.started = true
		// A random delay keeps processes that start together from running their rounds in lockstep.
		c.nextRoundAt = now + c.jitter(c.options.RoundInterval, 2)
	}
	startsRound := now >= c.nextRoundAt
	if startsRound {
		c.shuffle(now)
		interval := c.options.RoundInterval
		c.nextRoundAt = now + interval - interval/10 + c.jitter(interval/5, 1)
	}
	return min(c.nextRoundAt, c.requestContacts(now, startsRound))
}

// Receive handles a datagram from an address. A malformed datagram is counted and otherwise ignored.
func (c *Core) Receive(now time.Duration, from string, msg []byte) {
	c.stats.Received++
	received, err := decode(msg)
	if err != nil {
		c.stats.Malformed++
		return
	}
	switch received.kind {
	case kindRequest:
		c.receiveRequest(now, from, &received)
	case kindResponse:
		c.receiveResponse(now, from, &received)
	}
}

// receiveRequest sends a response and adds the entries of the request to the view.
func (c *Core) receiveRequest(now time.Duration, from string, request *message) {
	sender := &request.from
	if sender.sameProcess(&c.self) {
		c.admit(sender)
		return
	}
	count := max(c.exchangeSize(), min(c.options.ShuffleSize, len(c.peers))/2)
	peers := c.randomPeers(count, sender)
	keepers := c.randomKeepers(sender, request.needsKeepers)
	sent := c.send(from, message{kind: kindResponse, seq: request.seq}, peers, keepers)
	c.resetContact(now, from)
	c.merge(append([]Peer{*sender}, request.peers...), request.keepers, sent)
}

// receiveResponse adds the entries of a response to the view if the response belongs to a pending request.
func (c *Core) receiveResponse(now time.Duration, from string, response *message) {
	i := slices.IndexFunc(c.pending, func(request pendingRequest) bool { return request.seq == response.seq })
	if i < 0 {
		c.stats.Unsolicited++
		return
	}
	sent := c.pending[i].sent
	c.pending = slices.Delete(c.pending, i, i+1)
	c.joined = true
	c.resetContact(now, from)
	c.merge(response.peers, response.keepers, sent)
	// shuffle removed the entry of the responding process from the view; add it again if there is space.
	if c.admit(&response.from) {
		c.addKeeper(response.from)
		if len(c.peers) < c.maxPeers() && indexOf(c.peers, &response.from) < 0 {
			c.peers = append(c.peers, response.from)
		}
	}
}

// sendRequest sends a request with entries of this view. With maxPending pending requests, it drops the oldest one.
func (c *Core) sendRequest(now time.Duration, to Peer) {
	if len(c.pending) >= maxPending {
		c.pending = slices.Delete(c.pending, 0, 1)
	}
	c.seq++
	request := message{kind: kindRequest, seq: c.seq, needsKeepers: c.liveKeepers() < minKeepers}
	sent := c.send(to.Addr, request, c.randomPeers(c.exchangeSize()-1, &to), c.randomKeepers(&to, false))
	c.pending = append(c.pending, pendingRequest{seq: c.seq, sentAt: now, to: to, sent: sent})
}

// send sends a message with as many of the entries as fit, and returns the peers that were included.
func (c *Core) send(addr string, m message, peers, keepers []Peer) (sent []Peer) {
	m.from = c.self
	c.buffer, sent = m.encode(c.buffer[:0], peers, keepers)
	c.stats.Sent++
	c.stats.SentBytes += uint64(len(c.buffer))
	c.options.Send(addr, c.buffer)
	return sent
}

// expirePending drops the requests that have had no response for half a round interval.
func (c *Core) expirePending(now time.Duration) {
	c.pending = slices.DeleteFunc(c.pending, func(request pendingRequest) bool {
		if now-request.sentAt < c.options.RoundInterval/2 {
			return false
		}
		if request.to.Name != "" {
			c.stats.Unanswered++
			c.dropUnresponsive(now, &request.to)
		}
		return true
	})
}

// jitter returns a random duration below limit or least, whichever is longer.
func (c *Core) jitter(limit, least time.Duration) time.Duration {
	return time.Duration(c.options.Rand.Int64N(int64(max(limit, least, 1))))
}
