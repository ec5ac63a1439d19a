package lease

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunetide/internal/fleet"
	"dunetide/internal/journal"
)

const (
	// tickEvery is the log's own clock: a leader is heard each beatTicks of it, and missed after
	// electionTicks to twice as many. An election must outlast a slow sync and a link that dials.
	tickEvery     = 100 * time.Millisecond
	electionTicks = 10
	beatTicks     = 2
	// lookEvery is how often the leader, and who may begin a log, ask other voters who they are;
	// seenFor is how long their answer holds.
	lookEvery = time.Second
	seenFor   = 3 * time.Second
	// snapshotTime is how long a snapshot may take on its way: 1 MiB at the most.
	snapshotTime = 2 * time.Second
	// changeEvery is the least time between two changes of the voters.
	changeEvery = 300 * time.Millisecond
	// answerTime is how long an ask may wait for the log's agreement.
	answerTime = 3 * time.Second
	maxPending = 1024
	// maxProposed bounds what a leader has proposed and nobody has agreed to yet, in bytes.
	maxProposed = 64 << 10
	// windowOf is how many messages of one kind may wait for one voter; later ones replace them.
	windowOf = 32
)

// errNotLeader answers an ask at a voter that does not lead.
var errNotLeader = errors.New("not the leader")

// errNotProposed answers what raft has not taken: a leader may just have stepped down.
var errNotProposed = errors.New("not proposed")

// VoterOptions are what a voter stands on.
type VoterOptions struct {
	Name  string
	Start uint64 // drawn anew by each process
	// Incarnation is the present one.
	Incarnation func() uint64
	Folder      journal.Folder
	Voters      []string // who may begin a log, the first of them, and is in it then
	// The greatest length and number of leases, of a log that begins.
	Longest time.Duration
	Most    int
	Random  func() uint64
	// Above is what tokens of a log that begins are above.
	Above func() uint64
	Log   *slog.Logger
}

// freeKey and a name say, to who waits for a lease, that nobody has it any more.
const freeKey = "free "

// Outbound is what a voter wants told to another. Newer replaces older of its key.
type Outbound struct {
	To, Key string
	Body    []byte
}

// answer is what an asker gets.
type answer struct {
	Leader   string    `cbor:"1,keyasint,omitempty"` // who leads, where this one doesn't
	Log      logID     `cbor:"2,keyasint"`
	Outcomes []outcome `cbor:"3,keyasint,omitempty"`
	No       string    `cbor:"4,keyasint,omitempty"` // the ask had no effect
	Maybe    bool      `cbor:"5,keyasint,omitempty"` // it may have one yet
	Voters   []string  `cbor:"6,keyasint,omitempty"` // who may be asked
}

// What voters tell each other.
const (
	sayRaft = iota + 1
	sayWho  // who are you? With a log: be a voter of it
	sayHere // the answer
	sayOld  // another life of you, no earlier than what you say, was seen by this one
)

type message struct {
	What uint8  `cbor:"1,keyasint"`
	Log  logID  `cbor:"2,keyasint"` // the sender's; none: it has none
	From uint64 `cbor:"3,keyasint,omitempty"`
	To   uint64 `cbor:"4,keyasint,omitempty"`
	Raft []byte `cbor:"5,keyasint,omitempty"`
	// Start is drawn by the sender's process: two of one incarnation are of two folders.
	Start uint64 `cbor:"6,keyasint,omitempty"`
	// Seen is, where the receiver is told that it is old, the last life of it that was seen.
	Seen life `cbor:"7,keyasint,omitempty"`
}

type sighting struct {
	id identity
	at time.Duration
}

type waiting struct {
	reply func(answer)
	until time.Duration
}

type askKey struct {
	node                string
	incarnation, number uint64
}

// Voter is one voter's part in the log: raft, the book, the file, and the time of leases. It is
// stepped by events, after each of which Flush carries out what follows from them, and has no
// clock, no goroutine and no link of its own. It is not safe for concurrent use.
type Voter struct {
	o     VoterOptions
	disk  disk
	self  identity
	seen  map[uint64]life   // the last of each other voter
	names map[uint64]string // who has said something under a number

	node    *raft.RawNode // nil: there is no log
	store   *raft.MemoryStorage
	conf    *raftpb.ConfState
	book    *Book
	applied uint64
	stuck   *raft.Ready // what the disk has not taken yet
	why     string      // the last error of the disk

	counts  timekeeper
	pending map[askKey]waiting
	wanted  map[uint64]waiting // orders of who should vote
	freed   map[string]map[string]bool
	here    map[string]sighting // by name
	// When a snapshot was sent to a voter of which nothing has come back.
	snapshots map[uint64]time.Duration
	looked    time.Duration
	changed   time.Duration
	ticked    time.Duration
	keys      uint64
	out       []Outbound
	stats     VoterStats
}

