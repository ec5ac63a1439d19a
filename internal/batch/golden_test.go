package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dunetide/internal/control/operatorconfig"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
)

// The files in testdata/golden hold the bytes of each message, record and JSON body of batch jobs
// as the sources of faf8ea2 wrote them. The sender must write exactly these bytes, and the receiver
// must decode them to the same values.

var updateGolden = flag.Bool("update-golden", false, "write testdata/golden; only for new kinds of messages")

// golden compares written bytes with a golden file and returns the file's bytes.
func golden(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, want) {
		t.Errorf("%s: written %x\nthe golden bytes are %x", name, written, want)
	}
	return want
}

// wantValue compares a decoded value.
func wantValue(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as %+v, want %+v", name, got, want)
	}
}

// goldenPipe records the messages that are sent over it.
type goldenPipe struct {
	kinds  []link.Kind
	bodies [][]byte
}

func (p *goldenPipe) Send(kind link.Kind, body []byte) error {
	p.kinds, p.bodies = append(p.kinds, kind), append(p.bodies, bytes.Clone(body))
	return nil
}

// next removes the oldest recorded message, which must be of the given kind, compares it with its
// golden file and returns the file's bytes.
func (p *goldenPipe) next(t *testing.T, kind link.Kind, name string) []byte {
	t.Helper()
	if len(p.kinds) == 0 {
		t.Fatalf("%s: nothing was sent", name)
	}
	if p.kinds[0] != kind {
		t.Fatalf("%s: a message of kind %d was sent, want %d", name, p.kinds[0], kind)
	}
	body := p.bodies[0]
	p.kinds, p.bodies = p.kinds[1:], p.bodies[1:]
	return golden(t, name, body)
}

// goldenReply records a reply.
type goldenReply struct{ body []byte }

func (r *goldenReply) Reply(body []byte) { r.body = bytes.Clone(body) }

// TestGoldenKinds fixes the numbers of message kinds, codes, operations and records.
func TestGoldenKinds(t *testing.T) {
	kinds := []link.Kind{
		kindHello, kindAcceptJob, kindReadResults, kindReadItemBody, kindEndJob,
		kindAttachWorker, kindReportRunning, kindRunningNoted, kindPauseStarts, kindAssignItem, kindItemResult,
		kindResultStored, kindCancelJob, kindJobCancelled, kindReturnItem,
		kindPrepare, kindPromise, kindFetchJob, kindJobContents, kindInstallJob, kindJobInstalled, kindStartTerm,
		kindOperation, kindOperationAck, kindStaleTerm, kindConfirm, kindConfirmed,
		kindReserveTokens, kindReservationReply, kindUsageReport, kindUsageRequest,
		kindLeadReport, kindLeadState, kindLeadStateHeld,
		kindAcceptsParts, kindFetchJobPart, kindJobPart, kindInstallJobPart,
	}
	for i, kind := range kinds {
		if kind != link.Kind(100+i) {
			t.Errorf("kind %d of the list is %d, want %d", i, kind, 100+i)
		}
	}
	bytesOf := []uint8{
		codeOK, codeNotFound, codeQuotaFull, codeUnavailable, codeUnknown, codeLogFull,
		opAcceptJob, opAddResult, opEndJob, opDropJob,
		recordIdentity, recordPromise, recordTermStart, recordOperation, recordJob, recordJobPart,
	}
	if want := []uint8{1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 1, 2, 3, 4, 5, 6}; !bytes.Equal(bytesOf, want) {
		t.Errorf("codes, operations and records are %v, want %v", bytesOf, want)
	}
}

const (
	goldenJobID = "job-41"
	goldenPart  = 5
	goldenTerm  = 0x2_0003 // a term in epoch 2
)

// goldenJob returns a job whose fields all have distinct values.
func goldenJob() *Job {
	return &Job{
		ID:              goldenJobID,
		Route:           "nightly",
		Host:            "batch.example",
		PathPrefix:      "/bulk/",
		SentMs:          1_700_000_000_101,
		DueMs:           60_102,
		MaxAttempts:     3,
		MaxWaitMs:       600_104,
		MaxQueuedTokens: 90_105,
		ConfigVersion:   106,
		Items: []JobItem{
			{
				ID:      "item-a",
				Path:    "/bulk/a",
				Headers: [][2]string{{"Accept", "text/event-stream"}, {"X-Kind", "renewal"}},
				Body:    []byte("body of a"),
				Tokens:  207,
			},
			{
				ID:      "item-b",
				Path:    "/bulk/b",
				Headers: [][2]string{{"X-Other", "review"}},
				Body:    []byte{0, 1, 0xfe, 0xff},
				Tokens:  308,
			},
		},
	}
}

// encodedAgain decodes an encoded job as a store does and encodes it again.
func encodedAgain(t *testing.T, enc []byte) []byte {
	t.Helper()
	j, err := decodeJob(enc, 1000)
	if err != nil {
		t.Fatal(err)
	}
	again := Job{
		ID:              j.id,
		Route:           j.route,
		Host:            j.host,
		PathPrefix:      j.pathPrefix,
		SentMs:          j.sentMs,
		DueMs:           j.dueMs,
		MaxAttempts:     j.maxAttempts,
		MaxWaitMs:       j.maxWaitMs,
		MaxQueuedTokens: j.maxQueuedTokens,
		ConfigVersion:   j.configVersion,
	}
	for i := range j.items {
		it := &j.items[i]
		path, headers, body, err := decodeRequest(enc[it.offset : it.offset+it.length])
		if err != nil {
			t.Fatal(err)
		}
		again.Items = append(again.Items, JobItem{ID: it.id, Path: path, Headers: headers, Body: body, Tokens: it.tokens})
	}
	wantValue(t, "encoded job", &again, goldenJob())
	return again.encode()
}

