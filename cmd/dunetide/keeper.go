package main

import (
	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/keeper"
	"dunetide/internal/platform/settings"
	"dunetide/internal/platform/vfs"
)

// keeperCmd runs a keeper, a server of the control plane.
type keeperCmd struct{}

// Run serves the role until shutdown is requested.
func (keeperCmd) Run(c *cli) error {
	p, err := start(c, controlclient.RoleKeeper)
	if err != nil {
		return err
	}
	defer p.close()
	members, err := p.joinMembership(controlclient.RoleKeeper, keeperPort)
	if err != nil {
		return err
	}
	p.startConditionReports(controlclient.RoleKeeper, keeperPort, members)
	var folder vfs.Folder
	if p.settings.DataDir != "" { // otherwise the state is in memory only
		folder = p.dataFolder()
	}
	var k *keeper.Keeper
	err = p.runWithDiskSpace(folder, func() (err error) {
		k, err = keeper.New(keeper.Options{Settings: p.settings, Folder: folder, Known: members.keepers, Log: p.log})
		return err
	})
	if err != nil || k == nil {
		return err
	}
	p.watcher.Subscribe(func(s *settings.Settings) { k.SetSeeds(s.Seeds) })
	return k.Run(p.ctx)
}
