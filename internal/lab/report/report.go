// Package report writes an HTML page with plots of one run, or of two for comparison.
package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"dunetide/internal/lab/figures"
	"dunetide/internal/lab/record"
)

const (
	width  = 22 * vg.Centimeter
	height = 7 * vg.Centimeter
)

// Band is the duration of a fault in a plot.
type Band struct {
	What        string
	From, Until float64
}

// Run is the data of one run that a report shows.
type Run struct {
	Name    string
	Summary record.Summary
	Bands   []Band
}

var lineColors = []color.Color{color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}, color.RGBA{R: 0xc8, G: 0x50, B: 0x1e, A: 0xff},
	color.RGBA{R: 0x3a, G: 0x8f, B: 0x4c, A: 0xff}, color.RGBA{R: 0x80, G: 0x46, B: 0x9b, A: 0xff}}

// series is one line of a plot.
type series struct {
	name string
	of   func(figures.Window) float64
}

// PNG plots series of one or more runs over time, with the faults of the first run as bands.
func PNG(w io.Writer, title, unit string, runs []Run, all ...series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.Y.Min = 0
	top := 0.0
	var lines []*plotter.Line
	for i, r := range runs {
		for j, s := range all {
			points := make(plotter.XYs, 0, len(r.Summary.Figures.Windows))
			for _, win := range r.Summary.Figures.Windows {
				v := s.of(win)
				top = max(top, v)
				points = append(points, plotter.XY{X: win.From + 0.5, Y: v})
			}
			if len(points) == 0 {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return fmt.Errorf("plotting %s: %w", s.name, err)
			}
			line.Color = lineColors[(i*len(all)+j)%len(lineColors)]
			line.Width = vg.Points(1.2)
			lines = append(lines, line)
			name := s.name
			if len(runs) > 1 {
				name = r.Name + ": " + name
			}
			p.Legend.Add(name, line)
		}
	}
	top = math.Max(top*1.1, 1e-9)
	for _, b := range runs[0].Bands {
		band, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: 0}, {X: b.Until, Y: 0}, {X: b.Until, Y: top}, {X: b.From, Y: top}})
		if err != nil {
			return fmt.Errorf("plotting %s: %w", b.What, err)
		}
		band.Color = color.RGBA{R: 0xee, G: 0xe0, B: 0xc0, A: 0xff}
		band.LineStyle.Width = 0
		p.Add(band)
	}
	for _, l := range lines {
		p.Add(l)
	}
	p.Y.Max = top
	p.Legend.Top = true
	c := vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	p.Draw(draw.New(c))
	_, err := c.WriteTo(w)
	return err
}

// Plots lists the plots of a page.
var Plots = []struct {
	Name, Title, Unit string
	series            []series
}{
	{"worth", "Worth asked for and served, by when it was asked for", "worth / s", []series{
		{"asked", func(w figures.Window) float64 { return w.Asked }}, {"served", func(w figures.Window) float64 { return w.Worth }}}},
	{"latency", "From client to delivery", "ms", []series{
		{"median", func(w figures.Window) float64 { return w.P50 }}, {"99th percentile", func(w figures.Window) float64 { return w.P99 }}}},
	{"calls", "Calls, and those refused", "calls / s", []series{
		{"calls", func(w figures.Window) float64 { return float64(w.Calls) }}, {"refused", func(w figures.Window) float64 { return float64(w.Refused) }}}},
}

// Plot draws one of the Plots, by name.
func Plot(w io.Writer, name string, runs []Run) error {
	for _, p := range Plots {
		if p.Name == name {
			return PNG(w, p.Title, p.Unit, runs, p.series...)
		}
	}
	return fmt.Errorf("unknown plot %q", name)
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"interval": interval}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}
td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.8em;overflow-x:auto}img{max-width:100%}
.broken{color:#a00}</style></head><body>
<h1>{{.Title}}</h1>
{{range .Runs}}<h2>{{.Name}}</h2><pre>{{.Text}}</pre>
{{if .Broken}}<ul class="broken">{{range .Broken}}<li>{{.}}</li>{{end}}</ul>{{end}}{{end}}
{{if .Effects}}<h2>B against A, in pairs</h2><table><tr><th>figure</th><th>A</th><th>B</th><th>B - A</th><th>95% of</th><th>pairs</th><th></th></tr>
{{range .Effects}}<tr><td>{{.Name}}</td><td>{{printf "%.4g" .A}}</td><td>{{printf "%.4g" .B}}</td><td>{{printf "%+.4g" .Diff}}</td><td>{{interval .}}</td><td>{{.Pairs}}</td><td>{{.Seen}}</td></tr>
{{end}}</table>{{end}}
{{range .Images}}<p><img alt="{{.Title}}" src="{{.Data}}"></p>
{{end}}<p>Shaded: faults, from their beginning to their end.</p></body></html>
`))

func interval(e figures.Effect) string {
	if math.IsInf(e.Low, 0) {
		return "one pair: none"
	}
	return fmt.Sprintf("%+.4g to %+.4g", e.Low, e.High)
}

// Page writes one self-contained page about one or two runs.
func Page(w io.Writer, title string, runs []Run, effects []figures.Effect) error {
	type shown struct {
		Name, Text string
		Broken     []string
	}
	type image struct {
		Title string
		Data  template.URL
	}
	data := struct {
		Title   string
		Runs    []shown
		Effects []figures.Effect
		Images  []image
	}{Title: title, Effects: effects}
	for _, r := range runs {
		var text bytes.Buffer
		if err := r.Summary.Print(&text); err != nil {
			return err
		}
		s := shown{Name: r.Name, Text: text.String()}
		for _, b := range r.Summary.Broken {
			s.Broken = append(s.Broken, b.String())
		}
		data.Runs = append(data.Runs, s)
	}
	for _, p := range Plots {
		var png bytes.Buffer
		if err := Plot(&png, p.Name, runs); err != nil {
			return err
		}
		data.Images = append(data.Images, image{p.Title, template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png.Bytes()))})
	}
	return page.Execute(w, data)
}
