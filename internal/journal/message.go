package journal

import (
	"slices"
	"time"

	"dunetide/policy"
)

// Notice is the end of a message that was not delivered, in the platform's form.
type Notice struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMs int64  `json:"retry_in_ms,omitempty"`
}

const (
	givenUp    = "given_up"
	handedBack = "handed_back"
)

// NewNotice says whether a message is handed back, and when its client may come again.
func NewNotice(id string, back bool, wait time.Duration) *Notice {
	if back {
		return &Notice{Message: id, Outcome: handedBack, RetryInMs: wait.Milliseconds()}
	}
	return &Notice{Message: id, Outcome: givenUp}
}

// Home is the journal that owes the message.
func (m *Message) Home() *Journal { return m.home }

// Number is the message's number among those of all journals that a process has.
func (m *Message) Number() policy.MessageID {
	if m.home == nil {
		return m.Seq
	}
	return m.home.base + m.Seq
}

// HandedBack tells whether the client may come again.
func (n *Notice) HandedBack() bool { return n.Outcome == handedBack }

// IDRing knows the last ids that were added to it, up to its size.
type IDRing struct {
	size  int
	ids   []string
	next  int
	known map[string]struct{}
}

// NewIDRing knows up to so many ids.
func NewIDRing(size int) IDRing {
	return IDRing{size: size, ids: make([]string, 0, size), known: make(map[string]struct{}, size)}
}

// Has tells whether an id is known.
func (r *IDRing) Has(id string) bool {
	_, ok := r.known[id]
	return ok
}

// all are the known ids, the one known for longest first.
func (r *IDRing) all() []string { return slices.Concat(r.ids[r.next:], r.ids[:r.next]) }

// clone returns one that knows the same.
func (r *IDRing) clone() IDRing {
	c := NewIDRing(r.size)
	for _, id := range r.all() {
		c.Add(id)
	}
	return c
}

// IDs are the known ids, the one known for longest first.
func (r *IDRing) IDs() []string { return r.all() }

// Len is how many ids are known.
func (r *IDRing) Len() int { return len(r.ids) }

// Add makes an id known, in place of the one known for longest where there is no room.
func (r *IDRing) Add(id string) {
	if r.size == 0 || r.Has(id) {
		return
	}
	if len(r.ids) < r.size {
		r.ids = append(r.ids, id)
	} else {
		delete(r.known, r.ids[r.next])
		r.ids[r.next] = id
		r.next = (r.next + 1) % r.size
	}
	r.known[id] = struct{}{}
}

// Message is one message that the node has taken on.
type Message struct {
	Seq      policy.MessageID
	ID       string
	Key      string
	Class    int
	Dest     int
	Deadline time.Time
	Body     []byte
	Window   time.Duration // how long its key is remembered, 0 where it has none

	// The rest is owned by the journal.
	home   *Journal
	Past   Past
	Notice *Notice // the end that is owed, nil while it runs
}

// Past is what a message has behind it, as the module counts it.
type Past struct {
	Attempts int
	Settled  bool // a finished attempt may have run
	Out      bool // the last attempt has no outcome yet
	MayRun   bool
	RanAt    time.Time
	RanZone  int
	// Where and when the last attempt was sent; known to the process that sent it and
	// to one that takes over from it, and not on disk.
	OutTo string
	OutAt time.Time
}

func (p *Past) attempt(endpoint string, zone int, at time.Time) {
	p.Attempts++
	p.Out, p.OutTo, p.OutAt = true, endpoint, at
	if !p.MayRun {
		p.MayRun, p.RanAt, p.RanZone = true, at, zone
	}
}

func (p *Past) outcome(neverRan bool) {
	p.Out = false
	if !neverRan {
		p.Settled = true
	} else if !p.Settled {
		p.MayRun = false
	}
}

// cost is the room that a message may take up until nothing is owed for it.
func cost(m *Message) int64 { return int64(len(m.Body)+len(m.ID)+len(m.Key)) + ownShare }
