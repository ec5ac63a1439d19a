package journal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

const (
	segmentName     = "journal-%016d"
	damagedCopyName = "damaged-%016d"
	// checkpointName is the file name of a checkpoint until it is complete.
	checkpointName = "checkpoint.tmp"
	// maxProblems is the largest number of problems in a report.
	maxProblems = 64
)

// unknownTime is the time assigned to attempts and ends whose time is unknown.
var unknownTime = time.UnixMicro(1)

// Problem is a damaged or torn position in a file.
type Problem struct {
	File string
	At   int // offset in bytes
	What string
	Torn bool // an incompletely written record at the end, which is not damage
}

// Report is the result of a replay.
type Report struct {
	Segments   int
	Headed     int // segments with headers
	Records    int
	Bytes      int64  // read
	Checkpoint uint64 // number of the checkpoint's segment, 0 if there is none
	Owed       int    // live messages
	Problems   []Problem
	Doubt      []string // ids of messages whose last state is unknown
	Lost       []uint64 // numbers of messages that have records, but not the one with the message
	SetAside   []string // file names of the copies of damaged segments
	Took       time.Duration
}

// Damaged reports whether there is a problem other than a torn tail.
func (r *Report) Damaged() bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool { return !p.Torn })
}

// recovery is the state of a replay.
type recovery struct {
	journal  *Journal
	report   Report
	number   uint64                    // of the segment that is being read
	cuts     map[uint64]int64          // sizes to cut segments to; a missing segment is created empty
	toCopy   map[uint64]bool           // segments to copy before they are cut
	doubt    map[policy.MessageID]bool // live messages whose records may be incomplete because of damage
	unknown  map[policy.MessageID]bool // unknown messages that have records after damage
	afterCut afterCut
}

// afterCut collects the content of the records after a cut, which must be written again because the cut removes them.
type afterCut struct {
	active   bool // the records being read come after a cut
	accepted map[policy.MessageID]bool
	attempts map[policy.MessageID]int
	ended    map[policy.MessageID]bool
	closed   map[policy.MessageID]bool
	over     []string
	orders   map[string]bool
}

// parseNumber returns the number in a file name, and false if the name does not match the format form.
func parseNumber(name, form string) (uint64, bool) {
	var n uint64
	if _, err := fmt.Sscanf(name, form, &n); err != nil || name != fmt.Sprintf(form, n) || n == 0 {
		return 0, false
	}
	return n, true
}

// replay reads the files of the folder and rebuilds the state. It writes nothing.
func (j *Journal) replay() error {
	began := j.now()
	if err := j.listFiles(); err != nil {
		return err
	}
	r := newRecovery(j)
	j.recovery = r
	checkpoints, err := j.findCheckpoints()
	if err != nil {
		return err
	}
	if err := r.skipReplaced(checkpoints); err != nil {
		return err
	}
	r.report.Problems = nil // problems of checkpoints are found again below if the checkpoint is used
	if err := r.readSegments(); err != nil {
		return err
	}
	r.report.Segments = len(j.segments)
	r.resolve()
	r.report.Took = j.now().Sub(began)
	return nil
}

// newRecovery returns a recovery that has read nothing yet.
func newRecovery(j *Journal) *recovery {
	return &recovery{journal: j, cuts: map[uint64]int64{}, toCopy: map[uint64]bool{}, doubt: map[policy.MessageID]bool{},
		unknown: map[policy.MessageID]bool{}, afterCut: afterCut{accepted: map[policy.MessageID]bool{}, attempts: map[policy.MessageID]int{},
			ended: map[policy.MessageID]bool{}, closed: map[policy.MessageID]bool{}, orders: map[string]bool{}}}
}

