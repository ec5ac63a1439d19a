package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"
)

// maxWaiting bounds the number of calls that wait for a connection to one endpoint.
const maxWaiting = 64

// Acquire returns a connection for one call: the most recently used one that the endpoint has not closed, or a new
// one. It waits for a connection no longer than MaxWait, DialTimeout and the context allow. The connection must be
// returned with Release.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) { return p.AcquireBefore(ctx, time.Time{}) }

// AcquireBefore is Acquire with a deadline, unless it is zero: neither the wait for a connection nor the dial exceeds
// it.
func (p *Pool) AcquireBefore(ctx context.Context, deadline time.Time) (*Conn, error) {
	ps := p.pools
	a := acquisition{ctx: ctx, dialCtx: ctx}
	defer a.cancel()
	ps.mu.Lock()
	for {
		if p.removed {
			ps.mu.Unlock()
			return nil, ErrRemoved
		}
		now := ps.config.Now()
		c, stale := p.reuse(now)
		if c != nil {
			p.inUse++
			p.counts.reused++
			p.countUse(now)
			p.preconnect(now)
			ps.mu.Unlock()
			closeAll(stale)
			return c, nil
		}
		a.bound(ps.config.DialTimeout, deadline, now)
		queue, evicted := p.reserveSlot(now)
		if evicted != nil {
			stale = append(stale, evicted)
		}
		if queue == nil {
			p.dialing++
			ps.open++
			p.countUse(now)
			ps.mu.Unlock()
			closeAll(stale)
			return p.dial(a.dialCtx, now)
		}
		if len(*queue) >= maxWaiting {
			ps.mu.Unlock()
			closeAll(stale)
			return nil, ErrBusy
		}
		a.boundWait(ps.config.MaxWait)
		if err := p.await(a.ctx, queue, stale); err != nil {
			return nil, err
		}
	}
}

// acquisition holds the contexts of one Acquire, which are created when it has to dial or to wait.
type acquisition struct {
	ctx     context.Context // of waits
	dialCtx context.Context // of the dial, which may last longer than a wait

	cancelDial, cancelWait context.CancelFunc // nil until the context is bounded
}

// bound limits both contexts to the dial timeout, or to the call's deadline if that is earlier.
func (a *acquisition) bound(dialTimeout time.Duration, deadline, now time.Time) {
	if a.cancelDial != nil {
		return
	}
	if left := deadline.Sub(now); !deadline.IsZero() && left < dialTimeout {
		a.ctx, a.cancelDial = context.WithTimeoutCause(a.ctx, max(0, left), ErrDeadline)
	} else {
		a.ctx, a.cancelDial = context.WithTimeout(a.ctx, dialTimeout)
	}
	a.dialCtx = a.ctx
}

// boundWait limits the total waiting time of this acquisition; 0 means the limit of the dial applies.
func (a *acquisition) boundWait(maxWait time.Duration) {
	if a.cancelWait == nil && maxWait > 0 {
		a.ctx, a.cancelWait = context.WithTimeout(a.ctx, maxWait)
	}
}

func (a *acquisition) cancel() {
	if a.cancelWait != nil {
		a.cancelWait()
	}
	if a.cancelDial != nil {
		a.cancelDial()
	}
}

// reuse removes the most recently used idle connection that is still usable from the pool. The caller must close the
// stale connections that it returns. It is called with the lock held.
func (p *Pool) reuse(now time.Time) (c *Conn, stale []*Conn) {
	limit := p.maxIdle(now)
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = slices.Delete(p.idle, last, last+1)
		if c.idleBefore = now.Sub(c.idleSince); c.idleBefore < c.maxIdle(limit) && c.quiet() {
			return c, stale
		}
		stale = append(stale, c)
		p.pools.freed(1)
	}
	return nil, stale
}

// reserveSlot checks whether one more connection may be opened. If not, it returns the queue to wait in. If an idle
// connection of another pool was evicted for it, the caller must close that one. It is called with the lock held.
func (p *Pool) reserveSlot(now time.Time) (queue *[]chan struct{}, evicted *Conn) {
	ps := p.pools
	if open := p.inUse + p.dialing + len(p.idle); open >= p.maxConns(now) {
		return &p.waiting, nil
	}
	if ps.open < ps.config.MaxOpen {
		return nil, nil
	}
	if c := ps.evictLeastUsed(now); c != nil {
		return nil, c
	}
	return &ps.waiting, nil
}

// await unlocks, waits in the queue until it is woken, and locks again. If it returns an error, the lock is released.
func (p *Pool) await(ctx context.Context, queue *[]chan struct{}, stale []*Conn) error {
	ps := p.pools
	turn := make(chan struct{})
	*queue = append(*queue, turn)
	ps.mu.Unlock()
	closeAll(stale)
	select {
	case <-turn:
		ps.mu.Lock()
		return nil
	case <-ctx.Done():
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if i := slices.Index(*queue, turn); i >= 0 {
		*queue = slices.Delete(*queue, i, i+1)
	} else if queue == &p.waiting { // it was woken too late: wake the next one instead
		p.wake()
	} else {
		ps.wakeForSpace()
	}
	return fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
}

// dial opens a connection that the caller has already counted in p.dialing.
func (p *Pool) dial(ctx context.Context, startedAt time.Time) (*Conn, error) {
	ps := p.pools
	ps.mu.Lock()
	addr, epoch := p.endpoint.Addr, p.epoch
	ps.mu.Unlock()
	netConn, err := ps.config.Dial(ctx, addr)
	if errors.Is(err, syscall.ECONNRESET) {
		// A reset during the handshake is not a refusal but a loss on the way. Nothing was sent, and an endpoint that
		// is down fails the second attempt too.
		netConn, err = ps.config.Dial(ctx, addr)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.config.Now()
	p.dialing--
	if err == nil && (p.removed || p.epoch != epoch) {
		_ = netConn.Close() // it is connected to the endpoint's previous address; nothing was sent on it
		err = ErrRemoved
	}
	if err != nil {
		return nil, p.dialFailed(ctx, addr, err, now)
	}
	return p.dialed(netConn, startedAt, now), nil
}

// dialed counts a new connection and returns it. It is called with the lock held.
func (p *Pool) dialed(netConn net.Conn, startedAt, now time.Time) *Conn {
	p.sizing.opened(now)
	p.counts.opened++
	p.inUse++
	c := newConn(p, netConn, startedAt)
	c.dialTime = now.Sub(startedAt)
	return c
}

// dialFailed counts a failed dial, unless this side ended it, which indicates nothing about the endpoint's health. It
// is called with the lock held.
func (p *Pool) dialFailed(ctx context.Context, addr string, err error, now time.Time) error {
	deadlinePassed := errors.Is(context.Cause(ctx), ErrDeadline)
	if deadlinePassed {
		err = errors.Join(ErrDeadline, err)
	}
	if !deadlinePassed && !errors.Is(err, ErrRemoved) && !errors.Is(ctx.Err(), context.Canceled) {
		p.counts.refused++
		p.failedAt = now
		p.sizing.refused(now)
	}
	p.pools.freed(1)
	p.wake()
	p.pools.removeEnded(p)
	return fmt.Errorf("connecting to %s: %w", addr, err)
}
