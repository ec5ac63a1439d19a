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

// Row sums the runs of a regime in a night, which lasts from noon to noon (UTC) and is named by the day it begins on.
type Row struct {
	Regime    string        `json:"Regime"`
	Night     string        `json:"Night"`
	Runs      int           `json:"Runs"`
	Requests  int           `json:"Requests"` // ids of interactive requests
	Items     int           `json:"Items"`    // ids of batch items
	Whole     int           `json:"Whole"`    // ids with a run that was answered whole
	Again     int           `json:"Again"`    // ids, repeatable ones, with more than one run answered whole
	Endpoints int           `json:"Endpoints"`
	Outcomes  [outcomes]int `json:"Outcomes"`
}

func night(at time.Time) string { return at.UTC().Add(-12 * time.Hour).Format(time.DateOnly) }

// Rows sums all runs.
func (r *Report) Rows() []Row {
	type group struct {
		Row
		requests, items, endpoints map[string]bool
		whole                      map[string]int
	}
	all := map[[2]string]*group{}
	for _, run := range r.Runs {
		k := [2]string{run.Regime, night(run.Begun)}
		g := all[k]
		if g == nil {
			g = &group{Row: Row{Regime: k[0], Night: k[1]}, requests: map[string]bool{}, items: map[string]bool{}, endpoints: map[string]bool{}, whole: map[string]int{}}
			all[k] = g
		}
		g.Runs++
		g.Outcomes[run.Outcome]++
		g.endpoints[run.Endpoint] = true
		if run.Item {
			g.items[run.ID] = true
		} else {
			g.requests[run.ID] = true
		}
		if run.Outcome == Answered {
			g.whole[run.ID]++
		}
	}
	var rows []Row
	for _, g := range all {
		g.Requests, g.Items, g.Endpoints, g.Whole = len(g.requests), len(g.items), len(g.endpoints), len(g.whole)
		for _, n := range g.whole {
			if n > 1 {
				g.Again++
			}
		}
		rows = append(rows, g.Row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Regime, b.Regime); c != 0 {
			return c
		}
		return strings.Compare(a.Night, b.Night)
	})
	return rows
}

func columns() []string {
	out := []string{"regime", "night", "runs", "requests", "items", "whole", "again", "endpoints"}
	for o := range outcomes {
		out = append(out, o.String())
	}
	return out
}

func (r Row) fields() []string {
	out := []string{r.Regime, r.Night}
	for _, n := range append([]int{r.Runs, r.Requests, r.Items, r.Whole, r.Again, r.Endpoints}, r.Outcomes[:]...) {
		out = append(out, strconv.Itoa(n))
	}
	return out
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

// WriteText writes the rows and the problems for people.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, strings.Join(columns(), "\t"))
	for _, row := range r.Rows() {
		fmt.Fprintln(out, strings.Join(row.fields(), "\t"))
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for _, f := range r.Files {
		if _, err := fmt.Fprintf(w, "%s: chain %x, file %d, %d records, last hash %s\n", f.Name, f.Chain, f.Number, f.Records, f.Last); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "%d files, %d records, certificates %v\n", len(r.Files), r.Records, r.Versions); err != nil {
		return err
	}
	return r.WriteProblems(w)
}

// problemsTold bounds the problems that are written out.
const problemsTold = 40

// WriteProblems writes what is wrong, or that nothing is.
func (r *Report) WriteProblems(w io.Writer) error {
	for _, p := range r.Problems[:min(len(r.Problems), problemsTold)] {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d problems\n", len(r.Problems))
	return err
}
