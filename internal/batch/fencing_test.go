package batch

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"testing"

	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
)

// replacedPrimary returns a rig in which the table has given a job's partition another primary, and
// the old one has not received that table.
func replacedPrimary(t *testing.T) (g *storeRig, index int, old, successor, third *core) {
	t.Helper()
	g = newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	next := cloneTable(g.cores[0].table)
	index = next.PartitionOf("job")
	row := &next.Partitions[index]
	old = g.cores[row.Primary-1]
	for _, c := range g.cores {
		switch {
		case c == old:
		case successor == nil:
			successor = c
		default:
			third = c
		}
	}
	row.Epoch++
	row.Primary = successor.self
	successor.setTable(next)
	third.setTable(next)
	return g, index, old, successor, third
}

// TestReplicasRejectAStaleTerm: messages of a primary in a stale term change nothing at a replica
// and are not acknowledged. The replica answers with the newer term.
func TestReplicasRejectAStaleTerm(t *testing.T) {
	g, index, old, successor, third := replacedPrimary(t)
	term := old.partition(index).primary.term
	g.step(1000)
	if primary := successor.partition(index).primary; primary == nil || !primary.serving {
		t.Fatal("the successor is not serving")
	}
	p := third.partition(index)
	for kind, body := range map[link.Kind][]byte{
		kindPrepare:    encodeNumbers(index, term, 7),
		kindInstallJob: append(encodeNumbers(index, term, p.session), 1, 2, 3),
		kindStartTerm:  encodeNumbers(index, term, p.session, 99),
		kindOperation: append(encodeNumbers(index, term, p.session, p.position.sequence+1),
			encodeJobOperation(opEndJob, "job")...),
		kindFetchJob: append(encodeNumbers(index, term), 0, 0, 0, 0),

		kindFetchJobPart:   append(encodeNumbers(index, term), 0, 0, 0, 0, 0, 0, 0, 0, 0),
		kindInstallJobPart: append(encodeNumbers(index, term, p.session), 1, 2, 3),

		kindConfirm: encodeNumbers(index, term, 1),
	} {
		pipe := &recordingPipe{}
		position, promised, appended := p.position, p.promisedTerm, third.appendedRecords
		third.handleStoreMessage(pipe, kind, body)
		third.recordsSynced(third.appendedRecords)
		changed := p.position != position || p.promisedTerm != promised || third.appendedRecords != appended
		if changed || p.jobs["job"].ended {
			t.Errorf("kind %d of a stale term changed a replica", kind)
		}
		if !slices.Equal(pipe.kinds, []link.Kind{kindStaleTerm}) {
			t.Errorf("kind %d of a stale term was answered with %v", kind, pipe.kinds)
		}
	}
}

// TestReplacedPrimaryAcknowledgesNothing: a replaced primary learns that from the answer to its
// first message. What it ordered before is not committed, and it is not confirmed.
func TestReplacedPrimaryAcknowledgesNothing(t *testing.T) {
	g, index, old, successor, _ := replacedPrimary(t)
	g.step(1000)
	if primary := old.partition(index).primary; primary != nil && old.isConfirmed(primary) {
		t.Error("the replaced primary is confirmed")
	}
	for kind, body := range map[link.Kind][]byte{
		kindAcceptJob:   encodedJob("job", 2, 0),
		kindEndJob:      encodeEndJob("job", Principal{}),
		kindReadResults: encodeReadResults("job", 0, 0, Principal{}),
	} {
		var code uint8
		old.handleMessage(nil, callerFunc(func(b []byte) { code = b[0] }), kind, body)
		g.step(1500)
		if code != codeUnavailable {
			t.Errorf("kind %d: answered %d", kind, code)
		}
	}
	if successor.partition(index).jobs["job"].ended {
		t.Error("an end that a replaced primary ordered took effect")
	}
}

// TestLateConfirmationDoesNotReviveAReplacedPrimary: a confirmation that was in flight when the
// primary learned of a newer term is ignored.
func TestLateConfirmationDoesNotReviveAReplacedPrimary(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	c, p := primaryOfJob(t, g)
	primary := p.primary
	pipes := map[uint64]Pipe{}
	for id, replica := range primary.progress {
		pipes[id] = replica.pipe
	}
	if len(pipes) == 0 {
		t.Fatal("the primary has no replicas")
	}
	c.handleStoreMessage(&recordingPipe{}, kindStaleTerm, encodeNumbers(p.index, primary.term+1))
	if !primary.superseded || c.isConfirmed(primary) {
		t.Fatalf("the primary does not know that it was replaced: %+v", primary)
	}
	for _, pipe := range pipes {
		late := append(encodeNumbers(p.index, primary.term, uint64(c.nowMs)), 0)
		c.handleStoreMessage(pipe, kindConfirmed, late)
	}
	if c.isConfirmed(primary) {
		t.Error("a late confirmation was accepted")
	}
	var code uint8
	read := encodeReadResults("job", 0, 0, Principal{})
	c.handleMessage(nil, callerFunc(func(b []byte) { code = b[0] }), kindReadResults, read)
	g.step(confirmationWaitMs + 100)
	if code != codeUnavailable {
		t.Errorf("a read was answered %d", code)
	}
}

