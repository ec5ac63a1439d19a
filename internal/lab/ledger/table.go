package ledger

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Day is the account of one day.
type Day struct {
	Name   string
	Report *Report
	Rows   []Row
	Ended  []Ended // from the logs; empty if none were given
}

// maxReasons limits how many reasons from the logs are printed.
const maxReasons = 20

// Print writes the account as tables: the rows, the spans of the day with the events that began in them, and the reasons from the
// logs.
func (d *Day) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s: worth %.4f, lost %.4f, rows add up to %.4f\n", d.Name, d.Report.Worth, d.Report.Lost(), Sum(d.Rows))
	fmt.Fprintln(t, "part\tkind\treason\tlost")
	for _, r := range d.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4f\n", r.Part, r.Kind, r.Reason, r.Lost)
	}
	fmt.Fprintln(t, "\nfrom s\trequests\tlate\trefused\tfailed\tworth\tbegun in it")
	for i, s := range d.Report.Spans {
		from, until := d.span(i)
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\n", s.Name, s.Requests, s.Late, s.Refused, s.Failed, s.Worth, strings.Join(d.begun(from, until), "; "))
	}
	if len(d.Ended) > 0 {
		fmt.Fprintln(t, "\nrequests\tfirst s\tlast s\tended by a process")
		for _, e := range d.Ended[:min(len(d.Ended), maxReasons)] {
			fmt.Fprintf(t, "%d\t%.1f\t%.1f\t%s\n", e.Count, e.First, e.Last, e.Reason)
		}
	}
	return t.Flush()
}

// span returns the bounds of a span of the day.
func (d *Day) span(i int) (from, until float64) {
	spans := d.Report.Spans
	_, _ = fmt.Sscan(spans[i].Name, &from)
	until = from
	if i+1 < len(spans) {
		_, _ = fmt.Sscan(spans[i+1].Name, &until)
	} else if i > 0 {
		before, _ := d.span(i - 1)
		until = 2*from - before
	}
	return from, until
}

// begun returns the kinds of the events that began in a span.
func (d *Day) begun(from, until float64) []string {
	var kinds []string
	for _, e := range d.Report.Events {
		if e.At >= from && e.At < until {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}
