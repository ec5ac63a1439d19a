package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunetide/internal/attempt"
	"dunetide/internal/dispatch"
	"dunetide/internal/operator"
	"dunetide/internal/upstream"
	"dunetide/internal/view"
)

// The names of headers, as the parser writes them.
const (
	headID       = "X-Dunetide-Request-Id"
	headTimeLeft = "X-Dunetide-Time-Left-Ms"
	headTarget   = "X-Dunetide-Target-Instance"
	headSeal     = "X-Dunetide-Server-Seal"
	headNotRun   = "X-Dunetide-Not-Run"
	headLoad     = "X-Dunetide-Server-Load"
	headModel    = "X-Dunetide-Model"
	headTokens   = "X-Dunetide-Token-Count"
	headPrefix   = "X-Dunetide-Prompt-Prefix"
	headLast     = "Last-Event-Id"
	headReason   = "X-Dunetide-Reason"
)

const (
	// atOnce is how long a body may be that is read whole before its head is passed on.
	atOnce = 256 << 10
	// longestEvent bounds one event.
	longestEvent = 4 << 20
	// maxSurplus is how many answers that belong to earlier calls may come before the one that counts.
	maxSurplus = 3
	// moreTurns is how many endpoints may turn a request away, beyond its tries.
	moreTurns = 3
	// worthwhile is the time that must be left for another sending.
	worthwhile = 5 * time.Millisecond
	// ownAnswer is how long before the client's deadline it is told that its time is up, and
	// endpointAhead how much sooner an endpoint is told to stop.
	ownAnswer     = 10 * time.Millisecond
	endpointAhead = 10 * time.Millisecond
	// pooledMost is the size of the largest buffer that is kept.
	pooledMost = 64 << 10
)

var (
	errNotNext = errors.New("an event is not the next one")
	errTooLong = errors.New("an event is too long")
	errForeign = errors.New("the answer is not the endpoint's to this request")
)

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) {
	if cap(*b) <= pooledMost {
		*b = (*b)[:0]
		buffers.Put(b)
	}
}

// exchange is one request or item with all its sendings.
type exchange struct {
	p        *Proxy
	ctx      context.Context // ends when nobody waits any more
	req      dispatch.Request
	method   string
	head     []byte // of the call; what each sending adds begins at base
	base     int
	body     []byte
	deadline time.Time // of the answer to the client; zero: none
	last     string    // the event that was passed on last, or was named by the client

	state      attempt.State
	headed     bool // the head was passed on
	tries      int  // endpoints that had it
	turns      int  // those that turned it away, or could not be reached
	retryAfter time.Duration
	err        error  // why the last sending broke
	reason     string // why it was refused, where the client is told

	// Of the sending under way.
	grant  dispatch.Grant
	run    uint64 // of a regulated run: its number in the record; 0: none
	unsent bool   // nothing of it was written
	conn   *upstream.Conn
	resp   *http.Response
	load   dispatch.Load
	stream events
}

func (x *exchange) now() time.Time { return x.p.o.Now() }

// left is the time until the deadline; a lot where there is none.
func (x *exchange) left() time.Duration {
	if x.deadline.IsZero() {
		return time.Hour
	}
	return x.deadline.Sub(x.now())
}

// conditions are what the next verdict depends on.
func (x *exchange) conditions() attempt.Conditions {
	r := x.req.Route
	timeLeft := x.left() > worthwhile
	return attempt.Conditions{
		Idempotent: r.Idempotent() || x.req.Bulk,
		Resumable:  r.Resume && x.stream.lastID != "" && !x.stream.unnamed,
		TriesLeft:  timeLeft && !x.req.Bulk && x.tries < max(1, r.Tries),
		TurnsLeft:  timeLeft && x.turns < max(1, r.Tries)+moreTurns,
	}
}

// follow takes an event in and says what is next.
func (x *exchange) follow(e attempt.Event) attempt.Verdict {
	switch e {
	case attempt.Rejected, attempt.NotWritten:
		x.turns++
	case attempt.Broken, attempt.Failed, attempt.FalseRefusal, attempt.BodyCut:
		x.tries++
	default:
	}
	if x.headed {
		x.state = attempt.HeadSent
	}
	var v attempt.Verdict
	x.state, v = attempt.Next(x.state, e, x.conditions())
	return v
}

