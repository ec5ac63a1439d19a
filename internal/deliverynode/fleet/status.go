package fleet

import "time"

// Status is the state of the fleet as seen by one node, for operators.
type Status struct {
	Fleet       string            `json:"fleet"`
	Name        string            `json:"name"`
	Address     string            `json:"address"`
	State       string            `json:"state"`
	Why         string            `json:"why,omitempty"`
	Incarnation uint64            `json:"incarnation"`
	Count       int               `json:"count"` // the number of members that limits are divided by
	Members     []MemberStatus    `json:"members"`
	Traffic     Traffic           `json:"traffic"`
	Refused     map[string]string `json:"refused,omitempty"` // the reason by peer
}

// MemberStatus is the state of one member and of the messages queued for it.
type MemberStatus struct {
	Name        string  `json:"name"`
	State       State   `json:"state"`
	For         float64 `json:"for_s"` // time in this state
	Incarnation uint64  `json:"incarnation"`
	Address     string  `json:"address"`
	Heard       bool    `json:"heard"`
	Link        string  `json:"link,omitempty"` // "up" or "down"; empty if no link was needed
	Waiting     int     `json:"waiting,omitempty"`
	Bytes       int     `json:"waiting_bytes,omitempty"`
	Unanswered  int     `json:"unanswered,omitempty"`
	Dropped     int     `json:"dropped,omitempty"`
}

// Traffic has counters since the process started.
type Traffic struct {
	BytesOut       int64 `json:"bytes_out"`
	BytesIn        int64 `json:"bytes_in"`
	PacketsOut     int64 `json:"packets_out"`
	PacketsIn      int64 `json:"packets_in"`
	Dials          int64 `json:"dials"`
	Connections    int   `json:"connections"`
	MaxConns       int   `json:"max_connections"`
	Crowded        int64 `json:"no_place"`  // connections rejected by the connection limit
	Dropped        int64 `json:"dropped"`   // datagrams dropped because the queue was full
	Spoilt         int64 `json:"spoilt"`    // frames and datagrams with a wrong checksum, or from another fleet
	Strangers      int64 `json:"strangers"` // connections and datagrams of another protocol
	Versions       int64 `json:"refused_versions"`
	Raised         int64 `json:"raised"` // times the incarnation was raised because of other nodes' records
	MembersRefused int   `json:"members_without_room"`
}

// Status returns the state of the fleet as seen by this node.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	s := Status{Fleet: f.options.File.Fleet, Name: f.options.Name, Address: f.address.String(), State: f.state, Why: f.why,
		Incarnation: f.table.Self().Incarnation, Count: f.table.Count(now), Refused: map[string]string{},
		Traffic: Traffic{BytesOut: f.stats.bytesOut.Load(), BytesIn: f.stats.bytesIn.Load(), PacketsOut: f.stats.packetsOut.Load(),
			PacketsIn: f.stats.packetsIn.Load(), Dials: f.stats.dials.Load(), Connections: len(f.conns), MaxConns: cap(f.conns),
			Crowded: f.stats.connsRefused.Load(), Dropped: f.stats.dropped.Load(), Spoilt: f.stats.corrupt.Load(),
			Strangers: f.stats.foreign.Load(), Versions: f.stats.versions.Load(), Raised: f.stats.raised.Load(), MembersRefused: f.table.Refused}}
	for who, why := range f.refused {
		s.Refused[who] = why
	}
	for _, m := range f.table.Members() {
		ms := MemberStatus{Name: m.Name, State: m.State, For: (now - m.Since).Round(time.Millisecond).Seconds(),
			Incarnation: m.Incarnation, Address: m.Address, Heard: m.Heard}
		if l := f.links[m.Name]; l != nil {
			l.mu.Lock()
			ms.Link = "down"
			if l.conn != nil {
				ms.Link = "up"
			}
			ms.Waiting, ms.Bytes, ms.Unanswered, ms.Dropped = len(l.peer.pending), l.peer.bytes, len(l.peer.requests), l.peer.Dropped
			l.mu.Unlock()
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
