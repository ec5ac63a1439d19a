package audit

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"dunetide/internal/control/certification"
	"dunetide/internal/control/snapshot"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/vfs"
	"dunetide/internal/platform/vfs/vfstest"
)

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

var at = time.Date(2026, 6, 1, 23, 0, 0, 0, time.UTC)

// text returns a document that certifies endpoints for the regime fin, which route q requires.
func text(t testing.TB, version uint64, endpoints ...string) []byte {
	t.Helper()
	d := certification.Document{Version: version, Routes: []certification.Route{{Name: "q", Regime: "fin"}}}
	for _, e := range endpoints {
		d.Certificates = append(d.Certificates, certification.Certificate{
			Endpoint:  e,
			Regime:    "fin",
			NotBefore: at.Add(-time.Hour),
			NotAfter:  at.Add(time.Hour),
			Issuer:    "x",
		})
	}
	b, err := json.Marshal(d)
	must(t, err)
	return b
}

func run(id, endpoint string, version uint64, after time.Duration) Run {
	return Run{
		ID:                  id,
		Route:               "q",
		Regime:              "fin",
		Endpoint:            endpoint,
		CertificatesVersion: version,
		StartedAt:           at.Add(after),
	}
}

// direct is an in-process connection to a store. It can be cut.
type direct struct {
	s    *Store
	mu   *sync.Mutex
	cut  *bool
	done chan struct{}
}

