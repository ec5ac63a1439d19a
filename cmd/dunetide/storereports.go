package main

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/batch"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	// reportTimeout bounds a report to the keepers.
	reportTimeout = 3 * time.Second
	// transferTimeout is how long a store that was told to end waits for others to become primary
	// of its partitions. It is well under the time that the platform leaves a process (grace_s), as
	// a store has nothing else to wait for.
	transferTimeout = 2 * time.Second
)

// storeReports sends the reports of a store to the keepers, each in a goroutine of its own, as the
// store must not wait.
type storeReports struct {
	ctx    context.Context
	client *controlclient.Client // set before the first snapshot reaches the store
	log    hclog.Logger

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// reportReady reports that the store has all of a partition for the replicas of an epoch.
func (r *storeReports) reportReady(partition int, epoch uint64) {
	r.start(func() {
		body := controlclient.PartitionJoined{Partition: partition, Epoch: epoch}.Encode()
		if err := r.send(controlclient.KindPartitionJoined, body); err != nil {
			r.log.Warn("part not switched", "part", partition, "epoch", epoch, "err", err)
		}
	})
}

// announceStopping reports that a store stops, or does not stop any more.
func (r *storeReports) announceStopping(store uint64, stopping bool) {
	r.start(func() {
		body := controlclient.StoreStopping{Store: store, Stopping: stopping}.Encode()
		if err := r.send(controlclient.KindStoreStopping, body); err != nil {
			r.log.Warn("stopping not announced", "stopping", stopping, "err", err)
		}
	})
}

// send sends a report that some keeper has to confirm.
func (r *storeReports) send(kind link.Kind, body []byte) error {
	ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
	defer cancel()
	return r.client.CallKeeper(ctx, kind, body)
}

// start starts a report, unless close was called.
func (r *storeReports) start(report func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.running.Go(report)
	}
}

// close waits for the reports that were started, which end with the context.
func (r *storeReports) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.running.Wait()
}

// transferPartitions lets other stores become primary of the store's partitions before the process
// ends.
func (p *process) transferPartitions(store *batch.Store) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), transferTimeout)
	defer cancel()
	if err := store.Drain(ctx); err != nil {
		p.log.Warn("parts not handed over", "err", err, "waited", time.Since(begin))
		return
	}
	p.log.Info("parts handed over", "took", time.Since(begin))
}
