package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunetide/internal/platform/frame"
	"dunetide/policy"
)

const (
	// A checkpoint is due when the segments after the last one exceed both checkpointSegments full segments and
	// checkpointShare times the bytes reserved for live messages.
	checkpointSegments = 4
	checkpointShare    = 2
	// endedIDsChunk is the largest number of ids in one recEndedIDs.
	endedIDsChunk = 256
	// maxSent is the number of calls that are remembered for each endpoint: more than a node makes to one endpoint within
	// any window. maxEndpoints is the number of endpoints that are remembered: more than exist.
	maxSent      = 256
	maxEndpoints = 1024
)

// sinceCheckpoint returns the bytes of the segments after the last checkpoint.
func (j *Journal) sinceCheckpoint() int64 {
	sum := int64(0)
	for _, s := range j.segments {
		if s.number > j.checkpoint {
			sum += s.size
		}
	}
	return sum
}

// checkpointDue reports whether a checkpoint should be written and the folder has space for it.
func (j *Journal) checkpointDue() bool {
	since := j.sinceCheckpoint()
	return j.sync && since > j.retryAt && since > checkpointSegments*j.segSize && since > checkpointShare*j.liveSize &&
		j.diskSize()+j.liveSize+2*j.segSize+2*blockSize <= j.limit
}

// writeCheckpoint writes the whole state into one segment, starts a new segment after it, and removes the earlier ones.
// An error during or after the rename makes the journal refuse messages.
func (j *Journal) writeCheckpoint() error {
	if err := j.syncFile(); err != nil {
		return err
	}
	n := j.segments[len(j.segments)-1].number + 1
	f := frame.Format{Keyed: true, Checkpoint: true, Number: n, Salt: rand.Uint64()}
	size, err := j.writeState(f)
	if err != nil { // the next checkpoint, or the next start, removes the unfinished file
		return fmt.Errorf("writing a checkpoint: %w", err)
	}
	// Once the rename may have happened, a replay may start from the checkpoint and skip the current segment, so no more
	// records may be written to that segment.
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
	j.checkpoint, j.checkpointAt, j.retryAt = n, j.now(), 0
	for seq := range j.live {
		j.holder[seq] = n
	}
	for name := range j.orders {
		j.orders[name] = n
	}
	j.replaced = append(j.replaced, old...)
	if err := j.removeObsolete(); err != nil { // diskSize counts the remaining segments, and the next start removes them
		j.log.Warn("journal: segments replaced by a checkpoint could not be removed", "err", err)
	}
	return nil
}

// writeState writes the state to the temporary file of a checkpoint, makes it durable, and returns its size.
func (j *Journal) writeState(f frame.Format) (size int64, err error) {
	if err := j.removeUnfinished(); err != nil {
		return 0, err
	}
	file, err := j.fs.Create(checkpointName)
	if err != nil {
		return 0, err
	}
	j.hasUnfinished = true
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Write(f.Header()); err != nil {
		return 0, err
	}
	size = frame.HeadersSize
	put := func(payload []byte) error {
		j.buf = f.AppendRecord(j.buf[:0], payload, size)
		size += int64(len(j.buf))
		_, err := file.Write(j.buf)
		return err
	}
	for b := range j.state() {
		if err := put(b); err != nil {
			return 0, err
		}
	}
	if err := put(record(recCheckpointEnd, 0)); err != nil {
		return 0, err
	}
	if err := file.Sync(); err != nil {
		return 0, err
	}
	j.hasUnfinished = false // the caller renames it
	return size, nil
}

// removeUnfinished removes an unfinished checkpoint, if there is one.
func (j *Journal) removeUnfinished() error {
	if !j.hasUnfinished {
		return nil
	}
	if err := j.fs.Remove(checkpointName); err != nil {
		return err
	}
	j.hasUnfinished = false
	return nil
}

