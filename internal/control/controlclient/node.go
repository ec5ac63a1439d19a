package controlclient

import "dunetide/internal/platform/link"

// Roles of processes, as encoded on the wire and shown in statuses.
const (
	RoleProxy  = "proxy"
	RoleKeeper = "keeper"
	RoleStore  = "store"
)

// minNodeSize is the minimum size of an encoded Node in bytes: five empty strings and two numbers.
const minNodeSize = 5*4 + 2*8

// Node is a process of the system.
type Node struct {
	Name string
	Role string
	Zone string
	// Addr is the address at which it accepts links; empty if it accepts none, like a proxy.
	Addr string
	// ControlAddr is a keeper's address for endpoints and operators.
	ControlAddr string
	// ID is the identity on its disk, as a voter or as a store; 0 if it has no disk.
	ID uint64
	// Incarnation increases with each start of the process.
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

// ReadNode decodes a node from a message. The reader's Err is set if the message is truncated.
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

// ReadNodes decodes a list of nodes from a message; an empty list is nil. The reader's Err is set if the message is
// truncated.
func ReadNodes(r *link.Reader) (nodes []Node) {
	for range r.Count(minNodeSize) {
		nodes = append(nodes, ReadNode(r))
	}
	return nodes
}