func TestGoldenJob(t *testing.T) {
	enc := golden(t, "call-accept.bin", goldenJob().encode())
	golden(t, "call-accept.bin", encodedAgain(t, enc))
	golden(t, "item-segment.bin", encodeRequest("/bulk/a", [][2]string{
		{"Accept", "text/event-stream"},
		{"X-Kind", "renewal"},
	}, []byte("body of a")))
}

// goldenTable has six partitions; owner leads all of them except goldenPart.
func goldenTable(primary, owner uint64) *snapshot.PartitionTable {
	table := &snapshot.PartitionTable{Version: 12, Stores: map[uint64]snapshot.Store{}}
	for no := range 6 {
		part := snapshot.Partition{Epoch: 2, Primary: owner, Replicas: []uint64{0x1101, 0x1202}}
		if no == goldenPart {
			part.Primary = primary
		}
		table.Partitions = append(table.Partitions, part)
	}
	return table
}

// goldenCore returns a store with an empty disk, unlimited capacity and a table.
func goldenCore(id, primary, owner uint64) *core {
	c := newCore(id, &simDisk{})
	c.nowMs = 50_001
	c.zone = "zone-a"
	c.table = goldenTable(primary, owner)
	return c
}

// syncAll makes all appended records durable.
func syncAll(c *core) { c.recordsSynced(c.appendedRecords) }

