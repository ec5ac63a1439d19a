package keeper

import (
	"encoding/json"
	"net/http"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

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

func (k *Keeper) heartbeat(w http.ResponseWriter, id string, body []byte, _ *http.Request) {
	var h heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		refuse(w, http.StatusBadRequest, "a heartbeat must be JSON: "+err.Error())
		return
	}
	e := snapshot.Endpoint{ID: id, Service: h.Service, Address: h.Address, Zone: h.Zone, Version: h.Version, Capacity: h.Capacity,
		ColdLeftMs: int(h.ColdLeftMs), CallCount: h.CallCount}
	switch h.State {
	case "ready":
	case "draining":
		e.State = snapshot.Draining
	default:
		refuse(w, http.StatusBadRequest, `state: must be "ready" or "draining"`)
		return
	}
	if h.Service == "" || h.Address == "" {
		refuse(w, http.StatusBadRequest, "service and address: must be there")
		return
	}
	for _, m := range h.Models {
		e.Models = append(e.Models, snapshot.Model{Name: m.Name, Version: m.Version})
	}
	if err := registry.Check(&e); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	k.register(w, id, func(now time.Time) bool { return k.table.Beat(k.since(now), e) }, h.Zone, e.State == snapshot.Draining)
}

func (k *Keeper) leave(w http.ResponseWriter, id string, _ []byte, _ *http.Request) {
	if err := registry.Check(&snapshot.Endpoint{ID: id}); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	k.register(w, id, func(now time.Time) bool { return k.table.Leave(k.since(now), id) }, "", true)
}

// registered is how far a change of the list has come.
type registered struct {
	waiter    *waiter // nil: there is nothing to wait for
	beatTo    string
	full      bool
	noContact bool
}

// register changes the list and answers once those who need it have acknowledged the change, or have
// had time to. Without contact the change is made and told all the same, as it does no harm, but not acknowledged. Nor is the end of
// an endpoint that a majority of the voters has not taken in: an endpoint that was told so says nothing more, so what only this
// keeper knew would be lost with its contact.
func (k *Keeper) register(w http.ResponseWriter, id string, change func(now time.Time) bool, zone string, ends bool) {
	res, ok := ask(k, func() registered { return k.changeList(id, change, zone, ends) })
	if ok && res.waiter != nil {
		select {
		case <-res.waiter.done:
		case <-k.ended:
			ok = false
		}
	}
	status, why := http.StatusServiceUnavailable, ""
	switch {
	case !ok:
		why = errStops.Error()
	case res.full:
		why = "the list of endpoints is full: remove some"
	case res.noContact || !k.inContact():
		why = errNoContact.Error()
	case res.waiter != nil && !res.waiter.quorate:
		why = errNotAtMajority.Error()
	default:
		status = http.StatusOK
	}
	if ends && ok {
		k.noteEnd(id, res, status)
	}
	if status != http.StatusOK {
		refuse(w, status, why)
		return
	}
	k.checkAcknowledgement(id, res)
	acknowledge(w, res.beatTo)
}

// changeList changes the list, for the owner, and tells the other keepers and the attached processes.
func (k *Keeper) changeList(id string, change func(now time.Time) bool, zone string, ends bool) registered {
	now := time.Now()
	before := k.table.Newest()
	changed := change(now) || k.table.Newest() != before // of another, whose address it has
	res := registered{beatTo: k.beatTo(zone), noContact: !k.contact.Holds(k.since(now))}
	if _, there := k.table.Get(k.since(now), id); !there && !ends {
		return registered{full: true}
	}
	if !changed && !ends {
		return res
	}
	wt := &waiter{change: k.table.Newest(), until: now.Add(k.o.PushWait), done: make(chan struct{})}
	if list := k.entriesToTell(now, id, before, changed); len(list) > 0 {
		if ends {
			wt.quorum = newConfirmations(k.agree.votersOf(configRegister), k.agree.id)
		}
		k.tellEntries(list, wt)
	}
	if changed {
		k.dirty = true
	}
	if !res.noContact {
		k.wait(wt)
		res.waiter = wt
	}
	return res
}

// entriesToTell are those that the other keepers may lack.
func (k *Keeper) entriesToTell(now time.Time, id string, before uint64, changed bool) []registry.Entry {
	if !changed { // a repeat: others may lack it all the same, as who took it first may be dead
		if e, there := k.table.Get(k.since(now), id); there {
			return []registry.Entry{e}
		}
		return nil
	}
	list, _, whole := k.table.Changes(k.since(now), before)
	if whole { // the first change of all, which may be an end
		list = k.table.Entries(k.since(now), -1)
	}
	return list
}

func acknowledge(w http.ResponseWriter, beatTo string) {
	w.Header().Set("Content-Type", "application/json")
	if beatTo == "" {
		_, _ = w.Write([]byte("{}"))
		return
	}
	b, _ := json.Marshal(map[string]string{"beat_to": beatTo}) // strings always marshal
	_, _ = w.Write(b)
}

// beatTo names a keeper in an endpoint's own zone that is in contact, so that its heartbeats stay there; "": there is none.
func (k *Keeper) beatTo(zone string) string {
	if zone == "" || zone == k.self.Zone {
		return k.self.Control // the answer is given in contact only
	}
	var named controlclient.Node
	for _, p := range k.peers {
		if p.conn == nil || p.node.Zone != zone || !p.report.InContact {
			continue
		}
		if named.Name == "" || p.node.Name < named.Name {
			named = p.node
		}
	}
	return named.Control
}

// entries takes what another keeper tells of endpoints, and answers once the attached processes have it in force.
func (k *Keeper) entries(now time.Time, m *link.Message) {
	r := link.Reader{B: m.Body}
	var list []registry.Entry
	for range r.Count(16) {
		e, err := registry.ReadEntry(&r)
		if err != nil {
			m.Fail("%v", err)
			return
		}
		list = append(list, e)
	}
	if r.Err != nil {
		m.Fail("%v", r.Err)
		return
	}
	if len(k.table.Merge(k.since(now), list)) > 0 {
		k.dirty = true
	}
	// What is known already may be on its way to the attached.
	w := &waiter{change: k.table.Newest(), done: make(chan struct{})}
	k.wait(w)
	select {
	case <-w.done:
		m.Reply(nil)
	default:
		go func() {
			select {
			case <-w.done:
				m.Reply(nil)
			case <-k.ended:
			}
		}()
	}
}
