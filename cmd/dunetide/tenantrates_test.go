package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/quota"
)

// ratesTestPartitions is the number of partitions of a ratesRig.
const ratesTestPartitions = 8

// ratesRig has stores that count and proxies that ask them, in one process, over real links.
type ratesRig struct {
	t       *testing.T
	stores  []*countingStore
	clients []*quota.Client
	holders []*snapshot.Latest // of each client's proxy
	table   *snapshot.PartitionTable
}

// countingStore is a store with its listener.
type countingStore struct {
	store    *batch.Store
	handler  *storeLinkHandler
	listener net.Listener
	record   snapshot.Store
	stopOnce sync.Once
}

func (s *countingStore) stop() {
	s.stopOnce.Do(func() {
		s.listener.Close()
		s.handler.closeAll()
		s.store.Close()
	})
}

// newRatesRig starts three stores and some proxies.
func newRatesRig(t *testing.T, proxies int) *ratesRig {
	t.Helper()
	g := &ratesRig{t: t}
	bounds := &settings.Bounds{QuotaWindow: 5 * time.Second, QuotaExcess: 0.1, QuotaSlack: 20}
	var all []snapshot.Store
	for i := range 3 {
		all = append(all, g.startStore(i, bounds))
	}
	table, ok := batch.AssignPartitions(nil, all, func(uint64) bool { return false }, ratesTestPartitions, 1)
	if !ok {
		t.Fatal("no table")
	}
	for i := range proxies {
		holder := &snapshot.Latest{}
		g.holders = append(g.holders, holder)
		links := batch.NewProxy(batch.ProxyOptions{Snapshots: holder, Name: fmt.Sprint("p", i), Zone: "z0"})
		t.Cleanup(links.Close)
		client := quota.NewClient(quota.ClientOptions{Stores: links})
		t.Cleanup(client.Close)
		g.clients = append(g.clients, client)
	}
	g.publish(table)
	return g
}

