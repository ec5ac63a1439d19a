package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/netutil"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

// newIntake returns an intake with one class, which needs a key; it appends the messages that it accepts to accepted.
func newIntake(t *testing.T, accepted *[]*journal.Message) *intake {
	t.Helper()
	j, _ := mustOpen(t, t.TempDir(), journal.MinDisk)
	return &intake{names: names{classes: map[string]int{"note": 0}}, keyRequired: []bool{true}, journal: j, endedIDs: journal.NewIDRing(0),
		log: quietLog(), maxHeld: 2, held: map[string]bool{}, accept: func(m *journal.Message) { *accepted = append(*accepted, m) }}
}

func noteRequest(ctx context.Context, id string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/note", strings.NewReader("body"))
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "note", "X-Timeout-Ms": "5000",
		"X-Route-To": "dest=7", "Idempotency-Key": "k", "Content-Length": "4"} {
		r.Header.Set(k, v)
	}
	return r
}

// net/http also ends a request's context when the client has only closed its sending side and waits for the response. The
// message must still be accepted.
func TestMessageIsAcceptedAfterItsContextEnds(t *testing.T) {
	var accepted []*journal.Message
	in := newIntake(t, &accepted)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	in.ServeHTTP(w, noteRequest(ctx, "a"))
	if w.Code != http.StatusAccepted || len(accepted) != 1 || string(accepted[0].Body) != "body" {
		t.Errorf("answered %d with %d messages accepted, want 202 and one", w.Code, len(accepted))
	}
}

// A message whose id was accepted before is answered with 202 and not accepted again, also after it has ended and after a
// restart of the node: otherwise it would run twice.
func TestMessageIDIsAcceptedOnce(t *testing.T) {
	dir := t.TempDir()
	send := func(in *intake, id string) int {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, noteRequest(context.Background(), id))
		return w.Code
	}
	var accepted []*journal.Message
	in := newIntake(t, &accepted)
	in.journal, _ = mustOpen(t, dir, journal.MinDisk)
	in.endedIDs = journal.NewIDRing(2)
	for range 2 {
		if code := send(in, "a"); code != http.StatusAccepted || len(accepted) != 1 {
			t.Fatalf("answered %d with %d messages accepted, want 202 and one", code, len(accepted))
		}
		must(t, in.journal.Closed(accepted[0], "e1", time.Now()))
		in.ended("a")
	}
	next, pending := mustOpen(t, dir, journal.MinDisk)
	if len(pending) != 0 || !next.EndedSet.Has("a") {
		t.Errorf("after a restart there are %d pending messages and %d ended ids", len(pending), next.EndedSet.Len())
	}
	for _, id := range []string{"b", "c", "d"} {
		send(in, id)
		in.ended(id)
	}
	if in.endedIDs.Has("b") || !in.endedIDs.Has("c") || !in.endedIDs.Has("d") || in.endedIDs.Len() != 2 {
		t.Errorf("%d ended ids, want the last two", in.endedIDs.Len())
	}
}

// Bytes in the body of a request must not be read as another request, however the end of the body is given: the connection
// is closed after the first response.
func TestBodyIsNotReadAsRequest(t *testing.T) {
	head := "POST %s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: note\r\n" +
		"X-Timeout-Ms: 5000\r\nIdempotency-Key: k\r\nX-Route-To: dest=7\r\n"
	inner := fmt.Sprintf(head, "/note", "inner") + "Content-Length: 0\r\n\r\n"
	chunked := fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inner)) + inner
	for name, text := range map[string]string{
		"message with both lengths": fmt.Sprintf(head, "/note", "outer") + chunked,
		"other path":                fmt.Sprintf(head, "/else", "outer") + chunked,
		"health":                    "GET /healthz HTTP/1.1\r\nHost: x\r\n" + chunked,
		"no length at all":          fmt.Sprintf(head, "/note", "outer") + "\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			var accepted []*journal.Message
			in := newIntake(t, &accepted)
			server := httptest.NewServer(in)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			must(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, text)
			must(t, err)
			must(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
			answers, err := io.ReadAll(conn)
			must(t, err) // an exceeded deadline means that the connection was kept open
			if n := strings.Count(string(answers), "HTTP/1.1 "); n != 1 || in.count() != 0 {
				t.Errorf("%d responses and %d messages accepted, want one response:\n%s", n, in.count(), answers)
			}
		})
	}
}

