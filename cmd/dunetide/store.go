package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"dunetide/internal/audit"
	"dunetide/internal/batch"
	"dunetide/internal/control"
	"dunetide/internal/link"
	"dunetide/internal/record"
	"dunetide/internal/settings"
	"dunetide/internal/view"
)

// jobsLog is the file of batch jobs.
const jobsLog = "lots.log"

type storeCmd struct{}

// storeLinks passes on what comes over links to whom it is for.
type storeLinks struct {
	*batch.Store
	records *audit.Store
}

// Message passes a message on.
func (l storeLinks) Message(m *link.Message) {
	if audit.Handles(m.Kind) {
		l.records.Message(m)
		return
	}
	l.Store.Message(m)
}

// Run serves the role until the process is told to stop.
func (storeCmd) Run(c *cli) error {
	p, err := start(c, control.RoleStore)
	if err != nil {
		return err
	}
	s := p.settings
	members, err := p.join(control.RoleStore, storePort)
	if err != nil {
		return err
	}
	folder, err := p.dataFolder()
	if err != nil {
		return err
	}
	// What is told to keepers outlasts SIGTERM: the lead of the parts is handed over then.
	attached, detach := context.WithCancel(context.WithoutCancel(p.ctx))
	defer detach()
	var client *control.Client
	store, err := batch.NewStore(batch.StoreOptions{
		Open: func(replay func(payload []byte, at int64) error) (batch.Log, error) {
			return record.Open(folder, jobsLog, replay)
		},
		Zone: s.Zone, MachinesLost: s.SurviveMachines, KeepMs: s.Bounds.StatusEvery.Milliseconds(),
		RoomBytes: int64(s.Limits.DiskMB) << 20 / 10 * 4, // a rewrite needs as much again
		Ready: func(part int, epoch uint64) {
			go func() {
				if err := reportJoined(attached, client, part, epoch); err != nil {
					p.log.Warn("part not switched", "part", part, "epoch", epoch, "err", err)
				}
			}()
		},
		AnnounceStopping: func(store uint64, stopping bool) {
			go func() {
				if err := reportStopping(attached, client, store, stopping); err != nil {
					p.log.Warn("stopping not announced", "stopping", stopping, "err", err)
				}
			}()
		},
		Logf: func(format string, args ...any) { p.log.Info("batch", "event", fmt.Sprintf(format, args...)) }})
	if err != nil {
		return err
	}
	defer store.Close()
	records, err := audit.OpenStore(audit.StoreOptions{Folder: folder, FileBytes: int64(s.Limits.DiskMB) << 20 / 128, Log: p.log})
	if err != nil {
		return err
	}
	defer records.Close()
	links, err := net.Listen("tcp4", p.addr(storePort))
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer links.Close()
	wg.Add(1)
	go func() { defer wg.Done(); _ = link.Serve(links, storeLinks{store, records}, link.DefaultOptions) }() // ends with the listener
	client = control.NewClient(control.ClientOptions{Self: control.Node{Name: s.NodeName, Role: control.RoleStore, Zone: s.Zone,
		Addr: p.addr(storePort), ID: store.ID(), Life: uint64(time.Now().UnixNano())}, Seeds: seedLinks(s),
		Known: members.keepers, Holder: &view.Holder{}, Changed: store.Update, Log: p.log})
	p.watcher.Subscribe(func(s *settings.Settings) { client.SetSeeds(seedLinks(s)) })
	wg.Add(1)
	go func() { defer wg.Done(); client.Run(attached) }()
	defer detach() // before the wait for the goroutines
	select {
	case <-store.Done():
		return store.Err()
	case <-p.ctx.Done():
		p.handOver(store)
		return nil
	}
}