// state yields records that rebuild the current state.
func (j *Journal) state() func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		if !yield(record(recNextNumber, j.next)) {
			return
		}
		for ids := range slices.Chunk(j.recentEndedIDs.IDs(), endedIDsChunk) {
			if !yield(endedIDsRecord(ids)) {
				return
			}
		}
		for _, name := range sorted(j.recentMemories) {
			for _, b := range j.recentMemories[name].records(name) {
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
			if !yield(acceptedRecord(j.live[seq])) {
				return
			}
		}
	}
}

// records returns records that rebuild a memory. They have message number 0, which is never assigned to a message.
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

// cloneMemories returns a deep copy.
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

// recentMemory returns the memory of an endpoint for the next checkpoint, creating it if needed, or nil without Options.Sync. If
// there are too many endpoints, the one whose last call or failure is the oldest is evicted.
func (j *Journal) recentMemory(endpoint string) *Memory {
	if !j.sync {
		return nil
	}
	m := j.recentMemories[endpoint]
	if m != nil {
		return m
	}
	if len(j.recentMemories) >= maxEndpoints {
		oldest := slices.MinFunc(sorted(j.recentMemories), func(a, b string) int {
			return j.recentMemories[a].last().Compare(j.recentMemories[b].last())
		})
		delete(j.recentMemories, oldest)
	}
	m = &Memory{}
	j.recentMemories[endpoint] = m
	return m
}

// last returns the time of the last call or failure.
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

// noteSent records a call for the next checkpoint.
func (j *Journal) noteSent(endpoint string, at time.Time) {
	if m := j.recentMemory(endpoint); m != nil {
		m.addCall(at)
	}
}

// noteOutcome records a failure for the next checkpoint. It ignores other outcomes.
func (j *Journal) noteOutcome(endpoint string, o policy.Outcome, at time.Time) {
	if m := j.recentMemory(endpoint); m != nil {
		if failed(o) {
			m.addFailure(o, at)
		}
	}
}

// noteClosed records for the next checkpoint the end of a message, and a success if an endpoint is given.
func (j *Journal) noteClosed(id, endpoint string, at time.Time) {
	if !j.sync {
		return
	}
	j.recentEndedIDs.Add(id)
	if m := j.recentMemory(endpoint); m != nil && endpoint != "" {
		m.addSuccess(at)
	}
}

// noteOrder records for the next checkpoint that an operator has put an endpoint back into service.
func (j *Journal) noteOrder(endpoint string, out bool, at time.Time) {
	if m := j.recentMemory(endpoint); m != nil && !out {
		m.restarted(at)
	}
}

// addCall adds a call. The oldest one is dropped if there are too many.
func (m *Memory) addCall(at time.Time) {
	if n := len(m.Sent); n > 0 && m.Sent[n-1].Equal(at) { // another message of the same bundle
		return
	}
	if len(m.Sent) >= maxSent {
		m.Sent = slices.Delete(m.Sent, 0, 1)
	}
	m.Sent = append(m.Sent, at)
}

// Status is the state of a journal as the console shows it to operators.
type Status struct {
	Bytes      int64     `json:"bytes"` // on disk, including the copies of damaged segments
	Limit      int64     `json:"limit"`
	Segments   int       `json:"segments"`
	Live       int       `json:"live_messages"`
	Orders     int       `json:"orders"`
	Sync       bool      `json:"sync"`
	Syncs      int64     `json:"syncs"`
	Waiting    int       `json:"waiting_for_sync"`
	Failed     string    `json:"failed,omitempty"`
	Checkpoint uint64    `json:"checkpoint"` // number of its segment, 0 if there is none
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

// Status returns the state of the journal and the result of its last replay.
func (j *Journal) Status() Status {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Status{Bytes: j.diskSize(), Limit: j.limit, Segments: len(j.segments), Live: len(j.live), Orders: len(j.orders),
		Sync: j.sync, Syncs: j.syncer.count, Waiting: len(j.syncer.waiting), Checkpoint: j.checkpoint,
		CheckedAt: j.checkpointAt, SetAside: len(j.damagedCopies)}
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