// acquire asks for an endpoint.
func (x *exchange) acquire() (attempt.Event, bool) {
	if x.left() <= 0 {
		return attempt.DeadlineExceeded, false
	}
	since := time.Time{}
	if x.req.Regime != "" && x.req.Bulk {
		since = x.now()
	}
	g, err := x.p.o.Admission.Acquire(x.ctx, &x.req)
	if !since.IsZero() {
		x.waited(since, err == nil)
	}
	if err == nil {
		x.grant = g
		return 0, true
	}
	if x.ctx.Err() != nil {
		return attempt.ClientGone, false
	}
	var refused *dispatch.Refused
	if errors.As(err, &refused) {
		x.retryAfter = refused.RetryAfter
		if refused.Regime != "" {
			x.refusedFor(refused.Regime, refused.Reason)
		}
	}
	x.err = err
	if x.left() <= worthwhile {
		return attempt.DeadlineExceeded, false
	}
	return attempt.Refused, false
}

// send sends the request to the endpoint of the grant and reads the head of its answer. Unless
// it was answered, the send is over then; a 500 that may have to be passed on is left open.
func (x *exchange) send() attempt.Event {
	target := x.grant.Endpoint()
	x.req.Avoid = append(x.req.Avoid, target.ID)
	x.load = dispatch.Load{}
	if e, ok := x.connect(target); !ok {
		return e
	}
	x.layOut(target.ID)
	if x.p.o.Certified.Set() != nil {
		if e, ok := x.certified(target.ID); !ok {
			return e
		}
	}
	if err := x.roundTrip(); err != nil {
		return x.failed(err)
	}
	x.load = loadOf(x.resp.Header)
	e, outcome := x.classify()
	switch e {
	case attempt.Answered, attempt.Failed:
		x.grant.First(x.load)
	case attempt.Rejected:
		x.retryAfter = retryAfterOf(x.resp.Header)
		x.finishDrained(outcome)
	default:
		x.err = errForeign
		x.finishDrained(outcome)
	}
	return e
}

// connect takes a connection to the endpoint. If there is none, or no time is left, the send is over.
func (x *exchange) connect(target dispatch.Target) (attempt.Event, bool) {
	conn, err := x.takeConn(target)
	switch {
	case err == nil:
		x.conn = conn
	case x.ctx.Err() != nil:
		x.err = err
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.ClientGone, false
	case errors.Is(err, upstream.ErrBusy), errors.Is(err, upstream.ErrGone), errors.Is(err, upstream.ErrDeadline):
		x.err = err
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.NotWritten, false
	default: // nobody accepts its connections
		x.err = err
		x.finish(dispatch.Broken, upstream.Unused)
		return attempt.NotWritten, false
	}
	if x.left() <= worthwhile {
		x.finish(dispatch.Unsent, upstream.Unused)
		return attempt.DeadlineExceeded, false
	}
	return 0, true
}

// takeConn takes a connection that has not carried this id before.
func (x *exchange) takeConn(target dispatch.Target) (*upstream.Conn, error) {
	pool := x.p.poolOf(target)
	for {
		conn, err := pool.TakeBefore(x.ctx, x.deadline)
		if err != nil || !conn.Carried(x.req.ID) {
			return conn, err
		}
		conn.Retire()
		conn.Done(upstream.Unused)
	}
}

// roundTrip writes the request and reads the head of its answer. Before it, duplicates of answers
// to earlier calls on the connection may arrive: their ids differ, and they are read over.
func (x *exchange) roundTrip() (err error) {
	if !x.conditions().Idempotent {
		x.conn.HoldBackEnd()
	}
	x.resp, err = x.conn.Open(x.ctx, x.method, x.head, x.body, x.deadline)
	for n := 0; err == nil; n++ {
		matches, spliced := x.matches(), x.spliced()
		if matches && !spliced {
			return nil
		}
		if spliced || n == maxSurplus || !x.skippable() || !x.drain(atOnce) {
			return &upstream.CallError{Sent: true, Err: errForeign}
		}
		x.resp, err = x.conn.Next()
	}
	return err
}

