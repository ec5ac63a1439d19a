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
	// transferTimeout is how long a store that shuts down waits for others to become primary of its
	// partitions. It is well under the time that the platform gives a process to exit (grace_s), as a
	// store has nothing else to wait for.
	transferTimeout = 2 * time.Second
)

// storeReports sends the reports of a store to the keepers, each in its own goroutine, so that the
// store does not block.
type storeReports struct {
	ctx    context.Context
	client *controlclient.Client // set before the first snapshot reaches the store
	log    hclog.Logger

	mu      sync.Mutex
	closed  bool
	running sync.WaitGroup
}

// reportReady reports that the next replicas of a partition, those of the given epoch, have all its
// data.
func (r *storeReports) reportReady(partition int, epoch uint64) {
	r.start(func() {
		body := controlclient.PartitionJoined{Partition: partition, Epoch: epoch}.Encode()
		if err := r.send(controlclient.KindPartitionJoined, body); err != nil {
			r.log.Warn("partition not switched to its next replicas", "part", partition, "epoch", epoch, "err", err)
		}
	})
}

// announceStopping reports that a store is stopping, or that it no longer is.
func (r *storeReports) announceStopping(store uint64, stopping bool) {
	r.start(func() {
		body := controlclient.StoreStopping{Store: store, Stopping: stopping}.Encode()
		if err := r.send(controlclient.KindStoreStopping, body); err != nil {
			r.log.Warn("stopping state not reported to keepers", "stopping", stopping, "err", err)
		}
	})
}

// send sends a report and waits for a keeper to confirm it.
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

// close waits for the reports in flight, which end with the context, and rejects new ones.
func (r *storeReports) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.running.Wait()
}

// transferPartitions lets other stores become primary of the store's partitions before the process
// exits.
func (p *process) transferPartitions(store *batch.Store) {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(p.ctx), transferTimeout)
	defer cancel()
	if err := store.Drain(ctx); err != nil {
		p.log.Warn("partitions not transferred", "err", err, "waited", time.Since(begin))
		return
	}
	p.log.Info("partitions transferred", "took", time.Since(begin))
}
