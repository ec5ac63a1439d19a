package audit

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"

	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

const (
	// FileName is the name of the file that is appended to. Full files are named audit-N.log, with their number in the
	// chain.
	FileName = "audit.log"
	// maxFullFiles is how many full files are retained.
	maxFullFiles = 8
)

// openFile is the file that is appended to, and its position in the chain.
type openFile struct {
	log          *recordlog.Log  // nil: none is open
	chain        uint64          // a random number, the same in all files of a chain; 0: no chain yet
	number       uint64          // of the file in the chain, from 1
	lastHash     recordHash      // of the last record
	certificates map[uint64]bool // versions whose text is in the file
}

// append appends an entry, without a sync.
func (f *openFile) append(entry []byte) error {
	b, next := chainRecord(f.lastHash, entry)
	if _, err := f.log.Append(b); err != nil {
		return err
	}
	f.lastHash = next
	return nil
}

// begin appends the entry that each file begins with.
func (f *openFile) begin() error {
	if f.chain == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		f.chain = binary.BigEndian.Uint64(b[:]) | 1
	}
	f.number++
	clear(f.certificates) // each file has all texts that its runs refer to
	return f.append(fileStartEntry(f.chain, f.number))
}

// open opens the file that is appended to, verifies its chain, and begins the file if it is new.
func (s *Store) open() error {
	f := &s.file
	empty := true
	log, err := recordlog.Open(s.options.Folder, FileName, func(payload []byte, _ int64) error {
		if empty { // nothing in this file can verify the hash of the previous file
			var err error
			if f.lastHash, err = hashBefore(payload); err != nil {
				return err
			}
			empty = false
		}
		return s.replay(payload)
	})
	if err != nil {
		return fmt.Errorf("%s: %w; move the file away for the auditor and start again", FileName, err)
	}
	f.log = log
	if !empty {
		return nil
	}
	if f.number == 0 {
		s.continueChain()
	}
	if err := f.begin(); err != nil { // a file without a record is useless: the next attempt creates it again
		f.number--
		f.log = nil
		return errors.Join(err, log.Close(), s.options.Folder.Remove(FileName))
	}
	return nil
}

// replay applies a record of the file that is being opened.
func (s *Store) replay(payload []byte) error {
	f := &s.file
	entry, hash, err := unchainRecord(f.lastHash, payload)
	if err != nil {
		return err
	}
	f.lastHash = hash
	in := link.Reader{Buf: entry}
	switch in.U8() {
	case entryFileStart:
		f.chain, f.number = in.U64(), in.U64()
	case entryCertificates:
		version := in.U64()
		f.certificates[version] = true
		s.cacheCertificates(version, in.Bytes())
	}
	return in.Err
}

// continueChain finds the newest full file, whose chain the next file continues. That is needed after a power failure
// before the next file was begun.
func (s *Store) continueChain() {
	newest := s.newestFullFile()
	if newest == 0 {
		return
	}
	full, err := scanIn(s.options.Folder, fullFileName(newest))
	if err != nil {
		s.options.Log.Error("full audit file unreadable; starting a new chain",
			"file", fullFileName(newest), "err", err)
		s.file.number = newest
		return
	}
	s.file.chain, s.file.number, s.file.lastHash = full.chain, full.number, full.last
}

// newestFullFile returns the highest number of a full file; 0 if there is none, or if the folder can't be read.
func (s *Store) newestFullFile() (newest uint64) {
	files, err := s.options.Folder.List()
	if err != nil {
		return 0
	}
	for _, f := range files {
		var n uint64
		if _, err := fmt.Sscanf(f.Name, "audit-%d.log", &n); err == nil {
			newest = max(newest, n)
		}
	}
	return newest
}

func fullFileName(number uint64) string { return fmt.Sprintf("audit-%06d.log", number) }

// rotate renames the full file, begins the next one, which continues its chain, and removes the oldest one.
func (s *Store) rotate() {
	if err := s.beginNextFile(); err != nil {
		s.reject(fmt.Errorf("the record of regulated runs: %w", err))
		return
	}
	full := s.file.number - 1
	s.options.Log.Info("audit file rotated", "full", fullFileName(full))
	if full > maxFullFiles {
		oldest := fullFileName(full - maxFullFiles)
		// A file that can't be removed is left: it only takes space, and may have been collected and removed already.
		if err := s.options.Folder.Remove(oldest); err == nil {
			s.options.Log.Warn("audit file removed", "file", oldest)
		}
	}
}

// beginNextFile renames the file that is appended to, and opens a new one.
func (s *Store) beginNextFile() error {
	err := s.file.log.Close()
	s.file.log = nil
	if err != nil {
		return err
	}
	if err := s.options.Folder.Rename(FileName, fullFileName(s.file.number)); err != nil {
		return err
	}
	if err := s.options.Folder.Sync(); err != nil {
		return err
	}
	if err := s.open(); err != nil {
		return err
	}
	return s.file.log.Sync()
}
