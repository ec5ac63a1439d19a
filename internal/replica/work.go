package replica

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/fleet"
	"dunetide/internal/journal"
	"dunetide/internal/lease"
	"dunetide/policy"
)

// Work is a log that this node works on, or would: its own, or one that it has taken over.
type Work struct {
	k       *Keeper
	owner   string
	own     bool
	folder  string // of one that was taken over
	journal *journal.Journal

	mu       sync.Mutex // over what follows; never held while the journal is called
	key      string
	log      uint64
	place    ownMeta // of the own log
	lease    *lease.Lease
	source   *Source
	acting   bool
	settled  bool // the log of the leases has who holds the copies under this token
	mine     bool // it has that this node works on the log, and nobody had it in between
	behind   bool // the folder may lack what copies have
	wake     chan struct{}
	waiting  []copyWaiter
	lagSince time.Duration // since when the lag has been over its bound; 0: it is not
	why      string
	over     journal.IDRing // of messages of this log for which nothing is owed any more
	// inherited says that the own log knows what is over of this one.
	inherited bool
	since0    time.Duration // since when it is asked in vain who has gone on with the log
	doubted   int           // messages that count as may have run, as nothing proved that they had not
}

type copyWaiter struct {
	version uint64
	least   int
	done    chan error
}

func (k *Keeper) newWork(owner string, log uint64, j *journal.Journal, place ownMeta) *Work {
	return &Work{k: k, key: key(owner, log), owner: owner, log: log, own: true, journal: j, place: place,
		source: k.newSource(owner, log), over: journal.NewIDRing(maxGone), wake: make(chan struct{}, 1)}
}

// begin tells the source all that the journal has, and of what is over.
func (w *Work) begin() {
	over := w.journal.OverIDs()
	w.mu.Lock()
	for _, id := range over {
		w.over.Add(id)
		w.source.Over(0, id, w.k.o.Clock())
	}
	w.mu.Unlock()
	w.journal.Watch(w)
}

// knows tells whether a message is in this log, or was and is over.
func (w *Work) knows(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over.Has(id) || w.source.has(id)
}

func (k *Keeper) newSource(owner string, log uint64) *Source {
	return NewSource(owner, log, k.o.Copies, time.Duration(k.o.Settings.ScrubS*float64(time.Second)))
}

// name is the log's number and key, which are another's once it was begun anew.
func (w *Work) name() (log uint64, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log, w.key
}

func (w *Work) rouse() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Journal is where the log lies.
func (w *Work) Journal() *journal.Journal { return w.journal }

// entryOf is a message as copies have it.
func entryOf(m *journal.Message) Entry {
	t := Tenure{Attempts: m.Past.Attempts, Settled: m.Past.Settled, Out: m.Past.Out, MayRun: m.Past.MayRun, RanZone: m.Past.RanZone}
	if m.Past.MayRun {
		t.RanAt = m.Past.RanAt.UnixMicro()
	}
	if m.Notice != nil {
		t.End, t.RetryMs = GivenUp, m.Notice.RetryInMs
		if m.Notice.HandedBack() {
			t.End = HandedBack
		}
	}
	return Entry{Seq: uint64(m.Seq), ID: m.ID, Key: m.Key, Class: m.Class, Dest: m.Dest, Deadline: m.Deadline.UnixMicro(),
		Body: m.Body, Tenures: []Tenure{t}}
}

// message is an entry as its next holder goes on with it.
func (e Entry) message() *journal.Message {
	p := e.Past()
	m := &journal.Message{Seq: policy.MessageID(e.Seq), ID: e.ID, Key: e.Key, Class: e.Class, Dest: e.Dest,
		Deadline: time.UnixMicro(e.Deadline), Body: e.Body,
		Past: journal.Past{Attempts: p.Attempts, Settled: p.MayRun, MayRun: p.MayRun, RanZone: p.RanZone}}
	if p.MayRun {
		m.Past.RanAt = time.UnixMicro(max(p.RanAt, 1))
	}
	if p.End != Runs {
		m.Notice = journal.NewNotice(e.ID, p.End == HandedBack, time.Duration(p.RetryMs)*time.Millisecond)
	}
	return m
}

// doubt makes a message count as possibly run.
func doubt(m *journal.Message) {
	m.Past.Attempts, m.Past.Settled = max(m.Past.Attempts, 1), true
	if !m.Past.MayRun {
		m.Past.MayRun, m.Past.RanAt = true, time.UnixMicro(1)
	}
}

// Changed is journal.Watcher's, as the next two.
func (w *Work) Changed(m *journal.Message) {
	w.mu.Lock()
	w.source.Change(entryOf(m), w.k.o.Clock())
	w.mu.Unlock()
	w.rouse()
}

// Over is journal.Watcher's.
func (w *Work) Over(m *journal.Message) {
	w.mu.Lock()
	w.over.Add(m.ID)
	w.source.Over(uint64(m.Seq), m.ID, w.k.o.Clock())
	w.mu.Unlock()
	w.rouse()
}

