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
	"dunetide/internal/deliverynode/journal/disktest"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// The files in testdata/golden hold the bytes of each message, record and JSON body of batch jobs as the sources of
// faf8ea2 wrote them. The sender has to write these bytes, and the receiver is given them and must read the same values.

var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden; only for a kind of message that is new")

// golden compares what was written with a golden file and returns the file's bytes.
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

// goldenPipe records what is sent over it.
type goldenPipe struct {
	kinds  []link.Kind
	bodies [][]byte
}

func (p *goldenPipe) Send(kind link.Kind, body []byte) error {
	p.kinds, p.bodies = append(p.kinds, kind), append(p.bodies, bytes.Clone(body))
	return nil
}

// next takes the oldest message that was sent, which must be of a kind, compares it with its golden file and returns the file's bytes.
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

// TestGoldenKinds fixes the numbers of the kinds of messages and of the codes, operations and records.
func TestGoldenKinds(t *testing.T) {
	kinds := []link.Kind{kHello, kAccept, kRead, kBody, kEnd, kAttach, kHold, kHeld, kUnsure, kGive, kResult, kListed, kCancel,
		kCancelled, kPutBack, kAsk, kHave, kFetch, kWhole, kPut, kPutAck, kMark, kOp, kAck, kStale, kConfirm, kConfirmed, kReserve,
		kGrant, kUsage, kUsageAsk}
	for i, kind := range kinds {
		if kind != link.Kind(100+i) {
			t.Errorf("kind %d of the list is %d, want %d", i, kind, 100+i)
		}
	}
	bytesOf := []uint8{codeOK, codeNone, codeFull, codeUnavailable, codeUnknown, codeNoRoom, opAccept, opList, opEnd, opDrop,
		recID, recPromise, recMark, recOp, recPut}
	if want := []uint8{1, 2, 3, 4, 5, 6, 1, 2, 3, 4, 1, 2, 3, 4, 5}; !bytes.Equal(bytesOf, want) {
		t.Errorf("codes, operations and records are %v, want %v", bytesOf, want)
	}
}

const (
	goldenJobID = "job-41"
	goldenPart  = 5
	goldenBatch = 0x2_0003 // a ballot in epoch 2
)

