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
	// watchWait is how long one watch waits for news. It is short, so that a call
	// which hangs in a silent agent is soon given up for a new one.
	watchWait   = 2 * time.Second
	watchMargin = time.Second
	// watchPause must stay well under the 200 ms in which a watch goes on.
	watchPause = 50 * time.Millisecond
	// maxPause bounds the pause after calls that failed in a row. What is to be told counts
	// as told 6 s later, so there must be time for some tries.
	maxPause = 1600 * time.Millisecond
	// requestGap is how far apart the calls of all nodes together should come where each is
	// work for discovery. Two nodes still ask within the 200 ms in which a watch goes on.
	requestGap = 80 * time.Millisecond
	// turnsWatched is how many turns of all nodes a watch waits where that is longer.
	turnsWatched = 5
	maxList      = 4 << 20
)

// list is the endpoints, or what has changed of them, in discovery's form.
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
	UpSince  int64   `json:"up_since_ms"` // when it last started, in Unix time; 0 for long ago
}

// agent is where discovery is spoken to. It may move while the node runs.
type agent struct {
	mu   sync.Mutex
	addr string
	here context.Context // ends when the address no longer holds
	left context.CancelFunc
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
	if a.left != nil {
		a.left()
	}
	a.addr = addr
	a.here, a.left = context.WithCancel(context.Background())
}

// follow moves at each hangup to where the configuration file says, until the context
// ends. A file that makes no sense changes nothing.
func (a *agent) follow(ctx context.Context, hangups <-chan os.Signal, path string, log *slog.Logger) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		addr, err := reloadDiscovery(path)
		if err != nil {
			log.Error("hangup: nothing changes", "err", err)
			continue
		}
		log.Info("hangup", "discovery", addr)
		a.move(addr)
	}
}

func (a *agent) at() (addr string, here context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr, a.here
}

// discovery follows the list of endpoints.
type discovery struct {
	agent  *agent
	client *http.Client
	log    *slog.Logger
	notify func(list)
	known  int64 // the version of the list that is known at the start, or -1
	// turn is the time in which each of all nodes may ask once: what many nodes would do
	// at one moment they do at random within it. It is 0 where asking is no work.
	turn time.Duration
}

func newDiscovery(a *agent, known int64, turn time.Duration, log *slog.Logger, tell func(list)) *discovery {
	return &discovery{agent: a, known: known, turn: turn, log: log, notify: tell,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// discoveryTurn follows from how many nodes there are. A node that has not asked for
// AskEvery counts as told all the same, so its turn comes before, with room for two calls
// that are slow to be answered.
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

// partOf is a random part of a pause, three fifths of it at least.
func partOf(pause time.Duration) time.Duration { return pause*3/5 + rand.N(pause*2/5+1) }

// run watches the list until the context ends, after fetching it whole where none is known.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	at, failed := d.known, 0
	last, here := d.agent.at()
	if at >= 0 { // nodes that start together do not ask together; who knows when they last did
		rest(ctx, here, rand.N(d.turn/6+1))
	}
	for ctx.Err() == nil {
		addr, here := d.agent.at()
		if addr != last { // what was told before the move is asked for as a whole
			at, last = -1, addr
			d.client.CloseIdleConnections()
		}
		url, limit := "http://"+addr+"/v1/servers", watchMargin
		if at >= 0 {
			wait := max(watchWait, partOf(turnsWatched*d.turn))
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
			rest(ctx, here, partOf(d.turn)) // all nodes hear of a change at the same moment
			continue
		}
		if err == nil && at < 0 {
			err = errors.New("the whole list was asked for and a part came")
		}
		pause := time.Duration(0)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				d.log.Warn("discovery: no list", "err", err, "in a row", failed+1)
			}
			pause = d.retryPause(failed)
			failed++
		case time.Since(asked) < watchPause: // no agent answers a watch at once with nothing
			pause = watchPause
		default:
			failed = 0
		}
		if rest(ctx, here, pause); here.Err() != nil {
			failed = 0 // what failed there says nothing of the new place
		}
	}
}

// rest waits, unless one of the contexts ends before.
func rest(ctx, here context.Context, pause time.Duration) {
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

// retryPause is how long to wait after so many failures before this one. The first try
// of few nodes comes in time for a watch to go on; else all nodes that were turned away
// together, as after a release, must not come back together, nor sooner than their turn.
func (d *discovery) retryPause(failed int) time.Duration {
	if failed == 0 && d.turn < 4*watchPause {
		return watchPause
	}
	if d.turn < maxPause {
		return partOf(min(maxPause, watchPause<<min(2*failed, 10)))
	}
	return partOf(d.turn)
}

// get asks once; it gives up when the agent has moved from here.
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
