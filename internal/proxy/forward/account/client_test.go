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
	// answerPatience is how long a client waits beyond the time that it told.
	answerPatience = 3 * time.Second
	dialTimeout    = time.Second
	leastTime      = 200 * time.Millisecond
	mostTime       = 1200 * time.Millisecond
	pause          = 25 * time.Millisecond // between two calls of a client, on average
	callsOnOne     = 40                    // calls on a connection, on average
	mostBody       = 40 << 10
)

// misconduct is what a client does instead of waiting for its answer.
type misconduct int

const (
	waits misconduct = iota
	cutsRequest
	resetsAfterRequest
	halfClosesAfterRequest
	resetsInAnswer
)

// drawMisconduct draws one now and then.
func drawMisconduct(random *rand.Rand) misconduct {
	if random.IntN(20) > 0 {
		return waits
	}
	return cutsRequest + misconduct(random.IntN(int(resetsInAnswer)))
}

// sentCall is one call as its client knows it.
type sentCall struct {
	id      string
	kind    callKind
	service string
	conduct misconduct
	from    string // the proxy's address

	status int    // 0: no whole head came
	sealed string // the seal of its answer
	whole  bool   // its answer came to its end
	wrong  string // what is wrong with its answer by itself
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

// run sends calls until it is told to stop.
func (c *client) run(stop <-chan struct{}) {
	defer c.hangUp(false)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(2 * pause)))):
		}
		if c.conn != nil && c.random.IntN(callsOnOne) == 0 {
			c.hangUp(false)
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		call := sentCall{id: c.nextID(), kind: callKinds[c.random.IntN(len(callKinds))], service: services[c.random.IntN(len(services))],
			conduct: drawMisconduct(c.random), from: c.addr}
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

func (c *client) hangUp(reset bool) {
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
	allowed := leastTime + time.Duration(c.random.Int64N(int64(mostTime-leastTime)))
	_ = c.conn.SetDeadline(time.Now().Add(allowed + answerPatience))
	request := c.layOut(call, allowed)
	if call.conduct == cutsRequest {
		_, _ = io.WriteString(c.conn, request[:c.random.IntN(len(request))])
		c.hangUp(c.random.IntN(2) == 0)
		return
	}
	if _, err := io.WriteString(c.conn, request); err != nil {
		c.hangUp(false)
		return
	}
	switch call.conduct {
	case resetsAfterRequest:
		time.Sleep(time.Duration(c.random.Int64N(int64(pause))))
		c.hangUp(true)
		return
	case halfClosesAfterRequest:
		_ = c.conn.CloseWrite()
	default:
	}
	if !c.readAnswer(call) || call.conduct != waits {
		c.hangUp(call.conduct == resetsInAnswer)
	}
}

// layOut writes a request out, with a body in chunks or with a length.
func (c *client) layOut(call *sentCall, allowed time.Duration) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", path(call.kind, call.service), hostOf(call.service), headerID, call.id,
		headerTimeLeft, allowed.Milliseconds())
	body := strings.Repeat("b", c.random.IntN(100))
	if c.random.IntN(20) == 0 {
		body = strings.Repeat("b", 1+c.random.IntN(mostBody))
	}
	if c.random.IntN(3) == 0 && body != "" {
		fmt.Fprintf(&text, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	} else {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	return text.String()
}

// readAnswer reads an answer and judges it by itself. It tells whether the connection goes on.
func (c *client) readAnswer(call *sentCall) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		if os.IsTimeout(err) { // a frozen proxy
			c.hangUp(false)
		}
		return false
	}
	call.status, call.sealed = response.StatusCode, response.Header.Get(headerSeal)
	if call.conduct == resetsInAnswer {
		return false
	}
	body, err := io.ReadAll(response.Body)
	call.whole = err == nil
	if got := response.Header.Get(headerID); got != call.id {
		call.wrong = fmt.Sprintf("the answer bears the id %q", got)
	} else {
		call.wrong = wrongBody(call, string(body))
	}
	if n := c.reader.Buffered(); n > 0 {
		call.wrong = fmt.Sprintf("%d bytes stand behind the answer", n)
	}
	return call.whole && !response.Close
}

// wrongBody tells what is wrong with the body, whole or cut, and the seal of an answer.
func wrongBody(call *sentCall, body string) string {
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
		return "the seal is another call's: " + call.sealed
	case call.whole && body != want:
		return fmt.Sprintf("the whole body is %.80q of %d bytes, wanted %.80q of %d", body, len(body), want, len(want))
	case !strings.HasPrefix(want, body):
		return fmt.Sprintf("the body begins with %.80q, wanted %.80q", body, want)
	}
	return ""
}