// TestRefusalsOfStaleTermsAreReported: each rejection is counted, and the first of a term is logged
// with partition and terms.
func TestRefusalsOfStaleTermsAreReported(t *testing.T) {
	g, index, old, _, third := replacedPrimary(t)
	term := old.partition(index).primary.term
	g.step(1000)
	var lines []string
	third.logf = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	before := staleTermsRejected.Get()
	third.partition(index).rejectedTerm = 0 // the rig may have rejected one already
	for range 3 {
		third.handleStoreMessage(addressedPipe{&recordingPipe{}}, kindConfirm, encodeNumbers(index, term, 1))
	}
	if n := staleTermsRejected.Get() - before; n != 3 {
		t.Errorf("%d of 3 rejections are counted", n)
	}
	known := third.partition(index).promisedTerm
	want := fmt.Sprintf("partition %d: rejected stale term %x from 10.0.0.7:99: term %x is known", index, term, known)
	if !slices.Equal(lines, []string{want}) {
		t.Errorf("%q, want only %q", lines, want)
	}
}

// addressedPipe is a connection with a known remote address.
type addressedPipe struct{ *recordingPipe }

func (addressedPipe) Addr() string { return "10.0.0.7:99" }

// TestQuotaOwnersAreFenced: grants of an owner older than the newest one are not used, and reports
// and reservations of an earlier incarnation of a primary change nothing at the owner.
func TestQuotaOwnersAreFenced(t *testing.T) {
	g := newStoreRig(3, 2, 2, 1000)
	g.accept(t, "job", 2)
	owner, account := quotaAccountOf(g)
	c, p := primaryOfJob(t, g)
	older := p.primary.incarnation - 1
	before, grants := *account.usage[p.index], len(account.usage[p.index].grants)

	owner.handleStoreMessage(&recordingPipe{}, kindUsageReport, usageReportOf(p.index, older, 1, 1<<40, 0, 1<<40))
	if now := account.usage[p.index]; now.incarnation != before.incarnation || now.tokens != before.tokens {
		t.Errorf("a report of an older incarnation was accepted: %+v, before %+v", now, before)
	}
	pipe := &recordingPipe{}
	owner.handleStoreMessage(pipe, kindReserveTokens, reservationOf(p.index, older, 1<<30, 5, 1<<30))
	if len(pipe.kinds) != 0 || len(account.usage[p.index].grants) != grants {
		t.Errorf("a reservation of an older incarnation was answered: %v", pipe.kinds)
	}

	incoming := &incomingJob{id: "new", account: "b", tokens: 1, maxTokens: 10, encoded: encodedJob("new", 1, 0)}
	p.primary.incomingJobs["new"] = incoming
	p.primary.reservations[77] = &reservation{
		account:  "b",
		number:   77,
		job:      incoming,
		deadline: c.nowMs + 10_000,
		sent:     true,
	}
	grant := reservationReplyOf(p.index, p.primary.incarnation, 77, codeOK, p.quotaOwnerIncarnations["b"]-1)
	c.handleStoreMessage(&recordingPipe{}, kindReservationReply, grant)
	if p.jobs["new"] != nil || p.primary.reservations[77] == nil {
		t.Error("a grant of an older owner was used")
	}
}

