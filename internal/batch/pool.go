package batch

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// pool holds a connection to each store of the table. A store that answers with another identity than the
// table's is not it: its disk was emptied.
type pool struct {
	up      func(id uint64, c *link.Conn)
	down    func(id uint64, c *link.Conn)
	message func(id uint64, m *link.Message)

	mu     sync.Mutex
	to     map[uint64]*dialled
	closed bool
}

type dialled struct {
	addr   string
	cancel context.CancelFunc
	conn   *link.Conn
}

type poolHandler struct {
	p  *pool
	id uint64
}

func (h poolHandler) Message(m *link.Message) { h.p.message(h.id, m) }
func (h poolHandler) Closed(*link.Conn)       {}

// set says which stores there are.
func (p *pool) set(stores map[uint64]snapshot.Store, self uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	for id, d := range p.to {
		if s, ok := stores[id]; !ok || s.Addr != d.addr {
			d.cancel()
			delete(p.to, id)
		}
	}
	for id, s := range stores {
		if id != self && p.to[id] == nil {
			ctx, cancel := context.WithCancel(context.Background())
			d := &dialled{addr: s.Addr, cancel: cancel}
			p.to[id] = d
			go p.hold(ctx, id, d)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, d := range p.to {
		d.cancel()
		delete(p.to, id)
	}
}

// get is the connection to a store, nil if there is none now.
func (p *pool) get(id uint64) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.to[id]; d != nil {
		return d.conn
	}
	return nil
}

func (p *pool) hold(ctx context.Context, id uint64, d *dialled) {
	pause := 50 * time.Millisecond
	for ctx.Err() == nil {
		c, err := link.Dial(ctx, d.addr, poolHandler{p, id}, link.DefaultOptions)
		if err == nil {
			if !p.is(ctx, c, id) {
				c.Close()
			} else {
				p.mu.Lock()
				d.conn = c
				p.mu.Unlock()
				p.up(id, c)
				select {
				case <-c.Done():
				case <-ctx.Done():
					c.Close()
				}
				p.mu.Lock()
				d.conn = nil
				p.mu.Unlock()
				p.down(id, c)
				pause = 50 * time.Millisecond
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(pause*2, 500*time.Millisecond)
	}
}

func (p *pool) is(ctx context.Context, c *link.Conn, id uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	b, err := c.Call(ctx, kHello, nil)
	return err == nil && len(b) == 8 && binary.BigEndian.Uint64(b) == id
}
