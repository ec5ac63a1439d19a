package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
)

// segment is one file of the journal.
type segment struct {
	number uint64
	size   int64
}

// segmentPath returns the file name of a segment.
func segmentPath(n uint64) string { return fmt.Sprintf(segmentName, n) }

// diskUsage returns the disk usage that the platform counts for a file of n bytes.
func diskUsage(n int64) int64 { return (n + blockSize - 1) / blockSize * blockSize }

// append writes a checkpoint if one is due, frees space, and writes a record. If the record is a recAccepted, accepted is its
// message. It fails with ErrFull if there is no space.
func (j *Journal) append(payload []byte, accepted *Message) error {
	if j.checkpointDue() {
		if err := j.writeCheckpoint(); err != nil {
			j.log.Error("journal: checkpoint failed", "err", err)
			j.retryAt = j.sinceCheckpoint() + j.segSize
		}
	}
	size := int64(len(payload) + j.format.HeadSize())
	if err := j.freeSpace(size); err != nil {
		return err
	}
	return j.write(payload, accepted)
}

// write writes a record to the newest segment, or to a new one if the newest is full.
func (j *Journal) write(payload []byte, accepted *Message) error {
	size := int64(len(payload) + j.format.HeadSize())
	if last := &j.segments[len(j.segments)-1]; last.size > j.headSize() && last.size+size > j.segSize {
		if err := j.roll(); err != nil {
			return err
		}
	}
	last := &j.segments[len(j.segments)-1]
	j.buf = j.format.AppendRecord(j.buf[:0], payload, last.size)
	if n, err := j.file.Write(j.buf); err != nil {
		// The write may have been partial. The partial record must not make later records unreadable.
		last.size += int64(n)
		if n > 0 {
			if t := j.file.Truncate(last.size - int64(n)); t == nil {
				last.size -= int64(n)
			} else if r := j.roll(); r != nil {
				err = errors.Join(err, r)
			}
		}
		return fmt.Errorf("writing the journal: %w", err)
	}
	last.size += size
	j.syncer.written += uint64(size)
	if accepted != nil {
		j.holder[accepted.Seq] = last.number
	}
	return nil
}

// headSize returns the size of a segment without records.
func (j *Journal) headSize() int64 {
	if j.sync {
		return frame.HeadersSize
	}
	return 0
}

// roll starts a new segment. With Options.Sync the previous segment and the header of the new one are made durable first, so
// a power loss can only damage the end of the last segment.
func (j *Journal) roll() error {
	n := uint64(1)
	if len(j.segments) > 0 {
		n = j.segments[len(j.segments)-1].number + 1
	}
	if err := j.syncFile(); err != nil {
		return err
	}
	f := frame.Format{Number: n}
	if j.sync {
		f = frame.Format{Keyed: true, Number: n, Salt: rand.Uint64()}
	}
	file, err := j.create(segmentPath(n), f)
	if err != nil {
		return fmt.Errorf("starting a segment of the journal: %w", err)
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			j.log.Warn("journal: could not close a segment", "err", err)
		}
	}
	j.file, j.format = file, f
	j.segments = append(j.segments, segment{number: n, size: j.headSize()})
	return nil
}

// create creates a file. If the format has a header, the header and the file's name are durable when create returns.
func (j *Journal) create(name string, f frame.Format) (vfs.File, error) {
	file, err := j.fs.Create(name)
	if err != nil || !f.Keyed {
		return file, err
	}
	if _, err = file.Write(f.Header()); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = j.fs.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, file.Close(), j.fs.Remove(name))
	}
	return file, nil
}

// diskSize returns the disk usage of all files of the folder, in bytes.
func (j *Journal) diskSize() int64 {
	sum := j.foreign
	for _, s := range slices.Concat(j.segments, j.damagedCopies, j.replaced) {
		sum += diskUsage(s.size)
	}
	return sum
}

// freeSpace compacts the oldest segments until a record fits and the size of a segment remains free: during compaction a
// segment and its copy are both on disk. It fails with ErrFull.
func (j *Journal) freeSpace(size int64) error {
	for tries := 2 * len(j.segments); j.diskSize()+size+j.segSize+2*blockSize > j.limit; tries-- {
		if len(j.damagedCopies) > 0 { // copies of damaged segments are dropped before messages are refused
			if err := j.dropDamagedCopy(0); err != nil {
				return err
			}
			continue
		}
		if tries <= 0 || len(j.segments) < 2 {
			return ErrFull
		}
		if err := j.compact(); err != nil {
			return err
		}
	}
	return nil
}

// compact copies the records of the oldest segment that are still needed to the newest, and removes the oldest.
func (j *Journal) compact() error {
	oldest := j.segments[0]
	var move []*Message
	for seq, n := range j.holder {
		if n == oldest.number {
			move = append(move, j.live[seq])
		}
	}
	sort.Slice(move, func(a, b int) bool { return move[a].Seq < move[b].Seq })
	for _, m := range move {
		if err := j.write(acceptedRecord(m), m); err != nil {
			return err
		}
	}
	for name, n := range j.orders {
		if n == oldest.number {
			if err := j.write(orderRecord(name, true, j.now()), nil); err != nil {
				return err
			}
			j.orders[name] = j.segments[len(j.segments)-1].number
		}
	}
	// The copies must be durable before the segment is removed, and its removal must be durable before the next segment is
	// removed: an older segment that reappeared alone would revive messages that have ended.
	err := j.syncFile()
	if err == nil {
		err = j.fs.Remove(segmentPath(oldest.number))
	}
	if err == nil && j.sync {
		err = j.fs.Sync()
	}
	if err != nil {
		return fmt.Errorf("cleaning the journal: %w", err)
	}
	if j.segments = j.segments[1:]; oldest.number == j.checkpoint {
		j.checkpoint = 0
	}
	return nil
}
