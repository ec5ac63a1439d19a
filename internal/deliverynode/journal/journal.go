// Package journal stores the messages for which a node is responsible, so that they survive the end of the process and,
// with Options.Sync, a loss of power. docs/recovery.md says what it guarantees.
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
	// MaxBody is the most bytes of a message's body.
	MaxBody = 64 << 10
	// maxOver is the number of ids of ended messages that are remembered: more than a node accepts within the
	// lifetime of any message.
	maxOver = 4096
	// recordReserve is the number of bytes reserved for each message or order in addition to its own content: for its
	// attempts, their outcomes, its end, and its state when its segment is cleaned.
	recordReserve = 512
	// block is the unit, in bytes, to which the platform rounds up the sizes of files.
	block = 512
)

var (
	// ErrFull is returned for a message or an order for which the journal has no room.
	ErrFull = errors.New("the journal is full")
	// ErrLate is returned for an attempt at a message that may have run, when the destination no longer remembers
	// its key.
	ErrLate = errors.New("the destination has forgotten the key")
	// ErrReleased is returned when another process writes the journal or is about to (GiveAway).
	ErrReleased = errors.New("the journal has been given away")
)

// Options configures a journal.
type Options struct {
	Folder vfs.Folder
	Limit  int64 // most bytes in the folder
	// Base is added to the numbers of the messages (Message.Number), for a process that has several journals.
	Base policy.MessageID
	// Sync makes a message durable before Take returns, makes Sync wait until everything written is durable, and adds
	// headers and checkpoints to the segments.
	Sync bool
	Now  func() time.Time // default time.Now
	Log  *slog.Logger     // default no log
}

// Journal is a log of records in the segments of one folder. To make room, the records of the oldest segment that
// are still needed are written to the newest, so the record that ends a message never goes before the message itself.
// It is safe for concurrent use.
type Journal struct {
	fs      vfs.Folder
	limit   int64
	base    policy.MessageID
	sync    bool
	segSize int64 // most bytes of a segment
	now     func() time.Time
	log     *slog.Logger

	// The result of the replay, until Begin has repaired the folder.
	recovery *recovery
	replaced []segment // segments older than the checkpoint
	stray    bool      // the folder has an unfinished checkpoint

	mu         sync.Mutex
	file       vfs.File // the newest segment
	format     frame.Format
	segments   []segment
	aside      []segment // copies of damaged segments
	foreign    int64     // bytes on disk of files that are not the journal's
	checkpoint uint64    // the number of the segment that is the last checkpoint, or 0
	checkedAt  time.Time // when this process wrote it
	retryAt    int64     // bytes after the checkpoint from which one that failed is tried again
	live       map[policy.MessageID]*Message
	home       map[policy.MessageID]uint64 // the segment with the last recTaken of each message
	liveSize   int64                       // bytes reserved for the live messages and the orders
	next       policy.MessageID
	// Memories is what earlier processes recorded of each endpoint, Over the ids of messages that they ended.
	Memories   map[string]*Memory
	Over       *IDRing
	recent     map[string]*Memory // Memories and what this process recorded, for the next checkpoint
	recentOver *IDRing            // Over and the messages that this process ended, for the next checkpoint
	buf        []byte
	released   bool              // another process writes the journal or is about to
	orders     map[string]uint64 // endpoints that the staff have taken out, and the segment with the order
	syncer     syncer
	watch      Watcher // nil if there is none
}

// Problems returns what the replay found to be damaged or torn.
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

// NoteOver records ids of ended messages that were not in this journal.
func (j *Journal) NoteOver(ids []string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for some := range slices.Chunk(ids, overChunk) {
		if err := j.append(overRecord(some), nil); err != nil {
			return err
		}
		for _, id := range some {
			j.Over.Add(id)
			if j.sync {
				j.recentOver.Add(id)
			}
		}
	}
	return nil
}

// Skip raises the number of the next message to at least the given one.
func (j *Journal) Skip(to policy.MessageID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = max(j.next, to)
}

