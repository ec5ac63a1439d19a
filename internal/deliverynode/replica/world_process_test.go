package replica

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/deliverynode/lease"
	"dunetide/policy"
)

// wproc is a process of a node.
type wproc struct {
	n           *wnode
	incarnation uint64
	start       time.Time
	life        context.Context
	kill        context.CancelFunc
	running     sync.WaitGroup
	news        map[string]fleet.UpdateFunc
	asks        map[string]fleet.AskFunc
	changes     []func(fleet.Change)
	keeper      *Keeper
	leases      *lease.Leases
	journal     *journal.Journal

	mu    sync.Mutex
	seen  map[string]fleet.State
	held  map[string]*wheld // by id
	over  map[string]bool
	works map[*journal.Journal]*Work
	todo  []func()
	acts  map[*Work]bool // used only by serve
}

type wheld struct {
	m   *journal.Message
	out bool
}

// Self implements fleet.Net, as the following methods do.
func (p *wproc) Self() fleet.Member {
	return fleet.Member{Record: fleet.Record{Name: p.n.name, Incarnation: p.incarnation}, State: fleet.Alive, Heard: true}
}

func (p *wproc) Members() (all []fleet.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.n.w.nodes {
		if n == p.n {
			all = append(all, p.Self())
		} else if s := p.seen[n.name]; s != "" {
			p.n.w.mu.Lock()
			inc := n.incarnation
			p.n.w.mu.Unlock()
			all = append(all, fleet.Member{Record: fleet.Record{Name: n.name, Incarnation: inc}, State: s})
		}
	}
	return all
}

func (p *wproc) Count() int { return len(p.n.w.nodes) }

// networkDelay returns a random network delay.
func (p *wproc) networkDelay() time.Duration {
	return time.Duration(1+p.n.w.draw(8)) * time.Millisecond
}

func (p *wproc) Tell(to, kind, key string, body []byte) error {
	other := p.n.w.named(to)
	if other == nil {
		return fleet.ErrUnknown
	}
	p.running.Go(func() {
		if !p.sleep(p.networkDelay()) || !p.n.w.reaches(p.n.i, other.i) {
			return
		}
		if q := other.alive(); q != nil && q.news[kind] != nil {
			q.news[kind](fleet.Peer{Name: p.n.name, Incarnation: p.incarnation}, key, 0, body)
		}
	})
	return nil
}

func (p *wproc) Ask(ctx context.Context, to, kind string, body []byte) ([]byte, error) {
	other := p.n.w.named(to)
	if other == nil {
		return nil, fleet.ErrUnknown
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
	}
	lost := func() ([]byte, error) {
		select {
		case <-ctx.Done():
		case <-p.life.Done():
		}
		return nil, fleet.ErrOutcomeUnknown
	}
	if !p.sleep(p.networkDelay()) || !p.n.w.reaches(p.n.i, other.i) {
		return lost()
	}
	q := other.alive()
	if q == nil {
		return nil, fleet.ErrNotSent
	}
	answer := q.asks[kind]
	if answer == nil {
		return nil, fleet.AnswerError("no handler for " + kind)
	}
	out, err := answer(ctx, fleet.Peer{Name: p.n.name, Incarnation: p.incarnation}, body)
	if q.life.Err() != nil || !p.sleep(p.networkDelay()) || !p.n.w.reaches(other.i, p.n.i) {
		return lost()
	}
	if err != nil {
		return nil, fleet.AnswerError(err.Error())
	}
	return out, nil
}

func (p *wproc) OnUpdate(kind string, f fleet.UpdateFunc) { p.news[kind] = f }
func (p *wproc) OnAsk(kind string, f fleet.AskFunc)       { p.asks[kind] = f }
func (p *wproc) OnChange(f func(fleet.Change))            { p.changes = append(p.changes, f) }

// sleep waits, and returns false if the process has ended meanwhile.
func (p *wproc) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return p.life.Err() == nil
	case <-p.life.Done():
		return false
	}
}

