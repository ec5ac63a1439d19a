package keeper

import (
	"context"
	"fmt"
	"testing"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// attachStore attaches a store to a keeper.
func (r *rig) attachStore(i int, id uint64) *manualProcess {
	r.t.Helper()
	w := &manualProcess{pushes: make(chan *controlclient.Update, 1<<12), closed: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var conn *link.Conn
	eventually(r.t, "a connection to a keeper", func() (ok bool) {
		c, err := link.Dial(ctx, r.linkAddress(i), w, link.DefaultOptions)
		conn = c
		return err == nil
	})
	w.conn = conn
	r.t.Cleanup(conn.Close)
	var b link.Writer
	controlclient.Node{
		Name:        fmt.Sprint("store", id),
		Role:        controlclient.RoleStore,
		Zone:        fmt.Sprint("z", id),
		Addr:        fmt.Sprint("127.0.0.1:", id),
		ID:          id,
		Incarnation: 1,
	}.Append(&b)
	b.Bool(true)
	if _, err := conn.Call(ctx, controlclient.KindHello, b.Buf); err != nil {
		r.t.Fatal(err)
	}
	return w
}

// tableWhere waits until a table that meets a condition is pushed.
func (w *manualProcess) tableWhere(t *testing.T, what string, holds func(*snapshot.PartitionTable) bool) {
	t.Helper()
	for {
		u := receive(t, w.pushes, what)
		w.ack(u.Sequence)
		if u.Table != nil && holds(u.Table) {
			return
		}
	}
}

// primaryCount counts the partitions of which a store is the primary.
func primaryCount(t *snapshot.PartitionTable, id uint64) (n int) {
	for _, part := range t.Partitions {
		if part.Primary == id {
			n++
		}
	}
	return n
}

// TestStoppingStore: a store reports to any keeper that it is about to stop. The table marks it as stopping and makes
// others the primaries of its partitions, until the store reports that it runs again.
func TestStoppingStore(t *testing.T) {
	r := newRig(t, 3)
	r.startAll()
	var stores []*manualProcess
	for id := uint64(1); id <= 3; id++ {
		stores = append(stores, r.attachStore(int(id-1), id))
	}
	stores[0].tableWhere(t, "the first table", func(table *snapshot.PartitionTable) bool { return primaryCount(table, 1) > 0 })
	announce := func(stopping bool) {
		t.Helper()
		var b link.Writer
		b.U64(1)
		b.Bool(stopping)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		for range 2 { // the report is repeated, as after a lost reply
			if _, err := stores[1].conn.Call(ctx, controlclient.KindStoreStopping, b.Buf); err != nil {
				t.Fatal(err)
			}
		}
	}
	announce(true)
	stores[0].tableWhere(t, "a table in which others are the primaries", func(table *snapshot.PartitionTable) bool {
		return table.Stopping[1] && primaryCount(table, 1) == 0
	})
	announce(false)
	stores[0].tableWhere(t, "a table without the mark", func(table *snapshot.PartitionTable) bool { return !table.Stopping[1] })
}
