package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// roundTrip writes the request and reads the head of its answer. Before it, duplicates of answers
// to earlier calls on the connection may arrive: their ids differ, and they are read over.
func (x *exchange) roundTrip() (err error) {
	if x.holdsBackEnd() {
		x.conn.DelayEnd()
	}
	x.resp, err = x.conn.Open(x.ctx, x.method, x.head, x.body, x.deadline)
	for n := 0; err == nil; n++ {
		matches, spliced := x.matches(), x.spliced()
		if matches && !spliced {
			return nil
		}
		if spliced || n == maxSurplus || !x.skippable() || !x.drain(maxBuffered) {
			return &upstream.CallError{Sent: true, Err: errForeign}
		}
		x.resp, err = x.conn.NextAnswer()
	}
	return err
}

// holdsBackEnd tells whether the request must not be lost on a connection that the endpoint has forgotten: no other endpoint may have it
// after a reset, as it may run once or this is its last try. A regulated request goes out at once: it was judged a moment ago, and the
// endpoint's certificate may be withdrawn. An item goes out at once too: it comes back after a pause.
func (x *exchange) holdsBackEnd() bool {
	if x.req.Regime != "" || x.req.Bulk {
		return false
	}
	return !x.req.Route.Idempotent() || x.tries+1 >= max(1, x.req.Route.MaxAttempts)
}

// matches tells whether the answer names this request, and no other.
func (x *exchange) matches() bool {
	ids := x.resp.Header[headerID]
	return len(ids) == 1 && ids[0] == x.req.ID
}

// spliced tells whether the head of the answer has another status line inside: the endpoint broke off
// the head of one answer and sent another one behind it. The status, and any header, may be of either.
func (x *exchange) spliced() bool {
	if hasStatusLine(x.resp.Status) {
		return true
	}
	for _, values := range x.resp.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine finds "HTTP/1.x NNN".
func hasStatusLine(s string) bool {
	const version, digits = "HTTP/1.", 3
	for {
		at := strings.Index(s, version)
		if at < 0 {
			return false
		}
		s = s[at+len(version):]
		if len(s) >= 2+digits && s[1] == ' ' && !strings.ContainsFunc(s[2:2+digits], func(r rune) bool { return r < '0' || r > '9' }) {
			return true
		}
	}
}

// skippable tells whether an answer to another call can be read over: it has to have an id, and an
// end that does not depend on the method of the call that it belongs to.
func (x *exchange) skippable() bool {
	return x.method != http.MethodHead && x.resp.Header.Get(headerID) != "" && x.delimited()
}

// classify says what a head tells.
func (x *exchange) classify() (attempt.Event, dispatch.Outcome) {
	h, status := x.resp.Header, x.resp.StatusCode
	notRun := h.Get(headerNotRun) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt.Rejected, dispatch.WrongOne
	case notRun && promisesNotRun(status):
		return attempt.Rejected, dispatch.NotRun
	case promisesNotRun(status):
		return attempt.UnprovenRejection, dispatch.Failed
	case !plain(h.Get("Content-Encoding")), !x.delimited():
		return attempt.Broken, dispatch.Broken
	case status < 300 && (notRun || h.Get(headerSeal) == ""):
		return attempt.Broken, dispatch.Broken
	case x.headed && (status != http.StatusOK || !isStream(h)) && status != http.StatusInternalServerError:
		return attempt.Broken, dispatch.Failed
	case status == http.StatusInternalServerError:
		return attempt.Failed, dispatch.Failed
	case status == http.StatusGatewayTimeout:
		return attempt.Answered, dispatch.Failed
	}
	return attempt.Answered, dispatch.Served
}

// promisesNotRun tells of the statuses that promise that a request has not run, if the endpoint says so
// in X-Dunetide-Not-Run too. Beside any other status that header is no proof.
func promisesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout
}

func plain(encoding string) bool { return encoding == "" || strings.EqualFold(encoding, "identity") }

func isStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// delimited tells whether the body's end can be told from a cut.
func (x *exchange) delimited() bool {
	return x.resp.ContentLength >= 0 || slices.Contains(x.resp.TransferEncoding, "chunked") || x.method == http.MethodHead
}

// loadOf reads "running,waiting,slots".
func loadOf(h http.Header) dispatch.Load {
	line := h.Get(headerLoad)
	if line == "" {
		return dispatch.Load{}
	}
	running, rest, _ := strings.Cut(line, ",")
	waiting, slots, ok := strings.Cut(rest, ",")
	return dispatch.Load{Running: atoi(running), Waiting: atoi(waiting), Slots: atoi(slots), Known: ok}
}

func retryAfterOf(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 || s > 60 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
