package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"dunetide/internal/batch"
	"dunetide/internal/batch/audit"
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/settings"
)

// jobsLogPercent of the disk is for batch jobs. The rest is for the record of regulated runs, and for a segment of the log
// that is written before another one is removed.
const batchLogPercent = 85

type storeCmd struct{}

// Run serves the role until the process is told to stop.
func (storeCmd) Run(c *cli) error {
	p, err := start(c, controlclient.RoleStore)
	if err != nil {
		return err
	}
	members, err := p.joinMembership(controlclient.RoleStore, storePort)
	if err != nil {
		return err
	}
	p.startConditionReports(controlclient.RoleStore, storePort, members)
	folder, err := p.openDataFolder()
	if err != nil {
		return err
	}
	records, err := audit.OpenStore(audit.StoreOptions{Folder: folder, FileBytes: int64(p.settings.Limits.DiskMB) << 20 / 128, Log: p.log})
	if err != nil {
		return err
	}
	defer records.Close()
	return p.runWithDiskSpace(folder, func() error { return p.serveStore(members, folder, records) })
}

// serveStore serves until the process is told to stop, or the store can't go on.
func (p *process) serveStore(members *members, folder journal.Folder, records *audit.Store) error {
	s := p.settings
	// What is told to keepers outlasts SIGTERM: the lead of the parts is handed over then.
	attached, detach := context.WithCancel(context.WithoutCancel(p.ctx))
	defer detach()
	var client *controlclient.Client
	store, err := batch.NewStore(batch.StoreOptions{
		Open: batch.OpenIn(folder),
		Zone: s.Zone, MaxLostMachines: s.SurviveMachines, RetentionMs: s.Bounds.StatusEvery.Milliseconds(),
		LogCapacityBytes: int64(s.Limits.DiskMB) << 20 / 100 * batchLogPercent,
		ReportReady: func(part int, epoch uint64) {
			go func() {
				if err := sendReport(attached, client, controlclient.KindPartitionJoined, controlclient.PartitionJoined{Partition: part, Epoch: epoch}.Encode()); err != nil {
					p.log.Warn("part not switched", "part", part, "epoch", epoch, "err", err)
				}
			}()
		},
		AnnounceStopping: func(store uint64, stopping bool) {
			go func() {
				if err := sendReport(attached, client, controlclient.KindStoreStopping, controlclient.StoreStopping{Store: store, Stopping: stopping}.Encode()); err != nil {
					p.log.Warn("stopping not announced", "stopping", stopping, "err", err)
				}
			}()
		},
		Logf: func(format string, args ...any) { p.log.Info("batch", "event", fmt.Sprintf(format, args...)) }})
	if err != nil {
		return err
	}
	p.condition.set(store.Condition)
	defer p.condition.clear()
	defer p.awaitStopped(store) // before the log is opened again
	defer store.Close()
	links, err := net.Listen("tcp4", p.internalAddr(storePort))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer links.Close()
	handler := newStoreLinkHandler(store, records)
	defer handler.closeAll()
	wg.Add(1)
	go func() { defer wg.Done(); _ = link.Serve(links, handler, link.DefaultOptions) }() // ends with the listener
	client = controlclient.New(controlclient.Options{Self: controlclient.Node{Name: s.NodeName, Role: controlclient.RoleStore, Zone: s.Zone,
		Addr: p.internalAddr(storePort), ID: store.ID(), Incarnation: uint64(time.Now().UnixNano())}, Seeds: seedLinks(s),
		KnownKeepers: members.keepers, Snapshots: &snapshot.Latest{}, OnSnapshot: store.Update, Log: p.log})
	defer p.watcher.Subscribe(func(s *settings.Settings) { client.SetSeeds(seedLinks(s)) })()
	wg.Add(1)
	go func() { defer wg.Done(); client.Run(attached) }()
	defer detach() // before the wait for the goroutines
	select {
	case <-store.Done():
		return store.Err()
	case <-p.ctx.Done():
		p.transferPartitions(store)
		return nil
	}
}

// awaitStopped waits until a store does not use its log any more, or the process is to end anyway.
func (p *process) awaitStopped(store *batch.Store) {
	select {
	case <-store.Stopped():
	case <-p.ctx.Done():
	}
}
