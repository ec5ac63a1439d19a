// Package journal is the write-ahead log of the messages for which a node is responsible. They survive the end of the
// process and, with Options.Sync, a power loss. docs/recovery.md describes the guarantees.
package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/vfs"
	"dunetide/policy"
)

const (
	// MinDisk is the smallest Options.Limit, in bytes, with which segments of messages with bodies of MaxBody can be
	// compacted.
	MinDisk = 512 << 10
	// MaxBody is the largest size of a message's body, in bytes.
	MaxBody = 64 << 10
	// maxEndedIDs is the number of ids of ended messages that are remembered: more than a node accepts within the
	// lifetime of any message.
	maxEndedIDs = 4096
	// recordReserve is the number of bytes reserved for each message or order in addition to its content: for the records
	// of its attempts, their outcomes and its end, and for its state when its segment is compacted.
	recordReserve = 512
	// blockSize is the unit, in bytes, to which the platform rounds up the sizes of files.
	blockSize = 512
)

var (
	// ErrFull is returned for a message or an order for which the journal has no space.
	ErrFull = errors.New("the journal is full")
	// ErrLate is returned for an attempt at a message that may have run, when the destination no longer remembers its
	// idempotency key.
	ErrLate = errors.New("the idempotency key has expired at the destination")
	// ErrReleased is returned when another process writes the journal or is about to (Release).
	ErrReleased = errors.New("the journal has been given away")
)

// Options configures a journal.
type Options struct {
	Folder vfs.Folder
	Limit  int64 // maximum size of the folder in bytes
	// Base is added to the numbers of the messages (Message.Number), for a process that has several journals.
	Base policy.MessageID
	// Sync makes a message durable before Accept returns, makes Journal.Sync wait until everything written is durable, and
	// adds headers and checkpoints to the segments.
	Sync bool
	Now  func() time.Time // default time.Now
	Log  *slog.Logger     // default no log
}

// Journal is a log of records in the segments of one folder. To free space, the records of the oldest segment that are
// still needed are written to the newest one and the oldest is removed, so the record that ends a message is never removed
// before the message itself. It is safe for concurrent use.
type Journal struct {
	fs      vfs.Folder
	limit   int64
	base    policy.MessageID
	sync    bool
	segSize int64 // maximum size of a segment in bytes
	now     func() time.Time
	log     *slog.Logger

	// The result of the replay; Begin uses it to repair the folder.
	recovery      *recovery
	replaced      []segment // segments older than the checkpoint
	hasUnfinished bool      // the folder has an unfinished checkpoint

	mu            sync.Mutex
	file          vfs.File // the newest segment
	format        frame.Format
	segments      []segment
	damagedCopies []segment // copies of damaged segments
	foreign       int64     // bytes on disk of files that do not belong to the journal
	checkpoint    uint64    // the number of the segment that is the last checkpoint, or 0
	checkpointAt  time.Time // when this process wrote it
	retryAt       int64     // bytes after the last checkpoint at which a failed checkpoint is retried
	live          map[policy.MessageID]*Message
	holder        map[policy.MessageID]uint64 // the segment with the last recAccepted of each message
	liveSize      int64                       // bytes reserved for the live messages and the orders
	next          policy.MessageID
	// Memories has the calls and failures that earlier processes recorded for each endpoint, EndedSet the ids of messages that
	// they ended.
	Memories       map[string]*Memory
	EndedSet       *IDRing
	recentMemories map[string]*Memory // Memories plus the records of this process, for the next checkpoint
	recentEndedIDs *IDRing            // EndedSet plus the messages that this process ended, for the next checkpoint
	buf            []byte
	released       bool              // another process writes the journal or is about to
	orders         map[string]uint64 // endpoints that operators have taken out of service, and the segment with the order
	syncer         syncer
	watcher        Watcher // nil if there is none
}

// Problems returns the damaged and torn records that the replay found.
func (j *Journal) Problems() []Problem { return j.recovery.report.Problems }

// Owed returns the live messages in the order in which they were accepted.
func (j *Journal) Owed() (all []*Message) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, seq := range sorted(j.live) {
		all = append(all, j.live[seq])
	}
	return all
}

// AddEndedIDs records the ids of ended messages that were not in this journal.
func (j *Journal) AddEndedIDs(ids []string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for some := range slices.Chunk(ids, endedIDsChunk) {
		if err := j.append(endedIDsRecord(some), nil); err != nil {
			return err
		}
		for _, id := range some {
			j.EndedSet.Add(id)
			if j.sync {
				j.recentEndedIDs.Add(id)
			}
		}
	}
	return nil
}

// AdvanceNumber raises the number of the next message to at least the given one.
func (j *Journal) AdvanceNumber(to policy.MessageID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = max(j.next, to)
}