// listFiles classifies the files of the folder as segments, copies of damaged segments, an unfinished checkpoint, and other
// files. The segments and the copies are sorted by number.
func (j *Journal) listFiles() error {
	files, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("opening the journal: %w", err)
	}
	for _, file := range files {
		if number, ok := parseNumber(file.Name, segmentName); ok {
			j.segments = append(j.segments, segment{number: number, size: file.Size})
		} else if file.Name == checkpointName {
			j.hasUnfinished = true
		} else if number, ok := parseNumber(file.Name, damagedCopyName); ok {
			j.damagedCopies = append(j.damagedCopies, segment{number: number, size: file.Size})
		} else {
			j.foreign += diskUsage(file.Size)
		}
	}
	byNumber := func(a, b segment) int { return cmp.Compare(a.number, b.number) }
	slices.SortFunc(j.segments, byNumber)
	slices.SortFunc(j.damagedCopies, byNumber)
	return nil
}

// findCheckpoints returns the indexes of the segments whose header marks them as checkpoints, in ascending order.
// It fails if a segment was written by a newer program.
func (j *Journal) findCheckpoints() ([]int, error) {
	var checkpoints []int
	for i, s := range j.segments {
		head, err := j.fs.Head(segmentPath(s.number), frame.HeadersSize)
		if err != nil {
			return nil, fmt.Errorf("replaying the journal: %w", err)
		}
		f, at, err := frame.DetectFormat(head, s.number)
		if errors.Is(err, frame.ErrNewer) {
			return nil, fmt.Errorf("%s: %w", segmentPath(s.number), err)
		}
		if at > 0 && f.Checkpoint { // one intact header is enough; a corrupt one is reported when the segment is read
			checkpoints = append(checkpoints, i)
		}
	}
	return checkpoints, nil
}

// skipReplaced finds the last complete checkpoint and excludes the segments before it from the replay.
func (r *recovery) skipReplaced(checkpoints []int) error {
	j := r.journal
	for _, i := range slices.Backward(checkpoints) {
		number := j.segments[i].number
		data, err := r.read(number)
		if err != nil {
			return err
		}
		if f, at, _ := frame.DetectFormat(data, number); at == 0 || !isComplete(f, data, at) {
			continue
		}
		r.report.Checkpoint, j.checkpoint = number, number
		j.replaced = slices.Clone(j.segments[:i])
		j.segments = j.segments[i:]
		return nil
	}
	return nil
}

// readSegments replays the segments in order, one at a time because the folder may be larger than the available memory.
func (r *recovery) readSegments() error {
	segments := r.journal.segments
	for i, s := range segments {
		if i > 0 && s.number != segments[i-1].number+1 {
			r.missing(segments[i-1].number+1, s.number-1)
		}
		data, err := r.read(s.number)
		if err != nil {
			return err
		}
		r.segment(s.number, data, i == len(segments)-1)
	}
	return nil
}

// read returns the content of a segment. A segment that is larger than the journal could have written counts as damaged
// from its beginning, and is not copied because a copy would not fit.
func (r *recovery) read(n uint64) ([]byte, error) {
	j := r.journal
	data, err := j.fs.Read(segmentPath(n), max(j.limit, 2*(MaxBody+4<<10)))
	switch {
	case errors.Is(err, vfs.ErrTooLarge):
		r.problem(segmentPath(n), 0, err.Error(), false)
		j.segments[slices.IndexFunc(j.segments, func(s segment) bool { return s.number == n })].size = 0
		return []byte("\xff\xff\xff\xff"), nil
	case err != nil:
		return nil, fmt.Errorf("replaying the journal: %w", err)
	}
	r.report.Bytes += int64(len(data))
	return data, nil
}

// isComplete reports whether a checkpoint is complete.
func isComplete(f frame.Format, data []byte, at int) bool {
	for at < len(data) {
		payload, next, err := f.Record(data, at)
		if err != nil {
			return false
		}
		if payload[0] == recCheckpointEnd {
			return next == len(data)
		}
		at = next
	}
	return false
}

// problem adds a problem to the report, up to maxProblems.
func (r *recovery) problem(file string, at int, what string, torn bool) {
	if len(r.report.Problems) < maxProblems {
		r.report.Problems = append(r.report.Problems, Problem{File: file, At: at, What: what, Torn: torn})
	}
}