// matches tells whether the answer names this request, and no other.
func (x *exchange) matches() bool {
	ids := x.resp.Header[headID]
	return len(ids) == 1 && ids[0] == x.req.ID
}

// spliced tells whether the head of the answer has another status line inside: the endpoint broke off
// the head of one answer and sent another one behind it. The status, and any header, may be of either.
func (x *exchange) spliced() bool {
	if hasStatusLine(x.resp.Status) {
		return true
	}
	for _, values := range x.resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine finds "HTTP/1.x NNN".
func hasStatusLine(s string) bool {
	const version, digits = "HTTP/1.", 3
	for {
		at := strings.Index(s, version)
		if at < 0 {
			return false
		}
		s = s[at+len(version):]
		if len(s) >= 2+digits && s[1] == ' ' && !strings.ContainsFunc(s[2:2+digits], func(r rune) bool { return r < '0' || r > '9' }) {
			return true
		}
	}
}

// skippable tells whether an answer to another call can be read over: it has to have an id, and an
// end that does not depend on the method of the call that it belongs to.
func (x *exchange) skippable() bool {
	return x.method != http.MethodHead && x.resp.Header.Get(headID) != "" && x.delimited()
}

// failed ends a sending that broke, and says what that was.
func (x *exchange) failed(err error) attempt.Event {
	x.err = err
	var call *upstream.CallError
	sent := !errors.As(err, &call) || call.Sent
	switch {
	case x.ctx.Err() != nil:
		x.finish(dispatch.Left, upstream.GaveUp)
		return attempt.ClientGone
	case errors.Is(err, os.ErrDeadlineExceeded) && x.left() <= worthwhile:
		x.finish(dispatch.Silent, upstream.GaveUp)
		if sent {
			x.state = max(x.state, attempt.Sent)
		}
		return attempt.DeadlineExceeded
	case !sent:
		x.unsent = true
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.NotWritten
	default:
		x.finish(dispatch.Broken, upstream.Broken)
		return attempt.Broken
	}
}

// classify says what a head tells.
func (x *exchange) classify() (attempt.Event, dispatch.Outcome) {
	h, status := x.resp.Header, x.resp.StatusCode
	notRun := h.Get(headNotRun) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt.Rejected, dispatch.WrongOne
	case notRun && promisesNotRun(status):
		return attempt.Rejected, dispatch.NotRun
	case promisesNotRun(status):
		return attempt.FalseRefusal, dispatch.Failed
	case !plain(h.Get("Content-Encoding")), !x.delimited():
		return attempt.Broken, dispatch.Broken
	case status < 300 && (notRun || h.Get(headSeal) == ""):
		return attempt.Broken, dispatch.Broken
	case x.headed && (status != http.StatusOK || !isStream(h)) && status != http.StatusInternalServerError:
		return attempt.Broken, dispatch.Failed
	case status == http.StatusInternalServerError:
		return attempt.Failed, dispatch.Failed
	case status == http.StatusGatewayTimeout:
		return attempt.Answered, dispatch.Failed
	}
	return attempt.Answered, dispatch.Served
}

// promisesNotRun tells of the statuses that promise that a request has not run, if the endpoint says so
// in X-Dunetide-Not-Run too. Beside any other status that header is no proof.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

func plain(encoding string) bool { return encoding == "" || strings.EqualFold(encoding, "identity") }

func isStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// delimited tells whether the body's end can be told from a cut.
func (x *exchange) delimited() bool {
	return x.resp.ContentLength >= 0 || slices.Contains(x.resp.TransferEncoding, "chunked") || x.method == http.MethodHead
}

// drain reads the rest of the body, up to a bound, and tells whether it came to its end.
func (x *exchange) drain(most int64) bool {
	n, err := io.CopyN(io.Discard, x.resp.Body, most)
	return n < most && errors.Is(err, io.EOF)
}

// finishDrained ends a sending whose answer is of no use but for its connection.
func (x *exchange) finishDrained(o dispatch.Outcome) {
	end := upstream.Answered
	if o == dispatch.Broken {
		end = upstream.Broken
	} else if x.drain(4 << 10) {
		x.conn.Whole(x.resp)
		if x.req.Bulk { // it may be sent here again under the same id
			x.conn.Remember(x.req.ID)
		}
	}
	if o == dispatch.NotRun && x.resp.StatusCode == http.StatusServiceUnavailable {
		end = upstream.Full
	}
	x.finish(o, end)
}