// pipeListener is a listener without sockets, for tests with a fake clock.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A connection without a complete request is closed within 3 s: such connections must not use up the limit of the clients.
func TestConnectionsWithoutARequestAreClosed(t *testing.T) {
	head := "POST /note HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nX-Priority-Class: note\r\n" +
		"X-Timeout-Ms: 5000\r\nIdempotency-Key: k\r\nX-Route-To: dest=7\r\n"
	for name, text := range map[string]string{
		"nothing":        "",
		"half a head":    head,
		"half a body":    head + "Content-Length: 9\r\n\r\nhalf",
		"one and silent": "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var accepted []*journal.Message
				in := newIntake(t, &accepted)
				listener, server := make(pipeListener), newServer(in, newClients(0), in.log)
				go func() { _ = server.Serve(listener) }()
				peer, conn := net.Pipe()
				listener <- conn
				start := time.Now()
				_, err := io.WriteString(peer, text)
				must(t, err)
				_, err = io.Copy(io.Discard, peer)
				must(t, err)
				if held := time.Since(start); held > 3*time.Second || len(accepted) != 0 {
					t.Errorf("open for %v with %d messages accepted, want at most 3 s and none", held, len(accepted))
				}
				close(listener)
			})
		})
	}
}

// Idle connections that use up the limit do not delay a new client.
func TestIdleConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var accepted []*journal.Message
		in := newIntake(t, &accepted)
		inner := make(pipeListener)
		server := newServer(in, newClients(4), in.log)
		go func() { _ = server.Serve(trackingListener{netutil.LimitListener(inner, 4)}) }()
		start := time.Now()
		for range 12 { // each stays open
			peer, conn := net.Pipe()
			go func() { inner <- conn }()
			_, err := io.WriteString(peer, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
			must(t, err)
			_, err = http.ReadResponse(bufio.NewReader(peer), nil)
			must(t, err)
			synctest.Wait()
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("12 connections waited for %v in total", waited)
		}
		close(inner)
		must(t, server.Close())
	})
}

// Connections without a complete request do not displace a client whose request arrives in pieces over more than 2 s.
func TestSlowClientAmongStuckConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var accepted []*journal.Message
		in := newIntake(t, &accepted)
		inner := make(pipeListener)
		const places = 8
		server := newServer(in, newClients(places), in.log)
		go func() { _ = server.Serve(trackingListener{netutil.LimitListener(inner, places)}) }()
		connect := func(text string) net.Conn {
			peer, conn := net.Pipe()
			inner <- conn
			if _, err := io.WriteString(peer, text); err != nil {
				t.Errorf("writing: %v", err)
			}
			synctest.Wait()
			return peer
		}
		start := time.Now()
		for range 3 {
			connect("POST /note HT")
		}
		client := connect("POST /note HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nX-Priority-Cl")
		for range 30 {
			connect("")
		}
		if waited := time.Since(start); waited > 0 {
			t.Errorf("30 connections waited for %v in total", waited)
		}
		time.Sleep(2300 * time.Millisecond) // of the fake clock
		_, err := io.WriteString(client, "ass: note\r\nX-Timeout-Ms: 5000\r\nX-Route-To: dest=7\r\n"+
			"Idempotency-Key: k\r\nContent-Length: 4\r\n\r\nbo")
		must(t, err)
		time.Sleep(300 * time.Millisecond)
		_, err = io.WriteString(client, "dy")
		must(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		must(t, err)
		if resp.StatusCode != http.StatusAccepted || len(accepted) != 1 {
			t.Errorf("answered %s with %d messages accepted, want 202 and one", resp.Status, len(accepted))
		}
		close(inner)
		must(t, server.Close())
	})
}

// If the journal can't be written, messages are refused and their capacity is freed.
func TestFailedJournalRefuses(t *testing.T) {
	var accepted []*journal.Message
	in := newIntake(t, &accepted)
	must(t, in.journal.Close())
	for _, id := range []string{"a", "b", "c", "a"} {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, noteRequest(context.Background(), id))
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: answered %d, want 503 with Retry-After", id, w.Code)
		}
	}
	if len(accepted) != 0 || in.count() != 0 {
		t.Errorf("%d messages accepted and %d held, want none", len(accepted), in.count())
	}
}

