// Package linktest provides TCP relays for tests of processes whose links are cut, delayed or broken. Only tests use it:
// those of links, of keepers, and of the command.
package linktest

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
)

// Direction is a direction of traffic between two processes, which a test identifies by numbers.
type Direction struct{ From, To int }

// Reverse returns the opposite direction.
func (d Direction) Reverse() Direction { return Direction{From: d.To, To: d.From} }

// Gate decides what a relay forwards in a direction, and may block to hold data back. It is called for each n bytes
// that have been read: the first passed of them are forwarded, and if keep is false the connection is closed after
// them. It is called with n = 0 before a connection to the target is opened and before the end of a connection is
// forwarded; if keep is false, the connection is closed. It must return once Relays.Done is closed.
type Gate func(direction Direction, n int) (passed int, keep bool)

// Relays forwards TCP connections between processes: each direction in which one process dials another has a
// listener, whose connections are forwarded to the target. They end with the test.
type Relays struct {
	t       testing.TB
	gate    Gate
	ctx     context.Context // ends with the test
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex // guards the fields below
	ended     bool
	addresses map[Direction]string
	open      map[io.Closer]bool
}

// New returns relays without listeners.
func New(t testing.TB, gate Gate) *Relays {
	t.Helper()
	// The test's own context would end before the processes that the test stops in its clean-up.
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

// Address returns the address at which one process dials another one, whose own address is target. Each call for a
// direction returns the same address.
func (r *Relays) Address(direction Direction, target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address, found := r.addresses[direction]; found {
		return address
	}
	listener, err := new(net.ListenConfig).Listen(r.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		r.t.Errorf("listening for a relay: %v", err)
		return target
	}
	if r.ended {
		_ = listener.Close()
		return target
	}
	r.addresses[direction] = listener.Addr().String()
	r.open[listener] = true
	r.running.Go(func() { r.accept(listener, direction, target) })
	return r.addresses[direction]
}

// accept accepts connections until the test ends.
func (r *Relays) accept(listener net.Listener, direction Direction, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		r.running.Go(func() { r.connect(near, direction, target) })
	}
}

// connect connects a connection to the target, and forwards bytes in both directions until it ends.
func (r *Relays) connect(near net.Conn, direction Direction, target string) {
	defer near.Close()
	if _, keep := r.gate(direction, 0); !keep {
		return
	}
	far, err := new(net.Dialer).DialContext(r.ctx, "tcp4", target)
	if err != nil {
		return // the target is down: close the connection
	}
	defer far.Close()
	if !r.track(near, far) {
		return
	}
	defer r.untrack(near, far)
	var back sync.WaitGroup
	back.Go(func() { r.carry(far, near, direction.Reverse()) })
	r.carry(near, far, direction)
	back.Wait()
}

// carry forwards bytes, and finally the end of the connection, as far as the gate allows.
func (r *Relays) carry(in, out net.Conn, direction Direction) {
	defer in.Close()
	defer out.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, readErr := in.Read(buffer)
		passed, keep := r.gate(direction, n)
		if _, err := out.Write(buffer[:passed]); err != nil || readErr != nil || !keep {
			return
		}
	}
}

// track makes the end of the test close connections. It returns false if the test has ended.
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

// close closes all listeners and connections and waits for all goroutines.
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
