package quota

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/link"
)

// scriptedStores are stores whose answers a test decides. Its fields are set before the client starts.
type scriptedStores struct {
	primary func(key string) (uint64, bool)                                       // nil: store 1
	answer  func(ctx context.Context, request *AdmitRequest) (*AdmitReply, error) // in a goroutine of each call
	calls   atomic.Int64
}

func (s *scriptedStores) PrimaryOf(key string) (uint64, bool) {
	if s.primary == nil {
		return 1, true
	}
	return s.primary(key)
}

func (s *scriptedStores) CallStore(ctx context.Context, _ uint64, kind link.Kind, body []byte) ([]byte, error) {
	s.calls.Add(1)
	if kind != KindAdmit {
		return nil, fmt.Errorf("message kind %d", kind)
	}
	request, err := ReadAdmitRequest(body)
	if err != nil {
		return nil, err
	}
	reply, err := s.answer(ctx, request)
	if err != nil {
		return nil, err
	}
	return reply.Encode(), nil
}

// grantAll grants what is wanted.
func grantAll(_ context.Context, request *AdmitRequest) (*AdmitReply, error) {
	reply := &AdmitReply{}
	for _, d := range request.Demands {
		reply.Answers = append(reply.Answers, Answer{Outcome: Granted, Granted: d.Wanted, Grant: GrantID{Lead: 1, AtMs: 1}})
	}
	return reply, nil
}

// afterLatency answers as another function does, one call at a time, after the time of a call on the network.
func afterLatency(
	answer func(context.Context, *AdmitRequest) (*AdmitReply, error),
) func(context.Context, *AdmitRequest) (*AdmitReply, error) {
	var mu sync.Mutex
	return func(ctx context.Context, request *AdmitRequest) (*AdmitReply, error) {
		time.Sleep(2 * time.Millisecond) // on the fake clock
		mu.Lock()
		defer mu.Unlock()
		return answer(ctx, request)
	}
}

// neverAnswer waits for the end of the call.
func neverAnswer(ctx context.Context, _ *AdmitRequest) (*AdmitReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func limitedTenant(name string) *operatorconfig.Tenant {
	return &operatorconfig.Tenant{Name: name, RatePerSecond: 100, Burst: 50}
}

// Guards against a store that is asked about a tenant without a limit: it might not answer.
func TestTenantsWithoutLimitAskNobody(t *testing.T) {
	stores := &scriptedStores{answer: neverAnswer}
	c := NewClient(ClientOptions{Stores: stores})
	defer c.Close()
	permit, err := c.Admit(context.Background(), &operatorconfig.Tenant{Name: "free", Burst: 3}, 1)
	if err != nil || stores.calls.Load() != 0 {
		t.Fatalf("%v, %d calls", err, stores.calls.Load())
	}
	permit.Refund()
}

// Guards against a call for each request, and against tokens that don't go to the first ones.
func TestRequestsDuringACallShareTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wanted []uint32
		stores := &scriptedStores{answer: afterLatency(func(_ context.Context, r *AdmitRequest) (*AdmitReply, error) {
			wanted = append(wanted, r.Demands[0].Wanted)
			granted := min(r.Demands[0].Wanted, 3)
			return &AdmitReply{Answers: []Answer{{Outcome: Granted, Granted: granted, RetryAfter: 10 * time.Millisecond}}}, nil
		})}
		c := NewClient(ClientOptions{Stores: stores})
		defer c.Close()
		results := make([]error, 9)
		var requests sync.WaitGroup
		for i := range results {
			requests.Go(func() { _, results[i] = c.Admit(context.Background(), limitedTenant("a"), 1) })
			synctest.Wait() // they arrive one after another
		}
		requests.Wait()
		if slices.Sort(wanted); !slices.Equal(wanted, []uint32{1, 1, 7}) {
			t.Fatalf("calls wanted %v", wanted)
		}
		for i, err := range results {
			var exceeded *ExceededError
			switch refused := errors.As(err, &exceeded); {
			case refused != (i >= 5):
				t.Errorf("request %d: %v", i, err)
			case refused && exceeded.RetryAfter != time.Duration(10+10*(i-5))*time.Millisecond:
				t.Errorf("request %d: RetryAfter %v", i, exceeded.RetryAfter)
			}
		}
	})
}

