package controlclient

import (
	"encoding/binary"

	"dunetide/internal/control/registry"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
)

// minEntrySize is a lower bound of the size of an encoded entry in bytes.
const minEntrySize = 16

// Update is a change that a keeper pushes to an attached process. Fields that are absent leave the state unchanged.
type Update struct {
	// Sequence increases by one with each update of one incarnation of the keeper.
	Sequence uint64
	// FullSync is set if Entries are all entries of the keeper rather than the changed ones.
	FullSync bool
	// InContact reports that a majority has replied to the keeper recently. If it is false, the update has no content of
	// registers: no configuration, no table and no certificates.
	InContact bool
	// EndpointsComplete reports that the keeper has listened to heartbeats for two heartbeat intervals without
	// interruption, so that an endpoint that is not in its list is no longer live.
	EndpointsComplete bool
	// Proxies is the number of processes that send requests to endpoints; 0 if absent.
	Proxies int
	// Config is the configuration as the operator sent it; nil if absent. ConfigVersion is its version.
	Config        []byte
	ConfigVersion uint64
	// Table is the partition table; nil if absent.
	Table *snapshot.PartitionTable
	// Entries are the changed endpoints or, with FullSync, all of them.
	Entries []registry.Entry
	// Keepers are all keepers; nil if absent.
	Keepers []Node
	// CertificatesVersion is set by a keeper in contact; 0 if there never were any certificates.
	CertificatesVersion uint64
	// Certificates are the certificates as the operator sent them; nil if absent.
	Certificates []byte
}

// Encode returns the encoding of an update.
func (u *Update) Encode() []byte {
	w := link.Writer{}
	w.U64(u.Sequence) // first, because SetSequence overwrites it there
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

// SetSequence replaces the sequence number of an encoded update, so that one encoding can be sent to many processes.
func SetSequence(update []byte, sequence uint64) { binary.BigEndian.PutUint64(update, sequence) }

// ReadUpdate decodes an update, which shares memory with the message. It fails if the message is truncated or an entry
// is out of bounds.
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

// nilIfEmpty returns nil for an empty field, which is absent from the update.
func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}
