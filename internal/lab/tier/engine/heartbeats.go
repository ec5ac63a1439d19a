package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"dunetide/internal/lab/wait"
)

// Heartbeats configures how an endpoint registers itself.
type Heartbeats struct {
	Controls func() []string // returns the addresses that accept heartbeats; if nil, the endpoint does not register
	Every    time.Duration
	DrainFor time.Duration // how long the endpoint continues to serve after its drain was acknowledged
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}

const (
	heartbeatTimeout = time.Second
	maxHeartbeatSize = 4 << 10 // maximum size of the answer to a heartbeat
	drainAttempts    = 5
	afterDrain       = 300 * time.Millisecond
)

// sendHeartbeats sends heartbeats until the context ends.
func (e *Endpoint) sendHeartbeats(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(e.options.Heartbeats.Every)
	defer tick.Stop()
	follow := ""
	for {
		follow, _ = e.register(ctx, client, follow) // if no node accepted this heartbeat, one may accept the next one
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// register sends one heartbeat to the first node that accepts it, and returns the address for the next one.
func (e *Endpoint) register(ctx context.Context, client *http.Client, follow string) (string, error) {
	put := func(addr string) (string, error) { return e.put(ctx, client, addr) }
	return FirstToAccept(e.options.Heartbeats.Controls(), follow, put)
}

// FirstToAccept tries the address follow, if any, and then the others in turn, until one accepts a heartbeat. It returns the
// address for the next heartbeat: the one that the answer gives, or follow if that accepted the heartbeat without giving one,
// or "".
func FirstToAccept(addrs []string, follow string, put func(addr string) (follow string, err error)) (string, error) {
	if follow != "" {
		addrs = append([]string{follow}, addrs...)
	}
	failed := errors.New("no control address")
	for _, a := range addrs {
		to, err := put(a)
		if err == nil {
			if to == "" && a == follow {
				to = follow
			}
			return to, nil
		}
		failed = err
	}
	return "", failed
}

// put sends one heartbeat to an address, and returns the address that the answer gives for the next one, or "".
func (e *Endpoint) put(ctx context.Context, client *http.Client, addr string) (follow string, err error) {
	e.mu.Lock()
	e.heartbeats++
	report := map[string]any{
		"service":      e.options.Service,
		"address":      e.options.Address,
		"zone":         e.options.Zone,
		"version":      "v1",
		"capacity":     e.options.Capacity,
		"state":        "ready",
		"cold_left_ms": 0,
		"stage":        "both",
		"models":       models,
		"call_count":   e.heartbeats,
	}
	if e.draining {
		report["state"] = "draining"
	}
	e.mu.Unlock()
	text, err := json.Marshal(report)
	if err != nil {
		return "", err
	}
	answer, err := call(ctx, client, http.MethodPut, addr, e.options.ID, text)
	if err != nil {
		return "", err
	}
	var ack struct {
		NextAddr string `json:"beat_to"`
	}
	_ = json.Unmarshal(answer, &ack) // a 2xx status acknowledges the heartbeat, whatever the body
	return ack.NextAddr, nil
}

// call makes one call about an endpoint and returns the body of the answer. Any status except 2xx is an error.
func call(ctx context.Context, client *http.Client, method, addr, id string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxHeartbeatSize+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode/100 != 2:
		return nil, fmt.Errorf("%s of %s at %s: %s", method, id, addr, resp.Status)
	case len(answer) > maxHeartbeatSize:
		return nil, fmt.Errorf("answer of %s exceeds %d bytes", addr, maxHeartbeatSize)
	}
	return answer, nil
}

// Leave shuts the endpoint down as planned: it reports that it drains, continues to serve for a while, deregisters and stops.
// It returns when the drain was acknowledged, or the zero time if it was not.
func (e *Endpoint) Leave(ctx context.Context) (acked time.Time) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range drainAttempts {
		if _, err := e.register(ctx, client, ""); err == nil {
			acked = time.Now()
			break
		}
		wait.For(ctx, e.options.Heartbeats.Every/2)
	}
	wait.For(ctx, e.options.Heartbeats.DrainFor+afterDrain)
	e.stopHeartbeats()
	for _, a := range e.options.Heartbeats.Controls() {
		if _, err := call(ctx, client, http.MethodDelete, a, e.options.ID, nil); err == nil {
			break
		}
	}
	e.Crash()
	return acked
}

// LeaveSilently shuts the endpoint down without reporting that it drains: it deregisters at the first node that accepts that,
// continues to serve for a while and stops. It returns when the deregistration was acknowledged, or the zero time if it was
// not.
func (e *Endpoint) LeaveSilently(ctx context.Context) (acked time.Time) {
	e.stopHeartbeats()
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for range drainAttempts {
		for _, a := range e.options.Heartbeats.Controls() {
			if _, err := call(ctx, client, http.MethodDelete, a, e.options.ID, nil); err == nil && acked.IsZero() {
				acked = time.Now()
				break
			}
		}
		if !acked.IsZero() {
			break
		}
	}
	wait.For(ctx, e.options.Heartbeats.DrainFor+afterDrain)
	e.Crash()
	return acked
}
