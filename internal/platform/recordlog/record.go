// Package record keeps an append-only file of checksummed records, which is rewritten when it is long.
//
// Each record also carries up to where the file was synced when it was written. So a record that
// does not check can be told from a write that a loss of power took: if a later one says that its
// place had been synced, the disk has lost what it had promised, and the file is not used.
package recordlog

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"

	"github.com/zeebo/errs"

	"dunetide/internal/deliverynode/journal"
)

// The kinds of errors.
var (
	// Damaged is about a file whose disk has lost or changed what was synced.
	Damaged = errs.Class("damaged records")
	// Failed is about a log whose disk failed, or which was closed: all calls end in it from there on.
	Failed = errs.Class("the log is out of use")
	// Moved is about a place that a Rewrite has left behind, or that never was one.
	Moved = errs.Class("no record there")
)

const (
	// MaxPayload is the longest payload.
	MaxPayload = 64 << 20
	// markSize is how much of a frame's payload is the mark: up to where the file was synced.
	markSize = 8
	overhead = journal.FrameHead + markSize
	nextName = ".new" // behind the name, while a file is written that takes its place
	// window is how much of a file is read at once, and keepBuffer the most that is kept for writing.
	window     = 64 << 10
	keepBuffer = 1 << 20
)

var errClosed = errors.New("it was closed")

// Log is the file. Positions only grow, also over rewrites, so one that was left behind is never
// mistaken for another. It is safe for concurrent use.
type Log struct {
	folder journal.Folder
	name   string

	// The locks are taken in this order. Of the fields in mu, file, frames and base change with all three.
	writer   sync.Mutex // is held by each Append and over the whole of a Rewrite
	buf      []byte     // the writer's
	scratch  []byte
	leftover bool         // a file that was to take the log's place could not be removed
	reads    sync.RWMutex // is held over each reading
	mu       sync.Mutex
	idle     *sync.Cond // no disk sync runs any more
	content
	synced  int64 // bytes of the file
	syncing bool
	failed  error
}

// NoRoom tells whether an error came from a disk that is full.
func NoRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// content is a file and what is known of it.
type content struct {
	file   journal.OpenFile
	frames journal.Frames
	base   int64 // the position at which the file begins
	size   int64 // bytes
}

// Open reads all whole records in order, cuts off what was torn behind them, and syncs what is
// there. It makes a file that is missing. The payload is replay's until it returns; at is the
// position after the record. An error of replay ends it.
func Open(folder journal.Folder, name string, replay func(payload []byte, at int64) error) (*Log, error) {
	l := &Log{folder: folder, name: name}
	l.idle = sync.NewCond(&l.mu)
	if err := folder.Remove(name + nextName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("removing what a rewrite left: %w", err)
	}
	size, err := l.find()
	if err != nil {
		return nil, err
	}
	if size < 0 {
		if l.content, err = l.begin(0); err != nil {
			return nil, err
		}
		err := l.file.Sync()
		if err == nil {
			err = l.install()
		}
		if err != nil {
			return nil, errors.Join(err, l.file.Close())
		}
		l.synced = l.size
		return l, nil
	}
	if l.file, err = folder.Open(name); err != nil {
		return nil, err
	}
	err = l.restore(size, replay)
	if err == nil && l.size < size {
		err = folder.Cut(name, l.size)
	}
	if err == nil { // what a process that was killed had not synced counts as appended
		err = l.file.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, l.file.Close())
	}
	l.synced = l.size
	return l, nil
}

// find tells how long the file is, -1 if there is none.
func (l *Log) find() (int64, error) {
	files, err := l.folder.List()
	if err != nil {
		return 0, err
	}
	for _, f := range files {
		if f.Name == l.name {
			return f.Size, nil
		}
	}
	return -1, nil
}

