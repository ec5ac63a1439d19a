package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

// scannedFile is the result of scanning one file.
type scannedFile struct {
	name          string
	chain, number uint64
	first         recordHash // the hash that its first record holds
	last          recordHash // of its last record
	records       int

	each func(entry []byte) error // called for each entry; may be nil
}

// scanIn scans a file in a folder.
func scanIn(folder vfs.Folder, name string) (*scannedFile, error) {
	files, err := folder.List()
	if err != nil {
		return nil, err
	}
	f, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, info := range files {
		if info.Name == name {
			return scan(f, info.Size, name, nil)
		}
	}
	return nil, os.ErrNotExist
}

// scan reads a file, and calls each for its entries. It returns what it has read even with an error. The whole file
// must be valid: a file that a store has closed, or has opened again, has no torn end.
func scan(file io.ReaderAt, size int64, name string, each func(entry []byte) error) (*scannedFile, error) {
	s := &scannedFile{name: name, each: each}
	// A store needs only one of the two copies of the header, but the auditor must learn that one was changed.
	header := make([]byte, frame.HeadersSize)
	if _, err := file.ReadAt(header, 0); err != nil && !errors.Is(err, io.EOF) {
		return s, err
	}
	if !bytes.Equal(header[:len(header)/2], header[len(header)/2:]) {
		return s, fmt.Errorf("%s: the two copies of its head differ", name)
	}
	whole, err := recordlog.Scan(file, size, name, s.add)
	switch {
	case err != nil:
		return s, err
	case s.records == 0:
		return s, fmt.Errorf("%s has no record", name)
	case whole < size:
		return s, fmt.Errorf("%s: %d bytes behind record %d are none: "+
			"changed, or copied while it was written (copy it again)", name, size-whole, s.records)
	}
	return s, nil
}

// add verifies the next record of the file.
func (s *scannedFile) add(payload []byte) error {
	if s.records == 0 {
		var err error
		if s.first, err = hashBefore(payload); err != nil {
			return err
		}
		s.last = s.first
	}
	entry, hash, err := unchainRecord(s.last, payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", s.records+1, err)
	}
	in := link.Reader{Buf: entry}
	kind := in.U8()
	if (kind == entryFileStart) != (s.records == 0) {
		return fmt.Errorf("record %d: a file begins with one record that names its chain, and has no other",
			s.records+1)
	}
	if kind == entryFileStart {
		s.chain, s.number = in.U64(), in.U64()
	}
	s.last = hash
	s.records++
	if in.Err != nil || s.each == nil {
		return in.Err
	}
	return s.each(entry)
}
