package lease

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// maxListed is the most leases that are listed in a status.
const maxListed = 200

// Status is the state of the leases as one node sees it, for operators.
type Status struct {
	Voter  *VoterStatus `json:"voter,omitempty"` // nil if this node is not a voter of the log
	Why    string       `json:"why,omitempty"`   // why it does not vote at present
	Client ClientStatus `json:"asker"`
	Leases []Wish       `json:"wanted"` // the leases that this node wants
}

// VoterStatus is the state of a voter.
type VoterStatus struct {
	Log      string      `json:"log"`
	Number   string      `json:"number"` // of this voter
	Role     string      `json:"role"`
	Term     uint64      `json:"term"`
	Leader   string      `json:"leader"`
	Voters   []string    `json:"voters"`
	Learners []string    `json:"learners"`
	Wanted   []string    `json:"wanted_voters"`
	Commit   uint64      `json:"commit"`
	Applied  uint64      `json:"applied"`
	Bytes    int64       `json:"bytes"`
	Token    uint64      `json:"last_token"`
	Blocked  bool        `json:"blocked"` // a log that has just begun grants nothing yet
	Count    int         `json:"count"`
	Leases   []Holding   `json:"leases"` // the first of them by name
	Nodes    int         `json:"nodes"`  // number of nodes that have sent requests
	Pending  int         `json:"pending"`
	Stats    VoterStats  `json:"since_start"`
	Failed   string      `json:"failed,omitempty"` // the last disk error
	Here     []VoterSeen `json:"seen"`
}

// VoterSeen is the identity that another node has reported.
type VoterSeen struct {
	Name   string  `json:"name"`
	Log    string  `json:"log,omitempty"`
	Number string  `json:"number,omitempty"`
	Age    float64 `json:"age_s"`
}

// ClientStatus is the state of a node's client.
type ClientStatus struct {
	Incarnation uint64      `json:"incarnation"`
	Requests    uint64      `json:"asks"`
	Asking      string      `json:"asking,omitempty"` // the voter that has not answered the outstanding request yet
	Leader      string      `json:"leader,omitempty"`
	Stats       ClientStats `json:"since_start"`
	// Answered is the number of the last answered requests, up to latencyWindow; Median and P99 are their latencies.
	Answered int     `json:"answered_of_late"`
	Median   float64 `json:"median_ms"`
	P99      float64 `json:"p99_ms"`
}

// Wish is a lease that this node wants.
type Wish struct {
	Name   string  `json:"name"`
	Token  uint64  `json:"token"` // 0 if it is not held
	Left   float64 `json:"left_s"`
	Length float64 `json:"length_s"`
	Holder string  `json:"holder,omitempty"` // by the last answer
	Why    string  `json:"why,omitempty"`
}

// Status returns the state of the client and of the voter. If the voter does not answer before the context ends, Why says so.
func (l *Leases) Status(ctx context.Context) Status {
	var s Status
	l.mu.Lock()
	now := l.options.Clock()
	s.Why, s.Leases = l.failed, []Wish{}
	if !l.joined {
		s.Why = ErrNotJoined.Error()
	}
	s.Client = ClientStatus{Incarnation: l.client.incarnation, Requests: l.client.number, Leader: l.client.leader, Stats: l.client.stats}
	if took := slices.Sorted(slices.Values(l.took)); len(took) > 0 {
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		s.Client.Answered, s.Client.Median, s.Client.P99 = len(took), ms(took[len(took)/2]), ms(took[len(took)*99/100])
	}
	if l.client.out != nil {
		s.Client.Asking = l.client.out.To
	}
	for _, name := range l.client.names() {
		t := l.client.tenures[name]
		token, left := l.client.Held(name, now)
		s.Leases = append(s.Leases, Wish{name, token, left.Seconds(), t.length.Seconds(), t.holder, t.refusal})
	}
	l.mu.Unlock()
	if s.Why != "" {
		return s
	}
	voter, err := await(ctx, l, func(v *Voter, now time.Duration, reply func(*VoterStatus)) { reply(v.status(now)) })
	if err != nil {
		s.Why = err.Error()
	}
	s.Voter = voter
	return s
}

func (v *Voter) status(now time.Duration) *VoterStatus {
	if v.node == nil {
		return nil
	}
	raft := v.node.BasicStatus()
	s := &VoterStatus{Log: v.self.Log.String(), Number: fmt.Sprintf("%016x", v.self.Voter), Role: raft.RaftState.String(),
		Term: raft.HardState.GetTerm(), Leader: v.Leader(), Voters: v.Voters(), Wanted: v.machine.state.Wanted, Commit: raft.HardState.GetCommit(),
		Applied: v.applied, Bytes: v.disk.size, Token: v.machine.state.Token, Leases: v.machine.holdings(maxListed), Nodes: len(v.machine.state.Nodes) - 1,
		Pending: len(v.pending), Stats: v.stats, Failed: v.why}
	_, s.Blocked = v.machine.state.Leases[blocked]
	s.Count = len(v.machine.state.Leases)
	if s.Blocked {
		s.Count--
	}
	for _, id := range v.conf.GetLearners() {
		s.Learners = append(s.Learners, v.machine.state.Voters[id])
	}
	for name, h := range v.here {
		seen := VoterSeen{Name: name, Age: (now - h.at).Seconds()}
		if h.id.Log != (logID{}) {
			seen.Log, seen.Number = h.id.Log.String(), fmt.Sprintf("%016x", h.id.Voter)
		}
		s.Here = append(s.Here, seen)
	}
	return s
}
