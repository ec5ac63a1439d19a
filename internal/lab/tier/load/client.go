package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/lab/tier/engine"
	"dunetide/internal/lab/wait"
)

const (
	dialTimeout = time.Second
	maxAttempts = 4
	// maxIdle bounds the idle connections of a client. Each retry opens a new one, so many refusals leave many.
	maxIdle = 32
	// peekTimeout is how long an idle connection is checked for unsolicited bytes before it is reused.
	peekTimeout = 200 * time.Microsecond
	// idleSlack is how long before the announced idle timeout a client stops reusing a connection.
	idleSlack = 500 * time.Millisecond
)

// Front returns the address that the platform routes a client's new connection to. A retry uses another hash and may get
// another address.
type Front func(zone string, hash uint64) (addr string, ok bool)

// client is a client with a pool of idle connections.
type client struct {
	ledger *ledger
	zone   string
	hash   uint64
	front  Front
	// directory is nil if clients state nothing about themselves.
	directory Directory

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	br    *bufio.Reader
	until time.Time // the node may close the connection from then on; zero if it has not announced that
}

// dial opens a connection to the front that the hash selects.
func dial(ctx context.Context, front Front, zone string, hash uint64) (*conn, error) {
	addr, ok := front(zone, hash)
	if !ok {
		return nil, errors.New("no front is ready")
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, br: bufio.NewReader(c)}, nil
}

// popIdle removes an idle connection that is still usable from the pool and returns it, or nil if there is none.
func (c *client) popIdle() *conn {
	for {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			return nil
		}
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		if !last.until.IsZero() && time.Now().After(last.until) {
			_ = last.Close()
			continue
		}
		_ = last.SetReadDeadline(time.Now().Add(peekTimeout))
		stray, err := last.br.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return last
		}
		if len(stray) > 0 {
			c.ledger.violated(Mixed, last.RemoteAddr().String(), "received bytes on a connection without a pending request")
		}
		_ = last.Close()
	}
}

// putIdle adds a connection to the pool for later requests, or closes it if the pool is full.
func (c *client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= maxIdle {
		_ = k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// close closes the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.Close()
	}
	c.idle = nil
}

// request is a request of a client, with its state over all attempts.
type request struct {
	route  *operatorconfig.Route
	kind   string
	method string
	uri    string
	body   []byte
	header http.Header
	events int // of the complete stream; 0 for a plain request
	ids    *rand.Rand
	// created is when the request was due to be sent first.
	created time.Time
	// leaveAfter is how long after the start of an attempt the client disconnects; 0 means never.
	leaveAfter time.Duration

	last     int // the newest event received
	first    time.Time
	newest   time.Time
	worstGap time.Duration
}

// outcome is the result of one attempt.
type outcome struct {
	status   int
	complete bool          // a complete answer with a 2xx status was received
	unsent   bool          // no node can have read the request
	wait     time.Duration // of the Retry-After header
	left     bool          // the client closed the connection
	err      error
}

// String returns the outcome as a key of Figures.Ends: the status or the kind of failure.
func (o outcome) String() string {
	switch {
	case o.left:
		return leftEnd
	case o.complete:
		return strconv.Itoa(o.status)
	case o.err == nil:
		return strconv.Itoa(o.status)
	case o.unsent:
		return "no connection"
	}
	var timeout net.Error
	if errors.As(o.err, &timeout) && timeout.Timeout() || errors.Is(o.err, context.DeadlineExceeded) {
		return "silence"
	}
	if o.status != 0 {
		return brokenEnd
	}
	return closedEnd
}

// do sends a request with its retries, counts the result, and returns the outcome of the last attempt.
func (c *client) do(ctx context.Context, r *request) (o outcome) {
	deadline := r.created.Add(time.Duration(r.route.TimeoutMs) * time.Millisecond)
	c.ledger.count(r.kind, func(f *Figures) { f.Requested++ })
	for try := range maxAttempts {
		o = c.attempt(r, uint64(try), deadline)
		c.ledger.count(r.kind, func(f *Figures) { f.Tries++; f.Ends[o.String()]++ })
		if o.complete || o.left || !c.mayRetry(r, o) {
			break
		}
		left := time.Until(deadline)
		if o.wait > left/3 || left <= 0 {
			break
		}
		if !wait.For(ctx, o.wait) {
			break
		}
	}
	c.ledger.count(r.kind, func(f *Figures) {
		switch {
		case o.complete && r.withinTarget(time.Now()):
			f.WithinTarget++
		case o.complete:
			f.Late++
		case provesNotRun(o.status):
			f.Refused++
		default:
			f.Failed++
		}
	})
	return o
}

