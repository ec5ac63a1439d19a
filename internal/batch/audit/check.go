package audit

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/platform/link"
)

// The rules that CheckFiles checks. Reports print their names.
const (
	RuleBrokenChain  = "CHAIN"       // a file was changed, or a file within a chain is missing
	RuleConflict     = "DIFFERS"     // two files disagree on the same run or version
	RuleUnknown      = "UNKNOWN"     // the certificates by which a run was sent are in none of the files
	RuleUncertified  = "UNCERTIFIED" // a run at an endpoint without a certificate that was valid when it began
	RuleWithdrawn    = "WITHDRAWN"   // a run by older certificates, too long after newer ones were first used
	RuleDuplicateRun = "TWICE"       // a run that is not idempotent may have run more than once
)

// CheckOptions are the options of CheckFiles.
type CheckOptions struct {
	// WithdrawalBound is the time within which a withdrawal takes effect everywhere. The clocks of proxies may in
	// addition differ by certification.ClockMargin. 0: not checked.
	WithdrawalBound time.Duration
}

// Report is the result of a check.
type Report struct {
	Files    []FileHead
	Records  int           // in all files
	Versions []uint64      // of certificates, in ascending order
	Runs     []RecordedRun // by start time
	Problems []Problem     // by rule
}

// FileHead identifies a file with the hash of its last record. With a copy of the hash that is kept elsewhere it can be
// verified later that nothing before it was changed, even by someone who rewrites all files.
type FileHead struct {
	Name     string
	Chain    uint64
	Number   uint64 // of the file in the chain
	Records  int
	LastHash string // in hexadecimal
}

// RecordedRun is a run with its end.
type RecordedRun struct {
	Run
	Proxy   string
	Number  uint64    // of the run in its proxy
	EndedAt time.Time // zero: unknown
	Outcome Outcome
}

// Problem is a violation of a rule.
type Problem struct {
	Rule   string // one of the constants above
	Where  string // a file, a run or an id
	Detail string
}

// String returns the problem as a line of the report.
func (p Problem) String() string { return fmt.Sprintf("%-11s %s: %s", p.Rule, p.Where, p.Detail) }

// CheckFiles reads audit files of any stores, and checks the files and the runs in them. It returns an error if a file
// can't be read; problems in the files are in the report.
func CheckFiles(paths []string, options CheckOptions) (*Report, error) {
	var files []auditFile
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files = append(files, auditFile{filepath.Clean(path), content})
	}
	return check(files, options), nil
}

// auditFile is a file to check.
type auditFile struct {
	name    string
	content []byte
}

// checker collects the contents of the files.
type checker struct {
	options      CheckOptions
	report       Report
	started      map[runKey]*RecordedRun
	ended        map[runKey]*RecordedRun       // only EndedAt and Outcome are set
	texts        map[uint64][]byte             // of certificates, by version
	certificates map[uint64]*certification.Set // by version; only those with a valid text
}

func check(files []auditFile, options CheckOptions) *Report {
	c := &checker{
		options:      options,
		started:      map[runKey]*RecordedRun{},
		ended:        map[runKey]*RecordedRun{},
		texts:        map[uint64][]byte{},
		certificates: map[uint64]*certification.Set{},
	}
	c.checkChains(c.scanFiles(files))
	c.joinRuns()
	c.checkCertificates()
	c.checkDuplicates()
	slices.SortStableFunc(c.report.Problems, func(a, b Problem) int { return strings.Compare(a.Rule, b.Rule) })
	return &c.report
}

// problem adds a problem to the report.
func (c *checker) problem(rule, where, format string, args ...any) {
	c.report.Problems = append(c.report.Problems, Problem{rule, where, fmt.Sprintf(format, args...)})
}

