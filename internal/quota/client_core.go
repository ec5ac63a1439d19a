package quota

import (
	"cmp"
	"slices"
	"time"
)

// Bounds and times of a proxy's side. docs/quotas-client.md has the reasons.
const (
	// maxCallsPerStore is how many calls to one store may be in flight and not overdue. Requests that arrive meanwhile go
	// with the next.
	maxCallsPerStore = 2
	// overdueAfter is when a call no longer holds its requests and its place: they are asked for anew. Its tokens are
	// awaited further, to be used or refunded. Short, it repeats demands to a store or a process that is slow; long, it
	// delays the demand to another store.
	overdueAfter = maxGrantAge / 5
	// maxDemandsPerCall bounds a message. Tenants beyond it go first with the next call.
	maxDemandsPerCall = 256
	// maxWaiters and maxWaitersPerTenant bound the requests that wait. The second keeps one tenant from taking all places.
	maxWaiters          = 4096
	maxWaitersPerTenant = 1024
	// maxRefundsPerTenant bounds the grants with tokens to return. Others are lost: the tenant gets them back by its rate.
	maxRefundsPerTenant = 64
	// askAgainDelay is the pause before a tenant's next demand after one without an answer. A store that does not count
	// says how long the pause should be; it is kept within the other two. While nothing changes the pause doubles, up to
	// maxAskAgainDelay.
	askAgainDelay    = 30 * time.Millisecond
	minAskAgainDelay = 5 * time.Millisecond
	maxAskAgainDelay = 100 * time.Millisecond
	// refundDelay is how long refunds wait for a call that goes to their store anyway.
	refundDelay = 50 * time.Millisecond
	// maxGrantAge is the limit of the time from the sending of a call to the use of its tokens.
	maxGrantAge = 500 * time.Millisecond
	// maxRetrySpread bounds what is added to a store's RetryAfter so that refused clients don't come back at once. A
	// client honours a Retry-After only up to a third of the time that it has left.
	maxRetrySpread = time.Second
)

// noStore is the identity of no store.
const noStore uint64 = 0

// clientCore decides what a proxy asks which store, and which request gets a token. It has no I/O and no clock: its
// caller passes the time since a fixed moment, by a steady clock, and sends the calls that startCalls returns.
//
// It keeps these invariants, whatever answers are lost, late or doubled:
//   - Each waiter gets at most one answer.
//   - A token goes to a waiter that arrived before the call that obtained the token was sent, at most maxGrantAge after
//     that. So a token is granted between the arrival of its request and the moment at which the request goes on.
//   - The tokens used and refunded of a call are no more than those that its first answer granted. A call without an
//     answer is never repeated, because its tokens may have been granted: its requests are asked for in another call.
//   - Each token of an answer is given to one waiter or refunded. It is taken from the waiter before it is refunded.
type clientCore struct {
	// primaryOf returns the store that counts for a tenant by the newest table; false if it is not connected.
	primaryOf func(tenant string) (store uint64, connected bool)

	tenants     map[string]*tenantQueue
	order       []*tenantQueue // the same: those that were asked for last are at the end
	calls       map[uint64]*clientCall
	callsTo     map[uint64]int // number of calls in flight by store, without those that are overdue
	lastCall    uint64
	lastArrival uint64
	waiting     int // waiters without an answer
	closed      bool
}

func newClientCore(primaryOf func(tenant string) (store uint64, connected bool)) *clientCore {
	return &clientCore{
		primaryOf: primaryOf,
		tenants:   map[string]*tenantQueue{},
		calls:     map[uint64]*clientCall{},
		callsTo:   map[uint64]int{},
	}
}

// waiterState is the state of a waiter.
type waiterState uint8

const (
	waiterPending waiterState = iota // it has no answer
	waiterGranted                    // it has a token
	waiterRefused                    // its tenant is over the limit
	waiterClosed                     // the client was closed
	waiterGone                       // its request takes no answer any more
)

// waiter is a request that waits for a token.
type waiter struct {
	tenant     *tenantQueue
	arrival    uint64 // orders the waiters
	state      waiterState
	queued     bool          // it is in the queue of its tenant, so it waits for a call
	token      grantedToken  // if granted
	retryAfter time.Duration // if refused
	// answered receives a value when the waiter has got an answer, which claim then returns.
	answered chan struct{}
}

// grantedToken is a token with its origin.
type grantedToken struct {
	store   uint64
	grant   GrantID
	askedAt time.Duration // when the call that obtained it was sent
}

