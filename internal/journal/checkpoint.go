package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/policy"
)

const (
	// checkpointSegments is how many segments may come after a checkpoint, and
	// checkpointShare how many times what is owed, before the next one is written.
	checkpointSegments = 4
	checkpointShare    = 2
	// overChunk is how many ids stand in one record.
	overChunk = 256
	// manySent and manyEndpoints bound what is kept of the endpoints' last calls: more than
	// a node makes to one of them within any window, and than there are.
	manySent      = 256
	manyEndpoints = 1024
)

// sinceCheckpoint is what the segments hold that come after the checkpoint.
func (j *Journal) sinceCheckpoint() int64 {
	sum := int64(0)
	for _, s := range j.segments {
		if s.number > j.checkpoint {
			sum += s.size
		}
	}
	return sum
}

// checkpointDue tells whether a checkpoint is worth its writing, and fits.
func (j *Journal) checkpointDue() bool {
	since := j.sinceCheckpoint()
	return j.sync && since > j.retryAt && since > checkpointSegments*j.segSize && since > checkpointShare*j.liveSize &&
		j.diskSize()+j.liveSize+2*j.segSize+2*block <= j.limit
}

// writeCheckpoint writes all that counts into one segment, and removes those before it.
func (j *Journal) writeCheckpoint() error {
	if err := j.syncFile(); err != nil {
		return err
	}
	n := j.segments[len(j.segments)-1].number + 1
	f := format{keyed: true, checkpoint: true, number: n, salt: rand.Uint64()}
	size, err := j.writeState(f)
	if err != nil { // what lies there is removed by the next one, or at the next start
		return fmt.Errorf("writing a checkpoint: %w", err)
	}
	// From here on a start may begin with it: what would be written to the present segment
	// might not be read any more.
	if err = j.fs.Rename(checkpointName, segmentPath(n)); err == nil {
		err = j.fs.Sync()
	}
	old := j.segments
	if err == nil {
		j.segments = append(slices.Clone(old), segment{number: n, size: size})
		err = j.roll()
	}
	if err != nil {
		return j.fail(fmt.Errorf("taking a checkpoint into use: %w", err))
	}
	j.segments = slices.Delete(j.segments, 0, len(old))
	j.checkpoint, j.checkedAt, j.retryAt = n, j.now(), 0
	for seq := range j.live {
		j.home[seq] = n
	}
	for name := range j.orders {
		j.orders[name] = n
	}
	j.replaced = append(j.replaced, old...)
	if err := j.tidy(); err != nil { // they are counted, and removed at the next start
		j.log.Warn("journal: what a checkpoint replaces is still there", "err", err)
	}
	return nil
}

// writeState writes a checkpoint to its temporary file.
func (j *Journal) writeState(f format) (size int64, err error) {
	if err := j.removeStray(); err != nil {
		return 0, err
	}
	file, err := j.fs.Create(checkpointName)
	if err != nil {
		return 0, err
	}
	j.stray = true
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Write(f.header()); err != nil {
		return 0, err
	}
	size = headers
	put := func(payload []byte) error {
		j.buf = f.frame(j.buf[:0], payload, size)
		size += int64(len(j.buf))
		_, err := file.Write(j.buf)
		return err
	}
	for b := range j.state() {
		if err := put(b); err != nil {
			return 0, err
		}
	}
	if err := put(record(recEnd, 0)); err != nil {
		return 0, err
	}
	if err := file.Sync(); err != nil {
		return 0, err
	}
	j.stray = false // it is about to have its name
	return size, nil
}

func (j *Journal) removeStray() error {
	if !j.stray {
		return nil
	}
	if err := j.fs.Remove(checkpointName); err != nil {
		return err
	}
	j.stray = false
	return nil
}

// state are the records that hold all that counts.
func (j *Journal) state() func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if !yield(record(recNext, j.next)) {
			return
		}
		for ids := range slices.Chunk(j.recentOver.all(), overChunk) {
			if !yield(overRecord(ids)) {
				return
			}
		}
		for _, name := range sorted(j.recent) {
			for _, b := range j.recent[name].records(name) {
				if !yield(b) {
					return
				}
			}
		}
		for _, name := range sorted(j.orders) {
			if !yield(orderRecord(name, true, j.now())) {
				return
			}
		}
		for _, seq := range sorted(j.live) {
			if !yield(takenRecord(j.live[seq])) {
				return
			}
		}
	}
}

// records tell of an endpoint's calls and health with no message: number 0 is nobody's.
func (m *Memory) records(endpoint string) [][]byte {
	var out [][]byte
	for _, at := range m.Sent {
		out = append(out, attemptRecord(0, endpoint, 0, at))
	}
	for _, run := range m.Runs {
		for _, o := range run.Outcomes {
			out = append(out, outcomeRecord(0, o, endpoint, run.FailedAt))
		}
		if !run.BackAt.IsZero() {
			out = append(out, closedRecord(0, endpoint, run.BackAt))
		}
	}
	return out
}

