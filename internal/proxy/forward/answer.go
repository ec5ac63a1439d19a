package forward

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxRetryAfter is the longest accepted Retry-After; longer ones are ignored.
const maxRetryAfter = 60 * time.Second

// answersThisRequest reports whether the answer carries the id of this request and no other id.
func (x *exchange) answersThisRequest() bool {
	ids := x.response.Header[headerID]
	return len(ids) == 1 && ids[0] == x.request.ID
}

// spliced reports whether the head of the answer contains another status line: the endpoint
// truncated the head of one answer and sent another answer after it. The status and each header may
// then belong to either.
func (x *exchange) spliced() bool {
	if hasStatusLine(x.response.Status) {
		return true
	}
	for _, values := range x.response.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether s contains "HTTP/1.x NNN".
func hasStatusLine(s string) bool {
	const version, digits = "HTTP/1.", 3
	for {
		at := strings.Index(s, version)
		if at < 0 {
			return false
		}
		s = s[at+len(version):]
		if len(s) >= 2+digits && s[1] == ' ' && !strings.ContainsFunc(s[2:2+digits], isNoDigit) {
			return true
		}
	}
}

func isNoDigit(r rune) bool { return r < '0' || r > '9' }

// skippable reports whether an answer to another request can be skipped: it must have an id, and a
// body whose end does not depend on the method of that request.
func (x *exchange) skippable() bool {
	return x.method != http.MethodHead && x.response.Header.Get(headerID) != "" && x.delimited()
}

// classify returns the event for the head of an answer, and the outcome for the endpoint.
// docs/calls.md has the table.
func (x *exchange) classify() (attempt.Event, dispatch.Outcome) {
	h, status := x.response.Header, x.response.StatusCode
	notRun := h.Get(headerNotRun) != ""
	switch {
	case status == http.StatusMisdirectedRequest:
		return attempt.Rejected, dispatch.Misdirected
	case notRun && promisesNotRun(status):
		return attempt.Rejected, dispatch.NotRun
	case promisesNotRun(status):
		return attempt.UnprovenRejection, dispatch.Failed
	case !unencoded(h.Get("Content-Encoding")), !x.delimited():
		return attempt.Broken, dispatch.Broken
	case status < 300 && (notRun || h.Get(headerSeal) == ""):
		return attempt.Broken, dispatch.Broken
	case x.headSent && (status != http.StatusOK || !isStream(h)) && status != http.StatusInternalServerError:
		return attempt.Broken, dispatch.Failed
	case status == http.StatusInternalServerError:
		return attempt.Failed, dispatch.Failed
	case status == http.StatusGatewayTimeout:
		return attempt.Answered, dispatch.Failed
	}
	return attempt.Answered, dispatch.Served
}

// promisesNotRun reports whether a status, together with X-Dunetide-Not-Run, proves that the request
// has not run. With any other status that header proves nothing.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

// unencoded reports whether a Content-Encoding means that the content is not encoded.
func unencoded(encoding string) bool {
	return encoding == "" || strings.EqualFold(encoding, "identity")
}

// isStream reports whether an answer is a stream of server-sent events.
func isStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// delimited reports whether the complete body can be told from one cut by a broken connection.
func (x *exchange) delimited() bool {
	return x.response.ContentLength >= 0 ||
		slices.Contains(x.response.TransferEncoding, "chunked") ||
		x.method == http.MethodHead
}

// reportedLoad parses the load that an answer reports as "running,waiting,slots".
func reportedLoad(h http.Header) dispatch.Load {
	line := h.Get(headerLoad)
	if line == "" {
		return dispatch.Load{}
	}
	running, rest, _ := strings.Cut(line, ",")
	waiting, slots, ok := strings.Cut(rest, ",")
	return dispatch.Load{
		Running: parseCount(running),
		Waiting: parseCount(waiting),
		Slots:   parseCount(slots),
		Known:   ok,
	}
}

// retryAfterHeader returns the time of a Retry-After header; 0 if it is missing or invalid.
func retryAfterHeader(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 || s > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
