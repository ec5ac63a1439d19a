package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
)

const (
	// batchLogPercent of the disk is for batch jobs. The rest is for the record of regulated runs,
	// and for a segment of the log that is written before another one is removed.
	batchLogPercent = 85
	// recordFileFraction is the part of the disk, one in so many, that a file of the record of
	// regulated runs may take.
	recordFileFraction = 128
)

// storeCmd runs a store, a server of batch jobs.
type storeCmd struct{}

// Run serves the role until the process is told to stop.
func (storeCmd) Run(c *cli) error {
	p, err := start(c, controlclient.RoleStore)
	if err != nil {
		return err
	}
	defer p.close()
	members, err := p.joinMembership(controlclient.RoleStore, storePort)
	if err != nil {
		return err
	}
	p.startConditionReports(controlclient.RoleStore, storePort, members)
	folder := p.dataFolder()
	records, err := audit.OpenStore(audit.StoreOptions{
		Folder:    folder,
		FileBytes: p.diskBytes() / recordFileFraction,
		Log:       p.log,
	})
	if err != nil {
		return err
	}
	defer records.Close()
	return p.runWithDiskSpace(folder, func() error { return p.serveStore(members, folder, records) })
}

// diskBytes returns the disk space of the process.
func (p *process) diskBytes() int64 { return int64(p.settings.Limits.DiskMB) << 20 }

// serveStore serves until the process is told to stop, or the store can't go on.
func (p *process) serveStore(members *members, folder vfs.Folder, records *audit.Store) error {
	// Reports to keepers outlast SIGTERM: the partitions of the store are transferred then.
	attached, detach := context.WithCancel(context.WithoutCancel(p.ctx))
	defer detach()
	reports := &storeReports{ctx: attached, log: p.log}
	defer reports.close()
	store, err := p.openStore(folder, reports)
	if err != nil {
		return err
	}
	p.condition.set(store.Condition)
	defer p.condition.clear()
	defer p.awaitStopped(store) // before the log is opened again
	defer store.Close()
	links, err := p.listen(p.internalAddr(storePort))
	if err != nil {
		return err
	}
	var serving sync.WaitGroup
	defer serving.Wait()
	defer links.Close()
	handler := newStoreLinkHandler(store, records)
	defer handler.closeAll()
	serving.Go(func() { _ = link.Serve(links, handler, link.DefaultOptions) }) // ends with the listener
	client := p.newStoreClient(members, store)
	reports.client = client
	defer p.watcher.Subscribe(func(s *settings.Settings) { client.SetSeeds(seedLinks(s)) })()
	serving.Go(func() { client.Run(attached) })
	defer detach() // before the wait for the goroutines
	select {
	case <-store.Done():
		return store.Err()
	case <-p.ctx.Done():
		p.transferPartitions(store)
		return nil
	}
}

// openStore opens the log of batch jobs. The store does nothing before its first snapshot.
func (p *process) openStore(folder vfs.Folder, reports *storeReports) (*batch.Store, error) {
	return batch.NewStore(batch.StoreOptions{
		Open:             batch.OpenIn(folder),
		Zone:             p.settings.Zone,
		MaxLostMachines:  p.settings.SurviveMachines,
		RetentionMs:      p.settings.Bounds.StatusEvery.Milliseconds(),
		LogCapacityBytes: p.diskBytes() / 100 * batchLogPercent,
		ReportReady:      reports.reportReady,
		AnnounceStopping: reports.announceStopping,
		Logf: func(format string, args ...any) {
			p.log.Info("batch", "event", fmt.Sprintf(format, args...))
		},
	})
}

// newStoreClient returns the client that attaches a store to the keepers.
func (p *process) newStoreClient(members *members, store *batch.Store) *controlclient.Client {
	return controlclient.New(controlclient.Options{
		Self: controlclient.Node{
			Name:        p.settings.NodeName,
			Role:        controlclient.RoleStore,
			Zone:        p.settings.Zone,
			Addr:        p.internalAddr(storePort),
			ID:          store.ID(),
			Incarnation: uint64(time.Now().UnixNano()),
		},
		Seeds:        seedLinks(p.settings),
		KnownKeepers: members.keepers,
		Snapshots:    &snapshot.Latest{},
		OnSnapshot:   store.Update,
		Log:          p.log,
	})
}

// awaitStopped waits until a store does not use its log any more, or the process is to end anyway.
func (p *process) awaitStopped(store *batch.Store) {
	select {
	case <-store.Stopped():
	case <-p.ctx.Done():
	}
}