// goldenJob is a job whose fields all have values of their own.
func goldenJob() *Job {
	return &Job{
		ID: goldenJobID, Route: "nightly", Host: "batch.example", PathStart: "/bulk/", SentMs: 1_700_000_000_101, DueMs: 60_102, Tries: 3,
		MaxWaitMs: 600_104, MaxQueued: 90_105, Version: 106,
		Items: []JobItem{
			{ID: "item-a", Path: "/bulk/a", Headers: [][2]string{{"Accept", "text/event-stream"}, {"X-Kind", "renewal"}}, Body: []byte("body of a"), Tokens: 207},
			{ID: "item-b", Path: "/bulk/b", Headers: [][2]string{{"X-Other", "review"}}, Body: []byte{0, 1, 0xfe, 0xff}, Tokens: 308},
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
	again := Job{ID: j.id, Route: j.route, Host: j.host, PathStart: j.pathStart, SentMs: j.sentMs, DueMs: j.dueMs, Tries: j.tries,
		MaxWaitMs: j.maxWaitMs, MaxQueued: j.maxQueued, Version: j.version}
	for i := range j.items {
		it := &j.items[i]
		path, headers, body, err := decodeSegment(enc[it.off : it.off+it.n])
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
	golden(t, "item-segment.bin", encodeSegment("/bulk/a", [][2]string{{"Accept", "text/event-stream"}, {"X-Kind", "renewal"}}, []byte("body of a")))
}

// goldenTable has six parts; all but the one of the tests are led by owner.
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

// goldenCore is a store with an empty disk, without a limit of room and with a table.
func goldenCore(id, primary, owner uint64) *core {
	c := newCore(id, &simDisk{})
	c.now = 50_001
	c.zone = "zone-a"
	c.table = goldenTable(primary, owner)
	return c
}

// sync makes all that was appended durable.
func syncAll(c *core) { c.synced(c.appended) }

// lastRecord is the newest record of a store's disk.
func lastRecord(t *testing.T, c *core) []byte {
	t.Helper()
	d := c.disk.(*simDisk)
	rec := d.recs[len(d.recs)-1]
	b, err := d.ReadRaw(rec.at, rec.n)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// replayed is what a store has that read only one record.
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

// TestGoldenReplication plays how a primary takes a part over, brings a new replica up to date and replicates operations. Each
// message goes to its receiver in its golden form.
func TestGoldenReplication(t *testing.T) {
	const leaderID, followerID, joinerID = 0x1101, 0x1202, 0x1303
	leader, follower, joiner := goldenCore(leaderID, leaderID, leaderID), goldenCore(followerID, leaderID, leaderID), goldenCore(joinerID, leaderID, leaderID)
	toFollower, toJoiner, fromFollower, fromJoiner := &goldenPipe{}, &goldenPipe{}, &goldenPipe{}, &goldenPipe{}
	leader.peers[followerID], leader.peers[joinerID] = toFollower, toJoiner
	leader.append(encodeRec(recID, 0, leaderID))
	golden(t, "record-identity.bin", lastRecord(t, leader))
	wantValue(t, "record-identity", replayed(t, lastRecord(t, leader)).self, uint64(leaderID))

	// The follower has the job, under an older ballot.
	part := follower.part(goldenPart)
	follower.append(encodeRec(recMark, goldenPart, ballotOf(1)+7, 30))
	follower.append(append(encodeRec(recOp, goldenPart, ballotOf(1)+7, 31), append([]byte{opAccept}, goldenJob().encode()...)...))
	rec := golden(t, "record-operation-accept.bin", lastRecord(t, follower))
	checkOperation(t, replayed(t, rec), 31)
	follower.append(append(encodeRec(recOp, goldenPart, ballotOf(1)+7, 32), encodeList(goldenJobID, 1, true, []byte("text of b"))...))
	golden(t, "record-operation-list.bin", lastRecord(t, follower))
	syncAll(follower)
	digest := part.jobs[goldenJobID].digest()

	// The primary asks the follower for its promise.
	p := leader.part(goldenPart)
	p.epoch, p.promised = 2, goldenBatch
	p.lead = &lead{ballot: goldenBatch, life: goldenBatch, stage: collecting, selfS: -1, commit: -1, copies: []uint64{leaderID, followerID},
		next: []uint64{leaderID, joinerID}, peers: map[uint64]*peer{}, usage: map[string]*usage{}, reserves: map[uint64]*reserve{},
		accts: map[string]*account{}, incoming: map[string]*incoming{}, confirmed: -1 << 60}
	leader.maxLost = 0 // all replicas have to answer
	leader.sessions = 0x2100
	leader.ask(p, followerID)
	follower.message(fromFollower, nil, kAsk, toFollower.next(t, kAsk, "replication-ask.bin"))
	rec = golden(t, "record-promise.bin", lastRecord(t, follower))
	wantValue(t, "record-promise", replayed(t, rec).part(goldenPart).promised, uint64(goldenBatch))
	wantValue(t, "replication-ask", []uint64{part.promised, part.session}, []uint64{goldenBatch, 0x2101})
	syncAll(follower)
	leader.message(toFollower, nil, kHave, fromFollower.next(t, kHave, "replication-have.bin"))
	q := p.lead.peers[followerID]
	wantValue(t, "replication-have", []any{q.claimB, q.claimS, q.have}, []any{ballotOf(1) + 7, uint64(32), map[string]uint64{goldenJobID: digest}})

	// It has the newest state: the primary fetches the job, and marks what it has.
	follower.now = 50_901 // the job's age
	follower.message(fromFollower, nil, kFetch, toFollower.next(t, kFetch, "replication-fetch.bin"))
	leader.message(toFollower, nil, kWhole, fromFollower.next(t, kWhole, "replication-whole.bin"))
	checkWholeJob(t, leader, digest, 900)
	d := leader.disk.(*simDisk)
	put, err := d.ReadRaw(d.recs[1].at, d.recs[1].n)
	if err != nil {
		t.Fatal(err)
	}
	checkWholeJob(t, replayed(t, golden(t, "record-job.bin", put)), digest, 900)
	rec = golden(t, "record-mark.bin", lastRecord(t, leader))
	again := replayed(t, rec).part(goldenPart)
	wantValue(t, "record-mark", []uint64{again.promised, again.claimB, again.claimS}, []uint64{goldenBatch, goldenBatch, 32})
	wantValue(t, "sequence", p.lead.seq, uint64(32))

	// The follower is up to date, the one that joins gets the job whole.
	follower.full = true
	mark := toFollower.next(t, kMark, "replication-mark.bin")
	follower.message(fromFollower, nil, kMark, mark)
	wantValue(t, "replication-mark", []uint64{part.claimB, part.claimS}, []uint64{goldenBatch, 32})
	syncAll(follower)
	leader.message(toFollower, nil, kAck, fromFollower.next(t, kAck, "replication-ack.bin"))
	wantValue(t, "replication-ack", []any{q.acked, q.full}, []any{int64(32), true})
	leader.ask(p, joinerID)
	joiner.message(fromJoiner, nil, kAsk, toJoiner.next(t, kAsk, "replication-ask-joining.bin"))
	syncAll(joiner)
	leader.message(toJoiner, nil, kHave, fromJoiner.next(t, kHave, "replication-have-nothing.bin"))
	joiner.message(fromJoiner, nil, kPut, toJoiner.next(t, kPut, "replication-put.bin"))
	checkWholeJob(t, joiner, digest, 900)
	golden(t, "record-job.bin", lastRecord(t, joiner))
	if inFlight := p.lead.peers[joinerID].flight; inFlight != 1 {
		t.Errorf("%d jobs are under way, want 1", inFlight)
	}
	leader.message(toJoiner, nil, kPutAck, fromJoiner.next(t, kPutAck, "replication-put-ack.bin"))
	if inFlight := p.lead.peers[joinerID].flight; inFlight != 0 {
		t.Errorf("%d jobs are under way, want none", inFlight)
	}

	// An operation of each other kind.
	syncAll(leader)
	leader.order(p, encodeNamed(opEnd, goldenJobID), func(bool) {})
	follower.message(fromFollower, nil, kOp, toFollower.next(t, kOp, "replication-operation-end.bin"))
	if !part.jobs[goldenJobID].ended || part.claimS != 33 {
		t.Errorf("the job has not ended at the replica, which has all up to %d", part.claimS)
	}
	golden(t, "record-operation-end.bin", lastRecord(t, leader))
	golden(t, "record-operation-end.bin", lastRecord(t, follower))
	leader.order(p, encodeNamed(opDrop, goldenJobID), func(bool) {})
	follower.message(fromFollower, nil, kOp, toFollower.next(t, kOp, "replication-operation-drop.bin"))
	if len(part.jobs) != 0 {
		t.Errorf("the job is not dropped at the replica")
	}
	golden(t, "record-operation-drop.bin", lastRecord(t, leader))

	// Confirmations, and the refusal of a ballot that is stale.
	leader.confirm(p)
	syncAll(follower)
	fromFollower.kinds, fromFollower.bodies = nil, nil
	follower.message(fromFollower, nil, kConfirm, toFollower.next(t, kConfirm, "replication-confirm.bin"))
	leader.message(toFollower, nil, kConfirmed, fromFollower.next(t, kConfirmed, "replication-confirmed.bin"))
	wantValue(t, "replication-confirmed", []any{q.stamp, q.full}, []any{int64(50_001), true})
	if part.promised++; !follower.stale(part, goldenBatch, fromFollower) {
		t.Error("a stale ballot counts")
	}
	leader.message(toFollower, nil, kStale, fromFollower.next(t, kStale, "replication-stale.bin"))
	if !p.lead.barred {
		t.Error("the primary has not noticed that it was replaced")
	}
}

// checkOperation checks a store that has replayed the acceptance of the job.
func checkOperation(t *testing.T, c *core, seq uint64) {
	t.Helper()
	p := c.part(goldenPart)
	wantValue(t, "record-operation", []uint64{p.claimB, p.claimS}, []uint64{ballotOf(1) + 7, seq})
	j := p.jobs[goldenJobID]
	if j == nil {
		t.Fatal("the job is not there")
	}
	enc, err := c.disk.ReadRaw(j.at, j.n)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "call-accept.bin", encodedAgain(t, enc))
}

// checkWholeJob checks a job that was sent whole, and sends it on whole.
func checkWholeJob(t *testing.T, c *core, digest uint64, age int64) {
	t.Helper()
	j := c.part(goldenPart).jobs[goldenJobID]
	if j == nil {
		t.Fatal("the job is not there")
	}
	enc, err := c.disk.ReadRaw(j.at, j.n)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "call-accept.bin", encodedAgain(t, enc))
	text, err := c.text(j.results[0])
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "whole job", []any{j.results[0].item, j.results[0].givenUp, string(text), j.digest(), c.now - j.knownSince},
		[]any{int32(1), true, "text of b", digest, age})
	whole, err := c.whole(j)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "job-whole.bin", whole)
}

