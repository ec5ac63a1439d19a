package batch

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/telemetry"
)

const (
	// refreshInterval is how often the newest snapshot is checked, in addition to calls of Refresh.
	refreshInterval = 200 * time.Millisecond
	// callRetryDelay is the delay before an unanswered call to the primary is retried.
	callRetryDelay = 40 * time.Millisecond
)

// ProxyOptions configure a Proxy.
type ProxyOptions struct {
	Snapshots *snapshot.Latest // the proxy's view of the cluster
	Name      string           // of the proxy
	Zone      string
	Runner    Runner       // nil: this proxy runs no items
	Log       hclog.Logger // for failed calls; nil: no log
}

// Proxy is the proxy's side of batch jobs: it forwards client calls to the primaries of their jobs,
// and has the worker that runs items. It is safe for concurrent use.
type Proxy struct {
	options    ProxyOptions
	stores     *storeConnections
	items      *itemRunner
	callEvents *telemetry.EventLog // failed calls

	stop      chan struct{}
	closeOnce sync.Once
	watching  sync.WaitGroup

	mu    sync.Mutex
	table *snapshot.PartitionTable // the table whose stores are connected
}

// NewProxy starts a Proxy, which connects to the stores. Close stops it.
func NewProxy(options ProxyOptions) *Proxy {
	p := &Proxy{
		options:    options,
		items:      newItemRunner(options),
		callEvents: newCallEvents(options.Log),
		stop:       make(chan struct{}),
	}
	p.stores = newStoreConnections(storeEvents{
		connected:    p.items.connected,
		disconnected: p.items.disconnected,
		message:      p.items.handleMessage,
	})
	p.watching.Go(p.watchSnapshots)
	return p
}

// Close closes the connections, and cancels the running items.
func (p *Proxy) Close() {
	p.closeOnce.Do(func() {
		close(p.stop)
		p.items.close()
		p.stores.close()
		p.watching.Wait()
	})
}

// SetMaxRunning sets how many items this proxy runs at a time, for all stores together.
func (p *Proxy) SetMaxRunning(items int) { p.items.setMaxRunning(items) }

// Refresh checks for a newer snapshot. That is also done a few times a second.
func (p *Proxy) Refresh() {
	table := p.currentTable()
	if table == nil {
		return
	}
	p.mu.Lock()
	changed := p.table != table
	p.table = table
	p.mu.Unlock()
	if changed {
		p.stores.setStores(table.Stores, 0)
	}
	p.items.updateTable(table)
}

func (p *Proxy) watchSnapshots() {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		p.Refresh()
		select {
		case <-tick.C:
		case <-p.stop:
			return
		}
	}
}

// currentTable returns the newest table; nil if none is known.
func (p *Proxy) currentTable() *snapshot.PartitionTable {
	if v := p.options.Snapshots.Get(); v != nil {
		return v.Table
	}
	return nil
}

// primary returns the connection to the primary of a job's partition; nil if there is none at the
// moment.
func (p *Proxy) primary(jobID string) *link.Conn {
	table := p.currentTable()
	partition := table.PartitionOf(jobID)
	if partition < 0 {
		return nil
	}
	return p.stores.get(table.Partitions[partition].Primary)
}

// PrimaryOf returns the store that is primary of the partition to which a key hashes, by the newest table; false if it is
// not known or not connected.
func (p *Proxy) PrimaryOf(key string) (store uint64, connected bool) {
	table := p.currentTable()
	partition := table.PartitionOf(key)
	if partition < 0 {
		return 0, false
	}
	store = table.Partitions[partition].Primary
	return store, p.stores.get(store) != nil
}

// CallStore calls a store over the link that exists to it. It fails with link.ErrClosed if there is none.
func (p *Proxy) CallStore(ctx context.Context, store uint64, kind link.Kind, body []byte) ([]byte, error) {
	conn := p.stores.get(store)
	if conn == nil {
		return nil, link.ErrClosed
	}
	return conn.Call(ctx, kind, body)
}

