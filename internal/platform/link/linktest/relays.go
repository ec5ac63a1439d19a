// Package linktest has relays for tests of what processes do over links that are cut, delayed or broken. It is for
// tests only: those of links, of keepers, and of the command.
package linktest

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
)

// Direction is the way from one process to another, by the numbers that a test gives them.
type Direction struct{ From, To int }

// Reverse returns the way back.
func (d Direction) Reverse() Direction { return Direction{From: d.To, To: d.From} }

// Gate decides what a relay carries in a direction, and may block to hold it back. It is called for each n bytes that
// have been read: the first passed of them go on, and unless keep the connection ends behind them. With n = 0 it is
// called before a connection to the target is opened and before its end is passed on; unless keep, the connection ends.
// It must return once Relays.Done is closed.
type Gate func(way Direction, n int) (passed int, keep bool)

// Relays stand between processes: each direction in which one dials another has a listener, whose connections go on to
// the target. They end with the test.
type Relays struct {
	t       testing.TB
	gate    Gate
	ctx     context.Context // ends with the test
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex // guards what follows
	ended     bool
	addresses map[Direction]string
	open      map[io.Closer]bool
}

// New returns relays without a listener.
func New(t testing.TB, gate Gate) *Relays {
	t.Helper()
	// The context of the test would end before the processes that a test ends in its clean-up.
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relays{
		t:         t,
		gate:      gate,
		ctx:       ctx,
		cancel:    cancel,
		addresses: map[Direction]string{},
		open:      map[io.Closer]bool{},
	}
	t.Cleanup(r.close)
	return r
}

// Done returns a channel that is closed when the test ends.
func (r *Relays) Done() <-chan struct{} { return r.ctx.Done() }

// Address returns the address at which one process dials another, whose own is target. It is the same at each call for
// a direction.
func (r *Relays) Address(way Direction, target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address, found := r.addresses[way]; found {
		return address
	}
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Errorf("a relay: %v", err)
		return target
	}
	if r.ended {
		_ = listener.Close()
		return target
	}
	r.addresses[way] = listener.Addr().String()
	r.open[listener] = true
	r.running.Go(func() { r.accept(listener, way, target) })
	return r.addresses[way]
}

// accept accepts connections until the test ends.
func (r *Relays) accept(listener net.Listener, way Direction, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.connect(near, way, target) })
	}
}

// connect joins a connection to one to the target, and carries bytes both ways until it ends.
func (r *Relays) connect(near net.Conn, way Direction, target string) {
	defer near.Close()
	if _, keep := r.gate(way, 0); !keep {
		return
	}
	far, err := new(net.Dialer).DialContext(r.ctx, "tcp4", target)
	if err != nil {
		return // the target has ended: so does the connection
	}
	defer far.Close()
	if !r.track(near, far) {
		return
	}
	defer r.untrack(near, far)
	var back sync.WaitGroup
	back.Go(func() { r.carry(far, near, way.Reverse()) })
	r.carry(near, far, way)
	back.Wait()
}

// carry passes bytes on, and in the end the end, as far as the gate allows.
func (r *Relays) carry(in, out net.Conn, way Direction) {
	defer in.Close()
	defer out.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, readErr := in.Read(buffer)
		passed, keep := r.gate(way, n)
		if _, err := out.Write(buffer[:passed]); err != nil || readErr != nil || !keep {
			return
		}
	}
}

// track has connections closed at the end of the test. It reports false if the test has ended.
func (r *Relays) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.open[c] = true
	}
	return !r.ended
}

func (r *Relays) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.open, c)
	}
}

// close ends all connections and waits for all goroutines.
func (r *Relays) close() {
	r.mu.Lock()
	r.ended = true
	r.cancel()
	for c := range r.open {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.running.Wait()
}