// scanFiles reads all files, and returns those that have a record.
func (c *checker) scanFiles(files []auditFile) (scanned []*scannedFile) {
	for _, f := range files {
		s, err := scan(bytes.NewReader(f.content), int64(len(f.content)), f.name, c.addEntry)
		if err != nil {
			c.problem(RuleBrokenChain, f.name, "%v", err)
		}
		c.report.Files = append(c.report.Files, FileHead{
			Name:     f.name,
			Chain:    s.chain,
			Number:   s.number,
			Records:  s.records,
			LastHash: fmt.Sprintf("%x", s.last[:]),
		})
		c.report.Records += s.records
		if s.records > 0 {
			scanned = append(scanned, s)
		}
	}
	return scanned
}

// addEntry adds an entry. An entry that occurs in several files, or several times in one, counts once.
func (c *checker) addEntry(entry []byte) error {
	in := link.Reader{Buf: entry}
	switch kind := in.U8(); kind {
	case entryFileStart:
		return nil
	case entryCertificates:
		return c.addCertificates(&in)
	case entryRunStarted:
		return c.addStart(&in)
	case entryRunEnded:
		return c.addEnd(&in)
	default:
		return fmt.Errorf("an entry of kind %d, which this version does not know", kind)
	}
}

func (c *checker) addCertificates(in *link.Reader) error {
	version, text := in.U64(), bytes.Clone(in.Bytes())
	if in.Err != nil {
		return in.Err
	}
	where := fmt.Sprintf("certificates %d", version)
	if known, ok := c.texts[version]; ok {
		if !bytes.Equal(known, text) {
			c.problem(RuleConflict, where, "two files have other texts of them")
		}
		return nil
	}
	c.texts[version] = text
	c.report.Versions = append(c.report.Versions, version)
	s, err := certification.Parse(text)
	if err != nil || s.Version != version {
		c.problem(RuleUnknown, where, "their text can't be read, or is that of another version (%v)", err)
		return nil
	}
	c.certificates[version] = s
	return nil
}

func (c *checker) addStart(in *link.Reader) error {
	key := readKey(in)
	run := &RecordedRun{Run: readRun(in), Proxy: key.proxy, Number: key.number}
	if in.Err != nil {
		return in.Err
	}
	if known := c.started[key]; known == nil {
		c.started[key] = run
	} else if known.Run != run.Run {
		c.problem(RuleConflict, key.String(), "%s and %s", known.Run.describe(), run.Run.describe())
	}
	return nil
}

func (c *checker) addEnd(in *link.Reader) error {
	key := readKey(in)
	end := &RecordedRun{EndedAt: readTime(in), Outcome: Outcome(in.U8())}
	if in.Err != nil {
		return in.Err
	}
	if end.Outcome >= outcomeCount || end.Outcome == Open {
		return fmt.Errorf("an outcome that is none: %d", end.Outcome)
	}
	if known := c.ended[key]; known == nil {
		c.ended[key] = end
	} else if *known != *end {
		c.problem(RuleConflict, key.String(), "it ended as %v and as %v", known.Outcome, end.Outcome)
	}
	return nil
}

// checkChains checks that consecutive files of each chain match.
func (c *checker) checkChains(files []*scannedFile) {
	slices.SortFunc(files, func(a, b *scannedFile) int {
		return cmp.Or(cmp.Compare(a.chain, b.chain), cmp.Compare(a.number, b.number))
	})
	for i, f := range files {
		if f.number == 1 && f.first != (recordHash{}) {
			c.problem(RuleBrokenChain, f.name, "it is the first file of its chain and says that there was one before")
		}
		if i > 0 && files[i-1].chain == f.chain {
			c.checkSuccession(files[i-1], f)
		}
	}
}

// checkSuccession checks a file against the previous one in the same chain. Two copies of the same file are allowed.
func (c *checker) checkSuccession(before, f *scannedFile) {
	switch {
	case before.number == f.number:
		if before.last != f.last && before.first != f.first {
			c.problem(RuleBrokenChain, f.name, "it and %s are both file %d of chain %x and differ",
				before.name, f.number, f.chain)
		}
	case before.number+1 != f.number:
		c.problem(RuleBrokenChain, f.name, "it is file %d of chain %x, and the one before it here is file %d: "+
			"give those between them too", f.number, f.chain, before.number)
	case before.last != f.first:
		c.problem(RuleBrokenChain, f.name, "it does not go on from the last record of %s", before.name)
	}
}

