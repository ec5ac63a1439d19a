package audit

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs"
)

const (
	// defaultFileBytes is the default size at which a file is full.
	defaultFileBytes = 4 << 20
	// maxQueued is the maximum number of messages that wait for the disk; further ones are rejected.
	maxQueued = 256
	// maxKnownCertificates is the number of versions whose texts a store retains, the newest ones.
	maxKnownCertificates = 16
	// closeTimeout is how long Close waits for the disk.
	closeTimeout = 2 * time.Second
)

var (
	errQueueFull = errors.New("too much waits to be recorded here")
	// errUnknownVersion makes the proxy send the text too.
	errUnknownVersion = errors.New("the certificates of a version that a run names are not known here")
)

// StoreOptions are the options of a Store.
type StoreOptions struct {
	Folder    vfs.Folder
	FileBytes int64        // the size at which a file is full; 0: 4 MiB
	Log       hclog.Logger // nil: no log
}

// Store appends entries that recorders deliver to the audit files of a folder. It creates no file before the first
// entry. Its methods are safe for concurrent use; one goroutine does all I/O.
type Store struct {
	options  StoreOptions
	queue    chan appendRequest
	stopping chan struct{}
	wg       sync.WaitGroup

	// Used only by the goroutine of run, and by OpenStore before that starts.
	file     openFile
	known    map[uint64][]byte // texts of certificates, by version
	failure  error             // why no entries are accepted until the next start; nil while entries are accepted
	diskFull bool              // whether the disk was full at the last write
}

// appendRequest is the body of a message, and the function to call once its entries are on disk, or with the reason why
// they aren't.
type appendRequest struct {
	body []byte
	done func(error)
}

// OpenStore opens the audit files of a folder, if there are any, and verifies the chain of the newest one. A file that
// can't be continued is not an error: the store then accepts no entries, so that the batch store in the same process
// can continue.
func OpenStore(options StoreOptions) (*Store, error) {
	if options.FileBytes == 0 {
		options.FileBytes = defaultFileBytes
	}
	if options.Log == nil {
		options.Log = hclog.NewNullLogger()
	}
	s := &Store{
		options:  options,
		queue:    make(chan appendRequest, maxQueued),
		stopping: make(chan struct{}),
		file:     openFile{certificates: map[uint64]bool{}},
		known:    map[uint64][]byte{},
	}
	files, err := options.Folder.List()
	if err != nil {
		return nil, err
	}
	// A full file may exist without the current one, after a power failure between the rename and the creation.
	if slices.ContainsFunc(files, func(f vfs.FileInfo) bool { return isAuditFile(f.Name) }) {
		if err := s.open(); err != nil {
			s.reject(err)
		}
	}
	s.wg.Go(s.run)
	return s, nil
}

func isAuditFile(name string) bool {
	return name == FileName || strings.HasPrefix(name, "audit-") && strings.HasSuffix(name, ".log")
}

// reject stops the acceptance of entries until the next start. If the disk is merely full, the next message retries.
func (s *Store) reject(err error) {
	full := recordlog.IsDiskFull(err)
	if !full {
		s.failure = err
	}
	if !full || !s.diskFull {
		s.options.Log.Error("audit store rejects entries", "until_restart", !full, "err", err)
	}
	s.diskFull = full
}

// Close stops the store. Entries that were not acknowledged are delivered again, here or to another store.
func (s *Store) Close() {
	close(s.stopping)
	closed := make(chan struct{})
	go func() { // if the disk does not respond, this goroutine remains until the process ends
		defer close(closed)
		s.wg.Wait()
		if s.file.log != nil {
			_ = s.file.log.Close() // what was not synced was not acknowledged
		}
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		s.options.Log.Error("disk does not respond; closing without waiting for it", "file", FileName)
	}
}

