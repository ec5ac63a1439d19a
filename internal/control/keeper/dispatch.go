package keeper

import (
	"time"

	"dunetide/internal/control/controlclient"
	"dunetide/internal/platform/link"
)

// Message takes a message that came over a link; it implements link.Handler. Messages of the registers go to the
// registers' goroutine, all others to the owner goroutine.
func (k *Keeper) Message(m *link.Message) {
	switch m.Kind {
	case controlclient.Agree:
		k.registers.receive(m.Body)
	case controlclient.Learn:
		k.registers.receiveDecided(m.Body)
	default:
		k.submit(func() { k.handleMessage(m) })
	}
}

// handleMessage dispatches a message by its kind: a table of all kinds that the owner goroutine takes.
func (k *Keeper) handleMessage(m *link.Message) {
	now := time.Now()
	switch m.Kind {
	// From attached processes.
	case controlclient.Hello: // also from keepers
		k.handleHello(m)
	case controlclient.Ack:
		k.handleAck(now, m)
	case controlclient.Confirm:
		k.certificateReads.Add(m)
		k.confirmCertificates()
	case controlclient.InContact:
		m.Reply(k.encodeContact())
	case controlclient.Joined:
		k.handlePartitionJoined(m)
	case controlclient.Stopping:
		k.handleStoreStopping(m)
	case controlclient.ProcessTrouble: // also from keepers
		k.handleCondition(now, m)
	case controlclient.Status:
		m.Reply(k.statusJSON())

	// From other keepers.
	case controlclient.Entries:
		k.handleEntries(now, m)
	case controlclient.Heard:
		k.handleLiveness(now, m)
	case controlclient.Missing:
		k.sendEntries(m.Conn, k.endpoints.Entries(k.sinceStart(now), -1), nil)
	case controlclient.Attached:
		k.handleAttached(m)
	case controlclient.InForce:
		k.handleInForce(m)
	case controlclient.Report:
		k.handleReport(m)
	case controlclient.Lease:
		k.handleLease(now, m)

	default:
		m.Fail("no such call here: both sides must run the same version")
	}
}

// Closed forgets a link that has ended; it implements link.Handler.
func (k *Keeper) Closed(conn *link.Conn) {
	k.submit(func() {
		k.dropAttached(conn)
		k.dropLink(conn)
	})
}
