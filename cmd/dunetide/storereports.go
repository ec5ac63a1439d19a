package main

import (
	"context"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

const (
	// reportWait bounds a report to the keepers.
	reportTimeout = 3 * time.Second
	// handOverWait is how long a store that was told to end waits for others to lead its parts. It is well under the time
	// that the platform leaves a process (grace_s), as a store has nothing else to wait for.
	transferTimeout = 2 * time.Second
)

// reportToKeeper sends a keeper a call that the store has to be sure of.
func sendReport(ctx context.Context, client *controlclient.Client, kind link.Kind, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return client.CallKeeper(ctx, kind, body)
}

// handOver gives the lead of the store's parts to others before the process ends.
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
