package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// maxBuffered is the longest body that is read completely before the head is forwarded.
const maxBuffered = 256 << 10

// forwardAnswer forwards an answer to the client and returns the event that ended it.
func (x *exchange) forwardAnswer(w http.ResponseWriter, rc *http.ResponseController) attempt.Event {
	if x.response.StatusCode == http.StatusOK && isStream(x.response.Header) && x.method != http.MethodHead {
		return x.forwardEvents(w, rc)
	}
	outcome := dispatch.Served
	if x.response.StatusCode == http.StatusInternalServerError || x.response.StatusCode == http.StatusGatewayTimeout {
		outcome = dispatch.Failed
	}
	if x.method == http.MethodHead {
		x.connection.MarkComplete(x.response)
		x.writeHead(w, x.response.ContentLength)
		x.finish(outcome, upstream.Answered)
		return attempt.BodyComplete
	}
	return x.forwardBody(w, outcome)
}

// writeHead forwards an answer's head, with a Content-Length unless length is negative.
func (x *exchange) writeHead(w http.ResponseWriter, length int64) {
	x.checkAnswer()
	h := w.Header()
	drop := connectionHeaders(x.response.Header)
	x.proxy.closeWhenDraining(h)
	h["Date"], h["Content-Type"] = nil, nil
	for name, values := range x.response.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		if !drop(name) || name == headerID || name == headerSeal {
			h[name] = values
		}
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(x.response.StatusCode)
	x.headSent = true
}

// forwardBody forwards an answer that is not a stream. It reads up to maxBuffered bytes before it
// forwards anything, so that an answer truncated within them can still be replaced.
func (x *exchange) forwardBody(w http.ResponseWriter, outcome dispatch.Outcome) attempt.Event {
	length := x.response.ContentLength
	b := x.stream.buffer[:0]
	if length >= int64(cap(b)) && length <= maxBuffered {
		b = make([]byte, 0, length+1)
	}
	defer func() { x.stream.buffer = b }()
	for {
		n, err := x.response.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return x.forwardEnd(w, b, outcome)
		}
		if err != nil {
			return x.finishTruncated(err)
		}
		if len(b) < cap(b) {
			continue
		}
		if len(b) < maxBuffered {
			b = append(b, 0)[:len(b)]
			continue
		}
		if !x.headSent {
			x.writeHead(w, length)
		}
		if _, err := w.Write(b); err != nil {
			x.finish(dispatch.Canceled, upstream.Canceled)
			return attempt.ClientCanceled
		}
		b = b[:0]
	}
}

// forwardEnd forwards the end of a body, and the head if that was not forwarded yet.
func (x *exchange) forwardEnd(w http.ResponseWriter, end []byte, outcome dispatch.Outcome) attempt.Event {
	x.connection.MarkComplete(x.response)
	if !x.headSent {
		length := int64(len(end))
		if !bodyAllowed(x.response.StatusCode) {
			length = -1
		}
		x.writeHead(w, length)
	}
	x.finish(outcome, upstream.Answered) // before the last write: the client may send its next request right after it
	if len(end) > 0 {
		if _, err := w.Write(end); err != nil {
			return attempt.ClientCanceled
		}
	}
	return attempt.BodyComplete
}

// bodyAllowed reports whether an answer with this status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
