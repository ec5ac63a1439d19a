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

	"dunetide/policy"
)

const (
	segmentName = "journal-%016d"
	damagedName = "damaged-%016d"
	// checkpointName is where a checkpoint lies until it is whole.
	checkpointName = "checkpoint.tmp"
	// maxProblems bounds a report.
	maxProblems = 64
)

// longAgo is when an attempt is taken to have been made of which nothing is known.
var longAgo = time.UnixMicro(1)

// Problem is something in a folder that does not check.
type Problem struct {
	File string
	At   int
	What string
	Torn bool // a tail that was not written to its end: it tells of no damage
}

// Report is what a start found in its folder.
type Report struct {
	Segments   int
	Headed     int // of them have headers
	Records    int
	Bytes      int64 // read
	Checkpoint uint64
	Owed       int
	Problems   []Problem
	Doubt      []string // ids of messages whose last state is not known
	Lost       []uint64 // numbers of messages of which only traces are left
	SetAside   []string
	Took       time.Duration
}

// Damaged tells whether anything was found but a torn tail.
func (r *Report) Damaged() bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool { return !p.Torn })
}

// recovery is the state of a replay.
type recovery struct {
	j      *Journal
	report Report
	number uint64                    // of the segment that is being read
	cuts   map[uint64]int64          // where to cut segments, and which missing ones to fill in
	keep   map[uint64]bool           // segments to keep a copy of
	doubt  map[policy.MessageID]bool // whose state at the last damage is not known
	trace  map[policy.MessageID]bool // heard of after damage, but unknown
	behind behind
}

// behind is what was read behind a cut, and will be gone with it.
type behind struct {
	on       bool // such is being read
	taken    map[policy.MessageID]bool
	attempts map[policy.MessageID]int
	ended    map[policy.MessageID]bool
	closed   map[policy.MessageID]bool
	over     []string
	orders   map[string]bool
}

// numberOf reads the name of a segment.
func numberOf(name, form string) (uint64, bool) {
	var n uint64
	if _, err := fmt.Sscanf(name, form, &n); err != nil || name != fmt.Sprintf(form, n) || n == 0 {
		return 0, false
	}
	return n, true
}

// replay reads what is in the folder and writes nothing.
func (j *Journal) replay() error {
	began := j.now()
	files, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("opening the journal: %w", err)
	}
	var numbers []uint64
	for _, f := range files {
		switch n, ok := numberOf(f.Name, segmentName); {
		case ok:
			numbers = append(numbers, n)
			j.segments = append(j.segments, segment{number: n, size: f.Size})
		case f.Name == checkpointName:
			j.stray = true
		default:
			if n, ok := numberOf(f.Name, damagedName); ok {
				j.aside = append(j.aside, segment{number: n, size: f.Size})
			} else {
				j.foreign += onDisk(f.Size)
			}
		}
	}
	slices.Sort(numbers)
	byNumber := func(a, b segment) int { return cmp.Compare(a.number, b.number) }
	slices.SortFunc(j.segments, byNumber)
	slices.SortFunc(j.aside, byNumber)
	r := &recovery{j: j, cuts: map[uint64]int64{}, keep: map[uint64]bool{}, doubt: map[policy.MessageID]bool{},
		trace: map[policy.MessageID]bool{}, behind: behind{taken: map[policy.MessageID]bool{}, attempts: map[policy.MessageID]int{},
			ended: map[policy.MessageID]bool{}, closed: map[policy.MessageID]bool{}, orders: map[string]bool{}}}
	j.recovery = r
	var checkpoints []int // in the order of their numbers
	for i, n := range numbers {
		head, err := j.fs.Head(segmentPath(n), headers)
		if err != nil {
			return fmt.Errorf("replaying the journal: %w", err)
		}
		f, at, err := formatOf(head, n)
		if errors.Is(err, ErrNewer) {
			return fmt.Errorf("%s: %w", segmentPath(n), err)
		}
		if at > 0 && f.checkpoint { // one spoilt header is no loss, and told of when it is read
			checkpoints = append(checkpoints, i)
		}
	}
	for _, i := range slices.Backward(checkpoints) { // what a whole one replaces does not count
		data, err := r.read(numbers[i])
		if err != nil {
			return err
		}
		if f, at, _ := formatOf(data, numbers[i]); at == 0 || !whole(f, data, at) {
			continue
		}
		r.report.Checkpoint, j.checkpoint = numbers[i], numbers[i]
		j.replaced = slices.Clone(j.segments[:i])
		j.segments, numbers = j.segments[i:], numbers[i:]
		break
	}
	r.report.Problems = nil // of those that were only looked at
	for i, n := range numbers {
		if i > 0 && n != numbers[i-1]+1 {
			r.missing(numbers[i-1]+1, n-1)
		}
		data, err := r.read(n) // one at a time: the folder may be larger than the memory
		if err != nil {
			return err
		}
		r.segment(n, data, i == len(numbers)-1)
	}
	r.report.Segments = len(numbers)
	r.settle()
	r.report.Took = j.now().Sub(began)
	return nil
}

