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

// hasMessage reports whether another member has, or had, a message that a client sends. That matters only soon after a member
// has ended: its client retries on a new connection. By then a member has adopted the journal of the one that ended.
func (pg *processGroup) hasMessage(id string) bool {
	pg.mu.Lock()
	changed := false
	for n := range pg.slots {
		owner, err := os.ReadFile(filepath.Join(pg.cfg.State, groupFolder, fmt.Sprintf("owner-%d", n)))
		if err != nil {
			continue
		}
		if was, known := pg.owners[n]; string(owner) != was {
			pg.owners[n] = string(owner)
			changed = changed || known
		}
		if string(owner) == string(pg.group.ID()) || pg.isAdopted(n) {
			continue
		}
		if lock, err := vfs.Lock(pg.path(n)); err == nil && lock != nil { // its owner has ended
			_ = lock.Close()
			if print := fingerprint(pg.path(n)); print != "" && pg.skipped[n] != print {
				changed = true
			}
		}
	}
	if changed {
		pg.memberEndedAt = time.Now()
		if pg.group.MaySend() {
			pg.adopt()
		}
	}
	recent := time.Since(pg.memberEndedAt) < resendWindow
	pg.mu.Unlock()
	if !recent {
		return false
	}
	if pg.loop.intake.has(id) {
		return true
	}
	return pg.anyMember(requestHas, id)
}

// anyMember reports whether any other member answers yes to a request.
func (pg *processGroup) anyMember(kind string, v any) bool {
	ids, err := pg.group.Members()
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
			if err := pg.group.Ask(ctx, id, kind, v, &a); err == nil && a.Yes {
				yes.Store(true)
			}
		})
	}
	asked.Wait()
	return yes.Load()
}

// handleMessage handles a notification or a request of another member.
func (pg *processGroup) handleMessage(m group.Message, asked bool) (any, error) {
	select {
	case <-pg.loopReady:
	default:
		if m.Kind == requestState {
			return memberState{Starting: true}, nil
		}
		return nil, errors.New("starting")
	}
	if !asked {
		select {
		case pg.loop.events <- groupMessage{m}:
			return nil, nil
		default:
			return nil, errors.New("too busy to hear") // the sender retries
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), consoleAnswer*3/4)
	defer cancel()
	switch m.Kind {
	case requestState:
		ask := stateRequest{make(chan memberState, 1)}
		pg.loop.post(ask)
		select {
		case s := <-ask.reply:
			return s, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case requestOrder:
		var o orderRequest
		if err := json.Unmarshal(m.Body, &o); err != nil {
			return nil, err
		}
		status, text := pg.loop.executeOrderLocally(ctx, o.Host, o.Out)
		return orderAnswer{status, text}, nil
	case requestHas:
		var id string
		if err := json.Unmarshal(m.Body, &id); err != nil {
			return nil, err
		}
		return yesNo{pg.loop.intake.has(id)}, nil
	case requestReady:
		return yesNo{pg.servesClients()}, nil
	}
	return nil, fmt.Errorf("%q is no question", m.Kind)
}

// notify notifies the other members of what this one has just observed.
func (pg *processGroup) notify(kind, key string, v any) { pg.notifyAt(group.Clock(), kind, key, v) }

func (pg *processGroup) notifyAt(at time.Duration, kind, key string, v any) {
	if err := pg.group.NotifyAt(at, kind, key, v); err != nil {
		pg.log.Error("group: notifying the other members failed", "kind", kind, "err", err)
	}
}

// order executes an order on all members. On success every running member has it; on failure none has.
func (pg *processGroup) order(ctx context.Context, host string, out bool) (status int, text string) {
	status, text = pg.loop.executeOrderLocally(ctx, host, out)
	if status != 200 {
		return status, text
	}
	ids, err := pg.group.Members()
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
			if err := pg.group.Ask(ctx, id, requestOrder, orderRequest{host, out}, &answers[i]); err != nil {
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
	pg.loop.executeOrderLocally(undo, host, !out)
	for i, id := range ids { // also members that may have the order and did not answer in time
		asked.Go(func() {
			if err := pg.group.Ask(undo, id, requestOrder, orderRequest{host, !out}, nil); err != nil && answers[i].Status == 200 {
				pg.log.Error("group: rolling back a rejected order failed", "member", id, "host", host, "err", err)
			}
		})
	}
	asked.Wait()
	return 503, "not all members have it, and none keeps it: " + refused
}

// servesClients reports whether this member serves clients.
func (pg *processGroup) servesClients() bool {
	select {
	case <-pg.shareReady:
		return !pg.loop.intake.isRefusing() && pg.group.MaySend()
	default:
		return false
	}
}

// watchDiscovery watches discovery while this member coordinates.
func (pg *processGroup) watchDiscovery(ctx context.Context, watch func(ctx context.Context, knownRevision int64)) {
	pg.whileLeading(ctx, func(life context.Context) { watch(life, pg.loop.knownRevision.Load()) })
}

// whileLeading runs f, which one process does for the whole node, while this member coordinates.
func (pg *processGroup) whileLeading(ctx context.Context, f func(ctx context.Context)) {
	tick := time.NewTicker(joinPause)
	defer tick.Stop()
	var end context.CancelFunc
	var running sync.WaitGroup
	defer running.Wait()
	for {
		leads := pg.group.Leads()
		switch {
		case leads && end == nil:
			var leadCtx context.Context
			leadCtx, end = context.WithCancel(ctx)
			running.Go(func() { f(leadCtx) })
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

// closeClientListeners closes this member's listeners for clients if other members still serve.
func (pg *processGroup) closeClientListeners() {
	if pg.alone() {
		return
	}
	pg.mu.Lock()
	defer pg.mu.Unlock()
	for name, l := range pg.listeners {
		if strings.HasPrefix(name, "clients ") {
			_ = l.Close() // the other members' listeners stay open
		}
	}
}
