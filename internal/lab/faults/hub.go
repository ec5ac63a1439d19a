package faults

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"dunetide/internal/lab/faults/hubdial"
)

// maxRequestLength bounds the line with which a connection to a hub begins.
const maxRequestLength = 128

// Hub relays the connections of a fleet whose processes dial through it instead of dialling each other. A connection to the hub
// begins with the line that hubdial.Request returns; the hub dials the target, answers with one byte, and relays the bytes in both
// directions. While the pair is cut, the hub sends neither the answer nor any other bytes, and closes no connection.
type Hub struct {
	*carrier
	nodes    map[netip.Addr]int
	outside  int // index of callers that are not nodes
	listener net.Listener

	mu      sync.Mutex
	entries map[string]net.Listener // listeners for callers from outside, by target
	// separations holds the separations in force.
	separations []*separation
	closed      bool
}

// NewHub opens a hub for the nodes with the given addresses.
func NewHub(nodes []netip.Addr, seed uint64) (*Hub, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening a hub: %w", err)
	}
	h := &Hub{carrier: newCarrier(len(nodes)+1, seed), nodes: map[netip.Addr]int{}, outside: len(nodes), listener: listener,
		entries: map[string]net.Listener{}}
	for i, node := range nodes {
		h.nodes[node] = i
	}
	h.wg.Go(func() { h.accept(listener, h.serve) })
	return h, nil
}

// Address returns the address that the processes of the fleet dial.
func (h *Hub) Address() string { return h.listener.Addr().String() }

// Entry returns the address at which callers that are not nodes of the fleet reach a target.
func (h *Hub) Entry(target string) (string, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if entry, there := h.entries[target]; there {
		return entry.Addr().String(), nil
	}
	if h.closed {
		return "", net.ErrClosed
	}
	to, err := h.node(target)
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("opening a hub entry: %w", err)
	}
	h.entries[target] = listener
	h.wg.Go(func() {
		h.accept(listener, func(conn net.Conn) {
			h.carry(conn, h.outside, to, func(ctx context.Context) (net.Conn, error) { return dialTarget(ctx, target) })
		})
	})
	return listener.Addr().String(), nil
}

// CutOff blocks all traffic between one node and all others, and between it and outside callers, until Heal is called.
func (h *Hub) CutOff(node netip.Addr) error {
	all := []string{Outside}
	for other := range h.nodes {
		all = append(all, other.String())
	}
	_, err := h.Separate([]string{node.String()}, all, false)
	return err
}

// Heal removes all separations.
func (h *Hub) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.separations = nil
	h.applySeparations()
}

// Outside stands for all callers that are not nodes, in the node lists of Separate.
const Outside = "outside"

// separation blocks traffic between two sets of nodes.
type separation struct {
	from, to map[int]bool
	oneWay   bool
}

// cuts reports whether the separation blocks traffic from one node to another.
func (s *separation) cuts(source, target int) bool {
	return s.from[source] && s.to[target] || !s.oneWay && s.from[target] && s.to[source]
}

// Separate blocks traffic from some nodes to others, and in the opposite direction too unless oneWay is set, until heal is called.
// Separations may overlap. Outside callers still reach all nodes unless Outside is listed.
func (h *Hub) Separate(from, to []string, oneWay bool) (heal func(), err error) {
	s := &separation{oneWay: oneWay}
	if s.from, err = h.indices(from); err != nil {
		return nil, err
	}
	if s.to, err = h.indices(to); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.separations = append(h.separations, s)
	h.applySeparations()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.separations = slices.DeleteFunc(h.separations, func(other *separation) bool { return other == s })
		h.applySeparations()
	}, nil
}

// applySeparations cuts exactly the pairs that at least one separation blocks.
func (h *Hub) applySeparations() {
	h.Change(func(source, target int, old Fault) Fault {
		old.Cut = slices.ContainsFunc(h.separations, func(s *separation) bool { return s.cuts(source, target) })
		return old
	})
}

// indices returns the indices of the nodes with the given addresses.
func (h *Hub) indices(addresses []string) (map[int]bool, error) {
	found := map[int]bool{}
	for _, address := range addresses {
		if address == Outside {
			found[h.outside] = true
			continue
		}
		node, err := netip.ParseAddr(address)
		if err != nil {
			return nil, err
		}
		i, there := h.nodes[node]
		if !there {
			return nil, fmt.Errorf("no node has the address %v", node)
		}
		found[i] = true
	}
	return found, nil
}

// Close closes all connections and listeners.
func (h *Hub) Close() error {
	h.end()
	h.mu.Lock()
	h.closed = true
	all := []error{h.listener.Close()}
	for _, entry := range h.entries {
		all = append(all, entry.Close())
	}
	h.mu.Unlock()
	h.wg.Wait()
	return errors.Join(all...)
}

// accept serves each connection of a listener until the listener is closed.
func (h *Hub) accept(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // e.g. out of file descriptors
			continue
		}
		h.wg.Go(func() { serve(conn) })
	}
}

// serve relays a connection of a process of the fleet.
func (h *Hub) serve(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(connectTimeout))
	from, target, err := readHubRequest(conn)
	if err != nil {
		abort(conn)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	to, err := h.node(target)
	source, there := h.nodes[from]
	if err != nil || !there {
		abort(conn)
		return
	}
	h.carry(conn, source, to, func(ctx context.Context) (net.Conn, error) {
		other, err := dialTarget(ctx, target)
		if err != nil {
			return nil, err
		}
		if _, err := conn.Write([]byte{hubdial.Connected}); err != nil {
			return nil, errors.Join(err, other.Close())
		}
		return other, nil
	})
}

// node returns the index of the node that a target belongs to.
func (h *Hub) node(target string) (int, error) {
	at, err := netip.ParseAddrPort(target)
	if err != nil {
		return 0, err
	}
	i, there := h.nodes[at.Addr()]
	if !there {
		return 0, fmt.Errorf("no node has the address %v", at.Addr())
	}
	return i, nil
}

// readHubRequest reads the request line byte by byte, so that it consumes nothing after it.
func readHubRequest(conn net.Conn) (from netip.Addr, target string, err error) {
	var line []byte
	for one := make([]byte, 1); len(line) < maxRequestLength; line = append(line, one[0]) {
		if _, err := conn.Read(one); err != nil {
			return netip.Addr{}, "", err
		}
		if one[0] == '\n' {
			break
		}
	}
	address, target, _ := strings.Cut(string(line), " ")
	from, err = netip.ParseAddr(address)
	return from, target, err
}

func dialTarget(ctx context.Context, target string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", target)
}