// Guards against requests that fail although another store has taken over within their time.
func TestAnotherStoreIsAskedAfterOneThatDoesNotCount(t *testing.T) {
	for name, first := range map[string]func(context.Context, *AdmitRequest) (*AdmitReply, error){
		"not the owner": func(context.Context, *AdmitRequest) (*AdmitReply, error) {
			return &AdmitReply{Answers: []Answer{{Outcome: NotOwner}}}, nil
		},
		"silent":          neverAnswer,
		"link closed":     func(context.Context, *AdmitRequest) (*AdmitReply, error) { return nil, link.ErrClosed },
		"too few answers": func(context.Context, *AdmitRequest) (*AdmitReply, error) { return &AdmitReply{}, nil },
		"an unknown outcome": func(context.Context, *AdmitRequest) (*AdmitReply, error) {
			return &AdmitReply{Answers: []Answer{{Outcome: 77}}}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				moved := func() bool { return time.Since(startedAt) > 200*time.Millisecond }
				stores := &scriptedStores{answer: func(ctx context.Context, r *AdmitRequest) (*AdmitReply, error) {
					if moved() {
						return grantAll(ctx, r)
					}
					return first(ctx, r)
				}}
				c := NewClient(ClientOptions{Stores: stores})
				defer c.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				if _, err := c.Admit(ctx, limitedTenant("a"), 1); err != nil {
					t.Fatal(err)
				}
				if took := time.Since(startedAt); took > 400*time.Millisecond {
					t.Errorf("took %v", took)
				}
				if calls := stores.calls.Load(); calls > 10 {
					t.Errorf("%d calls", calls)
				}
			})
		})
	}
}

// Guards against requests that wait longer than their context, and against an error that tells the client nothing.
func TestRequestsThatNobodyCountsAreRefusedInTime(t *testing.T) {
	for name, stores := range map[string]*scriptedStores{
		"no link": {primary: func(string) (uint64, bool) { return 0, false }},
		"silence": {answer: neverAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewClient(ClientOptions{Stores: stores})
				defer c.Close()
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := c.Admit(ctx, limitedTenant("a"), 1)
				var unavailable *UnavailableError
				if !errors.As(err, &unavailable) || time.Since(startedAt) != time.Second {
					t.Fatalf("%v after %v", err, time.Since(startedAt))
				}
				if unavailable.RetryAfter < minUnavailableRetry || unavailable.RetryAfter > maxUnavailableRetry {
					t.Errorf("RetryAfter %v", unavailable.RetryAfter)
				}
				time.Sleep(time.Second) // on the fake clock: calls in flight end
				if c.waiting() != 0 || len(c.core.tenants) != 0 {
					t.Errorf("%d waiting, %d tenants", c.waiting(), len(c.core.tenants))
				}
			})
		})
	}
}

// Guards against tokens that are lost with cancelled requests, and against refunds that no later call carries.
func TestTokensOfRequestsThatLeftAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refunded uint32
		stores := &scriptedStores{answer: afterLatency(func(ctx context.Context, r *AdmitRequest) (*AdmitReply, error) {
			for _, refund := range r.Demands[0].Refunds {
				refunded += refund.Tokens
			}
			return grantAll(ctx, r)
		})}
		c := NewClient(ClientOptions{Stores: stores})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		if _, err := c.Admit(ctx, limitedTenant("a"), 1); !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		permit, err := c.Admit(context.Background(), limitedTenant("a"), 1)
		if err != nil {
			t.Fatal(err)
		}
		permit.Refund()
		permit.Refund()                    // does nothing
		time.Sleep(200 * time.Millisecond) // on the fake clock: longer than refundDelay
		if c.Close(); refunded != 2 {
			t.Fatalf("%d tokens refunded", refunded)
		}
	})
}

// Guards against a token that is lost because its request was cancelled just after the grant.
func TestATokenOfACancelledRequestIsRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientOptions{Stores: &scriptedStores{answer: grantAll}})
		defer c.Close()
		var w *waiter
		c.step(func() { w = c.core.admit("a", testClientLimit) })
		synctest.Wait() // the call has ended
		state, _ := c.claim(w, context.Canceled)
		if state != waiterGone || len(c.core.tenants["a"].refunds) != 1 {
			t.Fatalf("state %d, tenant %+v", state, c.core.tenants["a"])
		}
	})
}

