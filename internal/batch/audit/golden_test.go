package audit

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"dunetide/internal/control/snapshot"
	"dunetide/internal/lab/golden"
	"dunetide/internal/platform/frame"
	"dunetide/internal/platform/link"
	"dunetide/internal/platform/recordlog"
	"dunetide/internal/platform/vfs/vfstest"
)

// The golden files were written by the sources of faf8ea2.
var (
	goldenKey = runKey{"proxy-3", 0x1122334455667788, 42}
	goldenRun = Run{
		ID:                  "request-91",
		Route:               "quotes",
		Regime:              "solvency",
		Endpoint:            "i-7f3a91c2",
		CertificatesVersion: 71,
		BatchItem:           true,
		Idempotent:          false,
		ResumeAfter:         "event-17",
		StartedAt:           time.Date(2026, 6, 1, 23, 4, 5, 678, time.UTC),
	}
	goldenEnd      = time.Date(2026, 6, 2, 1, 2, 3, 456, time.UTC)
	goldenOtherRun = Run{
		ID:                  "b",
		Route:               "r",
		Regime:              "g",
		Endpoint:            "e",
		CertificatesVersion: 72,
		Idempotent:          true,
		ResumeAfter:         "x",
		StartedAt:           goldenEnd,
	}
)

const (
	goldenVersion = 71
	goldenChain   = 0xa1b2c3d4e5f60719
	goldenNumber  = 6
)

var goldenText = []byte(`{"version":71,"routes":[{"name":"quotes","regime":"solvency"}],"certificates":[]}`)

// Each kind of entry, in the form that messages and files have.
func TestGoldenEntries(t *testing.T) {
	repeatable := goldenRun
	repeatable.BatchItem, repeatable.Idempotent = false, true
	for file, c := range map[string]struct {
		entry  []byte
		kind   uint8
		decode func(r *link.Reader) (again []byte, value, want any)
	}{
		"entry-1-start": {fileStartEntry(goldenChain, goldenNumber), 1, func(r *link.Reader) ([]byte, any, any) {
			chain, number := r.U64(), r.U64()
			return fileStartEntry(chain, number), []uint64{chain, number}, []uint64{goldenChain, goldenNumber}
		}},
		"entry-2-document": {certificatesEntry(goldenVersion, goldenText), 2, func(r *link.Reader) ([]byte, any, any) {
			version, text := r.U64(), r.Bytes()
			return certificatesEntry(version, text), fmt.Sprint(version, string(text)), fmt.Sprint(goldenVersion, string(goldenText))
		}},
		"entry-3-begun-item": {runStartedEntry(goldenKey, goldenRun), 3, func(r *link.Reader) ([]byte, any, any) {
			k, run := readKey(r), readRun(r)
			return runStartedEntry(k, run), []any{k, run}, []any{goldenKey, goldenRun}
		}},
		"entry-3-begun-repeatable": {runStartedEntry(goldenKey, repeatable), 3, func(r *link.Reader) ([]byte, any, any) {
			k, run := readKey(r), readRun(r)
			return runStartedEntry(k, run), []any{k, run}, []any{goldenKey, repeatable}
		}},
		"entry-4-ended": {runEndedEntry(goldenKey, goldenEnd, Broken), 4, func(r *link.Reader) ([]byte, any, any) {
			k, at, o := readKey(r), time.Unix(0, int64(r.Int())).UTC(), Outcome(r.U8())
			return runEndedEntry(k, at, o), []any{k, at, o}, []any{goldenKey, goldenEnd, Broken}
		}},
	} {
		b := golden.Read(t, file)
		if !bytes.Equal(c.entry, b) {
			t.Errorf("%s: %x, want %x", file, c.entry, b)
		}
		r := link.Reader{Buf: b}
		if kind := r.U8(); kind != c.kind {
			t.Errorf("%s: kind %d", file, kind)
		}
		again, value, want := c.decode(&r)
		if r.Err != nil || len(r.Buf) > 0 || !reflect.DeepEqual(value, want) {
			t.Errorf("%s: %v, %v, %d bytes are left; want %v", file, value, r.Err, len(r.Buf), want)
		}
		if !bytes.Equal(again, b) {
			t.Errorf("%s: written again as %x", file, again)
		}
	}
}

