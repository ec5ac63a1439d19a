package batch

import (
	"slices"

	"dunetide/internal/control/snapshot"
)

// primaryState is the additional state of a partition at its primary.
type primaryState struct {
	term        uint64
	incarnation uint64 // the first term of this lead; it does not change in epochs that keep the primary
	stage       takeoverStage
	serving     bool // the takeover is complete: clients and workers are served

	replicas          []uint64 // the group according to the table, including this store
	nextReplicas      []uint64 // the group after the change in progress; nil: no change
	nextGroupReady    bool     // the next group is up to date, so operations are committed by both groups
	nextGroupReported bool
	progress          map[uint64]*replicaProgress // of the other connected replicas, by identity
	stateSource       uint64                      // the replica whose state is taken over
	awaitedJobs       map[string]bool             // jobs that have not yet arrived from it
	requestedJobs     map[string]bool             // those of them that were requested

	lastSequence   uint64          // of the newest operation
	startSequence  int64           // the operation up to which the state was taken over
	selfSynced     int64           // the operation up to which all are durable on the own disk; -1: not even the start of this term
	committed      int64           // the operation up to which all are committed; -1: none yet
	pendingCommits []pendingCommit // oldest first

	confirmedAt             int64         // a time at which this store was certainly not replaced
	confirmationRequestedAt int64         // stamp of the newest request
	superseded              bool          // a replica knows a newer term
	startsPaused            bool          // workers were notified not to start items
	servingSince            int64         // when the takeover was completed
	predecessorSince        int64         // see PartitionLead
	leadConfirmedAt         int64         // a time at which certainly no other store led; epochs that keep the primary keep it
	earlierUntil            int64         // see PartitionLead
	inherited               *leadState    // newest state of an earlier lead; nil: none, or it is not certain
	sharedSequence          uint64        // newest state of this lead that each successor finds; 0: none
	stateRefused            bool          // it was logged that a state is too large
	pendingReads            []pendingRead // waiting for a confirmation
	dispatchFrom            int64         // when the first items may be assigned

	usage           map[string]*accountUsage // by account
	usageVersion    uint64                   // of the newest usage report
	reservations    map[uint64]*reservation  // by their numbers
	lastReservation uint64                   // number
	accounts        map[string]*quotaAccount // whose quota this primary owns
	incomingJobs    map[string]*incomingJob  // jobs that wait for their tokens, by ID
}

// takeoverStage is the progress of a new primary. The stages follow in this order; stageFetching
// falls back to stageCollecting when the replica that jobs are fetched from disconnects.
type takeoverStage uint8

const (
	stagePromising   takeoverStage = iota // waiting until the own promise is durable
	stageCollecting                       // waiting for the promises of replicas
	stageFetching                         // waiting for jobs from another replica
	stageReplicating                      // operations are ordered and replicated
)

// replicaProgress is a primary's state of another replica (as Progress in etcd's raft).
type replicaProgress struct {
	pipe              Pipe
	session           uint64            // distinguishes messages of this connection and term from all others
	digests           map[string]uint64 // of the jobs that it reported; nil: it has not reported yet
	position          logPosition       // as it reported
	outdatedJobs      map[string]bool   // jobs that have to be sent with their results; nil: not known yet
	acceptsParts      bool              // it accepts jobs in parts, and sends them so
	transfer          *jobTransfer      // the job that is being sent in parts; nil: none
	transfersInFlight []int             // sizes of the messages with jobs that are not acknowledged, oldest first
	upToDate          bool              // it has been sent everything, so its acknowledgements count
	acknowledged      int64             // the operation up to which all are durable there; -1: none
	confirmedAt       int64             // stamp of its newest confirmation
	logFull           bool              // it has no space for more jobs
	report            *leadReport       // of earlier leads; nil: none
	heldSequence      uint64            // newest state of this lead that it has acknowledged; 0: none
}

// pendingCommit is a callback for when an operation is committed. It is called with false when this
// store is no longer the primary and the outcome is unknown.
type pendingCommit struct {
	sequence int64
	done     func(ok bool)
}

// becomePrimary begins a term. A primary of the previous epoch, in the same process, continues
// without a takeover, as no other store can have ordered anything.
func (c *core) becomePrimary(p *partition, row *snapshot.Partition, continues bool) {
	if !continues {
		c.stepDown(p)
	}
	term := max(p.promisedTerm, firstTerm(row.Epoch)) + 1
	if epochOfTerm(term) != row.Epoch {
		return // a newer epoch is known already
	}
	if p.primary == nil {
		termsStarted.Inc()
		p.primary = newPrimaryState(term)
		p.primary.predecessorSince = p.witness.predecessorSince
	}
	primary := p.primary
	p.followedPrimary, p.session = nil, 0
	c.discardAllStaged(p)
	primary.beginTerm(term, row)
	if continues {
		primary.confirmedAt = c.nowMs - confirmationMs - 1 // unconfirmed, but within workerGraceMs for workers
	}
	c.appendRecord(encodeRecord(recordPromise, p.index, term))
	if continues {
		c.writeTermStart(p)
	}
	c.afterSync(func() {
		if p.primary != primary || primary.term != term {
			return
		}
		if primary.stage == stagePromising {
			primary.stage = stageCollecting
		}
		for _, id := range primary.allReplicas() {
			c.sendPrepare(p, id)
		}
		c.chooseStateSource(p)
	})
}

