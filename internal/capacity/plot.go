package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// drawAll writes the plot of each slope to folder, in an SVG file named after
// the slope's key. It returns a *PlotError if one fails.
func drawAll(folder string, slopes []Slope) error {
	for _, s := range slopes {
		if err := draw(filepath.Join(folder, s.Key+".svg"), s); err != nil {
			return &PlotError{Slope: s.Key, Cause: err}
		}
	}
	return nil
}

// PlotError reports that a slope couldn't be drawn.
type PlotError struct {
	// Slope is the slope's key.
	Slope string
	Cause error
}

// Error returns the slope's key and the cause.
func (e *PlotError) Error() string { return "plot " + e.Slope + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PlotError) Unwrap() error { return e.Cause }

// draw writes a plot of the measured points and of the fitted line up to the
// largest measured size.
func draw(path string, s Slope) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.XLabel
	p.Y.Label.Text = s.YLabel
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, v := range s.Points {
		points[i] = plotter.XY{X: v.X, Y: v.Y}
	}
	measured, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Base}, {X: s.Largest(), Y: s.At(s.Largest())}})
	if err != nil {
		return err
	}
	p.Add(measured, line)
	return p.Save(plotWidth, plotHeight, path)
}