// TestGoldenQuota plays a reservation of tokens between a primary and the owner of the quota.
func TestGoldenQuota(t *testing.T) {
	const primaryID, ownerID, route = 0x1101, 0x1202, "nightly"
	primary, owner := goldenCore(primaryID, primaryID, ownerID), goldenCore(ownerID, primaryID, ownerID)
	toOwner, toPrimary := &goldenPipe{}, &goldenPipe{}
	primary.peers[ownerID], owner.peers[primaryID] = toOwner, toPrimary
	quotaPart, _ := primary.quotaOwner(route)
	if quotaPart == goldenPart {
		t.Fatal("the quota's part is the job's")
	}
	newLead := func(ballot uint64) *lead {
		return &lead{ballot: ballot, life: ballot, stage: ordering, active: true, peers: map[uint64]*peer{}, usage: map[string]*usage{},
			reserves: map[uint64]*reserve{}, accts: map[string]*account{}, incoming: map[string]*incoming{}}
	}
	p := primary.part(goldenPart)
	p.epoch, p.promised = 2, goldenBatch
	p.lead = newLead(goldenBatch)
	p.lead.reserveN, p.lead.usageV = 40, 50
	p.lead.use(route).tokens = 1234
	owner.part(quotaPart).lead = newLead(0x2_0009)
	account := owner.account(route)
	for no := range owner.table.Partitions {
		if no != goldenPart {
			account.shares[no] = &share{}
		}
	}

	in := &incoming{enc: goldenJob().encode(), id: goldenJobID, route: route, tokens: 515, most: 90_105}
	p.lead.incoming[goldenJobID] = in
	primary.askTokens(p, in)
	owner.message(toPrimary, nil, kReserve, toOwner.next(t, kReserve, "quota-reserve.bin"))
	wantValue(t, "quota-reserve", account.held, []heldReserve{{pipe: toPrimary, part: goldenPart, life: goldenBatch, number: 41, tokens: 515,
		most: 90_105, deadline: 50_001 + reserveWaitMs}})
	primary.message(toOwner, nil, kUsageAsk, toPrimary.next(t, kUsageAsk, "quota-usage-ask.bin"))
	wantValue(t, "quota-usage-ask", p.ownerB[route], uint64(0x2_0009))
	owner.message(toPrimary, nil, kUsage, toOwner.next(t, kUsage, "quota-usage.bin"))
	wantValue(t, "quota-usage", *account.shares[goldenPart], share{life: goldenBatch, epoch: 2, version: 51, tokens: 1234, settled: 40,
		grants: []grantedTokens{{41, 515}}})
	primary.message(toOwner, nil, kGrant, toPrimary.next(t, kGrant, "quota-grant.bin"))
	if len(p.lead.reserves) != 0 || p.jobs[goldenJobID] == nil {
		t.Error("the job is not accepted with the granted tokens")
	}
}

