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
	// consoleCallers is how many of the staff's callers are heard at a time; the one
	// that has been there for longest makes room for the next. So many descriptors are
	// left for them.
	consoleCallers = 16
	// A call to the console must come in whole within consoleTimeout.
	consoleTimeout = 2 * time.Second
	// consoleAnswer is how long a caller may wait for the answer at most, with something
	// to spare of the second that it has.
	consoleAnswer = 800 * time.Millisecond
	maxOrder      = 4 << 10
	// maxPools bounds the answer that shows the connections to endpoints.
	maxPools = 1000
)

// console is where the staff call: a listener and a server of its own, so that
// neither the clients' connections nor their limits touch it.
type console struct {
	server *http.Server
	log    *slog.Logger
	ready  atomic.Bool // clients are taken

	up     chan struct{} // closed when there is a loop
	loop   *loop
	cohort *processGroup // the other processes of the node; nil where there are none
	fleet  *fleet.Fleet
	leases *lease.Leases
	copies *copies // nil where there are none, or not yet
	copied bool    // there are some
}

// openConsole listens at once; calls that need the node's state wait for it.
func openConsole(ctx context.Context, addr string, c *console, log *slog.Logger) (net.Listener, error) {
	listen := func() (net.Listener, error) { return (&net.ListenConfig{}).Listen(ctx, "tcp", addr) }
	if c.cohort != nil {
		listen = func() (net.Listener, error) { return c.cohort.listen(ctx, "staff", addr) }
	}
	listener, err := listen()
	if err != nil {
		return nil, fmt.Errorf("listening for the staff: %w", err)
	}
	c.log = log
	c.server = &http.Server{Handler: c, ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout + consoleAnswer,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	c.server.SetKeepAlivesEnabled(false) // one call a connection
	return &newestCallers{Listener: listener, max: consoleCallers}, nil
}

// run serves until the context ends. A console that fails leaves the node at work.
func (c *console) run(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = c.server.Close() })()
	if err := c.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("console: no longer served", "err", err)
	}
}

// serves lets the calls through that need the node's state.
func (c *console) serves(l *loop) {
	c.loop = l
	close(c.up)
}

// consoleMethods are the methods of the console's calls by path.
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

// ServeHTTP answers one call: a status of 2xx means yes, any other no.
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
		c.show(w, r)
		return
	}
	status, text := c.carryOut(w, r)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}

// show answers a call that asks for a part of the node's state.
func (c *console) show(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/ops/pools":
		c.shows(w, func(l *loop) any { return l.caller.pools.Stats(maxPools) })
	case "/ops/journal":
		c.shows(w, func(l *loop) any { return l.journal.Status() })
	case "/ops/group":
		if c.cohort == nil {
			http.Error(w, "this process is in no group", http.StatusNotFound)
			return
		}
		c.shows(w, func(*loop) any { return c.cohort.status() })
	case "/ops/fleet":
		if c.fleet == nil {
			http.Error(w, errNoFleet.Error(), http.StatusNotFound)
			return
		}
		c.shows(w, func(*loop) any { return c.fleet.Status() })
	case "/ops/copies":
		if !c.copied {
			http.Error(w, errNoCopies.Error(), http.StatusNotFound)
			return
		}
		c.shows(w, func(*loop) any { return c.copies.keeper.Status() })
	case "/ops/leases":
		if c.leases == nil {
			http.Error(w, errNoLeases.Error(), http.StatusNotFound)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), consoleAnswer)
		defer cancel()
		c.shows(w, func(*loop) any { return c.leases.Status(ctx) })
	}
}

// carryOut answers readiness and the calls that change something.
func (c *console) carryOut(w http.ResponseWriter, r *http.Request) (status int, text string) {
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

// shows answers with figures of the node, once it has any.
func (c *console) shows(w http.ResponseWriter, figures func(*loop) any) {
	select {
	case <-c.up:
	case <-time.After(consoleAnswer):
		http.Error(w, "nothing to show yet", http.StatusServiceUnavailable)
		return
	}
	text, err := json.MarshalIndent(figures(c.loop), "", "  ")
	if err != nil {
		c.log.Error("console: figures", "err", err)
		http.Error(w, "the figures can't be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(text, '\n')) // a caller that has gone needs no answer
}

func (c *console) readiness() (status int, text string) {
	if !c.ready.Load() {
		if c.cohort != nil && c.cohort.anyone(askReady, nil) {
			return http.StatusOK, "clients are taken, by another process of this node"
		}
		return http.StatusServiceUnavailable, "no clients are taken"
	}
	if err := c.loop.journal.Failed(); err != nil {
		return http.StatusServiceUnavailable, "no clients are taken: " + err.Error()
	}
	return http.StatusOK, "clients are taken"
}

// removeMember says that a member of the fleet is gone. The yes means that this node knows it;
// the others hear of it from here on.
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

// orderLeases carries out what the staff order of the leases.
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

// orderedHost reads the endpoint that an order names.
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
	case <-c.up:
		return c.loop.obey(ctx, id, out)
	case <-ctx.Done():
		return http.StatusServiceUnavailable, "the process before still has the orders"
	}
}

var errUnknownHost = errors.New("no such endpoint")

// order is a call of the staff on its way through the loop.
type order struct {
	host  string
	out   bool
	reply chan error
	begun atomic.Bool // by the loop, or by a caller that no longer waits
}

// obey has an order carried out: by all processes of the node, or by the one that owns what
// is owed. It is on record and known to the module before the yes, and nothing happens
// after a no.
func (l *loop) obey(ctx context.Context, host string, out bool) (status int, text string) {
	if l.cohort != nil {
		return l.cohort.order(ctx, host, out)
	}
	return l.obeyHere(ctx, host, out)
}

func (l *loop) obeyHere(ctx context.Context, host string, out bool) (status int, text string) {
	for {
		to, err := l.owner.owner(ctx)
		if err != nil {
			return http.StatusServiceUnavailable, "no process has the orders just now"
		}
		if to != nil {
			a, _, err := to.pass(passedOn{Order: &staffOrder{Endpoint: host, Out: out}})
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
		if o.begun.CompareAndSwap(false, true) {
			return ctx.Err()
		}
		return <-o.reply // the loop is at it
	}
}

// order carries out an order of the staff; the yes follows the next step.
func (l *loop) order(o *order) {
	if !o.begun.CompareAndSwap(false, true) {
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
		e.pool.CloseIdle() // it is about to be restarted, or has been
	}
	l.batch = append(l.batch, policy.Ordered{Endpoint: id, Out: o.out}) // the module may know one that is gone
	l.obeyed = append(l.obeyed, o)
}

// newestCallers is a listener that closes the oldest of its connections when there
// are too many, so that callers who are stuck keep nobody out.
type newestCallers struct {
	net.Listener
	max int

	mu   sync.Mutex
	open []net.Conn // the oldest first
}

type caughtConn struct {
	net.Conn
	closed func()
}

// Close closes the connection, and takes it off the list of open ones.
func (c *caughtConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

// Accept returns the next connection, and closes the oldest one if there are too many.
func (l *newestCallers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &caughtConn{Conn: conn}
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
