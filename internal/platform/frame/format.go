// Package frame is the encoding of records in append-only files: a file begins with two copies of a header, and each
// record has a head with its length and checksums. In the keyed form the checksums also cover the record's offset and the
// file's salt, so that a record is valid at one offset of one file only: data that a disk returns from another offset, or
// from an older file, is detected.
//
// The delivery node's journal and the tier's record logs (recordlog) use this encoding. The package does no I/O and keeps
// no state. Golden files of its callers pin the encoding.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// PlainHeadSize is the size of a record's head in the plain form: the length and the checksum of the payload.
	PlainHeadSize = 8
	// KeyedHeadSize is the size of a record's head in the keyed form: the length, its checksum, and that of the payload.
	KeyedHeadSize = 12
	// HeaderSize is the size of a file's header, which is written twice at its beginning.
	HeaderSize = 32
	// HeadersSize is the size of both headers: the offset of the first record.
	HeadersSize = 2 * HeaderSize
	// magic begins each header. It is stored data from the first version on, and contains the delivery node's former
	// name.
	magic = "wingjrnl"
	// Version is the newest version of the format that this program reads.
	Version       = 2
	checkpointBit = 1
	// diskBlock is the size in bytes of the smallest write of a disk.
	diskBlock = 512
)

var (
	// ErrNewer is returned for a file that a newer version of the program has written.
	ErrNewer = errors.New("written by a newer program")
	// ErrTorn is returned for a record that was not written completely: it extends beyond the end of the file, or the
	// file is zero from some point in it to the end. A power loss does that to the last record of a file.
	ErrTorn = errors.New("torn tail")
	// ErrBad is returned for any other damaged record.
	ErrBad = errors.New("a record that does not check")

	errNoHeader = errors.New("both headers are spoilt")
	crcTable    = crc32.MakeTable(crc32.Castagnoli)
)

// Format is the encoding of a file's records. The zero value is the plain form without headers, in which the checksum
// covers only the payload; in the keyed form it also covers the record's offset and the file's salt.
type Format struct {
	// Keyed selects the form whose checksums cover the offset of a record.
	Keyed bool
	// Checkpoint marks a file that holds the state up to its number and replaces the files before it.
	Checkpoint bool
	// Number identifies the file. If the number in the header differs from that in the file's name, the file has a
	// wrong name.
	Number uint64
	// Salt must be random for each file.
	Salt uint64
}

// NewFormat returns the keyed form of a new file. The salt must be random for each file.
func NewFormat(number, salt uint64) Format {
	return Format{Keyed: true, Number: number, Salt: salt}
}

// ReadFormat returns the format that the beginning of a file in the keyed form describes. It fails if both headers
// are damaged, or with ErrNewer if a newer version of the program wrote the file.
func ReadFormat(b []byte) (Format, error) {
	for len(b) >= HeaderSize {
		if f, version, ok := readHeader(b); ok && version > Version {
			return Format{}, ErrNewer
		} else if ok {
			return f, nil
		}
		b = b[HeaderSize:]
	}
	return Format{}, errNoHeader
}

// Header returns the beginning of a file: two copies of the header, so that one may be damaged.
func (f Format) Header() []byte {
	b := append([]byte(nil), magic...)
	b = binary.LittleEndian.AppendUint16(b, Version)
	flags := uint16(0)
	if f.Checkpoint {
		flags = checkpointBit
	}
	b = binary.LittleEndian.AppendUint16(b, flags)
	b = binary.LittleEndian.AppendUint64(b, f.Number)
	b = binary.LittleEndian.AppendUint64(b, f.Salt)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
	return append(b, b...)
}

// readHeader decodes one of the two headers, and returns false if it is damaged.
func readHeader(b []byte) (f Format, version uint16, ok bool) {
	if len(b) < HeaderSize || string(b[:len(magic)]) != magic {
		return Format{}, 0, false
	}
	sum := binary.LittleEndian.Uint32(b[HeaderSize-4:])
	if crc32.Checksum(b[:HeaderSize-4], crcTable) != sum {
		return Format{}, 0, false
	}
	flags := binary.LittleEndian.Uint16(b[10:])
	return Format{Keyed: true, Checkpoint: flags&checkpointBit != 0, Number: binary.LittleEndian.Uint64(b[12:]),
		Salt: binary.LittleEndian.Uint64(b[20:])}, binary.LittleEndian.Uint16(b[8:]), true
}

// DetectFormat returns the Format of a segment and the offset of its first record, which is 0 in the plain form. If one
// header is damaged, it also returns an error. If the segment is unusable, the offset is 0 and the error is set.
func DetectFormat(data []byte, number uint64) (f Format, at int, err error) {
	one, version, ok := readHeader(data)
	two, version2, ok2 := Format{}, uint16(0), false
	if len(data) > HeaderSize {
		two, version2, ok2 = readHeader(data[HeaderSize:])
	}
	if !ok && !ok2 {
		if begun := data[:min(len(data), HeadersSize)]; len(begun) < HeadersSize && looksLikeHeader(begun) || len(data) > 0 && zeros(data) {
			return Format{Keyed: true, Number: number}, 0, ErrTorn // its header was not written completely
		} else if looksLikeHeader(begun) {
			return Format{Keyed: true, Number: number}, 0, errNoHeader
		}
		return Format{}, 0, nil
	}
	if !ok {
		one, version = two, version2
	}
	switch {
	case version > Version:
		return one, 0, fmt.Errorf("%w: format %d, this one reads up to %d", ErrNewer, version, Version)
	case one.Number != number:
		return one, 0, fmt.Errorf("it carries the number %d", one.Number)
	case len(data) < HeadersSize && ok:
		return one, 0, ErrTorn
	case !ok || !ok2 || version2 != version:
		return one, HeadersSize, errors.New("one of its headers is spoilt")
	}
	return one, HeadersSize, nil
}

