package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/telemetry"
)

const (
	// answerTimeout is how long an answer is awaited. After that its tokens count as granted and lost. A store takes
	// refunds of a grant for 2.56 s (see docs/quotas.md).
	answerTimeout = 2 * time.Second
	// minUnavailableRetry and maxUnavailableRetry bound the RetryAfter of requests that could not be counted. It is drawn,
	// so that the clients of all proxies don't come back at once when a store counts again.
	minUnavailableRetry = 300 * time.Millisecond
	maxUnavailableRetry = 500 * time.Millisecond
	// idleInterval is the period of the timer while there is nothing to wait for.
	idleInterval = time.Hour
)

// Stores are the links of a proxy to the stores. They are safe for concurrent use.
type Stores interface {
	// PrimaryOf returns the store that is primary of the partition of a key; false if there is no connection to it.
	PrimaryOf(key string) (store uint64, connected bool)
	// CallStore calls a store.
	CallStore(ctx context.Context, store uint64, kind link.Kind, body []byte) ([]byte, error)
}

// ClientOptions configure a Client.
type ClientOptions struct {
	Stores Stores
	Log    hclog.Logger // for requests that could not be counted; nil: no log
}

// Client is the Limiter of a proxy: it asks the stores that count for the tenants. Requests that arrive while calls are
// in flight share the next one. It is safe for concurrent use.
type Client struct {
	stores    Stores
	uncounted *telemetry.EventLog
	startedAt time.Time // the origin of the core's times; read by the monotonic clock

	ctx        context.Context // ends with Close
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	rearm      chan struct{} // the timer has to ring earlier

	mu     sync.Mutex // not held over I/O
	core   *clientCore
	ringAt time.Duration // when the timer rings
}

var _ Limiter = (*Client)(nil)

// NewClient starts a Client. Close ends it.
func NewClient(options ClientOptions) *Client {
	log := options.Log
	if log == nil {
		log = hclog.NewNullLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		stores:    options.Stores,
		uncounted: telemetry.NewEventLog(log),
		startedAt: time.Now(),
		ctx:       ctx,
		cancel:    cancel,
		rearm:     make(chan struct{}, 1),
		ringAt:    idleInterval,
	}
	c.core = newClientCore(func(tenant string) (uint64, bool) { return c.stores.PrimaryOf(PartitionKey(tenant)) })
	c.goroutines.Go(c.runTimer)
	return c
}

// RegisterMetrics registers the gauge of the requests that wait for a token.
func (c *Client) RegisterMetrics() {
	telemetry.GaugeFunc("dunetide_proxy_quota_waiting", func() float64 { return float64(c.waiting()) })
}

// Close refuses all requests that wait, gives the calls in flight up, and waits for the goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.core.close()
	c.mu.Unlock()
	c.cancel()
	c.goroutines.Wait()
}

// waiting returns how many requests wait for an answer.
func (c *Client) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.waiting
}

// Admit implements Limiter. It returns an *UnavailableError when the deadline of the context has passed, or at once if
// too many requests wait.
func (c *Client) Admit(ctx context.Context, tenant *operatorconfig.Tenant, configVersion uint64) (Permit, error) {
	if !tenant.Limited() {
		return unlimited{}, nil
	}
	limit := Limit{ConfigVersion: configVersion, RatePerSecond: tenant.RatePerSecond, Burst: tenant.Burst}
	arrivedAt := c.now()
	var w *waiter
	c.step(func() { w = c.core.admit(tenant.Name, limit) })
	if w == nil {
		return nil, c.unavailable(tenant.Name, "too many requests wait", 0)
	}
	for {
		select {
		case <-w.answered:
		case <-ctx.Done():
		}
		state, token := c.claim(w, ctx.Err())
		waited := c.now() - arrivedAt
		switch state {
		case waiterGranted:
			requestsGranted.Inc()
			countWait(waited)
			return &permit{client: c, tenant: tenant.Name, limit: limit, token: token}, nil
		case waiterRefused:
			requestsExceeded.Inc()
			countWait(waited)
			return nil, &ExceededError{Tenant: tenant.Name, RetryAfter: w.retryAfter}
		case waiterClosed:
			return nil, c.unavailable(tenant.Name, "the proxy stops", waited)
		case waiterGone:
			return nil, c.leftError(ctx, tenant.Name, waited)
		default: // the token was too old, and another one has been asked for
		}
	}
}

