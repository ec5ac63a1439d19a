package batch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

// The log of a store is a sequence of segments, each a file of package recordlog. Records are
// appended to the newest segment. The oldest segment is removed as a whole once nothing in it is
// live, so disk space is reclaimed without rewriting the live data of the other segments (see
// space.go).
//
// An offset in the log consists of the number of a segment and an offset in its file. The first
// record of a segment, its head, has the length of the previous segment when that was closed: if
// the previous segment is shorter, synced data was lost.

const (
	// segmentShift is the position of the segment number in an offset, in bits.
	segmentShift = 40
	segmentMask  = 1<<segmentShift - 1
	// segmentHeadBytes is the length of a head, which has the length of the previous segment.
	segmentHeadBytes = 8
)

// segmentOf returns the number of the segment that an offset is in.
func segmentOf(offset int64) int64 { return offset >> segmentShift }

// segmentedLog is a Log in a folder. It is safe for concurrent use, except that only one goroutine
// may call Append, Rotate and DropOldest.
type segmentedLog struct {
	folder vfs.Folder
	name   string

	mu       sync.Mutex
	segments []segment // oldest first; never empty
}

type segment struct {
	number int64
	*recordlog.Log
}

// OpenLog opens the log with the given name in a folder and replays its records; end is the offset
// of the end of a record. The error is of class recordlog.ErrDamaged if a segment is missing or
// corrupt.
func OpenLog(folder vfs.Folder, name string, replay func(record []byte, end int64) error) (Log, error) {
	l := &segmentedLog{folder: folder, name: name}
	numbers, err := l.listSegments()
	if err != nil {
		return nil, err
	}
	for _, number := range numbers {
		if err := l.openSegment(number, number == numbers[len(numbers)-1], replay); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return l, nil
}

// fileName returns the name of a segment's file. The first one has the name of the log, as logs did
// before segments were introduced.
func (l *segmentedLog) fileName(number int64) string {
	if number == 0 {
		return l.name
	}
	return fmt.Sprintf("%s.%06d", l.name, number)
}

// numberOf returns the segment number of a file; false if it is not a segment.
func (l *segmentedLog) numberOf(file string) (number int64, ok bool) {
	if file == l.name {
		return 0, true
	}
	digits, ok := strings.CutPrefix(file, l.name+".")
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	return number, err == nil && number > 0 && l.fileName(number) == file
}

// listSegments lists the numbers of the existing segments, or that of the first one if there are
// none.
func (l *segmentedLog) listSegments() (numbers []int64, err error) {
	files, err := l.folder.List()
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		if number, ok := l.numberOf(file.Name); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return nil, recordlog.ErrDamaged.New("%s: no segment between %d and %d",
				l.name, numbers[i-1], number)
		}
	}
	if len(numbers) == 0 {
		numbers = []int64{0}
	}
	return numbers, nil
}

// openSegment opens the next segment and replays it.
func (l *segmentedLog) openSegment(number int64, newest bool, replay func(record []byte, end int64) error) error {
	records := 0
	file, err := recordlog.Open(l.folder, l.fileName(number), func(payload []byte, end int64) error {
		records++
		if records == 1 && number > 0 {
			return l.checkPrevious(payload)
		}
		return replay(payload, number<<segmentShift|end)
	})
	if err != nil {
		return err
	}
	if number > 0 && records == 0 {
		if !newest {
			err := recordlog.ErrDamaged.New("%s is empty, but is not the newest segment", l.fileName(number))
			return errors.Join(err, file.Close())
		}
		if err := l.writeHead(file); err != nil { // the process ended while it began the segment
			return errors.Join(err, file.Close())
		}
	}
	l.segments = append(l.segments, segment{number, file})
	return nil
}

// writeHead writes the head of a segment that follows the newest one.
func (l *segmentedLog) writeHead(file *recordlog.Log) error {
	size := int64(0)
	if n := len(l.segments); n > 0 {
		size = l.segments[n-1].Size()
	}
	if _, err := file.Append(binary.BigEndian.AppendUint64(nil, uint64(size))); err != nil {
		return err
	}
	return file.Sync()
}

