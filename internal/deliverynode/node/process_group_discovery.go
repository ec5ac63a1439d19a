package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunetide/internal/deliverynode/group"
	"dunetide/internal/platform/vfs"
)

// taken reports whether another member has, or had, a message that a client sends. That can be only soon after a member has
// ended: its client retries on a new connection. By then a member has adopted the journal of the one that ended.
func (co *processGroup) taken(id string) bool {
	co.mu.Lock()
	changed := false
	for n := range co.slots {
		owner, err := os.ReadFile(filepath.Join(co.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)))
		if err != nil {
			continue
		}
		if was, known := co.owners[n]; string(owner) != was {
			co.owners[n] = string(owner)
			changed = changed || known
		}
		if string(owner) == string(co.group.ID()) || co.isAdopted(n) {
			continue
		}
		if lock, err := vfs.Lock(co.path(n)); err == nil && lock != nil { // its owner has ended
			_ = lock.Close()
			if print := fingerprint(co.path(n)); print != "" && co.looked[n] != print {
				changed = true
			}
		}
	}
	if changed {
		co.deathAt = time.Now()
		if co.group.MaySend() {
			co.adopt()
		}
	}
	recent := time.Since(co.deathAt) < deathMatters
	co.mu.Unlock()
	if !recent {
		return false
	}
	if co.loop.intake.knows(id) {
		return true
	}
	return co.anyone(askHave, id)
}

// anyone reports whether any other member answers yes to a request.
func (co *processGroup) anyone(kind string, v any) bool {
	ids, err := co.group.Members()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), haveTimeout)
	defer cancel()
	var yes atomic.Bool
	var asked sync.WaitGroup
	for _, id := range ids {
		asked.Go(func() {
			var a yesNo
			if err := co.group.Ask(ctx, id, kind, v, &a); err == nil && a.Yes {
				yes.Store(true)
			}
		})
	}
	asked.Wait()
	return yes.Load()
}

// hear handles a notification or a request of another member.
func (co *processGroup) hear(m group.Message, asked bool) (any, error) {
	select {
	case <-co.up:
	default:
		if m.Kind == askState {
			return memberState{Starting: true}, nil
		}
		return nil, errors.New("starting")
	}
	if !asked {
		select {
		case co.loop.events <- groupMessage{m}:
			return nil, nil
		default:
			return nil, errors.New("the event queue is full") // the sender retries
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer*3/4)
	defer cancel()
	switch m.Kind {
	case askState:
		ask := stateAsk{make(chan memberState, 1)}
		co.loop.post(ask)
		select {
		case s := <-ask.reply:
			return s, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case askOrder:
		var o orderAsk
		if err := json.Unmarshal(m.Body, &o); err != nil {
			return nil, err
		}
		status, text := co.loop.obeyHere(ctx, o.Host, o.Out)
		return orderAnswer{status, text}, nil
	case askHave:
		var id string
		if err := json.Unmarshal(m.Body, &id); err != nil {
			return nil, err
		}
		return yesNo{co.loop.intake.knows(id)}, nil
	case askReady:
		return yesNo{co.inUse()}, nil
	}
	return nil, fmt.Errorf("unknown request kind %q", m.Kind)
}

// notify notifies the other members of what this one has just observed.
func (co *processGroup) notify(kind, key string, v any) { co.notifyAt(group.Clock(), kind, key, v) }

func (co *processGroup) notifyAt(at time.Duration, kind, key string, v any) {
	if err := co.group.NotifyAt(at, kind, key, v); err != nil {
		co.log.Error("group: notifying the other members failed", "kind", kind, "err", err)
	}
}

// order executes an order on all members. On success every running member has it; on failure none has.
func (co *processGroup) order(ctx context.Context, host string, out bool) (status int, text string) {
	status, text = co.loop.obeyHere(ctx, host, out)
	if status != 200 {
		return status, text
	}
	ids, err := co.group.Members()
	refused := ""
	if err != nil {
		refused = err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answers := make([]orderAnswer, len(ids))
	var asked sync.WaitGroup
	for i, id := range ids {
		asked.Go(func() {
			if err := co.group.Ask(ctx, id, askOrder, orderAsk{host, out}, &answers[i]); err != nil {
				answers[i].Text = err.Error()
			}
		})
	}
	asked.Wait()
	for i, a := range answers {
		// A member that does not have the endpoint yet keeps the order until it is listed.
		if a.Status != 200 {
			refused = fmt.Sprintf("member %s: %s", ids[i], a.Text)
		}
	}
	if refused == "" {
		return status, text
	}
	undo, end := context.WithTimeout(context.Background(), undoTimeout)
	defer end()
	co.loop.obeyHere(undo, host, !out)
	for i, id := range ids { // also members that may have the order and did not answer in time
		asked.Go(func() {
			if err := co.group.Ask(undo, id, askOrder, orderAsk{host, !out}, nil); err != nil && answers[i].Status == 200 {
				co.log.Error("group: rolling back a rejected order failed", "member", id, "host", host, "err", err)
			}
		})
	}
	asked.Wait()
	return 503, "rolled back, because not all members accepted it: " + refused
}

// inUse reports whether this member serves clients.
func (co *processGroup) inUse() bool {
	select {
	case <-co.usable:
		return !co.loop.intake.isRefusing() && co.group.MaySend()
	default:
		return false
	}
}

// follow watches discovery while this member coordinates.
func (co *processGroup) follow(ctx context.Context, watch func(ctx context.Context, known int64)) {
	co.whileLeading(ctx, func(life context.Context) { watch(life, co.loop.known.Load()) })
}

// whileLeading runs f, which one process does for the whole node, while this member coordinates.
func (co *processGroup) whileLeading(ctx context.Context, f func(ctx context.Context)) {
	tick := time.NewTicker(joinPause)
	defer tick.Stop()
	var end context.CancelFunc
	var running sync.WaitGroup
	defer running.Wait()
	for {
		leads := co.group.Leads()
		switch {
		case leads && end == nil:
			var life context.Context
			life, end = context.WithCancel(ctx)
			running.Go(func() { f(life) })
		case !leads && end != nil:
			end()
			end = nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			if end != nil {
				end()
			}
			return
		}
	}
}

// leaving closes this member's listeners for clients if other members still serve.
func (co *processGroup) leaving() {
	if co.alone() {
		return
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	for name, l := range co.listeners {
		if strings.HasPrefix(name, "clients ") {
			_ = l.Close() // the other members' listeners stay open
		}
	}
}