// begin makes a file that is to take the place of the one of the log's name.
func (l *Log) begin(base int64) (content, error) {
	next := l.name + nextName
	if l.leftover {
		if err := l.dropNext(); l.leftover {
			return content{}, err
		}
	}
	f, err := l.folder.Create(next)
	if err != nil {
		return content{}, err
	}
	c := content{frames: journal.NewFrames(uint64(base), rand.Uint64()), base: base, size: journal.FramesHeader}
	_, err = f.Write(c.frames.Header())
	if err = errors.Join(err, f.Close()); err != nil {
		return content{}, errors.Join(err, l.dropNext())
	}
	if c.file, err = l.folder.Open(next); err != nil {
		return content{}, errors.Join(err, l.dropNext())
	}
	return c, nil
}

// install gives a file of begin, which is synced, its name for good.
func (l *Log) install() error {
	if err := l.folder.Rename(l.name+nextName, l.name); err != nil {
		return err
	}
	return l.folder.Sync()
}

// restore reads the file and leaves in size how much of it counts.
func (l *Log) restore(size int64, replay func([]byte, int64) error) error {
	head := make([]byte, min(size, journal.FramesHeader))
	if _, err := l.file.ReadAt(head, 0); err != nil && err != io.EOF {
		return err
	}
	frames, err := journal.ReadFrames(head)
	if errors.Is(err, journal.ErrNewer) {
		return fmt.Errorf("%s: %w", l.name, err)
	} else if err != nil || frames.Number() > math.MaxInt64/2 || size < journal.FramesHeader {
		return l.damaged(0, "its head is spoilt, which was synced before the file had its name")
	}
	l.frames, l.base = frames, int64(frames.Number())
	at := int64(journal.FramesHeader)
	in := bufio.NewReaderSize(io.NewSectionReader(l.file, at, size-at), int(min(window, size)))
	var payload []byte
	for {
		payload, err = l.read(in, payload, at, size)
		if err != nil {
			return err
		}
		if payload == nil {
			break
		}
		next := at + journal.FrameHead + int64(len(payload))
		if err := replay(payload[markSize:], l.base+next); err != nil {
			return err
		}
		at = next
	}
	l.size = at
	if later, err := l.vouched(at, size); err != nil {
		return err
	} else if later > 0 {
		return l.damaged(at, fmt.Sprintf("the record at byte %d was written when this was synced", later))
	}
	return nil
}

// read reads the next record with its mark; nil if none checks there.
func (l *Log) read(in io.Reader, buf []byte, at, size int64) ([]byte, error) {
	var head [journal.FrameHead]byte
	if _, err := io.ReadFull(in, head[:]); err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	n, ok := l.frames.Len(head[:], at)
	if !ok || n < markSize || n > markSize+MaxPayload || n > size-at-journal.FrameHead {
		return nil, nil
	}
	if int64(cap(buf)) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(in, buf); err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	if !l.frames.Checks(head[:], buf, at) {
		return nil, nil
	}
	return buf, nil
}

// vouched looks behind a place for a record that was written after that place was synced. It tells
// where that stands, 0 if nowhere.
func (l *Log) vouched(from, size int64) (int64, error) {
	buf := make([]byte, min(window, size))
	var payload []byte
	for at := from + 1; at+overhead <= size; {
		n, err := l.file.ReadAt(buf[:min(int64(len(buf)), size-at)], at)
		if err != nil && err != io.EOF {
			return 0, err
		}
		i := 0
		for ; i+journal.FrameHead <= n; i++ {
			if _, ok := l.frames.Len(buf[i:i+journal.FrameHead], at+int64(i)); !ok {
				continue
			}
			place := at + int64(i)
			payload, err = l.read(io.NewSectionReader(l.file, place, size-place), payload, place, size)
			if err != nil {
				return 0, err
			}
			if payload != nil && binary.LittleEndian.Uint64(payload) > uint64(from) {
				return place, nil
			}
		}
		if i == 0 {
			break
		}
		at += int64(i)
	}
	return 0, nil
}

func (l *Log) damaged(at int64, why string) error {
	return Damaged.New("%s at byte %d: %s; move the file away and start again: the node then begins with an empty disk, "+
		"and takes what it held from the others", l.name, at, why)
}

