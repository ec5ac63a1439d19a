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

// maxListedProblems is how many problems a report lists.
const maxListedProblems = 40

// Row sums up the runs of a regime in a night, which lasts from noon to noon (UTC). The JSON names, and the columns
// of reports, are those of the first version.
type Row struct {
	Regime     string            `json:"Regime"`
	Date       string            `json:"Night"` // the day on which the night begins, as 2006-01-02
	Runs       int               `json:"Runs"`
	Requests   int               `json:"Requests"` // ids of interactive requests
	BatchItems int               `json:"Items"`    // ids of batch items
	Answered   int               `json:"Whole"`    // ids with a run that was answered completely
	Reanswered int               `json:"Again"`    // ids with more than one such run, which idempotent ones may have
	Endpoints  int               `json:"Endpoints"`
	Outcomes   [outcomeCount]int `json:"Outcomes"` // runs by Outcome
}

// reportDate returns the day on which the night, from noon to noon, begins that a moment is in.
func reportDate(at time.Time) string { return at.UTC().Add(-12 * time.Hour).Format(time.DateOnly) }

// rowSums gathers a row.
type rowSums struct {
	Row
	requests, items, endpoints map[string]bool
	answered                   map[string]int // runs, by id
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

// Rows sums up all runs, by regime and then by date.
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

// WriteCSV writes the rows.
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

// WriteText writes the rows, the files and the problems for people.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(columns(), "\t")) // it goes to memory: Flush returns the error of writing
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

// WriteProblems writes the problems, up to a bound, and how many there are.
func (r *Report) WriteProblems(w io.Writer) error {
	for _, p := range r.Problems[:min(len(r.Problems), maxListedProblems)] {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d problems\n", len(r.Problems))
	return err
}
