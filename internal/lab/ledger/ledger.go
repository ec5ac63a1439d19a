// Package ledger accounts for what a day of the bench lost. It reads the bench's report of a day, the deployment's site file and the
// processes' logs, and changes none of them. Each loss in a part of the score is a row, by kind of request and by reason, so that
// the rows add up to what the bench deducted.
package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Counts are the requests of a kind, or of a span of the day, by outcome.
type Counts struct {
	Name     string  `json:"name"` // of the kind; for a span, its first second
	Requests int     `json:"n"`
	InTime   int     `json:"in_aim"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	NotOwed  int     `json:"not_owed"`
	Worth    float64 `json:"worth"` // fraction earned of the owed worth, 0 to 1
}

// Event is a fault or planned work.
type Event struct {
	At    float64 `json:"at_s"`
	Until float64 `json:"to_s"`
	Kind  string  `json:"kind"`
	What  string  `json:"what"`
}

// Report is the bench's report of a day, as far as the ledger needs it.
type Report struct {
	Worth    float64       `json:"G"`      // after deductions
	Parts    []Part        `json:"parts"`  // parts of the worth
	Prices   []Price       `json:"prices"` // deducted from it
	Kinds    []Counts      `json:"classes"`
	Spans    []Counts      `json:"windows"`
	Events   []Event       `json:"events"`
	Unserved []UnservedEnd `json:"unserved_by"`
}

// Part is one of the measures that make up the worth.
type Part struct {
	Name          string
	Weight, Value float64
}

// Price is a deduction from the worth for a resource or a service fault.
type Price struct {
	Name   string
	Amount float64 // in the resource's own unit
	Worth  float64
}

// UnservedEnd counts the requests that were never served, by the outcome of their last try.
type UnservedEnd struct {
	End   string
	Count int
}

// unmarshalRow decodes a JSON list into fields, and ignores further elements.
func unmarshalRow(text []byte, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return err
	}
	if len(row) < len(fields) {
		return fmt.Errorf("row has %d fields, want at least %d", len(row), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(row[i], field); err != nil {
			return err
		}
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Part) UnmarshalJSON(text []byte) error {
	return unmarshalRow(text, &p.Name, &p.Weight, &p.Value)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Price) UnmarshalJSON(text []byte) error {
	return unmarshalRow(text, &p.Name, &p.Amount, &p.Worth)
}

// UnmarshalJSON implements json.Unmarshaler.
func (u *UnservedEnd) UnmarshalJSON(text []byte) error {
	return unmarshalRow(text, &u.End, &u.Count)
}

// ReadReport reads the bench's report of a day.
func ReadReport(r io.Reader) (*Report, error) {
	var report Report
	if err := json.NewDecoder(r).Decode(&report); err != nil {
		return nil, fmt.Errorf("decoding the report of a day: %w", err)
	}
	if len(report.Parts) == 0 {
		return nil, fmt.Errorf("the report of a day has no parts; expected the file written by `run --report`")
	}
	return &report, nil
}

// RevenueWeight is what a request of a kind is worth, in time and late.
type RevenueWeight struct {
	Name string  `toml:"name"`
	Full float64 `toml:"worth"`
	Late float64 `toml:"late_worth"`
}

// ReadSite reads the worths of the kinds of requests from a site file.
func ReadSite(r io.Reader) ([]RevenueWeight, error) {
	var site struct {
		Kinds []RevenueWeight `toml:"classes"`
	}
	if err := toml.NewDecoder(r).Decode(&site); err != nil {
		return nil, fmt.Errorf("decoding the site file: %w", err)
	}
	return site.Kinds, nil
}

// Row is a share of the lost worth.
type Row struct {
	Part   string // of the worth, or "price"
	Kind   string // kind of requests; empty: not broken down
	Reason string
	Lost   float64
}

// Reasons of rows.
const (
	reasonLate    = "served late"
	reasonRefused = "refused at every try"
	reasonFailed  = "failed"
)

// Names of the parts of the worth in reports.
const (
	partDay   = "whole day"
	partNines = "nines"
)

// partPrice is the part of rows that are deductions.
const partPrice = "price"

// minRowLoss is the smallest loss that is listed as a row.
const minRowLoss = 5e-5

// Rows accounts for all losses of a day, the largest first.
func Rows(report *Report, worths []RevenueWeight) []Row {
	var rows []Row
	for _, part := range report.Parts {
		lost := part.Weight * (1 - part.Value)
		switch part.Name {
		case partDay:
			rows = append(rows, split(part.Name, lost, dayShares(report.Kinds, worths))...)
		case partNines:
			rows = append(rows, split(part.Name, lost, endShares(report.Unserved))...)
		default:
			rows = append(rows, Row{Part: part.Name, Reason: "its value is " + fmt.Sprintf("%.3f", part.Value), Lost: lost})
		}
	}
	for _, price := range report.Prices {
		rows = append(rows, Row{Part: partPrice, Reason: price.Name, Lost: price.Worth})
	}
	rows = slices.DeleteFunc(rows, func(r Row) bool { return r.Lost < minRowLoss && r.Lost > -minRowLoss })
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Lost, a.Lost) })
	return rows
}

// share is a row's weight within its part.
type share struct {
	kind, reason string
	weight       float64
}

// split divides a loss in proportion to weights. If all weights are zero, the loss stays one row.
func split(part string, lost float64, shares []share) []Row {
	sum := 0.0
	for _, s := range shares {
		sum += s.weight
	}
	if sum <= 0 {
		return []Row{{Part: part, Reason: "not told", Lost: lost}}
	}
	rows := make([]Row, 0, len(shares))
	for _, s := range shares {
		rows = append(rows, Row{Part: part, Kind: s.kind, Reason: s.reason, Lost: lost * s.weight / sum})
	}
	return rows
}

// dayShares weights what each kind lost over the day: its share of the owed worth times the fraction that it did not earn, broken
// down by the outcomes of its requests.
func dayShares(kinds []Counts, worths []RevenueWeight) []share {
	var shares []share
	for _, k := range kinds {
		worth := RevenueWeight{Full: 1}
		if i := slices.IndexFunc(worths, func(w RevenueWeight) bool { return w.Name == k.Name }); i >= 0 {
			worth = worths[i]
		}
		lost := worth.Full * float64(k.Requests-k.NotOwed) * (1 - k.Worth)
		late := (worth.Full - worth.Late) * float64(k.Late)
		refused, failed := worth.Full*float64(k.Refused), worth.Full*float64(k.Failed)
		sum := late + refused + failed
		if sum <= 0 {
			continue
		}
		shares = append(shares, share{k.Name, reasonLate, lost * late / sum}, share{k.Name, reasonRefused, lost * refused / sum},
			share{k.Name, reasonFailed, lost * failed / sum})
	}
	return shares
}

// endShares weights the last outcomes of requests that were never served.
func endShares(ends []UnservedEnd) []share {
	var shares []share
	for _, u := range ends {
		shares = append(shares, share{"", "last try: " + u.End, float64(u.Count)})
	}
	return shares
}

// Lost returns what the bench deducted from the full worth of a day.
func (r *Report) Lost() float64 {
	whole := 0.0
	for _, part := range r.Parts {
		whole += part.Weight
	}
	return whole - r.Worth
}

// Sum returns the sum of the losses of rows.
func Sum(rows []Row) float64 {
	sum := 0.0
	for _, r := range rows {
		sum += r.Lost
	}
	return sum
}
