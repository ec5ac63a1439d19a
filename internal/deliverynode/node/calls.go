package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/upstream"
	"dunetide/policy"
)

const (
	// maxResponse is the maximum number of bytes that are read of a response body.
	maxResponse = 64 << 10
	// drainTimeout is the timeout for reading the rest of a response.
	drainTimeout = 200 * time.Millisecond
	waitHeader   = "X-Backoff-Ms"
	loadHeader   = "X-Server-Load"
	// defaultEndpointSockets is the maximum number of connections to endpoints where the configuration has no limit.
	defaultEndpointSockets = 1024
	// reservedSockets is the number of descriptors reserved for the listener, discovery, notices and the journal.
	reservedSockets = 24
)

// gate holds the time from which, or until which, nothing may be sent. The module applies both rules itself; the gate
// stops calls that it decided on earlier and that are still dialling: what counts is when their bytes are sent.
type gate struct {
	closedFrom  atomic.Int64 // Unix nanoseconds, 0 for never
	closedUntil atomic.Int64
}

func (g *gate) open(now time.Time) bool {
	from := g.closedFrom.Load()
	return (from == 0 || now.UnixNano() < from) && now.UnixNano() >= g.closedUntil.Load()
}

func (g *gate) wait(until time.Time) {
	for {
		old := g.closedUntil.Load()
		if old >= until.UnixNano() || g.closedUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// endpoint is one address of a destination.
type endpoint struct {
	id       policy.EndpointID
	name     string
	addr     string // owned by the loop
	listed   member // the last list entry; owned by the loop
	dest     int
	kind     int
	zone     int
	leaving  *gate       // closes when it drains or is gone
	excluded atomic.Bool // taken out by an operator
	waits    *gate       // requested waits of its route, or of its destination where routes share a limit
	pool     *upstream.Pool
	inFlight int // messages in flight; owned by the loop
}

// callMessage is one message of a call.
type callMessage struct {
	message *journal.Message
	attempt int
	timeout time.Duration
	over    bool // its outcome has been reported; guarded by the call's mutex
	// attempted is set once the attempt is journaled. A call is sent only after that.
	attempted bool
}

// call is one call to an endpoint: one message, or several in a bundle.
type call struct {
	endpoint *endpoint
	addr     string
	started  time.Time
	limit    time.Duration

	mu         sync.Mutex
	messages   []*callMessage
	loadReport policy.Allowance // load report of the response
}

// caller makes calls. Each runs in a goroutine of its own.
type caller struct {
	pools         *upstream.Pools
	owner         *ownership
	log           *slog.Logger
	loadNames     []string // names of the values in a load report
	sync          bool     // attempts that may not be repeated are made durable before they are sent
	nonRepeatable []bool   // by class: may not be repeated
	notify        func(policy.Event)
	processes     *processGroup // the other processes of the node; nil where there are none
	copies        *copies       // copies of the journals on other nodes; nil without copies
	running       sync.WaitGroup
}

func newCaller(c Config, log *slog.Logger, tell func(policy.Event)) *caller {
	connect := c.Settings.ConnectTimeout
	if connect <= 0 {
		connect = time.Second
	}
	dialer := net.Dialer{KeepAlive: -1}
	var nonRepeatable []bool
	for _, k := range c.Settings.Classes {
		nonRepeatable = append(nonRepeatable, k.Repeat != policy.Idempotent)
	}
	return &caller{log: log, loadNames: c.Settings.Reported, sync: c.Sync, nonRepeatable: nonRepeatable, notify: tell,
		pools: upstream.New(upstream.Config{
			Dial: func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
			Now:  time.Now, Rand: rand.Float64,
			Senders: c.Settings.Senders * max(1, c.Members), MaxOpen: c.endpointSockets(), DialTimeout: connect,
			// An endpoint may close an idle connection some time before the settings' limit; a request that is in
			// flight then ends as a reset.
			MaxIdle: c.IdleClose * 4 / 5, Preconnect: c.Warm, WarmUp: c.Settings.WarmUp})}
}

// endpointSockets returns how many descriptors remain for connections to endpoints, after those for the clients, the
// journal, discovery, notices and the console.
func (c Config) endpointSockets() int {
	if c.Sockets <= 0 {
		return defaultEndpointSockets
	}
	own := reservedSockets + c.fleetSockets()
	if c.Console != "" {
		own += maxConsoleConns
	}
	return max(1, c.Sockets-maxClientConns(c.Sockets)-own)
}

// start makes a call in the background.
func (c *caller) start(ctx context.Context, k *call) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.run(ctx, k)
	}()
}

