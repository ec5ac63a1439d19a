package account

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// endpointVariable is the environment variable with the options of an endpoint. A process in which it is set runs that endpoint.
const endpointVariable = "ACCOUNT_ENDPOINT"

const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
	drainFor          = 2300 * time.Millisecond
	// forgetAfter is when a forgetful endpoint drops an idle connection.
	forgetAfter = 120 * time.Millisecond
	// faultShare is the share of calls with a fault.
	faultShare = 0.3
	// maxOlderAnswers is how many answers are kept to be sent again by faults.
	maxOlderAnswers = 32
)

// endpointOptions configures an endpoint.
type endpointOptions struct {
	Instance  string
	Service   string
	Address   string
	Controls  []string
	Seed      uint64
	RunsFile  string
	Forgetful bool // it resets idle connections at the next byte
}

// run is the record that an endpoint writes before it answers a call that it has received completely.
type run struct {
	ID       string
	Kind     callKind
	Asked    string // the service that the call was sent for
	Instance string
	Service  string
	After    int // the event after which it resumes
}

// endpointProcess is an endpoint, whose incarnation ends with the process.
type endpointProcess struct {
	o    endpointOptions
	runs *os.File

	mu       sync.Mutex
	random   *rand.Rand
	answers  []string // the newest answers, to any call
	draining bool
	beats    int // heartbeats sent
}

// serveAsEndpoint is the main function of an endpoint's process.
func serveAsEndpoint(description string) error {
	e := &endpointProcess{}
	if err := json.Unmarshal([]byte(description), &e.o); err != nil {
		return err
	}
	e.random = rand.New(rand.NewPCG(e.o.Seed, 1))
	var err error
	if e.runs, err = os.OpenFile(e.o.RunsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", e.o.Address)
	if err != nil {
		return err
	}
	go e.sendHeartbeats()
	go e.drainOnSIGTERM()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serve(conn.(*net.TCPConn))
	}
}

func (e *endpointProcess) randomN(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

func (e *endpointProcess) randomShare(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < share
}

func (e *endpointProcess) sendHeartbeats() {
	client := &http.Client{Timeout: heartbeatTimeout}
	for {
		e.sendHeartbeat(client)
		time.Sleep(heartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat to the first keeper that accepts it.
func (e *endpointProcess) sendHeartbeat(client *http.Client) bool {
	e.mu.Lock()
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	text := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z0","version":"v1","capacity":16,"state":%q,"cold_left_ms":0,"call_count":%d}`,
		e.o.Service, e.o.Address, state, e.beats)
	e.mu.Unlock()
	return slices.ContainsFunc(e.o.Controls, func(control string) bool { return e.callKeeper(client, http.MethodPut, control, text) })
}

func (e *endpointProcess) callKeeper(client *http.Client, method, control, text string) bool {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+control+"/instances/"+e.o.Instance, strings.NewReader(text))
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// drainOnSIGTERM drains the endpoint and exits the process after SIGTERM.
func (e *endpointProcess) drainOnSIGTERM() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	client := &http.Client{Timeout: heartbeatTimeout}
	for !e.sendHeartbeat(client) {
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(drainFor)
	for _, control := range e.o.Controls {
		if e.callKeeper(client, http.MethodDelete, control, "") {
			break
		}
	}
	os.Exit(0)
}

// serve serves one connection until it is closed by the client or by a fault.
func (e *endpointProcess) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		began := time.Now()
		if _, err := reader.Peek(1); err != nil {
			return
		}
		if e.o.Forgetful && time.Since(began) > forgetAfter {
			_ = conn.SetLinger(0)
			return
		}
		c := &endpointCall{endpointProcess: e, conn: conn, reader: reader}
		if e.randomShare(faultShare) {
			c.fault = faults[e.randomN(len(faults))]
		}
		if !c.serve() {
			return
		}
	}
}

// endpointCall is one call on a connection.
type endpointCall struct {
	*endpointProcess
	conn   *net.TCPConn
	reader *bufio.Reader
	fault  fault

	id      string
	kind    callKind
	service string // for which it was sent
	after   int
}

// serve receives a call, runs it and answers. It reports whether the connection stays open.
func (c *endpointCall) serve() bool {
	if c.fault.early == resetInHead {
		_, _ = c.reader.Discard(1 + c.randomN(100))
		return c.reset()
	}
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	if c.fault.early == resetBeforeBody {
		return c.reset()
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	if request.URL.Path == "/health" {
		return c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Dunetide-Instance: %s\r\nContent-Length: 0\r\n\r\n", c.o.Instance))
	}
	c.id = request.Header.Get(headerID)
	c.after, _ = strconv.Atoi(request.Header.Get(headerLastEvent))
	parts := strings.Split(request.URL.Path, "/")
	if len(parts) != 3 {
		return c.write(c.plainAnswer("404 Not Found", ""))
	}
	c.kind, c.service = callKind(parts[1]), parts[2]
	if target := request.Header.Get(headerTargetInstance); target != "" && target != c.o.Instance {
		return c.write(c.plainAnswer("421 Misdirected Request\r\n"+headerNotRun+": other", ""))
	}
	if c.fault.early == rejectCall {
		return c.write(c.plainAnswer("503 Service Unavailable\r\n"+headerNotRun+": full", ""))
	}
	if err := c.recordRun(); err != nil {
		return c.reset()
	}
	if c.fault.answer == nil {
		return c.write(c.rightAnswer())
	}
	return c.fault.answer(c)
}

// recordRun records the run in a file that outlives the process.
func (c *endpointCall) recordRun() error {
	line, err := json.Marshal(run{ID: c.id, Kind: c.kind, Asked: c.service, Instance: c.o.Instance, Service: c.o.Service, After: c.after})
	if err != nil {
		return err
	}
	_, err = c.runs.Write(append(line, '\n')) // one write per line, as other processes append too
	return err
}

func (c *endpointCall) plainAnswer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, headerID, c.id, headerSeal,
		seal(c.o.Instance, c.id), len(body), body)
}

// rightAnswer returns the correct answer to the call and keeps it for olderAnswer.
func (c *endpointCall) rightAnswer() string {
	var answer string
	if c.kind.streams() {
		var body strings.Builder
		for _, one := range events(c.o.Service, c.id, c.after) {
			fmt.Fprintf(&body, "%x\r\n%s\r\n", len(one), one)
		}
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n",
			headerID, c.id, headerSeal, seal(c.o.Instance, c.id), body.String())
	} else {
		answer = c.plainAnswer("200 OK", answerBody(c.o.Service, c.id))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answer)
	if len(c.answers) > maxOlderAnswers {
		c.answers = c.answers[1:]
	}
	return answer
}

// olderAnswer returns a random one of the kept answers; "" if there is none.
func (c *endpointCall) olderAnswer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers) == 0 {
		return ""
	}
	return c.answers[c.random.IntN(len(c.answers))]
}

func (c *endpointCall) write(text string) bool {
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

func (c *endpointCall) reset() bool {
	_ = c.conn.SetLinger(0)
	return false
}
