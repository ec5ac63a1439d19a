// Package resend tests that a request or message that is retried after its connection broke at any byte takes effect
// once, with real keepers. It has tests only.
package resend

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
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/keeper"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs/vfstest"
)

const (
	// testTimeout is how long a test waits for an expected event.
	testTimeout = 30 * time.Second
	keeperZone  = "z"
	// service is the service of all endpoints.
	service = "s"
	// keeperCount is the number of keepers, of which one may fail.
	keeperCount = 3
	poll        = 10 * time.Millisecond
)

// everyByte reports whether to cut at every byte, which takes minutes: RESEND_EVERY_BYTE=1. Otherwise a test cuts at
// some of them.
func everyByte() bool { return os.Getenv("RESEND_EVERY_BYTE") != "" }

// keepers runs several keepers in one process, each on its own loopback address, with relays between them.
type keepers struct {
	t           *testing.T
	network     string
	linkPort    int
	controlPort int
	relays      *relays
}

// startKeepers starts the keepers and waits until each is in contact with all.
func startKeepers(t *testing.T) *keepers {
	t.Helper()
	k := &keepers{t: t, network: fmt.Sprintf("127.%d.%d.", 2+rand.N(250), rand.N(250))}
	k.pickPorts()
	k.relays = newRelays(t)
	for i := range keeperCount {
		k.start(i)
	}
	for i := range keeperCount {
		eventually(t, fmt.Sprint("contact of keeper ", i), func() bool {
			var status struct {
				InContact bool  `json:"in_contact"`
				Voter     bool  `json:"voter"`
				Keepers   []any `json:"keepers_met"`
			}
			answer := k.call(i, http.MethodGet, "/status", "", "")
			return json.Unmarshal([]byte(answer.body), &status) == nil && status.InContact && status.Voter && len(status.Keepers) == keeperCount
		})
	}
	return k
}

// pickPorts picks two free ports.
func (k *keepers) pickPorts() {
	for _, port := range []*int{&k.linkPort, &k.controlPort} {
		listener, err := net.Listen("tcp4", k.ip(0)+":0")
		if err != nil {
			k.t.Fatal(err)
		}
		*port = listener.Addr().(*net.TCPAddr).Port
		defer func() { _ = listener.Close() }()
	}
}

func (k *keepers) ip(i int) string             { return fmt.Sprint(k.network, i+1) }
func (k *keepers) linkAddress(i int) string    { return fmt.Sprintf("%s:%d", k.ip(i), k.linkPort) }
func (k *keepers) controlAddress(i int) string { return fmt.Sprintf("%s:%d", k.ip(i), k.controlPort) }

func (k *keepers) start(i int) {
	k.t.Helper()
	s := &settings.Settings{
		NodeName:          fmt.Sprint("k", i),
		IP:                k.ip(i),
		Zone:              keeperZone,
		ControlAddr:       k.controlAddress(i),
		FirstInternalPort: k.linkPort,
		LastInternalPort:  k.linkPort + 15,
		FirstStart:        true,
		HeartbeatInterval: 200 * time.Millisecond,
		SurviveMachines:   1,
	}
	for j := range keeperCount {
		s.Seeds = append(s.Seeds, k.controlAddress(j))
	}
	one, err := keeper.New(keeper.Options{
		Settings:    s,
		Folder:      vfstest.New(),
		Log:         hclog.NewNullLogger(),
		PushWait:    testTimeout,
		DialAddress: func(addr string) string { return k.dialAddress(i, addr) },
	})
	if err != nil {
		k.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- one.Run(ctx) }()
	k.t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				k.t.Errorf("keeper %d: %v", i, err)
			}
		case <-time.After(testTimeout):
			k.t.Errorf("keeper %d does not stop", i)
		}
	})
}

// dialAddress returns the address of the relay through which a keeper dials another one.
func (k *keepers) dialAddress(from int, addr string) string {
	for to := range keeperCount {
		if addr == k.linkAddress(to) {
			return k.relays.address(from, to, addr)
		}
	}
	return addr
}

// attached is the number of the attached process among the relays.
const attached = keeperCount

// attach attaches a process to the keepers through relays, until it is stopped. Later the process uses the addresses
// that keepers push, which bypass the relays.
func (k *keepers) attach() (latest *snapshot.Latest, stop func()) {
	latest = &snapshot.Latest{}
	var seeds []string
	for i := range keeperCount {
		seeds = append(seeds, k.relays.address(attached, i, k.linkAddress(i)))
	}
	client := controlclient.New(controlclient.Options{
		Self: controlclient.Node{
			Name:        "p",
			Role:        controlclient.RoleProxy,
			Zone:        keeperZone,
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:         seeds,
		WantEndpoints: true,
		Snapshots:     latest,
		Log:           hclog.NewNullLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { client.Run(ctx); close(ended) }()
	stop = func() { cancel(); <-ended }
	k.t.Cleanup(stop)
	return latest, stop
}

// stateOf returns the state of an endpoint in the latest snapshot of an attached process.
func stateOf(latest *snapshot.Latest, id string) snapshot.State {
	s := latest.Get()
	if s == nil {
		return snapshot.Removed
	}
	for _, e := range s.Endpoints[service] {
		if e.ID == id {
			return e.State
		}
	}
	return snapshot.Removed
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(poll) {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
	}
}

// answer is the response of a keeper; status 0: no complete response.
type answer struct {
	status int
	body   string
}

// requestText returns the encoding of a request.
func requestText(method, path, match, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: keeper\r\nContent-Length: %d\r\nConnection: close\r\n", method, path, len(body))
	if match != "" {
		fmt.Fprintf(&text, "If-Match: %s\r\n", match)
	}
	return text.String() + "\r\n" + body
}

// call sends a request to a keeper, once.
func (k *keepers) call(i int, method, path, match, body string) answer {
	conn, err := net.Dial("tcp4", k.controlAddress(i))
	if err != nil {
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, requestText(method, path, match, body)); err != nil {
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, string(text)}
}

// untilStatus retries a request, unchanged, until a keeper responds with a status; any other status than 503 fails
// the test.
func (k *keepers) untilStatus(i, want int, method, path, match, body string) answer {
	k.t.Helper()
	var last answer
	eventually(k.t, fmt.Sprintf("%d to %s %s at keeper %d", want, method, path, i), func() bool {
		last = k.call(i, method, path, match, body)
		if last.status != want && last.status != http.StatusServiceUnavailable && last.status != 0 {
			k.t.Fatalf("%s %s at keeper %d: %+v, want %d", method, path, i, last, want)
		}
		return last.status == want
	})
	return last
}

// cutCall sends a part of a request, or all of it and then reads a part of the response, and resets or closes the
// connection.
func (k *keepers) cutCall(i int, text string, sent, read int, reset bool) {
	k.t.Helper()
	conn, err := net.Dial("tcp4", k.controlAddress(i))
	if err != nil {
		k.t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text[:sent]); err != nil {
		k.t.Fatal(err)
	}
	if read > 0 {
		_, _ = io.ReadFull(conn, make([]byte, read)) // the response may be shorter
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}
