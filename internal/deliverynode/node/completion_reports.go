package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"dunetide/internal/deliverynode/journal"
)

const (
	// noticeTimeout is short: a notice must arrive within 300 ms after the deadline, so there must be time for several
	// tries. The agent answers at once, and a duplicate notice is harmless.
	noticeTimeout = 60 * time.Millisecond
	noticePause   = 10 * time.Millisecond
	// pendingPause is the interval at which postponed notices are checked again.
	pendingPause = 50 * time.Millisecond
	noticeBatch  = 64
)

// completionReports reports messages that ended undelivered to the platform. It retries until the platform has
// acknowledged: until then the message stays in the journal.
type completionReports struct {
	agent  *agent
	client *http.Client
	log    *slog.Logger

	sync          bool    // ends are made durable before they are reported as handed back
	nonRepeatable []bool  // by class: may not be repeated
	copies        *copies // copies of the journals on other nodes; nil without copies

	mu    sync.Mutex
	queue []*journal.Message
	more  chan struct{} // holds a token while the queue may hold messages
}

func newCompletionReports(a *agent, log *slog.Logger) *completionReports {
	return &completionReports{agent: a, log: log,
		more:   make(chan struct{}, 1),
		client: &http.Client{Timeout: noticeTimeout, Transport: &http.Transport{DisableCompression: true}}}
}

// add queues the notice of a message. It never blocks.
func (f *completionReports) add(m *journal.Message) {
	f.mu.Lock()
	f.queue = append(f.queue, m)
	f.mu.Unlock()
	select {
	case f.more <- struct{}{}:
	default:
	}
}

func (f *completionReports) popAll() []*journal.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queue
	f.queue = nil
	return q
}

// run sends the queued notices until the context ends. Those that are left then are still in the journal.
func (f *completionReports) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	var pending []*journal.Message
	for {
		pending = append(pending, f.popAll()...)
		if len(pending) == 0 {
			select {
			case <-f.more:
				continue
			case <-ctx.Done():
				return
			}
		}
		ready := f.ready(pending)
		if ready == 0 {
			select {
			case <-f.more: // a new notice may be ready to send
			case <-time.After(pendingPause):
			case <-ctx.Done():
				return
			}
			continue
		}
		batch := pending[:min(ready, noticeBatch)]
		f.syncEnds(batch)
		status, err := f.post(ctx, batch)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// A single line that the platform rejects must not block the others.
			batch = batch[:1]
			status, err = f.post(ctx, batch)
		}
		if err == nil && status == http.StatusNoContent {
			closed := 0
			for _, m := range batch {
				err = m.Home().Closed(m, "", time.Now())
				if errors.Is(err, journal.ErrReleased) {
					break // the new owner of the journal sends it again, which is harmless
				}
				if err != nil {
					f.log.Error("journal: recording an acknowledged notice failed", "id", m.ID, "err", err)
				}
				closed++
			}
			pending = append(pending[:0], pending[closed:]...)
			if closed == len(batch) {
				continue
			}
		}
		f.log.Warn("finals: not acknowledged", "notices", len(batch), "status", status, "err", err)
		if status == http.StatusBadRequest { // to the end of the queue
			pending = append(append(pending[:0:0], pending[1:]...), pending[0])
		}
		select {
		case <-time.After(noticePause):
		case <-ctx.Done():
			return
		}
	}
}

// ready moves the notices that may be sent now to the front, and returns their number. Where another node may have the
// lease on a message's log, the notice is postponed until the deadline, and then reports the message as not handed back.
func (f *completionReports) ready(pending []*journal.Message) int {
	if f.copies == nil {
		return len(pending)
	}
	may := map[*journal.Message]bool{}
	for _, m := range pending {
		now, again := f.copies.mayReport(m)
		may[m] = now
		if now && !again && m.Notice.HandedBack() {
			if err := m.Home().Ended(m, journal.NewNotice(m.ID, false, 0)); err != nil {
				f.log.Error("journal: recording the end of a message failed", "id", m.ID, "err", err)
			}
		}
	}
	slices.SortStableFunc(pending, func(a, b *journal.Message) int {
		switch {
		case may[a] == may[b]:
			return 0
		case may[a]:
			return -1
		}
		return 1
	})
	ready := 0
	for _, m := range pending {
		if may[m] {
			ready++
		}
	}
	return ready
}

// syncEnds makes the end of messages durable before they are reported as handed back, where the configuration requires it:
// otherwise, after a power loss, this node would still send a message that its client sends again. If the disk or the
// copies fail, messages that may not be repeated are reported as not handed back.
func (f *completionReports) syncEnds(batch []*journal.Message) {
	back := func(m *journal.Message) bool { return f.nonRepeatable[m.Class] && m.Notice.HandedBack() }
	if f.copies == nil && (!f.sync || !slices.ContainsFunc(batch, back)) {
		return
	}
	var err error
	all := journalsOf(batch, func(m *journal.Message) *journal.Message { return m })
	for _, j := range all {
		err = errors.Join(err, j.Sync())
	}
	if err == nil && f.copies != nil { // otherwise a node that takes the log over sends messages that were reported as ended
		err = f.copies.copied(all, 1)
	}
	if err == nil {
		return
	}
	f.log.Error("finals: messages that may not be repeated are not handed back", "err", err)
	for _, m := range batch {
		if back(m) {
			if err := m.Home().Ended(m, journal.NewNotice(m.ID, false, 0)); err != nil {
				f.log.Error("journal: recording the end of a message failed", "id", m.ID, "err", err)
			}
		}
	}
}

func (f *completionReports) post(ctx context.Context, batch []*journal.Message) (int, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, m := range batch {
		if err := enc.Encode(m.Notice); err != nil {
			return 0, fmt.Errorf("writing a notice: %w", err)
		}
	}
	addr, _ := f.agent.at()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/finals", &body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, journal.MaxBody)) // for reuse of the connection only
	return resp.StatusCode, nil
}
