// Package lease grants leases on names to the nodes of a fleet: at any time at most one node may do the task of a name,
// until its lease expires, under a fencing token that grows with each grant. docs/leases.md describes it.
//
// The decisions are made by types without clock, goroutine or socket: StateMachine is the replicated state, Voter one member
// of the raft group that replicates it, Client the client of one node. Leases runs a Voter and a Client over a fleet.Net.
// The package uses internal/deliverynode/journal for its interface to the file system.
package lease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dunetide/internal/deliverynode/fleet"
)

const (
	// MaxLeases is the most leases that may be held at a time; it keeps a snapshot within one frame of a link.
	MaxLeases = fleet.MaxLeases
	// MaxName is the most bytes of a lease's name.
	MaxName = 48
	// maxOps is the most names in one request.
	maxOps = 256
	// newEpoch is the distance between the tokens of two epochs of a log: more than the lost voters can have granted
	// without the survivor having the entries.
	newEpoch = 1 << 30
	// MaxNote is the most bytes of a note. The log keeps as many notes as leases may be held.
	MaxNote = 256
	// Shortest is the least length of a lease. The greatest length is a setting of the log.
	Shortest = 500 * time.Millisecond
)

// Kinds of op.
const (
	opTake = iota + 1 // acquire a lease, or renew it
	opGive            // release a lease
)

// op is the operation of a request on one name.
type op struct {
	Do     uint8         `cbor:"1,keyasint"`
	Name   string        `cbor:"2,keyasint"`
	Token  uint64        `cbor:"3,keyasint,omitempty"` // opGive: the lease to release; opTake: the only lease to renew, if not 0
	Length time.Duration `cbor:"4,keyasint,omitempty"` // opTake
	// SetNote replaces the name's note by Note, if the requester has the lease after opTake or had it before opGive.
	SetNote bool   `cbor:"5,keyasint,omitempty"`
	Note    []byte `cbor:"6,keyasint,omitempty"`
	// Since, if not 0, is the first of the requester's earlier incarnations that are known to have ended their work under
	// this name: the requester may take the lease over from them.
	Since uint64 `cbor:"7,keyasint,omitempty"`
}

// request is a request of one node to the log, for several names at once.
type request struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // grows with each request of an incarnation
	Ops         []op   `cbor:"4,keyasint"`
}

// outcome is the result of one op. Token and Length are those of the lease after it; a token of 0 means that it is free.
type outcome struct {
	Token  uint64        `cbor:"1,keyasint,omitempty"`
	Holder string        `cbor:"2,keyasint,omitempty"`
	Mine   bool          `cbor:"3,keyasint,omitempty"` // the requester has the lease, for Length from a time before this request
	Length time.Duration `cbor:"4,keyasint,omitempty"`
	No     string        `cbor:"5,keyasint,omitempty"` // why the lease was not granted although it is free
	Note   []byte        `cbor:"6,keyasint,omitempty"` // the note of the name, if the requester has the lease
}

// lapse states that a lease has expired, if it was not renewed more often than Renewed.
type lapse struct {
	Name    string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"`
	Renewed uint64 `cbor:"3,keyasint"`
}

// command is an entry of the log. Exactly one of Ask, Lapsed and Wanted is set.
type command struct {
	Ask     *request `cbor:"1,keyasint,omitempty"`
	Lapsed  []lapse  `cbor:"2,keyasint,omitempty"`
	Wanted  []string `cbor:"3,keyasint,omitempty"` // names of the nodes that should be voters from now on
	Request uint64   `cbor:"4,keyasint,omitempty"` // identifies the call that set Wanted
}

// grant is a lease in the log.
type grant struct {
	Node        uint32        `cbor:"1,keyasint"` // an index into machineState.Nodes
	Incarnation uint64        `cbor:"2,keyasint"`
	Token       uint64        `cbor:"3,keyasint"`
	Renewed     uint64        `cbor:"4,keyasint"`
	Length      time.Duration `cbor:"5,keyasint"`
}

// session is the state that the log keeps for each client node, so that late and repeated requests have no effect.
type session struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // of its last request
	At          uint64 `cbor:"4,keyasint"` // number of commands at its last request
	Holds       int    `cbor:"5,keyasint"` // number of leases, under any incarnation
}

// blocked is the name of a lease without a holder. Until it expires, a new log grants nothing.
const blocked = ""

var (
	errOld  = errors.New("an older ask than one that has come")
	errFull = errors.New("no room for another node's asks")
)

// StateMachine is the replicated state machine: it is the same at all voters that have applied the same commands, and does
// not depend on time. It is not safe for concurrent use.
type StateMachine struct {
	state machineState
	index map[string]uint32 // of sessions, by name
	freed []string          // names whose leases have ended since the caller last cleared this
}