// looksLikeHeader reports whether a segment was probably written with headers: the beginning of either header matches the
// magic, as far as it is present, in all but two bytes.
func looksLikeHeader(data []byte) bool {
	like := func(b []byte) bool {
		n := min(len(b), len(magic))
		same := 0
		for i := range n {
			if b[i] == magic[i] {
				same++
			}
		}
		return n > 0 && same >= max(1, n-2)
	}
	return like(data) || len(data) > HeaderSize && like(data[HeaderSize:])
}

// zeros reports whether all bytes are zero.
func zeros(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}

// keyedSum returns a checksum of bytes that depends on their offset and on the file's salt.
func (f Format) keyedSum(at int64, b []byte) uint32 {
	key := binary.LittleEndian.AppendUint64(nil, f.Salt)
	key = binary.LittleEndian.AppendUint64(key, uint64(at))
	return crc32.Update(crc32.Checksum(key, crcTable), crcTable, b)
}

// AppendRecord appends the encoding of a record at offset at of the segment.
func (f Format) AppendRecord(b, payload []byte, at int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	if !f.Keyed {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, crcTable))
		return append(b, payload...)
	}
	b = binary.LittleEndian.AppendUint32(b, f.keyedSum(at, b[len(b)-4:]))
	b = binary.LittleEndian.AppendUint32(b, f.keyedSum(at, payload))
	return append(b, payload...)
}

// PayloadSize returns the payload length of the record whose head is at an offset, and whether the checksum of the
// head is valid. It is for the keyed form.
func (f Format) PayloadSize(head []byte, at int64) (n int64, ok bool) {
	ok = f.keyedSum(at, head[:4]) == binary.LittleEndian.Uint32(head[4:])
	return int64(binary.LittleEndian.Uint32(head)), ok
}

// Matches reports whether a payload matches the head of a record at an offset. It is for the keyed form.
func (f Format) Matches(head, payload []byte, at int64) bool {
	return f.keyedSum(at, payload) == binary.LittleEndian.Uint32(head[8:])
}

// HeadSize returns the size of a record's head.
func (f Format) HeadSize() int {
	if f.Keyed {
		return KeyedHeadSize
	}
	return PlainHeadSize
}

// Record returns the payload of the record at an offset, and the offset of the next one. If the record is damaged,
// next is where the next record should be, or 0 if that is unknown; FindNext finds the offset to continue from.
func (f Format) Record(data []byte, at int) (payload []byte, next int, err error) {
	rest, head := data[at:], f.HeadSize()
	if len(rest) < head {
		return nil, 0, ErrTorn
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	if f.Keyed {
		if f.keyedSum(int64(at), rest[:4]) != binary.LittleEndian.Uint32(rest[4:]) {
			if tornAt(data, at, len(data)) {
				return nil, 0, ErrTorn
			}
			return nil, 0, ErrBad
		}
	}
	if size > int64(len(rest)-head) {
		return nil, 0, ErrTorn
	}
	next = at + head + int(size)
	payload = rest[head : head+int(size)]
	sum := binary.LittleEndian.Uint32(rest[head-4:])
	switch {
	case size == 0: // zeros would have a valid checksum in the plain form
		return nil, 0, ErrBad
	case f.Keyed && f.keyedSum(int64(at), payload) != sum:
		if tornAt(data, at, next) {
			return nil, 0, ErrTorn
		}
		return nil, next, ErrBad
	case !f.Keyed && crc32.Checksum(payload, crcTable) != sum:
		return nil, next, ErrBad
	}
	return payload, next, nil
}

// tornAt reports whether a power loss interrupted the write of the record from at to end: the file is zero from the
// beginning of some disk block within the record to its end.
func tornAt(data []byte, at, end int) bool {
	last := len(data)
	for last > at && data[last-1] == 0 {
		last--
	}
	block := (last + diskBlock - 1) / diskBlock * diskBlock
	return last == at || block < end && block < len(data)
}

// FindNext returns the offset of the next valid record after a damaged one, or -1 if there is none. In the plain form
// only the offset next is tried, because a client's data might look like a record elsewhere.
func (f Format) FindNext(data []byte, at, next int) int {
	if !f.Keyed {
		if next > 0 && next < len(data) {
			if _, _, err := f.Record(data, next); err == nil {
				return next
			}
		}
		return -1
	}
	for at++; at+KeyedHeadSize < len(data); at++ {
		if _, _, err := f.Record(data, at); err == nil {
			return at
		}
	}
	return -1
}
