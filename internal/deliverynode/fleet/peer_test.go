package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// model has a peer under test, a modelled link, and the state of the other side.
type model struct {
	p        *peer
	now      time.Duration
	wire     []frame // in flight, in order
	back     []frame
	received int // the newest value of the single key that the other side has received
	sent     int
	handled  map[string]int
	ended    map[string][]error
	requests int
}

// The events of the model. When the link breaks, all frames in flight in both directions are lost. A break after
// "arrive" loses only the answer.
var modelEvents = []string{"tell", "ask", "write", "arrive", "return", "break", "connect", "late", "withdraw"}

func (m *model) step(event string) bool {
	run := func(ends []callback) {
		for _, end := range ends {
			end()
		}
	}
	switch event {
	case "tell":
		if m.sent >= 2 {
			return false
		}
		m.sent++
		if err := m.p.enqueue("k", "x", []byte{byte(m.sent)}, m.now); err != nil {
			panic(err)
		}
	case "ask":
		if m.requests >= 2 {
			return false
		}
		m.requests++
		name := fmt.Sprint("q", m.requests)
		q := &request{kind: "k", body: []byte(name), deadline: m.now + time.Second, onDone: func(_ []byte, err error) { m.ended[name] = append(m.ended[name], err) }}
		if err := m.p.enqueueRequest(q); err != nil {
			panic(err)
		}
	case "write":
		f, ok := m.p.nextFrame(m.now)
		if !ok {
			return false
		}
		m.wire = append(m.wire, f)
	case "arrive":
		if len(m.wire) == 0 {
			return false
		}
		f := m.wire[0]
		m.wire = m.wire[1:]
		if f.Type == frameRequest {
			m.handled[string(f.Body)]++
			m.back = append(m.back, frame{Type: frameAnswer, ID: f.ID})
		} else {
			m.received = int(f.Body[0])
			m.back = append(m.back, frame{Type: frameAck, ID: f.ID})
		}
	case "return":
		if len(m.back) == 0 {
			return false
		}
		f := m.back[0]
		m.back = m.back[1:]
		run(m.p.handleFrame(f, m.now))
	case "break":
		if !m.p.up {
			return false
		}
		m.wire, m.back = nil, nil
		run(m.p.disconnected())
	case "connect":
		if m.p.up {
			return false
		}
		m.p.connected()
	case "late":
		m.now += 2 * time.Second
		ends, stuck := m.p.tick(m.now)
		run(ends)
		if stuck {
			m.wire, m.back = nil, nil
			run(m.p.disconnected())
		}
	case "withdraw":
		if len(m.p.requests) == 0 {
			return false
		}
		run([]callback{m.p.cancelRequest(m.p.requests[0].id)})
	}
	return true
}

// check checks the invariants after each event.
func (m *model) check() error {
	for name, ends := range m.ended {
		if len(ends) > 1 {
			return fmt.Errorf("%s was ended %d times", name, len(ends))
		}
		n := m.handled[name]
		switch err := ends[0]; {
		case n > 1:
			return fmt.Errorf("%s was handled %d times", name, n)
		case err == nil && n != 1:
			return fmt.Errorf("%s was answered and handled %d times", name, n)
		case errors.Is(err, ErrNotSent) && n != 0:
			return fmt.Errorf("%s was not sent, and handled", name)
		case errors.Is(err, ErrOutcomeUnknown) && errors.Is(err, ErrNotSent):
			return fmt.Errorf("%s ended both ways", name)
		}
	}
	if m.p.bytes < 0 {
		return fmt.Errorf("%d bytes are queued", m.p.bytes)
	}
	return nil
}

func (m *model) finish() error {
	m.step("connect")
	for range 20 {
		if !m.step("write") && !m.step("arrive") && !m.step("return") {
			break
		}
	}
	if m.received != m.sent {
		return fmt.Errorf("the other side has %d, but the last value sent is %d", m.received, m.sent)
	}
	m.step("late")
	m.step("late")
	if err := m.check(); err != nil {
		return err
	}
	if len(m.ended) != m.requests || m.p.bytes != 0 || len(m.p.pending) != 0 || len(m.p.order) != 0 {
		return fmt.Errorf("%d of %d requests ended, %d bytes and %d updates are left", len(m.ended), m.requests, m.p.bytes, len(m.p.pending))
	}
	return nil
}

// Plays every order of nine events up to a fixed depth through the peer. After each order the faults end, and
// every message must be delivered or ended exactly once.
func TestEveryOrderOfLinkEvents(t *testing.T) {
	const depth = 8
	played := 0
	var order []string
	var play func()
	play = func() {
		m := &model{p: newPeer(), handled: map[string]int{}, ended: map[string][]error{}}
		for _, e := range order {
			if !m.step(e) {
				return // the event is impossible here
			}
			if err := m.check(); err != nil {
				t.Fatalf("after %v: %v", order, err)
			}
		}
		played++
		if err := m.finish(); err != nil {
			t.Fatalf("after %v: %v", order, err)
		}
		if len(order) == depth {
			return
		}
		for _, e := range modelEvents {
			order = append(order, e)
			play()
			order = order[:len(order)-1]
		}
	}
	play()
	t.Logf("%d orders", played)
}

func TestQueueIsBounded(t *testing.T) {
	p := newPeer()
	big := make([]byte, 100<<10)
	for i := range 20 {
		err := p.enqueue("k", fmt.Sprint(i), big, 0)
		if full := i >= 10; errors.Is(err, ErrQueueFull) != full {
			t.Fatal(i, err)
		}
	}
	if err := p.enqueue("k", "3", big, 0); err != nil {
		t.Error("a newer update of the same key needs no more space:", err)
	}
	if err := p.enqueueRequest(&request{body: big}); !errors.Is(err, ErrQueueFull) {
		t.Error(err)
	}
	if p.Dropped != 11 || p.bytes > maxQueuedBytes {
		t.Error(p.Dropped, p.bytes)
	}
	p = newPeer()
	for i := range maxOutstanding + 1 {
		if err := p.enqueueRequest(&request{}); errors.Is(err, ErrQueueFull) != (i == maxOutstanding) {
			t.Fatal(i, err)
		}
	}
}
