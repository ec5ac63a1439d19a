package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/quota"
)

// quotaStore is a store over real links that counts the requests of tenants.
type quotaStore struct {
	store *batch.Store
	entry snapshot.Store
	conn  *link.Conn // from a proxy
	stop  func()
}

// proxySideOfLink is the proxy's side of a link.
type proxySideOfLink struct{}

func (proxySideOfLink) Message(*link.Message) {}
func (proxySideOfLink) Closed(*link.Conn)     {}

// startQuotaStore starts a store in an empty folder.
func startQuotaStore(t *testing.T, index int) *quotaStore {
	t.Helper()
	zone := fmt.Sprint("z", index)
	store, err := batch.NewStore(batch.StoreOptions{
		Open:            batch.OpenIn(vfs.Dir(t.TempDir())),
		Zone:            zone,
		MaxLostMachines: 1,
		RetentionMs:     time.Minute.Milliseconds(),
		Logf:            t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounds := &settings.Bounds{QuotaExcess: 0.1, QuotaSlack: 20, QuotaWindow: 5 * time.Second}
	handler := newStoreLinkHandler(store, nil, newQuotaServer(store, bounds))
	var serving sync.WaitGroup
	serving.Go(func() { _ = link.Serve(listener, handler, link.DefaultOptions) }) // ends with the listener
	s := &quotaStore{
		store: store,
		entry: snapshot.Store{ID: store.ID(), Name: fmt.Sprint("s", index), Addr: listener.Addr().String(), Zone: zone},
		stop: sync.OnceFunc(func() {
			_ = listener.Close() // nothing more is to be served
			handler.closeAll()
			store.Close()
			<-store.Stopped()
			serving.Wait()
		}),
	}
	t.Cleanup(s.stop)
	if s.conn, err = link.Dial(t.Context(), s.entry.Addr, proxySideOfLink{}, link.DefaultOptions); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.conn.Close)
	return s
}

// ask asks a store for tokens of a tenant with a burst of 100 and hardly any rate; its slack is 30.
func (s *quotaStore) ask(t *testing.T, wanted uint32) quota.Answer {
	t.Helper()
	request := quota.AdmitRequest{Demands: []quota.Demand{{
		Tenant: "banco",
		Limit:  quota.Limit{ConfigVersion: 1, RatePerSecond: 0.001, Burst: 100},
		Wanted: wanted,
	}}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body, err := s.conn.Call(ctx, quota.KindAdmit, request.Encode())
	if err != nil {
		t.Fatal(err)
	}
	reply, err := quota.ReadAdmitReply(body)
	if err != nil || len(reply.Answers) != 1 {
		t.Fatalf("%+v, %v", reply, err)
	}
	return reply.Answers[0]
}

// askUntilGranted asks again as the store says.
func (s *quotaStore) askUntilGranted(t *testing.T, wanted uint32) quota.Answer {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		a := s.ask(t, wanted)
		if a.Outcome == quota.Granted {
			return a
		}
		time.Sleep(max(a.RetryAfter, time.Millisecond)) // the time that a proxy would wait
	}
	t.Fatal("no store has granted in 20 s")
	return quota.Answer{}
}

// TestSuccessorContinuesTheCount guards against two stores that grant at once, and against a successor that grants a burst again:
// over real links, a tenant gets its burst from the first owner, and nothing from a successor that has only just started.
func TestSuccessorContinuesTheCount(t *testing.T) {
	byID := map[uint64]*quotaStore{}
	var entries []snapshot.Store
	for i := range 3 {
		s := startQuotaStore(t, i)
		byID[s.store.ID()] = s
		entries = append(entries, s.entry)
	}
	table, ok := batch.AssignPartitions(nil, entries, func(uint64) bool { return false }, 8, 1)
	if !ok {
		t.Fatal("no table")
	}
	publish := func() {
		for _, s := range byID {
			s.store.Update(&snapshot.Snapshot{Table: table})
		}
	}
	publish()
	row := &table.Partitions[table.PartitionOf(quota.PartitionKey("banco"))]
	owner := byID[row.Primary]
	unconfirmed := time.Now()
	if a := owner.askUntilGranted(t, 1000); a.Granted != 107 { // the burst and a quarter of the slack
		t.Errorf("the first owner granted %+v", a)
	}
	for id, s := range byID {
		if a := s.ask(t, 1); id != row.Primary && a.Outcome != quota.NotOwner {
			t.Errorf("another store granted %+v", a)
		}
	}

	delete(byID, row.Primary)
	owner.stop()
	lost := owner.entry.ID
	alive := entries[:0:0]
	for _, s := range byID {
		alive = append(alive, s.entry)
	}
	if table, ok = batch.AssignPartitions(table, alive, func(id uint64) bool { return id == lost }, 8, 1); !ok {
		t.Fatal("no table after the loss")
	}
	publish()
	row = &table.Partitions[table.PartitionOf(quota.PartitionKey("banco"))]
	if a := byID[row.Primary].askUntilGranted(t, 1000); a.Granted != 0 || a.RetryAfter < time.Second {
		t.Errorf("the successor granted %+v", a)
	}
	if waited := time.Since(unconfirmed); waited < quota.LeadValidity {
		t.Errorf("the successor granted %v after the owner had no confirmation yet, so while one was valid", waited)
	}
}
