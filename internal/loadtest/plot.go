package loadtest

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotStep   = 10 * time.Second
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// acceptRateByTeam returns the accepted jobs a second over time, by team.
func acceptRateByTeam(history []Exchange) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	seen := map[string]bool{}
	for i := range history {
		e := &history[i]
		if !e.accepted() || seen[e.Job] {
			continue
		}
		seen[e.Job] = true
		step := int(e.receivedAt() / plotStep)
		for len(lines[e.Team]) <= step {
			x := float64(len(lines[e.Team])) * plotStep.Seconds()
			lines[e.Team] = append(lines[e.Team], plotter.XY{X: x})
		}
		lines[e.Team][step].Y += 1 / plotStep.Seconds()
	}
	return lines
}

// acceptTimeByTeam returns the distribution of the time from the first submit request of a job to its
// acceptance, by team.
func acceptTimeByTeam(history []Exchange) map[string]plotter.XYs {
	first := map[string]int64{}
	waits := map[string][]float64{}
	seen := map[string]bool{}
	for i := range history {
		e := &history[i]
		if _, known := first[e.Job]; !known {
			first[e.Job] = e.SentMS
		}
		if e.accepted() && !seen[e.Job] {
			seen[e.Job] = true
			waits[e.Team] = append(waits[e.Team], e.receivedAt().Seconds()-float64(first[e.Job])/1000)
		}
	}
	lines := map[string]plotter.XYs{}
	for team, values := range waits {
		slices.Sort(values)
		for i, v := range values {
			lines[team] = append(lines[team], plotter.XY{X: v, Y: float64(i+1) / float64(len(values))})
		}
	}
	return lines
}

// plotLines plots lines and returns the PNG image as a data URL.
func plotLines(title, x, y string, lines map[string]plotter.XYs) (template.URL, error) {
	p := plot.New()
	p.Legend.Top, p.Legend.Left = true, true
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	image, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return "", err
	}
	var data bytes.Buffer
	if _, err := image.WriteTo(&data); err != nil {
		return "", err
	}
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(data.Bytes())), nil
}
