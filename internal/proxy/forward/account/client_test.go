package account

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// answerGrace is how long a client noClientFault beyond the time left that it stated.
	answerGrace        = 3 * time.Second
	dialTimeout        = time.Second
	minTimeout         = 200 * time.Millisecond
	maxTimeout         = 1200 * time.Millisecond
	pause              = 25 * time.Millisecond // between two calls of a client, on average
	callsPerConnection = 40                    // on average
	maxBody            = 40 << 10
)

// clientFault is a fault that a client injects instead of waiting for its answer.
type clientFault int

const (
	noClientFault clientFault = iota
	truncatesRequest
	resetsAfterRequest
	halfClosesAfterRequest
	resetsInAnswer
)

// randomClientFault returns a fault for one in 20 calls.
func randomClientFault(random *rand.Rand) clientFault {
	if random.IntN(20) > 0 {
		return noClientFault
	}
	return truncatesRequest + clientFault(random.IntN(int(resetsInAnswer)))
}

// sentCall is a call as its client saw it.
type sentCall struct {
	id      string
	kind    callKind
	service string
	fault   clientFault
	from    string // the proxy's address

	status   int    // 0: no complete head was received
	sealed   string // the seal of its answer
	complete bool   // its answer was received to its end
	invalid  string // why its answer is invalid; "": it is valid
}

// client sends calls, one after another, over connections that it keeps for a while.
type client struct {
	random *rand.Rand
	front  func(hash uint64) (string, bool)
	nextID func() string
	done   func(sentCall)

	conn   *net.TCPConn
	reader *bufio.Reader
	addr   string
}

// run sends calls until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	defer c.closeConn(false)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * pause)))):
		}
		if c.conn != nil && c.random.IntN(callsPerConnection) == 0 {
			c.closeConn(false)
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		call := sentCall{id: c.nextID(), kind: callKinds[c.random.IntN(len(callKinds))], service: services[c.random.IntN(len(services))],
			fault: randomClientFault(c.random), from: c.addr}
		c.exchange(&call)
		c.done(call)
	}
}

func (c *client) dial() bool {
	addr, ok := c.front(c.random.Uint64())
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.addr = conn.(*net.TCPConn), bufio.NewReader(conn), addr
	return true
}

func (c *client) closeConn(reset bool) {
	if c.conn == nil {
		return
	}
	if reset {
		_ = c.conn.SetLinger(0)
	}
	_ = c.conn.Close()
	c.conn = nil
}

// exchange sends a call and reads its answer.
func (c *client) exchange(call *sentCall) {
	timeout := minTimeout + time.Duration(c.random.Int64N(int64(maxTimeout-minTimeout)))
	_ = c.conn.SetDeadline(time.Now().Add(timeout + answerGrace))
	request := c.formatRequest(call, timeout)
	if call.fault == truncatesRequest {
		_, _ = io.WriteString(c.conn, request[:c.random.IntN(len(request))])
		c.closeConn(c.random.IntN(2) == 0)
		return
	}
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.closeConn(false)
		return
	}
	switch call.fault {
	case resetsAfterRequest:
		time.Sleep(time.Duration(c.random.Int64N(int64(pause))))
		c.closeConn(true)
		return
	case halfClosesAfterRequest:
		_ = c.conn.CloseWrite()
	default:
	}
	if !c.readAnswer(call) || call.fault != noClientFault {
		c.closeConn(call.fault == resetsInAnswer)
	}
}

// formatRequest returns the bytes of a request, with a chunked body or a Content-Length.
func (c *client) formatRequest(call *sentCall, timeout time.Duration) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", path(call.kind, call.service), hostOf(call.service), headerID, call.id,
		headerTimeLeft, timeout.Milliseconds())
	body := strings.Repeat("b", c.random.IntN(100))
	if c.random.IntN(20) == 0 {
		body = strings.Repeat("b", 1+c.random.IntN(maxBody))
	}
	if c.random.IntN(3) == 0 && body != "" {
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return text.String()
}

// readAnswer reads and validates an answer. It reports whether the connection stays open.
func (c *client) readAnswer(call *sentCall) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		if os.IsTimeout(err) { // a frozen proxy
			c.closeConn(false)
		}
		return false
	}
	call.status, call.sealed = response.StatusCode, response.Header.Get(headerSeal)
	if call.fault == resetsInAnswer {
		return false
	}
	body, err := io.ReadAll(response.Body)
	call.complete = err == nil
	if got := response.Header.Get(headerID); got != call.id {
		call.invalid = fmt.Sprintf("the answer has the id %q", got)
	} else {
		call.invalid = invalidBody(call, string(body))
	}
	if n := c.reader.Buffered(); n > 0 {
		call.invalid = fmt.Sprintf("%d bytes follow the answer", n)
	}
	return call.complete && !response.Close
}

// invalidBody returns what is wrong with the seal and the body of an answer, complete or truncated; "": nothing.
func invalidBody(call *sentCall, body string) string {
	want := ""
	switch {
	case call.status == http.StatusOK && call.sealed == "":
		return "a success without a seal"
	case call.status == http.StatusOK && call.kind.streams():
		want = strings.Join(events(call.service, call.id, 0), "")
	case call.status == http.StatusOK:
		want = answerBody(call.service, call.id)
	case call.sealed != "":
		want = digest("failed", call.id)
	}
	switch {
	case call.sealed != "" && !strings.HasSuffix(call.sealed, "/"+call.id):
		return "the seal is that of another call: " + call.sealed
	case call.complete && body != want:
		return fmt.Sprintf("the complete body is %.80q of %d bytes, want %.80q of %d", body, len(body), want, len(want))
	case !strings.HasPrefix(want, body):
		return fmt.Sprintf("the body begins with %.80q, want %.80q", body, want)
	}
	return ""
}
