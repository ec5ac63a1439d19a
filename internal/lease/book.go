// Package lease names the one node of a fleet that may do a task, until when, and with what
// token. Its page is docs/leases.md.
//
// What decides is pure and stepped: Book (what the agreed log says), Voter (one voter's part in
// it, over raft and a folder), Asker (one node's asks and what it holds). Leases runs both over
// a fleet.Net. It imports internal/fleet for the interface of the links, and internal/journal
// for the seam of the file system.
package lease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dunetide/internal/fleet"
)

const (
	// MaxLeases bounds what may be held at a time, so that a snapshot fits a frame of a link.
	MaxLeases = fleet.MostLeases
	// MaxName bounds a lease's name, in bytes.
	MaxName = 48
	// maxOps bounds the names in one ask.
	maxOps = 256
	// newEpoch is between the tokens of two epochs of a log: more than the lost can have granted
	// that the survivor does not know of.
	newEpoch = 1 << 30
	// MaxNote bounds a note; as many are kept as leases may be held.
	MaxNote = 256
	// Shortest is the least length of a lease; the greatest is the log's own.
	Shortest = 500 * time.Millisecond
)

// What an ask may do to a name.
const (
	take = iota + 1 // take it, or renew what the asker has
	give            // give it back
)

// op is one name of an ask.
type op struct {
	Do     uint8         `cbor:"1,keyasint"`
	Name   string        `cbor:"2,keyasint"`
	Token  uint64        `cbor:"3,keyasint,omitempty"` // give: of this alone; take: no other, if not 0
	Length time.Duration `cbor:"4,keyasint,omitempty"` // take
	// SetNote: Note takes the place of the name's note, if the asker has the lease after this op; give: if it had.
	SetNote bool   `cbor:"5,keyasint,omitempty"`
	Note    []byte `cbor:"6,keyasint,omitempty"`
	// Since, where it is not 0, is an incarnation of the asker from which on all before the present one
	// have surely ended what they did under this name: what such a one has is the asker's to take.
	Since uint64 `cbor:"7,keyasint,omitempty"`
}

// ask is what one node wants of the log, all at once.
type ask struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // grows with each ask of an incarnation
	Ops         []op   `cbor:"4,keyasint"`
}

// outcome is what became of one op. Token and Length are of the lease as it is now held; a zero
// token: nobody has it.
type outcome struct {
	Token  uint64        `cbor:"1,keyasint,omitempty"`
	Holder string        `cbor:"2,keyasint,omitempty"`
	Mine   bool          `cbor:"3,keyasint,omitempty"` // the asker has it, from before this ask on for Length
	Length time.Duration `cbor:"4,keyasint,omitempty"`
	No     string        `cbor:"5,keyasint,omitempty"` // why there was no grant, where nobody has it
	Note   []byte        `cbor:"6,keyasint,omitempty"` // of the name, where the asker has it
}

// lapse says that a lease has run out, as far as it was renewed so often.
type lapse struct {
	Name    string `cbor:"1,keyasint"`
	Token   uint64 `cbor:"2,keyasint"`
	Renewed uint64 `cbor:"3,keyasint"`
}

// command is an entry of the log: one of its parts.
type command struct {
	Ask     *ask     `cbor:"1,keyasint,omitempty"`
	Lapsed  []lapse  `cbor:"2,keyasint,omitempty"`
	Wanted  []string `cbor:"3,keyasint,omitempty"` // who should vote from now on
	Request uint64   `cbor:"4,keyasint,omitempty"` // of Wanted: which order it was
}

// held is one lease as the log has it.
type held struct {
	Node        uint32        `cbor:"1,keyasint"` // an index into the book's nodes
	Incarnation uint64        `cbor:"2,keyasint"`
	Token       uint64        `cbor:"3,keyasint"`
	Renewed     uint64        `cbor:"4,keyasint"`
	Length      time.Duration `cbor:"5,keyasint"`
}

// session is what the log keeps of a node that asks.
type session struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"` // of its last ask
	At          uint64 `cbor:"4,keyasint"` // so many commands had come then
	Holds       int    `cbor:"5,keyasint"` // so many leases, under any incarnation
}

// blocked is the name of the lease that nobody has and that holds up all grants of a log
// that has just begun.
const blocked = ""

var (
	errOld  = errors.New("an older ask than one that has come")
	errFull = errors.New("no room for another node's asks")
)

// Book is the state that the log agrees on: pure, the same on all that have applied the same
// commands, and without any time. It is not safe for concurrent use.
type Book struct {
	state bookState
	index map[string]uint32 // of sessions, by name
	freed []string          // names that nobody has any more, since this was emptied
}