// TestIncompleteTransferDoesNotMoveThePosition: jobs that a primary has sent without the subsequent
// start of its term do not advance the position of a replica, even after a restart, so that a more
// complete replica is preferred.
func TestIncompleteTransferDoesNotMoveThePosition(t *testing.T) {
	log := &simDisk{}
	c := newCore(9, log)
	c.appendRecord(encodeRecord(recordIdentity, 0, 9))
	c.appendRecord(encodeRecord(recordTermStart, 3, firstTerm(1)+1, 4))
	primary := &recordingPipe{}
	c.handleStoreMessage(primary, kindPrepare, encodeNumbers(3, firstTerm(2)+1, 5))
	c.recordsSynced(c.appendedRecords)
	donor := newCore(1, &simDisk{})
	accept := encodeAcceptJob(encodedJob("job", 1, 0))
	donor.appendRecord(append(encodeRecord(recordOperation, 3, firstTerm(1)+1, 1), accept...))
	encoded, err := donor.encodeJobWithResults(donor.partition(3).jobs["job"])
	if err != nil {
		t.Fatal(err)
	}
	c.handleStoreMessage(primary, kindInstallJob, append(encodeNumbers(3, firstTerm(2)+1, 5), encoded...))
	for _, what := range []string{"during the transfer", "after a restart"} {
		p := c.partition(3)
		if want := (logPosition{firstTerm(1) + 1, 4}); p.position != want {
			t.Errorf("%s: the position is %+v, want %+v", what, p.position, want)
		}
		if p.primary != nil {
			t.Errorf("%s: it is the primary", what)
		}
		c = newCore(0, log)
		if err := log.replayInto(c); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRejoiningStoreServesNothing: a store that comes back, whatever is on its disk, answers no
// call and assigns nothing before the table and enough replicas have made it the primary. A store
// with another identity is not in the table at all.
func TestRejoiningStoreServesNothing(t *testing.T) {
	g, index, old, _, _ := replacedPrimary(t)
	g.step(1000)
	oldTable := old.table
	for name, id := range map[string]uint64{"an old disk": old.self, "an empty disk": 99} {
		c := newCore(id, &simDisk{})
		if id == old.self {
			accept := encodeAcceptJob(encodedJob("job", 2, 0))
			c.appendRecord(encodeRecord(recordPromise, index, old.partition(index).promisedTerm))
			c.appendRecord(append(encodeRecord(recordOperation, index, firstTerm(1)+1, 1), accept...))
		}
		c.nowMs = 10_000
		c.setTable(oldTable) // a keeper that lags may send an old table
		c.recordsSynced(c.appendedRecords)
		worker := &recordingPipe{}
		c.handleMessage(worker, nil, kindAttachWorker, encodeAttachWorker("w", "z0", 5))
		for range 100 {
			c.nowMs += 25
			c.tick()
		}
		if p := c.partition(index); p.primary != nil && p.primary.serving {
			t.Errorf("%s: it serves without its replicas", name)
		}
		var code uint8
		c.handleMessage(nil, callerFunc(func(b []byte) { code = b[0] }), kindAcceptJob, encodedJob("job", 2, 0))
		if code != codeUnavailable || slices.Contains(worker.kinds, kindAssignItem) {
			t.Errorf("%s: answered %d, sent %v", name, code, worker.kinds)
		}
	}
}

// TestStoreDoesNotStartOnADamagedLog: a store does not start if a byte of the synced log is
// flipped. A torn tail is cut off, and the synced records remain.
func TestStoreDoesNotStartOnADamagedLog(t *testing.T) {
	build := func() *vfstest.Disk {
		d := vfstest.New()
		log, err := openSegments(d)
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			at, err := log.Append(encodeRecord(recordPromise, 1, 5))
			if err == nil {
				err = log.SyncTo(at)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		return d
	}
	open := func(d *vfstest.Disk) error {
		s, err := NewStore(StoreOptions{Open: func(replay func([]byte, int64) error) (Log, error) {
			return OpenLog(d, "t.log", replay)
		}})
		if err == nil {
			s.Close()
		}
		return err
	}
	d := build()
	flipped := bytes.Clone(d.File("t.log"))
	flipped[len(flipped)/2] ^= 4
	d.Put("t.log", flipped)
	if err := open(d); !recordlog.ErrDamaged.Has(err) {
		t.Errorf("a flipped byte: %v", err)
	}
	d = build()
	d.Put("t.log", append(bytes.Clone(d.File("t.log")), 1, 2, 3, 4, 5, 6, 7))
	if err := open(d); err != nil {
		t.Errorf("a torn tail: %v", err)
	}
}

// kindsHandler receives the kinds of messages that arrive over links.
type kindsHandler chan link.Kind

func (h kindsHandler) Message(m *link.Message) { h <- m.Kind }
func (h kindsHandler) Closed(*link.Conn)       {}

// TestWorkersRejectAReplacedPrimary: a worker returns an item that a replaced primary assigns, and
// ignores its cancellations and its pauses of starts.
func TestWorkersRejectAReplacedPrimary(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sent := make(kindsHandler, 10)
	go func() { _ = link.Serve(listener, sent, link.DefaultOptions) }()
	dial := func() *link.Conn {
		c, err := link.Dial(t.Context(), listener.Addr().String(), make(kindsHandler, 10), link.DefaultOptions)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	old, successor := dial(), dial()
	w := newItemRunner(ProxyOptions{})
	running := &runningItem{
		key:    itemKey{0, "job", 0},
		item:   &Item{},
		cancel: func() { t.Error("an item was cancelled") },
	}
	w.running[running.key] = running
	w.contacts[0] = &primaryContact{conn: successor, epoch: 2, runningNoted: true}

	assignment := assignMessage{
		item:        itemKey{0, "job", 1},
		epoch:       1,
		maxAttempts: 1,
		route:       "x",
		host:        "x",
		itemID:      "x",
		tokens:      1,
		request:     encodeRequest("/b/x", nil, nil),
	}
	w.handleMessage(&link.Message{Conn: old, Kind: kindCancelJob, Body: encodeJobRef(0, "job")})
	w.handleMessage(&link.Message{Conn: old, Kind: kindPauseStarts, Body: encodeNumbers(0)})
	w.handleMessage(&link.Message{Conn: old, Kind: kindAssignItem, Body: assignment.encode()})
	if got := <-sent; got != kindReturnItem {
		t.Errorf("answered with kind %d", got)
	}
	if len(w.running) != 1 || w.contacts[0].startsPaused || w.contacts[0].conn != successor {
		t.Errorf("it has %d items, starts are paused: %v", len(w.running), w.contacts[0].startsPaused)
	}
}
