package batch

import (
	"slices"
	"testing"

	"dunetide/internal/platform/link"
)

// primaryOfJob returns the store that serves the partition of the job "job".
func primaryOfJob(t *testing.T, g *storeRig) (*core, *partition) {
	t.Helper()
	c := g.primaryOf("job")
	p := c.partition(c.table.PartitionOf("job"))
	if p.primary == nil || !p.primary.serving {
		t.Fatal("no store serves the partition of the job")
	}
	return c, p
}

// quotaAccountOf returns the account of route "b" at the owner of its quota.
func quotaAccountOf(g *storeRig) (owner *core, account *quotaAccount) {
	index, store := g.cores[0].quotaOwner("b")
	owner = g.cores[store-1]
	return owner, owner.partition(index).primary.accounts["b"]
}

// countedTokens returns the tokens of route "b" that the owner of its quota counts: those reported,
// and those granted since.
func countedTokens(g *storeRig) (sum int64) {
	_, account := quotaAccountOf(g)
	for _, usage := range account.usage {
		sum += usage.tokens
		for _, grant := range usage.grants {
			sum += grant.tokens
		}
	}
	return sum
}

// TestSubmissionSentAgainIsAcceptedOnce: a job that is submitted again, during and after the first
// call, is stored once and counts once against the quota.
func TestSubmissionSentAgainIsAcceptedOnce(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	c, p := primaryOfJob(t, g)
	var codes []uint8
	for range 3 {
		caller := callerFunc(func(b []byte) { codes = append(codes, b[0]) })
		c.handleMessage(nil, caller, kindAcceptJob, encodedJob("job", 2, 0))
	}
	for range 40 {
		g.now += 25_000
		g.deliverAll()
	}
	codes = append(codes, g.submit("job", 2))
	if !slices.Equal(codes, []uint8{codeOK, codeOK, codeOK, codeOK}) {
		t.Errorf("answered %v", codes)
	}
	g.now += 200_000
	g.deliverAll()
	if sum := countedTokens(g); len(p.jobs) != 1 || sum != 200 {
		t.Errorf("%d jobs are stored, and %d tokens counted, want 1 and 200", len(p.jobs), sum)
	}
}

// TestEndSentAgainCountsOnce: a repeated end of a job is answered again, and returns the job's
// tokens to the quota once.
func TestEndSentAgainCountsOnce(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	g.accept(t, "other", 3)
	g.accept(t, "job", 2)
	_, p := primaryOfJob(t, g)
	for n := range 3 {
		if code := g.call("job", kindEndJob, encodeEndJob("job", Principal{})); code != codeOK {
			t.Errorf("end %d: answered %d", n, code)
		}
	}
	g.now += 200_000
	g.deliverAll()
	if sum := countedTokens(g); sum != 300 || !p.jobs["job"].ended {
		t.Errorf("%d tokens are counted, want 300", sum)
	}
}

