package loadtest

import (
	"html/template"
	"io"
)

// Result is a checked run.
type Result struct {
	Name     string
	Classes  []ClassSummary
	Jain     float64
	Problems []string
	// Disruptions are what drains, and lost machines, did to the teams' work.
	Disruptions []Disruption
	Accepted    template.URL // plots, as images within the page
	Waits       template.URL
}

// NewResult checks and draws a history.
func NewResult(name string, history []Exchange, plan Plan) (*Result, error) {
	r := &Result{Name: name, Classes: Summarise(history), Problems: Check(history, plan)}
	r.Jain = Jain(r.Classes)
	var err error
	if r.Accepted, err = drawLines("accepted a second, by team", "s", "jobs/s", acceptedByTeam(history)); err != nil {
		return nil, err
	}
	r.Waits, err = drawLines("time to acceptance, of those accepted", "s", "share", waitsByTeam(history))
	return r, err
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Load test</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}td,th{padding:2px 12px;text-align:right}img{max-width:48%}</style>
<h1>Load test</h1>
{{range .}}<h2>{{.Name}}</h2>
<p>Jain's fairness index over the teams: {{printf "%.3f" .Jain}}. Problems found by the checker: {{len .Problems}}.</p>
<table><tr><th>team</th><th>class</th><th>asked</th><th>accepted</th><th>given up</th><th>tries</th><th>p50</th><th>p95</th><th>done</th><th>done p50</th></tr>
{{range .Classes}}<tr><td>{{.Team}}</td><td>{{.Class}}</td><td>{{.Submitted}}</td><td>{{.Accepted}}</td><td>{{.Abandoned}}</td><td>{{.Tries}}</td><td>{{.P50}}</td><td>{{.P95}}</td><td>{{.Done}}</td><td>{{.DoneP50}}</td></tr>
{{end}}</table>
{{if .Disruptions}}<table><tr><th>team</th><th>stopped</th><th>saved</th><th>lost with machines</th><th>run time lost</th><th>most unavailable</th><th>most evictions in a window</th><th>most lost in a window</th></tr>
{{range .Disruptions}}<tr><td>{{.Team}}</td><td>{{.Stopped}}</td><td>{{.Saved}}</td><td>{{.Lost}}</td><td>{{.LostTime}}</td><td>{{.MostUnavailable}}</td><td>{{.MostEvictions}}</td><td>{{.MostLost}}</td></tr>
{{end}}</table>{{end}}
<p><img src="{{.Accepted}}" alt="accepted a second, by team"> <img src="{{.Waits}}" alt="time to acceptance"></p>
{{if .Problems}}<ul>{{range .Problems}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{end}}</html>
`))

// WriteReport writes the results as one HTML page.
func WriteReport(w io.Writer, results []*Result) error { return reportTemplate.Execute(w, results) }
