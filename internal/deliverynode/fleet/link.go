package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxHello bounds the first frame of a link, which comes from an unidentified peer.
	maxHello = 1 << 10
	// writeTimeout bounds the write of one frame.
	writeTimeout = 2 * time.Second
	// idleTimeout is how long an unused link stays open.
	idleTimeout = 60 * time.Second
	// defaultRequestTimeout bounds a request whose context has no deadline.
	defaultRequestTimeout = 2 * time.Second
	// maxAnswering bounds the concurrent requests from one member.
	maxAnswering = 64
	minDialPause = 100 * time.Millisecond
	maxDialPause = 5 * time.Second
)

// link is the connection to one member, which may not be open yet. One goroutine writes, and dials when
// there is something to write; another reads while there is a connection.
type link struct {
	fleet *Fleet
	name  string
	wake  chan struct{}
	ctx   context.Context
	end   context.CancelFunc

	mu           sync.Mutex
	peer         *peer
	conn         *framedConn
	remote       Record // the member at the other end
	dialling     bool
	lastUsed     time.Duration
	ackUpTo      uint64
	answers      []frame
	openRequests int // requests that are being answered, or whose answer is queued
	ended        bool
}

// link returns the link to a member, which it creates if needed; f.mu is held. An idle link is closed.
func (f *Fleet) link(name string) *link {
	if l := f.links[name]; l != nil {
		return l
	}
	l := &link{fleet: f, name: name, wake: make(chan struct{}, 1), peer: newPeer(), lastUsed: f.options.Clock()}
	l.ctx, l.end = context.WithCancel(f.ctx)
	f.links[name] = l
	f.running.Go(l.run)
	return l
}

func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) now() time.Duration { return l.fleet.options.Clock() }

// keepsOwn reports whether this side's connection is kept instead of one that the other side has dialled: if
// both dial at the same time, the one of the node with the lower name is kept. If the other side no longer
// has the existing connection, the update queued here stays unacknowledged and the connection is closed.
func (l *link) keepsOwn(remoteRecord Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.options.Name > l.name {
		return false
	}
	if l.conn != nil && l.remote.Start == remoteRecord.Start {
		_ = l.peer.enqueue("", "", nil, l.now()) // without an acknowledgement the link counts as broken
		l.wakeUp()
		return true
	}
	return l.conn == nil && l.dialling
}

// attach makes a connection the link's current one.
func (l *link) attach(conn *framedConn, remoteRecord Record) {
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		_ = conn.Close()
		return
	}
	ends := l.detach()
	l.conn, l.remote, l.lastUsed, l.ackUpTo = conn, remoteRecord, l.now(), 0
	l.peer.connected()
	l.mu.Unlock()
	for _, end := range ends {
		end()
	}
	l.fleet.running.Go(func() { l.read(conn, Peer{remoteRecord.Name, remoteRecord.Incarnation}) })
	l.wakeUp()
}

// detach closes the connection and removes it from the link; l.mu is held.
func (l *link) detach() []callback {
	if l.conn == nil {
		return nil
	}
	_ = l.conn.Close()
	l.openRequests -= len(l.answers)
	l.conn, l.answers = nil, nil
	return l.peer.disconnected()
}

// fail closes a connection that was found broken.
func (l *link) fail(conn *framedConn, err error) {
	l.mu.Lock()
	var ends []callback
	if l.conn == conn {
		ends = l.detach()
		l.fleet.options.Log.Debug("fleet: link", "with", l.name, "err", err)
	}
	l.mu.Unlock()
	_ = conn.Close()
	for _, end := range ends {
		end()
	}
	l.wakeUp()
}

// close ends the link permanently.
func (l *link) close() {
	l.mu.Lock()
	l.ended = true
	ends := l.detach()
	ends = append(ends, l.peer.closeAll()...)
	l.mu.Unlock()
	l.end()
	for _, end := range ends {
		end()
	}
}

