package keeper

import (
	"crypto/sha256"
	"net/http"

	"github.com/zeebo/errs"

	"dunetide/internal/certify"
	"dunetide/internal/link"
)

// Names of the registers.
const (
	configRegister       = "config"
	tableRegister        = "lots"
	certificatesRegister = "certificates"
)

// digestsMost is how many versions are known to have been taken, the newest ones.
const digestsMost = 1024

// Errors of operators' calls. Their messages name the remedy.
var (
	ErrInvalid = errs.Class("invalid configuration")
	ErrVersion = errs.Class("another version is in place")
)

// documentKind is one of the documents that operators put.
type documentKind struct {
	register, path string
	invalid        *errs.Class
}

var (
	configDocument       = documentKind{configRegister, "/config", &ErrInvalid}
	certificatesDocument = documentKind{certificatesRegister, certificatesPath, &certify.Invalid}
)

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

// put decides on a document that builds on a version. Where next is nil and err too, this very
// document was taken before.
func (v *document) put(raw []byte, version, base uint64, of documentKind) (next *document, err error) {
	digest := sha256.Sum256(raw)
	for _, t := range v.past {
		if t.version == version && t.digest == digest {
			return nil, nil
		}
	}
	if base != v.version {
		return nil, ErrVersion.New("%d is in place and If-Match names %d: read %s and build on that", v.version, base, of.path)
	}
	if version <= v.version {
		return nil, of.invalid.New("version: %d is not above %d, which is in place: take a higher number", version, v.version)
	}
	past := append(append([]taken(nil), v.past...), taken{version, digest})
	if len(past) > digestsMost {
		past = past[len(past)-digestsMost:]
	}
	return &document{version: version, raw: raw, past: past}, nil
}

// statusOf is the answer that an error means to an operator.
func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case ErrInvalid.Has(err), certify.Invalid.Has(err):
		return http.StatusBadRequest
	case ErrVersion.Has(err):
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
