package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
	"dunetide/policy"
)

const (
	// maxConsoleConns is the maximum number of console connections; a new one above it replaces the oldest. That many
	// descriptors are reserved for them.
	maxConsoleConns = 16
	// consoleTimeout is the timeout for reading a request.
	consoleTimeout = 2 * time.Second
	// consoleAnswer is the longest time for a response; callers time out after 1 s.
	consoleAnswer = 800 * time.Millisecond
	maxOrder      = 4 << 10
	// maxPools is the maximum number of connection pools in a response.
	maxPools = 1000
)

// console serves the operators' requests. It has its own listener and server, so that the clients' connections and their
// limits do not affect it.
type console struct {
	server *http.Server
	log    *slog.Logger
	ready  atomic.Bool // clients are served

	loopReady chan struct{} // closed when loop is set
	loop      *loop
	processes *processGroup // the other processes of the node; nil where there are none
	fleet     *fleet.Fleet
	leases    *lease.Leases
	copies    *copies // nil without copies, and until they are started
	hasCopies bool    // the node is configured with copies
}

// openConsole listens at once; requests that need the node's state wait for it.
func openConsole(ctx context.Context, addr string, c *console, log *slog.Logger) (net.Listener, error) {
	listen := func() (net.Listener, error) { return (&net.ListenConfig{}).Listen(ctx, "tcp", addr) }
	if c.processes != nil {
		listen = func() (net.Listener, error) { return c.processes.listen(ctx, "staff", addr) }
	}
	listener, err := listen()
	if err != nil {
		return nil, fmt.Errorf("listening for console requests: %w", err)
	}
	c.log = log
	c.server = &http.Server{Handler: c, ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout + consoleAnswer,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	c.server.SetKeepAlivesEnabled(false) // one request per connection
	return &evictingListener{Listener: listener, max: maxConsoleConns}, nil
}

// run serves until the context ends. The node continues if the console fails.
func (c *console) run(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = c.server.Close() })()
	if err := c.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("console: serving failed", "err", err)
	}
}

// setLoop sets the loop, and lets requests that need the node's state proceed.
func (c *console) setLoop(l *loop) {
	c.loop = l
	close(c.loopReady)
}

// consoleMethods has the methods of the console's requests by path.
var consoleMethods = map[string]string{
	"/ops/readiness": http.MethodGet,
	"/ops/pools":     http.MethodGet,
	"/ops/journal":   http.MethodGet,
	"/ops/group":     http.MethodGet,
	"/ops/fleet":     http.MethodGet,
	"/ops/leases":    http.MethodGet,
	"/ops/copies":    http.MethodGet,

	"/ops/endpoints/down": http.MethodPut,
	"/ops/endpoints/up":   http.MethodPut,
	"/ops/fleet/remove":   http.MethodPut,
	"/ops/leases/voters":  http.MethodPut,
	"/ops/leases/recover": http.MethodPut,
	"/ops/leases/take":    http.MethodPut,
	"/ops/leases/give":    http.MethodPut,
}

// ServeHTTP handles one request: a 2xx status means success, any other failure.
func (c *console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, known := consoleMethods[r.URL.Path]
	if !known {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		http.Error(w, method+" only", http.StatusMethodNotAllowed)
		return
	}
	if method == http.MethodGet && r.URL.Path != "/ops/readiness" {
		c.serveStatus(w, r)
		return
	}
	status, text := c.execute(w, r)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}

// serveStatus responds to a request for one of the status pages.
func (c *console) serveStatus(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ops/pools":
		c.writeStatus(w, func(l *loop) any { return l.caller.pools.Stats(maxPools) })
	case "/ops/journal":
		c.writeStatus(w, func(l *loop) any { return l.journal.Status() })
	case "/ops/group":
		if c.processes == nil {
			http.Error(w, "this process is in no group", http.StatusNotFound)
			return
		}
		c.writeStatus(w, func(*loop) any { return c.processes.status() })
	case "/ops/fleet":
		if c.fleet == nil {
			http.Error(w, errNoFleet.Error(), http.StatusNotFound)
			return
		}
		c.writeStatus(w, func(*loop) any { return c.fleet.Status() })
	case "/ops/copies":
		if !c.hasCopies {
			http.Error(w, errNoCopies.Error(), http.StatusNotFound)
			return
		}
		c.writeStatus(w, func(*loop) any { return c.copies.keeper.Status() })
	case "/ops/leases":
		if c.leases == nil {
			http.Error(w, errNoLeases.Error(), http.StatusNotFound)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), consoleAnswer)
		defer cancel()
		c.writeStatus(w, func(*loop) any { return c.leases.Status(ctx) })
	}
}