// clientCall is a call to a store.
type clientCall struct {
	number  uint64
	store   uint64
	sentAt  time.Duration
	demands []clientDemand
	overdue bool // its requests are asked for anew
}

// clientDemand is the demand of one tenant in a call.
type clientDemand struct {
	tenant  *tenantQueue
	waiters []*waiter
	request Demand
}

// request returns the message of a call.
func (call *clientCall) request() *AdmitRequest {
	message := &AdmitRequest{Demands: make([]Demand, len(call.demands))}
	for i := range call.demands {
		message.Demands[i] = call.demands[i].request
	}
	return message
}

// token returns the token that an answer to a call grants.
func (call *clientCall) token(answer Answer) grantedToken {
	return grantedToken{store: call.store, grant: answer.Grant, askedAt: call.sentAt}
}

// admit adds a request of a tenant; nil if there are too many.
func (c *clientCore) admit(name string, limit Limit) *waiter {
	if c.closed || c.waiting >= maxWaiters {
		return nil
	}
	t := c.queueOf(name, limit)
	if t.waiting >= maxWaitersPerTenant {
		return nil
	}
	c.lastArrival++
	w := &waiter{tenant: t, arrival: c.lastArrival, queued: true, answered: make(chan struct{}, 1)}
	t.waiters = append(t.waiters, w)
	t.waiting++
	c.waiting++
	return w
}

// queueOf returns the queue of a tenant, which it creates if needed, and updates its limit.
func (c *clientCore) queueOf(name string, limit Limit) *tenantQueue {
	t := c.tenants[name]
	if t == nil {
		t = &tenantQueue{name: name, limit: limit}
		c.tenants[name] = t
		c.order = append(c.order, t)
	}
	if limit.ConfigVersion >= t.limit.ConfigVersion {
		t.limit = limit
	}
	return t
}

// startCalls returns the calls to send now. It has to be called after each change, and at the time that nextTime
// returns.
func (c *clientCore) startCalls(now time.Duration) []*clientCall {
	c.releaseOverdue(now)
	var started []*clientCall
	for _, t := range c.order {
		if t.isDue(now) {
			started = c.addDemand(started, t, now)
		}
	}
	if len(started) > 0 {
		c.addCompanions(started, now)
	}
	c.reorder()
	return started
}

// addDemand adds the demand of a tenant to the call to its store, which it starts if there is none yet.
func (c *clientCore) addDemand(started []*clientCall, t *tenantQueue, now time.Duration) []*clientCall {
	store, connected := c.primaryOf(t.name)
	if !connected {
		t.keepRefunds(noStore)
		t.pause(now + askAgainDelay)
		return started
	}
	t.keepRefunds(store)
	if !t.wants() {
		return started
	}
	call := callTo(started, store)
	if call == nil {
		if c.callsTo[store] >= maxCallsPerStore {
			return started
		}
		call = c.newCall(store, now)
		started = append(started, call)
	}
	if len(call.demands) < maxDemandsPerCall {
		call.demands = append(call.demands, t.takeDemand())
	}
	return started
}

// addCompanions adds what need not be asked for now, but may, to the calls that go to its stores anyway. So the tenants
// that wait for the same store come to share their calls to it.
func (c *clientCore) addCompanions(started []*clientCall, now time.Duration) {
	for _, t := range c.order {
		if !t.mayAccompany(now) {
			continue
		}
		store, connected := c.primaryOf(t.name)
		call := callTo(started, store)
		if !connected || call == nil || len(call.demands) >= maxDemandsPerCall {
			continue
		}
		if t.keepRefunds(store); t.wants() {
			call.demands = append(call.demands, t.takeDemand())
		}
	}
}

func (c *clientCore) newCall(store uint64, now time.Duration) *clientCall {
	c.lastCall++
	call := &clientCall{number: c.lastCall, store: store, sentAt: now}
	c.calls[call.number] = call
	c.callsTo[store]++
	return call
}

// callTo returns the call that goes to a store; nil if there is none.
func callTo(calls []*clientCall, store uint64) *clientCall {
	for _, call := range calls {
		if call.store == store {
			return call
		}
	}
	return nil
}

// reorder moves the tenants that were just asked for behind the others, and removes those with nothing left.
func (c *clientCore) reorder() {
	var kept, asked []*tenantQueue
	for _, t := range c.order {
		switch {
		case t.isIdle():
			delete(c.tenants, t.name)
		case t.justAsked:
			asked = append(asked, t)
		default:
			kept = append(kept, t)
		}
		t.justAsked = false
	}
	c.order = append(kept, asked...)
}

