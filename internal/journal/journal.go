// Package journal keeps what a node owes, so that it outlasts the process and, where that
// is asked for, a loss of power. docs/recovery.md says what it guarantees.
package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"dunetide/policy"
)

const (
	// MinDisk is the least room in which a journal of full bodies can be cleaned.
	MinDisk = 512 << 10
	// MaxBody is the longest body of a message.
	MaxBody = 64 << 10
	// maxOver is how many ids of messages that are over are known still: more than a
	// node takes on within any message's time.
	maxOver = 4096
	// ownShare is room counted for each message beyond what is written of it: its
	// attempts, their outcomes, its end, and its state when it is moved on.
	ownShare = 512
	// block is the unit in which the platform counts files.
	block = 512
)

var (
	// ErrNoRoom refuses a message for which the journal has no room.
	ErrNoRoom = errors.New("the journal is full")
	// ErrLate says that a message which may have run can't be sent any more.
	ErrLate = errors.New("the destination has forgotten the key")
	// ErrGiven says that another process writes the journal now, or is about to.
	ErrGiven = errors.New("the journal has been given away")
)

// Options say where and how a journal is kept.
type Options struct {
	Folder Folder
	Limit  int64 // bytes in the folder at most
	// Base is added to the numbers of its messages where a process has several journals.
	Base policy.MessageID
	// Sync makes a message durable before Take says that it is taken, lets Sync wait for
	// all that was written, and writes segments with headers and checkpoints.
	Sync bool
	Now  func() time.Time // time.Now if nil
	Log  *slog.Logger     // nothing is logged if nil
}

// Journal keeps what outlasts the process: records in segments of one folder.
// The oldest segment is cleaned first, by writing what still counts of it to the
// newest: so an end never goes before the message that it ends. It is safe for
// concurrent use.
type Journal struct {
	fs      Folder
	limit   int64
	base    policy.MessageID
	sync    bool
	segSize int64
	now     func() time.Time
	log     *slog.Logger

	// What a replay found, until Begin has dealt with it.
	recovery *recovery
	replaced []segment // older than the checkpoint
	stray    bool      // a checkpoint that was not finished lies there

	mu         sync.Mutex
	file       File // the newest segment
	format     format
	segments   []segment
	aside      []segment // copies of damaged ones
	foreign    int64     // bytes on disk of files that are not the journal's
	checkpoint uint64    // the segment that is the last checkpoint, or 0
	checkedAt  time.Time // when it was written by this process
	retryAt    int64     // how much is to be written before one is tried again that failed
	live       map[policy.MessageID]*Message
	home       map[policy.MessageID]uint64 // the segment with the last recTaken of each
	liveSize   int64
	next       policy.MessageID
	Memories   map[string]*Memory // of the lives before this one
	Over       IDRing             // of messages that those lives brought to their end
	recent     map[string]*Memory // as Memories, with this life, for the next checkpoint
	recentOver IDRing
	buf        []byte
	given      bool              // another process writes it, or is about to
	orders     map[string]uint64 // endpoints that the staff have taken out; the segment with the order
	syncer     syncer
	watch      Watcher // nil for none
}

// Problems are what the replay found that does not check.
func (j *Journal) Problems() []Problem { return j.recovery.report.Problems }

// Owed are the messages that are owed, in the order in which they were taken.
func (j *Journal) Owed() (all []*Message) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, seq := range sorted(j.live) {
		all = append(all, j.live[seq])
	}
	return all
}

// NoteOver writes down ids of messages that are over and were not in this journal.
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

// Skip lets the next messages have numbers from here on, where they would have lower ones.
func (j *Journal) Skip(to policy.MessageID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.next = max(j.next, to)
}

// Put writes a message whole, under the number that it has, in the place of what was written of it
// before. It is for a journal that is a copy: nothing decides on it here.
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
	if err := j.append(takenRecord(m), m); err != nil {
		if old := j.live[m.Seq]; old != nil {
			j.liveSize += cost(old)
		}
		j.liveSize -= cost(m)
		return err
	}
	j.live[m.Seq], j.next = m, max(j.next, m.Seq+1)
	return nil
}

// Take journals a new message and numbers it. Where it can't be made durable in time it
// is ended, with ErrNotDurable: it may come back after a loss of power.
func (j *Journal) Take(m *Message) error {
	at, err := j.take(m)
	if err != nil {
		return err
	}
	if err := j.durable(at); err != nil {
		return errors.Join(fmt.Errorf("%w: %w", ErrNotDurable, err), j.Closed(m, "", j.now()))
	}
	return nil
}

func (j *Journal) take(m *Message) (at uint64, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.given {
		return 0, ErrGiven
	}
	if j.syncer.failed != nil {
		return 0, j.syncer.failed
	}
	// Three segments are left: for records that no longer count, for the next one,
	// and for a copy made while old and new lie there together.
	if j.liveSize+cost(m) > j.limit-3*j.segSize {
		return 0, ErrNoRoom
	}
	m.Seq, m.home = j.next, j
	if err := j.append(takenRecord(m), m); err != nil {
		return 0, err
	}
	j.next++
	j.live[m.Seq] = m
	j.liveSize += cost(m)
	j.changed(m)
	return j.syncer.written, nil
}

// change writes something about a message, if it is still owed and this process writes.
func (j *Journal) change(m *Message, write func() error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.given {
		return ErrGiven
	}
	if j.live[m.Seq] == nil {
		return nil
	}
	return write()
}

// Attempt journals that a message is about to be sent. The module counts the key's
// window when it decides; making the connection may have taken until after it. One that
// may not be repeated is made only after Sync.
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

// Outcome journals how the last attempt at a message ended.
func (j *Journal) Outcome(m *Message, o policy.Outcome, endpoint string, at time.Time) error {
	return j.change(m, func() error {
		m.Past.outcome(neverRan(o))
		j.noteOutcome(endpoint, o, at)
		j.changed(m)
		return j.append(outcomeRecord(m.Seq, o, endpoint, at), nil)
	})
}

// Ended journals that a message is over and that its notice is owed.
func (j *Journal) Ended(m *Message, n *Notice) error {
	return j.change(m, func() error {
		m.Notice = n
		j.changed(m)
		return j.append(appendNotice(record(recEnded, m.Seq), n), nil)
	})
}

// Closed journals that nothing is owed for a message any more. It names the
// endpoint that took it, if one did.
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

// OverIDs are the ids of messages that the lives before this one brought to their end.
func (j *Journal) OverIDs() []string { return j.Over.all() }

// Close ends the writing, with all of it durable where that is asked for.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return errors.Join(j.syncFile(), j.file.Close())
}
