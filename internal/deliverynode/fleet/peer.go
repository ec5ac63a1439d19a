package fleet

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotSent reports that a request has not left this node, so it has had no effect.
	ErrNotSent = errors.New("not sent")
	// ErrOutcomeUnknown reports that a request may have arrived, but its answer is no longer accepted.
	ErrOutcomeUnknown = errors.New("may have arrived")
	// ErrQueueFull reports that the member's queue is full. The message was not queued.
	ErrQueueFull = errors.New("too much waits for this member")
	// ErrUnknown reports that the fleet has no such member now.
	ErrUnknown = errors.New("no such member")
)

// AnswerError is an error that a member returned as its answer.
type AnswerError string

// Error returns the text of the member's error.
func (e AnswerError) Error() string { return "answered: " + string(e) }

const (
	// maxQueuedBytes bounds the queue for one member, in bytes; each message counts itemOverhead more.
	maxQueuedBytes = 1 << 20
	itemOverhead   = 64
	// maxOutstanding bounds the requests to one member without an answer.
	maxOutstanding = 1024
	// ackTimeout bounds the wait for the acknowledgement of an update. After that the link counts as
	// broken: a path that silently drops bytes is not detected otherwise.
	ackTimeout = 2 * time.Second
)

// The types of frames.
const (
	frameHello = iota + 1
	frameWelcome
	frameUpdate
	frameAck
	frameRequest
	frameAnswer
)

// frame is a message on a link.
type frame struct {
	Type      uint8         `cbor:"1,keyasint"`
	ID        uint64        `cbor:"2,keyasint,omitempty"` // of a request; of an update, its number on this link
	Kind      string        `cbor:"3,keyasint,omitempty"`
	Key       string        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint,omitempty"` // of an update, when written; of a request, the time left
	Body      []byte        `cbor:"6,keyasint,omitempty"`
	ErrorText string        `cbor:"7,keyasint,omitempty"` // the text of an error answer
}

// pending is an update for a member, until the member has acknowledged it.
type pending struct {
	kind, key string
	body      []byte
	createdAt time.Duration
	sent      uint64 // its number on this link; 0: not written on this link
}

func (n *pending) cost() int { return len(n.kind) + len(n.key) + len(n.body) + itemOverhead }

type request struct {
	id       uint64
	kind     string
	body     []byte
	deadline time.Duration
	sent     bool
	onDone   func(body []byte, err error) // called once, without any lock of the peer held
}

// peer holds the messages queued or in flight to one other member. It is a pure state machine,
// driven by events with their times. The caller runs the callbacks that it returns, without a lock held.
type peer struct {
	pending      map[string]*pending
	order        []string // keys of pending, oldest first
	requests     []*request
	requestsByID map[uint64]*request // all of requests, by ID
	bytes        int
	lastID       uint64
	up           bool
	lastUpdateID uint64        // number of the last update on this link
	acked        uint64        // the other side has acknowledged all up to this number
	ackDeadline  time.Duration // deadline of the next acknowledgement; 0: none is due
	// Dropped counts the messages rejected because the queue was full.
	Dropped int
}

func newPeer() *peer {
	return &peer{pending: map[string]*pending{}, requestsByID: map[uint64]*request{}}
}

// callback passes the outcome of a request to its sender.
type callback func()

func (q *request) completion(body []byte, err error) callback { return func() { q.onDone(body, err) } }

// enqueue queues an update. It replaces an older one of the same kind and key.
func (p *peer) enqueue(kind, key string, body []byte, createdAt time.Duration) error {
	n := &pending{kind: kind, key: key, body: body, createdAt: createdAt}
	k := kind + "\x00" + key
	old := p.pending[k]
	free := 0
	if old != nil {
		free = old.cost()
	}
	if p.bytes-free+n.cost() > maxQueuedBytes {
		p.Dropped++
		return ErrQueueFull
	}
	p.bytes += n.cost() - free
	if old == nil {
		p.order = append(p.order, k)
	}
	p.pending[k] = n
	return nil
}

// enqueueRequest queues a request until it is answered or its deadline passes.
func (p *peer) enqueueRequest(q *request) error {
	cost := len(q.body) + len(q.kind) + itemOverhead
	if p.bytes+cost > maxQueuedBytes || len(p.requests) >= maxOutstanding {
		p.Dropped++
		return ErrQueueFull
	}
	p.bytes += cost
	p.lastID++
	q.id = p.lastID
	p.requests = append(p.requests, q)
	p.requestsByID[q.id] = q
	return nil
}

// hasUnsent reports whether there is anything to write.
func (p *peer) hasUnsent() bool {
	for _, q := range p.requests {
		if !q.sent {
			return true
		}
	}
	for _, n := range p.pending {
		if n.sent == 0 {
			return true
		}
	}
	return false
}