// call calls the primary of a job's partition, with retries, until one answers or the context is
// cancelled; the reply is nil then. MayBeDone reports that a primary may have executed the call
// although its answer is not known.
func (p *Proxy) call(ctx context.Context, jobID string, kind link.Kind, body []byte) (reply []byte, mayBeDone bool) {
	for {
		if conn := p.primary(jobID); conn != nil {
			reply, err := conn.Call(ctx, kind, body)
			switch {
			case err != nil, codeOf(reply) == codeUnknown:
				mayBeDone = true
			case len(reply) > 0 && codeOf(reply) != codeUnavailable:
				return reply, mayBeDone
			}
		}
		select {
		case <-ctx.Done():
			return nil, mayBeDone
		case <-time.After(callRetryDelay):
		}
	}
}

// codeOf returns the code that a reply begins with; 0 if it is empty.
func codeOf(reply []byte) uint8 {
	if len(reply) == 0 {
		return 0
	}
	return reply[0]
}

// SubmitOutcome is the result of submitting a job.
type SubmitOutcome uint8

// The values of SubmitOutcome.
const (
	Accepted    SubmitOutcome = iota // the job is stored
	QuotaFull                        // not accepted: the quota is exhausted
	Unavailable                      // not accepted
	Unresolved                       // it may have been accepted: the response must promise nothing
	StoresFull                       // not accepted, and retrying soon is no use: logs are full
	TooLarge                         // not accepted, and never will be: the encoded job exceeds maxEncodedJobBytes
)

// Submit submits a job, with retries until the context is cancelled.
func (p *Proxy) Submit(ctx context.Context, j *Job) SubmitOutcome {
	encoded := j.encode()
	if len(encoded) > maxEncodedJobBytes {
		return TooLarge
	}
	reply, mayBeDone := p.call(ctx, j.ID, kindAcceptJob, encoded)
	switch code := codeOf(reply); {
	case code == codeOK:
		return Accepted
	case mayBeDone:
		return Unresolved
	case code == codeQuotaFull:
		return QuotaFull
	case code == codeLogFull:
		return StoresFull
	}
	return Unavailable
}

// CallOutcome is the result of a call about a job.
type CallOutcome uint8

// The values of CallOutcome.
const (
	Found        CallOutcome = iota // the call was executed
	NotFound                        // there is certainly no such job or item
	NotConfirmed                    // the outcome is unknown, or the job belongs to another tenant
)

func callOutcome(code uint8) CallOutcome {
	switch code {
	case codeOK:
		return Found
	case codeNotFound:
		return NotFound
	}
	return NotConfirmed
}

// ResultPage has the results of a job from an index on.
type ResultPage struct {
	Total   int // number of items of the job
	Results []ItemResult
}

// ItemResult is the result of an item.
type ItemResult struct {
	ID        string
	Abandoned bool // the message is empty
	Message   []byte
}

// ReadResults reads the results of a job from an index on. If there are none yet it waits up to the
// given time for one.
func (p *Proxy) ReadResults(
	ctx context.Context, by Principal, jobID string, startAfter int, wait time.Duration,
) (ResultPage, CallOutcome) {
	body := encodeReadResults(jobID, startAfter, wait.Milliseconds(), by)
	reply, _ := p.call(ctx, jobID, kindReadResults, body)
	r := link.Reader{Buf: reply}
	outcome := callOutcome(r.U8())
	if outcome != Found {
		return ResultPage{}, outcome
	}
	page := ResultPage{Total: int(r.U32())}
	for n := r.Count(9); n > 0; n-- {
		page.Results = append(page.Results, ItemResult{ID: r.String(), Abandoned: r.Bool(), Message: r.Bytes()})
	}
	if r.Err != nil {
		return ResultPage{}, NotConfirmed
	}
	return page, Found
}

// ReadItemBody reads the body of an item as it was submitted.
func (p *Proxy) ReadItemBody(ctx context.Context, by Principal, jobID, itemID string) ([]byte, CallOutcome) {
	reply, _ := p.call(ctx, jobID, kindReadItemBody, encodeReadItemBody(jobID, itemID, by))
	outcome := callOutcome(codeOf(reply))
	if outcome != Found {
		return nil, outcome
	}
	return reply[1:], Found
}

// EndJob ends a job: once it returns Found, no more items of the job are started.
func (p *Proxy) EndJob(ctx context.Context, by Principal, jobID string) CallOutcome {
	reply, _ := p.call(ctx, jobID, kindEndJob, encodeEndJob(jobID, by))
	return callOutcome(codeOf(reply))
}