func (g *ratesRig) startStore(i int, bounds *settings.Bounds) snapshot.Store {
	g.t.Helper()
	store, err := batch.NewStore(batch.StoreOptions{
		Zone:            fmt.Sprint("z", i),
		MaxLostMachines: 1,
		RetentionMs:     60000,
		Open:            batch.OpenIn(vfs.Dir(g.t.TempDir())),
		ReportReady:     func(int, uint64) {},
		Logf:            func(string, ...any) {},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	s := &countingStore{
		store:    store,
		handler:  newStoreLinkHandler(store, nil, newQuotaServer(store, bounds)),
		listener: listener,
		record:   snapshot.Store{ID: store.ID(), Name: fmt.Sprint("s", i), Addr: listener.Addr().String(), Zone: fmt.Sprint("z", i)},
	}
	g.stores = append(g.stores, s)
	g.t.Cleanup(s.stop)
	go func() { _ = link.Serve(listener, s.handler, link.DefaultOptions) }() // ends with the listener
	return s.record
}

// publish brings a table into force at all stores and proxies.
func (g *ratesRig) publish(table *snapshot.PartitionTable) { g.publishTo(table, g.stores, g.holders) }

// publishTo brings a table into force at some stores and proxies. The others are out of touch with the keepers.
func (g *ratesRig) publishTo(table *snapshot.PartitionTable, stores []*countingStore, holders []*snapshot.Latest) {
	g.table = table
	snap := &snapshot.Snapshot{Config: &operatorconfig.Config{Version: 1}, Table: table}
	for _, holder := range holders {
		holder.Set(snap)
	}
	for _, s := range stores {
		s.store.Update(snap)
	}
}

// split returns the store that counts for a tenant, and the others.
func (g *ratesRig) split(tenant string) (primary *countingStore, others []*countingStore) {
	id := g.table.Partitions[g.table.PartitionOf(quota.PartitionKey(tenant))].Primary
	for _, s := range g.stores {
		if s.record.ID == id {
			primary = s
		} else {
			others = append(others, s)
		}
	}
	return primary, others
}

// tableWithout returns the next table, in which the partitions of a store have other primaries.
func (g *ratesRig) tableWithout(lost *countingStore, others []*countingStore) *snapshot.PartitionTable {
	g.t.Helper()
	var alive []snapshot.Store
	for _, s := range others {
		alive = append(alive, s.record)
	}
	isLost := func(id uint64) bool { return id == lost.record.ID }
	table, ok := batch.AssignPartitions(g.table, alive, isLost, ratesTestPartitions, 1)
	if !ok {
		g.t.Fatal("no next table")
	}
	return table
}

// losePrimary ends the store that counts for a tenant, and has another one take over after the time in which the
// keepers notice.
func (g *ratesRig) losePrimary(tenant string, noticedAfter time.Duration) {
	g.t.Helper()
	lost, others := g.split(tenant)
	lost.stop()
	time.Sleep(noticedAfter) // the keepers' time
	g.publish(g.tableWithout(lost, others))
}

// grantLog has the times at which requests were granted a token.
type grantLog struct {
	mu                              sync.Mutex
	granted, exceeded, notCountable []time.Time
}

// send has a request ask for a token.
func (l *grantLog) send(client *quota.Client, tenant *operatorconfig.Tenant) {
	ctx, cancel := context.WithTimeout(context.Background(), 1600*time.Millisecond)
	defer cancel()
	_, err := client.Admit(ctx, tenant, 1)
	var exceeded *quota.ExceededError
	l.mu.Lock()
	defer l.mu.Unlock()
	switch now := time.Now(); {
	case err == nil:
		l.granted = append(l.granted, now)
	case errors.As(err, &exceeded):
		l.exceeded = append(l.exceeded, now)
	default:
		l.notCountable = append(l.notCountable, now)
	}
}

// flood sends requests of a tenant through all proxies at a rate, until the time is over.
func (g *ratesRig) flood(l *grantLog, tenant *operatorconfig.Tenant, perSecond int, lasts time.Duration) {
	floodThrough(g.clients, l, tenant, perSecond, lasts)
}

// floodThrough sends requests of a tenant through some proxies at a rate, until the time is over.
func floodThrough(clients []*quota.Client, l *grantLog, tenant *operatorconfig.Tenant, perSecond int, lasts time.Duration) {
	var requests sync.WaitGroup
	defer requests.Wait()
	interval := time.Second / time.Duration(perSecond)
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < lasts; i++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * interval))) // the clients' pace
		requests.Go(func() { l.send(clients[i%len(clients)], tenant) })
	}
}