// Guards against a tenant that waits because another one has a longer pause.
func TestTheTimerRingsForTheShortestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		stores := &scriptedStores{answer: func(ctx context.Context, r *AdmitRequest) (*AdmitReply, error) {
			if time.Since(startedAt) > 0 {
				return grantAll(ctx, r)
			}
			pause := minAskAgainDelay
			if r.Demands[0].Tenant == "slow" {
				pause = maxAskAgainDelay
			}
			return &AdmitReply{Answers: []Answer{{Outcome: NotOwner, RetryAfter: pause}}}, nil
		}}
		c := NewClient(ClientOptions{Stores: stores})
		defer c.Close()
		took := map[string]time.Duration{}
		var mu sync.Mutex
		var requests sync.WaitGroup
		for _, tenant := range []string{"slow", "fast"} {
			requests.Go(func() {
				_, err := c.Admit(context.Background(), limitedTenant(tenant), 1)
				mu.Lock()
				defer mu.Unlock()
				if took[tenant] = time.Since(startedAt); err != nil {
					t.Error(err)
				}
			})
			synctest.Wait() // the call has ended
		}
		if requests.Wait(); took["fast"] != minAskAgainDelay || took["slow"] != maxAskAgainDelay {
			t.Fatal(took)
		}
	})
}

// Guards against a token that is used long after its grant, because the process was frozen meanwhile, or lost to its tenant.
func TestStaleTokensAreDiscarded(t *testing.T) {
	core := newClientCore(func(string) (uint64, bool) { return 1, true })
	limit := Limit{ConfigVersion: 1, RatePerSecond: 100}
	w := core.admit("a", limit)
	grantOne := func(now time.Duration, grant uint64, refunds ...Refund) {
		calls := core.startCalls(now)
		if len(calls) != 1 || calls[0].demands[0].request.Wanted != 1 || !slices.Equal(calls[0].demands[0].request.Refunds, refunds) {
			t.Fatalf("calls %+v", calls)
		}
		answer := Answer{Outcome: Granted, Granted: 1, Grant: GrantID{Lead: 1, AtMs: grant}}
		core.endCall(calls[0].number, &AdmitReply{Answers: []Answer{answer}}, now+time.Millisecond)
		core.startCalls(now + time.Millisecond)
	}
	grantOne(time.Second, 1)
	if state, stale := core.claim(w, time.Second+maxGrantAge+1); state != waiterPending || !stale {
		t.Fatalf("state %d, stale %v", state, stale)
	}
	grantOne(2*time.Second, 2, Refund{Tokens: 1, Grant: GrantID{Lead: 1, AtMs: 1}})
	if state, _ := core.claim(w, 2*time.Second+maxGrantAge); state != waiterGranted {
		t.Fatalf("state %d", state)
	}
	if core.startCalls(3 * time.Second); core.waiting != 0 || len(core.tenants) != 0 {
		t.Fatalf("%d waiting, %d tenants", core.waiting, len(core.tenants))
	}
}

// Guards against limits that go back: a request may hold an older configuration than the one before it.
func TestLimitsFollowTheNewestConfiguration(t *testing.T) {
	core := newClientCore(func(string) (uint64, bool) { return 1, true })
	newest := Limit{ConfigVersion: 7, RatePerSecond: 10}
	core.admit("a", newest)
	core.admit("a", Limit{ConfigVersion: 6, RatePerSecond: 1000})
	if got := core.startCalls(0)[0].demands[0].request.Limit; got != newest {
		t.Fatalf("%+v", got)
	}
}

// Guards against a tenant that takes the places of the others, and against queues without a bound.
func TestQueuesAreBounded(t *testing.T) {
	core := newClientCore(func(string) (uint64, bool) { return 0, false })
	fill := func(tenant string) (admitted int) {
		for core.admit(tenant, Limit{RatePerSecond: 1}) != nil {
			admitted++
		}
		return admitted
	}
	for i := range maxWaiters / maxWaitersPerTenant {
		if admitted := fill(fmt.Sprint("t", i)); admitted != maxWaitersPerTenant {
			t.Fatalf("%d admitted of one tenant", admitted)
		}
	}
	if admitted := fill("another"); admitted != 0 {
		t.Fatalf("%d admitted beyond the bound", admitted)
	}
	for i := range 2 * maxRefundsPerTenant {
		core.refund("t0", Limit{}, grantedToken{store: 1, grant: GrantID{AtMs: uint64(i)}}, 1, 0)
	}
	if kept := len(core.tenants["t0"].refunds); kept != maxRefundsPerTenant {
		t.Fatalf("%d refunds kept", kept)
	}
}