// claim returns the answer that a waiter has. With the error of its context, a waiter without an answer leaves, and so
// does one whose request was cancelled: its token is refunded.
func (c *Client) claim(w *waiter, contextErr error) (state waiterState, granted grantedToken) {
	c.step(func() {
		var stale bool
		state, stale = c.core.claim(w, c.now())
		granted = w.token
		if stale {
			tokensStale.Inc()
		}
		unanswered := contextErr != nil && state == waiterPending
		cancelled := errors.Is(contextErr, context.Canceled) && state == waiterGranted
		if unanswered || cancelled {
			c.core.leave(w, c.now())
			state = w.state
		}
	})
	return state, granted
}

// leftError returns the error of a request whose context ended before it had an answer.
func (c *Client) leftError(ctx context.Context, tenant string, waited time.Duration) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return c.unavailable(tenant, "no store answered in time", waited)
	}
	requestsLeft.Inc()
	return ctx.Err()
}

// unavailable counts and logs a request that could not be counted, and returns its error.
func (c *Client) unavailable(tenant, reason string, waited time.Duration) error {
	requestsUnavailable.Inc()
	c.uncounted.Event("request not counted", func() []any {
		store, connected := c.stores.PrimaryOf(PartitionKey(tenant))
		return []any{
			"tenant", tenant, "reason", reason, "waited", waited.Round(time.Millisecond),
			"primary", store, "connected", connected,
		}
	})
	spread := rand.N(maxUnavailableRetry - minUnavailableRetry)
	return &UnavailableError{Tenant: tenant, RetryAfter: minUnavailableRetry + spread}
}

// now returns the time since the start by the monotonic clock.
func (c *Client) now() time.Duration { return time.Since(c.startedAt) }

// step changes the core, sends the calls that follow, and sets the timer.
func (c *Client) step(change func()) {
	c.mu.Lock()
	change()
	var calls []*clientCall
	if !c.core.closed {
		now := c.now()
		calls = c.core.startCalls(now)
		c.setTimer(now)
	}
	for _, call := range calls {
		// Within the lock, so that Close, which sets closed first, waits for all of them.
		c.goroutines.Go(func() { c.call(call) })
	}
	c.mu.Unlock()
}

// setTimer has the timer ring when the core has something to do.
func (c *Client) setTimer(now time.Duration) {
	at, any := c.core.nextTime(now)
	if !any || at >= c.ringAt {
		return
	}
	c.ringAt = at
	select {
	case c.rearm <- struct{}{}:
	default: // it has not yet read the previous change
	}
}

// runTimer calls the core at the times that it asks for.
func (c *Client) runTimer() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.rearm:
			c.mu.Lock()
		case <-timer.C:
			c.mu.Lock()
			c.ringAt = c.now() + idleInterval
			c.mu.Unlock()
			c.step(func() {})
			c.mu.Lock()
		}
		timer.Reset(c.ringAt - c.now())
		c.mu.Unlock()
	}
}

// call sends a call and passes its answer to the core.
func (c *Client) call(call *clientCall) {
	ctx, cancel := context.WithTimeout(c.ctx, answerTimeout)
	defer cancel()
	request := call.request()
	for i := range request.Demands {
		for _, refund := range request.Demands[i].Refunds {
			refundsSent.Add(int(refund.Tokens))
		}
	}
	reply := c.exchange(ctx, call.store, request)
	c.step(func() { c.core.endCall(call.number, reply, c.now()) })
}

// exchange sends a request to a store and returns its reply; nil if there is none.
func (c *Client) exchange(ctx context.Context, store uint64, request *AdmitRequest) *AdmitReply {
	sentAt := c.now()
	body, err := c.stores.CallStore(ctx, store, KindAdmit, request.Encode())
	if err != nil {
		callsFailed.Inc()
		return nil
	}
	reply, err := ReadAdmitReply(body)
	if err != nil {
		callsFailed.Inc()
		return nil
	}
	if c.now()-sentAt < overdueAfter {
		callsAnswered.Inc()
	} else {
		callsFailed.Inc()
	}
	for _, answer := range reply.Answers {
		if answer.Outcome == NotOwner {
			notOwnerAnswers.Inc()
		}
	}
	return reply
}

// permit is a token that a store granted.
type permit struct {
	client   *Client
	tenant   string
	limit    Limit
	token    grantedToken
	refunded atomic.Bool
}

// Refund implements Permit. Calls after the first do nothing.
func (p *permit) Refund() {
	if p.refunded.Swap(true) {
		return
	}
	c := p.client
	c.step(func() { c.core.refund(p.tenant, p.limit, p.token, 1, c.now()) })
}

// unlimited is the permit of a tenant without a limit.
type unlimited struct{}

// Refund implements Permit.
func (unlimited) Refund() {}
