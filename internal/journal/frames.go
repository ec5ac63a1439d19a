package journal

import (
	"encoding/binary"
	"errors"
)

const (
	// FrameHead is how many bytes stand before the payload of a record of Frames.
	FrameHead = keyedHead
	// FramesHeader is how many bytes stand before the first record.
	FramesHeader = headers
)

var errNoHeader = errors.New("both headers are spoilt")

// Frames is the form of records whose checksums hold in one place of one file only, for files
// other than the journal's segments.
type Frames struct{ f format }

// NewFrames is the form of a file that carries a number. Salt is drawn at random for each file.
func NewFrames(number, salt uint64) Frames {
	return Frames{format{keyed: true, number: number, salt: salt}}
}

// ReadFrames reads what a file begins with. One of its two headers may be spoilt.
func ReadFrames(b []byte) (Frames, error) {
	for len(b) >= headerSize {
		if f, version, ok := readHeader(b); ok && version > formatVersion {
			return Frames{}, ErrNewer
		} else if ok {
			return Frames{f}, nil
		}
		b = b[headerSize:]
	}
	return Frames{}, errNoHeader
}

// Number is the number that the file carries.
func (f Frames) Number() uint64 { return f.f.number }

// Header begins the file.
func (f Frames) Header() []byte { return f.f.header() }

// Append appends a record as it stands at a place of the file.
func (f Frames) Append(b, payload []byte, at int64) []byte { return f.f.frame(b, payload, at) }

// Len is how long the payload is of the record that a head begins; ok tells whether that checks.
func (f Frames) Len(head []byte, at int64) (n int64, ok bool) {
	ok = f.f.keyedSum(at, head[:4]) == binary.LittleEndian.Uint32(head[4:])
	return int64(binary.LittleEndian.Uint32(head)), ok
}

// Checks tells whether the payload is the one that the head was written with.
func (f Frames) Checks(head, payload []byte, at int64) bool {
	return f.f.keyedSum(at, payload) == binary.LittleEndian.Uint32(head[8:])
}
