package keeper

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// minEntryBytes is a lower bound on the encoded size of an entry of the endpoint list.
const minEntryBytes = 16

// heartbeat is the body of PUT /instances/{id}: what an endpoint reports about itself. Do not rename this type or name
// the type of Models: decoding errors contain the type names and are sent to the client.
type heartbeat struct {
	Service      string  `json:"service"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Version      string  `json:"version"`
	Capacity     int     `json:"capacity"`
	State        string  `json:"state"`
	WarmUpLeftMs float64 `json:"cold_left_ms"`
	CallCount    uint64  `json:"call_count"`
	Models       []struct {
		Name    string `json:"name"`
		Version int    `json:"version"`
	} `json:"models"`
}

// States of an endpoint in a heartbeat.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// endpoint validates a heartbeat and returns its endpoint. problem describes what is invalid; empty: nothing.
func (h *heartbeat) endpoint(id string) (e snapshot.Endpoint, problem string) {
	e = snapshot.Endpoint{
		ID:                id,
		Service:           h.Service,
		Address:           h.Address,
		Zone:              h.Zone,
		Version:           h.Version,
		Capacity:          h.Capacity,
		RemainingWarmupMs: int(h.WarmUpLeftMs),
		CallCount:         h.CallCount,
	}
	switch h.State {
	case stateReady:
	case stateDraining:
		e.State = snapshot.Draining
	default:
		return e, `state: must be "ready" or "draining"`
	}
	if h.Service == "" || h.Address == "" {
		return e, "service and address: must be there"
	}
	for _, m := range h.Models {
		e.Models = append(e.Models, snapshot.Model{Name: m.Name, Version: m.Version})
	}
	if err := registry.Validate(&e); err != nil {
		return e, err.Error()
	}
	return e, ""
}

// endpointChange is a change of the endpoint list requested by an endpoint.
type endpointChange struct {
	id    string
	zone  string // of the endpoint; empty: unknown
	ends  bool   // the endpoint drains or is removed
	apply func(now time.Duration) (changed bool)
}

// putInstance answers PUT /instances/{id}: the heartbeat of an endpoint.
func (k *Keeper) putInstance(w http.ResponseWriter, id string, body []byte, _ *http.Request) {
	var h heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		refuse(w, http.StatusBadRequest, "a heartbeat must be JSON: "+err.Error())
		return
	}
	e, problem := h.endpoint(id)
	if problem != "" {
		refuse(w, http.StatusBadRequest, problem)
		return
	}
	k.answerChange(w, endpointChange{
		id:    id,
		zone:  h.Zone,
		ends:  e.State == snapshot.Draining,
		apply: func(now time.Duration) bool { return k.endpoints.Heartbeat(now, e) },
	})
}

// deleteInstance answers DELETE /instances/{id}: the removal of an endpoint that stops.
func (k *Keeper) deleteInstance(w http.ResponseWriter, id string, _ []byte, _ *http.Request) {
	if err := registry.Validate(&snapshot.Endpoint{ID: id}); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	k.answerChange(w, endpointChange{
		id:    id,
		ends:  true,
		apply: func(now time.Duration) bool { return k.endpoints.Remove(now, id) },
	})
}

// changeResult is the result of applying a change to the endpoint list.
type changeResult struct {
	waiter          *ackWaiter // nil: there is nothing to wait for
	heartbeatTarget string
	listFull        bool
	noContact       bool
}

// answerChange changes the list, and answers once the other keepers and the attached processes have acknowledged the
// change. It waits for them for Options.PushWait at most.
//
// Without contact the change is applied and sent nevertheless, but it isn't acknowledged. That is harmless: a keeper that
// lacks an acknowledged end learns it from the lists of a majority before it has contact. A drain or removal is
// acknowledged only once a majority of the voters has it on disk: the endpoint sends nothing more after the
// acknowledgement, so what only this keeper knows, or what is only in memory, could be lost.
func (k *Keeper) answerChange(w http.ResponseWriter, change endpointChange) {
	result, ok := query(k, func() changeResult { return k.applyChange(time.Now(), change) })
	if ok && result.waiter != nil {
		select {
		case <-result.waiter.done:
		case <-k.ended:
			ok = false
		}
	}
	var refusal error
	switch {
	case !ok:
		refusal = errShuttingDown
	case result.listFull:
		refusal = errListFull
	case result.noContact || !k.inContact():
		refusal = errNoContact
	case result.waiter != nil && !result.waiter.enoughAcked:
		refusal = errNotAtMajority
	}
	status := http.StatusOK
	if refusal != nil {
		status = http.StatusServiceUnavailable
	}
	if change.ends && ok {
		k.logEndpointEnd(change.id, result, status)
	}
	if refusal != nil {
		refuse(w, status, refusal.Error())
		return
	}
	k.checkAcknowledgement(change.id, result)
	acknowledgeHeartbeat(w, result.heartbeatTarget)
}

// applyChange changes the list and sends the change to the other keepers; the loop then pushes it to the attached
// processes. It runs on the owner goroutine.
func (k *Keeper) applyChange(now time.Time, change endpointChange) changeResult {
	at := k.sinceStart(now)
	inContact := k.contact.InContact(at)
	if !inContact {
		k.endpoints.MarkIncomplete(at)
	}
	revision := k.endpoints.LastChange()
	// The change may also have removed another endpoint that had the same address.
	changed := change.apply(at) || k.endpoints.LastChange() != revision
	result := changeResult{
		heartbeatTarget: k.heartbeatTarget(change.zone),
		noContact:       !inContact,
	}
	if _, listed := k.endpoints.Get(at, change.id); !listed && !change.ends {
		return changeResult{listFull: true}
	}
	if !changed && !change.ends {
		return result
	}
	waiter := newAckWaiter()
	waiter.listRevision, waiter.deadline = k.endpoints.LastChange(), now.Add(k.options.PushWait)
	if entries := k.entriesToBroadcast(at, change.id, revision, changed); len(entries) > 0 {
		if change.ends {
			waiter.voters = newVoterAcks(k.registers.registerVoters(configRegister))
		}
		k.broadcastEntries(entries, waiter)
		k.storeTrackedEnds(now, entries, waiter)
	}
	if changed {
		k.pushNeeded = true
	}
	if !result.noContact {
		k.addWaiter(waiter)
		result.waiter = waiter
	}
	return result
}

// entriesToBroadcast returns the entries that the other keepers may lack after a change of an endpoint.
func (k *Keeper) entriesToBroadcast(at time.Duration, id string, revision uint64, changed bool) []registry.Entry {
	if !changed { // a repeat: the others may lack it, as the keeper that handled it first may have crashed
		if e, listed := k.endpoints.Get(at, id); listed {
			return []registry.Entry{e}
		}
		return nil
	}
	entries, _, full := k.endpoints.Changes(at, revision)
	if full { // the first change of the list, which may be a removal
		entries = k.endpoints.Entries(at, -1)
	}
	return entries
}

// acknowledgeHeartbeat answers 200, with the address of the keeper to which the endpoint should send further
// heartbeats; empty: none.
func acknowledgeHeartbeat(w http.ResponseWriter, target string) {
	if target == "" {
		answerJSON(w, []byte("{}"))
		return
	}
	b, _ := json.Marshal(map[string]string{"beat_to": target}) // strings always marshal
	answerJSON(w, b)
}

// heartbeatTarget returns the control address of a keeper in an endpoint's own zone that is in contact, so that the
// heartbeats stay in the zone; empty: there is none.
func (k *Keeper) heartbeatTarget(zone string) string {
	if zone == "" || zone == k.self.Zone {
		return k.self.ControlAddr // this keeper is in contact, or the answer isn't sent
	}
	var target controlclient.Node
	for _, p := range k.peers {
		if p.conn == nil || p.node.Zone != zone || !p.report.InContact {
			continue
		}
		if target.Name == "" || p.node.Name < target.Name {
			target = p.node
		}
	}
	return target.ControlAddr
}

// handleEntries merges entries from another keeper, and replies once the processes attached here have them in force and
// the ends among them are on this keeper's disk. If these can't be stored, the call fails.
func (k *Keeper) handleEntries(now time.Time, m *link.Message) {
	entries, err := decodeEntries(m.Body)
	if err != nil {
		m.Fail("%v", err)
		return
	}
	k.fullLists[m.Conn] = true // the first entries over a link are the full list, see sendFullState
	if len(k.endpoints.Merge(k.sinceStart(now), entries)) > 0 {
		k.pushNeeded = true
	}
	// Entries that were already known may still be in flight to the attached processes.
	waiter := newAckWaiter()
	waiter.listRevision = k.endpoints.LastChange()
	k.addWaiter(waiter)
	k.ends.store(now, entries, func(err error) {
		if errors.Is(err, errNoDisk) {
			err = nil // this keeper doesn't vote, so nothing depends on its confirmation
		}
		k.replyWhenInForce(m, waiter, err)
	})
}

// replyWhenInForce replies to a call once a wait for the attached processes has ended: empty, or with an error.
func (k *Keeper) replyWhenInForce(m *link.Message, waiter *ackWaiter, err error) {
	reply := func() {
		if err != nil {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	}
	select {
	case <-waiter.done:
		reply()
	default:
		go func() { // it ends with the waiter or the keeper
			select {
			case <-waiter.done:
				reply()
			case <-k.ended:
			}
		}()
	}
}

func encodeEntries(entries []registry.Entry) []byte {
	w := link.Writer{}
	w.U32(uint32(len(entries)))
	for i := range entries {
		registry.AppendEntry(&w, &entries[i])
	}
	return w.Buf
}

func decodeEntries(body []byte) (entries []registry.Entry, err error) {
	r := link.Reader{Buf: body}
	for range r.Count(minEntryBytes) {
		e, err := registry.ReadEntry(&r)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, r.Err
}
