package fleet

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Versions of the link and datagram formats. A peer without a common version is rejected.
const (
	lowestVersion  = 1
	highestVersion = 1
)

// The preamble and its answer begin each connection and are the same in all versions.
//
//	magic (4), lowest version, highest version, purpose, key of the fleet (8)
//	magic (4), version or 0, length of the reason, the reason
const (
	magic         = "wmfl"
	preambleSize  = len(magic) + 3 + 8
	purposeGossip = 1
	purposeLink   = 2

	// frameHeaderSize is the size of the length and checksum before each frame.
	frameHeaderSize = 4 + 8
	maxFrame        = 1 << 20
	// packetHeaderSize is the size of a datagram's header: magic (2), lowest version, highest version, checksum (8).
	packetHeaderSize = 4 + 8
	packetMagic      = "wf"
	// greetTimeout bounds the handshake of a connection, on either side.
	greetTimeout = time.Second
)

var (
	errForeign = errors.New("not the fleet protocol")
	errCorrupt = errors.New("corrupt frame")
	errTooLong = fmt.Errorf("longer than %d bytes", maxFrame)
)

// VersionError reports that a peer has no protocol version in common with this node.
type VersionError struct{ Lowest, Highest uint8 }

// Error returns the version ranges of both sides.
func (e VersionError) Error() string {
	return fmt.Sprintf("it speaks versions %d to %d, this node %d to %d", e.Lowest, e.Highest, lowestVersion, highestVersion)
}

// RefusedError is the reason with which a peer rejects a connection.
type RefusedError string

// Error returns the reason that the peer gave.
func (e RefusedError) Error() string { return "refused: " + string(e) }

func commonVersion(lowest, highest uint8) (version uint8, err error) {
	if version = min(highest, highestVersion); lowest > highest || version < max(lowest, lowestVersion) {
		return 0, VersionError{lowest, highest}
	}
	return version, nil
}

// fleetKey returns the key that tells the connections and datagrams of different fleets apart.
func fleetKey(name string) uint64 { return xxhash.Sum64String(name) }

// greet sends the preamble on a connection that this node has dialled, and reads the answer.
func greet(conn net.Conn, key uint64, purpose byte) error {
	b := append([]byte(magic), lowestVersion, highestVersion, purpose)
	if _, err := conn.Write(binary.BigEndian.AppendUint64(b, key)); err != nil {
		return err
	}
	head := make([]byte, len(magic)+2)
	if _, err := io.ReadFull(conn, head); err != nil {
		return fmt.Errorf("no answer to the greeting: %w", err)
	}
	if string(head[:len(magic)]) != magic {
		return errForeign
	}
	version, reason := head[len(magic)], make([]byte, head[len(magic)+1])
	if _, err := io.ReadFull(conn, reason); err != nil {
		return fmt.Errorf("incomplete answer to the greeting: %w", err)
	}
	if version == 0 {
		return RefusedError(reason)
	}
	if version < lowestVersion || version > highestVersion {
		return VersionError{version, version}
	}
	return nil
}

// acceptGreeting reads and answers the preamble of an incoming connection.
func acceptGreeting(conn net.Conn, key uint64) (purpose byte, err error) {
	b := make([]byte, preambleSize)
	if _, err := io.ReadFull(conn, b); err != nil {
		return 0, fmt.Errorf("%w: %w", errForeign, err)
	}
	if string(b[:len(magic)]) != magic {
		return 0, errForeign
	}
	refuse := func(err error) (byte, error) {
		reason := err.Error()
		answer := append([]byte(magic), 0, byte(len(reason)))
		_, _ = conn.Write(append(answer, reason...)) // the connection is closed in any case
		return 0, err
	}
	rest := b[len(magic):]
	version, err := commonVersion(rest[0], rest[1])
	if err != nil {
		return refuse(err)
	}
	if binary.BigEndian.Uint64(rest[3:]) != key {
		return refuse(errors.New("another fleet"))
	}
	if rest[2] != purposeGossip && rest[2] != purposeLink {
		return refuse(fmt.Errorf("nothing is known of purpose %d", rest[2]))
	}
	_, err = conn.Write(append([]byte(magic), version, 0))
	return rest[2], err
}

// framedConn carries frames over a connection. The checksum of each covers the fleet's key, the
// frame's position in the stream and the payload, so a corrupt, duplicated or missing frame is detected.
type framedConn struct {
	net.Conn
	key uint64

	wmu     sync.Mutex
	written uint64
	read    uint64
	unread  []byte // the unread rest of the current frame
}

func checksum(key, position uint64, payload []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	var at [8]byte
	binary.BigEndian.PutUint64(at[:], position)
	_, _ = d.Write(at[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

func (c *framedConn) writeFrame(payload []byte) error {
	if len(payload) > maxFrame {
		return errTooLong
	}
	c.wmu.Lock()
	defer c.wmu.Unlock()
	b := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	binary.BigEndian.PutUint64(b[4:], checksum(c.key, c.written, payload))
	c.written++
	_, err := c.Conn.Write(append(b, payload...))
	return err
}

func (c *framedConn) readFrame(most int) ([]byte, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(c.Conn, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("%w: length of %d bytes", errCorrupt, n)
	}
	payload := make([]byte, n)
	if _, err := io.ReadFull(c.Conn, payload); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint64(head[4:]) != checksum(c.key, c.read, payload) {
		return nil, errCorrupt
	}
	c.read++
	return payload, nil
}

// Write and Read carry a byte stream over the frames, for gossip.
func (c *framedConn) Write(b []byte) (n int, err error) {
	for len(b) > 0 {
		piece := b[:min(len(b), maxFrame)]
		if err := c.writeFrame(piece); err != nil {
			return n, err
		}
		n, b = n+len(piece), b[len(piece):]
	}
	return n, nil
}

// Read reads from the byte stream.
func (c *framedConn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		payload, err := c.readFrame(maxFrame)
		if err != nil {
			return 0, err
		}
		c.unread = payload
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Decoding untrusted input is bounded: no message is deeply nested, and only lists of records are long.
var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 4 * MaxMembers,
		MaxMapPairs: 64, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return v
}

func (c *framedConn) send(v any) error {
	b, err := encoding.Marshal(v)
	if err != nil {
		return err
	}
	return c.writeFrame(b)
}

func (c *framedConn) receive(v any, most int) error {
	b, err := c.readFrame(most)
	if err != nil {
		return err
	}
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", errCorrupt, err)
	}
	return nil
}

// sealPacket adds the header to a datagram's payload; openPacket checks and removes it.
func sealPacket(key uint64, payload []byte) []byte {
	b := append(make([]byte, 0, packetHeaderSize+len(payload)), packetMagic...)
	b = append(b, lowestVersion, highestVersion)
	b = binary.BigEndian.AppendUint64(b, checksum(key, 0, payload))
	return append(b, payload...)
}

func openPacket(key uint64, b []byte) ([]byte, error) {
	if len(b) < packetHeaderSize || string(b[:2]) != packetMagic {
		return nil, errForeign
	}
	if _, err := commonVersion(b[2], b[3]); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint64(b[4:]) != checksum(key, 0, b[packetHeaderSize:]) {
		return nil, errCorrupt
	}
	return b[packetHeaderSize:], nil
}

// closeWith closes a connection when a context ends, unless stop is called before.
func closeWith(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}