// read reads a segment. One that is too large to be anything of ours has nothing that
// checks, and no copy of it fits.
func (r *recovery) read(n uint64) ([]byte, error) {
	j := r.j
	data, err := j.fs.Read(segmentPath(n), max(j.limit, 2*(MaxBody+4<<10)))
	switch {
	case errors.Is(err, errTooLarge):
		r.problem(segmentPath(n), 0, err.Error(), false)
		j.segments[slices.IndexFunc(j.segments, func(s segment) bool { return s.number == n })].size = 0
		return []byte("\xff\xff\xff\xff"), nil
	case err != nil:
		return nil, fmt.Errorf("replaying the journal: %w", err)
	}
	r.report.Bytes += int64(len(data))
	return data, nil
}

// whole tells whether a checkpoint was written to its end.
func whole(f format, data []byte, at int) bool {
	for at < len(data) {
		payload, next, err := f.record(data, at)
		if err != nil {
			return false
		}
		if payload[0] == recEnd {
			return next == len(data)
		}
		at = next
	}
	return false
}

func (r *recovery) problem(file string, at int, what string, torn bool) {
	if len(r.report.Problems) < maxProblems {
		r.report.Problems = append(r.report.Problems, Problem{File: file, At: at, What: what, Torn: torn})
	}
}

// missing tells of segments that are not there between others.
func (r *recovery) missing(from, to uint64) {
	what := "missing"
	if to > from {
		what = fmt.Sprintf("missing, as all up to %d", to)
	}
	r.problem(segmentPath(from), 0, what, false)
	r.inDoubt()
	if to-from < maxProblems { // more can't be filled in, and are told of at each start
		for n := from; n <= to; n++ {
			r.cuts[n] = 0
		}
	}
}

// inDoubt tells that records may be missing here: whatever is live may have run.
func (r *recovery) inDoubt() {
	for seq := range r.j.live {
		r.doubt[seq] = true
	}
}

// segment reads one segment up to its end, its torn tail, or past what is damaged.
func (r *recovery) segment(n uint64, data []byte, last bool) {
	r.number, r.behind.on = n, false
	f, at, err := formatOf(data, n)
	switch {
	case errors.Is(err, errTorn) && last:
		r.torn(n, 0, len(data))
		return
	case err != nil && at == 0:
		r.damaged(n, 0, err)
		return
	case err != nil: // the other header has all
		r.problem(segmentPath(n), 0, err.Error(), false)
		r.keep[n] = true
	}
	if f.keyed {
		r.report.Headed++
	}
	for at < len(data) {
		payload, next, err := f.record(data, at)
		if err == nil {
			r.report.Records++
			if err := r.apply(payload); err != nil {
				r.problem(segmentPath(n), at, err.Error(), false)
			}
			at = next
			continue
		}
		if errors.Is(err, errTorn) && (last || !f.keyed) && !r.behind.on {
			r.torn(n, at, len(data))
			if !f.keyed && !(len(data) > at+plainHead && data[at+plainHead] == recTaken) {
				// By its length alone: a spoilt length looks the same.
				r.inDoubt()
			}
			return
		}
		if r.behind.on {
			r.problem(segmentPath(n), at, err.Error(), false)
			r.inDoubt()
		} else {
			r.damaged(n, at, err)
			r.behind.on = true
		}
		if at = f.resume(data, at, next); at < 0 {
			return
		}
	}
}