// TestResultSentAgainIsStoredOnce: a repeated result, over the same link, over a newer one of the
// same worker, or from another worker that had the item from an earlier primary, is acknowledged
// and changes nothing: the first one counts.
func TestResultSentAgainIsStoredOnce(t *testing.T) {
	g := newStoreRig(3, 1, 4, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	first := p.jobs["job"].items[0].worker
	if first == nil {
		t.Fatal("the item is not assigned")
	}
	newer, other := &recordingPipe{}, &recordingPipe{}
	for name, pipe := range map[string]*recordingPipe{"w0": newer, "w9": other} {
		c.handleMessage(pipe, nil, kindAttachWorker, encodeAttachWorker(name, "z0", 4))
	}
	before := g.stored
	for _, pipe := range []Pipe{first.pipe, first.pipe, newer, other} {
		for _, text := range []string{"the first text", "another text"} {
			result := encodeItemResult(itemKey{p.index, "job", 0}, false, []byte(text))
			c.handleMessage(pipe, nil, kindItemResult, result)
		}
		g.deliverAll()
	}
	j := p.jobs["job"]
	if len(j.results) != 1 || j.readableResults != 1 {
		t.Fatalf("%d results, %d are readable", len(j.results), j.readableResults)
	}
	if text, err := c.resultText(j.results[0]); err != nil || string(text) != "the first text" {
		t.Errorf("%q, %v", text, err)
	}
	acknowledged := func(p *recordingPipe) (n int) {
		for _, kind := range p.kinds {
			if kind == kindResultStored {
				n++
			}
		}
		return n
	}
	if g.stored-before != 4 || acknowledged(newer) != 2 || acknowledged(other) != 2 {
		t.Errorf("acknowledged %d, %d and %d times, want 4, 2 and 2",
			g.stored-before, acknowledged(newer), acknowledged(other))
	}
}

// TestReservationSentAgainIsCountedOnce: a repeated reservation is granted again and counted once.
// A resolved one is not answered.
func TestReservationSentAgainIsCountedOnce(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	g.now += 200_000
	g.deliverAll()
	owner, account := quotaAccountOf(g)
	_, p := primaryOfJob(t, g)
	resolved := account.usage[p.index].resolvedReservations
	before := countedTokens(g)
	const asked = 5
	pipe := &recordingPipe{}
	for range 3 {
		request := reservationOf(p.index, p.primary.incarnation, resolved+1, asked, 1<<30)
		owner.handleStoreMessage(pipe, kindReserveTokens, request)
	}
	if got := countedTokens(g) - before; got != asked {
		t.Errorf("%d tokens are counted, want %d", got, asked)
	}
	if !slices.Equal(pipe.kinds, []link.Kind{kindReservationReply, kindReservationReply, kindReservationReply}) {
		t.Errorf("answered with %v", pipe.kinds)
	}
	silent := &recordingPipe{}
	owner.handleStoreMessage(silent, kindReserveTokens,
		reservationOf(p.index, p.primary.incarnation, resolved, asked, 1<<30))
	if got := countedTokens(g) - before; got != asked || len(silent.kinds) != 0 {
		t.Errorf("a resolved reservation: %d tokens, answered with %v", got, silent.kinds)
	}
}

// TestUsageSentAgainChangesNothing: a usage report that is repeated, or arrives after a newer one
// of the same incarnation, changes nothing at the owner of the quota.
func TestUsageSentAgainChangesNothing(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	g.now += 200_000
	g.deliverAll()
	owner, account := quotaAccountOf(g)
	_, p := primaryOfJob(t, g)
	known := account.usage[p.index]
	if known.version == 0 {
		t.Fatal("nothing was reported")
	}
	report := func(version uint64, tokens int) {
		body := usageReportOf(p.index, known.incarnation, known.epoch, version, tokens, known.resolvedReservations)
		owner.handleStoreMessage(&recordingPipe{}, kindUsageReport, body)
	}
	tokens, version := known.tokens, known.version
	report(version, 7)
	report(version-1, 8)
	if now := account.usage[p.index]; now.tokens != tokens || now.version != version {
		t.Errorf("%d tokens at version %d, want %d at %d", now.tokens, now.version, tokens, version)
	}
	report(version+1, 9)
	if now := account.usage[p.index]; now.tokens != 9 || now.version != version+1 {
		t.Errorf("a newer report was ignored: %+v", now)
	}
}

// TestGrantOfAnOlderIncarnationEndsNoNewerReservation: an answer resolves only its own reservation.
// An answer to the same number in an older incarnation of the primary, and an answer that arrives
// twice, resolve no other.
func TestGrantOfAnOlderIncarnationEndsNoNewerReservation(t *testing.T) {
	for name, code := range map[string]uint8{"granted": codeOK, "full": codeQuotaFull, "unavailable": codeUnavailable} {
		t.Run(name, func(t *testing.T) {
			g := newStoreRig(3, 1, 0, 1000)
			g.accept(t, "job", 1)
			c, p := primaryOfJob(t, g)
			primary := p.primary
			primary.lastReservation++
			number := primary.lastReservation
			answered := 0
			incoming := &incomingJob{
				id:        "new",
				account:   "b",
				tokens:    1,
				maxTokens: 1 << 30,
				encoded:   encodedJob("new", 1, 0),
				callers:   []Caller{callerFunc(func([]byte) { answered++ })},
			}
			primary.incomingJobs["new"] = incoming
			primary.reservations[number] = &reservation{
				account:  "b",
				number:   number,
				job:      incoming,
				deadline: c.nowMs + 10_000,
				sent:     true,
			}
			owner := p.quotaOwnerIncarnations["b"]
			for what, body := range map[string][]byte{
				"to an older incarnation": reservationReplyOf(p.index, primary.incarnation-1, number, code, owner),
				"to an earlier number":    reservationReplyOf(p.index, primary.incarnation, number-1, code, owner),
				"to a later number":       reservationReplyOf(p.index, primary.incarnation, number+1, code, owner),
				"to another partition": reservationReplyOf((p.index+1)%len(c.table.Partitions), primary.incarnation,
					number, code, owner),
			} {
				c.handleStoreMessage(&recordingPipe{}, kindReservationReply, body)
				if r := primary.reservations[number]; r == nil || !r.sent || p.jobs["new"] != nil || answered != 0 {
					t.Errorf("an answer %s was accepted", what)
				}
			}
			for range 2 { // its own answer, twice
				body := reservationReplyOf(p.index, primary.incarnation, number, codeOK, owner)
				c.handleStoreMessage(&recordingPipe{}, kindReservationReply, body)
			}
			g.deliverAll()
			if j := p.jobs["new"]; j == nil || !j.committed || answered != 1 || primary.reservations[number] != nil {
				t.Errorf("its own answer: answered %d times", answered)
			}
		})
	}
}

// TestAcknowledgementOfAnOlderTermCountsForNothing: acknowledgements and confirmations of an older
// term are ignored in the newer term.
func TestAcknowledgementOfAnOlderTermCountsForNothing(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	g.accept(t, "job", 1)
	c, p := primaryOfJob(t, g)
	primary := p.primary
	if len(primary.progress) == 0 {
		t.Fatal("the partition has no other replicas")
	}
	for _, replica := range primary.progress {
		acknowledged, confirmedAt := replica.acknowledged, replica.confirmedAt
		older := append(encodeNumbers(p.index, primary.term-1, 1<<40), 1) // with a full log
		c.handleStoreMessage(replica.pipe, kindOperationAck, older)
		c.handleStoreMessage(replica.pipe, kindConfirmed, older)
		if replica.acknowledged != acknowledged || replica.confirmedAt != confirmedAt || replica.logFull {
			t.Errorf("accepted in an older term: acknowledged %d, %d before, stamp %d, %d before",
				replica.acknowledged, acknowledged, replica.confirmedAt, confirmedAt)
		}
		again := append(encodeNumbers(p.index, primary.term, 0), 0) // of this term, and older than the newest
		c.handleStoreMessage(replica.pipe, kindOperationAck, again)
		if replica.acknowledged != acknowledged {
			t.Errorf("an older acknowledgement was accepted: %d, %d before", replica.acknowledged, acknowledged)
		}
	}
}

// TestOperationSentAgainChangesNothing: operations that are repeated, out of order, in another
// session or over another link change nothing at a replica.
func TestOperationSentAgainChangesNothing(t *testing.T) {
	g := newStoreRig(3, 1, 0, 1000)
	g.accept(t, "job", 2)
	leader, led := primaryOfJob(t, g)
	result := encodeAddResult("job", 0, false, []byte("x"))
	replicas := 0
	for _, c := range g.cores {
		p := c.partition(led.index)
		if c == leader || p.position.term != led.primary.term {
			continue
		}
		replicas++
		before, digest := p.position.sequence, p.jobs["job"].digest()
		appended := c.appendedRecords
		for _, seq := range []uint64{before, before + 2, 1} {
			body := append(encodeNumbers(p.index, led.primary.term, p.session, seq), result...)
			c.handleStoreMessage(p.followedPrimary, kindOperation, body)
		}
		if p.position.sequence != before || p.jobs["job"].digest() != digest || c.appendedRecords != appended {
			t.Errorf("an operation out of order was applied: up to %d, %d before", p.position.sequence, before)
		}
		for _, session := range []uint64{p.session - 1, p.session + 1} {
			body := append(encodeNumbers(p.index, led.primary.term, session, before+1), result...)
			c.handleStoreMessage(p.followedPrimary, kindOperation, body)
		}
		next := append(encodeNumbers(p.index, led.primary.term, p.session, before+1), result...)
		c.handleStoreMessage(&recordingPipe{}, kindOperation, next)
		if p.position.sequence != before || p.jobs["job"].digest() != digest || c.appendedRecords != appended {
			t.Errorf("an operation of another session or link was applied: up to %d, %d before", p.position.sequence, before)
		}
	}
	if replicas == 0 {
		t.Error("the partition has no other replicas")
	}
}
