package audit

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

const (
	// maxBatchEntries is the maximum number of entries in one delivery.
	maxBatchEntries = 512
	// callTimeout is how long a store may take to sync a batch to disk.
	callTimeout = time.Second
)

// Conn is a connection to a store. *link.Conn implements it.
type Conn interface {
	Call(ctx context.Context, kind link.Kind, body []byte) ([]byte, error)
	// Done is closed when the connection has closed.
	Done() <-chan struct{}
	Close()
}

// rejectCalls rejects calls by stores, which make none.
type rejectCalls struct{}

// Message rejects a call.
func (rejectCalls) Message(m *link.Message) { m.Fail("no such call here") }

// Closed does nothing: a Recorder checks Done before each use.
func (rejectCalls) Closed(*link.Conn) {}

// storeConn is a connection to a store, and which certificates were sent over it.
type storeConn struct {
	Conn
	sentCertificates map[uint64]bool // versions whose text the store has
}

// batch is the contents of one delivery.
type batch struct {
	entries      [][]byte
	certificates map[uint64][]byte // texts of all versions that the entries refer to
}

// nextBatch returns the oldest entries, which remain pending.
func (r *Recorder) nextBatch() batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.pending), maxBatchEntries)
	b := batch{entries: make([][]byte, 0, n), certificates: map[uint64][]byte{}}
	for _, e := range r.pending[:n] {
		b.entries = append(b.entries, e.entry)
		if v := e.certificatesVersion; v != 0 {
			b.certificates[v] = r.certificates[v]
		}
	}
	return b
}

// errTooFewStores reports that fewer stores than required have stored an entry.
var errTooFewStores = errors.New("fewer stores than required stored the record")

// deliver sends the oldest entries to as many stores as required, and to one more for each that fails. Stores that have
// the entries from an earlier delivery may store them twice: CheckFiles accepts that.
func (r *Recorder) deliver(ctx context.Context) error {
	stores := r.preferredStores()
	required := r.options.RequiredStores
	if len(stores) < required {
		return errTooFewStores
	}
	batch := r.nextBatch()
	results := make(chan error, len(stores))
	inFlight, stored, next := 0, 0, 0
	var lastErr error
	for stored < required {
		for inFlight+stored < required && next < len(stores) {
			c, err := r.conn(ctx, stores[next].Addr)
			next++
			if err != nil {
				lastErr = err
				continue
			}
			inFlight++
			go func() { results <- c.send(ctx, batch) }()
		}
		if inFlight == 0 {
			return errors.Join(errTooFewStores, lastErr)
		}
		err := <-results
		inFlight--
		if err == nil {
			stored++
		} else {
			lastErr = err
		}
	}
	r.acknowledge(len(batch.entries))
	return nil
}

// preferredStores returns the stores in this proxy's order of preference: those of its own zone first, then by a hash,
// so that proxies spread over the stores.
func (r *Recorder) preferredStores() []snapshot.Store {
	stores := r.options.Stores()
	otherZone := func(s snapshot.Store) int {
		if s.Zone == r.options.Zone {
			return 0
		}
		return 1
	}
	rank := func(s snapshot.Store) uint64 { return snapshot.Hash(r.options.NodeName + s.Name) }
	slices.SortStableFunc(stores, func(a, b snapshot.Store) int {
		return cmp.Or(cmp.Compare(otherZone(a), otherZone(b)), cmp.Compare(rank(a), rank(b)))
	})
	return slices.CompactFunc(stores, func(a, b snapshot.Store) bool { return a.Addr == b.Addr })
}

// conn returns a connection to the store at an address. It opens one if there is none or if that has closed.
func (r *Recorder) conn(ctx context.Context, addr string) (*storeConn, error) {
	if c := r.conns[addr]; c != nil {
		select {
		case <-c.Done():
		default:
			return c, nil
		}
	}
	c, err := r.options.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	r.conns[addr] = &storeConn{Conn: c, sentCertificates: map[uint64]bool{}}
	return r.conns[addr], nil
}

// send sends a batch, with the certificates that the store does not have yet, and returns once the store has synced it
// to disk.
func (c *storeConn) send(ctx context.Context, b batch) error {
	var versions []uint64
	for version := range b.certificates {
		if !c.sentCertificates[version] {
			versions = append(versions, version)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.Call(ctx, kindAppend, encodeAppend(b.certificates, versions, b.entries)); err != nil {
		clear(c.sentCertificates) // the store may have lost their texts
		return err
	}
	for _, version := range versions {
		c.sentCertificates[version] = true
	}
	return nil
}
