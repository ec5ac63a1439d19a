package lease

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

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

// Close lets go of the file.
func (v *Voter) Close() {
	v.dropPending("this voter has ended")
	v.disk.close()
}
