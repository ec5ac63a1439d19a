package link

import (
	"encoding/binary"
	"errors"
)

// ErrTruncated is returned for a message that ends before all of its fields have been read: its sender runs another
// version.
var ErrTruncated = errors.New("a message that is too short: both sides must run the same version")

// Writer encodes the fields of a message in sequence: numbers in big endian, strings and byte slices with a length
// prefix of 4 bytes. Its zero value is ready to use.
type Writer struct {
	// Buf is the encoded message.
	Buf []byte
}

// U8 appends a number in 1 byte.
func (w *Writer) U8(v uint8) { w.Buf = append(w.Buf, v) }

// U32 appends a number in 4 bytes.
func (w *Writer) U32(v uint32) { w.Buf = binary.BigEndian.AppendUint32(w.Buf, v) }

// U64 appends a number in 8 bytes.
func (w *Writer) U64(v uint64) { w.Buf = binary.BigEndian.AppendUint64(w.Buf, v) }

// Int appends a signed number in 8 bytes, in two's complement.
func (w *Writer) Int(v int) { w.U64(uint64(int64(v))) }

// Bool appends 1 byte: 1 for true, 0 for false.
func (w *Writer) Bool(v bool) {
	if v {
		w.U8(1)
	} else {
		w.U8(0)
	}
}

// String appends the length and the bytes of a string.
func (w *Writer) String(s string) {
	w.U32(uint32(len(s)))
	w.Buf = append(w.Buf, s...)
}

// Bytes appends the length and the bytes of a slice.
func (w *Writer) Bytes(b []byte) {
	w.U32(uint32(len(b)))
	w.Buf = append(w.Buf, b...)
}

// Reader decodes the fields of a message in the order in which a Writer encoded them. The first incomplete field sets
// Err to ErrTruncated; it and all later fields read as zero values, so that a caller can check Err once, at the end.
type Reader struct {
	// Buf is the unread rest of the message.
	Buf []byte
	// Err is nil or ErrTruncated.
	Err error
}

// next consumes size bytes of the message; nil: the message is shorter.
func (r *Reader) next(size int) []byte {
	if r.Err != nil || size < 0 || len(r.Buf) < size {
		r.Err = ErrTruncated
		return nil
	}
	field := r.Buf[:size:size]
	r.Buf = r.Buf[size:]
	return field
}

// U8 reads a number of 1 byte.
func (r *Reader) U8() uint8 {
	if field := r.next(1); field != nil {
		return field[0]
	}
	return 0
}

// U32 reads a number of 4 bytes.
func (r *Reader) U32() uint32 {
	if field := r.next(4); field != nil {
		return binary.BigEndian.Uint32(field)
	}
	return 0
}

// U64 reads a number of 8 bytes.
func (r *Reader) U64() uint64 {
	if field := r.next(8); field != nil {
		return binary.BigEndian.Uint64(field)
	}
	return 0
}

// Int reads a signed number of 8 bytes.
func (r *Reader) Int() int { return int(int64(r.U64())) }

// Bool reads 1 byte; anything but 0 is true.
func (r *Reader) Bool() bool { return r.U8() != 0 }

// String reads a string.
func (r *Reader) String() string { return string(r.next(int(r.U32()))) }

// Bytes reads a byte slice, which shares the message's memory.
func (r *Reader) Bytes() []byte { return r.next(int(r.U32())) }

// Count reads the number of elements of a list, each of which takes at least size bytes. If the rest of the message
// is too short for that many, it sets Err, so that a caller may allocate as many.
func (r *Reader) Count(size int) int {
	count := int(r.U32())
	if r.Err == nil && count*max(size, 1) > len(r.Buf) {
		r.Err = ErrTruncated
	}
	if r.Err != nil {
		return 0
	}
	return count
}