// The outcomes by their byte values, with their names in reports.
func TestGoldenOutcomes(t *testing.T) {
	written := func() []byte {
		var b []byte
		for _, o := range []Outcome{Open, Answered, Failed, NotRun, Unsent, Broken, Canceled} {
			b = fmt.Appendf(b, "%d %v may have run: %v\n", uint8(o), o, o.MayHaveRun())
		}
		return b
	}
	if b := golden.Read(t, "outcomes"); !bytes.Equal(written(), b) {
		t.Errorf("%s", written())
	}
	if outcomeCount != 7 {
		t.Errorf("%d outcomes", outcomeCount)
	}
}

// A record of a file: the hash of the previous record, then the entry.
func TestGoldenChain(t *testing.T) {
	written := func() []byte {
		one, first := chainRecord(recordHash{}, fileStartEntry(goldenChain, 1))
		two, second := chainRecord(first, runEndedEntry(goldenKey, goldenEnd, Canceled))
		return fmt.Appendf(nil, "%x\n%x\n%x\n%x\n", one, first, two, second)
	}
	b := golden.Read(t, "chain")
	if !bytes.Equal(written(), b) {
		t.Errorf("%s", written())
	}
	lines := strings.Split(string(b), "\n")
	before := recordHash{}
	for i, want := range [][]byte{fileStartEntry(goldenChain, 1), runEndedEntry(goldenKey, goldenEnd, Canceled)} {
		var record []byte
		_, err := fmt.Sscanf(lines[2*i], "%x", &record)
		must(t, err)
		entry, next, err := unchainRecord(before, record)
		if err != nil || !bytes.Equal(entry, want) || fmt.Sprintf("%x", next) != lines[2*i+1] {
			t.Errorf("record %d: %x, %x, %v", i, entry, next, err)
		}
		before = next
	}
}

// recordingConn is a connection that records the call made over it.
type recordingConn struct {
	kind link.Kind
	body []byte
}

func (c *recordingConn) Call(_ context.Context, kind link.Kind, body []byte) ([]byte, error) {
	c.kind, c.body = kind, bytes.Clone(body)
	return nil, nil
}
func (*recordingConn) Done() <-chan struct{} { return nil }
func (*recordingConn) Close()                {}

// goldenBatch delivers two runs by two versions of the certificates, and the end of one.
func goldenBatch(t *testing.T) (link.Kind, []byte) {
	t.Helper()
	c := &recordingConn{}
	r := NewRecorder(RecorderOptions{
		NodeName:       goldenKey.proxy,
		Incarnation:    goldenKey.incarnation,
		RequiredStores: 1,
		Now:            func() time.Time { return goldenEnd },
		Stores:         func() []snapshot.Store { return []snapshot.Store{{Name: "s", Addr: "a"}} },
		Dial:           func(context.Context, string) (Conn, error) { return c, nil }})
	r.Begin(goldenOtherRun, []byte("text of 72"))
	n, _ := r.Begin(goldenRun, goldenText)
	r.End(n, NotRun)
	must(t, r.deliver(context.Background()))
	return c.kind, c.body
}

func TestGoldenMessageToStores(t *testing.T) {
	b := golden.Read(t, "append-message")
	kind, body := goldenBatch(t)
	if kind != 200 || !bytes.Equal(body, b) {
		t.Errorf("kind %d, %x, want %x", kind, body, b)
	}
	if !Handles(200) || Handles(199) || Handles(201) {
		t.Error("Handles accepts the wrong kinds of messages")
	}

	d := vfstest.New()
	s, err := OpenStore(StoreOptions{Folder: d})
	must(t, err)
	must(t, s.appendNow(b))
	s.Close()
	r := check([]auditFile{{FileName, d.File(FileName)}}, CheckOptions{})
	want := []RecordedRun{
		{Run: goldenRun, Proxy: goldenKey.proxy, Number: 2, EndedAt: goldenEnd, Outcome: NotRun},
		{Run: goldenOtherRun, Proxy: goldenKey.proxy, Number: 1},
	}
	if !reflect.DeepEqual(r.Runs, want) || !slices.Equal(r.Versions, []uint64{71, 72}) {
		t.Errorf("%+v, certificates %v, want %+v", r.Runs, r.Versions, want)
	}
}