// checkPrevious checks the length of the newest segment against the head of the next one.
func (l *segmentedLog) checkPrevious(head []byte) error {
	if len(head) != segmentHeadBytes {
		return recordlog.ErrDamaged.New("%s: a segment has no valid head", l.name)
	}
	if len(l.segments) == 0 {
		return nil // the previous segment has been removed
	}
	last := l.segments[len(l.segments)-1]
	if want := int64(binary.BigEndian.Uint64(head)); last.Size() < want {
		return recordlog.ErrDamaged.New("%s is truncated: %d of %d synced bytes",
			l.fileName(last.number), last.Size(), want)
	}
	return nil
}

// newest returns the segment that records are appended to.
func (l *segmentedLog) newest() segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments[len(l.segments)-1]
}

// byNumber returns the segment with the given number.
func (l *segmentedLog) byNumber(number int64) (segment, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.segments, func(s segment) bool { return s.number == number })
	if i < 0 {
		return segment{}, false
	}
	return l.segments[i], true
}

// Append appends a record to the newest segment. It returns the offset of the record's end.
func (l *segmentedLog) Append(payload []byte) (end int64, err error) {
	s := l.newest()
	end, err = s.Log.Append(payload)
	return s.number<<segmentShift | end, err
}

// ReadRaw reads bytes inside a record without verifying them. The error is of class
// recordlog.ErrNoRecord if the segment has been removed.
func (l *segmentedLog) ReadRaw(offset int64, length int) ([]byte, error) {
	s, ok := l.byNumber(segmentOf(offset))
	if !ok {
		return nil, recordlog.ErrNoRecord.New("%s: segment %d does not exist", l.name, segmentOf(offset))
	}
	return s.Log.ReadRaw(offset&segmentMask, length)
}

// SyncTo returns once everything up to an offset is durable. Segments before the newest one always
// are.
func (l *segmentedLog) SyncTo(end int64) error {
	s := l.newest()
	if segmentOf(end) < s.number {
		return nil
	}
	err := s.SyncTo(end & segmentMask)
	if _, there := l.byNumber(s.number); err != nil && !there {
		return nil // it was synced, closed and removed in the meantime
	}
	return err
}

// Size returns the total size of all segments in bytes.
func (l *segmentedLog) Size() (size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		size += s.Size()
	}
	return size
}

// NewestSize returns the size in bytes of the segment that records are appended to.
func (l *segmentedLog) NewestSize() int64 { return l.newest().Size() }

// Oldest returns the number of the oldest segment, and whether there is a newer one.
func (l *segmentedLog) Oldest() (number int64, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments[0].number, len(l.segments) > 1
}

// Rotate makes all appended records durable and begins a new segment.
func (l *segmentedLog) Rotate() error {
	last := l.newest()
	if err := last.Sync(); err != nil {
		return err
	}
	number := last.number + 1
	file, err := recordlog.Open(l.folder, l.fileName(number), func([]byte, int64) error {
		return recordlog.ErrDamaged.New("%s exists already", l.fileName(number))
	})
	if err != nil {
		return fmt.Errorf("beginning a segment: %w", err)
	}
	if err := l.writeHead(file); err != nil {
		err = fmt.Errorf("beginning a segment: %w", err)
		return errors.Join(err, file.Close(), l.folder.Remove(l.fileName(number)))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = append(l.segments, segment{number, file})
	return nil
}

// DropOldest makes all appended records durable and removes the oldest segment, unless it is the
// only one.
func (l *segmentedLog) DropOldest() error {
	if err := l.newest().Sync(); err != nil {
		return err
	}
	oldest, ok := l.detachOldest()
	if !ok {
		return nil
	}
	return errors.Join(oldest.Close(), l.folder.Remove(l.fileName(oldest.number)), l.folder.Sync())
}

// detachOldest removes the oldest segment from the list, so that nothing more is read from it.
func (l *segmentedLog) detachOldest() (oldest segment, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.segments) < 2 {
		return segment{}, false
	}
	oldest = l.segments[0]
	l.segments = slices.Clone(l.segments[1:])
	return oldest, true
}

// Close syncs the segments and closes them.
func (l *segmentedLog) Close() error {
	l.mu.Lock()
	segments := slices.Clone(l.segments)
	l.mu.Unlock()
	var errs []error
	for _, s := range segments {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
