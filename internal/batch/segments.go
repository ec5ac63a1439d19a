package batch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/recordlog"
)

// The log of a store is a row of segments, each a file of internal/platform/recordlog. Records are appended to the newest one; the
// oldest one is removed as a whole when nothing in it is wanted any more. So disk space is given back without writing
// again what stays.
//
// A position is the number of a segment and a position within it. The first record of a segment says how long the one
// before it was when it was closed: a segment that is shorter has lost what was synced.

// segmentShift is the place of the segment's number in a position.
const segmentShift = 40

// segmentOf is the number of the segment that a position lies in.
func segmentOf(at int64) int64 { return at >> segmentShift }

const segmentMask = 1<<segmentShift - 1

// segmentedLog is a log in a folder. It is safe for concurrent use, but for Append, Rotate and DropOldest, which only one
// goroutine calls.
type segmentedLog struct {
	folder journal.Folder
	name   string

	mu       sync.Mutex
	segments []segment // the oldest first
}

type segment struct {
	number int64
	*recordlog.Log
}

// fileName of a segment: the first one has the log's name, which is that of a log of before there were segments.
func (l *segmentedLog) fileName(number int64) string {
	if number == 0 {
		return l.name
	}
	return fmt.Sprintf("%s.%06d", l.name, number)
}

// numberOf is the number in a segment's file name.
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

// OpenLog opens the log of that name in a folder and replays what it holds; at is the position after a record.
func OpenLog(folder journal.Folder, name string, replay func(payload []byte, at int64) error) (Log, error) {
	l := &segmentedLog{folder: folder, name: name}
	numbers, err := l.find()
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

// find lists the segments that there are; the first one, if there is none.
func (l *segmentedLog) find() (numbers []int64, err error) {
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
			return nil, recordlog.ErrDamaged.New("%s: the segments %d and %d are there, and none between them", l.name, numbers[i-1], number)
		}
	}
	if len(numbers) == 0 {
		numbers = []int64{0}
	}
	return numbers, nil
}

// openSegment opens the next segment and replays it.
func (l *segmentedLog) openSegment(number int64, newest bool, replay func(payload []byte, at int64) error) error {
	records := 0
	file, err := recordlog.Open(l.folder, l.fileName(number), func(payload []byte, at int64) error {
		records++
		if records == 1 && number > 0 {
			return l.checkPrevious(payload)
		}
		return replay(payload, number<<segmentShift|at)
	})
	if err != nil {
		return err
	}
	if number > 0 && records == 0 {
		if !newest {
			return errors.Join(recordlog.ErrDamaged.New("%s is empty, and there is a newer segment", l.fileName(number)), file.Close())
		}
		if err := l.writeHead(file); err != nil { // the process ended while it began the segment
			return errors.Join(err, file.Close())
		}
	}
	l.segments = append(l.segments, segment{number, file})
	return nil
}

// writeHead writes the first record of a segment that follows the newest one.
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

// checkPrevious checks the length of the newest segment against what the head of the next one says.
func (l *segmentedLog) checkPrevious(head []byte) error {
	if len(head) != 8 {
		return recordlog.ErrDamaged.New("%s: a segment does not begin with its head", l.name)
	}
	if len(l.segments) == 0 {
		return nil // the one before it has been removed
	}
	last := l.segments[len(l.segments)-1]
	if want := int64(binary.BigEndian.Uint64(head)); last.Size() < want {
		return recordlog.ErrDamaged.New("%s: it has %d bytes of the %d that were synced", l.fileName(last.number), last.Size(), want)
	}
	return nil
}

// newest is the segment that is appended to.
func (l *segmentedLog) newest() segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments[len(l.segments)-1]
}

// get is a segment by its number.
func (l *segmentedLog) get(number int64) (segment, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.IndexFunc(l.segments, func(s segment) bool { return s.number == number })
	if i < 0 {
		return segment{}, false
	}
	return l.segments[i], true
}

// Append writes a record to the newest segment. It tells the position after it.
func (l *segmentedLog) Append(payload []byte) (int64, error) {
	s := l.newest()
	at, err := s.Log.Append(payload)
	return s.number<<segmentShift | at, err
}

// ReadRaw reads bytes inside a payload, unchecked.
func (l *segmentedLog) ReadRaw(at int64, n int) ([]byte, error) {
	s, ok := l.get(segmentOf(at))
	if !ok {
		return nil, recordlog.ErrNoRecord.New("%s: segment %d is not there", l.name, segmentOf(at))
	}
	return s.Log.ReadRaw(at&segmentMask, n)
}

// SyncTo returns when all up to a position is durable. Segments before the newest one are.
func (l *segmentedLog) SyncTo(at int64) error {
	s := l.newest()
	if segmentOf(at) < s.number {
		return nil
	}
	err := s.SyncTo(at & segmentMask)
	if _, there := l.get(s.number); err != nil && !there {
		return nil // it was closed and removed meanwhile, and so synced
	}
	return err
}

// Size is how many bytes all segments have.
func (l *segmentedLog) Size() (size int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		size += s.Size()
	}
	return size
}

// NewestSize is how many bytes the segment has that is appended to.
func (l *segmentedLog) NewestSize() int64 { return l.newest().Size() }

// Oldest is the number of the oldest segment, and whether there is a newer one.
func (l *segmentedLog) Oldest() (number int64, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments[0].number, len(l.segments) > 1
}

// Rotate makes all that was appended durable and begins a new segment.
func (l *segmentedLog) Rotate() error {
	last := l.newest()
	if err := last.Sync(); err != nil {
		return err
	}
	number := last.number + 1
	file, err := recordlog.Open(l.folder, l.fileName(number), func([]byte, int64) error {
		return recordlog.ErrDamaged.New("%s is there already", l.fileName(number))
	})
	if err != nil {
		return fmt.Errorf("beginning a segment: %w", err)
	}
	if err := l.writeHead(file); err != nil {
		return errors.Join(fmt.Errorf("beginning a segment: %w", err), file.Close(), l.folder.Remove(l.fileName(number)))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = append(l.segments, segment{number, file})
	return nil
}

// DropOldest makes all that was appended durable and removes the oldest segment, for good.
func (l *segmentedLog) DropOldest() error {
	if err := l.newest().Sync(); err != nil {
		return err
	}
	l.mu.Lock()
	if len(l.segments) < 2 {
		l.mu.Unlock()
		return nil
	}
	oldest := l.segments[0]
	l.segments = slices.Clone(l.segments[1:])
	l.mu.Unlock()
	return errors.Join(oldest.Close(), l.folder.Remove(l.fileName(oldest.number)), l.folder.Sync())
}

// Close syncs what was appended and ends the use of the log.
func (l *segmentedLog) Close() error {
	l.mu.Lock()
	all := slices.Clone(l.segments)
	l.mu.Unlock()
	var errs []error
	for _, s := range all {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
