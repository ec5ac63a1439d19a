package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
)

// Work is a log that this node works on when it holds the log's lease: its own, or one that it has taken over. It is safe for
// concurrent use.
type Work struct {
	keeper  *Keeper
	owner   string
	own     bool
	folder  string // of a log that was taken over
	journal *journal.Journal

	mu       sync.Mutex // guards the following; never held while the journal is called
	key      string
	log      uint64
	place    ownMeta // what is stored of the own log
	lease    *lease.Lease
	source   *Source
	acting   bool
	resolved bool // the lease's note names the holders of the copies under this token
	mine     bool // the note names this node, and no other node has held the lease since
	behind   bool // the folder may lack entries that copies have
	wake     chan struct{}
	waiting  []copyWaiter
	lagSince time.Duration // since when the lag has exceeded its bound, 0 if it does not
	why      string
	over     *journal.IDRing // ids of the messages of this log that have ended
	// inherited is set once the node's own log has recorded the ids in over.
	inherited bool
	askedFrom time.Duration // since when the node that took the log over has not answered, 0 if it is not asked
	doubted   int           // number of messages that count as possibly run because nothing proves the opposite
}

// newWork returns the work on a log of this node; openWork adapts it for a log that was taken over.
func (k *Keeper) newWork(owner string, log uint64, j *journal.Journal, place ownMeta) *Work {
	return &Work{keeper: k, key: key(owner, log), owner: owner, log: log, own: true, journal: j, place: place,
		source: k.newSource(owner, log), over: journal.NewIDRing(maxEnded), wake: make(chan struct{}, 1)}
}

// begin passes all messages of the journal, and the ids of those that have ended, to the source.
func (w *Work) begin() {
	over := w.journal.EndedIDs()
	w.mu.Lock()
	for _, id := range over {
		w.over.Add(id)
		w.source.Over(0, id, w.keeper.options.Clock())
	}
	w.mu.Unlock()
	w.journal.Watch(w)
}

// knows reports whether a message is in this log, or was and has ended.
func (w *Work) knows(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over.Has(id) || w.source.has(id)
}

// newSource returns an empty source with the configured number of copies.
func (k *Keeper) newSource(owner string, log uint64) *Source {
	return NewSource(owner, log, k.options.Copies, time.Duration(k.options.Settings.ScrubS*float64(time.Second)))
}

// name returns the log's number and key, which change in beginAnew.
func (w *Work) name() (log uint64, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log, w.key
}

// wakeUp wakes follow.
func (w *Work) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Journal returns the journal of the log.
func (w *Work) Journal() *journal.Journal { return w.journal }

// run works on the log whenever this node holds its lease, until the context ends or all messages of the log have ended.
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

// runUnder works on the log as long as its lease can be obtained. It returns true if a new log was begun under another
// number.
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
		var end tenureEnd
		if elsewhere == "" {
			n, end = w.workUnder(ctx, l, token)
		} else {
			n.Writer, end = elsewhere, heldElsewhere
		}
		switch end {
		case logDone:
			return false
		case heldElsewhere:
			w.stop("the log is another node's")
			if !w.own {
				l.Release(ctx)
				w.abandon()
				return false
			}
			if w.renew(ctx, n, elsewhere != "") {
				l.Release(ctx) // the note stays in the lease, so that a node with an old copy learns that the log is done
				return true
			}
			pause(ctx, convergenceTime/4)
		default:
			w.stop("the lease of the log was lost")
		}
	}
	w.stop("this node has no part in its fleet")
	w.mu.Lock()
	w.lease = nil
	w.mu.Unlock()
	// The lease is not released but expires: calls of this process may continue until then.
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	l.Release(gone)
	return false
}

// tenureEnd is the reason why a tenure ended.
type tenureEnd int

const (
	leaseLost     tenureEnd = iota // the lease was lost
	logDone                        // all messages of the log have ended
	heldElsewhere                  // another node works on the log
)

// await waits until this node holds the lease or another node does. It returns the token, or the other node's name.
func (w *Work) await(ctx context.Context, l *lease.Lease) (token uint64, elsewhere string) {
	for ctx.Err() == nil {
		some, cancel := context.WithTimeout(ctx, time.Second)
		token, err := l.Wait(some)
		cancel()
		if err == nil {
			return token, ""
		}
		if holder := l.Holder(); holder != "" && holder != w.keeper.options.Name {
			return 0, holder
		}
	}
	return 0, ""
}