// lastRecord returns the newest record on a store's disk.
func lastRecord(t *testing.T, c *core) []byte {
	t.Helper()
	d := c.disk.(*simDisk)
	rec := d.records[len(d.records)-1]
	b, err := d.ReadRaw(rec.offset, rec.length)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// replayed returns a store that has replayed a single record.
func replayed(t *testing.T, rec []byte) *core {
	t.Helper()
	c := goldenCore(0, 1, 1)
	at, err := c.disk.Append(rec)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.replay(rec, at); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestGoldenReplication plays a takeover by a primary that brings a new replica up to date and
// replicates operations. Each message is passed to its receiver in its golden form.
func TestGoldenReplication(t *testing.T) {
	const leaderID, followerID, joinerID = 0x1101, 0x1202, 0x1303
	leader := goldenCore(leaderID, leaderID, leaderID)
	follower := goldenCore(followerID, leaderID, leaderID)
	joiner := goldenCore(joinerID, leaderID, leaderID)
	toFollower, toJoiner, fromFollower, fromJoiner := &goldenPipe{}, &goldenPipe{}, &goldenPipe{}, &goldenPipe{}
	leader.peers[followerID], leader.peers[joinerID] = toFollower, toJoiner
	leader.appendRecord(encodeRecord(recordIdentity, 0, leaderID))
	golden(t, "record-identity.bin", lastRecord(t, leader))
	wantValue(t, "record-identity", replayed(t, lastRecord(t, leader)).self, uint64(leaderID))

	// The follower has the job, from an older term.
	follower.process = 0x2201
	part := follower.partition(goldenPart)
	follower.appendRecord(encodeRecord(recordTermStart, goldenPart, firstTerm(1)+7, 30))
	accept := encodeAcceptJob(goldenJob().encode())
	follower.appendRecord(append(encodeRecord(recordOperation, goldenPart, firstTerm(1)+7, 31), accept...))
	rec := golden(t, "record-operation-accept.bin", lastRecord(t, follower))
	checkOperation(t, replayed(t, rec), 31)
	result := encodeAddResult(goldenJobID, 1, true, []byte("text of b"))
	follower.appendRecord(append(encodeRecord(recordOperation, goldenPart, firstTerm(1)+7, 32), result...))
	golden(t, "record-operation-list.bin", lastRecord(t, follower))
	syncAll(follower)
	digest := part.jobs[goldenJobID].digest()

	// The primary requests the follower's promise.
	p := leader.partition(goldenPart)
	p.epoch, p.promisedTerm = 2, goldenTerm
	p.primary = &primaryState{
		term:         goldenTerm,
		incarnation:  goldenTerm,
		stage:        stageCollecting,
		selfSynced:   -1,
		committed:    -1,
		replicas:     []uint64{leaderID, followerID},
		nextReplicas: []uint64{leaderID, joinerID},
		progress:     map[uint64]*replicaProgress{},
		usage:        map[string]*accountUsage{},
		reservations: map[uint64]*reservation{},
		accounts:     map[string]*quotaAccount{},
		incomingJobs: map[string]*incomingJob{},
		confirmedAt:  -1 << 60,
	}
	leader.maxLostReplicas = 0 // all replicas have to answer
	leader.lastSession = 0x2100
	leader.sendPrepare(p, followerID)
	follower.handleMessage(fromFollower, nil, kindPrepare, toFollower.next(t, kindPrepare, "replication-ask.bin"))
	rec = golden(t, "record-promise.bin", lastRecord(t, follower))
	wantValue(t, "record-promise", replayed(t, rec).partition(goldenPart).promisedTerm, uint64(goldenTerm))
	wantValue(t, "replication-ask", []uint64{part.promisedTerm, part.session}, []uint64{goldenTerm, 0x2101})
	part.confirmations.note(goldenTerm-1, follower.nowMs-2000)
	part.heldState = &leadState{goldenTerm - 9, 41, goldenTerm - 1, []storeProcess{{leaderID, 0x2202}}, []byte("levels")}
	syncAll(follower)
	// The primary is of a version without parts, and ignores this.
	fromFollower.next(t, kindAcceptsParts, "replication-accepts-parts.bin")
	report := fromFollower.next(t, kindLeadReport, "replication-lead-report.bin")
	leader.handleMessage(toFollower, nil, kindLeadReport, report)
	wantValue(t, "replication-lead-report", *p.primary.progress[followerID].report, leadReport{
		process:       0x2201,
		confirmedTerm: goldenTerm - 1,
		earlierUntil:  leader.nowMs - (2000 - 2000/clockRateDivisor - stampAheadMs),
		held:          part.heldState,
	})
	leader.handleMessage(toFollower, nil, kindPromise, fromFollower.next(t, kindPromise, "replication-have.bin"))
	q := p.primary.progress[followerID]
	wantValue(t, "replication-have", q.position, logPosition{firstTerm(1) + 7, 32})
	wantValue(t, "replication-have", q.digests, map[string]uint64{goldenJobID: digest})

	// The follower has the newest state: the primary fetches the job and records the start of its
	// term.
	follower.nowMs = 50_901 // the job's age
	follower.handleMessage(fromFollower, nil, kindFetchJob, toFollower.next(t, kindFetchJob, "replication-fetch.bin"))
	leader.handleMessage(toFollower, nil, kindJobContents, fromFollower.next(t, kindJobContents, "replication-whole.bin"))
	checkTransferredJob(t, leader, digest, 900)
	d := leader.disk.(*simDisk)
	put, err := d.ReadRaw(d.records[1].offset, d.records[1].length)
	if err != nil {
		t.Fatal(err)
	}
	checkTransferredJob(t, replayed(t, golden(t, "record-job.bin", put)), digest, 900)
	rec = golden(t, "record-mark.bin", lastRecord(t, leader))
	again := replayed(t, rec).partition(goldenPart)
	wantValue(t, "record-mark", again.promisedTerm, uint64(goldenTerm))
	wantValue(t, "record-mark", again.position, logPosition{goldenTerm, 32})
	wantValue(t, "sequence", p.primary.lastSequence, uint64(32))

	// The follower is up to date; the joining replica gets the job with its results.
	follower.logFull = true
	mark := toFollower.next(t, kindStartTerm, "replication-mark.bin")
	follower.handleMessage(fromFollower, nil, kindStartTerm, mark)
	wantValue(t, "replication-mark", []uint64{part.position.term, part.position.sequence}, []uint64{goldenTerm, 32})
	syncAll(follower)
	leader.handleMessage(toFollower, nil, kindOperationAck, fromFollower.next(t, kindOperationAck, "replication-ack.bin"))
	wantValue(t, "replication-ack", []any{q.acknowledged, q.logFull}, []any{int64(32), true})
	leader.sendPrepare(p, joinerID)
	joiner.handleMessage(fromJoiner, nil, kindPrepare, toJoiner.next(t, kindPrepare, "replication-ask-joining.bin"))
	syncAll(joiner)
	accepts := fromJoiner.next(t, kindAcceptsParts, "replication-accepts-parts-joining.bin")
	leader.handleMessage(toJoiner, nil, kindAcceptsParts, accepts)
	report = fromJoiner.next(t, kindLeadReport, "replication-lead-report-nothing.bin")
	leader.handleMessage(toJoiner, nil, kindLeadReport, report)
	leader.handleMessage(toJoiner, nil, kindPromise, fromJoiner.next(t, kindPromise, "replication-have-nothing.bin"))
	joiner.handleMessage(fromJoiner, nil, kindInstallJob, toJoiner.next(t, kindInstallJob, "replication-put.bin"))
	checkTransferredJob(t, joiner, digest, 900)
	golden(t, "record-job.bin", lastRecord(t, joiner))
	if inFlight := len(p.primary.progress[joinerID].transfersInFlight); inFlight != 1 {
		t.Errorf("%d jobs are in flight, want 1", inFlight)
	}
	leader.handleMessage(toJoiner, nil, kindJobInstalled, fromJoiner.next(t, kindJobInstalled, "replication-put-ack.bin"))
	if inFlight := len(p.primary.progress[joinerID].transfersInFlight); inFlight != 0 {
		t.Errorf("%d jobs are in flight, want none", inFlight)
	}

	// An operation of each remaining kind.
	syncAll(leader)
	leader.replicate(p, encodeJobOperation(opEndJob, goldenJobID), func(bool) {})
	end := toFollower.next(t, kindOperation, "replication-operation-end.bin")
	follower.handleMessage(fromFollower, nil, kindOperation, end)
	if !part.jobs[goldenJobID].ended || part.position.sequence != 33 {
		t.Errorf("the job has not ended at the replica, which is at operation %d", part.position.sequence)
	}
	golden(t, "record-operation-end.bin", lastRecord(t, leader))
	golden(t, "record-operation-end.bin", lastRecord(t, follower))
	leader.replicate(p, encodeJobOperation(opDropJob, goldenJobID), func(bool) {})
	drop := toFollower.next(t, kindOperation, "replication-operation-drop.bin")
	follower.handleMessage(fromFollower, nil, kindOperation, drop)
	if len(part.jobs) != 0 {
		t.Errorf("the job is not dropped at the replica")
	}
	golden(t, "record-operation-drop.bin", lastRecord(t, leader))

	// A state of the lead.
	leader.process = 0x2102
	leader.shareLeadState(goldenPart, goldenTerm, 42, []byte("state"))
	state := toFollower.next(t, kindLeadState, "replication-lead-state.bin")
	syncAll(follower)
	fromFollower.kinds, fromFollower.bodies = nil, nil
	follower.handleMessage(fromFollower, nil, kindLeadState, state)
	wantValue(t, "replication-lead-state", *part.heldState, leadState{goldenTerm, 42, goldenTerm,
		[]storeProcess{{leaderID, 0x2102}, {followerID, 0x2201}, {joinerID, 0}}, []byte("state")})
	held := fromFollower.next(t, kindLeadStateHeld, "replication-lead-state-held.bin")
	leader.handleMessage(toFollower, nil, kindLeadStateHeld, held)
	wantValue(t, "replication-lead-state-held", q.heldSequence, uint64(42))

	// Confirmations, and the rejection of a stale term.
	leader.requestConfirmations(p)
	syncAll(follower)
	fromFollower.kinds, fromFollower.bodies = nil, nil
	follower.handleMessage(fromFollower, nil, kindConfirm, toFollower.next(t, kindConfirm, "replication-confirm.bin"))
	leader.handleMessage(toFollower, nil, kindConfirmed, fromFollower.next(t, kindConfirmed, "replication-confirmed.bin"))
	wantValue(t, "replication-confirmed", []any{q.confirmedAt, q.logFull}, []any{int64(50_001), true})
	if part.promisedTerm++; !follower.rejectStaleTerm(part, goldenTerm, fromFollower) {
		t.Error("a stale term was accepted")
	}
	leader.handleMessage(toFollower, nil, kindStaleTerm, fromFollower.next(t, kindStaleTerm, "replication-stale.bin"))
	if !p.primary.superseded {
		t.Error("the primary has not noticed that it was replaced")
	}
}

// checkOperation checks a store that has replayed the acceptance of the job.
func checkOperation(t *testing.T, c *core, seq uint64) {
	t.Helper()
	p := c.partition(goldenPart)
	wantValue(t, "record-operation", []uint64{p.position.term, p.position.sequence}, []uint64{firstTerm(1) + 7, seq})
	j := p.jobs[goldenJobID]
	if j == nil {
		t.Fatal("the job is missing")
	}
	enc, err := c.disk.ReadRaw(j.offset, j.encodedLength)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "call-accept.bin", encodedAgain(t, enc))
}

// checkTransferredJob checks a job that was transferred with its results, and encodes it for
// transfer again.
func checkTransferredJob(t *testing.T, c *core, digest uint64, age int64) {
	t.Helper()
	j := c.partition(goldenPart).jobs[goldenJobID]
	if j == nil {
		t.Fatal("the job is missing")
	}
	enc, err := c.disk.ReadRaw(j.offset, j.encodedLength)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "call-accept.bin", encodedAgain(t, enc))
	text, err := c.resultText(j.results[0])
	if err != nil {
		t.Fatal(err)
	}
	first := j.results[0]
	wantValue(t, "job with results", []any{first.itemIndex, first.abandoned, string(text), j.digest(), c.nowMs - j.knownSinceMs},
		[]any{int32(1), true, "text of b", digest, age})
	encoded, err := c.encodeJobWithResults(j)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "job-whole.bin", encoded)
}

