package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// watchWait is how long one watch waits for changes. It is short, so that a request to an agent that does not respond
	// is soon replaced by a new one.
	watchWait   = 2 * time.Second
	watchMargin = time.Second
	// watchPause must stay well under the 200 ms within which a watch must be continued.
	watchPause = 50 * time.Millisecond
	// maxPause is the longest pause after consecutive failures. A change counts as received 6 s later, so there must be
	// time for some tries.
	maxPause = 1600 * time.Millisecond
	// requestGap is the intended interval between the requests of all nodes together, where each costs discovery work.
	// With two nodes, each still asks within the 200 ms within which a watch must be continued.
	requestGap = 80 * time.Millisecond
	// turnsWatched is how many turns (see discovery.turn) a watch waits if that is longer than watchWait.
	turnsWatched = 5
	maxList      = 4 << 20
)

// list is the list of endpoints, or the changes to it, in discovery's format.
type list struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is one endpoint in a list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // time of its last start, in Unix milliseconds; 0 for long ago
}

// agent holds the address of the discovery agent, which may change while the node runs.
type agent struct {
	mu         sync.Mutex
	addr       string
	addrCtx    context.Context // ends when the address changes
	cancelAddr context.CancelFunc
}

func newAgent(addr string) *agent {
	a := &agent{}
	a.move(addr)
	return a
}

func (a *agent) move(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.addr == addr {
		return
	}
	if a.cancelAddr != nil {
		a.cancelAddr()
	}
	a.addr = addr
	a.addrCtx, a.cancelAddr = context.WithCancel(context.Background())
}

// follow reads the address from the configuration file at each hangup, until the context ends. An invalid file changes
// nothing.
func (a *agent) follow(ctx context.Context, hangups <-chan os.Signal, path string, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		addr, err := reloadDiscovery(path)
		if err != nil {
			log.Error("hangup: configuration unchanged", "err", err)
			continue
		}
		log.Info("hangup", "discovery", addr)
		a.move(addr)
	}
}

func (a *agent) at() (addr string, addrCtx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.addrCtx
}

// discovery watches the list of endpoints.
type discovery struct {
	agent  *agent
	client *http.Client
	log    *slog.Logger
	notify func(list)
	known  int64 // the revision of the list that is known at the start, or -1
	// turn is the time within which each of all nodes may ask once: nodes that would all ask at the same moment spread
	// their requests over it at random. It is 0 where requests cost discovery no work.
	turn time.Duration
}

func newDiscovery(a *agent, known int64, turn time.Duration, log *slog.Logger, tell func(list)) *discovery {
	return &discovery{agent: a, known: known, turn: turn, log: log, notify: tell,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// discoveryTurn computes discovery.turn from the number of nodes. A node that has not asked for AskEvery counts as
// informed all the same, so a turn is shorter than that, with time for two slow requests.
func discoveryTurn(c Config) time.Duration {
	turn := time.Duration(c.Settings.Senders) * requestGap
	switch {
	case !c.Settings.MustSubscribe:
		return 0
	case c.AskEvery > 0:
		return min(turn, c.AskEvery*11/20)
	}
	return turn
}

// jitter returns a random part of a pause, at least three fifths of it.
func jitter(pause time.Duration) time.Duration { return pause*3/5 + rand.N(pause*2/5+1) }

// run watches the list until the context ends. If no list is known, it fetches the complete one first.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	at, failed := d.known, 0
	last, here := d.agent.at()
	if at >= 0 { // spreads the requests of nodes that start together; when they last asked is unknown
		sleep(ctx, here, rand.N(d.turn/6+1))
	}
	for ctx.Err() == nil {
		addr, here := d.agent.at()
		if addr != last { // after a move the complete list is fetched again
			at, last = -1, addr
			d.client.CloseIdleConnections()
		}
		url, limit := "http://"+addr+"/v1/servers", watchMargin
		if at >= 0 {
			wait := max(watchWait, jitter(turnsWatched*d.turn))
			url = fmt.Sprintf("%s?index=%d&wait=%d", url, at, wait.Milliseconds())
			limit += wait
		}
		asked := time.Now()
		l, err := d.get(ctx, here, url, limit)
		if here.Err() != nil {
			continue
		}
		if err == nil && (l.Complete || at >= 0 && l.Revision > at) {
			d.notify(l)
			at, failed = l.Revision, 0
			sleep(ctx, here, jitter(d.turn)) // all nodes receive a change at the same moment
			continue
		}
		if err == nil && at < 0 {
			err = errors.New("got a partial list instead of the complete one")
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				d.log.Warn("discovery: getting the list failed", "err", err, "in a row", failed+1)
			}
			pause = d.retryPause(failed)
			failed++
		case time.Since(asked) < watchPause: // a working agent does not answer a watch at once without changes
			pause = watchPause
		default:
			failed = 0
		}
		if sleep(ctx, here, pause); here.Err() != nil {
			failed = 0 // failures at the old address do not count for the new one
		}
	}
}

// sleep sleeps until the pause or one of the contexts ends.
func sleep(ctx, here context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-here.Done():
	case <-ctx.Done():
	}
}

// retryPause returns how long to wait after a failure, by the number of failures before it. With few nodes, the first retry is in
// time to continue a watch. With many, nodes that were rejected together, as after a release, must not return together,
// nor before their turn.
func (d *discovery) retryPause(failed int) time.Duration {
	if failed == 0 && d.turn < 4*watchPause {
		return watchPause
	}
	if d.turn < maxPause {
		return jitter(min(maxPause, watchPause<<min(2*failed, 10)))
	}
	return jitter(d.turn)
}

// get sends one request; it is cancelled when the agent's address changes.
func (d *discovery) get(ctx, here context.Context, url string, limit time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(here, cancel)()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list{}, fmt.Errorf("%s answered %s, Retry-After %q", req.URL.RequestURI(), resp.Status, resp.Header.Get("Retry-After"))
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return list{}, err
	}
	var l list
	if err := json.Unmarshal(data, &l); err != nil {
		return list{}, fmt.Errorf("unreadable list: %w", err)
	}
	return l, nil
}