// execute handles the readiness check and the requests that change something.
func (c *console) execute(w http.ResponseWriter, r *http.Request) (status int, text string) {
	switch r.URL.Path {
	case "/ops/leases/voters", "/ops/leases/recover", "/ops/leases/take", "/ops/leases/give":
		return c.orderLeases(r.Context(), r.URL.Path, http.MaxBytesReader(w, r.Body, maxOrder))
	case "/ops/fleet/remove":
		return c.removeMember(http.MaxBytesReader(w, r.Body, maxOrder))
	case "/ops/readiness":
		return c.readiness()
	}
	id, err := orderedHost(http.MaxBytesReader(w, r.Body, maxOrder))
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	status, text = c.order(id, r.URL.Path == "/ops/endpoints/down")
	c.log.Info("console", "call", r.URL.Path, "host", id, "status", status, "text", text)
	return status, text
}

// writeStatus writes a status page as JSON, once the loop is set.
func (c *console) writeStatus(w http.ResponseWriter, figures func(*loop) any) {
	select {
	case <-c.loopReady:
	case <-time.After(consoleAnswer):
		http.Error(w, "nothing to show yet", http.StatusServiceUnavailable)
		return
	}
	text, err := json.MarshalIndent(figures(c.loop), "", "  ")
	if err != nil {
		c.log.Error("console: encoding a status page failed", "err", err)
		http.Error(w, "the figures can't be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n')) // the client may have disconnected
}

func (c *console) readiness() (status int, text string) {
	if !c.ready.Load() {
		if c.processes != nil && c.processes.anyMember(requestReady, nil) {
			return http.StatusOK, "clients are taken, by another process of this node"
		}
		return http.StatusServiceUnavailable, "no clients are taken"
	}
	if err := c.loop.journal.Failed(); err != nil {
		return http.StatusServiceUnavailable, "no clients are taken: " + err.Error()
	}
	return http.StatusOK, "clients are taken"
}

// removeMember marks a member of the fleet as removed. Success means that this node has recorded it; the other nodes learn
// of it after that.
func (c *console) removeMember(body io.Reader) (status int, text string) {
	if c.fleet == nil {
		return http.StatusNotFound, errNoFleet.Error()
	}
	var o struct {
		Name string `json:"name"`
	}
	err := readOrder(body, &o)
	if err == nil && o.Name == "" {
		err = errors.New(`the order names no "name"`)
	}
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	if err := c.fleet.Remove(o.Name); err != nil {
		status, text = http.StatusNotFound, err.Error()
	} else {
		status, text = http.StatusOK, "done"
	}
	c.log.Info("console", "call", "/ops/fleet/remove", "name", o.Name, "status", status, "text", text)
	return status, text
}

// orderLeases executes an operator's request that concerns leases.
func (c *console) orderLeases(ctx context.Context, call string, body io.Reader) (status int, text string) {
	if c.leases == nil {
		return http.StatusNotFound, errNoLeases.Error()
	}
	var o struct {
		Voters  []string `json:"voters"`
		Fleet   string   `json:"fleet"`
		Log     string   `json:"log"`
		GivesUp string   `json:"gives_up"`
		Name    string   `json:"name"`
		LengthS float64  `json:"length_s"`
		Token   uint64   `json:"token"`
	}
	if err := readOrder(body, &o); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, consoleAnswer)
	defer cancel()
	var err error
	text = "done"
	switch call {
	case "/ops/leases/voters":
		err = c.leases.SetVoters(ctx, o.Voters)
	case "/ops/leases/recover":
		if own := c.fleet.Status().Fleet; o.Fleet != own {
			err = fmt.Errorf("this node's fleet is %q, not %q", own, o.Fleet)
			break
		}
		err = c.leases.Recover(ctx, o.Log, o.GivesUp)
	case "/ops/leases/take":
		var token uint64
		token, err = c.leases.Take(ctx, o.Name, time.Duration(o.LengthS*float64(time.Second)))
		text = strconv.FormatUint(token, 10)
	case "/ops/leases/give":
		err = c.leases.Give(ctx, o.Name, o.Token)
	}
	status = http.StatusOK
	if err != nil {
		status, text = http.StatusConflict, err.Error()
	}
	c.log.Info("console", "call", call, "name", o.Name, "voters", o.Voters, "log", o.Log, "status", status, "text", text)
	return status, text
}

func readOrder(body io.Reader, o any) error {
	dec := json.NewDecoder(body)
	if err := dec.Decode(o); err != nil {
		return fmt.Errorf("unreadable order: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unreadable order: more than one value")
	}
	return nil
}

// orderedHost decodes the endpoint of an order.
func orderedHost(body io.Reader) (string, error) {
	var o struct {
		Host string `json:"host"`
	}
	if err := readOrder(body, &o); err != nil {
		return "", err
	}
	if o.Host == "" {
		return "", errors.New(`the order names no "host"`)
	}
	return o.Host, nil
}

func (c *console) order(id string, out bool) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer)
	defer cancel()
	select {
	case <-c.loopReady:
		return c.loop.executeOrder(ctx, id, out)
	case <-ctx.Done():
		return http.StatusServiceUnavailable, "the process before still has the orders"
	}
}

