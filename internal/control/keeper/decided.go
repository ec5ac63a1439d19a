package keeper

import (
	"fmt"
	"time"

	"dunetide/internal/consensus/paxos"
)

// applyDecided applies a decided state of a register if it is newer; the loop then pushes it to the attached processes.
// States may arrive repeatedly and out of order.
func (k *Keeper) applyDecided(register string, s paxos.State) {
	switch register {
	case configRegister:
		k.applyConfig(s)
	case certificatesRegister:
		k.applyCertificates(s)
	case partitionsRegister:
		k.applyPartitions(s)
	}
}

func (k *Keeper) applyConfig(s paxos.State) {
	decided, err := decodeDocument(s.Value)
	if err != nil {
		k.log.Error("configuration register unreadable", "slot", s.Slot, "err", err)
		return
	}
	k.newestDecided[configRegister].advance(configRegister, s.Slot, decided.version)
	if decided.version <= k.config.version {
		return
	}
	k.config = decided
	k.pushNeeded = true
	k.log.Info("configuration in force", "version", decided.version, "slot", s.Slot)
}

func (k *Keeper) applyCertificates(s paxos.State) {
	decided, err := decodeDocument(s.Value)
	if err != nil {
		k.log.Error("certificates register unreadable", "slot", s.Slot, "err", err)
		return
	}
	k.newestDecided[certificatesRegister].advance(certificatesRegister, s.Slot, decided.version)
	if decided.version <= k.certificates.version {
		return
	}
	k.logCertificateChange(decided, s.Slot)
	k.certificates = decided
	k.pushNeeded = true
}

func (k *Keeper) applyPartitions(s paxos.State) {
	decided, err := decodeTable(s)
	if decided == nil || err != nil { // no table yet, or unreadable: keep the table in force
		return
	}
	if k.partitions != nil && decided.Version <= k.partitions.Version {
		return
	}
	k.partitions = decided
	k.partitionOwners = updateOwners(k.partitionOwners, decided, time.Now())
	k.pushNeeded = true
	if k.log.IsDebug() { // formatting the table is expensive
		k.log.Debug("table in force", "number", decided.Version, "parts", fmt.Sprint(decided.Partitions),
			"stores", fmt.Sprint(decided.Stores))
	}
}
