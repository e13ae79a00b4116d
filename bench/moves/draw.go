package main

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var colors = []color.Color{color.RGBA{0, 90, 180, 255}, color.RGBA{200, 80, 0, 255}, color.RGBA{0, 130, 70, 255}, color.RGBA{140, 0, 120, 255}}

// draw writes the plots of a simulation: the percentage of good pools that are rolled
// back, by scenario, and the seconds until a fault is rolled back, by its rate.
func draw(folder string, undonePercent, delays [][]float64) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min = "Good pools that are undone", "% of courses", 0
	width := vg.Points(14)
	for i, row := range undonePercent {
		bars, err := plotter.NewBarChart(plotter.Values(row), width)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		bars.Color, bars.LineStyle.Width, bars.Offset = colors[i], 0, width*vg.Length(float64(i)-1.5)
		p.Add(bars)
		p.Legend.Add(detectors[i].name, bars)
	}
	var names []string
	for _, s := range goodScenarios {
		names = append(names, s.name)
	}
	p.NominalX(names...)
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max = 130
	if err := p.Save(22*vg.Centimeter, 11*vg.Centimeter, filepath.Join(folder, "moves-alarms.png")); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return drawDelays(folder, delays)
}

func drawDelays(folder string, delays [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Seconds until a fault is undone, median", "size of the fault, %", "s"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for i, row := range delays {
		var points plotter.XYs
		for j, d := range row {
			if !math.IsInf(d, 0) && !math.IsNaN(d) {
				points = append(points, plotter.XY{X: 100 * faultRates[j], Y: max(d, 1)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color, line.Width, dots.Color = colors[i], vg.Points(2), colors[i]
		p.Add(line, dots)
		p.Legend.Add(detectors[i].name, line)
	}
	p.Legend.Top = true
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, filepath.Join(folder, "moves-delay.png")); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
