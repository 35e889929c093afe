package loadtest

import (
	"html/template"
	"io"
)

// Result is the summary of a run and the problems that its check found.
type Result struct {
	Name      string
	Classes   []ClassSummary
	JainIndex float64
	Problems  []string
	// Disruptions are the disruptions in the zone that was drained or released, by team.
	Disruptions    []Disruption
	AcceptedPlot   template.URL // plots as data URLs
	AcceptTimePlot template.URL
}

// NewResult checks and summarizes a history and draws its plots.
func NewResult(name string, history []Exchange, options CheckOptions) (*Result, error) {
	r := &Result{Name: name, Classes: SummarizeByClass(history), Problems: Check(history, options)}
	r.JainIndex = JainIndex(r.Classes)
	var err error
	if r.AcceptedPlot, err = plotLines("accepted a second, by team", "s", "jobs/s", acceptRateByTeam(history)); err != nil {
		return nil, err
	}
	r.AcceptTimePlot, err = plotLines("time to acceptance, of those accepted", "s", "share", acceptTimeByTeam(history))
	return r, err
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>Load test</title>
<style>body{font:15px sans-serif;margin:2em;max-width:75em}td,th{padding:2px 12px;text-align:right}img{max-width:48%}</style>
<h1>Load test</h1>
{{range .}}<h2>{{.Name}}</h2>
<p>Jain's fairness index over the teams: {{printf "%.3f" .JainIndex}}. Problems found by the checker: {{len .Problems}}.</p>
<table><tr><th>team</th><th>class</th><th>asked</th><th>accepted</th><th>given up</th><th>tries</th><th>p50</th><th>p95</th><th>done</th><th>done p50</th></tr>
{{range .Classes}}<tr><td>{{.Team}}</td><td>{{.Class}}</td><td>{{.Submitted}}</td><td>{{.Accepted}}</td><td>{{.Abandoned}}</td><td>{{.SubmitRequests}}</td><td>{{.AcceptP50}}</td><td>{{.AcceptP95}}</td><td>{{.Done}}</td><td>{{.DoneP50}}</td></tr>
{{end}}</table>
{{if .Disruptions}}<table><tr><th>team</th><th>stopped</th><th>saved</th><th>lost with machines</th><th>run time lost</th><th>most unavailable</th><th>most evictions in a window</th><th>most lost in a window</th></tr>
{{range .Disruptions}}<tr><td>{{.Team}}</td><td>{{.Stopped}}</td><td>{{.Saved}}</td><td>{{.Lost}}</td><td>{{.LostTime}}</td><td>{{.MaxUnavailable}}</td><td>{{.MaxEvictions}}</td><td>{{.MaxLostTime}}</td></tr>
{{end}}</table>{{end}}
<p><img src="{{.AcceptedPlot}}" alt="accepted a second, by team"> <img src="{{.AcceptTimePlot}}" alt="time to acceptance"></p>
{{if .Problems}}<ul>{{range .Problems}}<li>{{.}}</li>{{end}}</ul>{{end}}
{{end}}</html>
`))

// WriteReport writes the results to one HTML page.
func WriteReport(w io.Writer, results []*Result) error { return reportTemplate.Execute(w, results) }