// gossip is a simplified failure detector in place of memberlist: a member that is reachable is alive, one that has been
// unreachable for a second is suspect.
func (p *wproc) gossip() {
	since := map[string]time.Time{}
	for p.sleep(200 * time.Millisecond) {
		for _, n := range p.n.w.nodes {
			if n == p.n {
				continue
			}
			q := n.alive()
			p.n.w.mu.Lock()
			heard := q != nil && !p.n.w.cuts[[2]int{n.i, p.n.i}] && !p.n.w.cuts[[2]int{p.n.i, n.i}]
			removed := n.removed
			p.n.w.mu.Unlock()
			p.mu.Lock()
			was := p.seen[n.name]
			is := was
			switch {
			case heard:
				since[n.name], is = time.Now(), fleet.Alive
			case removed:
				is = fleet.Removed
			case was == fleet.Alive && time.Since(since[n.name]) > time.Second:
				is = fleet.Suspect
			}
			p.seen[n.name] = is
			p.mu.Unlock()
			if is != was {
				for _, hear := range p.changes {
					hear(fleet.Change{Name: n.name, From: was, To: is})
				}
			}
		}
	}
}

// Adopt implements Host, as the following methods do.
func (p *wproc) Adopt(wk *Work, owed []*journal.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.works[wk.Journal()] = wk
	for _, m := range owed {
		p.n.w.log("%s adopted by %s", m.ID, p.n.name)
		if old := p.held[m.ID]; old != nil && old.m != m {
			p.n.w.breaks("%s has %s twice", p.n.name, m.ID)
		}
		p.held[m.ID] = &wheld{m: m}
	}
}

func (p *wproc) Found(wk *Work, m *journal.Message) { p.Adopt(wk, []*journal.Message{m}) }

func (p *wproc) Forget(_ *Work, gone, doubted []*journal.Message) {
	p.later(func() {
		for _, m := range gone {
			p.n.w.log("%s belongs to another node, according to %s", m.ID, p.n.name)
			p.end(m, func() { _ = m.Home().Closed(m, "", time.Now()) })
		}
		for _, m := range doubted {
			_ = m.Home().Ended(m, journal.NewNotice(m.ID, false, 0))
		}
	})
}

// later queues a function for serve, which runs them in order, as a node's loop does.
func (p *wproc) later(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.todo = append(p.todo, do)
}

func (p *wproc) catchUp() {
	p.mu.Lock()
	todo := p.todo
	p.todo = nil
	p.mu.Unlock()
	for _, do := range todo {
		do()
	}
}

func (p *wproc) Acts(wk *Work, may bool) { p.later(func() { p.acts[wk] = may }) }
func (p *wproc) Orders([]string)         {}
func (p *wproc) RunsOnce(class int) bool { return class == 1 }
func (p *wproc) Knows(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[id] != nil || p.over[id]
}

// end removes a message that has ended.
func (p *wproc) end(m *journal.Message, write func()) {
	p.mu.Lock()
	if h := p.held[m.ID]; h != nil && h.m == m {
		delete(p.held, m.ID)
		p.over[m.ID] = true
	}
	p.mu.Unlock()
	write()
}

// handIn submits a client's message.
func (p *wproc) handIn(id string, once bool, life time.Duration) bool {
	elsewhere, err := p.keeper.Elsewhere(id)
	if elsewhere || p.Knows(id) {
		return true
	}
	if err != nil && once || p.keeper.Own().Ready() != nil {
		return false
	}
	class := 0
	if once {
		class = 1
	}
	m := &journal.Message{ID: id, Class: class, Deadline: time.Now().Add(life), Body: []byte(strings.Repeat("x", p.n.w.draw(300)))}
	if err := p.journal.Accept(m); err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(p.life, 300*time.Millisecond)
	defer cancel()
	if err := p.keeper.Own().AwaitCopies(ctx, p.n.w.o.copies); err != nil {
		_ = p.journal.Closed(m, "", time.Now())
		return false
	}
	if p.life.Err() != nil {
		return false
	}
	p.mu.Lock()
	p.held[id] = &wheld{m: m}
	p.mu.Unlock()
	return true
}

// serve works on the messages that the process holds.
func (p *wproc) serve() {
	for p.sleep(20 * time.Millisecond) {
		p.mu.Lock()
		var due []*wheld
		for _, h := range p.held {
			if !h.out {
				due = append(due, h)
			}
		}
		p.mu.Unlock()
		slices.SortFunc(due, func(a, b *wheld) int { return strings.Compare(a.m.ID, b.m.ID) })
		for _, h := range due {
			p.catchUp()
			p.step(h)
		}
		p.catchUp()
	}
}

func (p *wproc) work(m *journal.Message) *Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.works[m.Home()]
}

const lookTime = 50 * time.Millisecond