var errUnknownHost = errors.New("no such endpoint")

// order is an operator's order to take an endpoint out or back in, as it is passed to the loop.
type order struct {
	host    string
	out     bool
	reply   chan error
	started atomic.Bool // set by the loop when it starts, or by a caller that has stopped waiting
}

// executeOrder executes an order: on all processes of the group, or on the process that owns the journal. On success the order is
// recorded and applied in the module; on failure nothing changes.
func (l *loop) executeOrder(ctx context.Context, host string, out bool) (status int, text string) {
	if l.processes != nil {
		return l.processes.order(ctx, host, out)
	}
	return l.executeOrderLocally(ctx, host, out)
}

func (l *loop) executeOrderLocally(ctx context.Context, host string, out bool) (status int, text string) {
	for {
		to, err := l.owner.owner(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, "no process has the orders just now"
		}
		if to != nil {
			a, _, err := to.send(passedOn{Order: &staffOrder{Endpoint: host, Out: out}})
			if err != nil {
				return http.StatusServiceUnavailable, err.Error()
			}
			return a.Status, a.Text
		}
		o := &order{host: host, out: out, reply: make(chan error, 1)}
		select {
		case l.events <- o:
			err = o.wait(ctx)
		case <-ctx.Done():
			err = ctx.Err()
		case <-l.done:
			err = errors.New("stopped")
		}
		switch {
		case err == nil:
			return http.StatusOK, "done"
		case errors.Is(err, errUnknownHost):
			return http.StatusNotFound, err.Error()
		case !errors.Is(err, journal.ErrReleased):
			return http.StatusServiceUnavailable, err.Error()
		}
	}
}

func (o *order) wait(ctx context.Context) error {
	select {
	case err := <-o.reply:
		return err
	case <-ctx.Done():
		if o.started.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		return <-o.reply // the loop has started
	}
}

// order executes an operator's order; success is reported after the next step.
func (l *loop) order(o *order) {
	if !o.started.CompareAndSwap(false, true) {
		return
	}
	id := policy.EndpointID(hash(o.host))
	e := l.endpoints[id]
	if e == nil && !l.journal.TakenOut(o.host) {
		o.reply <- errUnknownHost
		return
	}
	if err := l.journal.Order(o.host, o.out, time.Now()); err != nil {
		o.reply <- err
		return
	}
	if e != nil && e.excluded.Swap(o.out) != o.out {
		e.pool.CloseIdle() // the endpoint is about to be restarted, or has been
	}
	l.batch = append(l.batch, policy.OperatorOrder{Endpoint: id, Out: o.out}) // the module may still have an endpoint that is no longer listed
	l.recordedOrders = append(l.recordedOrders, o)
}

// evictingListener is a listener that closes the oldest of its connections when there are too many, so that stuck callers do
// not block others.
type evictingListener struct {
	net.Listener
	max int

	mu   sync.Mutex
	open []net.Conn // the oldest first
}

type evictableConn struct {
	net.Conn
	closed func()
}

// Close closes the connection, and removes it from the list of open ones.
func (c *evictableConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Accept returns the next connection, and closes the oldest one if there are too many.
func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &evictableConn{Conn: conn}
	c.closed = func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, o := range l.open {
			if o == c {
				l.open = append(l.open[:i], l.open[i+1:]...)
				return
			}
		}
	}
	l.mu.Lock()
	l.open = append(l.open, c)
	var oldest net.Conn
	if len(l.open) > l.max {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return c, nil
}
