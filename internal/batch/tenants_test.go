package batch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs"
)

// tenantConfig has a bulk route with a quota of 1,000 waiting tokens, and two tenants.
func tenantConfig() *operatorconfig.Config {
	config := bulkConfig(1000)
	config.Tenants = []operatorconfig.Tenant{{Name: "rizzo"}, {Name: "salvo"}}
	return config
}

// recordingRunner is a Runner that records the items and completes none of them.
type recordingRunner struct {
	mu    sync.Mutex
	items []*Item
}

func (r *recordingRunner) Run(ctx context.Context, it *Item, _ string, _ func(string, []byte)) RunResult {
	r.mu.Lock()
	r.items = append(r.items, it)
	r.mu.Unlock()
	<-ctx.Done()
	return RunResult{End: RunInterrupted}
}

func (r *recordingRunner) recorded() []*Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.items)
}

// tenantRig is a proxy with three stores over real connections.
type tenantRig struct {
	proxy  *Proxy
	runner *recordingRunner
}

func newTenantRig(t *testing.T, config *operatorconfig.Config) *tenantRig {
	t.Helper()
	var stores []*Store
	var known []snapshot.Store
	for i := range 3 {
		store, err := NewStore(StoreOptions{
			Zone: "z", MaxLostMachines: 1, RetentionMs: 60_000, Open: OpenIn(vfs.Dir(t.TempDir())), Logf: t.Logf,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(store.Close)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() { _ = link.Serve(listener, store, link.DefaultOptions) }()
		stores = append(stores, store)
		known = append(known, snapshot.Store{
			ID: store.ID(), Name: fmt.Sprint("s", i), Addr: listener.Addr().String(), Zone: fmt.Sprint("z", i),
		})
	}
	table, ok := AssignPartitions(nil, known, func(uint64) bool { return false }, 8, 1)
	if !ok {
		t.Fatal("no table")
	}
	latest := &snapshot.Latest{}
	latest.Set(&snapshot.Snapshot{Config: config, Table: table})
	for _, store := range stores {
		store.Update(latest.Get())
	}
	runner := &recordingRunner{}
	proxy := NewProxy(ProxyOptions{Snapshots: latest, Name: "p", Zone: "z", Runner: runner})
	t.Cleanup(proxy.Close)
	return &tenantRig{proxy: proxy, runner: runner}
}

// call makes a call with a key of a tenant; with none if that is empty.
func (g *tenantRig) call(tenant, method, path, query string, header map[string]string, body string) Response {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return g.proxy.Serve(ctx, &Call{
		Method: method,
		Host:   "h.example",
		Tenant: tenant,
		Path:   path,
		Query:  query,
		Header: func(name string) string { return header[name] },
		Body:   []byte(body),
	})
}

// submit submits a job with one item, whose headers are JSON.
func (g *tenantRig) submit(tenant, id string, tokens int, itemHeaders string) Response {
	body := fmt.Sprintf(`{"requests":[{"id":"i-%s","path":"/b/1","headers":%s,"body":"aGVsbG8=","tokens":%d}]}`,
		id, itemHeaders, tokens)
	return g.call(tenant, http.MethodPost, "/b/x", "", map[string]string{headerRequestID: id}, body)
}

func (g *tenantRig) mustSubmit(t *testing.T, tenant, id string, tokens int) {
	t.Helper()
	if response := g.submit(tenant, id, tokens, "{}"); response.Status != http.StatusAccepted {
		t.Fatalf("job %s of %q: %+v", id, tenant, response)
	}
}

// TestJobsBelongToTheirTenant guards against a tenant that reads or ends a job of another one, and against a tenant that
// is kept from its own.
func TestJobsBelongToTheirTenant(t *testing.T) {
	g := newTenantRig(t, tenantConfig())
	g.mustSubmit(t, "rizzo", "j1", 40)
	for _, call := range []struct{ method, path, query string }{
		{http.MethodGet, "/lots/j1", "start_after=0"},
		{http.MethodGet, "/items/j1", "id=i-j1"},
		{http.MethodDelete, "/lots/j1", ""},
	} {
		for _, who := range []struct {
			tenant string
			want   int
		}{{"salvo", http.StatusNotFound}, {"", http.StatusNotFound}, {"rizzo", http.StatusOK}} {
			response := g.call(who.tenant, call.method, call.path, call.query, nil, "")
			if response.Status != who.want {
				t.Errorf("%s %s with a key of %q: status %d, want %d", call.method, call.path, who.tenant, response.Status, who.want)
			}
		}
	}
}

// TestWaitingTokensAreCountedForEachTenant guards against a tenant whose jobs use up the quota of another one.
func TestWaitingTokensAreCountedForEachTenant(t *testing.T) {
	g := newTenantRig(t, tenantConfig())
	for _, tenant := range []string{"rizzo", "salvo"} {
		g.mustSubmit(t, tenant, tenant+"-1", 900)
		if response := g.submit(tenant, tenant+"-2", 200, "{}"); response.Status != http.StatusTooManyRequests {
			t.Errorf("beyond the quota of %s: %+v, want 429", tenant, response)
		}
	}
}

// TestItemsCarryTheTenantAndNoKey guards against an item that reaches an endpoint with a client's key, or with another
// tenant than that of its job.
func TestItemsCarryTheTenantAndNoKey(t *testing.T) {
	g := newTenantRig(t, tenantConfig())
	g.proxy.SetMaxRunning(6)
	own := `{"authorization":"Token key-of-rizzo","AUTHORIZATION":"x","x-dunetide-tenant":"salvo",` +
		`"X-Dunetide-Tenant":"salvo","X-Kind":"renewal"}`
	if response := g.submit("rizzo", "j1", 40, own); response.Status != http.StatusAccepted {
		t.Fatalf("%+v", response)
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(g.runner.recorded()) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond) // until the item has been assigned over real connections
	}
	items := g.runner.recorded()
	if len(items) == 0 {
		t.Fatal("no item was run")
	}
	want := [][2]string{{"X-Kind", "renewal"}, {"X-Dunetide-Tenant", "rizzo"}}
	if !slices.Equal(items[0].Headers, want) {
		t.Errorf("the item has headers %q, want %q", items[0].Headers, want)
	}
}