// Ordered is journal.Watcher's.
func (w *Work) Ordered(out []string) {
	w.mu.Lock()
	w.source.Order(out)
	w.mu.Unlock()
	w.rouse()
}

// before tells whether a message is taken on, and a charge sent, only when copies have it.
func (k *Keeper) before() bool { return k.o.Settings.Mode == fleet.CopyBefore }

// MaySend tells whether this node may begin something for the log that takes so long at most. It looks
// at the clock each time: a process that stood still finds that the lease has run out.
func (w *Work) MaySend(longest time.Duration) bool {
	w.mu.Lock()
	acting, l := w.acting, w.lease
	token := w.source.token
	w.mu.Unlock()
	if !acting || l == nil {
		return false
	}
	have, left := l.Held()
	return have == token && left > longest
}

// Lost is closed when the log's lease is not held, or no longer.
func (w *Work) Lost() <-chan struct{} {
	w.mu.Lock()
	l := w.lease
	w.mu.Unlock()
	if l == nil {
		return closed
	}
	return l.Lost()
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Ready tells whether a message may be taken on: in the mode before, only with the copies that staff
// asked for in reach, unless they said to go on without.
func (w *Work) Ready() error {
	if !w.k.before() || w.k.o.Settings.Short == fleet.GoOn {
		return nil
	}
	if !w.MaySend(0) {
		return ErrNotOurs
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, copies := w.source.Copied(); !w.settled || copies < w.k.o.Copies {
		return fmt.Errorf("%w: %d of %d", ErrShort, copies, w.k.o.Copies)
	}
	return nil
}

// Copied waits until the copies have all that was written so far, in the mode before, so many of them at
// least unless staff said to go on without; in the other mode it does not wait. Errors: ErrShort, ErrNotOurs,
// the context's.
func (w *Work) Copied(ctx context.Context, least int) error {
	if !w.k.before() {
		return nil
	}
	w.mu.Lock()
	wait := copyWaiter{w.source.version, least, make(chan error, 1)}
	done, err := w.enough(wait)
	if done || err != nil {
		w.mu.Unlock()
		return err
	}
	w.waiting = append(w.waiting, wait)
	w.mu.Unlock()
	w.rouse()
	select {
	case err := <-wait.done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("waiting for the copies: %w", ctx.Err())
	}
}

// enough tells whether the copies that count have a version, and are as many as they have to be.
func (w *Work) enough(wait copyWaiter) (bool, error) {
	if !w.settled {
		return false, nil // who they are is being settled
	}
	at, copies := w.source.Copied()
	if copies < wait.least && w.k.o.Settings.Short != fleet.GoOn {
		return false, fmt.Errorf("%w: %d of %d", ErrShort, copies, wait.least)
	}
	return at >= wait.version, nil
}

// answer lets those go on whose versions the copies have; w.mu is held.
func (w *Work) answer() {
	left := w.waiting[:0]
	for _, wait := range w.waiting {
		if done, err := w.enough(wait); done || err != nil {
			wait.done <- err
		} else {
			left = append(left, wait)
		}
	}
	clear(w.waiting[len(left):])
	w.waiting = left
}

// run works on the log under its lease, again and again, until the context ends or the log is done.
func (w *Work) run(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := w.wanted(ctx)
		if err != nil {
			return
		}
		if !w.runUnder(ctx, l) {
			return
		}
	}
}

// runUnder works on the log for as long as its lease can be had; again: this node has begun another.
func (w *Work) runUnder(ctx context.Context, l *lease.Lease) (again bool) {
	w.mu.Lock()
	w.lease = l
	w.mu.Unlock()
	for ctx.Err() == nil {
		token, elsewhere := w.await(ctx, l)
		if ctx.Err() != nil {
			break
		}
		var n note
		var end held
		if elsewhere == "" {
			n, end = w.hold(ctx, l, token)
		} else {
			n.Writer, end = elsewhere, isElsewhere
		}
		switch end {
		case isDone:
			return false
		case isElsewhere:
			w.stop("the log is another node's")
			if !w.own {
				l.GiveBack(ctx)
				w.abandon()
				return false
			}
			if w.renew(ctx, n, elsewhere != "") {
				l.GiveBack(ctx) // its note stays: a holder of an old copy must see that the log is done
				return true
			}
			pause(ctx, settleTime/4)
		default:
			w.stop("the lease of the log was lost")
		}
	}
	w.stop("this node has no part in its fleet")
	w.mu.Lock()
	w.lease = nil
	w.mu.Unlock()
	// Renewed no more, and not given back: what this process has out may go on until it runs out.
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	l.GiveBack(gone)
	return false
}

// held is how a tenure ended.
type held int

const (
	isLost held = iota
	isDone
	isElsewhere
)

// await waits until the lease is held, or another node holds it, as whoever takes a log over does.
func (w *Work) await(ctx context.Context, l *lease.Lease) (token uint64, elsewhere string) {
	for ctx.Err() == nil {
		some, cancel := context.WithTimeout(ctx, time.Second)
		token, err := l.Wait(some)
		cancel()
		if err == nil {
			return token, ""
		}
		if holder := l.Holder(); holder != "" && holder != w.k.o.Name {
			return 0, holder
		}
	}
	return 0, ""
}

// wanted asks for the log's lease.
func (w *Work) wanted(ctx context.Context) (*lease.Lease, error) {
	length := time.Duration(w.k.o.Settings.LeaseS * float64(time.Second))
	for {
		_, key := w.name()
		l, err := w.k.o.Leases.Want("log/"+key, length)
		if err == nil {
			l.Succeed(w.k.own.since())
			return l, nil
		}
		w.mu.Lock()
		w.why = err.Error()
		w.mu.Unlock()
		if !pause(ctx, time.Second) { // another session's has not ended yet
			return nil, err
		}
	}
}

// since is the first incarnation in this place, of the own log: whoever had a log's lease under a later
// one was this process, or one that has ended, as this one has its folder's lock.
func (w *Work) since() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.place.Since
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Work) fail(err error) {
	w.k.o.Log.Error("copies: a log is not worked on", "owner", w.owner, "err", err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.why = err.Error()
}

// stop ends what is done under the lease.
func (w *Work) stop(why string) {
	w.mu.Lock()
	was := w.acting
	w.acting, w.settled, w.mine, w.why = false, false, false, why
	w.answerAll(ErrNotOurs)
	w.mu.Unlock()
	if was {
		w.k.o.Log.Warn("copies: a log rests", "owner", w.owner, "why", why)
		w.k.o.Host.Acts(w, false)
	}
}

func (w *Work) answerAll(err error) {
	for _, wait := range w.waiting {
		wait.done <- err
	}
	w.waiting = nil
}

// hold is one tenure of the log, from what the last holder has left to the loss of the lease.
func (w *Work) hold(ctx context.Context, l *lease.Lease, token uint64) (note, held) {
	k := w.k
	n, noted := readNote(l.Note())
	if noted && (n.Writer != k.o.Name || n.Done) && !w.isSettled() {
		return n, isElsewhere
	}
	life, end := context.WithCancel(ctx)
	defer end()
	lost := l.Lost()
	go func() { // it ends with the tenure
		select {
		case <-lost:
			end()
		case <-life.Done():
		}
	}()
	w.mu.Lock()
	w.source.Begin(token, k.o.Clock())
	// A folder in another place may be from before what was done last, and so is one that others know to be
	// old, or that is damaged. A note that is gone was forgotten, or agreed on in a log that is void.
	behind := w.own && (w.behind || w.place.Since == 0 && noted || w.place.Noted && !noted)
	w.mu.Unlock()
	if behind {
		if err := w.catchUp(life, n); err != nil {
			w.stop(err.Error())
			pause(life, time.Second)
			return n, isLost
		}
	}
	if w.own {
		if err := w.keepPlace(true); err != nil {
			w.fail(err)
			pause(life, time.Second)
			return n, isLost
		}
		l.Succeed(w.since())
	}
	if !noted || n.Writer != k.o.Name {
		// Whoever takes it over from here on must know that this node has acted.
		if err := w.leave(life, l, token, note{Writer: k.o.Name, Token: token}, false); err != nil {
			w.stop(err.Error())
			return n, isLost
		}
	}
	w.mu.Lock()
	w.acting, w.why, w.behind = true, "", false
	w.mu.Unlock()
	log, _ := w.name()
	k.o.Log.Info("copies: a log is worked on", "owner", w.owner, "log", fmt.Sprintf("%016x", log), "token", token)
	k.o.Host.Acts(w, true)
	return n, w.follow(life, l, token)
}

// isSettled tells that this node has just noted the log as its own.
func (w *Work) isSettled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mine
}