// TestGoldenQuota plays a reservation of tokens between a primary and the owner of the quota.
func TestGoldenQuota(t *testing.T) {
	const primaryID, ownerID, route = 0x1101, 0x1202, "nightly"
	primary, owner := goldenCore(primaryID, primaryID, ownerID), goldenCore(ownerID, primaryID, ownerID)
	toOwner, toPrimary := &goldenPipe{}, &goldenPipe{}
	primary.peers[ownerID], owner.peers[primaryID] = toOwner, toPrimary
	quotaPart, _ := primary.quotaOwner(route)
	if quotaPart == goldenPart {
		t.Fatal("the quota and the job have the same partition")
	}
	servingState := func(term uint64) *primaryState {
		return &primaryState{
			term:         term,
			incarnation:  term,
			stage:        stageReplicating,
			serving:      true,
			progress:     map[uint64]*replicaProgress{},
			usage:        map[string]*accountUsage{},
			reservations: map[uint64]*reservation{},
			accounts:     map[string]*quotaAccount{},
			incomingJobs: map[string]*incomingJob{},
		}
	}
	p := primary.partition(goldenPart)
	p.epoch, p.promisedTerm = 2, goldenTerm
	p.primary = servingState(goldenTerm)
	p.primary.lastReservation, p.primary.usageVersion = 40, 50
	p.primary.usageOf(route).tokens = 1234
	owner.partition(quotaPart).primary = servingState(0x2_0009)
	account := owner.ownedAccount(route)
	for no := range owner.table.Partitions {
		if no != goldenPart {
			account.usage[no] = &partitionUsage{}
		}
	}

	in := &incomingJob{encoded: goldenJob().encode(), id: goldenJobID, account: route, tokens: 515, maxTokens: 90_105}
	p.primary.incomingJobs[goldenJobID] = in
	primary.reserveTokens(p, in)
	owner.handleMessage(toPrimary, nil, kindReserveTokens, toOwner.next(t, kindReserveTokens, "quota-reserve.bin"))
	wantValue(t, "quota-reserve", account.pending, []pendingReservation{{
		pipe:        toPrimary,
		partition:   goldenPart,
		incarnation: goldenTerm,
		number:      41,
		tokens:      515,
		maxTokens:   90_105,
		deadline:    50_001 + reservationWaitMs,
	}})
	primary.handleMessage(toOwner, nil, kindUsageRequest, toPrimary.next(t, kindUsageRequest, "quota-usage-ask.bin"))
	wantValue(t, "quota-usage-ask", p.quotaOwnerIncarnations[route], uint64(0x2_0009))
	owner.handleMessage(toPrimary, nil, kindUsageReport, toOwner.next(t, kindUsageReport, "quota-usage.bin"))
	wantValue(t, "quota-usage", *account.usage[goldenPart], partitionUsage{
		incarnation:          goldenTerm,
		epoch:                2,
		version:              51,
		tokens:               1234,
		resolvedReservations: 40,
		grants:               []tokenGrant{{41, 515}},
	})
	primary.handleMessage(toOwner, nil, kindReservationReply, toPrimary.next(t, kindReservationReply, "quota-grant.bin"))
	if len(p.primary.reservations) != 0 || p.jobs[goldenJobID] == nil {
		t.Error("the job is not accepted with the granted tokens")
	}
}

