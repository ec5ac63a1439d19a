package fleet

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotSent says that nothing of a question has left this node: it has no effect there.
	ErrNotSent = errors.New("not sent")
	// ErrMaybe says that a question may have arrived, and no answer will be taken any more.
	ErrMaybe = errors.New("may have arrived")
	// ErrQueueFull says that too much waits for that member already. Nothing was kept.
	ErrQueueFull = errors.New("too much waits for this member")
	// ErrUnknown says that the fleet has no such member now.
	ErrUnknown = errors.New("no such member")
)

// AnswerError is an answer that says no.
type AnswerError string

// Error returns the text that the member answered.
func (e AnswerError) Error() string { return "answered: " + string(e) }

const (
	// maxWaiting bounds what waits for one member, in bytes; each piece counts pieceCost more.
	maxQueuedBytes = 1 << 20
	itemOverhead   = 64
	// maxOutstanding bounds the questions to one member that have no answer yet.
	maxOutstanding = 1024
	// ackTime is how long news may go without a word that they came. Then the link counts as
	// broken: on a path that swallows bytes nothing else would show it.
	ackTimeout = 2 * time.Second
)

// What frames are.
const (
	frameHello = iota + 1
	frameWelcome
	frameUpdate
	frameAck
	frameAsk
	frameAnswer
)

// frame is what goes over a link.
type frame struct {
	Type      uint8         `cbor:"1,keyasint"`
	ID        uint64        `cbor:"2,keyasint,omitempty"` // of a question; of news, counted on this link
	Kind      string        `cbor:"3,keyasint,omitempty"`
	Key       string        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint,omitempty"` // of news, when written; of a question, the time left for it
	Body      []byte        `cbor:"6,keyasint,omitempty"`
	ErrorText string        `cbor:"7,keyasint,omitempty"` // an answer that is an error
}

// news is what a member is to be told, until it has said that it has it.
type pending struct {
	kind, key string
	body      []byte
	createdAt time.Duration
	sent      uint64 // the number on this link, 0: it was not written on it
}

func (n *pending) cost() int { return len(n.kind) + len(n.key) + len(n.body) + itemOverhead }

type request struct {
	id       uint64
	kind     string
	body     []byte
	deadline time.Duration
	sent     bool
	onDone   func(body []byte, err error) // once, and not under any lock of the peer's
}

// peer is what is on its way to one other member: pure, and stepped by events with their
// times. Whoever steps it calls the functions that it returns, when no lock is held.
type peer struct {
	pending      map[string]*pending
	order        []string // keys of news, the oldest first
	requests     []*request
	requestsByID map[uint64]*request // all of asks
	bytes        int
	lastID       uint64
	up           bool
	lastUpdateID uint64        // of the last news on this link
	acked        uint64        // the other side has all up to this one
	ackDeadline  time.Duration // when the next ack is due at the latest; 0: none is
	// Dropped counts what found no room.
	Dropped int
}

func newPeer() *peer {
	return &peer{pending: map[string]*pending{}, requestsByID: map[uint64]*request{}}
}

// done is what a question's asker is to be told.
type callback func()

func (q *request) completion(body []byte, err error) callback { return func() { q.onDone(body, err) } }

// enqueue keeps news, in the place of older ones of their kind and key.
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

// ask keeps a question until it was answered or its time is up.
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

// wants tells whether there is anything to be written.
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

// next is the next frame to write. From here on it counts as sent.
func (p *peer) nextFrame(now time.Duration) (frame, bool) {
	if !p.up {
		return frame{}, false
	}
	for _, q := range p.requests {
		if !q.sent && q.deadline > now {
			q.sent = true
			return frame{Type: frameAsk, ID: q.id, Kind: q.kind, Body: q.body, Age: q.deadline - now}, true
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

// connected tells that there is a new link.
func (p *peer) connected() { p.up, p.lastUpdateID, p.acked, p.ackDeadline = true, 0, 0, 0 }

// broken tells that there is none any more. News that were not acknowledged go again;
// questions that were written never do.
func (p *peer) disconnected() (ends []callback) {
	p.up, p.ackDeadline = false, 0
	for _, n := range p.pending {
		n.sent = 0
	}
	p.removeRequests(func(q *request) bool {
		if q.sent {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: the link broke", ErrMaybe)))
		}
		return q.sent
	})
	return ends
}

// got takes in an acknowledgement or an answer.
func (p *peer) handleFrame(f frame, now time.Duration) (ends []callback) {
	switch f.Type {
	case frameAck:
		p.ack(f.ID, now)
	case frameAnswer:
		q := p.requestsByID[f.ID]
		if q == nil || !q.sent {
			return nil // its time is up, or nobody asked
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

// ack takes out what the other side has, but for what is newer under the same key.
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

// tick ends the questions whose time is up; stuck tells that the link has to be given up.
func (p *peer) tick(now time.Duration) (ends []callback, stuck bool) {
	p.removeRequests(func(q *request) bool {
		if q.deadline > now {
			return false
		}
		if q.sent {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: no answer in time", ErrMaybe)))
		} else {
			ends = append(ends, q.completion(nil, fmt.Errorf("%w: no link in time", ErrNotSent)))
		}
		return true
	})
	return ends, p.up && p.ackDeadline > 0 && now >= p.ackDeadline
}

// withdraw takes out a question whose asker no longer waits.
func (p *peer) cancelRequest(id uint64) (completion callback) {
	p.removeRequests(func(q *request) bool {
		if q.id != id {
			return false
		}
		err := ErrNotSent
		if q.sent {
			err = ErrMaybe
		}
		completion = q.completion(nil, fmt.Errorf("%w: its asker has gone", err))
		return true
	})
	return completion
}

// closed ends all: the member is gone, or this node stops.
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

// next due: when tick has something to do.
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
