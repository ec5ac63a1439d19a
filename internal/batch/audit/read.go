package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/deliverynode/journal"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
)

// chainOf follows one file.
type chainOf struct {
	name          string
	chain, number uint64
	first, last   sum // the hash before its first record, and of its last one
	records       int
	each          func(entry []byte) error
}

// add takes the next record.
func (c *chainOf) add(payload []byte) error {
	if c.records == 0 {
		if len(payload) < len(c.first) {
			return errChain
		}
		c.first = sum(payload[:len(c.first)])
		c.last = c.first
	}
	entry, next, err := unchain(c.last, payload)
	if err != nil {
		return fmt.Errorf("record %d: %w", c.records+1, err)
	}
	r := link.Reader{B: entry}
	if kind := r.U8(); (kind == entryStart) != (c.records == 0) {
		return fmt.Errorf("record %d: a file begins with one record that names its chain, and has no other", c.records+1)
	} else if kind == entryStart {
		c.chain, c.number = r.U64(), r.U64()
	}
	c.last = next
	c.records++
	if r.Err != nil || c.each == nil {
		return r.Err
	}
	return c.each(entry)
}

func scanIn(folder journal.Folder, name string) (*chainOf, error) {
	files, err := folder.List()
	if err != nil {
		return nil, err
	}
	f, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, x := range files {
		if x.Name == name {
			return scan(f, x.Size, name, nil)
		}
	}
	return nil, os.ErrNotExist
}

// scan reads a file to its end. All of it has to count: a file that a store has closed or opened has no torn end.
func scan(file io.ReaderAt, size int64, name string, each func([]byte) error) (*chainOf, error) {
	c := &chainOf{name: name, each: each}
	// The head stands there twice so that a store outlives the loss of one; an auditor is told.
	head := make([]byte, journal.FramesHeader)
	if _, err := file.ReadAt(head, 0); err != nil && !errors.Is(err, io.EOF) {
		return c, err
	} else if !bytes.Equal(head[:len(head)/2], head[len(head)/2:]) {
		return c, fmt.Errorf("%s: the two copies of its head differ", name)
	}
	whole, err := recordlog.Scan(file, size, name, c.add)
	switch {
	case err != nil:
		return c, err
	case c.records == 0:
		return c, fmt.Errorf("%s has no record", name)
	case whole < size:
		return c, fmt.Errorf("%s: %d bytes behind record %d are none: changed, or copied while it was written (copy it again)", name, size-whole, c.records)
	}
	return c, nil
}

// Seen is a run with its end.
type Seen struct {
	Run
	Proxy   string
	Number  uint64
	Ended   time.Time // zero: not known
	Outcome Outcome
}

// Problem is what an auditor has to hear of.
type Problem struct {
	Rule   string // one of the rules below
	Where  string // a file, a run or an id
	Detail string
}

func (p Problem) String() string { return fmt.Sprintf("%-11s %s: %s", p.Rule, p.Where, p.Detail) }

// The rules.
const (
	Chain       = "CHAIN"       // a file was changed, or one is missing between others
	Differs     = "DIFFERS"     // two files say other things of the same run or version
	Unknown     = "UNKNOWN"     // the certificates by which a run was sent are in no file
	Uncertified = "UNCERTIFIED" // a run at an endpoint without a certificate that counted when it began
	Withdrawn   = "WITHDRAWN"   // a run by older certificates, longer after newer ones were used than is promised
	Twice       = "TWICE"       // what may run once may have run twice
)

// Options of an audit.
type Options struct {
	// Within is the time in which a withdrawal is in force everywhere; clocks may differ by certify.ClockMargin beside it.
	Within time.Duration
}

// Head is a file with the hash of its last record. Whoever keeps it elsewhere can tell later that nothing before it was
// changed, also by somebody who writes all files anew.
type Head struct {
	Name          string
	Chain, Number uint64
	Records       int
	Last          string
}

