// Package journal keeps what a node owes, so that it outlasts the process and, where that
// is asked for, a loss of power. docs/recovery.md says what it guarantees.
package journal

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
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

// Kinds of record.
const (
	recTaken   = 1 // a message with all that lies behind it; replaces what came before
	recAttempt = 2 // written before the first byte of an attempt
	recOutcome = 3 // how the last attempt ended
	recEnded   = 4 // ended undelivered; the notice is owed
	recClosed  = 5 // nothing is owed any more; delivered where it names an endpoint
	recOrder   = 6 // the staff's order for an endpoint, in place of the one before
	// These come in segments with a header, and when a folder was mended.
	recOver = 7 // ids of messages that are over
	recNext = 8 // the next number of a message; those below it are taken
	recEnd  = 9 // the end of a checkpoint
)

var (
	// ErrNoRoom refuses a message for which the journal has no room.
	ErrNoRoom = errors.New("the journal is full")
	// ErrLate says that a message which may have run can't be sent any more.
	ErrLate = errors.New("the destination has forgotten the key")
	// ErrGiven says that another process writes the journal now, or is about to.
	ErrGiven = errors.New("the journal has been given away")
)

// Message is one message that the node has taken on.
type Message struct {
	Seq      policy.MessageID
	ID       string
	Key      string
	Class    int
	Dest     int
	Deadline time.Time
	Body     []byte
	Window   time.Duration // how long its key is remembered, 0 where it has none

	// The rest is owned by the journal.
	home   *Journal
	Past   Past
	Notice *Notice // the end that is owed, nil while it runs
}

// Past is what a message has behind it, as the module counts it.
type Past struct {
	Attempts int
	Settled  bool // a finished attempt may have run
	Out      bool // the last attempt has no outcome yet
	MayRun   bool
	RanAt    time.Time
	RanZone  int
	// Where and when the last attempt was sent; known to the process that sent it and
	// to one that takes over from it, and not on disk.
	OutTo string
	OutAt time.Time
}

func (p *Past) attempt(endpoint string, zone int, at time.Time) {
	p.Attempts++
	p.Out, p.OutTo, p.OutAt = true, endpoint, at
	if !p.MayRun {
		p.MayRun, p.RanAt, p.RanZone = true, at, zone
	}
}

func (p *Past) outcome(neverRan bool) {
	p.Out = false
	if !neverRan {
		p.Settled = true
	} else if !p.Settled {
		p.MayRun = false
	}
}

// Memory is what the records tell of an endpoint, for the next life of the node.
type Memory struct {
	Sent []time.Time // calls, one for a bundle
	Runs []Run       // of failures, the oldest first
}

// Run is failures in a row.
type Run struct {
	Outcomes []policy.Outcome // the first few
	FailedAt time.Time        // the last of them
	BackAt   time.Time        // the first success since, zero while there is none
}

const (
	// manyOutcomes and manyRuns bound what is kept of an endpoint. Of too many runs the oldest of
	// one failed answer goes first: it tells least.
	manyOutcomes = 8
	manyRuns     = 8
)

func (m *Memory) fail(o policy.Outcome, at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		run := &m.Runs[n-1]
		run.FailedAt = at
		if len(run.Outcomes) < manyOutcomes {
			run.Outcomes = append(run.Outcomes, o)
		}
		return
	}
	if len(m.Runs) >= manyRuns {
		lone := func(r Run) bool { return len(r.Outcomes) == 1 && r.Outcomes[0] == policy.Failed }
		i := max(0, slices.IndexFunc(m.Runs, lone))
		m.Runs = slices.Delete(m.Runs, i, i+1)
	}
	m.Runs = append(m.Runs, Run{Outcomes: []policy.Outcome{o}, FailedAt: at})
}

func (m *Memory) back(at time.Time) {
	if n := len(m.Runs); n > 0 && m.Runs[n-1].BackAt.IsZero() {
		m.Runs[n-1].BackAt = at
	}
}

// restarted tells of an endpoint that the staff let serve again: it is as after an outage.
func (m *Memory) restarted(at time.Time) {
	m.Runs = append(m.Runs[:0:0], Run{Outcomes: []policy.Outcome{policy.Unreachable}, FailedAt: at, BackAt: at})
}

func (j *Journal) remember(endpoint string) *Memory {
	if j.Memories[endpoint] == nil {
		j.Memories[endpoint] = &Memory{}
	}
	return j.Memories[endpoint]
}

// segment is one file of the journal.
type segment struct {
	number uint64
	size   int64
}

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

