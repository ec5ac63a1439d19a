package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/control/membership"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/settings"
)

// members is the process's partial view of the others.
type members struct{ service *membership.Service }

// addr is where a role's links and datagrams are on this machine.
func (p *process) internalAddr(port int) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstInternalPort+port))
}

// join starts the process's part in membership.
func (p *process) joinMembership(role string, port int) (*members, error) {
	at, err := net.ResolveUDPAddr("udp4", p.internalAddr(port))
	if err != nil {
		return nil, errUsage.New("ip and internal_ports: %v", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	s := p.settings
	self := membership.Peer{Name: s.NodeName, Role: role, Zone: s.Zone, Addr: p.internalAddr(port), Incarnation: uint64(time.Now().UnixNano())}
	service, err := membership.Start(p.ctx, conn, membership.Options{Self: self, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		seedLinks(s))
	if err != nil {
		return nil, err
	}
	p.watcher.Subscribe(func(s *settings.Settings) { service.SetSeeds(seedLinks(s)) })
	return &members{service}, nil
}

// keepers are those that the view knows of.
func (m *members) keepers() []controlclient.Node {
	var nodes []controlclient.Node
	for _, peer := range m.service.Keepers() {
		nodes = append(nodes, controlclient.Node{Name: peer.Name, Role: controlclient.RoleKeeper, Zone: peer.Zone, Addr: peer.Addr, Incarnation: peer.Incarnation})
	}
	return nodes
}

// dataFolder is where the role keeps what must last.
func (p *process) openDataFolder() (journal.Folder, error) {
	return journal.Dir(p.settings.DataDir), nil
}
