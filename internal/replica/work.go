package replica

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dunetide/internal/journal"
	"dunetide/internal/lease"
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
