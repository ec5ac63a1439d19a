package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// clientHistory plays a core against stores, a network and requests in simulated time. Faults are drawn from a seed. Its
// account is kept by the stores and the requests, and never looks into the core.
type clientHistory struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	events  clientHistoryEvents
	core    *clientCore
	ringAt  time.Duration // the newest event by the core's next time
	faults  bool
	slow    float64 // the part of the messages that are slow although there are no faults
	tenants []string

	owners       map[string]uint64 // the store that counts for a tenant
	tableOwners  map[string]uint64 // and by the proxy's table
	disconnected map[uint64]bool
	unconfirmed  map[uint64]bool // stores that lead and may not count, as their replicas don't answer
	grants       map[GrantID]*clientHistoryGrant
	inFlight     map[uint64][]*clientCall // calls that have not ended, by store
	callsTo      map[uint64]int           // number of calls that were sent by store
	asked        map[string]int           // number of demands with requests that were sent by tenant
	lastGrant    uint64

	mostInFlight int // calls to one store at a time

	requests map[*waiter]*clientHistoryRequest
	pending  int
	ends     map[string]int
}

// clientHistoryGrant is the account of one grant of a store.
type clientHistoryGrant struct {
	store                   uint64
	at                      time.Duration
	granted, used, refunded uint32
}

// clientHistoryRequest is a request that waits.
type clientHistoryRequest struct {
	arrivedAt time.Duration
	deadline  time.Duration
	end       string // empty: it waits
}

// clientHistoryStores is the number of stores.
const clientHistoryStores = 3

func newClientHistory(t *testing.T, seed uint64, faults bool) *clientHistory {
	t.Helper()
	h := &clientHistory{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		now:          time.Minute,
		faults:       faults,
		tenants:      []string{"a", "b", "c", "d", "e"},
		owners:       map[string]uint64{},
		tableOwners:  map[string]uint64{},
		disconnected: map[uint64]bool{},
		unconfirmed:  map[uint64]bool{},
		grants:       map[GrantID]*clientHistoryGrant{},
		inFlight:     map[uint64][]*clientCall{},
		callsTo:      map[uint64]int{},
		asked:        map[string]int{},
		requests:     map[*waiter]*clientHistoryRequest{},
		ends:         map[string]int{},
	}
	for i, tenant := range h.tenants {
		h.owners[tenant] = uint64(1 + i%clientHistoryStores)
		h.tableOwners[tenant] = h.owners[tenant]
	}
	h.core = newClientCore(func(tenant string) (uint64, bool) {
		store := h.tableOwners[tenant]
		return store, !h.disconnected[store]
	})
	return h
}

// chance draws whether a fault happens.
func (h *clientHistory) chance(probability float64) bool {
	return h.faults && h.rng.Float64() < probability
}

// between draws a duration.
func (h *clientHistory) between(low, high time.Duration) time.Duration {
	return low + time.Duration(h.rng.Int64N(int64(high-low)))
}

// after schedules an event.
func (h *clientHistory) after(delay time.Duration, do func()) {
	heap.Push(&h.events, clientHistoryEvent{at: h.now + delay, order: h.rng.Uint64(), do: do})
}

// run plays events until a time, or until there are none.
func (h *clientHistory) run(until time.Duration) {
	for len(h.events) > 0 && h.events[0].at <= until {
		event := heap.Pop(&h.events).(clientHistoryEvent)
		h.now = event.at
		event.do()
		h.sendCalls()
		h.checkBounds()
	}
	h.now = max(h.now, until)
}

// sendCalls does what the shell does after each change.
func (h *clientHistory) sendCalls() {
	for _, call := range h.core.startCalls(h.now) {
		h.send(call)
	}
	if at, any := h.core.nextTime(h.now); any {
		if at <= h.now {
			h.t.Fatalf("the next time %v is not after %v", at, h.now)
		}
		if h.ringAt <= h.now || at < h.ringAt {
			h.ringAt = at
			h.after(at-h.now, func() {})
		}
	}
}

