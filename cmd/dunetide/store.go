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
	// batchLogPercent is the share of the disk for the log of batch jobs. The rest is for the record
	// of regulated runs and for a log segment that is written before an old one is removed.
	batchLogPercent = 85
	// recordFileDivisor is the divisor of the disk space that gives the maximum size of a file of
	// the record of regulated runs.
	recordFileDivisor = 128
)

// storeCmd runs a store, a server of batch jobs.
type storeCmd struct{}

// Run serves the role until shutdown is requested.
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
		FileBytes: p.diskBytes() / recordFileDivisor,
		Log:       p.log,
	})
	if err != nil {
		return err
	}
	defer records.Close()
	return p.runWithDiskSpace(folder, func() error { return p.serveStore(members, folder, records) })
}

// diskBytes returns the disk space limit of the process.
func (p *process) diskBytes() int64 { return int64(p.settings.Limits.DiskMB) << 20 }

// serveStore serves until shutdown is requested or the store fails.
func (p *process) serveStore(members *members, folder vfs.Folder, records *audit.Store) error {
	// Reports to keepers continue after SIGTERM, when the partitions of the store are transferred.
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
	defer p.awaitStopped(store) // its log must not be in use when it is reopened
	defer store.Close()
	links, err := p.listen(p.internalAddr(storePort))
	if err != nil {
		return err
	}
	var serving sync.WaitGroup
	defer serving.Wait()
	defer links.Close()
	handler := newStoreLinkHandler(store, records, newQuotaServer(store, &p.settings.Bounds))
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

// openStore opens the log of batch jobs. The store is idle until its first snapshot.
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

// awaitStopped waits until a store no longer uses its log or shutdown is requested.
func (p *process) awaitStopped(store *batch.Store) {
	select {
	case <-store.Stopped():
	case <-p.ctx.Done():
	}
}
