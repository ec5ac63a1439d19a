package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
)

// Item is one request of a batch job.
type Item struct {
	ID     string
	Host   string // of its route
	Path   string // with a query, if any
	Header map[string]string
	Body   []byte
	Route  *operatorconfig.Route
	// MayStart is asked right before the item is sent to an endpoint; nil: it always may.
	MayStart func() bool
	Due      time.Time // its result should be there by then; zero: not told
}

// ItemState is how a run of an item ended.
type ItemState uint8

// The states.
const (
	ItemNotRun ItemState = iota // no endpoint has run it
	ItemDone                    // its whole output came
	ItemBroken                  // it broke off; it may go on after the last event that came
	ItemFailed                  // the endpoint answered 500: a failed attempt
	ItemNever                   // the endpoint answered 422: it can't be done
)

// Result is how a run of an item ended.
type Result struct {
	State ItemState
	Err   error
}

var (
	errNotAnItem   = errors.New("not an item that can be sent")
	errMayNotStart = errors.New("its job may have ended")
)

// Check tells whether an item can be sent as a request.
func (it *Item) Check() error {
	if it.Route == nil || it.ID == "" || !httpguts.ValidHeaderFieldValue(it.ID) || it.Host == "" || !httpguts.ValidHostHeader(it.Host) {
		return errNotAnItem
	}
	if !strings.HasPrefix(it.Path, "/") || strings.ContainsFunc(it.Path, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
		return fmt.Errorf("%w: its path", errNotAnItem)
	}
	for name, value := range it.Header {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return fmt.Errorf("%w: header %q", errNotAnItem, name)
		}
	}
	return nil
}

// RunItem runs an item at an endpoint, after the event that is named, if any. Each whole event is
// handed on as it comes; an answer that is no stream comes as one event. It ends with the context.
func (p *Proxy) RunItem(ctx context.Context, it *Item, lastEventID string, event func(id string, data []byte)) Result {
	if err := it.Check(); err != nil {
		return Result{ItemNotRun, err}
	}
	header := make(http.Header, len(it.Header)+1)
	for name, value := range it.Header {
		header.Set(name, strings.TrimSpace(value))
	}
	header.Set(headerID, it.ID)
	x := &exchange{p: p, ctx: ctx, method: http.MethodPost, last: lastEventID, body: it.Body}
	x.describe(it.Route, header.Get)
	x.req.Bulk, x.req.Arrived = true, p.o.Now()
	if deadline, ok := ctx.Deadline(); ok {
		x.deadline, x.req.Deadline = deadline, deadline
	}
	x.req.Due = it.Due
	headBuffer, streamBuffer := getBuffer(), getBuffer()
	defer func() {
		x.finish(dispatch.Left, upstream.Canceled)
		*headBuffer, *streamBuffer = x.head, x.stream.buf
		putBuffer(headBuffer)
		putBuffer(streamBuffer)
	}()
	x.head, x.stream.buf = *headBuffer, *streamBuffer
	x.buildHead(it.Path, it.Host, header, len(it.Body))
	return x.runItem(it, event)
}

// runItem sends an item until an endpoint has run it or none will. Only a send that ran nowhere is repeated here; what follows
// a run that broke off or failed is decided by its job.
func (x *exchange) runItem(it *Item, event func(id string, data []byte)) Result {
	for {
		e, granted := x.acquire()
		if granted {
			if it.MayStart != nil && !it.MayStart() {
				x.finish(dispatch.Unsent, upstream.Unused)
				return Result{ItemNotRun, errMayNotStart}
			}
			e = x.send()
		}
		switch x.follow(e) {
		case attempt.Retry:
		case attempt.ServiceUnavailable:
			return Result{ItemNotRun, errors.Join(context.Cause(x.ctx), x.err)}
		case attempt.Forward:
			if e == attempt.Failed {
				x.drainAndFinish(dispatch.Failed)
				return Result{ItemFailed, nil}
			}
			return x.itemAnswer(event)
		default: // BadGateway, GatewayTimeout, Abort
			state := ItemBroken
			if !granted {
				state = ItemNotRun
			}
			return Result{state, errors.Join(context.Cause(x.ctx), x.err)}
		}
	}
}

// itemAnswer reads the answer of an item.
func (x *exchange) itemAnswer(event func(id string, data []byte)) Result {
	status := x.resp.StatusCode
	switch {
	case status == http.StatusUnprocessableEntity:
		x.drainAndFinish(dispatch.Served)
		return Result{State: ItemNever}
	case status == http.StatusBadRequest && x.resp.Header.Get(headerNotRun) != "":
		x.drainAndFinish(dispatch.NotRun)
		return Result{ItemNotRun, errNotAnItem}
	case status >= 300:
		x.drainAndFinish(dispatch.Failed)
		return Result{ItemBroken, fmt.Errorf("the endpoint answered %d", status)}
	}
	stream := isStream(x.resp.Header)
	x.stream.reset(-1)
	if n := atoi(x.last); stream && n > 0 {
		x.stream.after = int64(n)
	}
	if stream {
		x.stream.each = func(id string, one []byte) error {
			event(id, dataOf(one))
			return nil
		}
	}
	var rest []byte
	e := x.readEvents(func(whole []byte, end bool) error {
		if !stream {
			rest = append(rest, whole...)
		}
		return nil
	})
	if e != attempt.BodyComplete {
		return Result{ItemBroken, x.err}
	}
	if !stream {
		event("", rest)
	}
	return Result{State: ItemDone}
}
