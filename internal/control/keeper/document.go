package keeper

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"

	"github.com/zeebo/errs"

	"dunetide/internal/consensus/paxos"
	"dunetide/internal/control/certification"
	"dunetide/internal/platform/link"
)

// maxRememberedVersions is how many accepted versions of a document are kept, each with the digest of its bytes.
const maxRememberedVersions = 1024

// minAcceptedBytes is a lower bound on the encoded size of an accepted version.
const minAcceptedBytes = 12

// Errors of the calls that put a document. Their messages include the remedy.
var (
	// ErrInvalid is the class of errors of an invalid configuration: 400.
	ErrInvalid = errs.Class("invalid configuration")
	// ErrVersion reports that the base version of a document isn't the one in force: 412.
	ErrVersion = errs.Class("another version is in place")
	// ErrForgotten reports that a version is older than all remembered ones, so it is unknown whether it was
	// accepted: 503.
	ErrForgotten = errs.Class("too old to tell whether it was taken")
)

// documentKind describes one of the documents that operators put.
type documentKind struct {
	register      string
	path          string // of its HTTP calls
	invalid       *errs.Class
	maxRemembered int // accepted versions
}

var (
	configDocument = documentKind{
		register:      configRegister,
		path:          "/config",
		invalid:       &ErrInvalid,
		maxRemembered: maxRememberedVersions,
	}
	certificatesDocument = documentKind{
		register:      certificatesRegister,
		path:          certificatesPath,
		invalid:       &certification.ErrInvalid,
		maxRemembered: maxRememberedVersions,
	}
)

// documentPut is an operator's request to replace the document of version base by a new one. Requests with the same
// version, base and bytes are the same request, no matter how often and to which keepers they are sent.
type documentPut struct {
	version, base uint64
	raw           []byte
}

// acceptedVersion is a version that is or was in force.
type acceptedVersion struct {
	version uint64
	digest  [sha256.Size]byte // of the document's bytes
}

// document is the value of a register that holds a document. Its version strictly increases.
type document struct {
	version  uint64            // 0: no document has been put yet
	raw      []byte            // as the operator sent it
	accepted []acceptedVersion // the newest accepted versions, oldest first, including the one in force
}

// encode returns the value of the register, as stored on disk and sent to other keepers.
func (d *document) encode() []byte {
	w := link.Writer{}
	w.U64(d.version)
	w.Bytes(d.raw)
	w.U32(uint32(len(d.accepted)))
	for _, a := range d.accepted {
		w.U64(a.version)
		w.Bytes(a.digest[:])
	}
	return w.Buf
}

// decodeDocument decodes a register's value. An empty value is version 0.
func decodeDocument(b []byte) (*document, error) {
	d := &document{}
	if len(b) == 0 {
		return d, nil
	}
	r := link.Reader{Buf: b}
	d.version, d.raw = r.U64(), r.Bytes()
	for range r.Count(minAcceptedBytes) {
		a := acceptedVersion{version: r.U64()}
		digest := r.Bytes()
		if r.Err == nil && len(digest) != len(a.digest) {
			return d, fmt.Errorf("the digest of version %d has %d bytes, not %d", a.version, len(digest), len(a.digest))
		}
		copy(a.digest[:], digest)
		d.accepted = append(d.accepted, a)
	}
	return d, r.Err
}

// put accepts or rejects a request. If next and err are nil, the same document was accepted before. An error other than
// ErrForgotten is final: the request was never accepted and never will be. docs/orders.md explains why.
func (d *document) put(request documentPut, kind documentKind) (next *document, err error) {
	digest := sha256.Sum256(request.raw)
	if d.hasAccepted(request.version, digest) {
		return nil, nil
	}
	if request.base != d.version {
		if d.mayHaveForgotten(request.version, kind.maxRemembered) {
			return nil, ErrForgotten.New("%d is in place and versions below %d are not remembered: read %s",
				d.version, d.accepted[0].version, kind.path)
		}
		return nil, ErrVersion.New("%d is in place and If-Match names %d: read %s and build on that",
			d.version, request.base, kind.path)
	}
	if request.version <= d.version {
		return nil, kind.invalid.New("version: %d is not above %d, which is in place: take a higher number",
			request.version, d.version)
	}
	accepted := append(slices.Clone(d.accepted), acceptedVersion{request.version, digest})
	accepted = accepted[max(0, len(accepted)-kind.maxRemembered):]
	return &document{version: request.version, raw: request.raw, accepted: accepted}, nil
}

// hasAccepted reports whether a document is among the remembered accepted versions.
func (d *document) hasAccepted(version uint64, digest [sha256.Size]byte) bool {
	return slices.Contains(d.accepted, acceptedVersion{version, digest})
}

// acceptedAs returns the version under which the document with a digest was accepted, if it is remembered.
func (d *document) acceptedAs(digest [sha256.Size]byte) (version uint64, ok bool) {
	at := slices.IndexFunc(d.accepted, func(a acceptedVersion) bool { return a.digest == digest })
	if at < 0 {
		return 0, false
	}
	return d.accepted[at].version, true
}

// mayHaveForgotten reports whether a version, had it been accepted, may have been dropped since. Versions only
// increase, so the dropped ones are lower than the oldest remembered one.
func (d *document) mayHaveForgotten(version uint64, maxRemembered int) bool {
	return len(d.accepted) >= maxRemembered && version < d.accepted[0].version
}

// change returns the request as a function that computes the next state of the register from the decided one.
func (request documentPut) change(kind documentKind) func(current paxos.State) (paxos.State, error) {
	return func(current paxos.State) (paxos.State, error) {
		d, err := decodeDocument(current.Value)
		if err != nil {
			return current, err
		}
		next, err := d.put(request, kind)
		if err != nil {
			return current, err
		}
		if next == nil {
			return current, paxos.ErrUnchanged
		}
		current.Value = next.encode()
		return current, nil
	}
}

// putStatus maps the result of a request to an HTTP status. Only errors derived from the register's decided state are
// rejections. After any other error the request may have been accepted, or may still be accepted, so the answer is 503.
func putStatus(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case ErrInvalid.Has(err), certification.ErrInvalid.Has(err):
		return http.StatusBadRequest
	case ErrVersion.Has(err):
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