// missing reports segments that are missing between others, and schedules their creation as empty files.
func (r *recovery) missing(from, to uint64) {
	what := "missing"
	if to > from {
		what = fmt.Sprintf("missing, as all up to %d", to)
	}
	r.problem(segmentPath(from), 0, what, false)
	r.markInDoubt()
	if to-from < maxProblems { // a longer gap is not filled, and is reported at each start
		for n := from; n <= to; n++ {
			r.cuts[n] = 0
		}
	}
}

// markInDoubt marks all live messages as in doubt, because some of their records may be missing at this position.
func (r *recovery) markInDoubt() {
	for seq := range r.journal.live {
		r.doubt[seq] = true
	}
}

// segment replays a segment up to its end or its torn tail. After damage it resumes at the next valid record.
func (r *recovery) segment(n uint64, data []byte, last bool) {
	r.number, r.afterCut.active = n, false
	f, at, err := frame.DetectFormat(data, n)
	switch {
	case errors.Is(err, frame.ErrTorn) && last:
		r.torn(n, 0, len(data))
		return
	case err != nil && at == 0:
		r.damaged(n, 0, err)
		return
	case err != nil: // the other header is valid
		r.problem(segmentPath(n), 0, err.Error(), false)
		r.toCopy[n] = true
	}
	if f.Keyed {
		r.report.Headed++
	}
	for at < len(data) {
		payload, next, err := f.Record(data, at)
		if err == nil {
			r.report.Records++
			if err := r.apply(payload); err != nil {
				r.problem(segmentPath(n), at, err.Error(), false)
			}
			at = next
			continue
		}
		if errors.Is(err, frame.ErrTorn) && (last || !f.Keyed) && !r.afterCut.active {
			r.torn(n, at, len(data))
			if !f.Keyed && !(len(data) > at+frame.PlainHeadSize && data[at+frame.PlainHeadSize] == recAccepted) {
				// A plain segment shows a torn record only by its length, and a corrupt length looks the same.
				r.markInDoubt()
			}
			return
		}
		if r.afterCut.active {
			r.problem(segmentPath(n), at, err.Error(), false)
			r.markInDoubt()
		} else {
			r.damaged(n, at, err)
			r.afterCut.active = true
		}
		if at = f.FindNext(data, at, next); at < 0 {
			return
		}
	}
}

// torn reports a torn tail and schedules its truncation.
func (r *recovery) torn(n uint64, at, size int) {
	r.problem(segmentPath(n), at, fmt.Sprintf("torn tail of %d bytes", size-at), true)
	r.cuts[n] = int64(at)
}

// damaged reports damage, and schedules a copy of the segment and its truncation at that position.
func (r *recovery) damaged(n uint64, at int, err error) {
	r.problem(segmentPath(n), at, err.Error(), false)
	r.cuts[n] = int64(at)
	r.toCopy[n] = true
	r.markInDoubt()
}

// apply applies a record to the journal's state, and collects what has to be written again if the record comes after a cut.
func (r *recovery) apply(payload []byte) error {
	rd := reader{rest: payload}
	kind, seq := rd.u8(), policy.MessageID(rd.uvarint())
	m := r.journal.live[seq]
	err := r.journal.apply(r.number, payload, r.doubt[seq])
	if err != nil {
		return err
	}
	switch kind {
	case recAccepted, recClosed: // these replace all earlier records of the message
		delete(r.doubt, seq)
		delete(r.unknown, seq)
		delete(r.afterCut.attempts, seq)
	case recAttempt, recOutcome, recEnded:
		if m == nil && seq != 0 && r.report.Damaged() {
			r.unknown[seq] = true
		}
	}
	if !r.afterCut.active {
		return nil
	}
	switch kind {
	case recAccepted:
		r.afterCut.accepted[seq] = true
		delete(r.afterCut.closed, seq)
	case recAttempt:
		r.afterCut.attempts[seq]++
	case recEnded:
		r.afterCut.ended[seq] = true
	case recClosed:
		r.afterCut.closed[seq] = true
		if m != nil {
			r.afterCut.over = append(r.afterCut.over, m.ID)
		}
	case recEndedIDs:
		r.afterCut.over = append(r.afterCut.over, rd.ids()...)
	case recOrder:
		rd.u8()
		r.afterCut.orders[string(rd.bytes())] = true
	}
	return nil
}