// withinTarget reports whether a complete answer that ended now met the latency targets of its route.
func (r *request) withinTarget(now time.Time) bool {
	target := time.Duration(r.route.LatencyTargetMs) * time.Millisecond
	if r.events == 0 {
		return now.Sub(r.created) <= target
	}
	gap := time.Duration(r.route.EventGapTargetMs) * time.Millisecond
	return r.first.Sub(r.created) <= target && (gap == 0 || r.worstGap <= gap)
}

// mayRetry reports whether a client may send the request again after this outcome.
func (c *client) mayRetry(r *request, o outcome) bool {
	switch o.status {
	case 400, 401, 404, 413, 431:
		return false
	}
	return o.unsent || provesNotRun(o.status) || r.route.Idempotent()
}

// readTimeout is how long a client waits for the next byte.
func (r *request) readTimeout() time.Duration {
	target := time.Duration(r.route.LatencyTargetMs) * time.Millisecond
	gap := time.Duration(r.route.EventGapTargetMs) * time.Millisecond
	return max(2*time.Second, 4*target, 8*gap)
}

// attempt sends a request once and reads its answer. The first attempt reuses an idle connection if there is one.
func (c *client) attempt(r *request, try uint64, deadline time.Time) (o outcome) {
	k, persistent, err := c.connect(try, deadline)
	if err != nil {
		return outcome{unsent: true, err: err}
	}
	s := r.newAttempt(k, persistent)
	s.deadline, s.sentAt = deadline, time.Now()
	if c.directory != nil {
		s.identity = c.directory.Identify(r.route, r.ids)
	}
	c.ledger.send(s)
	reusable := false
	stopLeaving := c.leaveLater(r, s, k)
	defer func() {
		stopLeaving()
		c.ledger.mu.Lock()
		o.left = !s.left.IsZero() && !o.complete
		s.status, s.end, s.endedAt = o.status, o.String(), time.Now()
		c.ledger.mu.Unlock()
		if reusable {
			c.putIdle(k)
		} else {
			_ = k.Close()
		}
	}()
	_ = k.SetDeadline(deadline)
	if _, err := k.Write(r.bytes(s.id, deadline, s.identity)); err != nil {
		return outcome{err: err} // the node may have read the request
	}
	c.ledger.written(s)
	extend := func() {
		if end := time.Now().Add(r.readTimeout()); r.events > 0 && end.Before(deadline) {
			_ = k.SetReadDeadline(end)
		}
	}
	extend()
	resp, err := c.readHead(s, k) //nolint:bodyclose // the body is read to its end, or the connection is closed
	if err != nil {
		return outcome{err: err}
	}
	o = c.readBody(s, r, resp, extend)
	if o.err != nil {
		return o
	}
	if k.br.Buffered() > 0 {
		c.ledger.violated(Mixed, s.id, "received bytes after the end of the answer")
		return o
	}
	reusable = !resp.Close
	k.noteIdleTimeout(resp)
	return o
}

// newAttempt returns the record of one attempt with a new request ID.
func (r *request) newAttempt(k *conn, persistent bool) *sent {
	s := &sent{
		id:         fmt.Sprintf("%016x", r.ids.Uint64()),
		sum:        engine.Sum(r.method, r.uri, r.body),
		idempotent: r.route.Idempotent(),
		front:      k.RemoteAddr().String(),
		persistent: persistent,
		events:     r.events,
		route:      r.route.Name,
	}
	for _, share := range r.route.Shares {
		s.services = append(s.services, share.Service)
	}
	return s
}

