package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

const (
	// plainHead is the length and the checksum before each record without a header.
	plainHead = 8
	// keyedHead is the length, its checksum and that of the payload.
	keyedHead = 12
	// A segment with a header has it twice.
	headerSize = 32
	headers    = 2 * headerSize
	magic      = "wingjrnl"
	// formatVersion is the newest that this program reads.
	formatVersion = 2
	checkpointBit = 1
	// diskBlock is the least that a disk writes at once.
	diskBlock = 512
)

var (
	// ErrNewer refuses a folder that a newer program has written to.
	ErrNewer = errors.New("written by a newer program")
	// A record is torn where it ends with the file or in zeros; else it is bad.
	errTorn  = errors.New("torn tail")
	errBad   = errors.New("a record that does not check")
	crcTable = crc32.MakeTable(crc32.Castagnoli)
)

// format is how a segment's records are framed. The zero one is the plain form.
type format struct {
	keyed      bool
	checkpoint bool
	number     uint64
	salt       uint64
}

// header begins a segment. It stands there twice, so that one may be spoilt.
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

// readHeader reads one of the two headers; ok tells whether it checks.
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

// formatOf tells how a segment is framed and where its records begin. Damage to one of
// its headers comes as an error beside the format that the other one tells.
func formatOf(data []byte, number uint64) (f format, at int, err error) {
	one, version, ok := readHeader(data)
	two, version2, ok2 := format{}, uint16(0), false
	if len(data) > headerSize {
		two, version2, ok2 = readHeader(data[headerSize:])
	}
	if !ok && !ok2 {
		if begun := data[:min(len(data), headers)]; len(begun) < headers && likeHeader(begun) || len(data) > 0 && zeros(data) {
			return format{keyed: true, number: number}, 0, errTorn // it was only just begun
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

// likeHeader tells whether a segment was meant to have a header: most of the magic is
// there, in either place, or all that there is begins it.
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

func zeros(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}

// keyedSum is a checksum that holds in one place of one segment only.
func (f format) keyedSum(at int64, b []byte) uint32 {
	key := binary.LittleEndian.AppendUint64(nil, f.salt)
	key = binary.LittleEndian.AppendUint64(key, uint64(at))
	return crc32.Update(crc32.Checksum(key, crcTable), crcTable, b)
}

// frame appends a record as it stands at a place of the segment.
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

func (f format) head() int {
	if f.keyed {
		return keyedHead
	}
	return plainHead
}

// record reads the record at a place and tells where the next one begins. Where it does
// not check, next is the next place that may be sound, 0 if there is none, and in the
// plain form it counts only if a record that checks stands there.
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
	case size == 0: // zeros would check in the plain form
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

// tornAt tells whether a record was only begun when the power went: from the beginning of
// some block within it up to the end of the file there are zeros.
func tornAt(data []byte, at, end int) bool {
	last := len(data)
	for last > at && data[last-1] == 0 {
		last--
	}
	block := (last + diskBlock - 1) / diskBlock * diskBlock
	return last == at || block < end && block < len(data)
}

// resume finds the next record that checks, after one that does not; -1 if there is none.
// In the plain form it looks in one place only: what a client handed in might look like a
// record anywhere else.
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
