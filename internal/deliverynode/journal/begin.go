package journal

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sort"
	"strings"
	"time"

	"dunetide/policy"
)

// Open replays the journal in a folder and opens it for writing. It returns the live messages in the order in which they
// were accepted.
func Open(options Options) (*Journal, []*Message, error) {
	j, err := Replay(options)
	if err != nil {
		return nil, nil, err
	}
	owed, err := j.Begin(nil)
	return j, owed, err
}

// segmentsOfLimit is the number of full segments into which Options.Limit is divided.
const segmentsOfLimit = 24

// Replay reads the journal in a folder and writes nothing. It fails if a file cannot be read or was written by a newer
// program (frame.ErrNewer). Damage is not an error; Problems reports it.
func Replay(o Options) (*Journal, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	j := &Journal{fs: o.Folder, limit: o.Limit, base: o.Base, sync: o.Sync, log: o.Log, now: o.Now, next: 1,
		segSize: max(o.Limit/segmentsOfLimit, MaxBody+4<<10),
		live:    map[policy.MessageID]*Message{}, holder: map[policy.MessageID]uint64{}, Memories: map[string]*Memory{},
		EndedSet: NewIDRing(maxEndedIDs), recentEndedIDs: NewIDRing(0), orders: map[string]uint64{}}
	return j, j.replay()
}

// Begin makes this process the writer: it repairs the folder, starts a new segment, and returns the live messages in the
// order in which they were accepted. out lists the attempts whose outcome another process still waits for; any other
// attempt without an outcome counts as possibly run.
func (j *Journal) Begin(out []AttemptOut) ([]*Message, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.segments); j.sync && n > 0 { // each segment must be durable before the next one is started
		last := j.segments[n-1]
		if err := j.fs.Cut(segmentPath(last.number), last.size); err != nil {
			return nil, fmt.Errorf("opening the journal: %w", err)
		}
	}
	// Each start begins a new segment, so that no record follows a torn tail.
	if err := j.roll(); err != nil {
		return nil, err
	}
	pending := map[policy.MessageID]AttemptOut{}
	for _, a := range out {
		pending[a.Message] = a
	}
	owed := make([]*Message, 0, len(j.live))
	for _, m := range j.live {
		if a, ok := pending[m.Seq]; ok && m.Past.Out {
			m.Past.OutTo, m.Past.OutAt = a.Endpoint, a.At
		} else if m.Past.Out { // the process ended before the outcome; the message may have run or may still run
			m.Past.Out, m.Past.Settled = false, true
		}
		owed = append(owed, m)
		j.liveSize += reservedSize(m)
	}
	for name := range j.orders {
		j.liveSize += orderReservedSize(name)
	}
	if j.sync {
		j.recentMemories, j.recentEndedIDs = cloneMemories(j.Memories), j.EndedSet.clone()
	}
	if err := errors.Join(j.removeObsolete(), j.recovery.repair()); err != nil {
		return nil, errors.Join(err, j.file.Close())
	}
	j.logReport()
	sort.Slice(owed, func(a, b int) bool { return owed[a].Seq < owed[b].Seq })
	return owed, nil
}

// removeObsolete removes an unfinished checkpoint and the segments that the last checkpoint replaces.
func (j *Journal) removeObsolete() error {
	if err := j.removeUnfinished(); err != nil {
		return fmt.Errorf("recovering the journal: %w", err)
	}
	if len(j.replaced) > 0 { // the checkpoint's file name must be durable before the segments are removed
		if err := j.fs.Sync(); err != nil {
			return fmt.Errorf("recovering the journal: %w", err)
		}
	}
	for len(j.replaced) > 0 {
		if err := j.fs.Remove(segmentPath(j.replaced[0].number)); err != nil {
			return fmt.Errorf("recovering the journal: %w", err)
		}
		j.replaced = j.replaced[1:]
	}
	return nil
}

// logReport logs the result of the replay.
func (j *Journal) logReport() {
	r := &j.recovery.report
	level := slog.LevelInfo
	if len(r.Problems) > 0 {
		level = slog.LevelWarn
	}
	for _, p := range r.Problems {
		j.log.Warn("journal: replay found a problem", "file", p.File, "at", p.At, "what", p.What)
	}
	if r.Damaged() {
		j.log.Error("journal: damaged; messages in doubt count as possibly run", "messages", strings.Join(r.Doubt, " "),
			"lost numbers", r.Lost, "set aside", r.SetAside)
	}
	j.log.Log(context.Background(), level, "journal: recovered", "segments", r.Segments, "records", r.Records, "bytes", r.Bytes,
		"owed", r.Owed, "in doubt", len(r.Doubt), "set aside", len(r.SetAside), "checkpoint", r.Checkpoint, "took", r.Took)
}

// AttemptOut is an attempt that has no outcome yet. It is sent to the next process of the node as gob, under these names.
type AttemptOut struct {
	Message  policy.MessageID
	Endpoint string
	At       time.Time
}

// Release stops writes by this process, so that another process can begin to write, and returns the attempts that have
// no outcome yet. Later writes fail with ErrReleased.
func (j *Journal) Release() []AttemptOut {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.released = true
	var out []AttemptOut
	for _, m := range j.live {
		if m.Past.Out {
			out = append(out, AttemptOut{Message: m.Seq, Endpoint: m.Past.OutTo, At: m.Past.OutAt})
		}
	}
	return out
}

// Reclaim allows writes again after Release. No other process may have begun to write.
func (j *Journal) Reclaim() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.released = false
}
