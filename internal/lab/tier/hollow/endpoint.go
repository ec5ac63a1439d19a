package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/lab/tier/engine"
)

const (
	heartbeatTimeout = time.Second
	maxHeartbeatSize = 4 << 10 // bytes read of the answer to a heartbeat
)

// endpoint is a hollow endpoint, which only sends heartbeats.
type endpoint struct {
	id, service, address, zone string

	mu       sync.Mutex
	draining bool
	count    uint64
}

// endpoints has all hollow endpoints and their counters.
type endpoints struct {
	controls   func() []string
	every      time.Duration
	client     *http.Client
	read       atomic.Int64 // bytes on all their connections
	written    atomic.Int64
	writes     atomic.Int64
	heartbeats atomic.Int64
	known      atomic.Int64 // endpoints of which a keeper has accepted a heartbeat
	rejected   atomic.Int64 // heartbeats that no keeper accepted
	wg         sync.WaitGroup
	cancel     context.CancelFunc
	all        []*endpoint
}

// startEndpoints starts n endpoints, distributed over models and zones.
func startEndpoints(n, models int, every time.Duration, zones []string, controls func() []string) *endpoints {
	ctx, cancel := context.WithCancel(context.Background())
	f := &endpoints{controls: controls, every: every, cancel: cancel}
	dialer := net.Dialer{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &counted{c, f}, nil
	}
	transport := &http.Transport{MaxIdleConnsPerHost: n + 1, DialContext: dial}
	f.client = &http.Client{Timeout: heartbeatTimeout, Transport: transport}
	incarnation := rand.Uint32()
	for i := range n {
		e := &endpoint{
			id:      fmt.Sprintf("i-%08x-%04d", incarnation, i),
			service: service(i % models),
			address: fmt.Sprintf("127.0.%d.%d:9000", 110+i/200, 1+i%200),
			zone:    zones[i%len(zones)],
		}
		f.all = append(f.all, e)
		f.wg.Go(func() { f.sendHeartbeats(ctx, e) })
	}
	return f
}

// close stops all heartbeats and waits for their goroutines.
func (f *endpoints) close() {
	f.cancel()
	f.wg.Wait()
	f.client.CloseIdleConnections()
}

// sendHeartbeats sends heartbeats until the context ends, the first one after a random delay of up to one interval.
func (f *endpoints) sendHeartbeats(ctx context.Context, e *endpoint) {
	select {
	case <-time.After(rand.N(f.every)):
	case <-ctx.Done():
		return
	}
	tick := time.NewTicker(f.every)
	defer tick.Stop()
	follow, known := "", false
	for {
		var err error
		switch follow, err = f.register(ctx, e, follow); {
		case err == nil && !known:
			known = true
			f.known.Add(1)
		case err != nil && ctx.Err() == nil:
			f.rejected.Add(1)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// register sends one heartbeat to the first keeper that accepts it, and returns the address for the next one.
func (f *endpoints) register(ctx context.Context, e *endpoint, follow string) (string, error) {
	addrs := f.controls()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return engine.FirstToAccept(addrs, follow, func(addr string) (string, error) { return f.put(ctx, e, addr) })
}

// put sends one heartbeat to an address, and returns the address that the answer gives for the next one, or "".
func (f *endpoints) put(ctx context.Context, e *endpoint, addr string) (follow string, err error) {
	e.mu.Lock()
	e.count++
	report := map[string]any{
		"service":      e.service,
		"address":      e.address,
		"zone":         e.zone,
		"version":      "v1",
		"capacity":     8,
		"state":        "ready",
		"cold_left_ms": 0,
		"stage":        "both",
		"models":       []map[string]any{{"name": e.service, "version": 1, "adapters": []string{}}},
		"call_count":   e.count,
	}
	if e.draining {
		report["state"] = "draining"
	}
	e.mu.Unlock()
	text, err := json.Marshal(report)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addr+"/instances/"+e.id, bytes.NewReader(text))
	if err != nil {
		return "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxHeartbeatSize))
	switch {
	case err != nil:
		return "", err
	case resp.StatusCode/100 != 2:
		return "", fmt.Errorf("heartbeat of %s to %s: %s", e.id, addr, resp.Status)
	}
	f.heartbeats.Add(1)
	var ack struct {
		NextAddr string `json:"beat_to"`
	}
	_ = json.Unmarshal(answer, &ack) // a 2xx status acknowledges the heartbeat, whatever the body
	return ack.NextAddr, nil
}

// drain makes an endpoint report that it drains, and returns when that was acknowledged.
func (f *endpoints) drain(ctx context.Context, e *endpoint) (time.Time, error) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	_, err := f.register(ctx, e, "")
	return time.Now(), err
}

// counted is a connection that counts its bytes and writes.
type counted struct {
	net.Conn
	endpoints *endpoints
}

// Read reads from the connection and counts the bytes.
func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.endpoints.read.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes and the call.
func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.endpoints.written.Add(int64(n))
	c.endpoints.writes.Add(1)
	return n, err
}
