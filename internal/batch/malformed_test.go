package batch

import (
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

// Truncated messages change nothing, and are not answered as complete ones are: missing fields must
// not be read as zero or as an empty list.

// storeState is the state of a store that a message may change.
type storeState struct {
	appended uint64
	promised uint64
	position logPosition
	session  uint64
	jobs     int
	held     *leadState
}

func stateOf(c *core, p *partition) storeState {
	return storeState{
		appended: c.appendedRecords,
		promised: p.promisedTerm,
		position: p.position,
		session:  p.session,
		jobs:     len(p.jobs),
		held:     p.heldState,
	}
}

// followerOf returns a rig in which a store follows the primary of a job's partition.
func followerOf(t *testing.T) (g *storeRig, primary, follower *core, p *partition) {
	t.Helper()
	g = newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	primary, led := primaryOfJob(t, g)
	for _, c := range g.cores {
		if q := c.partition(led.index); c != primary && q.session != 0 && q.promisedTerm == led.primary.term {
			return g, primary, c, q
		}
	}
	t.Fatal("no store follows the primary")
	return nil, nil, nil, nil
}

func TestMessagesToAReplicaThatEndEarly(t *testing.T) {
	_, primary, c, p := followerOf(t)
	term, next := p.promisedTerm, p.position.sequence+1
	jobWithResults, err := primary.encodeJobWithResults(primary.partition(p.index).jobs["job"])
	if err != nil {
		t.Fatal(err)
	}
	jobPart, _, _, err := primary.encodeJobPart(primary.partition(p.index).jobs["job"], partPosition{}, true)
	if err != nil {
		t.Fatal(err)
	}
	const age = 8 // length of the age, which older versions do not send
	operation := func(encoded []byte) []byte { return append(encodeNumbers(p.index, term, p.session, next), encoded...) }
	for name, m := range map[string]struct {
		kind link.Kind
		body []byte
		from int // another valid length, shorter than the body; 0: none
	}{
		"prepare":       {kind: kindPrepare, body: encodeNumbers(p.index, term+1, 7)},
		"fetch":         {kind: kindFetchJob, body: append(encodeNumbers(p.index, term), 0, 0, 0, 3, 'j', 'o', 'b')},
		"start of term": {kind: kindStartTerm, body: encodeNumbers(p.index, term, p.session, 99)},
		"confirm":       {kind: kindConfirm, body: encodeNumbers(p.index, term, 1)},
		"accept":        {kind: kindOperation, body: operation(encodeAcceptJob(encodedJob("new", 2, 0)))},
		"end":           {kind: kindOperation, body: operation(encodeJobOperation(opEndJob, "job"))},
		"lead state":    {kind: kindLeadState, body: leadStateOf(p.index, term, p.session, 7)},
		"drop":          {kind: kindOperation, body: operation(encodeJobOperation(opDropJob, "job"))},
		"fetch of a part": {
			kind: kindFetchJobPart, body: append(encodeNumbers(p.index, term), 0, 0, 0, 3, 'j', 'o', 'b', 0, 0, 0, 0, 0),
		},
		"job part": {kind: kindInstallJobPart, body: append(encodeNumbers(p.index, term, p.session), jobPart...)},
		"job with results": {
			kind: kindInstallJob,
			body: append(encodeNumbers(p.index, term, p.session), jobWithResults...),
			from: len(encodeNumbers(p.index, term, p.session)) + len(jobWithResults) - age,
		},
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(m.body) {
				if m.from != 0 && length == m.from {
					continue
				}
				pipe := &recordingPipe{}
				if m.kind != kindPrepare { // any store may send it
					pipe, _ = p.followedPrimary.(*recordingPipe)
					if pipe == nil {
						pipe = &recordingPipe{}
						p.followedPrimary = pipe
					}
					pipe.kinds = nil
				}
				before := stateOf(c, p)
				c.handleStoreMessage(pipe, m.kind, slices.Clone(m.body[:length]))
				c.recordsSynced(c.appendedRecords)
				if after := stateOf(c, p); after != before {
					t.Fatalf("%d of %d bytes changed %+v to %+v", length, len(m.body), before, after)
				}
				if len(pipe.kinds) != 0 {
					t.Fatalf("%d of %d bytes were answered with %v", length, len(m.body), pipe.kinds)
				}
			}
		})
	}
}

func TestAnswersOfReplicasThatEndEarly(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	c, p := primaryOfJob(t, g)
	term := p.primary.term
	for _, replica := range p.primary.progress {
		// A truncated message must not be read as reporting free space.
		replica.logFull = true
		for kind, body := range map[link.Kind][]byte{
			kindOperationAck: append(encodeNumbers(p.index, term, 1<<40), 0),
			kindConfirmed:    append(encodeNumbers(p.index, term, 1<<40), 0),
			kindJobInstalled: encodeNumbers(p.index, term, replica.session),
			kindAcceptsParts: encodeNumbers(p.index, term, replica.session),

			kindLeadReport:    leadReportOf(p.index, term, replica.session),
			kindLeadStateHeld: encodeNumbers(p.index, term, replica.session, 1<<40),
		} {
			for length := range len(body) {
				before := *replica
				c.handleStoreMessage(replica.pipe, kind, slices.Clone(body[:length]))
				if replica.acknowledged != before.acknowledged || replica.confirmedAt != before.confirmedAt ||
					replica.logFull != before.logFull || len(replica.transfersInFlight) != len(before.transfersInFlight) || replica.acceptsParts != before.acceptsParts ||
					replica.report != before.report || replica.heldSequence != before.heldSequence {
					t.Fatalf("kind %d: %d of %d bytes changed %+v to %+v", kind, length, len(body), before, *replica)
				}
			}
		}
	}
}

