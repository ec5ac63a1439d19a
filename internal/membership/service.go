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

// Service runs a Core on a socket, with one goroutine.
type Service struct {
	mu    sync.Mutex
	core  *Core
	conn  *net.UDPConn
	start time.Time
	done  chan struct{}
}

// Start runs a Core over conn, which should be bound to Self.Addr, until ctx ends; conn is closed then. Send in o is
// set here. Seeds are addresses of keepers' internal ports.
func Start(ctx context.Context, conn *net.UDPConn, o Options, seeds []string) (*Service, error) {
	s := &Service{conn: conn, start: time.Now(), done: make(chan struct{})}
	o.Send = func(addr string, msg []byte) {
		if a, err := netip.ParseAddrPort(addr); err == nil {
			_, _ = conn.WriteToUDPAddrPort(msg, a) // a datagram may be lost anyway
		}
	}
	var err error
	if s.core, err = New(o); err != nil {
		return nil, err
	}
	s.core.Seed(0, seeds)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	go func() {
		defer close(s.done)
		defer stop()
		s.run()
	}()
	return s, nil
}

// run reads until the next Tick is due: the socket's read deadline is the only timer.
func (s *Service) run() {
	defer s.conn.Close()
	buf := make([]byte, maxMessage+1)
	next := s.tick()
	for {
		if err := s.conn.SetReadDeadline(s.start.Add(next)); err != nil {
			return
		}
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err == nil:
			from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
			s.mu.Lock()
			s.core.Receive(time.Since(s.start), from.String(), buf[:n])
			s.mu.Unlock()
		case errors.Is(err, net.ErrClosed):
			return
		case !errors.Is(err, os.ErrDeadlineExceeded):
			time.Sleep(10 * time.Millisecond) // an error that stays must not spin
		}
		if time.Since(s.start) >= next {
			next = s.tick()
		}
	}
}

func (s *Service) tick() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Tick(time.Since(s.start))
}

// Seed adds addresses of keepers; they are tried within a round.
func (s *Service) Seed(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Seed(time.Since(s.start), addrs)
}

// SetSeeds replaces the seeds.
func (s *Service) SetSeeds(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetSeeds(time.Since(s.start), addrs)
}

// View returns all that are known.
func (s *Service) View() []Peer { s.mu.Lock(); defer s.mu.Unlock(); return s.core.View() }

// Keepers returns the keepers that are known, the youngest entries first.
func (s *Service) Keepers() []Peer { s.mu.Lock(); defer s.mu.Unlock(); return s.core.Keepers() }

// Self returns this process's own entry.
func (s *Service) Self() Peer { s.mu.Lock(); defer s.mu.Unlock(); return s.core.Self() }

// Stats returns the counts so far.
func (s *Service) Stats() Stats { s.mu.Lock(); defer s.mu.Unlock(); return s.core.Stats() }

// Joined says whether anybody has ever answered.
func (s *Service) Joined() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.core.Joined() }

// Done is closed when the goroutine has ended.
func (s *Service) Done() <-chan struct{} { return s.done }