func (r *recovery) torn(n uint64, at, size int) {
	r.problem(segmentPath(n), at, fmt.Sprintf("torn tail of %d bytes", size-at), true)
	r.cuts[n] = int64(at)
}

func (r *recovery) damaged(n uint64, at int, err error) {
	r.problem(segmentPath(n), at, err.Error(), false)
	r.cuts[n] = int64(at)
	r.keep[n] = true
	r.inDoubt()
}

// apply takes in a record. After damage it counts only where that makes things safer.
func (r *recovery) apply(payload []byte) error {
	rd := reader{b: payload}
	kind, seq := rd.u8(), policy.MessageID(rd.uvarint())
	m := r.j.live[seq]
	err := r.j.apply(r.number, payload, r.doubt[seq])
	if err != nil {
		return err
	}
	switch kind {
	case recTaken, recClosed: // nothing before them counts
		delete(r.doubt, seq)
		delete(r.trace, seq)
		delete(r.behind.attempts, seq)
	case recAttempt, recOutcome, recEnded:
		if m == nil && seq != 0 && r.report.Damaged() {
			r.trace[seq] = true
		}
	}
	if !r.behind.on {
		return nil
	}
	switch kind {
	case recTaken:
		r.behind.taken[seq] = true
		delete(r.behind.closed, seq)
	case recAttempt:
		r.behind.attempts[seq]++
	case recEnded:
		r.behind.ended[seq] = true
	case recClosed:
		r.behind.closed[seq] = true
		if m != nil {
			r.behind.over = append(r.behind.over, m.ID)
		}
	case recOver:
		r.behind.over = append(r.behind.over, rd.ids()...)
	case recOrder:
		rd.u8()
		r.behind.orders[string(rd.bytes())] = true
	}
	return nil
}

// settle makes what is in doubt count as possibly run.
func (r *recovery) settle() {
	for _, seq := range sorted(r.doubt) {
		m := r.j.live[seq]
		if m == nil {
			delete(r.doubt, seq)
			continue
		}
		r.report.Doubt = append(r.report.Doubt, m.ID)
		m.Past.attempt("", 0, longAgo)
		m.Past.outcome(false)
	}
	for seq := range r.trace {
		if r.j.live[seq] == nil {
			r.report.Lost = append(r.report.Lost, uint64(seq))
		}
	}
	slices.Sort(r.report.Doubt)
	slices.Sort(r.report.Lost)
	r.report.Owed = len(r.j.live)
}

// repair makes the folder such that the next start finds the same and no damage. What
// will be gone, and what is in doubt, is written anew before any file is changed.
func (r *recovery) repair() error {
	j := r.j
	if len(r.cuts) == 0 && len(r.keep) == 0 && len(r.doubt) == 0 {
		return nil
	}
	j.retryAt = math.MaxInt64 // a checkpoint amid this would have half of it
	defer func() { j.retryAt = 0 }()
	for _, n := range sorted(r.keep) {
		if i := slices.IndexFunc(j.segments, func(s segment) bool { return s.number == n }); i >= 0 {
			if err := r.setAside(j.segments[i]); err != nil {
				return err
			}
		}
	}
	err := r.rewrite()
	if errors.Is(err, ErrNoRoom) {
		j.log.Error("journal: no room to mend the folder, the next start finds the same", "err", err)
		return nil
	}
	if err != nil {
		return err
	}
	if err := j.syncFile(); err != nil {
		return err
	}
	for _, n := range sorted(r.cuts) {
		if err := r.cut(n, r.cuts[n]); err != nil {
			return fmt.Errorf("recovering the journal: %w", err)
		}
	}
	if err := j.fs.Sync(); err != nil {
		return fmt.Errorf("recovering the journal: %w", err)
	}
	return nil
}

