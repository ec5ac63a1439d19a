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
	// stalledTime is what the stalled client says that it has, and stalledMost by when its call has to be over.
	stalledTime = 300 * time.Millisecond
	stalledMost = 5 * time.Second
)

// jobsUnderTest serves calls about batch jobs with no stores.
func jobsUnderTest(t *testing.T) *batchCalls {
	t.Helper()
	holder := &snapshot.Latest{}
	holder.Set(&snapshot.Snapshot{Config: &operatorconfig.Config{Version: 1}})
	j := &batchCalls{snapshots: holder, runner: &forwardRunner{snapshots: holder}}
	j.jobs = batch.NewProxy(batch.ProxyOptions{Snapshots: holder, Name: "p", Zone: "z", Runner: j.runner})
	t.Cleanup(j.jobs.Close)
	return j
}

// A client that stalls in the body of a call about batch jobs is answered, and its connection ended, when its time is up: it must not
// hold the connection, its descriptor and what came of the body for as long as it likes.
func TestStalledBatchCall(t *testing.T) {
	j := jobsUnderTest(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { j.serveCall(w, r, nil) }))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /bulk/1 HTTP/1.1\r\nHost: x\r\nX-Dunetide-Request-Id: a\r\nX-Dunetide-Time-Left-Ms: %d\r\nContent-Length: 100000\r\n\r\n{",
		stalledTime.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(stalledMost))
	answers := bufio.NewReader(conn)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatalf("no answer in %v: %v", stalledMost, err)
	}
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("the answer is %s", resp.Status)
	}
	if _, err := io.Copy(io.Discard, answers); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection stays open: %v", err)
	}
}

// deadlines keeps what a handler sets.
type deadlines struct {
	*httptest.ResponseRecorder
	write time.Time
}

// SetWriteDeadline is for http.ResponseController.
//
//nolint:unparam // its error is part of what http.ResponseController calls
func (d *deadlines) SetWriteDeadline(at time.Time) error { d.write = at; return nil }

// SetReadDeadline is of http.ResponseController.
func (d *deadlines) SetReadDeadline(time.Time) error { return nil }

// A client that does not read its answer is let go.
func TestBatchAnswersHaveADeadline(t *testing.T) {
	j := jobsUnderTest(t)
	w := &deadlines{ResponseRecorder: httptest.NewRecorder()}
	j.serveCall(w, httptest.NewRequest(http.MethodGet, "/lots/a?start_after=0", nil), nil)
	if w.write.IsZero() || time.Until(w.write) > time.Minute {
		t.Errorf("the answer may be written until %v", w.write)
	}
}
