package audit

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

const (
	// FileName is the file that is appended to; those that are full are audit-N.log.
	FileName = "audit.log"
	// filesMost is how many full files are kept.
	filesMost   = 8
	entriesMost = 4096 // of a message
	queueMost   = 256
	// stallWait is how long the end of a store waits for its disk.
	stallWait = 2 * time.Second
)

// StoreOptions of a store's side.
type StoreOptions struct {
	Folder    journal.Folder
	FileBytes int64 // at which a file is full; 0: 4 MB
	Log       hclog.Logger
}

// Store appends what proxies hand over. Nothing is on its disk before the first record.
type Store struct {
	o     StoreOptions
	queue chan handed
	done  chan struct{}
	wg    sync.WaitGroup

	// Of the one goroutine.
	log       *recordlog.Log
	chain     uint64
	number    uint64 // of the file
	last      sum
	documents map[uint64]bool   // versions that the file has
	texts     map[uint64][]byte // the newest of them
	failed    error
	full      bool // the disk was, when it was tried last
}

// OpenStore opens the record on a disk, if there is one.
func OpenStore(o StoreOptions) (*Store, error) {
	if o.FileBytes == 0 {
		o.FileBytes = 4 << 20
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	s := &Store{o: o, queue: make(chan handed, queueMost), done: make(chan struct{}), documents: map[uint64]bool{}, texts: map[uint64][]byte{}}
	files, err := o.Folder.List()
	if err != nil {
		return nil, err
	}
	for _, f := range files {
		if f.Name == FileName || strings.HasPrefix(f.Name, "audit-") && strings.HasSuffix(f.Name, ".log") {
			// A full one may be there without the next, where power was lost between. What can't be gone on with takes no
			// records here; the store of batch jobs goes on.
			if err := s.open(); err != nil {
				s.outOfUse(err)
			}
			break
		}
	}
	s.wg.Go(s.run)
	return s, nil
}

// outOfUse gives the record up, unless the disk is merely full: then it is tried again with the next records.
func (s *Store) outOfUse(err error) {
	full := recordlog.IsDiskFull(err)
	if !full {
		s.failed = err
	}
	if !full || !s.full {
		s.o.Log.Error("audit record takes nothing", "until_restart", !full, "err", err)
	}
	s.full = full
}

// Close ends it. What was not acknowledged comes again, here or elsewhere.
func (s *Store) Close() {
	close(s.done)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		s.wg.Wait()
		if s.log != nil {
			_ = s.log.Close() // what was not synced was not acknowledged
		}
	}()
	select {
	case <-closed:
	case <-time.After(stallWait):
		s.o.Log.Error("the disk does not answer: ending without it", "file", FileName)
	}
}

// handed is what a proxy handed over, and who is told once it is on disk, or why it isn't.
type handed struct {
	body []byte
	done func(error)
}

var errBusy = errors.New("too much waits to be recorded here")

// Message takes what a proxy hands over.
func (s *Store) Message(m *link.Message) {
	s.Append(m.Body, func(err error) {
		if err != nil {
			m.Fail("%v", err)
			return
		}
		m.Reply(nil)
	})
}

// Append takes the body of a message. It doesn't wait.
func (s *Store) Append(body []byte, done func(error)) {
	select {
	case s.queue <- handed{body, done}:
	default:
		done(errBusy)
	}
}

func (s *Store) run() {
	for {
		select {
		case m := <-s.queue:
			all := []handed{m}
			for more := true; more && len(all) < queueMost; {
				select {
				case m := <-s.queue:
					all = append(all, m)
				default:
					more = false
				}
			}
			s.take(all)
		case <-s.done:
			return
		}
	}
}

// take appends what came and answers once it is on disk.
func (s *Store) take(all []handed) {
	errs := make([]error, len(all))
	for i, m := range all {
		errs[i] = s.append(m.body)
	}
	err := s.failed
	if err == nil && s.log != nil {
		if err = s.log.Sync(); err == nil && s.log.Size() >= s.o.FileBytes {
			s.rotate()
		}
	}
	for i, m := range all {
		m.done(errors.Join(errs[i], err))
	}
}

// errUnknownVersion asks the proxy to send the text too.
var errUnknownVersion = errors.New("the certificates of a version that a run names are not known here")