// Report of an audit.
type Report struct {
	Files    []Head
	Records  int
	Versions []uint64
	Runs     []Seen // by their beginning
	Problems []Problem
}

// auditor gathers what files say.
type auditor struct {
	o         Options
	r         Report
	runs      map[key]*Seen
	ends      map[key]*Seen
	documents map[uint64][]byte
	sets      map[uint64]*certification.Set
}

func (a *auditor) say(rule, where, format string, args ...any) {
	a.r.Problems = append(a.r.Problems, Problem{rule, where, fmt.Sprintf(format, args...)})
}

// Files audits files of any stores.
func Files(paths []string, o Options) (*Report, error) {
	var all []file
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		all = append(all, file{filepath.Clean(path), b})
	}
	return check(all, o), nil
}

type file struct {
	name string
	data []byte
}

func check(files []file, o Options) *Report {
	a := &auditor{o: o, runs: map[key]*Seen{}, ends: map[key]*Seen{}, documents: map[uint64][]byte{}, sets: map[uint64]*certification.Set{}}
	var chains []*chainOf
	for _, f := range files {
		c, err := scan(bytes.NewReader(f.data), int64(len(f.data)), f.name, a.entry)
		if err != nil {
			a.say(Chain, f.name, "%v", err)
		}
		a.r.Files = append(a.r.Files, Head{f.name, c.chain, c.number, c.records, fmt.Sprintf("%x", c.last[:])})
		a.r.Records += c.records
		if c.records > 0 {
			chains = append(chains, c)
		}
	}
	a.link(chains)
	a.settle()
	a.certified()
	a.once()
	slices.SortStableFunc(a.r.Problems, func(x, y Problem) int { return strings.Compare(x.Rule, y.Rule) })
	return &a.r
}

// link checks that the files of a chain go on from each other.
func (a *auditor) link(all []*chainOf) {
	slices.SortFunc(all, func(x, y *chainOf) int {
		if x.chain != y.chain {
			return cmpU64(x.chain, y.chain)
		}
		return cmpU64(x.number, y.number)
	})
	for i, c := range all {
		if c.number == 1 && c.first != (sum{}) {
			a.say(Chain, c.name, "it is the first file of its chain and says that there was one before")
		}
		if i == 0 || all[i-1].chain != c.chain {
			continue
		}
		before := all[i-1]
		switch {
		case before.number == c.number:
			if before.last != c.last && before.first != c.first {
				a.say(Chain, c.name, "it and %s are both file %d of chain %x and differ", before.name, c.number, c.chain)
			}
		case before.number+1 != c.number:
			a.say(Chain, c.name, "it is file %d of chain %x, and the one before it here is file %d: give those between them too", c.number, c.chain, before.number)
		case before.last != c.first:
			a.say(Chain, c.name, "it does not go on from the last record of %s", before.name)
		}
	}
}

