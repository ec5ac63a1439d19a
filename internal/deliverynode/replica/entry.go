// Package replica replicates the log of a delivery node, that is the messages it has accepted, to other nodes of its fleet.
// docs/copies.md describes it.
//
// The decisions are made by types without clock, goroutine or socket: Entry is a message in a replica, and defines how two
// versions of it are merged; Source is the log at the node that works on it, and tracks what its replicas lack; Copy is a
// replica at another node. Keeper runs them over a fleet.Net and folders; a lease decides which node works on a log.
package replica

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// maxTenures is the most tenures of an entry. There are rarely several, because a message is outstanding for some seconds
	// and a takeover happens only after a longer silence. If there are more, the oldest are merged into one.
	maxTenures = 8
	// rangeSize is the number of messages that one digest covers.
	rangeSize = 32
)

// Values of Tenure.End.
const (
	Runs       = iota // delivery has not ended
	GivenUp           // delivery has failed, and the platform must be notified
	HandedBack        // as GivenUp, and the client may submit the message again
)

// Entry is a message in a replica: its content, which never changes, and the state of its delivery by tenure.
type Entry struct {
	Seq      uint64   `cbor:"1,keyasint"`
	ID       string   `cbor:"2,keyasint,omitempty"`
	Key      string   `cbor:"3,keyasint,omitempty"`
	Class    int      `cbor:"4,keyasint,omitempty"`
	Dest     int      `cbor:"5,keyasint,omitempty"`
	Deadline int64    `cbor:"6,keyasint,omitempty"` // Unix microseconds
	Body     []byte   `cbor:"7,keyasint,omitempty"`
	Bare     bool     `cbor:"8,keyasint,omitempty"` // Key to Body are omitted, because the receiver has them
	Tenures  []Tenure `cbor:"9,keyasint"`           // sorted by token, one for each
}

// Tenure is the state of a message's delivery under one token, that is, by one holder of its log. Only that holder writes
// it, and it numbers the versions.
type Tenure struct {
	Token    uint64 `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint"`
	Base     int    `cbor:"3,keyasint,omitempty"` // number of attempts recorded when the tenure began
	Attempts int    `cbor:"4,keyasint,omitempty"` // number of attempts begun in this tenure
	Settled  bool   `cbor:"5,keyasint,omitempty"` // a finished attempt may have run
	Out      bool   `cbor:"6,keyasint,omitempty"` // the last attempt has no outcome yet
	MayRun   bool   `cbor:"7,keyasint,omitempty"`
	RanAt    int64  `cbor:"8,keyasint,omitempty"` // when the first attempt that may have run began; Unix microseconds
	RanZone  int    `cbor:"9,keyasint,omitempty"`
	End      int    `cbor:"10,keyasint,omitempty"`
	RetryMs  int64  `cbor:"11,keyasint,omitempty"`
}

// Past is the state of a message's delivery over all tenures.
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

// compare orders the versions of a tenure. If a damaged replica has different content under the same version, the order is
// arbitrary but the same at all nodes.
func (t Tenure) compare(o Tenure) int {
	if c := cmp.Compare(t.Version, o.Version); c != 0 {
		return c
	}
	return bytes.Compare(must(encoding.Marshal(t)), must(encoding.Marshal(o)))
}

// mergeTenures returns the union of two lists, with the later version of each tenure. It is commutative, associative and
// idempotent.
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

// content returns the encoded content of an entry, without tenures. It differs between replicas only if one is damaged.
func (e Entry) content() []byte {
	e.Tenures, e.Bare = nil, false
	return must(encoding.Marshal(e))
}

// Merge merges two entries of one message: the content, if either has it, and the latest version of each tenure. It is
// commutative, associative and idempotent.
func Merge(a, b Entry) Entry {
	out := a
	switch {
	case a.Bare && !b.Bare:
		out = b
	case a.Bare == b.Bare && bytes.Compare(a.content(), b.content()) < 0:
		out = b
	}
	out.Tenures = mergeTenures(a.Tenures, b.Tenures)
	return out
}

// Past combines the tenures, the earliest first: it counts the attempts of all, and the message may have run if it may have
// run in any tenure, or if an attempt has no outcome. The first end counts.
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

// tenure returns the tenure of a token.
func (e Entry) tenure(token uint64) (t Tenure, ok bool) {
	i := slices.IndexFunc(e.Tenures, func(t Tenure) bool { return t.Token == token })
	if i < 0 {
		return t, false
	}
	return e.Tenures[i], true
}

// under returns the entry with only the tenure of one token, the form that a holder compares with its replicas.
func (e Entry) under(token uint64) (Entry, bool) {
	t, ok := e.tenure(token)
	e.Tenures = []Tenure{t}
	return e, ok
}

// digest returns a checksum of the content and the tenure of one token.
func (e Entry) digest() uint64 { return xxhash.Sum64(must(encoding.Marshal(e))) }

// mergeOldest merges the oldest tenures of an entry into one if there are more than maxTenures.
func (e Entry) mergeOldest() Entry {
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