// VoterStats count since the start.
type VoterStats struct {
	Granted, Renewed, Lapsed, Refused, Syncs, Elections, Strangers int
}

// NewVoter reads the folder. A log of which a part is lost is set aside. The error is of a disk
// that can't be read.
func NewVoter(o VoterOptions, now time.Duration) (*Voter, error) {
	v := &Voter{o: o, disk: disk{folder: o.Folder}}
	v.empty()
	v.ticked, v.looked = now, now-lookEvery
	all, err := v.disk.load()
	if err == nil && len(all) > 0 {
		if bad := v.restore(all, now); bad != nil {
			err = fmt.Errorf("%w: %w", errDamaged, bad)
		}
	}
	if errors.Is(err, errDamaged) {
		return v, v.leave(err.Error())
	}
	return v, err
}

// empty forgets all that belongs to a log.
func (v *Voter) empty() {
	v.dropPending("this voter has left the log")
	v.self, v.node, v.store, v.conf, v.book, v.applied, v.stuck, v.why = identity{}, nil, nil, nil, nil, 0, nil, ""
	v.seen, v.names, v.counts, v.here = map[uint64]life{}, map[uint64]string{}, timekeeper{}, map[string]sighting{}
	v.snapshots = map[uint64]time.Duration{}
	v.pending, v.wanted, v.freed = map[askKey]waiting{}, map[uint64]waiting{}, map[string]map[string]bool{}
}

func (v *Voter) dropPending(why string) {
	all, ans := time.Duration(1<<63-1), answer{No: why, Maybe: true}
	drop(v.pending, all, ans)
	drop(v.wanted, all, ans)
}

// drop answers those whose time is over, and no longer waits for them.
func drop[K comparable](all map[K]waiting, now time.Duration, ans answer) {
	for key, w := range all {
		if now >= w.until {
			delete(all, key)
			w.reply(ans)
		}
	}
}

// leave gives this part in the log up for good: it is to be a new voter.
func (v *Voter) leave(why string) error {
	v.o.Log.Error("leases: set aside, this node is to be a new voter", "why", why, "log", v.self.Log)
	v.empty()
	err := v.disk.setAside()
	if err != nil {
		v.o.Log.Error("leases", "err", err)
	}
	return err
}

// Old tells that others know a later incarnation of this node than its folder does: the folder
// is from before, and so is what it has of the log.
func (v *Voter) Old() error {
	if v.node == nil {
		return v.disk.setAside()
	}
	return v.leave("the folder is older than what others know of this node")
}

// restore rebuilds what was written.
func (v *Voter) restore(all []record, now time.Duration) error {
	v.store = raft.NewMemoryStorage()
	for _, rec := range all {
		if rec.Self != nil {
			v.self = *rec.Self
		}
		maps.Copy(v.seen, rec.Seen)
		if rec.Snapshot != nil {
			snap := &raftpb.Snapshot{}
			if err := proto.Unmarshal(rec.Snapshot, snap); err != nil {
				return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
			}
			if err := v.store.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
			}
		}
		var entries []*raftpb.Entry
		for _, text := range rec.Entries {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return fmt.Errorf("%w: an entry: %w", errDamaged, err)
			}
			entries = append(entries, e)
		}
		if err := v.append(entries); err != nil {
			return err
		}
		if rec.Hard != nil {
			hard := &raftpb.HardState{}
			if err := proto.Unmarshal(rec.Hard, hard); err != nil {
				return fmt.Errorf("%w: a state: %w", errDamaged, err)
			}
			if err := v.store.SetHardState(hard); err != nil {
				return err
			}
		}
	}
	return v.begin(now)
}

// append keeps entries in memory. There is no gap before them, or the file has lost something.
func (v *Voter) append(entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	last, err := v.store.LastIndex()
	if err == nil && entries[0].GetIndex() > last+1 {
		err = fmt.Errorf("%w: entry %d comes after %d", errDamaged, entries[0].GetIndex(), last)
	}
	if err == nil {
		err = v.store.Append(entries)
	}
	return err
}

