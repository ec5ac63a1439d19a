package lease

import (
	"errors"
	"log/slog"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"dunetide/internal/platform/vfs"
)

const (
	// tickEvery is the length of a raft tick. A leader sends heartbeats every heartbeatTicks, and an election begins after
	// electionTicks to twice as many without one: long enough for a slow sync and for dialling a link.
	tickEvery      = 100 * time.Millisecond
	electionTicks  = 10
	heartbeatTicks = 2
	// queryEvery is how often the leader, or the node that may begin a log, queries the identities of other nodes. seenFor
	// is how long an answer is valid.
	queryEvery = time.Second
	seenFor    = 3 * time.Second
	// snapshotTime is the time limit for the transfer of a snapshot, which has up to 1 MiB.
	snapshotTime = 2 * time.Second
	// changeEvery is the shortest time between two changes of the voters.
	changeEvery = 300 * time.Millisecond
	// answerTime is how long a request may wait to be committed.
	answerTime = 3 * time.Second
	// maxPending is the most requests that wait to be committed.
	maxPending = 1024
	// maxProposed is the most bytes of a leader's uncommitted proposals.
	maxProposed = 64 << 10
	// maxQueued is the most messages with entries, or with their answers, that are queued for one voter. Later ones replace
	// earlier ones.
	maxQueued = 32
)

// errNotLeader is the answer to a request at a voter that is not the leader.
var errNotLeader = errors.New("not the leader")

// errNotProposed is the answer to a request that raft has not accepted, for example because the leader has just stepped down.
var errNotProposed = errors.New("not proposed")

// VoterOptions configures a Voter.
type VoterOptions struct {
	Name  string
	Start uint64 // a random number that identifies the process
	// Incarnation returns the present incarnation of the node.
	Incarnation func() uint64
	Folder      vfs.Folder
	Voters      []string // the initial voters of a log; only the first of them creates one
	// Longest and Most are the greatest length and number of leases of a new log.
	Longest time.Duration
	Most    int
	Random  func() uint64
	// Above returns a lower bound that all tokens of a new log must exceed.
	Above func() uint64
	Log   *slog.Logger
}

// freeKey is the prefix of the key of the message that a lease has become free; the lease's name follows.
const freeKey = "free "

// Voter is one member of the raft group: it has the raft node, the replicated state, the file of the log, and the timers of
// the leases. It has no clock, goroutine or connection: the caller passes events to it, and calls Flush to carry out their
// effects. It is not safe for concurrent use.
type Voter struct {
	options VoterOptions
	disk    disk
	self    identity
	seen    map[uint64]incarnation // the last process of each other voter, by raft id
	names   map[uint64]string      // names of the senders of messages, by raft id

	node    *raft.RawNode // nil if there is no log
	store   *raft.MemoryStorage
	conf    *raftpb.ConfState
	machine *StateMachine
	applied uint64
	unsaved *raft.Ready // the state whose write has failed, nil if there is none
	why     string      // the last disk error
	// notAside is the error of setting aside the file of a log that this voter has left, nil if that has succeeded. The last
	// attempt was at triedAside.
	notAside   error
	triedAside time.Duration

	counts  timekeeper
	pending map[requestKey]waiting     // requests that are not committed yet
	wanted  map[uint64]waiting         // calls of Want that are not committed yet
	freed   map[string]map[string]bool // nodes that wait for each name
	here    map[string]sighting        // identities of other nodes, by name
	// snapshots are the times at which unanswered snapshots were sent, by raft id.
	snapshots map[uint64]time.Duration
	queried   time.Duration // the last query of identities
	changed   time.Duration // the last change of the voters
	ticked    time.Duration // the last raft tick
	keys      uint64        // number of the last message with entries
	out       []Outbound
	stats     VoterStats
}

// VoterStats counts events since the start.
type VoterStats struct {
	Granted, Renewed, Lapsed, Refused, Syncs, Elections, Strangers int
}

// Tick handles the passage of time: raft ticks every tickEvery, but at most three times per call, also after a long gap.
func (v *Voter) Tick(now time.Duration) {
	if v.node == nil {
		v.retryAside(now)
		v.queryIdentities(now)
		return
	}
	if v.unsaved != nil {
		v.retryWrite(now)
		if v.unsaved != nil {
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
	expireWaiting(v.pending, now, late)
	expireWaiting(v.wanted, now, late)
	if v.leads() {
		v.expire(now)
		v.changeVoters(now)
	}
	v.queryIdentities(now)
}

// Voters returns the names of the voters, in order.
func (v *Voter) Voters() (all []string) {
	if v.machine == nil {
		return nil
	}
	for _, id := range v.conf.GetVoters() {
		all = append(all, v.machine.state.Voters[id])
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// refusal returns the answer to a request that has no effect.
func (v *Voter) refusal(err error) answer {
	return answer{Leader: v.Leader(), Log: v.self.Log, No: err.Error(), Voters: v.Voters()}
}

// leads reports whether this voter is the leader and can write to its disk.
func (v *Voter) leads() bool {
	return v.node != nil && v.unsaved == nil && v.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader returns the name of the leader as far as this voter knows, or an empty string.
func (v *Voter) Leader() string {
	if v.node == nil {
		return ""
	}
	return v.machine.state.Voters[v.node.BasicStatus().Lead]
}

// expire proposes to end the leases that have expired.
func (v *Voter) expire(now time.Duration) {
	all := v.counts.due(v.machine, now)
	if len(v.conf.GetVoters()) <= len(v.machine.state.Wanted)/2 { // a new log grants nothing before a majority of its voters has joined
		all = slices.DeleteFunc(all, func(l lapse) bool { return l.Name == blocked })
	}
	if len(all) > 0 {
		v.propose(command{Lapsed: all})
	}
}

// propose proposes an entry and reports whether raft has accepted it.
func (v *Voter) propose(c command) bool {
	b, err := encoding.Marshal(c)
	if err == nil { // an entry that cannot be decoded would stop all voters
		err = decoding.Unmarshal(b, &command{})
	}
	if err == nil {
		err = v.node.Propose(b)
	}
	if err != nil {
		v.options.Log.Debug("leases: proposal rejected", "err", err)
	}
	return err == nil
}

// Ask proposes a node's request. It calls reply exactly once, immediately or from a later Flush or Tick.
func (v *Voter) Ask(now time.Duration, a request, reply func(answer)) {
	switch {
	case !v.leads():
		reply(v.refusal(errNotLeader))
		return
	case len(v.pending) >= maxPending:
		reply(v.refusal(errors.New("too many asks at once")))
		return
	}
	key := requestKey{a.Node, a.Incarnation, a.Number}
	if _, there := v.pending[key]; there || !v.propose(command{Ask: &a}) {
		reply(v.refusal(errNotProposed))
		return
	}
	v.pending[key] = waiting{reply, now + answerTime}
}

// Want proposes which nodes should be voters from now on. It calls reply exactly once, immediately or from a later Flush or
// Tick.
func (v *Voter) Want(now time.Duration, names []string, reply func(answer)) {
	if !v.leads() {
		reply(v.refusal(errNotLeader))
		return
	}
	request := v.options.Random()
	if !v.propose(command{Wanted: names, Request: request}) {
		reply(v.refusal(errNotProposed))
		return
	}
	v.wanted[request] = waiting{reply, now + answerTime}
}

// Close answers all waiting requests and closes the file.
func (v *Voter) Close() {
	v.dropPending("this voter has ended")
	v.disk.close()
}
