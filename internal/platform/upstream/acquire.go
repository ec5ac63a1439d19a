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

// maxWaiting bounds the calls that wait for a connection to one endpoint.
const maxWaiting = 64

// Acquire returns a connection for one call: the one that was used last, if its far side has not closed it, or a new
// one. It waits for a free one no longer than MaxWait, DialTimeout and the context allow. The connection has to be
// given back by Release.
func (p *Pool) Acquire(ctx context.Context) (*Conn, error) { return p.AcquireBefore(ctx, time.Time{}) }

// AcquireBefore is Acquire with a deadline of the call, if that is not zero: neither the wait for a connection nor
// the dial outlasts it.
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

// acquisition has the contexts of one Acquire, which are made once it has to dial or to wait.
type acquisition struct {
	ctx     context.Context // of waits
	dialCtx context.Context // of the dial, which may last longer than a wait

	cancelDial, cancelWait context.CancelFunc // nil: not bounded yet
}

// bound ends both after the timeout of a dial, or at the call's deadline if that is sooner.
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

// boundWait ends the waits of this acquisition, all of them together, after a time; 0: not before the dial would.
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

// reuse takes the idle connection out of the pool that was used last and is still good. The others that it meets are
// to be closed. With the lock.
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

// reserveSlot looks whether one connection more may be opened. If not, it returns the queue to wait in. Where
// another's idle connection has to make way, that is to be closed. With the lock.
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

// await unlocks, waits in a queue for its turn, and locks again. After an error the lock is free.
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
	} else if queue == &p.waiting { // its turn came too late, and goes to the next
		p.wake()
	} else {
		ps.wakeForSpace()
	}
	return fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
}

// dial opens a connection, which is counted already as one that is being opened.
func (p *Pool) dial(ctx context.Context, startedAt time.Time) (*Conn, error) {
	ps := p.pools
	ps.mu.Lock()
	addr, epoch := p.endpoint.Addr, p.epoch
	ps.mu.Unlock()
	netConn, err := ps.config.Dial(ctx, addr)
	if errors.Is(err, syscall.ECONNRESET) {
		// Nobody refused it: it got lost on the way. Nothing was sent, and an endpoint that is down shows at the
		// second attempt as well as at the first.
		netConn, err = ps.config.Dial(ctx, addr)
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := ps.config.Now()
	p.dialing--
	if err == nil && (p.removed || p.epoch != epoch) {
		_ = netConn.Close() // it leads to where the endpoint was; nothing was sent on it
		err = ErrRemoved
	}
	if err != nil {
		return nil, p.dialFailed(ctx, addr, err, now)
	}
	return p.dialed(netConn, startedAt, now), nil
}

// dialed counts a new connection, and returns it. With the lock.
func (p *Pool) dialed(netConn net.Conn, startedAt, now time.Time) *Conn {
	p.sizing.opened(now)
	p.counts.opened++
	p.inUse++
	c := newConn(p, netConn, startedAt)
	c.dialTime = now.Sub(startedAt)
	return c
}

// dialFailed counts a dial that failed, unless this side ended it, which says nothing about the endpoint's health.
// With the lock.
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
