package live

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunetide/internal/lab/trace"
	"dunetide/internal/lab/world"
)

// agent serves discovery for one node, and receives its notices.
type agent struct {
	run    *run
	me     int
	server *http.Server

	mu       sync.Mutex
	listener net.Listener

	// The following fields belong to the event loop.
	revision int
	changes  []change
	changed  chan struct{} // closed at the next change
}

type change struct{ revision, ep int }

// list is a response of discovery.
type list struct {
	Revision int            `json:"revision"`
	Complete bool           `json:"complete"`
	Members  []world.Member `json:"members"`
}

// oldAddressGrace is how long a previous discovery address keeps its open connections.
const oldAddressGrace = 1500 * time.Millisecond

func newAgent(r *run, me int, host string) (*agent, error) {
	a := &agent{run: r, me: me, revision: 1, changed: make(chan struct{})}
	return a, a.open(host)
}

func (a *agent) open(host string) error {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return fmt.Errorf("listening for discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	mux.HandleFunc("POST /v2/finals", a.finals)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	a.mu.Lock()
	a.listener, a.server = l, server
	a.mu.Unlock()
	a.run.wg.Go(func() { _ = server.Serve(l) })
	return nil
}

func (a *agent) addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listener.Addr().String()
}

// move moves discovery to a new address.
func (a *agent) move() error {
	a.mu.Lock()
	old, l := a.server, a.listener
	a.mu.Unlock()
	host, _, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return err
	}
	if err := a.open(host); err != nil {
		return err
	}
	_ = l.Close()
	a.run.wg.Go(func() {
		select {
		case <-time.After(oldAddressGrace):
		case <-a.run.ended:
		}
		_ = old.Close()
	})
	return nil
}

func (a *agent) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.server.Close()
}

// known returns the complete list of the agent.
func (a *agent) known() list {
	l := list{Revision: a.revision, Complete: true, Members: []world.Member{}}
	for ep := range a.run.options.Day.Endpoints {
		if m := a.member(ep); m.Phase != world.Left {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

func (a *agent) member(ep int) world.Member {
	return a.run.world.Member(a.me, ep, a.run.nodes[a.me].endpoints[ep].addr)
}

// addChanges is called by the event loop with the endpoints that have changed.
func (a *agent) addChanges(eps []int) {
	a.revision++
	for _, ep := range eps {
		a.changes = append(a.changes, change{a.revision, ep})
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// since returns the changes after a revision.
func (a *agent) since(index int) list {
	l := list{Revision: a.revision, Members: []world.Member{}}
	seen := map[int]bool{}
	for _, c := range a.changes {
		if c.revision > index && !seen[c.ep] {
			seen[c.ep] = true
			l.Members = append(l.Members, a.member(c.ep))
		}
	}
	return l
}

func (a *agent) servers(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	whole := r.URL.Query().Get("index") == ""
	if !whole && err != nil {
		http.Error(w, "index is no number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(time.Minute, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for late := whole; ; {
		var l list
		var changed chan struct{}
		if !a.run.ask(func() {
			changed = a.changed
			switch {
			case whole:
				l = a.known()
			case a.revision > index || late:
				l = a.since(index)
			default:
				return
			}
			late = true
			a.run.note(trace.Record{At: a.run.now(), What: trace.ListRequested, Node: a.me, Lines: len(l.Members)})
		}) {
			return
		}
		if late {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(l) // the node may be gone
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			late = true
		case <-r.Context().Done():
			return
		case <-a.run.ended:
			return
		}
	}
}

func (a *agent) finals(w http.ResponseWriter, r *http.Request) {
	type notice struct {
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		RetryMs int64  `json:"retry_in_ms"`
	}
	var all []notice
	dec := json.NewDecoder(io.LimitReader(r.Body, 8<<20))
	for {
		var n notice
		err := dec.Decode(&n)
		if err == io.EOF {
			break
		}
		if err != nil || n.Outcome != "given_up" && n.Outcome != "handed_back" {
			a.run.post(func() {
				a.run.note(trace.Record{At: a.run.now(), What: trace.ProtocolError, Node: a.me, Result: "notices that can't be read"})
			})
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		all = append(all, n)
	}
	a.run.ask(func() {
		for _, n := range all {
			wait := time.Duration(n.RetryMs) * time.Millisecond
			a.run.note(trace.Record{At: a.run.now(), What: trace.Notice, ID: n.Message, Node: a.me, Result: n.Outcome, Wait: wait})
			a.run.clients.handleNotice(n.Message, n.Outcome, wait)
		}
	})
	w.WriteHeader(http.StatusNoContent)
}
