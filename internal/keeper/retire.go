package keeper

import (
	"encoding/json"
	"errors"
	"net/http"

	"dunetide/internal/agree"
	"dunetide/internal/batch"
	"dunetide/internal/view"
)

func (k *Keeper) postRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	code := make(chan int, 1)
	alive, lost, ok := k.storesNow()
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "this keeper has no contact with a majority, or only just has, or stops: ask another one, or again in a second")
		return
	}
	k.changeTable(func(cur *view.Table) (*view.Table, error) {
		next, known, few := batch.Retire(cur, name, alive, lost, k.o.Settings.SurviveMachines)
		switch {
		case !known:
			return nil, errUnknownStore
		case few:
			return nil, errTooFew
		case next == nil || next == cur:
			return nil, agree.ErrUnchanged
		}
		return next, nil
	}, func(err error) {
		switch {
		case err == nil:
			code <- http.StatusOK
		case errors.Is(err, errUnknownStore):
			code <- http.StatusNotFound
		case errors.Is(err, errTooFew):
			code <- http.StatusConflict
		default:
			code <- http.StatusServiceUnavailable
		}
	})
	var c int
	select {
	case c = <-code:
	case <-k.ended:
		c = http.StatusServiceUnavailable
	}
	if (c == http.StatusNotFound || c == http.StatusConflict) && !k.inContact() {
		c = http.StatusServiceUnavailable // stores that are attached elsewhere may not be known here
	}
	if c != http.StatusOK {
		refuse(w, c, map[int]string{http.StatusNotFound: errUnknownStore.Error(), http.StatusConflict: errTooFew.Error(),
			http.StatusServiceUnavailable: "no majority answers: ask another keeper"}[c])
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

func (k *Keeper) getRetire(w http.ResponseWriter, name string, _ []byte, _ *http.Request) {
	type result struct {
		s   agree.State
		err error
	}
	done := make(chan result, 1)
	k.agree.read(tableRegister, proposeWait, func(s agree.State, err error) { done <- result{s, err} })
	var res result
	select {
	case res = <-done:
	case <-k.ended:
		res.err = errStops
	}
	if res.err != nil {
		refuse(w, http.StatusServiceUnavailable, res.err.Error())
		return
	}
	table, err := tableOf(res.s)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	known, finished := batch.Retired(table, name, k.o.Settings.SurviveMachines)
	state := "in_progress"
	if finished {
		state = "finished"
	}
	if !known {
		refuse(w, http.StatusNotFound, errUnknownStore.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	b, _ := json.Marshal(map[string]string{"state": state}) // strings always marshal
	_, _ = w.Write(b)
}
