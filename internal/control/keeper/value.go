package keeper

import (
	"crypto/sha256"
	"net/http"
	"slices"

	"github.com/zeebo/errs"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/certification"
	"dunetide/internal/platform/link"
)

// Names of the registers.
const (
	configRegister       = "config"
	tableRegister        = "lots"
	certificatesRegister = "certificates"
)

// rememberedVersions is how many versions are known to have been taken, the newest ones.
const rememberedVersions = 1024

// Errors of operators' calls. Their messages name the remedy.
var (
	ErrInvalid = errs.Class("invalid configuration")
	ErrVersion = errs.Class("another version is in place")
	// ErrForgotten says that a version is older than all that are remembered: it may have been taken, or not.
	ErrForgotten = errs.Class("too old to tell whether it was taken")
)

// documentKind is one of the documents that operators put.
type documentKind struct {
	register, path string
	invalid        *errs.Class
	remembered     int // versions whose digests are kept
}

var (
	configDocument       = documentKind{configRegister, "/config", &ErrInvalid, rememberedVersions}
	certificatesDocument = documentKind{certificatesRegister, certificatesPath, &certification.Invalid, rememberedVersions}
)

// documentOrder is an operator's order to put a document on top of the version that it names. The same version, base and
// bytes make it the same order, however often and wherever it is sent.
type documentOrder struct {
	version, base uint64
	raw           []byte
}

// taken is a version that was in force.
type taken struct {
	version uint64
	digest  [sha256.Size]byte
}

// document is the state of a register whose value operators put whole, under versions.
type document struct {
	version uint64
	raw     []byte
	past    []taken // oldest first, the version in force last
}

func (v *document) encode() []byte {
	w := link.Writer{}
	w.U64(v.version)
	w.Bytes(v.raw)
	w.U32(uint32(len(v.past)))
	for _, t := range v.past {
		w.U64(t.version)
		w.Bytes(t.digest[:])
	}
	return w.B
}

func readDocument(b []byte) (*document, error) {
	v := &document{}
	if len(b) == 0 {
		return v, nil
	}
	r := link.Reader{B: b}
	v.version, v.raw = r.U64(), r.Bytes()
	for range r.Count(12) {
		t := taken{version: r.U64()}
		copy(t.digest[:], r.Bytes())
		v.past = append(v.past, t)
	}
	return v, r.Err
}

// put decides on an order. Where next is nil and err too, this very document was taken before.
func (v *document) put(o documentOrder, of documentKind) (next *document, err error) {
	digest := sha256.Sum256(o.raw)
	if v.hasTaken(o.version, digest) {
		return nil, nil
	}
	if o.base != v.version {
		if v.mayHaveForgotten(o.version, of.remembered) {
			return nil, ErrForgotten.New("%d is in place and versions below %d are not remembered: read %s", v.version, v.past[0].version, of.path)
		}
		return nil, ErrVersion.New("%d is in place and If-Match names %d: read %s and build on that", v.version, o.base, of.path)
	}
	if o.version <= v.version {
		return nil, of.invalid.New("version: %d is not above %d, which is in place: take a higher number", o.version, v.version)
	}
	past := append(slices.Clone(v.past), taken{o.version, digest})
	past = past[max(0, len(past)-of.remembered):]
	return &document{version: o.version, raw: o.raw, past: past}, nil
}

// hasTaken reports whether a document is remembered to have been in force.
func (v *document) hasTaken(version uint64, digest [sha256.Size]byte) bool {
	return slices.Contains(v.past, taken{version, digest})
}

// mayHaveForgotten reports whether a version would no longer be remembered, had it been taken. Versions only rise, so those
// that were dropped are below the oldest that is left.
func (v *document) mayHaveForgotten(version uint64, remembered int) bool {
	return len(v.past) >= remembered && version < v.past[0].version
}

// change is the order as a change of its register. It is called with the decided State that the next one will follow, so its
// error is final: versions only rise, and a base that has passed does not come back.
func (o documentOrder) change(of documentKind) func(cur paxos.State) (paxos.State, error) {
	return func(cur paxos.State) (paxos.State, error) {
		v, err := readDocument(cur.Value)
		if err != nil {
			return cur, err
		}
		next, err := v.put(o, of)
		if err != nil {
			return cur, err
		}
		if next == nil {
			return cur, paxos.ErrUnchanged
		}
		cur.Value = next.encode()
		return cur, nil
	}
}

// statusOf is the answer that an error means to an operator. Only what the register's decided state says is a refusal; all
// else may have been taken, or may be yet, and is 503.
func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case ErrInvalid.Has(err), certification.Invalid.Has(err):
		return http.StatusBadRequest
	case ErrVersion.Has(err):
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
