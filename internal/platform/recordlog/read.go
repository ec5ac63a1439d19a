package recordlog

import (
	"errors"
	"fmt"
	"io"

	"dunetide/internal/platform/frame"
)

// ReadAt reads and verifies a record, given its position and the length of its payload. It fails with ErrNoRecord if
// the position is not in the file, and with ErrDamaged if no valid record of that length ends there.
func (l *Log) ReadAt(position int64, length int) ([]byte, error) {
	l.readMu.RLock()
	defer l.readMu.RUnlock()
	current, err := l.readable()
	if err != nil {
		return nil, err
	}
	start := position - current.base - int64(length) - recordOverhead
	if length < 0 || length > MaxPayload || start < frame.HeadersSize || position > current.end() {
		return nil, ErrNoRecord.New("%s: position %d, %d bytes", l.name, position, length)
	}
	encoded := make([]byte, recordOverhead+length)
	if _, err := current.file.ReadAt(encoded, start); err != nil {
		return nil, fmt.Errorf("reading a record: %w", err)
	}
	head, record := encoded[:frame.KeyedHeadSize], encoded[frame.KeyedHeadSize:]
	n, ok := current.frames.PayloadSize(head, start)
	if !ok || n != int64(len(record)) || !current.frames.Matches(head, record, start) {
		return nil, l.damaged(start, fmt.Sprintf("no valid record of %d bytes", length))
	}
	return record[syncedOffsetSize:], nil
}

// ReadRaw reads part of a payload, beginning at a position, without verifying the record's checksum: its callers have
// their own checksum for the part. The first byte of a payload of n bytes is n before the record's position. It fails
// with ErrNoRecord if the position is not in the file.
func (l *Log) ReadRaw(position int64, length int) ([]byte, error) {
	l.readMu.RLock()
	defer l.readMu.RUnlock()
	current, err := l.readable()
	if err != nil {
		return nil, err
	}
	start := position - current.base
	end := start + int64(length)
	if length < 0 || length > MaxPayload || start < frame.HeadersSize+recordOverhead || end > current.size {
		return nil, ErrNoRecord.New("%s: %d bytes at position %d", l.name, length, position)
	}
	b := make([]byte, length)
	if _, err := current.file.ReadAt(b, start); err != nil {
		return nil, fmt.Errorf("reading a part of a record: %w", err)
	}
	return b, nil
}

// readable returns the current file, which stays open while readMu is held.
func (l *Log) readable() (currentFile, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentFile, l.failure
}

// Scan reads the complete records of a file without owning or changing it. It returns how many bytes of the file are
// valid: the rest was torn by a power loss or was changed. The name is for errors, which are those of Open.
func Scan(file io.ReaderAt, size int64, name string, each func(payload []byte) error) (validSize int64, err error) {
	l := &Log{name: name, currentFile: currentFile{file: readOnlyFile{file}}}
	err = l.replayRecords(size, func(payload []byte, _ int64) error { return each(payload) })
	return l.size, err
}

// readOnlyFile adapts an io.ReaderAt to the file interface that recovery uses.
type readOnlyFile struct{ io.ReaderAt }

var errReadOnly = errors.New("the file is read-only")

// Write fails.
func (readOnlyFile) Write([]byte) (int, error) { return 0, errReadOnly }

// Truncate fails.
func (readOnlyFile) Truncate(int64) error { return errReadOnly }

// Sync fails.
func (readOnlyFile) Sync() error { return errReadOnly }

// Close does nothing: the caller of Scan closes its file.
func (readOnlyFile) Close() error { return nil }
