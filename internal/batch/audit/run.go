// Package audit keeps the record of regulated runs: proxies hand it to stores, which append it to files that are
// checksummed and chained, and auditors read these offline. docs/certified.md says what it proves.
package audit

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"dunetide/internal/platform/link"
)

// Run is one sending of a regulated request or item to an endpoint.
type Run struct {
	ID         string // of the request or item
	Route      string
	Regime     string
	Endpoint   string // the incarnation's id
	Version    uint64 // of the certificates by which it was sent
	Item       bool   // of a batch job
	Repeatable bool   // it may run more than once
	After      string // the event after which it goes on; empty: from its start
	Begun      time.Time
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes.
const (
	Open     Outcome = iota // no end was recorded: its proxy was lost, or it runs
	Answered                // whole
	Failed                  // the endpoint's own 500 or 504, or a status that promises nothing
	NotRun                  // the endpoint says that it has not run
	Unsent                  // it was not written whole
	Broken                  // it may have run, and its answer broke off
	Left                    // the client left, or the time was over
	outcomes
)

func (o Outcome) String() string {
	return [...]string{"open", "answered", "failed", "not-run", "unsent", "broken", "left"}[o]
}

// MayHaveRun tells whether the endpoint may have run it.
func (o Outcome) MayHaveRun() bool { return o != NotRun && o != Unsent }

// The kinds of entries.
const (
	entryStart    = 1 // chain, number of the file in it, from 1
	entryDocument = 2 // version, the certificates as they were put
	entryBegun    = 3 // key, run
	entryEnded    = 4 // key, when, outcome
)

// key names a run: the proxy, its life, and a number that grows by one a run.
type key struct {
	proxy  string
	life   uint64
	number uint64
}

func (k key) String() string { return fmt.Sprintf("%s/%x/%d", k.proxy, k.life, k.number) }

func (k key) append(w *link.Writer) {
	w.String(k.proxy)
	w.U64(k.life)
	w.U64(k.number)
}

func readKey(r *link.Reader) key { return key{r.String(), r.U64(), r.U64()} }

func begunEntry(k key, run Run) []byte {
	w := link.Writer{}
	w.U8(entryBegun)
	k.append(&w)
	w.String(run.ID)
	w.String(run.Route)
	w.String(run.Regime)
	w.String(run.Endpoint)
	w.U64(run.Version)
	w.Bool(run.Item)
	w.Bool(run.Repeatable)
	w.String(run.After)
	w.Int(int(run.Begun.UnixNano()))
	return w.B
}

func readRun(r *link.Reader) Run {
	return Run{ID: r.String(), Route: r.String(), Regime: r.String(), Endpoint: r.String(), Version: r.U64(), Item: r.Bool(),
		Repeatable: r.Bool(), After: r.String(), Begun: time.Unix(0, int64(r.Int())).UTC()}
}

func endedEntry(k key, at time.Time, o Outcome) []byte {
	w := link.Writer{}
	w.U8(entryEnded)
	k.append(&w)
	w.Int(int(at.UnixNano()))
	w.U8(uint8(o))
	return w.B
}

func documentEntry(version uint64, raw []byte) []byte {
	w := link.Writer{}
	w.U8(entryDocument)
	w.U64(version)
	w.Bytes(raw)
	return w.B
}

func startEntry(chain, number uint64) []byte {
	w := link.Writer{}
	w.U8(entryStart)
	w.U64(chain)
	w.U64(number)
	return w.B
}

// sum is the hash of a record: of the hash of the one before and its entry.
type sum [sha256.Size]byte

var errChain = errors.New("the record does not hold the hash of the one before")

// chained is a record as it stands in a file: the hash of the one before, then the entry.
func chained(before sum, entry []byte) (record []byte, next sum) {
	record = append(append(make([]byte, 0, len(before)+len(entry)), before[:]...), entry...)
	return record, sha256.Sum256(record)
}

// unchain takes an entry out of a record, which has to hold the hash of the one before.
func unchain(before sum, record []byte) (entry []byte, next sum, err error) {
	if len(record) <= len(before) || sum(record[:len(before)]) != before {
		return nil, before, errChain
	}
	return record[len(before):], sha256.Sum256(record), nil
}