// run writes the queued messages, and dials if necessary.
func (l *link) run() {
	pause := time.Duration(0)
	var dialAt time.Duration
	for l.ctx.Err() == nil {
		now := l.now()
		l.mu.Lock()
		ends, stuck := l.peer.tick(now)
		conn := l.conn
		if stuck {
			ends = append(ends, l.detach()...)
			conn = nil
		}
		hasUnsent := l.peer.hasUnsent()
		idle := now-l.lastUsed > idleTimeout && !hasUnsent && l.openRequests == 0
		if conn != nil && idle {
			ends = append(ends, l.detach()...)
			conn = nil
		}
		nextDeadline, timed := l.peer.nextDeadline()
		l.mu.Unlock()
		for _, end := range ends {
			end()
		}
		switch {
		case conn == nil && idle:
			if l.closeIfIdle() {
				return
			}
		case conn != nil:
			pause = 0
			if l.write(conn) {
				continue
			}
		case hasUnsent && now >= dialAt:
			if l.dial() {
				continue
			}
			pause = min(max(2*pause, minDialPause), maxDialPause)
			dialAt = l.now() + time.Duration(float64(pause)*(0.75+0.5*l.fleet.random()))
			continue
		}
		next := idleTimeout
		if timed {
			next = min(next, nextDeadline-l.now())
		}
		if conn == nil && hasUnsent {
			next = min(next, dialAt-l.now())
		}
		t := time.NewTimer(max(next, time.Millisecond))
		select {
		case <-l.wake:
		case <-t.C:
		case <-l.ctx.Done():
		}
		t.Stop()
	}
}

// closeIfIdle ends an idle link.
func (l *link) closeIfIdle() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil || l.peer.hasUnsent() || len(l.peer.requests) > 0 || l.fleet.links[l.name] != l {
		return false
	}
	delete(l.fleet.links, l.name)
	l.ended = true
	l.end()
	return true
}

// write writes one frame; it returns false if there is none.
func (l *link) write(conn *framedConn) bool {
	l.mu.Lock()
	var out frame
	ok := false
	switch {
	case l.conn != conn:
	case l.ackUpTo > 0:
		out, ok = frame{Type: frameAck, ID: l.ackUpTo}, true
		l.ackUpTo = 0
	case len(l.answers) > 0:
		out, ok = l.answers[0], true
		l.answers = l.answers[1:]
		l.openRequests--
	default:
		if out, ok = l.peer.nextFrame(l.now()); ok {
			l.lastUsed = l.now()
		}
	}
	l.mu.Unlock()
	if !ok {
		return false
	}
	err := conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = conn.send(out)
	}
	if err != nil {
		l.fail(conn, err)
	}
	return true
}

// dial opens the link, unless the other side has opened it meanwhile.
func (l *link) dial() bool {
	m, known := l.fleet.member(l.name)
	if !known || m.State.Departed() {
		return false
	}
	to, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return false
	}
	l.mu.Lock()
	if l.conn != nil || l.ended {
		l.mu.Unlock()
		return true
	}
	l.dialling = true
	l.mu.Unlock()
	conn, w, err := l.fleet.hello(l.ctx, to, l.name, false)
	l.mu.Lock()
	l.dialling = false
	accepted := l.conn != nil
	l.mu.Unlock()
	if err == nil {
		l.fleet.mergeWelcome(w)
		switch {
		case w.Refused != "":
			err = RefusedError(w.Refused)
		case w.Self.Name != l.name:
			err = fmt.Errorf("address belongs to node %s", w.Self.Name)
		}
		if err != nil || accepted {
			_ = conn.Close()
		}
	}
	if accepted {
		return true
	}
	if err != nil {
		l.fleet.options.Log.Debug("fleet: dialling a member failed", "to", l.name, "err", err)
		return false
	}
	l.attach(conn, w.Self)
	return true
}

// read processes frames until the connection breaks.
func (l *link) read(conn *framedConn, from Peer) {
	for {
		var in frame
		err := conn.receive(&in, maxFrame)
		if err == nil {
			err = l.handleFrame(conn, from, in)
		}
		if err != nil {
			if errors.Is(err, errCorrupt) {
				l.fleet.stats.corrupt.Add(1)
			}
			if errors.Is(err, io.EOF) {
				err = errors.New("closed by the other side")
			}
			l.fail(conn, err)
			return
		}
	}
}