// goldenPrimary is a store that leads the part of the tests and has the job, of which the second item is listed.
func goldenPrimary(t *testing.T) (*core, *part, *job) {
	t.Helper()
	const id = 0x1101
	c := goldenCore(id, id, id)
	for no := range c.table.Partitions {
		c.table.Partitions[no].Replicas = []uint64{id}
	}
	c.maxLost = 0
	no := c.table.PartitionOf(goldenJobID)
	p := c.part(no)
	p.epoch, p.promised = 2, goldenBatch
	p.lead = &lead{ballot: goldenBatch, life: goldenBatch, stage: ordering, active: true, commit: -1, copies: []uint64{id}, peers: map[uint64]*peer{},
		usage: map[string]*usage{}, reserves: map[uint64]*reserve{}, accts: map[string]*account{}, incoming: map[string]*incoming{}, confirmed: c.now}
	p.claimB = goldenBatch
	accepted := goldenJob()
	accepted.MaxQueued = 0
	reply := &goldenReply{}
	c.message(nil, reply, kAccept, accepted.encode())
	syncAll(c)
	wantValue(t, "acceptance", reply.body, []byte{codeOK})
	j := p.jobs[goldenJobID]
	c.list(p, j, 1, true, []byte("text of b"), func(bool) {})
	syncAll(c)
	return c, p, j
}