// run makes one call: it connects, records the attempts, sends, and handles the response.
func (c *caller) run(ctx context.Context, k *call) {
	ctx, cancel := context.WithDeadline(ctx, k.started.Add(k.limit))
	defer cancel()
	ctx, end := c.copies.whileLeased(ctx, k)
	defer end()
	conn := c.connect(ctx, k)
	if conn == nil {
		return
	}
	now := time.Now()
	// The connection was made after the module's decision. Drains, waits and orders that arrived in the meantime apply to
	// this call too, because it has not been sent.
	if !c.mayCall(k.endpoint) || !c.copies.maySend(k) {
		c.notSent(k, conn)
		return
	}
	if !c.recordAttempts(k, now) {
		c.notSent(k, conn)
		return
	}
	if err := c.makeDurable(k); err != nil {
		c.log.Warn("call: not sent", "endpoint", k.endpoint.name, "err", err)
		c.notSent(k, conn)
		return
	}
	defer c.startTimers(k)()
	req, err := k.request(ctx)
	if err != nil {
		c.log.Error("call: building the request failed", "err", err)
		c.notSent(k, conn)
		return
	}
	resp, err := conn.Send(ctx, req) //nolint:bodyclose // handleResponse reads and closes it
	if err != nil {
		c.endFailed(ctx, k, conn, err)
		return
	}
	c.handleResponse(ctx, k, conn, resp)
}

// connect returns a connection to the endpoint of a call. Without one it ends the call and returns nil.
func (c *caller) connect(ctx context.Context, k *call) *upstream.Conn {
	conn, err := k.endpoint.pool.Acquire(ctx)
	switch {
	case errors.Is(err, upstream.ErrBusy), errors.Is(err, upstream.ErrRemoved): // no evidence about the endpoint
		c.log.Debug("call: not sent", "endpoint", k.endpoint.name, "err", err)
		c.endAll(k, policy.Moot, 0, false)
		return nil
	case err != nil:
		c.log.Debug("call: no connection", "endpoint", k.endpoint.name, "err", err)
		c.endAll(k, policy.Unreachable, 0, false)
		return nil
	}
	return conn
}

// notSent releases the connection of a call that was not sent, and ends the call.
func (c *caller) notSent(k *call, conn *upstream.Conn) {
	conn.Release(upstream.Unused)
	c.endAll(k, policy.Moot, 0, false)
}

// recordAttempts records an attempt at each message of a call, and reports whether all were recorded.
func (c *caller) recordAttempts(k *call, at time.Time) bool {
	for _, p := range k.messages {
		if err := p.message.Home().Attempt(p.message, k.endpoint.name, k.endpoint.zone, at); err != nil {
			c.log.Warn("call: not sent", "id", p.message.ID, "err", err)
			return false
		}
		p.attempted = true
	}
	return true
}