func (d direct) Call(ctx context.Context, _ link.Kind, body []byte) ([]byte, error) {
	d.mu.Lock()
	cut := *d.cut
	d.mu.Unlock()
	if cut {
		return nil, link.ErrClosed
	}
	answer := make(chan error, 1)
	d.s.Append(body, func(err error) { answer <- err })
	select {
	case err := <-answer:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
func (d direct) Done() <-chan struct{} { return d.done }
func (d direct) Close()                {}

// rig has stores with disks and a recorder that delivers to them.
type rig struct {
	t      testing.TB
	dirs   []string
	stores []*Store
	mu     sync.Mutex
	cut    []bool
	r      *Recorder
	stop   context.CancelFunc
	ended  chan struct{}
}

func newRig(t testing.TB, stores, need, held int, fileBytes int64) *rig {
	t.Helper()
	g := &rig{t: t, cut: make([]bool, stores), ended: make(chan struct{})}
	for range stores {
		g.dirs = append(g.dirs, t.TempDir())
		g.stores = append(g.stores, nil)
	}
	for i := range stores {
		g.open(i, fileBytes)
	}
	g.r = NewRecorder(RecorderOptions{
		NodeName:       "p",
		Incarnation:    7,
		RequiredStores: need,
		MaxPending:     held,
		Now:            func() time.Time { return at },
		Stores: func() (all []snapshot.Store) {
			for i := range stores {
				all = append(all, snapshot.Store{Name: fmt.Sprint("s", i), Addr: fmt.Sprint(i)})
			}
			return all
		},
		Dial: func(_ context.Context, addr string) (Conn, error) {
			var i int
			_, err := fmt.Sscan(addr, &i)
			return direct{g.stores[i], &g.mu, &g.cut[i], make(chan struct{})}, err
		}})
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	go func() { g.r.Run(ctx); close(g.ended) }()
	t.Cleanup(g.close)
	return g
}

func (g *rig) open(i int, fileBytes int64) {
	s, err := OpenStore(StoreOptions{Folder: vfs.Dir(g.dirs[i]), FileBytes: fileBytes})
	must(g.t, err)
	g.stores[i] = s
}

func (g *rig) close() {
	if g.stop == nil {
		return
	}
	g.stop()
	g.stop = nil
	<-g.ended
	for _, s := range g.stores {
		s.Close()
	}
}

// drain waits until enough stores have all entries.
func (g *rig) drain() {
	g.t.Helper()
	if !g.r.Drain(10 * time.Second) {
		g.t.Fatal("not delivered")
	}
}

func (g *rig) lose(i int, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[i] = cut
}

// files returns all files that the stores wrote, once they are closed.
func (g *rig) files() (all []auditFile) {
	for i, dir := range g.dirs {
		names, err := filepath.Glob(filepath.Join(dir, "audit*.log"))
		must(g.t, err)
		for _, n := range names {
			b, err := os.ReadFile(n)
			must(g.t, err)
			all = append(all, auditFile{fmt.Sprintf("s%d/%s", i, filepath.Base(n)), b})
		}
	}
	return all
}

func (g *rig) do(r Run, document []byte, o Outcome) {
	g.t.Helper()
	n, ok := g.r.Begin(r, document)
	if !ok {
		g.t.Fatal("no space for the run")
	}
	if o != Open {
		g.r.End(n, o)
	}
}

func rules(r *Report) string {
	var out []string
	for _, p := range r.Problems {
		out = append(out, p.Rule)
	}
	return strings.Join(slices.Compact(out), " ")
}

func TestRunsAreOnAsManyStoresAsRequired(t *testing.T) {
	g := newRig(t, 3, 2, 0, 0)
	d := text(t, 1, "e1", "e2")
	for i := range 1000 {
		g.do(run(fmt.Sprint("id", i), "e1", 1, 0), d, Answered)
		if i == 300 {
			g.drain()
			g.lose(0, true)
		}
		if i == 600 {
			g.drain()
			g.lose(0, false)
			g.lose(1, true)
		}
	}
	if !g.r.Drain(10 * time.Second) {
		t.Fatal("not delivered")
	}
	g.close()
	copies := map[string]int{}
	for i := range g.dirs {
		var own []auditFile
		for _, f := range g.files() {
			if strings.HasPrefix(f.name, fmt.Sprintf("s%d/", i)) {
				own = append(own, f)
			}
		}
		for _, r := range check(own, CheckOptions{}).Runs {
			copies[r.ID]++
		}
	}
	r := check(g.files(), CheckOptions{WithdrawalBound: 2 * time.Second})
	if len(r.Problems) > 0 || len(r.Runs) != 1000 {
		t.Errorf("%d runs, %v", len(r.Runs), r.Problems)
	}
	for id, n := range copies {
		if n < 2 {
			t.Errorf("%s is on only %d stores", id, n)
		}
	}
	rows := r.Rows()
	if len(rows) != 1 || rows[0].Date != "2026-06-01" || rows[0].Regime != "fin" ||
		rows[0].Requests != 1000 || rows[0].Answered != 1000 || rows[0].Outcomes[Answered] != 1000 {
		t.Errorf("%+v", rows)
	}
}

func TestRecorderIsBoundedAndFailsClosed(t *testing.T) {
	g := newRig(t, 2, 2, 10, 0)
	g.lose(1, true)
	d := text(t, 1, "e1")
	var open []uint64
	for {
		n, ok := g.r.Begin(run(fmt.Sprint("id", len(open)), "e1", 1, 0), d)
		if !ok {
			break
		}
		open = append(open, n)
	}
	if len(open) != 5 {
		t.Errorf("%d runs began with space for 10 entries", len(open))
	}
	for _, n := range open { // there is space for each end
		g.r.End(n, Broken)
	}
	if g.r.Pending() != 10 {
		t.Errorf("%d entries are pending", g.r.Pending())
	}
	g.lose(1, false)
	if !g.r.Drain(10 * time.Second) {
		t.Fatal("not delivered once the store was reachable again")
	}
	if _, ok := g.r.Begin(run("again", "e1", 1, 0), d); !ok {
		t.Error("a run was rejected although there is space again")
	}
	g.close()
	if r := check(g.files(), CheckOptions{}); len(r.Problems) > 0 || len(r.Runs) < 5 {
		t.Errorf("%+v", r)
	}
}

func TestNothingIsOnADiskBeforeTheFirstRun(t *testing.T) {
	g := newRig(t, 1, 1, 0, 0)
	g.close()
	if files := g.files(); len(files) != 0 {
		t.Errorf("%v", files)
	}
}

// Files are rotated and their number is limited. A restarted store continues its chain, even right
// after a file was renamed.
func TestChainContinuesOverFilesAndRestarts(t *testing.T) {
	g := newRig(t, 1, 1, 0, 8<<10)
	d := text(t, 3, "e1")
	for i := range 400 {
		g.do(run(fmt.Sprint("id", i), "e1", 3, 0), d, Answered)
		if i%20 == 0 && !g.r.Drain(10*time.Second) {
			t.Fatal("not delivered")
		}
		if i == 200 {
			g.stores[0].Close()
			full := g.stores[0].file.number
			// Simulates a power failure during a rotation.
			must(t, os.Rename(filepath.Join(g.dirs[0], FileName), filepath.Join(g.dirs[0], fullFileName(full))))
			g.open(0, 8<<10)
			g.r.conns = map[string]*storeConn{} // no delivery is in progress
		}
	}
	if !g.r.Drain(10 * time.Second) {
		t.Fatal("not delivered")
	}
	g.close()
	files := g.files()
	if len(files) < 4 || len(files) > maxFullFiles+1 {
		t.Errorf("%d files", len(files))
	}
	r := check(files, CheckOptions{})
	for _, p := range r.Problems { // ends of runs whose starts were in removed files
		if !strings.Contains(p.Detail, "a previous file is missing") {
			t.Error(p)
		}
	}
	if len(r.Runs) < 100 {
		t.Errorf("%d runs", len(r.Runs))
	}
	without := slices.Delete(slices.Clone(files), len(files)/2, len(files)/2+1)
	if got := rules(check(without, CheckOptions{})); !strings.Contains(got, RuleBrokenChain) {
		t.Errorf("a missing file within a chain is not reported: %q", got)
	}
}

func TestEachRuleIsReported(t *testing.T) {
	d1, d2 := text(t, 1, "e1", "e2"), text(t, 2, "e1")
	expired := run("a", "e1", 1, 2*time.Hour)
	other := run("a", "e1", 1, 0)
	other.Route = "z"
	repeatable := run("a", "e1", 1, 0)
	repeatable.Idempotent = true
	type one struct {
		run Run
		doc []byte
		end Outcome
	}
	for name, c := range map[string]struct {
		runs []one
		want string
	}{
		"no problem":                 {[]one{{run("a", "e1", 1, 0), d1, Answered}, {run("b", "e2", 1, 0), d1, Failed}}, ""},
		"not certified":              {[]one{{run("a", "e3", 1, 0), d1, Answered}}, RuleUncertified},
		"expired":                    {[]one{{expired, d1, Answered}}, RuleUncertified},
		"another regime":             {[]one{{other, d1, Answered}}, RuleUncertified},
		"withdrawn":                  {[]one{{run("a", "e2", 2, 0), d2, Answered}}, RuleUncertified},
		"twice":                      {[]one{{run("a", "e1", 1, 0), d1, Broken}, {run("a", "e2", 1, time.Second), d1, Answered}}, RuleDuplicateRun},
		"twice, one open":            {[]one{{run("a", "e1", 1, 0), d1, Open}, {run("a", "e2", 1, time.Second), d1, Answered}}, RuleDuplicateRun},
		"rejected before":            {[]one{{run("a", "e1", 1, 0), d1, NotRun}, {run("a", "e2", 1, time.Second), d1, Answered}}, ""},
		"not written before":         {[]one{{run("a", "e1", 1, 0), d1, Unsent}, {run("a", "e2", 1, time.Second), d1, Answered}}, ""},
		"may repeat":                 {[]one{{repeatable, d1, Answered}, {repeatable, d1, Answered}}, ""},
		"outdated certificates":      {[]one{{run("a", "e1", 2, 0), d2, Answered}, {run("b", "e2", 1, 5*time.Second), d1, Answered}}, RuleWithdrawn},
		"outdated, within the bound": {[]one{{run("a", "e1", 2, 0), d2, Answered}, {run("b", "e2", 1, 3*time.Second), d1, Answered}}, ""},
		"unreadable":                 {[]one{{run("a", "e1", 1, 0), []byte("{}"), Answered}}, RuleUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1, 1, 0, 0)
			for _, o := range c.runs {
				g.do(o.run, o.doc, o.end)
			}
			g.drain()
			g.close()
			r := check(g.files(), CheckOptions{WithdrawalBound: 2 * time.Second})
			if got := rules(r); got != c.want {
				t.Errorf("%q, want %q: %v", got, c.want, r.Problems)
			}
			if len(r.Runs) != len(c.runs) {
				t.Errorf("%d runs", len(r.Runs))
			}
		})
	}
}

