package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// plainHead is the size of a record's head in the plain form: the length and the checksum of the payload.
	plainHead = 8
	// keyedHead is the size of a record's head in the keyed form: the length, its checksum, and that of the payload.
	keyedHead = 12
	// headerSize is the size of a segment's header, which stands twice at its beginning.
	headerSize = 32
	headers    = 2 * headerSize
	magic      = "wingjrnl"
	// formatVersion is the newest version that this program reads.
	formatVersion = 2
	checkpointBit = 1
	// diskBlock is the size in bytes of the smallest write of a disk.
	diskBlock = 512
)

var (
	// ErrNewer is returned for a folder that a newer program has written to.
	ErrNewer = errors.New("written by a newer program")
	// A damaged record is torn if it was not written to its end: it reaches the end of the file, or ends in zeros up to
	// there. Otherwise it is bad.
	errTorn  = errors.New("torn tail")
	errBad   = errors.New("a record that does not check")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// format is the encoding of a segment's records. The zero value is the plain form without headers, in which the checksum
// covers the payload only; in the keyed form it also covers the place of the record.
type format struct {
	keyed      bool
	checkpoint bool
	number     uint64
	salt       uint64
}

// header returns the beginning of a segment: the header twice, so that one may be damaged.
func (f format) header() []byte {
	b := append([]byte(nil), magic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	flags := uint16(0)
	if f.checkpoint {
		flags = checkpointBit
	}
	b = binary.LittleEndian.AppendUint16(b, flags)
	b = binary.LittleEndian.AppendUint64(b, f.number)
	b = binary.LittleEndian.AppendUint64(b, f.salt)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, crcTable))
	return append(b, b...)
}

// readHeader decodes one of the two headers, and returns false if it is damaged.
func readHeader(b []byte) (f format, version uint16, ok bool) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return format{}, 0, false
	}
	sum := binary.LittleEndian.Uint32(b[headerSize-4:])
	if crc32.Checksum(b[:headerSize-4], crcTable) != sum {
		return format{}, 0, false
	}
	flags := binary.LittleEndian.Uint16(b[10:])
	return format{keyed: true, checkpoint: flags&checkpointBit != 0, number: binary.LittleEndian.Uint64(b[12:]),
		salt: binary.LittleEndian.Uint64(b[20:])}, binary.LittleEndian.Uint16(b[8:]), true
}

// formatOf returns the format of a segment and the offset of its first record, which is 0 in the plain form. If one header
// is damaged, it also returns an error. If the segment cannot be used at all, the offset is 0 and the error is set.
func formatOf(data []byte, number uint64) (f format, at int, err error) {
	one, version, ok := readHeader(data)
	two, version2, ok2 := format{}, uint16(0), false
	if len(data) > headerSize {
		two, version2, ok2 = readHeader(data[headerSize:])
	}
	if !ok && !ok2 {
		if begun := data[:min(len(data), headers)]; len(begun) < headers && likeHeader(begun) || len(data) > 0 && zeros(data) {
			return format{keyed: true, number: number}, 0, errTorn // its header was not written to the end
		} else if likeHeader(begun) {
			return format{keyed: true, number: number}, 0, errors.New("both headers are spoilt")
		}
		return format{}, 0, nil
	}
	if !ok {
		one, version = two, version2
	}
	switch {
	case version > formatVersion:
		return one, 0, fmt.Errorf("%w: format %d, this one reads up to %d", ErrNewer, version, formatVersion)
	case one.number != number:
		return one, 0, fmt.Errorf("it carries the number %d", one.number)
	case len(data) < headers && ok:
		return one, 0, errTorn
	case !ok || !ok2 || version2 != version:
		return one, headers, errors.New("one of its headers is spoilt")
	}
	return one, headers, nil
}

// likeHeader reports whether a segment was probably written with headers: the beginning of either one matches the magic,
// as far as it is there, up to two bytes.
func likeHeader(data []byte) bool {
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
	return like(data) || len(data) > headerSize && like(data[headerSize:])
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

// keyedSum returns a checksum of bytes at an offset of this segment, which differs at any other place.
func (f format) keyedSum(at int64, b []byte) uint32 {
	key := binary.LittleEndian.AppendUint64(nil, f.salt)
	key = binary.LittleEndian.AppendUint64(key, uint64(at))
	return crc32.Update(crc32.Checksum(key, crcTable), crcTable, b)
}

// frame appends the encoding of a record for the offset at in the segment.
func (f format) frame(b, payload []byte, at int64) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	if !f.keyed {
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, crcTable))
		return append(b, payload...)
	}
	b = binary.LittleEndian.AppendUint32(b, f.keyedSum(at, b[len(b)-4:]))
	b = binary.LittleEndian.AppendUint32(b, f.keyedSum(at, payload))
	return append(b, payload...)
}

// head returns the size of a record's head.
func (f format) head() int {
	if f.keyed {
		return keyedHead
	}
	return plainHead
}

// record returns the payload of the record at an offset, and the offset of the next one. If the record is damaged, next is
// the offset where the next one should be, or 0 if that is unknown; resume must be used to go on from there.
func (f format) record(data []byte, at int) (payload []byte, next int, err error) {
	rest, head := data[at:], f.head()
	if len(rest) < head {
		return nil, 0, errTorn
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	if f.keyed {
		if f.keyedSum(int64(at), rest[:4]) != binary.LittleEndian.Uint32(rest[4:]) {
			if tornAt(data, at, len(data)) {
				return nil, 0, errTorn
			}
			return nil, 0, errBad
		}
	}
	if size > int64(len(rest)-head) {
		return nil, 0, errTorn
	}
	next = at + head + int(size)
	payload = rest[head : head+int(size)]
	sum := binary.LittleEndian.Uint32(rest[head-4:])
	switch {
	case size == 0: // zeros would have a valid checksum in the plain form
		return nil, 0, errBad
	case f.keyed && f.keyedSum(int64(at), payload) != sum:
		if tornAt(data, at, next) {
			return nil, 0, errTorn
		}
		return nil, next, errBad
	case !f.keyed && crc32.Checksum(payload, crcTable) != sum:
		return nil, next, errBad
	}
	return payload, next, nil
}

// tornAt reports whether a loss of power interrupted the writing of the record from at to end: the file has zeros from
// the beginning of some disk block within the record up to its end.
func tornAt(data []byte, at, end int) bool {
	last := len(data)
	for last > at && data[last-1] == 0 {
		last--
	}
	block := (last + diskBlock - 1) / diskBlock * diskBlock
	return last == at || block < end && block < len(data)
}

// resume returns the offset of the next sound record after a damaged one, or -1 if there is none. In the plain form only
// the offset next is tried, because a client's data might look like a record elsewhere.
func (f format) resume(data []byte, at, next int) int {
	if !f.keyed {
		if next > 0 && next < len(data) {
			if _, _, err := f.record(data, next); err == nil {
				return next
			}
		}
		return -1
	}
	for at++; at+keyedHead < len(data); at++ {
		if _, _, err := f.record(data, at); err == nil {
			return at
		}
	}
	return -1
}