// goldenMessage encodes a message with the certificates and a complete run with the given number.
func goldenMessage(number uint64) []byte {
	key := goldenKey
	key.number = number
	return encodeAppend(
		map[uint64][]byte{goldenVersion: goldenText},
		[]uint64{goldenVersion},
		[][]byte{runStartedEntry(key, goldenRun), runEndedEntry(key, goldenEnd, Answered)},
	)
}

// goldenFiles returns a full file and the one that continues its chain, as a store wrote them for
// three messages.
func goldenFiles(t *testing.T) []auditFile {
	t.Helper()
	var files []auditFile
	for _, name := range []string{"audit-000001.log", FileName} {
		files = append(files, auditFile{name, golden.Read(t, name)})
	}
	return files
}

// goldenFileBytes is the size at which the golden files were full.
const goldenFileBytes = 900

// appendMessages makes a store append messages to the files of a disk.
func appendMessages(t *testing.T, d *vfstest.Disk, numbers ...uint64) {
	t.Helper()
	s, err := OpenStore(StoreOptions{Folder: d, FileBytes: goldenFileBytes})
	must(t, err)
	for _, number := range numbers {
		must(t, s.appendNow(goldenMessage(number)))
	}
	s.Close()
}

// entriesOf returns the scan of a file, and the entries of the file.
func entriesOf(t *testing.T, f auditFile) (scanned *scannedFile, entries [][]byte) {
	t.Helper()
	scanned, err := scan(bytes.NewReader(f.content), int64(len(f.content)), f.name, func(e []byte) error {
		entries = append(entries, bytes.Clone(e))
		return nil
	})
	must(t, err)
	return scanned, entries
}

func TestGoldenFiles(t *testing.T) {
	files := goldenFiles(t)
	r := check(files, CheckOptions{})
	if len(r.Runs) != 3 || r.Records != 9 || len(r.Files) != 2 {
		t.Errorf("%d runs, %d records, %+v", len(r.Runs), r.Records, r.Files)
	}
	for i, run := range r.Runs {
		want := RecordedRun{
			Run:     goldenRun,
			Proxy:   goldenKey.proxy,
			Number:  uint64(i + 1),
			EndedAt: goldenEnd,
			Outcome: Answered,
		}
		if !reflect.DeepEqual(run, want) {
			t.Errorf("%+v, want %+v", run, want)
		}
	}
	last := recordHash{}
	for i, f := range files {
		scanned, entries := entriesOf(t, f)
		if scanned.number != uint64(i+1) || scanned.first != last {
			t.Errorf("%s: file %d, continues from %x", f.name, scanned.number, scanned.first)
		}
		if got := rewritten(t, f.content, last, entries); !bytes.Equal(got, f.content) {
			t.Errorf("%s: rewritten with different bytes", f.name)
		}
		last = scanned.last
	}
}

// A store that gets the same messages writes the same files, except for the salts and the chain,
// which are random.
func TestStoreWritesTheEntriesOfTheGoldenFiles(t *testing.T) {
	d := vfstest.New()
	appendMessages(t, d, 1, 2, 3)
	for _, f := range goldenFiles(t) {
		_, want := entriesOf(t, f)
		scanned, got := entriesOf(t, auditFile{f.name, d.File(f.name)})
		want[0] = fileStartEntry(scanned.chain, scanned.number)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %x, want %x", f.name, got, want)
		}
	}
}

