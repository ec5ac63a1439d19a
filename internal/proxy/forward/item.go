package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/platform/upstream"
	"dunetide/internal/proxy/attempt"
	"dunetide/internal/proxy/dispatch"
	"dunetide/internal/proxy/identity"
)

// Item is one request of a batch job.
type Item struct {
	ID   string
	Host string // of its route
	Path string // with a query, if any
	// Header has the item's headers. If X-Dunetide-Tenant is among them, it is forwarded, and Authorization is not.
	Header map[string]string
	Body   []byte
	Route  *operatorconfig.Route
	// RouteIn returns the route of the item's job in a configuration, nil if it has none there. While the item waits for an
	// endpoint, the newest configuration counts. Nil: the route does not change.
	RouteIn func(config *operatorconfig.Config) *operatorconfig.Route
	// MayStart is called right before the item is sent to an endpoint; nil: it always may.
	MayStart func() bool
	// Rejected is called when no endpoint has run the item after MayStart allowed it, before the wait for the next endpoint;
	// nil: nobody needs to know.
	Rejected func()
	Due      time.Time // when its result is due; zero: unknown
}

// ItemState is how a run of an item ended.
type ItemState uint8

// States of an item.
const (
	ItemNotRun        ItemState = iota // no endpoint has run it
	ItemDone                           // its complete output was received
	ItemBroken                         // its output was truncated; it may resume after the last event received
	ItemFailed                         // the endpoint answered 500: a failed attempt
	ItemUnprocessable                  // the endpoint answered 422: the item can't be processed
)

// Result is how a run of an item ended.
type Result struct {
	State ItemState
	Err   error // why it is not done
}

var (
	errInvalidItem = errors.New("invalid batch item")
	errMayNotStart = errors.New("item not started: its job may have ended")
)

// Check returns an error if an item can't be sent as a request.
func (it *Item) Check() error {
	switch {
	case it.Route == nil,
		it.ID == "" || !httpguts.ValidHeaderFieldValue(it.ID),
		it.Host == "" || !httpguts.ValidHostHeader(it.Host):
		return errInvalidItem
	}
	if !strings.HasPrefix(it.Path, "/") || strings.ContainsFunc(it.Path, isNotPrintable) {
		return fmt.Errorf("%w: malformed path", errInvalidItem)
	}
	for name, value := range it.Header {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return fmt.Errorf("%w: malformed header %q", errInvalidItem, name)
		}
	}
	return nil
}

func isNotPrintable(c rune) bool { return c <= ' ' || c >= 0x7f }

// RunItem runs an item at an endpoint, resuming after the event lastEventID if that is not empty. The
// function event is called with each complete event as it arrives; an answer that is no stream is
// passed as one event. The run is canceled with the context.
func (p *Proxy) RunItem(ctx context.Context, it *Item, lastEventID string, event func(id string, data []byte)) Result {
	if err := it.Check(); err != nil {
		return Result{State: ItemNotRun, Err: err}
	}
	header := make(http.Header, len(it.Header)+1)
	for name, value := range it.Header {
		header.Set(name, strings.TrimSpace(value))
	}
	header.Set(headerID, it.ID)
	x := &exchange{
		proxy:       p,
		ctx:         ctx,
		method:      http.MethodPost,
		lastEventID: lastEventID,
		body:        it.Body,
	}
	x.describe(it.Route, header.Get)
	x.identifyItem(header.Get(identity.HeaderTenant))
	x.request.Bulk, x.request.Arrived = true, p.options.Now()
	x.request.LeadsTo = it.leadsTo()
	if deadline, ok := ctx.Deadline(); ok {
		x.deadline, x.request.Deadline = deadline, deadline
	}
	x.request.Due = it.Due
	head, stream := x.acquireBuffers()
	defer x.releaseBuffers(head, stream)
	x.buildHead(it.Path, it.Host, header, len(it.Body))
	return x.runItem(it, event)
}

