package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Transport carries all traffic between a node and the others of its fleet. Sockets returns the
// implementation over UDP and TCP.
type Transport interface {
	// SendTo sends a datagram, which may be lost. It does not block.
	SendTo(b []byte, to netip.AddrPort) error
	// Receive waits for a datagram; the bytes are valid until the next call.
	Receive() (b []byte, from netip.AddrPort, err error)
	Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	Accept() (net.Conn, error)
	// Close closes the transport; Receive and Accept then return net.ErrClosed.
	Close() error
}

// maxPacket is the largest datagram that is read or written.
const maxPacket = 1400

// sockets has UDP and TCP sockets at one address, which is also the source address of connections.
type sockets struct {
	udp *net.UDPConn
	tcp *net.TCPListener
	own netip.Addr
	buf []byte
}

// Sockets returns a Transport that listens at an address.
func Sockets(addr netip.AddrPort) (Transport, error) {
	tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listening for the fleet: %w", err)
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listening for the fleet: %w", err), tcp.Close())
	}
	return &sockets{udp: udp, tcp: tcp, own: addr.Addr(), buf: make([]byte, 64<<10)}, nil
}

// SendTo sends a datagram.
func (s *sockets) SendTo(b []byte, to netip.AddrPort) error {
	_, err := s.udp.WriteToUDPAddrPort(b, to)
	return err
}

// Receive returns the next datagram and its sender.
func (s *sockets) Receive() ([]byte, netip.AddrPort, error) {
	n, from, err := s.udp.ReadFromUDPAddrPort(s.buf)
	return s.buf[:n], from, err
}

// Dial opens a connection from the address of this node.
func (s *sockets) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.own, 0)), KeepAlive: 15 * time.Second}
	return d.DialContext(ctx, "tcp4", to.String())
}

// Accept returns the next incoming connection.
func (s *sockets) Accept() (net.Conn, error) { return s.tcp.Accept() }

// Close closes both sockets.
func (s *sockets) Close() error { return errors.Join(s.tcp.Close(), s.udp.Close()) }
