package journal

import (
	"time"

	"dunetide/policy"
)

// Notice reports the end of a message that was not delivered, in the platform's form.
type Notice struct {
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RetryInMs int64  `json:"retry_in_ms,omitempty"`
}

// Outcomes of a Notice.
const (
	givenUp    = "given_up"
	handedBack = "handed_back"
)

// NewNotice returns the notice of a message that is handed back to its client, which may retry after wait, or, with back
// false, of one that the node has given up.
func NewNotice(id string, back bool, wait time.Duration) *Notice {
	if back {
		return &Notice{Message: id, Outcome: handedBack, RetryInMs: wait.Milliseconds()}
	}
	return &Notice{Message: id, Outcome: givenUp}
}

// Home returns the journal that holds the message.
func (m *Message) Home() *Journal { return m.holder }

// Number returns the message's number, which is unique among all journals of the process.
func (m *Message) Number() policy.MessageID {
	if m.holder == nil {
		return m.Seq
	}
	return m.holder.base + m.Seq
}

// HandedBack reports whether the client may retry.
func (n *Notice) HandedBack() bool { return n.Outcome == handedBack }

// Message is a message that the node has accepted.
type Message struct {
	Seq      policy.MessageID
	ID       string
	Key      string
	Class    int
	Dest     int
	Deadline time.Time
	Body     []byte
	Window   time.Duration // how long the destination remembers the idempotency key, 0 if there is none

	// The journal that holds the message owns the following fields.
	holder *Journal
	Past   Past
	Notice *Notice // the notice to deliver, nil until the message has ended undelivered
}

// Past is the history of a message's attempts, in the form that package policy uses.
type Past struct {
	Attempts int
	Settled  bool // a finished attempt may have run
	Out      bool // the last attempt has no outcome yet
	MayRun   bool // some attempt may have run
	RanAt    time.Time
	RanZone  int
	// OutTo and OutAt are the endpoint and the time of the last attempt. They are not stored on disk: only the process
	// that made the attempt, and the process that it hands over to, have them.
	OutTo string
	OutAt time.Time
}

// attempt adds an attempt that has no outcome yet.
func (p *Past) attempt(endpoint string, zone int, at time.Time) {
	p.Attempts++
	p.Out, p.OutTo, p.OutAt = true, endpoint, at
	if !p.MayRun {
		p.MayRun, p.RanAt, p.RanZone = true, at, zone
	}
}

// outcome ends the last attempt. neverRan means that the message provably did not run in that attempt.
func (p *Past) outcome(neverRan bool) {
	p.Out = false
	if !neverRan {
		p.Settled = true
	} else if !p.Settled {
		p.MayRun = false
	}
}

// reservedSize returns the bytes reserved for a message until it is closed.
func reservedSize(m *Message) int64 { return int64(len(m.Body)+len(m.ID)+len(m.Key)) + recordReserve }