// nextTime returns when startCalls has something to do although nothing else happens; false: never.
func (c *clientCore) nextTime(now time.Duration) (at time.Duration, any bool) {
	for _, t := range c.order {
		due, waits := t.dueAt()
		if waits && due > now && (!any || due < at) {
			at, any = due, true
		}
	}
	for _, call := range c.calls {
		due := call.sentAt + overdueAfter
		if !call.overdue && due > now && (!any || due < at) {
			at, any = due, true
		}
	}
	return at, any
}

// releaseOverdue has the requests of calls that are overdue asked for anew.
func (c *clientCore) releaseOverdue(now time.Duration) {
	var overdue []*clientCall
	for _, call := range c.calls {
		if !call.overdue && now-call.sentAt >= overdueAfter {
			overdue = append(overdue, call)
		}
	}
	slices.SortFunc(overdue, func(a, b *clientCall) int { return cmp.Compare(a.number, b.number) })
	for _, call := range overdue {
		call.overdue = true
		c.releasePlace(call)
		for i := range call.demands {
			c.askAnew(call, &call.demands[i], 0, now)
		}
	}
}

// releasePlace lets another call to the store start.
func (c *clientCore) releasePlace(call *clientCall) {
	c.callsTo[call.store]--
	if c.callsTo[call.store] == 0 {
		delete(c.callsTo, call.store)
	}
}

// askAnew returns the waiters of a demand that was not granted to their queue, which pauses.
func (c *clientCore) askAnew(call *clientCall, demand *clientDemand, retryAfter, now time.Duration) {
	t := demand.tenant
	t.demandsInFlight--
	t.requeue(demand.waiters)
	t.pause(now + t.backoff.next(call, retryAfter, now))
}

// endCall ends a call with its answer; nil: there is none and will be none. Calls that have ended are ignored.
func (c *clientCore) endCall(number uint64, reply *AdmitReply, now time.Duration) {
	call := c.calls[number]
	if call == nil {
		return
	}
	delete(c.calls, number)
	if !call.overdue {
		c.releasePlace(call)
	}
	if reply != nil && len(reply.Answers) != len(call.demands) {
		reply = nil // of another version of the program
	}
	for i := range call.demands {
		demand := &call.demands[i]
		var answer Answer
		if reply != nil {
			answer = reply.Answers[i]
		}
		switch {
		case call.overdue && answer.Outcome == Granted:
			c.distributeLate(call, demand, answer, now)
		case call.overdue: // asked anew before
		case answer.Outcome == Granted:
			demand.tenant.demandsInFlight--
			c.distribute(call, demand, answer, now)
		default:
			c.askAnew(call, demand, answer.RetryAfter, now)
		}
	}
}

// backoff computes the pauses of a tenant after answers that grant nothing. A store that leads and is not confirmed, as
// its replicas are slow or cut off, says 5 ms for as long as that lasts: without longer pauses, all proxies would spend
// its processor time on the same question.
type backoff struct {
	store      uint64        // the store that answered last; noStore: none since the last grant
	retryAfter time.Duration // what it said
	pause      time.Duration // what followed
	since      time.Duration // when that pause was computed
}

// next returns the pause after an answer that grants nothing. It is twice the previous one if the same store was asked
// again after that and said no shorter time. Otherwise something has changed (another primary, a new lead, a wait that
// comes to its end), and the pause is what the store says. That may be longer than maxAskAgainDelay, but the store may
// be replaced by one that need not wait.
func (b *backoff) next(call *clientCall, retryAfter, now time.Duration) time.Duration {
	pause := askAgainDelay
	if retryAfter > 0 {
		pause = max(retryAfter, minAskAgainDelay)
	}
	if call.store == b.store && retryAfter >= b.retryAfter {
		if call.sentAt <= b.since { // both calls were in flight
			return b.pause
		}
		pause = max(pause, 2*b.pause)
	}
	*b = backoff{store: call.store, retryAfter: retryAfter, pause: min(pause, maxAskAgainDelay), since: now}
	return b.pause
}

