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
	// errUnknownStore and errTooFew are rejections: the decided partition table says so.
	errUnknownStore = errors.New("no store has this name: GET /status tells of those that are there")
	errTooFew       = errors.New("too few stores would be left: add one first")
	// The others defer it: what this keeper hears of the stores differs from the decided table, or isn't enough.
	errStoreJoins    = errors.New("the store has joined and is not in the agreed table yet: ask again in a second")
	errStoresMissing = errors.New(
		"too few stores are heard of here to spare one: ask again in a second, or another keeper")
	errStoresUnheard = errors.New("this keeper has just started, or stops: ask another one, or again in a second")
)

// Values of "state" in the answer to GET /retire/{store}.
const (
	retireInProgress = "in_progress"
	retireFinished   = "finished"
)

// retirement is a request to empty a store, and what the keeper that takes it knows of the stores.
type retirement struct {
	name             string
	alive            []snapshot.Store
	isLost           func(id uint64) bool
	survivableLosses int // stores that may be lost at the same time
}

// change decides on the table. A store that retires already stays as it is: the request was accepted before. The
// request is rejected only by what the table says; a keeper's own view of the stores may be wrong, so that only
// defers it.
func (r retirement) change(current *snapshot.PartitionTable) (*snapshot.PartitionTable, error) {
	next, known, few := batch.RetireStore(current, r.name, r.alive, r.isLost, r.survivableLosses)
	switch {
	case !known && r.isAttached():
		return nil, errStoreJoins
	case !known:
		return nil, errUnknownStore
	case few && r.tooFewAgreed(current):
		return nil, errTooFew
	case few:
		return nil, errStoresMissing
	case next == current:
		return nil, paxos.ErrUnchanged
	}
	return next, nil
}

// isAttached reports whether a store of this name is attached, though no table may name it yet.
func (r retirement) isAttached() bool {
	return slices.ContainsFunc(r.alive, func(s snapshot.Store) bool { return s.Name == r.name })
}

// tooFewAgreed reports whether too few stores would be left even if all stores of the table and all that are attached
// were there. A store whose retirement was accepted is not refused a second one, whatever disk it has by now.
func (r retirement) tooFewAgreed(current *snapshot.PartitionTable) bool {
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

// retireStatus is the HTTP status of a retirement that ended with an error.
func retireStatus(err error) int {
	switch {
	case err == nil, errors.Is(err, paxos.ErrUnchanged):
		return http.StatusOK
	case errors.Is(err, errUnknownStore):
		return http.StatusNotFound
	case errors.Is(err, errTooFew):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

// isRejection reports whether a status rejects a retirement for good.
func isRejection(status int) bool {
	return status == http.StatusNotFound || status == http.StatusConflict
}

// postRetire answers POST /retire/{store}: 200 once the table says that the store is to be emptied.
func (k *Keeper) postRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	alive, isLost, ok := k.queryStores()
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStoresUnheard.Error())
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
		status = http.StatusServiceUnavailable // stores that are attached elsewhere may not be known here
	}
	if status != http.StatusOK {
		k.log.Info("retirement not taken", "store", name, "code", status, "err", err)
		refuse(w, status, err.Error())
		return
	}
	answerJSON(w, []byte("{}"))
}

// getRetire answers GET /retire/{store}: whether the store is empty.
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

// refuseUnknownStore answers for a store that the decided table doesn't name.
func (k *Keeper) refuseUnknownStore(w http.ResponseWriter, name string) {
	alive, _, _ := k.queryStores()
	err := errUnknownStore
	if (retirement{name: name, alive: alive}).isAttached() {
		err = errStoreJoins
	}
	refuse(w, retireStatus(err), err.Error())
}
