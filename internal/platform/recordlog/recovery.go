package recordlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"dunetide/internal/platform/frame"
)

// recoveryWindow is how many bytes of a file are read at a time.
const recoveryWindow = 64 << 10

// replayRecords replays the complete records of a file, and sets l.size to the number of valid bytes.
func (l *Log) replayRecords(size int64, replay func(payload []byte, position int64) error) error {
	if err := l.readHeader(size); err != nil {
		return err
	}
	offset := int64(frame.HeadersSize)
	in := bufio.NewReaderSize(io.NewSectionReader(l.file, offset, size-offset), int(min(recoveryWindow, size)))
	var record []byte
	for {
		var err error
		if record, err = l.readRecord(in, record, offset, size); err != nil {
			return err
		}
		if record == nil {
			break
		}
		next := offset + frame.KeyedHeadSize + int64(len(record))
		if err := replay(record[syncedOffsetSize:], l.base+next); err != nil {
			return err
		}
		offset = next
	}
	l.size = offset
	if later, err := l.findProofOfSync(offset, size); err != nil {
		return err
	} else if later > 0 {
		return l.damaged(offset, fmt.Sprintf("the record at byte %d was written when this was synced", later))
	}
	return nil
}

// readHeader reads the header of a file: the encoding of its records, and its base.
func (l *Log) readHeader(size int64) error {
	header := make([]byte, min(size, frame.HeadersSize))
	if _, err := l.file.ReadAt(header, 0); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	frames, err := frame.ReadFormat(header)
	if errors.Is(err, frame.ErrNewer) {
		return fmt.Errorf("%s: %w", l.name, err)
	}
	// This package creates no file with a base over half the range: positions could overflow after it.
	if err != nil || frames.Number > math.MaxInt64/2 || size < frame.HeadersSize {
		return l.damaged(0, "its head is spoilt, which was synced before the file had its name")
	}
	l.frames, l.base = frames, int64(frames.Number)
	return nil
}

// readRecord reads the record at an offset of a file of some size: its synced offset and its payload. It returns nil
// if there is no valid record. The result uses buffer if that is large enough.
func (l *Log) readRecord(in io.Reader, buffer []byte, offset, size int64) ([]byte, error) {
	var head [frame.KeyedHeadSize]byte
	if ok, err := readFull(in, head[:]); !ok {
		return nil, err
	}
	n, ok := l.frames.PayloadSize(head[:], offset)
	if !ok || n < syncedOffsetSize || n > syncedOffsetSize+MaxPayload || n > size-offset-frame.KeyedHeadSize {
		return nil, nil
	}
	if int64(cap(buffer)) < n {
		buffer = make([]byte, n)
	}
	buffer = buffer[:n]
	if ok, err := readFull(in, buffer); !ok {
		return nil, err
	}
	if !l.frames.Matches(head[:], buffer, offset) {
		return nil, nil
	}
	return buffer, nil
}

// readFull fills a buffer. It returns false without an error if the input ends early.
func readFull(in io.Reader, buffer []byte) (bool, error) {
	_, err := io.ReadFull(in, buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false, nil
	}
	return err == nil, err
}

// findProofOfSync searches the file after an invalid record at offset from for a record that was written after from
// was synced. It returns the offset of that record, or 0 if there is none.
func (l *Log) findProofOfSync(from, size int64) (int64, error) {
	window := make([]byte, min(recoveryWindow, size))
	var record []byte
	for start := from + 1; start+recordOverhead <= size; {
		n, err := l.file.ReadAt(window[:min(int64(len(window)), size-start)], start)
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, err
		}
		i := 0
		for ; i+frame.KeyedHeadSize <= n; i++ {
			offset := start + int64(i)
			if _, ok := l.frames.PayloadSize(window[i:i+frame.KeyedHeadSize], offset); !ok {
				continue
			}
			in := io.NewSectionReader(l.file, offset, size-offset)
			if record, err = l.readRecord(in, record, offset, size); err != nil {
				return 0, err
			}
			if record != nil && binary.LittleEndian.Uint64(record) > uint64(from) {
				return offset, nil
			}
		}
		if i == 0 {
			break
		}
		start += int64(i)
	}
	return 0, nil
}
