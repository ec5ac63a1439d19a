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

// TestOnlyTheTableRejectsRetirements: a retirement is rejected by what the decided table says, and deferred if only
// this keeper's view of the stores stands against it.
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
		{"one that is not heard of itself", table(1, 2, 3), "a", []uint64{2, 3}, nil},
		{"no table yet, and nobody of this name", nil, "a", nil, errUnknownStore},
		{"no table yet, and it is attached", nil, "a", []uint64{1}, errStoreJoins},
		{"the table does not name it", table(1, 2, 3), "x", []uint64{1, 2, 3}, errUnknownStore},
		{"it has joined and the table does not name it yet", table(1, 2, 3), "d", []uint64{1, 2, 3, 4}, errStoreJoins},
		{"the table has too few", table(1, 2), "a", []uint64{1, 2}, errTooFew},
		{"the table has too few and none is heard of", table(1, 2), "a", nil, errTooFew},
		{"the others retire", retiring(table(1, 2, 3), 2), "a", []uint64{1, 2, 3}, errTooFew},
		{"this keeper hears of too few", table(1, 2, 3), "a", []uint64{1, 3}, errStoresMissing},
		{"one of those left is not in the table yet", table(1, 2), "a", []uint64{1, 2, 3}, nil},
		{"a repeat", retiring(table(1, 2, 3), 1), "a", []uint64{1, 2, 3}, paxos.ErrUnchanged},
		{"a repeat when too few are left by now", retiring(table(1, 2), 1), "a", nil, paxos.ErrUnchanged},
		{"a repeat for a machine whose disk was emptied", replaced(), "a", []uint64{9, 2, 3}, nil},
		{"such a repeat when too few are left by now", retiring(replaced(), 2), "a", []uint64{9, 3}, errStoresMissing},
	} {
		t.Run(test.what, func(t *testing.T) {
			order := retirement{name: test.name, isLost: func(uint64) bool { return false }, survivableLosses: 1}
			for _, id := range test.alive {
				s := store(id)
				if id == 9 {
					s.Name = "a"
				}
				order.alive = append(order.alive, s)
			}
			next, err := order.change(test.table)
			if !errors.Is(err, test.want) || err == nil && next == nil {
				t.Fatalf("%v, %v", next, err)
			}
		})
	}
}

// TestOnlyTheDecidedStateRejects: only the decided state of a register rejects a request for good; all that may go
// wrong on the way to it is 503.
func TestOnlyTheDecidedStateRejects(t *testing.T) {
	for err, want := range map[error]int{
		nil: 200, paxos.ErrUnchanged: 200, errUnknownStore: 404, errTooFew: 409, errStoreJoins: 503, errStoresMissing: 503, errStoresUnheard: 503,
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

// TestRetirementIsDeferredWithoutKnowledge: an answer for lack of knowledge says when to call again; a rejection
// doesn't.
func TestRetirementIsDeferredWithoutKnowledge(t *testing.T) {
	for status, want := range map[int]string{http.StatusServiceUnavailable: retryAfter, http.StatusPreconditionFailed: "", http.StatusNotFound: ""} {
		w := httptest.NewRecorder()
		refuse(w, status, "why")
		if got := w.Header().Get("Retry-After"); got != want || w.Code != status {
			t.Errorf("%d: Retry-After %q", w.Code, got)
		}
	}
}