func (s *Store) append(body []byte) error {
	r := link.Reader{B: body}
	for range r.Count(12) {
		version, raw := r.U64(), r.Bytes()
		if r.Err == nil {
			s.learn(version, raw)
		}
	}
	n := r.Count(4)
	if n > entriesMost {
		return fmt.Errorf("%d entries in a message, over %d", n, entriesMost)
	}
	if s.failed != nil {
		return s.failed
	}
	if s.log == nil {
		if err := s.open(); err != nil {
			s.outOfUse(err)
			return err
		}
	}
	var add [][]byte
	named := map[uint64]bool{}
	for range n {
		e := r.Bytes()
		if r.Err != nil {
			return r.Err
		}
		in := link.Reader{B: e}
		switch in.U8() {
		case entryBegun:
			readKey(&in)
			v := readRun(&in).Version
			if !s.documents[v] && !named[v] {
				if s.texts[v] == nil {
					return errUnknownVersion
				}
				named[v] = true
				add = append(add, documentEntry(v, s.texts[v]))
			}
		case entryEnded:
		default:
			return errors.New("an entry that is none")
		}
		if in.Err != nil {
			return in.Err
		}
		add = append(add, e)
	}
	for _, e := range add {
		if err := s.add(e); err != nil {
			s.outOfUse(err)
			return err
		}
	}
	for v := range named {
		s.documents[v] = true
	}
	if s.full {
		s.full = false
		s.o.Log.Info("audit record takes records again")
	}
	return nil
}

// textsMost is how many versions' texts are held.
const textsMost = 16

func (s *Store) learn(version uint64, raw []byte) {
	s.texts[version] = bytes.Clone(raw)
	for len(s.texts) > textsMost {
		delete(s.texts, slices.Min(slices.Collect(maps.Keys(s.texts))))
	}
}

func (s *Store) add(entry []byte) error {
	b, next := chained(s.last, entry)
	if _, err := s.log.Append(b); err != nil {
		return err
	}
	s.last = next
	return nil
}

// open opens the file that is appended to, and checks its chain.
func (s *Store) open() error {
	first := true
	log, err := recordlog.Open(s.o.Folder, FileName, func(payload []byte, _ int64) error {
		if first { // what is before it stands in the file before
			if len(payload) < len(s.last) {
				return errChain
			}
			s.last, first = sum(payload[:len(s.last)]), false
		}
		entry, next, err := unchain(s.last, payload)
		if err != nil {
			return err
		}
		s.last = next
		r := link.Reader{B: entry}
		switch r.U8() {
		case entryStart:
			s.chain, s.number = r.U64(), r.U64()
		case entryDocument:
			version := r.U64()
			s.documents[version] = true
			s.learn(version, r.Bytes())
		}
		return r.Err
	})
	if err != nil {
		return fmt.Errorf("%s: %w; move the file away for the auditor and start again", FileName, err)
	}
	s.log = log
	if !first {
		return nil
	}
	if s.number == 0 {
		s.continued()
	}
	if err := s.begin(); err != nil { // a file without a record goes, and is begun again
		s.number--
		s.log = nil
		return errors.Join(err, log.Close(), s.o.Folder.Remove(FileName))
	}
	return nil
}

// continued finds the newest full file, whose chain goes on, where power was lost before the next one was begun.
func (s *Store) continued() {
	n := s.newestFull()
	if n == 0 {
		return
	}
	c, err := scanIn(s.o.Folder, fullName(n))
	if err != nil {
		s.o.Log.Error("full audit record unreadable, so a new chain begins", "file", fullName(n), "err", err)
		s.number = n
		return
	}
	s.chain, s.number, s.last = c.chain, c.number, c.last
}

// begin writes the first record of a file.
func (s *Store) begin() error {
	if s.chain == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		s.chain = binary.BigEndian.Uint64(b[:]) | 1
	}
	s.number++
	clear(s.documents) // each file has all that its runs name
	return s.add(startEntry(s.chain, s.number))
}

func fullName(n uint64) string { return fmt.Sprintf("audit-%06d.log", n) }

func (s *Store) newestFull() (newest uint64) {
	files, err := s.o.Folder.List()
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

// rotate puts a full file aside and begins the next one, which goes on with its chain. The oldest is removed.
func (s *Store) rotate() {
	err := s.log.Close()
	if err == nil {
		err = s.o.Folder.Rename(FileName, fullName(s.number))
	}
	if err == nil {
		err = s.o.Folder.Sync()
	}
	s.log = nil
	if err == nil {
		err = s.open()
	}
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.outOfUse(fmt.Errorf("the record of regulated runs: %w", err))
		return
	}
	s.o.Log.Info("audit record rotated", "full", fullName(s.number-1))
	if s.number > filesMost+1 {
		if err := s.o.Folder.Remove(fullName(s.number - 1 - filesMost)); err == nil {
			s.o.Log.Warn("audit record removed", "file", fullName(s.number-1-filesMost))
		}
	}
}
