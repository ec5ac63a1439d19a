// Package policy makes the delivery decisions of one sender of a delivery service:
// which message goes to which endpoint, when, with what timeout, and when to
// retry, refuse or give up.
//
// A [Sender] does no I/O, starts no goroutines and reads no clock. The node
// that owns it passes in events with the time at which they were observed, and
// carries out the returned actions. A Sender is deterministic: the same seed and
// events give the same actions. It is not safe for concurrent use.
package policy

import (
	"math"
	"time"
)

// Time is a reading of the node's clock, counted from any fixed origin.
type Time = time.Duration

// MessageID identifies a message. The node assigns it and never reuses it.
type MessageID uint64

// EndpointID identifies an endpoint. It is opaque and local to the node.
type EndpointID uint64

// Repeat describes the effect of delivering a message more than once.
type Repeat int

// Values of Repeat.
const (
	// Idempotent messages may be resent and refused without restriction.
	Idempotent Repeat = iota
	// Deduplicated messages are dropped by the endpoints of a group when
	// repeated within a window.
	Deduplicated
	// AtMostOnce messages must never take effect twice.
	AtMostOnce
)

// Class configures one class of messages.
type Class struct {
	Repeat    Repeat
	GroupAll  bool          // Deduplicated: all endpoints of the destination deduplicate together
	GroupZone bool          // Deduplicated: the endpoints of one zone deduplicate together
	Window    time.Duration // Deduplicated: how long duplicates are recognized
	Ordered   bool          // messages with the same key are sent one at a time, in order
	Aim       time.Duration // a message delivered within this time earns its full worth
	Deadline  time.Duration // a message is given up this long after it was first submitted
	Worth     float64       // worth of a message that is delivered within Aim
	LateWorth float64       // fraction of Worth that remains at the deadline
}

// Kind configures one kind of destination.
type Kind struct {
	RoutesApart bool // each endpoint has its own rate limit, latency and outages
	BundleMax   int  // maximum number of messages in one call
}

// Listing states how accurate the rates in the endpoint list are.
type Listing int

// Values of Listing.
const (
	RateUnlisted Listing = iota // the list has no rates
	RateNominal                 // rates are exact
	RateRough                   // rates may be up to 50% too high or too low
)

// Settings is the configuration of a sender.
type Settings struct {
	Senders int // number of senders in the system
	Classes []Class
	Kinds   []Kind
	// MustSubscribe is set if list changes are sent only after a [Subscribe].
	MustSubscribe bool
	ZoneFee       []float64 // per zone: fraction of worth that a message loses on a separate route there
	Listing       Listing
	Reported      []string // names of the values in a load report, in order

	HalvesLate  bool          // worth halves with each Aim past the first, instead of falling linearly
	Slots       int           // maximum number of calls in flight
	MaxHeld     int           // maximum number of messages held, whether sent or not
	MaxAttempts int           // maximum number of attempts for a message
	MayTell     bool          // senders may send notes to each other
	MaxWait     time.Duration // the longest wait that clients honor
	AdviseWait  bool          // clients are told how long to wait
	// ConnectTimeout is the time after which an attempt that has no connection ends as Unreachable.
	ConnectTimeout time.Duration
	Tick           time.Duration // minimum interval between steps

	DrainGrace   time.Duration // sends to a draining endpoint must stop within this time
	ColdShare    float64       // fraction of its capacity that a destination has right after an outage
	WarmUp       time.Duration // time in which its capacity returns to normal
	FallMultiple float64       // a destination that receives more than this multiple of its current capacity
	FallWindow   time.Duration // for this long becomes overloaded and fails
	TurnGap      time.Duration // Ordered: delay before the next message of a key after an attempt that may still run
}

// Event is an input to [Sender.Step]: something that the node observed.
type Event interface{ event() }

// EndpointState is the state of an endpoint in the list. It is independent of its
// health.
type EndpointState int

// Values of EndpointState.
const (
	Gone EndpointState = iota
	Ready
	Draining
)

