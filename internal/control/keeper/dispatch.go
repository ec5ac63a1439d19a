package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// Message handles a message received over a link; it implements link.Handler. Messages of the registers go to the
// registers' goroutine, all others to the owner goroutine.
func (k *Keeper) Message(m *link.Message) {
	switch m.Kind {
	case controlclient.KindConsensus:
		k.registers.receive(m.Body)
	case controlclient.KindDecided:
		k.registers.receiveDecided(m.Body)
	default:
		k.submit(func() { k.handleMessage(m) })
	}
}

// handleMessage dispatches a message by its kind. It lists all kinds that the owner goroutine handles.
func (k *Keeper) handleMessage(m *link.Message) {
	now := time.Now()
	switch m.Kind {
	// From attached processes.
	case controlclient.KindHello: // also from keepers
		k.handleHello(m)
	case controlclient.KindAck:
		k.handleAck(now, m)
	case controlclient.KindConfirm:
		k.certificateReads.Add(m)
		k.confirmCertificates()
	case controlclient.KindInContact:
		m.Reply(k.encodeContact())
	case controlclient.KindPartitionJoined:
		k.handlePartitionJoined(m)
	case controlclient.KindStoreStopping:
		k.handleStoreStopping(m)
	case controlclient.KindCondition: // also from keepers
		k.handleCondition(now, m)
	case controlclient.KindStatus:
		m.Reply(k.statusJSON())

	// From other keepers.
	case controlclient.KindEndpoints:
		k.handleEntries(now, m)
	case controlclient.KindLiveness:
		k.handleLiveness(now, m)
	case controlclient.KindEndpointsRequest:
		k.sendEntries(m.Conn, k.endpoints.Entries(k.sinceStart(now), -1), nil)
	case controlclient.KindAttached:
		k.handleAttached(m)
	case controlclient.KindCertificatesInForce:
		k.handleInForce(m)
	case controlclient.KindKeeperReport:
		k.handleReport(m)
	case controlclient.KindLease:
		k.handleLease(now, m)

	default:
		m.Fail("no such call here: both sides must run the same version")
	}
}

// Closed removes a link that has ended; it implements link.Handler.
func (k *Keeper) Closed(conn *link.Conn) {
	k.submit(func() {
		delete(k.fullLists, conn)
		k.dropAttached(conn)
		k.dropLink(conn)
	})
}
