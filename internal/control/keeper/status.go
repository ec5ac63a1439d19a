package keeper

import (
	"encoding/json"
	"time"
)

// status is what operators are shown of a keeper.
type status struct {
	Node         string           `json:"node"`
	Voter        bool             `json:"voter"`
	InContact    bool             `json:"in_contact"`
	Version      uint64           `json:"config_version"`
	Certificates uint64           `json:"certificates_version"`
	Table        uint64           `json:"table_number"`
	Senders      int              `json:"proxies"`
	Duty         bool             `json:"assigns_parts"`
	Voters       []string         `json:"voters"`
	Keepers      []string         `json:"keepers_met"`
	Attached     []attachedStatus `json:"attached"`
	Services     map[string]int   `json:"endpoints"`
	Disk         string           `json:"disk_trouble,omitempty"` // why nothing can be saved
	// Troubled are processes that can't do their work, attached or not, as they told any keeper.
	Troubled []troubleStatus `json:"in_trouble,omitempty"`
}

type troubleStatus struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Reason  string `json:"reason"`
	Seconds int    `json:"for_s"`
}

type attachedStatus struct {
	Node         string `json:"node"`
	Role         string `json:"role"`
	Zone         string `json:"zone"`
	Version      uint64 `json:"config_version"`
	Certificates uint64 `json:"certificates_version"`
	Behind       uint64 `json:"pushes_behind"`
}

func (k *Keeper) statusJSON() []byte {
	s := status{Node: k.self.Name, InContact: k.inContact(), Version: k.config.version, Certificates: k.certificates.version, Senders: k.senders, Voter: k.agree.votes(), Services: map[string]int{},
		Duty: k.assigner.lease.Holds(k.since(time.Now()))}
	s.Disk = k.agree.diskTrouble()
	if k.parts != nil {
		s.Table = k.parts.Number
	}
	names := map[string]bool{}
	for _, v := range k.agree.voters() {
		if !names[v.Name] {
			names[v.Name] = true
			s.Voters = append(s.Voters, v.Name)
		}
	}
	for _, n := range k.keeperNodes() {
		s.Keepers = append(s.Keepers, n.Name)
	}
	for _, p := range k.attached {
		m := p.inForce()
		s.Attached = append(s.Attached, attachedStatus{p.node.Name, p.node.Role, p.node.Zone, m.version, m.certificates, p.pushed - p.acked})
	}
	now := time.Now()
	k.troubles.expire(now)
	for _, t := range k.troubles.sorted() {
		s.Troubled = append(s.Troubled, troubleStatus{t.node.Name, t.node.Role, t.node.Zone, t.reason, int(now.Sub(t.began).Seconds())})
	}
	list, _, _ := k.table.Changes(k.since(time.Now()), 0)
	for _, e := range list {
		s.Services[e.Service]++
	}
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return []byte("{}")
	}
	return append(b, '\n')
}
