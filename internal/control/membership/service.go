package membership

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// errorPause is the pause after a read error, which may persist, so that the goroutine does not spin.
const errorPause = 10 * time.Millisecond

// Service runs a Core on a UDP socket, with one goroutine. It is safe for concurrent use.
type Service struct {
	mu    sync.Mutex
	core  *Core // guarded by mu
	conn  *net.UDPConn
	start time.Time
	done  chan struct{}
}

// Start runs a Core over conn, which must be bound to Self.Addr, until ctx ends, and then closes conn and the channel
// returned by Done. It sets Send in the options. Seeds are addresses of keepers' internal ports (ip:port). It fails if
// the options are invalid; conn stays open in that case.
func Start(ctx context.Context, conn *net.UDPConn, options Options, seeds []string) (*Service, error) {
	s := &Service{conn: conn, start: time.Now(), done: make(chan struct{})}
	options.Send = func(addr string, msg []byte) {
		if to, err := netip.ParseAddrPort(addr); err == nil {
			_, _ = conn.WriteToUDPAddrPort(msg, to) // the protocol tolerates lost datagrams
		}
	}
	var err error
	if s.core, err = New(options); err != nil {
		return nil, err
	}
	s.core.AddSeeds(0, seeds)
	stop := context.AfterFunc(ctx, s.closeConn)
	go func() {
		defer close(s.done)
		defer stop()
		s.run()
	}()
	return s, nil
}

// closeConn closes the socket, which may already be closed. Closing a UDP socket loses no data, so the error is
// ignored.
func (s *Service) closeConn() { _ = s.conn.Close() }

// run reads datagrams until the socket is closed. The read deadline of the socket is the timer of the next Tick.
func (s *Service) run() {
	defer s.closeConn()
	buffer := make([]byte, maxMessageBytes+1)
	next := s.tick()
	for {
		if err := s.conn.SetReadDeadline(s.start.Add(next)); err != nil {
			return
		}
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err == nil:
			s.receive(from, buffer[:n])
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(errorPause)
		}
		if time.Since(s.start) >= next {
			next = s.tick()
		}
	}
}

// tick runs the Core's Tick and returns when the next one is due, as the time since the start.
func (s *Service) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Tick(time.Since(s.start))
}

// receive passes a datagram to the Core.
func (s *Service) receive(from netip.AddrPort, msg []byte) {
	addr := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Receive(time.Since(s.start), addr, msg)
}

// AddSeeds adds addresses of possible keepers, which get requests within a round. See Core.AddSeeds.
func (s *Service) AddSeeds(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AddSeeds(time.Since(s.start), addrs)
}

// SetSeeds replaces the seeds. See Core.SetSeeds.
func (s *Service) SetSeeds(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetSeeds(time.Since(s.start), addrs)
}

// View returns all entries of the view, one per process.
func (s *Service) View() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.View()
}

// Keepers returns the entries of known keepers, ordered by age, the youngest first.
func (s *Service) Keepers() []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Keepers()
}

// Self returns the entry of this process.
func (s *Service) Self() Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Self()
}

// Stats returns the counts since Start.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Stats()
}

// Joined reports whether any request was ever answered.
func (s *Service) Joined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Joined()
}

// Done is closed when the goroutine has ended and the socket is closed.
func (s *Service) Done() <-chan struct{} { return s.done }