// Entry is one endpoint in a list.
type Entry struct {
	Endpoint    EndpointID
	Destination int
	Kind        int
	Zone        int
	State       EndpointState
	Rate        float64 // calls per second from all senders together; see Settings.Listing
}

// Listed is an event that carries the full list of endpoints, or changes to it.
type Listed struct {
	Whole   bool // the list is complete: endpoints missing from it are gone
	Entries []Entry
}

// ListFailed reports that a [Subscribe] failed or was interrupted. The current list remains in use.
type ListFailed struct{}

// Arrived is a new message, or one restored from a previous run of the node.
type Arrived struct {
	Message     MessageID
	Destination int
	Class       int
	Key         uint64 // 0 if the message has none
	GiveUpAt    Time
	Past        Past // earlier attempts; zero for a new message
}

// Past describes the attempts that a previous run of the node made for a message.
type Past struct {
	Attempts int
	MayRun   bool // one of them may have run, or may still run
	RanAt    Time // when the first such attempt was sent
	RanZone  int  // the zone it was sent to
	// Out is set while the last attempt is still in flight in the process that owned the
	// message before. Settled is set if an earlier, finished attempt may have run.
	Out      bool
	OutTo    EndpointID
	OutSince Time
	Settled  bool
}

// Outcome is the result of an attempt.
type Outcome int

// Values of Outcome. Full, Unreachable and Moot guarantee that the attempt never ran.
const (
	Delivered   Outcome = iota
	Failed              // the destination answered with an error
	Full                // rejected for lack of capacity, without being processed
	TimedOut            // no response in time
	Unreachable         // no connection could be established
	Reset               // the connection broke
	Cancelled           // cancelled by the node
	Moot                // not sent at all
)

// Allowance is the rate limit that a destination reports with its responses. It is delayed and inexact.
type Allowance struct {
	Limit float64 // calls per second accepted from all senders together; 0 if not reported
	Left  float64 // fraction of the limit that was unused
}

// SetReported stores one named value of a load report, if it concerns the rate limit.
func (a *Allowance) SetReported(name string, value float64) {
	switch {
	case math.IsNaN(value) || value < 0:
	case name == "x0":
		a.Left = min(1, value)
	case name == "x1" && !math.IsInf(value, 1):
		a.Limit = value
	}
}

// Ended reports how an attempt ended. Every [Send] has exactly one.
type Ended struct {
	Message  MessageID
	Attempt  int // from 0
	Endpoint EndpointID
	Outcome  Outcome
	Wait     time.Duration // the wait that the destination asked for, or 0
	Final    bool          // the message has concluded
	Took     time.Duration
	Told     Allowance
}

// Withdrawn reports that a message is no longer wanted.
type Withdrawn struct{ Message MessageID }

// News is an observation of an endpoint that is shared with other senders.
type News int

// Values of News.
const (
	Down     News = iota // an outage began
	Back                 // the endpoint answers again
	BackCold             // the endpoint answers again and is cold: its capacity is reduced
	Jam                  // the endpoint rejects calls as Full
)

// TagBits is the size of a [Tag].
const TagBits = 22

// Tag identifies an endpoint in a note. It is short because notes have a cost, so
// two endpoints may, rarely, have the same tag.
type Tag uint32

// NoteReceived is a note received from another sender. Notes may be lost or delayed.
type NoteReceived struct {
	Tag  Tag
	News News
}

// EndpointHistory is the history of an endpoint from a previous run of the node. It comes
// before the first call to the endpoint.
type EndpointHistory struct {
	Endpoint EndpointID
	Sent     []Time // times of calls, oldest first
	Runs     []Run  // runs of failures, oldest first
}

// Run is a series of consecutive failures seen by a previous run of the node.
type Run struct {
	Outcomes []Outcome // the first few
	FailedAt Time      // time of the last failure
	Back     bool      // a success followed
	BackAt   Time      // time of the first success after it
}

// OperatorOrder is an operator's order for an endpoint, which overrides the list. With Out, the
// endpoint gets no calls until an order without Out, after which it counts as cold.
type OperatorOrder struct {
	Endpoint EndpointID
	Out      bool
}