// Any changed, truncated, inserted or moved byte is detected.
func TestRandomCorruptionsAreReported(t *testing.T) {
	g := newRig(t, 1, 1, 0, 6<<10)
	d := text(t, 1, "e1")
	for i := range 60 {
		g.do(run(fmt.Sprint("id", i), "e1", 1, 0), d, Answered)
		g.drain()
	}
	g.close()
	files := g.files()
	if r := check(files, CheckOptions{}); len(r.Problems) > 0 || len(files) < 2 {
		t.Fatalf("%d files, %v", len(files), r.Problems)
	}
	rng := rand.New(rand.NewPCG(11, 12))
	kinds := []string{"flip", "zero", "cut", "insert", "remove", "swap", "repeat"}
	for n := range 600 {
		bad := slices.Clone(files)
		i := rng.IntN(len(bad))
		b := bytes.Clone(bad[i].content)
		from := rng.IntN(len(b))
		to := min(len(b), from+1+rng.IntN(200))
		kind := kinds[n%len(kinds)]
		switch kind {
		case "flip":
			b[from] ^= 1 << rng.IntN(8)
		case "zero":
			clear(b[from:to])
		case "cut":
			b = b[:from]
		case "insert":
			b = slices.Insert(b, from, b[:min(len(b), 1+rng.IntN(100))]...)
		case "remove":
			b = slices.Delete(b, from, to)
		case "swap":
			if to+to-from > len(b) {
				continue
			}
			copy(b[from:to], bad[i].content[to:to+to-from])
			copy(b[to:to+to-from], bad[i].content[from:to])
		case "repeat":
			b = append(b, b[from:]...)
		}
		if bytes.Equal(b, bad[i].content) {
			continue
		}
		bad[i].content = b
		r := check(bad, CheckOptions{})
		if len(r.Problems) == 0 && !(kind == "cut" && i == newest(files)) {
			t.Errorf("%s of bytes %d to %d in %s is not detected", kind, from, to, bad[i].name)
		}
	}
}