// send plays the way of a call, its answer, or the lack of one.
func (h *clientHistory) send(call *clientCall) {
	h.callsTo[call.store]++
	h.checkCallsInFlight(call)
	request := call.request()
	h.checkDemands(request)
	ended := false
	end := func(reply *AdmitReply) {
		if !ended {
			ended = true
			h.inFlight[call.store] = slices.DeleteFunc(h.inFlight[call.store], func(c *clientCall) bool { return c == call })
		}
		h.core.endCall(call.number, reply, h.now)
		for i := range call.demands {
			for _, w := range call.demands[i].waiters {
				h.wake(w)
			}
		}
	}
	if h.chance(0.03) { // the link ends
		h.after(h.between(0, answerTimeout), func() { end(nil) })
	} else {
		h.after(answerTimeout, func() {
			if !ended {
				end(nil)
			}
		})
	}
	if h.chance(0.05) {
		return // the request is lost
	}
	h.after(h.latency(), func() {
		reply := h.answer(call.store, request)
		if h.chance(0.05) {
			return // the answer is lost
		}
		copies := 1
		if h.chance(0.05) {
			copies = 2
		}
		for range copies {
			h.after(h.latency(), func() { end(reply) })
		}
	})
}

// checkCallsInFlight guards against more calls at a time than are allowed, of those that are overdue too.
func (h *clientHistory) checkCallsInFlight(started *clientCall) {
	const most = maxCallsPerStore * int((answerTimeout+overdueAfter-1)/overdueAfter)
	all := append(h.inFlight[started.store], started)
	h.inFlight[started.store] = all
	young := 0
	for _, call := range all {
		if h.now-call.sentAt < overdueAfter {
			young++
		}
	}
	h.mostInFlight = max(h.mostInFlight, len(all))
	if young > maxCallsPerStore || len(all) > most {
		h.t.Fatalf("%d calls in flight to a store, %d of them are not overdue", len(all), young)
	}
}

// latency draws the time of a message one way.
func (h *clientHistory) latency() time.Duration {
	if h.chance(0.05) || h.rng.Float64() < h.slow {
		return h.between(time.Millisecond, 700*time.Millisecond)
	}
	return h.between(500*time.Microsecond, 1500*time.Microsecond)
}

// checkDemands guards against a tenant that appears twice in a call, and against demands for nothing.
func (h *clientHistory) checkDemands(request *AdmitRequest) {
	seen := map[string]bool{}
	for _, d := range request.Demands {
		if seen[d.Tenant] {
			h.t.Fatalf("tenant %s twice in a call", d.Tenant)
		}
		seen[d.Tenant] = true
		if d.Wanted > 0 {
			h.asked[d.Tenant]++
		}
		if d.Wanted == 0 && len(d.Refunds) == 0 {
			h.t.Fatal("a demand for nothing")
		}
		if int(d.Wanted) > maxWaitersPerTenant {
			h.t.Fatalf("%d wanted", d.Wanted)
		}
	}
	if len(request.Demands) == 0 || len(request.Demands) > maxDemandsPerCall {
		h.t.Fatalf("%d demands", len(request.Demands))
	}
}

// answer is a store's side. Each grant has an identity of its own, so that the account can follow it.
func (h *clientHistory) answer(store uint64, request *AdmitRequest) *AdmitReply {
	reply := &AdmitReply{}
	for _, d := range request.Demands {
		for _, refund := range d.Refunds {
			h.refund(store, refund)
		}
		if h.owners[d.Tenant] != store || h.chance(0.05) {
			reply.Answers = append(reply.Answers, Answer{Outcome: NotOwner, RetryAfter: h.between(0, time.Second)})
			continue
		}
		if h.unconfirmed[store] {
			reply.Answers = append(reply.Answers, Answer{Outcome: NotOwner, RetryAfter: unconfirmedRetry})
			continue
		}
		granted := d.Wanted
		if h.rng.Float64() < 0.3 && granted > 0 {
			granted = h.rng.Uint32N(granted + 1)
		}
		h.lastGrant++
		id := GrantID{Lead: store, AtMs: h.lastGrant}
		h.grants[id] = &clientHistoryGrant{store: store, at: h.now, granted: granted}
		reply.Answers = append(reply.Answers, Answer{
			Outcome: Granted, Granted: granted, RetryAfter: 50 * time.Millisecond, Grant: id,
		})
	}
	return reply
}

// refund guards against refunds of tokens that were used, refunded before, or granted by another store.
func (h *clientHistory) refund(store uint64, refund Refund) {
	grant := h.grants[refund.Grant]
	if grant == nil || grant.store != store {
		h.t.Fatalf("refund of an unknown grant %+v at store %d", refund, store)
	}
	grant.refunded += refund.Tokens
	h.checkGrant(grant)
}