func cmpU64(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (a *auditor) entry(entry []byte) error {
	r := link.Reader{B: entry}
	switch kind := r.U8(); kind {
	case entryStart:
	case entryDocument:
		version, raw := r.U64(), bytes.Clone(r.Bytes())
		if r.Err != nil {
			return r.Err
		}
		if had, there := a.documents[version]; there && !bytes.Equal(had, raw) {
			a.say(Differs, fmt.Sprintf("certificates %d", version), "two files have other texts of them")
			return nil
		} else if there {
			return nil
		}
		a.documents[version] = raw
		a.r.Versions = append(a.r.Versions, version)
		s, err := certification.Parse(raw)
		if err != nil || s.Version != version {
			a.say(Unknown, fmt.Sprintf("certificates %d", version), "their text can't be read, or is that of another version (%v)", err)
			return nil
		}
		a.sets[version] = s
	case entryBegun:
		k := readKey(&r)
		run := &Seen{Run: readRun(&r), Proxy: k.proxy, Number: k.number}
		if r.Err != nil {
			return r.Err
		}
		if had := a.runs[k]; had != nil {
			if had.Run != run.Run {
				a.say(Differs, k.String(), "%+v and %+v", had.Run, run.Run)
			}
			return nil
		}
		a.runs[k] = run
	case entryEnded:
		k := readKey(&r)
		end := &Seen{Ended: time.Unix(0, int64(r.Int())).UTC(), Outcome: Outcome(r.U8())}
		if r.Err != nil {
			return r.Err
		}
		if end.Outcome >= outcomes || end.Outcome == Open {
			return fmt.Errorf("an outcome that is none: %d", end.Outcome)
		}
		if had := a.ends[k]; had != nil {
			if *had != *end {
				a.say(Differs, k.String(), "it ended as %v and as %v", had.Outcome, end.Outcome)
			}
			return nil
		}
		a.ends[k] = end
	default:
		return fmt.Errorf("an entry of kind %d, which this version does not know", kind)
	}
	return nil
}

// settle joins runs with their ends.
func (a *auditor) settle() {
	for k, end := range a.ends {
		if run := a.runs[k]; run != nil {
			run.Ended, run.Outcome = end.Ended, end.Outcome
		} else if len(a.r.Problems) == 0 { // files that were changed lack more
			a.say(Chain, k.String(), "its end is there and its beginning isn't: a file before is missing")
		}
	}
	for _, run := range a.runs {
		a.r.Runs = append(a.r.Runs, *run)
	}
	slices.SortFunc(a.r.Runs, func(x, y Seen) int {
		if c := x.Begun.Compare(y.Begun); c != 0 {
			return c
		}
		if c := strings.Compare(x.Proxy, y.Proxy); c != 0 {
			return c
		}
		return cmpU64(x.Number, y.Number)
	})
	slices.Sort(a.r.Versions)
}

// certified checks each run against the certificates by which it was sent, and these against newer ones.
func (a *auditor) certified() {
	used := map[uint64]time.Time{} // when a version was first used, by its proxy's clock
	for _, run := range a.r.Runs {
		if at, ok := used[run.Version]; !ok || run.Begun.Before(at) {
			used[run.Version] = run.Begun
		}
	}
	for _, run := range a.r.Runs {
		where := fmt.Sprintf("run of %s at %s", run.ID, run.Endpoint)
		s := a.sets[run.Version]
		if s == nil {
			a.say(Unknown, where, "the certificates %d by which it was sent are in no file given", run.Version)
			continue
		}
		if regime := s.Regime(run.Route); regime != run.Regime {
			a.say(Uncertified, where, "it was sent for regime %q, and by certificates %d route %s demands %q", run.Regime, run.Version, run.Route, regime)
		} else if !s.Certified(run.Endpoint, run.Regime, run.Begun) {
			a.say(Uncertified, where, "by certificates %d it was not certified for regime %s at %s", run.Version, run.Regime, run.Begun.Format(time.RFC3339Nano))
		}
		if a.o.Within > 0 {
			for v, at := range used {
				if v > run.Version && run.Begun.Sub(at) > a.o.Within+certification.ClockMargin {
					a.say(Withdrawn, where, "it was sent by certificates %d, %v after the first run by %d", run.Version, run.Begun.Sub(at).Round(time.Millisecond), v)
					break
				}
			}
		}
	}
}

// once checks that what is not repeatable ran once.
func (a *auditor) once() {
	first := map[string]*Seen{}
	for i := range a.r.Runs {
		run := &a.r.Runs[i]
		if run.Repeatable || !run.Outcome.MayHaveRun() {
			continue
		}
		if before := first[run.ID]; before != nil {
			a.say(Twice, run.ID, "it may have run at %s (%v) and at %s (%v)", before.Endpoint, before.Outcome, run.Endpoint, run.Outcome)
			continue
		}
		first[run.ID] = run
	}
}
