package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
)

const (
	// stalledTimeLeft is the time left that the stalled client declares; stalledBound is the time in which its call must end.
	stalledTimeLeft = 300 * time.Millisecond
	stalledBound    = 5 * time.Second
)

// newTestBatchCalls returns a batch interface without stores.
func newTestBatchCalls(t *testing.T) *batchCalls {
	t.Helper()
	holder := &snapshot.Latest{}
	holder.Set(&snapshot.Snapshot{Config: &operatorconfig.Config{Version: 1}})
	j := &batchCalls{snapshots: holder, runner: &forwardRunner{snapshots: holder}}
	j.jobs = batch.NewProxy(batch.ProxyOptions{Snapshots: holder, Name: "p", Zone: "z", Runner: j.runner})
	t.Cleanup(j.jobs.Close)
	return j
}

// TestStalledBatchCall guards against clients that stall in the body of a batch call and so hold a connection, its descriptor and
// the partial body without limit: when the client's time is up, the call is answered and its connection closed.
func TestStalledBatchCall(t *testing.T) {
	j := newTestBatchCalls(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { j.serveCall(w, r, nil, "") }))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /bulk/1 HTTP/1.1\r\nHost: x\r\nX-Dunetide-Request-Id: a\r\nX-Dunetide-Time-Left-Ms: %d\r\nContent-Length: 100000\r\n\r\n{",
		stalledTimeLeft.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(stalledBound))
	answers := bufio.NewReader(conn)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer in %v: %v", stalledBound, err)
	}
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("the response is %s, want 408", resp.Status)
	}
	if _, err := io.Copy(io.Discard, answers); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection stays open: %v", err)
	}
}

// deadlineRecorder records the write deadline that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	write time.Time
}

// SetWriteDeadline is called by http.ResponseController.
//
//nolint:unparam // its error is part of what http.ResponseController calls
func (d *deadlineRecorder) SetWriteDeadline(at time.Time) error { d.write = at; return nil }

// SetReadDeadline is called by http.ResponseController.
func (d *deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// TestBatchAnswersHaveADeadline checks that a client that does not read its response is disconnected after a time limit.
func TestBatchAnswersHaveADeadline(t *testing.T) {
	j := newTestBatchCalls(t)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	j.serveCall(w, httptest.NewRequest(http.MethodGet, "/lots/a?start_after=0", nil), nil, "")
	if w.write.IsZero() || time.Until(w.write) > time.Minute {
		t.Errorf("the write deadline of the response is %v", w.write)
	}
}
