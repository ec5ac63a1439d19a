package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/membership"
	"dunetide/internal/platform/settings"
)

// members is this process's partial view of the other processes.
type members struct{ service *membership.Service }

// joinMembership joins the membership gossip. The process leaves it when shutdown is requested.
func (p *process) joinMembership(role string, port int) (*members, error) {
	addr, err := net.ResolveUDPAddr("udp4", p.internalAddr(port))
	if err != nil {
		return nil, errUsage.New("ip and internal_ports: %v", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	self := membership.Peer{
		Name:        p.settings.NodeName,
		Role:        role,
		Zone:        p.settings.Zone,
		Addr:        p.internalAddr(port),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	service, err := membership.Start(p.ctx, conn, membership.Options{Self: self, Rand: random}, seedLinks(p.settings))
	if err != nil {
		return nil, err
	}
	p.watcher.Subscribe(func(s *settings.Settings) { service.SetSeeds(seedLinks(s)) })
	return &members{service}, nil
}

// keepers returns the keepers in the view.
func (m *members) keepers() []controlclient.Node {
	var nodes []controlclient.Node
	for _, peer := range m.service.Keepers() {
		nodes = append(nodes, controlclient.Node{
			Name:        peer.Name,
			Role:        controlclient.RoleKeeper,
			Zone:        peer.Zone,
			Addr:        peer.Addr,
			Incarnation: peer.Incarnation,
		})
	}
	return nodes
}