// bookState is what a snapshot has.
type bookState struct {
	Commands uint64            `cbor:"1,keyasint"`
	Token    uint64            `cbor:"2,keyasint"` // the last that was granted
	Leases   map[string]held   `cbor:"3,keyasint"`
	Nodes    []session         `cbor:"4,keyasint"`
	Voters   map[uint64]string `cbor:"5,keyasint"` // the names of voters and of those who learn
	Wanted   []string          `cbor:"6,keyasint"`
	Longest  time.Duration     `cbor:"7,keyasint"`
	Most     int               `cbor:"8,keyasint"`
	Notes    map[string]note   `cbor:"9,keyasint,omitempty"`
}

// note is what the last holder of a name, who may have it no longer, has left for the next.
type note struct {
	Text []byte `cbor:"1,keyasint"`
	At   uint64 `cbor:"2,keyasint"` // so many commands had come then
}

// newBook begins a log: nothing is granted until a lease of the greatest length would have
// run out, and tokens are above one.
func newBook(above uint64, longest time.Duration, most int, wanted []string) *Book {
	return &Book{state: bookState{Token: above + 1, Leases: map[string]held{blocked: {Token: above + 1, Length: longest}},
		Nodes: []session{{Holds: 1}}, Voters: map[uint64]string{}, Wanted: wanted,
		Longest: longest, Most: min(most, MaxLeases)}, index: map[string]uint32{}}
}

// The book is read from disk and links within its own bounds.
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

func (b *Book) snapshot() ([]byte, error) { return encoding.Marshal(b.state) }

func readBook(text []byte) (*Book, error) {
	b := &Book{index: map[string]uint32{}}
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
		b.state.Leases = map[string]held{}
	}
	if b.state.Voters == nil {
		b.state.Voters = map[uint64]string{}
	}
	return b, nil
}

// node finds or makes the session of an asker. One that holds nothing and has asked for
// longest makes room.
func (b *Book) node(name string) (uint32, error) {
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

// ask applies one node's ask; an error means that nothing of it has an effect. Changed are the
// leases that have begun or were renewed: who counts their time counts it from here on.
func (b *Book) ask(a *ask) (all []outcome, changed []string, err error) {
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

func (b *Book) do(i uint32, incarnation uint64, o op) (out outcome, began bool) {
	h, there := b.state.Leases[o.Name]
	if there && o.Do == take && h.Node == i && o.Since != 0 && h.Incarnation >= o.Since && h.Incarnation < incarnation {
		b.drop(o.Name, h)
		there = false
	}
	mine := there && h.Node == i && h.Incarnation == incarnation
	switch {
	case o.Name == blocked || len(o.Name) > MaxName:
		return outcome{No: "no name of a lease"}, false
	case o.Do == give:
		if mine && h.Token == o.Token {
			if o.SetNote {
				b.note(o.Name, o.Note)
			}
			b.drop(o.Name, h)
			return outcome{}, false
		}
	case o.Do != take:
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
		b.state.Leases[o.Name] = held{Node: i, Incarnation: incarnation, Token: b.state.Token, Length: o.Length}
		b.state.Nodes[i].Holds++
		return outcome{Token: b.state.Token, Holder: b.state.Nodes[i].Name, Mine: true, Length: o.Length, Note: b.state.Notes[o.Name].Text}, true
	}
	if !there {
		return outcome{}, false
	}
	return outcome{Token: h.Token, Holder: b.state.Nodes[h.Node].Name, Length: h.Length}, false
}

// note keeps the note of a name that is held, or none. Of too many, the one goes that was left longest ago
// and that nobody holds the name of: whoever finds none must not take that for the first of a name.
func (b *Book) note(name string, text []byte) {
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
			return // its holder sees that it is not there
		}
		delete(b.state.Notes, oldest)
	}
	b.state.Notes[name] = note{slices.Clone(text), b.state.Commands}
}

func (b *Book) drop(name string, h held) {
	delete(b.state.Leases, name)
	b.freed = append(b.freed, name)
	b.state.Nodes[h.Node].Holds--
}

// lapse applies that leases have run out: each only if it was not renewed since.
func (b *Book) lapse(all []lapse) {
	b.state.Commands++
	for _, l := range all {
		if h, there := b.state.Leases[l.Name]; there && h.Token == l.Token && h.Renewed == l.Renewed {
			b.drop(l.Name, h)
		}
	}
}

// want applies an order of who should vote.
func (b *Book) want(names []string) {
	b.state.Commands++
	b.state.Wanted = slices.Clone(names)
}

// Holding is one lease for the staff to see.
type Holding struct {
	Name        string  `json:"name"`
	Holder      string  `json:"holder"`
	Incarnation uint64  `json:"incarnation"`
	Token       uint64  `json:"token"`
	Renewed     uint64  `json:"renewed"`
	Length      float64 `json:"length_s"`
}

// holdings are all leases by name, so many of them at most.
func (b *Book) holdings(most int) (all []Holding) {
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
