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
		t.Errorf("before any run: got %v, want the user's estimate", got)
	}
	for range 200 {
		runTimes.Observe(j, 2*j.EstimateS)
	}
	if got := runTimes.Estimate(j); got < 1.99*j.EstimateS || got > 2*j.EstimateS {
		t.Errorf("after runs of twice the estimate: got %v, want about twice the estimate", got)
	}
}

func TestEstimateReadyTaskSubtractsProgress(t *testing.T) {
	j, runTimes := newActiveJob("job-1", 2), jobs.RunTimeRatios{}
	j.RebuildReadyTasks()
	j.PopReadyTask(testStart)
	j.RecordProgress(1, 20, true) // with a checkpoint of all 20 s
	if got := runTimes.EstimateReadyTask(j); got != j.EstimateS-20 {
		t.Errorf("got %v, want 20 seconds less than the estimate", got)
	}
}

func TestDeadlineSlackUsesTheNearestDueTimeThatCanBeMet(t *testing.T) {
	finishedIn100S := config.Objective{Kind: "finished", Class: "c", WithinS: 100}
	twiceDeadline := config.Objective{Kind: "deadline", Class: "c", Times: 2}
	for name, c := range map[string]struct {
		deadlineS  float64
		objectives []config.Objective
		after      time.Duration // since the submission
		want       float64       // slack in seconds; the estimated run time is 30 s
		found      bool
	}{
		"no deadline or objective":  {},
		"deadline":                  {deadlineS: 90, want: 60, found: true},
		"deadline passed":           {deadlineS: 90, after: 80 * time.Second},
		"objective still reachable": {deadlineS: 90, objectives: []config.Objective{twiceDeadline}, after: 80 * time.Second, want: 70, found: true},
		"finished is nearer":        {deadlineS: 200, objectives: []config.Objective{finishedIn100S}, want: 70, found: true},
		"other class":               {objectives: []config.Objective{{Kind: "finished", Class: "d", WithinS: 100}}},
	} {
		spec := newJob("job-1", 1).Job
		if c.deadlineS > 0 {
			spec.DeadlineS = &c.deadlineS
		}
		j := jobs.New(spec, testStart.UnixMilli(), testStart)
		got, found := jobs.RunTimeRatios{}.DeadlineSlack(testStart.Add(c.after), j, c.objectives)
		if got != c.want || found != c.found {
			t.Errorf("%s: got %v, %v, want those of the case", name, got, found)
		}
	}
}

// TestObservedStartDelayIsCapped checks that a delay of more than two heartbeat intervals, here of 3 s,
// counts as two intervals.
func TestObservedStartDelayIsCapped(t *testing.T) {
	var capped, normal jobs.StartDelay
	capped.Observe(1000, 3)
	normal.Observe(6, 3)
	if capped != normal || normal <= 0 {
		t.Errorf("after a delay of 1000 s: %v, after one of 6 s: %v, want the same", capped, normal)
	}
}
