// Package replica keeps copies of what a delivery node has taken on at other nodes of its fleet. Its
// page is docs/copies.md.
//
// What decides is pure and stepped: Entry (a message as copies have it, and how two that differ become
// one), Source (a log at the node that works on it, and what its copies still lack), Copy (a log at
// another node). Keeper runs them over a fleet.Net, leases and folders. It imports internal/fleet for
// the links, internal/lease for who may work on a log, and internal/journal for the disk.
package replica

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxTenures bounds how many holders of its log a message may have had. Its life is some seconds, a
	// take-over waits for longer than that; of more, the oldest are folded together.
	maxTenures = 8
	// rangeSize is how many numbers of messages have a digest in common.
	rangeSize = 32
)

// How a message has ended.
const (
	Runs       = iota
	GivenUp    // the platform is to be told
	HandedBack // the same, and its client may come again
)

// Entry is a message as its copies have it: what was taken, which never changes, and what was done to
// it, by tenure.
type Entry struct {
	Seq      uint64   `cbor:"1,keyasint"`
	ID       string   `cbor:"2,keyasint,omitempty"`
	Key      string   `cbor:"3,keyasint,omitempty"`
	Class    int      `cbor:"4,keyasint,omitempty"`
	Dest     int      `cbor:"5,keyasint,omitempty"`
	Deadline int64    `cbor:"6,keyasint,omitempty"` // Unix microseconds
	Body     []byte   `cbor:"7,keyasint,omitempty"`
	Bare     bool     `cbor:"8,keyasint,omitempty"` // Key to Body are left out: whoever gets it has them
	Tenures  []Tenure `cbor:"9,keyasint"`           // by token, each once
}

// Tenure is what was done to a message under one token, that is, by one holder of its log. Only that
// holder writes it, and numbers what it writes.
type Tenure struct {
	Token    uint64 `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	Base     int    `cbor:"3,keyasint,omitempty"` // attempts that its holder knew of when it began
	Attempts int    `cbor:"4,keyasint,omitempty"` // begun in it
	Settled  bool   `cbor:"5,keyasint,omitempty"` // a finished attempt may have run
	Out      bool   `cbor:"6,keyasint,omitempty"` // the last one has no outcome yet
	MayRun   bool   `cbor:"7,keyasint,omitempty"`
	RanAt    int64  `cbor:"8,keyasint,omitempty"` // when the first that may have run was begun; Unix microseconds
	RanZone  int    `cbor:"9,keyasint,omitempty"`
	End      int    `cbor:"10,keyasint,omitempty"`
	RetryMs  int64  `cbor:"11,keyasint,omitempty"`
}

// Past is what a message has behind it, over all tenures.
type Past struct {
	Attempts int
	MayRun   bool
	RanAt    int64
	RanZone  int
	End      int
	RetryMs  int64
}

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 17,
		MaxMapPairs: 1 << 15, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return v
}

// compare orders tenures of one token: the later version, and where a spoilt copy has another text
// under the same one, whichever way, as long as all choose alike.
func (t Tenure) compare(o Tenure) int {
	if c := cmp.Compare(t.Version, o.Version); c != 0 {
		return c
	}
	return bytes.Compare(must(encoding.Marshal(t)), must(encoding.Marshal(o)))
}

// mergeTenures is the union by token, of each the later. It is commutative, associative and idempotent.
func mergeTenures(a, b []Tenure) (all []Tenure) {
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Token < b[0].Token:
			all, a = append(all, a[0]), a[1:]
		case len(a) == 0 || b[0].Token < a[0].Token:
			all, b = append(all, b[0]), b[1:]
		default:
			t := a[0]
			if t.compare(b[0]) < 0 {
				t = b[0]
			}
			all, a, b = append(all, t), a[1:], b[1:]
		}
	}
	return all
}

// taken compares what was taken, which differs only where a copy is spoilt.
func (e Entry) taken() []byte {
	e.Tenures, e.Bare = nil, false
	return must(encoding.Marshal(e))
}

// Merge makes one of two entries of the same message. It is commutative, associative and idempotent:
// taken if either has it, each tenure as its holder wrote it last.
func Merge(a, b Entry) Entry {
	out := a
	switch {
	case a.Bare && !b.Bare:
		out = b
	case a.Bare == b.Bare && bytes.Compare(a.taken(), b.taken()) < 0:
		out = b
	}
	out.Tenures = mergeTenures(a.Tenures, b.Tenures)
	return out
}

// Past folds the tenures, the earliest first: the number of attempts is that of all, what may have run
// in any may have run, and an attempt that its holder saw no end of is one of these. The first end stands.
func (e Entry) Past() (p Past) {
	for _, t := range e.Tenures {
		p.Attempts = max(p.Attempts, t.Base) + t.Attempts
		if t.MayRun || t.Out || t.Settled {
			if !p.MayRun || t.RanAt < p.RanAt {
				p.RanAt, p.RanZone = t.RanAt, t.RanZone
			}
			p.MayRun = true
		}
		if p.End == Runs && t.End != Runs {
			p.End, p.RetryMs = t.End, t.RetryMs
		}
	}
	return p
}

// tenure is what was done under a token.
func (e Entry) tenure(token uint64) (t Tenure, ok bool) {
	i := slices.IndexFunc(e.Tenures, func(t Tenure) bool { return t.Token == token })
	if i < 0 {
		return t, false
	}
	return e.Tenures[i], true
}

// under is the entry as one holder wrote it: what is compared between it and a copy.
func (e Entry) under(token uint64) (Entry, bool) {
	t, ok := e.tenure(token)
	e.Tenures = []Tenure{t}
	return e, ok
}

// digest is of what one holder wrote of a message.
func (e Entry) digest() uint64 { return xxhash.Sum64(must(encoding.Marshal(e))) }

// fold keeps an entry's tenures to their bound: the oldest become one.
func (e Entry) fold() Entry {
	if len(e.Tenures) <= maxTenures {
		return e
	}
	old := e.Tenures[:len(e.Tenures)-maxTenures+1]
	p, last := Entry{Tenures: old}.Past(), old[len(old)-1]
	last.Base = p.Attempts - last.Attempts
	last.Settled, last.MayRun, last.RanAt, last.RanZone, last.End, last.RetryMs = p.MayRun, p.MayRun, p.RanAt, p.RanZone, p.End, p.RetryMs
	e.Tenures = append([]Tenure{last}, e.Tenures[len(old):]...)
	return e
}
