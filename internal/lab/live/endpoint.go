package live

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

// maxCallBody limits the body that is read of a call, somewhat above the allowed size.
const maxCallBody = 128 << 10

// endpoint is the listener at which one node reaches one endpoint.
type endpoint struct {
	run    *run
	node   int
	ep     int
	addr   string
	runCtx context.Context

	mu       sync.Mutex
	listener *net.TCPListener // nil where connections are refused
	fillers  []net.Conn       // connections that fill the accept queue while the endpoint is silent
	as       world.DialResult
}

// open opens the listener for the first time.
func (e *endpoint) open(runCtx context.Context, host string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runCtx = runCtx
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return fmt.Errorf("listening for endpoint %d: %w", e.ep, err)
	}
	e.addr = l.Addr().String()
	e.receive(l)
	return nil
}

// receive serves the connections of a listener.
func (e *endpoint) receive(l net.Listener) {
	e.listener = l.(*net.TCPListener)
	e.run.wg.Go(func() { e.accept(l) })
}

func (e *endpoint) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		silent := e.as == world.NoAnswer
		e.mu.Unlock()
		if silent { // it was in the accept queue when the endpoint became silent
			e.run.wg.Go(func() {
				<-e.runCtx.Done()
				_ = c.Close()
			})
			continue
		}
		e.run.wg.Go(func() { e.serve(c.(*net.TCPConn)) })
	}
}

// set opens, closes or silences the listener. While it is silent, its accept queue is kept full, so the kernel drops connection
// attempts.
func (e *endpoint) set(as world.DialResult) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.as == as {
		return nil
	}
	before := e.as
	e.as = as
	if before == world.NoAnswer {
		for _, c := range e.fillers {
			_ = c.Close()
		}
		e.fillers = nil
	}
	if e.listener != nil && (as != world.Accepted || before == world.NoAnswer) {
		if err := e.listener.Close(); err != nil {
			return err
		}
		e.listener = nil
	}
	if e.listener == nil && as == world.Accepted {
		l, err := net.Listen("tcp", e.addr)
		if err != nil {
			return err
		}
		e.receive(l)
	}
	if as != world.NoAnswer {
		return nil
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.listener = l.(*net.TCPListener)
	raw, err := e.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 4 { // the first dial beyond the queue's capacity times out, so the loop ends soon
		c, err := net.DialTimeout("tcp", e.addr, 20*time.Millisecond)
		if err != nil {
			break
		}
		e.fillers = append(e.fillers, c)
	}
	return failed
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		_ = e.listener.Close()
	}
	for _, c := range e.fillers {
		_ = c.Close()
	}
}

// conn is a node's connection to an endpoint.
type conn struct {
	endpoint *endpoint
	net      *net.TCPConn
	call     uint64 // call in flight; belongs to the event loop
	up       bool   // counted by the world
	ended    bool
}

func (e *endpoint) serve(c *net.TCPConn) {
	k := &conn{endpoint: e, net: c}
	stop := context.AfterFunc(e.runCtx, func() { _ = c.Close() })
	defer stop()
	defer func() {
		_ = c.Close()
		e.run.post(k.close)
	}()
	ok := false
	if !e.run.ask(func() {
		k.up = e.run.world.Dial(e.run.now(), e.node, e.ep) == world.Accepted
		ok = k.up
	}) || !ok {
		_ = c.SetLinger(0)
		return
	}
	in := bufio.NewReader(c)
	for fresh := true; ; fresh = false {
		if _, err := in.Peek(1); err != nil {
			return
		}
		busy := false
		began := e.run.now()
		if !e.run.ask(func() { busy = k.call != 0 }) {
			return
		}
		if busy {
			e.protocolError("", "bytes on a connection whose call is in flight")
			return
		}
		a, err := e.read(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET) {
				e.protocolError(a.ID, err.Error())
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		a.Node, a.EP, a.Fresh, a.Began = e.node, e.ep, fresh, began
		if !e.run.ask(func() { k.begin(a) }) {
			return
		}
	}
}

// protocolError records a protocol violation.
func (e *endpoint) protocolError(id, what string) {
	e.run.post(func() {
		e.run.note(trace.Record{At: e.run.now(), What: trace.ProtocolError, ID: id, Node: e.node, EP: e.ep, Result: what})
	})
}

// read reads one call and checks that it is what the client sent.
func (e *endpoint) read(in *bufio.Reader) (world.Attempt, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return world.Attempt{}, err
	}
	a := world.Attempt{ID: req.Header.Get("X-Request-ID"), Message: -1}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxCallBody))
	if err != nil {
		return a, err
	}
	if req.Method != http.MethodPost || req.URL.Path != "/events" {
		return a, fmt.Errorf("%s %s is not a call", req.Method, req.URL.Path)
	}
	if ms, err := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64); err != nil || ms < 0 {
		return a, fmt.Errorf("X-Timeout-Ms is %q", req.Header.Get("X-Timeout-Ms"))
	}
	message, try, ok := parseID(a.ID)
	if !ok || message >= len(e.run.options.Day.Messages) {
		return a, nil // the rules report unknown messages
	}
	if !bytes.Equal(body, bodyOf(a.ID, e.run.options.Day.Messages[message].Body)) {
		return a, errors.New("the body is not the client's")
	}
	a.Message, a.Try = message, try<<8
	return a, nil
}

func parseID(id string) (message, try int, ok bool) {
	if len(id) != 16 {
		return 0, 0, false
	}
	m, err := strconv.ParseInt(id[:12], 16, 64)
	n, err2 := strconv.ParseInt(id[12:], 16, 64)
	return int(m) - 1, int(n), err == nil && err2 == nil && m > 0
}

// bodyOf returns the body that a client sends, so that each side can check whether it arrived complete.
func bodyOf(id string, length int) []byte {
	return []byte(strings.Repeat(id+"\r\n", length/(len(id)+2)+1)[:length])
}

// begin passes a call to the world. Like the methods below, it runs in the event loop.
func (k *conn) begin(a world.Attempt) {
	r := k.endpoint.run
	if k.ended {
		return
	}
	r.nodes[k.endpoint.node].attempts[a.ID]++
	a.Try |= r.nodes[k.endpoint.node].attempts[a.ID] - 1
	k.call = r.world.Call(r.now(), a)
	r.calls[k.call] = k
}

func (k *conn) close() {
	r := k.endpoint.run
	if k.ended {
		return
	}
	k.ended = true
	if k.call != 0 {
		delete(r.calls, k.call)
		r.world.Abandon(r.now(), k.call)
		k.call = 0
	}
	if k.up {
		r.world.Hangup(k.endpoint.ep)
	}
}

var reasons = map[int]string{200: "OK", 429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable"}

// answer writes the answer of the world. It fits into a socket buffer, so it does not block.
func (k *conn) answer(a world.Answer) {
	if a.Status == 0 {
		_ = k.net.SetLinger(0)
		_ = k.net.Close()
		return
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", a.Status, reasons[a.Status])
	if a.Status == 429 {
		out = fmt.Appendf(out, "X-Backoff-Ms: %d\r\n", a.Wait.Milliseconds())
	}
	if a.Report.Limit > 0 {
		out = fmt.Appendf(out, "X-Server-Load: x0=%.4f,x1=%.4f\r\n", a.Report.Left, a.Report.Limit)
	}
	_ = k.net.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = k.net.Write(append(out, "\r\n"...)) // the node may be gone
}
