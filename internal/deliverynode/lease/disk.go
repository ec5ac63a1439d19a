package lease

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"

	"github.com/cespare/xxhash/v2"

	"dunetide/internal/deliverynode/fleet"
	"dunetide/internal/platform/vfs"
)

const (
	logName   = "lease-log"
	logNew    = "lease-log.new"
	logAside  = "lease-log.aside" // the file that was set aside last, kept for inspection by operators
	frameSize = 2 + 4 + 8         // magic, length, checksum
	magic     = "LV"
	maxRecord = 3 << 20 // a snapshot and the entries after it
	maxLog    = 16 << 20
	// growLog is by how many bytes the file grows before it is rewritten. retainedLog is how many bytes of entries before
	// a snapshot are kept, so that a voter that lacks only a few entries does not need the snapshot.
	growLog     = 64 << 10
	retainedLog = 32 << 10
	// leaseCost and nodeCost are the most bytes of a lease and of a node in a snapshot.
	leaseCost = 120
	nodeCost  = 100
)

// DiskSpace returns the most bytes that a voter's files take in its folder with up to most leases: the log, its replacement
// while it is rewritten, and one log that was set aside. If notes is true, each lease may have a note.
func DiskSpace(most int, notes bool) int64 {
	cost := leaseCost
	if notes {
		cost += MaxName + MaxNote + 16
	}
	began := 2 * int64(most*cost+(fleet.MaxMembers+1)*nodeCost+retainedLog+4<<10) // each record is stored twice
	return began + 2*(began+growLog+2*maxProposed)
}

// errDamaged is returned when a record that was synced cannot be read. A voter must not vote with the rest of the log.
var errDamaged = errors.New("a part of the log is lost")

// identity identifies the log and the voter that a file belongs to.
type identity struct {
	Log   logID  `cbor:"1,keyasint"`
	Voter uint64 `cbor:"2,keyasint"`
}

// logID identifies a log. A later epoch of the same log replaces it.
type logID struct {
	ID    uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// String returns the id in hexadecimal and the epoch.
func (l logID) String() string { return fmt.Sprintf("%016x.%d", l.ID, l.Epoch) }

// record is the unit of writing. The first record of a file holds the whole state, each later one only the changes.
type record struct {
	Place    uint64                 `cbor:"1,keyasint"` // sequence number in the file, from 1
	Self     *identity              `cbor:"2,keyasint,omitempty"`
	Hard     []byte                 `cbor:"3,keyasint,omitempty"`
	Entries  [][]byte               `cbor:"4,keyasint,omitempty"`
	Snapshot []byte                 `cbor:"5,keyasint,omitempty"`
	Seen     map[uint64]incarnation `cbor:"6,keyasint,omitempty"` // of other voters
}

// incarnation identifies a process of a voter. Start is a random number that each process draws.
type incarnation struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Start       uint64 `cbor:"2,keyasint"`
}

// disk is a voter's file. Each record is stored twice: otherwise one damaged byte in the last record would look like a
// torn write, and a synced record would be lost unnoticed.
type disk struct {
	folder vfs.Folder
	file   vfs.File // nil if the file must be rewritten before the next append
	place  uint64   // the last record's
	size   int64
	began  int64 // the size after the last rewrite
}

// frame encodes a record with its header, twice.
func frame(payload []byte) []byte {
	b := append(make([]byte, 0, 2*(frameSize+len(payload))), magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
	b = append(b, payload...)
	return append(b, b...)
}

// unframe decodes the record at the start of a text and returns its length, or 0 if there is no valid record.
func unframe(text []byte) (rec record, n int) {
	if len(text) < frameSize || string(text[:2]) != magic {
		return rec, 0
	}
	length := int(binary.BigEndian.Uint32(text[2:]))
	if length > maxRecord || length > len(text)-frameSize {
		return rec, 0
	}
	payload := text[frameSize : frameSize+length]
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(text[6:]) || decoding.Unmarshal(payload, &rec) != nil {
		return rec, 0
	}
	return rec, frameSize + length
}

// load returns all records in order, or none if there is no file. A torn write at the end is ignored, because nothing that
// depends on it was sent. It fails with errDamaged if a record before the last is missing.
func (d *disk) load() (all []record, err error) {
	text, err := d.folder.Read(logName, maxLog)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", logName, err)
	}
	for at := 0; at < len(text); {
		rec, n := unframe(text[at:])
		if n == 0 { // damaged or torn: search for the next valid record
			at++
			continue
		}
		at += n
		switch place := uint64(len(all)); {
		case rec.Place == place: // the second copy
		case rec.Place == place+1:
			all = append(all, rec)
		default:
			return nil, fmt.Errorf("%s: %w: record %d comes after %d", logName, errDamaged, rec.Place, place)
		}
	}
	if len(all) == 0 || all[0].Self == nil {
		return nil, fmt.Errorf("%s: %w: the first record is missing", logName, errDamaged)
	}
	return all, nil
}

// append appends a record and syncs the file. After an error the content of the file is unknown, and it must be rewritten
// by renew before the next append.
func (d *disk) append(rec record) error {
	if d.file == nil {
		return errors.New("the log has to be written anew")
	}
	d.place++
	rec.Place = d.place
	n, err := d.put(d.file, rec)
	if err == nil {
		d.size += n
		return nil
	}
	d.close()
	return fmt.Errorf("writing %s: %w", logName, err)
}

// put writes a record to a file, syncs it, and returns the number of bytes written.
func (d *disk) put(f vfs.File, rec record) (int64, error) {
	payload, err := encoding.Marshal(rec)
	if err != nil {
		return 0, err
	}
	if len(payload) > maxRecord {
		return 0, fmt.Errorf("a record of %d bytes", len(payload))
	}
	b := frame(payload)
	if _, err := f.Write(b); err != nil {
		return 0, err
	}
	return int64(len(b)), f.Sync()
}

// renew replaces the file by one with a single record that holds the whole state.
func (d *disk) renew(rec record) error {
	d.close()
	rec.Place = 1
	err := func() error {
		if err := d.folder.Remove(logNew); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		f, err := d.folder.Create(logNew)
		if err != nil {
			return err
		}
		size, err := d.put(f, rec)
		if err == nil {
			if err = d.folder.Rename(logNew, logName); err == nil {
				err = d.folder.Sync()
			}
		}
		if err != nil {
			return errors.Join(err, f.Close())
		}
		d.file, d.place, d.size, d.began = f, 1, size, size
		return nil
	}()
	if err != nil {
		return fmt.Errorf("writing %s anew: %w", logName, err)
	}
	return nil
}

// full reports whether the file has grown enough to be compacted.
func (d *disk) full() bool { return d.size > d.began+growLog }

// setAside renames the file, so that this node never votes with it again, and keeps it for inspection by operators.
func (d *disk) setAside() error {
	d.close()
	err := d.folder.Rename(logName, logAside)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = d.folder.Sync()
	}
	if err != nil {
		return fmt.Errorf("setting %s aside: %w", logName, err)
	}
	return nil
}

func (d *disk) close() {
	if d.file != nil {
		_ = d.file.Close() // all records that anything depends on are synced
	}
	d.file = nil
}