// goldenPrimary returns a store that leads the job's partition and has the job, whose second item
// has a result.
func goldenPrimary(t *testing.T) (*core, *partition, *job) {
	t.Helper()
	const id = 0x1101
	c := goldenCore(id, id, id)
	for no := range c.table.Partitions {
		c.table.Partitions[no].Replicas = []uint64{id}
	}
	c.maxLostReplicas = 0
	no := c.table.PartitionOf(goldenJobID)
	p := c.partition(no)
	p.epoch, p.promisedTerm = 2, goldenTerm
	p.primary = &primaryState{
		term:         goldenTerm,
		incarnation:  goldenTerm,
		stage:        stageReplicating,
		serving:      true,
		committed:    -1,
		replicas:     []uint64{id},
		progress:     map[uint64]*replicaProgress{},
		usage:        map[string]*accountUsage{},
		reservations: map[uint64]*reservation{},
		accounts:     map[string]*quotaAccount{},
		incomingJobs: map[string]*incomingJob{},
		confirmedAt:  c.nowMs,
	}
	p.position.term = goldenTerm
	accepted := goldenJob()
	accepted.MaxQueuedTokens = 0
	reply := &goldenReply{}
	c.handleMessage(nil, reply, kindAcceptJob, accepted.encode())
	syncAll(c)
	wantValue(t, "acceptance", reply.body, []byte{codeOK})
	j := p.jobs[goldenJobID]
	c.addResult(p, j, 1, true, []byte("text of b"), func(bool) {})
	syncAll(c)
	return c, p, j
}

// goldenLink is a link to an end that records messages.
type goldenLink struct {
	messages chan *link.Message
	conn     *link.Conn
}

func (l *goldenLink) Message(m *link.Message) { l.messages <- m }
func (l *goldenLink) Closed(*link.Conn)       {}

// newGoldenLink returns an end that records messages, and the connection to it.
func newGoldenLink(t *testing.T) *goldenLink {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &goldenLink{messages: make(chan *link.Message, 16)}
	go func() { _ = link.Serve(listener, l, link.DefaultOptions) }()
	l.conn, err = link.Dial(t.Context(), listener.Addr().String(), l, link.DefaultOptions)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.conn.Close)
	return l
}

// next returns the oldest received message, which must be of the given kind and match its golden
// file.
func (l *goldenLink) next(t *testing.T, kind link.Kind, name string) (*link.Message, []byte) {
	t.Helper()
	select {
	case m := <-l.messages:
		if m.Kind != kind {
			t.Fatalf("%s: a message of kind %d arrived, want %d", name, m.Kind, kind)
		}
		return m, golden(t, name, m.Body)
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: nothing arrived", name)
	}
	return nil, nil
}

// TestGoldenCalls plays each call of a proxy, and the store's reply to it.
func TestGoldenCalls(t *testing.T) {
	c, _, j := goldenPrimary(t)
	l := newGoldenLink(t)
	no := c.table.PartitionOf(goldenJobID)
	holder := &snapshot.Latest{}
	holder.Set(&snapshot.Snapshot{Table: c.table})
	edge := &Proxy{
		options: ProxyOptions{Snapshots: holder},
		stores:  &storeConnections{byID: map[uint64]*storeConnection{c.table.Partitions[no].Primary: {conn: l.conn}}},
	}

	// answer passes the golden call to a store and sends its golden reply back.
	answer := func(kind link.Kind, call, reply string) {
		m, body := l.next(t, kind, call)
		r := &goldenReply{}
		c.handleMessage(nil, r, kind, body)
		syncAll(c)
		m.Reply(golden(t, reply, r.body))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if outcome := edge.Submit(t.Context(), goldenJob()); outcome != Accepted {
			t.Errorf("accept: %d", outcome)
		}
		reading, found := edge.ReadResults(t.Context(), Principal{}, goldenJobID, 0, 77*time.Millisecond)
		wantValue(t, "reply-read", []any{reading, found}, []any{
			ResultPage{Total: 2, Results: []ItemResult{{ID: "item-b", Abandoned: true, Message: []byte("text of b")}}},
			Found,
		})
		if _, found := edge.ReadResults(t.Context(), Principal{}, goldenJobID, 1, 0); found != Found {
			t.Errorf("second read: %d", found)
		}
		body, found := edge.ReadItemBody(t.Context(), Principal{}, goldenJobID, "item-b")
		wantValue(t, "reply-body", []any{body, found}, []any{[]byte{0, 1, 0xfe, 0xff}, Found})
		if found := edge.EndJob(t.Context(), Principal{}, goldenJobID); found != Found {
			t.Errorf("end: %d", found)
		}
	}()
	answer(kindAcceptJob, "call-accept.bin", "reply-accept.bin")
	answer(kindReadResults, "call-read.bin", "reply-read.bin")
	answer(kindReadResults, "call-read-after.bin", "reply-read-after.bin")
	answer(kindReadItemBody, "call-body.bin", "reply-body.bin")
	answer(kindEndJob, "call-end.bin", "reply-end.bin")
	<-done
	if !j.ended {
		t.Error("the job has not ended")
	}

	// The handshake of a connection.
	is := make(chan bool)
	go func() { is <- verifyIdentity(t.Context(), l.conn, 0x1101_2202_3303_4404) }()
	m, _ := l.next(t, kindHello, "call-hello.bin")
	store := &Store{core: newCore(0x1101_2202_3303_4404, nil)}
	helloReply := make(chan []byte, 1)
	go func() {
		body, err := l.conn.Call(t.Context(), kindHello, nil)
		if err != nil {
			t.Error(err)
		}
		helloReply <- body
	}()
	second, _ := l.next(t, kindHello, "call-hello.bin")
	store.Message(second)
	m.Reply(golden(t, "reply-hello.bin", <-helloReply))
	if !<-is {
		t.Error("the store's identity is not recognised")
	}
}