// Guards against tenants that are never asked for, because others fill each call.
func TestTenantsBeyondACallGoFirstWithTheNext(t *testing.T) {
	core := newClientCore(func(string) (uint64, bool) { return 1, true })
	asked := map[string]int{}
	for round := range 3 {
		for i := range maxDemandsPerCall + 10 {
			core.admit(fmt.Sprint("t", i), Limit{RatePerSecond: 1})
		}
		call := core.startCalls(0)[0]
		reply := &AdmitReply{}
		for i := range call.demands {
			asked[call.demands[i].tenant.name]++
			reply.Answers = append(reply.Answers, Answer{Outcome: Granted})
		}
		if len(call.demands) != maxDemandsPerCall {
			t.Fatalf("round %d: %d demands", round, len(call.demands))
		}
		core.endCall(call.number, reply, 0)
	}
	if len(asked) != maxDemandsPerCall+10 {
		t.Fatalf("%d tenants asked for", len(asked))
	}
}

// Guards against requests that outlive the client, and against goroutines without an end.
func TestCloseRefusesTheRequestsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientOptions{Stores: &scriptedStores{answer: neverAnswer}})
		var requests sync.WaitGroup
		for range 5 {
			requests.Go(func() {
				var unavailable *UnavailableError
				if _, err := c.Admit(context.Background(), limitedTenant("a"), 1); !errors.As(err, &unavailable) {
					t.Errorf("error %v", err)
				}
			})
		}
		time.Sleep(time.Millisecond) // on the fake clock: they wait
		c.Close()
		requests.Wait()
		if _, err := c.Admit(context.Background(), limitedTenant("a"), 1); err == nil {
			t.Error("admitted after Close")
		}
	})
}

// linkedStores are the stores at the other ends of real links.
type linkedStores struct{ conns map[uint64]*link.Conn }

func (s *linkedStores) PrimaryOf(string) (uint64, bool) { return 1, true }

func (s *linkedStores) CallStore(ctx context.Context, store uint64, kind link.Kind, body []byte) ([]byte, error) {
	return s.conns[store].Call(ctx, kind, body)
}

// countingStore is a store that grants a number of tokens, and then none.
type countingStore struct{ left, asked atomic.Int64 }

func (s *countingStore) Closed(*link.Conn) {}
func (s *countingStore) Message(m *link.Message) {
	if !Handles(m.Kind) {
		m.Fail("unknown kind %d", m.Kind)
		return
	}
	request, err := ReadAdmitRequest(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	reply := &AdmitReply{}
	for _, d := range request.Demands {
		s.asked.Add(int64(d.Wanted))
		granted := min(int64(d.Wanted), s.left.Load())
		s.left.Add(-granted)
		reply.Answers = append(reply.Answers, Answer{Outcome: Granted, Granted: uint32(granted), RetryAfter: time.Second})
	}
	m.Reply(reply.Encode())
}

// linkTo returns stores that consist of one, at the other end of a link over loopback.
func linkTo(t testing.TB, handler link.Handler) *linkedStores {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() { defer close(served); _ = link.Serve(l, handler, link.DefaultOptions) }()
	conn, err := link.Dial(context.Background(), l.Addr().String(), &countingStore{}, link.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); _ = l.Close(); <-served })
	return &linkedStores{conns: map[uint64]*link.Conn{1: conn}}
}

// Guards against races between requests, calls and refunds, and against more permits than a store granted.
func TestRequestsAreCountedOverRealLinks(t *testing.T) {
	const tokens, requestsEach, clients = 500, 100, 8
	store := &countingStore{}
	store.left.Store(tokens)
	c := NewClient(ClientOptions{Stores: linkTo(t, store)})
	defer c.Close()
	var granted, exceeded atomic.Int64
	var requests sync.WaitGroup
	for i := range clients {
		requests.Go(func() {
			for range requestsEach {
				_, err := c.Admit(context.Background(), limitedTenant(fmt.Sprint("t", i%3)), 1)
				var refused *ExceededError
				switch {
				case err == nil:
					granted.Add(1)
				case errors.As(err, &refused) && refused.RetryAfter >= time.Second:
					exceeded.Add(1)
				default:
					t.Error(err)
				}
			}
		})
	}
	requests.Wait()
	if granted.Load() != tokens || exceeded.Load() != clients*requestsEach-tokens || store.asked.Load() != clients*requestsEach {
		t.Fatalf("%d granted, %d exceeded, %d asked", granted.Load(), exceeded.Load(), store.asked.Load())
	}
}

// Guards against requests that hang on a link that has ended.
func TestALinkThatEndsRefusesInTime(t *testing.T) {
	stores := linkTo(t, &countingStore{})
	c := NewClient(ClientOptions{Stores: stores})
	defer c.Close()
	stores.conns[1].Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var unavailable *UnavailableError
	if _, err := c.Admit(ctx, limitedTenant("a"), 1); !errors.As(err, &unavailable) {
		t.Fatal(err)
	}
}
