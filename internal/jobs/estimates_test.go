package jobs_test

import (
	"testing"
	"time"

	"switchshore.example/switchshore/internal/config"
	"switchshore.example/switchshore/internal/jobs"
)

func TestEstimatesFollowObservedRunTimes(t *testing.T) {
	j, runTimes := newActiveJob("job-1", 1), jobs.RunTimeRatios{}
	if got := runTimes.Estimate(j); got != j.EstimateS {
		t.Errorf("before any run: %v", got)
	}
	for range 200 {
		runTimes.Observe(j, 2*j.EstimateS)
	}
	if got := runTimes.Estimate(j); got < 1.99*j.EstimateS || got > 2*j.EstimateS {
		t.Errorf("after runs of twice the estimate: %v", got)
	}
}

func TestEstimateOfReadyTasksCountsProgress(t *testing.T) {
	j, runTimes := newActiveJob("job-1", 2), jobs.RunTimeRatios{}
	j.RebuildReadyTasks()
	j.PopReadyTask(start)
	j.RecordProgress(1, 20, true)
	if got := runTimes.EstimateReadyTask(j); got != j.EstimateS-20 {
		t.Errorf("%v", got)
	}
}

func TestDeadlineSlackIsTheNearestThatCanBeMet(t *testing.T) {
	finished := config.Objective{Kind: "finished", Class: "c", WithinS: 100}
	late := config.Objective{Kind: "deadline", Class: "c", Times: 2}
	for name, c := range map[string]struct {
		deadlineS  float64
		objectives []config.Objective
		after      time.Duration
		want       float64
		found      bool
	}{
		"none":                     {},
		"deadline":                 {deadlineS: 90, want: 60, found: true},
		"deadline passed":          {deadlineS: 90, after: 80 * time.Second},
		"later objective still on": {deadlineS: 90, objectives: []config.Objective{late}, after: 80 * time.Second, want: 70, found: true},
		"finished is nearer":       {deadlineS: 200, objectives: []config.Objective{finished}, want: 70, found: true},
		"other class":              {objectives: []config.Objective{{Kind: "finished", Class: "d", WithinS: 100}}},
	} {
		spec := newJob("job-1", 1).Job
		if c.deadlineS > 0 {
			spec.DeadlineS = &c.deadlineS
		}
		j := jobs.New(spec, start.UnixMilli(), start)
		got, found := jobs.RunTimeRatios{}.DeadlineSlack(start.Add(c.after), j, c.objectives)
		if got != c.want || found != c.found {
			t.Errorf("%s: %v, %v", name, got, found)
		}
	}
}

func TestStartDelayIgnoresSlowMachines(t *testing.T) {
	var capped, normal jobs.StartDelay
	capped.Observe(1000, 3)
	normal.Observe(6, 3)
	if capped != normal || normal <= 0 {
		t.Errorf("%v, %v", capped, normal)
	}
}
