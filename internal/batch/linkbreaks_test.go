package batch

import (
	"fmt"
	"os"
	"testing"

	"dunetide/internal/platform/link"
)

// repeatSteps is the interval, in messages, between those at which a link breaks in the short test.
// BATCH_REPEATS=1 breaks a link at each message.
const repeatSteps = 23

// breakKind is how a link breaks at a message.
type breakKind int

const (
	// breakBefore closes the link before the message is delivered.
	breakBefore breakKind = iota
	// breakAfter closes the link right after the message, and loses all messages sent in response.
	breakAfter
	// breakAndRepeat is breakAfter, and the message is delivered again over the next link between
	// the two.
	breakAndRepeat
)

func (k breakKind) String() string { return [...]string{"before", "after", "after, and repeated"}[k] }

// linkBreaker breaks one link of a simulation at one of its messages.
type linkBreaker struct {
	simulation *simulation
	kind       breakKind
	breakAt    int // the message at which it breaks; 0: never
	seen       int // number of messages so far
	known      map[*simPipe]bool
	broken     *brokenMessage // nil: not broken yet, or already repeated
	repeats    int
	hit        link.Kind // kind of the message at which it broke
}

// brokenMessage is the message at which a link broke.
type brokenMessage struct {
	from, to string
	call     bool
	kind     link.Kind
	body     []byte
}

func newLinkBreaker(sim *simulation, kind breakKind, at int) *linkBreaker {
	return &linkBreaker{simulation: sim, kind: kind, breakAt: at, known: map[*simPipe]bool{}}
}

// watch intercepts the messages of new links.
func (b *linkBreaker) watch() {
	for _, p := range b.simulation.connections {
		if b.known[p] {
			continue
		}
		b.known[p] = true
		for _, side := range []*simPipe{p, p.peer} {
			deliver := side.deliver
			side.deliver = func(side *simPipe, m Caller, kind link.Kind, body []byte) { b.message(deliver, side, m, kind, body) }
			b.repeat(side, deliver)
		}
	}
}

func (b *linkBreaker) message(deliver simReceiver, side *simPipe, caller Caller, kind link.Kind, body []byte) {
	if b.simulation.beforeStep == nil { // the scenario is over: only the final checks remain
		deliver(side, caller, kind, body)
		return
	}
	b.seen++
	if b.seen != b.breakAt {
		deliver(side, caller, kind, body)
		return
	}
	b.hit = kind
	if b.kind != breakBefore {
		deliver(side, caller, kind, body)
	}
	side.end(0)
	if b.kind == breakAndRepeat {
		b.broken = &brokenMessage{side.peer.from, side.from, caller != nil, kind, body}
	}
}

// repeat delivers the message at which a link broke again, over the next link between the two.
func (b *linkBreaker) repeat(side *simPipe, deliver simReceiver) {
	again := b.broken
	if again == nil || side.from != again.to || side.to != again.from || !sentAgain(again.kind) {
		return
	}
	b.broken = nil
	b.simulation.after(b.simulation.delay(), func() {
		if !side.open {
			return
		}
		b.repeats++
		var nobody Caller // the caller has its answer, or no longer waits
		if again.call {
			nobody = callerFunc(func([]byte) {})
		}
		deliver(side, nobody, again.kind, again.body)
	})
}

// sentAgain reports whether messages of a kind may be repeated or late. The assignment of an item
// may not: the item would run again.
func sentAgain(kind link.Kind) bool { return kind != kindAssignItem }

// playBroken plays the scenario with one link that breaks.
func playBroken(kind breakKind, at int) (*simulation, *linkBreaker) {
	sim := newSimulation(uint64(at), 3+at%2, 1, 4)
	b := newLinkBreaker(sim, kind, at)
	playScenario(sim, b.watch)
	return sim, b
}

// TestLinkBreaksAtEachMessage: the links between stores, and between stores and proxies, break at
// each message of the scenario: before it, after it, and so that it is repeated over the next link.
// No guarantee is violated: no job, result, end or grant counts twice.
func TestLinkBreaksAtEachMessage(t *testing.T) {
	step := repeatSteps
	if os.Getenv("BATCH_REPEATS") != "" {
		step = 1
	}
	_, counted := playBroken(breakBefore, 0)
	runs, repeats, hits := 0, 0, map[link.Kind]int{}
	for at := 1; at <= counted.seen; at += step {
		for _, kind := range []breakKind{breakBefore, breakAfter, breakAndRepeat} {
			sim, b := playBroken(kind, at)
			runs++
			repeats += b.repeats
			hits[b.hit]++
			if !reportViolations(t, sim, fmt.Sprintf("%v message %d, of kind %d", kind, at, b.hit)) {
				return
			}
			if sim.resultsRead < 7 {
				t.Fatalf("%v message %d: only %d results", kind, at, sim.resultsRead)
			}
		}
	}
	t.Logf("%d runs of about %d messages, %d of them with a repeat; by kind: %v", runs, counted.seen, repeats, hits)
}
