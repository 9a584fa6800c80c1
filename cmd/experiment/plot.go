package main

import (
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"corianderspur.example/corianderspur/internal/clock"
	"corianderspur.example/corianderspur/internal/study"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var faultColor = color.RGBA{R: 200, A: 255}

// plotPattern draws the share of the worth that each policy earned by second of arrival, with the faults marked.
func plotPattern(path string, p study.Pattern, list []study.Summary) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "plot %s", p.Name)
		}
	}()
	pl := plot.New()
	pl.Title.Text = p.Name
	pl.X.Label.Text, pl.Y.Label.Text = "second of arrival", "share of worth earned"
	pl.Y.Min, pl.Y.Max = 0, 1
	var lines []any
	for _, s := range list {
		if s.Pattern != p.Name || len(s.Seconds) == 0 {
			continue
		}
		var points plotter.XYs
		// Nothing arrives in the last second.
		for i, v := range s.Seconds[:len(s.Seconds)-1] {
			points = append(points, plotter.XY{X: float64(i), Y: v})
		}
		lines = append(lines, s.Policy, points)
	}
	if err := plotutil.AddLinePoints(pl, lines...); err != nil {
		return err
	}
	for _, at := range faultTimes(p) {
		x := float64(at) / float64(clock.Second)
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: 1}})
		if err != nil {
			return err
		}
		mark.Color = faultColor
		mark.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
		pl.Add(mark)
	}
	return pl.Save(plotWidth, plotHeight, path)
}

// faultTimes returns when faults and surges of a pattern begin and end.
func faultTimes(p study.Pattern) (times []clock.Millis) {
	seen := map[clock.Millis]bool{}
	add := func(at clock.Millis) {
		if !seen[at] && at > 0 && at < study.Length {
			seen[at] = true
			times = append(times, at)
		}
	}
	for _, s := range p.Servers {
		for _, sp := range s.Spans {
			add(sp.From)
			add(sp.To)
		}
	}
	for _, s := range p.Surges {
		add(s.From)
		add(s.To)
	}
	return times
}
