package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/clientbody"
	"dunetide/internal/proxy/dispatch"
)

const (
	// defaultRetryAfter is when to come back where nothing better is known.
	defaultRetryAfter = 100 * time.Millisecond
	// writeMargin is how long after the deadline a client may still take its answer.
	writeMargin = 150 * time.Millisecond
)

// ServeHTTP answers a client.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := p.o.Now()
	closeIfAmbiguous(w, r)
	target, path := r.RequestURI, r.URL.EscapedPath()
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	} else if raw, _, _ := strings.Cut(target, "?"); raw != path {
		path = raw
	}
	if !strings.HasPrefix(target, "/") {
		p.refuse(w, r, http.StatusBadRequest, 0, nil)
		return
	}
	admitted := arrived // when admission first hears of it
	if !prepared(p.o.Holder.Get()) {
		if status := p.awaitPrepared(w, r); status != 0 {
			refusedUnready.Inc()
			p.refuse(w, r, status, 3*defaultRetryAfter, nil)
			return
		}
		servedAfterWait.Inc()
		admitted = p.o.Now()
	}
	if p.o.Bulk != nil && (strings.HasPrefix(path, "/lots/") || strings.HasPrefix(path, "/items/")) {
		p.sayClose(w.Header())
		p.o.Bulk(w, r, nil)
		return
	}
	s := p.o.Holder.Get()
	route := p.o.Match(s.Config, r.Host, path)
	if route == nil {
		p.refuse(w, r, http.StatusNotFound, 0, nil)
		return
	}
	if route.Kind == operatorconfig.Bulk && p.o.Bulk != nil {
		p.sayClose(w.Header())
		p.o.Bulk(w, r, route)
		return
	}
	p.forward(w, r, route, &s.Config.Limits, target, arrival{arrived, admitted})
}

// arrival is when a request came.
type arrival struct {
	at       time.Time // its header was read
	admitted time.Time // the process could serve it: later than at where the process had just started
}

// forward answers a client's request of a route from an endpoint.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, route *operatorconfig.Route, limits *operatorconfig.Limits, target string, arrived arrival) {
	if status := unanswerable(r); status != 0 {
		w.Header().Set("Connection", "close")
		p.refuse(w, r, status, 0, route)
		return
	}
	x := &exchange{p: p, ctx: r.Context(), method: r.Method}
	x.describe(route, r.Header.Get)
	aim := time.Duration(route.TimeoutMs) * time.Millisecond
	if ms, err := strconv.ParseInt(r.Header.Get(headerTimeLeft), 10, 64); err == nil && ms >= 0 && ms < aim.Milliseconds() {
		aim = time.Duration(ms) * time.Millisecond
	}
	x.deadline = arrived.at.Add(aim - min(answerMargin, aim/8))
	x.req.Arrived, x.req.Deadline = arrived.admitted, x.deadline
	x.req.Due = arrived.at.Add(time.Duration(route.LatencyTargetMs) * time.Millisecond)
	x.last = r.Header.Get(headerLastEvent)

	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(arrived.at.Add(aim + writeMargin)) // a client that doesn't read holds nothing up for longer
	bodyBuffer, headBuffer, streamBuffer := getBuffer(), getBuffer(), getBuffer()
	defer func() {
		x.finish(dispatch.Left, upstream.Canceled) // where the handler was left early
		*headBuffer, *streamBuffer = x.head, x.stream.buf
		putBuffer(bodyBuffer)
		putBuffer(headBuffer)
		putBuffer(streamBuffer)
	}()
	x.head, x.stream.buf = *headBuffer, *streamBuffer
	if r.ContentLength != 0 {
		status := clientbody.Read(rc, r, clientbody.Limits{MaxBytes: limits.MaxBodyBytes, Deadline: x.deadline, Budget: p.o.Bodies}, bodyBuffer)
		if status != 0 {
			w.Header().Set("Connection", "close") // what follows on it can't be told from the rest of the body
			p.refuse(w, r, status, defaultRetryAfter, route)
			return
		}
		x.body = *bodyBuffer
		defer p.o.Bodies.Release(len(x.body))
	}
	x.buildHead(target, r.Host, r.Header, len(x.body))
	if limits.MaxHeaderBytes > 0 && x.base > limits.MaxHeaderBytes+256 { // some is laid out otherwise than it came
		p.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, 0, route)
		return
	}
	p.answerFrom(x, w, r, rc)
}

