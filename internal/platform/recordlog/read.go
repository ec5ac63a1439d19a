package recordlog

import (
	"errors"
	"fmt"
	"io"

	"dunetide/internal/platform/frame"
)

// ReadAt reads a record back, given its position and the length of its payload, and checks it. It fails with
// ErrNoRecord if the position is not in the file, and with ErrDamaged if no record of that length checks there.
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
		return nil, fmt.Errorf("reading a record back: %w", err)
	}
	head, record := encoded[:frame.KeyedHeadSize], encoded[frame.KeyedHeadSize:]
	n, ok := current.frames.PayloadSize(head, start)
	if !ok || n != int64(len(record)) || !current.frames.Matches(head, record, start) {
		return nil, l.damaged(start, fmt.Sprintf("no record of %d bytes checks there", length))
	}
	return record[syncedOffsetSize:], nil
}

// ReadRaw reads bytes of a payload that begin at a position, without a check: a caller that reads a part of a record
// has a checksum of its own for that part. The first byte of a payload of n bytes is n before the record's position.
// It fails with ErrNoRecord if the position is not in the file.
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
		return nil, fmt.Errorf("reading a part of a record back: %w", err)
	}
	return b, nil
}

// readable returns the file that is in use. It stays open while readMu is held.
func (l *Log) readable() (currentFile, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentFile, l.failure
}

// Scan reads the whole records of a file that need not be owned by anybody, and changes nothing. It returns how many
// bytes of the file count: what is behind them was torn by a loss of power, or was changed. The name is for errors,
// which are those of Open.
func Scan(file io.ReaderAt, size int64, name string, each func(payload []byte) error) (whole int64, err error) {
	l := &Log{name: name, currentFile: currentFile{file: readOnlyFile{file}}}
	err = l.replayRecords(size, func(payload []byte, _ int64) error { return each(payload) })
	return l.size, err
}

// readOnlyFile is a file that can only be read, in the form that recovery takes.
type readOnlyFile struct{ io.ReaderAt }

var errReadOnly = errors.New("the file is only read")

// Write fails.
func (readOnlyFile) Write([]byte) (int, error) { return 0, errReadOnly }

// Truncate fails.
func (readOnlyFile) Truncate(int64) error { return errReadOnly }

// Sync fails.
func (readOnlyFile) Sync() error { return errReadOnly }

// Close does nothing: the caller of Scan closes its file.
func (readOnlyFile) Close() error { return nil }
