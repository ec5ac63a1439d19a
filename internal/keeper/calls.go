package keeper

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunetide/internal/certify"
	"dunetide/internal/registry"
	"dunetide/internal/view"
)

const (
	beatMost   = 64 << 10
	configMost = 8 << 20
	// proposeWait is below the second after which an operator goes on to another keeper.
	proposeWait = 900 * time.Millisecond
)

var errStops = errors.New("this keeper stops: ask another one")

// retryAfter is how long a caller that gets 503 waits before it asks the same keeper again, in seconds.
const retryAfter = "1"

// call is a row of the table of all calls of endpoints and operators.
type call struct {
	method string
	path   string // one that ends with a slash takes a name behind it
	most   int64  // bytes of a body
	serve  func(k *Keeper, w http.ResponseWriter, name string, body []byte, r *http.Request)
}

var calls = []call{
	{http.MethodPut, "/instances/", beatMost, (*Keeper).beat},
	{http.MethodDelete, "/instances/", beatMost, (*Keeper).leave},
	{http.MethodPut, "/config", configMost, (*Keeper).putConfig},
	{http.MethodGet, "/config", 0, (*Keeper).getConfig},
	{http.MethodPut, certificatesPath, certify.DocumentMost, (*Keeper).putCertificates},
	{http.MethodGet, certificatesPath, 0, (*Keeper).getCertificates},
	{http.MethodPost, "/retire/", beatMost, (*Keeper).postRetire},
	{http.MethodGet, "/retire/", 0, (*Keeper).getRetire},
	{http.MethodGet, "/status", 0, (*Keeper).getStatus},
}

func (k *Keeper) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		found := false
		for _, c := range calls {
			name, under := "", r.URL.Path == c.path
			if strings.HasSuffix(c.path, "/") {
				name, under = strings.CutPrefix(r.URL.Path, c.path)
				under = under && name != "" && !strings.Contains(name, "/")
			}
			if !under {
				continue
			}
			found = true
			if c.method != r.Method {
				continue
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(c.most, 1)))
			if err != nil {
				var long *http.MaxBytesError
				if errors.As(err, &long) {
					refuse(w, http.StatusRequestEntityTooLarge, "the body is over "+strconv.FormatInt(c.most, 10)+" bytes: send less")
					return
				}
				// What came is no order, so it says nothing about the whole one, which may have been taken before.
				refuse(w, http.StatusRequestTimeout, "the body was cut: send it again whole")
				return
			}
			c.serve(k, w, name, body, r)
			return
		}
		if found {
			refuse(w, http.StatusMethodNotAllowed, "this path is called with another method")
			return
		}
		refuse(w, http.StatusNotFound, "no such call")
	})
}

func refuse(w http.ResponseWriter, code int, why string) {
	w.Header().Set("Content-Type", "application/json")
	if code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(code)
	b, _ := json.Marshal(map[string]string{"error": why}) // strings always marshal
	_, _ = w.Write(b)
}

// heartbeat is what an endpoint says of itself.
type heartbeat struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Capacity   int     `json:"capacity"`
	State      string  `json:"state"`
	ColdLeftMs float64 `json:"cold_left_ms"`
	CallCount  uint64  `json:"call_count"`
	Models     []struct {
		Name    string `json:"name"`
		Version int    `json:"version"`
	} `json:"models"`
}

func (k *Keeper) beat(w http.ResponseWriter, id string, body []byte, _ *http.Request) {
	var h heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		refuse(w, http.StatusBadRequest, "a heartbeat must be JSON: "+err.Error())
		return
	}
	e := view.Endpoint{ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Version: h.Version, Capacity: h.Capacity,
		ColdLeftMs: int(h.ColdLeftMs), CallCount: h.CallCount}
	switch h.State {
	case "ready":
	case "draining":
		e.State = view.Draining
	default:
		refuse(w, http.StatusBadRequest, `state: must be "ready" or "draining"`)
		return
	}
	if h.Service == "" || h.Address == "" {
		refuse(w, http.StatusBadRequest, "service and address: must be there")
		return
	}
	for _, m := range h.Models {
		e.Models = append(e.Models, view.Model{Name: m.Name, Version: m.Version})
	}
	if err := registry.Check(&e); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	k.register(w, id, func(now time.Time) bool { return k.table.Beat(k.since(now), e) }, h.Zone, e.State == view.Draining)
}

func (k *Keeper) leave(w http.ResponseWriter, id string, _ []byte, _ *http.Request) {
	if err := registry.Check(&view.Endpoint{ID: id}); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	k.register(w, id, func(now time.Time) bool { return k.table.Leave(k.since(now), id) }, "", true)
}

// register changes the list and answers once those who need it have acknowledged the change, or have
// had time to.
func (k *Keeper) register(w http.ResponseWriter, id string, change func(now time.Time) bool, zone string, ends bool) {
	type result struct {
		waiter *waiter
		beatTo string
		full   bool
	}
	res, ok := ask(k, func() result {
		now := time.Now()
		before := k.table.Newest()
		changed := change(now) || k.table.Newest() != before // of another, whose address it has
		beatTo := k.beatTo(zone)
		if _, there := k.table.Get(k.since(now), id); !there && !ends {
			return result{full: true}
		}
		if !changed && !ends {
			return result{beatTo: beatTo}
		}
		wt := &waiter{change: k.table.Newest(), until: now.Add(k.o.PushWait), done: make(chan struct{})}
		switch {
		case changed:
			k.dirty = true
			list, _, whole := k.table.Changes(k.since(now), before)
			if whole { // the first change of all, which may be an end
				list = k.table.Entries(k.since(now), -1)
			}
			k.tellEntries(list, wt)
		default: // a repeat: others may lack it all the same, as who took it first may be dead
			if e, there := k.table.Get(k.since(now), id); there {
				k.tellEntries([]registry.Entry{e}, wt)
			}
		}
		k.wait(wt)
		return result{waiter: wt, beatTo: beatTo}
	})
	if ok && res.waiter != nil {
		select {
		case <-res.waiter.done:
		case <-k.ended:
			ok = false
		}
	}
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStops.Error())
		return
	}
	if res.full {
		refuse(w, http.StatusServiceUnavailable, "the list of endpoints is full: remove some")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if res.beatTo != "" {
		b, _ := json.Marshal(map[string]string{"beat_to": res.beatTo}) // strings always marshal
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write([]byte("{}"))
}

// beatTo names a keeper in an endpoint's own zone, so that its heartbeats stay there.
func (k *Keeper) beatTo(zone string) string {
	if zone == "" || zone == k.self.Zone {
		return k.self.Control
	}
	for _, n := range k.keeperNodes() {
		if n.Zone == zone {
			return n.Control
		}
	}
	return ""
}

func (k *Keeper) getStatus(w http.ResponseWriter, _ string, _ []byte, _ *http.Request) {
	b, ok := ask(k, k.statusJSON)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStops.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