func (h *clientHistory) checkGrant(grant *clientHistoryGrant) {
	if grant.used+grant.refunded > grant.granted {
		h.t.Fatalf("of %d tokens %d were used and %d refunded", grant.granted, grant.used, grant.refunded)
	}
}

// arrive plays a request from its arrival on.
func (h *clientHistory) arrive(tenant string) {
	w := h.core.admit(tenant, Limit{ConfigVersion: 1, RatePerSecond: 100, Burst: 100})
	if w == nil {
		h.ends["queue full"]++
		return
	}
	r := &clientHistoryRequest{arrivedAt: h.now, deadline: h.now + h.between(50*time.Millisecond, 2*time.Second)}
	h.requests[w] = r
	h.pending++
	h.after(r.deadline-h.now, func() { h.leave(w, r) })
}

// wake has a request take its answer if there is one: its goroutine wakes, or is frozen for a while.
func (h *clientHistory) wake(w *waiter) {
	select {
	case <-w.answered:
		delay := time.Duration(0)
		if h.chance(0.02) {
			delay = h.between(0, 2*maxGrantAge)
		}
		h.after(delay, func() { h.claim(w, h.requests[w]) })
	default:
	}
}

// claim has the request take its answer.
func (h *clientHistory) claim(w *waiter, r *clientHistoryRequest) {
	if r.end != "" {
		return
	}
	state, stale := h.core.claim(w, h.now)
	switch {
	case stale:
		h.ends["stale"]++
	case state == waiterGranted:
		h.end(r, "granted")
		h.use(w, r)
	case state == waiterRefused:
		h.end(r, "refused")
		if w.retryAfter < 50*time.Millisecond || w.retryAfter > 50*time.Millisecond+maxRetrySpread {
			h.t.Fatalf("Retry-After %v", w.retryAfter)
		}
	default:
		h.t.Fatalf("answered in state %d", state)
	}
}

// use guards against tokens that were granted to nobody, before their request arrived, or long before their use.
func (h *clientHistory) use(w *waiter, r *clientHistoryRequest) {
	grant := h.grants[w.token.grant]
	if grant == nil {
		h.t.Fatalf("a token of no grant: %+v", w.token)
	}
	if grant.at < r.arrivedAt || h.now-grant.at > maxGrantAge {
		h.t.Fatalf("arrival %v, grant %v, use %v", r.arrivedAt, grant.at, h.now)
	}
	if h.rng.Float64() < 0.1 { // the request is refused later on, surely without having run
		h.core.refund(w.tenant.name, w.tenant.limit, w.token, 1, h.now)
		return
	}
	grant.used++
	h.checkGrant(grant)
}

// leave ends a request whose time is up.
func (h *clientHistory) leave(w *waiter, r *clientHistoryRequest) {
	if r.end == "" {
		h.end(r, "left")
		h.core.leave(w, h.now)
	}
}

// end guards against a second answer of a request.
func (h *clientHistory) end(r *clientHistoryRequest, end string) {
	if r.end != "" {
		h.t.Fatalf("%s after %s", end, r.end)
	}
	r.end = end
	h.ends[end]++
	h.pending--
}

// checkBounds guards against queues that grow without a request that waits, or without bound.
func (h *clientHistory) checkBounds() {
	if h.core.waiting > h.pending || h.core.waiting > maxWaiters {
		h.t.Fatalf("%d waiters of %d requests", h.core.waiting, h.pending)
	}
	if len(h.core.tenants) > len(h.tenants) || len(h.core.order) != len(h.core.tenants) {
		h.t.Fatalf("%d tenants, %d in order", len(h.core.tenants), len(h.core.order))
	}
}

// moveOwner has another store count for a tenant. The proxy's table follows later.
func (h *clientHistory) moveOwner() {
	tenant := h.tenants[h.rng.IntN(len(h.tenants))]
	store := 1 + h.rng.Uint64N(clientHistoryStores)
	h.owners[tenant] = store
	h.after(h.between(0, 500*time.Millisecond), func() { h.tableOwners[tenant] = h.owners[tenant] })
}

// disconnect cuts the proxy off from a store for a while.
func (h *clientHistory) disconnect() {
	store := 1 + h.rng.Uint64N(clientHistoryStores)
	h.disconnected[store] = true
	h.after(h.between(0, time.Second), func() { delete(h.disconnected, store) })
}

