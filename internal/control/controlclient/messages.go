package controlclient

import (
	"encoding/binary"
	"sort"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// Roles of processes.
const (
	RoleProxy  = "proxy"
	RoleKeeper = "keeper"
	RoleStore  = "store"
)

// Node is a process of the system.
type Node struct {
	Name        string
	Role        string
	Zone        string
	Addr        string // of its links; of a proxy: none
	ControlAddr string // a keeper's address for endpoints and operators
	ID          uint64 // on its disk: a keeper's as a voter, a store's; 0: no disk
	Incarnation uint64 // grows with each start
}

// Append writes a node into a message.
func (n Node) Append(w *link.Writer) {
	w.String(n.Name)
	w.String(n.Role)
	w.String(n.Zone)
	w.String(n.Addr)
	w.String(n.ControlAddr)
	w.U64(n.ID)
	w.U64(n.Incarnation)
}

// ReadNode takes a node out of a message.
func ReadNode(r *link.Reader) Node {
	return Node{Name: r.String(), Role: r.String(), Zone: r.String(), Addr: r.String(), ControlAddr: r.String(), ID: r.U64(), Incarnation: r.U64()}
}

// AppendNodes writes a list of nodes.
func AppendNodes(w *link.Writer, nodes []Node) {
	w.U32(uint32(len(nodes)))
	for _, n := range nodes {
		n.Append(w)
	}
}

// ReadNodes takes a list of nodes out of a message; nil if it is empty.
func ReadNodes(r *link.Reader) (nodes []Node) {
	for range r.Count(36) {
		nodes = append(nodes, ReadNode(r))
	}
	return nodes
}

// Update is a numbered change. What is not in it stays as it was.
type Update struct {
	Sequence uint64 // grows by one a push, in one life of the keeper
	FullSync bool   // the entries are all that there are
	// InContact says that a majority has answered the keeper recently. Without, the update tells nothing of what the
	// registers hold: no configuration, no table and no certificates.
	InContact         bool
	EndpointsComplete bool   // the keeper has heard a whole round of heartbeats
	Proxies           int    // 0: not in it
	Config            []byte // as the operator sent it; nil: not in it
	ConfigVersion     uint64 // of Config
	Table             *snapshot.PartitionTable
	Entries           []registry.Entry
	Keepers           []Node // nil: not in it
	// CertificatesVersion is told by a keeper in contact; 0: none were ever put.
	CertificatesVersion uint64
	Certificates        []byte // as the operator sent them; nil: not in it
}

// Encode writes the update's message.
func (u *Update) Encode() []byte {
	w := link.Writer{}
	w.U64(u.Sequence)
	w.Bool(u.FullSync)
	w.Bool(u.InContact)
	w.Bool(u.EndpointsComplete)
	w.Int(u.Proxies)
	w.Bytes(u.Config)
	w.U64(u.ConfigVersion)
	w.Bool(u.Table != nil)
	if u.Table != nil {
		AppendTable(&w, u.Table)
	}
	w.U32(uint32(len(u.Entries)))
	for i := range u.Entries {
		registry.AppendEntry(&w, &u.Entries[i])
	}
	AppendNodes(&w, u.Keepers)
	w.U64(u.CertificatesVersion)
	w.Bytes(u.Certificates)
	return w.Buf
}

// Renumber gives an update's message another number, as one message serves many processes.
func SetSequence(b []byte, number uint64) { binary.BigEndian.PutUint64(b, number) }

// ReadUpdate reads the update's message.
func ReadUpdate(b []byte) (*Update, error) {
	r := link.Reader{Buf: b}
	u := &Update{Sequence: r.U64(), FullSync: r.Bool(), InContact: r.Bool(), EndpointsComplete: r.Bool(), Proxies: r.Int(), Config: r.Bytes(), ConfigVersion: r.U64()}
	if len(u.Config) == 0 {
		u.Config = nil
	}
	if r.Bool() {
		u.Table = ReadTable(&r)
	}
	for range r.Count(16) {
		e, err := registry.ReadEntry(&r)
		if err != nil {
			return nil, err
		}
		u.Entries = append(u.Entries, e)
	}
	u.Keepers = ReadNodes(&r)
	u.CertificatesVersion, u.Certificates = r.U64(), r.Bytes()
	if len(u.Certificates) == 0 {
		u.Certificates = nil
	}
	return u, r.Err
}

// AppendTable writes the table of the batch parts.
func AppendTable(w *link.Writer, t *snapshot.PartitionTable) {
	w.U64(t.Version)
	w.U32(uint32(len(t.Partitions)))
	for _, p := range t.Partitions {
		w.U64(p.Epoch)
		w.U64(p.Primary)
		appendNumbers(w, p.Replicas)
		appendNumbers(w, p.Joining)
		appendNumbers(w, p.Leaving)
	}
	stores := make([]uint64, 0, len(t.Stores))
	for id := range t.Stores {
		stores = append(stores, id)
	}
	sort.Slice(stores, func(i, j int) bool { return stores[i] < stores[j] })
	w.U32(uint32(len(stores)))
	for _, id := range stores {
		s := t.Stores[id]
		w.U64(id)
		w.String(s.Name)
		w.String(s.Addr)
		w.String(s.Zone)
		w.U8(storeFlags(t, id))
	}
}

// Flags of a store in an encoded table.
const (
	flagRetiring uint8 = 1 << iota
	flagStopping
)

func storeFlags(t *snapshot.PartitionTable, id uint64) (flags uint8) {
	if t.Retiring[id] {
		flags |= flagRetiring
	}
	if t.Stopping[id] {
		flags |= flagStopping
	}
	return flags
}

// ReadTable takes a table out of a message.
func ReadTable(r *link.Reader) *snapshot.PartitionTable {
	t := &snapshot.PartitionTable{Version: r.U64(), Stores: map[uint64]snapshot.Store{}, Retiring: map[uint64]bool{}, Stopping: map[uint64]bool{}}
	for range r.Count(28) {
		t.Partitions = append(t.Partitions, snapshot.Partition{Epoch: r.U64(), Primary: r.U64(), Replicas: readNumbers(r), Joining: readNumbers(r), Leaving: readNumbers(r)})
	}
	for range r.Count(21) {
		s := snapshot.Store{ID: r.U64(), Name: r.String(), Addr: r.String(), Zone: r.String()}
		t.Stores[s.ID] = s
		flags := r.U8()
		if flags&flagRetiring != 0 {
			t.Retiring[s.ID] = true
		}
		if flags&flagStopping != 0 {
			t.Stopping[s.ID] = true
		}
	}
	return t
}
