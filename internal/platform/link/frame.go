package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// Kinds of frames used by the link itself.
const (
	kindReply Kind = 250 // the reply to a call; its body is the caller's
	kindError Kind = 251 // the error of a call; its body is the error text
	kindProbe Kind = 252 // a probe, which shows that the sender is alive
)

// Encoding of a frame, numbers big endian:
//
//	4 bytes  length of the rest
//	1 byte   kind
//	4 bytes  number of the call; 0: a one-way message
//	n bytes  body
const (
	lengthSize = 4
	// frameOverhead is the part of the length that is not the body.
	frameOverhead = 1 + 4
	headerSize    = lengthSize + frameOverhead
	// maxFrame is the maximum size of a frame, in bytes.
	maxFrame = 16 << 20
	// MaxBody is the maximum size of the body of a message, a call or a reply, in bytes.
	MaxBody = maxFrame - headerSize
	// initialBody limits the memory that is allocated for a body before its bytes have arrived.
	initialBody = 256 << 10
	readBuffer  = 4 << 10
)

// ErrTooLong is returned for a message with a body of more than MaxBody bytes, of which nothing was sent.
var ErrTooLong = errors.New("frame length out of bounds")

// appendFrame appends the encoding of a frame.
func appendFrame(b []byte, kind Kind, call uint32, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(frameOverhead+len(body)))
	b = append(b, byte(kind))
	b = binary.BigEndian.AppendUint32(b, call)
	return append(b, body...)
}

// frame is a decoded frame.
type frame struct {
	kind Kind
	call uint32
	body []byte // nil: empty
}

// frameReader reads frames one after the other.
type frameReader struct {
	source *bufio.Reader
	header [headerSize]byte
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, readBuffer)}
}

// next reads a frame. It fails with ErrTooLong if the length is out of bounds.
func (r *frameReader) next() (frame, error) {
	if _, err := io.ReadFull(r.source, r.header[:]); err != nil {
		return frame{}, err
	}
	size := int(binary.BigEndian.Uint32(r.header[:])) - frameOverhead
	if size < 0 || size > MaxBody {
		return frame{}, ErrTooLong
	}
	f := frame{
		kind: Kind(r.header[lengthSize]),
		call: binary.BigEndian.Uint32(r.header[lengthSize+1:]),
	}
	if size == 0 {
		return f, nil
	}
	var err error
	f.body, err = readBody(r.source, size)
	return f, err
}

// readBody reads a body. The buffer grows with the bytes that have arrived, so that a peer can't claim much memory
// with a header alone.
func readBody(source io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, initialBody))
	for read := 0; ; {
		if _, err := io.ReadFull(source, body[read:]); err != nil {
			return nil, err
		}
		read = len(body)
		if read == size {
			return body, nil
		}
		larger := make([]byte, min(size, 4*read))
		copy(larger, body)
		body = larger
	}
}