// machineState is the part of a StateMachine that is in a snapshot.
type machineState struct {
	Commands uint64            `cbor:"1,keyasint"`
	Token    uint64            `cbor:"2,keyasint"` // of the last grant
	Leases   map[string]grant  `cbor:"3,keyasint"`
	Nodes    []session         `cbor:"4,keyasint"`
	Voters   map[uint64]string `cbor:"5,keyasint"` // names of the voters and learners by their raft ids
	Wanted   []string          `cbor:"6,keyasint"`
	Longest  time.Duration     `cbor:"7,keyasint"`
	Most     int               `cbor:"8,keyasint"`
	Notes    map[string]note   `cbor:"9,keyasint,omitempty"`
}

// note is a text that the last holder of a name has stored for the next one.
type note struct {
	Text []byte `cbor:"1,keyasint"`
	At   uint64 `cbor:"2,keyasint"` // number of commands when it was stored
}

// newStateMachine returns the state of a new log: nothing is granted until a lease of the greatest length would have expired,
// and all tokens are greater than above.
func newStateMachine(above uint64, longest time.Duration, most int, wanted []string) *StateMachine {
	return &StateMachine{state: machineState{Token: above + 1, Leases: map[string]grant{blocked: {Token: above + 1, Length: longest}},
		Nodes: []session{{Holds: 1}}, Voters: map[uint64]string{}, Wanted: wanted,
		Longest: longest, Most: min(most, MaxLeases)}, index: map[string]uint32{}}
}

// encoding and decoding are the CBOR modes of all messages and files. Decoding limits the sizes of input from disk and links.
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 1 << 16,
		MaxMapPairs: 1 << 15, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return v
}

// snapshot encodes the state.
func (b *StateMachine) snapshot() ([]byte, error) { return encoding.Marshal(b.state) }

// readStateMachine decodes a snapshot. It fails if the snapshot contradicts itself.
func readStateMachine(text []byte) (*StateMachine, error) {
	b := &StateMachine{index: map[string]uint32{}}
	if err := decoding.Unmarshal(text, &b.state); err != nil {
		return nil, fmt.Errorf("the snapshot of the leases: %w", err)
	}
	if len(b.state.Nodes) == 0 {
		return nil, errors.New("the snapshot of the leases has no nodes")
	}
	for i, s := range b.state.Nodes[1:] {
		b.index[s.Name] = uint32(i + 1)
	}
	for name, h := range b.state.Leases {
		if int(h.Node) >= len(b.state.Nodes) {
			return nil, fmt.Errorf("the snapshot of the leases: %q is held by node %d of %d", name, h.Node, len(b.state.Nodes))
		}
	}
	if b.state.Leases == nil {
		b.state.Leases = map[string]grant{}
	}
	if b.state.Voters == nil {
		b.state.Voters = map[uint64]string{}
	}
	return b, nil
}

// node returns the index of a node's session, and creates the session if there is none. If there are too many, the least
// recently used session without leases is replaced.
func (b *StateMachine) node(name string) (uint32, error) {
	if i, ok := b.index[name]; ok {
		return i, nil
	}
	s := session{Name: name}
	if len(b.state.Nodes) <= fleet.MaxMembers {
		b.state.Nodes = append(b.state.Nodes, s)
		b.index[name] = uint32(len(b.state.Nodes) - 1)
		return b.index[name], nil
	}
	oldest := 0
	for i, n := range b.state.Nodes {
		if i > 0 && n.Holds == 0 && (oldest == 0 || n.At < b.state.Nodes[oldest].At) {
			oldest = i
		}
	}
	if oldest == 0 {
		return 0, errFull
	}
	delete(b.index, b.state.Nodes[oldest].Name)
	b.state.Nodes[oldest] = s
	b.index[name] = uint32(oldest)
	return uint32(oldest), nil
}

// applyRequest applies a request. It returns the outcomes of its ops, and the names of the leases that were granted or
// renewed, whose timers must be restarted. After an error the request has had no effect.
func (b *StateMachine) applyRequest(a *request) (all []outcome, changed []string, err error) {
	b.state.Commands++
	if len(a.Ops) > maxOps {
		return nil, nil, fmt.Errorf("%d names in one ask, over %d", len(a.Ops), maxOps)
	}
	i, err := b.node(a.Node)
	if err != nil {
		return nil, nil, err
	}
	s := &b.state.Nodes[i]
	if cmp.Or(cmp.Compare(a.Incarnation, s.Incarnation), cmp.Compare(a.Number, s.Number)) <= 0 {
		return nil, nil, errOld
	}
	s.Incarnation, s.Number, s.At = a.Incarnation, a.Number, b.state.Commands
	for _, o := range a.Ops {
		out, began := b.do(i, a.Incarnation, o)
		all = append(all, out)
		if began {
			changed = append(changed, o.Name)
		}
	}
	return all, changed, nil
}

