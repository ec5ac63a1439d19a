package faults

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pieceSize = 16 << 10
	// maxQueuedPieces bounds the chunks that wait on a connection, maxDelayedPackets the datagrams that are delayed.
	maxQueuedPieces   = 64
	maxDelayedPackets = 4096
)

// carrier applies the faults of a matrix to traffic, independent of the underlying transport.
type carrier struct {
	*Matrix
	// delivered counts the bytes delivered for each pair.
	delivered []atomic.Int64

	ctx      context.Context
	end      context.CancelFunc
	wg       sync.WaitGroup
	inFlight chan struct{}
}

func newCarrier(n int, seed uint64) *carrier {
	c := &carrier{Matrix: NewMatrix(n, seed), delivered: make([]atomic.Int64, n*n), inFlight: make(chan struct{}, maxDelayedPackets)}
	c.ctx, c.end = context.WithCancel(context.Background())
	return c
}

// Passed returns the number of bytes delivered from one node to another.
func (r *carrier) Passed(from, to int) int64 { return r.delivered[from*r.size+to].Load() }

// sendDatagram delivers a datagram subject to the current fault. deliver may be called later, more than once, or never.
func (r *carrier) sendDatagram(from, to int, packet []byte, deliver func([]byte) error) {
	after, spoilt := r.Packet(from, to, len(packet))
	for _, d := range after {
		b := append([]byte(nil), packet...)
		if spoilt >= 0 {
			b[spoilt/8] ^= 1 << (spoilt % 8)
		}
		arrive := func() {
			if deliver(b) == nil {
				r.delivered[from*r.size+to].Add(int64(len(b)))
			}
		}
		if d <= 0 {
			arrive()
			continue
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			continue // drop: more datagrams are in flight than the network buffers
		}
		r.wg.Go(func() {
			defer func() { <-r.inFlight }()
			t := time.NewTimer(d)
			defer t.Stop()
			select {
			case <-t.C:
				arrive()
			case <-r.ctx.Done():
			}
		})
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// carry relays a connection. While the pair is cut, the connection is established, as the kernel accepts it, but stalls before its
// first byte.
func (r *carrier) carry(conn net.Conn, from, to int, dial func(context.Context) (net.Conn, error)) {
	connCtx, end := context.WithCancel(r.ctx)
	defer end()
	defer conn.Close()
	stop := context.AfterFunc(connCtx, func() { _ = conn.Close() })
	defer stop()
	out := make(chan piece, maxQueuedPieces)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { r.read(connCtx, conn, out, from, to) })
	for r.cutEitherWay(from, to) {
		_, change := r.At(from, to)
		if !r.cutEitherWay(from, to) {
			break
		}
		select {
		case <-change:
		case <-connCtx.Done():
			return
		}
	}
	other, err := dial(connCtx)
	if err != nil {
		abort(conn) // connection refused
		end()
		return
	}
	defer other.Close()
	defer context.AfterFunc(connCtx, func() { _ = other.Close() })()
	back := make(chan piece, maxQueuedPieces)
	running.Go(func() { r.read(connCtx, other, back, to, from) })
	running.Go(func() { r.write(connCtx, end, conn, other, back, to, from) })
	r.write(connCtx, end, other, conn, out, from, to)
	<-connCtx.Done()
}

func (r *carrier) cutEitherWay(from, to int) bool {
	there, _ := r.At(from, to)
	back, _ := r.At(to, from)
	return there.Cut || back.Cut
}

// piece is a chunk of a connection's bytes; empty data marks the end of the stream.
type piece struct {
	data []byte
	at   time.Time
}

func (r *carrier) read(connCtx context.Context, conn net.Conn, out chan<- piece, from, to int) {
	defer close(out)
	buf := make([]byte, pieceSize)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			d, spoilt := r.Piece(from, to, n)
			b := append([]byte(nil), buf[:n]...)
			if spoilt >= 0 {
				b[spoilt/8] ^= 1 << (spoilt % 8)
			}
			select {
			case out <- piece{b, time.Now().Add(d)}:
			case <-connCtx.Done():
				return
			}
		}
		if err != nil {
			select {
			case out <- piece{nil, time.Now()}:
			case <-connCtx.Done():
			}
			return
		}
	}
}

// write writes chunks to the connection, subject to the current fault.
func (r *carrier) write(connCtx context.Context, end func(), conn, source net.Conn, in <-chan piece, from, to int) {
	defer end()
	sent := 0
	pause := func(d time.Duration) bool {
		if d <= 0 {
			return true
		}
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-connCtx.Done():
			return false
		}
	}
	for p := range in {
		if !pause(time.Until(p.at)) {
			return
		}
		for {
			f, change := r.At(from, to)
			if !f.Cut {
				break
			}
			select {
			case <-change:
			case <-connCtx.Done():
				return
			}
		}
		f, _ := r.At(from, to)
		if f.Swallow {
			if len(p.data) == 0 { // the end of the stream is swallowed too
				<-connCtx.Done()
				return
			}
			continue
		}
		if len(p.data) == 0 {
			return
		}
		b := p.data
		if f.Reset > 0 && sent+len(b) >= f.Reset {
			_, _ = conn.Write(b[:max(0, f.Reset-sent)])
			abort(conn)
			abort(source)
			return
		}
		for len(b) > 0 {
			n := len(b)
			if f.Trickle > 0 {
				n = 1
				if !pause(time.Second / time.Duration(f.Trickle)) {
					return
				}
				f, _ = r.At(from, to)
			}
			w, err := conn.Write(b[:n])
			r.delivered[from*r.size+to].Add(int64(w))
			sent += w
			if err != nil {
				return
			}
			b = b[n:]
		}
	}
}