func cloneMemories(in map[string]*Memory) map[string]*Memory {
	out := make(map[string]*Memory, len(in))
	for name, m := range in {
		c := *m
		c.Sent, c.Runs = slices.Clone(m.Sent), slices.Clone(m.Runs)
		for i := range c.Runs {
			c.Runs[i].Outcomes = slices.Clone(c.Runs[i].Outcomes)
		}
		out[name] = &c
	}
	return out
}

// note returns what is known of an endpoint, for the next checkpoint; nil where there are
// none. Of too many, the one that was called longest ago goes.
func (j *Journal) note(endpoint string) *Memory {
	if !j.sync {
		return nil
	}
	m := j.recent[endpoint]
	if m != nil {
		return m
	}
	if len(j.recent) >= manyEndpoints {
		oldest := slices.MinFunc(sorted(j.recent), func(a, b string) int {
			return j.recent[a].last().Compare(j.recent[b].last())
		})
		delete(j.recent, oldest)
	}
	m = &Memory{}
	j.recent[endpoint] = m
	return m
}

func (m *Memory) last() time.Time {
	var last time.Time
	if n := len(m.Runs); n > 0 {
		last = m.Runs[n-1].FailedAt
	}
	if n := len(m.Sent); n > 0 && m.Sent[n-1].After(last) {
		last = m.Sent[n-1]
	}
	return last
}

func (j *Journal) noteSent(endpoint string, at time.Time) {
	if m := j.note(endpoint); m != nil {
		m.sentAt(at)
	}
}

func (j *Journal) noteOutcome(endpoint string, o policy.Outcome, at time.Time) {
	if m := j.note(endpoint); m != nil {
		if failed(o) {
			m.fail(o, at)
		}
	}
}

func (j *Journal) noteClosed(id, endpoint string, at time.Time) {
	if !j.sync {
		return
	}
	j.recentOver.Add(id)
	if m := j.note(endpoint); m != nil && endpoint != "" {
		m.back(at)
	}
}

func (j *Journal) noteOrder(endpoint string, out bool, at time.Time) {
	if m := j.note(endpoint); m != nil && !out {
		m.restarted(at)
	}
}

func (m *Memory) sentAt(at time.Time) {
	if n := len(m.Sent); n > 0 && m.Sent[n-1].Equal(at) { // a bundle's
		return
	}
	if len(m.Sent) >= manySent {
		m.Sent = slices.Delete(m.Sent, 0, 1)
	}
	m.Sent = append(m.Sent, at)
}

// Status is what the staff are shown of the journal.
type Status struct {
	Bytes      int64     `json:"bytes"` // on disk, with what is set aside
	Limit      int64     `json:"limit"`
	Segments   int       `json:"segments"`
	Live       int       `json:"live_messages"`
	Orders     int       `json:"orders"`
	Sync       bool      `json:"sync"`
	Syncs      int64     `json:"syncs"`
	Waiting    int       `json:"waiting_for_sync"`
	Failed     string    `json:"failed,omitempty"`
	Checkpoint uint64    `json:"checkpoint"` // its segment, 0 for none
	CheckedAt  time.Time `json:"checkpoint_written,omitzero"`
	SetAside   int       `json:"set_aside"`
	Recovery   struct {
		Segments int      `json:"segments"`
		Records  int      `json:"records"`
		Bytes    int64    `json:"bytes"`
		Owed     int      `json:"owed"`
		InDoubt  int      `json:"in_doubt"`
		Lost     int      `json:"lost"`
		Problems []string `json:"problems"`
		TookMs   float64  `json:"took_ms"`
	} `json:"last_recovery"`
}

// Status tells of the journal as it is, and of what its start found.
func (j *Journal) Status() Status {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Status{Bytes: j.diskSize(), Limit: j.limit, Segments: len(j.segments), Live: len(j.live), Orders: len(j.orders),
		Sync: j.sync, Syncs: j.syncer.count, Waiting: len(j.syncer.waiting), Checkpoint: j.checkpoint,
		CheckedAt: j.checkedAt, SetAside: len(j.aside)}
	if j.syncer.failed != nil {
		s.Failed = j.syncer.failed.Error()
	}
	r, out := &j.recovery.report, &s.Recovery
	out.Segments, out.Records, out.Bytes, out.Owed = r.Segments, r.Records, r.Bytes, r.Owed
	out.InDoubt, out.Lost, out.TookMs = len(r.Doubt), len(r.Lost), float64(r.Took.Microseconds())/1000
	out.Problems = []string{}
	for _, p := range r.Problems {
		out.Problems = append(out.Problems, fmt.Sprintf("%s at byte %d: %s", p.File, p.At, p.What))
	}
	return s
}