// wanted requests the log's lease. It retries until the request is accepted or the context ends.
func (w *Work) wanted(ctx context.Context) (*lease.Lease, error) {
	length := time.Duration(w.keeper.options.Settings.LeaseS * float64(time.Second))
	for {
		_, key := w.name()
		l, err := w.keeper.options.Leases.Want("log/"+key, length)
		if err == nil {
			l.Succeed(w.keeper.own.since())
			return l, nil
		}
		w.mu.Lock()
		w.why = err.Error()
		w.mu.Unlock()
		if !pause(ctx, time.Second) { // an earlier Lease of this name has not ended yet
			return nil, err
		}
	}
}

// since returns the first incarnation that used the state folder in this place. A later incarnation that holds a log's lease
// is this process or one that has ended, because this process holds the folder's lock.
func (w *Work) since() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.place.Since
}

// pause waits for a time and returns false if the context ends first.
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

// fail records why the log is not worked on.
func (w *Work) fail(err error) {
	w.keeper.options.Log.Error("copies: work on a log failed", "owner", w.owner, "err", err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.why = err.Error()
}

// stop ends the work under the lease.
func (w *Work) stop(why string) {
	w.mu.Lock()
	was := w.acting
	w.acting, w.resolved, w.mine, w.why = false, false, false, why
	w.answerAll(ErrLeaseNotHeld)
	w.mu.Unlock()
	if was {
		w.keeper.options.Log.Warn("copies: work on a log stopped", "owner", w.owner, "why", why)
		w.keeper.options.Host.Acts(w, false)
	}
}

// workUnder works on the log under a token until the lease is lost. It starts from the note of the last holder, which it
// returns.
func (w *Work) workUnder(ctx context.Context, l *lease.Lease, token uint64) (note, tenureEnd) {
	k := w.keeper
	n, noted := readNote(l.Note())
	if noted && (n.Writer != k.options.Name || n.Done) && !w.isResolved() {
		return n, heldElsewhere
	}
	life, end := context.WithCancel(ctx)
	defer end()
	lost := l.Lost()
	go func() { // ends with the tenure
		select {
		case <-lost:
			end()
		case <-life.Done():
		}
	}()
	w.mu.Lock()
	w.source.Begin(token, k.options.Clock())
	// A folder in another place may be out of date, and so may one that is damaged or whose recorded start is older than other
	// nodes have seen. A missing note was dropped, or was committed in an epoch that is void.
	behind := w.own && (w.behind || w.place.Since == 0 && noted || w.place.Noted && !noted)
	w.mu.Unlock()
	if behind {
		if err := w.catchUp(life, n); err != nil {
			w.stop(err.Error())
			pause(life, time.Second)
			return n, leaseLost
		}
	}
	if w.own {
		if err := w.savePlace(true); err != nil {
			w.fail(err)
			pause(life, time.Second)
			return n, leaseLost
		}
		l.Succeed(w.since())
	}
	if !noted || n.Writer != k.options.Name {
		// The note must tell the next holder that this node has worked on the log.
		if err := w.setNote(life, l, token, note{Writer: k.options.Name, Token: token}, false); err != nil {
			w.stop(err.Error())
			return n, leaseLost
		}
	}
	w.mu.Lock()
	w.acting, w.why, w.behind = true, "", false
	w.mu.Unlock()
	log, _ := w.name()
	k.options.Log.Info("copies: work on a log started", "owner", w.owner, "log", fmt.Sprintf("%016x", log), "token", token)
	k.options.Host.Acts(w, true)
	return n, w.follow(life, l, token)
}

// isResolved reports whether the note names this node and no other node has held the lease since.
func (w *Work) isResolved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mine
}

// setNote stores a note in the lease, and makes its holders the copies that count. If settled is set, the holders are final.
func (w *Work) setNote(ctx context.Context, l *lease.Lease, token uint64, n note, settled bool) error {
	text, err := encoding.Marshal(n)
	if err == nil {
		err = l.SetNote(ctx, token, text)
	}
	if err != nil {
		return fmt.Errorf("noting who holds copies: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.source.Note(n.Holders, w.keeper.options.Clock())
	w.mine, w.resolved = true, w.resolved || settled
	w.answer()
	return nil
}