// goldenLink is a link between two ends of which this one is recorded.
type goldenLink struct {
	messages chan *link.Message
	conn     *link.Conn
}

func (l *goldenLink) Message(m *link.Message) { l.messages <- m }
func (l *goldenLink) Closed(*link.Conn)       {}

// newGoldenLink is an end at which messages are recorded, and the connection to it.
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

// next is the oldest message that arrived; it must be of a kind and as its golden file.
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
	edge := &Edge{o: EdgeOptions{Views: holder}, pool: &pool{to: map[uint64]*dialled{c.table.Partitions[no].Primary: {conn: l.conn}}}}

	// answer gives a store the golden call and sends its golden reply back.
	answer := func(kind link.Kind, call, reply string) {
		m, body := l.next(t, kind, call)
		r := &goldenReply{}
		c.message(nil, r, kind, body)
		syncAll(c)
		m.Reply(golden(t, reply, r.body))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if outcome := edge.Accept(t.Context(), goldenJob()); outcome != Taken {
			t.Errorf("accept: %d", outcome)
		}
		reading, found := edge.Read(t.Context(), goldenJobID, 0, 77*time.Millisecond)
		wantValue(t, "reply-read", []any{reading, found}, []any{Reading{Total: 2, Results: []ItemResult{{ID: "item-b", GivenUp: true, Message: []byte("text of b")}}}, OK})
		if _, found := edge.Read(t.Context(), goldenJobID, 1, 0); found != OK {
			t.Errorf("second read: %d", found)
		}
		body, found := edge.Body(t.Context(), goldenJobID, "item-b")
		wantValue(t, "reply-body", []any{body, found}, []any{[]byte{0, 1, 0xfe, 0xff}, OK})
		if found := edge.End(t.Context(), goldenJobID); found != OK {
			t.Errorf("end: %d", found)
		}
	}()
	answer(kAccept, "call-accept.bin", "reply-accept.bin")
	answer(kRead, "call-read.bin", "reply-read.bin")
	answer(kRead, "call-read-after.bin", "reply-read-after.bin")
	answer(kBody, "call-body.bin", "reply-body.bin")
	answer(kEnd, "call-end.bin", "reply-end.bin")
	<-done
	if !j.ended {
		t.Error("the job has not ended")
	}

	// The start of a connection.
	is := make(chan bool)
	go func() { is <- edge.pool.is(t.Context(), l.conn, 0x1101_2202_3303_4404) }()
	m, _ := l.next(t, kHello, "call-hello.bin")
	store := &Store{core: newCore(0x1101_2202_3303_4404, nil)}
	helloReply := make(chan []byte, 1)
	go func() {
		body, err := l.conn.Call(t.Context(), kHello, nil)
		if err != nil {
			t.Error(err)
		}
		helloReply <- body
	}()
	second, _ := l.next(t, kHello, "call-hello.bin")
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
	side := newWorkerSide(&Edge{o: EdgeOptions{Name: "proxy-7", Zone: "zone-b", Runner: blockedRunner{}}})
	t.Cleanup(side.close)

	// The worker attaches, with its share of the limit: two stores lead.
	side.table = goldenTable(0x1101, 0x1202)
	side.limit = 17
	side.up(0x1101, l.conn)
	_, body := l.next(t, kAttach, "worker-attach.bin")
	c.message(toWorker, nil, kAttach, body)
	w := c.workers[toWorker]
	wantValue(t, "worker-attach", []any{w.name, w.zone, w.limit}, []any{"proxy-7", "zone-b", 9})

	// It is given an item.
	body = toWorker.next(t, kGive, "worker-give.bin")
	given, err := decodeGive(body)
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "worker-give", []any{given.key, given.epoch, given.dueMs, given.tries, given.route, given.host, given.itemID, given.tokens, given.leftMs, given.hasLeft},
		[]any{itemKey{p.no, goldenJobID, 0}, uint64(2), int64(1_700_000_000_101 + 60_102), 3, "nightly", "batch.example", "item-a", int64(207), int64(60_102), true})
	golden(t, "worker-give.bin", given.encode())
	item, err := given.item(time.UnixMilli(5000))
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "worker-give", item, &Item{Job: goldenJobID, ID: "item-a", Route: "nightly", Host: "batch.example", Path: "/bulk/a",
		Headers: goldenJob().Items[0].Headers, Body: []byte("body of a"), Tokens: 207, Due: time.UnixMilli(65_102)})
	side.message(0, &link.Message{Conn: l.conn, Kind: kGive, Body: body})
	if side.inHand() != 1 {
		t.Fatal("the item is not in hand")
	}

	// It says what it has in hand.
	key := itemKey{part: p.no, job: goldenJobID, item: 0}
	side.mu.Lock()
	side.jobs[itemKey{part: goldenPart + 1, job: "job-of-another-part", item: 3}] = &running{cancel: func() {}}
	side.holdPart(goldenPart+1, l.conn, 0x2002)
	side.mu.Unlock()
	_, body = l.next(t, kHold, "worker-hold.bin")
	c.message(toWorker, nil, kHold, body)
	wantValue(t, "worker-hold", w.holds[goldenPart+1], hold{0x2002, []itemKey{{goldenPart + 1, "job-of-another-part", 3}}})
	w.holds[p.no] = hold{2, []itemKey{key}}
	side.parts[p.no] = &holding{conn: l.conn, epoch: 2}
	c.claim(p, w)
	side.message(0, &link.Message{Conn: l.conn, Kind: kHeld, Body: toWorker.next(t, kHeld, "worker-held.bin")})
	wantValue(t, "worker-held", *side.parts[p.no], holding{conn: l.conn, epoch: 2, noted: true})

	// The store is not sure to lead.
	p.lead.confirmed = c.now - 2000
	c.maxLost = 1
	c.keepSure(p)
	side.message(0, &link.Message{Conn: l.conn, Kind: kUnsure, Body: toWorker.next(t, kUnsure, "worker-unsure.bin")})
	if !side.parts[p.no].unsure {
		t.Error("the worker goes on")
	}
	c.maxLost = 0

	// Results.
	side.mu.Lock()
	side.report(l.conn, &running{key: itemKey{goldenPart, "job-of-another-part", 6}, givenUp: true, text: []byte("its text")})
	side.report(l.conn, &running{key: key, text: []byte("text of a")})
	side.mu.Unlock()
	l.next(t, kResult, "worker-result-given-up.bin")
	_, body = l.next(t, kResult, "worker-result.bin")
	c.message(toWorker, nil, kResult, body)
	syncAll(c)
	text, err := c.text(j.results[1])
	if err != nil {
		t.Fatal(err)
	}
	wantValue(t, "worker-result", []any{j.results[1].item, j.results[1].givenUp, string(text)}, []any{int32(0), false, "text of a"})
	side.message(0, &link.Message{Conn: l.conn, Kind: kListed, Body: toWorker.next(t, kListed, "worker-listed.bin")})
	if side.jobs[key] != nil {
		t.Error("the worker keeps what is listed")
	}

	// Ends, and what is given back.
	c.cancel(w, goldenPart+1, "job-of-another-part")
	delete(side.parts, goldenPart+1)
	side.message(0, &link.Message{Conn: l.conn, Kind: kCancel, Body: toWorker.next(t, kCancel, "worker-cancel.bin")})
	if side.inHand() != 0 {
		t.Error("the job goes on")
	}
	_, body = l.next(t, kCancelled, "worker-cancelled.bin")
	w.held[itemKey{goldenPart + 1, "job-of-another-part", 3}] = true
	c.message(toWorker, nil, kCancelled, body)
	if len(w.held) != 0 {
		t.Error("the store believes that the worker has the job")
	}
	other := newGoldenLink(t)
	side.parts[p.no] = &holding{conn: other.conn, epoch: 9}
	side.message(0, &link.Message{Conn: l.conn, Kind: kGive, Body: given.encode()})
	_, body = l.next(t, kPutBack, "worker-put-back.bin")
	w.held[key] = true
	c.message(toWorker, nil, kPutBack, body)
	if len(w.held) != 0 {
		t.Error("the store believes that the worker has the item")
	}
}

