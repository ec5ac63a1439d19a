package batch

import (
	"time"

	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

// logName is the file name of the first segment of a store's log; see segments.go for the others.
const logName = "lots.log"

// OpenIn returns a function that opens the log of a store in a folder.
func OpenIn(folder vfs.Folder) func(replay func(record []byte, end int64) error) (Log, error) {
	return func(replay func(record []byte, end int64) error) (Log, error) {
		return OpenLog(folder, logName, replay)
	}
}

// trackedLog is a Log as the disk of a core: it notifies syncLoop of appended records, and tracks
// how long operations take.
type trackedLog struct {
	Log
	store *Store
}

// Append returns the offset of the record's first byte. Errors are of class ErrDiskFull, or of
// class recordlog.ErrUnusable if the log can no longer be used.
func (l trackedLog) Append(b []byte) (offset int64, err error) {
	defer l.timed()()
	end, err := l.Log.Append(b)
	if err != nil {
		if !recordlog.ErrUnusable.Has(err) {
			err = ErrDiskFull.Wrap(err)
		}
		return end, err
	}
	l.store.noteAppended(end)
	return end - int64(len(b)), nil
}

// noteAppended makes syncLoop sync the log up to an offset.
func (s *Store) noteAppended(end int64) {
	s.syncMu.Lock()
	s.appendedEnd = end
	s.appendedRecords++
	s.syncMu.Unlock()
	select {
	case s.syncWake <- struct{}{}:
	default:
	}
}

// ReadRaw implements Log.
func (l trackedLog) ReadRaw(offset int64, length int) ([]byte, error) {
	defer l.timed()()
	return l.Log.ReadRaw(offset, length)
}

// Rotate implements Log.
func (l trackedLog) Rotate() error {
	defer l.timed()()
	return l.Log.Rotate()
}

// DropOldest implements Log.
func (l trackedLog) DropOldest() error {
	defer l.timed()()
	return l.Log.DropOldest()
}

// timed marks the beginning of a disk operation, and returns the function that marks its end.
func (l trackedLog) timed() (end func()) {
	l.store.diskUse.begin(time.Since(l.store.start))
	return l.store.diskUse.end
}
