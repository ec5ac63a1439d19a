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

// maxRememberedVersions is how many accepted versions of a document are remembered with their digests.
const maxRememberedVersions = 1024

// minAcceptedBytes bounds the encoded size of an accepted version from below.
const minAcceptedBytes = 12

// Errors of the calls that put a document. Their messages name the remedy.
var (
	// ErrInvalid says that a configuration can't be put in force: 400.
	ErrInvalid = errs.Class("invalid configuration")
	// ErrVersion says that the version that a document builds on isn't in force: 412.
	ErrVersion = errs.Class("another version is in place")
	// ErrForgotten says that a version is older than all that are remembered, so it is unknown whether it was
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

// documentPut is an operator's request to put a document in force on top of the version that it names. Requests with
// the same version, base and bytes are the same request, however often and to whichever keeper they are sent.
type documentPut struct {
	version, base uint64
	raw           []byte
}

// acceptedVersion is a version that is or was in force.
type acceptedVersion struct {
	version uint64
	digest  [sha256.Size]byte // of the document's bytes
}

// document is the value of a register that holds a document. Its versions strictly rise.
type document struct {
	version  uint64            // 0: none was put yet
	raw      []byte            // as the operator sent it
	accepted []acceptedVersion // the newest ones, oldest first, with the one in force
}

// encode is the register's value, which goes to disk and to other keepers.
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

// decodeDocument reads a register's value. An empty one is version 0.
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

// put decides on a request. If next is nil without an error, this very document was accepted before. An error is final
// for the request: it was never accepted and never will be, but for ErrForgotten. docs/orders.md has the reasons.
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

// hasAccepted reports whether a document is remembered to be or have been in force.
func (d *document) hasAccepted(version uint64, digest [sha256.Size]byte) bool {
	return slices.Contains(d.accepted, acceptedVersion{version, digest})
}

// acceptedAs returns the version under which a document with a digest was accepted, if it is remembered.
func (d *document) acceptedAs(digest [sha256.Size]byte) (version uint64, ok bool) {
	at := slices.IndexFunc(d.accepted, func(a acceptedVersion) bool { return a.digest == digest })
	if at < 0 {
		return 0, false
	}
	return d.accepted[at].version, true
}

// mayHaveForgotten reports whether a version would no longer be remembered, had it been accepted. Versions only rise,
// so those that were dropped are below the oldest that is left.
func (d *document) mayHaveForgotten(version uint64, maxRemembered int) bool {
	return len(d.accepted) >= maxRemembered && version < d.accepted[0].version
}

// change is the request as a change of its register. It is called with the decided state that the next one will follow.
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

// putStatus is the HTTP status of a request that ended with an error. Only what the register's decided state says is a
// rejection; after any other error the request may have been accepted, or may be yet, and is answered 503.
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