// step carries out the next step for a message: it ends the message or sends it.
func (p *wproc) step(h *wheld) {
	w, m := p.n.w, h.m
	wk := p.work(m)
	late := !time.Now().Before(m.Deadline)
	if m.Notice == nil && (late || m.Class == 1 && m.Past.MayRun && m.Past.Settled) {
		_ = m.Home().Ended(m, journal.NewNotice(m.ID, false, 0))
	}
	if m.Notice != nil {
		if !wk.MaySend(0) && !late {
			return
		}
		back := m.Notice.HandedBack() && wk.MaySend(0)
		ctx, cancel := context.WithTimeout(p.life, 300*time.Millisecond)
		defer cancel()
		if wk.AwaitCopies(ctx, 1) != nil && m.Class == 1 {
			back = false
		}
		if p.life.Err() != nil {
			return
		}
		w.mu.Lock()
		a := w.truth[m.ID]
		a.finals++
		a.back = a.back || back
		w.mu.Unlock()
		w.log("%s ended by %s, %s", m.ID, p.n.name, m.Notice.Outcome)
		p.end(m, func() { _ = m.Home().Closed(m, "", time.Now()) })
		return
	}
	if !p.acts[wk] || !wk.MaySend(lookTime) {
		return
	}
	if w.chance(0.02) { // the message is handed back without being sent
		if !m.Past.MayRun {
			_ = m.Home().Ended(m, journal.NewNotice(m.ID, true, time.Second))
		}
		return
	}
	if m.Home().Attempt(m, "e", 0, time.Now()) != nil {
		return
	}
	h.out = true
	p.running.Go(func() { p.call(h, wk) })
}

// call begins one call to an endpoint.
func (p *wproc) call(h *wheld, wk *Work) {
	m := h.m
	if m.Class == 1 {
		ctx, cancel := context.WithTimeout(p.life, 300*time.Millisecond)
		err := wk.AwaitCopies(ctx, 1)
		cancel()
		if err != nil {
			p.settle(h, true)
			return
		}
	}
	if !wk.MaySend(lookTime) || p.life.Err() != nil {
		p.settle(h, true)
		return
	}
	p.send(h, wk.Lost())
}

// settle records the outcome of a failed call. If never is set, the call has certainly not run.
func (p *wproc) settle(h *wheld, never bool) {
	if p.life.Err() != nil {
		return
	}
	outcome := policy.Failed
	if never {
		outcome = policy.Full
	}
	_ = h.m.Home().Outcome(h.m, outcome, "e", time.Now())
	p.mu.Lock()
	h.out = false
	p.mu.Unlock()
}

// send simulates the endpoint: it answers a call after a delay, and refuses or fails some calls.
func (p *wproc) send(h *wheld, lost <-chan struct{}) {
	w, m := p.n.w, h.m
	w.mu.Lock()
	a := w.truth[m.ID]
	refused := w.rand.Float64() < 0.1
	fails := w.rand.Float64() < 0.1
	took := time.Duration(5+w.rand.IntN(200)) * time.Millisecond
	bad, by := a.sent(p.n.name, refused)
	w.mu.Unlock()
	w.log("%s sent by %s", m.ID, p.n.name)
	if bad != "" {
		w.breaks(m.ID+" "+bad, p.n.name, by)
	}
	t := time.NewTimer(took)
	defer t.Stop()
	broken := false
	select {
	case <-t.C:
	case <-lost:
		broken = true
	case <-p.life.Done():
		return
	}
	w.log("%s answered to %s: broken %v, refused %v, fails %v", m.ID, p.n.name, broken, refused, fails)
	w.mu.Lock()
	a.out--
	if !broken && !refused && !fails {
		a.done = true
	}
	w.mu.Unlock()
	if !broken && !refused && !fails {
		p.end(m, func() { _ = m.Home().Closed(m, "e", time.Now()) })
		return
	}
	p.settle(h, refused && !broken)
}

// sent records that a node sends a message. It returns which guarantee that violates, and the node that sent it before.
func (a *account) sent(node string, refused bool) (bad, by string) {
	switch {
	case a.out > 0:
		bad = "was sent by %s while a call of %s was in flight"
	case a.once && a.ran > 0:
		bad = "must not be repeated and was sent by %s after %s"
	case a.back && a.once:
		bad = "was sent by %s after its client was told to submit it again (by %s)"
	}
	by = a.by
	a.out++
	a.by = node
	if !refused {
		a.ran++
	}
	return bad, by
}