// distribute gives the tokens of an answer to the waiters in the order of their arrival, and refuses the others.
func (c *clientCore) distribute(call *clientCall, demand *clientDemand, answer Answer, now time.Duration) {
	demand.tenant.resume()
	token, tokens := call.token(answer), min(answer.Granted, demand.request.Wanted)
	refused := 0
	for _, w := range demand.waiters {
		switch {
		case w.state != waiterPending:
		case tokens > 0:
			tokens--
			w.token = token
			c.answer(w, waiterGranted)
		default:
			w.retryAfter = answer.RetryAfter + spreadOf(refused, demand.request.Limit.RatePerSecond)
			refused++
			c.answer(w, waiterRefused)
		}
	}
	c.refundRest(token, demand, tokens, now)
}

// distributeLate gives the tokens of an answer that is overdue to those of its waiters that have none yet. It refuses
// nobody, as all of them have been asked for anew.
func (c *clientCore) distributeLate(call *clientCall, demand *clientDemand, answer Answer, now time.Duration) {
	token, tokens := call.token(answer), min(answer.Granted, demand.request.Wanted)
	if now-call.sentAt <= maxGrantAge {
		for _, w := range demand.waiters {
			if w.state == waiterPending && tokens > 0 {
				tokens--
				w.token = token
				c.answer(w, waiterGranted)
			}
		}
	}
	c.refundRest(token, demand, tokens, now)
}

// refundRest refunds the tokens of an answer for which there is no waiter.
func (c *clientCore) refundRest(from grantedToken, demand *clientDemand, tokens uint32, now time.Duration) {
	if tokens > 0 {
		c.refund(demand.tenant.name, demand.request.Limit, from, tokens, now)
	}
}

// spreadOf returns what is added to the RetryAfter of a waiter that was refused after so many others.
func spreadOf(refusedBefore int, ratePerSecond float64) time.Duration {
	if ratePerSecond <= 0 {
		return 0
	}
	seconds := float64(refusedBefore) / ratePerSecond
	return time.Duration(min(seconds, maxRetrySpread.Seconds()) * float64(time.Second))
}

// answer gives a waiter its answer.
func (c *clientCore) answer(w *waiter, state waiterState) {
	w.state = state
	w.tenant.waiting--
	c.waiting--
	if w.queued {
		w.tenant.remove(w)
	}
	select {
	case w.answered <- struct{}{}:
	default: // it has not yet seen that an earlier token was taken from it
	}
}

// claim returns the state of a waiter, right before its request goes on or is refused. A token that is too old by now is
// refunded: the waiter is pending again, and stale is true.
func (c *clientCore) claim(w *waiter, now time.Duration) (state waiterState, stale bool) {
	if w.state != waiterGranted || now-w.token.askedAt <= maxGrantAge {
		return w.state, false
	}
	if c.closed {
		w.state = waiterClosed
		return w.state, true
	}
	token := w.token
	w.state, w.token = waiterPending, grantedToken{}
	c.refund(w.tenant.name, w.tenant.limit, token, 1, now)
	// Its queue may have been removed, and created anew, meanwhile.
	w.tenant = c.queueOf(w.tenant.name, w.tenant.limit)
	w.tenant.waiting++
	c.waiting++
	w.tenant.requeue([]*waiter{w})
	return w.state, true
}

// leave removes a waiter whose request takes no answer any more. Its token is refunded.
func (c *clientCore) leave(w *waiter, now time.Duration) {
	switch w.state {
	case waiterPending:
		w.tenant.waiting--
		c.waiting--
		w.tenant.remove(w)
	case waiterGranted:
		c.refund(w.tenant.name, w.tenant.limit, w.token, 1, now)
	default:
	}
	w.state = waiterGone
}

// refund has tokens of a tenant returned to the store that granted them. They are dropped if another store counts by then.
func (c *clientCore) refund(name string, limit Limit, from grantedToken, tokens uint32, now time.Duration) {
	if c.closed {
		return
	}
	c.queueOf(name, limit).addRefund(pendingRefund{
		store:  from.store,
		refund: Refund{Tokens: tokens, Grant: from.grant},
	}, now)
}

// close refuses all waiters, and those to come.
func (c *clientCore) close() {
	c.closed = true
	for _, t := range c.order {
		waiters := t.takeWaiters()
		for _, w := range waiters {
			c.answer(w, waiterClosed)
		}
		t.refunds = nil
	}
	for _, call := range c.calls {
		for i := range call.demands {
			for _, w := range call.demands[i].waiters {
				if w.state == waiterPending {
					c.answer(w, waiterClosed)
				}
			}
		}
	}
}