// rewrite writes what would be gone with the cuts, and the doubt.
func (r *recovery) rewrite() error {
	j := r.j
	first := j.segments[len(j.segments)-1].number
	var records [][]byte
	for _, seq := range sorted(r.behind.closed) {
		records = append(records, closedRecord(seq, "", longAgo))
	}
	for _, name := range sorted(r.behind.orders) {
		_, out := j.orders[name]
		records = append(records, orderRecord(name, out, longAgo))
	}
	for ids := range slices.Chunk(r.behind.over, overChunk) {
		records = append(records, overRecord(ids))
	}
	records = append(records, record(recNext, j.next))
	for _, b := range records {
		if err := j.append(b, nil); err != nil {
			return err
		}
	}
	for _, name := range sorted(r.behind.orders) {
		if _, out := j.orders[name]; out {
			j.orders[name] = j.segments[len(j.segments)-1].number
		}
	}
	for _, seq := range sorted(j.live) {
		m := j.live[seq]
		if r.behind.taken[seq] {
			if err := j.append(takenRecord(m), m); err != nil {
				return err
			}
			continue
		}
		var records [][]byte
		if r.doubt[seq] {
			b := attemptRecord(seq, "", 0, longAgo)
			records = slices.Repeat([][]byte{b}, 1+r.behind.attempts[seq])
		}
		if r.behind.ended[seq] && m.Notice != nil {
			records = append(records, appendNotice(record(recEnded, seq), m.Notice))
		}
		for _, b := range records {
			if err := j.makeRoom(int64(len(b) + j.format.head())); err != nil {
				return err
			}
			if j.home[seq] >= first { // it has just been moved on, with all this
				break
			}
			if err := j.write(b, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

// cut shortens a segment to what is sound. An empty one takes the place of one that is
// missing, or the next start would miss it again.
func (r *recovery) cut(n uint64, size int64) error {
	j := r.j
	if n < j.segments[0].number {
		return nil // it has been cleaned meanwhile
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

// sorted are the keys of a map, in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// setAside copies a segment, if there is room; older copies make room.
func (r *recovery) setAside(s segment) error {
	j := r.j
	if s.size == 0 {
		return nil
	}
	name := fmt.Sprintf(damagedName, s.number)
	if slices.ContainsFunc(j.aside, func(a segment) bool { return a.number == s.number && a.size >= s.size }) {
		return nil // an earlier start came as far as here
	}
	for {
		i := slices.IndexFunc(j.aside, func(a segment) bool { return a.number == s.number })
		if i < 0 && j.diskSize()+onDisk(s.size)+j.segSize+2*block > j.limit && len(j.aside) > 0 {
			i = 0
		}
		if i < 0 {
			break
		}
		if err := j.dropAside(i); err != nil {
			return err
		}
	}
	if j.diskSize()+onDisk(s.size)+j.segSize+2*block > j.limit {
		j.log.Warn("journal: no room to set a damaged segment aside", "segment", s.number)
		return nil
	}
	data, err := j.fs.Read(segmentPath(s.number), s.size)
	if err != nil {
		return fmt.Errorf("setting a damaged segment aside: %w", err)
	}
	f, err := j.fs.Create(name)
	if err != nil {
		return fmt.Errorf("setting a damaged segment aside: %w", err)
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("setting a damaged segment aside: %w", err)
	}
	j.aside = append(j.aside, segment{number: s.number, size: int64(len(data))})
	r.report.SetAside = append(r.report.SetAside, name)
	return nil
}

// dropAside removes the copy of a damaged segment.
func (j *Journal) dropAside(i int) error {
	name := fmt.Sprintf(damagedName, j.aside[i].number)
	if err := j.fs.Remove(name); err != nil {
		return fmt.Errorf("making room: %w", err)
	}
	j.log.Warn("journal: the copy of a damaged segment made room", "file", name)
	j.aside = slices.Delete(j.aside, i, i+1)
	return nil
}

// Check reads a folder and changes nothing.
func Check(fs Folder, limit int64) (*Report, error) {
	j, err := Replay(Options{Folder: fs, Limit: limit})
	if err != nil {
		return nil, err
	}
	return &j.recovery.report, nil
}

// Write prints a report for the staff.
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