// cutReplicas keeps a store from being confirmed for a while.
func (h *clientHistory) cutReplicas() {
	store := 1 + h.rng.Uint64N(clientHistoryStores)
	h.unconfirmed[store] = true
	h.after(h.between(0, time.Second), func() { delete(h.unconfirmed, store) })
}

// play plays a history of requests with or without faults, and then lets everything end without faults.
func (h *clientHistory) play(perSecond int, lasts time.Duration) {
	end := h.now + lasts
	for at := time.Duration(0); at < lasts; at += time.Duration(h.rng.ExpFloat64() * float64(time.Second) / float64(perSecond)) {
		tenant := h.tenants[min(h.rng.IntN(2*len(h.tenants)), len(h.tenants)-1)] // the last one sends more than the others
		h.after(at, func() { h.arrive(tenant) })
	}
	if h.faults {
		for at := time.Duration(0); at < lasts; at += h.between(0, 200*time.Millisecond) {
			h.after(at, h.moveOwner)
			h.after(at, func() {
				if h.chance(0.3) {
					h.disconnect()
				}
				if h.chance(0.3) {
					h.cutReplicas()
				}
			})
		}
	}
	h.run(end)
	h.faults = false
	h.run(end + 5*time.Second)
	c := h.core
	if h.pending != 0 || c.waiting != 0 || len(c.calls)+len(c.callsTo)+len(c.tenants)+len(c.order) != 0 {
		h.t.Fatalf("at the end %d requests, %d waiters, %d calls, %d tenants remain", h.pending, c.waiting, len(c.calls), len(c.tenants))
	}
	for _, r := range h.requests {
		if r.end == "" {
			h.t.Fatal("a request without an answer")
		}
	}
}

// clientHistoryEvents is a heap of events by time. Events of one moment are played in an order that is drawn.
type clientHistoryEvents []clientHistoryEvent

type clientHistoryEvent struct {
	at    time.Duration
	order uint64
	do    func()
}

func (e clientHistoryEvents) Len() int { return len(e) }
func (e clientHistoryEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e clientHistoryEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *clientHistoryEvents) Push(x any)   { *e = append(*e, x.(clientHistoryEvent)) }
func (e *clientHistoryEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Guards against tokens that are used twice, too late or without a grant, requests with two answers or none, and
// queues that stay, under lost, late and doubled messages, owners that move, cut links, frozen requests and refunds.
func TestClientHistoriesWithFaults(t *testing.T) {
	ends := map[string]int{}
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := newClientHistory(t, seed, true)
			h.play([]int{10, 100, 1000}[seed%3], 5*time.Second)
			for end, count := range h.ends {
				ends[end] += count
			}
		})
	}
	for _, end := range []string{"granted", "refused", "left", "stale"} {
		if ends[end] == 0 {
			t.Errorf("no request ended as %s: %v", end, ends)
		}
	}
	t.Log(ends)
}

// Guards against tokens that a tenant loses although each answer arrives, late as it may be: each one that was granted was
// used or came back to its store.
func TestClientHistoriesWithSlowAnswersLoseNoToken(t *testing.T) {
	used, refunded, mostInFlight := uint32(0), uint32(0), 0
	for seed := range uint64(30) {
		h := newClientHistory(t, seed, false)
		h.slow = []float64{0.02, 0.2, 1}[seed%3]
		h.play(30, 5*time.Second)
		for id, grant := range h.grants {
			if grant.used+grant.refunded != grant.granted {
				t.Errorf("seed %d: of %d tokens of %+v %d were used and %d refunded", seed, grant.granted, id, grant.used, grant.refunded)
			}
			used += grant.used
			refunded += grant.refunded
		}
		mostInFlight = max(mostInFlight, h.mostInFlight)
	}
	t.Logf("%d tokens were used and %d refunded, at most %d calls in flight to a store", used, refunded, mostInFlight)
	if used == 0 || refunded == 0 || mostInFlight <= maxCallsPerStore {
		t.Error("the histories have no late answers")
	}
}

// Guards against requests that wait without a fault: two calls in flight have to be enough for any rate.
func TestClientHistoriesWithoutFaults(t *testing.T) {
	for seed := range uint64(10) {
		h := newClientHistory(t, seed, false)
		h.play(1000, 2*time.Second)
		if h.ends["left"]+h.ends["stale"]+h.ends["queue full"] > 0 {
			t.Errorf("seed %d: %v", seed, h.ends)
		}
	}
}