// do applies one op of the node with session i, and reports whether the lease was granted or renewed.
func (b *StateMachine) do(i uint32, incarnation uint64, o op) (out outcome, began bool) {
	h, there := b.state.Leases[o.Name]
	if there && o.Do == opTake && h.Node == i && o.Since != 0 && h.Incarnation >= o.Since && h.Incarnation < incarnation {
		b.drop(o.Name, h)
		there = false
	}
	mine := there && h.Node == i && h.Incarnation == incarnation
	switch {
	case o.Name == blocked || len(o.Name) > MaxName:
		return outcome{No: "no name of a lease"}, false
	case o.Do == opGive:
		if mine && h.Token == o.Token {
			if o.SetNote {
				b.note(o.Name, o.Note)
			}
			b.drop(o.Name, h)
			return outcome{}, false
		}
	case o.Do != opTake:
		return outcome{No: fmt.Sprintf("nothing is known of op %d", o.Do)}, false
	case mine && (o.Token == 0 || o.Token == h.Token):
		h.Renewed++
		b.state.Leases[o.Name] = h
		if o.SetNote {
			b.note(o.Name, o.Note)
		}
		return outcome{Token: h.Token, Holder: b.state.Nodes[i].Name, Mine: true, Length: h.Length, Note: b.state.Notes[o.Name].Text}, true
	case there || o.Token != 0:
	case b.state.Leases[blocked].Token != 0:
		return outcome{No: "the log has begun a moment ago: leases of one before it may not have run out"}, false
	case len(b.state.Leases) >= b.state.Most:
		return outcome{No: fmt.Sprintf("%d leases are held", b.state.Most)}, false
	case o.Length < Shortest || o.Length > b.state.Longest:
		return outcome{No: fmt.Sprintf("a length of %v: it has to be %v to %v", o.Length, Shortest, b.state.Longest)}, false
	default:
		b.state.Token++
		b.state.Leases[o.Name] = grant{Node: i, Incarnation: incarnation, Token: b.state.Token, Length: o.Length}
		b.state.Nodes[i].Holds++
		return outcome{Token: b.state.Token, Holder: b.state.Nodes[i].Name, Mine: true, Length: o.Length, Note: b.state.Notes[o.Name].Text}, true
	}
	if !there {
		return outcome{}, false
	}
	return outcome{Token: h.Token, Holder: b.state.Nodes[h.Node].Name, Length: h.Length}, false
}

// note replaces the note of a name that is held; a text that is empty or too long removes it. If there are too many notes,
// the oldest one whose name is not held is dropped, so the absence of a note does not prove that a name is new.
func (b *StateMachine) note(name string, text []byte) {
	if len(text) == 0 || len(text) > MaxNote {
		delete(b.state.Notes, name)
		return
	}
	if b.state.Notes == nil {
		b.state.Notes = map[string]note{}
	}
	if _, there := b.state.Notes[name]; !there && len(b.state.Notes) >= b.state.Most {
		oldest := ""
		for _, other := range slices.Sorted(maps.Keys(b.state.Notes)) {
			_, held := b.state.Leases[other]
			if !held && (oldest == "" || b.state.Notes[other].At < b.state.Notes[oldest].At) {
				oldest = other
			}
		}
		if oldest == "" {
			return // the holder sees in its outcome that the note was not stored
		}
		delete(b.state.Notes, oldest)
	}
	b.state.Notes[name] = note{slices.Clone(text), b.state.Commands}
}

// drop ends a lease.
func (b *StateMachine) drop(name string, h grant) {
	delete(b.state.Leases, name)
	b.freed = append(b.freed, name)
	b.state.Nodes[h.Node].Holds--
}

// applyLapses ends leases that have expired, except those that have been renewed since.
func (b *StateMachine) applyLapses(all []lapse) {
	b.state.Commands++
	for _, l := range all {
		if h, there := b.state.Leases[l.Name]; there && h.Token == l.Token && h.Renewed == l.Renewed {
			b.drop(l.Name, h)
		}
	}
}

// want sets which nodes should be voters.
func (b *StateMachine) want(names []string) {
	b.state.Commands++
	b.state.Wanted = slices.Clone(names)
}

// Holding is a lease in a status.
type Holding struct {
	Name        string  `json:"name"`
	Holder      string  `json:"holder"`
	Incarnation uint64  `json:"incarnation"`
	Token       uint64  `json:"token"`
	Renewed     uint64  `json:"renewed"`
	Length      float64 `json:"length_s"`
}

// holdings returns the first leases by name, up to most.
func (b *StateMachine) holdings(most int) (all []Holding) {
	for _, name := range slices.Sorted(maps.Keys(b.state.Leases)) {
		h := b.state.Leases[name]
		if name == blocked {
			continue
		}
		if len(all) == most {
			break
		}
		all = append(all, Holding{name, b.state.Nodes[h.Node].Name, h.Incarnation, h.Token, h.Renewed, h.Length.Seconds()})
	}
	return all
}
