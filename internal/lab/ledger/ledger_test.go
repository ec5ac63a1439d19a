package ledger

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func open(t *testing.T, name string) *os.File {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func recorded(t *testing.T) *Day {
	t.Helper()
	report, err := ReadReport(open(t, "power-off.json"))
	if err != nil {
		t.Fatal(err)
	}
	worths, err := ReadSite(open(t, "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ended, err := ReadLogs(open(t, "power-off.log"))
	if err != nil {
		t.Fatal(err)
	}
	return &Day{Name: "power-off", Report: report, Rows: Rows(report, worths), Ended: ended}
}

// mostUnexplained is how far the sum of the rows may be from what the bench deducted.
const mostUnexplained = 0.01

func TestRowsAddUpToTheDeductions(t *testing.T) {
	day := recorded(t)
	if lost := day.Report.Lost(); math.Abs(Sum(day.Rows)-lost) > mostUnexplained || lost < 0.2 {
		t.Errorf("rows add up to %.4f, the bench deducted %.4f", Sum(day.Rows), lost)
	}
	for i, row := range day.Rows {
		if i > 0 && row.Lost > day.Rows[i-1].Lost {
			t.Errorf("row %d is larger than the one before", i)
		}
	}
	for _, part := range day.Report.Parts {
		sum := 0.0
		for _, row := range day.Rows {
			if row.Part == part.Name {
				sum += row.Lost
			}
		}
		if want := part.Weight * (1 - part.Value); math.Abs(sum-want) > 1e-3 {
			t.Errorf("rows of %s add up to %.4f, want %.4f", part.Name, sum, want)
		}
	}
}

func TestRowsAreSplitByKindAndReason(t *testing.T) {
	report := &Report{Worth: 0.4, Parts: []Part{{partDay, 0.5, 0.8}, {partNines, 0.5, 0.6}},
		Prices:   []Price{{"processor", 7, 0.3}, {"memory", 1, 0}},
		Kinds:    []Counts{{Name: "a", Requests: 100, InTime: 80, Late: 20, Worth: 0.9}, {Name: "b", Requests: 100, NotOwed: 50, InTime: 40, Failed: 10, Worth: 0.8}, {Name: "c", Requests: 10, InTime: 10, Worth: 1}},
		Unserved: []UnservedEnd{{"503", 3}, {"deadline", 1}}}
	got := map[[3]string]float64{}
	for _, row := range Rows(report, []RevenueWeight{{"a", 2, 1}}) {
		got[[3]string{row.Part, row.Kind, row.Reason}] = row.Lost
	}
	// a lost 2 x 100 x 0.1 = 20, b 1 x 50 x 0.2 = 10, of 0.1 in all.
	want := map[[3]string]float64{
		{partDay, "a", reasonLate}:            0.1 * 20 / 30,
		{partDay, "b", reasonFailed}:          0.1 * 10 / 30,
		{partNines, "", "last try: 503"}:      0.15,
		{partNines, "", "last try: deadline"}: 0.05,
		{partPrice, "", "processor"}:          0.3,
	}
	if len(got) != len(want) {
		t.Errorf("rows %v, want %v", got, want)
	}
	for row, lost := range want {
		if math.Abs(got[row]-lost) > 1e-9 {
			t.Errorf("%v lost %.4f, want %.4f", row, got[row], lost)
		}
	}
}

func TestAnUnexplainedLossIsARow(t *testing.T) {
	rows := Rows(&Report{Worth: 0.5, Parts: []Part{{partDay, 1, 0.5}}}, nil)
	if len(rows) != 1 || rows[0].Lost != 0.5 {
		t.Errorf("%+v", rows)
	}
}

func TestLogsAreCountedByReason(t *testing.T) {
	day := recorded(t)
	if len(day.Ended) == 0 || !strings.Contains(day.Ended[0].Reason, "no configuration") || day.Ended[0].Count < 10 {
		t.Errorf("%+v", day.Ended)
	}
	ended, err := ReadLogs(strings.NewReader(`
   3.0000 edge-a 2026-03-08T05:32:50.960Z [INFO]  proxy: request failed: id=1a route=r-1 verdict=refuse event=refused err="svc: no endpoint has room in time; come back in 97.2ms"
   4.5000 edge-b 2026-03-08T05:32:50.960Z [INFO]  proxy: request failed: id=2b route=r-2 verdict=refuse event=refused err="svc: no endpoint has room in time; come back in 1.5s"
   5.0000 edge-b/keeper 2026-03-08T05:32:50.960Z [INFO]  keeper: attached: node=edge-a role=proxy
not a line of a process
`))
	if err != nil || len(ended) != 1 || ended[0].Count != 2 || ended[0].First != 3 || ended[0].Last != 4.5 {
		t.Errorf("%+v, %v", ended, err)
	}
}

func TestPrintAndPlot(t *testing.T) {
	day := recorded(t)
	var table, plot bytes.Buffer
	if err := day.Print(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"rows add up to", "last try: 503", "closing (power_off_all)", "no configuration"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the tables do not have %q:\n%s", want, table.String())
		}
	}
	if err := day.Plot(&plot); err != nil || !strings.Contains(plot.String(), "<svg") {
		t.Errorf("no plot: %v", err)
	}
}

func TestFilesThatAreNoReports(t *testing.T) {
	for _, text := range []string{"", "[]", "{}", `{"parts":[["whole day"]]}`, `{"parts":[["whole day","x",1]]}`} {
		if _, err := ReadReport(strings.NewReader(text)); err == nil {
			t.Errorf("%q was accepted as a report", text)
		}
	}
	if _, err := ReadSite(strings.NewReader("classes = 3")); err == nil {
		t.Error("accepted as a site file")
	}
}