// tenantQueue has what one tenant's requests at this proxy want of its store.
type tenantQueue struct {
	name            string
	limit           Limit     // by the newest configuration
	waiters         []*waiter // those in no call, in the order of their arrival
	waiting         int       // waiters without an answer, those in calls too
	demandsInFlight int
	pausedUntil     time.Duration
	backoff         backoff
	refunds         []pendingRefund
	refundsDue      time.Duration
	justAsked       bool
}

// pendingRefund is a refund with the store to which it belongs.
type pendingRefund struct {
	store  uint64
	refund Refund
}

func (t *tenantQueue) isIdle() bool {
	return t.waiting == 0 && t.demandsInFlight == 0 && len(t.refunds) == 0
}

// isDue reports whether the tenant should be asked for now.
func (t *tenantQueue) isDue(now time.Duration) bool {
	at, waits := t.dueAt()
	return waits && at <= now
}

// mayAccompany reports whether the tenant's demand may go with a call to its store before it is due: refunds at any time,
// requests in the second half of their pause.
func (t *tenantQueue) mayAccompany(now time.Duration) bool {
	if len(t.waiters) > 0 {
		return t.pausedUntil-now <= t.backoff.pause/2
	}
	return len(t.refunds) > 0
}

// dueAt returns when the tenant should be asked for; false: there is nothing to ask.
func (t *tenantQueue) dueAt() (at time.Duration, waits bool) {
	switch {
	case len(t.waiters) > 0:
		return t.pausedUntil, true
	case len(t.refunds) > 0:
		return max(t.refundsDue, t.pausedUntil), true
	default:
		return 0, false
	}
}

// pause defers the next demand.
func (t *tenantQueue) pause(until time.Duration) { t.pausedUntil = max(t.pausedUntil, until) }

// resume ends the pause and its growth: a store counts.
func (t *tenantQueue) resume() { t.pausedUntil, t.backoff = 0, backoff{} }

// wants reports whether there is something to ask or to return.
func (t *tenantQueue) wants() bool { return len(t.waiters) > 0 || len(t.refunds) > 0 }

// takeDemand takes all waiters and refunds into a demand.
func (t *tenantQueue) takeDemand() clientDemand {
	waiters := t.takeWaiters()
	demand := clientDemand{
		tenant:  t,
		waiters: waiters,
		request: Demand{Tenant: t.name, Limit: t.limit, Wanted: uint32(len(waiters))},
	}
	for _, pending := range t.refunds {
		demand.request.Refunds = append(demand.request.Refunds, pending.refund)
	}
	t.refunds = nil
	t.demandsInFlight++
	t.justAsked = true
	return demand
}

// takeWaiters empties the queue.
func (t *tenantQueue) takeWaiters() []*waiter {
	taken := t.waiters
	t.waiters = nil
	for _, w := range taken {
		w.queued = false
	}
	return taken
}

// requeue puts waiters that are still pending back into the order of arrival.
func (t *tenantQueue) requeue(waiters []*waiter) {
	for _, w := range waiters {
		if w.state == waiterPending && !w.queued {
			w.queued = true
			t.waiters = append(t.waiters, w)
		}
	}
	slices.SortFunc(t.waiters, func(a, b *waiter) int { return cmp.Compare(a.arrival, b.arrival) })
}

// remove removes a waiter, unless it is in a call, which skips it then.
func (t *tenantQueue) remove(w *waiter) {
	w.queued = false
	t.waiters = slices.DeleteFunc(t.waiters, func(other *waiter) bool { return other == w })
}

// keepRefunds drops the refunds that are not for the store that counts for the tenant now. The tenant gets those tokens
// back by its rate.
func (t *tenantQueue) keepRefunds(store uint64) {
	t.refunds = slices.DeleteFunc(t.refunds, func(pending pendingRefund) bool {
		dropped := pending.store != store
		if dropped {
			refundsDropped.Add(int(pending.refund.Tokens))
		}
		return dropped
	})
}

// addRefund adds a refund, or drops it if there are too many.
func (t *tenantQueue) addRefund(added pendingRefund, now time.Duration) {
	if len(t.refunds) == 0 {
		t.refundsDue = now + refundDelay
	}
	for i := range t.refunds {
		known := &t.refunds[i]
		if known.store == added.store && known.refund.Grant == added.refund.Grant {
			known.refund.Tokens += added.refund.Tokens
			return
		}
	}
	if len(t.refunds) >= maxRefundsPerTenant {
		refundsDropped.Add(int(added.refund.Tokens))
		return
	}
	t.refunds = append(t.refunds, added)
}