func TestStoreContinuesTheGoldenFiles(t *testing.T) {
	files := goldenFiles(t)
	d := vfstest.New()
	for _, f := range files {
		d.Put(f.name, f.content)
	}
	appendMessages(t, d, 4)
	if got := d.File(FileName); !bytes.HasPrefix(got, files[1].content) {
		t.Error("existing content of the file was changed")
	}
	if r := check([]auditFile{files[0], {FileName, d.File(FileName)}}, CheckOptions{}); len(r.Runs) != 4 {
		t.Errorf("%d runs, %v", len(r.Runs), r.Problems)
	}
}

// rewritten writes entries after the header of a file, with a sync wherever the file records one.
func rewritten(t *testing.T, data []byte, last recordHash, entries [][]byte) []byte {
	t.Helper()
	d := vfstest.New()
	d.Put("f", data[:frame.HeadersSize])
	l, err := recordlog.Open(d, "f", func([]byte, int64) error { return nil })
	must(t, err)
	for _, e := range entries {
		end := d.File("f")
		if synced := binary.LittleEndian.Uint64(data[len(end)+frame.KeyedHeadSize:]); synced == uint64(len(end)) {
			must(t, l.Sync())
		}
		var b []byte
		b, last = chainRecord(last, e)
		_, err := l.Append(b)
		must(t, err)
	}
	must(t, l.Close())
	return d.File("f")
}

func TestGoldenReports(t *testing.T) {
	r := check(goldenFiles(t), CheckOptions{})
	for file, write := range map[string]func(*bytes.Buffer) error{
		"report.csv": func(b *bytes.Buffer) error { return r.WriteCSV(b) },
		"report.txt": func(b *bytes.Buffer) error { return r.WriteText(b) },
	} {
		var b bytes.Buffer
		must(t, write(&b))
		if want := golden.Read(t, file); !bytes.Equal(b.Bytes(), want) {
			t.Errorf("%s: %s", file, b.String())
		}
	}
}

// Two files that disagree on a run and on a version: the report has both versions in full.
func TestGoldenReportOfDifferences(t *testing.T) {
	other := goldenRun
	other.BatchItem, other.Idempotent, other.ResumeAfter = false, true, ""
	files := []auditFile{}
	for i, c := range []struct {
		run  Run
		text []byte
		end  Outcome
	}{{goldenRun, goldenText, Answered}, {other, append(slices.Clone(goldenText), ' '), Canceled}} {
		d := vfstest.New()
		l, err := recordlog.Open(d, "f", func([]byte, int64) error { return nil })
		must(t, err)
		var last recordHash
		entries := [][]byte{
			fileStartEntry(uint64(i+1), 1),
			certificatesEntry(goldenVersion, c.text),
			runStartedEntry(goldenKey, c.run),
			runEndedEntry(goldenKey, goldenEnd, c.end),
		}
		for _, e := range entries {
			var b []byte
			b, last = chainRecord(last, e)
			_, err := l.Append(b)
			must(t, err)
		}
		must(t, l.Close())
		files = append(files, auditFile{fmt.Sprint("store-", i+1), d.File("f")})
	}
	var b bytes.Buffer
	must(t, check(files, CheckOptions{}).WriteProblems(&b))
	if want := golden.Read(t, "report-differences.txt"); !bytes.Equal(b.Bytes(), want) {
		t.Errorf("%s", b.String())
	}
}

// A row in the JSON of the lab's reports.
func TestGoldenRow(t *testing.T) {
	row := Row{
		Regime:     "solvency",
		Date:       "2026-06-01",
		Runs:       11,
		Requests:   12,
		BatchItems: 13,
		Answered:   14,
		Reanswered: 15,
		Endpoints:  16,
		Outcomes:   [outcomeCount]int{21, 22, 23, 24, 25, 26, 27},
	}
	written, err := json.Marshal(row)
	must(t, err)
	b := golden.Read(t, "row.json")
	if !bytes.Equal(written, b) {
		t.Errorf("%s", written)
	}
	var got Row
	must(t, json.Unmarshal(b, &got))
	if got != row {
		t.Errorf("%+v", got)
	}
}