// startTimers ends the messages of a call that time out before the call itself does. The function that it returns stops
// the timers.
func (c *caller) startTimers(k *call) (stop func()) {
	var timers []*time.Timer
	for _, p := range k.messages {
		if p.timeout < k.limit {
			timers = append(timers, time.AfterFunc(p.timeout-time.Since(k.started), func() { c.end(k, p, policy.TimedOut, 0, false) }))
		}
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

// endFailed ends a call that got no response. It releases the connection before it reports the outcome, because the slot and
// the endpoint must be free again when the next call is sent.
func (c *caller) endFailed(ctx context.Context, k *call, conn *upstream.Conn, err error) {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	if late {
		conn.Release(upstream.Canceled)
	} else {
		conn.Release(upstream.Broken)
	}
	var broke *upstream.CallError
	sent := !errors.As(err, &broke) || broke.Sent
	switch {
	case len(k.messages) == 1 && broke != nil && broke.Delivered:
		c.endAll(k, policy.Delivered, 0, false)
	case !sent:
		c.endAll(k, policy.Unreachable, 0, false)
	case late:
		c.endAll(k, policy.TimedOut, 0, false)
	default:
		c.log.Debug("call: connection failed", "endpoint", k.endpoint.name, "err", err)
		c.endAll(k, policy.Reset, 0, false)
	}
}

// mayCall reports whether a call may be sent now. After a suspension of the process, its share of the node may have expired.
func (c *caller) mayCall(e *endpoint) bool {
	return e.mayCall() && (c.processes == nil || c.processes.group.MaySend())
}

// makeDurable makes the attempts at messages that may not be repeated durable and waits for a copy of them, where the
// configuration requires it. It fails if the call may no longer be sent after that.
func (c *caller) makeDurable(k *call) error {
	if !c.sync && c.copies == nil || !c.anyNonRepeatable(k) {
		return nil
	}
	all := journalsOf(k.messages, func(p *callMessage) *journal.Message { return p.message })
	for _, j := range all {
		if err := j.Sync(); err != nil {
			return fmt.Errorf("the attempt is not durable: %w", err)
		}
	}
	if c.copies != nil {
		if err := c.copies.copied(all, 1); err != nil {
			return fmt.Errorf("no other node has a copy of the attempt: %w", err)
		}
	}
	if !c.mayCall(k.endpoint) || !c.copies.maySend(k) {
		return errors.New("the endpoint no longer accepts calls")
	}
	return nil
}

// journalsOf returns the journals of some messages, each once.
func journalsOf[T any](of []T, message func(T) *journal.Message) (all []*journal.Journal) {
	for _, x := range of {
		if j := message(x).Home(); !slices.Contains(all, j) {
			all = append(all, j)
		}
	}
	return all
}

// request builds the HTTP request of the call.
func (k *call) request(ctx context.Context) (*http.Request, error) {
	path, body := "/events", k.messages[0].message.Body
	if len(k.messages) > 1 {
		path = "/events/bundle"
		var b bytes.Buffer
		for _, p := range k.messages {
			key := p.message.Key
			if key == "" {
				key = "-"
			}
			fmt.Fprintf(&b, "%s %s %d\r\n", p.message.ID, key, len(p.message.Body))
			b.Write(p.message.Body)
			b.WriteString("\r\n")
		}
		body = b.Bytes()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+k.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "") // leaves it out
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(max(1, (k.limit-time.Since(k.started)).Milliseconds()), 10))
	if len(k.messages) == 1 {
		req.Header.Set("X-Request-ID", k.messages[0].message.ID)
		if key := k.messages[0].message.Key; key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
	}
	return req, nil
}

// handleResponse handles a response.
func (c *caller) handleResponse(ctx context.Context, k *call, conn *upstream.Conn, resp *http.Response) {
	k.mu.Lock()
	k.loadReport = c.parseLoadReport(resp.Header.Get(loadHeader))
	k.mu.Unlock()
	wait, waitOK := retryAfter(resp)
	if wait > 0 {
		// The gate must not close for longer than the module counts: otherwise it would stop a send that the module
		// decides on when the wait is over, which uses up an attempt.
		k.endpoint.waits.wait(time.Now().Add(wait))
		if c.processes != nil {
			c.processes.notify(notifyWait, k.endpoint.name, waitMessage{group.Clock() + wait})
		}
	}
	if len(k.messages) > 1 && resp.StatusCode == http.StatusOK {
		c.handleBundleResponse(ctx, k, conn, resp, wait)
	} else {
		c.handleSingleResponse(ctx, k, conn, resp, wait, waitOK)
	}
}

// handleSingleResponse handles a response that has one outcome for all messages of a call.
func (c *caller) handleSingleResponse(ctx context.Context, k *call, conn *upstream.Conn, resp *http.Response, wait time.Duration, waitOK bool) {
	outcome, over := c.statusOutcome(k, resp)
	if outcome == policy.Delivered { // even if the rest of the response is broken
		c.endAll(k, outcome, wait, over)
	}
	drain, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_, err := conn.Body(drain, resp, maxResponse)
	end := connOutcome(err)
	if err == nil && outcome == policy.Full && wait == 0 {
		end = upstream.Rejected
	}
	conn.Release(end)
	if err != nil || !waitOK {
		// Only a readable response proves that nothing ran.
		c.log.Debug("call: unreadable response", "endpoint", k.endpoint.name, "status", resp.Status, "err", err)
		outcome, over = policy.Failed, false
	}
	c.endAll(k, outcome, wait, over)
}

// handleBundleResponse handles a response with a result for each message of a bundle. Messages without a result may have run.
func (c *caller) handleBundleResponse(ctx context.Context, k *call, conn *upstream.Conn, resp *http.Response, wait time.Duration) {
	var ends map[string]string // empty if the response can't be read
	body, err := conn.Body(ctx, resp, maxResponse)
	if err == nil {
		ends = parseBundleResults(body)
	}
	conn.Release(connOutcome(err))
	lost := policy.Failed // the outcome of messages without a result
	if err != nil {
		lost = policy.Reset
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			lost = policy.TimedOut
		}
		c.log.Warn("call: unreadable response", "endpoint", k.endpoint.name, "err", err)
	}
	for _, p := range k.messages {
		outcome, over := bundleOutcome(ends[p.message.ID], lost)
		c.end(k, p, outcome, wait, over)
	}
}

// bundleOutcome maps the result of a message in a bundle's response to an outcome. Over: the message needs no further attempt.
func bundleOutcome(end string, lost policy.Outcome) (outcome policy.Outcome, over bool) {
	switch end {
	case "done":
		return policy.Delivered, false
	case "failed":
		return policy.Failed, false
	case "busy":
		return policy.Full, false
	case "void":
		return policy.Moot, true
	case "used_up":
		return policy.Moot, false
	}
	return lost, false
}

