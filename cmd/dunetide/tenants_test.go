package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
)

// applyTimeout is how long after its acknowledgement a configuration may take to be in force at all proxies (apply_ms).
const applyTimeout = 2500 * time.Millisecond

// recordingEndpoint answers each request, and records the headers that identify clients.
type recordingEndpoint struct {
	mu   sync.Mutex
	seen map[string][2]string // by request id: X-Dunetide-Tenant and Authorization
}

func (e *recordingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Dunetide-Request-Id")
	e.mu.Lock()
	e.seen[id] = [2]string{strings.Join(r.Header["X-Dunetide-Tenant"], "|"), strings.Join(r.Header["Authorization"], "|")}
	e.mu.Unlock()
	w.Header().Set("X-Dunetide-Server-Seal", "s1")
	w.Header().Set("X-Dunetide-Request-Id", id)
}

// of returns what was recorded of a request.
func (e *recordingEndpoint) of(id string) (identity [2]string, ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	identity, ran = e.seen[id]
	return identity, ran
}

// keptClient is a client with one connection to a proxy, which it keeps.
type keptClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newKeptClient(t *testing.T, address string) *keptClient {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &keptClient{t, conn, bufio.NewReader(conn)}
}

// ask sends a request with a key and returns the status of the answer.
func (c *keptClient) ask(line, id, key string) int {
	c.t.Helper()
	if err := c.conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		c.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c.conn, "%s HTTP/1.1\r\nHost: h.example\r\nX-Dunetide-Request-Id: %s\r\nX-Dunetide-Tenant: mallory\r\nAuthorization: Token %s\r\n\r\n",
		line, id, key); err != nil {
		c.t.Fatal(err)
	}
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// keysConfig returns a configuration in which the tenant club has one key.
func keysConfig(version int, key string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[`+
		`{"name":"r","host":"h.example","path_start":"/r/","kind":"read_only","timeout_ms":5000,"target_ms":300,"priority":0,"service":"s","tries":2},`+
		`{"name":"b","host":"h.example","path_start":"/b/","kind":"bulk","timeout_ms":5000,"target_ms":300,"priority":0,"service":"s","tries":2,"due_ms":8000}],`+
		`"services":[{"name":"s","health_path":"/health","max_conns":100}],"customers":[{"name":"club","api_keys":[%q]}]}`, version, key)
}

// TestKeysInForceAtAllProxies guards against a tier some of whose proxies go on serving a key that was dropped, refuse one that was
// added, or hand a key on, on connections that are kept: what was seen in UNASKED, ROUTE and CONFIG.
func TestKeysInForceAtAllProxies(t *testing.T) {
	const proxies = 2
	c, endpoint := startKeyedTier(t, proxies)
	var clients []*keptClient
	for n := range proxies {
		clients = append(clients, newKeptClient(t, c.Find(cluster.Proxy, n).ReachedFront()))
	}
	requests := 0
	ask := func(client *keptClient, key string) int {
		requests++
		id := fmt.Sprint("id", requests)
		status := client.ask("GET /r/x", id, key)
		identity, ran := endpoint.of(id)
		if ran != (status == http.StatusOK) {
			t.Errorf("request with %s: status %d, ran: %v", key, status, ran)
		}
		if ran && identity != [2]string{"club", ""} {
			t.Errorf("request with %s: the endpoint got tenant and key %q", key, identity)
		}
		return status
	}
	inForce := func(client *keptClient, key, other string) bool {
		return ask(client, key) == http.StatusOK && ask(client, other) == http.StatusUnauthorized
	}
	for n, client := range clients {
		eventually(t, fmt.Sprintf("proxy %d serves the first key", n), func() bool { return inForce(client, "k1", "k2") })
	}
	if err := operator.New(c.Controls).Put(t.Context(), 1, keysConfig(2, "k2")); err != nil {
		t.Fatal(err)
	}
	acknowledged := time.Now()
	for n, client := range clients {
		eventually(t, fmt.Sprintf("proxy %d serves the second key", n), func() bool { return inForce(client, "k2", "k1") })
	}
	if took := time.Since(acknowledged); took > applyTimeout {
		t.Errorf("the keys are in force %v after their acknowledgement", took)
	}
	const repetitions = 20
	for range repetitions {
		for n, client := range clients {
			if !inForce(client, "k2", "k1") {
				t.Errorf("proxy %d has an older configuration again", n)
			}
		}
	}
	for n := range clients { // each call has its own connection
		for _, line := range []string{"POST /b/job", "GET /lots/job", "DELETE /lots/job", "GET /items/job?id=i"} {
			address := c.Find(cluster.Proxy, n).ReachedFront()
			if status := newKeptClient(t, address).ask(line, "job", "k1"); status != http.StatusUnauthorized {
				t.Errorf("%s with a dropped key: status %d", line, status)
			}
			if status := newKeptClient(t, address).ask(line, "job", "k2"); status == http.StatusUnauthorized {
				t.Errorf("%s with a key that is in force: status %d", line, status)
			}
		}
	}
}

// startKeyedTier starts a tier with one endpoint, whose configuration has the key k1 of the tenant club.
func startKeyedTier(t *testing.T, proxies int) (*cluster.Cluster, *recordingEndpoint) {
	t.Helper()
	c, err := cluster.New(cluster.Options{Program: buildProgram(t), Dir: t.TempDir(), Zones: 1, Edges: proxies, Keepers: 1, Stores: 1,
		HeartbeatInterval: 500 * time.Millisecond, Grace: 4 * time.Second, Rules: "base"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*waitTimeout)
	t.Cleanup(cancel)
	if err := operator.New(c.Controls).Put(ctx, 0, keysConfig(1, "k1")); err != nil {
		t.Fatal(err)
	}
	endpoint := &recordingEndpoint{seen: map[string][2]string{}}
	l, err := net.Listen("tcp4", c.EndpointAddress(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: endpoint, ReadHeaderTimeout: waitTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	go heartbeatUntil(ctx, c.Controls()[0], l.Addr().String())
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err, c.Ends())
	}
	return c, endpoint
}