// leave notes who holds the copies that count.
func (w *Work) leave(ctx context.Context, l *lease.Lease, token uint64, n note, settled bool) error {
	text, err := encoding.Marshal(n)
	if err == nil {
		err = l.SetNote(ctx, token, text)
	}
	if err != nil {
		return fmt.Errorf("noting who holds copies: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.source.Note(n.Holders, w.k.o.Clock())
	w.mine, w.settled = true, w.settled || settled
	w.answer()
	return nil
}

// follow brings the copies what changes, until the lease is lost.
func (w *Work) follow(ctx context.Context, l *lease.Lease, token uint64) held {
	var telling sync.WaitGroup
	defer telling.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	planned := make(chan error, 1)
	planning := false
	began := w.k.o.Clock()
	chosen := began - stepEvery
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for ctx.Err() == nil {
		now := w.k.o.Clock()
		if now-chosen >= stepEvery { // a change of a message changes no members
			chosen = now
			log, _ := w.name()
			candidates := w.k.candidates(w.owner, log)
			w.mu.Lock()
			w.source.Choose(candidates, now)
			w.mu.Unlock()
		}
		w.mu.Lock()
		for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
			b := w.source.Next(name, now)
			if b == nil {
				continue
			}
			telling.Go(func() { w.tell(ctx, name, b) })
		}
		holders, change := w.source.Plan(now)
		if !w.settled && !change && now-began > settleTime {
			change = true // there are none, and that has to be known
		}
		found, fenced := w.source.Found, w.source.fenced
		w.source.Found = nil
		w.watchLag(now)
		w.answer()
		w.mu.Unlock()
		if fenced != 0 {
			w.stop(ErrFenced.Error())
			pause(ctx, time.Second)
			return isLost
		}
		w.settleFound(found, false)
		if change && !planning {
			planning = true
			telling.Go(func() {
				planned <- w.leave(ctx, l, token, note{Writer: w.k.o.Name, Token: token, Holders: holders}, true)
			})
		}
		if !w.own && !planning && w.journal.Status().Live == 0 && now-began > BeatEvery { // no other note comes after this
			if w.finish(ctx, l, token) {
				return isDone
			}
		}
		select {
		case err := <-planned:
			planning = false
			if err != nil {
				w.k.o.Log.Warn("copies: who holds them is not noted", "owner", w.owner, "err", err)
			}
		case <-w.wake:
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	return isLost
}

func (w *Work) tell(ctx context.Context, to string, b *Batch) {
	within, cancel := context.WithTimeout(ctx, batchTime)
	a, err := w.k.tellBatch(within, to, b)
	cancel()
	now := w.k.o.Clock()
	w.mu.Lock()
	f := w.source.followers[to]
	silent := err != nil && f != nil && now-f.heardAt > holderPatience && ctx.Err() == nil
	w.mu.Unlock()
	if silent || err == nil && a.No != "" && a.Token == 0 {
		w.k.pass(to) // another can hold the copy meanwhile
	}
	w.mu.Lock()
	if err != nil {
		w.source.NoAnswer(to, b, err, now)
	} else {
		w.source.Answer(to, b, a, now)
	}
	w.answer()
	w.mu.Unlock()
	w.rouse()
}

// watchLag says when the copies fall too far behind, and when they have caught up; w.mu is held.
func (w *Work) watchLag(now time.Duration) {
	s := w.k.o.Settings
	changes, age := w.source.Lag(now)
	over := changes > uint64(s.LagMost) || age > time.Duration(s.LagMs*float64(time.Millisecond)) || len(w.source.noted) < w.k.o.Copies
	switch {
	case over && w.lagSince == 0:
		w.lagSince = max(now, 1)
		w.k.o.Log.Warn("copies: they lack more than staff allow: what this node has taken on may be lost with it",
			"owner", w.owner, "changes", changes, "oldest", age, "copies", len(w.source.noted), "wanted", w.k.o.Copies)
	case !over && w.lagSince != 0:
		w.k.o.Log.Info("copies: they are as staff want them", "owner", w.owner, "after", now-w.lagSince)
		w.lagSince = 0
	}
}

// settleFound goes on with messages that only a copy had: they were lost here, or their end was. Proven:
// the copies have all that was done to them.
func (w *Work) settleFound(found []Entry, proven bool) {
	for _, e := range found {
		if w.k.o.Host.Knows(e.ID) {
			w.mu.Lock()
			w.source.Over(e.Seq, e.ID, w.k.o.Clock()) // under that number
			w.mu.Unlock()
			continue
		}
		m := e.message()
		if w.k.o.Host.Once(m.Class) && m.Notice == nil && !proven {
			doubt(m) // it was over here, or lost with what was done to it
		}
		if err := w.journal.Put(m); err != nil {
			w.k.o.Log.Error("copies: a message that only a copy has", "id", m.ID, "err", err)
			continue
		}
		w.Changed(m)
		w.k.o.Log.Warn("copies: a message that only a copy had", "id", m.ID, "attempts", m.Past.Attempts)
		w.k.o.Host.Found(w, m)
	}
}

// keepPlace writes down whose log lies in the state folder, and where.
func (w *Work) keepPlace(noted bool) error {
	w.mu.Lock()
	was := w.place
	m := was
	m.Log, m.Noted = w.log, noted
	w.mu.Unlock()
	if m.Since == 0 {
		m.Since = w.k.o.Net.Self().Incarnation
	}
	if m == was {
		return nil
	}
	if err := saveMeta(w.k.o.Folders.Top(), ownName, m); err != nil {
		return fmt.Errorf("keeping whose log this is: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.place = m
	return nil
}

// everywhere asks all other members that are not gone, and waits for their answers or gatherTime.
func (k *Keeper) everywhere(ctx context.Context, ask func(ctx context.Context, name string)) {
	ctx, cancel := context.WithTimeout(ctx, gatherTime)
	defer cancel()
	var asking sync.WaitGroup
	for _, m := range k.o.Net.Members() {
		if m.Name != k.o.Name && !m.State.Gone() {
			asking.Go(func() { ask(ctx, m.Name) })
		}
	}
	asking.Wait()
}

// catchUp takes in what copies have of this node's own log that its folder may lack. Where none of those
// that count can be asked, and in the mode after, where they may lack it too, what may not be repeated
// counts as possibly run.
func (w *Work) catchUp(ctx context.Context, n note) error {
	log, _ := w.name()
	var mu sync.Mutex
	current := false
	over := map[string]bool{}
	copies := map[string]Entry{}
	patience := settleTime // a start has met nobody yet
	if len(n.Holders) > 0 {
		patience = writerTime
	}
	for began := w.k.o.Clock(); ; {
		w.k.everywhere(ctx, func(ctx context.Context, name string) {
			f, err := w.k.fetchAll(ctx, name, w.owner, log)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			current = current || f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)
			for _, id := range f.Over {
				over[id] = true
			}
			for _, e := range f.Entries {
				if old, there := copies[e.ID]; there {
					e = Merge(old, e)
				}
				copies[e.ID] = e
			}
		})
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if current || w.k.o.Clock()-began > patience {
			break
		}
		pause(ctx, settleTime/4)
	}
	var gone, doubted []*journal.Message
	for _, m := range w.journal.Owed() {
		switch e, there := copies[m.ID]; {
		case over[m.ID]:
			gone = append(gone, m)
		case w.runsOnce(m) && (!current || !w.k.before() || there && e.Past().MayRun && !w.mayHaveRun(m)):
			doubted = append(doubted, m)
		}
	}
	w.k.o.Log.Warn("copies: the folder may be behind", "owed", len(w.journal.Owed()), "copies have", len(copies), "over", len(gone),
		"in doubt", len(doubted), "a copy that counts was reached", current)
	w.k.o.Host.Forget(w, gone, doubted)
	here := map[string]bool{}
	for _, m := range w.journal.Owed() {
		here[m.ID] = true
	}
	// Whoever has what is not here may not be among those that hold the copies next.
	known := func(id string) bool { return over[id] || here[id] || w.k.o.Host.Knows(id) }
	w.settleFound(Union(known, slices.Collect(maps.Values(copies))), current && w.k.before())
	return nil
}

// runsOnce tells whether a message has no end yet and may not be repeated, and mayHaveRun whether it may
// have run: as the source has it, since the node may be at the message itself.
func (w *Work) runsOnce(m *journal.Message) bool {
	t, there := w.tenure(m)
	return there && t.End == Runs && w.k.o.Host.Once(m.Class)
}

func (w *Work) mayHaveRun(m *journal.Message) bool {
	t, _ := w.tenure(m)
	return t.MayRun || t.Out || t.Settled
}

func (w *Work) tenure(m *journal.Message) (t Tenure, there bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	el := w.source.items[uint64(m.Seq)]
	if el == nil {
		return t, false
	}
	return el.Value.(*item).entry.Tenures[0], true
}

// renew begins another log for this node, whose own was taken over: it keeps what no other has, or had.
// False: whoever has gone on with it can't be asked. While that node has the log's lease, it is waited for;
// else only for some time.
func (w *Work) renew(ctx context.Context, n note, held bool) bool {
	log, _ := w.name()
	live := w.journal.Owed()
	ids := make([]string, 0, len(live))
	for _, m := range live {
		ids = append(ids, m.ID)
	}
	var mu sync.Mutex
	known, answered := map[string]bool{}, map[string]bool{}
	w.k.everywhere(ctx, func(ctx context.Context, name string) {
		for some := range slices.Chunk(append(ids, ""), haveMost) { // one question at least
			yes, err := w.k.askHave(ctx, name, have{IDs: some, Owner: w.owner, Log: log})
			if err != nil {
				return
			}
			mu.Lock()
			for _, id := range yes {
				known[id] = true
			}
			mu.Unlock()
		}
		mu.Lock()
		answered[name] = true
		mu.Unlock()
	})
	w.mu.Lock()
	now := w.k.o.Clock()
	if w.since0 == 0 {
		w.since0 = now
	}
	waited := now - w.since0
	w.mu.Unlock()
	if ctx.Err() != nil || !answered[n.Writer] && (held || waited < writerTime) {
		return false // it may be at work on any of them, or knows what has become of them
	}
	var gone, doubted []*journal.Message
	for _, m := range live {
		switch {
		case known[m.ID]:
			gone = append(gone, m)
		case !answered[n.Writer] && w.runsOnce(m):
			doubted = append(doubted, m)
		}
	}
	w.k.o.Host.Forget(w, gone, doubted)
	w.k.mu.Lock()
	w.mu.Lock()
	delete(w.k.works, w.key)
	w.log = w.k.rand.Uint64() | 1
	w.key = key(w.owner, w.log)
	w.source, w.since0 = w.k.newSource(w.owner, w.log), 0
	w.k.works[w.key] = w
	next := w.log
	w.mu.Unlock()
	w.k.mu.Unlock()
	w.begin()
	w.k.o.Log.Warn("copies: this node's log was taken over, and another is begun", "by", n.Writer, "theirs", len(gone), "in doubt", len(doubted),
		"kept", len(live)-len(gone)-len(doubted), "log", fmt.Sprintf("%016x", next))
	if err := w.keepPlace(false); err != nil {
		w.fail(err) // hold writes it before anything is done
	}
	return true
}

// abandon gives up a log that was taken over here, and then by another.
func (w *Work) abandon() {
	w.k.o.Log.Warn("copies: a log that was taken over here is done, or another node's now", "owner", w.owner)
	w.k.o.Host.Forget(w, w.journal.Owed(), nil)
	if err := w.inherit(); err != nil {
		w.k.o.Log.Error("copies: what is over of a log is forgotten here", "owner", w.owner, "err", err)
	}
	w.remove()
}

// inherit keeps, in this node's own log and so in its copies, which messages of one that was taken over
// are over: its owner asks for them when it returns.
func (w *Work) inherit() error {
	w.mu.Lock()
	ids := w.over.IDs()
	done := w.inherited
	w.mu.Unlock()
	if done {
		return nil
	}
	own := w.k.own
	if err := own.journal.NoteOver(ids); err != nil {
		return fmt.Errorf("noting what is over: %w", err)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, id := range ids {
		own.over.Add(id)
		own.source.Over(0, id, w.k.o.Clock())
	}
	w.inherited = true // finish alone calls it again, from the same goroutine
	return nil
}

// finish ends a log that was taken over, when nothing is owed for it any more.
func (w *Work) finish(ctx context.Context, l *lease.Lease, token uint64) bool {
	if err := w.inherit(); err != nil {
		w.fail(err)
		return false
	}
	if err := w.leave(ctx, l, token, note{Writer: w.k.o.Name, Token: token, Done: true}, true); err != nil {
		w.k.o.Log.Warn("copies: a log that is worked off is not noted", "owner", w.owner, "err", err)
		return false
	}
	w.mu.Lock()
	w.source.wanted, w.source.noted = nil, nil
	var drops []func()
	for name, f := range w.source.followers {
		f.out, f.pauseTo = nil, 0
		if b := w.source.Next(name, w.k.o.Clock()); b != nil && b.Drop {
			drops = append(drops, func() { w.tell(ctx, name, b) })
		}
	}
	w.mu.Unlock()
	var told sync.WaitGroup
	for _, drop := range drops {
		told.Go(drop)
	}
	told.Wait()
	w.stop("")
	l.GiveBack(ctx)
	w.k.o.Log.Info("copies: a log is worked off", "owner", w.owner)
	w.remove()
	return true
}

// remove closes a log that was taken over and removes it.
func (w *Work) remove() {
	k := w.k
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.works, w.key)
	err := errors.Join(w.journal.Close(), k.o.Folders.Remove(w.folder))
	if err != nil {
		k.o.Log.Error("copies: removing a log", "folder", w.folder, "err", err)
	}
}

// workMeta says whose log lies in a folder.
type workMeta struct {
	Owner string `cbor:"1,keyasint"`
	Log   uint64 `cbor:"2,keyasint"`
	Token uint64 `cbor:"3,keyasint"` // under which it was taken over
}

// reopenWork goes on with a log that an earlier life of this node had taken over.
func (k *Keeper) reopenWork(name string) {
	folder, err := k.o.Folders.Open(name)
	var m workMeta
	if err == nil {
		err = loadMeta(folder, ownName, &m)
	}
	var w *Work
	if err == nil {
		w, err = k.openWork(name, folder, m)
	}
	if errors.Is(err, fs.ErrNotExist) { // it was not begun
		if err := k.o.Folders.Remove(name); err != nil {
			k.o.Log.Error("copies: removing", "folder", name, "err", err)
		}
		return
	}
	if err != nil {
		k.o.Log.Error("copies: a log that was taken over can't be opened", "folder", name, "err", err)
		return
	}
	k.works[w.key] = w
}

func (k *Keeper) openWork(name string, folder journal.Folder, m workMeta) (*Work, error) {
	j, _, err := journal.Open(journal.Options{Folder: folder, Limit: k.o.Limit, Base: k.base(), Sync: k.o.Sync, Now: k.o.Now, Log: k.o.Log})
	if err != nil {
		return nil, err
	}
	w := k.newWork(m.Owner, m.Log, j, ownMeta{})
	w.own, w.folder = false, name
	return w, nil
}

// base keeps the numbers of messages of different journals apart.
func (k *Keeper) base() policy.MessageID {
	k.adopted++
	return policy.MessageID(k.adopted+64) << 40
}

// Resume hands the host what it owes of logs that an earlier life had taken over.
func (k *Keeper) Resume() {
	k.mu.Lock()
	works := slices.Collect(maps.Values(k.works))
	k.mu.Unlock()
	for _, w := range works {
		if !w.own {
			w.begin()
			k.o.Host.Adopt(w, w.journal.Owed())
		}
	}
}

// takeOver takes over the log of a copy.
func (k *Keeper) takeOver(ctx context.Context, h *heldCopy, running *sync.WaitGroup) {
	defer func() {
		h.mu.Lock()
		h.taking = false
		h.mu.Unlock()
	}()
	h.mu.Lock()
	owner, log := h.copy.meta.Owner, h.copy.meta.Log
	h.mu.Unlock()
	id := key(owner, log)
	length := time.Duration(k.o.Settings.LeaseS * float64(time.Second))
	l, err := k.o.Leases.Want("log/"+id, length)
	if err != nil {
		k.o.Log.Debug("copies: taking a log over", "owner", owner, "err", err)
		pause(ctx, time.Second)
		return
	}
	keep := false
	defer func() {
		if !keep {
			l.GiveBack(ctx)
		}
	}()
	waits, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // its writer may be heard again
		for pause(waits, stepEvery) {
			h.mu.Lock()
			back := h.copy.gone || k.o.Clock()-h.copy.heard < BeatEvery
			h.mu.Unlock()
			if back {
				cancel()
			}
		}
	}()
	token, err := l.Wait(waits)
	if err != nil {
		return
	}
	n, noted := readNote(l.Note())
	if noted && n.Done {
		h.mu.Lock()
		err := h.drop()
		h.mu.Unlock()
		if err = errors.Join(err, k.forget(h, id)); err != nil {
			k.o.Log.Error("copies: dropping", "owner", owner, "err", err)
		}
		return
	}
	w, owed, orders, err := k.assemble(ctx, h, n, noted, token)
	if err != nil {
		k.o.Log.Error("copies: a log can't be taken over", "owner", owner, "err", err)
		pause(ctx, time.Second)
		return
	}
	if err := w.leave(ctx, l, token, note{Writer: k.o.Name, Token: token}, false); err != nil {
		k.o.Log.Error("copies: a log can't be taken over", "owner", owner, "err", err)
		w.remove()
		return
	}
	cancel()
	h.mu.Lock()
	err = h.drop()
	h.mu.Unlock()
	if err = errors.Join(err, k.forget(h, id)); err != nil {
		k.o.Log.Error("copies: dropping what was taken over", "owner", owner, "err", err)
	}
	k.o.Log.Warn("copies: a log was taken over", "owner", owner, "token", token, "owed", len(owed), "in doubt", w.doubted)
	w.begin()
	k.o.Host.Orders(orders)
	k.o.Host.Adopt(w, owed)
	keep = true
	// From here on the work renews the lease itself: it is the same wish.
	running.Go(func() { w.runUnder(ctx, l) })
}

// assemble makes a log of this node's copy and of all others that can be reached.
func (k *Keeper) assemble(ctx context.Context, h *heldCopy, n note, noted bool, token uint64) (w *Work, owed []*journal.Message, orders []string, err error) {
	h.mu.Lock()
	m := h.copy.meta
	mine := fetched{Token: m.Token, Complete: m.Complete, Entries: h.copy.Entries(), Over: h.copy.over.IDs(), Orders: m.Orders.Out}
	h.mu.Unlock()
	all := map[string]fetched{k.o.Name: mine}
	var mu sync.Mutex
	k.everywhere(ctx, func(ctx context.Context, name string) {
		f, err := k.fetchAll(ctx, name, m.Owner, m.Log)
		if err != nil {
			k.o.Log.Debug("copies: not fetched", "from", name, "err", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		all[name] = f
	})
	over := map[string]bool{}
	current := false
	var entries [][]Entry
	for name, f := range all {
		for _, id := range f.Over {
			over[id] = true
		}
		entries = append(entries, f.Entries)
		for _, o := range f.Orders {
			if !slices.Contains(orders, o) {
				orders = append(orders, o)
			}
		}
		// One that counted, and has lost nothing since, has all that the last holder acted on.
		current = current || noted && f.Complete && f.Token == n.Token && slices.Contains(n.Holders, name)
	}
	known := func(id string) bool { return over[id] || k.o.Host.Knows(id) }
	name := workFolder + key(m.Owner, m.Log)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.o.Folders.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil, err
	}
	folder, err := k.o.Folders.Open(name)
	if err != nil {
		return nil, nil, nil, err
	}
	if w, err = k.openWork(name, folder, workMeta{m.Owner, m.Log, token}); err != nil {
		return nil, nil, nil, err
	}
	for _, e := range Union(known, entries...) {
		msg := e.message()
		if k.o.Host.Once(msg.Class) && !(current && k.before()) && msg.Notice == nil && !msg.Past.MayRun {
			doubt(msg)
			w.doubted++
		}
		if err := w.journal.Put(msg); err != nil {
			return nil, nil, nil, errors.Join(err, w.journal.Close())
		}
		owed = append(owed, msg)
	}
	err = w.journal.NoteOver(slices.Sorted(maps.Keys(over)))
	if err == nil {
		err = w.journal.Sync()
	}
	if err != nil {
		return nil, nil, nil, errors.Join(err, w.journal.Close())
	}
	if err := saveMeta(folder, ownName, workMeta{m.Owner, m.Log, token}); err != nil {
		return nil, nil, nil, errors.Join(err, w.journal.Close())
	}
	k.works[w.key] = w
	return w, owed, orders, nil
}

// fetchAll fetches a copy from another node.
func (k *Keeper) fetchAll(ctx context.Context, from, owner string, log uint64) (all fetched, err error) {
	for {
		body, err := encoding.Marshal(fetch{owner, log, len(all.Entries)})
		if err != nil {
			return all, err
		}
		text, err := k.o.Net.Ask(ctx, from, kindFetch, body)
		if err != nil {
			return all, err
		}
		var page fetched
		if err := decoding.Unmarshal(text, &page); err != nil {
			return all, fmt.Errorf("unreadable: %w", err)
		}
		if len(all.Entries) == 0 {
			all = page
		} else {
			all.Entries = append(all.Entries, page.Entries...)
		}
		if !page.More {
			return all, nil
		}
	}
}

// Status is how copies look from one node, for the staff.
type Status struct {
	Mode    string       `json:"mode"`
	Wanted  int          `json:"copies_wanted"`
	Works   []WorkStatus `json:"logs"`
	Copies  []CopyStatus `json:"copies_held"`
	Slots   int          `json:"room_for"`
	Missing []string     `json:"silent_members"` // others' copies are asked for their ids
	// Known is how many nodes are known to have the messages of each of these.
	Known map[string]int `json:"silent_members_copies"`
}

// WorkStatus is a log that this node works on.
type WorkStatus struct {
	Owner   string           `json:"owner"`
	Log     string           `json:"log"`
	Own     bool             `json:"own"`
	Acting  bool             `json:"acting"`
	Why     string           `json:"why,omitempty"` // it is not
	Token   uint64           `json:"token"`
	LeaseS  float64          `json:"lease_left_s"`
	Live    int              `json:"owed"`
	Doubted int              `json:"in_doubt"`
	Holders []string         `json:"copies_at"` // those that count
	Changes uint64           `json:"lag_changes"`
	LagMs   float64          `json:"lag_ms"`
	Promise bool             `json:"promise_holds"` // the copies are as many, and as new, as staff want
	Stats   SourceStats      `json:"since_start"`
	Told    []FollowerStatus `json:"told"`
}

// FollowerStatus is one of its copies.
type FollowerStatus struct {
	Name     string  `json:"name"`
	Complete bool    `json:"complete"`
	Behind   uint64  `json:"behind"`
	Heard    float64 `json:"heard_s"`
	Why      string  `json:"why,omitempty"`
}

// CopyStatus is a copy that this node holds.
type CopyStatus struct {
	Owner    string  `json:"owner"`
	Log      string  `json:"log"`
	Writer   string  `json:"writer"`
	Token    uint64  `json:"token"`
	Entries  int     `json:"messages"`
	Bytes    int64   `json:"bytes"`
	Complete bool    `json:"complete"`
	Silent   float64 `json:"silent_s"`
	Same     float64 `json:"compared_s,omitempty"` // so long ago it was found to be as its writer's
	Taking   bool    `json:"being_taken_over"`
}

// Status tells all of it.
func (k *Keeper) Status() Status {
	s := Status{Mode: k.o.Settings.Mode, Wanted: k.o.Copies, Works: []WorkStatus{}, Copies: []CopyStatus{}, Slots: k.o.Slots, Missing: []string{}, Known: map[string]int{}}
	k.mu.Lock()
	works, held := slices.Collect(maps.Values(k.works)), slices.Collect(maps.Values(k.copies))
	s.Missing = append(s.Missing, slices.Sorted(maps.Keys(k.missing))...)
	for name, m := range k.missing {
		s.Known[name] = len(m.holders)
	}
	k.mu.Unlock()
	now := k.o.Clock()
	for _, w := range works {
		s.Works = append(s.Works, w.status(now))
	}
	for _, h := range held {
		h.mu.Lock()
		c := h.copy
		cs := CopyStatus{Owner: c.meta.Owner, Log: fmt.Sprintf("%016x", c.meta.Log), Writer: h.writer, Token: c.meta.Token,
			Entries: len(c.entries), Bytes: c.journal.Status().Bytes, Complete: c.meta.Complete, Silent: (now - c.heard).Seconds(), Taking: h.taking}
		if c.whole > 0 {
			cs.Same = (now - c.whole).Seconds()
		}
		h.mu.Unlock()
		s.Copies = append(s.Copies, cs)
	}
	slices.SortFunc(s.Works, func(a, b WorkStatus) int { return strings.Compare(a.Owner+a.Log, b.Owner+b.Log) })
	slices.SortFunc(s.Copies, func(a, b CopyStatus) int { return strings.Compare(a.Owner+a.Log, b.Owner+b.Log) })
	return s
}

func (w *Work) status(now time.Duration) WorkStatus {
	live := w.journal.Status().Live
	w.mu.Lock()
	defer w.mu.Unlock()
	s := WorkStatus{Owner: w.owner, Log: fmt.Sprintf("%016x", w.log), Own: w.own, Acting: w.acting, Why: w.why, Token: w.source.token,
		Live: live, Doubted: w.doubted, Holders: append([]string{}, w.source.noted...), Promise: w.acting && w.lagSince == 0, Stats: w.source.stats,
		Told: []FollowerStatus{}}
	if w.lease != nil {
		_, left := w.lease.Held()
		s.LeaseS = left.Seconds()
	}
	changes, age := w.source.Lag(now)
	s.Changes, s.LagMs = changes, float64(age.Microseconds())/1000
	for _, name := range slices.Sorted(maps.Keys(w.source.followers)) {
		f := w.source.followers[name]
		s.Told = append(s.Told, FollowerStatus{name, f.complete, w.source.version - min(f.at, w.source.version), (now - f.heardAt).Seconds(), f.why})
	}
	return s
}