// resolve marks the messages in doubt as possibly run, and completes the report.
func (r *recovery) resolve() {
	for _, seq := range sorted(r.doubt) {
		m := r.journal.live[seq]
		if m == nil {
			delete(r.doubt, seq)
			continue
		}
		r.report.Doubt = append(r.report.Doubt, m.ID)
		m.Past.attempt("", 0, unknownTime)
		m.Past.outcome(false)
	}
	for seq := range r.unknown {
		if r.journal.live[seq] == nil {
			r.report.Lost = append(r.report.Lost, uint64(seq))
		}
	}
	slices.Sort(r.report.Doubt)
	slices.Sort(r.report.Lost)
	r.report.Owed = len(r.journal.live)
}

// repair changes the folder so that the next replay finds the same state and no damage. The records that truncation
// removes, and the messages in doubt, are written to the newest segment before any other file is changed.
func (r *recovery) repair() error {
	j := r.journal
	if len(r.cuts) == 0 && len(r.toCopy) == 0 && len(r.doubt) == 0 {
		return nil
	}
	j.retryAt = math.MaxInt64 // no checkpoint may be written during the repair
	defer func() { j.retryAt = 0 }()
	for _, n := range sorted(r.toCopy) {
		if i := slices.IndexFunc(j.segments, func(s segment) bool { return s.number == n }); i >= 0 {
			if err := r.copyDamaged(j.segments[i]); err != nil {
				return err
			}
		}
	}
	err := r.rewrite()
	if errors.Is(err, ErrFull) {
		j.log.Error("journal: no space to repair the folder; the next start will find the same damage", "err", err)
		return nil
	}
	if err != nil {
		return err
	}
	if err := j.syncFile(); err != nil {
		return err
	}
	for _, n := range sorted(r.cuts) {
		if err := r.truncate(n, r.cuts[n]); err != nil {
			return fmt.Errorf("recovering the journal: %w", err)
		}
	}
	if err := j.fs.Sync(); err != nil {
		return fmt.Errorf("recovering the journal: %w", err)
	}
	return nil
}

