package account

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"dunetide/internal/lab/tempdir"
	"dunetide/internal/lab/tier/cluster"
	"dunetide/internal/lab/tier/operator"
)

const (
	bulkHost = "bulk.example"
	// maxQueued is the quota of tokens that may be queued on the route of jobs. The first two jobs of a round fill it, and the third one
	// does not fit.
	maxQueued                             = 100
	firstTokens, restTokens, surplusToken = 40, maxQueued - firstTokens, 1
	jobTimeout                            = 60 * time.Second
	// cutStep is the number of bytes between cuts in the short test; with CALLS_MINUTES it is 3.
	cutStep = 61
)

// jobTier is a tier that stores jobs and has no endpoints, so that no item runs.
type jobTier struct {
	t      *testing.T
	fronts []string
}

func startJobTier(t *testing.T) *jobTier {
	t.Helper()
	dir := tempdir.Below(t, memoryRoot)
	c, err := cluster.New(cluster.Options{Program: program(t), Dir: filepath.Join(dir, "tier"), Zones: 1, Edges: proxies, Keepers: 2, Stores: 3,
		HeartbeatInterval: heartbeatInterval, Grace: 3 * time.Second, Rules: "base,batch"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	config := fmt.Sprintf(`{"version":1,"routes":[{"name":"bulk","host":%q,"path_start":"/bulk/","kind":"bulk","timeout_ms":5000,"target_ms":500,"priority":0,`+
		`"service":"s","tries":2,"sticky":false,"due_ms":60000,"max_wait_s":600,"max_queued":%d}],`+
		`"services":[{"name":"s","health_path":"/health","max_conns":10,"protocol":"h1","tls":false}]}`, bulkHost, maxQueued)
	if err := operator.New(c.Controls).Put(ctx, 0, []byte(config)); err != nil {
		t.Fatal(err, c.Ends())
	}
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err, c.Ends())
	}
	tier := &jobTier{t: t}
	for hash := range uint64(proxies) {
		front, ok := c.Front(c.Zones()[0], hash)
		if !ok {
			t.Fatal("no proxy is ready")
		}
		tier.fronts = append(tier.fronts, front)
	}
	return tier
}

// jobCall returns the bytes of a call of the batch API.
func jobCall(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, bulkHost, headerID, id, len(body), body)
}

func submitCall(id string, tokens int) string {
	return jobCall(http.MethodPost, "/bulk/x", id, fmt.Sprintf(`{"requests":[{"id":"%s.0","path":"/bulk/0","headers":{},"body":"aGVsbG8=","tokens":%d}]}`, id, tokens))
}

func deleteCall(id string) string { return jobCall(http.MethodDelete, "/lots/"+id, id+"-end", "") }

func readCallOf(id string) string {
	return jobCall(http.MethodGet, "/lots/"+id+"?start_after=0", id+"-read", "")
}

// cut sends a part of a call, or all of it and reads a part of its answer, and then resets or closes the connection.
func (j *jobTier) cut(proxy int, text string, sent, read int, reset bool) {
	j.t.Helper()
	conn, err := net.Dial("tcp4", j.fronts[proxy])
	if err != nil {
		j.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(jobTimeout))
	if _, err := io.WriteString(conn, text[:sent]); err != nil {
		j.t.Fatal(err)
	}
	if read > 0 {
		_, _ = io.ReadFull(conn, make([]byte, read)) // the answer may be shorter
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// call sends a call once; status 0 means that no complete answer was received.
func (j *jobTier) call(proxy int, text string) (status int, body string) {
	conn, err := net.Dial("tcp4", j.fronts[proxy])
	if err != nil {
		return 0, ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(jobTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	all, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(all)
}

// untilStatus repeats a call unchanged until its answer has the wanted status. A 503, a missing answer and the statuses in retryable
// are retried; any other status fails the test.
func (j *jobTier) untilStatus(proxy, want int, text string, retryable ...int) string {
	j.t.Helper()
	for end := time.Now().Add(jobTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, body := j.call(proxy, text)
		switch {
		case status == want:
			return body
		case status != 0 && status != http.StatusServiceUnavailable && !slices.Contains(retryable, status):
			j.t.Fatalf("status %d %s, want %d, for %.60q", status, body, want, text)
		}
	}
	j.t.Fatalf("no status %d in time for %.60q", want, text)
	return ""
}

// round submits a job repeatedly after a cut submission, fills the quota with another job, and deletes both repeatedly after a cut
// deletion. The next round can fill the quota exactly only if each submission and each deletion counted once.
func (j *jobTier) round(n, submitSent, deleteSent, read int) {
	j.t.Helper()
	first, rest, surplus := fmt.Sprintf("first-%d", n), fmt.Sprintf("rest-%d", n), fmt.Sprintf("surplus-%d", n)
	text := submitCall(first, firstTokens)
	sent := min(submitSent, len(text))
	j.cut(n%proxies, text, sent, read, n%2 == 0)
	if sent < len(text) {
		j.untilStatus((n+1)%proxies, http.StatusNotFound, readCallOf(first))
	}
	for repeat := range 2 * proxies {
		j.untilStatus(repeat%proxies, http.StatusAccepted, text, http.StatusTooManyRequests) // the tokens of the previous round are released soon
	}
	j.untilStatus(n%proxies, http.StatusAccepted, submitCall(rest, restTokens), http.StatusTooManyRequests)
	if status, _ := j.call(n%proxies, submitCall(surplus, surplusToken)); status == http.StatusAccepted {
		j.t.Fatalf("round %d: a job beyond the quota is accepted", n)
	}
	var job struct{ Total int }
	if body := j.untilStatus(n%proxies, http.StatusOK, readCallOf(first)); json.Unmarshal([]byte(body), &job) != nil || job.Total != 1 {
		j.t.Fatalf("round %d: job %s", n, body)
	}
	for _, id := range []string{first, rest} {
		text := deleteCall(id)
		j.cut(n%proxies, text, min(deleteSent, len(text)), read, n%2 == 1)
		for repeat := range 2 * proxies {
			j.untilStatus(repeat%proxies, http.StatusOK, text)
		}
	}
}

// TestJobCallsTruncatedAtEachByte cuts submissions and deletions of jobs at bytes of the call and of its answer and repeats them unchanged
// at all proxies: each counts once, also against the quota, and a partial one does not count.
func TestJobCallsTruncatedAtEachByte(t *testing.T) {
	j := startJobTier(t)
	step := cutStep
	if os.Getenv("CALLS_MINUTES") != "" {
		step = 3
	}
	rounds := 0
	for at := 0; at < len(submitCall("first-1", firstTokens)); at += step {
		j.round(rounds, at, at, 0)
		rounds++
	}
	const complete = 1 << 20 // more bytes than any call has
	for _, read := range []int{0, 1, 20, 1000} {
		j.round(rounds, complete, complete, read)
		rounds++
	}
	t.Logf("%d rounds of two jobs", rounds)
}