// nextFrame returns the next frame to write, and counts it as sent.
func (p *peer) nextFrame(now time.Duration) (frame, bool) {
	if !p.up {
		return frame{}, false
	}
	for _, q := range p.requests {
		if !q.sent && q.deadline > now {
			q.sent = true
			return frame{Type: frameRequest, ID: q.id, Kind: q.kind, Body: q.body, Age: q.deadline - now}, true
		}
	}
	for _, k := range p.order {
		if n := p.pending[k]; n.sent == 0 {
			p.lastUpdateID++
			n.sent = p.lastUpdateID
			if p.ackDeadline == 0 {
				p.ackDeadline = now + ackTimeout
			}
			return frame{Type: frameUpdate, ID: n.sent, Kind: n.kind, Key: n.key, Body: n.body, Age: max(0, now-n.createdAt)}, true
		}
	}
	return frame{}, false
}

// connected records a new link.
func (p *peer) connected() { p.up, p.lastUpdateID, p.acked, p.ackDeadline = true, 0, 0, 0 }

// disconnected records that the link is gone. Updates without an acknowledgement are sent again;
// requests that were written never are.
func (p *peer) disconnected() (ends []callback) {
	p.up, p.ackDeadline = false, 0
	for _, n := range p.pending {
		n.sent = 0
	}
	p.removeRequests(func(q *request) bool {
		if q.sent {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: the link broke", ErrOutcomeUnknown)))
		}
		return q.sent
	})
	return ends
}

// handleFrame processes an acknowledgement or an answer.
func (p *peer) handleFrame(f frame, now time.Duration) (ends []callback) {
	switch f.Type {
	case frameAck:
		p.ack(f.ID, now)
	case frameAnswer:
		q := p.requestsByID[f.ID]
		if q == nil || !q.sent {
			return nil // it has timed out, or was never sent
		}
		var err error
		if f.ErrorText != "" {
			err = AnswerError(f.ErrorText)
		}
		p.removeRequests(func(other *request) bool { return other == q })
		ends = append(ends, q.completion(f.Body, err))
	}
	return ends
}

// ack removes the acknowledged updates, except those replaced by a newer one of the same key.
func (p *peer) ack(upTo uint64, now time.Duration) {
	if upTo <= p.acked || upTo > p.lastUpdateID {
		return
	}
	p.acked, p.ackDeadline = upTo, 0
	var left []string
	for _, k := range p.order {
		n := p.pending[k]
		switch {
		case n.sent != 0 && n.sent <= upTo:
			p.bytes -= n.cost()
			delete(p.pending, k)
			continue
		case n.sent != 0:
			p.ackDeadline = now + ackTimeout
		}
		left = append(left, k)
	}
	p.order = left
}

// tick ends the requests whose deadline has passed; stuck reports that the link has to be closed.
func (p *peer) tick(now time.Duration) (ends []callback, stuck bool) {
	p.removeRequests(func(q *request) bool {
		if q.deadline > now {
			return false
		}
		if q.sent {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: no answer in time", ErrOutcomeUnknown)))
		} else {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: no link in time", ErrNotSent)))
		}
		return true
	})
	return ends, p.up && p.ackDeadline > 0 && now >= p.ackDeadline
}

// cancelRequest removes a request whose sender no longer waits.
func (p *peer) cancelRequest(id uint64) (completion callback) {
	p.removeRequests(func(q *request) bool {
		if q.id != id {
			return false
		}
		err := ErrNotSent
		if q.sent {
			err = ErrOutcomeUnknown
		}
		completion = q.completion(nil, fmt.Errorf("%w: its asker has gone", err))
		return true
	})
	return completion
}

// closeAll ends all messages: the member is gone, or this node stops.
func (p *peer) closeAll() (ends []callback) {
	ends = p.disconnected()
	p.removeRequests(func(q *request) bool {
		ends = append(ends, q.completion(nil, fmt.Errorf("%w: the member is gone", ErrNotSent)))
		return true
	})
	p.pending, p.order, p.bytes = map[string]*pending{}, nil, 0
	return ends
}

func (p *peer) removeRequests(which func(*request) bool) {
	var left []*request
	for _, q := range p.requests {
		if which(q) {
			p.bytes -= len(q.body) + len(q.kind) + itemOverhead
			delete(p.requestsByID, q.id)
		} else {
			left = append(left, q)
		}
	}
	p.requests = left
}

// nextDeadline returns when tick next has something to do.
func (p *peer) nextDeadline() (at time.Duration, ok bool) {
	for _, q := range p.requests {
		if !ok || q.deadline < at {
			at, ok = q.deadline, true
		}
	}
	if p.up && p.ackDeadline > 0 && (!ok || p.ackDeadline < at) {
		at, ok = p.ackDeadline, true
	}
	return at, ok
}