// unanswerable is the status for a request whose answer could not be told from others, or not from a
// part of itself; 0 for any other.
func unanswerable(r *http.Request) int {
	switch {
	case !r.ProtoAtLeast(1, 1): // a stream that is cut would look complete
		return http.StatusHTTPVersionNotSupported
	case len(r.Header[headerID]) != 1 || r.Header[headerID][0] == "":
		return http.StatusBadRequest
	}
	return 0
}

// answerFrom goes from endpoint to endpoint until there is an answer.
func (p *Proxy) answerFrom(x *exchange, w http.ResponseWriter, r *http.Request, rc *http.ResponseController) {
	e, ok := x.acquire()
	for {
		if ok {
			e = x.send()
			sends[e].Inc()
		}
		v := x.follow(e)
		if v == attempt.Forward {
			if e = x.passOn(w, rc); e == attempt.BodyComplete {
				x.state = attempt.Ended
				x.noteVerdict(attempt.Forward, e)
				return
			}
			sends[e].Inc()
			v = x.follow(e)
		}
		if v != attempt.Retry {
			x.noteVerdict(v, e)
		}
		switch v {
		case attempt.Retry:
			if e == attempt.Failed {
				x.drainAndFinish(dispatch.Failed)
			}
			if x.headed {
				x.last = x.stream.lastID
			}
			e, ok = x.acquire()
			continue
		case attempt.ServiceUnavailable:
			if x.reason != "" {
				w.Header().Set(headerReason, x.reason)
			}
			x.checkRefusal()
			p.answer(w, r, http.StatusServiceUnavailable, x.retryAfterHint())
		case attempt.BadGateway:
			p.answer(w, r, http.StatusBadGateway, 0)
		case attempt.GatewayTimeout:
			p.answer(w, r, http.StatusGatewayTimeout, 0)
		case attempt.Abort:
			if e == attempt.Failed {
				x.drainAndFinish(dispatch.Failed)
			}
			panic(http.ErrAbortHandler)
		case attempt.Done, attempt.Forward:
		}
		return
	}
}

// retryAfterHint is when a client that is refused should come back: in a third of its time at most.
func (x *exchange) retryAfterHint() time.Duration {
	d := x.retryAfter
	if d <= 0 {
		d = defaultRetryAfter
	}
	return max(time.Millisecond, min(d, x.left()/3))
}

// sayClose asks the client for another connection, and another machine, once this one is to be stopped.
func (p *Proxy) sayClose(h http.Header) {
	if p.draining.Load() {
		h["Connection"] = []string{"close"}
	}
}

// refuse answers a request that goes to no endpoint; route is nil where none was found.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration, route *operatorconfig.Route) {
	p.noteOwnAnswer(r, status, route)
	p.answer(w, r, status, retryAfter)
}

// answer answers a client with a status of our own.
func (p *Proxy) answer(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration) {
	h := w.Header()
	p.sayClose(h)
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	if id := r.Header.Get(headerID); id != "" {
		h[headerID] = []string{id}
	}
	if retryAfter > 0 && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(status)
}

// passHead passes an answer's head on, with the length of its body if that is known.
func (x *exchange) passHead(w http.ResponseWriter, length int64) {
	x.checkAnswer()
	h := w.Header()
	drop := named(x.resp.Header)
	x.p.sayClose(h)
	h["Date"], h["Content-Type"] = nil, nil
	for name, values := range x.resp.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		if !drop(name) || name == headerID || name == headerSeal {
			h[name] = values
		}
	}
	if length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(length, 10)}
	}
	w.WriteHeader(x.resp.StatusCode)
	x.headed = true
}

// passOn passes an answer on. It says how that ended.
func (x *exchange) passOn(w http.ResponseWriter, rc *http.ResponseController) attempt.Event {
	if x.resp.StatusCode == http.StatusOK && isStream(x.resp.Header) && x.method != http.MethodHead {
		return x.passEvents(w, rc)
	}
	outcome := dispatch.Served
	if x.resp.StatusCode == http.StatusInternalServerError || x.resp.StatusCode == http.StatusGatewayTimeout {
		outcome = dispatch.Failed
	}
	if x.method == http.MethodHead {
		x.conn.MarkComplete(x.resp)
		x.passHead(w, x.resp.ContentLength)
		x.finish(outcome, upstream.Answered)
		return attempt.BodyComplete
	}
	return x.passBody(w, outcome)
}