// Invalid entries in discovery's lists change nothing, and the gate of an endpoint that drains closes for calls that dial.
func TestInvalidListEntries(t *testing.T) {
	l := &loop{names: names{kinds: map[string]int{"general": 0}, zones: map[string]int{"a": 0}}, log: quietLog(),
		settings: policy.Settings{Kinds: []policy.Kind{{BundleMax: 1}}, DrainGrace: 1},
		journal:  &journal.Journal{}, endpoints: map[policy.EndpointID]*endpoint{}, waits: map[int]*gate{},
		caller: newCaller(Config{}, quietLog(), nil)}
	entry := func(id, phase string) member {
		return member{ID: id, HostPort: "127.0.0.1:1", Locality: "a", Flavor: "general", Cell: 3, Phase: phase, Size: 1}
	}
	strange := entry("s3", "active")
	strange.Flavor = "unheard of"
	got := l.applyList(list{Complete: true, Members: []member{entry("s1", "active"), entry("s2", "active"), strange,
		entry("s4", "left"), entry("s5", "sleeping"), entry("s6", "leaving")}})
	if len(got.Entries) != 2 || !got.Whole {
		t.Fatalf("entries %+v, want s1 and s2", got.Entries)
	}
	got = l.applyList(list{Complete: true, Members: []member{entry("s1", "sleeping"), entry("s2", "leaving")}})
	if len(got.Entries) != 2 || got.Entries[0].State != policy.Ready || got.Entries[1].State != policy.Draining {
		t.Errorf("entries %+v, want s1 still ready and s2 draining", got.Entries)
	}
	s1, s2 := l.endpoints[policy.EndpointID(hash("s1"))], l.endpoints[policy.EndpointID(hash("s2"))]
	if s1.leaving.closedFrom.Load() != 0 || s2.leaving.closedFrom.Load() == 0 {
		t.Error("the gate of s1 must be open and that of s2 must close")
	}
	if s1.waits != s2.waits {
		t.Error("endpoints of one destination with a shared limit must share its waits")
	}
}

// While two processes share the limits of one node, the new one uses only what the old one leaves.
func TestLimitsAreSharedWithThePreviousProcess(t *testing.T) {
	c := newClients(4)
	var conns []net.Conn
	connect := func() net.Conn {
		conn, _ := net.Pipe()
		conns = append(conns, conn)
		return c.update(conn, http.StateNew)
	}
	connect()
	c.limit(2)
	if old := connect(); old != conns[0] {
		t.Errorf("at a limit of two connections %v was closed, want the oldest", old)
	}
	c.update(conns[0], http.StateClosed)
	c.limit(4)
	if old := connect(); old != nil {
		t.Errorf("%v was closed though the limit was raised again", old)
	}
}

// badDisk is a folder whose files can't be synced.
type badDisk struct{ vfs.Folder }

type badFile struct{ vfs.File }

var badSync atomic.Bool

func (d badDisk) Create(name string) (vfs.File, error) {
	f, err := d.Folder.Create(name)
	return badFile{f}, err
}

func (f badFile) Sync() error {
	if badSync.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

// If a sync fails, the message of that request is answered with 500, because it may be in the journal after a restart. From
// then on all messages are refused, even if the disk works again, and readiness fails.
func TestDiskFailure(t *testing.T) {
	var accepted []*journal.Message
	in := newIntake(t, &accepted)
	var err error
	in.journal, _, err = journal.Open(journal.Options{Folder: badDisk{vfs.Dir(t.TempDir())}, Limit: journal.MinDisk, Sync: true})
	must(t, err)
	in.maxHeld = 10
	send := func(id string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, noteRequest(t.Context(), id))
		return w
	}
	ready := func() (int, int) {
		w := httptest.NewRecorder()
		in.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/healthz", nil))
		c := &console{loop: &loop{journal: in.journal}}
		c.ready.Store(true)
		status, _ := c.readiness()
		return w.Code, status
	}
	if w := send("a"); w.Code != http.StatusAccepted || len(accepted) != 1 {
		t.Fatalf("answered %d", w.Code)
	}
	if a, b := ready(); a != 200 || b != 200 {
		t.Errorf("ready: %d and %d", a, b)
	}
	badSync.Store(true)
	defer badSync.Store(false)
	if w := send("b"); w.Code != http.StatusInternalServerError || len(accepted) != 1 {
		t.Errorf("answered %d with %d accepted, want 500 and one", w.Code, len(accepted))
	}
	badSync.Store(false)
	if w := send("c"); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(accepted) != 1 {
		t.Errorf("answered %d with %d accepted, want 503 with Retry-After", w.Code, len(accepted))
	}
	if a, b := ready(); a != 503 || b != 503 {
		t.Errorf("ready: %d and %d, want 503", a, b)
	}
	// A message that may not be repeated is no longer sent, and is not reported as handed back.
	r := newCallRig(t, "127.0.0.1:1")
	r.caller.sync, r.caller.nonRepeatable = true, []bool{true}
	if err := r.caller.makeDurable(&call{endpoint: r.endpoint, messages: []*callMessage{{message: accepted[0]}}}); !errors.Is(err, journal.ErrFailed) {
		t.Errorf("%v, want that the disk failed", err)
	}
	f := newCompletionReports(newAgent("127.0.0.1:1"), quietLog())
	f.sync, f.nonRepeatable = true, []bool{true}
	must(t, in.journal.Ended(accepted[0], journal.NewNotice("a", true, 0)))
	f.syncEnds(accepted)
	if accepted[0].Notice.HandedBack() {
		t.Error("a message that may not be repeated is handed back though its end is not on disk")
	}
}