// RestoredMemory carries the memory of the process that owned the node's messages before, by
// the same clock. It comes after the list and before the first message.
type RestoredMemory struct{ Memory Memory }

// Memory is the state of a sender apart from its messages, the list and operator orders.
//
// Memory and the types below are sent to another process of the node as gob, which
// encodes the names of types and fields: don't rename them.
type Memory struct {
	Started     Time
	Usual, Pace float64
	Paths       []PathMemory
	Endpoints   []EndpointMemory
}

// PathMemory is the state of a path: the endpoints that share one rate limit.
type PathMemory struct {
	Endpoint                     EndpointID // any endpoint of the path
	Narrow, Wide, Passed         []Time
	Peak, Passes, Most           int
	Slice, BeforeRun             float64
	NarrowWindow, WideWindow     time.Duration
	ClosedUntil, FullAt          Time
	NextTrial, JamAt             Time
	JamFor                       time.Duration
	Latency, Deviation, Baseline time.Duration
	Told                         Allowance
}

// EndpointMemory is the health state of an endpoint.
type EndpointMemory struct {
	Endpoint                                         EndpointID
	Told, LastSent, LastOK, Since, WarmFrom, Trouble Time
	Score, Phase                                     float64
	Suspect, Out, Lead, Broken, Harmless, Warming    bool
	Timeouts, FullRun                                int
	Cold                                             []Time
	ColdWindow                                       time.Duration
}

// ShareAssigned assigns the sender a share of its node (Parts of Whole) where several processes form
// one node: of its slices, slots and message limit. Without this event a sender uses the whole
// node. Kept is the portion of its previous share that no other process has held since. Alone is
// set if there are no other processes and everything that earlier ones sent is known here.
type ShareAssigned struct {
	Parts, Whole, Kept int
	Alone              bool
}

// PeerObservation is an observation of an endpoint by another process of the same node: Down, Back or
// BackCold. It comes only after [ShareAssigned]. Newer observations of this process take precedence.
type PeerObservation struct {
	Endpoint EndpointID
	News     News
	At       Time
}

// PeerWait is a wait that a destination requested from another process of the same node.
// It applies to all processes of the node.
type PeerWait struct {
	Endpoint EndpointID
	Until    Time
}

// Woken reports that the time of a [Wake] has come.
type Woken struct{}

func (Listed) event()          {}
func (ListFailed) event()      {}
func (Arrived) event()         {}
func (Ended) event()           {}
func (Withdrawn) event()       {}
func (NoteReceived) event()    {}
func (EndpointHistory) event() {}
func (OperatorOrder) event()   {}
func (RestoredMemory) event()  {}
func (ShareAssigned) event()   {}
func (PeerObservation) event() {}
func (PeerWait) event()        {}
func (Woken) event()           {}

// Action is an output of [Sender.Step]. The node carries actions out at once, in order.
type Action interface{ action() }

// Send makes one attempt. The Sends of one step to one endpoint are combined into calls
// of at most Kind.BundleMax messages.
type Send struct {
	Message  MessageID
	Endpoint EndpointID
	Timeout  time.Duration
}

// Refuse ends a message undelivered. The client may submit it again.
type Refuse struct {
	Message MessageID
	Wait    time.Duration // how long the client should wait before it retries, or 0
}

// Fail ends a message without any guarantee on whether it took effect.
type Fail struct{ Message MessageID }

// Subscribe requests list changes from now on.
type Subscribe struct{}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// SendNote sends a note to all other senders. It comes only with Settings.MayTell.
type SendNote struct {
	Tag  Tag
	News News
}

// Verdict sends an observation of an endpoint to the other processes of the node. It is
// used only after [ShareAssigned].
type Verdict struct {
	Endpoint EndpointID
	News     News
}

// Wake requests a [Woken] at the first step at or after a time.
type Wake struct{ At Time }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Subscribe) action() {}
func (CloseIdle) action() {}
func (SendNote) action()  {}
func (Verdict) action()   {}
func (Wake) action()      {}
