package link

import (
	"encoding/binary"
	"errors"
)

// ErrShort says that a message ends before what it should hold: its sender runs another version.
var ErrTruncated = errors.New("a message that is too short: both sides must run the same version")

// Writer appends the fields of a message, big endian, strings and bytes with their length before them.
type Writer struct{ Buf []byte }

func (w *Writer) U8(v uint8)   { w.Buf = append(w.Buf, v) }
func (w *Writer) U32(v uint32) { w.Buf = binary.BigEndian.AppendUint32(w.Buf, v) }
func (w *Writer) U64(v uint64) { w.Buf = binary.BigEndian.AppendUint64(w.Buf, v) }
func (w *Writer) Int(v int)    { w.U64(uint64(int64(v))) }
func (w *Writer) Bool(v bool) {
	if v {
		w.U8(1)
	} else {
		w.U8(0)
	}
}
func (w *Writer) String(s string) { w.U32(uint32(len(s))); w.Buf = append(w.Buf, s...) }
func (w *Writer) Bytes(b []byte)  { w.U32(uint32(len(b))); w.Buf = append(w.Buf, b...) }

// Reader takes them off again. After the first field that is not there, Err is set and all is zero.
type Reader struct {
	Buf []byte
	Err error
}

func (r *Reader) take(n int) []byte {
	if r.Err != nil || n < 0 || len(r.Buf) < n {
		r.Err = ErrTruncated
		return nil
	}
	b := r.Buf[:n:n]
	r.Buf = r.Buf[n:]
	return b
}

func (r *Reader) U8() uint8 {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *Reader) U32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *Reader) U64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *Reader) Int() int       { return int(int64(r.U64())) }
func (r *Reader) Bool() bool     { return r.U8() != 0 }
func (r *Reader) String() string { return string(r.take(int(r.U32()))) }

// Bytes shares the message's memory.
func (r *Reader) Bytes() []byte { return r.take(int(r.U32())) }

// Count reads a number of elements of at least size bytes each; more than can be there is ErrShort.
func (r *Reader) Count(size int) int {
	n := int(r.U32())
	if r.Err == nil && n*max(size, 1) > len(r.Buf) {
		r.Err = ErrTruncated
	}
	if r.Err != nil {
		return 0
	}
	return n
}