// begin starts raft on what is in the store, and writes the file anew: what was read may be in
// the machine's memory alone.
func (v *Voter) begin(now time.Duration) error {
	snap, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if err := v.take(snap, now); err != nil {
		return err
	}
	v.node, err = raft.NewRawNode(&raft.Config{ID: v.self.Voter, ElectionTick: electionTicks, HeartbeatTick: beatTicks, Storage: v.store,
		Applied: v.applied, MaxSizePerMsg: 128 << 10, MaxCommittedSizePerReady: 4 << 20, MaxUncommittedEntriesSize: maxProposed,
		MaxInflightMsgs: 16, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: raftLog{v.o.Log}})
	if err != nil {
		return err
	}
	if err := v.renew(); err != nil {
		v.o.Log.Error("leases: no part in the log until the disk takes it", "err", err)
		v.stuck, v.why = &raft.Ready{}, err.Error()
	}
	return nil
}

// take makes a snapshot the state. All leases are counted anew from now.
func (v *Voter) take(snap *raftpb.Snapshot, now time.Duration) error {
	v.applied, v.conf, v.book = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetConfState(), nil
	v.counts = timekeeper{}
	if v.applied == 0 {
		v.book, v.conf = newBook(0, 0, 0, nil), &raftpb.ConfState{}
		delete(v.book.state.Leases, blocked) // it has no log yet
		return nil
	}
	book, err := readBook(snap.GetData())
	if err != nil {
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	v.book = book
	for name := range book.state.Leases {
		v.counts.count(book, name, now)
	}
	return nil
}

// create begins a log with this voter alone in it.
func (v *Voter) create(id identity, book *Book, now time.Duration) error {
	book.state.Voters = map[uint64]string{id.Voter: v.o.Name}
	data, err := book.snapshot()
	if err != nil {
		return err
	}
	index, term := uint64(1), uint64(1)
	snap := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term,
		ConfState: raftpb.EnsureConfState(&raftpb.ConfState{Voters: []uint64{id.Voter}})}}
	v.empty()
	v.self, v.store = id, raft.NewMemoryStorage()
	if err := v.store.ApplySnapshot(snap); err != nil {
		return err
	}
	return v.begin(now)
}

// join begins to learn a log that another has asked this one into.
func (v *Voter) join(log logID, now time.Duration) {
	v.empty()
	v.self, v.store = identity{log, v.o.Random() | 1}, raft.NewMemoryStorage()
	if err := v.begin(now); err != nil {
		v.o.Log.Error("leases: joining a log", "err", err)
		v.empty()
		return
	}
	v.o.Log.Info("leases: a new voter is to learn", "log", log, "voter", v.self.Voter)
}

// hard is raft's state that has to outlast a restart.
func (v *Voter) hard() ([]byte, error) {
	hard, _, err := v.store.InitialState()
	if err != nil {
		return nil, err
	}
	return proto.Marshal(hard)
}

// renew writes the file anew.
func (v *Voter) renew() error {
	rec := record{Self: &v.self, Seen: v.seen}
	var err error
	if rec.Hard, err = v.hard(); err != nil {
		return err
	}
	snap, err := v.store.Snapshot()
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if rec.Snapshot, err = proto.Marshal(snap); err != nil {
			return err
		}
	}
	first, err := v.store.FirstIndex()
	if err != nil {
		return err
	}
	last, err := v.store.LastIndex()
	if err != nil {
		return err
	}
	if last >= first {
		entries, err := v.store.Entries(first, last+1, 1<<62)
		if err != nil {
			return err
		}
		if rec.Entries, err = marshalled(entries); err != nil {
			return err
		}
	}
	v.stats.Syncs++
	return v.disk.renew(rec)
}