// TestGoldenWorker plays each message between a store and a worker.
func TestGoldenWorker(t *testing.T) {
	c, p, j := goldenPrimary(t)
	l := newGoldenLink(t)
	toWorker := &goldenPipe{}
	side := newItemRunner(ProxyOptions{Name: "proxy-7", Zone: "zone-b", Runner: blockedRunner{}})
	t.Cleanup(side.close)

	// The worker attaches with its share of the limit: two stores are primaries.
	side.table = goldenTable(0x1101, 0x1202)
	side.maxRunning = 17
	side.connected(0x1101, l.conn)
	_, body := l.next(t, kindAttachWorker, "worker-attach.bin")
	c.handleMessage(toWorker, nil, kindAttachWorker, body)
	w := c.workers[toWorker]
	wantValue(t, "worker-attach", []any{w.name, w.zone, w.limit}, []any{"proxy-7", "zone-b", 9})

	// The store assigns it an item.
	body = toWorker.next(t, kindAssignItem, "worker-give-path.bin")
	given, err := decodeAssignMessage(body)
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "worker-give-path", given, assignMessage{
		item:         itemKey{p.index, goldenJobID, 0},
		epoch:        2,
		dueMs:        1_700_000_000_101 + 60_102,
		maxAttempts:  3,
		route:        "nightly",
		host:         "batch.example",
		itemID:       "item-a",
		tokens:       207,
		request:      encodeRequest("/bulk/a", goldenJob().Items[0].Headers, []byte("body of a")),
		remainingMs:  60_102,
		hasRemaining: true,
		pathPrefix:   "/bulk/",
	})
	golden(t, "worker-give-path.bin", given.encode())
	withoutPath := given
	withoutPath.pathPrefix = "" // as of versions that don't state it
	body = golden(t, "worker-give.bin", withoutPath.encode())
	if older, err := decodeAssignMessage(body); err != nil || !reflect.DeepEqual(older, withoutPath) {
		t.Errorf("worker-give: read as %+v, %v", older, err)
	}
	item, err := given.toItem(time.UnixMilli(5000))
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "worker-give", item, &Item{
		Job:     goldenJobID,
		ID:      "item-a",
		Host:    "batch.example",
		Path:    "/bulk/a",
		Headers: goldenJob().Items[0].Headers,
		Body:    []byte("body of a"),

		PathPrefix: "/bulk/",
		Tokens:     207,
		Due:        time.UnixMilli(65_102),
	})
	side.handleMessage(&link.Message{Conn: l.conn, Kind: kindAssignItem, Body: body})
	if side.runningCount() != 1 {
		t.Fatal("the item is not running")
	}

	// The worker reports its items.
	key := itemKey{partition: p.index, jobID: goldenJobID, index: 0}
	side.mu.Lock()
	side.running[itemKey{
		partition: goldenPart + 1,
		jobID:     "job-of-another-part",
		index:     3,
	}] = &runningItem{cancel: func() {}}
	side.reportRunningOf(goldenPart+1, l.conn, 0x2002)
	side.mu.Unlock()
	_, body = l.next(t, kindReportRunning, "worker-hold.bin")
	c.handleMessage(toWorker, nil, kindReportRunning, body)
	other := itemKey{goldenPart + 1, "job-of-another-part", 3}
	wantValue(t, "worker-hold", w.reported[goldenPart+1], runningReport{0x2002, []itemKey{other}})
	w.reported[p.index] = runningReport{2, []itemKey{key}}
	side.setContact(p.index, &primaryContact{conn: l.conn, epoch: 2})
	c.adoptRunning(p, w)
	side.handleMessage(&link.Message{
		Conn: l.conn,
		Kind: kindRunningNoted,
		Body: toWorker.next(t, kindRunningNoted, "worker-held.bin"),
	})
	wantValue(t, "worker-held", side.contact(p.index), primaryContact{conn: l.conn, epoch: 2, runningNoted: true})

	// The store is not confirmed as the primary.
	p.primary.confirmedAt = c.nowMs - 2000
	c.maxLostReplicas = 1
	c.superviseWorkers(p)
	side.handleMessage(&link.Message{
		Conn: l.conn,
		Kind: kindPauseStarts,
		Body: toWorker.next(t, kindPauseStarts, "worker-unsure.bin"),
	})
	if !side.contact(p.index).startsPaused {
		t.Error("the worker may still start items")
	}
	c.maxLostReplicas = 0

	// Results.
	side.mu.Lock()
	sendResult(l.conn, &runningItem{
		key:       itemKey{goldenPart, "job-of-another-part", 6},
		abandoned: true,
		text:      []byte("its text"),
	})
	sendResult(l.conn, &runningItem{key: key, text: []byte("text of a")})
	side.mu.Unlock()
	l.next(t, kindItemResult, "worker-result-given-up.bin")
	_, body = l.next(t, kindItemResult, "worker-result.bin")
	c.handleMessage(toWorker, nil, kindItemResult, body)
	syncAll(c)
	text, err := c.resultText(j.results[1])
	if err != nil {
		t.Fatal(err)
	}
	second := j.results[1]
	wantValue(t, "worker-result", []any{second.itemIndex, second.abandoned, string(text)}, []any{int32(0), false, "text of a"})
	side.handleMessage(&link.Message{
		Conn: l.conn,
		Kind: kindResultStored,
		Body: toWorker.next(t, kindResultStored, "worker-listed.bin"),
	})
	if side.runs(key) {
		t.Error("the worker keeps an item whose result is stored")
	}

	// Cancelled jobs, and returned items.
	sendCancel(w, goldenPart+1, "job-of-another-part")
	side.setContact(goldenPart+1, nil)
	side.handleMessage(&link.Message{
		Conn: l.conn,
		Kind: kindCancelJob,
		Body: toWorker.next(t, kindCancelJob, "worker-cancel.bin"),
	})
	if side.runningCount() != 0 {
		t.Error("the job still runs")
	}
	_, body = l.next(t, kindJobCancelled, "worker-cancelled.bin")
	w.assigned[itemKey{goldenPart + 1, "job-of-another-part", 3}] = true
	c.handleMessage(toWorker, nil, kindJobCancelled, body)
	if len(w.assigned) != 0 {
		t.Error("the job is still assigned to the worker")
	}
	another := newGoldenLink(t)
	side.setContact(p.index, &primaryContact{conn: another.conn, epoch: 9})
	side.handleMessage(&link.Message{Conn: l.conn, Kind: kindAssignItem, Body: given.encode()})
	_, body = l.next(t, kindReturnItem, "worker-put-back.bin")
	w.assigned[key] = true
	c.handleMessage(toWorker, nil, kindReturnItem, body)
	if len(w.assigned) != 0 {
		t.Error("the item is still assigned to the worker")
	}
}

