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
	maxWaiting = 1 << 20
	pieceCost  = 64
	// maxOutstanding bounds the questions to one member that have no answer yet.
	maxOutstanding = 1024
	// ackTime is how long news may go without a word that they came. Then the link counts as
	// broken: on a path that swallows bytes nothing else would show it.
	ackTime = 2 * time.Second
)

// What frames are.
const (
	frameHello = iota + 1
	frameWelcome
	frameNews
	frameAck
	frameAsk
	frameAnswer
)

// frame is what goes over a link.
type frame struct {
	Type uint8         `cbor:"1,keyasint"`
	ID   uint64        `cbor:"2,keyasint,omitempty"` // of a question; of news, counted on this link
	Kind string        `cbor:"3,keyasint,omitempty"`
	Key  string        `cbor:"4,keyasint,omitempty"`
	Age  time.Duration `cbor:"5,keyasint,omitempty"` // of news, when written; of a question, the time left for it
	Body []byte        `cbor:"6,keyasint,omitempty"`
	No   string        `cbor:"7,keyasint,omitempty"` // an answer that is an error
}

// news is what a member is to be told, until it has said that it has it.
type news struct {
	kind, key string
	body      []byte
	seen      time.Duration
	sent      uint64 // the number on this link, 0: it was not written on it
}

func (n *news) cost() int { return len(n.kind) + len(n.key) + len(n.body) + pieceCost }

type question struct {
	id       uint64
	kind     string
	body     []byte
	until    time.Duration
	sent     bool
	answered func(body []byte, err error) // once, and not under any lock of the peer's
}

// peer is what is on its way to one other member: pure, and stepped by events with their
// times. Whoever steps it calls the functions that it returns, when no lock is held.
type peer struct {
	news      map[string]*news
	order     []string // keys of news, the oldest first
	asks      []*question
	asked     map[uint64]*question // all of asks
	bytes     int
	lastID    uint64
	up        bool
	number    uint64        // of the last news on this link
	acked     uint64        // the other side has all up to this one
	ackBefore time.Duration // when the next ack is due at the latest; 0: none is
	// Dropped counts what found no room.
	Dropped int
}

func newPeer() *peer { return &peer{news: map[string]*news{}, asked: map[uint64]*question{}} }

// done is what a question's asker is to be told.
type done func()

func (q *question) end(body []byte, err error) done { return func() { q.answered(body, err) } }

// enqueue keeps news, in the place of older ones of their kind and key.
func (p *peer) enqueue(kind, key string, body []byte, seen time.Duration) error {
	n := &news{kind: kind, key: key, body: body, seen: seen}
	k := kind + "\x00" + key
	old := p.news[k]
	free := 0
	if old != nil {
		free = old.cost()
	}
	if p.bytes-free+n.cost() > maxWaiting {
		p.Dropped++
		return ErrQueueFull
	}
	p.bytes += n.cost() - free
	if old == nil {
		p.order = append(p.order, k)
	}
	p.news[k] = n
	return nil
}

// ask keeps a question until it was answered or its time is up.
func (p *peer) ask(q *question) error {
	cost := len(q.body) + len(q.kind) + pieceCost
	if p.bytes+cost > maxWaiting || len(p.asks) >= maxOutstanding {
		p.Dropped++
		return ErrQueueFull
	}
	p.bytes += cost
	p.lastID++
	q.id = p.lastID
	p.asks = append(p.asks, q)
	p.asked[q.id] = q
	return nil
}

// wants tells whether there is anything to be written.
func (p *peer) wants() bool {
	for _, q := range p.asks {
		if !q.sent {
			return true
		}
	}
	for _, n := range p.news {
		if n.sent == 0 {
			return true
		}
	}
	return false
}

// next is the next frame to write. From here on it counts as sent.
func (p *peer) next(now time.Duration) (frame, bool) {
	if !p.up {
		return frame{}, false
	}
	for _, q := range p.asks {
		if !q.sent && q.until > now {
			q.sent = true
			return frame{Type: frameAsk, ID: q.id, Kind: q.kind, Body: q.body, Age: q.until - now}, true
		}
	}
	for _, k := range p.order {
		if n := p.news[k]; n.sent == 0 {
			p.number++
			n.sent = p.number
			if p.ackBefore == 0 {
				p.ackBefore = now + ackTime
			}
			return frame{Type: frameNews, ID: n.sent, Kind: n.kind, Key: n.key, Body: n.body, Age: max(0, now-n.seen)}, true
		}
	}
	return frame{}, false
}