// finish ends a sending.
func (x *exchange) finish(o dispatch.Outcome, end upstream.End) {
	if x.conn != nil {
		x.conn.Done(end)
		x.conn = nil
	}
	if x.grant != nil {
		x.grant.End(o, x.load)
		x.grant = nil
	}
	if x.run != 0 {
		x.recorded(o)
	}
}

// layOut puts what this sending adds behind the head that all have.
func (x *exchange) layOut(target string) {
	h := x.head[:x.base]
	h = field(h, headTarget, target)
	if !x.deadline.IsZero() {
		left := max(1, (x.left() - endpointAhead).Milliseconds())
		h = append(h, headTimeLeft...)
		h = append(h, ": "...)
		h = strconv.AppendInt(h, left, 10)
		h = append(h, "\r\n"...)
	}
	if x.last != "" {
		h = field(h, headLast, x.last)
	}
	x.head = append(h, "\r\n"...)
}

func field(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// ofConnection are the headers that concern one connection only, and those that are laid out by
// themselves.
var ofConnection = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true, "Host": true,
	headTarget: true, headTimeLeft: true, headLast: true,
}

// named tells which headers a Connection header names.
func named(h http.Header) func(name string) bool {
	lines := h["Connection"]
	if len(lines) == 0 {
		return func(string) bool { return false }
	}
	var names []string
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return func(name string) bool { return slices.Contains(names, name) }
}

// layOutHead begins the head of a call: what all sendings have.
func (x *exchange) layOutHead(target, host string, h http.Header, length int) {
	b := append(x.head[:0], x.method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = field(b, "Host", host)
	drop := named(h)
	for name, values := range h {
		if ofConnection[name] || drop(name) && name != headID {
			continue
		}
		for _, v := range values {
			b = field(b, name, v)
		}
	}
	if length > 0 || x.method != http.MethodGet && x.method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(length), 10)
		b = append(b, "\r\n"...)
	}
	x.head, x.base = b, len(b)
}

// describe fills in what dispatch has to know.
func (x *exchange) describe(route *operator.Route, get func(string) string) {
	x.req.ID, x.req.Route = get(headID), route
	x.req.Model = get(headModel)
	if in, out, ok := strings.Cut(get(headTokens), ","); ok {
		x.req.TokensIn, x.req.TokensOut = atoi(in), atoi(out)
	}
	if parts := get(headPrefix); parts != "" {
		x.req.Prefix = make([]dispatch.Part, 0, strings.Count(parts, ",")+1)
		for part := range strings.SplitSeq(parts, ",") {
			id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
			n, err := strconv.ParseUint(id, 16, 64)
			if err != nil {
				n = view.Hash(id)
			}
			x.req.Prefix = append(x.req.Prefix, dispatch.Part{ID: n, Tokens: atoi(tokens)})
		}
	}
	x.req.Service = x.p.draw(route, x.req.ID)
	if x.p.o.Certified.Set() != nil {
		x.demand()
	}
}

// atoi reads a number that is not negative; 0 if it is none.
func atoi(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// draw draws a service by the weights, the same one for the same id.
func (p *Proxy) draw(route *operator.Route, id string) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	at := p.o.Rand()
	if id != "" {
		at = float64(view.Hash(id)>>11) / (1 << 53)
	}
	sum := 0.0
	for _, s := range route.Shares {
		sum += max(0, s.Weight)
	}
	at *= sum
	drawn := ""
	for _, s := range route.Shares {
		if s.Weight <= 0 {
			continue
		}
		drawn = s.Service
		if at -= s.Weight; at < 0 {
			break
		}
	}
	return drawn
}

// loadOf reads "running,waiting,slots".
func loadOf(h http.Header) dispatch.Load {
	line := h.Get(headLoad)
	if line == "" {
		return dispatch.Load{}
	}
	running, rest, _ := strings.Cut(line, ",")
	waiting, slots, ok := strings.Cut(rest, ",")
	return dispatch.Load{Running: atoi(running), Waiting: atoi(waiting), Slots: atoi(slots), Known: ok}
}

func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 || s > 60 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