func newPrimaryState(term uint64) *primaryState {
	return &primaryState{
		incarnation: term,

		leadConfirmedAt: never,

		committed:    -1,
		usage:        map[string]*accountUsage{},
		reservations: map[uint64]*reservation{},
		accounts:     map[string]*quotaAccount{},
		incomingJobs: map[string]*incomingJob{},
	}
}

// beginTerm resets what is known of the replicas from the previous term.
func (s *primaryState) beginTerm(term uint64, row *snapshot.Partition) {
	s.term = term
	s.stage = stagePromising
	s.selfSynced = -1
	s.startSequence = 0
	s.nextGroupReady = false
	s.nextGroupReported = false
	s.replicas = row.Replicas
	s.nextReplicas = nil
	if len(row.Joining)+len(row.Leaving) > 0 {
		s.nextReplicas = nextReplicas(row)
	}
	s.progress = map[uint64]*replicaProgress{}
	s.confirmedAt = never
	s.confirmationRequestedAt = 0
	s.superseded = false
}

// allReplicas returns the replicas of the group and of the next one.
func (s *primaryState) allReplicas() []uint64 {
	ids := slices.Clone(s.replicas)
	for _, id := range s.nextReplicas {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *primaryState) progressOfSession(session uint64) *replicaProgress {
	for _, replica := range s.progress {
		if replica.session == session {
			return replica
		}
	}
	return nil
}

// startServing is called when the state that was taken over is committed in this term.
func (c *core) startServing(p *partition) {
	primary := p.primary
	primary.serving = true
	primary.servingSince = c.nowMs
	c.log("partition %d: primary in term %x with %d jobs", p.index, primary.term, len(p.jobs))
	primary.dispatchFrom = c.nowMs + dispatchDelayMs
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		j.committed = true
		j.readableResults = len(j.results)
		j.endCommitted = j.ended
		if !j.ended {
			primary.usageOf(j.account).tokens += j.openTokens()
		}
		c.enqueueJob(j)
	}
	for _, usage := range primary.usage {
		usage.changed = true
	}
	c.adoptAllRunning(p)
}

// stepDown ends the lead of a partition, if this store has it. The outcome of uncommitted
// operations is then unknown, and their callbacks are called with false.
func (c *core) stepDown(p *partition) {
	primary := p.primary
	if primary == nil {
		return
	}
	p.primary = nil
	c.discardAllStaged(p)
	if primary.serving && primary.leadConfirmedAt != never {
		p.confirmations.note(primary.term, primary.leadConfirmedAt)
	}
	for _, commit := range primary.pendingCommits {
		commit.done(false)
	}
	rejectReads(primary.pendingReads)
	for _, id := range sortedKeys(primary.incomingJobs) {
		primary.incomingJobs[id].reply(codeUnavailable)
	}
	for _, account := range primary.accounts {
		account.rejectPending(c)
	}
	for _, id := range sortedKeys(p.jobs) {
		j := p.jobs[id]
		rejectReads(j.pendingReads)
		j.resetPrimaryState()
	}
	for _, w := range c.attachedWorkers {
		for key := range w.assigned {
			if key.partition == p.index {
				delete(w.assigned, key)
			}
		}
	}
	c.dispatchQueue = slices.DeleteFunc(c.dispatchQueue, func(j *job) bool { return !j.queued })
	c.rejectPendingEnds(p)
}

// resetPrimaryState clears the state of a job that only the primary of its partition has.
func (j *job) resetPrimaryState() {
	j.pendingReads = nil
	j.committed = false
	j.readableResults = 0
	j.endCommitted = false
	j.queued = false
	j.dropped = false
	j.firstWaiting = 0
	for i := range j.items {
		j.items[i].worker = nil
		if j.items[i].state == itemAssigned {
			j.items[i].state = itemWaiting
		}
	}
}

// peerConnected is called when a connection to another store has opened.
func (c *core) peerConnected(id uint64, pipe Pipe) {
	c.peers[id] = pipe
	for _, p := range c.partitions {
		primary := p.primary
		if primary == nil {
			continue
		}
		if primary.stage != stagePromising && slices.Contains(primary.allReplicas(), id) {
			c.sendPrepare(p, id)
		}
		if primary.serving {
			primary.resendReservations(id)
			c.sendUsageTo(p, id)
		}
	}
}

// peerDisconnected is called when a connection to another store has closed.
func (c *core) peerDisconnected(id uint64, pipe Pipe) {
	if c.peers[id] != pipe {
		return
	}
	delete(c.peers, id)
	for _, p := range c.partitions {
		primary := p.primary
		if primary == nil || primary.progress[id] == nil {
			continue
		}
		delete(primary.progress, id)
		if primary.stage == stageFetching && primary.stateSource == id {
			primary.stage = stageCollecting
			c.chooseStateSource(p)
		}
	}
}
