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
	// noticeTimeout is short: a notice must land 300 ms after the deadline at the
	// latest, so there must be time for several tries. The agent answers at once, and
	// a notice that is sent twice does no harm.
	noticeTimeout = 60 * time.Millisecond
	noticePause   = 10 * time.Millisecond
	// pendingPause is how often it is looked whether what had to wait may be told.
	pendingPause = 50 * time.Millisecond
	noticeBatch  = 64
)

// completionReports tells the platform of messages that ended undelivered, again and again
// until it has answered: only then is nothing owed any more.
type completionReports struct {
	agent  *agent
	client *http.Client
	log    *slog.Logger

	sync   bool    // what can't be undone is durable first
	once   []bool  // by class: it may not be repeated
	copies *copies // what other nodes have of the journals; nil where they have nothing

	mu    sync.Mutex
	queue []*journal.Message
	more  chan struct{} // holds a token while the queue may hold messages
}

func newCompletionReports(a *agent, log *slog.Logger) *completionReports {
	return &completionReports{agent: a, log: log,
		more:   make(chan struct{}, 1),
		client: &http.Client{Timeout: noticeTimeout, Transport: &http.Transport{DisableCompression: true}}}
}

// add queues the notice of a message. It never waits.
func (f *completionReports) add(m *journal.Message) {
	f.mu.Lock()
	f.queue = append(f.queue, m)
	f.mu.Unlock()
	select {
	case f.more <- struct{}{}:
	default:
	}
}

func (f *completionReports) next() []*journal.Message {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := f.queue
	f.queue = nil
	return q
}

// run sends what is queued until the context ends. What is left then is owed
// still, and the journal has it.
func (f *completionReports) run(ctx context.Context) {
	defer f.client.CloseIdleConnections()
	var pending []*journal.Message
	for {
		pending = append(pending, f.next()...)
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
			case <-f.more: // or one that waits may be told by then
			case <-time.After(pendingPause):
			case <-ctx.Done():
				return
			}
			continue
		}
		batch := pending[:min(ready, noticeBatch)]
		f.resolve(batch)
		status, err := f.post(ctx, batch)
		if status == http.StatusBadRequest && len(batch) > 1 {
			// One line that the platform can't read must not hold the others back.
			batch = batch[:1]
			status, err = f.post(ctx, batch)
		}
		if err == nil && status == http.StatusNoContent {
			closed := 0
			for _, m := range batch {
				err = m.Home().Closed(m, "", time.Now())
				if errors.Is(err, journal.ErrReleased) {
					break // whoever owns the journal then sends it again, which does no harm
				}
				if err != nil {
					f.log.Error("journal: notice answered", "id", m.ID, "err", err)
				}
				closed++
			}
			pending = append(pending[:0], pending[closed:]...)
			if closed == len(batch) {
				continue
			}
		}
		f.log.Warn("finals: not answered", "notices", len(batch), "status", status, "err", err)
		if status == http.StatusBadRequest { // to the end of the line
			pending = append(append(pending[:0:0], pending[1:]...), pending[0])
		}
		select {
		case <-time.After(noticePause):
		case <-ctx.Done():
			return
		}
	}
}

// ready puts first what may be told now, and counts it. What may be told only when its time is up, as
// its log may be another node's, is given up then.
func (f *completionReports) ready(pending []*journal.Message) int {
	if f.copies == nil {
		return len(pending)
	}
	may := map[*journal.Message]bool{}
	for _, m := range pending {
		now, again := f.copies.mayTell(m)
		may[m] = now
		if now && !again && m.Notice.HandedBack() {
			if err := m.Home().Ended(m, journal.NewNotice(m.ID, false, 0)); err != nil {
				f.log.Error("journal: end", "id", m.ID, "err", err)
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

// resolve makes it durable that messages are over whose clients are told to come again,
// where that is asked for: after a loss of power such a charge would be owed here as well.
// On a disk that fails they are not told so.
func (f *completionReports) resolve(batch []*journal.Message) {
	back := func(m *journal.Message) bool { return f.once[m.Class] && m.Notice.HandedBack() }
	if f.copies == nil && (!f.sync || !slices.ContainsFunc(batch, back)) {
		return
	}
	var err error
	all := homes(batch, func(m *journal.Message) *journal.Message { return m })
	for _, j := range all {
		err = errors.Join(err, j.Sync())
	}
	if err == nil && f.copies != nil { // or whoever takes the log over sends what was told to have ended
		err = f.copies.copied(all, 1)
	}
	if err == nil {
		return
	}
	f.log.Error("finals: charges are given up and not handed back", "err", err)
	for _, m := range batch {
		if back(m) {
			if err := m.Home().Ended(m, journal.NewNotice(m.ID, false, 0)); err != nil {
				f.log.Error("journal: end", "id", m.ID, "err", err)
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
