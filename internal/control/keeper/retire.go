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

// Answers to a retirement that was not taken.
var (
	// errUnknownStore and errTooFew are refusals: the agreed table says so.
	errUnknownStore = errors.New("no store has this name: GET /status tells of those that are there")
	errTooFew       = errors.New("too few stores would be left: add one first")
	// The others put it off: what this keeper hears of the stores differs from the agreed table, or is not enough.
	errStoreJoins    = errors.New("the store has joined and is not in the agreed table yet: ask again in a second")
	errStoresMissing = errors.New("too few stores are heard of here to spare one: ask again in a second, or another keeper")
	errStoresUnheard = errors.New("this keeper has just started, or stops: ask another one, or again in a second")
)

// retirement is an order to empty a store, and what the keeper that hears it knows of the stores.
type retirement struct {
	name  string
	alive []snapshot.Store
	lost  func(id uint64) bool
	spare int // stores that may be lost at once
}

// change decides on the table. A store that retires already is left as it is: the order was taken before. It refuses only by
// what the table says; a keeper's own view of the stores may be wrong, so on it an order is put off.
func (r retirement) change(cur *snapshot.Table) (*snapshot.Table, error) {
	next, known, few := batch.Retire(cur, r.name, r.alive, r.lost, r.spare)
	switch {
	case !known && r.joins():
		return nil, errStoreJoins
	case !known:
		return nil, errUnknownStore
	case few && r.tooFewAgreed(cur):
		return nil, errTooFew
	case few:
		return nil, errStoresMissing
	case next == cur:
		return nil, paxos.ErrUnchanged
	}
	return next, nil
}

// joins reports whether a store of this name is attached, though no table may name it yet.
func (r retirement) joins() bool {
	return slices.ContainsFunc(r.alive, func(s snapshot.Store) bool { return s.Name == r.name })
}

// tooFewAgreed reports whether too few would be left even if all stores of the table and all that are attached were there. A
// store that has had an order to retire is not refused another one, whatever disk it has by now.
func (r retirement) tooFewAgreed(cur *snapshot.Table) bool {
	left := map[uint64]bool{}
	for id, s := range cur.Stores {
		switch {
		case s.Name == r.name && cur.Retiring[id]:
			return false
		case s.Name != r.name && !cur.Retiring[id]:
			left[id] = true
		}
	}
	for _, s := range r.alive {
		if s.Name != r.name && !cur.Retiring[s.ID] {
			left[s.ID] = true
		}
	}
	return len(left) < r.spare+1
}

// retireStatus is the answer that an error means to an operator.
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

// refuses reports whether a status ends an order for good.
func refuses(code int) bool {
	return code == http.StatusNotFound || code == http.StatusConflict
}

func (k *Keeper) postRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	alive, lost, ok := k.storesNow()
	if !ok {
		refuse(w, http.StatusServiceUnavailable, errStoresUnheard.Error())
		return
	}
	order := retirement{name: name, alive: alive, lost: lost, spare: k.o.Settings.SurviveMachines}
	done := make(chan error, 1)
	k.changeTable(order.change, func(err error) { done <- err })
	err := k.await(done)
	code := retireStatus(err)
	if refuses(code) && !k.inContact() {
		code = http.StatusServiceUnavailable // stores that are attached elsewhere may not be known here
	}
	if code != http.StatusOK {
		k.log.Info("retirement not taken", "store", name, "code", code, "err", err)
		refuse(w, code, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

func (k *Keeper) getRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	table, err := k.readTable()
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	known, finished := batch.Retired(table, name, k.o.Settings.SurviveMachines)
	if !known {
		k.refuseUnknownStore(w, name)
		return
	}
	state := "in_progress"
	if finished {
		state = "finished"
	}
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(map[string]string{"state": state}) // strings always marshal
	_, _ = w.Write(b)
}

// readTable gives the newest table of the batch parts; nil before the first one.
func (k *Keeper) readTable() (*snapshot.Table, error) {
	s, err := k.readRegister(tableRegister)
	if err != nil {
		return nil, err
	}
	return tableOf(s)
}

// refuseUnknownStore answers for a store that the agreed table does not name.
func (k *Keeper) refuseUnknownStore(w http.ResponseWriter, name string) {
	alive, _, _ := k.storesNow()
	err := errUnknownStore
	if (retirement{name: name, alive: alive}).joins() {
		err = errStoreJoins
	}
	refuse(w, retireStatus(err), err.Error())
}