// rewrite writes again what the cuts remove, and records the messages in doubt as possibly run.
func (r *recovery) rewrite() error {
	j := r.journal
	first := j.segments[len(j.segments)-1].number
	var records [][]byte
	for _, seq := range sorted(r.afterCut.closed) {
		records = append(records, closedRecord(seq, "", unknownTime))
	}
	for _, name := range sorted(r.afterCut.orders) {
		_, out := j.orders[name]
		records = append(records, orderRecord(name, out, unknownTime))
	}
	for ids := range slices.Chunk(r.afterCut.over, endedIDsChunk) {
		records = append(records, endedIDsRecord(ids))
	}
	records = append(records, record(recNextNumber, j.next))
	for _, b := range records {
		if err := j.append(b, nil); err != nil {
			return err
		}
	}
	for _, name := range sorted(r.afterCut.orders) {
		if _, out := j.orders[name]; out {
			j.orders[name] = j.segments[len(j.segments)-1].number
		}
	}
	for _, seq := range sorted(j.live) {
		m := j.live[seq]
		if r.afterCut.accepted[seq] {
			if err := j.append(acceptedRecord(m), m); err != nil {
				return err
			}
			continue
		}
		var records [][]byte
		if r.doubt[seq] {
			b := attemptRecord(seq, "", 0, unknownTime)
			records = slices.Repeat([][]byte{b}, 1+r.afterCut.attempts[seq])
		}
		if r.afterCut.ended[seq] && m.Notice != nil {
			records = append(records, appendNotice(record(recEnded, seq), m.Notice))
		}
		for _, b := range records {
			if err := j.freeSpace(int64(len(b) + j.format.HeadSize())); err != nil {
				return err
			}
			if j.holder[seq] >= first { // freeSpace has just copied the message, including this state
				break
			}
			if err := j.write(b, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// truncate shortens a segment to a size, or creates it empty if it is missing, so that the next replay does not report it
// again.
func (r *recovery) truncate(n uint64, size int64) error {
	j := r.journal
	if n < j.segments[0].number {
		return nil // compact has removed it meanwhile
	}
	i := slices.IndexFunc(j.segments, func(s segment) bool { return s.number >= n })
	if i >= 0 && j.segments[i].number == n {
		j.segments[i].size = size
		return j.fs.Cut(segmentPath(n), size)
	}
	f, err := j.fs.Create(segmentPath(n))
	if err != nil {
		return err
	}
	j.segments = slices.Insert(j.segments, i, segment{number: n})
	return f.Close()
}

// sorted returns the keys of a map in ascending order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// copyDamaged copies a damaged segment, if there is space for it. Older copies are removed to free space.
func (r *recovery) copyDamaged(s segment) error {
	j := r.journal
	if s.size == 0 {
		return nil
	}
	name := fmt.Sprintf(damagedCopyName, s.number)
	if slices.ContainsFunc(j.damagedCopies, func(a segment) bool { return a.number == s.number && a.size >= s.size }) {
		return nil // an earlier start has made the copy
	}
	for {
		i := slices.IndexFunc(j.damagedCopies, func(a segment) bool { return a.number == s.number })
		if i < 0 && j.diskSize()+diskUsage(s.size)+j.segSize+2*blockSize > j.limit && len(j.damagedCopies) > 0 {
			i = 0
		}
		if i < 0 {
			break
		}
		if err := j.dropDamagedCopy(i); err != nil {
			return err
		}
	}
	if j.diskSize()+diskUsage(s.size)+j.segSize+2*blockSize > j.limit {
		j.log.Warn("journal: no space to keep a copy of a damaged segment", "segment", s.number)
		return nil
	}
	data, err := j.fs.Read(segmentPath(s.number), s.size)
	if err != nil {
		return fmt.Errorf("copying a damaged segment: %w", err)
	}
	f, err := j.fs.Create(name)
	if err != nil {
		return fmt.Errorf("copying a damaged segment: %w", err)
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("copying a damaged segment: %w", err)
	}
	j.damagedCopies = append(j.damagedCopies, segment{number: s.number, size: int64(len(data))})
	r.report.SetAside = append(r.report.SetAside, name)
	return nil
}

// dropDamagedCopy removes a copy of a damaged segment to free space.
func (j *Journal) dropDamagedCopy(i int) error {
	name := fmt.Sprintf(damagedCopyName, j.damagedCopies[i].number)
	if err := j.fs.Remove(name); err != nil {
		return fmt.Errorf("making room: %w", err)
	}
	j.log.Warn("journal: removed the copy of a damaged segment to free space", "file", name)
	j.damagedCopies = slices.Delete(j.damagedCopies, i, i+1)
	return nil
}

// Check replays the journal in a folder and returns the report. limit is the limit of the folder in bytes (Options.Limit).
// It writes nothing.
func Check(fs vfs.Folder, limit int64) (*Report, error) {
	j, err := Replay(Options{Folder: fs, Limit: limit})
	if err != nil {
		return nil, err
	}
	return &j.recovery.report, nil
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%d segments (%d with headers), %d records, %d bytes, %d messages owed", r.Segments, r.Headed, r.Records, r.Bytes, r.Owed)
	if r.Checkpoint > 0 {
		fmt.Fprintf(&b, ", from the checkpoint "+segmentName, r.Checkpoint)
	}
	b.WriteByte('\n')
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "%s at byte %d: %s\n", p.File, p.At, p.What)
	}
	for _, id := range r.Doubt {
		fmt.Fprintf(&b, "in doubt, counts as possibly run: %s\n", id)
	}
	for _, n := range r.Lost {
		fmt.Fprintf(&b, "lost but for traces: message number %d\n", n)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