// HandleAppend accepts a message from a recorder, and replies once its entries are on disk. It does not block.
func (s *Store) HandleAppend(m *link.Message) {
	s.Append(m.Body, func(err error) {
		if err != nil {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	})
}

// Append accepts the body of a message. It does not block: done is called, at most once, when the entries are on disk,
// or with the reason why they aren't.
func (s *Store) Append(body []byte, done func(error)) {
	select {
	case s.queue <- appendRequest{body, done}:
	default:
		done(errQueueFull)
	}
}

// run appends queued requests until the store is closed.
func (s *Store) run() {
	for {
		select {
		case first := <-s.queue:
			s.appendAll(s.queuedBehind(first))
		case <-s.stopping:
			return
		}
	}
}

// queuedBehind returns a request and those queued after it.
func (s *Store) queuedBehind(first appendRequest) []appendRequest {
	requests := []appendRequest{first}
	for len(requests) < maxQueued {
		select {
		case next := <-s.queue:
			requests = append(requests, next)
		default:
			return requests
		}
	}
	return requests
}

// appendAll appends requests with a single sync, and answers them.
func (s *Store) appendAll(requests []appendRequest) {
	results := make([]error, len(requests))
	for i, r := range requests {
		results[i] = s.append(r.body)
	}
	err := s.failure
	if err == nil && s.file.log != nil {
		if err = s.file.log.Sync(); err == nil && s.file.log.Size() >= s.options.FileBytes {
			s.rotate()
		}
	}
	for i, r := range requests {
		r.done(errors.Join(results[i], err))
	}
}

// append appends the entries of a message, without a sync. A message with an invalid entry is rejected as a whole.
func (s *Store) append(body []byte) error {
	in := link.Reader{Buf: body}
	s.readCertificates(&in)
	n := in.Count(4)
	if in.Err != nil { // an empty list is acknowledged, a truncated one is not
		return in.Err
	}
	if n > maxEntriesPerMessage {
		return fmt.Errorf("%d entries in a message, over %d", n, maxEntriesPerMessage)
	}
	if s.failure != nil {
		return s.failure
	}
	if s.file.log == nil {
		if err := s.open(); err != nil {
			s.reject(err)
			return err
		}
	}
	entries, added, err := s.readEntries(&in, n)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := s.file.append(entry); err != nil {
			s.reject(err)
			return err
		}
	}
	for _, version := range added {
		s.file.certificates[version] = true
	}
	if s.diskFull {
		s.diskFull = false
		s.options.Log.Info("audit store accepts entries again")
	}
	return nil
}

// readCertificates reads the texts of certificates in a message.
func (s *Store) readCertificates(in *link.Reader) {
	const minBytes = 12 // of a version and an empty text
	for range in.Count(minBytes) {
		version, text := in.U64(), in.Bytes()
		if in.Err == nil {
			s.cacheCertificates(version, text)
		}
	}
}

// cacheCertificates retains a copy of the text of a version.
func (s *Store) cacheCertificates(version uint64, text []byte) {
	s.known[version] = bytes.Clone(text)
	for len(s.known) > maxKnownCertificates {
		delete(s.known, slices.Min(slices.Collect(maps.Keys(s.known))))
	}
}

// readEntries reads and validates n entries of a message. Before the first run of each version that the file does not
// have yet, it inserts an entry with the text of that version; these versions are the second result.
func (s *Store) readEntries(in *link.Reader, n int) (entries [][]byte, added []uint64, err error) {
	for range n {
		entry := in.Bytes()
		if in.Err != nil {
			return nil, nil, in.Err
		}
		fields := link.Reader{Buf: entry}
		switch fields.U8() {
		case entryRunStarted:
			readKey(&fields)
			version := readRun(&fields).CertificatesVersion
			if s.file.certificates[version] || slices.Contains(added, version) {
				break
			}
			if s.known[version] == nil {
				return nil, nil, errUnknownVersion
			}
			added = append(added, version)
			entries = append(entries, certificatesEntry(version, s.known[version]))
		case entryRunEnded:
		default:
			return nil, nil, errors.New("an entry that is none")
		}
		if fields.Err != nil {
			return nil, nil, fields.Err
		}
		entries = append(entries, entry)
	}
	return entries, added, nil
}
