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
	logAside  = "lease-log.aside" // the last that was set aside, for the staff to look at
	frameSize = 2 + 4 + 8         // magic, length, checksum
	magic     = "LV"
	maxRecord = 3 << 20 // a snapshot and what is after it
	maxLog    = 16 << 20
	// growLog is by how much the file grows before it is written anew, and keptLog how much of what
	// came before a snapshot stays, for whoever lacks a little.
	growLog     = 64 << 10
	retainedLog = 32 << 10
	// What a lease and a node take in a snapshot at the most.
	leaseCost = 120
	nodeCost  = 100
)

// DiskSpace is what a voter's files take in its folder, with so many leases at the most: the log, the
// one that is to replace it, and one that was set aside. Notes: each lease may have one.
func DiskSpace(most int, notes bool) int64 {
	cost := leaseCost
	if notes {
		cost += MaxName + MaxNote + 16
	}
	began := 2 * int64(most*cost+(fleet.MaxMembers+1)*nodeCost+retainedLog+4<<10) // records stand twice
	return began + 2*(began+growLog+2*maxProposed)
}

// errDamaged says that something that was promised can't be read: what is left of the log may
// not vote.
var errDamaged = errors.New("a part of the log is lost")

// identity says whose part of which log a file is.
type identity struct {
	Log   logID  `cbor:"1,keyasint"`
	Voter uint64 `cbor:"2,keyasint"`
}

// logID names a log. A later epoch of the same log replaces it.
type logID struct {
	ID    uint64 `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// String returns the id in hexadecimal and the epoch.
func (l logID) String() string { return fmt.Sprintf("%016x.%d", l.ID, l.Epoch) }

// record is what is written at once. All but the first of a file hold what is new.
type record struct {
	Place    uint64                 `cbor:"1,keyasint"` // in the file, from 1
	Self     *identity              `cbor:"2,keyasint,omitempty"`
	Hard     []byte                 `cbor:"3,keyasint,omitempty"`
	Entries  [][]byte               `cbor:"4,keyasint,omitempty"`
	Snapshot []byte                 `cbor:"5,keyasint,omitempty"`
	Seen     map[uint64]incarnation `cbor:"6,keyasint,omitempty"` // of other voters
}

// incarnation is one life of a voter: each process of it draws another start.
type incarnation struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Start       uint64 `cbor:"2,keyasint"`
}

// disk is a voter's file. Each record stands in it twice, so that one spoilt byte never takes
// a promise away that looks, then, like a write that was cut off.
type disk struct {
	folder vfs.Folder
	file   vfs.File // nil: it has to be written anew
	place  uint64
	size   int64
	began  int64 // its size when it was written anew
}

func frame(payload []byte) []byte {
	b := append(make([]byte, 0, 2*(frameSize+len(payload))), magic...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(payload))
	b = append(b, payload...)
	return append(b, b...)
}

// unframe finds the record that begins a text; 0: none does.
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

// load reads all records in their order. None: there is no log. What was cut off at the end was
// promised to nobody; errDamaged: something before it is lost.
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
		if n == 0 { // spoilt, or cut off: look for whole ones after it
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
		return nil, fmt.Errorf("%s: %w: it has no beginning", logName, errDamaged)
	}
	return all, nil
}

// append adds a record, synced. After an error nothing is known of the file: it is written
// anew before anything else.
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

// renew writes the file anew, with all that there is, in the place of the old one.
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

// full tells whether the file should be written anew, shorter.
func (d *disk) full() bool { return d.size > d.began+growLog }

// setAside ends this part in the log for good, and keeps the file for the staff.
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
		_ = d.file.Close() // what was promised was synced
	}
	d.file = nil
}
