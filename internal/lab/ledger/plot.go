package ledger

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size and colours of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

var (
	worthColor = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	eventColor = color.RGBA{R: 0xc8, G: 0x50, B: 0x1e, A: 0x60}
)

// Plot draws the worth of each span of the day as SVG, with a vertical line at the start of each event.
func (d *Day) Plot(w io.Writer) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = d.Name, "s", "worth earned of what was owed"
	p.Y.Min, p.Y.Max = 0, 1
	points := make(plotter.XYs, len(d.Report.Spans))
	for i, s := range d.Report.Spans {
		from, _ := d.span(i)
		points[i] = plotter.XY{X: from, Y: s.Worth}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plotting %s: %w", d.Name, err)
	}
	line.Color, line.StepStyle = worthColor, plotter.PostStep
	p.Add(line)
	for _, e := range d.Report.Events {
		mark, err := plotter.NewLine(plotter.XYs{{X: e.At, Y: 0}, {X: e.At, Y: 1}})
		if err != nil {
			return fmt.Errorf("plotting %s: %w", d.Name, err)
		}
		mark.Color = eventColor
		p.Add(mark)
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("plotting %s: %w", d.Name, err)
	}
	_, err = to.WriteTo(w)
	return err
}