func marshalled(entries []*raftpb.Entry) (all [][]byte, err error) {
	for _, e := range entries {
		b, err := proto.Marshal(e)
		if err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, nil
}

// Tick tells the time. Each tickEvery of it is a step of the log's own clock; after a stop, few.
func (v *Voter) Tick(now time.Duration) {
	if v.node == nil {
		v.look(now)
		return
	}
	if v.stuck != nil {
		v.unstick(now)
		if v.stuck != nil {
			return
		}
	}
	for range 3 {
		if now-v.ticked < tickEvery {
			break
		}
		v.node.Tick()
		v.ticked += tickEvery
	}
	if now-v.ticked >= tickEvery {
		v.ticked = now
	}
	v.reportSnapshots()
	late := answer{Log: v.self.Log, No: "no majority has agreed in time", Maybe: true}
	drop(v.pending, now, late)
	drop(v.wanted, now, late)
	if v.leads() {
		v.expire(now)
		v.arrange(now)
	}
	v.look(now)
}

// Voters are the names that the log has, sorted.
func (v *Voter) Voters() (all []string) {
	if v.book == nil {
		return nil
	}
	for _, id := range v.conf.GetVoters() {
		all = append(all, v.book.state.Voters[id])
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// no answers an ask that this one does nothing for.
func (v *Voter) no(err error) answer {
	return answer{Leader: v.Leader(), Log: v.self.Log, No: err.Error(), Voters: v.Voters()}
}

func (v *Voter) leads() bool {
	return v.node != nil && v.stuck == nil && v.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader is the name of who leads, as far as this one knows.
func (v *Voter) Leader() string {
	if v.node == nil {
		return ""
	}
	return v.book.state.Voters[v.node.BasicStatus().Lead]
}

// expire proposes what has run out.
func (v *Voter) expire(now time.Duration) {
	all := v.counts.due(v.book, now)
	if len(v.conf.GetVoters()) <= len(v.book.state.Wanted)/2 { // a log that has just begun grants nothing that a few could lose
		all = slices.DeleteFunc(all, func(l lapse) bool { return l.Name == blocked })
	}
	if len(all) > 0 {
		v.propose(command{Lapsed: all})
	}
}

func (v *Voter) propose(c command) bool {
	b, err := encoding.Marshal(c)
	if err == nil { // what can't be read would end all voters
		err = decoding.Unmarshal(b, &command{})
	}
	if err == nil {
		err = v.node.Propose(b)
	}
	if err != nil {
		v.o.Log.Debug("leases: not proposed", "err", err)
	}
	return err == nil
}

// Ask puts a node's ask; reply is called once, now or from a later Flush or Tick.
func (v *Voter) Ask(now time.Duration, a ask, reply func(answer)) {
	switch {
	case !v.leads():
		reply(v.no(errNotLeader))
		return
	case len(v.pending) >= maxPending:
		reply(v.no(errors.New("too many asks at once")))
		return
	}
	key := askKey{a.Node, a.Incarnation, a.Number}
	if _, there := v.pending[key]; there || !v.propose(command{Ask: &a}) {
		reply(v.no(errNotProposed))
		return
	}
	v.pending[key] = waiting{reply, now + answerTime}
}

// Want orders who should vote from now on.
func (v *Voter) Want(now time.Duration, names []string, reply func(answer)) {
	if !v.leads() {
		reply(v.no(errNotLeader))
		return
	}
	request := v.o.Random()
	if !v.propose(command{Wanted: names, Request: request}) {
		reply(v.no(errNotProposed))
		return
	}
	v.wanted[request] = waiting{reply, now + answerTime}
}

// Flush carries out what follows from the events since the last one. Now was read after them.
func (v *Voter) Flush(now time.Duration) []Outbound {
	for v.node != nil && v.stuck == nil && v.node.HasReady() {
		rd := v.node.Ready()
		if err := v.save(rd); errors.Is(err, errDamaged) {
			v.leave(err.Error())
			break
		} else if err != nil {
			v.o.Log.Error("leases: no part in the log until the disk takes it", "err", err)
			v.stuck, v.why = &rd, err.Error()
			break
		}
		v.carryOut(rd, now)
	}
	v.tellFreed()
	out := v.out
	v.out = nil
	return out
}

// save keeps what must be on disk before anybody hears of it.
func (v *Voter) save(rd raft.Ready) (err error) {
	var rec record
	snapshot, hard := !raft.IsEmptySnap(rd.Snapshot), rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState)
	if snapshot {
		err = v.store.ApplySnapshot(rd.Snapshot)
	}
	if err == nil {
		err = v.append(rd.Entries)
	}
	if err == nil && hard {
		err = v.store.SetHardState(rd.HardState)
	}
	if err != nil { // nothing of the disk's: it would come again
		return fmt.Errorf("%w: %w", errDamaged, err)
	}
	if snapshot {
		rec.Snapshot, err = proto.Marshal(rd.Snapshot)
	}
	if err == nil {
		rec.Entries, err = marshalled(rd.Entries)
	}
	if err != nil {
		return err
	}
	if rec.Snapshot == nil && rec.Entries == nil && !(hard && rd.MustSync) {
		return nil // a commit alone is learnt again
	}
	// With what was agreed on before, also where that came alone: who has the second of two changes
	// of the voters knows after any restart that the first holds, and so never counts with voters two
	// changes old, of whom a majority need not meet one of today's.
	if rec.Hard, err = v.hard(); err != nil {
		return err
	}
	v.stats.Syncs++
	return v.disk.append(rec)
}

// unstick writes all of it anew. An append that has failed is never followed by another: what
// the file has then is not known.
func (v *Voter) unstick(now time.Duration) {
	if err := v.renew(); err != nil {
		v.why = err.Error()
		return
	}
	rd := *v.stuck
	v.stuck, v.why = nil, ""
	v.o.Log.Info("leases: the disk takes the log again")
	if rd.Messages != nil || rd.CommittedEntries != nil || rd.Entries != nil || rd.HardState != nil || rd.Snapshot != nil {
		v.carryOut(rd, now)
	}
}

func (v *Voter) carryOut(rd raft.Ready, now time.Duration) {
	if rd.SoftState != nil {
		v.stats.Elections++
		v.o.Log.Info("leases: leader", "is", v.book.state.Voters[rd.SoftState.Lead], "this one", rd.SoftState.RaftState)
		if rd.SoftState.RaftState != raft.StateLeader {
			clear(v.freed)
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.take(rd.Snapshot, now); err != nil {
			v.leave(err.Error())
			return
		}
	}
	for _, m := range rd.Messages {
		v.send(m)
	}
	for _, e := range rd.CommittedEntries {
		if err := v.apply(e, now); err != nil {
			v.leave(err.Error())
			return
		}
	}
	v.node.Advance(rd)
	v.compact()
}

// compact makes a snapshot where much has come since the last one.
func (v *Voter) compact() {
	first, err := v.store.FirstIndex()
	if err != nil || v.applied < first || !v.disk.full() {
		return
	}
	data, err := v.book.snapshot()
	if err == nil {
		_, err = v.store.CreateSnapshot(v.applied, v.conf, data)
	}
	keep := v.applied
	for size := 0; err == nil && keep >= first; keep-- {
		var last []*raftpb.Entry
		if last, err = v.store.Entries(keep, keep+1, keptLog); err == nil {
			size += proto.Size(last[0])
		}
		if size > keptLog {
			break
		}
	}
	if err == nil && keep >= first {
		err = v.store.Compact(keep)
	}
	if err == nil {
		err = v.renew()
	}
	if err != nil {
		v.o.Log.Error("leases: shortening the log", "err", err)
		v.why = err.Error()
	}
}

// apply takes in an entry that is agreed on.
func (v *Voter) apply(e *raftpb.Entry, now time.Duration) error {
	v.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("%w: a change of the voters: %w", errDamaged, err)
		}
		v.conf = v.node.ApplyConfChange(cc)
		if cc.GetType() == raftpb.ConfChangeRemoveNode {
			delete(v.book.state.Voters, cc.GetNodeId())
			delete(v.seen, cc.GetNodeId())
		} else {
			v.book.state.Voters[cc.GetNodeId()] = string(cc.GetContext())
		}
		// A learner takes no snapshot that does not know it.
		data, err := v.book.snapshot()
		if err == nil {
			_, err = v.store.CreateSnapshot(v.applied, v.conf, data)
		}
		if err != nil {
			return fmt.Errorf("%w: a snapshot: %w", errDamaged, err)
		}
		v.o.Log.Info("leases: voters", "change", cc.GetType(), "voter", string(cc.GetContext()), "number", cc.GetNodeId())
		return nil
	case raftpb.EntryNormal:
		if len(e.GetData()) == 0 {
			return nil
		}
	default:
		return nil
	}
	var c command
	if err := decoding.Unmarshal(e.GetData(), &c); err != nil {
		return fmt.Errorf("%w: an entry: %w", errDamaged, err)
	}
	switch {
	case c.Ask != nil:
		v.applyAsk(c.Ask, now)
	case c.Lapsed != nil:
		was := len(v.book.state.Leases)
		v.book.lapse(c.Lapsed)
		v.stats.Lapsed += was - len(v.book.state.Leases)
	case c.Wanted != nil:
		v.book.want(c.Wanted)
		if w, there := v.wanted[c.Request]; there {
			delete(v.wanted, c.Request)
			w.reply(answer{Log: v.self.Log})
		}
	}
	return nil
}

func (v *Voter) applyAsk(a *ask, now time.Duration) {
	all, changed, err := v.book.ask(a)
	for _, name := range changed {
		if v.book.state.Leases[name].Renewed > 0 {
			v.stats.Renewed++
		} else {
			v.stats.Granted++
		}
		v.counts.count(v.book, name, now)
	}
	key := askKey{a.Node, a.Incarnation, a.Number}
	w, there := v.pending[key]
	if !there {
		return
	}
	delete(v.pending, key)
	out := answer{Log: v.self.Log, Outcomes: all, Voters: v.Voters()}
	if err != nil {
		out = v.no(err)
	}
	for i, o := range all {
		if a.Ops[i].Do == take && !o.Mine {
			v.stats.Refused++
			v.watch(a.Ops[i].Name, a.Node)
		}
	}
	w.reply(out)
}

// watch notes who is to be told when a name is free.
func (v *Voter) watch(name, node string) {
	if len(v.freed) >= MaxLeases && v.freed[name] == nil {
		return
	}
	if v.freed[name] == nil {
		v.freed[name] = map[string]bool{}
	}
	if len(v.freed[name]) < fleet.MaxMembers {
		v.freed[name][node] = true
	}
}

// tellFreed forgets the time of what nobody has any more, and tells those who wait for it. One
// that misses it asks again by itself.
func (v *Voter) tellFreed() {
	if v.book == nil {
		return
	}
	for _, name := range v.book.freed {
		v.counts.forget(v.book, name)
		if !v.leads() {
			continue
		}
		for _, node := range slices.Sorted(maps.Keys(v.freed[name])) {
			v.out = append(v.out, Outbound{To: node, Key: freeKey + name})
		}
		delete(v.freed, name)
	}
	v.book.freed = nil
}

// send hands a message of raft on. Each kind has so many places on its way to a voter, and a
// later one takes the place of an earlier: raft sends again what was lost.
func (v *Voter) send(m *raftpb.Message) {
	name := cmp.Or(v.book.state.Voters[m.GetTo()], v.names[m.GetTo()])
	b, err := proto.Marshal(m)
	if err != nil || name == "" || name == v.o.Name {
		v.node.ReportUnreachable(m.GetTo())
		return
	}
	key := fmt.Sprintf("%v %x", m.GetType(), m.GetTo()) // a name may have two numbers for a while
	if t := m.GetType(); t == raftpb.MsgApp || t == raftpb.MsgAppResp {
		v.keys++
		key = fmt.Sprint(key, " ", v.keys%windowOf)
	}
	v.say(name, key, message{What: sayRaft, From: v.self.Voter, To: m.GetTo(), Raft: b})
	if m.GetType() == raftpb.MsgSnap {
		v.snapshots[m.GetTo()] = v.ticked
	}
}

// reportSnapshots lets raft try again where a snapshot has had its time. One that came is seen by
// its answer.
func (v *Voter) reportSnapshots() {
	for id, sent := range v.snapshots {
		if v.ticked-sent >= snapshotTime {
			delete(v.snapshots, id)
			v.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

func (v *Voter) say(to, key string, m message) {
	m.Log, m.Start = v.self.Log, v.o.Start
	v.put(to, key, m)
}

func (v *Voter) put(to, key string, m message) {
	b, err := encoding.Marshal(m)
	if err != nil {
		v.o.Log.Error("leases: a message", "err", err)
		return
	}
	v.out = append(v.out, Outbound{to, key, b})
}

// Unreachable tells that what was for a voter found no room, or that it is not there.
func (v *Voter) Unreachable(name string) {
	if v.node == nil {
		return
	}
	for id, n := range v.book.state.Voters {
		if n == name && id != v.self.Voter {
			v.node.ReportUnreachable(id)
		}
	}
}

// Close lets go of the file.
func (v *Voter) Close() {
	v.dropPending("this voter has ended")
	v.disk.close()
}

// raftLog puts what raft says on the node's log. What it panics with ends the voter, not the
// process: see Leases.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(v ...any)           {}
func (l raftLog) Debugf(string, ...any)    {}
func (l raftLog) Info(v ...any)            { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Infof(f string, v ...any) { l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Warning(v ...any)         { l.log.Debug("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Warningf(f string, v ...any) {
	l.log.Debug("leases: raft", "says", fmt.Sprintf(f, v...))
}
func (l raftLog) Error(v ...any)            { l.log.Warn("leases: raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Errorf(f string, v ...any) { l.log.Warn("leases: raft", "says", fmt.Sprintf(f, v...)) }
func (l raftLog) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLog) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
