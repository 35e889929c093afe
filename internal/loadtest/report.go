package loadtest

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Result is a checked run.
type Result struct {
	Name     string
	Rows     []Row
	Jain     float64
	Problems []string
	// Disruptions are what drains, and lost machines, did to the teams' work.
	Disruptions []Disruption
	Accepted    template.URL // plots, as images within the page
	Waits       template.URL
}

const (
	plotStep   = 10 * time.Second
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// NewResult checks and draws a history.
func NewResult(name string, history []Answer, plan Plan) (*Result, error) {
	r := &Result{Name: name, Rows: Summarise(history), Problems: Check(history, plan)}
	r.Jain = Jain(r.Rows)
	var err error
	if r.Accepted, err = draw("accepted a second, by team", "s", "jobs/s", acceptedByTeam(history)); err != nil {
		return nil, err
	}
	r.Waits, err = draw("time to acceptance, of those accepted", "s", "share", waitsByTeam(history))
	return r, err
}

// acceptedByTeam are the jobs accepted a second, over time.
func acceptedByTeam(history []Answer) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	seen := map[string]bool{}
	for i := range history {
		a := &history[i]
		if !a.accepted() || seen[a.Job] {
			continue
		}
		seen[a.Job] = true
		step := int(a.at() / plotStep)
		for len(lines[a.Team]) <= step {
			x := float64(len(lines[a.Team])) * plotStep.Seconds()
			lines[a.Team] = append(lines[a.Team], plotter.XY{X: x})
		}
		lines[a.Team][step].Y += 1 / plotStep.Seconds()
	}
	return lines
}

// waitsByTeam are the distributions of the times from the first try to the acceptance.
func waitsByTeam(history []Answer) map[string]plotter.XYs {
	first := map[string]int64{}
	waits := map[string][]float64{}
	seen := map[string]bool{}
	for i := range history {
		a := &history[i]
		if _, known := first[a.Job]; !known {
			first[a.Job] = a.SentMS
		}
		if a.accepted() && !seen[a.Job] {
			seen[a.Job] = true
			waits[a.Team] = append(waits[a.Team], a.at().Seconds()-float64(first[a.Job])/1000)
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

// draw plots lines as a PNG image that stands within the page itself.
func draw(title, x, y string, lines map[string]plotter.XYs) (template.URL, error) {
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

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Load test</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}td,th{padding:2px 12px;text-align:right}img{max-width:48%}</style>
<h1>Load test</h1>
{{range .}}<h2>{{.Name}}</h2>
<p>Jain's fairness index over the teams: {{printf "%.3f" .Jain}}. Problems found by the checker: {{len .Problems}}.</p>
<table><tr><th>team</th><th>class</th><th>asked</th><th>accepted</th><th>given up</th><th>tries</th><th>p50</th><th>p95</th><th>done</th><th>done p50</th></tr>
{{range .Rows}}<tr><td>{{.Team}}</td><td>{{.Class}}</td><td>{{.Asked}}</td><td>{{.Accepted}}</td><td>{{.GivenUp}}</td><td>{{.Tries}}</td><td>{{.P50}}</td><td>{{.P95}}</td><td>{{.Done}}</td><td>{{.DoneP50}}</td></tr>
{{end}}</table>
{{if .Disruptions}}<table><tr><th>team</th><th>stopped</th><th>saved</th><th>lost with machines</th><th>run time lost</th><th>most unavailable</th><th>most evictions in a window</th><th>most lost in a window</th></tr>
{{range .Disruptions}}<tr><td>{{.Team}}</td><td>{{.Stopped}}</td><td>{{.Saved}}</td><td>{{.Lost}}</td><td>{{.LostTime}}</td><td>{{.MostUnavailable}}</td><td>{{.MostEvictions}}</td><td>{{.MostLost}}</td></tr>
{{end}}</table>{{end}}
<p><img src="{{.Accepted}}" alt="accepted a second, by team"> <img src="{{.Waits}}" alt="time to acceptance"></p>
{{if .Problems}}<ul>{{range .Problems}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{end}}</html>
`))

// WriteReport writes the results as one HTML page.
func WriteReport(w io.Writer, results []*Result) error { return page.Execute(w, results) }