// passBody passes on an answer that is no stream. Up to maxBuffered bytes are read before anything is passed on, so that an answer that
// breaks off there may still be replaced.
func (x *exchange) passBody(w http.ResponseWriter, outcome dispatch.Outcome) attempt.Event {
	length := x.resp.ContentLength
	b := x.stream.buf[:0]
	if length >= int64(cap(b)) && length <= maxBuffered {
		b = make([]byte, 0, length+1)
	}
	defer func() { x.stream.buf = b }()
	for {
		n, err := x.resp.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return x.passEnd(w, b, outcome)
		}
		if err != nil {
			return x.cut(err)
		}
		if len(b) < cap(b) {
			continue
		}
		if len(b) < maxBuffered {
			b = append(b, 0)[:len(b)]
			continue
		}
		if !x.headed {
			x.passHead(w, length)
		}
		if _, err := w.Write(b); err != nil {
			x.finish(dispatch.Left, upstream.Canceled)
			return attempt.ClientCanceled
		}
		b = b[:0]
	}
}

// passEnd passes on the end of a body, with the head if that has not gone yet.
func (x *exchange) passEnd(w http.ResponseWriter, end []byte, outcome dispatch.Outcome) attempt.Event {
	x.conn.MarkComplete(x.resp)
	if !x.headed {
		length := int64(len(end))
		if !bodyAllowed(x.resp.StatusCode) {
			length = -1
		}
		x.passHead(w, length)
	}
	x.finish(outcome, upstream.Answered) // before the client has it all, who may ask again at once
	if len(end) > 0 {
		if _, err := w.Write(end); err != nil {
			return attempt.ClientCanceled
		}
	}
	return attempt.BodyComplete
}

// bodyAllowed tells whether answers of a status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// cut ends a sending whose body broke off.
func (x *exchange) cut(err error) attempt.Event {
	if e := x.failed(err); e != attempt.Broken && e != attempt.NotWritten {
		return e
	}
	return attempt.BodyTruncated
}

// passEvents passes a stream on: each event as it comes, and only whole ones.
func (x *exchange) passEvents(w http.ResponseWriter, rc *http.ResponseController) attempt.Event {
	after := int64(-1)
	if x.headed {
		after, _ = strconv.ParseInt(x.last, 10, 64)
	}
	last := x.stream.lastID
	x.stream.reset(after)
	x.stream.lastID = last
	return x.readEvents(func(whole []byte, end bool) error {
		if !x.headed {
			x.passHead(w, -1)
		}
		if len(whole) > 0 {
			if _, err := w.Write(whole); err != nil {
				return err
			}
		}
		if end { // goes out with the end of the body
			return nil
		}
		return rc.Flush()
	})
}

// readEvents reads the answer's body as events and hands on what is whole. The end comes with what
// is left, which the endpoint has ended properly.
func (x *exchange) readEvents(hand func(whole []byte, end bool) error) attempt.Event {
	s := &x.stream
	for {
		if len(s.buf) == cap(s.buf) {
			if len(s.buf) > maxEvent {
				return x.cut(errTooLong)
			}
			s.buf = append(s.buf, 0)[:len(s.buf)]
		}
		n, err := x.resp.Body.Read(s.buf[len(s.buf):cap(s.buf)])
		s.buf = s.buf[:len(s.buf)+n]
		whole, wrong := s.scan()
		if errors.Is(err, io.EOF) && wrong == nil {
			x.conn.MarkComplete(x.resp)
			x.finish(dispatch.Served, upstream.Answered)
			if hand(s.buf, true) != nil {
				return attempt.ClientCanceled
			}
			return attempt.BodyComplete
		}
		if whole > 0 {
			if hand(s.buf[:whole], false) != nil {
				x.finish(dispatch.Left, upstream.Canceled)
				return attempt.ClientCanceled
			}
			s.take()
		}
		if wrong != nil { // after what was right before it, as lastID tells of that
			return x.cut(wrong)
		}
		if err != nil {
			return x.cut(err)
		}
	}
}