// connOutcome returns how the use of a connection ended, by the error of reading the response to its end.
func connOutcome(err error) upstream.Outcome {
	if err != nil {
		return upstream.Broken
	}
	return upstream.Answered
}

// statusOutcome maps the status of a response to an outcome. Over: the messages need no further attempt.
func (c *caller) statusOutcome(k *call, resp *http.Response) (outcome policy.Outcome, over bool) {
	switch resp.StatusCode {
	case http.StatusOK:
		return policy.Delivered, false
	case http.StatusTooManyRequests:
		return policy.Full, false
	case http.StatusServiceUnavailable:
		if resp.Header.Get("X-Egress-Full") == "1" {
			return policy.Moot, false
		}
		return policy.Full, false
	case http.StatusGone:
		return policy.Moot, true
	case http.StatusGatewayTimeout:
		return policy.Moot, false
	case http.StatusInternalServerError:
		return policy.Failed, false
	}
	c.log.Warn("call: unexpected status", "endpoint", k.endpoint.name, "status", resp.Status)
	return policy.Failed, false
}

// retryAfter parses the wait that a response requests. A 429 without a valid one counts as unreadable.
func retryAfter(resp *http.Response) (wait time.Duration, ok bool) {
	ms, err := strconv.ParseInt(resp.Header.Get(waitHeader), 10, 32)
	if err != nil || ms < 0 {
		return 0, resp.StatusCode != http.StatusTooManyRequests
	}
	return time.Duration(ms) * time.Millisecond, true
}

// parseLoadReport parses a load report, which has the destination's limit: name=value pairs, separated by commas. Fields that
// can't be parsed are ignored.
func (c *caller) parseLoadReport(header string) policy.Allowance {
	var a policy.Allowance
	for field := range strings.SplitSeq(header, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		if value, err := strconv.ParseFloat(text, 64); err == nil && slices.Contains(c.loadNames, name) {
			a.SetReported(name, value)
		}
	}
	return a
}

// parseBundleResults parses the results of a bundle's messages by their ids.
func parseBundleResults(body []byte) map[string]string {
	ends := map[string]string{}
	for line := range strings.Lines(string(body)) {
		if id, end, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			ends[id] = end
		}
	}
	return ends
}

func (c *caller) endAll(k *call, outcome policy.Outcome, wait time.Duration, over bool) {
	for _, p := range k.messages {
		c.end(k, p, outcome, wait, over)
	}
}

// end journals and reports the outcome of one message, once.
func (c *caller) end(k *call, p *callMessage, outcome policy.Outcome, wait time.Duration, over bool) {
	k.mu.Lock()
	first := !p.over
	p.over = true
	report := k.loadReport
	k.mu.Unlock()
	if !first {
		return
	}
	err := c.record(k, p, outcome, over)
	for errors.Is(err, journal.ErrReleased) {
		to, _ := c.owner.owner(context.Background()) // decided within handoverTimeout
		if to != nil {
			c.forwardOutcome(to, endedCall{Message: p.message.Number(), Outcome: outcome, Wait: wait, Over: over, Told: report}, p.attempted)
			return
		}
		err = c.record(k, p, outcome, over)
	}
	if err != nil {
		// The journal then has the attempt only: after a restart the message counts as possibly run.
		c.log.Error("journal: recording an outcome failed", "id", p.message.ID, "err", err)
	}
	c.notify(policy.Ended{Message: p.message.Number(), Attempt: p.attempt, Endpoint: k.endpoint.id, Outcome: outcome,
		Wait: wait, Final: over || outcome == policy.Delivered, Took: time.Since(k.started), Told: report})
}

// record journals the outcome of one message.
func (c *caller) record(k *call, p *callMessage, outcome policy.Outcome, over bool) error {
	switch {
	case outcome == policy.Delivered:
		return p.message.Home().Closed(p.message, k.endpoint.name, time.Now())
	case over:
		return p.message.Home().Closed(p.message, "", time.Now())
	}
	return p.message.Home().Outcome(p.message, outcome, k.endpoint.name, time.Now())
}

// forwardOutcome forwards the outcome of a call to the process that now owns its message. That process has no record of a call
// without a journaled attempt.
func (c *caller) forwardOutcome(to *link, e endedCall, attempted bool) {
	if !attempted {
		return
	}
	if _, _, err := to.send(passedOn{Ended: &e}); err != nil {
		c.log.Error("handover: forwarding an outcome failed", "message", e.Message, "err", err)
	}
}