func (l *link) handleFrame(conn *framedConn, from Peer, in frame) error {
	switch in.Type {
	case frameUpdate:
		if handle := l.fleet.updateHandlers[in.Kind]; handle != nil {
			handle(from, in.Key, in.Age, in.Body)
		}
		l.mu.Lock()
		if l.conn == conn {
			l.ackUpTo, l.lastUsed = max(l.ackUpTo, in.ID), l.now()
		}
		l.mu.Unlock()
		l.wakeUp()
	case frameRequest:
		l.handleRequest(conn, from, in)
	case frameAck, frameAnswer:
		l.mu.Lock()
		var ends []callback
		if l.conn == conn {
			ends, l.lastUsed = l.peer.handleFrame(in, l.now()), l.now()
		}
		l.mu.Unlock()
		for _, end := range ends {
			end()
		}
	default:
		return fmt.Errorf("%w: unknown frame type %d", errCorrupt, in.Type)
	}
	return nil
}

// handleRequest answers a request, concurrently with others.
func (l *link) handleRequest(conn *framedConn, from Peer, in frame) {
	answer := func(body []byte, err error) {
		out := frame{Type: frameAnswer, ID: in.ID, Body: body}
		if err != nil {
			out.Body, out.ErrorText = nil, err.Error()
		}
		l.mu.Lock()
		if l.conn == conn {
			l.answers = append(l.answers, out)
		} else {
			l.openRequests--
		}
		l.mu.Unlock()
		l.wakeUp()
	}
	l.mu.Lock()
	l.lastUsed = l.now()
	busy := l.openRequests >= maxAnswering
	l.openRequests++
	full := l.openRequests > 2*maxAnswering
	l.mu.Unlock()
	handle := l.fleet.requestHandlers[in.Kind]
	switch {
	case full: // the member sends requests without reading the answers
		l.mu.Lock()
		l.openRequests--
		l.mu.Unlock()
		l.fail(conn, errors.New("the other side does not read answers"))
	case busy:
		answer(nil, errors.New("too many questions at once"))
	case handle == nil:
		answer(nil, fmt.Errorf("nothing is known of %q", in.Kind))
	default:
		l.fleet.running.Go(func() {
			ctx, cancel := context.WithTimeout(l.ctx, min(max(in.Age, 0), time.Minute))
			defer cancel()
			answer(handle(ctx, from, in.Body))
		})
	}
}

func (f *Fleet) member(name string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Member(name)
}

// linkTo returns the link to a member that has not left or been removed.
func (f *Fleet) linkTo(name string) (*link, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, known := f.table.Member(name); !known || m.State.Departed() || name == f.options.Name || f.gossip == nil {
		return nil, fmt.Errorf("%w: %s", ErrUnknown, name)
	}
	return f.link(name), nil
}

// Tell implements Net.
func (f *Fleet) Tell(to, kind, key string, body []byte) error {
	l, err := f.linkTo(to)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return fmt.Errorf("%w: %s", ErrUnknown, to)
	}
	err = l.peer.enqueue(kind, key, body, l.now())
	l.wakeUp()
	return err
}

// Ask implements Net.
func (f *Fleet) Ask(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	l, err := f.linkTo(to)
	if err != nil {
		return nil, err
	}
	within := defaultRequestTimeout
	if at, ok := ctx.Deadline(); ok {
		within = time.Until(at)
	} else {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequestTimeout)
		defer cancel()
	}
	type answer struct {
		body []byte
		err  error
	}
	got := make(chan answer, 1)
	q := &request{kind: kind, body: body, deadline: l.now() + within, onDone: func(b []byte, err error) { got <- answer{b, err} }}
	l.mu.Lock()
	if l.ended {
		err = fmt.Errorf("%w: %s", ErrUnknown, to)
	} else {
		err = l.peer.enqueueRequest(q)
	}
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	l.wakeUp()
	select {
	case a := <-got:
		return a.body, a.err
	case <-ctx.Done():
		l.mu.Lock()
		end := l.peer.cancelRequest(q.id)
		l.mu.Unlock()
		if end != nil {
			end()
		}
		a := <-got // the request has been answered or canceled
		return a.body, a.err
	}
}