// most returns the most grants in any window.
func (l *grantLog) most(window time.Duration) int {
	slices.SortFunc(l.granted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range l.granted {
		for at.Sub(l.granted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// between returns how many times lie in a span.
func between(times []time.Time, from, to time.Time) (count int) {
	for _, at := range times {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// Guards against a tenant that gets more than its limit through several proxies while the store that counts is lost and
// another one takes over, and against one that gets less than its limit long after that.
func TestATenantsRateHoldsOverProxiesAndATakeover(t *testing.T) {
	const rate, burst, window = 50, 20, 5 * time.Second
	const most = (rate*5+burst)*1.1 + 20
	tenant := &operatorconfig.Tenant{Name: "lo-presti", RatePerSecond: rate, Burst: burst}
	g := newRatesRig(t, 3)
	l := &grantLog{}
	var flood sync.WaitGroup
	startedAt := time.Now()
	flood.Go(func() { g.flood(l, tenant, 6*rate, 12*time.Second) })
	time.Sleep(4 * time.Second) // the first store counts
	lostAt := time.Now()
	g.losePrimary(tenant.Name, 1200*time.Millisecond)
	flood.Wait()
	at := func(seconds float64) time.Time { return startedAt.Add(time.Duration(seconds * float64(time.Second))) }
	t.Logf("%d granted, %d exceeded, %d not countable; most in %v: %d of %v; lost at %v, next grant %v later",
		len(l.granted), len(l.exceeded), len(l.notCountable), window, l.most(window), most, lostAt.Sub(startedAt),
		nextAfter(l.granted, lostAt.Add(100*time.Millisecond)).Sub(lostAt))
	if got := l.most(window); got > most {
		t.Errorf("%d requests in %v, at most %v are allowed", got, window, most)
	}
	for _, calm := range [][2]float64{{2, 4}, {9, 11}} {
		if got := between(l.granted, at(calm[0]), at(calm[1])); got < rate*2*9/10 {
			t.Errorf("from %v s to %v s %d requests were granted of %d", calm[0], calm[1], got, rate*2)
		}
		if lost := between(l.notCountable, at(calm[0]), at(calm[1])); lost > 0 {
			t.Errorf("from %v s to %v s %d requests could not be counted", calm[0], calm[1], lost)
		}
	}
}

// Guards against a tenant that is counted by two stores, each for some of the proxies: the keepers have replaced a store
// that lives, and that is out of touch together with a proxy which still asks it.
func TestAReplacedStoreStopsGrantingBeforeItsSuccessorBegins(t *testing.T) {
	const rate, burst, window = 50, 20, 5 * time.Second
	const most = (rate*5+burst)*1.1 + 20
	tenant := &operatorconfig.Tenant{Name: "lo-presti", RatePerSecond: rate, Burst: burst}
	g := newRatesRig(t, 2)
	outOfTouch, inTouch := &grantLog{}, &grantLog{}
	var flood sync.WaitGroup
	for i, l := range []*grantLog{outOfTouch, inTouch} {
		flood.Go(func() { floodThrough(g.clients[i:i+1], l, tenant, 3*rate, 9*time.Second) })
	}
	time.Sleep(4 * time.Second) // the first store counts
	replaced, others := g.split(tenant.Name)
	replacedAt := time.Now()
	g.publishTo(g.tableWithout(replaced, others), others, g.holders[1:])
	flood.Wait()
	all := &grantLog{granted: slices.Concat(outOfTouch.granted, inTouch.granted)}
	slices.SortFunc(outOfTouch.granted, time.Time.Compare)
	slices.SortFunc(inTouch.granted, time.Time.Compare)
	lastOfOld := outOfTouch.granted[len(outOfTouch.granted)-1]
	firstOfNew := nextAfter(inTouch.granted, replacedAt.Add(100*time.Millisecond))
	t.Logf("most in %v: %d of %v; the replaced store granted for %v, its successor from %v on; out of touch %d not countable",
		window, all.most(window), most, lastOfOld.Sub(replacedAt), firstOfNew.Sub(replacedAt), len(outOfTouch.notCountable))
	if got := all.most(window); got > most {
		t.Errorf("%d requests in %v, at most %v are allowed", got, window, most)
	}
	if !firstOfNew.After(lastOfOld) {
		t.Errorf("the successor granted %v before the last grant of the store that it replaced", lastOfOld.Sub(firstOfNew))
	}
	if len(inTouch.granted) == 0 || len(outOfTouch.notCountable) == 0 {
		t.Errorf("in touch %d granted, out of touch %d not countable", len(inTouch.granted), len(outOfTouch.notCountable))
	}
}

// nextAfter returns the first of some ordered times after another one; zero if there is none.
func nextAfter(times []time.Time, at time.Time) time.Time {
	for _, next := range times {
		if next.After(at) {
			return next
		}
	}
	return time.Time{}
}

// Guards against requests that are refused below the limit while nothing is wrong.
func TestRequestsBelowTheLimitAreAllGranted(t *testing.T) {
	const perSecond = 40
	tenant := &operatorconfig.Tenant{Name: "rizzo", RatePerSecond: 2 * perSecond, Burst: perSecond}
	g := newRatesRig(t, 2)
	start := &grantLog{}
	g.flood(start, tenant, perSecond, 2*time.Second) // stores begin to count
	l := &grantLog{}
	g.flood(l, tenant, perSecond, 2*time.Second)
	t.Logf("start: %d granted, %d exceeded, %d not countable; then %d, %d, %d", len(start.granted), len(start.exceeded),
		len(start.notCountable), len(l.granted), len(l.exceeded), len(l.notCountable))
	if len(l.exceeded)+len(l.notCountable) > 0 {
		t.Errorf("%d exceeded and %d not countable of %d", len(l.exceeded), len(l.notCountable), len(l.granted))
	}
}
