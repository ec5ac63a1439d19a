package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// callTimeout is how long an endpoint waits for the answer to a call to a control address.
	callTimeout = time.Second
	// capacity and work are those of the policy-desk service.
	capacity = 6
	work     = 15 * time.Millisecond
)

// arrival is a request that an endpoint has run.
type arrival struct {
	id string
	at time.Time
}

// endpoint is a stand-in for a plain endpoint. It answers each request whole, and registers itself by heartbeats.
type endpoint struct {
	id, service, address, zone string

	server  *http.Server
	stopped context.CancelFunc // ends the heartbeats
	wg      sync.WaitGroup
	slots   chan struct{}

	mu       sync.Mutex
	calls    int // heartbeats that were made
	arrivals []arrival
}

// startEndpoint starts an endpoint at a loopback address, with heartbeats to the control addresses.
func startEndpoint(ctx context.Context, service, address, zone string, controls func() []string) (*endpoint, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, address: address, zone: zone,
		slots: make(chan struct{}, capacity),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}
	e.wg.Go(func() { _ = e.server.Serve(l) }) // until close
	beats, stop := context.WithCancel(ctx)
	e.stopped = stop
	e.wg.Go(func() { e.beat(beats, controls) })
	return e, nil
}

func (e *endpoint) close() {
	e.stopped()
	_ = e.server.Close()
	e.wg.Wait()
}

// beat sends heartbeats until the context ends.
func (e *endpoint) beat(ctx context.Context, controls func() []string) {
	for ctx.Err() == nil {
		_ = anyOf(controls(), func(address string) error { return e.send(ctx, address, e.heartbeat()) }) // the next one follows
		sleep(ctx, beatEvery)
	}
}

// heartbeat makes the next heartbeat. Its call count says when it was made, also if it arrives late.
func (e *endpoint) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": capacity,
		"state": "ready", "cold_left_ms": 0, "call_count": e.calls,
	})
	if err != nil {
		panic(err) // texts and numbers can be encoded
	}
	return body
}

// send delivers a heartbeat to a control address.
func (e *endpoint) send(ctx context.Context, address string, heartbeat []byte) error {
	return e.call(ctx, http.MethodPut, address, heartbeat)
}

// remove deregisters the endpoint, which serves on, at the first control address that acknowledges it.
func (e *endpoint) remove(ctx context.Context, controls []string) error {
	return anyOf(controls, func(address string) error { return e.call(ctx, http.MethodDelete, address, nil) })
}

// call makes a call about the endpoint. Only a 2xx acknowledges it.
func (e *endpoint) call(ctx context.Context, method, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s at %s: %s", method, address, resp.Status)
	}
	return nil
}

// anyOf calls one address after the other until one call succeeds.
func anyOf(addresses []string, call func(address string) error) error {
	failed := errors.New("no control address")
	for _, address := range addresses {
		if failed = call(address); failed == nil {
			return nil
		}
	}
	return failed
}

// ServeHTTP answers health checks, and runs each request that is meant for this endpoint.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Dunetide-Instance", e.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Dunetide-Request-Id")
	h.Set("X-Dunetide-Request-Id", id)
	if target := r.Header.Get("X-Dunetide-Target-Instance"); target != "" && target != e.id {
		h.Set("X-Dunetide-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	e.mu.Unlock()
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	sleep(r.Context(), work)
	h.Set("X-Dunetide-Server-Load", fmt.Sprintf("%d,0,%d", len(e.slots), capacity))
	<-e.slots
	h.Set("X-Dunetide-Server-Seal", "seal."+id)
	_, _ = io.WriteString(w, "goods for "+id) // a proxy that has gone needs no answer
}

// arrivedSince returns the requests that reached the endpoint from a time on.
func (e *endpoint) arrivedSince(from time.Time) (found []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if !a.at.Before(from) {
			found = append(found, a)
		}
	}
	return found
}