// TestGoldenAssignmentOfAnOlderVersion: a message of a version without the remaining time is
// decoded with its time of day.
func TestGoldenAssignmentOfAnOlderVersion(t *testing.T) {
	body := readGolden(t, "worker-give.bin")
	given, err := decodeAssignMessage(body[:len(body)-8])
	if err != nil || given.hasRemaining {
		t.Fatalf("%v, remaining time %v", err, given.hasRemaining)
	}
	if item, err := given.toItem(time.UnixMilli(5000)); err != nil || !item.Due.Equal(time.UnixMilli(1_700_000_060_203)) {
		t.Errorf("due at %v, %v", item.Due, err)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestGoldenJSON fixes the JSON bodies of the client API: the submitted job, and the results.
func TestGoldenJSON(t *testing.T) {
	want := goldenJob()
	route := &operatorconfig.Route{
		Name:            want.Route,
		Host:            want.Host,
		PathPrefix:      want.PathPrefix,
		DueMs:           int(want.DueMs),
		MaxAttempts:     want.MaxAttempts,
		MaxWaitMs:       int(want.MaxWaitMs),
		MaxQueuedTokens: want.MaxQueuedTokens,
	}
	body := golden(t, "client-job.json", []byte(`{"requests":[{"id":"item-a","path":"/bulk/a","headers":{"X-Kind":"renewal","Accept":"text/event-stream"},"body":"Ym9keSBvZiBh","tokens":207},{"id":"item-b","path":"/bulk/b","headers":{"X-Other":"review"},"body":"AAH+/w==","tokens":308}]}`))
	got, ok := parseJob(&Call{
		Header: func(name string) string { return map[string]string{"X-Dunetide-Request-Id": goldenJobID}[name] },
		Body:   body,
	}, route)
	if !ok {
		t.Fatal("the job is rejected")
	}
	want.SentMs, want.ConfigVersion = 0, 0 // set by the caller
	wantValue(t, "client-job", got, want)

	reading := ResultPage{
		Total: 9,
		Results: []ItemResult{
			{ID: "item-a", Message: []byte("text \"of\" a\n<b>")},
			{ID: "item-b", Abandoned: true, Message: []byte("why")},
		},
	}
	answer := resultsResponse(reading, 4, Found)
	body = golden(t, "client-results.json", answer.Body)
	wantValue(t, "client-results", []any{answer.Status, answer.ContentType}, []any{200, "application/json"})
	var read struct {
		Total     int `json:"total"`
		NextToken int `json:"next_token"`
		Results   []struct {
			ID      string `json:"id"`
			State   string `json:"state"`
			Message string `json:"message"`
		} `json:"results"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&read); err != nil {
		t.Fatal(err)
	}
	again := ResultPage{Total: read.Total}
	for _, r := range read.Results {
		again.Results = append(again.Results, ItemResult{
			ID:        r.ID,
			Abandoned: r.State == "given_up",
			Message:   []byte(r.Message),
		})
	}
	wantValue(t, "client-results", again, reading)
	golden(t, "client-results.json", resultsResponse(again, read.NextToken-len(read.Results), Found).Body)
	golden(t, "client-results-none.json", resultsResponse(ResultPage{Total: 3}, 0, Found).Body)
}

// openGolden opens a store's log and returns its records, and where each record ends in its file.
func openGolden(t *testing.T, d *vfstest.Disk) (log Log, payloads []string, ends []int) {
	t.Helper()
	log, err := OpenIn(d)(func(payload []byte, at int64) error {
		payloads, ends = append(payloads, string(payload)), append(ends, int(at&segmentMask))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return log, payloads, ends
}

// appendTo appends records to a log.
func appendTo(t *testing.T, log Log, records ...string) {
	t.Helper()
	for _, record := range records {
		if _, err := log.Append([]byte(record)); err != nil {
			t.Fatal(err)
		}
	}
}

func closeLog(t *testing.T, log Log) {
	t.Helper()
	if err := log.(*segmentedLog).Close(); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenLogFiles fixes the names and bytes of the files of a store's log. Each file has a
// random salt in its head, so records are appended to truncated golden files, which must restore
// the complete files.
func TestGoldenLogFiles(t *testing.T) {
	const first, second = "lots.log", "lots.log.000001"
	d := vfstest.New()
	log, _, _ := openGolden(t, d)
	appendTo(t, log, "first record")
	if err := log.SyncTo(1<<segmentShift - 1); err != nil { // each record has the length up to which the file was synced before it
		t.Fatal(err)
	}
	appendTo(t, log, "second record")
	if err := log.Rotate(); err != nil {
		t.Fatal(err)
	}
	appendTo(t, log, "third record")
	closeLog(t, log)
	files, err := d.List()
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range files {
		names = append(names, file.Name)
		if *updateGolden {
			golden(t, "file-"+file.Name, d.File(file.Name))
		}
	}
	wantValue(t, "files", names, []string{first, second})

	complete := vfstest.New()
	for _, name := range names {
		complete.Put(name, readGolden(t, "file-"+name))
	}
	log, payloads, ends := openGolden(t, complete)
	wantValue(t, "records", payloads, []string{"first record", "second record", "third record"})
	closeLog(t, log)

	cut := vfstest.New()
	cut.Put(first, readGolden(t, "file-"+first)[:ends[0]])
	log, _, _ = openGolden(t, cut)
	appendTo(t, log, "second record")
	closeLog(t, log)
	golden(t, "file-"+first, cut.File(first))

	headEnd := len(readGolden(t, "file-"+second)) - (ends[1] - ends[0]) + len("second record") - len("third record")
	cut.Put(second, readGolden(t, "file-"+second)[:headEnd])
	log, payloads, _ = openGolden(t, cut)
	wantValue(t, "records", payloads, []string{"first record", "second record"})
	appendTo(t, log, "third record")
	closeLog(t, log)
	golden(t, "file-"+second, cut.File(second))

	// The head of a segment: the segment written now has the same payloads as the golden file.
	var written, read [][]byte
	for from, to := range map[*vfstest.Disk]*[][]byte{d: &written, complete: &read} {
		file, err := recordlog.Open(from, second, func(payload []byte, _ int64) error {
			*to = append(*to, bytes.Clone(payload))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
	}
	wantValue(t, "segment", written, read)
}

// blockedRunner runs items until they are cancelled.
type blockedRunner struct{}

func (blockedRunner) Run(ctx context.Context, _ *Item, _ string, _ func(id string, data []byte)) RunResult {
	<-ctx.Done()
	return RunResult{End: RunNotStarted}
}

// runningCount returns how many items are assigned to a worker.
func (r *itemRunner) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// runs reports whether an item is assigned to a worker.
func (r *itemRunner) runs(key itemKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[key] != nil
}

// contact returns a worker's contact with the primary of a partition.
func (r *itemRunner) contact(partition int) primaryContact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.contacts[partition]
}

// setContact sets a worker's contact with the primary of a partition; nil removes it.
func (r *itemRunner) setContact(partition int, contact *primaryContact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if contact == nil {
		delete(r.contacts, partition)
		return
	}
	r.contacts[partition] = contact
}

// TestGoldenJobParts fixes the messages and the record with which a large job is transferred.
func TestGoldenJobParts(t *testing.T) {
	const sourceID, primaryID, session = 0x1101, 0x1202, 0x2101
	source, primary := goldenCore(sourceID, primaryID, primaryID), goldenCore(primaryID, primaryID, primaryID)
	limits := transferLimits{wholeJobBytes: 1, partBytes: 1, inFlightBytes: 1, messages: 1}
	source.transfers, primary.transfers = limits, limits
	part := source.partition(goldenPart)
	source.appendRecord(append(encodeRecord(recordOperation, goldenPart, firstTerm(1)+7, 31), encodeAcceptJob(goldenJob().encode())...))
	result := encodeAddResult(goldenJobID, 1, false, []byte("text of b"))
	source.appendRecord(append(encodeRecord(recordOperation, goldenPart, firstTerm(1)+7, 32), result...))
	part.promisedTerm, part.session = goldenTerm, session
	digest := part.jobs[goldenJobID].digest()
	syncAll(source)

	toSource, toPrimary := &goldenPipe{}, &goldenPipe{}
	p := primary.partition(goldenPart)
	p.epoch, p.promisedTerm = 2, goldenTerm
	replica := &replicaProgress{
		pipe: toSource, session: session, acceptsParts: true,
		digests:  map[string]uint64{goldenJobID: digest},
		position: logPosition{firstTerm(1) + 7, 32},
	}
	p.primary = &primaryState{
		term: goldenTerm, stateSource: sourceID, replicas: []uint64{primaryID, sourceID},
		progress: map[uint64]*replicaProgress{sourceID: replica}, awaitedJobs: map[string]bool{},
	}
	primary.fetchState(p, replica)
	source.handleMessage(toPrimary, nil, kindFetchJobPart, toSource.next(t, kindFetchJobPart, "replication-fetch-part.bin"))
	source.nowMs += 50_000
	primary.handleMessage(toSource, nil, kindJobPart, toPrimary.next(t, kindJobPart, "replication-job-part.bin"))
	rec := golden(t, "record-job-part.bin", lastRecord(t, primary))
	wantValue(t, "record-job-part", len(replayed(t, rec).partition(goldenPart).staged), 1)
	wantValue(t, "jobs before the last part", len(p.jobs), 0)
	source.handleMessage(toPrimary, nil, kindFetchJobPart, toSource.next(t, kindFetchJobPart, "replication-fetch-part-next.bin"))
	primary.handleMessage(toSource, nil, kindJobPart, toPrimary.next(t, kindJobPart, "replication-job-part-last.bin"))
	wantValue(t, "job", p.jobs[goldenJobID].digest(), digest)
	wantValue(t, "stage", p.primary.stage, stageReplicating)

	joiner, toJoiner := goldenCore(0x1303, primaryID, primaryID), &goldenPipe{}
	follows := joiner.partition(goldenPart)
	follows.promisedTerm, follows.session, follows.followedPrimary = goldenTerm, session+1, toPrimary
	next := &replicaProgress{pipe: toJoiner, session: session + 1, acceptsParts: true, digests: map[string]uint64{}}
	p.primary.progress[0x1303] = next
	primary.startCatchUp(p, next)
	for _, name := range []string{"replication-put-part.bin", "replication-put-part-last.bin"} {
		joiner.handleMessage(toPrimary, nil, kindInstallJobPart, toJoiner.next(t, kindInstallJobPart, name))
		primary.handleMessage(toJoiner, nil, kindJobInstalled, toPrimary.next(t, kindJobInstalled, "replication-put-part-ack.bin"))
	}
	wantValue(t, "joined job", follows.jobs[goldenJobID].digest(), digest)
}