// TestGoldenReadsAnOlderGive: a message of the versions that did not say how long is left is read by its time of day.
func TestGoldenReadsAnOlderGive(t *testing.T) {
	body := readGolden(t, "worker-give.bin")
	given, err := decodeGive(body[:len(body)-8])
	if err != nil || given.hasLeft {
		t.Fatalf("%v, time left %v", err, given.hasLeft)
	}
	if item, err := given.item(time.UnixMilli(5000)); err != nil || !item.Due.Equal(time.UnixMilli(1_700_000_060_203)) {
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

// TestGoldenJSON fixes the JSON bodies of clients: the job that comes in, and the results that go out.
func TestGoldenJSON(t *testing.T) {
	want := goldenJob()
	route := &operatorconfig.Route{Name: want.Route, Host: want.Host, PathPrefix: want.PathStart, DueMs: int(want.DueMs), MaxAttempts: want.Tries,
		MaxWaitMs: int(want.MaxWaitMs), MaxQueuedTokens: want.MaxQueued}
	body := golden(t, "client-job.json", []byte(`{"requests":[{"id":"item-a","path":"/bulk/a","headers":{"X-Kind":"renewal","Accept":"text/event-stream"},"body":"Ym9keSBvZiBh","tokens":207},{"id":"item-b","path":"/bulk/b","headers":{"X-Other":"review"},"body":"AAH+/w==","tokens":308}]}`))
	got, ok := parseJob(&Call{Header: func(name string) string { return map[string]string{"X-Dunetide-Request-Id": goldenJobID}[name] }, Body: body}, route)
	if !ok {
		t.Fatal("the job is refused")
	}
	want.SentMs, want.Version = 0, 0 // set by the caller
	wantValue(t, "client-job", got, want)

	reading := Reading{Total: 9, Results: []ItemResult{{ID: "item-a", Message: []byte("text \"of\" a\n<b>")}, {ID: "item-b", GivenUp: true, Message: []byte("why")}}}
	answer := readAnswer(reading, 4, OK)
	body = golden(t, "client-results.json", answer.Body)
	wantValue(t, "client-results", []any{answer.Status, answer.Type}, []any{200, "application/json"})
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
	again := Reading{Total: read.Total}
	for _, r := range read.Results {
		again.Results = append(again.Results, ItemResult{ID: r.ID, GivenUp: r.State == "given_up", Message: []byte(r.Message)})
	}
	wantValue(t, "client-results", again, reading)
	golden(t, "client-results.json", readAnswer(again, read.NextToken-len(read.Results), OK).Body)
	golden(t, "client-results-none.json", readAnswer(Reading{Total: 3}, 0, OK).Body)
}

// openGolden opens a store's log and returns what it holds, and where each record ends in its file.
func openGolden(t *testing.T, d *disktest.Disk) (log Log, payloads []string, ends []int) {
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

// closeLog closes a log.
func closeLog(t *testing.T, log Log) {
	t.Helper()
	if err := log.(*segmentedLog).Close(); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenLogFiles fixes the names and bytes of the files of a store's log. Each file has a random salt in its head, so records are
// appended to the golden files cut short, which has to restore them.
func TestGoldenLogFiles(t *testing.T) {
	const first, second = "lots.log", "lots.log.000001"
	d := disktest.New()
	log, _, _ := openGolden(t, d)
	appendTo(t, log, "first record")
	if err := log.SyncTo(1<<segmentShift - 1); err != nil { // a record says how far the file was synced before it
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

	whole := disktest.New()
	for _, name := range names {
		whole.Put(name, readGolden(t, "file-"+name))
	}
	log, payloads, ends := openGolden(t, whole)
	wantValue(t, "records", payloads, []string{"first record", "second record", "third record"})
	closeLog(t, log)

	cut := disktest.New()
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

	// The head of a segment: what was written now has the same payloads as the golden file.
	var written, read [][]byte
	for from, to := range map[*disktest.Disk]*[][]byte{d: &written, whole: &read} {
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

func (blockedRunner) Run(ctx context.Context, _ *Item, _ string, _ func(id string, data []byte)) Result {
	<-ctx.Done()
	return Result{End: NotRun}
}
