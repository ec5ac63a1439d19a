package recordlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"sync"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
)

const (
	// MaxPayload is the maximum size of a record's payload, in bytes.
	MaxPayload = 64 << 20

	// syncedOffsetSize is the size in bytes of the synced offset before each payload.
	syncedOffsetSize = 8
	// recordOverhead is the size in bytes of a record without its payload.
	recordOverhead = frame.KeyedHeadSize + syncedOffsetSize
	// maxRetainedBuffer is the largest buffer, in bytes, that is reused for the next record.
	maxRetainedBuffer = 1 << 20
)

// Log is an open file of records. A position counts the bytes written since the log was created: the position of a
// record is that of its end. Log is safe for concurrent use.
type Log struct {
	folder vfs.Folder
	name   string

	// The locks are taken in this order: appendMu, readMu, mu. The first two serialize operations on the file and are
	// held during I/O; mu is held during no I/O except closing a file that is no longer used. The fields file, frames
	// and base of currentFile change under all three.

	appendMu        sync.Mutex // held by each Append and during all of a Rewrite
	frameBuffer     []byte     // guarded by appendMu
	payloadBuffer   []byte     // guarded by appendMu
	rewriteLeftover bool       // guarded by appendMu: the replacement file of a failed rewrite could not be removed

	readMu sync.RWMutex // held during each read of the file

	mu          sync.Mutex
	syncDone    *sync.Cond // signalled when a sync has ended
	currentFile            // guarded by mu
	syncedSize  int64      // guarded by mu: bytes of the file that are durable
	syncing     bool       // guarded by mu: a sync is in progress
	failure     error      // guarded by mu: why the log is unusable; nil while it is usable
}

// currentFile is a file of the log and its state.
type currentFile struct {
	file   vfs.OpenFile
	frames frame.Format
	base   int64 // the position at which the file begins
	size   int64 // bytes
}

// end returns the position after the last record.
func (f *currentFile) end() int64 { return f.base + f.size }

// Open opens a log in a folder, and creates it if it is missing. It calls replay with the payload and the position of
// each complete record, in order; the payload is valid until replay returns. A torn write after the last complete
// record is truncated. All replayed records are durable when Open returns.
//
// It fails with ErrDamaged if the disk has lost or changed synced data, with frame.ErrNewer if a newer version of the
// program wrote the file, and with the first error of replay.
func Open(folder vfs.Folder, name string, replay func(payload []byte, position int64) error) (*Log, error) {
	l := &Log{folder: folder, name: name}
	l.syncDone = sync.NewCond(&l.mu)
	if err := folder.Remove(name + rewriteSuffix); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("removing what a rewrite left: %w", err)
	}
	size, exists, err := l.storedSize()
	if err != nil {
		return nil, err
	}
	if exists {
		err = l.load(size, replay)
	} else {
		err = l.create()
	}
	if err != nil {
		return nil, err
	}
	return l, nil
}

// storedSize returns the size of the file on disk, in bytes.
func (l *Log) storedSize() (size int64, exists bool, err error) {
	files, err := l.folder.List()
	if err != nil {
		return 0, false, err
	}
	for _, f := range files {
		if f.Name == l.name {
			return f.Size, true, nil
		}
	}
	return 0, false, nil
}

// create creates the file of a new log.
func (l *Log) create() (err error) {
	if l.currentFile, err = l.createReplacement(0); err != nil {
		return err
	}
	err = l.file.Sync()
	if err == nil {
		err = l.installReplacement()
	}
	if err != nil {
		return errors.Join(err, l.file.Close())
	}
	l.syncedSize = l.size
	return nil
}

// load opens an existing file and replays its records.
func (l *Log) load(size int64, replay func(payload []byte, position int64) error) (err error) {
	if l.file, err = l.folder.Open(l.name); err != nil {
		return err
	}
	err = l.replayRecords(size, replay)
	if err == nil && l.size < size {
		err = l.folder.Cut(l.name, l.size)
	}
	if err == nil { // unsynced records of a killed process are kept, so sync them
		err = l.file.Sync()
	}
	if err != nil {
		return errors.Join(err, l.file.Close())
	}
	l.syncedSize = l.size
	return nil
}

// Append appends a record and returns its position. The record is durable after a Sync, or a SyncTo that position. If
// the disk is full (see IsDiskFull) the record is not written, and the log remains usable.
func (l *Log) Append(payload []byte) (position int64, err error) {
	if err := checkLength(payload); err != nil {
		return 0, err
	}
	l.appendMu.Lock()
	defer l.appendMu.Unlock()
	l.mu.Lock()
	current, syncedSize, failure := l.currentFile, l.syncedSize, l.failure
	l.mu.Unlock()
	if failure != nil {
		return 0, failure
	}
	record := l.encode(current, payload, syncedSize)
	if _, err := current.file.Write(record); err != nil {
		if truncateErr := current.file.Truncate(current.size); truncateErr != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			return 0, l.unusable(errors.Join(err, truncateErr))
		}
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.size += int64(len(record))
	return l.end(), nil
}

func checkLength(payload []byte) error {
	if len(payload) > MaxPayload {
		return fmt.Errorf("a record of %d bytes, over %d", len(payload), MaxPayload)
	}
	return nil
}

// encode returns the encoding of a record at the end of a file. The bytes are valid until the next call. It is called
// with appendMu locked.
func (l *Log) encode(f currentFile, payload []byte, syncedSize int64) []byte {
	l.payloadBuffer = binary.LittleEndian.AppendUint64(l.payloadBuffer[:0], uint64(syncedSize))
	l.payloadBuffer = append(l.payloadBuffer, payload...)
	l.frameBuffer = f.frames.AppendRecord(l.frameBuffer[:0], l.payloadBuffer, f.size)
	frame := l.frameBuffer
	if cap(frame) > maxRetainedBuffer {
		l.frameBuffer, l.payloadBuffer = nil, nil
	}
	return frame
}

// Sync blocks until all records appended before the call are durable. It fails only with ErrUnusable.
func (l *Log) Sync() error { return l.SyncTo(math.MaxInt64) }

// SyncTo blocks until all records up to a position are durable. Concurrent callers share syncs of the file (group
// commit). It fails only with ErrUnusable.
func (l *Log) SyncTo(position int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	position = min(position, l.end())
	for l.failure == nil && position > l.base+l.syncedSize {
		if l.syncing {
			l.syncDone.Wait()
			continue
		}
		l.syncing = true
		file, size := l.file, l.size
		l.mu.Unlock()
		err := file.Sync()
		l.mu.Lock()
		l.syncing = false
		if err != nil {
			_ = l.unusable(err) // ends the loop; the failure is returned below
		} else {
			l.syncedSize = size
		}
		l.syncDone.Broadcast()
	}
	return l.failure
}

// Size returns the size of the file, in bytes.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size
}

// Close syncs the file and closes the log: all later calls fail with ErrUnusable.
func (l *Log) Close() error {
	l.appendMu.Lock()
	defer l.appendMu.Unlock()
	err := l.Sync()
	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.syncing {
		l.syncDone.Wait()
	}
	if l.file == nil {
		return err
	}
	err = errors.Join(err, l.file.Close())
	l.file = nil
	_ = l.unusable(errClosed) // for later calls; this one returns only its own errors
	return err
}
