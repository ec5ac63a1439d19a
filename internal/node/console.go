package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
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
)

// console is where the staff call: a listener and a server of its own, so that
// neither the clients' connections nor their limits touch it.
type console struct {
	server *http.Server
	log    *slog.Logger
	ready  atomic.Bool // clients are taken
}

// openConsole listens at once; calls that need the node's state wait for it.
func openConsole(addr string, log *slog.Logger) (*console, net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, fmt.Errorf("listening for the staff: %w", err)
	}
	c := &console{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", c.readiness)
	c.server = &http.Server{Handler: mux, ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout + consoleAnswer,
		MaxHeaderBytes: maxHeader, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	c.server.SetKeepAlivesEnabled(false) // one call a connection
	return c, &newestCallers{Listener: listener, max: consoleCallers}, nil
}

// run serves until the context ends. A console that fails leaves the node at work.
func (c *console) run(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = c.server.Close() })()
	if err := c.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		c.log.Error("console: no longer served", "err", err)
	}
}

func (c *console) readiness(w http.ResponseWriter, _ *http.Request) {
	if !c.ready.Load() {
		http.Error(w, "no clients are taken", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "clients are taken")
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

func (c *caughtConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

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