// Append writes a record, which is durable after a sync. It tells the position after it.
func (l *Log) Append(payload []byte) (int64, error) {
	if len(payload) > MaxPayload {
		return 0, fmt.Errorf("a record of %d bytes, over %d", len(payload), MaxPayload)
	}
	l.writer.Lock()
	defer l.writer.Unlock()
	l.mu.Lock()
	c, synced, err := l.content, l.synced, l.failed
	l.mu.Unlock()
	if err != nil {
		return 0, err
	}
	frame := l.frame(c, payload, synced)
	if _, err := c.file.Write(frame); err != nil {
		if cut := c.file.Truncate(c.size); cut != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			return 0, l.fail(errors.Join(err, cut))
		}
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.size += int64(len(frame))
	return l.base + l.size, nil
}

// frame is a record as it stands at the end of a file; it is the writer's until the next one.
func (l *Log) frame(c content, payload []byte, synced int64) []byte {
	l.scratch = binary.LittleEndian.AppendUint64(l.scratch[:0], uint64(synced))
	l.scratch = append(l.scratch, payload...)
	l.buf = c.frames.Append(l.buf[:0], l.scratch, c.size)
	frame := l.buf
	if cap(frame) > keepBuffer {
		l.buf, l.scratch = nil, nil
	}
	return frame
}

// fail puts the log out of use, with mu held: what the kernel had may be gone, and the next sync would not
// tell.
func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = Failed.New("%s: %w", l.name, err)
	}
	return l.failed
}

// Sync returns when all that was appended is durable.
func (l *Log) Sync() error { return l.SyncTo(math.MaxInt64) }

// SyncTo returns when all that was appended up to a position is durable. Those who wait at the same time
// share disk syncs.
func (l *Log) SyncTo(at int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = min(at, l.base+l.size)
	for l.failed == nil && at > l.base+l.synced {
		if l.syncing {
			l.idle.Wait()
			continue
		}
		l.syncing = true
		file, upTo := l.file, l.size
		l.mu.Unlock()
		err := file.Sync()
		l.mu.Lock()
		l.syncing = false
		if err != nil {
			_ = l.fail(err) // it is what the loop ends with
		} else {
			l.synced = upTo
		}
		l.idle.Broadcast()
	}
	return l.failed
}

// Size is how many bytes the file has.
func (l *Log) Size() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size
}

// ReadAt reads a payload of n bytes back, given the position after its record.
func (l *Log) ReadAt(at int64, n int) ([]byte, error) {
	l.reads.RLock()
	defer l.reads.RUnlock()
	l.mu.Lock()
	c, err := l.content, l.failed
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	start := at - c.base - int64(n) - overhead
	if n < 0 || n > MaxPayload || start < journal.FramesHeader || at > c.base+c.size {
		return nil, Moved.New("%s: position %d, %d bytes", l.name, at, n)
	}
	frame := make([]byte, overhead+n)
	if _, err := c.file.ReadAt(frame, start); err != nil {
		return nil, fmt.Errorf("reading a record back: %w", err)
	}
	head, payload := frame[:journal.FrameHead], frame[journal.FrameHead:]
	if size, ok := c.frames.Len(head, start); !ok || size != int64(len(payload)) || !c.frames.Checks(head, payload, start) {
		return nil, l.damaged(start, fmt.Sprintf("no record of %d bytes checks there", n))
	}
	return payload[markSize:], nil
}

// ReadRaw reads n bytes that begin at a position inside a payload. They are not checked: whoever reads a part
// of a record has a sum of that part. The first byte of a payload of n bytes is n before its position.
func (l *Log) ReadRaw(at int64, n int) ([]byte, error) {
	l.reads.RLock()
	defer l.reads.RUnlock()
	l.mu.Lock()
	c, err := l.content, l.failed
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	start := at - c.base
	if n < 0 || n > MaxPayload || start < journal.FramesHeader+overhead || start+int64(n) > c.size {
		return nil, Moved.New("%s: %d bytes at position %d", l.name, n, at)
	}
	b := make([]byte, n)
	if _, err := c.file.ReadAt(b, start); err != nil {
		return nil, fmt.Errorf("reading a part of a record back: %w", err)
	}
	return b, nil
}