// Put writes a complete message under its existing number; the record replaces the message's earlier ones. It is used for
// a journal that is a replica, and does not notify the watcher.
func (j *Journal) Put(m *Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.syncer.failed != nil {
		return j.syncer.failed
	}
	if old := j.live[m.Seq]; old != nil {
		j.liveSize -= reservedSize(old)
	}
	m.holder = j
	j.liveSize += reservedSize(m)
	if err := j.append(acceptedRecord(m), m); err != nil {
		if old := j.live[m.Seq]; old != nil {
			j.liveSize += reservedSize(old)
		}
		j.liveSize -= reservedSize(m)
		return err
	}
	j.live[m.Seq], j.next = m, max(j.next, m.Seq+1)
	return nil
}

// Accept writes a new message and assigns its number. It fails with ErrReleased, with ErrFull, or with ErrNotDurable if
// the message could not be made durable in time: then the message is ended, but may reappear after a power loss.
func (j *Journal) Accept(m *Message) error {
	at, err := j.accept(m)
	if err != nil {
		return err
	}
	if err := j.awaitDurable(at); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", ErrNotDurable, err), j.Closed(m, "", j.now()))
	}
	return nil
}

// accept writes a new message and returns the log position up to which bytes must be durable for the message to be durable.
func (j *Journal) accept(m *Message) (at uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.released {
		return 0, ErrReleased
	}
	if j.syncer.failed != nil {
		return 0, j.syncer.failed
	}
	// The space of three segments is reserved: for records that are no longer needed, for the next segment, and for the
	// copy of a segment that is being compacted.
	if j.liveSize+reservedSize(m) > j.limit-3*j.segSize {
		return 0, ErrFull
	}
	m.Seq, m.holder = j.next, j
	if err := j.append(acceptedRecord(m), m); err != nil {
		return 0, err
	}
	j.next++
	j.live[m.Seq] = m
	j.liveSize += reservedSize(m)
	j.notifyChanged(m)
	return j.syncer.written, nil
}

// writeIfLive runs write if the message is live. It fails with ErrReleased if another process writes the journal.
func (j *Journal) writeIfLive(m *Message, write func() error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.released {
		return ErrReleased
	}
	if j.live[m.Seq] == nil {
		return nil
	}
	return write()
}

// Attempt records that a message is about to be sent. It fails with ErrLate if the message may have run and the window of
// its idempotency key has passed: the window is checked again here because the decision to send is made earlier, before
// there is a connection. A message that must not be repeated may be sent only after Sync.
func (j *Journal) Attempt(m *Message, endpoint string, zone int, at time.Time) error {
	return j.writeIfLive(m, func() error {
		if m.Window > 0 && m.Past.MayRun && at.Sub(m.Past.RanAt) >= m.Window {
			return ErrLate
		}
		if err := j.append(attemptRecord(m.Seq, endpoint, zone, at), nil); err != nil {
			return err
		}
		m.Past.attempt(endpoint, zone, at)
		j.noteSent(endpoint, at)
		j.notifyChanged(m)
		return nil
	})
}

// Outcome records how the last attempt at a message ended.
func (j *Journal) Outcome(m *Message, o policy.Outcome, endpoint string, at time.Time) error {
	return j.writeIfLive(m, func() error {
		m.Past.outcome(neverRan(o))
		j.noteOutcome(endpoint, o, at)
		j.notifyChanged(m)
		return j.append(outcomeRecord(m.Seq, o, endpoint, at), nil)
	})
}

// Ended records that a message ended undelivered and that its notice has yet to be delivered.
func (j *Journal) Ended(m *Message, n *Notice) error {
	return j.writeIfLive(m, func() error {
		m.Notice = n
		j.notifyChanged(m)
		return j.append(appendNotice(record(recEnded, m.Seq), n), nil)
	})
}

// Closed records that nothing is left to do for a message, and removes it. endpoint is the one that accepted the message,
// or empty.
func (j *Journal) Closed(m *Message, endpoint string, at time.Time) error {
	return j.writeIfLive(m, func() error {
		j.liveSize -= reservedSize(m)
		delete(j.live, m.Seq)
		delete(j.holder, m.Seq)
		j.noteClosed(m.ID, endpoint, at)
		if j.watcher != nil {
			j.watcher.Over(m)
		}
		return j.append(closedRecord(m.Seq, endpoint, at), nil)
	})
}

// EndedIDs returns the ids of messages that earlier processes ended, oldest first.
func (j *Journal) EndedIDs() []string { return j.EndedSet.IDs() }

// Close closes the journal, after making everything durable if Options.Sync is set.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return errors.Join(j.syncFile(), j.file.Close())
}
