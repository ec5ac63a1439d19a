package controlclient

import "dunetide/internal/platform/link"

// Roles of processes, as they are on the wire and in statuses.
const (
	RoleProxy  = "proxy"
	RoleKeeper = "keeper"
	RoleStore  = "store"
)

// minNodeSize is the least size of an encoded Node, in bytes: five empty strings and two numbers.
const minNodeSize = 5*4 + 2*8

// Node is a process of the system.
type Node struct {
	Name string
	Role string
	Zone string
	// Addr is the address of its links; empty: it has none, as a proxy.
	Addr string
	// ControlAddr is a keeper's address for endpoints and operators.
	ControlAddr string
	// ID is the identity on its disk, as a voter or as a store; 0: it has no disk.
	ID uint64
	// Incarnation grows with each start of the process.
	Incarnation uint64
}

// Append appends the encoding of a node to a message.
func (n Node) Append(w *link.Writer) {
	w.String(n.Name)
	w.String(n.Role)
	w.String(n.Zone)
	w.String(n.Addr)
	w.String(n.ControlAddr)
	w.U64(n.ID)
	w.U64(n.Incarnation)
}

// ReadNode reads a node from a message. The reader's Err says whether it is whole.
func ReadNode(r *link.Reader) Node {
	return Node{
		Name:        r.String(),
		Role:        r.String(),
		Zone:        r.String(),
		Addr:        r.String(),
		ControlAddr: r.String(),
		ID:          r.U64(),
		Incarnation: r.U64(),
	}
}

// AppendNodes appends the encoding of a list of nodes to a message.
func AppendNodes(w *link.Writer, nodes []Node) {
	w.U32(uint32(len(nodes)))
	for _, n := range nodes {
		n.Append(w)
	}
}

// ReadNodes reads a list of nodes from a message; nil: it is empty. The reader's Err says whether it is whole.
func ReadNodes(r *link.Reader) (nodes []Node) {
	for range r.Count(minNodeSize) {
		nodes = append(nodes, ReadNode(r))
	}
	return nodes
}