// connect returns an idle connection for the first attempt if there is one, and else a new connection to the front that the
// client's hash and the number of the attempt select.
func (c *client) connect(try uint64, deadline time.Time) (k *conn, persistent bool, err error) {
	if try == 0 {
		if k = c.popIdle(); k != nil {
			return k, true, nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	k, err = dial(ctx, c.front, c.zone, c.hash+try)
	return k, false, err
}

var errNoAnswer = errors.New("no answer")

// readHead reads the head of an answer. Bytes that are not an HTTP response are a violation.
func (c *client) readHead(s *sent, k *conn) (*http.Response, error) {
	if head, err := k.br.Peek(5); err != nil && len(head) == 0 {
		return nil, err
	} else if !strings.HasPrefix("HTTP/", string(head)) {
		c.ledger.violated(Mixed, s.id, "not an HTTP response: %q", head)
		return nil, errNoAnswer
	}
	resp, err := http.ReadResponse(k.br, nil) //nolint:bodyclose // the body is read to its end, or the connection is closed
	if err != nil {
		if !errors.Is(err, io.ErrUnexpectedEOF) && !isConnectionError(err) {
			c.ledger.violated(Mixed, s.id, "invalid HTTP response: %v", err)
		}
		return nil, err
	}
	return resp, nil
}

// readBody reads the body of an answer and checks it. It calls extend before each read of a stream.
func (c *client) readBody(s *sent, r *request, resp *http.Response, extend func()) (o outcome) {
	o.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.wait = time.Duration(seconds * float64(time.Second))
	}
	if id := resp.Header.Get(engine.HeaderRequest); id != "" && id != s.id {
		c.ledger.violated(Mixed, s.id, "received the answer to request %s", id)
	}
	switch {
	case o.status/100 != 2:
		_, o.err = io.Copy(io.Discard, resp.Body)
	case r.events == 0:
		o.err = c.checkPlain(s, resp)
	default:
		o.err = c.events(s, r, resp, extend)
	}
	o.complete = o.err == nil && o.status/100 == 2
	return o
}

// noteIdleTimeout records until when the node keeps the connection open if an answer announces it.
func (k *conn) noteIdleTimeout(resp *http.Response) {
	_, value, ok := strings.Cut(resp.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	value, _, _ = strings.Cut(value, ",")
	if seconds, err := strconv.Atoi(value); err == nil {
		k.until = time.Now().Add(time.Duration(seconds)*time.Second - idleSlack)
	}
}

// leaveLater closes the connection of an attempt after the request's leaveAfter, if that is set. The returned function cancels
// it.
func (c *client) leaveLater(r *request, s *sent, k *conn) (stop func()) {
	if r.leaveAfter == 0 {
		return func() {}
	}
	timer := time.AfterFunc(r.leaveAfter, func() {
		c.ledger.mu.Lock()
		s.left = time.Now()
		c.ledger.mu.Unlock()
		_ = k.Close()
	})
	return func() { timer.Stop() }
}

// isConnectionError reports whether a read failed because of the connection, not because of the content.
func isConnectionError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, io.EOF)
}

// bytes returns the request of one attempt in wire format.
func (r *request) bytes(id string, deadline time.Time, identity Identity) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d\r\n",
		r.method, r.uri, r.route.Host, len(r.body),
		engine.HeaderRequest, id, engine.HeaderTimeLeft, max(1, time.Until(deadline).Milliseconds()))
	if r.last > 0 {
		fmt.Fprintf(&out, "%s: %d\r\n", engine.HeaderLast, r.last)
	}
	header := r.header.Clone()
	identity.set(header)
	_ = header.Write(&out) // writing to memory cannot fail
	out.WriteString("\r\n")
	out.Write(r.body)
	return out.Bytes()
}

// checkSuccess checks the headers of a successful answer and stores its seal, to be checked against the runs later.
func (c *client) checkSuccess(s *sent, resp *http.Response) {
	c.ledger.mu.Lock()
	s.seal = resp.Header.Get(engine.HeaderSeal)
	c.ledger.mu.Unlock()
	if s.seal == "" {
		c.ledger.violated(Mixed, s.id, "successful answer without a seal")
	}
	if e := resp.Header.Get("Content-Encoding"); e != "" {
		c.ledger.violated(Mixed, s.id, "unexpected Content-Encoding %s", e)
	}
}

// checkPlain reads and checks the answer of a plain endpoint.
func (c *client) checkPlain(s *sent, resp *http.Response) error {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	c.checkSuccess(s, resp)
	if !bytes.Equal(body, engine.PlainBody(s.id)) {
		c.ledger.violated(Mixed, s.id, "the body of %d bytes differs from the endpoint's", len(body))
	}
	return nil
}

var errOrder = errors.New("the stream is out of order")

// events reads a stream and checks its events.
func (c *client) events(s *sent, r *request, resp *http.Response, extend func()) error {
	c.checkSuccess(s, resp)
	lines := bufio.NewReader(resp.Body)
	id := 0
	for {
		extend()
		line, err := lines.ReadString('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err != nil {
			if r.last < r.events || line != "" {
				c.ledger.violated(Order, s.id, "the stream ends without an error after event %d of %d", r.last, r.events)
				return errOrder
			}
			return nil
		}
		field, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch field {
		case "id":
			if id, err = strconv.Atoi(value); err != nil || id != r.last+1 {
				c.ledger.violated(Order, s.id, "event %q after event %d", value, r.last)
				return errOrder
			}
		case "data":
			if id != r.last+1 || value != engine.Event(s.id, id) {
				c.ledger.violated(Order, s.id, "event %d has wrong data", id)
				return errOrder
			}
			now := time.Now()
			if r.first.IsZero() {
				r.first = now
			} else {
				r.worstGap = max(r.worstGap, now.Sub(r.newest))
			}
			r.newest = now
			r.last = id
		}
	}
}

// sorted returns the figures sorted by kind.
func sorted(m map[string]*Figures) (out []Figures) {
	for _, f := range m {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b Figures) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}