// leadsTo returns the function that reports whether the item's route leads to a service under a configuration.
func (it *Item) leadsTo() func(config *operatorconfig.Config, service string) bool {
	if it.RouteIn == nil {
		return nil
	}
	return func(config *operatorconfig.Config, service string) bool {
		route := it.RouteIn(config)
		return route != nil && slices.ContainsFunc(route.Shares, func(s operatorconfig.Share) bool {
			return s.Service == service && (s.Weight > 0 || len(route.Shares) == 1)
		})
	}
}

// identifyItem sets the tenant of an item, which its job states. A key that a client put among the headers of an item
// is withheld wherever keys have a meaning.
func (x *exchange) identifyItem(tenant string) {
	var config *operatorconfig.Config
	if s := x.proxy.options.Snapshots.Get(); s != nil {
		config = s.Config
	}
	x.withholdsKey = tenant != "" || config.HasTenants()
	x.tenant = tenant
	if t := config.Tenant(tenant); t != nil {
		x.setTenant(t)
	}
}

// runItem sends an item until an endpoint has run it or no endpoint accepts it. It retries only sends
// that certainly did not run; the job decides what follows a truncated or failed run.
func (x *exchange) runItem(it *Item, event func(id string, data []byte)) Result {
	for {
		e, granted := x.acquire()
		if granted {
			if it.MayStart != nil && !it.MayStart() {
				x.finish(dispatch.NotSent, upstream.Unused)
				return Result{State: ItemNotRun, Err: errMayNotStart}
			}
			e = x.sendRequest()
		}
		switch x.nextVerdict(e) {
		case attempt.Retry:
			if granted && it.Rejected != nil {
				it.Rejected()
			}
		case attempt.ServiceUnavailable:
			return Result{State: ItemNotRun, Err: errors.Join(context.Cause(x.ctx), x.err)}
		case attempt.Forward:
			if e == attempt.Failed {
				x.drainAndFinish(dispatch.Failed)
				return Result{State: ItemFailed}
			}
			return x.readItemAnswer(event)
		default: // BadGateway, GatewayTimeout, Abort
			state := ItemBroken
			if !granted {
				state = ItemNotRun
			}
			return Result{State: state, Err: errors.Join(context.Cause(x.ctx), x.err)}
		}
	}
}

// readItemAnswer reads the answer to an item and returns the result, which depends on its status.
func (x *exchange) readItemAnswer(event func(id string, data []byte)) Result {
	status := x.response.StatusCode
	switch {
	case status == http.StatusUnprocessableEntity:
		x.drainAndFinish(dispatch.Served)
		return Result{State: ItemUnprocessable}
	case status == http.StatusBadRequest && x.response.Header.Get(headerNotRun) != "":
		x.drainAndFinish(dispatch.NotRun)
		return Result{State: ItemNotRun, Err: errInvalidItem}
	case status >= 300:
		x.drainAndFinish(dispatch.Failed)
		return Result{State: ItemBroken, Err: fmt.Errorf("endpoint answered with status %d", status)}
	}
	if isStream(x.response.Header) {
		return x.readItemStream(event)
	}
	return x.readItemBody(event)
}

// readItemStream reads the events of an item's answer.
func (x *exchange) readItemStream(event func(id string, data []byte)) Result {
	x.stream.reset(-1)
	if last := parseCount(x.lastEventID); last > 0 {
		x.stream.minID = int64(last)
	}
	x.stream.onEvent = func(id string, bytes []byte) error {
		event(id, eventData(bytes))
		return nil
	}
	end := x.readEvents(func([]byte, bool) error { return nil })
	if end != attempt.BodyComplete {
		return Result{State: ItemBroken, Err: x.err}
	}
	return Result{State: ItemDone}
}

// readItemBody reads an item's answer that is not a stream.
func (x *exchange) readItemBody(event func(id string, data []byte)) Result {
	x.stream.reset(-1)
	var body []byte
	end := x.readEvents(func(whole []byte, _ bool) error {
		body = append(body, whole...)
		return nil
	})
	if end != attempt.BodyComplete {
		return Result{State: ItemBroken, Err: x.err}
	}
	event("", body)
	return Result{State: ItemDone}
}