// connected tells that there is a new link.
func (p *peer) connected() { p.up, p.number, p.acked, p.ackBefore = true, 0, 0, 0 }

// broken tells that there is none any more. News that were not acknowledged go again;
// questions that were written never do.
func (p *peer) broken() (ends []done) {
	p.up, p.ackBefore = false, 0
	for _, n := range p.news {
		n.sent = 0
	}
	p.drop(func(q *question) bool {
		if q.sent {
			ends = append(ends, q.end(nil, fmt.Errorf("%w: the link broke", ErrMaybe)))
		}
		return q.sent
	})
	return ends
}

// got takes in an acknowledgement or an answer.
func (p *peer) got(f frame, now time.Duration) (ends []done) {
	switch f.Type {
	case frameAck:
		p.ack(f.ID, now)
	case frameAnswer:
		q := p.asked[f.ID]
		if q == nil || !q.sent {
			return nil // its time is up, or nobody asked
		}
		var err error
		if f.No != "" {
			err = AnswerError(f.No)
		}
		p.drop(func(other *question) bool { return other == q })
		ends = append(ends, q.end(f.Body, err))
	}
	return ends
}

// ack takes out what the other side has, but for what is newer under the same key.
func (p *peer) ack(upTo uint64, now time.Duration) {
	if upTo <= p.acked || upTo > p.number {
		return
	}
	p.acked, p.ackBefore = upTo, 0
	var left []string
	for _, k := range p.order {
		n := p.news[k]
		switch {
		case n.sent != 0 && n.sent <= upTo:
			p.bytes -= n.cost()
			delete(p.news, k)
			continue
		case n.sent != 0:
			p.ackBefore = now + ackTime
		}
		left = append(left, k)
	}
	p.order = left
}

// tick ends the questions whose time is up; stuck tells that the link has to be given up.
func (p *peer) tick(now time.Duration) (ends []done, stuck bool) {
	p.drop(func(q *question) bool {
		if q.until > now {
			return false
		}
		if q.sent {
			ends = append(ends, q.end(nil, fmt.Errorf("%w: no answer in time", ErrMaybe)))
		} else {
			ends = append(ends, q.end(nil, fmt.Errorf("%w: no link in time", ErrNotSent)))
		}
		return true
	})
	return ends, p.up && p.ackBefore > 0 && now >= p.ackBefore
}

// withdraw takes out a question whose asker no longer waits.
func (p *peer) withdraw(id uint64) (end done) {
	p.drop(func(q *question) bool {
		if q.id != id {
			return false
		}
		err := ErrNotSent
		if q.sent {
			err = ErrMaybe
		}
		end = q.end(nil, fmt.Errorf("%w: its asker has gone", err))
		return true
	})
	return end
}

// closed ends all: the member is gone, or this node stops.
func (p *peer) closed() (ends []done) {
	ends = p.broken()
	p.drop(func(q *question) bool {
		ends = append(ends, q.end(nil, fmt.Errorf("%w: the member is gone", ErrNotSent)))
		return true
	})
	p.news, p.order, p.bytes = map[string]*news{}, nil, 0
	return ends
}

func (p *peer) drop(which func(*question) bool) {
	var left []*question
	for _, q := range p.asks {
		if which(q) {
			p.bytes -= len(q.body) + len(q.kind) + pieceCost
			delete(p.asked, q.id)
		} else {
			left = append(left, q)
		}
	}
	p.asks = left
}

// next due: when tick has something to do.
func (p *peer) due() (at time.Duration, ok bool) {
	for _, q := range p.asks {
		if !ok || q.until < at {
			at, ok = q.until, true
		}
	}
	if p.up && p.ackBefore > 0 && (!ok || p.ackBefore < at) {
		at, ok = p.ackBefore, true
	}
	return at, ok
}
