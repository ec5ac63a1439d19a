package keeper

import (
	"encoding/json"
	"time"
)

// status is the state of a keeper as returned by GET /status and the Status call. The keys are part of the public
// interface.
type status struct {
	Node                string            `json:"node"`
	Voter               bool              `json:"voter"` // of all registers
	InContact           bool              `json:"in_contact"`
	ConfigVersion       uint64            `json:"config_version"`
	CertificatesVersion uint64            `json:"certificates_version"`
	TableNumber         uint64            `json:"table_number"`
	Proxies             int               `json:"proxies"`
	AssignsPartitions   bool              `json:"assigns_parts"` // whether it holds the lease of that role
	Voters              []string          `json:"voters"`
	Keepers             []string          `json:"keepers_met"`
	Attached            []attachedStatus  `json:"attached"`
	EndpointsByService  map[string]int    `json:"endpoints"`
	DiskCondition       string            `json:"disk_trouble,omitempty"` // why nothing can be saved
	Conditions          []conditionStatus `json:"in_trouble,omitempty"`   // of processes that report one to any keeper
}

type conditionStatus struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	Seconds int    `json:"for_s"`
}

type attachedStatus struct {
	Node                string `json:"node"`
	Role                string `json:"role"`
	Zone                string `json:"zone"`
	ConfigVersion       uint64 `json:"config_version"`
	CertificatesVersion uint64 `json:"certificates_version"`
	PushesBehind        uint64 `json:"pushes_behind"`
}

// statusJSON encodes the status, with a newline.
func (k *Keeper) statusJSON() []byte {
	b, err := json.MarshalIndent(k.currentStatus(time.Now()), "", "  ")
	if err != nil { // can't happen: all fields always marshal
		return []byte("{}")
	}
	return append(b, '\n')
}

func (k *Keeper) currentStatus(now time.Time) status {
	s := status{
		Node:                k.self.Name,
		Voter:               k.registers.votes(),
		InContact:           k.inContact(),
		ConfigVersion:       k.config.version,
		CertificatesVersion: k.certificates.version,
		Proxies:             k.proxyCount,
		AssignsPartitions:   k.assigner.lease.HasLease(k.sinceStart(now)),
		Voters:              k.voterNames(),
		Attached:            k.attachedStatuses(),
		EndpointsByService:  map[string]int{},
		DiskCondition:       k.registers.diskCondition(),
		Conditions:          k.conditionStatuses(now),
	}
	if k.partitions != nil {
		s.TableNumber = k.partitions.Version
	}
	for _, node := range k.reachableKeepers() {
		s.Keepers = append(s.Keepers, node.Name)
	}
	endpoints, _, _ := k.endpoints.Changes(k.sinceStart(now), 0)
	for _, e := range endpoints {
		s.EndpointsByService[e.Service]++
	}
	return s
}

// voterNames returns the names of the voters of all registers, without duplicates.
func (k *Keeper) voterNames() (names []string) {
	listed := map[string]bool{}
	for _, voter := range k.registers.voters() {
		if !listed[voter.Name] {
			listed[voter.Name] = true
			names = append(names, voter.Name)
		}
	}
	return names
}

func (k *Keeper) attachedStatuses() (statuses []attachedStatus) {
	for _, process := range k.attached {
		mark := process.acknowledged()
		statuses = append(statuses, attachedStatus{
			Node:                process.node.Name,
			Role:                process.node.Role,
			Zone:                process.node.Zone,
			ConfigVersion:       mark.configVersion,
			CertificatesVersion: mark.certificatesVersion,
			PushesBehind:        process.pushedNumber - process.ackedNumber,
		})
	}
	return statuses
}

func (k *Keeper) conditionStatuses(now time.Time) (statuses []conditionStatus) {
	k.conditions.expire(now)
	for _, c := range k.conditions.sorted() {
		statuses = append(statuses, conditionStatus{
			Node:    c.node.Name,
			Role:    c.node.Role,
			Zone:    c.node.Zone,
			Reason:  c.reason,
			Seconds: int(now.Sub(c.firstReportedAt).Seconds()),
		})
	}
	return statuses
}