// Rewrite puts what write adds in the place of all that was appended. Appends wait meanwhile; reads and
// syncs don't, and positions of before hold until it returns. Write must not call Append. After an error
// that isn't Failed the log is as it was.
func (l *Log) Rewrite(write func(add func(payload []byte) (at int64, err error)) error) error {
	l.writer.Lock()
	defer l.writer.Unlock()
	l.mu.Lock()
	base, err := l.base+l.size, l.failed
	l.mu.Unlock()
	if err != nil {
		return err
	}
	next, err := l.begin(base)
	if err != nil {
		return fmt.Errorf("rewriting: %w", err)
	}
	out := bufio.NewWriterSize(next.file, window)
	err = write(func(payload []byte) (int64, error) {
		if len(payload) > MaxPayload {
			return 0, fmt.Errorf("a record of %d bytes, over %d", len(payload), MaxPayload)
		}
		n, err := out.Write(l.frame(next, payload, 0))
		if err != nil {
			return 0, err
		}
		next.size += int64(n)
		return next.base + next.size, nil
	})
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		err = next.file.Sync() // which may find no room, too
	}
	if err != nil {
		return errors.Join(fmt.Errorf("rewriting: %w", err), next.file.Close(), l.dropNext())
	}
	return l.swap(next)
}

// dropNext removes a file that was to take the place of the log. What can't be removed now is removed before the next one.
func (l *Log) dropNext() error {
	err := l.folder.Remove(l.name + nextName)
	l.leftover = err != nil && !errors.Is(err, fs.ErrNotExist)
	return err
}

// swap takes a file that was written whole into use.
func (l *Log) swap(next content) error {
	l.mu.Lock()
	for l.syncing {
		l.idle.Wait()
	}
	l.syncing = true // nobody is told of a sync of the old file from here on
	l.mu.Unlock()
	err := l.install()

	l.reads.Lock()
	defer l.reads.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncing = false
	l.idle.Broadcast()
	if l.failed == nil && err != nil {
		_ = l.fail(fmt.Errorf("rewriting: %w", err)) // it is told below
	}
	if l.failed != nil {
		return errors.Join(l.failed, next.file.Close())
	}
	old := l.file
	l.content, l.synced = next, next.size
	_ = old.Close() // nothing counts in it any more
	return nil
}

// Close syncs what was appended and ends the use of the log.
func (l *Log) Close() error {
	l.writer.Lock()
	defer l.writer.Unlock()
	err := l.Sync()
	l.reads.Lock()
	defer l.reads.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.syncing {
		l.idle.Wait()
	}
	if l.file == nil {
		return err
	}
	err = errors.Join(err, l.file.Close())
	l.file = nil
	_ = l.fail(errClosed) // of all calls from here on
	return err
}

// Scan reads the whole records of a file that nobody need own, and changes nothing. It tells how many bytes of it count:
// what is behind them was torn by a loss of power, or was changed.
func Scan(file io.ReaderAt, size int64, name string, each func(payload []byte) error) (int64, error) {
	l := &Log{name: name, content: content{file: readOnly{file}}}
	err := l.restore(size, func(payload []byte, _ int64) error { return each(payload) })
	return l.size, err
}

// readOnly is a file that is only read.
type readOnly struct{ io.ReaderAt }

var errReadOnly = errors.New("the file is only read")

func (readOnly) Write([]byte) (int, error) { return 0, errReadOnly }
func (readOnly) Truncate(int64) error      { return errReadOnly }
func (readOnly) Sync() error               { return errReadOnly }
func (readOnly) Close() error              { return nil }
