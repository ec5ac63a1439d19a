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

// door is the listener at which one node reaches one endpoint.
type door struct {
	run  *run
	node int
	ep   int
	addr string
	life context.Context

	mu       sync.Mutex
	listener *net.TCPListener // nil where connections are refused
	fillers  []net.Conn       // connections that fill the accept queue while the endpoint is silent
	as       world.Dialled
}

// open opens the listener for the first time.
func (d *door) open(life context.Context, host string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life = life
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return fmt.Errorf("listening for endpoint %d: %w", d.ep, err)
	}
	d.addr = l.Addr().String()
	d.receive(l)
	return nil
}

// receive serves the connections of a listener.
func (d *door) receive(l net.Listener) {
	d.listener = l.(*net.TCPListener)
	d.run.wg.Go(func() { d.accept(l) })
}

func (d *door) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		silent := d.as == world.Unheard
		d.mu.Unlock()
		if silent { // it was in the accept queue when the endpoint became silent
			d.run.wg.Go(func() {
				<-d.life.Done()
				_ = c.Close()
			})
			continue
		}
		d.run.wg.Go(func() { d.serve(c.(*net.TCPConn)) })
	}
}

// set opens, closes or silences the listener. While it is silent, its accept queue is kept full, so the kernel drops connection
// attempts.
func (d *door) set(as world.Dialled) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.as == as {
		return nil
	}
	before := d.as
	d.as = as
	if before == world.Unheard {
		for _, c := range d.fillers {
			_ = c.Close()
		}
		d.fillers = nil
	}
	if d.listener != nil && (as != world.Accepted || before == world.Unheard) {
		if err := d.listener.Close(); err != nil {
			return err
		}
		d.listener = nil
	}
	if d.listener == nil && as == world.Accepted {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return err
		}
		d.receive(l)
	}
	if as != world.Unheard {
		return nil
	}
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		return err
	}
	d.listener = l.(*net.TCPListener)
	raw, err := d.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	for range 4 { // the first dial beyond the queue's capacity times out, so the loop ends soon
		c, err := net.DialTimeout("tcp", d.addr, 20*time.Millisecond)
		if err != nil {
			break
		}
		d.fillers = append(d.fillers, c)
	}
	return failed
}

func (d *door) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		_ = d.listener.Close()
	}
	for _, c := range d.fillers {
		_ = c.Close()
	}
}

// conn is a node's connection to an endpoint.
type conn struct {
	door  *door
	net   *net.TCPConn
	call  uint64 // call in flight; belongs to the event loop
	up    bool   // counted by the world
	ended bool
}

func (d *door) serve(c *net.TCPConn) {
	k := &conn{door: d, net: c}
	stop := context.AfterFunc(d.life, func() { _ = c.Close() })
	defer stop()
	defer func() {
		_ = c.Close()
		d.run.post(k.close)
	}()
	ok := false
	if !d.run.ask(func() {
		k.up = d.run.world.Dial(d.run.now(), d.node, d.ep) == world.Accepted
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
		began := d.run.now()
		if !d.run.ask(func() { busy = k.call != 0 }) {
			return
		}
		if busy {
			d.odd("", "bytes on a connection whose call is in flight")
			return
		}
		a, err := d.read(in)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET) {
				d.odd(a.ID, err.Error())
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			}
			return
		}
		a.Node, a.EP, a.Fresh, a.Began = d.node, d.ep, fresh, began
		if !d.run.ask(func() { k.begin(a) }) {
			return
		}
	}
}

// odd records a protocol violation.
func (d *door) odd(id, what string) {
	d.run.post(func() {
		d.run.note(trace.Record{At: d.run.now(), What: trace.Odd, ID: id, Node: d.node, EP: d.ep, Result: what})
	})
}

// read reads one call and checks that it is what the client sent.
func (d *door) read(in *bufio.Reader) (world.Attempt, error) {
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
		return a, fmt.Errorf("%s %s is no call", req.Method, req.URL.Path)
	}
	if ms, err := strconv.ParseInt(req.Header.Get("X-Timeout-Ms"), 10, 64); err != nil || ms < 0 {
		return a, fmt.Errorf("X-Timeout-Ms is %q", req.Header.Get("X-Timeout-Ms"))
	}
	message, try, ok := parseID(a.ID)
	if !ok || message >= len(d.run.options.Day.Messages) {
		return a, nil // the rules report unknown messages
	}
	if !bytes.Equal(body, bodyOf(a.ID, d.run.options.Day.Messages[message].Body)) {
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
	r := k.door.run
	if k.ended {
		return
	}
	r.nodes[k.door.node].attempts[a.ID]++
	a.Try |= r.nodes[k.door.node].attempts[a.ID] - 1
	k.call = r.world.Call(r.now(), a)
	r.calls[k.call] = k
}

func (k *conn) close() {
	r := k.door.run
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
		r.world.Hangup(k.door.ep)
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
