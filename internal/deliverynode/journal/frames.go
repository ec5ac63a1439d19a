package journal

import (
	"encoding/binary"
	"errors"
)

const (
	// FrameHead is the number of bytes before the payload of a record.
	FrameHead = keyedHead
	// FramesHeader is the number of bytes before the first record of a file.
	FramesHeader = headers
)

var errNoHeader = errors.New("both headers are spoilt")

// Frames encodes records whose checksums are valid at one place of one file only. It is for files other than the
// journal's segments.
type Frames struct{ format format }

// NewFrames returns the encoding of a new file with a number. Salt must be drawn at random for each file.
func NewFrames(number, salt uint64) Frames {
	return Frames{format{keyed: true, number: number, salt: salt}}
}

// ReadFrames returns the encoding that the beginning of a file describes. It fails if both headers are damaged, or with
// ErrNewer if a newer program wrote the file.
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

// Number returns the number of the file.
func (f Frames) Number() uint64 { return f.format.number }

// Header returns the beginning of the file, FramesHeader bytes.
func (f Frames) Header() []byte { return f.format.header() }

// Append appends the encoding of a record for the offset at in the file.
func (f Frames) Append(b, payload []byte, at int64) []byte { return f.format.frame(b, payload, at) }

// Len returns the length of the payload of the record with a head at an offset, and whether the head is sound.
func (f Frames) Len(head []byte, at int64) (n int64, ok bool) {
	ok = f.format.keyedSum(at, head[:4]) == binary.LittleEndian.Uint32(head[4:])
	return int64(binary.LittleEndian.Uint32(head)), ok
}

// Checks reports whether a payload belongs to the head of a record at an offset.
func (f Frames) Checks(head, payload []byte, at int64) bool {
	return f.format.keyedSum(at, payload) == binary.LittleEndian.Uint32(head[8:])
}