// Put writes a whole message under the number that it has, in place of its earlier records. It is for a journal that
// is a replica. It tells no watcher.
func (j *Journal) Put(m *Message) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.syncer.failed != nil {
		return j.syncer.failed
	}
	if old := j.live[m.Seq]; old != nil {
		j.liveSize -= cost(old)
	}
	m.home = j
	j.liveSize += cost(m)
	if err := j.append(acceptedRecord(m), m); err != nil {
		if old := j.live[m.Seq]; old != nil {
			j.liveSize += cost(old)
		}
		j.liveSize -= cost(m)
		return err
	}
	j.live[m.Seq], j.next = m, max(j.next, m.Seq+1)
	return nil
}

// Accept writes a new message and numbers it. It fails with ErrGiven, with ErrNoRoom, or with ErrNotDurable if the message
// could not be made durable in time: then the message is ended, but may come back after a loss of power.
func (j *Journal) Accept(m *Message) error {
	at, err := j.accept(m)
	if err != nil {
		return err
	}
	if err := j.durable(at); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", ErrNotDurable, err), j.Closed(m, "", j.now()))
	}
	return nil
}

// accept writes a new message and returns the number of bytes that must be durable before it is.
func (j *Journal) accept(m *Message) (at uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.released {
		return 0, ErrReleased
	}
	if j.syncer.failed != nil {
		return 0, j.syncer.failed
	}
	// Three segments are held in reserve: for records that are no longer needed, for the next segment, and for the
	// copy of a segment that is being cleaned.
	if j.liveSize+cost(m) > j.limit-3*j.segSize {
		return 0, ErrFull
	}
	m.Seq, m.home = j.next, j
	if err := j.append(acceptedRecord(m), m); err != nil {
		return 0, err
	}
	j.next++
	j.live[m.Seq] = m
	j.liveSize += cost(m)
	j.changed(m)
	return j.syncer.written, nil
}

// change runs a write about a message if the message is live. It fails with ErrGiven if another process writes.
func (j *Journal) change(m *Message, write func() error) error {
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

// Attempt records that a message is about to be sent. It fails with ErrLate if the message may have run and its key's
// window has passed: the decision to send is made earlier, before a connection is there. A message that must not be
// repeated may be sent only after Sync.
func (j *Journal) Attempt(m *Message, endpoint string, zone int, at time.Time) error {
	return j.change(m, func() error {
		if m.Window > 0 && m.Past.MayRun && at.Sub(m.Past.RanAt) >= m.Window {
			return ErrLate
		}
		if err := j.append(attemptRecord(m.Seq, endpoint, zone, at), nil); err != nil {
			return err
		}
		m.Past.attempt(endpoint, zone, at)
		j.noteSent(endpoint, at)
		j.changed(m)
		return nil
	})
}

// Outcome records how the last attempt at a message ended.
func (j *Journal) Outcome(m *Message, o policy.Outcome, endpoint string, at time.Time) error {
	return j.change(m, func() error {
		m.Past.outcome(neverRan(o))
		j.noteOutcome(endpoint, o, at)
		j.changed(m)
		return j.append(outcomeRecord(m.Seq, o, endpoint, at), nil)
	})
}

// Ended records that a message ended undelivered and that its notice is owed.
func (j *Journal) Ended(m *Message, n *Notice) error {
	return j.change(m, func() error {
		m.Notice = n
		j.changed(m)
		return j.append(appendNotice(record(recEnded, m.Seq), n), nil)
	})
}

// Closed records that nothing is owed for a message any more, and removes it. Endpoint is the one that accepted the
// message, or empty.
func (j *Journal) Closed(m *Message, endpoint string, at time.Time) error {
	return j.change(m, func() error {
		j.liveSize -= cost(m)
		delete(j.live, m.Seq)
		delete(j.home, m.Seq)
		j.noteClosed(m.ID, endpoint, at)
		if j.watch != nil {
			j.watch.Over(m)
		}
		return j.append(closedRecord(m.Seq, endpoint, at), nil)
	})
}

// OverIDs returns the ids of messages that earlier processes ended, the oldest first.
func (j *Journal) OverIDs() []string { return j.Over.IDs() }

// Close closes the journal, after making everything durable if Options.Sync is set.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return errors.Join(j.syncFile(), j.file.Close())
}