// Watcher hears of what counts in a journal, in the order in which it was written and before whoever
// wrote it goes on. It must not wait, nor call the journal.
type Watcher interface {
	// Changed tells of a message as it is now: it was taken, sent, answered for, or has ended.
	Changed(m *Message)
	// Over tells that nothing is owed for a message any more.
	Over(m *Message)
	// Ordered tells of all the staff's orders that hold now.
	Ordered(out []string)
}

// Watch tells a watcher of all that is owed now, in the order in which it was taken, and from
// here on of each change. Nil ends that.
func (j *Journal) Watch(w Watcher) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.watch = w
	if w == nil {
		return
	}
	for _, seq := range sorted(j.live) {
		w.Changed(j.live[seq])
	}
	w.Ordered(j.staffOrders())
}

// staffOrders are the endpoints that the staff have taken out, without those that leave by the list.
func (j *Journal) staffOrders() (out []string) {
	for _, name := range sorted(j.orders) {
		if !strings.HasPrefix(name, leavingMark) {
			out = append(out, name)
		}
	}
	return out
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

func segmentPath(n uint64) string { return fmt.Sprintf(segmentName, n) }

func onDisk(n int64) int64 { return (n + block - 1) / block * block }

// Open replays the journal in a folder. The messages that are owed something come back
// in the order in which they were taken.
func Open(o Options) (*Journal, []*Message, error) {
	j, err := Replay(o)
	if err != nil {
		return nil, nil, err
	}
	owed, err := j.Begin(nil)
	return j, owed, err
}

// Replay reads what is in a folder and writes nothing.
func Replay(o Options) (*Journal, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	j := &Journal{fs: o.Folder, limit: o.Limit, base: o.Base, sync: o.Sync, log: o.Log, now: o.Now, next: 1,
		segSize: max(o.Limit/24, MaxBody+4<<10),
		live:    map[policy.MessageID]*Message{}, home: map[policy.MessageID]uint64{}, Memories: map[string]*Memory{},
		Over: NewIDRing(maxOver), orders: map[string]uint64{}}
	return j, j.replay()
}

// Begin makes this process the one that writes. Out are the attempts whose outcome
// another process still waits for.
func (j *Journal) Begin(out []AttemptOut) ([]*Message, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.segments); j.sync && n > 0 { // as each is before the next one is begun
		last := j.segments[n-1]
		if err := j.fs.Cut(segmentPath(last.number), last.size); err != nil {
			return nil, fmt.Errorf("opening the journal: %w", err)
		}
	}
	// Always a new segment: nothing is ever written behind a torn tail.
	if err := j.roll(); err != nil {
		return nil, err
	}
	waits := map[policy.MessageID]AttemptOut{}
	for _, a := range out {
		waits[a.Message] = a
	}
	owed := make([]*Message, 0, len(j.live))
	for _, m := range j.live {
		if a, ok := waits[m.Seq]; ok && m.Past.Out {
			m.Past.OutTo, m.Past.OutAt = a.Endpoint, a.At
		} else if m.Past.Out { // when the process ended; it may have run, or may yet
			m.Past.Out, m.Past.Settled = false, true
		}
		owed = append(owed, m)
		j.liveSize += cost(m)
	}
	for name := range j.orders {
		j.liveSize += orderCost(name)
	}
	if j.sync {
		j.recent, j.recentOver = cloneMemories(j.Memories), j.Over.clone()
	}
	if err := errors.Join(j.tidy(), j.recovery.repair()); err != nil {
		return nil, errors.Join(err, j.file.Close())
	}
	j.told()
	sort.Slice(owed, func(a, b int) bool { return owed[a].Seq < owed[b].Seq })
	return owed, nil
}

