package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// hello is the first message on a link; welcome is its answer.
type hello struct {
	Self      Record `cbor:"1,keyasint"`
	To        string `cbor:"2,keyasint"`
	Candidate bool   `cbor:"3,keyasint,omitempty"` // the sender has not joined yet, and will not use the link
}

type welcome struct {
	Self    Record `cbor:"1,keyasint"`
	Known   Record `cbor:"2,keyasint,omitempty"` // this node's record of the sender of the hello
	Refused string `cbor:"3,keyasint,omitempty"`
}

// dial connects and greets; the connection counts towards the limit.
func (f *Fleet) dial(ctx context.Context, to netip.AddrPort, purpose byte) (*framedConn, error) {
	transport, sessionCtx, err := f.currentTransport()
	if err != nil {
		return nil, err
	}
	if !f.reserveConn() {
		return nil, errTooManyConns
	}
	f.stats.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	raw, err := transport.Dial(ctx, to)
	if err != nil {
		<-f.conns
		return nil, err
	}
	conn := f.trackedConn(sessionCtx, raw)
	defer closeWith(ctx, conn)()
	if err := greet(conn, f.key, purpose); err != nil {
		_ = conn.Close()
		var version VersionError
		var refused RefusedError
		if errors.As(err, &version) || errors.As(err, &refused) {
			f.refuse(to.String(), err)
		}
		return nil, err
	}
	return &framedConn{Conn: conn, key: f.key}, nil
}

// hello dials a node and exchanges hello and welcome.
func (f *Fleet) hello(ctx context.Context, to netip.AddrPort, name string, candidate bool) (*framedConn, welcome, error) {
	var w welcome
	conn, err := f.dial(ctx, to, purposeLink)
	if err != nil {
		return nil, w, err
	}
	defer closeWith(ctx, conn)()
	if err = conn.SetDeadline(time.Now().Add(greetTimeout)); err == nil {
		err = conn.send(hello{f.Self().Record, name, candidate})
	}
	if err == nil {
		err = conn.receive(&w, maxHello)
	}
	if err != nil {
		return nil, w, errors.Join(err, conn.Close())
	}
	_ = conn.SetDeadline(time.Time{}) // if it is already closed, the next use fails
	return conn, w, nil
}

// acceptAll accepts connections until the transport is closed.
func (f *Fleet) acceptAll(transport Transport) {
	for {
		raw, err := transport.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, no free file descriptors
			f.options.Log.Debug("fleet: accepting a connection failed", "err", err)
			wait(f.ctx, minDialPause)
			if f.ctx.Err() != nil {
				return
			}
			continue
		}
		if !f.reserveConn() {
			_ = raw.Close()
			continue
		}
		conn := f.trackedConn(f.ctx, raw)
		f.running.Go(func() { f.accept(conn) })
	}
}

func (f *Fleet) accept(raw net.Conn) {
	bad := func(err error) {
		_ = raw.Close()
		var version VersionError
		switch {
		case errors.As(err, &version):
			f.refuse(raw.RemoteAddr().String(), err)
		case errors.Is(err, errCorrupt):
			f.stats.corrupt.Add(1)
		default:
			f.stats.foreign.Add(1)
		}
		f.options.Log.Debug("fleet: connection rejected", "from", raw.RemoteAddr(), "err", err)
	}
	if err := raw.SetDeadline(time.Now().Add(greetTimeout)); err != nil {
		bad(err)
		return
	}
	purpose, err := acceptGreeting(raw, f.key)
	if err != nil {
		bad(err)
		return
	}
	conn := &framedConn{Conn: raw, key: f.key}
	if purpose == purposeGossip {
		f.mu.Lock()
		g := f.gossip
		f.mu.Unlock()
		if g == nil {
			bad(errors.New("not joined"))
			return
		}
		select {
		case g.streams <- conn: // gossip sets its own deadlines and closes the connection
		case <-f.ctx.Done():
			bad(f.ctx.Err())
		case <-time.After(greetTimeout):
			bad(errors.New("gossip is busy"))
		}
		return
	}
	var h hello
	if err := conn.receive(&h, maxHello); err != nil {
		bad(err)
		return
	}
	w, l := f.welcome(h)
	if err := conn.send(w); err != nil || l == nil || w.Refused != "" {
		_ = raw.Close()
		return
	}
	if err := raw.SetDeadline(time.Time{}); err != nil {
		bad(err)
		return
	}
	l.attach(conn, h.Self)
}

// welcome answers a hello. It returns a link unless the hello is rejected or from a candidate.
func (f *Fleet) welcome(h hello) (welcome, *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.table.Self()
	w := welcome{Self: own}
	if m, known := f.table.Member(h.Self.Name); known {
		w.Known = m.Record
	}
	switch {
	case h.To != own.Name:
		w.Refused = "this is " + own.Name
	case h.Self.Name == own.Name && h.Self.Start == own.Start:
		w.Refused = "this is the same process"
	case h.Self.Name == own.Name:
		w.Refused = "the name is in use here"
		if !h.Candidate && f.gossip != nil {
			f.claim.Rival = h.Self.Address
			f.wakeSession()
		}
	case h.Candidate:
	case w.Known.Name != "" && h.Self.Incarnation <= max(w.Known.Removed, w.Known.Left):
		w.Refused = "it was said to be gone"
	case w.Known.Name != "" && h.Self.Incarnation < w.Known.Incarnation:
		w.Refused = "a later incarnation is known"
	case f.gossip == nil:
		w.Refused = "not joined"
	default:
		l := f.link(h.Self.Name)
		if l.keepsOwn(h.Self) {
			w.Refused = "a link from here stands or is on its way"
			return w, nil
		}
		return w, l
	}
	return w, nil
}