// joinRuns combines runs with their ends, and sorts them.
func (c *checker) joinRuns() {
	for key, end := range c.ended {
		if run := c.started[key]; run != nil {
			run.EndedAt, run.Outcome = end.EndedAt, end.Outcome
		} else if len(c.report.Problems) == 0 { // in files that were changed, missing starts are a consequence
			c.problem(RuleBrokenChain, key.String(),
				"its end is there and its beginning isn't: a file before is missing")
		}
	}
	for _, run := range c.started {
		c.report.Runs = append(c.report.Runs, *run)
	}
	slices.SortFunc(c.report.Runs, func(a, b RecordedRun) int {
		return cmp.Or(
			a.StartedAt.Compare(b.StartedAt),
			strings.Compare(a.Proxy, b.Proxy),
			cmp.Compare(a.Number, b.Number),
		)
	})
	slices.Sort(c.report.Versions)
}

// checkCertificates checks each run against the certificates by which it was sent, and against newer ones.
func (c *checker) checkCertificates() {
	firstUsed := map[uint64]time.Time{} // by version, according to the clock of the proxy that used it
	for _, run := range c.report.Runs {
		if at, ok := firstUsed[run.CertificatesVersion]; !ok || run.StartedAt.Before(at) {
			firstUsed[run.CertificatesVersion] = run.StartedAt
		}
	}
	for _, run := range c.report.Runs {
		where := fmt.Sprintf("run of %s at %s", run.ID, run.Endpoint)
		certificates := c.certificates[run.CertificatesVersion]
		if certificates == nil {
			c.problem(RuleUnknown, where, "the certificates %d by which it was sent are in no file given",
				run.CertificatesVersion)
			continue
		}
		c.checkCertified(where, run, certificates)
		c.checkWithdrawal(where, run, firstUsed)
	}
}

// checkCertified checks that the endpoint of a run was certified for the regime that the route requires.
func (c *checker) checkCertified(where string, run RecordedRun, certificates *certification.Set) {
	if regime := certificates.Regime(run.Route); regime != run.Regime {
		c.problem(RuleUncertified, where, "it was sent for regime %q, and by certificates %d route %s demands %q",
			run.Regime, run.CertificatesVersion, run.Route, regime)
	} else if !certificates.Certified(run.Endpoint, run.Regime, run.StartedAt) {
		c.problem(RuleUncertified, where, "by certificates %d it was not certified for regime %s at %s",
			run.CertificatesVersion, run.Regime, run.StartedAt.Format(time.RFC3339Nano))
	}
}

// checkWithdrawal checks that no newer certificates had been in use for longer than the bound when a run began.
func (c *checker) checkWithdrawal(where string, run RecordedRun, firstUsed map[uint64]time.Time) {
	if c.options.WithdrawalBound <= 0 {
		return
	}
	for version, at := range firstUsed {
		if version > run.CertificatesVersion && run.StartedAt.Sub(at) > c.options.WithdrawalBound+certification.ClockMargin {
			c.problem(RuleWithdrawn, where, "it was sent by certificates %d, %v after the first run by %d",
				run.CertificatesVersion, run.StartedAt.Sub(at).Round(time.Millisecond), version)
			return
		}
	}
}

// checkDuplicates checks that runs that are not idempotent occur once.
func (c *checker) checkDuplicates() {
	first := map[string]*RecordedRun{} // by the ID of the request or item
	for i := range c.report.Runs {
		run := &c.report.Runs[i]
		if run.Idempotent || !run.Outcome.MayHaveRun() {
			continue
		}
		if before := first[run.ID]; before != nil {
			c.problem(RuleDuplicateRun, run.ID, "it may have run at %s (%v) and at %s (%v)",
				before.Endpoint, before.Outcome, run.Endpoint, run.Outcome)
			continue
		}
		first[run.ID] = run
	}
}