// A truncated call is rejected without any claim about the job.
func TestCallsThatEndEarly(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	c, _ := primaryOfJob(t, g)
	for kind, body := range map[link.Kind][]byte{
		kindAcceptJob:    encodedJob("job", 2, 0),
		kindReadResults:  encodeReadResults("job", 0, 0, Principal{}),
		kindReadItemBody: encodeReadItemBody("job", "item", Principal{}),
		kindEndJob:       encodeEndJob("job", Principal{}),
	} {
		begin := len(encodeEndJob("job", Principal{})) // from this length on the call identifies the job
		for length := range len(body) {
			if kind == kindAcceptJob && length >= begin {
				break // the job exists already, so its ID suffices
			}
			var codes []uint8
			c.handleMessage(nil, callerFunc(func(b []byte) { codes = append(codes, b[0]) }), kind, slices.Clone(body[:length]))
			g.step(confirmationWaitMs + 100)
			if !slices.Equal(codes, []uint8{codeUnavailable}) {
				t.Errorf("kind %d: %d of %d bytes were answered %v", kind, length, len(body), codes)
			}
		}
	}
}

// FuzzMessages sends stores messages of every kind with arbitrary bodies. A store must keep working
// and be able to replay its log. Messages of a primary to its replicas begin with the term and
// session that a replica follows, as most others would be rejected at once; only the rest is
// fuzzed.
func FuzzMessages(f *testing.F) {
	const index, term = 3, 1<<16 + 1
	for kind, body := range map[link.Kind][]byte{
		kindPrepare:    encodeNumbers(index, term+1, 7),
		kindFetchJob:   append(encodeNumbers(index, term), 0, 0, 0, 3, 'j', 'o', 'b'),
		kindInstallJob: {0, 0, 0, 3, 'j', 'o', 'b'},

		kindFetchJobPart:   append(encodeNumbers(index, term), 0, 0, 0, 3, 'j', 'o', 'b', 0, 0, 0, 0, 0),
		kindInstallJobPart: {0, 0, 0, 3, 'j', 'o', 'b', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
		kindJobPart:        append(encodeNumbers(index, term), 0, 0, 0, 3, 'j', 'o', 'b', 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
		kindStartTerm:      {0, 0, 0, 0, 0, 0, 0, 99},
		kindOperation:      append([]byte{0, 0, 0, 0, 0, 0, 0, 0}, encodeAcceptJob(encodedJob("new", 2, 0))...),
		kindOperationAck:   append(encodeNumbers(index, term, 1), 0),
		kindStaleTerm:      encodeNumbers(index, term+9),
		kindConfirm:        encodeNumbers(index, term, 1),
		kindConfirmed:      append(encodeNumbers(index, term, 1), 0),
		kindAcceptJob:      encodedJob("job", 2, 0),
		kindReadResults:    encodeReadResults("job", 0, 0, Principal{}),
		kindReadItemBody:   encodeReadItemBody("job", "item", Principal{}),
		kindEndJob:         encodeEndJob("job", Principal{}),
		kindLeadReport:     leadReportOf(index, term, 1),
		kindLeadState:      leadStateOf(index, term, 1, 7)[len(encodeNumbers(index, term, 1)):],
		kindAttachWorker:   encodeAttachWorker("w", "z", 3),
		kindItemResult:     encodeItemResult(itemKey{index, "job", 0}, false, []byte("text")),
	} {
		f.Add(uint8(kind), body)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		g := newStoreRig(3, 1, 1, 1000)
		g.accept(t, "job", 2)
		for _, c := range g.cores {
			pipe, message := Pipe(&recordingPipe{}), slices.Clone(body)
			if p := c.partition(index); p.followedPrimary != nil {
				pipe = p.followedPrimary
				if slices.Contains([]link.Kind{kindInstallJob, kindStartTerm, kindOperation, kindLeadState, kindInstallJobPart}, link.Kind(kind)) {
					message = append(encodeNumbers(index, p.promisedTerm, p.session), body...)
				}
			}
			for range 2 { // it may be repeated
				c.handleMessage(pipe, callerFunc(func([]byte) {}), link.Kind(kind), slices.Clone(message))
			}
			c.recordsSynced(c.appendedRecords)
		}
		g.step(100)
		for _, c := range g.cores {
			checkReplay(t, c)
		}
	})
}

// checkReplay replays the log of a core of a rig.
func checkReplay(t *testing.T, c *core) {
	t.Helper()
	log := c.disk.(*memoryDisk)
	again := newCore(0, log)
	for i, record := range log.records {
		if err := again.replay(slices.Clone(record), log.offsets[i]); err != nil {
			t.Fatalf("record %d of store %d can't be replayed: %v, %x", i, c.self, err, record)
		}
	}
}