// newest returns the file that is appended to. Records at its end can be removed without a trace in
// the file, as there is no later record; only the copies on other stores reveal that.
func newest(files []auditFile) int {
	return slices.IndexFunc(files, func(f auditFile) bool { return strings.HasSuffix(f.name, "/"+FileName) })
}

func TestRunOfARemovedFileIsOnTheOtherStores(t *testing.T) {
	g := newRig(t, 2, 2, 0, 0)
	d := text(t, 1, "e1")
	g.do(run("a", "e1", 1, 0), d, Answered)
	g.drain()
	g.do(run("b", "e9", 1, 0), d, Answered) // a run that someone may want to hide
	g.drain()
	g.close()
	files := g.files()
	files = files[1:] // the complete file of one store is removed
	if got := rules(check(files, CheckOptions{})); got != RuleUncertified {
		t.Errorf("%q", got)
	}
}

// A store whose audit file is damaged accepts no more entries, and the batch store in the same
// process keeps running.
func TestDamagedFileAcceptsNoMoreEntries(t *testing.T) {
	g := newRig(t, 1, 1, 0, 0)
	for i := range 3 { // each is synced before the next one is written
		g.do(run(fmt.Sprint("id", i), "e1", 1, 0), text(t, 1, "e1"), Answered)
		g.drain()
	}
	g.close()
	name := filepath.Join(g.dirs[0], FileName)
	b, err := os.ReadFile(name)
	must(t, err)
	b[100] ^= 1
	must(t, os.WriteFile(name, b, 0o600))
	s, err := OpenStore(StoreOptions{Folder: vfs.Dir(g.dirs[0])})
	must(t, err)
	defer s.Close()
	answer := make(chan error, 1)
	w := link.Writer{}
	w.U32(0)
	w.U32(0)
	s.Append(w.Buf, func(err error) { answer <- err })
	if err := <-answer; err == nil {
		t.Error("the store accepts more entries")
	}
	if after, err := os.ReadFile(name); err != nil || !bytes.Equal(after, b) {
		t.Error("the damaged file was changed")
	}
}

func TestReportsAreWritten(t *testing.T) {
	g := newRig(t, 1, 1, 0, 0)
	d := text(t, 1, "e1")
	g.do(run("a", "e1", 1, 0), d, Answered)
	g.do(run("b", "e1", 1, 14*time.Hour), d, Canceled)
	g.drain()
	g.close()
	r := check(g.files(), CheckOptions{})
	var csv, plain bytes.Buffer
	must(t, errors.Join(r.WriteCSV(&csv), r.WriteText(&plain)))
	want := "regime,night,runs,requests,items,whole,again,endpoints,open,answered,failed,not-run,unsent,broken,left\n" +
		"fin,2026-06-01,1,1,0,1,0,1,0,1,0,0,0,0,0\nfin,2026-06-02,1,1,0,0,0,1,0,0,0,0,0,0,1\n"
	if csv.String() != want {
		t.Errorf("%s", csv.String())
	}
	if !strings.Contains(plain.String(), "UNCERTIFIED run of b at e1") || !strings.Contains(plain.String(), "1 problems") {
		t.Errorf("%s", plain.String())
	}
}

// A truncated message is rejected, even if the list of entries is missing completely: an empty
// reply would acknowledge to the proxy that its entries are on disk.
func TestMessagesThatEndEarlyAreRejected(t *testing.T) {
	s, err := OpenStore(StoreOptions{Folder: vfstest.New()})
	must(t, err)
	defer s.Close()
	message := goldenMessage(1)
	for length := range message {
		if err := s.appendNow(slices.Clone(message[:length])); err == nil {
			t.Errorf("%d of %d bytes were acknowledged", length, len(message))
		}
	}
	must(t, s.appendNow(message))
}
