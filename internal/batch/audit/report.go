package audit

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// maxListedProblems is the maximum number of problems that a report lists.
const maxListedProblems = 40

// Row summarizes the runs of a regime in one night, which lasts from noon to noon (UTC). The JSON names, and the
// columns of reports, are those of the first version.
type Row struct {
	Regime     string            `json:"Regime"`
	Date       string            `json:"Night"` // the day on which the night begins, as 2006-01-02
	Runs       int               `json:"Runs"`
	Requests   int               `json:"Requests"` // IDs of interactive requests
	BatchItems int               `json:"Items"`    // IDs of batch items
	Answered   int               `json:"Whole"`    // IDs with a completely answered run
	Reanswered int               `json:"Again"`    // IDs with more than one such run, which is allowed for idempotent ones
	Endpoints  int               `json:"Endpoints"`
	Outcomes   [outcomeCount]int `json:"Outcomes"` // runs by Outcome
}

// reportDate returns the day on which the night that contains a time begins.
func reportDate(at time.Time) string { return at.UTC().Add(-12 * time.Hour).Format(time.DateOnly) }

// rowSums accumulates a row.
type rowSums struct {
	Row
	requests, items, endpoints map[string]bool
	answered                   map[string]int // number of runs, by ID
}

func newRowSums(regime, date string) *rowSums {
	return &rowSums{
		Row:       Row{Regime: regime, Date: date},
		requests:  map[string]bool{},
		items:     map[string]bool{},
		endpoints: map[string]bool{},
		answered:  map[string]int{},
	}
}

func (s *rowSums) add(run RecordedRun) {
	s.Runs++
	s.Outcomes[run.Outcome]++
	s.endpoints[run.Endpoint] = true
	if run.BatchItem {
		s.items[run.ID] = true
	} else {
		s.requests[run.ID] = true
	}
	if run.Outcome == Answered {
		s.answered[run.ID]++
	}
}

func (s *rowSums) row() Row {
	r := s.Row
	r.Requests, r.BatchItems, r.Endpoints, r.Answered = len(s.requests), len(s.items), len(s.endpoints), len(s.answered)
	for _, runs := range s.answered {
		if runs > 1 {
			r.Reanswered++
		}
	}
	return r
}

// Rows summarizes all runs, sorted by regime and then by date.
func (r *Report) Rows() []Row {
	type key struct{ regime, date string }
	sums := map[key]*rowSums{}
	for _, run := range r.Runs {
		k := key{run.Regime, reportDate(run.StartedAt)}
		if sums[k] == nil {
			sums[k] = newRowSums(k.regime, k.date)
		}
		sums[k].add(run)
	}
	var rows []Row
	for _, s := range sums {
		rows = append(rows, s.row())
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Regime, b.Regime); c != 0 {
			return c
		}
		return strings.Compare(a.Date, b.Date)
	})
	return rows
}

func columns() []string {
	names := []string{"regime", "night", "runs", "requests", "items", "whole", "again", "endpoints"}
	for o := range outcomeCount {
		names = append(names, o.String())
	}
	return names
}

func (r Row) fields() []string {
	fields := []string{r.Regime, r.Date}
	counts := append([]int{r.Runs, r.Requests, r.BatchItems, r.Answered, r.Reanswered, r.Endpoints}, r.Outcomes[:]...)
	for _, n := range counts {
		fields = append(fields, strconv.Itoa(n))
	}
	return fields
}

// WriteCSV writes the rows as CSV.
func (r *Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	if err := out.Write(columns()); err != nil {
		return err
	}
	for _, row := range r.Rows() {
		if err := out.Write(row.fields()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// WriteText writes the rows, the files and the problems as plain text.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(columns(), "\t")) // buffered: Flush returns write errors
	for _, row := range r.Rows() {
		fmt.Fprintln(out, strings.Join(row.fields(), "\t"))
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, f := range r.Files {
		_, err := fmt.Fprintf(w, "%s: chain %x, file %d, %d records, last hash %s\n",
			f.Name, f.Chain, f.Number, f.Records, f.LastHash)
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d files, %d records, certificates %v\n", len(r.Files), r.Records, r.Versions)
	if err != nil {
		return err
	}
	return r.WriteProblems(w)
}

// WriteProblems writes the problems, up to maxListedProblems, and their total number.
func (r *Report) WriteProblems(w io.Writer) error {
	for _, p := range r.Problems[:min(len(r.Problems), maxListedProblems)] {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d problems\n", len(r.Problems))
	return err
}
