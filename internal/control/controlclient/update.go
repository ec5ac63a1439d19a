package controlclient

import (
	"encoding/binary"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// minEntrySize is a lower bound of the size of an encoded entry, in bytes.
const minEntrySize = 16

// Update is a change that a keeper pushes to an attached process. What is not in it stays as it was.
type Update struct {
	// Sequence grows by one with each update of one incarnation of the keeper.
	Sequence uint64
	// FullSync says that Entries are all that the keeper has, rather than those that have changed.
	FullSync bool
	// InContact says that a majority has answered the keeper recently. Without, the update says nothing of what the
	// registers hold: no configuration, no table and no certificates.
	InContact bool
	// EndpointsComplete says that the keeper has heard heartbeats for two heartbeat intervals without a break, so that an
	// endpoint missing in its list has ended.
	EndpointsComplete bool
	// Proxies is the number of processes that send requests to endpoints; 0: not in it.
	Proxies int
	// Config is the configuration as the operator sent it; nil: not in it. ConfigVersion is its version.
	Config        []byte
	ConfigVersion uint64
	// Table is the partition table; nil: not in it.
	Table *snapshot.PartitionTable
	// Entries are endpoints that have changed, or all.
	Entries []registry.Entry
	// Keepers are all keepers; nil: not in it.
	Keepers []Node
	// CertificatesVersion is set by a keeper in contact; 0: there never were any certificates.
	CertificatesVersion uint64
	// Certificates are as the operator sent them; nil: not in it.
	Certificates []byte
}

// Encode returns the encoding of an update.
func (u *Update) Encode() []byte {
	w := link.Writer{}
	w.U64(u.Sequence) // first, where SetSequence finds it
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

// SetSequence replaces the sequence number of an encoded update, so that one encoding serves many processes.
func SetSequence(update []byte, sequence uint64) { binary.BigEndian.PutUint64(update, sequence) }

// ReadUpdate decodes an update, which shares the memory of the message. It fails if the message is too short or an
// entry is out of bounds.
func ReadUpdate(b []byte) (*Update, error) {
	r := link.Reader{Buf: b}
	u := &Update{
		Sequence:          r.U64(),
		FullSync:          r.Bool(),
		InContact:         r.Bool(),
		EndpointsComplete: r.Bool(),
		Proxies:           r.Int(),
		Config:            nilIfEmpty(r.Bytes()),
		ConfigVersion:     r.U64(),
	}
	if r.Bool() {
		u.Table = ReadTable(&r)
	}
	for range r.Count(minEntrySize) {
		e, err := registry.ReadEntry(&r)
		if err != nil {
			return nil, err
		}
		u.Entries = append(u.Entries, e)
	}
	u.Keepers = ReadNodes(&r)
	u.CertificatesVersion = r.U64()
	u.Certificates = nilIfEmpty(r.Bytes())
	return u, r.Err
}

// nilIfEmpty returns nil for what is not in an update.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
