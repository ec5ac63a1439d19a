package keeper

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
)

// TestOnlyTheTableRejectsRetirements: only the contents of the decided table reject a retirement. If only this keeper's
// view of the stores prevents it, the retirement is deferred.
func TestOnlyTheTableRejectsRetirements(t *testing.T) {
	store := func(id uint64) snapshot.Store { return snapshot.Store{ID: id, Name: string(rune('a' + id - 1))} }
	table := func(ids ...uint64) *snapshot.PartitionTable {
		table := &snapshot.PartitionTable{Stores: map[uint64]snapshot.Store{}, Retiring: map[uint64]bool{}}
		for _, id := range ids {
			table.Stores[id] = store(id)
		}
		return table
	}
	retiring := func(table *snapshot.PartitionTable, ids ...uint64) *snapshot.PartitionTable {
		for _, id := range ids {
			table.Retiring[id] = true
		}
		return table
	}
	replaced := func() *snapshot.PartitionTable {
		table := retiring(table(1, 2, 3), 1)
		table.Stores[9] = snapshot.Store{ID: 9, Name: "a"} // the same machine on an emptied disk
		return table
	}
	for _, test := range []struct {
		what  string
		table *snapshot.PartitionTable
		name  string
		alive []uint64
		want  error
	}{
		{"enough are left", table(1, 2, 3), "a", []uint64{1, 2, 3}, nil},
		{"the store itself is not attached", table(1, 2, 3), "a", []uint64{2, 3}, nil},
		{"no table yet, and no store of this name", nil, "a", nil, errUnknownStore},
		{"no table yet, and the store is attached", nil, "a", []uint64{1}, errStoreJoining},
		{"the store is not in the table", table(1, 2, 3), "x", []uint64{1, 2, 3}, errUnknownStore},
		{"the store is attached and not in the table yet", table(1, 2, 3), "d", []uint64{1, 2, 3, 4}, errStoreJoining},
		{"the table has too few stores", table(1, 2), "a", []uint64{1, 2}, errTooFewStores},
		{"the table has too few stores and none is attached", table(1, 2), "a", nil, errTooFewStores},
		{"the others are retiring", retiring(table(1, 2, 3), 2), "a", []uint64{1, 2, 3}, errTooFewStores},
		{"too few stores are attached", table(1, 2, 3), "a", []uint64{1, 3}, errStoresMissing},
		{"one of the remaining stores is not in the table yet", table(1, 2), "a", []uint64{1, 2, 3}, nil},
		{"a repeat", retiring(table(1, 2, 3), 1), "a", []uint64{1, 2, 3}, paxos.ErrUnchanged},
		{"a repeat after the number of stores became too low", retiring(table(1, 2), 1), "a", nil, paxos.ErrUnchanged},
		{"a repeat for a machine whose disk was emptied", replaced(), "a", []uint64{9, 2, 3}, nil},
		{"such a repeat after the number of stores became too low", retiring(replaced(), 2), "a", []uint64{9, 3}, errStoresMissing},
	} {
		t.Run(test.what, func(t *testing.T) {
			request := retirement{name: test.name, isLost: func(uint64) bool { return false }, survivableLosses: 1}
			for _, id := range test.alive {
				s := store(id)
				if id == 9 {
					s.Name = "a"
				}
				request.alive = append(request.alive, s)
			}
			next, err := request.change(test.table)
			if !errors.Is(err, test.want) || err == nil && next == nil {
				t.Fatalf("%v, %v", next, err)
			}
		})
	}
}

// TestOnlyTheDecidedStateRejects: only the decided state of a register rejects a request permanently; all other errors
// are 503.
func TestOnlyTheDecidedStateRejects(t *testing.T) {
	for err, want := range map[error]int{
		nil: 200, paxos.ErrUnchanged: 200, errUnknownStore: 404, errTooFewStores: 409, errStoreJoining: 503, errStoresMissing: 503, errStoresUnknown: 503,
	} {
		if got := retireStatus(err); got != want {
			t.Errorf("%v to a retirement: %d", err, got)
		}
	}
	for err, want := range map[error]int{
		nil: 200, ErrInvalid.New("x"): 400, certification.ErrInvalid.New("x"): 400, ErrVersion.New("x"): 412, ErrForgotten.New("x"): 503,
	} {
		if got := putStatus(err); got != want {
			t.Errorf("%v to a document: %d", err, got)
		}
	}
	for _, err := range []error{errShuttingDown, errBusy, errNoContact, paxos.ErrOutcomeUnknown.New("x"), paxos.ErrNoQuorum.New("x"), paxos.ErrNoState.New("x"),
		paxos.ErrQueueFull.New("x"), paxos.ErrInvalidVoters.New("x"), io.ErrUnexpectedEOF} {
		if got := putStatus(err); got != 503 {
			t.Errorf("%v to a document: %d", err, got)
		}
		if got := retireStatus(err); got != 503 {
			t.Errorf("%v to a retirement: %d", err, got)
		}
	}
}

// TestRetirementIsDeferredWithoutKnowledge: a 503 answer has a Retry-After header; a rejection doesn't.
func TestRetirementIsDeferredWithoutKnowledge(t *testing.T) {
	for status, want := range map[int]string{http.StatusServiceUnavailable: retryAfter, http.StatusPreconditionFailed: "", http.StatusNotFound: ""} {
		w := httptest.NewRecorder()
		refuse(w, status, "why")
		if got := w.Header().Get("Retry-After"); got != want || w.Code != status {
			t.Errorf("%d: Retry-After %q", w.Code, got)
		}
	}
}
