package keeper

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"

	"dunetide/internal/batch"
	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/snapshot"
)

// Errors of a retirement.
var (
	// errUnknownStore and errTooFewStores are rejections, derived from the decided partition table.
	errUnknownStore = errors.New("no store has this name: GET /status tells of those that are there")
	errTooFewStores = errors.New("too few stores would be left: add one first")
	// The other errors defer the request: this keeper's view of the stores differs from the decided table, or is
	// incomplete.
	errStoreJoining = errors.New(
		"the store has joined and is not in the agreed table yet: ask again in a second")
	errStoresMissing = errors.New(
		"too few stores are heard of here to spare one: ask again in a second, or another keeper")
	errStoresUnknown = errors.New(
		"this keeper has just started, or stops: ask another one, or again in a second")
)

// Values of "state" in the answer to GET /retire/{store}.
const (
	retireInProgress = "in_progress"
	retireFinished   = "finished"
)

// retirement is a request to retire a store, that is, to move all its data to other stores, and the serving keeper's
// view of the stores.
type retirement struct {
	name             string
	alive            []snapshot.Store
	isLost           func(id uint64) bool
	survivableLosses int // stores that may be lost at the same time
}

// change computes the next table. If the store is retiring already, the request was accepted before, and the table
// stays unchanged. Only the contents of the table can reject the request; a keeper's own view of the stores may be
// wrong, so it can only defer the request.
func (r retirement) change(current *snapshot.PartitionTable) (*snapshot.PartitionTable, error) {
	next, known, tooFew := batch.RetireStore(current, r.name, r.alive, r.isLost, r.survivableLosses)
	switch {
	case !known && r.isAttached():
		return nil, errStoreJoining
	case !known:
		return nil, errUnknownStore
	case tooFew && r.tooFewInTable(current):
		return nil, errTooFewStores
	case tooFew:
		return nil, errStoresMissing
	case next == current:
		return nil, paxos.ErrUnchanged
	}
	return next, nil
}

// isAttached reports whether a store of this name is attached, even if it isn't in a table yet.
func (r retirement) isAttached() bool {
	return slices.ContainsFunc(r.alive, func(s snapshot.Store) bool { return s.Name == r.name })
}

// tooFewInTable reports whether too few stores would be left even if all stores in the table and all attached stores
// were available. A store whose retirement was accepted isn't rejected on a repeat, even if it has a new disk since.
func (r retirement) tooFewInTable(current *snapshot.PartitionTable) bool {
	left := map[uint64]bool{}
	for id, s := range current.Stores {
		switch {
		case s.Name == r.name && current.Retiring[id]:
			return false
		case s.Name != r.name && !current.Retiring[id]:
			left[id] = true
		}
	}
	for _, s := range r.alive {
		if s.Name != r.name && !current.Retiring[s.ID] {
			left[s.ID] = true
		}
	}
	return len(left) < r.survivableLosses+1
}

// retireStatus maps the result of a retirement to an HTTP status.
func retireStatus(err error) int {
	switch {
	case err == nil, errors.Is(err, paxos.ErrUnchanged):
		return http.StatusOK
	case errors.Is(err, errUnknownStore):
		return http.StatusNotFound
	case errors.Is(err, errTooFewStores):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// isRejection reports whether a status rejects a retirement permanently.
func isRejection(status int) bool {
	return status == http.StatusNotFound || status == http.StatusConflict
}

// postRetire answers POST /retire/{store}: 200 once the decided table marks the store as retiring.
func (k *Keeper) postRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	alive, isLost, ok := k.queryStores()
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStoresUnknown.Error())
		return
	}
	request := retirement{
		name:             name,
		alive:            alive,
		isLost:           isLost,
		survivableLosses: k.options.Settings.SurviveMachines,
	}
	done := make(chan error, 1)
	k.changeTable(request.change, func(err error) { done <- err })
	err := k.awaitResult(done)
	status := retireStatus(err)
	if isRejection(status) && !k.inContact() {
		status = http.StatusServiceUnavailable // stores attached to other keepers may be unknown here
	}
	if status != http.StatusOK {
		k.log.Info("retirement refused", "store", name, "code", status, "err", err)
		refuse(w, status, err.Error())
		return
	}
	answerJSON(w, []byte("{}"))
}

// getRetire answers GET /retire/{store}: whether the retirement has finished.
func (k *Keeper) getRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	table, err := k.readTable()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	known, finished := batch.RetirementState(table, name, k.options.Settings.SurviveMachines)
	if !known {
		k.refuseUnknownStore(w, name)
		return
	}
	state := retireInProgress
	if finished {
		state = retireFinished
	}
	b, _ := json.Marshal(map[string]string{"state": state}) // strings always marshal
	answerJSON(w, b)
}

// refuseUnknownStore answers a call for a store that isn't in the decided table.
func (k *Keeper) refuseUnknownStore(w http.ResponseWriter, name string) {
	alive, _, _ := k.queryStores()
	err := errUnknownStore
	if (retirement{name: name, alive: alive}).isAttached() {
		err = errStoreJoining
	}
	refuse(w, retireStatus(err), err.Error())
}