// tidy removes what a checkpoint replaces, and one that was not finished.
func (j *Journal) tidy() error {
	if err := j.removeStray(); err != nil {
		return fmt.Errorf("recovering the journal: %w", err)
	}
	if len(j.replaced) > 0 { // the checkpoint's name must last before they go
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

// told logs what the replay found.
func (j *Journal) told() {
	r := &j.recovery.report
	level := slog.LevelInfo
	if len(r.Problems) > 0 {
		level = slog.LevelWarn
	}
	for _, p := range r.Problems {
		j.log.Warn("journal: recovery", "file", p.File, "at", p.At, "what", p.What)
	}
	if r.Damaged() {
		j.log.Error("journal: damaged, what is in doubt counts as possibly run", "messages", strings.Join(r.Doubt, " "),
			"lost numbers", r.Lost, "set aside", r.SetAside)
	}
	j.log.Log(context.Background(), level, "journal: recovered", "segments", r.Segments, "records", r.Records, "bytes", r.Bytes,
		"owed", r.Owed, "in doubt", len(r.Doubt), "set aside", len(r.SetAside), "checkpoint", r.Checkpoint, "took", r.Took)
}

// AttemptOut is an attempt without an outcome yet.
type AttemptOut struct {
	Message  policy.MessageID
	Endpoint string
	At       time.Time
}

// GiveAway lets nothing more be written, and tells which attempts are out.
func (j *Journal) GiveAway() []AttemptOut {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.given = true
	var out []AttemptOut
	for _, m := range j.live {
		if m.Past.Out {
			out = append(out, AttemptOut{Message: m.Seq, Endpoint: m.Past.OutTo, At: m.Past.OutAt})
		}
	}
	return out
}

// TakeBack goes on writing: nobody else has begun to.
func (j *Journal) TakeBack() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.given = false
}

// apply takes one record into the state. In doubt, an outcome proves nothing: the
// attempt that it belongs to may not be the one on record.
func (j *Journal) apply(segment uint64, payload []byte, doubt bool) error {
	r := reader{b: payload}
	kind, seq := r.u8(), policy.MessageID(r.uvarint())
	j.next = max(j.next, seq+1)
	m := j.live[seq]
	switch kind {
	case recTaken:
		m = &Message{Seq: seq, home: j}
		m.ID, m.Key = string(r.bytes()), string(r.bytes())
		m.Class, m.Dest = int(r.uvarint()), int(r.uvarint())
		m.Deadline = time.UnixMicro(int64(r.uvarint()))
		m.Past.Attempts, m.Past.RanZone = int(r.uvarint()), int(r.uvarint())
		flags := r.u8()
		m.Past.Settled, m.Past.Out, m.Past.MayRun = flags&1 != 0, flags&2 != 0, flags&4 != 0
		if at := r.uvarint(); m.Past.MayRun {
			m.Past.RanAt = time.UnixMicro(int64(at))
		}
		if flags&8 != 0 {
			m.Notice = r.notice(m.ID)
		}
		m.Body = append([]byte(nil), r.bytes()...)
		if r.bad {
			return io.ErrUnexpectedEOF
		}
		j.live[seq], j.home[seq] = m, segment
	case recAttempt:
		name, zone, at := string(r.bytes()), int(r.uvarint()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if e := j.remember(name); len(e.Sent) == 0 || !e.Sent[len(e.Sent)-1].Equal(at) {
			e.Sent = append(e.Sent, at)
		}
		if m != nil {
			m.Past.attempt(name, zone, at)
		}
	case recOutcome:
		outcome, name, at := policy.Outcome(r.u8()), string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if m != nil {
			m.Past.outcome(neverRan(outcome) && !doubt)
		}
		if failed(outcome) {
			j.remember(name).fail(outcome, at)
		}
	case recEnded:
		if m != nil {
			m.Notice = r.notice(m.ID)
		}
	case recClosed:
		name, at := string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if e := j.remember(name); name != "" && !r.bad {
			e.back(at)
		}
		if m != nil {
			j.Over.Add(m.ID)
		}
		delete(j.live, seq)
		delete(j.home, seq)
	case recOrder:
		out, name, at := r.u8() == 1, string(r.bytes()), time.UnixMicro(int64(r.uvarint()))
		if r.bad {
			break
		}
		if out {
			j.orders[name] = segment
			break
		}
		delete(j.orders, name)
		j.remember(name).restarted(at)
	case recOver:
		for _, id := range r.ids() {
			j.Over.Add(id)
		}
	case recNext, recEnd: // its number counts already
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if r.bad {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// cost is the room that a message may take up until nothing is owed for it.
func cost(m *Message) int64 { return int64(len(m.Body)+len(m.ID)+len(m.Key)) + ownShare }

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

// changed tells the watcher, where there is one.
func (j *Journal) changed(m *Message) {
	if j.watch != nil {
		j.watch.Changed(m)
	}
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

func orderCost(endpoint string) int64 { return int64(len(endpoint)) + ownShare }

// Order journals that the staff take an endpoint out or let it serve again.
func (j *Journal) Order(endpoint string, out bool, at time.Time) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.given {
		return ErrGiven
	}
	if _, known := j.orders[endpoint]; known == out {
		return nil
	}
	room := orderCost(endpoint)
	if out && j.liveSize+room > j.limit-3*j.segSize {
		return ErrNoRoom
	}
	if err := j.append(orderRecord(endpoint, out, at), nil); err != nil {
		return err
	}
	j.noteOrder(endpoint, out, at)
	if out {
		j.orders[endpoint] = j.segments[len(j.segments)-1].number
		j.liveSize += room
	} else {
		delete(j.orders, endpoint)
		j.liveSize -= room
	}
	if j.watch != nil && !strings.HasPrefix(endpoint, leavingMark) {
		j.watch.Ordered(j.staffOrders())
	}
	return nil
}

// Orders are the names of all orders that hold, those for what leaves among them.
func (j *Journal) Orders() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Sorted(maps.Keys(j.orders))
}

// OverIDs are the ids of messages that the lives before this one brought to their end.
func (j *Journal) OverIDs() []string { return j.Over.all() }

// Barred tells whether the staff have taken an endpoint out.
func (j *Journal) Barred(endpoint string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, out := j.orders[endpoint]
	return out
}

// leavingMark stands before the name of an endpoint in the record that it was told to
// leave. No endpoint has a name that begins so.
const leavingMark = "\x00"

// maxLeaving bounds these records in a long life.
const maxLeaving = 256

// Leaves journals whether an endpoint was last told to drain or to be gone: the list that
// the next life starts with may be older than that.
func (j *Journal) Leaves(endpoint string, leaves bool, at time.Time) error {
	j.mu.Lock()
	full := len(j.orders) >= maxLeaving
	j.mu.Unlock()
	if leaves && full {
		return nil
	}
	return j.Order(leavingMark+endpoint, leaves, at)
}

// Left tells whether an endpoint was last told to drain or to be gone.
func (j *Journal) Left(endpoint string) bool { return j.Barred(leavingMark + endpoint) }

func orderRecord(endpoint string, out bool, at time.Time) []byte {
	flag := byte(0)
	if out {
		flag = 1
	}
	return binary.AppendUvarint(appendBytes(append(record(recOrder, 0), flag), []byte(endpoint)), uint64(at.UnixMicro()))
}

// Close ends the writing, with all of it durable where that is asked for.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return errors.Join(j.syncFile(), j.file.Close())
}

// append writes one record, after making room for it. Taken is the message that
// the record holds whole, if it does.
func (j *Journal) append(payload []byte, taken *Message) error {
	if j.checkpointDue() {
		if err := j.writeCheckpoint(); err != nil {
			j.log.Error("journal: no checkpoint", "err", err)
			j.retryAt = j.sinceCheckpoint() + j.segSize
		}
	}
	size := int64(len(payload) + j.format.head())
	if err := j.makeRoom(size); err != nil {
		return err
	}
	return j.write(payload, taken)
}

func (j *Journal) write(payload []byte, taken *Message) error {
	size := int64(len(payload) + j.format.head())
	if last := &j.segments[len(j.segments)-1]; last.size > j.headSize() && last.size+size > j.segSize {
		if err := j.roll(); err != nil {
			return err
		}
	}
	last := &j.segments[len(j.segments)-1]
	j.buf = j.format.frame(j.buf[:0], payload, last.size)
	if n, err := j.file.Write(j.buf); err != nil {
		// Part of a record may lie there now. It must not hide what comes after.
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
	if taken != nil {
		j.home[taken.Seq] = last.number
	}
	return nil
}

// headSize is how long a segment is that holds nothing.
func (j *Journal) headSize() int64 {
	if j.sync {
		return headers
	}
	return 0
}

// roll starts a new segment. Where that is asked for, the one before is durable first, and
// the new one's header: so damage elsewhere than at the end is no loss of power.
func (j *Journal) roll() error {
	n := uint64(1)
	if len(j.segments) > 0 {
		n = j.segments[len(j.segments)-1].number + 1
	}
	if err := j.syncFile(); err != nil {
		return err
	}
	f := format{number: n}
	if j.sync {
		f = format{keyed: true, number: n, salt: rand.Uint64()}
	}
	file, err := j.create(segmentPath(n), f)
	if err != nil {
		return fmt.Errorf("starting a segment of the journal: %w", err)
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			j.log.Warn("journal: closing a segment", "err", err)
		}
	}
	j.file, j.format = file, f
	j.segments = append(j.segments, segment{number: n, size: j.headSize()})
	return nil
}

// create makes a file, durable with its header if it has one.
func (j *Journal) create(name string, f format) (File, error) {
	file, err := j.fs.Create(name)
	if err != nil || !f.keyed {
		return file, err
	}
	if _, err = file.Write(f.header()); err == nil {
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

func (j *Journal) diskSize() int64 {
	sum := j.foreign
	for _, s := range slices.Concat(j.segments, j.aside, j.replaced) {
		sum += onDisk(s.size)
	}
	return sum
}

// makeRoom cleans the oldest segments until a record fits, with a segment's room
// to spare: a cleaned segment and its copy lie there together for a moment.
func (j *Journal) makeRoom(size int64) error {
	for tries := 2 * len(j.segments); j.diskSize()+size+j.segSize+2*block > j.limit; tries-- {
		if len(j.aside) > 0 { // evidence goes before work is refused
			if err := j.dropAside(0); err != nil {
				return err
			}
			continue
		}
		if tries <= 0 || len(j.segments) < 2 {
			return ErrNoRoom
		}
		if err := j.clean(); err != nil {
			return err
		}
	}
	return nil
}

// clean moves what still counts of the oldest segment on, and removes it.
func (j *Journal) clean() error {
	oldest := j.segments[0]
	var move []*Message
	for seq, n := range j.home {
		if n == oldest.number {
			move = append(move, j.live[seq])
		}
	}
	sort.Slice(move, func(a, b int) bool { return move[a].Seq < move[b].Seq })
	for _, m := range move {
		if err := j.write(takenRecord(m), m); err != nil {
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
	// What was moved is durable before it goes, and that it goes before the next one does:
	// an old segment that came back alone would owe what has ended.
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

func record(kind byte, seq policy.MessageID) []byte {
	return binary.AppendUvarint([]byte{kind}, uint64(seq))
}

func appendBytes(b, data []byte) []byte {
	return append(binary.AppendUvarint(b, uint64(len(data))), data...)
}

// takenRecord holds a message with all that lies behind it.
func takenRecord(m *Message) []byte {
	b := record(recTaken, m.Seq)
	b = appendBytes(appendBytes(b, []byte(m.ID)), []byte(m.Key))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Class)), uint64(m.Dest))
	b = binary.AppendUvarint(b, uint64(m.Deadline.UnixMicro()))
	b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(m.Past.Attempts)), uint64(m.Past.RanZone))
	flags := byte(0)
	for i, set := range []bool{m.Past.Settled, m.Past.Out, m.Past.MayRun, m.Notice != nil} {
		if set {
			flags |= 1 << i
		}
	}
	ranAt := uint64(0)
	if m.Past.MayRun {
		ranAt = uint64(m.Past.RanAt.UnixMicro())
	}
	b = binary.AppendUvarint(append(b, flags), ranAt)
	if m.Notice != nil {
		b = appendNotice(b, m.Notice)
	}
	return appendBytes(b, m.Body)
}

func attemptRecord(seq policy.MessageID, endpoint string, zone int, at time.Time) []byte {
	b := appendBytes(record(recAttempt, seq), []byte(endpoint))
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(zone)), uint64(at.UnixMicro()))
}

func outcomeRecord(seq policy.MessageID, o policy.Outcome, endpoint string, at time.Time) []byte {
	b := appendBytes(append(record(recOutcome, seq), byte(o)), []byte(endpoint))
	return binary.AppendUvarint(b, uint64(at.UnixMicro()))
}

func closedRecord(seq policy.MessageID, endpoint string, at time.Time) []byte {
	return binary.AppendUvarint(appendBytes(record(recClosed, seq), []byte(endpoint)), uint64(at.UnixMicro()))
}

func overRecord(ids []string) []byte {
	b := record(recOver, 0)
	for _, id := range ids {
		b = appendBytes(b, []byte(id))
	}
	return b
}

func appendNotice(b []byte, n *Notice) []byte {
	kind := byte(0)
	if n.HandedBack() {
		kind = 1
	}
	return binary.AppendUvarint(append(b, kind), uint64(n.RetryInMs))
}

// reader reads the fields of a record in turn.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) u8() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

// ids reads what is left as ids.
func (r *reader) ids() []string {
	var ids []string
	for len(r.b) > 0 {
		if id := r.bytes(); !r.bad {
			ids = append(ids, string(id))
		}
	}
	return ids
}

func (r *reader) notice(id string) *Notice {
	handedBack, retry := r.u8() == 1, r.uvarint()
	return NewNotice(id, handedBack, time.Duration(retry)*time.Millisecond)
}

// failed tells which outcomes say that the endpoint is not well.
func failed(o policy.Outcome) bool {
	return o == policy.Failed || o == policy.TimedOut || o == policy.Unreachable || o == policy.Reset
}

// neverRan tells which outcomes prove that an attempt has not run.
func neverRan(o policy.Outcome) bool {
	return o == policy.Full || o == policy.Unreachable || o == policy.Moot
}
